"""Lease clients and their voters with no network between them, for tests of what acquires leases."""

from collections.abc import Iterable
from random import Random
from typing import Generic, Protocol, TypeVar

from balancer.fleet.component import Outgoing, addressed
from balancer.fleet.leases.asker import Asker
from balancer.fleet.leases.messages import DutyMessage
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
LIST = Electorate(("v0", "v1", "v2"))
DUTY = DutySettings(lease=3 * SEC, longest=10 * SEC)
MAX_STEPS = 100_000


class LeaseUser(Protocol):
    """What is tested: one process's part, which acquires leases."""

    def deadline(self, now: int) -> int | None: ...
    def tick(self, now: int) -> list[Outgoing]: ...


UserT = TypeVar("UserT", bound=LeaseUser)


class Table(Generic[UserT]):
    """Lease clients and their voters: what is sent arrives at once, unless the voters are `unreachable`."""

    def __init__(self, *names: str) -> None:
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [LIST], DUTY, 0) for v in LIST.voters}
        self.askers = {n: Asker(n, i, [LIST], DUTY, Random(i), lambda: 1000) for i, n in enumerate(names)}
        self.parts: dict[str, UserT] = {}
        self.unreachable: set[str] = set()

    def deliver(self, outgoing: Iterable[Outgoing], sender: str) -> None:
        """Delivers messages to voters, and their answers to the lease clients."""
        for sent in outgoing:
            if not isinstance(sent.message, DutyMessage):
                self.deliver_to_part(sent, sender)
            elif sent.to in self.voters and "voters" not in self.unreachable:
                for name, answer in self.voters[str(sent.to)].received(self.now, sent.message):
                    self.deliver(addressed(self.askers[name].received(self.now, answer)), name)

    def deliver_to_part(self, sent: Outgoing, sender: str) -> None:
        """Delivers a message from one part to another, where the parts have messages of their own."""
        raise NotImplementedError

    def run(self, seconds: float) -> None:
        """Ticks whatever is due, for so long."""
        end = self.now + int(seconds * SEC)
        for _ in range(MAX_STEPS):
            due = min(self.deadlines(), default=end + 1)
            if due > end:
                break
            self.now = max(self.now + 1, due)
            for name in self.askers:
                self.deliver(addressed(self.askers[name].tick(self.now)), name)
                self.deliver(self.parts[name].tick(self.now), name)
        else:
            raise AssertionError("something is due without end")
        self.now = max(end, self.now)

    def deadlines(self) -> list[int]:
        """When something is due at a lease client or a part."""
        deadlines = [asker.deadline() for asker in self.askers.values()]
        deadlines += [part.deadline(self.now) for part in self.parts.values()]
        return [at for at in deadlines if at is not None]
