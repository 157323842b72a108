"""Injection of a plan's faults; the history records the start and the end of each."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Protocol

from workbench.emulator.nodes import Site
from workbench.lab.fleet import Fleet
from workbench.lab.management import fetch
from workbench.lab.member import Member
from workbench.lab.network import LinkFaultRule, Links
from workbench.lab.plan import Fault, NodeSelection, Plan, drawn_value

RESTART_SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM}
EXIT_TIMEOUT_S = 10.0  # Time for a process to exit after SIGTERM.
COMMAND_TIMEOUT_S = 2.0  # Time for a node to answer an operator's command.
UPDATE_POLL_INTERVAL_S = 0.1
HTTP_OK = 200


class FaultTarget(Protocol):
    """The interface of the lab that faults are injected into."""

    @property
    def plan(self) -> Plan:
        """The plan whose faults are injected."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop, whose clock determines when faults start and end."""

    @property
    def fleet(self) -> Fleet:
        """The members, each of which controls the processes of one node."""

    @property
    def site(self) -> Site:
        """The nodes and their zones."""

    @property
    def links(self) -> Links:
        """The emulated network links."""

    def record(self, event: str, **fields: Any) -> None:
        """Write one event to the history."""

    def select_nodes(self, selection: NodeSelection, key: str) -> list[str]:
        """Return the names of the nodes that a fault affects."""


class FaultInjector:
    """Injects the faults of a lab's plan concurrently, one task for each.

    Attributes:
        unfinished: Number of faults that have not ended yet.
        ended_at: The event loop's time when the last fault ended; None before that.
    """

    def __init__(self, lab: FaultTarget) -> None:
        self.lab = lab
        self.tasks: list[asyncio.Task[None]] = []
        self.unfinished = 0
        self.ended_at: float | None = None

    def begin(self) -> None:
        """Start one task for each fault."""
        plan = self.lab.plan
        self.unfinished = len(plan.fault)
        if not self.unfinished:
            self.ended_at = self.lab.loop.time()
        for index, fault in enumerate(plan.fault):
            self.tasks.append(self.lab.loop.create_task(self.inject(index, fault)))

    def stop(self) -> None:
        """Cancel the faults that have not ended."""
        for task in self.tasks:
            task.cancel()

    async def inject(self, index: int, fault: Fault) -> None:
        """Wait until a fault is due, inject it, and record its start and its end."""
        await asyncio.sleep(drawn_value(fault.at_s))
        names = self.lab.select_nodes(fault, f"fault/{index}")
        self.lab.record(
            "fault",
            what="begin",
            number=index,
            type=fault.type,
            on=names,
            way=fault.way,
            most=int(drawn_value(fault.most)),
        )
        await getattr(self, f"inject_{fault.type}")(fault, names)
        self.lab.record("fault", what="end", number=index, type=fault.type, on=names)
        self.unfinished -= 1
        if not self.unfinished:
            self.ended_at = self.lab.loop.time()

    def members(self, names: list[str]) -> list[Member]:
        """Return the members with the given names."""
        return [member for member in self.lab.fleet.members if member.name in names]

    # ---- processes ------------------------------------------------------------------------------------

    async def inject_kill(self, fault: Fault, names: list[str]) -> None:
        """Kill the processes of the nodes."""
        await self.stop_processes(fault, names, signal.SIGKILL)

    async def inject_term(self, fault: Fault, names: list[str]) -> None:
        """Ask the processes of the nodes to stop."""
        await self.stop_processes(fault, names, signal.SIGTERM)

    async def stop_processes(self, fault: Fault, names: list[str], stop_signal: signal.Signals) -> None:
        """Send a signal to processes; after `for_s`, restart them if the fault has `back` set."""
        for member in self.members(names):
            member.signal(stop_signal)
        await asyncio.sleep(drawn_value(fault.for_s))
        if fault.back:
            await asyncio.gather(*(self.restart(m) for m in self.members(names)))

    async def inject_pause(self, fault: Fault, names: list[str]) -> None:
        """Pause the processes of the nodes for the fault's duration."""
        for member in self.members(names):
            member.signal(signal.SIGSTOP)
        await asyncio.sleep(drawn_value(fault.for_s))
        for member in self.members(names):
            member.signal(signal.SIGCONT)

    async def inject_replace(self, fault: Fault, names: list[str]) -> None:
        """Replace processes one by one; each new process must be ready before the next one is replaced."""
        for member in self.members(names) or self.lab.fleet.members:
            member.signal(signal.SIGTERM)
            await self.restart(member)

    async def inject_fleet_replace(self, fault: Fault, names: list[str]) -> None:
        """Start a rolling update through one node's management address and wait until it is done."""
        members = self.members(names) or self.lab.fleet.members
        coordinator = members[0]
        path = b"/fleet/replace?do=begin&most=%d" % int(drawn_value(fault.most))
        response = await fetch(self.lab.loop, coordinator.view_pool, path, COMMAND_TIMEOUT_S, b"PUT")
        if response is None or response.status != HTTP_OK:
            self.lab.record(
                "process", node=coordinator.name, what="no replacement", life=coordinator.process_number
            )
            return
        end = self.lab.loop.time() + drawn_value(fault.for_s)
        while self.lab.loop.time() < end:
            if any(m.reports_update_done() for m in self.lab.fleet.members):
                return
            await asyncio.sleep(UPDATE_POLL_INTERVAL_S)

    async def inject_voters(self, fault: Fault, names: list[str]) -> None:
        """Replace the list of voters in two steps, as operators do.

        Restart every process with both lists, then every process with the new list only. Wait `for_s` after
        each restart.
        """
        for with_old_voters in (True, False):
            for member in self.lab.fleet.members:
                if with_old_voters:
                    member.voters, member.old_voters = fault.voters, member.voters
                else:
                    member.old_voters = []
                member.signal(signal.SIGTERM)
                await self.restart(member)
                await asyncio.sleep(drawn_value(fault.for_s))

    async def inject_zone_leave(self, fault: Fault, names: list[str]) -> None:
        """Evacuate the zones of the nodes by a directive that is given to a node outside these zones."""
        site, members = self.lab.site, self.lab.fleet.members
        zones = {m.node.zone for m in self.members(names)}
        outside = [m for m in members if m.node.zone not in zones and m.running]
        member = next((m for m in members if m.name == fault.through), (outside or members)[0])
        for zone in sorted(zones):
            path = b"/fleet/zone?do=leave&zone=%b&for_s=%d" % (
                site.zone_name(zone).encode(),
                max(1, int(drawn_value(fault.for_s))),
            )
            response = await fetch(self.lab.loop, member.command_pool, path, COMMAND_TIMEOUT_S, b"PUT")
            if response is None or response.status != HTTP_OK:
                self.lab.record("process", node=member.name, what="no order", life=member.process_number)
        await asyncio.sleep(drawn_value(fault.for_s))

    async def restart(self, member: Member) -> None:
        """Start a new process once the previous one has ended, and wait until it is ready."""
        await self.wait_exited(member)
        member.start()
        try:
            await asyncio.wait_for(member.ready.wait(), drawn_value(self.lab.plan.ready_s))
        except TimeoutError:
            self.lab.record("process", node=member.name, what="not ready", life=member.process_number)

    async def wait_exited(self, member: Member) -> None:
        """Wait until a process has ended; kill it after `EXIT_TIMEOUT_S`."""
        try:
            await asyncio.wait_for(member.exited.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            member.signal(signal.SIGKILL)
            await member.exited.wait()

    # ---- network and clocks -----------------------------------------------------------------------

    async def inject_cut(self, fault: Fault, names: list[str]) -> None:
        """Separate the nodes from all others by a network partition."""
        await self.apply_to_links(fault, names)

    async def inject_links(self, fault: Fault, names: list[str]) -> None:
        """Degrade the links of the nodes, for example by loss or delay."""
        await self.apply_to_links(fault, names)

    async def apply_to_links(self, fault: Fault, names: list[str]) -> None:
        """Apply a fault to links for its duration; a zone's servers are affected if all its nodes are."""
        nodes = self.lab.site.nodes
        zones = {node.zone for node in nodes} - {node.zone for node in nodes if node.name not in names}
        rule = LinkFaultRule(fault, names, zones)
        self.lab.links.begin(rule)
        await asyncio.sleep(drawn_value(fault.for_s))
        self.lab.links.end(rule)

    async def inject_clock(self, fault: Fault, names: list[str]) -> None:
        """Step wall clocks, either of running processes or between two processes of a node.

        With `back` set, the clocks are stepped back at the end of the fault.
        """
        step_back_at = self.lab.loop.time() + drawn_value(fault.for_s)
        step = int(drawn_value(fault.offset_ms))
        members = self.members(names)
        if fault.restart != "none":
            await asyncio.gather(*(self.restart_stepped(fault, m, step) for m in members))
        else:
            for member in members:
                member.step_clock(step)
        await asyncio.sleep(max(0.0, step_back_at - self.lab.loop.time()))
        if fault.back:
            for member in members:
                member.step_clock(-step)

    async def restart_stepped(self, fault: Fault, member: Member, step: int) -> None:
        """End a process, step its clock, and start the next one after the fault's downtime."""
        member.signal(RESTART_SIGNALS[fault.restart])
        await self.wait_exited(member)
        member.step_clock(step)
        await asyncio.sleep(drawn_value(fault.down_s))
        await self.restart(member)
