"""Lease clients and their voters with no network between them, for tests of what acquires leases."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Generic, Protocol, TypeVar

from balancer.fleet.component import Outgoing
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import LeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
LIST = Electorate(("v0", "v1", "v2"))
LEASE = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
MAX_STEPS = 100_000


class LeaseUser(Protocol):
    """What is tested: one process's part, which acquires leases."""

    def deadline(self, now: int) -> int | None: ...
    def tick(self, now: int) -> Sequence[Outgoing]: ...


UserT = TypeVar("UserT", bound=LeaseUser)


class Table(Generic[UserT]):
    """Lease clients and their voters: what is sent arrives at once, unless the voters are `unreachable`."""

    def __init__(self, *names: str) -> None:
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [LIST], LEASE, 0) for v in LIST.voters}
        self.lease_clients = {
            n: LeaseClient(n, i, [LIST], LEASE, Random(i), lambda: 1000) for i, n in enumerate(names)
        }
        self.parts: dict[str, UserT] = {}
        self.unreachable: set[str] = set()

    def deliver(self, outgoing: Iterable[Outgoing], sender: str) -> None:
        """Delivers messages to voters, and their answers to the lease clients."""
        for sent in outgoing:
            if not isinstance(sent.message, LeaseMessage):
                self.deliver_to_part(sent, sender)
            elif sent.to in self.voters and "voters" not in self.unreachable:
                for name, answer in self.voters[str(sent.to)].received(self.now, sent.message):
                    self.deliver(self.lease_clients[name].received(self.now, answer), name)

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
            for name in self.lease_clients:
                self.deliver(self.lease_clients[name].tick(self.now), name)
                self.deliver(self.parts[name].tick(self.now), name)
        else:
            raise AssertionError("something is due without end")
        self.now = max(end, self.now)

    def deadlines(self) -> list[int]:
        """When something is due at a lease client or a part."""
        deadlines = [client.deadline() for client in self.lease_clients.values()]
        deadlines += [part.deadline(self.now) for part in self.parts.values()]
        return [at for at in deadlines if at is not None]
