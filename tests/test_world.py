"""The world on its virtual clock: repeatable to the byte, draws that no policy shifts, rules seen from
outside."""

import subprocess
import sys
from types import SimpleNamespace

import msgspec
import pytest

from balancer.policy.interface import ClassSettings, Effect, Group, Outcome
from workbench.baselines import POLICIES
from workbench.model.call import Call
from workbench.model.referee import Referee
from workbench.model.site import BEGIN, World
from workbench.scenario import load as scenarios
from workbench.scenario.load import draw, load, parse_scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host
from workbench.simulator.play import play

SHORT = ["length_s=6", "servers=4"]
# One class, one tier of one exact server: a call's time can be worked out by hand.
EXACT = {
    "class": [{"name": "a", "work_ms": 100, "work_cv": 0}],
    "tier": [
        {
            "name": "t",
            "work": 1.0,
            "kind": [{"name": "k", "cores": 2, "speed_cv": 0, "slots_per_core": 2, "queue_per_core": 1,
                      "thrash": 0, "pause_ms": 0, "error_rate": 0, "handshake_us": 0}],
        }
    ],
    "servers": 1,
    "clients": {"retries": 0},
    "nodes": {"count": 1},
}  # fmt: skip


def result(scenario, policy="module", overrides=SHORT, seed=1, **kept):
    run = play(draw(load(scenario, overrides), seed), policy, **kept)
    return {k: v for k, v in run.result.items() if k != "speed"}, run


def test_a_seed_gives_the_same_bytes_whatever_was_simulated_before():
    first = msgspec.json.encode(result("trouble")[0])
    result("overload", "random", seed=2)
    assert msgspec.json.encode(result("trouble")[0]) == first
    code = (
        "import sys, msgspec; sys.path[:0] = ['.', 'tests']; from test_world import result;"
        "sys.stdout.buffer.write(msgspec.json.encode(result('trouble')[0]))"
    )
    other = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert other.stdout == first


def world_of(day, policy="random"):
    clock = HeapClock(BEGIN)
    return World(day, clock, Host(clock, 1000, POLICIES[policy].make)), clock


def test_a_policy_shifts_nobody_elses_draws():
    """Arrivals, work, front, faults' targets, and each server's pauses are the same for two policies."""
    seen = []
    for policy in ("random", "module"):
        day = draw(load("trouble", ["length_s=12", "fault[0].at_s=3", "fault[0].part=0.4"]), 4)
        world, clock = world_of(day, policy)
        arrivals = list(zip(world.clients.times, world.clients.classes, world.clients.factors, strict=True))
        world.start()
        clock.run(BEGIN + 5_000_000)
        affected = sorted(s.id for s in world.active_faults[0].affected)
        states = [(s.id, s.paused, s.pauses.getstate()) for tier in world.tiers for s in tier]
        seen.append((arrivals, affected, states, world.network.ways[0][0]))
        assert affected and world.accounts.attempts[0] > 100
    assert seen[0] == seen[1]


class Caller:
    def __init__(self, clock):
        self.clock = clock
        self.got = []

    def answered(self, call, answer, retry_after):
        self.got.append((self.clock.now - BEGIN, answer))


def replies(world, clock, at):
    """Attempts sent straight to the one server at the given milliseconds: their ends, in milliseconds."""
    server = world.tiers[0][0]
    out = []
    port = SimpleNamespace(
        reply=lambda a, o: out.append((round((clock.now - BEGIN) / 1000), a.number, o)), starts={}
    )

    def send(number):
        root = SimpleNamespace(request_class=0, factor=1.0, work=0.0, index=-1)
        call = Call(number, root, 0, 0, BEGIN + 10**7, Caller(clock))
        attempt = SimpleNamespace(call=call, number=number, port=port, ended=False, job=None, server=server)
        attempts.append(attempt)
        server.arrive(attempt)

    attempts = []
    for number, ms in enumerate(at):
        clock.call_at(BEGIN + ms * 1000, send, number)
    return server, attempts, out


OK, FULL, RESET = Outcome.OK, Outcome.REJECTED, Outcome.RESET


@pytest.mark.parametrize(
    ("at", "change", "ends"),
    [
        ([0], None, [(100, 0, OK)]),
        ([0, 0], None, [(100, 0, OK), (100, 1, OK)]),  # two cores
        ([0, 0, 0, 0], None, [(200, n, OK) for n in range(4)]),  # shared by four
        ([0, 0, 0, 50], None, [(183, 0, OK), (183, 1, OK), (183, 2, OK), (217, 3, OK)]),
        ([0] * 7, None, [(0, 6, FULL)] + [(200, n, OK) for n in range(4)] + [(300, 4, OK), (300, 5, OK)]),
        ([0], (50, lambda s: (setattr(s, "slow", 2.0), s.update_speed())), [(150, 0, OK)]),
        ([0], (50, lambda s: (setattr(s, "stolen_share", 0.5), s.update_speed())), [(150, 0, OK)]),
        ([0, 60], (50, lambda s: s.stop(kill=True)), [(50, 0, RESET), (60, 1, RESET)]),
        ([0, 60], (50, lambda s: setattr(s, "draining", True)), [(60, 1, FULL), (100, 0, OK)]),
    ],
    ids=["one", "two", "four", "late", "full", "slow", "neighbour", "crash", "drain"],
)  # fmt: skip
def test_a_server_shares_its_cores(at, change, ends):
    world, clock = world_of(draw(parse_scenario(EXACT)))
    server, _, out = replies(world, clock, at)
    if change:
        clock.call_at(BEGIN + change[0] * 1000, change[1], server)
    clock.run(BEGIN + 10**6)
    assert out == ends
    assert server.used_slots == server.running == len(server.jobs) == 0


def test_work_stops_when_its_call_is_given_up():
    world, clock = world_of(draw(parse_scenario(EXACT)))
    server, attempts, out = replies(world, clock, [0, 0, 0, 0, 0])
    clock.call_at(BEGIN + 100_000, lambda _: [server.abandon(attempts[n]) for n in (0, 1, 4)], None)
    clock.run(BEGIN + 10**6)
    assert out == [(150, 2, OK), (150, 3, OK)]
    assert server.busy == pytest.approx(300_000, rel=1e-3) and not server.queue


def test_a_cold_server_warms_evenly_and_falls_when_it_is_sent_too_much():
    table = {**EXACT, "rules": {"fall_multiple": 2.0, "fall_s": 1.0}}
    table["tier"][0]["kind"][0].update(cold_from=0.2, cold_s=10)
    world, clock = world_of(draw(parse_scenario(table)))
    server = world.tiers[0][0]
    server.stop(kill=True)
    server.start()
    clock.run(BEGIN + 5_000_000)
    assert server.warmth == pytest.approx(0.6, abs=0.03) and server.ready_at == BEGIN
    # 1 s at 1.2 cores' worth, twice over, and three calls for chance: 27 calls of 100 ms are too many.
    _, attempts, _ = replies(world, clock, [0] * 30)
    clock.run(clock.now)
    assert server.failed_cold
    assert world.referee.counts["cold_server"] == 0  # nobody had been notified of its start


SAFE, KEYED, UNSAFE = (
    ClassSettings(effect, 1, 2, 1.0, group=Group.CELL, window=100)
    for effect in (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEY, Effect.NOT_IDEMPOTENT)
)


@pytest.mark.parametrize(
    ("request_class", "first", "then", "cell", "at", "rule"),
    [
        (0, Outcome.TIMEOUT, "send", 2, 10, None),
        (0, Outcome.TIMEOUT, "refuse", 0, 10, None),
        (1, Outcome.REJECTED, "send", 2, 10, None),
        (1, Outcome.TIMEOUT, "send", 1, 10, None),
        (1, Outcome.TIMEOUT, "send", 2, 10, "duplicate_effects"),
        (1, Outcome.TIMEOUT, "send", 1, 101, "duplicate_effects"),
        (1, Outcome.TIMEOUT, "refuse", 0, 10, "duplicate_effects"),
        (2, Outcome.CONNECT_FAILED, "send", 2, 10, None),
        (2, Outcome.RESET, "send", 1, 10, "duplicate_effects"),
        (2, None, "send", 1, 10, "duplicate_effects"),
        (0, None, "send", 1, 10, "duplicate_effects"),
        (0, Outcome.REJECTED, "late", 1, 511, "drain_grace"),
        (0, Outcome.REJECTED, "late", 1, 500, None),
    ],
)
def test_the_referee_knows_what_may_run_again(request_class, first, then, cell, at, rule):
    referee = Referee([SAFE, KEYED, UNSAFE], stop_sending=500, second_copies=False)
    root = SimpleNamespace(request_class=request_class, index=0)
    call = Call(1, root, 0, 0, 1000, None)
    one, other = (SimpleNamespace(zone=0, cell=c, id=c) for c in (1, cell))
    call.sent.append(SimpleNamespace(server=one, sent_at=0, ended=first is not None))
    if first is None:
        call.in_flight = 1
    else:
        referee.attempt_ended(call, one, 0, first)
    if then == "refuse":
        referee.check_rejection(at, call)
    else:
        referee.check_attempt(at, call, other, 0 if then == "late" else -1)
    assert {r for r, n in referee.counts.items() if n} == ({rule} if rule else set())


def test_time_outs_that_are_needless_never_reach_the_heap():
    clock = HeapClock(0)
    made = []
    for at in (10, 70_000, 140_000, 140_001):
        clock.call_unless(at, made.append, at, lambda at: at == 140_000)
    handle = clock.call_at(100_000, made.append, "cancelled")
    clock.cancel(handle)
    clock.run(200_000)
    assert made == [10, 70_000, 140_001] and clock.now == 200_000 and not clock.cancelled


@pytest.mark.parametrize("name", [n for n in scenarios.shipped() if n not in ("soak", "thin")])
def test_shipped_days_keep_the_rules_by_the_module(name):
    got, run = result(name, overrides=["length_s=10", "servers=6", "load.fraction=0.5"], seed=7)
    assert not any(got["rules"].values()), run.violations
    account = got["account"]
    lost = sum(e["share"] for e in account["lost"])
    assert lost == pytest.approx(1 - account["whole"], abs=1e-9)  # each lost point went somewhere
    assert account["requests"] == sum(row["asked"] for row in got["table"])


def test_a_request_can_be_followed_through_all_tiers():
    _, run = result("quiet", follow=5)
    text = "\n".join(run.steps)
    for word in ("client", "front/", "node/tile-front", "node/tile-render", "answered ok"):
        assert word in text


def test_clients_come_again_as_their_class_allows():
    calls = []

    def refusing(settings, seed, actions, world):
        module = POLICIES["random"].make(settings, seed, actions, world)
        module.request = lambda now, request, *rest: (
            calls.append((now, request)),
            actions.reject(request, 0),
        )
        return module

    table = {**EXACT, "clients": {"retries": 2, "backoff_ms": 100}, "length_s": 1, "load": {"fraction": 0.2}}
    run = play(draw(parse_scenario(table)), refusing)
    account = run.result["account"]
    assert account["tries_a_request"] == 3 and len(calls) == 3 * account["requests"]
    assert [(e["cause"], e["tier"]) for e in account["lost"]] == [("refused at the limit", 0)]
    assert run.result["goal"] == 0


@pytest.mark.parametrize("tier", [0, 1])
def test_a_request_that_is_never_answered_breaks_the_rule(tier):
    def deaf(settings, seed, actions, world):
        module = POLICIES["random"].make(settings, seed, actions, world)
        if settings.tier == tier:  # hears of requests, and never answers one
            module.request = module.client_disconnected = lambda *event: None
        return module

    run = play(draw(load("quiet", ["length_s=2", "servers=2", "clients.retries=0"]), 1), deaf)
    assert run.result["rules"]["final_answer"] >= 0.9 * run.result["account"]["requests"]
    assert "no answer in time" in run.violations[0] and run.result["goal"] < 0.1
