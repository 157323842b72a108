"""Outlier ejection: members that fail or fall silent get no requests but single trials."""

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
        self.next_trial = 0
        self.failure_rate = 0.0  # of the entire subset, smoothed

    def record(self, now: int, srv: Server, outcome: Outcome) -> None:
        """Records an attempt's outcome, which may eject its server or end its ejection."""
        ok = outcome == Outcome.OK
        srv.calls += 1
        failed = 0.0 if ok or outcome in (Outcome.TIMEOUT, Outcome.REJECTED) else 1.0
        srv.failure_rate += SMOOTH * (failed - srv.failure_rate)
        self.failure_rate += SMOOTH_ALL * (failed - self.failure_rate)
        if ok:
            srv.consecutive_failures = 0
            if srv.ejected and (srv.trial_in_flight or srv.silent):
                self.readmit(srv, healthy=True)
        elif failed:
            srv.consecutive_failures += 1
            if srv.ejected:
                if srv.trial_in_flight:
                    self.eject(now, srv, silent=False)
            elif (srv.consecutive_failures >= MIN_FAILURES and srv.failure_rate > self.failure_rate * 2) or (
                srv.calls >= MIN_FAILURES and srv.failure_rate > MIN_EXCESS_FAILURE_RATE + self.failure_rate
            ):
                # Failure prevented: a member that fails quickly has little in flight and is picked often.
                self.eject(now, srv, silent=False)
        elif srv.trial_in_flight:
            self.eject(now, srv, silent=srv.silent)
        srv.trial_in_flight = False

    def eject(self, now: int, srv: Server, silent: bool) -> None:
        """Ejects a member, or extends its ejection, unless too many members are ejected already."""
        # Failure prevented: a drained server's last requests fail, it is ejected and later gets a trial.
        if not srv.member:
            return
        if not srv.ejected:
            if len(self.ejected) + 1 > MAX_EJECTED_SHARE * len(self.subset.members):
                return
            srv.ejected = True
            self.ejected.append(srv)
            self.actions.log(f"eject server={srv.id} silent={int(silent)} fail_rate={srv.failure_rate:.2f}")
        srv.silent = silent
        srv.trial_at = now + int(
            (BASE_EJECTION_TIME << min(srv.ejections, 4)) * (1 + EJECTION_JITTER * self.rng.random())
        )
        srv.ejections += 1
        self.next_trial = min(e.trial_at for e in self.ejected)
        self.fleet.server_ejected(srv.id, srv.trial_at - now)
        self.subset.update_available()

    def readmit(self, srv: Server, healthy: bool = False) -> None:
        """Ends an ejection. `healthy`: because a trial of this instance has shown the server healthy."""
        srv.ejected = False
        srv.silent = False
        srv.failure_rate = self.failure_rate
        srv.consecutive_failures = 0
        srv.ejections = max(0, srv.ejections - 1)
        self.ejected.remove(srv)
        if self.ejected:
            self.next_trial = min(e.trial_at for e in self.ejected)
        self.actions.log(f"readmit server={srv.id}")
        self.fleet.server_readmitted(srv.id, healthy)
        self.subset.update_available()

    def is_silent(self, now: int, srv: Server) -> bool:
        """Ejects a member that has attempts in flight and ended none for several mean round-trips.

        One request alone may be a long one: it counts only after twice that time.
        """
        patience = SILENT_FACTOR * max(self.mean_rtt) * (2 if srv.in_flight == 1 else 1)
        if srv.in_flight and now - srv.last_outcome_at > patience:
            self.eject(now, srv, silent=True)
        return srv.ejected

    def take_trial(self, now: int, slow_start: SlowStart) -> Server | None:
        """Returns an ejected server whose trial is due, for one request. Some are ejected."""
        if now < self.next_trial:
            return None
        for trial in self.ejected:
            if trial.trial_at > now or trial.trial_in_flight or not self.fleet.may_run_trial(trial.id):
                continue
            if slow_start.may_send(now, trial):
                trial.trial_in_flight = True
                trial.trial_at = now + BASE_EJECTION_TIME
                return trial
        return None
