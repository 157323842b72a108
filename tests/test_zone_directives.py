"""Directives on zones where wall clocks differ or step, and beside processes of earlier versions."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from random import Random
from typing import cast

import pytest

from balancer.fleet.component import Outgoing
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.messages import MAX_DATAGRAM_BYTES
from balancer.fleet.zone_routing.directives import ZoneDirectives
from balancer.fleet.zone_routing.known_directive import MAX_DURATION_US
from balancer.fleet.zone_routing.messages import (
    MAX_DIRECTIVES,
    ZoneDirective,
    ZoneKind,
    ZoneMessage,
    ZoneWire,
)

SEC = 1_000_000
HOUR = 3600 * SEC
UNIX = 1_700_000_000 * SEC
TRANSIT = 5_000  # microseconds
MONOTONIC_OFFSET = 1000 * SEC  # between the monotonic clocks of two members
STEPS = [-3600, -5, 5, 3600]
END_TOLERANCE = 2 * SEC  # from a directive's end until it is over at each member


class EarlierZoneDirectives:
    """The implementation of the version before: ends and versions by wall clocks that agree."""

    def __init__(
        self,
        name: str,
        alive: Callable[[], Sequence[str]],
        wall: Callable[[], int],
        rng: Random,
        now: Callable[[], int],
    ) -> None:
        self.name, self.alive, self.wall, self.rng = name, alive, wall, rng
        self.by_zone: dict[str, ZoneDirective] = {}
        self.broadcasts_remaining, self.next_tick_at = 0, now()

    def issue(self, zone: str, duration: int) -> bool:
        wall, known = self.wall(), self.by_zone.get(zone)
        version = max(wall, known.version + 1 if known is not None else 0)
        self.by_zone[zone] = ZoneDirective(
            zone, version, wall + min(duration, MAX_DURATION_US) if duration else 0
        )
        self.broadcasts_remaining = 3
        return True

    def remaining(self) -> dict[str, int]:
        wall = self.wall()
        return {
            zone: min(directive.until - wall, MAX_DURATION_US)
            for zone, directive in self.by_zone.items()
            if directive.until > wall
        }

    def returned(self) -> set[str]:
        return {zone for zone, directive in self.by_zone.items() if not directive.until}

    def deadline(self) -> int | None:
        return self.next_tick_at if self.by_zone else None

    def tick(self, now: int) -> list[Outgoing]:
        if not self.by_zone or now < self.next_tick_at:
            return []
        self.next_tick_at = now + SEC
        wall = self.wall()
        self.by_zone = {
            zone: directive
            for zone, directive in self.by_zone.items()
            if max(directive.until, directive.version) + HOUR > wall
        }
        directives = tuple(directive for _, directive in sorted(self.by_zone.items()))
        message = ZoneMessage(ZoneKind.DIRECTIVES, self.name, directives)
        if self.broadcasts_remaining:
            self.broadcasts_remaining -= 1
            return [Outgoing(name, message) for name in self.alive()]
        return [Outgoing(self.rng.choice(list(self.alive())), message)]

    def received(self, message: ZoneMessage) -> None:
        for directive in message.directives:
            known = self.by_zone.get(directive.zone)
            order = (directive.version, directive.until)
            if known is None or order > (known.version, known.until):
                self.by_zone[directive.zone] = directive


Member = ZoneDirectives | EarlierZoneDirectives


class Fleet:
    """Members that share one true time.

    Each has a wall clock that is off by `steps` and a monotonic clock of its own. Messages go through
    the codec and take `TRANSIT`.
    """

    def __init__(self, count: int, earlier: Collection[int] = ()):
        self.true_time = 100 * SEC
        self.steps = [0] * count
        self.partitioned: set[int] = set()
        self.implementations = [
            EarlierZoneDirectives if i in earlier else ZoneDirectives for i in range(count)
        ]
        self.codec = Codec([b"k" * 20], [ZoneWire()])
        self.members = [self.new_member(i) for i in range(count)]

    def restart(self, i: int) -> None:
        """Replace a member by one that knows nothing."""
        self.members[i] = self.new_member(i)

    def new_member(self, i: int) -> Member:
        others = [f"n{j}" for j in range(len(self.implementations)) if j != i]
        return self.implementations[i](
            f"n{i}",
            lambda: others,
            lambda: UNIX + self.true_time + self.steps[i] * SEC,
            Random(i),
            lambda: self.true_time + i * MONOTONIC_OFFSET,
        )

    def run(self, seconds: float, interval: int = SEC // 2) -> Fleet:
        for _ in range(int(seconds * SEC / interval)):
            self.true_time += interval - TRANSIT
            sent = [
                (sender, int(cast(str, outgoing.to)[1:]), cast(ZoneMessage, outgoing.message))
                for sender, member in enumerate(self.members)
                for outgoing in member.tick(self.true_time + sender * MONOTONIC_OFFSET)
            ]
            self.true_time += TRANSIT
            for sender, receiver, message in sent:
                if not {sender, receiver} & self.partitioned:
                    self.members[receiver].received(self.through_codec(message))
        return self

    def through_codec(self, message: ZoneMessage) -> ZoneMessage:
        """Encode and decode a message; the codec itself is tested for clocks that disagree elsewhere."""
        data = self.codec.encode(message, UNIX)
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = self.codec.decode(data, self.codec.last_stamp)
        assert decoded == message
        return cast(ZoneMessage, decoded)

    def run_partitioned(self, seconds: int) -> Fleet:
        """Let time pass while no message arrives."""
        self.partitioned = set(range(len(self.members)))
        self.run(seconds, interval=10 * SEC)
        self.partitioned = set()
        return self

    def zones_evacuated(self) -> list[str]:
        return ["".join(sorted(m.remaining())) for m in self.members]

    def seconds_remaining(self) -> list[int]:
        return [round(m.remaining().get("a", 0) / SEC) for m in self.members]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("stepped", [0, 1], ids=["issuer", "receiver"])
def test_a_directive_lasts_its_duration_at_each_member_whatever_the_wall_clocks(
    step: int, when: str, stepped: int
) -> None:
    fleet = Fleet(4)
    if when == "before":
        fleet.steps[stepped] = step
    fleet.members[0].issue("a", 60 * SEC)
    fleet.run(10)
    assert fleet.seconds_remaining() == [50] * 4
    fleet.steps[stepped] = step
    assert fleet.run(49).zones_evacuated() == ["a"] * 4
    assert fleet.run(1 + END_TOLERANCE / SEC).zones_evacuated() == [""] * 4


@pytest.mark.parametrize("step", STEPS)
def test_a_member_restarted_with_a_stepped_clock_learns_the_remaining_duration(step: int) -> None:
    fleet = Fleet(4)
    fleet.members[0].issue("a", 60 * SEC)
    fleet.run(10)
    fleet.steps[0] = step
    fleet.restart(0)
    assert fleet.run(20).seconds_remaining() == [30] * 4
    assert fleet.run(30 + END_TOLERANCE / SEC).zones_evacuated() == [""] * 4


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("restart", [False, True], ids=["running", "restarting"])
def test_the_later_directive_wins_wherever_the_earlier_one_was_issued(step: int, restart: bool) -> None:
    """First at the member whose clock is off, then at another, and the other way round."""
    for first, second in ((0, 1), (1, 0)):
        fleet = Fleet(4)
        fleet.steps[0] = step
        for durations in ((600 * SEC, 0), (0, 600 * SEC), (600 * SEC, 300 * SEC)):
            fleet.members[first].issue("a", durations[0])
            fleet.run(6)
            if restart:
                fleet.restart(0)
                fleet.run(20)
            fleet.members[second].issue("a", durations[1])
            fleet.run(20)
            assert fleet.seconds_remaining() == [max(0, durations[1] // SEC - 20)] * 4


@pytest.mark.parametrize("step", STEPS)
def test_a_step_of_the_wall_clock_keeps_the_order_of_a_running_member_s_directives(step: int) -> None:
    fleet = Fleet(3)
    fleet.members[0].issue("a", 600 * SEC)
    fleet.run(5)
    fleet.steps = [step] * 3
    fleet.members[0].issue("a", 0)
    assert fleet.run(5).zones_evacuated() == [""] * 3
    fleet.steps = [0] * 3
    fleet.members[1].issue("a", 600 * SEC)
    assert fleet.run(5).zones_evacuated() == ["a"] * 3


def test_two_partitioned_members_are_ordered_by_time_above_a_fast_clock() -> None:
    """After a directive an hour ahead, those of two partitioned members stay in order."""
    fleet = Fleet(3)
    fleet.steps[0] = 3600
    fleet.members[0].issue("a", 600 * SEC)
    fleet.run(5)
    fleet.partitioned = {1}
    fleet.members[1].issue("a", 900 * SEC)
    fleet.run(2)
    fleet.members[2].issue("a", 0)
    fleet.partitioned = set()
    assert fleet.run(20).zones_evacuated() == [""] * 3


def test_a_withdrawn_directive_stays_withdrawn_after_a_long_partition() -> None:
    """Failure prevented: an hour after a return all forget it, and a member spreads the directive before."""
    fleet = Fleet(4)
    fleet.members[0].issue("a", MAX_DURATION_US)
    fleet.run(5)
    fleet.partitioned = {3}
    fleet.members[1].issue("a", 0)
    fleet.run(5).run_partitioned(3 * 3600)
    assert fleet.run(60).zones_evacuated() == [""] * 4
    assert all(m.returned() == {"a"} for m in fleet.members)


def test_an_ended_directive_is_gossiped_for_an_hour_and_kept_while_there_is_room() -> None:
    fleet = Fleet(2)
    for i in range(MAX_DIRECTIVES):
        fleet.members[0].issue(f"z{i:02}", (i + 10) * SEC)
    fleet.run(5)
    assert not fleet.members[0].issue("b", SEC)
    fleet.run(30).run_partitioned(3600 + 30)
    fleet.run(1)
    assert all(m.deadline() is None for m in fleet.members)
    assert fleet.members[0].issue("b", SEC) and "z00" not in fleet.members[0].by_zone
    assert len(fleet.members[0].by_zone) == MAX_DIRECTIVES


def test_gossip_of_a_return_ends_although_members_join() -> None:
    """A member that joins takes over the directive's age and does not begin its hour anew."""
    fleet = Fleet(3)
    fleet.members[0].issue("a", 0)
    fleet.run(5)
    for i in range(6):
        fleet.run(1200, interval=10 * SEC)
        fleet.restart(i % 3)
    fleet.run(60)
    assert all(m.deadline() is None for m in fleet.members)


def test_a_clock_before_1970_gives_ends_that_can_be_encoded() -> None:
    fleet = Fleet(3)
    fleet.steps[0] = -2 * UNIX // SEC
    fleet.members[0].issue("a", 60 * SEC)
    assert fleet.run(5).seconds_remaining() == [55] * 3
    fleet.run(100)
    assert fleet.zones_evacuated() == [""] * 3


# ---- beside processes of an earlier version ---------------------------------------------------------------


@pytest.mark.parametrize("earlier", [(0,), (1,), (0, 1), (0, 2, 3)])
def test_both_versions_agree_in_one_fleet(earlier: tuple[int, ...]) -> None:
    """With wall clocks that agree, as the version before needs them."""
    fleet = Fleet(4, earlier)
    for issuer in range(4):
        fleet.members[issuer].issue("a", 60 * SEC)
        assert fleet.run(10).seconds_remaining() == [50] * 4
        fleet.members[3 - issuer].issue("a", 0)
        assert fleet.run(10).zones_evacuated() == [""] * 4
    fleet.members[0].issue("a", 60 * SEC)
    fleet.run(59)
    assert fleet.zones_evacuated() == ["a"] * 4
    assert fleet.run(1 + END_TOLERANCE / SEC).zones_evacuated() == [""] * 4


@pytest.mark.parametrize("step", STEPS)
def test_an_end_passed_on_by_an_earlier_version_is_replaced_by_a_measured_one(step: int) -> None:
    """Member 3's clock is off. It gets the end from an earlier version, then a measured one."""
    fleet = Fleet(4, earlier=(1,))
    fleet.steps[3] = step
    fleet.members[0].issue("a", 600 * SEC)
    directive = ZoneDirective("a", fleet.members[0].by_zone["a"].version, UNIX + fleet.true_time + 600 * SEC)
    fleet.members[3].received(ZoneMessage(ZoneKind.DIRECTIVES, "n1", (directive,)))
    assert fleet.seconds_remaining()[3] == 600 - step if step < 600 else fleet.seconds_remaining()[3] == 0
    fleet.run(10)
    assert fleet.seconds_remaining()[3] == 590
