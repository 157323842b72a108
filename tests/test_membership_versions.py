"""Membership with members of an earlier version in the group."""

from random import Random
from typing import cast

from balancer.fleet.membership.claims import Address, Claim, Status
from balancer.fleet.membership.messages import AnyMessage, Kind, Message, OutgoingMessage
from balancer.fleet.membership.swim import Swim
from workbench.explore.members import Net

A = Status.ALIVE
OLD_KINDS = (Kind.PING, Kind.ACK, Kind.PING_REQ, Kind.SYNC, Kind.SYNC_ACK)


class OldMember:
    """A member that only sends and receives the kinds of the earlier version, for joins and probes."""

    def __init__(self, address: Address, seeds: list[Address]) -> None:
        self.me = Claim(f"n{address[1]}", address, A, 1)
        self.seeds = seeds
        self.known: dict[str, Claim] = {}
        self.unsupported = 0  # messages of kinds that it doesn't know
        self.rng = Random(address[1])

    def join(self) -> list[OutgoingMessage]:
        return [OutgoingMessage(seed, self.view_message(Kind.SYNC)) for seed in self.seeds]

    def view_message(self, kind: Kind) -> Message:
        claims = list(self.known.values())
        return Message(kind, self.me.name, 0, "", (self.me, *self.rng.sample(claims, min(23, len(claims)))))

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        if message.kind not in OLD_KINDS:
            self.unsupported += 1
            return []
        for claim in message.claims:
            if claim.name != self.me.name:
                self.known[claim.name] = claim
        if message.kind == Kind.PING:
            return [OutgoingMessage(source, Message(Kind.ACK, self.me.name, message.seq, "", (self.me,)))]
        return (
            [OutgoingMessage(source, self.view_message(Kind.SYNC_ACK))] if message.kind == Kind.SYNC else []
        )


def test_an_earlier_version_joins_through_this_one() -> None:
    net = Net(60, 0.0, seed=6)
    net.until(net.complete, 30)
    old = OldMember(("10.0.0.1", 61), [("10.0.0.1", 1)])
    net.attach(cast(Swim, old))
    net.transmit(old.me.address, old.join())
    net.run(1)
    assert len(old.known) == 60  # from the pages that answer one SYNC
    net.run(59)
    assert old.unsupported > 0 and all(claim.status == A for claim in old.known.values())
    new = [m for m in net.members.values() if m.me.name != old.me.name]
    assert all(m.status("n61") == A for m in new)


def test_this_version_joins_through_an_earlier_one() -> None:
    net = Net(0, 0.0, seed=6)
    old = OldMember(("10.0.0.1", 61), [])
    old.known = {f"x{i}": Claim(f"x{i}", ("10.0.0.9", i + 1), A, 1) for i in range(20)}
    net.attach(cast(Swim, old))
    one = net.add(("10.0.0.1", 1), [old.me.address])
    net.run(0.5)
    assert len(one.alive()) == 21 and "n1" in old.known
    two = net.add(("10.0.0.1", 2), [old.me.address])
    net.run(2)
    assert two.status("n1") == one.status("n2") == A
    old.known["late"] = Claim("late", ("10.0.0.9", 99), A, 1)
    del one.anti_entropy.seeds[:], two.anti_entropy.seeds[:]
    for swim in (one, two):
        for i in range(
            20
        ):  # those that don't exist leave, so that the old member alone remains to compare with
            swim.accept(net.clock.now, Claim(f"x{i}", ("10.0.0.9", i + 1), Status.LEFT, 1))
    elapsed = net.until(lambda: "late" in one.members and "late" in two.members, 60)
    assert elapsed < 60  # by SYNC, as the digest that goes first has no answer
