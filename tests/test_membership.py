"""Membership over lost, duplicated, delayed and corrupted datagrams; the codec over arbitrary input."""

from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balancer.fleet.membership.advice import Advice
from balancer.fleet.membership.claims import Address, overrides
from balancer.fleet.membership.codec import HEADER, Codec
from balancer.fleet.membership.keys import InvalidKeyError, authentication_tag, key_id, read_key
from balancer.fleet.membership.messages import AnyMessage, OutgoingMessage
from balancer.fleet.membership.swim import Claim, Kind, Message, Status, Swim
from workbench.explore.members import Net
from workbench.explore.virtual_network import GROUP_KEY

SEC = 1_000_000
A, S, D, L = Status.ALIVE, Status.SUSPECT, Status.DEAD, Status.LEFT


@pytest.mark.parametrize(
    ("current", "new", "is_accepted"),
    [
        ((A, 1), (S, 1), True),
        ((A, 1), (S, 0), False),
        ((S, 1), (A, 1), False),
        ((S, 1), (A, 2), True),
        ((D, 1), (S, 1), False),
        ((D, 1), (A, 2), True),
        ((D, 1), (L, 1), True),
        ((L, 1), (D, 1), False),
        ((A, 1), (A, 1), False),
    ],
)
def test_precedence_of_claims(
    current: tuple[Status, int], new: tuple[Status, int], is_accepted: bool
) -> None:
    old_claim, new_claim = (
        Claim("x", ("h", 1), status, incarnation) for status, incarnation in (current, new)
    )
    assert overrides(new_claim, old_claim) is is_accepted


@pytest.mark.parametrize(("count", "loss"), [(3, 0.0), (12, 0.1), (40, 0.2)])
def test_a_death_is_known_to_all_and_no_living_member_stays_dead(count: int, loss: float) -> None:
    net = Net(count, loss, seed=5)
    assert net.until(net.complete, 90) < 90
    net.run(30)
    gone = net.kill(("10.0.0.1", count))
    assert net.until(lambda: not any(gone in s.alive() for s in net.members.values()), 120) < 120
    net.run(60)
    assert net.false_deaths() == 0


def test_a_partition_heals_and_a_restarted_member_rejoins_under_its_name() -> None:
    net = Net(8, 0.0, seed=2)
    net.until(net.complete, 30)
    net.network.partition(("10.0.0.1", p) for p in (5, 6, 7, 8))
    net.run(40)
    assert net.false_deaths() > 0  # each side considers the other dead
    net.network.heal()
    assert net.until(net.complete, 120) < 120
    name = net.kill(("10.0.0.1", 3))
    net.run(30)
    again = net.add(("10.0.0.1", 3), [("10.0.0.1", 1)], incarnation=2)
    assert again.me.name == name and net.until(net.complete, 60) < 60


def test_a_leaving_member_is_not_suspected_first() -> None:
    net = Net(6, 0.0, seed=3)
    net.until(net.complete, 30)
    leaver = net.members[("10.0.0.1", 6)]
    before = sum(s.counts.suspected for s in net.members.values())
    net.transmit(leaver.me.address, leaver.leave())
    net.kill(leaver.me.address)
    net.until(lambda: all(s.status("n6") == L for s in net.members.values()), 10)
    assert all(s.status("n6") == L for s in net.members.values())
    assert sum(s.counts.suspected for s in net.members.values()) == before


class Group(RuleBasedStateMachine):
    """Three members; hypothesis delivers, duplicates, delays or loses datagrams and advances clocks."""

    def __init__(self) -> None:
        super().__init__()
        self.clocks = [SEC, SEC, SEC]
        seeds = [("h", i + 1) for i in range(3)]
        self.members = [Swim(f"m{i}", seeds[i], 1, seeds, Random(i), SEC) for i in range(3)]
        self.in_transit: list[tuple[Address, Address, AnyMessage]] = []
        self.highest: dict[tuple[str, str], int] = {}

    def transmit(self, i: int, outgoing: list[OutgoingMessage]) -> None:
        self.in_transit += [(self.members[i].me.address, s.to, s.message) for s in outgoing]
        del self.in_transit[:-200]

    @rule(i=st.integers(0, 2), step=st.integers(0, 20 * SEC))
    def advance_clock(self, i: int, step: int) -> None:
        self.clocks[i] += step
        self.transmit(i, self.members[i].tick(self.clocks[i]))

    @rule(position=st.integers(0, 199), keep=st.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        if self.in_transit:
            position %= len(self.in_transit)
            source, to, message = self.in_transit[position] if keep else self.in_transit.pop(position)
            i = to[1] - 1
            self.transmit(i, self.members[i].receive(self.clocks[i], source, message))

    @rule(position=st.integers(0, 199))
    def lose(self, position: int) -> None:
        if self.in_transit:
            self.in_transit.pop(position % len(self.in_transit))

    @invariant()
    def incarnations_never_decrease_and_only_their_owner_raises_them(self) -> None:
        for m in self.members:
            assert m.me.status == A
            for name, member in m.members.items():
                key = (m.me.name, name)
                assert member.claim.incarnation >= self.highest.get(key, 0) or name not in m.members
                self.highest[key] = member.claim.incarnation
                owner = self.members[int(name[1])]
                assert member.claim.incarnation <= owner.me.incarnation  # only the owner raises it

    def teardown(self) -> None:
        """Once messages pass again, all agree within bounded time that all are alive."""
        now = max(self.clocks)
        for step in range(400):
            now += SEC // 4
            queue = list(self.in_transit) if step == 0 else []
            for m in self.members:
                queue += [(m.me.address, s.to, s.message) for s in m.tick(now)]
            while queue:
                source, to, message = queue.pop(0)
                m = self.members[to[1] - 1]
                queue += [(m.me.address, s.to, s.message) for s in m.receive(now, source, message)]
        for m in self.members:
            assert all(m.status(o.me.name) == A for o in self.members)


Group.TestCase.settings = settings(max_examples=30, stateful_step_count=40, deadline=None, derandomize=True)
TestGroup = Group.TestCase

CLAIM = Claim("n2", ("10.0.0.2", 7000), S, 9)
MESSAGE = Message(Kind.PING_REQ, "n1", 77, "n2", (CLAIM,))


def test_datagrams_are_decoded_as_encoded_and_fit() -> None:
    codec, other = Codec([GROUP_KEY]), Codec([GROUP_KEY])
    assert other.decode(codec.encode(MESSAGE, SEC), SEC) == MESSAGE
    full = Message(
        Kind.SYNC, "n" * 64, 0, "", tuple(Claim(f"{i:064}", ("h" * 64, 1), A, 1) for i in range(40))
    )
    data = codec.encode(full, SEC)
    got = other.decode(data, SEC)
    assert len(data) <= 1200 and got is not None and 0 < len(got.claims) < 40


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
def test_an_invalid_datagram_is_counted_and_dropped(corrupt: Callable[[bytes], bytes], reason: str) -> None:
    codec = Codec([GROUP_KEY])
    assert codec.decode(corrupt(codec.encode(MESSAGE, SEC)), SEC) is None
    assert codec.dropped == {reason: 1}


def test_replays_distant_stamps_and_rotated_keys() -> None:
    codec, other = Codec([GROUP_KEY]), Codec([b"another key, sixteen", GROUP_KEY])
    data = codec.encode(MESSAGE, SEC)
    late = [codec.encode(MESSAGE, SEC) for _ in range(3)]
    assert other.decode(data, SEC) and other.decode(data, SEC) is None
    assert all(other.decode(d, SEC) for d in reversed(late))  # overtaken, not repeated
    assert other.decode(codec.encode(MESSAGE, SEC), 100 * SEC) is None
    assert codec.decode(other.encode(MESSAGE, SEC), SEC) is None
    assert other.dropped == {"replay": 1, "clock": 1} and codec.dropped == {"key": 1}
    for _ in range(200):
        other.decode(codec.encode(MESSAGE, SEC), SEC)
    assert other.decode(data, SEC) is None  # behind the window


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=1300), st.binary(max_size=300))
def test_no_input_raises_in_the_decoder(noise: bytes, body: bytes) -> None:
    codec = Codec([GROUP_KEY])
    assert codec.decode(noise, SEC) is None
    signed = HEADER.pack(1, key_id(GROUP_KEY), SEC) + body  # arbitrary content under a valid key
    codec.decode(signed + authentication_tag(GROUP_KEY, signed), SEC)


@pytest.mark.parametrize(
    ("mode", "data", "word"),
    [
        (0o600, b"k" * 32, ""),
        (0o644, b"k" * 32, "others may read"),
        (0o600, b"k", "16 to 64"),
        (None, b"", "No such"),
    ],
)
def test_a_key_is_read_from_a_file_of_its_owner_alone(
    tmp_path: Path, mode: int | None, data: bytes, word: str
) -> None:
    path = tmp_path / "key"
    if mode is not None:
        path.write_bytes(data)
        path.chmod(mode)
    if word:
        with pytest.raises(InvalidKeyError, match=word):
            read_key(path)
    else:
        assert read_key(path) == data


def test_advice_requires_a_quorum_of_living_reporters_and_leaves_most_servers() -> None:
    advice = Advice(quorum=2, max_share=0.34, validity=10 * SEC)
    for reporter, server in (("a", 1), ("a", 1), ("b", 2), ("c", 2), ("b", 9), ("c", 9), ("a", 2)):
        advice.report(0, reporter, server, ejected=True)
    listed, alive = range(1, 7), ["a", "b", "c"]
    assert advice.ejected(SEC, listed, alive) == [2]  # 1 has one reporter, 9 is not listed
    assert advice.ejected(SEC, listed, ["a"]) == [] and advice.ejected(11 * SEC, listed, alive) == []
    for server in listed:
        for reporter in alive:
            advice.report(SEC, reporter, server, ejected=True)
    assert advice.ejected(SEC, listed, alive) == [1, 2]  # a third of six at most
    advice.drop("a")
    advice.report(SEC, "b", 1, ejected=False)
    assert 1 not in advice.ejected(SEC, listed, alive)
