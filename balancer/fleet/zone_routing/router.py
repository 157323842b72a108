"""Routes one node's calls to zones: judges each zone by failure evidence, and computes the zones' shares.

`ZoneStates` holds which zones are in service, `ShareAllocation` divides the calls. Times are microseconds of
this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from balancer.fleet.zone_routing.failure_evidence import FailureEvidence, Verdict
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.shares import ShareAllocation
from balancer.fleet.zone_routing.zone_states import ZoneStates, ZoneStatus


@dataclass(frozen=True)
class ListedServer:
    """A server in discovery's list.

    Attributes:
        zone: The name of its zone.
        slow_start_until: When its slow start is over; 0 if it started long ago.
    """

    zone: str
    slow_start_until: int


class ZoneRouter:
    """Decides for one node which zones its calls go to, and how much to each.

    Args:
        home: The node's own zone.
        settings: Thresholds and times.
        slow_start_time: How long a server's slow start lasts.
        slow_start_share: What a server that has just started counts for, from 0 to 1.
        now: The monotonic clock.
        rank: Returns this node's place among the members, from 0 to 1.
        log_line: Takes a line for the log.
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
        self.is_isolated = False  # all remote zones look bad, so the fault is likely this node's own
        self.next_evaluation_at = now

    # ---- what the node sees -----------------------------------------------------------------------------

    def update_servers(self, servers: Mapping[int, ListedServer]) -> None:
        """Take discovery's list of the servers that are ready."""
        self.servers = dict(servers)
        self.ejected &= servers.keys()
        self.states.set_present(sorted({server.zone for server in servers.values()}))

    def set_ejected(self, server: int, ejected: bool) -> None:
        """Take that a server has been ejected, or is not any more."""
        if ejected:
            self.ejected.add(server)
        else:
            self.ejected.discard(server)

    def record_outcome(self, now: int, server: int, ok: bool, latency: int) -> bool:
        """Record the end of a call to a server.

        Failure prevented: a zone dies, and until the next evaluation all calls still go there, each at the
        cost of a retry, until the retry budget is used up.

        Returns:
            Whether the zones must be evaluated at once.
        """
        listed = self.servers.get(server)
        if listed is None:
            return False
        self.evidence.record_outcome(listed.zone, server, ok, latency)
        failures = self.evidence.of(listed.zone).consecutive_failures
        if failures != self.settings.consecutive_failures:
            return False
        self.next_evaluation_at = now
        return True

    def record_connection(self, server: int, connect_time: int) -> None:
        """Record a connection to a server that came up."""
        listed = self.servers.get(server)
        if listed is not None:
            self.evidence.record_connection(listed.zone, connect_time)

    def apply_directives(self, remaining: Mapping[str, int], returned: Collection[str] = ()) -> None:
        """Take over the operators' directives; see `ZoneStates.apply_directives`."""
        self.states.apply_directives(self.next_evaluation_at, remaining, returned)

    def allows(self, server: int) -> bool:
        """Return whether calls may go to a server, by its zone."""
        listed = self.servers.get(server)
        if listed is None or self.states.takes_calls(listed.zone):
            return True
        return not any(self.states.takes_calls(zone) for zone in self.zones())

    # ---- evaluation -------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """Return when `tick` is due."""
        return self.next_evaluation_at

    def tick(self, now: int) -> bool:
        """Evaluate all zones if that is due; return whether it was."""
        if now < self.next_evaluation_at:
            return False
        self.next_evaluation_at = now + self.settings.evaluation_interval
        verdicts = {zone: self.verdict(zone) for zone in self.zones()}
        threshold = self.settings.bad_servers_threshold
        bad = {zone for zone, verdict in verdicts.items() if verdict.bad_share >= threshold}
        self.check_isolation(verdicts, bad)
        for zone, verdict in verdicts.items():
            self.evidence.measure_pace(zone)
            if zone == self.home or not self.is_isolated:
                is_bad = zone in bad and self.others_are_better(zone, verdicts)
                self.states.advance(now, zone, verdict, is_bad)
        self.evidence.close_window_if_over(now)
        return True

    def check_isolation(self, verdicts: Mapping[str, Verdict], bad: Collection[str]) -> None:
        """Find out whether all remote zones that are called look bad and the home zone does not.

        The fault is then likely near this node, and the remote zones are not evacuated for it. A few calls
        still go there, to see when they are reachable again.
        """
        was_isolated = self.is_isolated
        self.is_isolated = (
            self.stays_isolated(verdicts, bad) if was_isolated else self.isolates(verdicts, bad)
        )
        if self.is_isolated == was_isolated:
            return
        self.counts["isolated"] += self.is_isolated
        if self.is_isolated:
            self.log_line("fleet zones: all remote zones look bad, calls stay at home")
        else:
            self.log_line("fleet zones: remote zones are evaluated again")
        self.states.cancel_evacuations(except_zone=self.home)

    def isolates(self, verdicts: Mapping[str, Verdict], bad: Collection[str]) -> bool:
        """Return whether two or more remote zones are called, all of them look bad, and home does not."""
        called = {
            zone
            for zone, verdict in verdicts.items()
            if verdict.is_conclusive(self.settings.min_calls) and self.states.takes_calls(zone)
        }
        remote = called - {self.home}
        home_does_well = self.home in called and self.home not in bad
        return len(remote) > 1 and all(zone in bad for zone in remote) and home_does_well

    def stays_isolated(self, verdicts: Mapping[str, Verdict], bad: Collection[str]) -> bool:
        """Return whether the home zone does well still and no remote zone answers most of its calls."""
        if self.home in bad:
            return False
        return not any(verdict.is_mostly_answered for zone, verdict in verdicts.items() if zone != self.home)

    def zones(self) -> Sequence[str]:
        """Return the zones that have servers, in order."""
        return self.states.present

    def verdict(self, zone: str) -> Verdict:
        """Judge a zone by the failure evidence and its ejected servers."""
        ejected = {
            server for server in self.ejected if server in self.servers and self.servers[server].zone == zone
        }
        return self.evidence.verdict(zone, ejected)

    def others_are_better(self, zone: str, verdicts: Mapping[str, Verdict]) -> bool:
        """Return whether another zone is known to do clearly better, or none of the others is known at all.

        Failure prevented: a release that is bad everywhere, or a fault of this node's own, empties one zone
        after another.
        """
        min_calls = self.settings.min_calls
        status = self.states.of(zone).status
        if not verdicts[zone].is_conclusive(min_calls) and status == ZoneStatus.IN_SERVICE:
            return False
        others = [
            verdict.bad_share
            for other, verdict in verdicts.items()
            if other != zone and verdict.is_conclusive(min_calls) and self.states.takes_calls(other)
        ]
        return not others or min(others) <= self.settings.better_factor * verdicts[zone].bad_share

    # ---- shares -----------------------------------------------------------------------------------------

    def strengths(self, now: int) -> dict[str, float]:
        """Return each zone's strength: its servers in service, by their slow start and the zone's pace."""
        strengths: dict[str, float] = dict.fromkeys(self.zones(), 0.0)
        for number, server in self.servers.items():
            if number not in self.ejected:
                warmth = 1 - max(0.0, min(1.0, (server.slow_start_until - now) / self.slow_start_time))
                strengths[server.zone] += self.slow_start_share + (1 - self.slow_start_share) * warmth
        return {zone: strength * self.known_pace(zone) for zone, strength in strengths.items()}

    def known_pace(self, zone: str) -> float:
        """Return a zone's pace; in isolation 1 for remote zones, as this node's links may be at fault."""
        return 1.0 if self.is_isolated and zone != self.home else self.evidence.pace(zone)

    def shares(self, now: int) -> dict[str, float]:
        """Return the part of the calls that goes to each zone, in order of preference.

        Evacuated zones are not among them, unless all are.
        """
        strengths = self.strengths(now)
        zones_with_demand = {*strengths, *self.states.by_zone, self.home}  # also those without servers now
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
        """Return the part of a zone's strength that this node uses now."""
        weight = self.states.effective_weight(zone)
        is_limited = self.is_isolated and zone != self.home and self.home in self.zones()
        return min(weight, self.settings.initial_weight) if is_limited else weight

    def extra_round_trips(self) -> dict[str, int]:
        """Return how much longer a round trip to each remote zone takes than one at home."""
        return {
            zone: self.evidence.extra_round_trip(zone, self.home)
            for zone in self.zones()
            if zone != self.home
        }

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the key `zones` of the operators' page; times in seconds."""
        shares = self.shares(now) if self.servers else {}
        strengths = self.strengths(now)
        table = {}
        for zone in self.zones():
            state = self.states.of(zone)
            remaining = self.states.evacuated_by_directive.get(zone, 0)
            table[zone] = {
                "stand": "left by order" if remaining else state.status.value,
                "share": round(shares.get(zone, 0.0), 4),
                "strength": round(strengths[zone], 2),
                "part": round(state.weight, 3),
                "pace": round(self.evidence.pace(zone), 3),
                "ordered_s": round(remaining / 1e6, 1),
            }
        return {"home": self.home, "isolated": self.is_isolated, "zones": table, "counts": dict(self.counts)}
