"""Lease clients and their voters without a network, for tests of components that acquire leases."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Generic, Protocol, TypeVar

from balancer.fleet.component import Outgoing
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import LeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
ELECTORATE = Electorate(("v0", "v1", "v2"))
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
MAX_STEPS = 100_000


class LeaseUser(Protocol):
    """The component under test in one process, which acquires leases."""

    def deadline(self, now: int) -> int | None: ...
    def tick(self, now: int) -> Sequence[Outgoing]: ...


UserT = TypeVar("UserT", bound=LeaseUser)


class LeaseTestbed(Generic[UserT]):
    """Lease clients, their users and the voters.

    Messages are delivered immediately. Those to voters are lost while `unreachable` contains "voters".
    """

    def __init__(self, *names: str) -> None:
        self.now = 100 * SEC
        self.voters = {v: Voter(v, 1, [ELECTORATE], SETTINGS, 0) for v in ELECTORATE.voters}
        self.lease_clients = {
            n: LeaseClient(n, i, [ELECTORATE], SETTINGS, Random(i), lambda: 1000) for i, n in enumerate(names)
        }
        self.lease_users: dict[str, UserT] = {}
        self.unreachable: set[str] = set()

    def deliver(self, outgoing: Iterable[Outgoing], sender: str) -> None:
        """Deliver messages to the voters, and their responses to the lease clients."""
        for sent in outgoing:
            if not isinstance(sent.message, LeaseMessage):
                self.deliver_to_user(sent, sender)
            elif sent.to in self.voters and "voters" not in self.unreachable:
                for name, answer in self.voters[str(sent.to)].received(self.now, sent.message):
                    self.deliver(self.lease_clients[name].received(self.now, answer), name)

    def deliver_to_user(self, sent: Outgoing, sender: str) -> None:
        """Deliver a message from one lease user to another, if lease users have messages of their own."""
        raise NotImplementedError

    def run(self, seconds: float) -> None:
        """Run the ticks that become due within this time."""
        end = self.now + int(seconds * SEC)
        for _ in range(MAX_STEPS):
            due = min(self.deadlines(), default=end + 1)
            if due > end:
                break
            self.now = max(self.now + 1, due)
            for name in self.lease_clients:
                self.deliver(self.lease_clients[name].tick(self.now), name)
                self.deliver(self.lease_users[name].tick(self.now), name)
        else:
            raise AssertionError("too many steps: a tick does not clear its own deadline")
        self.now = max(end, self.now)

    def deadlines(self) -> list[int]:
        """Return the deadlines of all lease clients and lease users."""
        deadlines = [client.deadline() for client in self.lease_clients.values()]
        deadlines += [user.deadline(self.now) for user in self.lease_users.values()]
        return [at for at in deadlines if at is not None]
