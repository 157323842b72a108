"""Attribution of a day's lost value: each lost request gets one cause, derived from its trace.

A request that ended unserved before its latency objective was ended by a decision or a failure. Its cause is
the outcome of the client's last attempt, unless that is a deadline. Any other request ran out of time. Its
cause is the largest delay between its due time and its latency objective; the typical duration of a request
of its class is not counted as a delay. The time between two attempts of a client is attributed to the outcome
of the first one. Each lost request has exactly one cause, so the causes sum to the loss of the day;
`attribute_losses` checks that sum against the day's account.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from balancer.policy.interface import NEVER_RAN, ClassSettings, Effect, Outcome
from workbench.model.answer import Answer
from workbench.model.trace import NOT_ENDED, AttemptTrace, CallTrace, RequestTrace, TraceLog

# With a smaller share of a call's time remaining, a missing retry counts as too late rather than denied.
MIN_RETRY_TIME_SHARE = 0.25
# Allowed rounding error of sums, relative to the requested value.
ROUNDING_TOLERANCE = 1e-9

# Outcomes of attempts that got no response; None means in flight when the trace ended.
ABANDONED = (Outcome.TIMEOUT, Outcome.CANCELLED, None)


class LossCause(StrEnum):
    """Cause of a lost request; the values are the labels in the tables."""

    CONNECT = "connection not established"
    SILENT = "silent in flight"
    RESET = "reset"
    NODE_LIMIT = "own limit"
    RETRY_BUDGET = "retry denied by budget"
    RETRY_CLASS = "retry denied by class"
    DEADLINE = "deadline at a working server"
    SERVER_REJECTED = "rejected by servers"
    SERVER_ERROR = "server error"
    NODE_DOWN = "no node, or node died"
    CLIENT_LEFT = "client left"
    UNFINISHED = "not ended with the day"


class LossMismatchError(Exception):
    """The attributed losses do not sum to the loss of the day's account."""


@dataclass(frozen=True)
class LossSource:
    """Cause and place of a request's loss.

    Attributes:
        cause: Why the request was lost.
        tier: The tier in which the cause occurred.
        trigger: For a denied retry, the cause of the failure before it.
    """

    cause: LossCause
    tier: int
    trigger: LossCause | None = None


@dataclass(frozen=True)
class AttributionRules:
    """The settings of a day that the attribution needs.

    Attributes:
        classes: The settings of each request class, by its index.
        max_attempts: Maximum number of attempts of a call.
    """

    classes: Sequence[ClassSettings]
    max_attempts: int


@dataclass(frozen=True)
class Delay:
    """A part of a request's time and the source that it is attributed to."""

    source: LossSource
    duration_us: int


class Attribution:
    """Attribution of one request's loss to a source.

    Args:
        trace: The request's trace.
        rules: The day's settings.
        typical_us: Typical duration of a request of its class, in microseconds.
    """

    def __init__(self, trace: RequestTrace, rules: AttributionRules, typical_us: int) -> None:
        self.trace = trace
        self.rules = rules
        self.typical_us = typical_us

    def attribute(self) -> LossSource:
        """Return the source of the request's loss."""
        trace = self.trace
        if trace.client_left:
            return LossSource(LossCause.CLIENT_LEFT, 0)
        if not trace.client_attempts:
            return LossSource(LossCause.NODE_DOWN, 0)
        if not trace.served and trace.ended_at < trace.objective_at:
            source = self.source_of_call(trace.client_attempts[-1])
            if source.cause != LossCause.DEADLINE:
                return source
        return self.longest_delay()

    # ---- Outcomes of calls and attempts -------------------------------------------------------------------

    def source_of_call(self, call: CallTrace) -> LossSource:
        """Return the source of a call's failure."""
        if call.node_died or call.answer == Answer.UNREACHABLE:
            return LossSource(LossCause.NODE_DOWN, call.tier)
        if not call.attempts:
            return LossSource(LossCause.NODE_LIMIT, call.tier)
        failure = self.source_of_attempt(call.attempts[-1])
        if not self.was_denied_retry(call):
            return failure
        denied = LossCause.RETRY_BUDGET if self.may_retry(call) else LossCause.RETRY_CLASS
        return LossSource(denied, call.tier, failure.trigger or failure.cause)

    def was_denied_retry(self, call: CallTrace) -> bool:
        """Return whether the node reported failure although attempts and time remained."""
        if call.answer not in (Answer.REFUSED, Answer.FAILED):
            return False
        min_retry_time = MIN_RETRY_TIME_SHARE * (call.until - call.begun_at)
        return len(call.attempts) < self.rules.max_attempts and call.ended_at + min_retry_time < call.until

    def may_retry(self, call: CallTrace) -> bool:
        """Return whether the request's class allowed another attempt when the call ended."""
        request_class = self.rules.classes[self.trace.request_class]
        executed = [attempt for attempt in call.attempts if attempt.outcome not in NEVER_RAN]
        if not executed or request_class.effect == Effect.IDEMPOTENT:
            return True
        if request_class.effect != Effect.IDEMPOTENCY_KEY:
            return False
        return call.ended_at < executed[0].sent_at + request_class.window

    def source_of_attempt(self, attempt: AttemptTrace) -> LossSource:
        """Return the source of an attempt's failure, in its tier or a later one."""
        tier, outcome = attempt.tier, attempt.outcome
        if outcome == Outcome.CONNECT_FAILED:
            return LossSource(LossCause.CONNECT, tier)
        if outcome == Outcome.REJECTED:
            return LossSource(LossCause.SERVER_REJECTED, tier)
        if outcome == Outcome.RESET:
            return LossSource(LossCause.RESET, tier)
        if outcome in ABANDONED and attempt.silent:
            return LossSource(LossCause.SILENT, tier)
        if outcome == Outcome.ERROR:
            dependency = failed_dependency(attempt)
            if dependency is not None:
                return self.source_of_call(dependency)
            return LossSource(LossCause.SERVER_ERROR, tier)
        return LossSource(LossCause.DEADLINE, tier)

    # ---- Delays of a request ------------------------------------------------------------------------------

    def longest_delay(self) -> LossSource:
        """Return the source of the longest delay until the request's loss was certain."""
        by_source: Counter[LossSource] = Counter()
        for delay in self.delays():
            by_source[delay.source] += delay.duration_us
        by_cause: Counter[LossCause] = Counter()
        for source, duration_us in by_source.items():
            by_cause[source.cause] += duration_us
        by_cause[LossCause.DEADLINE] = max(0, by_cause[LossCause.DEADLINE] - self.typical_us)
        longest = max(by_cause, key=lambda cause: (by_cause[cause], cause == LossCause.DEADLINE, cause))
        sources = [source for source in by_source if source.cause == longest]
        return max(
            sources,
            key=lambda source: (by_source[source], -source.tier),
            default=LossSource(longest, 0),
        )

    def delays(self) -> Iterator[Delay]:
        """Yield the parts of the time until the loss was certain, each with its source."""
        client_attempts, decided_at = self.trace.client_attempts, self.trace.decided_at
        ends = [*(call.begun_at for call in client_attempts[1:]), decided_at]
        for call, end in zip(client_attempts, ends, strict=True):
            yield from self.delays_of_call(call, min(end, decided_at))

    def delays_of_call(self, call: CallTrace, end: int) -> Iterator[Delay]:
        """Yield a call's time up to `end`: attempts by their sources, the remainder by the call's outcome.

        Behind the first tier, a node queues calls at its concurrency limit, so the time before the first
        attempt is attributed to the limit.
        """
        remaining = max(0, end - call.begun_at)
        if call.tier > 0 and call.attempts:
            queued_us = min(remaining, call.attempts[0].sent_at - call.begun_at)
            remaining -= queued_us
            yield Delay(LossSource(LossCause.NODE_LIMIT, call.tier), queued_us)
        for attempt in call.attempts:
            attempt_end = end if attempt.ended_at == NOT_ENDED else min(end, attempt.ended_at)
            duration = min(remaining, max(0, attempt_end - attempt.sent_at))
            remaining -= duration
            yield from self.delays_of_attempt(attempt, duration)
        if remaining > 0:
            yield Delay(self.source_of_call(call), remaining)

    def delays_of_attempt(self, attempt: AttemptTrace, duration: int) -> Iterator[Delay]:
        """Yield an attempt's time by its failure or, for a slow attempt, by the calls that it waited for."""
        source = self.source_of_attempt(attempt)
        if source.cause != LossCause.DEADLINE or source.tier != attempt.tier:
            yield Delay(source, duration)
            return
        remaining = duration
        end = attempt.sent_at + duration
        for call in attempt.calls:
            call_end = end if call.ended_at == NOT_ENDED else min(end, call.ended_at)
            call_duration = min(remaining, max(0, call_end - call.begun_at))
            remaining -= call_duration
            yield from self.delays_of_call(call, call.begun_at + call_duration)
        yield Delay(source, remaining)


def failed_dependency(attempt: AttemptTrace) -> CallTrace | None:
    """Return the call to the next tier whose failure made an attempt fail, if there is one."""
    if attempt.calls and attempt.calls[-1].answer not in (Answer.OK, None):
        return attempt.calls[-1]
    return None


@dataclass
class Breakdown:
    """Requested and lost value of one or several days.

    Attributes:
        requested: The value of all requests.
        by_source: Lost value by its source.
        requested_by_class: Value of the requests of each class.
        by_class: Lost value by class and cause.
        requested_by_second: Value of the requests due in each second of the day.
        by_second: Lost value by second of the day and cause.
    """

    requested: float = 0.0
    by_source: Counter[LossSource] = field(default_factory=Counter)
    requested_by_class: Counter[int] = field(default_factory=Counter)
    by_class: Counter[tuple[int, LossCause]] = field(default_factory=Counter)
    requested_by_second: Counter[int] = field(default_factory=Counter)
    by_second: Counter[tuple[int, LossCause]] = field(default_factory=Counter)

    @property
    def lost(self) -> float:
        """Lost value over all sources."""
        return sum(self.by_source.values())

    def by_cause(self) -> Counter[LossCause]:
        """Return the lost value by cause, over all tiers."""
        causes: Counter[LossCause] = Counter()
        for source, value in self.by_source.items():
            causes[source.cause] += value
        return causes

    def add_requested(self, request_class: int, second: int, value: float) -> None:
        """Add the requested value of one class in one second."""
        self.requested += value
        self.requested_by_class[request_class] += value  # type: ignore[assignment]
        self.requested_by_second[second] += value  # type: ignore[assignment]

    def add_lost(self, request_class: int, second: int, source: LossSource, value: float) -> None:
        """Add lost value of one class in one second, with its source."""
        self.by_source[source] += value  # type: ignore[assignment]
        self.by_class[request_class, source.cause] += value  # type: ignore[assignment]
        self.by_second[second, source.cause] += value  # type: ignore[assignment]

    def add(self, other: Breakdown, shift: int = 0) -> None:
        """Add the values of another day, with `shift` added to its seconds."""
        self.requested += other.requested
        self.by_source.update(other.by_source)
        self.requested_by_class.update(other.requested_by_class)
        self.by_class.update(other.by_class)
        for second, value in other.requested_by_second.items():
            self.requested_by_second[second + shift] += value
        for (second, cause), value in other.by_second.items():
            self.by_second[second + shift, cause] += value


def attribute_losses(
    log: TraceLog, rules: AttributionRules, lost_share: float, all_ended: bool = True
) -> Breakdown:
    """Attribute each loss of a day to a source.

    Args:
        log: The day's traces.
        rules: The day's settings that the attribution needs.
        lost_share: Lost share of the requested value, from the day's account.
        all_ended: Whether every request ended before the day did; the value of the others is attributed to
            `UNFINISHED`.

    Returns:
        The day's requested and lost value.

    Raises:
        LossMismatchError: The attributed losses do not sum to that share.
    """
    result = Breakdown()
    for (request_class, second), value in log.offered_value.items():
        result.add_requested(request_class, second, value)
    typical_us = {request_class: int(median(times)) for request_class, times in log.served_times.items()}
    for trace in log.lost:
        source = Attribution(trace, rules, typical_us.get(trace.request_class, 0)).attribute()
        result.add_lost(trace.request_class, log.second_of(trace.due), source, trace.lost_value)
    missing = lost_share * result.requested - result.lost
    if not all_ended and missing > 0:
        result.by_source[LossSource(LossCause.UNFINISHED, 0)] = missing  # type: ignore[assignment]
    elif abs(missing) > ROUNDING_TOLERANCE * max(1.0, result.requested):
        raise LossMismatchError(
            f"attributed losses sum to {result.lost:.6f}: {missing:+.6f} missing from the account's loss"
        )
    return result
