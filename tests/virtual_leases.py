"""Lease clients and their voters with no network between them, for tests of what acquires leases."""

from random import Random

from balancer.fleet.health_checks.messages import ProbeMessage
from balancer.fleet.leases.asker import Asker
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
LIST = Electorate(("v0", "v1", "v2"))
DUTY = DutySettings(lease=3 * SEC, longest=10 * SEC)


class Table:
    """Askers and their voters at one table: what is said is heard at once, by those not `deaf`."""

    def __init__(self, *names):
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [LIST], DUTY, 0) for v in LIST.voters}
        self.askers = {n: Asker(n, i, [LIST], DUTY, Random(i), lambda: 1000) for i, n in enumerate(names)}
        self.parts = {}
        self.verdicts = []
        self.said = []
        self.deaf = set()

    def carry(self, out, sender):
        for to, m in out:
            if isinstance(m, ProbeMessage):
                self.said.append((sender, to, m))
                if to not in self.deaf:
                    self.carry(self.parts[to].received(self.now, m), to)
            elif to in self.voters and "voters" not in self.deaf:
                for name, answer in self.voters[to].received(self.now, m):
                    self.carry(self.askers[name].received(self.now, answer), name)

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
                self.carry(self.askers[name].tick(self.now), name)
                self.carry(self.parts[name].tick(self.now), name)
        else:
            raise AssertionError("something is due without end")
        self.now = max(end, self.now)
        return self
