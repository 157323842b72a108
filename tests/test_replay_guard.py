"""Replayed datagrams: on a virtual fleet, and the replay guard's decisions one by one."""

from collections import Counter

import pytest
from virtual_fleet import ATTACKER, HERE, NEW, SEC, STEPS, changes_since, changes_so_far, settled, view

from balancer.fleet.membership import replay_guard, stamp_window
from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.replay_guard import Admission, Received, ReplayGuard
from balancer.fleet.membership.stamp_window import StampWindow, Verdict
from balancer.fleet.membership.swim import Claim, Kind, Message, Status

# ---- recorded datagrams on a virtual fleet ---------------------------------------------------------------


def test_a_replay_changes_no_view_of_a_running_process() -> None:
    fleet = settled(NEW, NEW, NEW)
    recorded = list(fleet.recorded)
    fleet.run(60)
    target = fleet.processes[HERE]
    before = view(target), target.swim.me
    assert fleet.replay(HERE, recorded) == 0 and fleet.replay(HERE, recorded, ATTACKER) == 0
    fleet.run(5)
    assert (view(target), target.swim.me) == before and fleet.complete()


@pytest.mark.parametrize("source", [None, ATTACKER])
def test_a_replay_changes_no_view_of_a_process_that_has_just_started(source: Address | None) -> None:
    """Among the senders recorded is a member that is gone for long; it isn't restored."""
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(200)
    recorded = [r for r in fleet.recorded if r.sent_at < fleet.now - 7 * SEC]
    fresh = fleet.start(5)
    fleet.kill(1)
    fleet.kill(2)
    fleet.kill(3)
    assert fleet.replay(fresh.address, recorded, source) == 0 and view(fresh) == {}
    assert len(fresh.guard.challenges) <= 4
    # Now those that can answer its challenges are alive: what is old by their own clocks is rejected.
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(200)
    recorded = [r for r in fleet.recorded if r.sent_at < fleet.now - 7 * SEC]
    fresh = fleet.start(5)
    assert fleet.replay(fresh.address, recorded, source) == 0
    for _ in range(20):
        fleet.run(0.05)
        assert fleet.replay(fresh.address, recorded, source) == 0
    assert "n4" not in view(fresh) and set(view(fresh)) <= {"n1", "n2", "n3"}


def test_a_replay_does_not_restore_a_forgotten_sender() -> None:
    fleet = settled(NEW, NEW, NEW)
    fleet.kill(3)
    recorded = [r for r in fleet.recorded if r.source == ("10.0.0.1", 3)]
    fleet.run(200)
    target = fleet.processes[HERE]
    assert "n3" not in target.swim.members and "n3" not in target.guard.senders.windows
    assert fleet.replay(HERE, recorded) == 0 and fleet.replay(HERE, recorded, ATTACKER) == 0
    fleet.run(5)
    assert set(view(target)) == {"n2"}


@pytest.mark.parametrize("step", STEPS)
def test_a_replay_of_an_earlier_process_changes_nothing_once_the_next_is_proven(step: int) -> None:
    fleet = settled(NEW, NEW, NEW)
    fleet.kill(3)
    recorded = [r for r in fleet.recorded if r.source == ("10.0.0.1", 3)]
    fleet.run(40)
    restarted = fleet.start(3, offset=step)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), 10)
    for source in (None, ATTACKER):
        fleet.replay(HERE, recorded, source)
        fleet.run(1)
    before = changes_so_far(fleet)
    fleet.run(30)
    assert fleet.complete() and changes_since(fleet, before) == []
    assert fleet.processes[HERE].swim.members["n3"].claim == restarted.swim.me


# ---- the guard's decisions -------------------------------------------------------------------------------


def reply_of(admission: Admission) -> Message:
    """Returns the reply to a datagram, which there must be."""
    assert admission.reply is not None
    return admission.reply


def proven(now: int = 100 * SEC, stamp: int = 5 * SEC) -> tuple[ReplayGuard, Admission]:
    """Returns a guard that knows `a`, by a challenge that took no time, and the answer's admission."""
    guard = ReplayGuard("me", 1000, Counter())
    challenge = reply_of(guard.admit(now, received("a", stamp)))
    assert challenge.kind == Kind.PING and challenge.claims == ()
    return guard, guard.admit(now, received("a", stamp + 1, Kind.ACK, challenge.seq, claims=()))


ALIVE = Claim("x", ("10.0.0.7", 7), Status.ALIVE, 1)


def received(
    sender: str,
    stamp: int,
    kind: Kind = Kind.PING,
    seq: int = 0,
    claims: tuple[Claim, ...] = (ALIVE,),
    source: Address = ("10.0.0.3", 3),
    size: int = 100,
) -> Received:
    """Returns a datagram with a message of membership."""
    return Received(source, stamp, Message(kind, sender, seq, "", claims), size)


def test_a_datagram_is_buffered_until_its_sender_has_answered() -> None:
    guard, admission = proven()
    assert [r.stamp for r in admission.accepted] == [5 * SEC] and admission.reply is None
    assert guard.challenges == {} and guard.challenges_by_source == {} and guard.buffered_bytes == 0
    assert guard.admit(101 * SEC, received("a", 6 * SEC)).accepted
    assert guard.admit(101 * SEC, received("a", 6 * SEC)) == replay_guard.REJECTED
    assert guard.dropped == {"replay": 1}


@pytest.mark.parametrize(
    ("age", "is_accepted"),
    [(1, True), (stamp_window.MAX_TRANSIT_US, True), (stamp_window.MAX_TRANSIT_US + 2, False)],
)
def test_a_datagram_that_was_old_at_its_sender_s_proof_is_rejected(age: int, is_accepted: bool) -> None:
    guard = ReplayGuard("me", 1000, Counter())
    challenge = reply_of(guard.admit(SEC, received("a", 100 * SEC - age)))
    answer = guard.admit(SEC, received("a", 100 * SEC, Kind.ACK, challenge.seq))
    assert bool(answer.accepted) is is_accepted
    assert guard.admit(SEC, received("a", 100 * SEC - 1 - stamp_window.MAX_TRANSIT_US)).accepted == ()


@pytest.mark.parametrize(
    "answer",
    [
        received("a", 6 * SEC, Kind.ACK, 999),  # not the challenge's number
        received("b", 6 * SEC, Kind.ACK, 1001),  # another's answer
        received("a", 6 * SEC, Kind.SYNC, 1001),  # not an ACK
    ],
)
def test_no_other_message_is_proof(answer: Received) -> None:
    guard = ReplayGuard("me", 1000, Counter())
    assert reply_of(guard.admit(SEC, received("a", 5 * SEC))).seq == 1001
    assert guard.admit(SEC, answer).accepted == () and guard.senders.windows == {}


def test_an_ack_of_a_ping_is_proof_for_a_limited_time() -> None:
    for elapsed, is_accepted in (
        (replay_guard.PROOF_TIMEOUT_US, True),
        (replay_guard.PROOF_TIMEOUT_US + 1, False),
    ):
        guard = ReplayGuard("me", 1000, Counter())
        guard.ping_sent(SEC, 77)
        assert bool(guard.admit(SEC + elapsed, received("a", 9 * SEC, Kind.ACK, 77)).accepted) is is_accepted


def test_a_late_answer_is_no_proof() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    challenge = reply_of(guard.admit(SEC, received("a", 5 * SEC)))
    late = SEC + replay_guard.PROOF_TIMEOUT_US + 1
    assert guard.admit(late, received("a", 9 * SEC, Kind.ACK, challenge.seq)) == replay_guard.REJECTED
    assert guard.dropped == {"unproven": 2} and guard.senders.windows == {} and guard.buffered_bytes == 0


def test_another_process_s_challenge_is_echoed_and_changes_nothing() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    admission = guard.admit(SEC, received("b", 7, seq=42, claims=()))
    assert admission.reply == Message(Kind.ACK, "me", 42) and admission.accepted == ()
    assert guard.senders.windows == {} and guard.challenges == {}


def test_a_process_s_own_datagrams_are_rejected() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    assert guard.admit(SEC, received("me", 5)) == replay_guard.REJECTED and guard.dropped == {"replay": 1}


def test_a_challenge_is_repeated_and_its_buffer_is_bounded() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    answers = [guard.admit(SEC + i, received("a", 5 * SEC + i)).reply for i in range(10)]
    assert [a.seq for a in answers if a] == [1001]
    assert reply_of(guard.admit(SEC + replay_guard.CHALLENGE_RETRY_US, received("a", 6 * SEC))).seq == 1001
    assert len(
        guard.challenges[1001].buffered
    ) == replay_guard.MAX_BUFFERED_PER_CHALLENGE and guard.dropped == {"unproven": 7}
    # An attacker that sends another's datagrams from its own address prevents no sender's proof.
    assert reply_of(guard.admit(SEC, received("a", 5 * SEC, source=ATTACKER))).seq == 1002
    for number in range(2000):
        guard.admit(SEC, received(f"invented {number}", 5, size=1200))
    assert len(guard.challenges) == len(guard.challenges_by_source) == replay_guard.MAX_CHALLENGES
    held = [h.size for c in guard.challenges.values() for h in c.buffered]
    assert sum(held) == guard.buffered_bytes <= replay_guard.MAX_BUFFERED_BYTES


def test_the_state_kept_of_senders_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replay_guard, "MAX_SENDERS", 3)
    stamps = replay_guard.SenderStamps()
    for number in range(9):
        stamps.begin(f"n{number}", 5, SEC, 0)
    assert list(stamps.windows) == ["n6", "n7", "n8"]
    guard = ReplayGuard("me", 1, Counter())
    for seq in range(replay_guard.MAX_PINGS + 9):
        guard.ping_sent(SEC, seq)
    assert len(guard.pings) == replay_guard.MAX_PINGS and 0 not in guard.pings


@pytest.mark.parametrize(
    ("stamp", "verdict"),
    [
        (100 * SEC, Verdict.REPLAY),  # the newest itself
        (100 * SEC + 1, Verdict.FRESH),
        (110 * SEC + stamp_window.MAX_SKEW_US, Verdict.FRESH),
        (110 * SEC + stamp_window.MAX_SKEW_US + 1, Verdict.DISTANT),
        (100 * SEC - 3, Verdict.FRESH),  # overtaken
        (90 * SEC, Verdict.FRESH),
        (90 * SEC - 1, Verdict.REPLAY),  # before the sender had proven itself
        (110 * SEC - stamp_window.MAX_SKEW_US - 1, Verdict.DISTANT),
    ],
)
def test_stamps_are_judged_by_their_sender_s_earlier_ones(stamp: int, verdict: Verdict) -> None:
    window = StampWindow(99 * SEC, 8 * SEC, floor=90 * SEC)
    window.record(100 * SEC, 10 * SEC)
    assert window.judge(stamp, 20 * SEC) == verdict


def test_a_stamp_below_a_full_window_is_rejected() -> None:
    window = StampWindow(0, 0)
    for stamp in range(1, stamp_window.WINDOW_SIZE + 2):
        window.record(stamp, 0)
    assert window.judge(1, 0) == Verdict.REPLAY and len(window.seen) == stamp_window.WINDOW_SIZE
