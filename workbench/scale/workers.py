"""The parent's side of the workers: processes tied to this one, a request and a reply at a time."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from typing import TypeVar

from workbench.emulator.child_process import wrap_with_parent_death_signal
from workbench.scale.messages import LENGTH, Failed, Reply, Request, frame, reply_decoder

COMMAND = [sys.executable, "-m", "workbench.scale.worker"]
REPLY_S = 120.0  # the longest that a worker may take for one reply
END_S = 5.0  # that a worker has to end once its input is closed

R = TypeVar("R")


class WorkerError(Exception):
    """A worker that is gone or cannot do what it was asked: one line."""


class WorkerProcess:
    """One worker."""

    def __init__(self, number: int, process: asyncio.subprocess.Process) -> None:
        self.number = number
        self.process = process

    @classmethod
    async def start(cls, number: int) -> WorkerProcess:
        """A worker in a session of its own, so that Ctrl-C is the parent's alone. The kernel kills it when
        the parent ends, however that ends."""
        process = await asyncio.create_subprocess_exec(
            *wrap_with_parent_death_signal(COMMAND),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        return cls(number, process)

    async def ask(self, request: Request, kind: type[R]) -> R:
        """Sends a request and waits for its reply, which must be of this kind. WorkerError."""
        try:
            reply = await asyncio.wait_for(self.exchange(request), REPLY_S)
        except TimeoutError:
            raise WorkerError(f"worker {self.number}: no reply within {REPLY_S:g} s") from None
        except (OSError, asyncio.IncompleteReadError):
            status = await self.process.wait()
            raise WorkerError(f"worker {self.number}: ended with status {status}") from None
        if isinstance(reply, Failed):
            raise WorkerError(f"worker {self.number}: {reply.reason}")
        if not isinstance(reply, kind):
            raise WorkerError(
                f"worker {self.number}: replied {type(reply).__name__} to {type(request).__name__}"
            )
        return reply

    async def exchange(self, request: Request) -> Reply:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(frame(request))
        await self.process.stdin.drain()
        size = LENGTH.unpack(await self.process.stdout.readexactly(LENGTH.size))[0]
        return reply_decoder.decode(await self.process.stdout.readexactly(size))

    async def end(self) -> None:
        """Closes its input, on which it ends; kills it where it does not."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), END_S)
        except TimeoutError:
            with suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


class Workers:
    """All workers of a run. The last one has no members: what it spends is spent by the loop alone."""

    def __init__(self) -> None:
        self.processes: list[WorkerProcess] = []

    async def start(self, count: int) -> None:
        """So many with members, and the idle one."""
        for number in range(count + 1):
            self.processes.append(await WorkerProcess.start(number))

    async def ask_all(self, request: Request, kind: type[R]) -> list[R]:
        """The same request to all, answered in their order. WorkerError."""
        return await self.ask_each([request] * len(self.processes), kind)

    async def ask_each(self, requests: list[Request], kind: type[R]) -> list[R]:
        """A request to each, at the same time."""
        pairs = zip(self.processes, requests, strict=True)
        return list(await asyncio.gather(*(worker.ask(request, kind) for worker, request in pairs)))

    async def end(self) -> None:
        """Ends all."""
        await asyncio.gather(*(worker.end() for worker in self.processes))
