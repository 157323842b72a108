"""The state of each zone in this node's routing: in service, evacuating, evacuated, recovering.

A zone's weight is the part of its strength that this node uses. While the outcomes of calls show that a zone
is bad and others are better, its weight is halved at each evaluation until the zone is evacuated. It then
gets no calls for some time and recovers in steps. Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from balancer.fleet.zone_routing.failure_evidence import FailureEvidence, ZoneAssessment
from balancer.fleet.zone_routing.settings import ZoneSettings

# A zone is evacuated when halving its weight makes the weight lower than this value.
MIN_EVACUATING_WEIGHT = 0.05
# At most one in this number of zones is evacuated at a time; if there are fewer zones, at most one zone is.
ZONES_PER_EVACUATION = 3


class ZoneStatus(Enum):
    """Status of a zone; the values are those of the key `stand` on the operators' page."""

    IN_SERVICE = "in"
    EVACUATING = "leaving"
    EVACUATED = "out"
    RECOVERING = "returning"


@dataclass
class ZoneState:
    """The state of one zone's evacuation and recovery.

    Attributes:
        status: Status of the zone.
        weight: Part of the zone's strength that is used, from 0 to 1.
        next_step_at: Earliest time of the next step of the zone's recovery.
        evacuation_time: Duration of the zone's last evacuation by evidence, that is by outcomes of calls,
            without the stagger that spreads the nodes' return; 0 if there was none or it was not recent.
        recovered_at: Time at which the zone's last recovery was completed.
    """

    status: ZoneStatus = ZoneStatus.IN_SERVICE
    weight: float = 1.0
    next_step_at: int = 0
    evacuation_time: int = 0
    recovered_at: int = 0

    def put_in_service(self) -> None:
        """Return the zone to full service."""
        self.status, self.weight = ZoneStatus.IN_SERVICE, 1.0


class ZoneStates:
    """The states of all zones that were ever listed, and the operators' directives on them.

    Args:
        settings: Settings of zone routing.
        evidence: Outcomes of this node's calls, which are cleared for a zone whose recovery begins.
        rank: Returns this node's position among the members, from 0 to below 1.
        log_line: Writes a line to the log.
        counts: Counters; the key `left` counts evacuations.
    """

    def __init__(
        self,
        settings: ZoneSettings,
        evidence: FailureEvidence,
        rank: Callable[[], float],
        log_line: Callable[[str], None],
        counts: Counter[str],
    ) -> None:
        self.settings = settings
        self.evidence = evidence
        self.rank = rank
        self.log_line = log_line
        self.counts = counts
        self.by_zone: dict[str, ZoneState] = {}
        self.listed_zones: Sequence[str] = ()
        # Remaining microseconds of each evacuation by a directive.
        self.evacuated_by_directive: dict[str, int] = {}
        self.returning_by_directive: set[str] = set()

    def get_or_create(self, zone: str) -> ZoneState:
        """Return a zone's state; a new zone is in service."""
        return self.by_zone.setdefault(zone, ZoneState())

    def set_listed_zones(self, zones: Sequence[str]) -> None:
        """Set the names of the zones that have servers, in order."""
        self.listed_zones = zones
        for zone in zones:
            self.get_or_create(zone)

    def takes_calls(self, zone: str) -> bool:
        """Return whether a zone gets any calls."""
        return self.get_or_create(zone).weight > 0 and zone not in self.evacuated_by_directive

    def effective_weight(self, zone: str) -> float:
        """Return the part of a zone's strength that is used; 0 if a directive evacuates it."""
        return 0.0 if zone in self.evacuated_by_directive else self.get_or_create(zone).weight

    def cancel_evacuations(self, except_zone: str) -> None:
        """Put all zones whose evacuation is in progress back into service, except one."""
        for zone, state in self.by_zone.items():
            if zone != except_zone and state.status == ZoneStatus.EVACUATING:
                state.put_in_service()

    # ---- Directives -------------------------------------------------------------------------------------

    def apply_directives(
        self, now: int, remaining_durations: Mapping[str, int], returning_zones: Collection[str]
    ) -> None:
        """Apply operators' directives, which override the evidence from outcomes of calls.

        Zones that an operator allows to return begin their recovery. Zones whose directive has ended begin it
        too, unless evidence has evacuated them as well.

        Args:
            now: Start of the recoveries that begin.
            remaining_durations: Remaining microseconds of the evacuations by a directive, by zone.
            returning_zones: Zones that an operator allows to return.
        """
        for zone in self.evacuated_by_directive.keys() - remaining_durations.keys():
            if zone in returning_zones or self.get_or_create(zone).status != ZoneStatus.EVACUATED:
                self.begin_recovery(now, zone)
        for zone in set(returning_zones) - self.returning_by_directive:
            if self.get_or_create(zone).status == ZoneStatus.EVACUATED:
                self.begin_recovery(now, zone)
        self.returning_by_directive = set(returning_zones)
        for zone, duration in remaining_durations.items():
            if zone not in self.evacuated_by_directive:
                self.log_line(f"fleet zone {zone} evacuated by directive, {duration / 1e6:.0f} s remaining")
        self.evacuated_by_directive = dict(remaining_durations)

    # ---- Evacuation and recovery ------------------------------------------------------------------------

    def advance(self, now: int, zone: str, assessment: ZoneAssessment, is_bad: bool) -> None:
        """Take the next step in a zone's evacuation or recovery if it is due.

        Args:
            now: The monotonic clock.
            zone: The zone's name.
            assessment: The assessment of the zone.
            is_bad: Whether the zone is bad and other zones are better.
        """
        status = self.get_or_create(zone).status
        if status == ZoneStatus.RECOVERING:
            self.advance_recovery(now, zone, assessment, is_bad)
        elif status != ZoneStatus.EVACUATED:
            self.advance_evacuation(now, zone, assessment, is_bad)
        elif now >= self.get_or_create(zone).next_step_at:
            self.begin_recovery(now, zone)

    def advance_evacuation(self, now: int, zone: str, assessment: ZoneAssessment, is_bad: bool) -> None:
        """Halve the weight of a bad zone, or double the weight of a zone that answers its calls again."""
        state = self.get_or_create(zone)
        if is_bad and self.may_evacuate(zone):
            state.status = ZoneStatus.EVACUATING
            state.weight /= 2
            if state.weight < MIN_EVACUATING_WEIGHT:
                self.evacuate(now, zone, state)
        elif state.status == ZoneStatus.EVACUATING and assessment.is_mostly_answered:
            state.weight = min(1.0, 2 * state.weight)
            if state.weight == 1.0:
                state.put_in_service()

    def advance_recovery(self, now: int, zone: str, assessment: ZoneAssessment, is_bad: bool) -> None:
        """Evacuate a recovering zone that is bad again, or double its weight when that is due.

        A zone's weight is not doubled while a directive evacuates the zone. Otherwise it would complete its
        recovery without a single call, and a failure after that would not count as a relapse.
        """
        state, settings = self.get_or_create(zone), self.settings
        is_conclusive = assessment.is_conclusive(settings.min_calls)
        if is_bad or (is_conclusive and assessment.bad_share >= settings.bad_servers_threshold):
            self.evacuate(now, zone, state)
            return
        is_step_due = now >= state.next_step_at and assessment.is_mostly_answered
        if zone in self.evacuated_by_directive or not (is_step_due or self.is_unused(now, assessment, state)):
            return
        state.weight = min(1.0, 2 * state.weight)
        state.next_step_at = now + settings.recovery_step
        if state.weight == 1.0:
            state.put_in_service()
            state.recovered_at = now
            self.log_line(f"fleet zone {zone} recovered")

    def may_evacuate(self, zone: str) -> bool:
        """Return whether few enough other zones are unavailable that one more may be evacuated.

        The limit prevents cascading evacuations: the load of a lost zone slows the others down, and the
        evacuation of a slow zone would overload the next one.
        """
        unavailable = sum(
            other not in self.listed_zones
            or state.status != ZoneStatus.IN_SERVICE
            or other in self.evacuated_by_directive
            for other, state in self.by_zone.items()
            if other != zone
        )
        return unavailable < max(1, len(self.by_zone) // ZONES_PER_EVACUATION)

    def is_unused(self, now: int, assessment: ZoneAssessment, state: ZoneState) -> bool:
        """Return whether a zone has gone without calls for so long that no evidence is to be expected.

        Such a zone recovers without evidence. Otherwise a remote zone that gets no calls while the home zone
        is healthy would stay at its initial weight and lack capacity when the home zone is lost.
        """
        return assessment.calls == 0 and now >= state.next_step_at + self.settings.evacuation_time

    def evacuate(self, now: int, zone: str, state: ZoneState) -> None:
        """Send no calls to a zone for some time, which is longer if the zone recovered recently."""
        settings = self.settings
        state.evacuation_time = self.next_evacuation_time(now, state)
        state.status, state.weight = ZoneStatus.EVACUATED, 0.0
        state.next_step_at = now + state.evacuation_time + int(settings.return_stagger * self.rank())
        self.counts["left"] += 1
        self.log_line(f"fleet zone {zone} evacuated for {state.evacuation_time / 1e6:g} s")

    def next_evacuation_time(self, now: int, state: ZoneState) -> int:
        """Return the duration of an evacuation that begins now.

        The duration is multiplied by the backoff only if evidence has evacuated the zone before. A zone that
        fails after a directive may have had no such evacuation, and the backoff would multiply 0 s.
        """
        settings = self.settings
        is_recovering = state.status == ZoneStatus.RECOVERING
        is_relapse = is_recovering or self.recovered_recently(now, state)
        if state.evacuation_time == 0 or not is_relapse:
            return settings.evacuation_time
        return min(settings.max_evacuation_time, settings.evacuation_backoff * state.evacuation_time)

    def recovered_recently(self, now: int, state: ZoneState) -> bool:
        """Return whether a zone recovered so recently that a failure now is a relapse."""
        return now < state.recovered_at + self.settings.relapse_window

    def begin_recovery(self, now: int, zone: str) -> None:
        """Start to send a few calls to a zone again.

        A recovery may follow an evacuation by a directive. The duration of the last evacuation by evidence is
        reset if the zone had been in service for long before that directive. Otherwise a failure after the
        directive would count as a relapse of an evacuation days ago.
        """
        state = self.get_or_create(zone)
        was_in_service = state.status in (ZoneStatus.IN_SERVICE, ZoneStatus.EVACUATING)
        if was_in_service and not self.recovered_recently(now, state):
            state.evacuation_time = 0
        state.status, state.weight = ZoneStatus.RECOVERING, self.settings.initial_weight
        state.next_step_at = now + self.settings.recovery_step
        self.evidence.clear(zone)
        self.log_line(f"fleet zone {zone} recovering in steps")
