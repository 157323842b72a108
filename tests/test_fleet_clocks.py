"""Membership, rolling updates and running nodes while wall clocks step, with members of earlier versions."""

import json
import os
import subprocess
import sys
import time
import urllib.request
from contextlib import contextmanager
from random import Random

import pytest
from fleet_section import fleet_section, free_udp_port
from loopback import TIMEOUT_S, free_port, settings
from test_rolling_update import Members
from virtual_fleet import (
    CLOCK_STEPS,
    EARLIER,
    HOUR,
    N1_ADDRESS,
    NEW,
    SEC,
    VirtualFleet,
    change_counts,
    changes_since,
    settled_fleet,
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


# ---- Clock steps ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("step", CLOCK_STEPS)
@pytest.mark.parametrize("kinds", KINDS)
def test_clock_step_of_running_process_changes_no_membership(kinds, step) -> None:
    fleet = settled_fleet(*kinds)
    before, refused = change_counts(fleet), fleet.processes[N1_ADDRESS].codec.dropped.copy()
    fleet.processes[N1_ADDRESS].offset += step
    fleet.run(60)
    assert changes_since(fleet, before) == [] and fleet.complete()
    assert fleet.processes[N1_ADDRESS].codec.dropped == refused
    assert all(p.codec.dropped["clock"] == 0 for p in fleet.processes.values())


@pytest.mark.parametrize("step", CLOCK_STEPS)
@pytest.mark.parametrize("downtime_s", [3, 200], ids=["not-suspected", "forgotten"])
def test_process_restarted_with_clock_step_is_accepted(step, downtime_s) -> None:
    fleet = settled_fleet(NEW, NEW, NEW, NEW)
    fleet.kill(4)
    fleet.run(downtime_s)
    restarted = fleet.start(4, offset=step)
    before = change_counts(fleet)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), 4)
    fleet.run(30)
    assert fleet.complete() and not {"suspect", "dead"} & {c for c, _ in changes_since(fleet, before)}


@pytest.mark.parametrize("step", [-20 * SEC, -5 * SEC, 5 * SEC, 20 * SEC])
def test_restart_is_accepted_within_earlier_versions_tolerance(step) -> None:
    for kind in (NEW, EARLIER):
        fleet = settled_fleet(NEW, EARLIER, NEW, EARLIER)
        fleet.kill(4)
        fleet.run(3)
        restarted = fleet.start(4, kind, step)
        assert fleet.until(lambda f=fleet, p=restarted: f.accepted_by_all(p), 15)


def test_restarted_seed_with_clock_set_back_rejoins() -> None:
    fleet = settled_fleet(NEW, NEW, NEW, NEW)
    fleet.kill(1)
    fleet.run(3)
    restarted = fleet.start(1, offset=-HOUR)
    assert fleet.until(lambda: fleet.accepted_by_all(restarted), 4)


def test_incarnations_stay_bounded_over_restarts_with_steps() -> None:
    """A process restarts with its clock alternately fast and correct.

    Its incarnation must not grow with each restart, or it would end up out of range.
    """
    fleet = settled_fleet(NEW, NEW, NEW)
    highest = fleet.processes[N1_ADDRESS].wall() + HOUR + 120 * SEC
    for restart in range(6):
        fleet.kill(3)
        fleet.run(3)
        restarted = fleet.start(3, offset=HOUR if restart % 2 == 0 else 0)
        assert fleet.until(lambda restarted=restarted: fleet.accepted_by_all(restarted), 4), restart
        assert restarted.swim.local_claim.incarnation < highest


def test_members_with_different_clocks_form_group() -> None:
    fleet = VirtualFleet()
    for number, offset in enumerate((0, HOUR, -HOUR, 24 * HOUR), start=1):
        fleet.start(number, offset=offset)
    assert fleet.until(fleet.complete, 10)


@pytest.mark.parametrize("step", [-25 * SEC, 25 * SEC])
def test_earlier_version_stays_member_after_clock_step(step) -> None:
    """Its stamps stand still after a step back and jump after a step forward.

    In both cases it has to prove again that it is live.
    """
    fleet = settled_fleet(NEW, NEW, EARLIER)
    before = change_counts(fleet)
    fleet.processes["10.0.0.1", 3].offset += step
    fleet.run(120)
    assert changes_since(fleet, before) == [] and fleet.complete()


def test_stamps_do_not_follow_wall_clock_steps(tmp_path) -> None:
    offset_file = tmp_path / "offset"
    offset_file.write_text("0")
    clocks = Clocks(str(offset_file))
    first = clocks.stamp()
    for step in ("-3600000", "3600000", "0"):
        offset_file.write_text(step)
        before, stamp, after = clocks.now(), clocks.stamp(), clocks.now()
        assert before <= stamp - clocks.started_at_wall + clocks.started_at <= after and stamp >= first
        assert abs(clocks.wall() - stamp - int(step) * 1000) < HOUR // 2


# ---- Incarnations ---------------------------------------------------------------------------------------


def member(name, number, incarnation):
    return Swim(name, ("10.0.0.1", number), incarnation, [], Random(number), SEC)


@pytest.mark.parametrize("status", list(Status))
@pytest.mark.parametrize(("reported", "is_adopted"), [(9, True), (10, True), (3, False)])
def test_process_adopts_incarnation_above_reported_one(status, reported, is_adopted) -> None:
    swim = member("a", 1, 5)
    swim.accept(SEC, Claim("a", ("10.0.0.1", 1), status, reported))
    assert (
        swim.local_claim.incarnation == (reported + 1 if is_adopted else 5)
        and swim.local_claim.status == Status.ALIVE
    )


@pytest.mark.parametrize("kind", [Kind.PING, Kind.SYNC, Kind.ACK])
@pytest.mark.parametrize("status", [Status.ALIVE, Status.DEAD, Status.LEFT])
def test_sender_with_lower_incarnation_is_notified(kind, status) -> None:
    swim, restarted = member("a", 1, 1), member("b", 2, 5)
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), Status.ALIVE, 9))
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), status, 9))
    sends = swim.receive(SEC, ("10.0.0.1", 2), Message(kind, "b", 0, "", (restarted.local_claim,)))
    for send in sends:
        restarted.receive(SEC, ("10.0.0.1", 1), send.message)
    assert restarted.local_claim.incarnation == 10
    swim.receive(SEC, ("10.0.0.1", 2), Message(Kind.PING, "b", 0, "", (restarted.local_claim,)))
    assert swim.status("b") == Status.ALIVE and swim.members["b"].claim == restarted.local_claim


def test_sender_with_current_or_higher_incarnation_gets_no_reply() -> None:
    swim = member("a", 1, 1)
    swim.accept(SEC, Claim("b", ("10.0.0.1", 2), Status.ALIVE, 9))
    for incarnation in (9, 10):
        claim = Claim("b", ("10.0.0.1", 2), Status.ALIVE, incarnation)
        assert swim.receive(SEC, ("10.0.0.1", 2), Message(Kind.ACK, "b", 0, "", (claim,))) == []


def test_accusations_from_unknown_sender_are_ignored() -> None:
    """A process of another zone may answer a challenge with the suspicions of its own group."""
    swim = member("a", 1, 1)
    suspect = Claim("z", ("10.0.0.9", 9), Status.SUSPECT, 3)
    swim.receive(SEC, ("10.0.0.8", 8), Accusations("other", (Accusation(suspect, ("other",)),)))
    assert swim.members == {}


# ---- Rolling updates ------------------------------------------------------------------------------------


def rolling_update(name, incarnation, started_at):
    return RollingUpdate(name, "here", incarnation, Members(), started_at)


@pytest.mark.parametrize("step", CLOCK_STEPS)
@pytest.mark.parametrize(("start_s", "is_outdated"), [(50, True), (100, True), (101, False), (150, False)])
def test_plan_age_decides_which_processes_are_outdated(step, start_s, is_outdated) -> None:
    """Only a process that started by the time the plan began, at second 100, is told to end.

    Its wall clock is stepped and the monotonic clocks of the two processes differ, so neither clock decides.
    """
    leader = rolling_update("z", 1, 10 * SEC)
    leader.begin(unix_time=100 * SEC, max_unavailable=1, now=100 * SEC)
    other = rolling_update("a", start_s * SEC + step, start_s * SEC - 7 * SEC)
    plan_message = leader.message(160 * SEC, RollingUpdateKind.PLAN, leader.plan, 3)
    [outgoing] = other.received(153 * SEC, plan_message)
    leader.received(160 * SEC, outgoing.message)
    assert (leader.reports["a"].incarnation <= leader.plan.number) is is_outdated
    other.received(153 * SEC, leader.message(160 * SEC, RollingUpdateKind.GO, leader.plan, 3))
    assert other.leaving is is_outdated


def test_plan_age_is_passed_between_lease_holders():
    first, second, third = (rolling_update(n, 1, s * SEC) for n, s in (("a", 1), ("b", 200), ("c", 90)))
    first.begin(unix_time=5, max_unavailable=1, now=100 * SEC)
    second.received(300 * SEC, first.message(300 * SEC, RollingUpdateKind.PLAN, first.plan, 3))
    third.received(400 * SEC, second.message(400 * SEC, RollingUpdateKind.PLAN, second.plan, 4))
    assert (first.is_outdated(first.plan), second.is_outdated(first.plan), third.is_outdated(first.plan)) == (
        1,
        0,
        1,
    )
    # A datagram that was delayed by 20 s does not replace the age that is already known.
    third.received(420 * SEC, second.message(400 * SEC, RollingUpdateKind.PLAN, second.plan, 4))
    assert third.plan_started_at == 100 * SEC


@pytest.mark.parametrize(("incarnation", "leaves"), [(500, True), (2000, False)])
def test_plan_without_age_is_compared_by_incarnation(incarnation, leaves):
    """Plans of an earlier version carry no age; their number is compared with the incarnation."""
    process = rolling_update("a", incarnation, SEC)
    plan = UpdatePlan(1000, 1, 1, UpdateState.RUNS)
    [outgoing] = process.received(SEC, RollingUpdateMessage(RollingUpdateKind.PLAN, "z", plan, 1, 7))
    report = outgoing.message
    assert report.incarnation == incarnation and report.plan_age is None
    process.received(SEC, RollingUpdateMessage(RollingUpdateKind.GO, "z", plan, 1, 7))
    assert process.leaving is leaves


def test_plan_begun_after_clock_step_back_supersedes_last():
    process = rolling_update("a", 1, SEC)
    process.begin(unix_time=HOUR, max_unavailable=1, now=2 * SEC)
    process.change_state(UpdateState.STOPPED)
    last = process.plan
    assert process.begin(unix_time=5, max_unavailable=1, now=3 * SEC).supersedes(last)


# ---- Real processes -------------------------------------------------------------------------------------


@contextmanager
def running(folder, name, port, page_port, seeds, offset_ms):
    """Run a node on loopback whose wall clock has an offset; yield the file that sets the offset."""
    folder = folder / name
    folder.mkdir(exist_ok=True)
    clock_file = folder / "clock"
    clock_file.write_text(str(offset_ms))
    fleet = fleet_section(
        folder,
        listen=f"127.0.0.1:{port}",
        seeds=[f"127.0.0.1:{s}" for s in seeds],
        period_ms=200,
        lab={"clock_file": str(clock_file)},
    )
    table = {"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f", "fleet": fleet}
    table |= {"management": f"127.0.0.1:{page_port}", "settings": settings()}
    (folder / "config.json").write_text(json.dumps(table))
    env = os.environ | {"LB_CONFIG": str(folder / "config.json")}
    process = subprocess.Popen([sys.executable, "-m", "balancer"], env=env, stderr=subprocess.DEVNULL)
    try:
        yield clock_file
    finally:
        process.kill()
        process.wait()


def fleet_page(port):
    """Return the page `GET /fleet` of a process, or an empty one while the process is not reachable."""
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/fleet", timeout=TIMEOUT_S) as response:
            return json.load(response)
    except OSError:
        return {"members": [], "incarnation": 0, "received": {}, "refused": {}}


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, condition
        time.sleep(0.02)


def has_alive_member(port, other, above=0):
    """Return whether a process sees another alive in its current incarnation, which exceeds `above`."""
    incarnation = fleet_page(other)["incarnation"]
    members = [(m["state"], m["incarnation"]) for m in fleet_page(port)["members"]]
    return ("alive", incarnation) in members and incarnation > above


def pings_received(port):
    return fleet_page(port)["received"].get("ping", 0)


def test_processes_with_stepped_clocks_see_each_other_alive(tmp_path):
    ports, pages = [free_udp_port(), free_udp_port()], [free_port(), free_port()]

    def second_process(offset_ms):
        return running(tmp_path, "n1", ports[1], pages[1], ports[:1], offset_ms)

    with running(tmp_path, "n0", ports[0], pages[0], [], 0) as clock_file:
        last = 0
        for offset_ms in (3_600_000, -3_600_000, 5_000, -5_000):
            with second_process(offset_ms):
                wait_until(lambda last=last: has_alive_member(pages[0], pages[1], last))
                wait_until(lambda: has_alive_member(pages[1], pages[0]))
                last = fleet_page(pages[1])["incarnation"]
                # Step the clock of the process that keeps running, too.
                clock_file.write_text(str(-offset_ms))
                earlier = pings_received(pages[0])
                wait_until(lambda earlier=earlier: pings_received(pages[0]) > earlier + 3)
                assert has_alive_member(pages[0], pages[1]) and has_alive_member(pages[1], pages[0])
        assert "clock" not in fleet_page(pages[0])["refused"]
