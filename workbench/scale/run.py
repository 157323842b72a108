"""One scale run: workers with hollow members, real nodes, the plan's faults, measurements and checks."""

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
from workbench.scale.group import Group, MemberSpec
from workbench.scale.hollow import list_datagrams
from workbench.scale.machine import check_memory_need, default_workers, memory_limit, resident_memory
from workbench.scale.measurements import (
    CALM_PREFIX,
    FAULT_PREFIX,
    JOIN_PREFIX,
    Figure,
    Phase,
    phase_figures,
    time_figures,
)
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
from workbench.scale.plan import (
    SETTLE_PERIODS,
    Fault,
    Plan,
    PlanError,
    build_group,
    choose_victims,
    defects_by_member,
)
from workbench.scale.real import RealNodeError, RealNodes
from workbench.scale.verdict import Check, Death, Findings, checks, machine_limits
from workbench.scale.workers import WorkerError, Workers

# Interval at which the progress of the members is polled.
POLL_INTERVAL_S = 0.5
GROUP_KEY = "the key of this scale run's group only\n"

Progress = Callable[[str], None]


@dataclass
class Outcome:
    """The result of a run.

    `limits` says where the machine was the limit; such a run is not counted. `abort_reason` is the reason of
    an aborted run, and `stopped` is true after Ctrl-C.
    """

    members: int = 0
    figures: list[Figure] = field(default_factory=list)
    checks: list[Check] = field(default_factory=list)
    limits: list[str] = field(default_factory=list)
    abort_reason: str = ""
    stopped: bool = False

    @property
    def counted(self) -> bool:
        """Whether the machine kept up, so that the run counts."""
        return not self.limits

    @property
    def passed(self) -> bool:
        """Whether the run counts, was not aborted, and every check holds."""
        is_valid = self.counted and not self.abort_reason and not self.stopped
        return is_valid and not any(check.failures for check in self.checks)


class MemoryLimitExceeded(Exception):
    """The workers use more than half of the machine's memory; the message is a single line."""


@dataclass(frozen=True)
class Action:
    """The start or end of a fault."""

    at_s: float
    fault_index: int
    fault: Fault
    is_start: bool


class ScaleRun:
    """The state of one run; `close` releases all of its resources."""

    def __init__(self, plan: Plan, folder: Path, progress: Progress) -> None:
        self.plan = plan
        self.folder = folder
        self.progress = progress
        self.address_block = AddressBlock()
        self.group: Group = build_group(plan, self.address_block.prefix)
        self.key = folder / "key"
        self.key.write_text(GROUP_KEY)
        self.key.chmod(0o600)
        self.workers = Workers()
        self.worker_count = plan.workers or default_workers(plan.hollow)
        self.real: RealNodes | None = None
        self.running: list[MemberSpec] = list(self.group.member_specs)
        self.findings = Findings(members=len(self.group.member_specs))
        self.phases: list[Phase] = []
        self.expected_observers: dict[str, int] = {}  # By victim: members that must notice its death
        self.victims_by_fault: dict[int, list[MemberSpec]] = {}  # Keys are indices of the plan's faults
        self.real_cpu_shares: list[float] = []
        self.memory_limit = memory_limit()

    async def execute(self) -> None:
        """Execute the whole plan."""
        check_membership(self.group, str(self.key))
        await self.begin()
        await self.join()
        await self.calm()
        if self.plan.fault:
            await self.faults()
        self.progress("comparing views")
        await self.report()

    async def begin(self) -> None:
        """Start all processes and members."""
        self.progress("starting")
        await self.workers.start(self.worker_count)
        indices = [list(range(w, self.plan.hollow, self.worker_count)) for w in range(self.worker_count)]
        defects = defects_by_member(self.plan)
        assigned: list[Request] = [
            Assign(self.group, members, str(self.key), self.plan.start, defects) for members in [*indices, []]
        ]
        await self.workers.ask_each(assigned, Done)
        if self.group.real:
            self.real = RealNodes(self.group, self.address_block, self.folder, str(self.key))
            await self.real.start()
        self.started_at = monotonic()
        opened = await self.workers.ask_all(Open(), Opened)
        if self.plan.start == "known":
            incarnations = {name: incarnation for o in opened for name, incarnation in o.incarnations.items()}
            await self.introduce_group(incarnations)

    async def introduce_group(self, incarnations: dict[str, int]) -> None:
        """Introduce the whole group to all members, and to real nodes only once the others answer.

        A real node that pinged members which do not answer yet would suspect them and spread its suspicions.
        """
        self.progress("introducing the group")
        if self.real is not None:
            incarnations |= await self.real.incarnations()
        await self.workers.ask_all(Learn(incarnations), Done)
        await self.workers.ask_all(Go(), Done)
        self.started_at = monotonic()
        if self.real is not None:
            await self.sleep(self.group.period_ms / 1000)  # All hollow members send within one period
            codec = Codec([read_key(self.key)])
            scope = self.real.nodes[0].spec
            self.real.send_group_list(
                list_datagrams(self.group, scope, incarnations, codec, time_ns() // 1000)
            )

    async def join(self) -> None:
        """Wait until all members know each other, or the time for it is over."""
        await self.end_window()  # The cost of opening the ports is not part of joining
        until = self.started_at + self.plan.join_s
        standing = await self.wait_for("joining", until, lambda s: not s.unjoined_count)
        names = [name for s in standing for name in s.unjoined]
        self.findings.join_faults = names
        self.findings.join_expected = self.group.hollow
        if self.real is not None:
            await self.real_joined(until)
        phase = await self.end_window(JOIN_PREFIX)
        if self.plan.start == "together" and phase.idle.seconds * 1000 >= self.group.period_ms:
            self.phases.append(phase)  # A phase shorter than a period would only show the opening of ports

    async def real_joined(self, until: float) -> None:
        """Wait until all real nodes know the whole group, or the time for it is over."""
        assert self.real is not None
        self.findings.join_expected += self.group.real
        waiting = {real_node.spec.name: real_node.spec for real_node in self.real.nodes}
        while waiting:
            states = await self.real.states()
            now = monotonic()
            for name, spec in list(waiting.items()):
                if view_fault(self.group, spec, states[name], self.running_names()) is None:
                    self.findings.joined_s.append(now - self.started_at)
                    del waiting[name]
            if now > until:
                self.findings.join_faults += list(waiting)
                return
            await self.sleep(POLL_INTERVAL_S)

    async def calm(self) -> None:
        """Measure the members' costs while nothing happens."""
        self.progress("settling")
        await self.sleep(SETTLE_PERIODS * self.group.period_ms / 1000)
        await self.end_window()
        before = self.real_usage()
        started_at = monotonic()
        await self.pause("calm", self.plan.seconds)
        self.phases.append(await self.end_window(CALM_PREFIX))
        seconds = monotonic() - started_at
        after = self.real_usage()
        self.real_cpu_shares = [(b - a) / seconds for (a, _), (b, _) in zip(before, after, strict=True)]

    async def faults(self) -> None:
        """Apply every fault at its time, then wait until the members agree again."""
        started_at = monotonic()
        for action in fault_actions(self.plan):
            await self.pause(f"until fault {action.fault_index}", started_at + action.at_s - monotonic())
            await self.apply(action)
        until = monotonic() + self.plan.agree_s
        await self.wait_for(
            "until all agree", until, lambda s: not s.incomplete_count and not s.ignorant_count
        )
        if self.real is not None:
            await self.real_agreed(until)
        self.phases.append(await self.end_window(FAULT_PREFIX))

    async def real_agreed(self, until: float) -> None:
        """Wait until the views of all real nodes are right, or the time for it is over."""
        assert self.real is not None
        while monotonic() < until and await self.real_view_faults():
            await self.sleep(POLL_INTERVAL_S)

    async def apply(self, action: Action) -> None:
        """Start or end a fault."""
        fault = action.fault
        if fault.type == "cut":
            await self.workers.ask_all(Cut(fault.region if action.is_start else None), Done)
        elif action.is_start:
            await self.kill(action.fault_index, fault)
        else:
            restarted = self.victims_by_fault[action.fault_index]
            self.running = sorted([*self.running, *restarted], key=lambda p: p.index)
            names = [p.name for p in restarted]
            for name in names:
                # From now on members may see the restart and never notice the death.
                self.expected_observers[name] = 0
            await self.workers.ask_all(Restart(names, time_ns() // 1000), Done)

    async def kill(self, fault_index: int, fault: Fault) -> None:
        """End the victims of a fault and note how many members must notice each."""
        selected = choose_victims(fault, self.running, Random(f"fault {self.plan.seed} {fault_index}"))
        self.victims_by_fault[fault_index] = selected
        victim_names = {p.name for p in selected}
        self.running = [p for p in self.running if p.name not in victim_names]
        for victim in selected:
            self.expected_observers[victim.name] = sum(
                p.hollow and self.group.in_scope(p, victim) for p in self.running
            )
        await self.workers.ask_all(Stop(sorted(victim_names)), Done)

    async def report(self) -> None:
        """Collect the observations of all members, and their views at the end."""
        reports = await self.workers.ask_all(Finish(), Report)
        found = self.findings
        found.joined_s += [t for r in reports for t in r.joined_s.values()]
        found.healed_s = [t for r in reports for t in r.healed_s]
        found.false_deaths = [d for r in reports for d in r.false_deaths]
        found.false_death_count = sum(r.false_death_count for r in reports)
        found.view_faults = [v for r in reports for v in r.view_faults]
        found.deaths = [
            Death(name, expected, [t for r in reports for t in r.death_known_s.get(name, ())])
            for name, expected in self.expected_observers.items()
        ]
        if self.real is not None:
            found.view_faults += await self.real_view_faults()
        found.view_faults.sort(key=lambda v: -(v.missing_count + v.surplus_count))

    async def real_view_faults(self) -> list[ViewFault]:
        """Compare the views of the real nodes with the running members."""
        assert self.real is not None
        states = await self.real.states()
        names = self.running_names()
        found = [view_fault(self.group, r.spec, states[r.spec.name], names) for r in self.real.nodes]
        return [fault for fault in found if fault is not None]

    # ---- waiting ----------------------------------------------------------------------------------------

    async def wait_for(self, what: str, until: float, holds: Callable[[Standing], bool]) -> list[Standing]:
        """Poll all workers until a condition holds at each, or the time is over."""
        while True:
            standing = await self.workers.ask_all(Look(), Standing)
            late = sum(s.incomplete_count for s in standing)
            self.progress(f"{what}: {late} of {len(self.running)} members do not know the whole group")
            if all(holds(s) for s in standing) or monotonic() > until:
                return standing
            await self.sleep(POLL_INTERVAL_S)

    async def pause(self, what: str, seconds: float) -> None:
        """Show the next step and wait."""
        if seconds > 0:
            self.progress(f"{what}, {seconds:.0f} s")
            await self.sleep(seconds)

    async def sleep(self, seconds: float) -> None:
        """Wait, and check the workers' memory at least once a second.

        Raises:
            MemoryLimitExceeded: The workers use too much memory.
        """
        end = monotonic() + seconds
        while (left := end - monotonic()) > 0:
            await asyncio.sleep(min(left, 1.0))
            self.check_memory()

    def check_memory(self) -> None:
        """Check the memory that all workers use.

        Raises:
            MemoryLimitExceeded: It is more than half of the machine's memory.
        """
        used_bytes = sum(resident_memory(w.process.pid) for w in self.workers.processes)
        if used_bytes > self.memory_limit:
            raise MemoryLimitExceeded(
                f"the workers use {used_bytes >> 20} MB: at most {self.memory_limit >> 20} MB"
            )

    # ---- measurements -----------------------------------------------------------------------------------

    async def end_window(self, prefix: str = "") -> Phase:
        """End the current window of all workers and start the next."""
        standing = await self.workers.ask_all(Look(window=True), Standing)
        windows = [s.window for s in standing if s.window is not None]
        return Phase(prefix, windows[:-1], windows[-1], [s.running for s in standing[:-1]])

    def real_usage(self) -> list[tuple[float, float]]:
        """Return the processor seconds and resident megabytes of each real node."""
        return [real_node.usage() for real_node in self.real.nodes] if self.real is not None else []

    def running_names(self) -> set[str]:
        """Return the names of all members that run."""
        return {p.name for p in self.running}

    def figures(self) -> list[Figure]:
        """Return the figures of the whole run."""
        out = [f for phase in self.phases for f in phase_figures(phase, self.group.period_ms / 1000)]
        out += time_figures(self.findings, self.plan.start == "together")
        if self.real_cpu_shares:
            cpu = [share * 1e6 for share in self.real_cpu_shares]
            memory = [megabytes * (1 << 20) for _, megabytes in self.real_usage()]
            out.append(Figure("real.cpu", "us/node/s", sum(cpu) / len(cpu), (min(cpu), max(cpu))))
            mean = sum(memory) / len(memory)
            out.append(Figure("real.memory", "B/node", mean, (min(memory), max(memory))))
        return out

    def limits(self) -> list[str]:
        """Return a line for each phase and worker at which the machine was the limit."""
        names = {CALM_PREFIX: "calm", JOIN_PREFIX: "joining", FAULT_PREFIX: "faults"}
        return [line for p in self.phases for line in machine_limits(names[p.prefix], p.windows)]

    async def close(self) -> None:
        """Stop all processes and release the loopback addresses."""
        if self.real is not None:
            await self.real.stop()
        await self.workers.end()
        self.address_block.close()


def fault_actions(plan: Plan) -> list[Action]:
    """Return the starts and ends of the plan's faults in the order of time."""
    found = []
    for fault_index, fault in enumerate(plan.fault):
        found.append(Action(fault.at_s, fault_index, fault, True))
        if fault.for_s:
            found.append(Action(fault.at_s + fault.for_s, fault_index, fault, False))
    return sorted(found, key=lambda a: a.at_s)


def check_membership(group: Group, key: str) -> None:
    """Check that the program's configuration supports the group's kind of membership.

    Raises:
        PlanError: It does not.
    """
    try:
        read_fleet(group.fleet_table(group.member_specs[0], key), group.member_specs[0].name)
    except FleetConfigError as e:
        raise PlanError(f"membership: {group.membership!r}: {str(e).splitlines()[0]}") from None


def run(plan: Plan, progress: Progress = lambda what: None) -> Outcome:
    """Execute a plan.

    Raises:
        PlanError: The plan does not suit this machine or program.
        AddressBlockError: No loopback addresses are free.
    """
    check_memory_need(plan)
    folder = Path(tempfile.mkdtemp(prefix="scale-"))
    out = Outcome(members=plan.hollow + plan.real)

    async def execute_and_check() -> None:
        scale_run = ScaleRun(plan, folder, progress)
        task = asyncio.current_task()
        assert task is not None
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
        try:
            await scale_run.execute()
            out.checks = checks(scale_run.findings)
        except asyncio.CancelledError:
            task.uncancel()
            out.stopped = True
        except MemoryLimitExceeded as e:
            out.limits.append(str(e))
        except (WorkerError, RealNodeError) as e:
            out.abort_reason = str(e)
        finally:
            out.limits += scale_run.limits()
            if not out.abort_reason and not out.stopped:
                out.figures = scale_run.figures()
            await scale_run.close()

    try:
        uvloop.run(execute_and_check())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return out
