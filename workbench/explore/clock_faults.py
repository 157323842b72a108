"""Steps of wall clocks, drawn by seed from a separate random stream."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Literal

SECOND_US = 1_000_000
STEPS_S = (-3600, -5, 5, 3600)
FIRST_STEP_AT_US = 8 * SECOND_US
# Each step is checked before the next one begins.
STEP_INTERVAL_US = 12 * SECOND_US
MAX_STEP_DELAY_US = 2 * SECOND_US
MIN_DOWN_US, MAX_DOWN_US = SECOND_US // 5, 4 * SECOND_US


@dataclass(frozen=True)
class ClockStep:
    """One step of one machine's wall clock, while its process runs or restarts.

    Attributes:
        at: Time of the step, in microseconds of true time.
        machine: Name of the machine.
        step_s: How far the wall clock moves, in seconds.
        restart: How the process ends at the step: not at all, killed, or terminated with a farewell message.
        down_us: Time between the end of the process and the start of its successor.
    """

    at: int
    machine: str
    step_s: int
    restart: Literal["none", "kill", "term"] = "none"
    down_us: int = 0

    def __str__(self) -> str:
        """Return the step as a line of a report."""
        how = (
            "" if self.restart == "none" else f" over a {self.restart}, {self.down_us / SECOND_US:.1f} s down"
        )
        return f"{self.at / SECOND_US:.2f} s: {self.machine} {self.step_s:+} s{how}"


def draw_clock_steps(seed: int, machines: list[str]) -> list[ClockStep]:
    """Draw one to three successive steps, on running and on restarting processes."""
    rng = Random(f"clock steps {seed}")
    steps = []
    for number in range(rng.randint(1, 3)):
        restart: Literal["none", "kill", "term"] = rng.choice(("none", "kill", "term"))
        steps.append(
            ClockStep(
                at=FIRST_STEP_AT_US + number * STEP_INTERVAL_US + rng.randrange(MAX_STEP_DELAY_US),
                machine=rng.choice(machines),
                step_s=rng.choice(STEPS_S),
                restart=restart,
                down_us=rng.randrange(MIN_DOWN_US, MAX_DOWN_US) if restart != "none" else 0,
            )
        )
    return steps
