"""One run of a lab: real nodes, emulated clients and servers, injected faults, and a history."""

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
from workbench.lab.faults import FaultInjector
from workbench.lab.fleet import Fleet
from workbench.lab.ground_truth import NON_MEMBER_KINDS
from workbench.lab.history import Event, History, HistoryError, read
from workbench.lab.member import Member
from workbench.lab.network import Endpoint, Links, Relay
from workbench.lab.plan import NodeSelection, Plan, drawn_value, scenario, selected_nodes
from workbench.model.network import fixed_float, one_way_delay
from workbench.model.site import CLOCK_START_US, World
from workbench.model.streams import Streams
from workbench.scenario.load import draw as draw_scenario
from workbench.simulator.play import provenance

VIEW_POLL_INTERVAL_S = 0.25
USAGE_INTERVAL_S = 1.0
JOIN_POLL_INTERVAL_S = 0.05
PROGRESS_INTERVAL_S = 0.05
REQUEST_GRACE_S = 10.0  # Time for pending requests to end after the plan's length has passed.
STOP_TIMEOUT_S = 5.0  # Time for processes to exit after SIGTERM.
MAX_LATENESS_MS = 50.0  # A run in which the machine was later does not count.
US_PER_MS = 1000
NS_PER_MS = 1_000_000

# A function that is called with the current phase and the completed share of the run.
Progress = Callable[[str, float], None]


@dataclass
class Outcome:
    """The result of a run.

    Attributes:
        events: The history.
        failure: Why the run was aborted; "" if it was not.
        late_ms: The machine's maximum lateness.
        stopped: Whether a signal, such as that of Ctrl-C, ended the run.
    """

    events: list[Event] = field(default_factory=list)
    failure: str = ""
    late_ms: float = 0.0
    stopped: bool = False

    @property
    def counted(self) -> bool:
        """Whether the machine was fast enough for the run to count."""
        return self.late_ms <= MAX_LATENESS_MS


class Lab:
    """All resources of one run; `run` releases them.

    Args:
        plan: A drawn plan.
        folder: The directory for the nodes' files.
        history: The file of the history.
        progress: Called with the phase and the completed share of the run.
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
        self.faults = FaultInjector(self)
        self.stop = asyncio.Event()
        has_earlier = any(m.kind == "earlier" for m in plan.mischief)
        self.revision = unpack(plan.earlier, self.fleet.earlier_folder) if has_earlier else ""
        self.tasks: set[asyncio.Task[None]] = set()

    # ---- services for its components -----------------------------------------------------------------

    def record(self, event: str, **fields: Any) -> None:
        """Write one event to the history with the current time; stop the run if that fails."""
        self.history.write((self.clock.real_time() - CLOCK_START_US) / 1e6, event, **fields)
        if self.history.write_error:
            self.stop.set()

    def link_between(self, source: str, source_zone: int, destination: str, destination_zone: int) -> Link:
        """Return the link from one node or server to another."""
        nodes = {node.name for node in self.site.nodes}
        return self.links.between(
            Endpoint(source, source_zone, source in nodes),
            Endpoint(destination, destination_zone, destination in nodes),
        )

    def select_nodes(self, selection: NodeSelection, key: str) -> list[str]:
        """Return the names of the nodes that a fault or a kind of faulty nodes selects."""
        names, zones = [n.name for n in self.site.nodes], [n.zone for n in self.site.nodes]
        return selected_nodes(selection, names, zones, int(drawn_value(self.plan.regions)), self.streams, key)

    # ---- the run --------------------------------------------------------------------------------------

    async def run(self) -> str:
        """Execute the plan; return what aborted it, or ""."""
        self.record_parameters()
        failure = ""
        try:
            if not self.history.write_error:
                failure = await self.play()
        finally:
            await self.finish(failure)
        return failure

    def record_parameters(self) -> None:
        """Record the parameters of the run as the history's first event."""
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
        """Start the nodes, then the clients and faults, and wait until the run is complete."""
        self.progress("starting", 0.0)
        self.site.start()
        await self.relay.open(self.endpoints)
        self.start_members()
        failure = await self.fleet.wait_all_ready()
        if failure or self.stop.is_set():
            return failure
        self.spawn(self.observe())
        await self.wait_joined()
        gc.collect()
        gc.freeze()
        self.clock.catch_up()
        self.clock.take_max_lateness()
        self.late_ms = 0.0  # The lateness until here comes from the start of many processes at once.
        self.world.start()
        self.record("go")
        self.faults.begin()
        await self.wait_finished()
        return ""

    def start_members(self) -> None:
        """Start the processes of all nodes, those of faulty nodes with their kind of fault."""
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
        """Wait until the views are complete, for at most the plan's time for joining."""
        if not self.plan.fleet:
            return
        self.progress("joining", 0.0)
        members = [m for m in self.fleet.members if m.fault_kind not in NON_MEMBER_KINDS]
        deadline = self.loop.time() + drawn_value(self.plan.join_s)
        while self.loop.time() < deadline and not self.stop.is_set():
            if all(m.present_members() >= self.group(m, members) for m in members):
                return
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)

    def group(self, member: Member, members: list[Member]) -> set[str]:
        """Return the names of the members that a member should see."""
        in_group = (m for m in members if not self.plan.by_zone or m.node.zone == member.node.zone)
        return {m.name for m in in_group} - {member.name}

    async def wait_finished(self) -> None:
        """Wait for the plan's length, the end of requests and faults, and the views' agreement time."""
        started_at = self.loop.time()
        length = fixed_float(self.scenario.length_s)
        agree_s = drawn_value(self.plan.agree_s) if self.plan.fleet and self.plan.fault else 0.0
        while not self.stop.is_set():
            elapsed = self.loop.time() - started_at
            self.progress("playing", min(1.0, elapsed / length))
            settled = self.faults.ended_at is not None and self.loop.time() >= self.faults.ended_at + agree_s
            ended = elapsed >= length and (self.world.finished() or elapsed >= length + REQUEST_GRACE_S)
            if ended and (settled or not self.plan.fault):
                return
            await asyncio.sleep(PROGRESS_INTERVAL_S)

    async def observe(self) -> None:
        """Record views, usage and the machine's lateness periodically."""
        periods = 0
        while True:
            self.poll_members()
            if periods % int(USAGE_INTERVAL_S / VIEW_POLL_INTERVAL_S) == 0:
                self.record_usage()
            periods += 1
            await asyncio.sleep(VIEW_POLL_INTERVAL_S)

    def poll_members(self) -> None:
        """Request every fleet node's view and, if the plan has voters, the lab's lease from it."""
        if not self.plan.fleet:
            return
        for member in self.fleet.members:
            self.spawn(member.poll_view())
            if self.plan.voters:
                self.spawn(member.request_lease())

    def record_usage(self) -> None:
        """Record the machine's lateness and the resource usage of every node."""
        late_ms = self.clock.take_max_lateness() / US_PER_MS
        self.late_ms = max(self.late_ms, late_ms)
        self.record("lab", late_ms=round(late_ms, 3), relay=dict(self.relay.counts))
        for member in self.fleet.members:
            member.record_usage()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task that is cancelled at the end of the run."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def finish(self, failure: str) -> None:
        """Stop all processes, record the result of the run and release all resources."""
        self.progress("stopping", 1.0)
        for task in list(self.tasks):
            task.cancel()
        self.faults.stop()
        self.record("stopping")
        await self.fleet.stop(STOP_TIMEOUT_S)
        summary = self.world.accounts.summary()
        self.record(
            "end",
            trouble=failure,
            stopped=self.stop.is_set(),
            late_ms=round(self.late_ms, 3),
            counted=self.late_ms <= MAX_LATENESS_MS,
            goal=summary["goal"],
            worth=summary["whole"],
            requests=summary["requests"],
            attempts_a_call=summary["attempts_a_call"],
            rules=self.world.referee.counts,
            broken=self.world.referee.violations,
        )
        self.clock.stop()
        self.relay.close()
        self.site.close()
        self.addresses.close()
        self.history.close()


def run(plan: Plan, keep: Path | None = None, progress: Progress = lambda phase, share: None) -> Outcome:
    """Execute a drawn plan and read its history.

    Args:
        plan: The drawn plan.
        keep: A directory for the history and the nodes' configurations; by default they are removed.
        progress: Called with the phase and the completed share of the run.

    Raises:
        AddressBlockError: No block of loopback addresses is free.
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
        if lab.history.write_error:
            raise HistoryError(lab.history.write_error)

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
    """Copy the nodes' configurations from the run's directory to another one."""
    for config in sorted(folder.glob("*/config.json")):
        shutil.copy(config, keep / f"{config.parent.name}.json")
