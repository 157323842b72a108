"""One run of a lab: nodes up, clients on, faults by plan, and a history of all that was seen."""

from __future__ import annotations

import asyncio
import gc
import shutil
import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from time import time_ns
from typing import Any

import msgspec
import uvloop

from workbench.emulator.address_block import AddressBlock
from workbench.emulator.clock import RealTimeClock
from workbench.emulator.links import Link
from workbench.emulator.nodes import NoProcessControl, Site
from workbench.lab.earlier import unpack
from workbench.lab.faults import Faults
from workbench.lab.fleet import Fleet, Member
from workbench.lab.history import Event, History, HistoryError, read
from workbench.lab.network import End, Links, Relay
from workbench.lab.plan import Plan, chosen, number, scenario
from workbench.model.network import num, one_way
from workbench.model.site import BEGIN, World
from workbench.model.streams import Streams
from workbench.scenario.load import draw as draw_day
from workbench.simulator.play import made

LOOK = 0.25  # seconds between two looks at the nodes' views
SAMPLE = 1.0
TAIL = 10.0  # seconds that open requests have after the last one came
STOP = 5.0  # seconds that processes have to end
LATE = 50.0  # milliseconds: a machine that was later makes a run that does not count

Progress = Callable[[str, float], None]


@dataclass
class Outcome:
    """What came of a run. `trouble`: why it was broken off, if it was; `counted`: the machine kept up."""

    events: list[Event] = field(default_factory=list)
    trouble: str = ""
    counted: bool = True
    late_ms: float = 0.0
    stopped: bool = False  # by Ctrl-C


class Lab:
    """Everything that one run holds; `run` lets go of it all."""

    def __init__(self, plan: Plan, folder: Path, history: Path, progress: Progress) -> None:
        self.plan = plan
        self.folder = folder
        self.progress = progress
        self.loop = asyncio.get_running_loop()
        self.day = draw_day(scenario(plan), plan.seed)
        self.streams = Streams(plan.seed)
        self.clock = RealTimeClock(self.loop, BEGIN)
        self.places = AddressBlock()
        self.history = History(history)
        self.late_ms = 0.0
        self.links = Links(self.clock, self.streams, lambda a, b: one_way(self.day, a, b))
        epoch = time_ns() // 1_000_000 - BEGIN // 1000
        self.site = Site(self.loop, self.clock, self.places, NoProcessControl(), self.tell, self.link, epoch)
        self.world = World(self.day, self.clock, self.site)
        self.ends = [End(n.name, n.zone, True) for n in self.site.nodes]
        self.relay = Relay(self.loop, self.clock, self.places, self.links)
        self.fleet = self.site.control = Fleet(plan, self.site, folder, self.tell)
        self.faults = Faults(self)
        self.stop = asyncio.Event()
        of_earlier = any(m.kind == "earlier" for m in plan.mischief)
        self.revision = unpack(plan.earlier, self.fleet.earlier) if of_earlier else ""
        self.tasks: set[asyncio.Task[None]] = set()

    # ---- what its parts ask ---------------------------------------------------------------------------

    def tell(self, event: str, **fields: Any) -> None:
        """One line of the history, now."""
        self.history.write((self.clock.real() - BEGIN) / 1e6, event, **fields)
        if self.history.fault:
            self.stop.set()

    def link(self, a: str, zone: int, b: str, other: int) -> Link:
        return self.links.between(End(a, zone, a in self.node_names()), End(b, other, b in self.node_names()))

    def node_names(self) -> set[str]:
        return {n.name for n in self.site.nodes}

    def pick(self, who: Any, key: str) -> list[str]:
        """The nodes that a fault or mischief of the plan takes."""
        names, zones = [n.name for n in self.site.nodes], [n.zone for n in self.site.nodes]
        return chosen(who, names, zones, int(number(self.plan.regions)), self.streams, key)

    # ---- the run --------------------------------------------------------------------------------------

    async def run(self) -> str:
        """Plays the plan. What went wrong before its end, or nothing."""
        self.tell(
            "run",
            plan=msgspec.to_builtins(self.plan),
            made=made(self.day, "lab", []),
            nodes=[[n.name, n.zone] for n in self.site.nodes],
            aims={
                k.name: [c.latency_objective, c.deadline]
                for k, c in zip(self.day.request_classes, self.world.classes, strict=True)
            },
            slack=self.world.slack,
            stop_sending=self.world.referee.stop_sending,
            max_attempts=self.site.nodes[0].settings.max_attempts,
            earlier=self.revision,
        )
        trouble = ""
        try:
            if not self.history.fault:
                trouble = await self.play()
        finally:
            await self.finish(trouble)
        return trouble

    async def play(self) -> str:
        self.progress("starting", 0.0)
        self.site.start()
        await self.relay.open(self.ends)
        mischief: dict[str, str] = {
            name: m.kind for i, m in enumerate(self.plan.mischief) for name in self.pick(m, f"mischief/{i}")
        }
        for name, kind in mischief.items():
            self.tell("mischief", node=name, kind=kind)
        self.fleet.add(mischief)
        for member in self.fleet.members:
            member.start()
        trouble = await self.fleet.all_ready()
        if trouble or self.stop.is_set():
            return trouble
        self.spawn(self.watch())
        await self.joined(mischief)
        gc.collect()
        gc.freeze()
        self.clock.catch_up()
        self.clock.take_max_lateness()
        self.late_ms = 0.0  # what came before is the start of many processes at once
        self.world.start()
        self.tell("go")
        self.faults.begin()
        await self.until_over()
        return ""

    async def joined(self, mischief: dict[str, str]) -> None:
        """Waits until the views are whole, where they can be."""
        if not self.plan.fleet:
            return
        self.progress("joining", 0.0)
        able = {m.name for m in self.fleet.members if m.mischief != "wrong_key"}
        end = self.loop.time() + number(self.plan.join_s)
        while self.loop.time() < end and not self.stop.is_set():
            if all(m.sees() >= self.group(m, able) for m in self.fleet.members if m.name in able):
                return
            await asyncio.sleep(LOOK / 5)

    def group(self, member: Member, able: set[str]) -> set[str]:
        """Those of the able that a member is to see."""
        zone = member.node.zone
        apart = {n.name for n in self.site.nodes if self.plan.by_zone and n.zone != zone}
        return able - apart - {member.name}

    async def until_over(self) -> None:
        """The plan's length, the faults' ends, and the time that the views have to agree after the last."""
        begun = self.loop.time()
        length = num(self.day.length_s)
        settle = number(self.plan.agree_s) if self.plan.fleet and self.plan.fault else 0.0
        while not self.stop.is_set():
            passed = self.loop.time() - begun
            self.progress("playing", min(1.0, passed / length))
            calm = self.faults.over_at is not None and self.loop.time() >= self.faults.over_at + settle
            over = passed >= length and (self.world.over() or passed >= length + TAIL)
            if over and (calm or not self.plan.fault):
                return
            await asyncio.sleep(0.05)

    async def watch(self) -> None:
        """Views and costs, every so often; and how late the machine was."""
        turn = 0
        while True:
            if self.plan.fleet:
                for member in self.fleet.members:
                    self.spawn(member.look())
                    if self.plan.voters:
                        self.spawn(member.hold())
            if turn % int(SAMPLE / LOOK) == 0:
                late = self.clock.take_max_lateness() / 1000
                self.late_ms = max(self.late_ms, late)
                self.tell("lab", late_ms=round(late, 3), relay=dict(self.relay.counts))
                for member in self.fleet.members:
                    member.sample()
            turn += 1
            await asyncio.sleep(LOOK)

    def spawn(self, work: Any) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def finish(self, trouble: str) -> None:
        """Ends every process, and the history with a word how it ended."""
        self.progress("stopping", 1.0)
        for task in list(self.tasks):
            task.cancel()
        self.faults.stop()
        self.tell("stopping")
        await self.fleet.stop(STOP)
        account = self.world.accounts.summary()
        self.tell(
            "end",
            trouble=trouble,
            stopped=self.stop.is_set(),
            late_ms=round(self.late_ms, 3),
            counted=self.late_ms <= LATE,
            goal=account["goal"],
            worth=account["whole"],
            requests=account["requests"],
            attempts_a_call=account["attempts_a_call"],
            rules=self.world.referee.counts,
            broken=self.world.referee.stories,
        )
        self.clock.stop()
        self.relay.close()
        self.site.close()
        self.places.close()
        self.history.close()


def run(plan: Plan, keep: Path | None = None, progress: Progress = lambda what, share: None) -> Outcome:
    """Plays a drawn plan and reads its history. `keep`: a folder for the history and the configurations.

    AddressBlockError; HistoryError where the history could not be written; PlanError where an earlier
    revision cannot be had; an OSError where `keep` cannot be written.
    """
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    history = (keep or folder) / "history.jsonl"
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    out = Outcome()

    async def played() -> None:
        lab = Lab(plan, folder, history, progress)
        for number_ in (signal.SIGINT, signal.SIGTERM):
            lab.loop.add_signal_handler(number_, lab.stop.set)
        out.trouble = await lab.run()
        out.stopped = lab.stop.is_set()
        out.late_ms = lab.late_ms
        if lab.history.fault:
            raise HistoryError(lab.history.fault)

    try:
        uvloop.run(played())
        out.events = read(str(history))
        out.counted = out.late_ms <= LATE
        if keep is not None:
            for config in sorted(folder.glob("*/config.json")):
                shutil.copy(config, keep / f"{config.parent.name}.json")
    finally:
        gc.unfreeze()
        shutil.rmtree(folder, ignore_errors=True)
    return out
