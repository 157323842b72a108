"""Tests of the model on its virtual clock: reproducibility, independent random draws, and the rules."""

import subprocess
import sys
from types import SimpleNamespace

import msgspec
import pytest

from balancer.policy.interface import ClassSettings, Effect, Group, Outcome
from workbench.baselines import POLICIES
from workbench.model.call import Call
from workbench.model.referee import Referee
from workbench.model.site import CLOCK_START_US, World
from workbench.scenario import load as scenarios
from workbench.scenario.load import draw, load, parse_scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host
from workbench.simulator.play import play

SHORT_RUN = ["length_s=6", "servers=4"]
# One class and one tier with one server, all without variation: the time of a call can be computed by hand.
SINGLE_SERVER = {
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


def simulate(scenario, policy="module", overrides=SHORT_RUN, seed=1, **options):
    """Return the result of a run without its speed, and the run."""
    run = play(draw(load(scenario, overrides), seed), policy, **options)
    return {key: value for key, value in run.result.items() if key != "speed"}, run


def test_runs_with_equal_seed_give_identical_bytes():
    """The result is the same in a fresh process and after another scenario ran in the same process."""
    first = msgspec.json.encode(simulate("trouble")[0])
    simulate("overload", "random", seed=2)
    assert msgspec.json.encode(simulate("trouble")[0]) == first
    code = (
        "import sys, msgspec; sys.path[:0] = ['.', 'tests']; from test_world import simulate;"
        "sys.stdout.buffer.write(msgspec.json.encode(simulate('trouble')[0]))"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert completed.stdout == first


def create_world(scenario, policy="random"):
    clock = HeapClock(CLOCK_START_US)
    return World(scenario, clock, Host(clock, 1000, POLICIES[policy].make)), clock


def test_random_draws_are_independent_of_policy():
    """Arrivals, work, network delays, affected servers and server pauses are the same for two policies."""
    observations = []
    for policy in ("random", "module"):
        scenario = draw(load("trouble", ["length_s=12", "fault[0].at_s=3", "fault[0].part=0.4"]), 4)
        world, clock = create_world(scenario, policy)
        arrivals = list(
            zip(world.clients.times, world.clients.classes, world.clients.work_factors, strict=True)
        )
        world.start()
        clock.run(CLOCK_START_US + 5_000_000)
        affected = sorted(s.id for s in world.active_faults[0].affected)
        states = [(s.id, s.paused, s.pause_rng.getstate()) for tier in world.tiers for s in tier]
        observations.append((arrivals, affected, states, world.network.delay_tables[0][0]))
        assert affected and world.accounts.attempts[0] > 100
    assert observations[0] == observations[1]


class Caller:
    """Records the time and value of each response."""

    def __init__(self, clock):
        self.clock = clock
        self.responses = []

    def answered(self, call, answer, retry_after):
        self.responses.append((self.clock.now - CLOCK_START_US, answer))


def send_attempts(world, clock, at):
    """Schedule attempts directly at the server, at times in milliseconds.

    Returns the server, the attempts, and a list that receives (end in milliseconds, number, outcome).
    """
    server = world.tiers[0][0]
    ends = []
    port = SimpleNamespace(
        reply=lambda ended_attempt, outcome: ends.append(
            (round((clock.now - CLOCK_START_US) / 1000), ended_attempt.number, outcome)
        ),
        starts={},
    )

    def send(number):
        root = SimpleNamespace(request_class=0, work_factor=1.0, work=0.0, index=-1)
        call = Call(number, root, 0, 0, CLOCK_START_US + 10**7, Caller(clock))
        attempt = SimpleNamespace(call=call, number=number, port=port, ended=False, job=None, server=server)
        attempts.append(attempt)
        server.arrive(attempt)

    attempts = []
    for number, ms in enumerate(at):
        clock.call_at(CLOCK_START_US + ms * 1000, send, number)
    return server, attempts, ends


OK, REJECTED, RESET = Outcome.OK, Outcome.REJECTED, Outcome.RESET


@pytest.mark.parametrize(
    ("at", "change", "expected"),
    [
        ([0], None, [(100, 0, OK)]),
        ([0, 0], None, [(100, 0, OK), (100, 1, OK)]),  # Two cores.
        ([0, 0, 0, 0], None, [(200, n, OK) for n in range(4)]),  # Two cores shared by four jobs.
        ([0, 0, 0, 50], None, [(183, 0, OK), (183, 1, OK), (183, 2, OK), (217, 3, OK)]),
        ([0] * 7, None, [(0, 6, REJECTED)] + [(200, n, OK) for n in range(4)] + [(300, 4, OK), (300, 5, OK)]),
        ([0], (50, lambda s: (setattr(s, "slowdown", 2.0), s.update_speed())), [(150, 0, OK)]),
        ([0], (50, lambda s: (setattr(s, "neighbour_share", 0.5), s.update_speed())), [(150, 0, OK)]),
        ([0, 60], (50, lambda s: s.stop(kill=True)), [(50, 0, RESET), (60, 1, RESET)]),
        ([0, 60], (50, lambda s: setattr(s, "draining", True)), [(60, 1, REJECTED), (100, 0, OK)]),
    ],
    ids=[
        "one-job", "two-jobs", "four-jobs", "late-fourth-job", "full-queue",
        "slowdown", "neighbour", "crash", "drain",
    ],
)  # fmt: skip
def test_server_shares_cores_between_running_jobs(at, change, expected):
    """Jobs beyond the cores share them; changes of speed, a full queue, a crash and a drain take effect."""
    world, clock = create_world(draw(parse_scenario(SINGLE_SERVER)))
    server, _, ends = send_attempts(world, clock, at)
    if change:
        clock.call_at(CLOCK_START_US + change[0] * 1000, change[1], server)
    clock.run(CLOCK_START_US + 10**6)
    assert ends == expected
    assert server.used_slots == server.running == len(server.jobs) == 0


def test_cancelled_attempts_stop_their_work():
    """Cancelled running jobs free their cores for the others; a cancelled queued job never runs."""
    world, clock = create_world(draw(parse_scenario(SINGLE_SERVER)))
    server, attempts, ends = send_attempts(world, clock, [0, 0, 0, 0, 0])
    clock.call_at(
        CLOCK_START_US + 100_000, lambda _: [server.cancel_attempt(attempts[n]) for n in (0, 1, 4)], None
    )
    clock.run(CLOCK_START_US + 10**6)
    assert ends == [(150, 2, OK), (150, 3, OK)]
    assert server.work_done == pytest.approx(300_000, rel=1e-3) and not server.queue


def test_cold_server_warms_linearly_and_fails_if_overloaded():
    """A cold server fails if its load is too high; a node unaware of its start is not at fault."""
    table = {**SINGLE_SERVER, "rules": {"fall_multiple": 2.0, "fall_s": 1.0}}
    table["tier"][0]["kind"][0].update(cold_from=0.2, cold_s=10)
    world, clock = create_world(draw(parse_scenario(table)))
    server = world.tiers[0][0]
    server.stop(kill=True)
    server.start()
    clock.run(CLOCK_START_US + 5_000_000)
    assert server.warm_up_ratio == pytest.approx(0.6, abs=0.03) and server.ready_at == CLOCK_START_US
    # The limit is 1 s x 1.2 cores x fall multiple 2 + a margin of 3 calls: 27 calls of 100 ms.
    _, attempts, _ = send_attempts(world, clock, [0] * 30)
    clock.run(clock.now)
    assert server.failed_cold
    assert world.referee.counts["cold_server"] == 0  # No node had been notified of the start.


SAFE, KEYED, UNSAFE = (
    ClassSettings(effect, 1, 2, 1.0, group=Group.CELL, window=100)
    for effect in (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEY, Effect.NOT_IDEMPOTENT)
)


@pytest.mark.parametrize(
    ("request_class", "first_outcome", "action", "cell", "at", "rule"),
    [
        (0, Outcome.TIMEOUT, "send", 2, 10, None),
        (0, Outcome.TIMEOUT, "reject", 0, 10, None),
        (1, Outcome.REJECTED, "send", 2, 10, None),
        (1, Outcome.TIMEOUT, "send", 1, 10, None),
        (1, Outcome.TIMEOUT, "send", 2, 10, "duplicate_effects"),
        (1, Outcome.TIMEOUT, "send", 1, 101, "duplicate_effects"),
        (1, Outcome.TIMEOUT, "reject", 0, 10, "duplicate_effects"),
        (2, Outcome.CONNECT_FAILED, "send", 2, 10, None),
        (2, Outcome.RESET, "send", 1, 10, "duplicate_effects"),
        (2, None, "send", 1, 10, "duplicate_effects"),
        (0, None, "send", 1, 10, "duplicate_effects"),
        (0, Outcome.REJECTED, "send late", 1, 511, "drain_grace"),
        (0, Outcome.REJECTED, "send late", 1, 500, None),
    ],
)
def test_referee_reports_unsafe_retries_and_rejections(request_class, first_outcome, action, cell, at, rule):
    """Once it may have run, an unsafe request is never resent, a keyed one within its group and window."""
    referee = Referee([SAFE, KEYED, UNSAFE], stop_sending=500, is_hedging_allowed=False)
    root = SimpleNamespace(request_class=request_class, index=0)
    call = Call(1, root, 0, 0, 1000, None)
    first_server, second_server = (SimpleNamespace(zone=0, cell=c, id=c) for c in (1, cell))
    call.sent.append(SimpleNamespace(server=first_server, sent_at=0, ended=first_outcome is not None))
    if first_outcome is None:
        call.in_flight = 1
    else:
        referee.attempt_ended(call, first_server, 0, first_outcome)
    if action == "reject":
        referee.check_rejection(at, call)
    else:
        referee.check_attempt(at, call, second_server, 0 if action == "send late" else -1)
    assert {r for r, n in referee.counts.items() if n} == ({rule} if rule else set())


def test_clock_skips_needless_and_cancelled_calls():
    """A call whose condition makes it needless, and a cancelled call, are not made."""
    clock = HeapClock(0)
    calls = []
    for at in (10, 70_000, 140_000, 140_001):
        clock.call_unless(at, calls.append, at, lambda at: at == 140_000)
    handle = clock.call_at(100_000, calls.append, "cancelled")
    clock.cancel(handle)
    clock.run(200_000)
    assert calls == [10, 70_000, 140_001] and clock.now == 200_000 and not clock.cancelled


@pytest.mark.parametrize("name", [n for n in scenarios.shipped_scenarios() if n not in ("soak", "thin")])
def test_shipped_scenarios_keep_rules_with_module_policy(name):
    """Short runs violate no rule, and the account assigns every loss to a cause."""
    result, run = simulate(name, overrides=["length_s=10", "servers=6", "load.fraction=0.5"], seed=7)
    assert not any(result["rules"].values()), run.violations
    account = result["account"]
    lost = sum(entry["share"] for entry in account["lost"])
    assert lost == pytest.approx(1 - account["whole"], abs=1e-9)
    assert account["requests"] == sum(row["asked"] for row in result["table"])


def test_followed_request_reports_steps_of_all_tiers():
    _, run = simulate("quiet", follow=5)
    text = "\n".join(run.steps)
    for word in ("client", "front/", "node/tile-front", "node/tile-render", "answered ok"):
        assert word in text


def test_clients_retry_rejected_requests_up_to_their_limit():
    """Each request is sent three times with two retries, and its whole value is lost to the rejections."""
    calls = []

    def rejecting_policy(settings, seed, actions, world):
        module = POLICIES["random"].make(settings, seed, actions, world)
        module.request = lambda now, request, *rest: (
            calls.append((now, request)),
            actions.reject(request, 0),
        )
        return module

    table = {
        **SINGLE_SERVER,
        "clients": {"retries": 2, "backoff_ms": 100},
        "length_s": 1,
        "load": {"fraction": 0.2},
    }
    run = play(draw(parse_scenario(table)), rejecting_policy)
    account = run.result["account"]
    assert account["tries_a_request"] == 3 and len(calls) == 3 * account["requests"]
    assert [(entry["cause"], entry["tier"]) for entry in account["lost"]] == [("refused at the limit", 0)]
    assert run.result["goal"] == 0


@pytest.mark.parametrize("tier", [0, 1])
def test_unanswered_requests_violate_final_answer_rule(tier):
    """A policy that receives requests of one tier but never responds is reported for nearly every request."""

    def unresponsive_policy(settings, seed, actions, world):
        module = POLICIES["random"].make(settings, seed, actions, world)
        if settings.tier == tier:
            module.request = module.client_disconnected = lambda *event: None
        return module

    run = play(draw(load("quiet", ["length_s=2", "servers=2", "clients.retries=0"]), 1), unresponsive_policy)
    assert run.result["rules"]["final_answer"] >= 0.9 * run.result["account"]["requests"]
    assert "no answer in time" in run.violations[0] and run.result["goal"] < 0.1
