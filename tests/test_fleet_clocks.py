"""Membership, rolling updates and running nodes while wall clocks step, with earlier versions among them."""

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
from fleet_section import fleet_section, free_udp_port
from loopback import PATIENCE, settings
from test_rolling_update import Members
from virtual_fleet import (
    EARLIER,
    HERE,
    HOUR,
    NEW,
    SEC,
    STEPS,
    VirtualFleet,
    changes_since,
    changes_so_far,
    settled,
)

from balancer.fleet.clocks import Clocks
from balancer.fleet.membership.messages import Accusation, Accusations
from balancer.fleet.membership.swim import Claim, Kind, Message, Status, Swim
from balancer.fleet.rolling_update.decisions import RollingUpdate
from balancer.fleet.rolling_update.messages import (
    RollingUpdateKind,
    RollingUpdateMessage,
    UpdatePlan,
    UpdateState,
)

KINDS = [(NEW, NEW, NEW, NEW), (NEW, EARLIER, NEW, EARLIER)]


# ---- steps ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("kinds", KINDS)
def test_a_step_on_a_running_process_changes_nothing(kinds, step) -> None:
    fleet = settled(*kinds)
    before, refused = changes_so_far(fleet), fleet.processes[HERE].codec.dropped.copy()
    fleet.processes[HERE].offset += step
    fleet.run(60)
    assert changes_since(fleet, before) == [] and fleet.complete()
    assert fleet.processes[HERE].codec.dropped == refused
    assert all(p.codec.dropped["clock"] == 0 for p in fleet.processes.values())


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("away", [3, 200])  # seconds: not suspected yet; forgotten
def test_a_process_that_restarts_with_a_step_is_accepted_at_once(step, away) -> None:
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(away)
    restarted = fleet.start(4, offset=step)
    before = changes_so_far(fleet)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), 4)
    fleet.run(30)
    assert fleet.complete() and not {"suspect", "dead"} & {c for c, _ in changes_since(fleet, before)}


@pytest.mark.parametrize("step", [-20 * SEC, -5 * SEC, 5 * SEC, 20 * SEC])
def test_a_restart_among_earlier_versions_works_within_their_clock_tolerance(step) -> None:
    for kind in (NEW, EARLIER):
        fleet = settled(NEW, EARLIER, NEW, EARLIER)
        fleet.kill(4)
        fleet.run(3)
        restarted = fleet.start(4, kind, step)
        assert fleet.until(lambda f=fleet, p=restarted: f.accepted_by_all(p), 15)


def test_a_restarted_seed_rejoins_with_its_clock_in_the_past() -> None:
    fleet = settled(NEW, NEW, NEW, NEW)
    fleet.kill(1)
    fleet.run(3)
    restarted = fleet.start(1, offset=-HOUR)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), 4)


def test_fast_and_correct_clocks_alternate_over_many_restarts() -> None:
    """Failure prevented: incarnations grow with each restart until they are out of range."""
    fleet = settled(NEW, NEW, NEW)
    highest = fleet.processes[HERE].wall() + HOUR + 120 * SEC
    for restart in range(6):
        fleet.kill(3)
        fleet.run(3)
        restarted = fleet.start(3, offset=HOUR if restart % 2 == 0 else 0)
        assert fleet.until(lambda restarted=restarted: fleet.accepted_by_all(restarted), 4), restart
        assert restarted.swim.me.incarnation < highest


def test_members_whose_clocks_all_differ_form_a_group() -> None:
    fleet = VirtualFleet()
    for number, offset in enumerate((0, HOUR, -HOUR, 24 * HOUR), start=1):
        fleet.start(number, offset=offset)
    assert fleet.until(fleet.complete, 10)


@pytest.mark.parametrize("step", [-25 * SEC, 25 * SEC])
def test_an_earlier_version_with_a_stepped_clock_stays_a_member(step) -> None:
    """Its stamps stand still after a step back and jump after one forward: it proves itself again."""
    fleet = settled(NEW, NEW, EARLIER)
    before = changes_so_far(fleet)
    fleet.processes["10.0.0.1", 3].offset += step
    fleet.run(120)
    assert changes_since(fleet, before) == [] and fleet.complete()


def test_stamps_and_incarnations_do_not_step_while_the_process_runs(tmp_path) -> None:
    file = tmp_path / "offset"
    file.write_text("0")
    clocks = Clocks(str(file))
    first = clocks.stamp()
    for step in ("-3600000", "3600000", "0"):
        file.write_text(step)
        before, stamp, after = clocks.now(), clocks.stamp(), clocks.now()
        assert before <= stamp - clocks.started_wall + clocks.started <= after and stamp >= first
        assert abs(clocks.wall() - stamp - int(step) * 1000) < HOUR // 2


# ---- incarnations ---------------------------------------------------------------------------------------


def member(name, number, incarnation):
    return Swim(name, ("10.0.0.1", number), incarnation, [], Random(number), SEC)


@pytest.mark.parametrize("status", list(Status))
@pytest.mark.parametrize(("reported", "is_adopted"), [(9, True), (10, True), (3, False)])
def test_a_process_adopts_the_incarnation_above_a_reported_higher_one(status, reported, is_adopted) -> None:
    swim = member("a", 1, 5)
    swim.accept(SEC, Claim("a", ("10.0.0.1", 1), status, reported))
    assert swim.me.incarnation == (reported + 1 if is_adopted else 5) and swim.me.status == Status.ALIVE


@pytest.mark.parametrize("kind", [Kind.PING, Kind.SYNC, Kind.ACK])
@pytest.mark.parametrize("status", [Status.ALIVE, Status.DEAD, Status.LEFT])
def test_a_sender_with_a_lower_incarnation_than_known_is_notified(kind, status) -> None:
    swim, restarted = member("a", 1, 1), member("b", 2, 5)
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), Status.ALIVE, 9))
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), status, 9))
    sends = swim.receive(SEC, ("10.0.0.1", 2), Message(kind, "b", 0, "", (restarted.me,)))
    for send in sends:
        restarted.receive(SEC, ("10.0.0.1", 1), send.message)
    assert restarted.me.incarnation == 10
    swim.receive(SEC, ("10.0.0.1", 2), Message(Kind.PING, "b", 0, "", (restarted.me,)))
    assert swim.status("b") == Status.ALIVE and swim.members["b"].claim == restarted.me


def test_a_sender_with_the_known_or_a_higher_incarnation_is_not_notified() -> None:
    swim = member("a", 1, 1)
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), Status.ALIVE, 9))
    for incarnation in (9, 10):
        claim = Claim("b", ("10.0.0.1", 2), Status.ALIVE, incarnation)
        assert swim.receive(SEC, ("10.0.0.1", 2), Message(Kind.ACK, "b", 0, "", (claim,))) == []


def test_suspicions_of_an_unknown_sender_are_ignored() -> None:
    """Failure prevented: a process of another zone answers a challenge with its zone's suspicions."""
    swim = member("a", 1, 1)
    suspect = Claim("z", ("10.0.0.9", 9), Status.SUSPECT, 3)
    swim.receive(SEC, ("10.0.0.8", 8), Accusations("other", (Accusation(suspect, ("other",)),)))
    assert swim.members == {}


# ---- rolling updates ------------------------------------------------------------------------------------


def rolling_update(name, life, started):
    return RollingUpdate(name, "here", life, Members(), started)


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize(("started", "old"), [(50, True), (100, True), (101, False), (150, False)])
def test_old_and_new_are_told_by_real_time(step, started, old) -> None:
    """A plan begun at second 100; a process started at another, its clock stepped; both of their monotonic
    clocks begin somewhere."""
    leader = rolling_update("z", 1, 10 * SEC)
    leader.begin(unix_time=100 * SEC, max_unavailable=1, now=100 * SEC)
    other = rolling_update("a", started * SEC + step, started * SEC - 7 * SEC)
    asked = leader.message(160 * SEC, RollingUpdateKind.PLAN, leader.plan, 3)
    [outgoing] = other.received(153 * SEC, asked)
    leader.received(160 * SEC, outgoing.message)
    assert (leader.reports["a"].incarnation <= leader.plan.number) is old
    other.received(153 * SEC, leader.message(160 * SEC, RollingUpdateKind.GO, leader.plan, 3))
    assert other.leaving is old


def test_the_plan_s_age_goes_from_holder_to_holder():
    first, second, third = (rolling_update(n, 1, s * SEC) for n, s in (("a", 1), ("b", 200), ("c", 90)))
    first.begin(unix_time=5, max_unavailable=1, now=100 * SEC)
    second.received(300 * SEC, first.message(300 * SEC, RollingUpdateKind.PLAN, first.plan, 3))
    third.received(400 * SEC, second.message(400 * SEC, RollingUpdateKind.PLAN, second.plan, 4))
    assert (first.is_outdated(first.plan), second.is_outdated(first.plan), third.is_outdated(first.plan)) == (
        1,
        0,
        1,
    )
    # A datagram that was 20 s on its way says less than what is known.
    third.received(420 * SEC, second.message(400 * SEC, RollingUpdateKind.PLAN, second.plan, 4))
    assert third.plan_started_at == 100 * SEC


@pytest.mark.parametrize(("life", "goes"), [(500, True), (2000, False)])
def test_a_plan_of_an_earlier_version_is_judged_by_numbers(life, goes):
    process = rolling_update("a", life, SEC)
    plan = UpdatePlan(1000, 1, 1, UpdateState.RUNS)
    [outgoing] = process.received(SEC, RollingUpdateMessage(RollingUpdateKind.PLAN, "z", plan, 1, 7))
    report = outgoing.message
    assert report.incarnation == life and report.plan_age is None
    process.received(SEC, RollingUpdateMessage(RollingUpdateKind.GO, "z", plan, 1, 7))
    assert process.leaving is goes


def test_a_plan_after_a_step_back_takes_the_place_of_the_last():
    process = rolling_update("a", 1, SEC)
    process.begin(unix_time=HOUR, max_unavailable=1, now=2 * SEC)
    process.change_state(UpdateState.STOPPED)
    last = process.plan
    assert process.begin(unix_time=5, max_unavailable=1, now=3 * SEC).supersedes(last)


# ---- real processes -------------------------------------------------------------------------------------


@contextmanager
def running(folder, name, port, page_port, seeds, offset_ms):
    """Runs a node on loopback whose wall clock has an offset; yields the file that sets the offset."""
    folder = folder / name
    folder.mkdir(exist_ok=True)
    clock = folder / "clock"
    clock.write_text(str(offset_ms))
    fleet = fleet_section(
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


def wait_until(condition):
    deadline = time.monotonic() + PATIENCE
    while not condition():
        assert time.monotonic() < deadline, condition
        time.sleep(0.02)


def considers_alive(port, other, above=0):
    """Returns whether a process considers another alive, in its present incarnation beyond `above`."""
    incarnation = page(other)["incarnation"]
    members = [(m["state"], m["incarnation"]) for m in page(port)["members"]]
    return ("alive", incarnation) in members and incarnation > above


def pings_received(port):
    return page(port)["received"].get("ping", 0)


def test_processes_on_loopback_whose_clocks_are_stepped_know_one_another(tmp_path):
    ports, pages = [free_udp_port(), free_udp_port()], [free_tcp(), free_tcp()]

    def second(offset_ms):
        return running(tmp_path, "n1", ports[1], pages[1], ports[:1], offset_ms)

    with running(tmp_path, "n0", ports[0], pages[0], [], 0) as clock:
        last = 0
        for offset_ms in (3_600_000, -3_600_000, 5_000, -5_000):
            with second(offset_ms):
                wait_until(lambda last=last: considers_alive(pages[0], pages[1], last))
                wait_until(lambda: considers_alive(pages[1], pages[0]))
                last = page(pages[1])["incarnation"]
                clock.write_text(str(-offset_ms))  # a running process, too
                earlier = pings_received(pages[0])
                wait_until(lambda earlier=earlier: pings_received(pages[0]) > earlier + 3)
                assert considers_alive(pages[0], pages[1]) and considers_alive(pages[1], pages[0])
        assert "clock" not in page(pages[0])["refused"]


def free_tcp():
    """Returns a TCP port that was free a moment ago."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]
