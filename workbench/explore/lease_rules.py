"""The rules of leases, checked from outside by true time, and the trace of a run."""

from __future__ import annotations

from dataclasses import dataclass, field

from workbench.explore.faults import SEC, Fault
from workbench.simulator.heap import HeapClock

MAX_VIOLATIONS = 5  # in a trace


@dataclass
class Trace:
    """What a run showed.

    Attributes:
        seed: The run's seed.
        voters: How many processes vote.
        holders: How often the lease was acquired.
        late_acts: Acts that their receiver rejected for a token lower than one it had seen.
        acts: All acts.
        gap: The longest time without a holder, in microseconds of true time.
        messages: How many messages were sent.
        violations: The rules that were violated, with the time.
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
    """Checks the rules, and counts in a trace.

    Args:
        clock: The virtual clock, which shows true time.
        trace: The trace of the run.
    """

    def __init__(self, clock: HeapClock, trace: Trace) -> None:
        self.clock = clock
        self.trace = trace
        self.last_held_at = 0
        self._highest_token = 0  # of a holder
        self._last_holder = ""
        self._highest_act_token = 0

    def on_acquired(self, name: str, token: int, may_repeat_tokens: bool) -> None:
        """Checks that tokens rise from holder to holder, unless all that knew the last one have forgotten."""
        self.trace.holders += 1
        if token <= self._highest_token and not may_repeat_tokens:
            self._add_violation(
                f"{name} holds with token {token}, {self._last_holder} held with {self._highest_token}"
            )
        self._highest_token = max(token, self._highest_token)
        self._last_holder = name

    def on_act(self, token: int) -> None:
        """Counts an act; its receiver rejects a token that is lower than one it has seen."""
        self.trace.acts += 1
        if token < self._highest_act_token:
            self.trace.late_acts += 1
        self._highest_act_token = max(self._highest_act_token, token)

    def on_holders(self, names: list[str]) -> None:
        """Checks that at most one process holds the lease at this instant."""
        now = self.clock.now
        if len(names) > 1:
            self._add_violation(f"{' and '.join(names)} hold the lease at once")
        if names:
            self.last_held_at = now
        else:
            self.trace.gap = max(self.trace.gap, now - self.last_held_at)

    def check_is_held_again(self, end: int, max_gap: int) -> None:
        """Checks that the lease was held shortly before the end of a run."""
        gap = end - self.last_held_at
        if gap > max_gap and not self.trace.violations:
            self._add_violation(f"nobody has held the lease for {gap / SEC:.1f} s after all faults")

    def _add_violation(self, text: str) -> None:
        if len(self.trace.violations) < MAX_VIOLATIONS:
            self.trace.violations.append(f"{self.clock.now / SEC:.3f} s: {text}")
