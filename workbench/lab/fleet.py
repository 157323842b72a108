"""The nodes of a lab as a fleet: started, awaited and stopped together."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from workbench.emulator.nodes import NodeAdapter, Site
from workbench.lab.member import Member
from workbench.lab.plan import Plan, number

KILL_TIMEOUT_S = 5.0  # that a process has to end after SIGKILL

Record = Callable[..., None]  # writes one event of the history


class Fleet:
    """All nodes of a lab; it controls the processes for the emulated world's own faults.

    Args:
        plan: The plan of the run.
        site: The emulated site with the nodes.
        folder: Where the nodes' files are.
        record: Writes one event of the history.

    Attributes:
        unexpected_exits: What is known of each process that ended unasked.
        failed: Set once a process ended unasked.
        earlier: Where the node of an earlier revision lies, if a member is of one.
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
        self.earlier = folder / "earlier"

    def add(self, faulty_nodes: dict[str, str]) -> None:
        """Makes the members; `faulty_nodes` has the kind of fault by the node's name."""
        self.members = [Member(self, node, faulty_nodes.get(node.name, "")) for node in self.site.nodes]

    def boot(self, node: NodeAdapter) -> None:
        """Starts a node's process for the emulated world."""
        if self.members:
            self.members[node.index].start()

    def terminate(self, node: NodeAdapter) -> None:
        """Asks a node's process to stop, for the emulated world."""
        self.members[node.index].signal(signal.SIGTERM)

    def kill(self, node: NodeAdapter) -> None:
        """Kills a node's process for the emulated world."""
        self.members[node.index].signal(signal.SIGKILL)

    def on_unexpected_exit(self, member: Member) -> None:
        """Takes notice of a process that ended unasked."""
        what = f"{member.name}: life {member.process_number} ended unasked: {member.last_line()}"
        self.unexpected_exits.append(what)
        self.failed.set()

    async def all_ready(self) -> str:
        """Waits until every node is ready; returns "" or what went wrong, with the node's name."""
        waits = {self.loop.create_task(m.ready.wait()): m for m in self.members}
        failure = self.loop.create_task(self.failed.wait())
        timeout_s = number(self.plan.ready_s)
        deadline = self.loop.time() + timeout_s
        try:
            while waits:
                done, _ = await asyncio.wait(
                    {*waits, failure},
                    timeout=max(0, deadline - self.loop.time()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if failure in done:
                    return self.unexpected_exits[0]
                if not done:
                    late = min(waits.values(), key=lambda m: m.node.index)
                    return f"{late.name}: not ready after {timeout_s:g} s: {late.last_line()}"
                for task in done:
                    del waits[task]
            return ""
        finally:
            for task in (*waits, failure):
                task.cancel()

    async def stop(self, timeout_s: float) -> None:
        """Ends all processes: by SIGTERM, and by SIGKILL those that still run after a time."""
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
