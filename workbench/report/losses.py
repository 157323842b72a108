"""Where a day's worth was lost: one cause for each lost request, from its trace.

The rule. A request that ended unserved before its aim was ended by a decision or a failure, and the end of
its last try is the cause, unless that is a deadline. Any other request ran out of time, and the cause is what
held it for longest between its due time and its aim; there the time that a request of its class usually takes
is its own and holds it up in nothing. A wait between two tries belongs to what ended the first of them. Each
lost request has one cause, so the causes sum to the loss of the day; `breakdown` checks that against the
day's account.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from statistics import median

from balancer.policy.interface import NEVER_RAN, ClassSettings, Effect, Outcome
from workbench.model.answer import Answer
from workbench.model.trace import UNENDED, AttemptTrace, CallTrace, RequestTrace, TraceLog

RETRY_ROOM = 0.25  # of a call's time: with less of it left, no retry is a matter of time and not a denial
TOLERANCE = 1e-9  # of the worth asked for: rounding of sums

GIVEN_UP = (Outcome.TIMEOUT, Outcome.CANCELLED, None)  # None: still out when the trace ends


class LossCause(StrEnum):
    """What a lost request's worth is attributed to."""

    CONNECT = "connection not established"
    SILENT = "silent in flight"
    RESET = "reset"
    OWN_LIMIT = "own limit"
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
class Blame:
    """A cause, the tier where it lies, and for a denied retry the cause of the failure before it."""

    cause: LossCause
    tier: int
    trigger: LossCause | None = None


@dataclass(frozen=True)
class AttributionRules:
    """What of a day's settings the attribution needs."""

    classes: Sequence[ClassSettings]
    max_attempts: int


class Attribution:
    """Finds the cause of one request's loss.

    Args:
        trace: The request's trace.
        rules: The classes, and how many attempts a call may have.
        usual: How long a request of its class usually takes, in microseconds.
    """

    def __init__(self, trace: RequestTrace, rules: AttributionRules, usual: int) -> None:
        self.trace = trace
        self.rules = rules
        self.usual = usual

    def blame(self) -> Blame:
        """Returns the cause of the request's loss."""
        trace = self.trace
        if trace.client_left:
            return Blame(LossCause.CLIENT_LEFT, 0)
        if not trace.client_attempts:
            return Blame(LossCause.NODE_DOWN, 0)
        if not trace.served and trace.ended_at < trace.objective_at:
            end = self.end_of_call(trace.client_attempts[-1])
            if end.cause != LossCause.DEADLINE:
                return end
        return self.longest_hold()

    # ---- how a call or an attempt ended -----------------------------------------------------------------

    def end_of_call(self, call: CallTrace) -> Blame:
        """Why a call ended without success."""
        if call.node_died or call.answer == Answer.UNREACHABLE:
            return Blame(LossCause.NODE_DOWN, call.tier)
        if not call.attempts:
            return Blame(LossCause.OWN_LIMIT, call.tier)
        failure = self.end_of_attempt(call.attempts[-1])
        if not self.was_denied_retry(call):
            return failure
        denied = LossCause.RETRY_BUDGET if self.may_repeat(call) else LossCause.RETRY_CLASS
        return Blame(denied, call.tier, failure.trigger or failure.cause)

    def was_denied_retry(self, call: CallTrace) -> bool:
        """Whether the node answered with attempts and time left."""
        if call.answer not in (Answer.REFUSED, Answer.FAILED):
            return False
        room = RETRY_ROOM * (call.until - call.begun_at)
        return len(call.attempts) < self.rules.max_attempts and call.ended_at + room < call.until

    def may_repeat(self, call: CallTrace) -> bool:
        """Whether the request's class allowed one more attempt at the call's end."""
        klass = self.rules.classes[self.trace.request_class]
        ran = [attempt for attempt in call.attempts if attempt.outcome not in NEVER_RAN]
        if not ran or klass.effect == Effect.IDEMPOTENT:
            return True
        return klass.effect == Effect.IDEMPOTENCY_KEY and call.ended_at < ran[0].sent_at + klass.window

    def end_of_attempt(self, attempt: AttemptTrace) -> Blame:
        """Why an attempt ended as it did, at its own tier or behind it."""
        tier, outcome = attempt.tier, attempt.outcome
        if outcome == Outcome.CONNECT_FAILED:
            return Blame(LossCause.CONNECT, tier)
        if outcome == Outcome.REJECTED:
            return Blame(LossCause.SERVER_REJECTED, tier)
        if outcome == Outcome.RESET:
            return Blame(LossCause.RESET, tier)
        if outcome in GIVEN_UP and attempt.silent:
            return Blame(LossCause.SILENT, tier)
        if outcome == Outcome.ERROR:
            behind = failed_call(attempt)
            return self.end_of_call(behind) if behind is not None else Blame(LossCause.SERVER_ERROR, tier)
        return Blame(LossCause.DEADLINE, tier)

    # ---- what held a request up -------------------------------------------------------------------------

    def longest_hold(self) -> Blame:
        """Returns what held the request for longest until its loss was decided."""
        held: Counter[Blame] = Counter()
        for blame, time in self.holds():
            held[blame] += time
        by_cause: Counter[LossCause] = Counter()
        for blame, time in held.items():
            by_cause[blame.cause] += time
        by_cause[LossCause.DEADLINE] = max(0, by_cause[LossCause.DEADLINE] - self.usual)
        cause = max(by_cause, key=lambda found: (by_cause[found], found == LossCause.DEADLINE, found))
        parts = [blame for blame in held if blame.cause == cause]
        return max(parts, key=lambda b: (held[b], -b.tier), default=Blame(cause, 0))

    def holds(self) -> Iterator[tuple[Blame, int]]:
        """The time until the decision, in parts, each with its cause."""
        tries, decided_at = self.trace.client_attempts, self.trace.decided_at
        ends = [*(call.begun_at for call in tries[1:]), decided_at]
        for call, end in zip(tries, ends, strict=True):
            yield from self.holds_of_call(call, min(end, decided_at))

    def holds_of_call(self, call: CallTrace, end: int) -> Iterator[tuple[Blame, int]]:
        """A call's time up to `end`: its attempts by their own causes, all other time by the call's end.

        Below the first tier a node queues calls at its limit, so the time before the first attempt is the
        limit's.
        """
        left = max(0, end - call.begun_at)
        if call.tier > 0 and call.attempts:
            queued = min(left, call.attempts[0].sent_at - call.begun_at)
            left -= queued
            yield (Blame(LossCause.OWN_LIMIT, call.tier), queued)
        for attempt in call.attempts:
            stop = end if attempt.ended_at == UNENDED else min(end, attempt.ended_at)
            time = min(left, max(0, stop - attempt.sent_at))
            left -= time
            yield from self.holds_of_attempt(attempt, time)
        if left > 0:
            yield (self.end_of_call(call), left)

    def holds_of_attempt(self, attempt: AttemptTrace, time: int) -> Iterator[tuple[Blame, int]]:
        """An attempt's time: by its failure, or by what it waited for where it was slow alone."""
        blame = self.end_of_attempt(attempt)
        if blame.cause != LossCause.DEADLINE or blame.tier != attempt.tier:
            yield (blame, time)
            return
        left = time
        for call in attempt.calls:
            end = attempt.sent_at + time
            stop = end if call.ended_at == UNENDED else min(end, call.ended_at)
            part = min(left, max(0, stop - call.begun_at))
            left -= part
            yield from self.holds_of_call(call, call.begun_at + part)
        yield (blame, left)


def failed_call(attempt: AttemptTrace) -> CallTrace | None:
    """The call to the next tier whose failure made an attempt fail."""
    if attempt.calls and attempt.calls[-1].answer not in (Answer.OK, None):
        return attempt.calls[-1]
    return None


@dataclass
class Breakdown:
    """Worth asked for and lost, over one day or several. Seconds are of the day."""

    asked: float = 0.0
    by_blame: Counter[Blame] = field(default_factory=Counter)
    asked_by_class: Counter[int] = field(default_factory=Counter)
    by_class: Counter[tuple[int, LossCause]] = field(default_factory=Counter)
    asked_by_second: Counter[int] = field(default_factory=Counter)
    by_second: Counter[tuple[int, LossCause]] = field(default_factory=Counter)

    @property
    def lost(self) -> float:
        """The worth lost, over all causes."""
        return sum(self.by_blame.values())

    def by_cause(self) -> Counter[LossCause]:
        """The worth lost by cause, over all tiers."""
        causes: Counter[LossCause] = Counter()
        for blame, worth in self.by_blame.items():
            causes[blame.cause] += worth
        return causes

    def add_asked(self, klass: int, second: int, worth: float) -> None:
        """Counts worth that was asked for."""
        self.asked += worth
        self.asked_by_class[klass] += worth  # type: ignore[assignment]
        self.asked_by_second[second] += worth  # type: ignore[assignment]

    def add_lost(self, klass: int, second: int, blame: Blame, worth: float) -> None:
        """Counts worth that was lost."""
        self.by_blame[blame] += worth  # type: ignore[assignment]
        self.by_class[klass, blame.cause] += worth  # type: ignore[assignment]
        self.by_second[second, blame.cause] += worth  # type: ignore[assignment]

    def add(self, other: Breakdown, shift: int = 0) -> None:
        """Adds another day's figures, its seconds moved by `shift`."""
        self.asked += other.asked
        self.by_blame.update(other.by_blame)
        self.asked_by_class.update(other.asked_by_class)
        self.by_class.update(other.by_class)
        for second, worth in other.asked_by_second.items():
            self.asked_by_second[second + shift] += worth
        for (second, cause), worth in other.by_second.items():
            self.by_second[second + shift, cause] += worth


def breakdown(log: TraceLog, rules: AttributionRules, lost_share: float, all_ended: bool = True) -> Breakdown:
    """Attributes every loss of a day.

    Args:
        log: The day's traces.
        rules: What of its settings the attribution needs.
        lost_share: The share of the worth asked for that the day's account has as lost.
        all_ended: Whether every request had ended with the day; the worth of others is `UNFINISHED`.

    Raises:
        LossMismatchError: The causes do not sum to that loss.
    """
    found = Breakdown()
    for (klass, second), worth in log.offered_value.items():
        found.add_asked(klass, second, worth)
    usual = {klass: int(median(times)) for klass, times in log.served_times.items()}
    for trace in log.lost:
        blame = Attribution(trace, rules, usual.get(trace.request_class, 0)).blame()
        found.add_lost(trace.request_class, log.second(trace.due), blame, trace.lost_value)
    missing = lost_share * found.asked - found.lost
    if not all_ended and missing > 0:
        found.by_blame[Blame(LossCause.UNFINISHED, 0)] = missing  # type: ignore[assignment]
    elif abs(missing) > TOLERANCE * max(1.0, found.asked):
        raise LossMismatchError(f"causes sum to {found.lost:.6f}, {missing:+.6f} from the account's loss")
    return found
