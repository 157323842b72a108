"""Outlier ejection: members that fail or fall silent get no requests but single probes."""

from __future__ import annotations

from random import Random

from balancer.policy.interface import Actions, Fleet, Outcome
from balancer.policy.server import SMOOTH, SMOOTH_ALL, Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.subset import Subset

SILENT_FACTOR = 4  # a member is silent after this many mean round-trips without any outcome
MAX_EJECTED_SHARE = 0.34  # of the members, at most
MIN_FAILURES = 3  # minimum number of failures in a row, or of recent requests, before ejection
MIN_EXCESS_FAILURE_RATE = 0.3  # failure rate above the subset's own that ejects
BASE_EJECTION_TIME = 2_000_000  # first ejection; doubles up to 16 times
EJECTION_JITTER = 0.1  # of that time, at most, is added at random


class OutlierEjection:
    """The ejected members, and the failure rate that a member is measured against."""

    def __init__(
        self, subset: Subset, mean_rtt: list[float], actions: Actions, fleet: Fleet, rng: Random
    ) -> None:
        self.subset = subset
        self.mean_rtt = mean_rtt  # by class; kept up to date by the balancer
        self.actions = actions
        self.fleet = fleet
        self.rng = rng
        self.ejected: list[Server] = []
        self.next_probe_at = 0
        self.failure_rate = 0.0  # of the entire subset, smoothed

    def record(self, now: int, server: Server, outcome: Outcome) -> None:
        """Records an attempt's outcome, which may eject its server or end its ejection."""
        ok = outcome == Outcome.OK
        server.calls += 1
        failed = 0.0 if ok or outcome in (Outcome.TIMEOUT, Outcome.REJECTED) else 1.0
        server.failure_rate += SMOOTH * (failed - server.failure_rate)
        self.failure_rate += SMOOTH_ALL * (failed - self.failure_rate)
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
                server.calls >= MIN_FAILURES
                and server.failure_rate > MIN_EXCESS_FAILURE_RATE + self.failure_rate
            ):
                # Failure prevented: a member that fails quickly has little in flight and is picked often.
                self.eject(now, server, silent=False)
        elif server.probe_in_flight:
            self.eject(now, server, silent=server.silent)
        server.probe_in_flight = False

    def eject(self, now: int, server: Server, silent: bool) -> None:
        """Ejects a member, or extends its ejection, unless too many members are ejected already."""
        # Failure prevented: a drained server's last requests fail, it is ejected and later gets a probe.
        if not server.member:
            return
        if not server.ejected:
            if len(self.ejected) + 1 > MAX_EJECTED_SHARE * len(self.subset.members):
                return
            server.ejected = True
            self.ejected.append(server)
            self.actions.log(
                f"eject server={server.id} silent={int(silent)} fail_rate={server.failure_rate:.2f}"
            )
        server.silent = silent
        server.probe_at = now + int(
            (BASE_EJECTION_TIME << min(server.ejections, 4)) * (1 + EJECTION_JITTER * self.rng.random())
        )
        server.ejections += 1
        self.next_probe_at = min(e.probe_at for e in self.ejected)
        self.fleet.server_ejected(server.id, server.probe_at - now)
        self.subset.update_available()

    def readmit(self, server: Server, healthy: bool = False) -> None:
        """Ends an ejection. `healthy`: because a probe of this instance has shown the server healthy."""
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

    def is_silent(self, now: int, server: Server) -> bool:
        """Ejects a member that has attempts in flight and ended none for several mean round-trips.

        One request alone may be a long one: it counts only after twice that time.
        """
        patience = SILENT_FACTOR * max(self.mean_rtt) * (2 if server.in_flight == 1 else 1)
        if server.in_flight and now - server.last_outcome_at > patience:
            self.eject(now, server, silent=True)
        return server.ejected

    def take_probe_target(self, now: int, slow_start: SlowStart) -> Server | None:
        """Returns an ejected server whose probe is due, for one request. Some are ejected."""
        if now < self.next_probe_at:
            return None
        for server in self.ejected:
            if server.probe_at > now or server.probe_in_flight or not self.fleet.may_probe(server.id):
                continue
            if slow_start.may_send(now, server):
                server.probe_in_flight = True
                server.probe_at = now + BASE_EJECTION_TIME
                return server
        return None
