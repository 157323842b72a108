"""Membership with lost, duplicated and delayed datagrams; the codec with invalid and arbitrary input."""

from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.fleet.membership.advice import EjectionAdvice
from balancer.fleet.membership.claims import Address, overrides
from balancer.fleet.membership.codec import HEADER, Codec
from balancer.fleet.membership.keys import InvalidKeyError, authentication_tag, key_id, read_key
from balancer.fleet.membership.messages import AnyMessage, OutgoingMessage
from balancer.fleet.membership.swim import Claim, Kind, Message, Status, Swim
from workbench.explore.members import MemberNetwork
from workbench.explore.virtual_network import GROUP_KEY

SECOND_US = 1_000_000
ALIVE, SUSPECT, DEAD, LEFT = Status.ALIVE, Status.SUSPECT, Status.DEAD, Status.LEFT


@pytest.mark.parametrize(
    ("current", "new", "is_accepted"),
    [
        ((ALIVE, 1), (SUSPECT, 1), True),
        ((ALIVE, 1), (SUSPECT, 0), False),
        ((SUSPECT, 1), (ALIVE, 1), False),
        ((SUSPECT, 1), (ALIVE, 2), True),
        ((DEAD, 1), (SUSPECT, 1), False),
        ((DEAD, 1), (ALIVE, 2), True),
        ((DEAD, 1), (LEFT, 1), True),
        ((LEFT, 1), (DEAD, 1), False),
        ((ALIVE, 1), (ALIVE, 1), False),
    ],
)
def test_claim_precedence_by_incarnation_and_status(
    current: tuple[Status, int], new: tuple[Status, int], is_accepted: bool
) -> None:
    old_claim, new_claim = (
        Claim("x", ("h", 1), status, incarnation) for status, incarnation in (current, new)
    )
    assert overrides(new_claim, old_claim) is is_accepted


@pytest.mark.parametrize(("count", "loss"), [(3, 0.0), (12, 0.1), (40, 0.2)])
def test_death_reaches_all_and_no_living_member_stays_dead(count: int, loss: float) -> None:
    net = MemberNetwork(count, loss, seed=5)
    assert net.run_until(net.is_complete, 90) < 90
    net.run(30)
    killed_name = net.kill(("10.0.0.1", count))
    assert net.run_until(lambda: not any(killed_name in s.alive() for s in net.members.values()), 120) < 120
    net.run(60)
    assert net.false_deaths() == 0


def test_partition_heals_and_restarted_member_rejoins() -> None:
    net = MemberNetwork(8, 0.0, seed=2)
    net.run_until(net.is_complete, 30)
    net.network.partition(("10.0.0.1", p) for p in (5, 6, 7, 8))
    net.run(40)
    # Each side considers the other dead.
    assert net.false_deaths() > 0
    net.network.heal()
    assert net.run_until(net.is_complete, 120) < 120
    name = net.kill(("10.0.0.1", 3))
    net.run(30)
    restarted = net.add(("10.0.0.1", 3), [("10.0.0.1", 1)], incarnation=2)
    assert restarted.local_claim.name == name and net.run_until(net.is_complete, 60) < 60


def test_leaving_member_is_not_suspected() -> None:
    net = MemberNetwork(6, 0.0, seed=3)
    net.run_until(net.is_complete, 30)
    leaver = net.members[("10.0.0.1", 6)]
    suspected_before = sum(s.counts.suspected for s in net.members.values())
    net.transmit(leaver.local_claim.address, leaver.leave())
    net.kill(leaver.local_claim.address)
    net.run_until(lambda: all(s.status("n6") == LEFT for s in net.members.values()), 10)
    assert all(s.status("n6") == LEFT for s in net.members.values())
    assert sum(s.counts.suspected for s in net.members.values()) == suspected_before


class MembershipStateMachine(RuleBasedStateMachine):
    """Three members; Hypothesis delivers, duplicates, delays or drops messages and advances their clocks."""

    def __init__(self) -> None:
        super().__init__()
        self.clocks = [SECOND_US, SECOND_US, SECOND_US]
        seeds = [("h", i + 1) for i in range(3)]
        self.members = [Swim(f"m{i}", seeds[i], 1, seeds, Random(i), SECOND_US) for i in range(3)]
        self.in_transit: list[tuple[Address, Address, AnyMessage]] = []
        self.highest_incarnations: dict[tuple[str, str], int] = {}

    def transmit(self, i: int, outgoing: list[OutgoingMessage]) -> None:
        self.in_transit += [(self.members[i].local_claim.address, s.to, s.message) for s in outgoing]
        del self.in_transit[:-200]

    @rule(i=st.integers(0, 2), step=st.integers(0, 20 * SECOND_US))
    def advance_clock(self, i: int, step: int) -> None:
        self.clocks[i] += step
        self.transmit(i, self.members[i].tick(self.clocks[i]))

    @rule(position=st.integers(0, 199), is_duplicated=st.booleans())
    def deliver(self, position: int, is_duplicated: bool) -> None:
        if self.in_transit:
            position %= len(self.in_transit)
            source, to, message = (
                self.in_transit[position] if is_duplicated else self.in_transit.pop(position)
            )
            i = to[1] - 1
            self.transmit(i, self.members[i].receive(self.clocks[i], source, message))

    @rule(position=st.integers(0, 199))
    def drop(self, position: int) -> None:
        if self.in_transit:
            self.in_transit.pop(position % len(self.in_transit))

    @invariant()
    def incarnations_never_decrease_and_are_raised_only_by_their_owner(self) -> None:
        for m in self.members:
            assert m.local_claim.status == ALIVE
            for name, member in m.members.items():
                key = (m.local_claim.name, name)
                assert (
                    member.claim.incarnation >= self.highest_incarnations.get(key, 0) or name not in m.members
                )
                self.highest_incarnations[key] = member.claim.incarnation
                owner = self.members[int(name[1])]
                assert member.claim.incarnation <= owner.local_claim.incarnation

    def teardown(self) -> None:
        """Check that all members agree within 100 s that all are alive, once all messages are delivered."""
        now = max(self.clocks)
        for step in range(400):
            now += SECOND_US // 4
            queue = list(self.in_transit) if step == 0 else []
            for m in self.members:
                queue += [(m.local_claim.address, s.to, s.message) for s in m.tick(now)]
            while queue:
                source, to, message = queue.pop(0)
                m = self.members[to[1] - 1]
                queue += [(m.local_claim.address, s.to, s.message) for s in m.receive(now, source, message)]
        for m in self.members:
            assert all(m.status(o.local_claim.name) == ALIVE for o in self.members)


MembershipStateMachine.TestCase.settings = settings(
    max_examples=30, stateful_step_count=40, deadline=None, derandomize=True
)
TestMembershipStateMachine = MembershipStateMachine.TestCase

CLAIM = Claim("n2", ("10.0.0.2", 7000), SUSPECT, 9)
MESSAGE = Message(Kind.PING_REQ, "n1", 77, "n2", (CLAIM,))


def test_datagram_round_trips_and_long_message_is_shortened() -> None:
    codec, other = Codec([GROUP_KEY]), Codec([GROUP_KEY])
    assert other.decode(codec.encode(MESSAGE, SECOND_US), SECOND_US) == MESSAGE
    oversized = Message(
        Kind.SYNC, "n" * 64, 0, "", tuple(Claim(f"{i:064}", ("h" * 64, 1), ALIVE, 1) for i in range(40))
    )
    data = codec.encode(oversized, SECOND_US)
    decoded = other.decode(data, SECOND_US)
    assert len(data) <= 1200 and decoded is not None and 0 < len(decoded.claims) < 40


@pytest.mark.parametrize(
    ("corrupt", "reason"),
    [
        (lambda d: d[:10], "length"),
        (lambda d: d + b"x" * 1200, "length"),
        (lambda d: b"\x02" + d[1:], "version"),
        (lambda d: d[:1] + b"abcd" + d[5:], "key"),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), "tag"),
        (lambda d: d[:20] + bytes([d[20] ^ 1]) + d[21:], "tag"),
    ],
)
def test_invalid_datagram_is_dropped_and_counted(corrupt: Callable[[bytes], bytes], reason: str) -> None:
    codec = Codec([GROUP_KEY])
    assert codec.decode(corrupt(codec.encode(MESSAGE, SECOND_US)), SECOND_US) is None
    assert codec.dropped == {reason: 1}


def test_codec_drops_replays_distant_stamps_and_unknown_keys() -> None:
    codec, other = Codec([GROUP_KEY]), Codec([b"another key, sixteen", GROUP_KEY])
    data = codec.encode(MESSAGE, SECOND_US)
    later_datagrams = [codec.encode(MESSAGE, SECOND_US) for _ in range(3)]
    assert other.decode(data, SECOND_US) and other.decode(data, SECOND_US) is None
    # Datagrams that arrive out of order are not replays.
    assert all(other.decode(d, SECOND_US) for d in reversed(later_datagrams))
    assert other.decode(codec.encode(MESSAGE, SECOND_US), 100 * SECOND_US) is None
    assert codec.decode(other.encode(MESSAGE, SECOND_US), SECOND_US) is None
    assert other.dropped == {"replay": 1, "clock": 1} and codec.dropped == {"key": 1}
    for _ in range(200):
        other.decode(codec.encode(MESSAGE, SECOND_US), SECOND_US)
    # The datagram is still rejected after many others.
    assert other.decode(data, SECOND_US) is None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=1300), st.binary(max_size=300))
def test_decoder_never_raises_for_arbitrary_input(noise: bytes, body: bytes) -> None:
    codec = Codec([GROUP_KEY])
    assert codec.decode(noise, SECOND_US) is None
    # The second datagram has arbitrary content and a valid tag.
    signed = HEADER.pack(1, key_id(GROUP_KEY), SECOND_US) + body
    codec.decode(signed + authentication_tag(GROUP_KEY, signed), SECOND_US)


@pytest.mark.parametrize(
    ("mode", "data", "expected_error"),
    [
        (0o600, b"k" * 32, ""),
        (0o644, b"k" * 32, "must not be accessible"),
        (0o600, b"k", "16 to 64"),
        (None, b"", "No such"),
    ],
)
def test_key_file_must_be_private_and_of_valid_length(
    tmp_path: Path, mode: int | None, data: bytes, expected_error: str
) -> None:
    path = tmp_path / "key"
    if mode is not None:
        path.write_bytes(data)
        path.chmod(mode)
    if expected_error:
        with pytest.raises(InvalidKeyError, match=expected_error):
            read_key(path)
    else:
        assert read_key(path) == data


def test_ejection_requires_quorum_and_spares_most_servers() -> None:
    advice = EjectionAdvice(quorum=2, max_share=0.34, validity_us=10 * SECOND_US)
    for reporter, server in (("a", 1), ("a", 1), ("b", 2), ("c", 2), ("b", 9), ("c", 9), ("a", 2)):
        advice.report(0, reporter, server, ejected=True)
    listed, alive = range(1, 7), ["a", "b", "c"]
    # Server 1 has a single reporter, and server 9 is not listed.
    assert advice.ejected(SECOND_US, listed, alive) == [2]
    assert (
        advice.ejected(SECOND_US, listed, ["a"]) == [] and advice.ejected(11 * SECOND_US, listed, alive) == []
    )
    for server in listed:
        for reporter in alive:
            advice.report(SECOND_US, reporter, server, ejected=True)
    # The limit is a third of the six listed servers.
    assert advice.ejected(SECOND_US, listed, alive) == [1, 2]
    advice.remove_reporter("a")
    advice.report(SECOND_US, "b", 1, ejected=False)
    assert 1 not in advice.ejected(SECOND_US, listed, alive)
