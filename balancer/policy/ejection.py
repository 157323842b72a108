"""Outlier ejection: a member that fails or does not respond gets no requests but probes.

A member is a server of this instance's subset. A probe is a single real request that tests an ejected server.
"""

from __future__ import annotations

from random import Random

from balancer.policy.interface import Actions, Fleet, Outcome
from balancer.policy.server import SERVER_SAMPLE_WEIGHT, SUBSET_SAMPLE_WEIGHT, Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.subset import Subset

# The number of mean round-trips without any outcome after which a member counts as silent.
SILENCE_TIMEOUT_FACTOR = 4
MAX_EJECTED_RATIO = 0.34
# The minimum number of consecutive failures, or of recorded outcomes, before a member is ejected.
MIN_FAILURES = 3
# A member is ejected when its failure rate exceeds that of the subset by this much.
MIN_EXCESS_FAILURE_RATE = 0.3
# The duration of a first ejection. It doubles with each further ejection, up to 16 times this value.
BASE_EJECTION_TIME_US = 2_000_000
# The maximum random extension of an ejection, relative to its duration.
EJECTION_JITTER_RATIO = 0.1


class OutlierEjection:
    """Outlier detection by the subset's failure rate, with ejection and readmission of members."""

    def __init__(
        self, subset: Subset, mean_rtt: list[float], actions: Actions, fleet: Fleet, rng: Random
    ) -> None:
        self.subset = subset
        self.mean_rtt = mean_rtt  # Mean round-trip times by class, which AttemptMetrics updates.
        self.actions = actions
        self.fleet = fleet
        self.rng = rng
        self.ejected: list[Server] = []
        self.next_probe_at = 0
        self.failure_rate = 0.0  # The smoothed failure rate of the entire subset.

    def record(self, now: int, server: Server, outcome: Outcome) -> None:
        """Record an attempt's outcome, and eject or readmit its server accordingly."""
        ok = outcome == Outcome.OK
        server.outcome_count += 1
        failed = 0.0 if ok or outcome in (Outcome.TIMEOUT, Outcome.REJECTED) else 1.0
        server.failure_rate += SERVER_SAMPLE_WEIGHT * (failed - server.failure_rate)
        self.failure_rate += SUBSET_SAMPLE_WEIGHT * (failed - self.failure_rate)
        if ok:
            server.consecutive_failures = 0
            if server.ejected and (server.probe_in_flight or server.silent):
                self.readmit(server, healthy=True)
        elif failed:
            server.consecutive_failures += 1
            if server.ejected:
                if server.probe_in_flight:
                    self.eject(now, server, silent=False)
            elif (
                server.consecutive_failures >= MIN_FAILURES and server.failure_rate > self.failure_rate * 2
            ) or (
                server.outcome_count >= MIN_FAILURES
                and server.failure_rate > MIN_EXCESS_FAILURE_RATE + self.failure_rate
            ):
                # A member that fails quickly has few attempts in flight, so it would be picked often.
                self.eject(now, server, silent=False)
        elif server.probe_in_flight:
            self.eject(now, server, silent=server.silent)
        server.probe_in_flight = False

    def eject(self, now: int, server: Server, silent: bool) -> None:
        """Eject a member, or extend its ejection, unless too many members are ejected already."""
        # A draining server that has left the subset must not be ejected when its last requests fail, since an
        # ejected server gets a probe.
        if not server.member:
            return
        if not server.ejected:
            if len(self.ejected) + 1 > MAX_EJECTED_RATIO * len(self.subset.members):
                return
            server.ejected = True
            self.ejected.append(server)
            self.actions.log(
                f"eject server={server.id} silent={int(silent)} fail_rate={server.failure_rate:.2f}"
            )
        server.silent = silent
        server.probe_at = now + int(
            (BASE_EJECTION_TIME_US << min(server.ejections, 4))
            * (1 + EJECTION_JITTER_RATIO * self.rng.random())
        )
        server.ejections += 1
        self.next_probe_at = min(e.probe_at for e in self.ejected)
        self.fleet.server_ejected(server.id, server.probe_at - now)
        self.subset.update_available()

    def readmit(self, server: Server, healthy: bool = False) -> None:
        """End an ejection. `healthy` says that a request of this instance succeeded on the server."""
        server.ejected = False
        server.silent = False
        server.failure_rate = self.failure_rate
        server.consecutive_failures = 0
        server.ejections = max(0, server.ejections - 1)
        self.ejected.remove(server)
        if self.ejected:
            self.next_probe_at = min(e.probe_at for e in self.ejected)
        self.actions.log(f"readmit server={server.id}")
        self.fleet.server_readmitted(server.id, healthy)
        self.subset.update_available()

    def eject_if_silent(self, now: int, server: Server) -> bool:
        """Eject a member that has ended none of its attempts in flight for several mean round-trips.

        If the member has only one attempt in flight, the time allowed is twice as long, since a single
        attempt may be a long one. Return whether the member is ejected.
        """
        timeout = SILENCE_TIMEOUT_FACTOR * max(self.mean_rtt) * (2 if server.in_flight == 1 else 1)
        if server.in_flight and now - server.last_outcome_at > timeout:
            self.eject(now, server, silent=True)
        return server.ejected

    def take_probe_target(self, now: int, slow_start: SlowStart) -> Server | None:
        """Return an ejected server whose probe is due and mark the probe as in flight, or return None.

        At least one server must be ejected.
        """
        if now < self.next_probe_at:
            return None
        for server in self.ejected:
            if server.probe_at > now or server.probe_in_flight or not self.fleet.may_probe(server.id):
                continue
            if slow_start.may_send(now, server):
                server.probe_in_flight = True
                server.probe_at = now + BASE_EJECTION_TIME_US
                return server
        return None
