"""The faults of a plan at work, each told in the history as it begins and as it ends."""

from __future__ import annotations

import asyncio
import signal
from typing import Any, Protocol

from workbench.emulator.nodes import Site
from workbench.lab.fleet import Fleet, Member, ask
from workbench.lab.network import Links, Rule
from workbench.lab.plan import Fault, Plan, number

RESTART_SIGNALS = {"kill": signal.SIGKILL, "term": signal.SIGTERM}
END_MOST = 10.0  # seconds that a process has to end after SIGTERM


class FaultyLab(Protocol):
    """What faults use of the lab that they strike."""

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

    def tell(self, event: str, **fields: Any) -> None:
        """Writes one line of the history."""

    def pick(self, who: Any, key: str) -> list[str]:
        """Names of the nodes that a fault strikes."""


class Faults:
    """Plays them side by side, a task each. `over_at`: the loop's time when the last was over."""

    def __init__(self, lab: FaultyLab) -> None:
        self.lab = lab
        self.tasks: list[asyncio.Task[None]] = []
        self.open = 0
        self.over_at: float | None = None

    def begin(self) -> None:
        plan = self.lab.plan
        self.open = len(plan.fault)
        if not self.open:
            self.over_at = self.lab.loop.time()
        for i, fault in enumerate(plan.fault):
            self.tasks.append(self.lab.loop.create_task(self.play(i, fault)))

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def play(self, i: int, fault: Fault) -> None:
        await asyncio.sleep(number(fault.at_s))
        names = self.lab.pick(fault, f"fault/{i}")
        self.lab.tell(
            "fault",
            what="begin",
            number=i,
            type=fault.type,
            on=names,
            way=fault.way,
            most=int(number(fault.most)),
        )
        await getattr(self, f"play_{fault.type}")(fault, names)
        self.lab.tell("fault", what="end", number=i, type=fault.type, on=names)
        self.open -= 1
        if not self.open:
            self.over_at = self.lab.loop.time()

    def members(self, names: list[str]) -> list[Member]:
        return [m for m in self.lab.fleet.members if m.name in names]

    # ---- processes ------------------------------------------------------------------------------------

    async def play_kill(self, fault: Fault, names: list[str]) -> None:
        await self.end(fault, names, signal.SIGKILL)

    async def play_term(self, fault: Fault, names: list[str]) -> None:
        await self.end(fault, names, signal.SIGTERM)

    async def end(self, fault: Fault, names: list[str], how: signal.Signals) -> None:
        for member in self.members(names):
            member.signal(how)
        await asyncio.sleep(number(fault.for_s))
        if fault.back:
            await asyncio.gather(*(self.back(m) for m in self.members(names)))

    async def play_pause(self, fault: Fault, names: list[str]) -> None:
        for member in self.members(names):
            member.signal(signal.SIGSTOP)
        await asyncio.sleep(number(fault.for_s))
        for member in self.members(names):
            member.signal(signal.SIGCONT)

    async def play_replace(self, fault: Fault, names: list[str]) -> None:
        """One after the other, each once its successor takes clients."""
        for member in self.members(names) or self.lab.fleet.members:
            member.signal(signal.SIGTERM)
            await self.back(member)

    async def play_fleet_replace(self, fault: Fault, names: list[str]) -> None:
        """The fleet is told to replace itself, through one node's page; over when a page says so."""
        members = self.members(names) or self.lab.fleet.members
        most = int(number(fault.most))
        path = b"/fleet/replace?do=begin&most=%d" % most
        reply = await ask(self.lab.loop, members[0].pages, path, 2.0, b"PUT")
        if reply is None or reply.status != 200:
            self.lab.tell("process", node=members[0].name, what="no replacement", life=members[0].life)
            return
        end = self.lab.loop.time() + number(fault.for_s)
        while self.lab.loop.time() < end:
            if any((m.page.get("replace") or {}).get("state") == "done" for m in self.lab.fleet.members):
                return
            await asyncio.sleep(0.1)

    async def play_voters(self, fault: Fault, names: list[str]) -> None:
        """The list of voters is changed as operators do: every process anew with both, then with the new one
        alone, `for_s` apart."""
        for both in (True, False):
            for member in self.lab.fleet.members:
                if both:
                    member.voters, member.old_voters = fault.voters, member.voters
                else:
                    member.old_voters = []
                member.signal(signal.SIGTERM)
                await self.back(member)
                await asyncio.sleep(number(fault.for_s))

    async def play_zone_leave(self, fault: Fault, names: list[str]) -> None:
        """An operator takes the fleet's calls out of the zone of those chosen, through another's page."""
        site, members = self.lab.site, self.lab.fleet.members
        chosen = {m.node.zone for m in self.members(names)}
        others = [m for m in members if m.node.zone not in chosen and m.running]
        asked = next((m for m in members if m.name == fault.through), (others or members)[0])
        for zone in sorted(chosen):
            path = b"/fleet/zone?do=leave&zone=%b&for_s=%d" % (
                site.zone_name(zone).encode(),
                max(1, int(number(fault.for_s))),
            )
            reply = await ask(self.lab.loop, asked.scripts, path, 2.0, b"PUT")
            if reply is None or reply.status != 200:
                self.lab.tell("process", node=asked.name, what="no order", life=asked.life)
        await asyncio.sleep(number(fault.for_s))

    async def back(self, member: Member) -> None:
        """The process ends, and another comes up in its place."""
        await self.ended(member)
        member.start()
        try:
            await asyncio.wait_for(member.ready.wait(), number(self.lab.plan.ready_s))
        except TimeoutError:
            self.lab.tell("process", node=member.name, what="not ready", life=member.life)

    async def ended(self, member: Member) -> None:
        """The process has ended; SIGKILL is given to one that takes too long."""
        try:
            await asyncio.wait_for(member.gone.wait(), END_MOST)
        except TimeoutError:
            member.signal(signal.SIGKILL)
            await member.gone.wait()

    # ---- the network and clocks -----------------------------------------------------------------------

    async def play_cut(self, fault: Fault, names: list[str]) -> None:
        await self.rule(fault, names)

    async def play_links(self, fault: Fault, names: list[str]) -> None:
        await self.rule(fault, names)

    async def rule(self, fault: Fault, names: list[str]) -> None:
        zones = {n.zone for n in self.lab.site.nodes}
        inside = {z for z in zones if all(n.name in names for n in self.lab.site.nodes if n.zone == z)}
        rule = Rule(fault, names, inside)
        self.lab.links.lay(rule, True)
        await asyncio.sleep(number(fault.for_s))
        self.lab.links.lay(rule, False)

    async def play_clock(self, fault: Fault, names: list[str]) -> None:
        """The wall clocks step, under running processes or between two lives; with `back`, they step back."""
        set_right_at = self.lab.loop.time() + number(fault.for_s)
        step = int(number(fault.offset_ms))
        members = self.members(names)
        if fault.restart != "none":
            await asyncio.gather(*(self.restart_stepped(fault, m, step) for m in members))
        else:
            for member in members:
                member.step_clock(step)
        await asyncio.sleep(max(0.0, set_right_at - self.lab.loop.time()))
        if fault.back:
            for member in members:
                member.step_clock(-step)

    async def restart_stepped(self, fault: Fault, member: Member, step: int) -> None:
        """A process ends; the next one starts with the stepped clock."""
        member.signal(RESTART_SIGNALS[fault.restart])
        await self.ended(member)
        member.step_clock(step)
        await asyncio.sleep(number(fault.down_s))
        await self.back(member)
