"""Groups that contain members of an earlier version of the membership protocol."""

from random import Random
from typing import cast

from balancer.fleet.membership.claims import Address, Claim, Status
from balancer.fleet.membership.messages import AnyMessage, Kind, Message, OutgoingMessage
from balancer.fleet.membership.swim import Swim
from workbench.explore.members import MemberNetwork

ALIVE = Status.ALIVE
EARLIER_VERSION_KINDS = (Kind.PING, Kind.ACK, Kind.PING_REQ, Kind.SYNC, Kind.SYNC_ACK)


class EarlierVersionMember:
    """A member that sends and receives only the message kinds of the earlier version.

    Attributes:
        unsupported_count: Number of received messages of kinds that the earlier version doesn't know.
    """

    def __init__(self, address: Address, seeds: list[Address]) -> None:
        self.local_claim = Claim(f"n{address[1]}", address, ALIVE, 1)
        self.seeds = seeds
        self.claims_by_name: dict[str, Claim] = {}
        self.unsupported_count = 0
        self.rng = Random(address[1])

    def join(self) -> list[OutgoingMessage]:
        return [OutgoingMessage(seed, self.message_with_claims(Kind.SYNC)) for seed in self.seeds]

    def message_with_claims(self, kind: Kind) -> Message:
        claims = list(self.claims_by_name.values())
        return Message(
            kind,
            self.local_claim.name,
            0,
            "",
            (self.local_claim, *self.rng.sample(claims, min(23, len(claims)))),
        )

    def receive(self, now: int, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        if message.kind not in EARLIER_VERSION_KINDS:
            self.unsupported_count += 1
            return []
        for claim in message.claims:
            if claim.name != self.local_claim.name:
                self.claims_by_name[claim.name] = claim
        if message.kind == Kind.PING:
            return [
                OutgoingMessage(
                    source, Message(Kind.ACK, self.local_claim.name, message.seq, "", (self.local_claim,))
                )
            ]
        return (
            [OutgoingMessage(source, self.message_with_claims(Kind.SYNC_ACK))]
            if message.kind == Kind.SYNC
            else []
        )


def test_earlier_version_joins_through_current_version() -> None:
    net = MemberNetwork(60, 0.0, seed=6)
    net.run_until(net.is_complete, 30)
    earlier = EarlierVersionMember(("10.0.0.1", 61), [("10.0.0.1", 1)])
    net.attach(cast(Swim, earlier))
    net.transmit(earlier.local_claim.address, earlier.join())
    net.run(1)
    # The pages that answer a single SYNC contain the whole group.
    assert len(earlier.claims_by_name) == 60
    net.run(59)
    assert earlier.unsupported_count > 0 and all(
        claim.status == ALIVE for claim in earlier.claims_by_name.values()
    )
    current = [m for m in net.members.values() if m.local_claim.name != earlier.local_claim.name]
    assert all(m.status("n61") == ALIVE for m in current)


def test_current_version_joins_through_earlier_version() -> None:
    net = MemberNetwork(0, 0.0, seed=6)
    earlier = EarlierVersionMember(("10.0.0.1", 61), [])
    earlier.claims_by_name = {f"x{i}": Claim(f"x{i}", ("10.0.0.9", i + 1), ALIVE, 1) for i in range(20)}
    net.attach(cast(Swim, earlier))
    one = net.add(("10.0.0.1", 1), [earlier.local_claim.address])
    net.run(0.5)
    assert len(one.alive()) == 21 and "n1" in earlier.claims_by_name
    two = net.add(("10.0.0.1", 2), [earlier.local_claim.address])
    net.run(2)
    assert two.status("n1") == one.status("n2") == ALIVE
    earlier.claims_by_name["late"] = Claim("late", ("10.0.0.9", 99), ALIVE, 1)
    del one.anti_entropy.seeds[:], two.anti_entropy.seeds[:]
    for swim in (one, two):
        # The members that don't exist leave, so that views are compared only with the earlier version.
        for i in range(20):
            swim.accept(net.clock.now, Claim(f"x{i}", ("10.0.0.9", i + 1), Status.LEFT, 1))
    elapsed = net.run_until(lambda: "late" in one.members and "late" in two.members, 60)
    # The unanswered digest is followed by a SYNC, which the earlier version answers.
    assert elapsed < 60
