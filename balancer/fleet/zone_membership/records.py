"""The summaries that a node has of the other zones: one a zone, with its age.

Copies of summaries of one origin are ordered by version. Those of two origins (a zone has several gateways)
are ordered by when they were made, according to their ages. An age grows by the time that a copy stays at
each node on its way; the clocks of two nodes are never compared. The transmission time is not counted, so an
age may be too small by that; of two copies of one version the greater age is taken.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from balancer.fleet.zone_membership.summaries import Known, Refresh, Summary, Version, ZoneState

MAX_RECORDS = 64  # zones
MAX_ORIGINS = 8  # of a zone, whose newest versions are remembered


class Freshness(IntEnum):
    """A summary's age in relation to its bounds."""

    FRESH = 0
    STALE = 1
    LOST = 2


class ZoneEventKind(StrEnum):
    """What has happened to the summary of a zone."""

    FOUND = "found"
    FRESH = "fresh"
    STALE = "stale"
    LOST = "lost"


@dataclass(frozen=True)
class ZoneEvent:
    """A zone was found, or the freshness of its summary has changed."""

    zone: str
    kind: ZoneEventKind


EVENT_OF_FRESHNESS = {
    Freshness.FRESH: ZoneEventKind.FRESH,
    Freshness.STALE: ZoneEventKind.STALE,
    Freshness.LOST: ZoneEventKind.LOST,
}


@dataclass
class Record:
    """The latest summary of one zone.

    Attributes:
        state: The zone's state.
        fingerprint: Hash of the state.
        version: Version of the summary.
        made_at: When the summary was made, by this process's clock.
        freshness: Its age in relation to its bounds, as last reported.
        newest_by_origin: Sort keys of the newest versions, by origin; the origin heard of last at the end.
    """

    state: ZoneState
    fingerprint: int
    version: Version
    made_at: int
    freshness: Freshness
    newest_by_origin: dict[str, tuple[int, int]] = field(default_factory=dict)

    def age(self, now: int) -> int:
        """Returns the microseconds since the summary was made."""
        return max(0, now - self.made_at)

    def remember_version(self, version: Version) -> None:
        """Stores the newest version of an origin, and drops the origin that was heard of longest ago."""
        self.newest_by_origin.pop(version.origin, None)
        self.newest_by_origin[version.origin] = version.order
        while len(self.newest_by_origin) > MAX_ORIGINS:
            del self.newest_by_origin[next(iter(self.newest_by_origin))]


class Records:
    """The records of all other zones, by name.

    Args:
        own_zone: Name of the own zone, of which no summary is accepted.
        stale_after: Age, in microseconds, from which a summary is stale.
        lost_after: Age from which it is lost.
        notify: Called with each event.
    """

    def __init__(
        self, own_zone: str, stale_after: int, lost_after: int, notify: Callable[[ZoneEvent], None]
    ) -> None:
        self.own_zone = own_zone
        self.stale_after = stale_after
        self.lost_after = lost_after
        self.notify = notify
        self.zones: dict[str, Record] = {}
        self.counts: Counter[str] = Counter()

    # ---- copies that come in --------------------------------------------------------------------------

    def accept(self, now: int, summary: Summary) -> bool:
        """Stores a summary if it is newer than the one of its zone; returns whether it was."""
        zone = summary.state.zone
        if zone == self.own_zone:
            self.counts["own_zone"] += 1
            return False
        record = self.zones.get(zone)
        if record is None:
            return self._add(now, summary)
        if not self._is_newer(now, record, summary.version, summary.age):
            return False
        record.state, record.fingerprint = summary.state, summary.state.fingerprint()
        self._renew(now, zone, record, summary.version, summary.age)
        return True

    def refresh(self, now: int, refresh: Refresh) -> bool:
        """Stores a newer version and age if the state is the same; returns whether it was stored."""
        record = self.zones.get(refresh.zone)
        if record is None or record.fingerprint != refresh.fingerprint:
            self.counts["refresh_of_other_state"] += 1
            return False
        if not self._is_newer(now, record, refresh.version, refresh.age):
            return False
        self._renew(now, refresh.zone, record, refresh.version, refresh.age)
        return True

    def _is_newer(self, now: int, record: Record, version: Version, age: int) -> bool:
        """Returns whether a copy replaces the record; of the same version the greater age is taken over."""
        made_at = now - age
        if version == record.version:
            record.made_at = min(record.made_at, made_at)
            return False
        if record.freshness == Freshness.LOST:
            # Otherwise an origin whose clock, and so its incarnation, was set back would be refused for ever.
            return made_at > record.made_at
        newest = record.newest_by_origin.get(version.origin)
        if newest is not None and version.order < newest:
            self.counts["older"] += 1
            return False
        return version.origin == record.version.origin or made_at > record.made_at

    def _add(self, now: int, summary: Summary) -> bool:
        if len(self.zones) >= MAX_RECORDS and not self._evict():
            self.counts["zones_refused"] += 1
            return False
        state, version = summary.state, summary.version
        freshness = self._freshness_at(summary.age)
        record = Record(state, state.fingerprint(), version, now - summary.age, freshness)
        record.remember_version(version)
        self.zones[state.zone] = record
        self.notify(ZoneEvent(state.zone, ZoneEventKind.FOUND))
        return True

    def _evict(self) -> bool:
        """Drops the oldest lost record; returns whether there was one."""
        lost = [
            (record.made_at, zone)
            for zone, record in self.zones.items()
            if record.freshness == Freshness.LOST
        ]
        if not lost:
            return False
        self.counts["evicted"] += 1
        _, oldest = min(lost)
        del self.zones[oldest]
        return True

    def _renew(self, now: int, zone: str, record: Record, version: Version, age: int) -> None:
        record.version, record.made_at = version, now - age
        record.remember_version(version)
        self._update_freshness(now, zone, record)

    # ---- ages -----------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Reports which summaries have become stale or lost."""
        for zone, record in self.zones.items():
            self._update_freshness(now, zone, record)

    def deadline(self) -> int | None:
        """Returns when the next summary becomes stale or lost, unless it is renewed; None if none does."""
        bounds = {Freshness.FRESH: self.stale_after, Freshness.STALE: self.lost_after}
        return min(
            (
                record.made_at + bounds[record.freshness]
                for record in self.zones.values()
                if record.freshness in bounds
            ),
            default=None,
        )

    def _freshness_at(self, age: int) -> Freshness:
        if age >= self.lost_after:
            return Freshness.LOST
        return Freshness.STALE if age >= self.stale_after else Freshness.FRESH

    def _update_freshness(self, now: int, zone: str, record: Record) -> None:
        freshness = self._freshness_at(record.age(now))
        if freshness != record.freshness:
            record.freshness = freshness
            self.notify(ZoneEvent(zone, EVENT_OF_FRESHNESS[freshness]))

    # ---- copies that go out ---------------------------------------------------------------------------

    def known(self, now: int) -> tuple[Known, ...]:
        """Returns fingerprint and age of each summary, for a query."""
        return tuple(Known(zone, record.fingerprint, record.age(now)) for zone, record in self.zones.items())

    def younger(
        self, now: int, known: tuple[Known, ...], min_age_difference: int
    ) -> tuple[list[Summary], list[Refresh]]:
        """Returns what the sender of a query lacks.

        Args:
            now: The current time.
            known: What the sender has.
            min_age_difference: A copy that is younger by no more than this is not sent.

        Returns:
            Summaries of the states that the sender does not have, and refreshes of those that it has.
        """
        known_by_zone = {entry.zone: entry for entry in known}
        summaries, refreshes = [], []
        for zone, record in self.zones.items():
            age, other = record.age(now), known_by_zone.get(zone)
            if other is not None and age + min_age_difference >= other.age:
                continue
            if other is not None and other.fingerprint == record.fingerprint:
                refreshes.append(Refresh(zone, record.fingerprint, record.version, age))
            else:
                summaries.append(Summary(record.state, record.version, age))
        return summaries, refreshes
