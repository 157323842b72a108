"""A process that restarts with its clock in the past is heard at once, and nothing is accepted twice."""

from __future__ import annotations

from collections import Counter
from functools import partial

import pytest
from virtual_fleet import ATTACKER, EARLIER, HERE, NEW, SEC, Process, Recorded, VirtualFleet, settled

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message
from balancer.fleet.membership.replay_guard import (
    REJECTED,
    Admission,
    Received,
    ReplayGuard,
    SenderStamps,
)
from balancer.fleet.membership.stamp_window import MAX_SKEW_US, MAX_TRANSIT_US, WINDOW_SIZE, Verdict

STEPS_BACK = (1, 2, 5, 6, 8, 10, 15, 25, 29, 31, 60, 3600)  # seconds, between two processes of one name
MAX_TIME_TO_BE_HEARD = 2  # seconds, the others' next pings included
DOWNTIME = 0.4  # seconds between two processes of one name
INTERVAL = 0.05  # seconds between the datagrams of a sender of many, and between replays
LAST = 4  # number of the member that restarts

# ---- on a virtual fleet ----------------------------------------------------------------------------------


def send_to_all(fleet: VirtualFleet, process: Process) -> None:
    """Sends a message to each other process, as a component with much to say does."""
    for other in list(fleet.processes.values()):
        if other is not process:
            fleet.transmit(process, Message(Kind.ACK, process.name, 0, "", (process.swim.me,)), other.address)


def live(fleet: VirtualFleet, seconds: float, is_talkative: bool) -> Process:
    """Runs the last member of the fleet for a time, and kills it."""
    process = fleet.start(LAST)
    end = fleet.now + seconds * SEC
    while fleet.now < end:
        fleet.run(INTERVAL)
        if is_talkative:
            send_to_all(fleet, process)
    return fleet.kill(LAST)


LIVES = [(0.5, False), (3, False), (40, False), (40, True)]  # seconds, and whether it sends much


@pytest.mark.parametrize("step_back", STEPS_BACK)
@pytest.mark.parametrize(("seconds", "is_talkative"), LIVES)
def test_a_process_with_its_clock_in_the_past_is_heard_at_once(
    seconds: float, is_talkative: bool, step_back: int
) -> None:
    fleet = settled(NEW, NEW, NEW)
    live(fleet, seconds, is_talkative)
    fleet.run(DOWNTIME)
    before = {p.name: len(p.changes) for p in fleet.processes.values()}
    restarted = fleet.start(LAST, offset=-step_back * SEC)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), MAX_TIME_TO_BE_HEARD)
    fleet.run(step_back if step_back <= 60 else 5)
    assert fleet.complete()
    changes = [c for p in fleet.processes.values() for c in p.changes[before.get(p.name, 0) :]]
    assert {change.value for change, _ in changes} <= {"join", "alive", "refuted"}


@pytest.mark.parametrize("step_back", [5, 10, 29])
def test_each_of_many_processes_with_its_clock_further_in_the_past_is_heard_at_once(step_back: int) -> None:
    fleet = settled(NEW, NEW, NEW)
    for lives in range(5):
        restarted = fleet.start(LAST, offset=-lives * step_back * SEC)
        is_heard = partial(fleet.accepted_by_all, restarted)
        assert fleet.until(is_heard, MAX_TIME_TO_BE_HEARD), lives
        fleet.run(DOWNTIME)
        fleet.kill(LAST)


@pytest.mark.parametrize("step_back", [5, 10, 15, 25])
def test_an_earlier_version_with_its_clock_in_the_past_is_heard_at_once(step_back: int) -> None:
    fleet = settled(NEW, NEW, NEW)
    fleet.start(LAST, EARLIER)
    fleet.run(3)
    fleet.kill(LAST)
    fleet.run(DOWNTIME)
    restarted = fleet.start(LAST, EARLIER, -step_back * SEC)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), MAX_TIME_TO_BE_HEARD)


def accepted_stamps(process: Process) -> list[int]:
    """Returns a list to which the stamps of all datagrams that the process accepts are added."""
    stamps: list[int] = []
    admit = process.guard.admit

    def recording_admit(now: int, received: Received) -> Admission:
        admission = admit(now, received)
        stamps.extend(r.stamp for r in admission.accepted if r.message.sender == f"n{LAST}")
        return admission

    process.guard.admit = recording_admit  # type: ignore[method-assign]
    return stamps


def stamps_of(process: Process, recorded: list[Recorded]) -> set[int]:
    """Returns the stamps of recorded datagrams."""
    stamped = [process.codec.read(r.data) for r in recorded]
    return {s.stamp for s in stamped if s is not None}


@pytest.mark.parametrize("source", [None, ATTACKER])
@pytest.mark.parametrize("step_back", [step for step in STEPS_BACK if step <= 60])
@pytest.mark.parametrize(("seconds", "is_talkative"), LIVES)
def test_no_datagram_of_the_earlier_process_is_accepted_again(
    seconds: float, is_talkative: bool, step_back: int, source: Address | None
) -> None:
    """They are replayed all the time, thus also when the new process has the stamps that they have."""
    fleet = settled(NEW, NEW, NEW)
    live(fleet, seconds, is_talkative)
    fleet.run(DOWNTIME)
    recorded = [r for r in fleet.recorded if r.source[1] == LAST and r.to == HERE]
    restarted = fleet.start(LAST, offset=-step_back * SEC)
    stamps = accepted_stamps(fleet.processes[HERE])
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), MAX_TIME_TO_BE_HEARD)
    end = fleet.now + (step_back + 2) * SEC
    while fleet.now < end:
        fleet.run(10 * INTERVAL)
        fleet.replay(HERE, recorded[-2 * WINDOW_SIZE :], source)
    earlier = stamps_of(fleet.processes[HERE], recorded)
    assert stamps and not earlier & set(stamps) and fleet.complete()


# ---- the guard's decisions -------------------------------------------------------------------------------

MILLISECOND = 1000
STEP_BACK = 15 * SEC  # in the guard's decisions
RESTARTED_AT = 110 * SEC


def received(stamp: int, kind: Kind = Kind.PING, seq: int = 0) -> Received:
    """Returns a datagram of `a`."""
    return Received(("10.0.0.3", 3), stamp, Message(kind, "a", seq), 100)


def guard_of_restarted() -> ReplayGuard:
    """Returns a guard to which a restarted process has just proven itself.

    The stamps of the earlier process were the guard's own time, those of the present one are behind it.
    """
    guard = ReplayGuard("me", 1000, Counter())
    guard.ping_sent(100 * SEC, 7)
    assert guard.admit(100 * SEC, received(100 * SEC, Kind.ACK, 7)).accepted
    for second in range(101, 111):
        assert guard.admit(second * SEC, received(second * SEC, Kind.SYNC)).accepted
    first = RESTARTED_AT - STEP_BACK
    challenged = guard.admit(RESTARTED_AT, received(first - 1, Kind.SYNC))
    assert challenged.accepted == () and challenged.reply is not None
    proof = guard.admit(RESTARTED_AT, received(first, Kind.ACK, challenged.reply.seq))
    assert [r.stamp for r in proof.accepted] == [first - 1]
    return guard


def test_what_was_accepted_from_the_earlier_process_is_never_accepted_again() -> None:
    guard = guard_of_restarted()
    for now in range(RESTARTED_AT, RESTARTED_AT + STEP_BACK + MAX_SKEW_US, SEC // 2):
        for second in range(100, 111):
            assert guard.admit(now, received(second * SEC, Kind.SYNC)) == REJECTED


@pytest.mark.parametrize(
    ("skew", "is_accepted"),
    [
        (0, True),
        (MAX_TRANSIT_US, True),
        (-MAX_TRANSIT_US, True),
        (MAX_TRANSIT_US + 1, False),
        (-MAX_TRANSIT_US - 1, False),
        (STEP_BACK, False),
    ],
)
def test_stamps_that_both_processes_can_have_must_be_the_present_ones(skew: int, is_accepted: bool) -> None:
    """What the earlier process has sent to others, or was lost, may be replayed."""
    guard = guard_of_restarted()
    now = RESTARTED_AT + 9 * SEC + SEC // 2
    present = now - STEP_BACK
    admission = guard.admit(now, received(present + skew, Kind.SYNC))
    assert bool(admission.accepted) is is_accepted
    if not is_accepted:
        assert admission.reply is not None
        assert guard.admit(now, received(present, Kind.ACK, admission.reply.seq)).accepted == ()


def test_stamps_above_those_of_the_earlier_process_may_differ_as_usual() -> None:
    now = RESTARTED_AT + 2 * STEP_BACK
    present = now - STEP_BACK
    for stamp in (RESTARTED_AT + 1, present, present + MAX_SKEW_US):
        assert guard_of_restarted().admit(now, received(stamp, Kind.SYNC)).accepted
    assert guard_of_restarted().admit(now, received(RESTARTED_AT, Kind.SYNC)) == REJECTED


def test_an_answer_that_others_overtook_makes_nothing_acceptable_twice() -> None:
    guard = guard_of_restarted()
    start = RESTARTED_AT + STEP_BACK + SEC
    guard.ping_sent(start, 8)
    arrivals = [start + number * MILLISECOND for number in range(WINDOW_SIZE + 1)]
    for now in arrivals:
        assert guard.admit(now, received(now - STEP_BACK, Kind.SYNC)).accepted
    end = arrivals[-1]
    guard.admit(end, received(start - STEP_BACK - 5, Kind.ACK, 8))
    for now in arrivals:
        assert guard.admit(end, received(now - STEP_BACK, Kind.SYNC)).accepted == ()


def test_a_stamp_that_may_have_been_forgotten_is_not_accepted_from_a_new_process() -> None:
    """More datagrams than are remembered came from the earlier one, in less time than the clock went back."""
    guard = ReplayGuard("me", 1000, Counter())
    start, forgotten = 100 * SEC, 50
    guard.ping_sent(start, 7)
    assert guard.admit(start, received(start, Kind.ACK, 7)).accepted
    stamps = [start + number * MILLISECOND for number in range(1, WINDOW_SIZE + forgotten)]
    for stamp in stamps:
        assert guard.admit(stamp, received(stamp, Kind.SYNC)).accepted
    now = stamps[-1] + SEC
    assert guard.admit(now, received(stamps[forgotten] - 2 * MILLISECOND - 1, Kind.SYNC)) == REJECTED
    assert guard.dropped == {"replay": 1}
    assert guard.admit(now, received(stamps[forgotten] + 1, Kind.SYNC)).accepted


def test_the_stamps_kept_of_earlier_processes_are_bounded() -> None:
    stamps = SenderStamps()
    for process in range(9):
        start = (1000 - 10 * process) * SEC
        stamps.begin("a", start, 0, 0)
        for number in range(WINDOW_SIZE):
            stamps.record("a", start + number + 1, 0)
    window = stamps.windows["a"]
    assert len(window.seen) <= WINDOW_SIZE and len(window.earlier) <= WINDOW_SIZE
    assert stamps.judge("a", 930 * SEC + 1, 0) != Verdict.FRESH
