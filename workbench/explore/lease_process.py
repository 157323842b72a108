"""A process that requests and votes on leases: its clocks, incarnations, pauses and acts.

An act is an operation that the holder performs outside the group, guarded by its token as the fencing token.
"""

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
from workbench.explore.faults import SECOND_US
from workbench.explore.machine_clocks import MachineClocks
from workbench.explore.run_queue import RunQueue
from workbench.explore.virtual_network import VirtualNetwork

SETTINGS = LeaseSettings(lease=3 * SECOND_US, max_lease=3 * SECOND_US)
LEASE_NAME = "d"
MAX_CLOCK_DRIFT_RATIO = 0.01
MONOTONIC_START_RANGE_US = (SECOND_US, 10**9)
MIN_TIMER_DELAY_US = 100
MEAN_ACT_INTERVAL_S = 0.25
# Time between the check of the lease and the act.
MAX_ACT_DELAY_US = 2_000

Implementation = tuple[type[LeaseClient], type[Voter]]


class LeaseObserver(Protocol):
    """Receiver of the events of all processes, to check the rules from outside."""

    def on_sent(self) -> None:
        """Handle a message that a process sends."""

    def on_acquired(self, process: LeaseProcess, token: int) -> None:
        """Handle the acquisition of the lease by a process."""

    def on_act(self, token: int) -> None:
        """Handle an act of a process that considers itself the holder."""

    def on_memory_lost(self) -> None:
        """Handle the death of a voter whose tokens too few other voters know."""


@dataclass(frozen=True)
class Environment:
    """Objects that all processes of a run share.

    Attributes:
        network: The virtual network; processes are addressed by name.
        implementation: Classes of the client and the voter.
        electorate: The voters.
        rng: Random stream of the processes' clocks and clients.
        acts_rng: Random stream of the acts.
        observer: Receiver of the events.
    """

    network: VirtualNetwork[str, LeaseMessage]
    implementation: Implementation
    electorate: Electorate
    rng: Random
    acts_rng: Random
    observer: LeaseObserver


class LeaseProcess:
    """One process over all its incarnations: a client, and a voter if it belongs to the electorate.

    Args:
        environment: Objects that it shares with the other processes.
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
        """Return the time of the monotonic clock in microseconds."""
        return self.clocks.monotonic()

    def _wall_milliseconds(self) -> int:
        return self.clocks.wall() // 1000

    # ---- incarnations and pauses ----------------------------------------------------------------------

    def start(self) -> None:
        """Start the next incarnation, which has nothing of the state of the earlier ones."""
        environment = self.environment
        electorate = environment.electorate
        self.incarnation += 1
        self.is_running = True
        environment.network.attach(self.name, self._receive)
        self.client = self._make_client(Random(environment.rng.getrandbits(32)))
        self.voter = self._make_voter()
        if self.true_clock.now == 0:
            # At the start of a run the voters are past the time in which they abstain.
            self.voter.abstains_until = 0
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
        """End the process without notice."""
        if self.is_running and self.has_forgotten():
            self.environment.observer.on_memory_lost()
        self.is_running = False
        self._scheduled_at = None
        self.queue.discard()
        self.environment.network.detach(self.name)

    def has_forgotten(self) -> bool:
        """Return whether it votes without having heard from enough other voters since its start."""
        if not self.voter.electorates:
            return False
        return not self.voter.abstains(self.now()) and not self.voter.has_recovered()

    def pause(self) -> None:
        """Pause the process; its work is deferred until it resumes."""
        self.queue.pause()

    def resume(self) -> None:
        """End a pause, and run the timers that are due."""
        self.queue.resume()
        self.on_timer()

    def run(self, work: Callable[[], None]) -> None:
        """Run some work now, or when the process resumes; drop it if the process is not running."""
        if self.is_running:
            self.queue.submit(work)

    # ---- timers and messages --------------------------------------------------------------------------

    def on_timer(self) -> None:
        """Run the due timers of voter and client, and schedule the next."""
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
        at = max(now + MIN_TIMER_DELAY_US, self.clocks.true_time(min(deadlines)))
        scheduled_at = self._scheduled_at
        if scheduled_at is None or at < scheduled_at or scheduled_at <= now:
            self._scheduled_at = at
            self.true_clock.call_at(at, self._on_timer_fired, (self.incarnation, at))

    def _on_timer_fired(self, timer: tuple[int, int]) -> None:
        if timer == (self.incarnation, self._scheduled_at):
            self._scheduled_at = None
            self.run(self.on_timer)

    def send(self, outgoing: list[OutgoingLeaseMessage]) -> None:
        """Send messages of the client or the voter."""
        network = self.environment.network
        for to, message in outgoing:
            self.environment.observer.on_sent()
            # No random numbers are drawn for messages that a partition drops, as the results of a seed depend
            # on the order of the draws.
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
        """Return the token of the lease, or None if this process does not consider itself the holder."""
        return self.client.held_token(self.now(), LEASE_NAME)

    def release_all(self) -> None:
        """Release the lease, as in a planned handover."""
        self.send(self.client.release_all(self.now()))

    def acquire_again(self) -> None:
        """Request the lease again after a planned handover."""
        if self.requests_lease:
            self.client.acquire(self.now(), LEASE_NAME)
            self.on_timer()

    def _on_lease_event(self, event: LeaseEvent) -> None:
        if event.kind == LeaseEventKind.HELD:
            self.environment.observer.on_acquired(self, event.token)

    # ---- acts -----------------------------------------------------------------------------------------

    def _schedule_act(self) -> None:
        interval = int(MEAN_ACT_INTERVAL_S * SECOND_US * (0.5 + self.environment.acts_rng.random()))
        self.true_clock.call_at(self.true_clock.now + interval, self._prepare_act, self.incarnation)

    def _prepare_act(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.is_running:
            self.run(self._begin_act)
            self._schedule_act()

    def _begin_act(self) -> None:
        """Check whether it holds the lease, and schedule the act, which a pause may delay further."""
        token = self.held_token()
        if token is not None:
            act_at = self.true_clock.now + self.environment.acts_rng.randrange(MAX_ACT_DELAY_US)
            self.true_clock.call_at(act_at, self._finish_act, token)

    def _finish_act(self, token: int) -> None:
        self.run(partial(self.environment.observer.on_act, token))


def draw_clocks(environment: Environment) -> MachineClocks:
    """Return the clocks of a machine, with a random drift and a random start of the monotonic clock."""
    rng = environment.rng
    drift = rng.choice(
        (
            -MAX_CLOCK_DRIFT_RATIO,
            MAX_CLOCK_DRIFT_RATIO,
            rng.uniform(-MAX_CLOCK_DRIFT_RATIO, MAX_CLOCK_DRIFT_RATIO),
        )
    )
    return MachineClocks(environment.network.clock, rng.randrange(*MONOTONIC_START_RANGE_US), 1 + drift)
