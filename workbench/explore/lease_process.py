"""A process that requests and votes on leases: its clocks, its incarnations, its pauses and its acts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Protocol

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.events import LeaseEvent, LeaseEventKind
from balancer.fleet.leases.messages import LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.voter import Voter
from workbench.explore.faults import SEC
from workbench.explore.machine_clocks import MachineClocks
from workbench.explore.run_queue import RunQueue
from workbench.explore.virtual_network import VirtualNetwork

SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=3 * SEC)
LEASE_NAME = "d"
MAX_CLOCK_DRIFT = 0.01
MONOTONIC_START_RANGE = (SEC, 10**9)
MIN_TIMER_DELAY = 100
MEAN_ACT_INTERVAL_S = 0.25
MAX_ACT_DELAY = 2_000  # between the look at the lease and the act

Implementation = tuple[type[LeaseClient], type[Voter]]


class LeaseObserver(Protocol):
    """What is told of each process, to check the rules from outside."""

    def on_sent(self) -> None:
        """Called for each message that a process sends."""

    def on_acquired(self, process: LeaseProcess, token: int) -> None:
        """Called when a process has acquired the lease."""

    def on_act(self, token: int) -> None:
        """Called for each act of a process that takes itself for the holder."""

    def on_memory_lost(self) -> None:
        """Called when a voter is killed whose tokens too few others know."""


@dataclass(frozen=True)
class Environment:
    """What all processes of a run share.

    Attributes:
        network: The virtual network; processes are addressed by name.
        implementation: The client and the voter to run.
        electorate: The voters.
        rng: Random stream of the processes.
        acts_rng: Random stream of their acts.
        observer: Checks the rules.
    """

    network: VirtualNetwork[str, LeaseMessage]
    implementation: Implementation
    electorate: Electorate
    rng: Random
    acts_rng: Random
    observer: LeaseObserver


class LeaseProcess:
    """One process over all its incarnations: a client, and a voter if it is of the electorate.

    Args:
        environment: What it shares with the other processes.
        name: Its name and address.
        requests_lease: Whether it requests the lease.
    """

    def __init__(self, environment: Environment, name: str, requests_lease: bool) -> None:
        self.environment = environment
        self.name = name
        self.requests_lease = requests_lease
        self.true_clock = environment.network.clock
        self.clocks = draw_clocks(environment)
        self.incarnation = 0
        self.is_running = False
        self.queue = RunQueue()
        self._scheduled_at: int | None = None
        self.start()

    def now(self) -> int:
        """Returns the time of its monotonic clock."""
        return self.clocks.monotonic()

    def _wall_milliseconds(self) -> int:
        return self.clocks.wall() // 1000

    # ---- incarnations and pauses ----------------------------------------------------------------------

    def start(self) -> None:
        """Starts the next incarnation, without knowledge."""
        environment = self.environment
        electorate = environment.electorate
        self.incarnation += 1
        self.is_running = True
        environment.network.attach(self.name, self._receive)
        self.client = self._make_client(Random(environment.rng.getrandbits(32)))
        self.voter = self._make_voter()
        if self.true_clock.now == 0:
            self.voter.abstains_until = 0  # the voters have run for long when the run begins
            self.voter.recalled_tokens = dict.fromkeys(electorate.voters, 0)
        if self.requests_lease:
            self.client.acquire(self.now(), LEASE_NAME)
            self._schedule_act()
        self.on_timer()

    def _make_client(self, rng: Random) -> LeaseClient:
        client, _ = self.environment.implementation
        electorates = [self.environment.electorate]
        return client(
            self.name,
            self.incarnation,
            electorates,
            SETTINGS,
            rng,
            self._wall_milliseconds,
            self._on_lease_event,
        )

    def _make_voter(self) -> Voter:
        _, voter = self.environment.implementation
        electorate = self.environment.electorate
        electorates = [electorate] if self.name in electorate.voters else []
        return voter(self.name, self.incarnation, electorates, SETTINGS, self.now())

    def kill(self) -> None:
        """Ends the process without notice."""
        if self.is_running and self.has_forgotten():
            self.environment.observer.on_memory_lost()
        self.is_running = False
        self._scheduled_at = None
        self.queue.discard()
        self.environment.network.detach(self.name)

    def has_forgotten(self) -> bool:
        """Returns whether it votes without having heard from enough others since its start."""
        if not self.voter.electorates:
            return False
        return not self.voter.abstains(self.now()) and not self.voter.has_recovered()

    def pause(self) -> None:
        """Stops the process; what it has to do is deferred until it resumes."""
        self.queue.pause()

    def resume(self) -> None:
        """Ends a pause."""
        self.queue.resume()
        self.on_timer()

    def run(self, work: Callable[[], None]) -> None:
        """Does some work now, or once the process resumes; drops it if the process does not run."""
        if self.is_running:
            self.queue.submit(work)

    # ---- timers and messages --------------------------------------------------------------------------

    def on_timer(self) -> None:
        """Lets voter and client do what is due, and schedules the next timer."""
        if not self.is_running or self.queue.is_paused:
            return
        now = self.now()
        self.send(self.voter.tick(now))
        self.send(self.client.tick(now))
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        deadlines = [d for d in (self.voter.deadline(), self.client.deadline()) if d is not None]
        if not deadlines:
            return
        now = self.true_clock.now
        at = max(now + MIN_TIMER_DELAY, self.clocks.true_time(min(deadlines)))
        scheduled_at = self._scheduled_at
        if scheduled_at is None or at < scheduled_at or scheduled_at <= now:
            self._scheduled_at = at
            self.true_clock.call_at(at, self._on_timer_fired, (self.incarnation, at))

    def _on_timer_fired(self, timer: tuple[int, int]) -> None:
        if timer == (self.incarnation, self._scheduled_at):
            self._scheduled_at = None
            self.run(self.on_timer)

    def send(self, outgoing: list[OutgoingLeaseMessage]) -> None:
        """Sends messages of the client or the voter."""
        network = self.environment.network
        for to, message in outgoing:
            self.environment.observer.on_sent()
            # What a partition drops draws nothing, so that the runs of a seed stay the same.
            if network.connected(self.name, to):
                network.send(self.name, to, message)

    def _receive(self, source: str, message: LeaseMessage) -> None:
        self.run(partial(self._handle, message))

    def _handle(self, message: LeaseMessage) -> None:
        now = self.now()
        self.send(self.voter.received(now, message) + self.client.received(now, message))
        self._schedule_timer()

    # ---- the lease ------------------------------------------------------------------------------------

    def held_token(self) -> int | None:
        """Returns the token of the lease as far as this process knows, None if it does not hold it."""
        return self.client.held_token(self.now(), LEASE_NAME)

    def release_all(self) -> None:
        """Releases the lease, as in a planned handover."""
        self.send(self.client.release_all(self.now()))

    def acquire_again(self) -> None:
        """Requests the lease again after a planned handover."""
        if self.requests_lease:
            self.client.acquire(self.now(), LEASE_NAME)
            self.on_timer()

    def _on_lease_event(self, event: LeaseEvent) -> None:
        if event.kind == LeaseEventKind.HELD:
            self.environment.observer.on_acquired(self, event.token)

    # ---- acts -----------------------------------------------------------------------------------------

    def _schedule_act(self) -> None:
        interval = int(MEAN_ACT_INTERVAL_S * SEC * (0.5 + self.environment.acts_rng.random()))
        self.true_clock.call_at(self.true_clock.now + interval, self._prepare_act, self.incarnation)

    def _prepare_act(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.is_running:
            self.run(self._begin_act)
            self._schedule_act()

    def _begin_act(self) -> None:
        """Looks whether it holds the lease; the act follows later, much later if a pause comes between."""
        token = self.held_token()
        if token is not None:
            act_at = self.true_clock.now + self.environment.acts_rng.randrange(MAX_ACT_DELAY)
            self.true_clock.call_at(act_at, self._finish_act, token)

    def _finish_act(self, token: int) -> None:
        self.run(partial(self.environment.observer.on_act, token))


def draw_clocks(environment: Environment) -> MachineClocks:
    """Returns the clocks of a machine, with a random drift and start."""
    rng = environment.rng
    drift = rng.choice((-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT, rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)))
    return MachineClocks(environment.network.clock, rng.randrange(*MONOTONIC_START_RANGE), 1 + drift)
