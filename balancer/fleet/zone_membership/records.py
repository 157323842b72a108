"""What a node holds of the other zones: one summary each, with its age.

Copies of one origin's statements are ordered by version. Those of two origins (a zone has several gateways)
are ordered by when they were made, as their ages tell. An age grows by the time that a copy lies at each of
its holders; no two clocks are compared. The time on the way is not counted, so an age may be too small by
that; of two copies of one version the greater age holds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from balancer.fleet.zone_membership.messages import Known, Refresh, Summary, Version, ZoneState

MAX_RECORDS = 64  # zones
MAX_ORIGINS = 8  # of a zone, whose newest versions are remembered


class Freshness(IntEnum):
    """How a summary's age stands to its bounds."""

    FRESH = 0
    STALE = 1
    LOST = 2


@dataclass(frozen=True)
class Event:
    """A zone was found, or the freshness of its summary has changed."""

    zone: str
    what: str  # "found", "fresh", "stale", "lost"


@dataclass
class Record:
    """One zone's summary. `made` is when, by this process's clock; `newest` has the origins' versions."""

    state: ZoneState
    fingerprint: int
    version: Version
    made: int
    freshness: Freshness
    newest: dict[str, tuple[int, int]] = field(default_factory=dict)

    def age(self, now: int) -> int:
        return max(0, now - self.made)

    def remember(self, version: Version) -> None:
        """The newest version of each origin heard of lately."""
        self.newest.pop(version.origin, None)
        self.newest[version.origin] = version.order
        while len(self.newest) > MAX_ORIGINS:
            del self.newest[next(iter(self.newest))]


class Records:
    """Of all other zones, by name. `notify` hears of each event."""

    def __init__(
        self, own_zone: str, stale_after: int, lost_after: int, notify: Callable[[Event], None]
    ) -> None:
        self.own_zone = own_zone
        self.stale_after = stale_after
        self.lost_after = lost_after
        self.notify = notify
        self.zones: dict[str, Record] = {}
        self.counts: Counter[str] = Counter()

    # ---- copies that come in --------------------------------------------------------------------------

    def accept(self, now: int, summary: Summary) -> bool:
        """Holds a copy if it is newer than what is held."""
        zone = summary.state.zone
        if zone == self.own_zone:
            self.counts["own_zone"] += 1
            return False
        held = self.zones.get(zone)
        if held is None:
            return self.add(now, summary)
        if not self.newer(now, held, summary.version, summary.age):
            return False
        held.state, held.fingerprint = summary.state, summary.state.fingerprint()
        self.renew(now, zone, held, summary.version, summary.age)
        return True

    def refresh(self, now: int, refresh: Refresh) -> bool:
        """Takes over version and age if the state is the one that is held."""
        held = self.zones.get(refresh.zone)
        if held is None or held.fingerprint != refresh.fingerprint:
            self.counts["refresh_of_other_state"] += 1
            return False
        if not self.newer(now, held, refresh.version, refresh.age):
            return False
        self.renew(now, refresh.zone, held, refresh.version, refresh.age)
        return True

    def newer(self, now: int, held: Record, version: Version, age: int) -> bool:
        """Whether a copy takes the place of the one held. Of the same version the greater age stays."""
        made = now - age
        if version == held.version:
            held.made = min(held.made, made)
            return False
        if held.freshness == Freshness.LOST:
            # Failure prevented: an origin whose clock was set back is refused for ever.
            return made > held.made
        newest = held.newest.get(version.origin)
        if newest is not None and version.order < newest:
            self.counts["older"] += 1
            return False
        return version.origin == held.version.origin or made > held.made

    def add(self, now: int, summary: Summary) -> bool:
        if len(self.zones) >= MAX_RECORDS and not self.evict(now):
            self.counts["zones_refused"] += 1
            return False
        state, version, made = summary.state, summary.version, now - summary.age
        record = Record(state, state.fingerprint(), version, made, self.freshness(summary.age))
        record.remember(version)
        self.zones[state.zone] = record
        self.notify(Event(state.zone, "found"))
        return True

    def evict(self, now: int) -> bool:
        """Makes room: the oldest of those that are lost goes."""
        lost = [(r.made, zone) for zone, r in self.zones.items() if r.freshness == Freshness.LOST]
        if lost:
            self.counts["evicted"] += 1
            del self.zones[min(lost)[1]]
        return bool(lost)

    def renew(self, now: int, zone: str, held: Record, version: Version, age: int) -> None:
        held.version, held.made = version, now - age
        held.remember(version)
        self.judge(now, zone, held)

    # ---- ages -----------------------------------------------------------------------------------------

    def freshness(self, age: int) -> Freshness:
        if age >= self.lost_after:
            return Freshness.LOST
        return Freshness.STALE if age >= self.stale_after else Freshness.FRESH

    def judge(self, now: int, zone: str, record: Record) -> None:
        freshness = self.freshness(record.age(now))
        if freshness != record.freshness:
            record.freshness = freshness
            self.notify(Event(zone, freshness.name.lower()))

    def tick(self, now: int) -> None:
        """Reports what has become stale or lost."""
        for zone, record in self.zones.items():
            self.judge(now, zone, record)

    def deadline(self) -> int | None:
        """When the next record reaches a bound, unless it is renewed."""
        bounds = {Freshness.FRESH: self.stale_after, Freshness.STALE: self.lost_after}
        return min(
            (r.made + bounds[r.freshness] for r in self.zones.values() if r.freshness in bounds), default=None
        )

    # ---- copies that go out ---------------------------------------------------------------------------

    def known(self, now: int) -> tuple[Known, ...]:
        """What is held, in short."""
        return tuple(Known(zone, r.fingerprint, r.age(now)) for zone, r in self.zones.items())

    def younger(self, now: int, known: tuple[Known, ...], slack: int) -> tuple[list[Summary], list[Refresh]]:
        """What is held that an asker lacks, or has of an age greater by more than `slack`."""
        theirs = {k.zone: k for k in known}
        summaries, refreshes = [], []
        for zone, record in self.zones.items():
            age, other = record.age(now), theirs.get(zone)
            if other is not None and age + slack >= other.age:
                continue
            if other is not None and other.fingerprint == record.fingerprint:
                refreshes.append(Refresh(zone, record.fingerprint, record.version, age))
            else:
                summaries.append(Summary(record.state, record.version, age))
        return summaries, refreshes
