"""Worker processes as the parent sees them: child processes that answer one request at a time."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from typing import TypeVar

from workbench.emulator.child_process import wrap_with_parent_death_signal
from workbench.scale.messages import LENGTH_PREFIX, Failed, Reply, Request, frame, reply_decoder

WORKER_COMMAND = [sys.executable, "-m", "workbench.scale.worker"]
# Longest wait for one reply of a worker.
REPLY_TIMEOUT_S = 120.0
# Longest wait for a worker to exit after its input is closed.
EXIT_TIMEOUT_S = 5.0

ReplyT = TypeVar("ReplyT")


class WorkerError(Exception):
    """A worker that has ended or cannot handle a request; the message is a single line."""


class WorkerProcess:
    """One worker process."""

    def __init__(self, number: int, process: asyncio.subprocess.Process) -> None:
        self.number = number
        self.process = process

    @classmethod
    async def start(cls, number: int) -> WorkerProcess:
        """Start a worker in a separate session, so that Ctrl-C reaches only the parent.

        The kernel kills the worker when the parent ends, for whatever reason.
        """
        process = await asyncio.create_subprocess_exec(
            *wrap_with_parent_death_signal(WORKER_COMMAND),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        return cls(number, process)

    async def ask(self, request: Request, reply_type: type[ReplyT]) -> ReplyT:
        """Send a request and wait for its reply.

        Raises:
            WorkerError: The worker ended, failed, did not reply in time, or replied with another type than
                `reply_type`.
        """
        try:
            reply = await asyncio.wait_for(self.exchange(request), REPLY_TIMEOUT_S)
        except TimeoutError:
            raise WorkerError(f"worker {self.number}: no reply within {REPLY_TIMEOUT_S:g} s") from None
        except (OSError, asyncio.IncompleteReadError):
            status = await self.process.wait()
            raise WorkerError(f"worker {self.number}: ended with status {status}") from None
        if isinstance(reply, Failed):
            raise WorkerError(f"worker {self.number}: {reply.reason}")
        if not isinstance(reply, reply_type):
            raise WorkerError(
                f"worker {self.number}: replied {type(reply).__name__} to {type(request).__name__}"
            )
        return reply

    async def exchange(self, request: Request) -> Reply:
        """Write a request and read one reply."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(frame(request))
        await self.process.stdin.drain()
        size = LENGTH_PREFIX.unpack(await self.process.stdout.readexactly(LENGTH_PREFIX.size))[0]
        return reply_decoder.decode(await self.process.stdout.readexactly(size))

    async def end(self) -> None:
        """Close the worker's input, which ends it; kill it if it does not exit in time."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Workers:
    """All workers of a run; the last one has no members, so that its cost is that of an idle event loop."""

    def __init__(self) -> None:
        self.processes: list[WorkerProcess] = []

    async def start(self, count: int) -> None:
        """Start `count` workers for members, and the idle one."""
        for number in range(count + 1):
            self.processes.append(await WorkerProcess.start(number))

    async def ask_all(self, request: Request, reply_type: type[ReplyT]) -> list[ReplyT]:
        """Send the same request to all workers and return the replies in their order.

        Raises:
            WorkerError: A worker ended or failed.
        """
        return await self.ask_each([request] * len(self.processes), reply_type)

    async def ask_each(self, requests: list[Request], reply_type: type[ReplyT]) -> list[ReplyT]:
        """Send a request to each worker at the same time and return the replies in their order.

        Raises:
            WorkerError: A worker ended or failed.
        """
        pairs = zip(self.processes, requests, strict=True)
        return list(await asyncio.gather(*(worker.ask(request, reply_type) for worker, request in pairs)))

    async def end(self) -> None:
        """End all workers."""
        await asyncio.gather(*(worker.end() for worker in self.processes))
