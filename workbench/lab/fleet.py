"""The nodes of a lab as a group that is started, awaited and stopped together."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from workbench.emulator.nodes import NodeAdapter, Site
from workbench.lab.member import Member
from workbench.lab.plan import Plan, drawn_value

KILL_TIMEOUT_S = 5.0  # Time for a process to exit after SIGKILL.

Record = Callable[..., None]  # A function that writes one event to the history.


class Fleet:
    """All nodes of a lab; also starts and stops processes on behalf of the emulated world.

    Args:
        plan: The plan of the run.
        site: The emulated site with the nodes.
        folder: The directory for the nodes' files.
        record: Writes one event to the history.

    Attributes:
        unexpected_exits: A description of each process that exited without being asked to.
        failed: Set once a process exited without being asked to.
        earlier_folder: The directory of the earlier revision's package, if a member runs one.
    """

    def __init__(self, plan: Plan, site: Site, folder: Path, record: Record) -> None:
        self.plan = plan
        self.site = site
        self.loop = site.loop
        self.folder = folder
        self.record = record
        self.members: list[Member] = []
        self.unexpected_exits: list[str] = []
        self.failed = asyncio.Event()
        self.stopping = False
        self.earlier_folder = folder / "earlier"

    def add(self, faulty_nodes: dict[str, str]) -> None:
        """Create the members; `faulty_nodes` maps the name of a node to its kind of fault."""
        self.members = [Member(self, node, faulty_nodes.get(node.name, "")) for node in self.site.nodes]

    def boot(self, node: NodeAdapter) -> None:
        """Start a node's process on behalf of the emulated world."""
        if self.members:
            self.members[node.index].start()

    def terminate(self, node: NodeAdapter) -> None:
        """Ask a node's process to stop on behalf of the emulated world."""
        self.members[node.index].signal(signal.SIGTERM)

    def kill(self, node: NodeAdapter) -> None:
        """Kill a node's process on behalf of the emulated world."""
        self.members[node.index].signal(signal.SIGKILL)

    def on_unexpected_exit(self, member: Member) -> None:
        """Handle a process that exited without being asked to."""
        description = (
            f"{member.name}: process {member.process_number} exited unexpectedly: {member.last_line()}"
        )
        self.unexpected_exits.append(description)
        self.failed.set()

    async def wait_all_ready(self) -> str:
        """Wait until every node is ready; return "", or what failed with the name of the node."""
        ready_tasks = {self.loop.create_task(m.ready.wait()): m for m in self.members}
        failure = self.loop.create_task(self.failed.wait())
        timeout_s = drawn_value(self.plan.ready_s)
        deadline = self.loop.time() + timeout_s
        try:
            while ready_tasks:
                done, _ = await asyncio.wait(
                    {*ready_tasks, failure},
                    timeout=max(0, deadline - self.loop.time()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if failure in done:
                    return self.unexpected_exits[0]
                if not done:
                    late = min(ready_tasks.values(), key=lambda m: m.node.index)
                    return f"{late.name}: not ready after {timeout_s:g} s: {late.last_line()}"
                for task in done:
                    del ready_tasks[task]
            return ""
        finally:
            for task in (*ready_tasks, failure):
                task.cancel()

    async def stop(self, timeout_s: float) -> None:
        """Stop all processes with SIGTERM; after `timeout_s`, kill those that still run."""
        self.stopping = True
        for member in self.members:
            if member.process is not None and member.process.paused:
                member.signal(signal.SIGCONT)
            member.signal(signal.SIGTERM)
        exits = [self.loop.create_task(m.exited.wait()) for m in self.members]
        if exits:
            await asyncio.wait(exits, timeout=timeout_s)
        for member in self.members:
            if member.running:
                member.signal(signal.SIGKILL)
        if exits:
            await asyncio.wait(exits, timeout=KILL_TIMEOUT_S)
        for task in exits:
            task.cancel()
        for member in self.members:
            member.close()
