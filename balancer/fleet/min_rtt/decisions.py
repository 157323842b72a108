"""When a node's minRTT pass may begin: it holds one of the tier's places, or has waited long enough.

Each place is a lease. A node that waits tries the places one after the other, from one that it draws; a place
that another gives back is offered to those that had asked for it last. The pass itself is DESIGN's, and so is
the first of a process, which has no limit before it.

Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import floor
from random import Random
from typing import Any

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.fleet.leases.names import REMEASURE_PREFIX


@dataclass(frozen=True)
class RemeasureSettings:
    """`share`: of the tier's nodes, in a pass at once; one at least."""

    share: float
    bound: int = 30_000_000  # a node that got no place passes anyway after so long...
    jitter: float = 0.5  # ...and up to this part more, so that those that wait do not all pass at once
    each: int = 400_000  # a place is waited for, then the next one
    stale: int = 2_000_000  # the module has not asked for so long: no pass is due any more
    longest: int = 10_000_000  # a pass without traffic has no end: its place is given back

    def places(self, instances: int) -> int:
        """Of a tier with so many nodes."""
        return max(1, floor(self.share * instances))


class Remeasure:
    """One process's part."""

    def __init__(
        self, tier: int, instances: int, settings: RemeasureSettings, lease_client: LeaseClient, rng: Random
    ) -> None:
        self.tier = tier
        self.settings = settings
        self.places = settings.places(instances)
        self.lease_client = lease_client
        self.rng = rng
        self.place: int | None = None  # the one that is asked for or held
        self.before = 0  # the one before it
        self.moved = 0  # since when
        self.since: int | None = None  # a pass has been due
        self.bound = 0
        self.asked = 0  # when the module asked last
        self.begun: int | None = None  # the pass that is on
        self.waited = 0  # before that pass
        self.counts: Counter[str] = Counter()

    def lease_name(self) -> str | None:
        return None if self.place is None else f"{REMEASURE_PREFIX}{self.tier}.{self.place}"

    def token(self, now: int) -> int | None:
        """Of the place, if one is held now."""
        lease = self.lease_name()
        return None if lease is None else self.lease_client.held_token(now, lease)

    # ---- what the module says and asks ------------------------------------------------------------------

    def may(self, now: int) -> bool:
        """Whether the pass that is due begins now. Asked again with each window while it may not."""
        s = self.settings
        if self.since is None or now - self.asked > 2 * s.bound:
            self.since = now
            self.bound = int(s.bound * (1 + s.jitter * self.rng.random()))
        self.asked = now
        held = self.token(now) is not None
        if not held and now < self.since + self.bound:
            return False
        self.counts["passes" if held else "without_a_place"] += 1
        self.begun, self.waited, self.since = now, now - self.since, None
        return True

    def passed(self, now: int) -> None:
        """The pass is over."""
        self.begun = None

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When to `tick` next."""
        s = self.settings
        if self.begun is not None:
            return self.begun + s.longest if self.place is not None else None
        if self.since is None or now > self.asked + s.stale:
            return now if self.place is not None else None
        if self.place is None:
            return now
        stays = self.places == 1 or self.token(now) is not None
        return self.asked + s.stale + 1 if stays else self.moved + s.each

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Asks for a place while a pass is due, and gives it back when that is over."""
        s = self.settings
        if self.begun is not None:
            if self.place is not None and (now >= self.begun + s.longest or self.token(now) is None):
                return self.give_back(now)
            return []
        if self.since is None or now > self.asked + s.stale:
            return self.give_back(now)
        if self.place is None:
            return self.ask(now, self.rng.randrange(self.places))
        if self.token(now) is None and now >= self.moved + s.each and self.places > 1:
            return self.give_back(now) + self.ask(now, (self.before + 1) % self.places)
        return []

    def ask(self, now: int, place: int) -> list[OutgoingLeaseMessage]:
        self.place, self.moved = place, now
        lease = self.lease_name()
        assert lease is not None
        self.lease_client.acquire(now, lease)
        return self.lease_client.tick(now)

    def give_back(self, now: int) -> list[OutgoingLeaseMessage]:
        lease = self.lease_name()
        if lease is None:
            return []
        self.before, self.place = self.place or 0, None
        return self.lease_client.release(now, lease)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Whether a pass is on or waited for, times in seconds; counters."""
        stage = "passes" if self.begun is not None else "waits" if self.since is not None else "-"
        return {
            "places": self.places,
            "stage": stage,
            "place": self.place if self.token(now) is not None else None,
            "waits_s": 0.0 if self.since is None else round((now - self.since) / 1e6, 3),
            "counts": dict(self.counts),
        }
