"""Lease clients and their voters with no network between them, for tests of what acquires leases."""

from random import Random

from balancer.fleet.component import addressed
from balancer.fleet.health_checks.messages import HealthCheckMessage
from balancer.fleet.leases.asker import Asker
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
LIST = Electorate(("v0", "v1", "v2"))
DUTY = DutySettings(lease=3 * SEC, longest=10 * SEC)


class Table:
    """Lease clients and their voters: what is sent arrives at once, but not at those `unreachable`."""

    def __init__(self, *names):
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [LIST], DUTY, 0) for v in LIST.voters}
        self.askers = {n: Asker(n, i, [LIST], DUTY, Random(i), lambda: 1000) for i, n in enumerate(names)}
        self.parts = {}
        self.probe_results = []
        self.announced = []
        self.unreachable = set()

    def deliver(self, outgoing, sender):
        for sent in outgoing:
            if isinstance(sent.message, HealthCheckMessage):
                self.announced.append((sender, sent.to, sent.message))
                if sent.to not in self.unreachable:
                    self.deliver(self.parts[sent.to].received(self.now, sent.message), sent.to)
            elif sent.to in self.voters and "voters" not in self.unreachable:
                for name, answer in self.voters[sent.to].received(self.now, sent.message):
                    self.deliver(addressed(self.askers[name].received(self.now, answer)), name)

    def run(self, seconds):
        """Ticks whatever is due, for so long."""
        end = self.now + int(seconds * SEC)
        for _ in range(100_000):
            dues = [(d, n) for n, a in self.askers.items() if (d := a.deadline()) is not None]
            dues += [(d, n) for n, p in self.parts.items() if (d := p.deadline(self.now)) is not None]
            if not dues or min(dues)[0] > end:
                break
            self.now = max(self.now + 1, min(dues)[0])
            for name in self.askers:
                self.deliver(addressed(self.askers[name].tick(self.now)), name)
                self.deliver(self.parts[name].tick(self.now), name)
        else:
            raise AssertionError("something is due without end")
        self.now = max(end, self.now)
        return self
