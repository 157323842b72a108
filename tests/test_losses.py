"""Attribution of lost worth: a hand-made trace for each cause, and sums that meet a real day's account."""

from __future__ import annotations

import msgspec
import pytest
from click.testing import CliRunner

from balancer.policy.interface import ClassSettings, Effect, Group, Outcome
from workbench.baselines import POLICIES
from workbench.cli import cli
from workbench.experiment.losses import LossTask, play_all
from workbench.model.answer import Answer
from workbench.model.call import Attempt, Request
from workbench.model.job import DONE, Job
from workbench.model.site import CLOCK_START_US, World
from workbench.model.trace import AttemptTrace, CallTrace, RequestTrace, TraceLog
from workbench.report.losses import (
    Attribution,
    AttributionRules,
    Breakdown,
    LossCause,
    LossMismatchError,
    LossSource,
    breakdown,
)
from workbench.scenario.load import draw, load
from workbench.scenario.model import Scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host
from workbench.simulator.node import Node
from workbench.simulator.play import play

AIM, DEADLINE, WINDOW = 2_500_000, 6_000_000, 10_000_000
SAFE, KEYED, UNSAFE = range(3)
EFFECTS = (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEY, Effect.NOT_IDEMPOTENT)
CLASSES = [ClassSettings(effect, AIM, DEADLINE, 1.0, 0.0, Group.ALL, WINDOW) for effect in EFFECTS]
RULES = AttributionRules(CLASSES, max_attempts=4)
USUAL = 1_000_000
SHORT = ["length_s=8", "servers=4"]


def attempt(
    start: int, end: int, outcome: Outcome, *calls: CallTrace, tier: int = 0, silent: bool = False
) -> AttemptTrace:
    """An attempt, its times in milliseconds."""
    made = AttemptTrace(tier, start * 1000, calls=list(calls))
    made.end(end * 1000, outcome, silent)
    return made


def call(
    start: int, end: int, answer: Answer | None, *attempts: AttemptTrace, tier: int = 0, until: int = 3000
) -> CallTrace:
    """A call, its times in milliseconds; `answer` None: given up by its caller."""
    made = CallTrace(tier, start * 1000, until * 1000, attempts=list(attempts))
    if answer is not None:
        made.end(end * 1000, answer)
    return made


def request(end: int, *tries: CallTrace, request_class: int = SAFE, served: bool = False) -> RequestTrace:
    """A lost request that was due at 0 and ended at `end` milliseconds."""
    return RequestTrace(
        0,
        request_class,
        0,
        AIM,
        ended_at=end * 1000,
        served=served,
        lost_value=1.0,
        client_attempts=list(tries),
    )


def attribute(trace: RequestTrace) -> LossSource:
    return Attribution(trace, RULES, USUAL).attribute()


OK, CONNECT, REJECTED = Outcome.OK, Outcome.CONNECT_FAILED, Outcome.REJECTED
RESET, ERROR, TIMEOUT = Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT


def dying_node() -> CallTrace:
    """A call whose node dies under its attempt."""
    trace = call(0, 500, Answer.FAILED, attempt(2, 500, RESET))
    trace.node_died = True
    return trace


FOUR_CONNECTS = [attempt(150 * n, 150 * (n + 1), CONNECT) for n in range(4)]
ENDED: dict[str, tuple[RequestTrace, LossSource]] = {
    "connections not established until no attempt is left": (
        request(600, call(0, 600, Answer.REFUSED, *FOUR_CONNECTS)),
        LossSource(LossCause.CONNECT, 0),
    ),
    "reset with too little time left for a retry": (
        request(2400, call(0, 2400, Answer.FAILED, attempt(2, 2400, RESET))),
        LossSource(LossCause.RESET, 0),
    ),
    "rejected by the node's own limit, in the last of two tries": (
        request(510, call(0, 5, Answer.REFUSED), call(500, 505, Answer.REFUSED)),
        LossSource(LossCause.OWN_LIMIT, 0),
    ),
    "a retry denied by the budget": (
        request(300, call(0, 300, Answer.REFUSED, attempt(2, 300, RESET))),
        LossSource(LossCause.RETRY_BUDGET, 0, LossCause.RESET),
    ),
    "a keyed retry denied within its window": (
        request(300, call(0, 300, Answer.FAILED, attempt(2, 300, RESET)), request_class=KEYED),
        LossSource(LossCause.RETRY_BUDGET, 0, LossCause.RESET),
    ),
    "a retry that the class forbids": (
        request(300, call(0, 300, Answer.FAILED, attempt(2, 300, RESET)), request_class=UNSAFE),
        LossSource(LossCause.RETRY_CLASS, 0, LossCause.RESET),
    ),
    "an unsafe retry denied though nothing ran": (
        request(150, call(0, 150, Answer.REFUSED, attempt(2, 150, CONNECT)), request_class=UNSAFE),
        LossSource(LossCause.RETRY_BUDGET, 0, LossCause.CONNECT),
    ),
    "rejected by a server when time was short": (
        request(2400, call(0, 2400, Answer.REFUSED, attempt(2, 2400, REJECTED))),
        LossSource(LossCause.SERVER_REJECTED, 0),
    ),
    "a server's error when time was short": (
        request(2400, call(0, 2400, Answer.FAILED, attempt(2, 2400, ERROR))),
        LossSource(LossCause.SERVER_ERROR, 0),
    ),
    "an error that a limit behind the server caused": (
        request(
            2400,
            call(0, 2400, Answer.FAILED, attempt(2, 2400, ERROR, call(9, 2390, Answer.REFUSED, tier=1))),
        ),
        LossSource(LossCause.OWN_LIMIT, 1),
    ),
    "a node that died": (request(500, dying_node()), LossSource(LossCause.NODE_DOWN, 0)),
    "no node": (request(5, call(0, 1, Answer.UNREACHABLE)), LossSource(LossCause.NODE_DOWN, 0)),
}


@pytest.mark.parametrize("name", ENDED)
def test_a_request_that_ended_before_its_aim_is_lost_to_its_end(name: str) -> None:
    """Failure prevented: a rejection or a denied retry hides behind what took longer."""
    trace, expected = ENDED[name]
    assert attribute(trace) == expected


def test_a_client_that_left_is_a_cause_of_its_own() -> None:
    trace = request(400, call(0, 0, None, attempt(2, 400, Outcome.CANCELLED)))
    trace.client_left = True
    assert attribute(trace) == LossSource(LossCause.CLIENT_LEFT, 0)


LATE: dict[str, tuple[RequestTrace, LossSource]] = {
    "a silent server for most of the time": (
        request(6000, call(0, 0, None, attempt(2, 3000, TIMEOUT, silent=True))),
        LossSource(LossCause.SILENT, 0),
    ),
    "a server at work until the time was over": (
        request(6000, call(0, 0, None, attempt(2, 3000, TIMEOUT))),
        LossSource(LossCause.DEADLINE, 0),
    ),
    "served late after connections that did not come up, though the work took longest": (
        request(
            2600,
            call(
                0,
                2590,
                Answer.OK,
                attempt(0, 500, CONNECT),
                attempt(500, 1000, CONNECT),
                attempt(1000, 2590, OK),
            ),
            served=True,
        ),
        LossSource(LossCause.CONNECT, 0),
    ),
    "served late by a slow server": (
        request(
            2600, call(0, 2590, Answer.OK, attempt(0, 150, CONNECT), attempt(150, 2590, OK)), served=True
        ),
        LossSource(LossCause.DEADLINE, 0),
    ),
    "served late after waits for clients that were rejected": (
        request(
            2700,
            call(0, 5, Answer.REFUSED),
            call(1000, 1005, Answer.REFUSED),
            call(1600, 2690, Answer.OK, attempt(1602, 2690, OK)),
            served=True,
        ),
        LossSource(LossCause.OWN_LIMIT, 0),
    ),
    "a silent server two tiers behind": (
        request(
            6000,
            call(
                0,
                0,
                None,
                attempt(
                    2,
                    3000,
                    TIMEOUT,
                    call(300, 0, None, attempt(310, 3000, TIMEOUT, tier=1, silent=True), tier=1),
                ),
            ),
        ),
        LossSource(LossCause.SILENT, 1),
    ),
    "a call that its node gives up some milliseconds before the aim, for a limit two tiers behind": (
        request(
            2495,
            call(
                0,
                2492,
                Answer.REFUSED,
                attempt(2, 2492, TIMEOUT, call(100, 0, None, tier=1)),
                until=2500,
            ),
        ),
        LossSource(LossCause.OWN_LIMIT, 1),
    ),
    "a request that was long on its way to the first tier's node, which queues nothing": (
        request(2600, call(0, 2590, Answer.OK, attempt(1400, 2590, OK)), served=True),
        LossSource(LossCause.DEADLINE, 0),
    ),
    "a wait in the queue of the next tier's node before an attempt that succeeds": (
        request(
            2600,
            call(
                0,
                2590,
                Answer.OK,
                attempt(2, 2580, OK, call(100, 2500, Answer.OK, attempt(1900, 2490, OK, tier=1), tier=1)),
            ),
            served=True,
        ),
        LossSource(LossCause.OWN_LIMIT, 1),
    ),
    "a wait in the queue at the limit of the next tier": (
        request(
            2600,
            call(
                0,
                2590,
                Answer.OK,
                attempt(2, 2580, OK, call(300, 2000, Answer.REFUSED, tier=1)),
            ),
            served=True,
        ),
        LossSource(LossCause.OWN_LIMIT, 1),
    ),
}


@pytest.mark.parametrize("name", LATE)
def test_a_request_whose_time_ran_out_is_lost_to_what_held_it_longest(name: str) -> None:
    """Failure prevented: all that is late is called slow, whatever took the time."""
    trace, expected = LATE[name]
    assert attribute(trace) == expected


def test_time_after_the_aim_does_not_count() -> None:
    """Failure prevented: a loss that was decided is put down to what came after it."""
    slow = attempt(2, 2600, TIMEOUT)
    silent = attempt(2600, 6000, TIMEOUT, silent=True)
    assert attribute(request(6000, call(0, 0, None, slow, silent, until=6000))) == LossSource(
        LossCause.DEADLINE, 0
    )


def log_of(*lost: RequestTrace) -> TraceLog:
    log = TraceLog()
    for trace in lost:
        log.begin_request(trace, 1.0)
        log.end_request(trace, trace.ended_at, trace.served, trace.lost_value)
    return log


def test_causes_that_do_not_sum_to_the_loss_are_an_error() -> None:
    """Failure prevented: a table that leaves a loss out, or counts it twice."""
    trace, expected = ENDED["no node"]
    found = breakdown(log_of(trace), RULES, lost_share=1.0)
    assert found.by_source == {expected: 1.0}
    with pytest.raises(LossMismatchError):
        breakdown(log_of(trace), RULES, lost_share=0.5)
    with pytest.raises(LossMismatchError):
        breakdown(log_of(trace), RULES, lost_share=0.5, all_ended=False)


def test_requests_that_the_day_does_not_end_are_a_cause_of_their_own() -> None:
    trace, expected = ENDED["no node"]
    log = log_of(trace)
    log.begin_request(RequestTrace(1, SAFE, 0, AIM), 1.0)
    found = breakdown(log, RULES, lost_share=1.0, all_ended=False)
    assert found.by_source == {expected: 1.0, LossSource(LossCause.UNFINISHED, 0): 1.0}
    with pytest.raises(LossMismatchError):
        breakdown(log, RULES, lost_share=1.0)


def test_days_are_added_by_the_second_of_their_faults() -> None:
    total = Breakdown()
    for fault_second in (3, 5):
        day = Breakdown()
        day.add_requested(SAFE, fault_second, 2.0)
        day.add_lost(SAFE, fault_second, LossSource(LossCause.RESET, 0), 1.0)
        total.add(day, shift=-fault_second)
    assert total.requested_by_second == {0: 4.0}
    assert total.by_second == {(0, LossCause.RESET): 2.0}
    assert total.by_class == {(SAFE, LossCause.RESET): 2.0}


def short_day(name: str, *overrides: str) -> Scenario:
    return draw(load(name, [*SHORT, *overrides]), 2)


DAYS = {
    "cut": short_day("cut", "fault[0].at_s=3", "fault[0].for_s=3"),
    "zone lost": short_day("zone-lost", "fault[0].at_s=3", "fault[0].for_s=3"),
    "silent": short_day("cut", "fault[0].type=silent", "fault[0].at_s=3", "fault[0].part=0.3"),
    "killed nodes": short_day("restart", "fault[0].at_s=3", "fault[0].kill=true"),
    "clients leave": short_day("overload", "clients.leave_early=0.1"),
}
EXPECTED = {
    "cut": LossCause.SILENT,
    "zone lost": LossCause.RESET,
    "silent": LossCause.SILENT,
    "killed nodes": LossCause.NODE_DOWN,
    "clients leave": LossCause.CLIENT_LEFT,
}


@pytest.mark.parametrize("name", DAYS)
def test_causes_of_a_day_sum_to_its_account(name: str) -> None:
    """`breakdown` raises where they do not; the day's own cause is among them."""
    (day,) = play_all([LossTask(DAYS[name], "random")], workers=1)
    assert day.losses.lost > 0
    assert day.losses.by_cause()[EXPECTED[name]] > 0
    assert sum(day.losses.by_class.values()) == pytest.approx(day.losses.lost)
    assert sum(day.losses.by_second.values()) == pytest.approx(day.losses.lost)


def lost_traces(name: str) -> list[RequestTrace]:
    log = play(DAYS[name], "random", trace=True).trace_log
    assert log is not None
    return log.lost


def test_a_node_that_dies_is_marked_in_its_calls() -> None:
    """Failure prevented: calls that died with their node are taken for resets by servers."""
    tries = [call for trace in lost_traces("killed nodes") for call in trace.client_attempts]
    assert any(call.node_died and call.attempts for call in tries)


def test_calls_of_servers_are_part_of_the_trace() -> None:
    """Failure prevented: what is lost behind the first tier is put down to the first."""
    attempts = [
        attempt for trace in lost_traces("cut") for call in trace.client_attempts for attempt in call.attempts
    ]
    assert any(call.tier == 1 and call.attempts for attempt in attempts for call in attempt.calls)


@pytest.mark.parametrize("state", ["lost", "answer lost", "silent", "cut"])
def test_an_attempt_is_unanswerable_where_nothing_can_come_back(state: str) -> None:
    clock = HeapClock(CLOCK_START_US)
    world = World(DAYS["cut"], clock, Host(clock, 1000, POLICIES["random"].make))
    node = world.nodes[0]
    assert isinstance(node, Node)
    server = next(server for server in world.tiers[0] if server.zone != node.zone)
    wanted = Request(0, 0, SAFE, 0, CLOCK_START_US, AIM, DEADLINE, 1.0)
    sent = Attempt(
        world.call(wanted, 0, 0, CLOCK_START_US + AIM, world.clients), 0, server, node, 0, CLOCK_START_US
    )
    sent.job = Job(sent, 1.0, 0)
    assert not node.is_unanswerable(sent)
    if state == "lost":
        sent.job = None
    elif state == "answer lost":
        sent.job.state = DONE
    elif state == "silent":
        server.silent = True
    else:
        world.network.partitioned_zones.add(server.zone)
    assert node.is_unanswerable(sent)


def test_tracing_changes_nothing_of_a_day() -> None:
    day = DAYS["cut"]
    plain, traced = (play(day, trace=trace).result for trace in (False, True))
    for result in (plain, traced):
        del result["speed"]
    assert msgspec.json.encode(plain) == msgspec.json.encode(traced)


def test_the_command_prints_losses_of_each_policy() -> None:
    arguments = ["losses", "cut", "--seeds", "1", "--policy", "module", "--policy", "random"]
    for override in [*SHORT, "fault[0].at_s=3"]:
        arguments += ["--set", override]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0, result.output
    assert "lost, % of the worth asked for" in result.output
    assert "all causes" in result.output
    assert "random: second of the fault" in result.output
    assert "alert-set" in result.output
