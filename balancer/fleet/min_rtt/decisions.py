"""When a node's minRTT recalculation may begin: it holds one of the tier's slots, or has waited long enough.

Each slot is a lease. A node that waits requests the slots one after the other, from a random one on; a slot
that another node releases is offered to those that requested it last. The recalculation itself is the
policy's. The first one of a process is not limited.

All times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.fleet.leases.names import REMEASURE_PREFIX
from balancer.fleet.min_rtt.settings import MinRttSettings

MICROSECONDS = 1e6  # in a second


class MinRttSlots:
    """One process's part: it acquires a slot while a recalculation is due, and releases it afterwards."""

    def __init__(
        self, tier: int, instances: int, settings: MinRttSettings, lease_client: LeaseClient, rng: Random
    ) -> None:
        """Creates the state machine of a process.

        Args:
            tier: Number of the process's tier.
            instances: Number of nodes of the tier.
            settings: Time spans and limits.
            lease_client: Acquires the slots' leases.
            rng: Chooses the first slot and the time to wait.
        """
        self.tier = tier
        self.settings = settings
        self.slot_count = settings.slots(instances)
        self.lease_client = lease_client
        self.rng = rng
        self.slot: int | None = None  # the one that is being acquired or held
        self.previous_slot = 0
        self.slot_requested_at = 0
        self.waiting_since: int | None = None  # None while no recalculation is due
        self.max_wait = 0  # of the recalculation that is due
        self.last_asked_at = 0
        self.started_at: int | None = None  # of the recalculation in progress
        self.waited = 0  # before the recalculation in progress
        self.counts: Counter[str] = Counter()

    # ---- leases -----------------------------------------------------------------------------------------

    def lease_name(self) -> str | None:
        """Name of the lease of the slot that is being acquired or held."""
        return None if self.slot is None else f"{REMEASURE_PREFIX}{self.tier}.{self.slot}"

    def token(self, now: int) -> int | None:
        """Token of the slot's lease, if this process holds it now."""
        name = self.lease_name()
        return None if name is None else self.lease_client.held_token(now, name)

    def acquire(self, now: int, slot: int) -> list[OutgoingLeaseMessage]:
        """Starts to acquire a slot."""
        self.slot, self.slot_requested_at = slot, now
        name = self.lease_name()
        assert name is not None
        self.lease_client.acquire(now, name)
        return self.lease_client.tick(now)

    def release(self, now: int) -> list[OutgoingLeaseMessage]:
        """Releases the slot, or stops acquiring it."""
        name = self.lease_name()
        if name is None:
            return []
        self.previous_slot, self.slot = self.slot or 0, None
        return self.lease_client.release(now, name)

    # ---- the policy's events and questions --------------------------------------------------------------

    def may_start(self, now: int) -> bool:
        """Whether the recalculation that is due begins now. The policy asks in each window until it does."""
        settings = self.settings
        if self.waiting_since is None or now - self.last_asked_at > 2 * settings.max_wait:
            self.waiting_since = now
            self.max_wait = int(settings.max_wait * (1 + settings.wait_jitter * self.rng.random()))
        self.last_asked_at = now
        has_slot = self.token(now) is not None
        if not has_slot and now < self.waiting_since + self.max_wait:
            return False
        self.counts["passes" if has_slot else "without_a_place"] += 1
        self.started_at, self.waited = now, now - self.waiting_since
        self.waiting_since = None
        return True

    def finished(self) -> None:
        """The recalculation in progress has ended."""
        self.started_at = None

    def is_due(self, now: int) -> bool:
        """Whether the policy still waits for a recalculation."""
        return self.waiting_since is not None and now <= self.last_asked_at + self.settings.due_timeout

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When `tick` is due; None if nothing is."""
        settings = self.settings
        if self.started_at is not None:
            return self.started_at + settings.max_duration if self.slot is not None else None
        if not self.is_due(now):
            return now if self.slot is not None else None
        if self.slot is None:
            return now
        keeps_slot = self.slot_count == 1 or self.token(now) is not None
        if keeps_slot:
            return self.last_asked_at + settings.due_timeout + 1
        return self.slot_requested_at + settings.slot_wait

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Acquires a slot while a recalculation is due, and releases it when that has ended."""
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

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """The key `remeasure` of `GET /fleet`: whether a recalculation goes on or is due, and counters."""
        waited = 0 if self.waiting_since is None else now - self.waiting_since
        return {
            "places": self.slot_count,
            "stage": self.stage(),
            "place": self.slot if self.token(now) is not None else None,
            "waits_s": round(waited / MICROSECONDS, 3),
            "counts": dict(self.counts),
        }

    def stage(self) -> str:
        """`passes` while a recalculation goes on, `waits` while one is due, else `-`."""
        if self.started_at is not None:
            return "passes"
        return "waits" if self.waiting_since is not None else "-"
