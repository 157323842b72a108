"""Attribution of lost value: a constructed trace for each cause, and sums that match a simulated day."""

from __future__ import annotations

import msgspec
import pytest
from click.testing import CliRunner

from balancer.policy.interface import ClassSettings, Effect, Group, Outcome
from workbench.baselines import POLICIES
from workbench.cli import cli
from workbench.experiment.losses import LossTask, play_and_attribute_all
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
    attribute_losses,
)
from workbench.scenario.load import draw, load
from workbench.scenario.model import Scenario
from workbench.simulator.heap import HeapClock
from workbench.simulator.host import Host
from workbench.simulator.node import Node
from workbench.simulator.play import play

LATENCY_OBJECTIVE_US, DEADLINE_US, RETRY_WINDOW_US = 2_500_000, 6_000_000, 10_000_000
SAFE, KEYED, UNSAFE = range(3)
EFFECTS = (Effect.IDEMPOTENT, Effect.IDEMPOTENCY_KEY, Effect.NOT_IDEMPOTENT)
CLASSES = [
    ClassSettings(effect, LATENCY_OBJECTIVE_US, DEADLINE_US, 1.0, 0.0, Group.ALL, RETRY_WINDOW_US)
    for effect in EFFECTS
]
RULES = AttributionRules(CLASSES, max_attempts=4)
TYPICAL_US = 1_000_000
SHORT_DAY = ["length_s=8", "servers=4"]


def attempt(
    start: int, end: int, outcome: Outcome, *calls: CallTrace, tier: int = 0, silent: bool = False
) -> AttemptTrace:
    """Return the trace of an attempt, with times in milliseconds."""
    trace = AttemptTrace(tier, start * 1000, calls=list(calls))
    trace.end(end * 1000, outcome, silent)
    return trace


def call(
    start: int, end: int, answer: Answer | None, *attempts: AttemptTrace, tier: int = 0, until: int = 3000
) -> CallTrace:
    """Return the trace of a call, with times in milliseconds; without an answer, its caller gave up."""
    trace = CallTrace(tier, start * 1000, until * 1000, attempts=list(attempts))
    if answer is not None:
        trace.end(end * 1000, answer)
    return trace


def request(
    end: int, *client_attempts: CallTrace, request_class: int = SAFE, served: bool = False
) -> RequestTrace:
    """Return the trace of a lost request that was due at 0 and ended at `end` milliseconds."""
    return RequestTrace(
        0,
        request_class,
        0,
        LATENCY_OBJECTIVE_US,
        ended_at=end * 1000,
        served=served,
        lost_value=1.0,
        client_attempts=list(client_attempts),
    )


def attribute(trace: RequestTrace) -> LossSource:
    return Attribution(trace, RULES, TYPICAL_US).attribute()


OK, CONNECT, REJECTED = Outcome.OK, Outcome.CONNECT_FAILED, Outcome.REJECTED
RESET, ERROR, TIMEOUT = Outcome.RESET, Outcome.ERROR, Outcome.TIMEOUT


def call_of_dying_node() -> CallTrace:
    """Return the trace of a call whose node dies during the attempt."""
    trace = call(0, 500, Answer.FAILED, attempt(2, 500, RESET))
    trace.node_died = True
    return trace


FOUR_CONNECTS = [attempt(150 * n, 150 * (n + 1), CONNECT) for n in range(4)]
EARLY_FAILURES: dict[str, tuple[RequestTrace, LossSource]] = {
    "no connection established in any attempt": (
        request(600, call(0, 600, Answer.REFUSED, *FOUR_CONNECTS)),
        LossSource(LossCause.CONNECT, 0),
    ),
    "reset with too little time left for a retry": (
        request(2400, call(0, 2400, Answer.FAILED, attempt(2, 2400, RESET))),
        LossSource(LossCause.RESET, 0),
    ),
    "rejected at the node's limit in the last of two client attempts": (
        request(510, call(0, 5, Answer.REFUSED), call(500, 505, Answer.REFUSED)),
        LossSource(LossCause.NODE_LIMIT, 0),
    ),
    "a retry denied by the budget": (
        request(300, call(0, 300, Answer.REFUSED, attempt(2, 300, RESET))),
        LossSource(LossCause.RETRY_BUDGET, 0, LossCause.RESET),
    ),
    "a keyed retry denied within its retry window": (
        request(300, call(0, 300, Answer.FAILED, attempt(2, 300, RESET)), request_class=KEYED),
        LossSource(LossCause.RETRY_BUDGET, 0, LossCause.RESET),
    ),
    "a retry that the class forbids": (
        request(300, call(0, 300, Answer.FAILED, attempt(2, 300, RESET)), request_class=UNSAFE),
        LossSource(LossCause.RETRY_CLASS, 0, LossCause.RESET),
    ),
    "an unsafe retry denied although no attempt was executed": (
        request(150, call(0, 150, Answer.REFUSED, attempt(2, 150, CONNECT)), request_class=UNSAFE),
        LossSource(LossCause.RETRY_BUDGET, 0, LossCause.CONNECT),
    ),
    "rejected by a server with too little time for a retry": (
        request(2400, call(0, 2400, Answer.REFUSED, attempt(2, 2400, REJECTED))),
        LossSource(LossCause.SERVER_REJECTED, 0),
    ),
    "a server error with too little time for a retry": (
        request(2400, call(0, 2400, Answer.FAILED, attempt(2, 2400, ERROR))),
        LossSource(LossCause.SERVER_ERROR, 0),
    ),
    "an error caused by a limit behind the server": (
        request(
            2400,
            call(0, 2400, Answer.FAILED, attempt(2, 2400, ERROR, call(9, 2390, Answer.REFUSED, tier=1))),
        ),
        LossSource(LossCause.NODE_LIMIT, 1),
    ),
    "a node that died": (request(500, call_of_dying_node()), LossSource(LossCause.NODE_DOWN, 0)),
    "no node": (request(5, call(0, 1, Answer.UNREACHABLE)), LossSource(LossCause.NODE_DOWN, 0)),
}


@pytest.mark.parametrize("name", EARLY_FAILURES)
def test_early_failure_is_attributed_to_the_final_outcome(name: str) -> None:
    """A rejection or a denied retry is the cause even if something else took more of the time."""
    trace, expected = EARLY_FAILURES[name]
    assert attribute(trace) == expected


def test_client_departure_is_a_separate_cause() -> None:
    trace = request(400, call(0, 0, None, attempt(2, 400, Outcome.CANCELLED)))
    trace.client_left = True
    assert attribute(trace) == LossSource(LossCause.CLIENT_LEFT, 0)


LATE_REQUESTS: dict[str, tuple[RequestTrace, LossSource]] = {
    "a silent server for most of the time": (
        request(6000, call(0, 0, None, attempt(2, 3000, TIMEOUT, silent=True))),
        LossSource(LossCause.SILENT, 0),
    ),
    "a working server that exceeds the deadline": (
        request(6000, call(0, 0, None, attempt(2, 3000, TIMEOUT))),
        LossSource(LossCause.DEADLINE, 0),
    ),
    "served late after failed connections, although the work took longer": (
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
    "served late after the client waited between rejected attempts": (
        request(
            2700,
            call(0, 5, Answer.REFUSED),
            call(1000, 1005, Answer.REFUSED),
            call(1600, 2690, Answer.OK, attempt(1602, 2690, OK)),
            served=True,
        ),
        LossSource(LossCause.NODE_LIMIT, 0),
    ),
    "a silent server of the next tier": (
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
    "a call given up just before the latency objective, because of a limit in the next tier": (
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
        LossSource(LossCause.NODE_LIMIT, 1),
    ),
    "a late first attempt in the first tier, whose nodes queue nothing": (
        request(2600, call(0, 2590, Answer.OK, attempt(1400, 2590, OK)), served=True),
        LossSource(LossCause.DEADLINE, 0),
    ),
    "a wait in the queue of the next tier's node before a successful attempt": (
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
        LossSource(LossCause.NODE_LIMIT, 1),
    ),
    "a wait in the queue of the next tier's node that ends in a rejection": (
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
        LossSource(LossCause.NODE_LIMIT, 1),
    ),
}


@pytest.mark.parametrize("name", LATE_REQUESTS)
def test_late_request_is_attributed_to_its_longest_delay(name: str) -> None:
    """A late request is attributed to a slow server only if that took the largest part of its time."""
    trace, expected = LATE_REQUESTS[name]
    assert attribute(trace) == expected


def test_time_after_the_latency_objective_is_not_counted() -> None:
    """Events after the loss is certain must not change its cause."""
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


def test_attribution_raises_if_causes_do_not_sum_to_the_loss() -> None:
    """The sum is checked, so tables neither omit a loss nor count it twice."""
    trace, expected = EARLY_FAILURES["no node"]
    losses = attribute_losses(log_of(trace), RULES, lost_share=1.0)
    assert losses.by_source == {expected: 1.0}
    with pytest.raises(LossMismatchError):
        attribute_losses(log_of(trace), RULES, lost_share=0.5)
    with pytest.raises(LossMismatchError):
        attribute_losses(log_of(trace), RULES, lost_share=0.5, all_ended=False)


def test_requests_still_running_at_the_end_are_unfinished() -> None:
    trace, expected = EARLY_FAILURES["no node"]
    log = log_of(trace)
    log.begin_request(RequestTrace(1, SAFE, 0, LATENCY_OBJECTIVE_US), 1.0)
    losses = attribute_losses(log, RULES, lost_share=1.0, all_ended=False)
    assert losses.by_source == {expected: 1.0, LossSource(LossCause.UNFINISHED, 0): 1.0}
    with pytest.raises(LossMismatchError):
        attribute_losses(log, RULES, lost_share=1.0)


def test_breakdown_add_aligns_days_by_their_fault() -> None:
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
    return draw(load(name, [*SHORT_DAY, *overrides]), 2)


DAYS = {
    "cut": short_day("cut", "fault[0].at_s=3", "fault[0].for_s=3"),
    "zone lost": short_day("zone-lost", "fault[0].at_s=3", "fault[0].for_s=3"),
    "silent": short_day("cut", "fault[0].type=silent", "fault[0].at_s=3", "fault[0].part=0.3"),
    "killed nodes": short_day("restart", "fault[0].at_s=3", "fault[0].kill=true"),
    "clients leave": short_day("overload", "clients.leave_early=0.1"),
}
EXPECTED_CAUSES = {
    "cut": LossCause.SILENT,
    "zone lost": LossCause.RESET,
    "silent": LossCause.SILENT,
    "killed nodes": LossCause.NODE_DOWN,
    "clients leave": LossCause.CLIENT_LEFT,
}


@pytest.mark.parametrize("name", DAYS)
def test_causes_of_a_day_sum_to_its_loss(name: str) -> None:
    """`attribute_losses` raises if the causes do not sum to the loss; the fault's own cause is among them."""
    (day,) = play_and_attribute_all([LossTask(DAYS[name], "random")], workers=1)
    assert day.losses.lost > 0
    assert day.losses.by_cause()[EXPECTED_CAUSES[name]] > 0
    assert sum(day.losses.by_class.values()) == pytest.approx(day.losses.lost)
    assert sum(day.losses.by_second.values()) == pytest.approx(day.losses.lost)


def lost_traces(name: str) -> list[RequestTrace]:
    log = play(DAYS[name], "random", trace=True).trace_log
    assert log is not None
    return log.lost


def test_calls_of_a_dead_node_are_marked_in_the_trace() -> None:
    """Calls that ended with their node must not be attributed to resets by servers."""
    client_attempts = [call for trace in lost_traces("killed nodes") for call in trace.client_attempts]
    assert any(call.node_died and call.attempts for call in client_attempts)


def test_trace_includes_calls_to_the_next_tier() -> None:
    """Without calls of later tiers, their losses would be attributed to the first tier."""
    attempts = [
        attempt for trace in lost_traces("cut") for call in trace.client_attempts for attempt in call.attempts
    ]
    assert any(call.tier == 1 and call.attempts for attempt in attempts for call in attempt.calls)


@pytest.mark.parametrize("state", ["lost", "answer lost", "silent", "cut"])
def test_attempt_is_unanswerable_when_no_response_can_arrive(state: str) -> None:
    clock = HeapClock(CLOCK_START_US)
    world = World(DAYS["cut"], clock, Host(clock, 1000, POLICIES["random"].make))
    node = world.nodes[0]
    assert isinstance(node, Node)
    server = next(server for server in world.tiers[0] if server.zone != node.zone)
    request = Request(0, 0, SAFE, 0, CLOCK_START_US, LATENCY_OBJECTIVE_US, DEADLINE_US, 1.0)
    attempt = Attempt(
        world.call(request, 0, 0, CLOCK_START_US + LATENCY_OBJECTIVE_US, world.clients),
        0,
        server,
        node,
        0,
        CLOCK_START_US,
    )
    attempt.job = Job(attempt, 1.0, 0)
    assert not node.is_unanswerable(attempt)
    if state == "lost":
        attempt.job = None
    elif state == "answer lost":
        attempt.job.state = DONE
    elif state == "silent":
        server.silent = True
    else:
        world.network.partitioned_zones.add(server.zone)
    assert node.is_unanswerable(attempt)


def test_tracing_does_not_change_the_result() -> None:
    day = DAYS["cut"]
    untraced, traced = (play(day, trace=trace).result for trace in (False, True))
    for result in (untraced, traced):
        del result["speed"]
    assert msgspec.json.encode(untraced) == msgspec.json.encode(traced)


def test_losses_command_prints_a_table_for_each_policy() -> None:
    arguments = ["losses", "cut", "--seeds", "1", "--policy", "module", "--policy", "random"]
    for override in [*SHORT_DAY, "fault[0].at_s=3"]:
        arguments += ["--set", override]
    result = CliRunner().invoke(cli, arguments)
    assert result.exit_code == 0, result.output
    assert "lost, % of the worth asked for" in result.output
    assert "all causes" in result.output
    assert "random: second of the fault" in result.output
    assert "alert-set" in result.output
