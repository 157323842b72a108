"""Steps of wall clocks, drawn by a seed from a stream of their own."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Literal

SECOND = 1_000_000
STEPS_S = (-3600, -5, 5, 3600)
FIRST_AT = 8 * SECOND
APART = 12 * SECOND  # between two steps: each is judged before the next one
MAX_LATENESS = 2 * SECOND
MIN_DOWN, MAX_DOWN = SECOND // 5, 4 * SECOND


@dataclass(frozen=True)
class ClockStep:
    """One step of one machine's wall clock; its process runs on, or is ended and started again."""

    at: int
    machine: str
    step_s: int
    restart: Literal["none", "kill", "term"] = "none"
    down: int = 0  # microseconds between the end of a process and the next one's start

    def __str__(self) -> str:
        """Returns the step as a line of a report."""
        how = "" if self.restart == "none" else f" over a {self.restart}, {self.down / SECOND:.1f} s down"
        return f"{self.at / SECOND:.2f} s: {self.machine} {self.step_s:+} s{how}"


def draw_clock_steps(seed: int, machines: list[str]) -> list[ClockStep]:
    """One to three steps, one after the other, on running and on restarting processes."""
    rng = Random(f"clock steps {seed}")
    steps = []
    for number in range(rng.randint(1, 3)):
        restart: Literal["none", "kill", "term"] = rng.choice(("none", "kill", "term"))
        steps.append(
            ClockStep(
                at=FIRST_AT + number * APART + rng.randrange(MAX_LATENESS),
                machine=rng.choice(machines),
                step_s=rng.choice(STEPS_S),
                restart=restart,
                down=rng.randrange(MIN_DOWN, MAX_DOWN) if restart != "none" else 0,
            )
        )
    return steps
