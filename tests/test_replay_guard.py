"""Replayed datagrams: end to end on a virtual fleet, and the single decisions of the replay guard."""

from collections import Counter

import pytest
from virtual_fleet import (
    ATTACKER,
    CLOCK_STEPS,
    N1_ADDRESS,
    NEW,
    SEC,
    change_counts,
    changes_since,
    settled_fleet,
    view,
)

from balancer.fleet.membership import replay_guard, stamp_window
from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.replay_guard import Admission, ReceivedDatagram, ReplayGuard
from balancer.fleet.membership.stamp_window import StampStatus, StampWindow
from balancer.fleet.membership.swim import Claim, Kind, Message, Status

# ---- recorded datagrams on a virtual fleet ---------------------------------------------------------------


def test_replay_does_not_change_view_of_running_process() -> None:
    fleet = settled_fleet(NEW, NEW, NEW)
    recorded = list(fleet.recorded)
    fleet.run(60)
    target = fleet.processes[N1_ADDRESS]
    state_before = view(target), target.swim.local_claim
    assert fleet.replay(N1_ADDRESS, recorded) == 0 and fleet.replay(N1_ADDRESS, recorded, ATTACKER) == 0
    fleet.run(5)
    assert (view(target), target.swim.local_claim) == state_before and fleet.complete()


@pytest.mark.parametrize("source", [None, ATTACKER])
def test_replay_does_not_change_view_of_started_process(source: Address | None) -> None:
    """The recorded senders include a member that died long ago, which must not be restored."""
    fleet = settled_fleet(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(200)
    recorded = [r for r in fleet.recorded if r.sent_at < fleet.now - 7 * SEC]
    started = fleet.start(5)
    fleet.kill(1)
    fleet.kill(2)
    fleet.kill(3)
    assert fleet.replay(started.address, recorded, source) == 0 and view(started) == {}
    assert len(started.guard.challenges) <= 4
    # Now the members that can answer its challenges are alive: datagrams that are old by their clocks are
    # rejected.
    fleet = settled_fleet(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(200)
    recorded = [r for r in fleet.recorded if r.sent_at < fleet.now - 7 * SEC]
    started = fleet.start(5)
    assert fleet.replay(started.address, recorded, source) == 0
    for _ in range(20):
        fleet.run(0.05)
        assert fleet.replay(started.address, recorded, source) == 0
    assert "n4" not in view(started) and set(view(started)) <= {"n1", "n2", "n3"}


def test_replay_does_not_restore_forgotten_sender() -> None:
    fleet = settled_fleet(NEW, NEW, NEW)
    fleet.kill(3)
    recorded = [r for r in fleet.recorded if r.source == ("10.0.0.1", 3)]
    fleet.run(200)
    target = fleet.processes[N1_ADDRESS]
    assert "n3" not in target.swim.members and "n3" not in target.guard.senders.windows
    assert fleet.replay(N1_ADDRESS, recorded) == 0 and fleet.replay(N1_ADDRESS, recorded, ATTACKER) == 0
    fleet.run(5)
    assert set(view(target)) == {"n2"}


@pytest.mark.parametrize("step", CLOCK_STEPS)
def test_replay_of_earlier_process_after_restart_has_no_effect(step: int) -> None:
    fleet = settled_fleet(NEW, NEW, NEW)
    fleet.kill(3)
    recorded = [r for r in fleet.recorded if r.source == ("10.0.0.1", 3)]
    fleet.run(40)
    restarted = fleet.start(3, offset=step)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), 10)
    for source in (None, ATTACKER):
        fleet.replay(N1_ADDRESS, recorded, source)
        fleet.run(1)
    previous_changes = change_counts(fleet)
    fleet.run(30)
    assert fleet.complete() and changes_since(fleet, previous_changes) == []
    assert fleet.processes[N1_ADDRESS].swim.members["n3"].claim == restarted.swim.local_claim


# ---- the guard's decisions -------------------------------------------------------------------------------


def require_reply(admission: Admission) -> Message:
    """Return the reply of an admission, which must have one."""
    assert admission.reply is not None
    return admission.reply


def guard_with_proven_sender(now: int = 100 * SEC, stamp: int = 5 * SEC) -> tuple[ReplayGuard, Admission]:
    """Return a guard to which `a` has proven that it is live, and the admission of that proof.

    The challenge and its answer have no delay.
    """
    guard = ReplayGuard("me", 1000, Counter())
    challenge = require_reply(guard.admit(now, received("a", stamp)))
    assert challenge.kind == Kind.PING and challenge.claims == ()
    return guard, guard.admit(now, received("a", stamp + 1, Kind.ACK, challenge.seq, claims=()))


ALIVE_CLAIM = Claim("x", ("10.0.0.7", 7), Status.ALIVE, 1)


def received(
    sender: str,
    stamp: int,
    kind: Kind = Kind.PING,
    seq: int = 0,
    claims: tuple[Claim, ...] = (ALIVE_CLAIM,),
    source: Address = ("10.0.0.3", 3),
    size: int = 100,
) -> ReceivedDatagram:
    """Return a received datagram with a message of the membership protocol."""
    return ReceivedDatagram(source, stamp, Message(kind, sender, seq, "", claims), size)


def test_datagram_is_buffered_until_sender_answers_challenge() -> None:
    guard, admission = guard_with_proven_sender()
    assert [r.stamp for r in admission.accepted] == [5 * SEC] and admission.reply is None
    assert guard.challenges == {} and guard.challenges_by_source == {} and guard.buffered_bytes == 0
    assert guard.admit(101 * SEC, received("a", 6 * SEC)).accepted
    assert guard.admit(101 * SEC, received("a", 6 * SEC)) == replay_guard.REJECTED
    assert guard.dropped == {"replay": 1}


@pytest.mark.parametrize(
    ("age", "is_accepted"),
    [(1, True), (stamp_window.MAX_TRANSIT_US, True), (stamp_window.MAX_TRANSIT_US + 2, False)],
)
def test_datagram_older_than_max_transit_at_proof_is_rejected(age: int, is_accepted: bool) -> None:
    guard = ReplayGuard("me", 1000, Counter())
    challenge = require_reply(guard.admit(SEC, received("a", 100 * SEC - age)))
    answer = guard.admit(SEC, received("a", 100 * SEC, Kind.ACK, challenge.seq))
    assert bool(answer.accepted) is is_accepted
    assert guard.admit(SEC, received("a", 100 * SEC - 1 - stamp_window.MAX_TRANSIT_US)).accepted == ()


@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(received("a", 6 * SEC, Kind.ACK, 999), id="other_seq"),
        pytest.param(received("b", 6 * SEC, Kind.ACK, 1001), id="other_sender"),
        pytest.param(received("a", 6 * SEC, Kind.SYNC, 1001), id="other_kind"),
    ],
)
def test_only_matching_ack_proves_liveness(answer: ReceivedDatagram) -> None:
    guard = ReplayGuard("me", 1000, Counter())
    assert require_reply(guard.admit(SEC, received("a", 5 * SEC))).seq == 1001
    assert guard.admit(SEC, answer).accepted == () and guard.senders.windows == {}


def test_ack_of_ping_proves_liveness_until_timeout() -> None:
    for elapsed, is_accepted in (
        (replay_guard.PROOF_TIMEOUT_US, True),
        (replay_guard.PROOF_TIMEOUT_US + 1, False),
    ):
        guard = ReplayGuard("me", 1000, Counter())
        guard.record_ping(SEC, 77)
        assert bool(guard.admit(SEC + elapsed, received("a", 9 * SEC, Kind.ACK, 77)).accepted) is is_accepted


def test_late_challenge_answer_is_rejected() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    challenge = require_reply(guard.admit(SEC, received("a", 5 * SEC)))
    late_answer_at = SEC + replay_guard.PROOF_TIMEOUT_US + 1
    assert (
        guard.admit(late_answer_at, received("a", 9 * SEC, Kind.ACK, challenge.seq)) == replay_guard.REJECTED
    )
    assert guard.dropped == {"unproven": 2} and guard.senders.windows == {} and guard.buffered_bytes == 0


def test_foreign_challenge_is_answered_without_state_change() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    admission = guard.admit(SEC, received("b", 7, seq=42, claims=()))
    assert admission.reply == Message(Kind.ACK, "me", 42) and admission.accepted == ()
    assert guard.senders.windows == {} and guard.challenges == {}


def test_datagrams_under_own_name_are_rejected() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    assert guard.admit(SEC, received("me", 5)) == replay_guard.REJECTED and guard.dropped == {"replay": 1}


def test_challenge_is_repeated_and_buffers_are_bounded() -> None:
    guard = ReplayGuard("me", 1000, Counter())
    replies = [guard.admit(SEC + i, received("a", 5 * SEC + i)).reply for i in range(10)]
    assert [reply.seq for reply in replies if reply] == [1001]
    assert (
        require_reply(guard.admit(SEC + replay_guard.CHALLENGE_RETRY_INTERVAL_US, received("a", 6 * SEC))).seq
        == 1001
    )
    assert len(
        guard.challenges[1001].buffered
    ) == replay_guard.MAX_BUFFERED_DATAGRAMS_PER_CHALLENGE and guard.dropped == {"unproven": 7}
    # An attacker that replays datagrams of `a` from its own address does not displace the challenge of `a`.
    assert require_reply(guard.admit(SEC, received("a", 5 * SEC, source=ATTACKER))).seq == 1002
    for number in range(2000):
        guard.admit(SEC, received(f"invented {number}", 5, size=1200))
    assert len(guard.challenges) == len(guard.challenges_by_source) == replay_guard.MAX_CHALLENGES
    buffered_sizes = [b.size for c in guard.challenges.values() for b in c.buffered]
    assert sum(buffered_sizes) == guard.buffered_bytes <= replay_guard.MAX_BUFFERED_BYTES


def test_sender_windows_and_pings_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(replay_guard, "MAX_SENDERS", 3)
    stamps = replay_guard.SenderStamps()
    for number in range(9):
        stamps.begin(f"n{number}", 5, SEC, 0)
    assert list(stamps.windows) == ["n6", "n7", "n8"]
    guard = ReplayGuard("me", 1, Counter())
    for seq in range(replay_guard.MAX_PINGS + 9):
        guard.record_ping(SEC, seq)
    assert len(guard.ping_times) == replay_guard.MAX_PINGS and 0 not in guard.ping_times


@pytest.mark.parametrize(
    ("stamp", "expected"),
    [
        pytest.param(100 * SEC, StampStatus.REPLAY, id="newest"),
        pytest.param(100 * SEC + 1, StampStatus.FRESH, id="above_newest"),
        pytest.param(110 * SEC + stamp_window.MAX_SKEW_US, StampStatus.FRESH, id="max_skew_ahead"),
        pytest.param(110 * SEC + stamp_window.MAX_SKEW_US + 1, StampStatus.OUT_OF_RANGE, id="too_far_ahead"),
        pytest.param(100 * SEC - 3, StampStatus.FRESH, id="out_of_order"),
        pytest.param(90 * SEC, StampStatus.FRESH, id="floor"),
        pytest.param(90 * SEC - 1, StampStatus.REPLAY, id="below_floor"),
        pytest.param(110 * SEC - stamp_window.MAX_SKEW_US - 1, StampStatus.OUT_OF_RANGE, id="too_far_behind"),
    ],
)
def test_stamp_is_classified_by_newest_stamp_and_floor(stamp: int, expected: StampStatus) -> None:
    window = StampWindow(99 * SEC, 8 * SEC, floor=90 * SEC)
    window.record(100 * SEC, 10 * SEC)
    assert window.classify(stamp, 20 * SEC) == expected


def test_stamp_below_full_window_is_a_replay() -> None:
    window = StampWindow(0, 0)
    for stamp in range(1, stamp_window.WINDOW_SIZE + 2):
        window.record(stamp, 0)
    assert (
        window.classify(1, 0) == StampStatus.REPLAY and len(window.current_stamps) == stamp_window.WINDOW_SIZE
    )
