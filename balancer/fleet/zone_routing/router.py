"""Router of one node's calls to zones. It assesses each zone and computes its share, its part of the calls.

`ZoneStates` tracks the zones that are in service, and `ShareAllocation` divides the calls. Times are
microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from balancer.fleet.zone_routing.failure_evidence import FailureEvidence, ZoneAssessment
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.shares import ShareAllocation
from balancer.fleet.zone_routing.zone_states import ZoneStates, ZoneStatus


@dataclass(frozen=True)
class ListedServer:
    """A server in discovery's list.

    Attributes:
        zone: Name of the server's zone.
        slow_start_until: End of the server's slow start, the time after its start in which it gets fewer
            calls; 0 if it is unknown when the server started.
    """

    zone: str
    slow_start_until: int


class ZoneRouter:
    """Routing of one node's calls: the assessment of each zone and its share of the calls.

    Args:
        home: The node's own zone.
        settings: Settings of zone routing.
        slow_start_time: Duration of a server's slow start.
        slow_start_share: Weight from 0 to 1 of a server that has just started.
        now: The monotonic clock.
        rank: Returns this node's position among the members, from 0 to below 1.
        log_line: Writes a line to the log.
    """

    def __init__(
        self,
        home: str,
        settings: ZoneSettings,
        slow_start_time: int,
        slow_start_share: float,
        now: int,
        rank: Callable[[], float],
        log_line: Callable[[str], None],
    ) -> None:
        self.home = home
        self.settings = settings
        self.slow_start_time = max(1, slow_start_time)
        self.slow_start_share = slow_start_share
        self.log_line = log_line
        self.counts: Counter[str] = Counter()
        self.evidence = FailureEvidence(settings, now)
        self.states = ZoneStates(settings, self.evidence, rank, log_line, self.counts)
        self.servers: dict[int, ListedServer] = {}
        self.ejected: set[int] = set()
        # Whether this node counts as isolated: all remote zones look bad, likely because of a fault of this
        # node or its links.
        self.is_isolated = False
        self.next_evaluation_at = now

    # ---- Servers and outcomes ---------------------------------------------------------------------------

    def update_servers(self, servers: Mapping[int, ListedServer]) -> None:
        """Replace the ready servers by those of discovery's list."""
        self.servers = dict(servers)
        self.ejected &= servers.keys()
        self.states.set_listed_zones(sorted({server.zone for server in servers.values()}))

    def set_ejected(self, server: int, is_ejected: bool) -> None:
        """Record that the policy has ejected a server from service or readmitted it."""
        if is_ejected:
            self.ejected.add(server)
        else:
            self.ejected.discard(server)

    def record_outcome(self, now: int, server: int, ok: bool, latency: int) -> bool:
        """Record the outcome of a call to a server.

        A zone that becomes unreachable is evaluated at once. Until the next regular evaluation, all its calls
        would fail and cost a retry each, which could exhaust the retry budget.

        Returns:
            Whether the zones must be evaluated at once.
        """
        listed = self.servers.get(server)
        if listed is None:
            return False
        self.evidence.record_outcome(listed.zone, server, ok, latency)
        failures = self.evidence.get_or_create(listed.zone).consecutive_failures
        if failures != self.settings.consecutive_failures:
            return False
        self.next_evaluation_at = now
        return True

    def record_connection(self, server: int, connect_time: int) -> None:
        """Record the time in microseconds that opening a connection to a server took."""
        listed = self.servers.get(server)
        if listed is not None:
            self.evidence.record_connection(listed.zone, connect_time)

    def apply_directives(
        self, remaining_durations: Mapping[str, int], returning_zones: Collection[str] = ()
    ) -> None:
        """Apply operators' directives; see `ZoneStates.apply_directives`."""
        self.states.apply_directives(self.next_evaluation_at, remaining_durations, returning_zones)

    def allows(self, server: int) -> bool:
        """Return whether calls may go to a server: its zone takes calls, or no zone takes any."""
        listed = self.servers.get(server)
        if listed is None or self.states.takes_calls(listed.zone):
            return True
        return not any(self.states.takes_calls(zone) for zone in self.zones())

    # ---- Evaluation -------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """Return the time at which `tick` is due."""
        return self.next_evaluation_at

    def tick(self, now: int) -> bool:
        """Evaluate all zones if the next evaluation is due, and return whether it was due."""
        if now < self.next_evaluation_at:
            return False
        self.next_evaluation_at = now + self.settings.evaluation_interval
        assessments = {zone: self.assess(zone) for zone in self.zones()}
        threshold = self.settings.bad_servers_threshold
        bad = {zone for zone, assessment in assessments.items() if assessment.bad_share >= threshold}
        self.check_isolation(assessments, bad)
        for zone, assessment in assessments.items():
            self.evidence.measure_performance(zone)
            if zone == self.home or not self.is_isolated:
                is_bad = zone in bad and self.others_are_better(zone, assessments)
                self.states.advance(now, zone, assessment, is_bad)
        self.evidence.close_window_if_ended(now)
        return True

    def check_isolation(self, assessments: Mapping[str, ZoneAssessment], bad: Collection[str]) -> None:
        """Detect isolation: all remote zones that get calls look bad, and the home zone does not.

        The fault is then likely near this node, so the remote zones are not evacuated. They still get a few
        calls, which show when they are reachable again.
        """
        was_isolated = self.is_isolated
        self.is_isolated = (
            self.remains_isolated(assessments, bad)
            if was_isolated
            else self.becomes_isolated(assessments, bad)
        )
        if self.is_isolated == was_isolated:
            return
        self.counts["isolated"] += self.is_isolated
        if self.is_isolated:
            self.log_line("fleet zones: all remote zones look bad, calls stay at home")
        else:
            self.log_line("fleet zones: remote zones are evaluated again")
        self.states.cancel_evacuations(except_zone=self.home)

    def becomes_isolated(self, assessments: Mapping[str, ZoneAssessment], bad: Collection[str]) -> bool:
        """Return whether at least two remote zones get calls and look bad, and the home zone does not."""
        called = {
            zone
            for zone, assessment in assessments.items()
            if assessment.is_conclusive(self.settings.min_calls) and self.states.takes_calls(zone)
        }
        remote = called - {self.home}
        is_home_healthy = self.home in called and self.home not in bad
        return len(remote) > 1 and all(zone in bad for zone in remote) and is_home_healthy

    def remains_isolated(self, assessments: Mapping[str, ZoneAssessment], bad: Collection[str]) -> bool:
        """Return whether the home zone is not bad and no remote zone answers most of its calls."""
        if self.home in bad:
            return False
        return not any(
            assessment.is_mostly_answered for zone, assessment in assessments.items() if zone != self.home
        )

    def zones(self) -> Sequence[str]:
        """Return the names of the zones that have servers, in order."""
        return self.states.listed_zones

    def assess(self, zone: str) -> ZoneAssessment:
        """Assess a zone by the outcomes of this node's calls to it and by its ejected servers."""
        ejected = {
            server for server in self.ejected if server in self.servers and self.servers[server].zone == zone
        }
        return self.evidence.assess(zone, ejected)

    def others_are_better(self, zone: str, assessments: Mapping[str, ZoneAssessment]) -> bool:
        """Return whether another zone is clearly better than this one, or there is no evidence on the others.

        Another zone is compared only if it takes calls and there is enough evidence on it. The result is
        False while this zone is in service and the evidence on this zone itself is not conclusive.

        Without this condition, a release that is bad everywhere, or a fault of this node, would evacuate one
        zone after another.
        """
        min_calls = self.settings.min_calls
        status = self.states.get_or_create(zone).status
        if not assessments[zone].is_conclusive(min_calls) and status == ZoneStatus.IN_SERVICE:
            return False
        others = [
            assessment.bad_share
            for other, assessment in assessments.items()
            if other != zone and assessment.is_conclusive(min_calls) and self.states.takes_calls(other)
        ]
        return not others or min(others) <= self.settings.better_factor * assessments[zone].bad_share

    # ---- Shares -----------------------------------------------------------------------------------------

    def strengths(self, now: int) -> dict[str, float]:
        """Return each zone's strength: its servers in service, weighted by slow start and performance."""
        strengths: dict[str, float] = dict.fromkeys(self.zones(), 0.0)
        for number, server in self.servers.items():
            if number not in self.ejected:
                progress = 1 - max(0.0, min(1.0, (server.slow_start_until - now) / self.slow_start_time))
                strengths[server.zone] += self.slow_start_share + (1 - self.slow_start_share) * progress
        return {zone: strength * self.assumed_performance(zone) for zone, strength in strengths.items()}

    def assumed_performance(self, zone: str) -> float:
        """Return a zone's measured performance; 1 for a remote zone while this node is isolated.

        In isolation the links of this node may be at fault rather than the remote zones.
        """
        return 1.0 if self.is_isolated and zone != self.home else self.evidence.performance(zone)

    def shares(self, now: int) -> dict[str, float]:
        """Return the part of the calls for each zone, in order of preference.

        Evacuated zones are omitted, unless all zones are evacuated.
        """
        strengths = self.strengths(now)
        # Zones without servers at the moment still originate calls.
        zones_with_demand = {*strengths, *self.states.by_zone, self.home}
        allocation = ShareAllocation(
            home=self.home,
            strengths=strengths,
            weights={zone: self.weight(zone) for zone in strengths},
            even_share=1 / len(zones_with_demand),
            overprovisioning_factor=self.settings.overprovisioning_factor,
            costs=self.settings.costs,
        )
        return allocation.shares()

    def weight(self, zone: str) -> float:
        """Return a zone's weight: the part, from 0 to 1, of its strength that this node may use.

        While this node is isolated and its home zone has servers, the weight of a remote zone is at most the
        initial weight.
        """
        weight = self.states.effective_weight(zone)
        is_limited = self.is_isolated and zone != self.home and self.home in self.zones()
        return min(weight, self.settings.initial_weight) if is_limited else weight

    def extra_round_trips(self) -> dict[str, int]:
        """Return the extra time of a round trip to each remote zone over one in the home zone."""
        return {
            zone: self.evidence.extra_round_trip(zone, self.home)
            for zone in self.zones()
            if zone != self.home
        }

    # ---- Status page ------------------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the value of the key `zones` of the operators' page, with times in seconds."""
        shares = self.shares(now) if self.servers else {}
        strengths = self.strengths(now)
        table = {}
        for zone in self.zones():
            state = self.states.get_or_create(zone)
            remaining = self.states.evacuated_by_directive.get(zone, 0)
            table[zone] = {
                "stand": "left by order" if remaining else state.status.value,
                "share": round(shares.get(zone, 0.0), 4),
                "strength": round(strengths[zone], 2),
                "part": round(state.weight, 3),
                "pace": round(self.evidence.performance(zone), 3),
                "ordered_s": round(remaining / 1e6, 1),
            }
        return {"home": self.home, "isolated": self.is_isolated, "zones": table, "counts": dict(self.counts)}
