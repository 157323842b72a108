"""Directives on zones: they reach all members, and override the evidence of a router."""

from random import Random
from typing import cast

from support import SEC
from zone_routing_support import router_of, run_calls

from balancer.fleet.membership.codec import Codec
from balancer.fleet.zone_routing.directives import ZoneDirectives
from balancer.fleet.zone_routing.messages import (
    MAX_DIRECTIVES,
    ZoneDirective,
    ZoneKind,
    ZoneMessage,
    ZoneWire,
)
from balancer.fleet.zone_routing.zone_states import ZoneStatus


class DirectivesFleet:
    """Members that receive one another's directives, except for those partitioned."""

    def __init__(self, count: int) -> None:
        self.now, self.wall = 0, 10**15
        self.partitioned: set[str] = set()
        names = [f"n{i}" for i in range(count)]
        self.members = {name: self.member(i, name, names) for i, name in enumerate(names)}

    def member(self, seed: int, name: str, names: list[str]) -> ZoneDirectives:
        others = [other for other in names if other != name]
        return ZoneDirectives(name, lambda: others, lambda: self.wall, Random(seed), lambda: self.now)

    def run(self, seconds: int) -> list[list[str]]:
        """The zones evacuated by directive at each member after so many seconds."""
        for _ in range(seconds):
            self.now, self.wall = self.now + SEC, self.wall + SEC
            for name, member in self.members.items():
                for outgoing in member.tick(self.now):
                    if not {name, outgoing.to} & self.partitioned:
                        receiver = self.members[cast(str, outgoing.to)]
                        receiver.received(cast(ZoneMessage, outgoing.message))
        return [sorted(member.remaining()) for member in self.members.values()]


def test_a_directive_reaches_all_members_lasts_its_duration_and_the_newest_wins() -> None:
    fleet = DirectivesFleet(5)
    fleet.partitioned = {"n4"}
    assert fleet.members["n0"].issue("a", 60 * SEC)
    assert fleet.run(4) == [["a"]] * 4 + [[]]
    fleet.partitioned = set()
    assert fleet.run(20) == [["a"]] * 5  # a member that missed it learns of it all the same
    fleet.members["n3"].issue("a", 0)
    assert fleet.run(6) == [[]] * 5
    fleet.members["n1"].issue("a", 5 * SEC)
    assert fleet.run(3) == [["a"]] * 5 and fleet.run(8) == [[]] * 5
    old = ZoneMessage(ZoneKind.DIRECTIVES, "n9", (ZoneDirective("a", 5, 10**17),))
    fleet.members["n2"].received(old)
    assert fleet.members["n2"].remaining() == {}
    for i in range(2 * MAX_DIRECTIVES):
        fleet.members["n0"].issue(f"z{i}", SEC)
    assert len(fleet.members["n0"].by_zone) == MAX_DIRECTIVES


def test_a_directive_overrides_the_evidence() -> None:
    router = router_of(a=10, b=10)
    run_calls(router, 10)
    router.apply_directives({"a": 60 * SEC})
    assert set(router.shares(router.next_evaluation_at)) == {"b"} and not router.allows(100)
    assert run_calls(router, 5) == {"b"}
    router.apply_directives({})
    assert router.states.of("a").status == ZoneStatus.RECOVERING
    assert 0 < router.shares(router.next_evaluation_at)["a"] < 0.1
    run_calls(router, 40)
    run_calls(router, 6, "a")  # evacuated by evidence: a directive's end does not undo that, a return does
    router.apply_directives({"a": SEC})
    router.apply_directives({})
    assert router.states.of("a").status == ZoneStatus.EVACUATED
    router.apply_directives({}, {"a"})
    assert router.states.of("a").status == ZoneStatus.RECOVERING
    router.apply_directives({"a": SEC, "b": SEC})
    assert set(router.shares(router.next_evaluation_at)) == {"a", "b"}  # all evacuated: as if none were


def test_directives_are_encoded_and_checked() -> None:
    codec = Codec([b"k" * 20], [ZoneWire()])
    message = ZoneMessage(ZoneKind.DIRECTIVES, "a", (ZoneDirective("x" * 64, 1, 2),) * MAX_DIRECTIVES)
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for invalid in (ZoneDirective("", 1, 2), ZoneDirective("x", -1, 2), ZoneDirective("x", 1, 1 << 62)):
        invalid_message = ZoneMessage(ZoneKind.DIRECTIVES, "a", (invalid,))
        assert codec.decode(codec.encode(invalid_message, SEC), SEC) is None
