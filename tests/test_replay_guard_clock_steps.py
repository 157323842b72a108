"""Restarts with the wall clock stepped back: the process is accepted at once, and no datagram twice."""

from __future__ import annotations

from collections import Counter
from functools import partial

import pytest
from virtual_fleet import (
    ATTACKER,
    EARLIER,
    N1_ADDRESS,
    NEW,
    SEC,
    Process,
    RecordedDatagram,
    VirtualFleet,
    settled_fleet,
)

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message
from balancer.fleet.membership.replay_guard import (
    REJECTED,
    Admission,
    ReceivedDatagram,
    ReplayGuard,
    SenderStamps,
)
from balancer.fleet.membership.stamp_window import MAX_SKEW_US, MAX_TRANSIT_US, WINDOW_SIZE, StampStatus

# Steps of the wall clock between two processes of the same name.
CLOCK_STEPS_BACK_S = (1, 2, 5, 6, 8, 10, 15, 25, 29, 31, 60, 3600)
# Time until all members accept the restarted process, which includes their next pings.
MAX_ACCEPTANCE_TIME_S = 2
# Time between two processes of the same name.
DOWNTIME_S = 0.4
# Interval between the datagrams of a busy process; ten times as long between replays.
DATAGRAM_INTERVAL_S = 0.05
RESTARTED_MEMBER = 4

# ---- on a virtual fleet ----------------------------------------------------------------------------------


def send_to_all(fleet: VirtualFleet, process: Process) -> None:
    """Send a message to each other process, as a component with frequent messages does."""
    for other in list(fleet.processes.values()):
        if other is not process:
            fleet.transmit(
                process, Message(Kind.ACK, process.name, 0, "", (process.swim.local_claim,)), other.address
            )


def run_process_until_killed(fleet: VirtualFleet, lifetime_s: float, is_busy: bool) -> Process:
    """Run the member that is to restart for a time, and kill it."""
    process = fleet.start(RESTARTED_MEMBER)
    end = fleet.now + lifetime_s * SEC
    while fleet.now < end:
        fleet.run(DATAGRAM_INTERVAL_S)
        if is_busy:
            send_to_all(fleet, process)
    return fleet.kill(RESTARTED_MEMBER)


# The elements are the lifetime in seconds and whether the process sends many datagrams.
PROCESS_LIFETIMES = [(0.5, False), (3, False), (40, False), (40, True)]


@pytest.mark.parametrize("step_back_s", CLOCK_STEPS_BACK_S)
@pytest.mark.parametrize(("lifetime_s", "is_busy"), PROCESS_LIFETIMES)
def test_process_with_clock_stepped_back_is_accepted_at_once(
    lifetime_s: float, is_busy: bool, step_back_s: int
) -> None:
    fleet = settled_fleet(NEW, NEW, NEW)
    run_process_until_killed(fleet, lifetime_s, is_busy)
    fleet.run(DOWNTIME_S)
    previous_counts = {p.name: len(p.changes) for p in fleet.processes.values()}
    restarted = fleet.start(RESTARTED_MEMBER, offset=-step_back_s * SEC)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), MAX_ACCEPTANCE_TIME_S)
    fleet.run(step_back_s if step_back_s <= 60 else 5)
    assert fleet.complete()
    changes = [c for p in fleet.processes.values() for c in p.changes[previous_counts.get(p.name, 0) :]]
    assert {change.value for change, _ in changes} <= {"join", "alive", "refuted"}


@pytest.mark.parametrize("step_back_s", [5, 10, 29])
def test_repeated_clock_steps_back_do_not_delay_acceptance(step_back_s: int) -> None:
    fleet = settled_fleet(NEW, NEW, NEW)
    for restarts in range(5):
        restarted = fleet.start(RESTARTED_MEMBER, offset=-restarts * step_back_s * SEC)
        is_accepted = partial(fleet.accepted_by_all, restarted)
        assert fleet.until(is_accepted, MAX_ACCEPTANCE_TIME_S), restarts
        fleet.run(DOWNTIME_S)
        fleet.kill(RESTARTED_MEMBER)


@pytest.mark.parametrize("step_back_s", [5, 10, 15, 25])
def test_earlier_version_with_clock_stepped_back_is_accepted(step_back_s: int) -> None:
    fleet = settled_fleet(NEW, NEW, NEW)
    fleet.start(RESTARTED_MEMBER, EARLIER)
    fleet.run(3)
    fleet.kill(RESTARTED_MEMBER)
    fleet.run(DOWNTIME_S)
    restarted = fleet.start(RESTARTED_MEMBER, EARLIER, -step_back_s * SEC)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), MAX_ACCEPTANCE_TIME_S)


def accepted_stamps(process: Process) -> list[int]:
    """Return a list to which the stamps of datagrams from the restarted member are added on acceptance."""
    stamps: list[int] = []
    admit = process.guard.admit

    def recording_admit(now: int, received: ReceivedDatagram) -> Admission:
        admission = admit(now, received)
        stamps.extend(r.stamp for r in admission.accepted if r.message.sender == f"n{RESTARTED_MEMBER}")
        return admission

    process.guard.admit = recording_admit  # type: ignore[method-assign]
    return stamps


def stamps_of(process: Process, recorded: list[RecordedDatagram]) -> set[int]:
    """Return the stamps of recorded datagrams."""
    stamped = [process.codec.read(r.data) for r in recorded]
    return {s.stamp for s in stamped if s is not None}


@pytest.mark.parametrize("source", [None, ATTACKER])
@pytest.mark.parametrize("step_back_s", [step for step in CLOCK_STEPS_BACK_S if step <= 60])
@pytest.mark.parametrize(("lifetime_s", "is_busy"), PROCESS_LIFETIMES)
def test_replayed_datagrams_of_earlier_process_are_rejected(
    lifetime_s: float, is_busy: bool, step_back_s: int, source: Address | None
) -> None:
    """The datagrams are replayed continuously, also while the new process has the same stamps."""
    fleet = settled_fleet(NEW, NEW, NEW)
    run_process_until_killed(fleet, lifetime_s, is_busy)
    fleet.run(DOWNTIME_S)
    recorded = [r for r in fleet.recorded if r.source[1] == RESTARTED_MEMBER and r.to == N1_ADDRESS]
    restarted = fleet.start(RESTARTED_MEMBER, offset=-step_back_s * SEC)
    stamps = accepted_stamps(fleet.processes[N1_ADDRESS])
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), MAX_ACCEPTANCE_TIME_S)
    end = fleet.now + (step_back_s + 2) * SEC
    while fleet.now < end:
        fleet.run(10 * DATAGRAM_INTERVAL_S)
        fleet.replay(N1_ADDRESS, recorded[-2 * WINDOW_SIZE :], source)
    earlier_stamps = stamps_of(fleet.processes[N1_ADDRESS], recorded)
    assert stamps and not earlier_stamps & set(stamps) and fleet.complete()


# ---- the guard's decisions -------------------------------------------------------------------------------

MILLISECOND_US = 1000
CLOCK_STEP_BACK_US = 15 * SEC
RESTARTED_AT_US = 110 * SEC


def received(stamp: int, kind: Kind = Kind.PING, seq: int = 0) -> ReceivedDatagram:
    """Return a received datagram of the sender `a`."""
    return ReceivedDatagram(("10.0.0.3", 3), stamp, Message(kind, "a", seq), 100)


def guard_after_restart() -> ReplayGuard:
    """Return a guard to which a restarted process has just proven that it is live.

    The stamps of the earlier process were equal to the guard's time; those of the current process are lower
    by the step of the clock.
    """
    guard = ReplayGuard("me", 1000, Counter())
    guard.record_ping(100 * SEC, 7)
    assert guard.admit(100 * SEC, received(100 * SEC, Kind.ACK, 7)).accepted
    for second in range(101, 111):
        assert guard.admit(second * SEC, received(second * SEC, Kind.SYNC)).accepted
    first_stamp = RESTARTED_AT_US - CLOCK_STEP_BACK_US
    challenged = guard.admit(RESTARTED_AT_US, received(first_stamp - 1, Kind.SYNC))
    assert challenged.accepted == () and challenged.reply is not None
    proof = guard.admit(RESTARTED_AT_US, received(first_stamp, Kind.ACK, challenged.reply.seq))
    assert [r.stamp for r in proof.accepted] == [first_stamp - 1]
    return guard


def test_stamps_accepted_from_earlier_process_stay_rejected() -> None:
    guard = guard_after_restart()
    for now in range(RESTARTED_AT_US, RESTARTED_AT_US + CLOCK_STEP_BACK_US + MAX_SKEW_US, SEC // 2):
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
        (CLOCK_STEP_BACK_US, False),
    ],
)
def test_overlapping_stamps_must_be_close_to_expected_stamp(skew: int, is_accepted: bool) -> None:
    """Guards against replays of datagrams that the earlier process sent to others or that were lost."""
    guard = guard_after_restart()
    now = RESTARTED_AT_US + 9 * SEC + SEC // 2
    expected_stamp = now - CLOCK_STEP_BACK_US
    admission = guard.admit(now, received(expected_stamp + skew, Kind.SYNC))
    assert bool(admission.accepted) is is_accepted
    if not is_accepted:
        assert admission.reply is not None
        assert guard.admit(now, received(expected_stamp, Kind.ACK, admission.reply.seq)).accepted == ()


def test_stamps_above_overlap_may_differ_up_to_max_skew() -> None:
    now = RESTARTED_AT_US + 2 * CLOCK_STEP_BACK_US
    expected_stamp = now - CLOCK_STEP_BACK_US
    for stamp in (RESTARTED_AT_US + 1, expected_stamp, expected_stamp + MAX_SKEW_US):
        assert guard_after_restart().admit(now, received(stamp, Kind.SYNC)).accepted
    assert guard_after_restart().admit(now, received(RESTARTED_AT_US, Kind.SYNC)) == REJECTED


def test_overtaken_ping_answer_does_not_readmit_datagrams() -> None:
    guard = guard_after_restart()
    start = RESTARTED_AT_US + CLOCK_STEP_BACK_US + SEC
    guard.record_ping(start, 8)
    arrivals = [start + number * MILLISECOND_US for number in range(WINDOW_SIZE + 1)]
    for now in arrivals:
        assert guard.admit(now, received(now - CLOCK_STEP_BACK_US, Kind.SYNC)).accepted
    end = arrivals[-1]
    guard.admit(end, received(start - CLOCK_STEP_BACK_US - 5, Kind.ACK, 8))
    for now in arrivals:
        assert guard.admit(end, received(now - CLOCK_STEP_BACK_US, Kind.SYNC)).accepted == ()


def test_possibly_forgotten_stamp_is_rejected_after_restart() -> None:
    """The earlier process has sent more datagrams than the window remembers.

    It sent them in less time than the clock was stepped back.
    """
    guard = ReplayGuard("me", 1000, Counter())
    start, forgotten_count = 100 * SEC, 50
    guard.record_ping(start, 7)
    assert guard.admit(start, received(start, Kind.ACK, 7)).accepted
    stamps = [start + number * MILLISECOND_US for number in range(1, WINDOW_SIZE + forgotten_count)]
    for stamp in stamps:
        assert guard.admit(stamp, received(stamp, Kind.SYNC)).accepted
    now = stamps[-1] + SEC
    assert guard.admit(now, received(stamps[forgotten_count] - 2 * MILLISECOND_US - 1, Kind.SYNC)) == REJECTED
    assert guard.dropped == {"replay": 1}
    assert guard.admit(now, received(stamps[forgotten_count] + 1, Kind.SYNC)).accepted


def test_stamps_of_earlier_processes_are_bounded() -> None:
    stamps = SenderStamps()
    for process in range(9):
        start = (1000 - 10 * process) * SEC
        stamps.begin("a", start, 0, 0)
        for number in range(WINDOW_SIZE):
            stamps.record("a", start + number + 1, 0)
    window = stamps.windows["a"]
    assert len(window.current_stamps) <= WINDOW_SIZE and len(window.previous_stamps) <= WINDOW_SIZE
    assert stamps.classify("a", 930 * SEC + 1, 0) != StampStatus.FRESH
