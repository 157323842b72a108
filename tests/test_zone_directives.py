"""Directives on zones with wall clocks that differ or step, and compatibility with earlier versions."""

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
TRANSIT_US = 5_000
# Difference between the monotonic clocks of two members.
MONOTONIC_OFFSET = 1000 * SEC
CLOCK_STEPS_S = [-3600, -5, 5, 3600]
# Time after a directive's end within which it has ended at each member.
END_TOLERANCE = 2 * SEC


class EarlierZoneDirectives:
    """The implementation of an earlier version, which requires that all wall clocks agree."""

    def __init__(
        self,
        name: str,
        alive: Callable[[], Sequence[str]],
        wall_clock: Callable[[], int],
        rng: Random,
        now: Callable[[], int],
    ) -> None:
        self.name, self.alive, self.wall_clock, self.rng = name, alive, wall_clock, rng
        self.by_zone: dict[str, ZoneDirective] = {}
        self.broadcasts_remaining, self.next_tick_at = 0, now()

    def issue(self, zone: str, duration: int) -> bool:
        wall_clock, current = self.wall_clock(), self.by_zone.get(zone)
        version = max(wall_clock, current.version + 1 if current is not None else 0)
        self.by_zone[zone] = ZoneDirective(
            zone, version, wall_clock + min(duration, MAX_DURATION_US) if duration else 0
        )
        self.broadcasts_remaining = 3
        return True

    def remaining_durations(self) -> dict[str, int]:
        wall_clock = self.wall_clock()
        return {
            zone: min(directive.until - wall_clock, MAX_DURATION_US)
            for zone, directive in self.by_zone.items()
            if directive.until > wall_clock
        }

    def returning_zones(self) -> set[str]:
        return {zone for zone, directive in self.by_zone.items() if not directive.until}

    def deadline(self) -> int | None:
        return self.next_tick_at if self.by_zone else None

    def tick(self, now: int) -> list[Outgoing]:
        if not self.by_zone or now < self.next_tick_at:
            return []
        self.next_tick_at = now + SEC
        wall_clock = self.wall_clock()
        self.by_zone = {
            zone: directive
            for zone, directive in self.by_zone.items()
            if max(directive.until, directive.version) + HOUR > wall_clock
        }
        directives = tuple(directive for _, directive in sorted(self.by_zone.items()))
        message = ZoneMessage(ZoneKind.DIRECTIVES, self.name, directives)
        if self.broadcasts_remaining:
            self.broadcasts_remaining -= 1
            return [Outgoing(name, message) for name in self.alive()]
        return [Outgoing(self.rng.choice(list(self.alive())), message)]

    def received(self, message: ZoneMessage) -> None:
        for directive in message.directives:
            current = self.by_zone.get(directive.zone)
            order = (directive.version, directive.until)
            if current is None or order > (current.version, current.until):
                self.by_zone[directive.zone] = directive


Member = ZoneDirectives | EarlierZoneDirectives


class Fleet:
    """Members whose clocks are derived from one true time.

    Each member's wall clock is wrong by its entry in `steps`, in seconds, and its monotonic clock has an
    offset of its own. Messages are encoded and decoded, and take `TRANSIT_US`.
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
        """Replace a member by a new one without directives."""
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
            self.true_time += interval - TRANSIT_US
            sent = [
                (sender, int(cast(str, outgoing.to)[1:]), cast(ZoneMessage, outgoing.message))
                for sender, member in enumerate(self.members)
                for outgoing in member.tick(self.true_time + sender * MONOTONIC_OFFSET)
            ]
            self.true_time += TRANSIT_US
            for sender, receiver, message in sent:
                if not {sender, receiver} & self.partitioned:
                    self.members[receiver].received(self.encode_and_decode(message))
        return self

    def encode_and_decode(self, message: ZoneMessage) -> ZoneMessage:
        """Encode and decode a message; the tests of the codec cover clocks that disagree."""
        data = self.codec.encode(message, UNIX)
        assert len(data) <= MAX_DATAGRAM_BYTES
        decoded = self.codec.decode(data, self.codec.last_stamp)
        assert decoded == message
        return cast(ZoneMessage, decoded)

    def run_partitioned(self, seconds: int) -> Fleet:
        """Run while no message is delivered."""
        self.partitioned = set(range(len(self.members)))
        self.run(seconds, interval=10 * SEC)
        self.partitioned = set()
        return self

    def zones_evacuated(self) -> list[str]:
        return ["".join(sorted(m.remaining_durations())) for m in self.members]

    def seconds_remaining(self) -> list[int]:
        return [round(m.remaining_durations().get("a", 0) / SEC) for m in self.members]


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
@pytest.mark.parametrize("when", ["before", "after"])
@pytest.mark.parametrize("stepped", [0, 1], ids=["issuer", "receiver"])
def test_directive_duration_is_independent_of_wall_clocks(step: int, when: str, stepped: int) -> None:
    fleet = Fleet(4)
    if when == "before":
        fleet.steps[stepped] = step
    fleet.members[0].issue("a", 60 * SEC)
    fleet.run(10)
    assert fleet.seconds_remaining() == [50] * 4
    fleet.steps[stepped] = step
    assert fleet.run(49).zones_evacuated() == ["a"] * 4
    assert fleet.run(1 + END_TOLERANCE / SEC).zones_evacuated() == [""] * 4


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_restarted_member_with_stepped_clock_gets_remaining_time(step: int) -> None:
    fleet = Fleet(4)
    fleet.members[0].issue("a", 60 * SEC)
    fleet.run(10)
    fleet.steps[0] = step
    fleet.restart(0)
    assert fleet.run(20).seconds_remaining() == [30] * 4
    assert fleet.run(30 + END_TOLERANCE / SEC).zones_evacuated() == [""] * 4


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
@pytest.mark.parametrize("restart", [False, True], ids=["running", "restarting"])
def test_later_directive_wins_regardless_of_its_issuer(step: int, restart: bool) -> None:
    """The member whose clock is wrong issues the earlier directive in one run and the later in another."""
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


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_wall_clock_step_preserves_order_of_directives(step: int) -> None:
    fleet = Fleet(3)
    fleet.members[0].issue("a", 600 * SEC)
    fleet.run(5)
    fleet.steps = [step] * 3
    fleet.members[0].issue("a", 0)
    assert fleet.run(5).zones_evacuated() == [""] * 3
    fleet.steps = [0] * 3
    fleet.members[1].issue("a", 600 * SEC)
    assert fleet.run(5).zones_evacuated() == ["a"] * 3


def test_directives_of_partitioned_members_are_ordered_by_time() -> None:
    """A directive from a member whose clock is an hour fast raises the versions of all members.

    The directives that two partitioned members issue after that must still be ordered by time.
    """
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


def test_withdrawn_directive_is_not_revived_after_long_partition() -> None:
    """A return must supersede the directive before it even after its gossip has ended.

    Members that discarded the return would accept the older directive again from a partitioned member.
    """
    fleet = Fleet(4)
    fleet.members[0].issue("a", MAX_DURATION_US)
    fleet.run(5)
    fleet.partitioned = {3}
    fleet.members[1].issue("a", 0)
    fleet.run(5).run_partitioned(3 * 3600)
    assert fleet.run(60).zones_evacuated() == [""] * 4
    assert all(m.returning_zones() == {"a"} for m in fleet.members)


def test_ended_directive_is_gossiped_for_an_hour_then_evictable() -> None:
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


def test_gossip_of_return_ends_although_members_join() -> None:
    """A joining member adopts the age of the directive, and does not gossip it for another full hour."""
    fleet = Fleet(3)
    fleet.members[0].issue("a", 0)
    fleet.run(5)
    for i in range(6):
        fleet.run(1200, interval=10 * SEC)
        fleet.restart(i % 3)
    fleet.run(60)
    assert all(m.deadline() is None for m in fleet.members)


def test_wall_clock_before_1970_gives_encodable_ends() -> None:
    fleet = Fleet(3)
    fleet.steps[0] = -2 * UNIX // SEC
    fleet.members[0].issue("a", 60 * SEC)
    assert fleet.run(5).seconds_remaining() == [55] * 3
    fleet.run(100)
    assert fleet.zones_evacuated() == [""] * 3


# ---- Compatibility with processes of an earlier version ---------------------------------------------------


@pytest.mark.parametrize("earlier", [(0,), (1,), (0, 1), (0, 2, 3)])
def test_current_and_earlier_versions_agree_in_one_fleet(earlier: tuple[int, ...]) -> None:
    """Wall clocks agree in this test, since the earlier version requires it."""
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


@pytest.mark.parametrize("step", CLOCK_STEPS_S)
def test_end_from_earlier_version_is_replaced_by_accurate_end(step: int) -> None:
    """Member 3, whose clock is wrong, gets the end from an earlier version and then an accurate one."""
    fleet = Fleet(4, earlier=(1,))
    fleet.steps[3] = step
    fleet.members[0].issue("a", 600 * SEC)
    directive = ZoneDirective("a", fleet.members[0].by_zone["a"].version, UNIX + fleet.true_time + 600 * SEC)
    fleet.members[3].received(ZoneMessage(ZoneKind.DIRECTIVES, "n1", (directive,)))
    assert fleet.seconds_remaining()[3] == 600 - step if step < 600 else fleet.seconds_remaining()[3] == 0
    fleet.run(10)
    assert fleet.seconds_remaining()[3] == 590
