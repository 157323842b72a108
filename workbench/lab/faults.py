"""Plays the faults of a plan; the history records the begin and the end of each."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Protocol

from workbench.emulator.nodes import Site
from workbench.lab.fleet import Fleet
from workbench.lab.management import fetch
from workbench.lab.member import Member
from workbench.lab.network import LinkFaultRule, Links
from workbench.lab.plan import Fault, NodeSelection, Plan, number

RESTART_SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM}
EXIT_TIMEOUT_S = 10.0  # that a process has to end after SIGTERM
COMMAND_TIMEOUT_S = 2.0  # that a node has to take an operator's command
UPDATE_POLL_S = 0.1  # from one look for a completed rolling update to the next
OK = 200


class FaultyLab(Protocol):
    """What faults use of the lab that they act on."""

    @property
    def plan(self) -> Plan:
        """The plan that has the faults."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop, whose time faults begin and end by."""

    @property
    def fleet(self) -> Fleet:
        """The processes of the nodes."""

    @property
    def site(self) -> Site:
        """The nodes and their zones."""

    @property
    def links(self) -> Links:
        """The network between the nodes."""

    def record(self, event: str, **fields: Any) -> None:
        """Writes one event of the history."""

    def select_nodes(self, selection: NodeSelection, key: str) -> list[str]:
        """Returns the names of the nodes that a fault affects."""


class Faults:
    """Plays the faults of a lab's plan side by side, a task each.

    Attributes:
        active: Faults that are not over yet.
        over_at: The event loop's time when the last one was over; None before.
    """

    def __init__(self, lab: FaultyLab) -> None:
        self.lab = lab
        self.tasks: list[asyncio.Task[None]] = []
        self.active = 0
        self.over_at: float | None = None

    def begin(self) -> None:
        """Starts a task for each fault."""
        plan = self.lab.plan
        self.active = len(plan.fault)
        if not self.active:
            self.over_at = self.lab.loop.time()
        for i, fault in enumerate(plan.fault):
            self.tasks.append(self.lab.loop.create_task(self.play(i, fault)))

    def stop(self) -> None:
        """Cancels the faults that are not over."""
        for task in self.tasks:
            task.cancel()

    async def play(self, i: int, fault: Fault) -> None:
        """Plays one fault from its begin to its end."""
        await asyncio.sleep(number(fault.at_s))
        names = self.lab.select_nodes(fault, f"fault/{i}")
        self.lab.record(
            "fault",
            what="begin",
            number=i,
            type=fault.type,
            on=names,
            way=fault.way,
            most=int(number(fault.most)),
        )
        await getattr(self, f"play_{fault.type}")(fault, names)
        self.lab.record("fault", what="end", number=i, type=fault.type, on=names)
        self.active -= 1
        if not self.active:
            self.over_at = self.lab.loop.time()

    def members(self, names: list[str]) -> list[Member]:
        """Returns the members with given names."""
        return [m for m in self.lab.fleet.members if m.name in names]

    # ---- processes ------------------------------------------------------------------------------------

    async def play_kill(self, fault: Fault, names: list[str]) -> None:
        """Kills processes."""
        await self.stop_processes(fault, names, signal.SIGKILL)

    async def play_term(self, fault: Fault, names: list[str]) -> None:
        """Asks processes to stop."""
        await self.stop_processes(fault, names, signal.SIGTERM)

    async def stop_processes(self, fault: Fault, names: list[str], stop_signal: signal.Signals) -> None:
        """Sends a signal, and restarts the processes after the fault's time if the fault says so."""
        for member in self.members(names):
            member.signal(stop_signal)
        await asyncio.sleep(number(fault.for_s))
        if fault.back:
            await asyncio.gather(*(self.restart(m) for m in self.members(names)))

    async def play_pause(self, fault: Fault, names: list[str]) -> None:
        """Pauses processes for the fault's time."""
        for member in self.members(names):
            member.signal(signal.SIGSTOP)
        await asyncio.sleep(number(fault.for_s))
        for member in self.members(names):
            member.signal(signal.SIGCONT)

    async def play_replace(self, fault: Fault, names: list[str]) -> None:
        """Replaces processes one after the other, each once the last one's successor takes clients."""
        for member in self.members(names) or self.lab.fleet.members:
            member.signal(signal.SIGTERM)
            await self.restart(member)

    async def play_fleet_replace(self, fault: Fault, names: list[str]) -> None:
        """Begins a rolling update through one node's page, and waits until a page reports it done."""
        members = self.members(names) or self.lab.fleet.members
        first = members[0]
        path = b"/fleet/replace?do=begin&most=%d" % int(number(fault.most))
        response = await fetch(self.lab.loop, first.view_pool, path, COMMAND_TIMEOUT_S, b"PUT")
        if response is None or response.status != OK:
            self.lab.record("process", node=first.name, what="no replacement", life=first.process_number)
            return
        end = self.lab.loop.time() + number(fault.for_s)
        while self.lab.loop.time() < end:
            if any(m.reports_update_done() for m in self.lab.fleet.members):
                return
            await asyncio.sleep(UPDATE_POLL_S)

    async def play_voters(self, fault: Fault, names: list[str]) -> None:
        """Changes the list of voters as operators do.

        Every process is restarted with both lists, then with the new one alone, `for_s` apart.
        """
        for both in (True, False):
            for member in self.lab.fleet.members:
                if both:
                    member.voters, member.old_voters = fault.voters, member.voters
                else:
                    member.old_voters = []
                member.signal(signal.SIGTERM)
                await self.restart(member)
                await asyncio.sleep(number(fault.for_s))

    async def play_zone_leave(self, fault: Fault, names: list[str]) -> None:
        """Evacuates the zones of the nodes by a directive, through the page of a node outside."""
        site, members = self.lab.site, self.lab.fleet.members
        zones = {m.node.zone for m in self.members(names)}
        others = [m for m in members if m.node.zone not in zones and m.running]
        member = next((m for m in members if m.name == fault.through), (others or members)[0])
        for zone in sorted(zones):
            path = b"/fleet/zone?do=leave&zone=%b&for_s=%d" % (
                site.zone_name(zone).encode(),
                max(1, int(number(fault.for_s))),
            )
            response = await fetch(self.lab.loop, member.command_pool, path, COMMAND_TIMEOUT_S, b"PUT")
            if response is None or response.status != OK:
                self.lab.record("process", node=member.name, what="no order", life=member.process_number)
        await asyncio.sleep(number(fault.for_s))

    async def restart(self, member: Member) -> None:
        """Starts a process once the last one has ended, and waits until it is ready."""
        await self.wait_exited(member)
        member.start()
        try:
            await asyncio.wait_for(member.ready.wait(), number(self.lab.plan.ready_s))
        except TimeoutError:
            self.lab.record("process", node=member.name, what="not ready", life=member.process_number)

    async def wait_exited(self, member: Member) -> None:
        """Waits until a process has ended; kills one that takes too long."""
        try:
            await asyncio.wait_for(member.exited.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            member.signal(signal.SIGKILL)
            await member.exited.wait()

    # ---- the network and clocks -----------------------------------------------------------------------

    async def play_cut(self, fault: Fault, names: list[str]) -> None:
        """Partitions the nodes from all others."""
        await self.play_on_links(fault, names)

    async def play_links(self, fault: Fault, names: list[str]) -> None:
        """Degrades the links of the nodes."""
        await self.play_on_links(fault, names)

    async def play_on_links(self, fault: Fault, names: list[str]) -> None:
        """Applies a fault to links for its time; a zone's servers are affected if all its nodes are."""
        nodes = self.lab.site.nodes
        zones = {node.zone for node in nodes} - {node.zone for node in nodes if node.name not in names}
        rule = LinkFaultRule(fault, names, zones)
        self.lab.links.begin(rule)
        await asyncio.sleep(number(fault.for_s))
        self.lab.links.end(rule)

    async def play_clock(self, fault: Fault, names: list[str]) -> None:
        """Steps wall clocks, under running processes or between two; with `back`, they step back."""
        step_back_at = self.lab.loop.time() + number(fault.for_s)
        step = int(number(fault.offset_ms))
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
        """Ends a process; the next one starts with the stepped clock."""
        member.signal(RESTART_SIGNALS[fault.restart])
        await self.wait_exited(member)
        member.step_clock(step)
        await asyncio.sleep(number(fault.down_s))
        await self.restart(member)
