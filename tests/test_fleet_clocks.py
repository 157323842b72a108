"""Wall clocks are stepped, datagrams are recorded and replayed, versions mix: membership goes on."""

from random import Random

import pytest
from virtual_fleet import HOUR, SEC, EarlierProcess, Process, VirtualFleet, view

from brackenladder.fleet.clocks import Clocks
from brackenladder.fleet.membership import replay_guard
from brackenladder.fleet.membership.messages import Accusation, Accusations
from brackenladder.fleet.membership.replay_guard import Received, ReplayGuard, StampWindow, Verdict
from brackenladder.fleet.membership.swim import Claim, Kind, Message, Status, Swim

STEPS = (-HOUR, -5 * SEC, 5 * SEC, HOUR)
NEW, EARLIER = Process, EarlierProcess
KINDS = [(NEW, NEW, NEW, NEW), (NEW, EARLIER, NEW, EARLIER)]
ATTACKER = ("10.9.9.9", 9)
HERE = ("10.0.0.1", 1)


def settled(*kinds):
    """A fleet whose members know one another, and have all proven themselves."""
    fleet = VirtualFleet(*kinds)
    assert fleet.until(fleet.complete, 20)
    fleet.run(20)
    return fleet


def changes_since(fleet, count):
    return [c for p in fleet.processes.values() for c in p.changes[count[p.name] :]]


def changes_so_far(fleet):
    return {p.name: len(p.changes) for p in fleet.processes.values()}


# ---- steps ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("kinds", KINDS)
def test_a_step_on_a_running_process_changes_nothing(kinds, step):
    fleet = settled(*kinds)
    before, refused = changes_so_far(fleet), fleet.processes[HERE].codec.dropped.copy()
    fleet.processes[HERE].offset += step
    fleet.run(60)
    assert changes_since(fleet, before) == [] and fleet.complete()
    assert fleet.processes[HERE].codec.dropped == refused
    assert all(p.codec.dropped["clock"] == 0 for p in fleet.processes.values())


def test_all_clocks_differ_and_all_members_meet():
    fleet = VirtualFleet()
    for number, offset in enumerate((0, HOUR, -HOUR, 24 * HOUR), start=1):
        fleet.start(number, offset=offset)
    assert fleet.until(fleet.complete, 10)


@pytest.mark.parametrize("step", [-25 * SEC, 25 * SEC])
def test_an_earlier_version_s_stepped_clock_is_heard_on(step):
    """Its stamps stand still after a step back, and leap after one forward: it proves itself again."""
    fleet = settled(NEW, NEW, EARLIER)
    before = changes_so_far(fleet)
    fleet.processes["10.0.0.1", 3].offset += step
    fleet.run(120)
    assert changes_since(fleet, before) == [] and fleet.complete()


def test_stamps_and_incarnations_do_not_step_within_a_life(tmp_path):
    file = tmp_path / "offset"
    file.write_text("0")
    clocks = Clocks(str(file))
    first = clocks.stamp()
    for step in ("-3600000", "3600000", "0"):
        file.write_text(step)
        before, stamp, after = clocks.now(), clocks.stamp(), clocks.now()
        assert before <= stamp - clocks.started_wall + clocks.started <= after and stamp >= first
        assert abs(clocks.wall() - stamp - int(step) * 1000) < HOUR // 2


# ---- replays --------------------------------------------------------------------------------------------


def test_what_was_recorded_moves_no_view_of_a_running_process():
    fleet = settled(NEW, NEW, NEW)
    recorded = list(fleet.recorded)
    fleet.run(60)
    target = fleet.processes[HERE]
    before = view(target), target.swim.me
    assert fleet.replay(HERE, recorded) == 0 and fleet.replay(HERE, recorded, ATTACKER) == 0
    fleet.run(5)
    assert (view(target), target.swim.me) == before and fleet.complete()


@pytest.mark.parametrize("source", [None, ATTACKER])
def test_what_was_recorded_moves_no_view_of_a_process_that_has_just_started(source):
    """Among the recorded: a member that is gone for long. It does not come back to life."""
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(200)
    recorded = [r for r in fleet.recorded if r[0] < fleet.now - 7 * SEC]
    fresh = fleet.start(5)
    fleet.kill(1)
    fleet.kill(2)
    fleet.kill(3)
    assert fleet.replay(fresh.address, recorded, source) == 0 and view(fresh) == {}
    assert len(fresh.guard.challenges) <= 4
    # Now with those alive that can answer its challenges: what is old by their own clocks is refused.
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(200)
    recorded = [r for r in fleet.recorded if r[0] < fleet.now - 7 * SEC]
    fresh = fleet.start(5)
    assert fleet.replay(fresh.address, recorded, source) == 0
    for _ in range(20):
        fleet.run(0.05)
        assert fleet.replay(fresh.address, recorded, source) == 0
    assert "n4" not in view(fresh) and set(view(fresh)) <= {"n1", "n2", "n3"}


def test_a_forgotten_sender_s_datagrams_do_not_bring_it_back():
    fleet = settled(NEW, NEW, NEW)
    fleet.kill(3)
    recorded = [r for r in fleet.recorded if r[1] == ("10.0.0.1", 3)]
    fleet.run(200)
    target = fleet.processes[HERE]
    assert "n3" not in target.swim.members and "n3" not in target.guard.senders.windows
    assert fleet.replay(HERE, recorded) == 0 and fleet.replay(HERE, recorded, ATTACKER) == 0
    fleet.run(5)
    assert set(view(target)) == {"n2"}


def proven(now=100 * SEC, stamp=5 * SEC, **more):
    """A guard that knows `a`, by a challenge that took no time."""
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    challenge = guard.admit(now, received("a", stamp, **more)).answer
    assert challenge.kind == Kind.PING and challenge.claims == ()
    return guard, guard.admit(now, received("a", stamp + 1, Kind.ACK, challenge.seq, claims=()))


ALIVE = Claim("x", ("10.0.0.7", 7), Status.ALIVE, 1)


def received(sender, stamp, kind=Kind.PING, seq=0, claims=(ALIVE,), source=("10.0.0.3", 3), size=100):
    return Received(source, stamp, Message(kind, sender, seq, "", claims), size)


def test_a_datagram_is_held_until_its_sender_has_answered():
    guard, admission = proven()
    assert [r.stamp for r in admission.accepted] == [5 * SEC] and admission.answer is None
    assert guard.challenges == {} and guard.by_source == {} and guard.held_bytes == 0
    assert guard.admit(101 * SEC, received("a", 6 * SEC)).accepted
    assert guard.admit(101 * SEC, received("a", 6 * SEC)) == replay_guard.REFUSED
    assert guard.dropped == {"replay": 1}


@pytest.mark.parametrize(
    ("age", "taken"), [(1, True), (replay_guard.MAX_TRANSIT, True), (replay_guard.MAX_TRANSIT + 2, False)]
)
def test_what_was_old_when_its_sender_proved_itself_is_refused(age, taken):
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    challenge = guard.admit(SEC, received("a", 100 * SEC - age)).answer
    answer = guard.admit(SEC, received("a", 100 * SEC, Kind.ACK, challenge.seq))
    assert bool(answer.accepted) is taken
    assert guard.admit(SEC, received("a", 100 * SEC - 1 - replay_guard.MAX_TRANSIT)).accepted == ()


@pytest.mark.parametrize(
    "answer",
    [
        received("a", 6 * SEC, Kind.ACK, 999),  # not the challenge's number
        received("b", 6 * SEC, Kind.ACK, 1001),  # another's answer
        received("a", 6 * SEC, Kind.SYNC, 1001),  # no answer
    ],
)
def test_nothing_else_is_proof(answer):
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    assert guard.admit(SEC, received("a", 5 * SEC)).answer.seq == 1001
    assert guard.admit(SEC, answer).accepted == () and guard.senders.windows == {}


def test_an_ack_of_an_own_ping_is_proof_for_a_while():
    for passed, taken in ((replay_guard.PROOF_WITHIN, True), (replay_guard.PROOF_WITHIN + 1, False)):
        guard = ReplayGuard("me", 1000, replay_guard.Counter())
        guard.ping_sent(SEC, 77)
        assert bool(guard.admit(SEC + passed, received("a", 9 * SEC, Kind.ACK, 77)).accepted) is taken


def test_a_late_answer_is_none():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    challenge = guard.admit(SEC, received("a", 5 * SEC)).answer
    late = SEC + replay_guard.PROOF_WITHIN + 1
    assert guard.admit(late, received("a", 9 * SEC, Kind.ACK, challenge.seq)) == replay_guard.REFUSED
    assert guard.dropped == {"unproven": 2} and guard.senders.windows == {} and guard.held_bytes == 0


def test_a_challenge_of_another_is_echoed_and_changes_nothing():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    admission = guard.admit(SEC, received("b", 7, seq=42, claims=()))
    assert admission.answer == Message(Kind.ACK, "me", 42) and admission.accepted == ()
    assert guard.senders.windows == {} and guard.challenges == {}


def test_a_process_s_own_datagrams_are_no_news_to_it():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    assert guard.admit(SEC, received("me", 5)) == replay_guard.REFUSED and guard.dropped == {"replay": 1}


def test_a_challenge_is_repeated_and_what_waits_is_bounded():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    answers = [guard.admit(SEC + i, received("a", 5 * SEC + i)).answer for i in range(10)]
    assert [a.seq for a in answers if a] == [1001]
    assert guard.admit(SEC + replay_guard.CHALLENGE_AGAIN, received("a", 6 * SEC)).answer.seq == 1001
    assert len(guard.challenges[1001].held) == replay_guard.MAX_HELD and guard.dropped == {"unproven": 7}
    # An attacker that sends another's datagrams from its own address keeps nobody from proving itself.
    assert guard.admit(SEC, received("a", 5 * SEC, source=ATTACKER)).answer.seq == 1002
    for number in range(2000):
        guard.admit(SEC, received(f"made up {number}", 5, size=1200))
    assert len(guard.challenges) == len(guard.by_source) == replay_guard.MAX_CHALLENGES
    held = [h.size for c in guard.challenges.values() for h in c.held]
    assert sum(held) == guard.held_bytes <= replay_guard.MAX_HELD_BYTES


def test_what_is_kept_of_senders_is_bounded(monkeypatch):
    monkeypatch.setattr(replay_guard, "MAX_SENDERS", 3)
    stamps = replay_guard.SenderStamps()
    for number in range(9):
        stamps.begin(f"n{number}", 5, SEC, 0)
    assert list(stamps.windows) == ["n6", "n7", "n8"]
    guard = ReplayGuard("me", 1, replay_guard.Counter())
    for seq in range(replay_guard.MAX_PINGS + 9):
        guard.ping_sent(SEC, seq)
    assert len(guard.pings) == replay_guard.MAX_PINGS and 0 not in guard.pings


@pytest.mark.parametrize(
    ("stamp", "verdict"),
    [
        (100 * SEC, Verdict.REPLAY),  # the newest itself
        (100 * SEC + 1, Verdict.FRESH),
        (110 * SEC + replay_guard.MAX_SKEW, Verdict.FRESH),
        (110 * SEC + replay_guard.MAX_SKEW + 1, Verdict.DISTANT),
        (100 * SEC - 3, Verdict.FRESH),  # overtaken
        (90 * SEC, Verdict.FRESH),
        (90 * SEC - 1, Verdict.REPLAY),  # before the sender had proven itself
        (110 * SEC - replay_guard.MAX_SKEW - 1, Verdict.DISTANT),
    ],
)
def test_stamps_are_judged_by_their_sender_s_own(stamp, verdict):
    window = StampWindow(99 * SEC, 8 * SEC, floor=90 * SEC)
    window.record(100 * SEC, 10 * SEC)
    assert window.judge(stamp, 20 * SEC) == verdict


def test_a_stamp_behind_a_full_window_is_refused():
    window = StampWindow(0, 0)
    for stamp in range(1, replay_guard.WINDOW + 2):
        window.record(stamp, 0)
    assert window.judge(1, 0) == Verdict.REPLAY and len(window.seen) == replay_guard.WINDOW


def member(name, number, incarnation):
    return Swim(name, ("10.0.0.1", number), incarnation, [], Random(number), SEC)


def test_suspicions_of_a_stranger_are_no_news():
    """Failure prevented: a process of another zone answers a challenge with its zone's suspicions."""
    swim = member("a", 1, 1)
    suspect = Claim("z", ("10.0.0.9", 9), Status.SUSPECT, 3)
    swim.receive(SEC, ("10.0.0.8", 8), Accusations("other", (Accusation(suspect, ("other",)),)))
    assert swim.members == {}
