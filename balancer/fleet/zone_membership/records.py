"""The latest summary of each other zone that a node holds, with its age.

An origin is the node that created a summary; a zone has several, since each of its gateways creates
summaries. Summaries of one origin are ordered by version. Summaries of two origins are ordered by the time of
their creation, which is derived from their ages. An age grows by the time that a copy spends at each node
that forwards it; the clocks of two nodes are never compared. Transmission times are not counted, so an age
may be too small by that amount. Of two copies of one version the greater age is used.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from balancer.fleet.zone_membership.summaries import KnownSummary, Refresh, Summary, Version, ZoneState

MAX_RECORDS = 64
# Maximum number of origins of one zone, nodes that created its summaries, whose newest versions are stored.
MAX_ORIGINS_PER_ZONE = 8


class Freshness(IntEnum):
    """Class of a summary by its age: fresh at first, then stale, finally lost."""

    FRESH = 0
    STALE = 1
    LOST = 2


class ZoneEventKind(StrEnum):
    """Kinds of events on the summary of a zone."""

    FOUND = "found"
    FRESH = "fresh"
    STALE = "stale"
    LOST = "lost"


@dataclass(frozen=True)
class ZoneEvent:
    """The discovery of a zone, or a change in the freshness of its summary."""

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
        made_at: Time at which the summary was created, by this process's clock.
        freshness: Class of the summary's age, as last reported in an event.
        newest_by_origin: Sort key of the newest version from each origin, the node that created the summary.
            The origin that was updated last comes last.
    """

    state: ZoneState
    fingerprint: int
    version: Version
    made_at: int
    freshness: Freshness
    newest_by_origin: dict[str, tuple[int, int]] = field(default_factory=dict)

    def age(self, now: int) -> int:
        """Return the microseconds since the creation of the summary."""
        return max(0, now - self.made_at)

    def remember_version(self, version: Version) -> None:
        """Store a version as the newest of its origin, the node that created the summary.

        If there are too many origins, evict the one that was updated longest ago.
        """
        self.newest_by_origin.pop(version.origin, None)
        self.newest_by_origin[version.origin] = version.order
        while len(self.newest_by_origin) > MAX_ORIGINS_PER_ZONE:
            del self.newest_by_origin[next(iter(self.newest_by_origin))]


class Records:
    """The latest summaries of all other zones, one record for each zone.

    Args:
        own_zone: Name of the own zone, whose summaries are rejected.
        stale_after: Age in microseconds from which a summary is stale.
        lost_after: Age in microseconds from which a summary is lost.
        notify: Callback for each event on a zone.
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

    # ---- Received copies ------------------------------------------------------------------------------

    def accept(self, now: int, summary: Summary) -> bool:
        """Store a summary if it is newer than the record of its zone, and return whether it was stored."""
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
        """Store a newer version and age of an unchanged state, and return whether they were stored."""
        record = self.zones.get(refresh.zone)
        if record is None or record.fingerprint != refresh.fingerprint:
            self.counts["refresh_of_other_state"] += 1
            return False
        if not self._is_newer(now, record, refresh.version, refresh.age):
            return False
        self._renew(now, refresh.zone, record, refresh.version, refresh.age)
        return True

    def _is_newer(self, now: int, record: Record, version: Version, age: int) -> bool:
        """Return whether a received version of a summary replaces the record of its zone.

        If the record has the same version, it is not replaced, but it takes the greater of the two ages.
        """
        made_at = now - age
        if version == record.version:
            record.made_at = min(record.made_at, made_at)
            return False
        if record.freshness == Freshness.LOST:
            # A version starts with its origin's incarnation, which is taken from the origin's clock. If
            # versions were compared for a lost record, an origin whose clock was set back would be rejected
            # for ever.
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
        """Evict the oldest record whose summary is lost, and return whether there was one."""
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

    # ---- Ages and freshness ---------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Report the summaries that have become stale or lost."""
        for zone, record in self.zones.items():
            self._update_freshness(now, zone, record)

    def deadline(self) -> int | None:
        """Return when the next summary becomes stale or lost unless renewed; None if none can."""
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

    # ---- Copies to send -------------------------------------------------------------------------------

    def known_summaries(self, now: int) -> tuple[KnownSummary, ...]:
        """Return the fingerprint and age of each summary, as sent in a query."""
        return tuple(
            KnownSummary(zone, record.fingerprint, record.age(now)) for zone, record in self.zones.items()
        )

    def find_updates(
        self, now: int, known_summaries: tuple[KnownSummary, ...], min_age_difference: int
    ) -> tuple[list[Summary], list[Refresh]]:
        """Return the summaries and refreshes that the sender of a query does not have.

        Args:
            now: The current time.
            known_summaries: Fingerprints and ages of the summaries that the sender holds.
            min_age_difference: Microseconds by which a copy must be newer than the sender's to be sent.

        Returns:
            Summaries for states that the sender does not hold, and refreshes for states that it holds.
        """
        known_by_zone = {entry.zone: entry for entry in known_summaries}
        summaries, refreshes = [], []
        for zone, record in self.zones.items():
            age, sender_copy = record.age(now), known_by_zone.get(zone)
            if sender_copy is not None and age + min_age_difference >= sender_copy.age:
                continue
            if sender_copy is not None and sender_copy.fingerprint == record.fingerprint:
                refreshes.append(Refresh(zone, record.fingerprint, record.version, age))
            else:
                summaries.append(Summary(record.state, record.version, age))
        return summaries, refreshes
