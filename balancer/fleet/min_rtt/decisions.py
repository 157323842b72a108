"""The state machine that decides when a node's minRTT recalculation may start.

A node starts when it holds one of its tier's slots or has waited long enough. Each slot is a lease. A waiting
node requests the slots one after another, starting with a random one; when a slot is released, the voters,
which grant the lease, notify the nodes that were denied it. The policy performs the recalculation itself. The
first recalculation of a process is not limited.

All times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.fleet.leases.names import MIN_RTT_LEASE_PREFIX
from balancer.fleet.min_rtt.settings import MinRttSettings

MICROSECONDS_PER_SECOND = 1e6


class MinRttSlots:
    """The slot of one process, a lease that permits it to recalculate its minRTT.

    It is acquired while a recalculation is due and released afterwards.
    """

    def __init__(
        self, tier: int, instances: int, settings: MinRttSettings, lease_client: LeaseClient, rng: Random
    ) -> None:
        """Create the state machine of a process.

        Args:
            tier: Number of the process's tier.
            instances: Number of nodes of the tier.
            settings: Durations and limits.
            lease_client: Acquires the leases of the slots.
            rng: Random numbers that choose the first slot and the jitter of the maximum wait.
        """
        self.tier = tier
        self.settings = settings
        self.slot_count = settings.count_slots(instances)
        self.lease_client = lease_client
        self.rng = rng
        self.slot: int | None = None  # Slot that is being acquired or held.
        self.previous_slot = 0
        self.slot_requested_at = 0
        self.waiting_since: int | None = None  # None while no recalculation is due.
        self.max_wait = 0  # Maximum wait of the recalculation that is due, with its jitter.
        self.last_polled_at = 0
        self.started_at: int | None = None  # Start of the recalculation in progress.
        self.start_delay = 0  # Wait before the start of the last recalculation.
        self.counts: Counter[str] = Counter()

    # ---- Leases of slots --------------------------------------------------------------------------------

    def lease_name(self) -> str | None:
        """Return the lease name of the slot that is being acquired or held; None without a slot."""
        return None if self.slot is None else f"{MIN_RTT_LEASE_PREFIX}{self.tier}.{self.slot}"

    def token(self, now: int) -> int | None:
        """Return the token of the slot's lease if this process holds it now, otherwise None."""
        name = self.lease_name()
        return None if name is None else self.lease_client.held_token(now, name)

    def acquire(self, now: int, slot: int) -> list[OutgoingLeaseMessage]:
        """Start to acquire the lease of a slot, and return the messages to send for it."""
        self.slot, self.slot_requested_at = slot, now
        name = self.lease_name()
        assert name is not None
        self.lease_client.acquire(now, name)
        return self.lease_client.tick(now)

    def release(self, now: int) -> list[OutgoingLeaseMessage]:
        """Release the slot if it is held, or stop acquiring it; return the messages to send for that."""
        name = self.lease_name()
        if name is None:
            return []
        self.previous_slot, self.slot = self.slot or 0, None
        return self.lease_client.release(now, name)

    # ---- Calls by the policy ----------------------------------------------------------------------------

    def may_start(self, now: int) -> bool:
        """Return whether a recalculation may start now, and if so record its start.

        The policy calls this method in each of its windows, the periods in which it measures latency, from
        the time a recalculation is due until it may start.
        """
        settings = self.settings
        if self.waiting_since is None or now - self.last_polled_at > 2 * settings.max_wait:
            self.waiting_since = now
            self.max_wait = int(settings.max_wait * (1 + settings.wait_jitter * self.rng.random()))
        self.last_polled_at = now
        has_slot = self.token(now) is not None
        if not has_slot and now < self.waiting_since + self.max_wait:
            return False
        self.counts["passes" if has_slot else "without_a_place"] += 1
        self.started_at, self.start_delay = now, now - self.waiting_since
        self.waiting_since = None
        return True

    def finished(self) -> None:
        """Record that the recalculation in progress has ended."""
        self.started_at = None

    def is_due(self, now: int) -> bool:
        """Return whether the policy still waits for a recalculation to start."""
        return self.waiting_since is not None and now <= self.last_polled_at + self.settings.due_timeout

    # ---- Timers -----------------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Return when `tick` is due, or None if nothing is due."""
        settings = self.settings
        if self.started_at is not None:
            return self.started_at + settings.max_duration if self.slot is not None else None
        if not self.is_due(now):
            return now if self.slot is not None else None
        if self.slot is None:
            return now
        keeps_slot = self.slot_count == 1 or self.token(now) is not None
        if keeps_slot:
            return self.last_polled_at + settings.due_timeout + 1
        return self.slot_requested_at + settings.slot_wait

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Acquire a slot while a recalculation is due, and release it after the recalculation."""
        if self.started_at is not None:
            is_over = now >= self.started_at + self.settings.max_duration or self.token(now) is None
            return self.release(now) if is_over else []
        if not self.is_due(now):
            return self.release(now)
        if self.slot is None:
            return self.acquire(now, self.rng.randrange(self.slot_count))
        has_waited = now >= self.slot_requested_at + self.settings.slot_wait
        if self.token(now) is None and has_waited and self.slot_count > 1:
            return self.release(now) + self.acquire(now, (self.previous_slot + 1) % self.slot_count)
        return []

    # ---- Status for operators ---------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Return the key `remeasure` of `GET /fleet`: slots, stage of the recalculation, and counters."""
        waited = 0 if self.waiting_since is None else now - self.waiting_since
        return {
            "places": self.slot_count,
            "stage": self.stage(),
            "place": self.slot if self.token(now) is not None else None,
            "waits_s": round(waited / MICROSECONDS_PER_SECOND, 3),
            "counts": dict(self.counts),
        }

    def stage(self) -> str:
        """Return `passes` while a recalculation is in progress, `waits` while one is due, otherwise `-`."""
        if self.started_at is not None:
            return "passes"
        return "waits" if self.waiting_since is not None else "-"
