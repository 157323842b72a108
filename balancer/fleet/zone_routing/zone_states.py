"""The state of each zone as this node routes calls: in service, evacuating, evacuated, recovering.

A zone is evacuated in halves while failure evidence shows that it alone is bad, stays without calls for a
while, and recovers in steps. Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from balancer.fleet.zone_routing.failure_evidence import FailureEvidence, Verdict
from balancer.fleet.zone_routing.settings import ZoneSettings

MIN_EVACUATING_WEIGHT = 0.05  # a zone whose weight is halved below this is evacuated
ZONES_PER_EVACUATION = 3  # one of so many zones at most is evacuated, or one if there are fewer


class ZoneStatus(Enum):
    """How this node uses a zone. The values are those of the key `stand` on the operators' page."""

    IN_SERVICE = "in"
    EVACUATING = "leaving"
    EVACUATED = "out"
    RECOVERING = "returning"


@dataclass
class ZoneState:
    """One zone's way out of service and back.

    Attributes:
        status: Where on that way it is.
        weight: The part of its strength that counts, from 0 to 1.
        next_step_at: The earliest time of the next step back.
        evacuation_time: How long evidence last took it out of service, without the stagger; 0 if it never
            did, or not lately.
        recovered_at: When it was last fully in service again.
    """

    status: ZoneStatus = ZoneStatus.IN_SERVICE
    weight: float = 1.0
    next_step_at: int = 0
    evacuation_time: int = 0
    recovered_at: int = 0

    def put_in_service(self) -> None:
        """Use the zone fully."""
        self.status, self.weight = ZoneStatus.IN_SERVICE, 1.0


class ZoneStates:
    """The states of all zones that were ever listed, and the operators' directives on them.

    Args:
        settings: Thresholds and times.
        evidence: Cleared for a zone whose recovery begins.
        rank: Returns this node's place among the members, from 0 to 1.
        log_line: Takes a line for the log.
        counts: Counts evacuations by the key `left`.
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
        self.present: Sequence[str] = ()
        self.evacuated_by_directive: dict[str, int] = {}  # microseconds that remain
        self.returned_by_directive: set[str] = set()

    def of(self, zone: str) -> ZoneState:
        """Return a zone's state, in service at first."""
        return self.by_zone.setdefault(zone, ZoneState())

    def set_present(self, zones: Sequence[str]) -> None:
        """Take the names of the zones that have servers, in order."""
        self.present = zones
        for zone in zones:
            self.of(zone)

    def takes_calls(self, zone: str) -> bool:
        """Return whether any calls go to a zone."""
        return self.of(zone).weight > 0 and zone not in self.evacuated_by_directive

    def effective_weight(self, zone: str) -> float:
        """Return the part of a zone's strength that counts, directives included."""
        return 0.0 if zone in self.evacuated_by_directive else self.of(zone).weight

    def cancel_evacuations(self, except_zone: str) -> None:
        """Put all zones that are being evacuated back in service, except one."""
        for zone, state in self.by_zone.items():
            if zone != except_zone and state.status == ZoneStatus.EVACUATING:
                state.put_in_service()

    # ---- directives -------------------------------------------------------------------------------------

    def apply_directives(self, now: int, remaining: Mapping[str, int], returned: Collection[str]) -> None:
        """Take over the operators' directives, which override the evidence.

        Zones that may return begin their recovery. So do those whose directive has ended, unless they were
        evacuated by evidence as well.

        Args:
            now: The time from which the steps of a recovery count.
            remaining: Zones that get no calls, and for how many microseconds still.
            returned: Zones that an operator lets return.
        """
        for zone in self.evacuated_by_directive.keys() - remaining.keys():
            if zone in returned or self.of(zone).status != ZoneStatus.EVACUATED:
                self.begin_recovery(now, zone)
        for zone in set(returned) - self.returned_by_directive:
            if self.of(zone).status == ZoneStatus.EVACUATED:
                self.begin_recovery(now, zone)
        self.returned_by_directive = set(returned)
        for zone, duration in remaining.items():
            if zone not in self.evacuated_by_directive:
                self.log_line(f"fleet zone {zone} evacuated by directive, {duration / 1e6:.0f} s remaining")
        self.evacuated_by_directive = dict(remaining)

    # ---- one zone's way out and back --------------------------------------------------------------------

    def advance(self, now: int, zone: str, verdict: Verdict, is_bad: bool) -> None:
        """Make the next step of a zone that is due.

        Args:
            now: The monotonic clock.
            zone: The zone's name.
            verdict: The judgement on it.
            is_bad: It is bad, and others are better.
        """
        status = self.of(zone).status
        if status == ZoneStatus.RECOVERING:
            self.advance_recovery(now, zone, verdict, is_bad)
        elif status != ZoneStatus.EVACUATED:
            self.advance_evacuation(now, zone, verdict, is_bad)
        elif now >= self.of(zone).next_step_at:
            self.begin_recovery(now, zone)

    def advance_evacuation(self, now: int, zone: str, verdict: Verdict, is_bad: bool) -> None:
        """Halve the weight of a bad zone, or double that of one which does well again."""
        state = self.of(zone)
        if is_bad and self.may_evacuate(zone):
            state.status = ZoneStatus.EVACUATING
            state.weight /= 2
            if state.weight < MIN_EVACUATING_WEIGHT:
                self.evacuate(now, zone, state)
        elif state.status == ZoneStatus.EVACUATING and verdict.is_mostly_answered:
            state.weight = min(1.0, 2 * state.weight)
            if state.weight == 1.0:
                state.put_in_service()

    def advance_recovery(self, now: int, zone: str, verdict: Verdict, is_bad: bool) -> None:
        """Evacuate a recovering zone that is bad again, or double its weight when that is due.

        Failure prevented: a zone recovers without a call while a directive holds, and its relapse is not
        seen as one.
        """
        state, settings = self.of(zone), self.settings
        is_conclusive = verdict.is_conclusive(settings.min_calls)
        if is_bad or (is_conclusive and verdict.bad_share >= settings.bad_servers_threshold):
            self.evacuate(now, zone, state)
            return
        does_well = now >= state.next_step_at and verdict.is_mostly_answered
        if zone in self.evacuated_by_directive or not (does_well or self.is_unused(now, verdict, state)):
            return
        state.weight = min(1.0, 2 * state.weight)
        state.next_step_at = now + settings.recovery_step
        if state.weight == 1.0:
            state.put_in_service()
            state.recovered_at = now
            self.log_line(f"fleet zone {zone} recovered")

    def may_evacuate(self, zone: str) -> bool:
        """Return whether so few other zones are lost or out of service that one more may be evacuated.

        Failure prevented: a lost zone's load slows the others down, the first of them is evacuated for it,
        and its load overloads the next.
        """
        unavailable = sum(
            other not in self.present
            or state.status != ZoneStatus.IN_SERVICE
            or other in self.evacuated_by_directive
            for other, state in self.by_zone.items()
            if other != zone
        )
        return unavailable < max(1, len(self.by_zone) // ZONES_PER_EVACUATION)

    def is_unused(self, now: int, verdict: Verdict, state: ZoneState) -> bool:
        """Return whether no call has gone to a zone for so long that there will be no evidence.

        Failure prevented: a remote zone that is not called while all is well at home stays at its first
        weight for ever, and has no capacity when the home zone is lost.
        """
        return verdict.calls == 0 and now >= state.next_step_at + self.settings.evacuation_time

    def evacuate(self, now: int, zone: str, state: ZoneState) -> None:
        """Send no calls to a zone for a while; for longer if it has recovered only lately."""
        settings = self.settings
        state.evacuation_time = self.next_evacuation_time(now, state)
        state.status, state.weight = ZoneStatus.EVACUATED, 0.0
        state.next_step_at = now + state.evacuation_time + int(settings.return_stagger * self.rank())
        self.counts["left"] += 1
        self.log_line(f"fleet zone {zone} evacuated for {state.evacuation_time / 1e6:g} s")

    def next_evacuation_time(self, now: int, state: ZoneState) -> int:
        """Return how long an evacuation that begins now lasts.

        Failure prevented: a zone that fails after a directive was evacuated by no evidence before, and the
        backoff multiplies 0 s.
        """
        settings = self.settings
        is_recovering = state.status == ZoneStatus.RECOVERING
        is_relapse = is_recovering or self.recovered_lately(now, state)
        if state.evacuation_time == 0 or not is_relapse:
            return settings.evacuation_time
        return min(settings.max_evacuation_time, settings.evacuation_backoff * state.evacuation_time)

    def recovered_lately(self, now: int, state: ZoneState) -> bool:
        """Return whether a zone that fails now has turned bad again."""
        return now < state.recovered_at + self.settings.relapse_window

    def begin_recovery(self, now: int, zone: str) -> None:
        """Send a first few calls to a zone again.

        Failure prevented: a zone that was in service for long when a directive came relapses, after that
        directive, from an evacuation of days ago.
        """
        state = self.of(zone)
        was_in_service = state.status in (ZoneStatus.IN_SERVICE, ZoneStatus.EVACUATING)
        if was_in_service and not self.recovered_lately(now, state):
            state.evacuation_time = 0
        state.status, state.weight = ZoneStatus.RECOVERING, self.settings.initial_weight
        state.next_step_at = now + self.settings.recovery_step
        self.evidence.clear(zone)
        self.log_line(f"fleet zone {zone} recovering in steps")
