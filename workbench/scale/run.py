"""One scale run: workers with hollow members, real nodes, the plan's faults, figures and checks."""

from __future__ import annotations

import asyncio
import shutil
import signal
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic, time_ns

import uvloop

from balancer.fleet.config import FleetConfigError, read_fleet
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.keys import read_key
from workbench.emulator.address_block import AddressBlock
from workbench.scale.group import Group, Place
from workbench.scale.hollow import list_datagrams
from workbench.scale.machine import check_memory_need, default_workers, memory_limit, resident
from workbench.scale.measurements import CALM, FAULT, JOIN, Figure, Phase, phase_figures, time_figures
from workbench.scale.messages import (
    Assign,
    Cut,
    Done,
    Finish,
    Go,
    Learn,
    Look,
    Open,
    Opened,
    Report,
    Request,
    Restart,
    Standing,
    Stop,
    ViewFault,
)
from workbench.scale.observer import view_fault
from workbench.scale.plan import SETTLE_PERIODS, Fault, Plan, PlanError, defects_of, group_of, victims
from workbench.scale.real import RealNodeError, RealNodes
from workbench.scale.verdict import Check, Death, Findings, checks, machine_limits
from workbench.scale.workers import WorkerError, Workers

LOOK_S = 0.5  # between two looks at how far the members are
KEY = "the key of this scale run's group only\n"

Progress = Callable[[str], None]


@dataclass
class Outcome:
    """What came of a run. `limits`: where the machine was the limit; such a run is not counted. `trouble`:
    why it was broken off."""

    members: int = 0
    figures: list[Figure] = field(default_factory=list)
    checks: list[Check] = field(default_factory=list)
    limits: list[str] = field(default_factory=list)
    trouble: str = ""
    stopped: bool = False  # by Ctrl-C

    @property
    def counted(self) -> bool:
        """Whether the machine kept up."""
        return not self.limits

    @property
    def passed(self) -> bool:
        """Whether every check holds, in a run that counts."""
        whole = self.counted and not self.trouble and not self.stopped
        return whole and not any(check.failures for check in self.checks)


class MemoryLimit(Exception):
    """The workers have taken half of the machine's memory: one line."""


@dataclass(frozen=True)
class Action:
    """A fault begins, or ends."""

    at_s: float
    number: int
    fault: Fault
    begins: bool


class ScaleRun:
    """Everything that one run holds; `close` lets go of it all."""

    def __init__(self, plan: Plan, folder: Path, progress: Progress) -> None:
        self.plan = plan
        self.folder = folder
        self.progress = progress
        self.places = AddressBlock()
        self.group: Group = group_of(plan, self.places.prefix)
        self.key = folder / "key"
        self.key.write_text(KEY)
        self.key.chmod(0o600)
        self.workers = Workers()
        self.worker_count = plan.workers or default_workers(plan.hollow)
        self.real: RealNodes | None = None
        self.running: list[Place] = list(self.group.places)
        self.findings = Findings(members=len(self.group.places))
        self.phases: list[Phase] = []
        self.killed: dict[str, int] = {}  # victims, and how many members have to notice
        self.taken: dict[int, list[Place]] = {}  # by the fault's number
        self.real_cpu: list[float] = []
        self.memory_limit = memory_limit()

    async def play(self) -> None:
        """The whole plan."""
        check_membership(self.group, str(self.key))
        await self.begin()
        await self.join()
        await self.calm()
        if self.plan.fault:
            await self.faults()
        self.progress("comparing views")
        await self.report()

    async def begin(self) -> None:
        """Starts all processes and members."""
        self.progress("starting")
        await self.workers.start(self.worker_count)
        indices = [list(range(w, self.plan.hollow, self.worker_count)) for w in range(self.worker_count)]
        defects = defects_of(self.plan)
        assigned: list[Request] = [
            Assign(self.group, members, str(self.key), self.plan.start, defects) for members in [*indices, []]
        ]
        await self.workers.ask_each(assigned, Done)
        if self.group.real:
            self.real = RealNodes(self.group, self.places, self.folder, str(self.key))
            await self.real.start()
        self.began = monotonic()
        opened = await self.workers.ask_all(Open(), Opened)
        if self.plan.start == "known":
            incarnations = {name: number for o in opened for name, number in o.incarnations.items()}
            await self.teach(incarnations)

    async def teach(self, incarnations: dict[str, int]) -> None:
        """All members begin with the whole group; real nodes once the others speak.

        Failure prevented: a real node pings members that do not answer yet, and its suspicions go round.
        """
        self.progress("handing out the group")
        if self.real is not None:
            incarnations |= await self.real.incarnations()
        await self.workers.ask_all(Learn(incarnations), Done)
        await self.workers.ask_all(Go(), Done)
        self.began = monotonic()
        if self.real is not None:
            await self.sleep(self.group.period_ms / 1000)  # by then all speak
            codec = Codec([read_key(self.key)])
            scope = self.real.nodes[0].place
            self.real.learn(list_datagrams(self.group, scope, incarnations, codec, time_ns() // 1000))

    async def join(self) -> None:
        """Until all know all, or the time for it is over."""
        await self.window()  # what the opening has cost is not of the joining
        until = self.began + self.plan.join_s
        standing = await self.wait_for("joining", until, lambda s: not s.unjoined_count)
        names = [name for s in standing for name in s.unjoined]
        self.findings.join_faults = names
        self.findings.join_expected = self.group.hollow
        if self.real is not None:
            await self.real_joined(until)
        phase = await self.window(JOIN)
        if self.plan.start == "together" and phase.idle.seconds * 1000 >= self.group.period_ms:
            self.phases.append(phase)  # what is shorter than a period shows the opening alone

    async def real_joined(self, until: float) -> None:
        assert self.real is not None
        self.findings.join_expected += self.group.real
        waiting = {real.place.name: real.place for real in self.real.nodes}
        while waiting:
            states = await self.real.states()
            now = monotonic()
            for name, place in list(waiting.items()):
                if view_fault(self.group, place, states[name], self.running_names()) is None:
                    self.findings.joined_s.append(now - self.began)
                    del waiting[name]
            if now > until:
                self.findings.join_faults += list(waiting)
                return
            await self.sleep(LOOK_S)

    async def calm(self) -> None:
        """Nothing happens, and the members' costs are measured."""
        self.progress("settling")
        await self.sleep(SETTLE_PERIODS * self.group.period_ms / 1000)
        await self.window()
        before = self.real_usage()
        began = monotonic()
        await self.pause("calm", self.plan.seconds)
        self.phases.append(await self.window(CALM))
        seconds = monotonic() - began
        after = self.real_usage()
        self.real_cpu = [(b - a) / seconds for (a, _), (b, _) in zip(before, after, strict=True)]

    async def faults(self) -> None:
        """Every fault in its time, then until the members agree again."""
        began = monotonic()
        for action in actions(self.plan):
            await self.pause(f"until fault {action.number}", began + action.at_s - monotonic())
            await self.act(action)
        until = monotonic() + self.plan.agree_s
        await self.wait_for(
            "until all agree", until, lambda s: not s.incomplete_count and not s.ignorant_count
        )
        if self.real is not None:
            await self.real_agreed(until)
        self.phases.append(await self.window(FAULT))

    async def real_agreed(self, until: float) -> None:
        assert self.real is not None
        while monotonic() < until and await self.real_view_faults():
            await self.sleep(LOOK_S)

    async def act(self, action: Action) -> None:
        fault = action.fault
        if fault.type == "cut":
            await self.workers.ask_all(Cut(fault.region if action.begins else None), Done)
        elif action.begins:
            await self.kill(action.number, fault)
        else:
            back = self.taken[action.number]
            self.running = sorted([*self.running, *back], key=lambda p: p.index)
            names = [p.name for p in back]
            for name in names:
                self.killed[name] = 0  # who did not notice in time sees the next life
            await self.workers.ask_all(Restart(names, time_ns() // 1000), Done)

    async def kill(self, number: int, fault: Fault) -> None:
        chosen = victims(fault, self.running, Random(f"fault {self.plan.seed} {number}"))
        self.taken[number] = chosen
        gone = {p.name for p in chosen}
        self.running = [p for p in self.running if p.name not in gone]
        for victim in chosen:
            self.killed[victim.name] = sum(p.hollow and self.group.in_scope(p, victim) for p in self.running)
        await self.workers.ask_all(Stop(sorted(gone)), Done)

    async def report(self) -> None:
        """What every member holds at the end, and has seen on the way."""
        reports = await self.workers.ask_all(Finish(), Report)
        found = self.findings
        found.joined_s += [t for r in reports for t in r.joined_s.values()]
        found.healed_s = [t for r in reports for t in r.healed_s]
        found.false_deaths = [d for r in reports for d in r.false_deaths]
        found.false_death_count = sum(r.false_death_count for r in reports)
        found.view_faults = [v for r in reports for v in r.view_faults]
        found.deaths = [
            Death(name, expected, [t for r in reports for t in r.death_known_s.get(name, ())])
            for name, expected in self.killed.items()
        ]
        if self.real is not None:
            found.view_faults += await self.real_view_faults()
        found.view_faults.sort(key=lambda v: -(v.missing_count + v.surplus_count))

    async def real_view_faults(self) -> list[ViewFault]:
        assert self.real is not None
        states = await self.real.states()
        names = self.running_names()
        found = [view_fault(self.group, r.place, states[r.place.name], names) for r in self.real.nodes]
        return [fault for fault in found if fault is not None]

    # ---- waiting ----------------------------------------------------------------------------------------

    async def wait_for(self, what: str, until: float, holds: Callable[[Standing], bool]) -> list[Standing]:
        """Looks at all workers until a condition holds at each, or the time is over."""
        while True:
            standing = await self.workers.ask_all(Look(), Standing)
            late = sum(s.incomplete_count for s in standing)
            self.progress(f"{what}: {late} of {len(self.running)} members do not know all")
            if all(holds(s) for s in standing) or monotonic() > until:
                return standing
            await self.sleep(LOOK_S)

    async def pause(self, what: str, seconds: float) -> None:
        if seconds > 0:
            self.progress(f"{what}, {seconds:.0f} s")
            await self.sleep(seconds)

    async def sleep(self, seconds: float) -> None:
        """Waits, and looks at the workers' memory now and then. MemoryLimit."""
        end = monotonic() + seconds
        while (left := end - monotonic()) > 0:
            await asyncio.sleep(min(left, 1.0))
            self.check_memory()

    def check_memory(self) -> None:
        taken = sum(resident(w.process.pid) for w in self.workers.processes)
        if taken > self.memory_limit:
            raise MemoryLimit(f"the workers took {taken >> 20} MB: at most {self.memory_limit >> 20} MB")

    # ---- figures ----------------------------------------------------------------------------------------

    async def window(self, prefix: str = "") -> Phase:
        """Ends a window of all workers, and begins the next."""
        standing = await self.workers.ask_all(Look(window=True), Standing)
        windows = [s.window for s in standing if s.window is not None]
        return Phase(prefix, windows[:-1], windows[-1], [s.running for s in standing[:-1]])

    def real_usage(self) -> list[tuple[float, float]]:
        return [real.usage() for real in self.real.nodes] if self.real is not None else []

    def running_names(self) -> set[str]:
        return {p.name for p in self.running}

    def figures(self) -> list[Figure]:
        """All of the run."""
        out = [f for phase in self.phases for f in phase_figures(phase, self.group.period_ms / 1000)]
        out += time_figures(self.findings, self.plan.start == "together")
        if self.real_cpu:
            cpu = [share * 1e6 for share in self.real_cpu]
            memory = [megabytes * (1 << 20) for _, megabytes in self.real_usage()]
            out.append(Figure("real.cpu", "us/node/s", sum(cpu) / len(cpu), (min(cpu), max(cpu))))
            mean = sum(memory) / len(memory)
            out.append(Figure("real.memory", "B/node", mean, (min(memory), max(memory))))
        return out

    def limits(self) -> list[str]:
        """Where the machine was the limit."""
        names = {CALM: "calm", JOIN: "joining", FAULT: "faults"}
        return [line for p in self.phases for line in machine_limits(names[p.prefix], p.windows)]

    async def close(self) -> None:
        """Ends all processes."""
        if self.real is not None:
            await self.real.stop()
        await self.workers.end()
        self.places.close()


def actions(plan: Plan) -> list[Action]:
    """The plan's faults as they begin and end, in order."""
    found = []
    for number, fault in enumerate(plan.fault):
        found.append(Action(fault.at_s, number, fault, True))
        if fault.for_s:
            found.append(Action(fault.at_s + fault.for_s, number, fault, False))
    return sorted(found, key=lambda a: a.at_s)


def check_membership(group: Group, key: str) -> None:
    """Refuses a membership that this program's configuration does not know. PlanError."""
    try:
        read_fleet(group.fleet_table(group.places[0], key), group.places[0].name)
    except FleetConfigError as e:
        raise PlanError(f"membership: {group.membership!r}: {str(e).splitlines()[0]}") from None


def run(plan: Plan, progress: Progress = lambda what: None) -> Outcome:
    """Plays a plan. PlanError; AddressBlockError where no loopback addresses are free."""
    check_memory_need(plan)
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    out = Outcome(members=plan.hollow + plan.real)

    async def played() -> None:
        scale_run = ScaleRun(plan, folder, progress)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await scale_run.play()
            out.checks = checks(scale_run.findings)
        except asyncio.CancelledError:
            task.uncancel()
            out.stopped = True
        except MemoryLimit as e:
            out.limits.append(str(e))
        except (WorkerError, RealNodeError) as e:
            out.trouble = str(e)
        finally:
            out.limits += scale_run.limits()
            if not out.trouble and not out.stopped:
                out.figures = scale_run.figures()
            await scale_run.close()

    try:
        uvloop.run(played())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return out
