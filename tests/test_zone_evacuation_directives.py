"""Distribution of directives on zones to all members, and their precedence over failure evidence."""

from random import Random
from typing import cast

from support import SEC
from zone_routing_support import make_router, run_calls

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
    """Members that receive each other's directives unless they are partitioned."""

    def __init__(self, count: int) -> None:
        self.now, self.wall_clock = 0, 10**15
        self.partitioned: set[str] = set()
        names = [f"n{i}" for i in range(count)]
        self.members = {name: self.member(i, name, names) for i, name in enumerate(names)}

    def member(self, seed: int, name: str, names: list[str]) -> ZoneDirectives:
        others = [other for other in names if other != name]
        return ZoneDirectives(name, lambda: others, lambda: self.wall_clock, Random(seed), lambda: self.now)

    def run(self, seconds: int) -> list[list[str]]:
        """Run for some seconds and return the zones evacuated by directive at each member."""
        for _ in range(seconds):
            self.now, self.wall_clock = self.now + SEC, self.wall_clock + SEC
            for name, member in self.members.items():
                for outgoing in member.tick(self.now):
                    if not {name, outgoing.to} & self.partitioned:
                        receiver = self.members[cast(str, outgoing.to)]
                        receiver.received(cast(ZoneMessage, outgoing.message))
        return [sorted(member.remaining_durations()) for member in self.members.values()]


def test_newest_directive_reaches_all_members_and_expires() -> None:
    fleet = DirectivesFleet(5)
    fleet.partitioned = {"n4"}
    assert fleet.members["n0"].issue("a", 60 * SEC)
    assert fleet.run(4) == [["a"]] * 4 + [[]]
    fleet.partitioned = set()
    # Gossip reaches the member that missed the broadcast.
    assert fleet.run(20) == [["a"]] * 5
    fleet.members["n3"].issue("a", 0)
    assert fleet.run(6) == [[]] * 5
    fleet.members["n1"].issue("a", 5 * SEC)
    assert fleet.run(3) == [["a"]] * 5 and fleet.run(8) == [[]] * 5
    old = ZoneMessage(ZoneKind.DIRECTIVES, "n9", (ZoneDirective("a", 5, 10**17),))
    fleet.members["n2"].received(old)
    assert fleet.members["n2"].remaining_durations() == {}
    for i in range(2 * MAX_DIRECTIVES):
        fleet.members["n0"].issue(f"z{i}", SEC)
    assert len(fleet.members["n0"].by_zone) == MAX_DIRECTIVES


def test_directive_overrides_failure_evidence() -> None:
    router = make_router(a=10, b=10)
    run_calls(router, 10)
    router.apply_directives({"a": 60 * SEC})
    assert set(router.shares(router.next_evaluation_at)) == {"b"} and not router.allows(100)
    assert run_calls(router, 5) == {"b"}
    router.apply_directives({})
    assert router.states.get_or_create("a").status == ZoneStatus.RECOVERING
    assert 0 < router.shares(router.next_evaluation_at)["a"] < 0.1
    run_calls(router, 40)
    # The end of a directive does not undo an evacuation by evidence, but an operator's return does.
    run_calls(router, 6, "a")
    router.apply_directives({"a": SEC})
    router.apply_directives({})
    assert router.states.get_or_create("a").status == ZoneStatus.EVACUATED
    router.apply_directives({}, {"a"})
    assert router.states.get_or_create("a").status == ZoneStatus.RECOVERING
    router.apply_directives({"a": SEC, "b": SEC})
    # If all zones are evacuated, the evacuations are ignored.
    assert set(router.shares(router.next_evaluation_at)) == {"a", "b"}


def test_directives_round_trip_and_invalid_ones_are_rejected() -> None:
    codec = Codec([b"k" * 20], [ZoneWire()])
    message = ZoneMessage(ZoneKind.DIRECTIVES, "a", (ZoneDirective("x" * 64, 1, 2),) * MAX_DIRECTIVES)
    assert codec.decode(codec.encode(message, SEC), SEC) == message
    for invalid in (ZoneDirective("", 1, 2), ZoneDirective("x", -1, 2), ZoneDirective("x", 1, 1 << 62)):
        invalid_message = ZoneMessage(ZoneKind.DIRECTIVES, "a", (invalid,))
        assert codec.decode(codec.encode(invalid_message, SEC), SEC) is None
