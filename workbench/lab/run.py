"""One run of a lab: real nodes, emulated clients and servers, the plan's faults, and a history."""

from __future__ import annotations

import asyncio
import gc
import shutil
import signal
import tempfile
from collections.abc import Callable, Coroutine
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
from workbench.lab.fleet import Fleet
from workbench.lab.ground_truth import NON_MEMBER_KINDS
from workbench.lab.history import Event, History, HistoryError, read
from workbench.lab.member import Member
from workbench.lab.network import Endpoint, Links, Relay
from workbench.lab.plan import NodeSelection, Plan, chosen, number, scenario
from workbench.model.network import fixed_float, one_way_delay
from workbench.model.site import CLOCK_START_US, World
from workbench.model.streams import Streams
from workbench.scenario.load import draw as draw_scenario
from workbench.simulator.play import provenance

VIEW_PERIOD_S = 0.25  # from one poll of the nodes' views to the next
USAGE_PERIOD_S = 1.0  # from one record of the nodes' usage to the next
JOIN_POLL_S = 0.05
PROGRESS_PERIOD_S = 0.05
REQUEST_GRACE_S = 10.0  # that pending requests have after the last one came
STOP_TIMEOUT_S = 5.0  # that processes have to end
MAX_LATENESS_MS = 50.0  # a run counts if the machine was never later
US_PER_MS = 1000
NS_PER_MS = 1_000_000

Progress = Callable[[str, float], None]  # what the lab does, and the share of the run that is over


@dataclass
class Outcome:
    """What came of a run.

    Attributes:
        events: The history.
        failure: Why the run was broken off; "" if it was not.
        late_ms: How late the machine was at most.
        stopped: Whether the run was ended by Ctrl-C.
    """

    events: list[Event] = field(default_factory=list)
    failure: str = ""
    late_ms: float = 0.0
    stopped: bool = False

    @property
    def counted(self) -> bool:
        """Whether the machine kept up, so that the run counts."""
        return self.late_ms <= MAX_LATENESS_MS


class Lab:
    """Everything that one run holds; `run` releases all of it.

    Args:
        plan: A drawn plan.
        folder: Where the nodes' files are.
        history: The file of the history.
        progress: Called as the run proceeds.
    """

    def __init__(self, plan: Plan, folder: Path, history: Path, progress: Progress) -> None:
        self.plan = plan
        self.folder = folder
        self.progress = progress
        self.loop = asyncio.get_running_loop()
        self.scenario = draw_scenario(scenario(plan), plan.seed)
        self.streams = Streams(plan.seed)
        self.clock = RealTimeClock(self.loop, CLOCK_START_US)
        self.addresses = AddressBlock()
        self.history = History(history)
        self.late_ms = 0.0
        self.links = Links(self.clock, self.streams, lambda a, b: one_way_delay(self.scenario, a, b))
        epoch_ms = time_ns() // NS_PER_MS - CLOCK_START_US // US_PER_MS
        self.site = Site(
            self.loop,
            self.clock,
            self.addresses,
            NoProcessControl(),
            self.record,
            self.link_between,
            epoch_ms,
        )
        self.world = World(self.scenario, self.clock, self.site)
        self.endpoints = [Endpoint(n.name, n.zone, True) for n in self.site.nodes]
        self.relay = Relay(self.loop, self.clock, self.addresses, self.links)
        self.fleet = self.site.control = Fleet(plan, self.site, folder, self.record)
        self.faults = Faults(self)
        self.stop = asyncio.Event()
        has_earlier = any(m.kind == "earlier" for m in plan.mischief)
        self.revision = unpack(plan.earlier, self.fleet.earlier) if has_earlier else ""
        self.tasks: set[asyncio.Task[None]] = set()

    # ---- what its parts use ---------------------------------------------------------------------------

    def record(self, event: str, **fields: Any) -> None:
        """Writes one event of the history, now."""
        self.history.write((self.clock.real_time() - CLOCK_START_US) / 1e6, event, **fields)
        if self.history.fault:
            self.stop.set()

    def link_between(self, source: str, source_zone: int, destination: str, destination_zone: int) -> Link:
        """Returns the link from one node or server to another."""
        nodes = {node.name for node in self.site.nodes}
        return self.links.between(
            Endpoint(source, source_zone, source in nodes),
            Endpoint(destination, destination_zone, destination in nodes),
        )

    def select_nodes(self, selection: NodeSelection, key: str) -> list[str]:
        """Returns the nodes that a fault, or a kind of faulty nodes, of the plan takes."""
        names, zones = [n.name for n in self.site.nodes], [n.zone for n in self.site.nodes]
        return chosen(selection, names, zones, int(number(self.plan.regions)), self.streams, key)

    # ---- the run --------------------------------------------------------------------------------------

    async def run(self) -> str:
        """Plays the plan; returns what went wrong before its end, or ""."""
        self.record_parameters()
        failure = ""
        try:
            if not self.history.fault:
                failure = await self.play()
        finally:
            await self.finish(failure)
        return failure

    def record_parameters(self) -> None:
        """Records what is run."""
        self.record(
            "run",
            plan=msgspec.to_builtins(self.plan),
            made=provenance(self.scenario, "lab", []),
            nodes=[[n.name, n.zone] for n in self.site.nodes],
            aims={
                k.name: [c.latency_objective, c.deadline]
                for k, c in zip(self.scenario.request_classes, self.world.classes, strict=True)
            },
            slack=self.world.answer_slack,
            stop_sending=self.world.referee.stop_sending,
            max_attempts=self.site.nodes[0].settings.max_attempts,
            earlier=self.revision,
        )

    async def play(self) -> str:
        """Starts the nodes, then the clients and faults, and waits until all is over."""
        self.progress("starting", 0.0)
        self.site.start()
        await self.relay.open(self.endpoints)
        self.start_members()
        failure = await self.fleet.all_ready()
        if failure or self.stop.is_set():
            return failure
        self.spawn(self.observe())
        await self.wait_joined()
        gc.collect()
        gc.freeze()
        self.clock.catch_up()
        self.clock.take_max_lateness()
        self.late_ms = 0.0  # what came before is the start of many processes at once
        self.world.start()
        self.record("go")
        self.faults.begin()
        await self.until_over()
        return ""

    def start_members(self) -> None:
        """Starts the processes of all nodes, the faulty ones as the plan says."""
        kinds = {
            name: faulty.kind
            for index, faulty in enumerate(self.plan.mischief)
            for name in self.select_nodes(faulty, f"mischief/{index}")
        }
        for name, kind in kinds.items():
            self.record("mischief", node=name, kind=kind)
        self.fleet.add(dict(kinds))
        for member in self.fleet.members:
            member.start()

    async def wait_joined(self) -> None:
        """Waits until the views are complete, where they can be."""
        if not self.plan.fleet:
            return
        self.progress("joining", 0.0)
        members = [m for m in self.fleet.members if m.fault_kind not in NON_MEMBER_KINDS]
        deadline = self.loop.time() + number(self.plan.join_s)
        while self.loop.time() < deadline and not self.stop.is_set():
            if all(m.present_members() >= self.group(m, members) for m in members):
                return
            await asyncio.sleep(JOIN_POLL_S)

    def group(self, member: Member, members: list[Member]) -> set[str]:
        """Returns the names of the members that one is to see."""
        in_group = (m for m in members if not self.plan.by_zone or m.node.zone == member.node.zone)
        return {m.name for m in in_group} - {member.name}

    async def until_over(self) -> None:
        """Waits for the plan's length, the faults' ends, and the time that the views have to agree then."""
        started_at = self.loop.time()
        length = fixed_float(self.scenario.length_s)
        agree_s = number(self.plan.agree_s) if self.plan.fleet and self.plan.fault else 0.0
        while not self.stop.is_set():
            passed = self.loop.time() - started_at
            self.progress("playing", min(1.0, passed / length))
            calm = self.faults.over_at is not None and self.loop.time() >= self.faults.over_at + agree_s
            over = passed >= length and (self.world.finished() or passed >= length + REQUEST_GRACE_S)
            if over and (calm or not self.plan.fault):
                return
            await asyncio.sleep(PROGRESS_PERIOD_S)

    async def observe(self) -> None:
        """Records views, usage and the machine's lateness again and again."""
        periods = 0
        while True:
            self.poll_members()
            if periods % int(USAGE_PERIOD_S / VIEW_PERIOD_S) == 0:
                self.record_usage()
            periods += 1
            await asyncio.sleep(VIEW_PERIOD_S)

    def poll_members(self) -> None:
        """Asks every node of a fleet for its view, and for the lab's lease where there are voters."""
        if not self.plan.fleet:
            return
        for member in self.fleet.members:
            self.spawn(member.poll_view())
            if self.plan.voters:
                self.spawn(member.request_lease())

    def record_usage(self) -> None:
        """Records how late the machine was, and what every node costs."""
        late_ms = self.clock.take_max_lateness() / US_PER_MS
        self.late_ms = max(self.late_ms, late_ms)
        self.record("lab", late_ms=round(late_ms, 3), relay=dict(self.relay.counts))
        for member in self.fleet.members:
            member.record_usage()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task that the end of the run cancels."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self, failure: str) -> None:
        """Ends every process and the history, which records how the run ended."""
        self.progress("stopping", 1.0)
        for task in list(self.tasks):
            task.cancel()
        self.faults.stop()
        self.record("stopping")
        await self.fleet.stop(STOP_TIMEOUT_S)
        account = self.world.accounts.summary()
        self.record(
            "end",
            trouble=failure,
            stopped=self.stop.is_set(),
            late_ms=round(self.late_ms, 3),
            counted=self.late_ms <= MAX_LATENESS_MS,
            goal=account["goal"],
            worth=account["whole"],
            requests=account["requests"],
            attempts_a_call=account["attempts_a_call"],
            rules=self.world.referee.counts,
            broken=self.world.referee.violations,
        )
        self.clock.stop()
        self.relay.close()
        self.site.close()
        self.addresses.close()
        self.history.close()


def run(plan: Plan, keep: Path | None = None, progress: Progress = lambda what, share: None) -> Outcome:
    """Plays a drawn plan and reads its history.

    Args:
        plan: The plan.
        keep: A folder for the history and the nodes' configurations; by default they are removed.
        progress: Called as the run proceeds.

    Raises:
        AddressBlockError: There is no free block of loopback addresses.
        HistoryError: The history could not be written.
        PlanError: An earlier revision cannot be unpacked.
        OSError: `keep` cannot be written.
    """
    folder = Path(tempfile.mkdtemp(prefix="lab-"))
    history = (keep or folder) / "history.jsonl"
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    outcome = Outcome()

    async def play() -> None:
        lab = Lab(plan, folder, history, progress)
        for stop_signal in (signal.SIGINT, signal.SIGTERM):
            lab.loop.add_signal_handler(stop_signal, lab.stop.set)
        outcome.failure = await lab.run()
        outcome.stopped = lab.stop.is_set()
        outcome.late_ms = lab.late_ms
        if lab.history.fault:
            raise HistoryError(lab.history.fault)

    try:
        uvloop.run(play())
        outcome.events = read(str(history))
        if keep is not None:
            keep_configurations(folder, keep)
    finally:
        gc.unfreeze()
        shutil.rmtree(folder, ignore_errors=True)
    return outcome


def keep_configurations(folder: Path, keep: Path) -> None:
    """Copies the nodes' configurations out of the folder of a run."""
    for config in sorted(folder.glob("*/config.json")):
        shutil.copy(config, keep / f"{config.parent.name}.json")
