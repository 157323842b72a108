"""Wall clocks are stepped, datagrams are recorded and replayed, versions mix: membership goes on."""

import json
import os
import socket
import subprocess
import sys
import time
import urllib.request
from contextlib import contextmanager
from random import Random

import pytest
from loopback import PATIENCE, settings
from test_duties import Members
from test_fleet import free_udp, section
from virtual_fleet import HOUR, SEC, EarlierProcess, Process, VirtualFleet, view

from balancer.fleet.clocks import Clocks
from balancer.fleet.membership import replay_guard
from balancer.fleet.membership.messages import Accusation, Accusations
from balancer.fleet.membership.replay_guard import Received, ReplayGuard, StampWindow, Verdict
from balancer.fleet.membership.swim import Claim, Kind, Message, Status, Swim
from balancer.fleet.rolling_update.decisions import Replacement
from balancer.fleet.rolling_update.messages import Plan, ReplaceKind, ReplaceMessage, State

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


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("away", [3, 200])  # seconds: not missed yet; forgotten
def test_a_process_that_restarts_with_a_step_is_believed_at_once(step, away):
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(away)
    again = fleet.start(4, offset=step)
    before = changes_so_far(fleet)
    assert fleet.until(lambda: fleet.believed(again), 4)
    fleet.run(30)
    assert fleet.complete() and not {"suspect", "dead"} & {c for c, _ in changes_since(fleet, before)}


@pytest.mark.parametrize("step", [-20 * SEC, -5 * SEC, 5 * SEC, 20 * SEC])
def test_a_restart_among_earlier_versions_works_as_far_as_their_slack_goes(step):
    for kind in (NEW, EARLIER):
        fleet = settled(NEW, EARLIER, NEW, EARLIER)
        fleet.kill(4)
        fleet.run(3)
        again = fleet.start(4, kind, step)
        assert fleet.until(lambda f=fleet, a=again: f.believed(a), 15)


def test_a_seed_too_comes_back_with_its_clock_in_the_past():
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(1)
    fleet.run(3)
    again = fleet.start(1, offset=-HOUR)
    assert fleet.until(lambda: fleet.believed(again), 4)


def test_a_fast_life_is_followed_by_a_right_one_again_and_again():
    """Failure prevented: each life goes above the last by more, and one day none can."""
    fleet = settled(NEW, NEW, NEW)
    highest = fleet.processes[HERE].wall() + HOUR + 120 * SEC
    for life in range(6):
        fleet.kill(3)
        fleet.run(3)
        again = fleet.start(3, offset=HOUR if life % 2 == 0 else 0)
        assert fleet.until(lambda again=again: fleet.believed(again), 4), life
        assert again.swim.me.incarnation < highest


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


@pytest.mark.parametrize("step", STEPS)
def test_an_earlier_life_s_datagrams_move_nothing_once_the_next_has_proven_itself(step):
    fleet = settled(NEW, NEW, NEW)
    fleet.kill(3)
    recorded = [r for r in fleet.recorded if r[1] == ("10.0.0.1", 3)]
    fleet.run(40)
    again = fleet.start(3, offset=step)
    assert fleet.until(lambda: fleet.believed(again), 10)
    for source in (None, ATTACKER):
        fleet.replay(HERE, recorded, source)
        fleet.run(1)
    before = changes_so_far(fleet)
    fleet.run(30)
    assert fleet.complete() and changes_since(fleet, before) == []
    assert fleet.processes[HERE].swim.members["n3"].claim == again.swim.me


def proven(now=100 * SEC, stamp=5 * SEC, **more):
    """A guard that knows `a`, by a challenge that took no time."""
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    challenge = guard.admit(now, received("a", stamp, **more)).reply
    assert challenge.kind == Kind.PING and challenge.claims == ()
    return guard, guard.admit(now, received("a", stamp + 1, Kind.ACK, challenge.seq, claims=()))


ALIVE = Claim("x", ("10.0.0.7", 7), Status.ALIVE, 1)


def received(sender, stamp, kind=Kind.PING, seq=0, claims=(ALIVE,), source=("10.0.0.3", 3), size=100):
    return Received(source, stamp, Message(kind, sender, seq, "", claims), size)


def test_a_datagram_is_held_until_its_sender_has_answered():
    guard, admission = proven()
    assert [r.stamp for r in admission.accepted] == [5 * SEC] and admission.reply is None
    assert guard.challenges == {} and guard.challenges_by_source == {} and guard.buffered_bytes == 0
    assert guard.admit(101 * SEC, received("a", 6 * SEC)).accepted
    assert guard.admit(101 * SEC, received("a", 6 * SEC)) == replay_guard.REJECTED
    assert guard.dropped == {"replay": 1}


@pytest.mark.parametrize(
    ("age", "taken"),
    [(1, True), (replay_guard.MAX_TRANSIT_US, True), (replay_guard.MAX_TRANSIT_US + 2, False)],
)
def test_what_was_old_when_its_sender_proved_itself_is_refused(age, taken):
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    challenge = guard.admit(SEC, received("a", 100 * SEC - age)).reply
    answer = guard.admit(SEC, received("a", 100 * SEC, Kind.ACK, challenge.seq))
    assert bool(answer.accepted) is taken
    assert guard.admit(SEC, received("a", 100 * SEC - 1 - replay_guard.MAX_TRANSIT_US)).accepted == ()


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
    assert guard.admit(SEC, received("a", 5 * SEC)).reply.seq == 1001
    assert guard.admit(SEC, answer).accepted == () and guard.senders.windows == {}


def test_an_ack_of_an_own_ping_is_proof_for_a_while():
    for passed, taken in ((replay_guard.PROOF_TIMEOUT_US, True), (replay_guard.PROOF_TIMEOUT_US + 1, False)):
        guard = ReplayGuard("me", 1000, replay_guard.Counter())
        guard.ping_sent(SEC, 77)
        assert bool(guard.admit(SEC + passed, received("a", 9 * SEC, Kind.ACK, 77)).accepted) is taken


def test_a_late_answer_is_none():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    challenge = guard.admit(SEC, received("a", 5 * SEC)).reply
    late = SEC + replay_guard.PROOF_TIMEOUT_US + 1
    assert guard.admit(late, received("a", 9 * SEC, Kind.ACK, challenge.seq)) == replay_guard.REJECTED
    assert guard.dropped == {"unproven": 2} and guard.senders.windows == {} and guard.buffered_bytes == 0


def test_a_challenge_of_another_is_echoed_and_changes_nothing():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    admission = guard.admit(SEC, received("b", 7, seq=42, claims=()))
    assert admission.reply == Message(Kind.ACK, "me", 42) and admission.accepted == ()
    assert guard.senders.windows == {} and guard.challenges == {}


def test_a_process_s_own_datagrams_are_no_news_to_it():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    assert guard.admit(SEC, received("me", 5)) == replay_guard.REJECTED and guard.dropped == {"replay": 1}


def test_a_challenge_is_repeated_and_what_waits_is_bounded():
    guard = ReplayGuard("me", 1000, replay_guard.Counter())
    answers = [guard.admit(SEC + i, received("a", 5 * SEC + i)).reply for i in range(10)]
    assert [a.seq for a in answers if a] == [1001]
    assert guard.admit(SEC + replay_guard.CHALLENGE_RETRY_US, received("a", 6 * SEC)).reply.seq == 1001
    assert len(
        guard.challenges[1001].buffered
    ) == replay_guard.MAX_BUFFERED_PER_CHALLENGE and guard.dropped == {"unproven": 7}
    # An attacker that sends another's datagrams from its own address keeps nobody from proving itself.
    assert guard.admit(SEC, received("a", 5 * SEC, source=ATTACKER)).reply.seq == 1002
    for number in range(2000):
        guard.admit(SEC, received(f"made up {number}", 5, size=1200))
    assert len(guard.challenges) == len(guard.challenges_by_source) == replay_guard.MAX_CHALLENGES
    held = [h.size for c in guard.challenges.values() for h in c.buffered]
    assert sum(held) == guard.buffered_bytes <= replay_guard.MAX_BUFFERED_BYTES


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
        (110 * SEC + replay_guard.MAX_SKEW_US, Verdict.FRESH),
        (110 * SEC + replay_guard.MAX_SKEW_US + 1, Verdict.DISTANT),
        (100 * SEC - 3, Verdict.FRESH),  # overtaken
        (90 * SEC, Verdict.FRESH),
        (90 * SEC - 1, Verdict.REPLAY),  # before the sender had proven itself
        (110 * SEC - replay_guard.MAX_SKEW_US - 1, Verdict.DISTANT),
    ],
)
def test_stamps_are_judged_by_their_sender_s_own(stamp, verdict):
    window = StampWindow(99 * SEC, 8 * SEC, floor=90 * SEC)
    window.record(100 * SEC, 10 * SEC)
    assert window.judge(stamp, 20 * SEC) == verdict


def test_a_stamp_behind_a_full_window_is_refused():
    window = StampWindow(0, 0)
    for stamp in range(1, replay_guard.WINDOW_SIZE + 2):
        window.record(stamp, 0)
    assert window.judge(1, 0) == Verdict.REPLAY and len(window.seen) == replay_guard.WINDOW_SIZE


# ---- incarnations ---------------------------------------------------------------------------------------


def member(name, number, incarnation):
    return Swim(name, ("10.0.0.1", number), incarnation, [], Random(number), SEC)


@pytest.mark.parametrize("status", list(Status))
@pytest.mark.parametrize(("told", "becomes"), [(9, 5), (10, 6), (3, None)])
def test_a_life_goes_just_above_what_is_told_of_an_earlier_one(status, told, becomes):
    swim = member("a", 1, 5)
    swim.accept(SEC, Claim("a", ("10.0.0.1", 1), status, told))
    assert swim.me.incarnation == (told + 1 if becomes else 5) and swim.me.status == Status.ALIVE


@pytest.mark.parametrize("kind", [Kind.PING, Kind.SYNC, Kind.ACK])
@pytest.mark.parametrize("status", [Status.ALIVE, Status.DEAD, Status.LEFT])
def test_whoever_says_less_of_itself_than_is_held_is_told_so(kind, status):
    swim, again = member("a", 1, 1), member("b", 2, 5)
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), Status.ALIVE, 9))
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), status, 9))
    sends = swim.receive(SEC, ("10.0.0.1", 2), Message(kind, "b", 0, "", (again.me,)))
    for send in sends:
        again.receive(SEC, ("10.0.0.1", 1), send.message)
    assert again.me.incarnation == 10
    swim.receive(SEC, ("10.0.0.1", 2), Message(Kind.PING, "b", 0, "", (again.me,)))
    assert swim.status("b") == Status.ALIVE and swim.members["b"].claim == again.me


def test_whoever_says_as_much_of_itself_as_is_held_is_told_nothing():
    swim = member("a", 1, 1)
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), Status.ALIVE, 9))
    for incarnation in (9, 10):
        claim = Claim("b", ("10.0.0.1", 2), Status.ALIVE, incarnation)
        assert swim.receive(SEC, ("10.0.0.1", 2), Message(Kind.ACK, "b", 0, "", (claim,))) == []


def test_suspicions_of_a_stranger_are_no_news():
    """Failure prevented: a process of another zone answers a challenge with its zone's suspicions."""
    swim = member("a", 1, 1)
    suspect = Claim("z", ("10.0.0.9", 9), Status.SUSPECT, 3)
    swim.receive(SEC, ("10.0.0.8", 8), Accusations("other", (Accusation(suspect, ("other",)),)))
    assert swim.members == {}


# ---- replacements ---------------------------------------------------------------------------------------


def replacement(name, life, started):
    return Replacement(name, "here", life, Members(), started)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(("started", "old"), [(50, True), (100, True), (101, False), (150, False)])
def test_old_and_new_are_told_by_real_time(step, started, old):
    """A plan begun at second 100; a process started at another, its clock stepped; both of their monotonic
    clocks begin somewhere."""
    leader = replacement("z", 1, 10 * SEC)
    leader.begin(wall=100 * SEC, most=1, now=100 * SEC)
    other = replacement("a", started * SEC + step, started * SEC - 7 * SEC)
    asked = leader.message(160 * SEC, ReplaceKind.PLAN, leader.plan, 3)
    [(_, report)] = other.received(153 * SEC, asked)
    leader.received(160 * SEC, report)
    assert (leader.reports["a"].life <= leader.plan.number) is old
    other.received(153 * SEC, leader.message(160 * SEC, ReplaceKind.GO, leader.plan, 3))
    assert other.leaving is old


def test_the_plan_s_age_goes_from_holder_to_holder():
    first, second, third = (replacement(n, 1, s * SEC) for n, s in (("a", 1), ("b", 200), ("c", 90)))
    first.begin(wall=5, most=1, now=100 * SEC)
    second.received(300 * SEC, first.message(300 * SEC, ReplaceKind.PLAN, first.plan, 3))
    third.received(400 * SEC, second.message(400 * SEC, ReplaceKind.PLAN, second.plan, 4))
    assert (first.is_old(first.plan), second.is_old(first.plan), third.is_old(first.plan)) == (1, 0, 1)
    # A datagram that was 20 s on its way says less than what is known.
    third.received(420 * SEC, second.message(400 * SEC, ReplaceKind.PLAN, second.plan, 4))
    assert third.plan_begun == 100 * SEC


@pytest.mark.parametrize(("life", "goes"), [(500, True), (2000, False)])
def test_a_plan_of_an_earlier_version_is_judged_by_numbers(life, goes):
    process = replacement("a", life, SEC)
    plan = Plan(1000, 1, 1, State.RUNS)
    [(_, report)] = process.received(SEC, ReplaceMessage(ReplaceKind.PLAN, "z", plan, 1, 7))
    assert report.life == life and report.plan_age is None
    process.received(SEC, ReplaceMessage(ReplaceKind.GO, "z", plan, 1, 7))
    assert process.leaving is goes


def test_a_plan_after_a_step_back_takes_the_place_of_the_last():
    process = replacement("a", 1, SEC)
    process.begin(wall=HOUR, most=1, now=2 * SEC)
    process.change(State.STOPPED)
    last = process.plan
    assert process.begin(wall=5, most=1, now=3 * SEC).newer(last)


# ---- real processes -------------------------------------------------------------------------------------


@contextmanager
def running(folder, name, port, page_port, seeds, offset_ms):
    """A process of the node on loopback whose wall clock is off; gives a reader of its page."""
    folder = folder / name
    folder.mkdir(exist_ok=True)
    clock = folder / "clock"
    clock.write_text(str(offset_ms))
    fleet = section(
        folder,
        listen=f"127.0.0.1:{port}",
        seeds=[f"127.0.0.1:{s}" for s in seeds],
        period_ms=200,
        lab={"clock_file": str(clock)},
    )
    table = {"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "fleet": fleet}
    table |= {"management": f"127.0.0.1:{page_port}", "settings": settings()}
    (folder / "config.json").write_text(json.dumps(table))
    env = os.environ | {"LB_CONFIG": str(folder / "config.json")}
    process = subprocess.Popen([sys.executable, "-m", "balancer"], env=env, stderr=subprocess.DEVNULL)
    try:
        yield clock
    finally:
        process.kill()
        process.wait()


def page(port):
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/fleet", timeout=PATIENCE) as answer:
            return json.load(answer)
    except OSError:
        return {"members": [], "incarnation": 0, "received": {}, "refused": {}}


def wait_until(holds):
    ends = time.monotonic() + PATIENCE
    while not holds():
        assert time.monotonic() < ends, holds
        time.sleep(0.02)


def holds_alive(port, other, at_least=0):
    """Whether a process holds another alive, in that one's present life."""
    said = page(other)["incarnation"]
    held = [(m["state"], m["incarnation"]) for m in page(port)["members"]]
    return ("alive", said) in held and said > at_least


def pings_heard(port):
    return page(port)["received"].get("ping", 0)


def test_processes_on_loopback_whose_clocks_are_stepped_know_one_another(tmp_path):
    ports, pages = [free_udp(), free_udp()], [free_tcp(), free_tcp()]

    def second(offset_ms):
        return running(tmp_path, "n1", ports[1], pages[1], ports[:1], offset_ms)

    with running(tmp_path, "n0", ports[0], pages[0], [], 0) as clock:
        last = 0
        for offset_ms in (3_600_000, -3_600_000, 5_000, -5_000):
            with second(offset_ms):
                wait_until(lambda last=last: holds_alive(pages[0], pages[1], last))
                wait_until(lambda: holds_alive(pages[1], pages[0]))
                last = page(pages[1])["incarnation"]
                clock.write_text(str(-offset_ms))  # a running process, too
                heard = pings_heard(pages[0])
                wait_until(lambda heard=heard: pings_heard(pages[0]) > heard + 3)
                assert holds_alive(pages[0], pages[1]) and holds_alive(pages[1], pages[0])
        assert "clock" not in page(pages[0])["refused"]


def free_tcp():
    """A port for connections that was free a moment ago."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]
