"""Rules of leases, checked from outside the processes by true time, and the trace of a run."""

from __future__ import annotations

from dataclasses import dataclass, field

from workbench.explore.faults import SECOND_US, Fault
from workbench.simulator.heap import HeapClock

MAX_VIOLATIONS = 5


@dataclass
class Trace:
    """Results of a run.

    Attributes:
        seed: The run's seed.
        voters: Number of processes that vote.
        holders: How often the lease was acquired.
        late_acts: Number of acts whose receiver rejected them, as it had seen a higher token.
        acts: Number of all acts.
        gap: The longest time without a holder, in microseconds of true time.
        messages: Number of messages sent.
        violations: The violations, with their times.
        faults: The faults of the run.
    """

    seed: int
    voters: int = 3
    holders: int = 0
    late_acts: int = 0
    acts: int = 0
    gap: int = 0
    messages: int = 0
    violations: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


class LeaseRules:
    """Checker of the rules, which records violations and counts in a trace.

    Args:
        clock: The virtual clock, which shows true time.
        trace: The trace of the run.

    Attributes:
        last_held_at: The last time at which the lease was held, in microseconds.
    """

    def __init__(self, clock: HeapClock, trace: Trace) -> None:
        self.clock = clock
        self.trace = trace
        self.last_held_at = 0
        self._highest_token = 0
        self._last_holder = ""
        self._highest_act_token = 0

    def on_acquired(self, name: str, token: int, may_repeat_tokens: bool) -> None:
        """Check that a new holder has a higher token than all before.

        Args:
            name: Name of the new holder.
            token: Its token.
            may_repeat_tokens: Whether all processes that knew the last token may have forgotten it.
        """
        self.trace.holders += 1
        if token <= self._highest_token and not may_repeat_tokens:
            self._add_violation(
                f"{name} holds with token {token}, {self._last_holder} held with {self._highest_token}"
            )
        self._highest_token = max(token, self._highest_token)
        self._last_holder = name

    def on_act(self, token: int) -> None:
        """Count an act; its receiver rejects a token that is lower than the highest one seen."""
        self.trace.acts += 1
        if token < self._highest_act_token:
            self.trace.late_acts += 1
        self._highest_act_token = max(self._highest_act_token, token)

    def on_holders(self, names: list[str]) -> None:
        """Check that at most one process holds the lease now, and measure the time without a holder."""
        now = self.clock.now
        if len(names) > 1:
            self._add_violation(f"{' and '.join(names)} hold the lease at once")
        if names:
            self.last_held_at = now
        else:
            self.trace.gap = max(self.trace.gap, now - self.last_held_at)

    def check_is_held_again(self, end: int, max_gap: int) -> None:
        """Check that the lease was held shortly before the end of a run."""
        gap = end - self.last_held_at
        if gap > max_gap and not self.trace.violations:
            self._add_violation(f"no process has held the lease for {gap / SECOND_US:.1f} s after all faults")

    def _add_violation(self, text: str) -> None:
        if len(self.trace.violations) < MAX_VIOLATIONS:
            self.trace.violations.append(f"{self.clock.now / SECOND_US:.3f} s: {text}")
