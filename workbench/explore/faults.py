"""Faults of a run on the virtual network, drawn by a seed as widely as the parts allow."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from workbench.explore.virtual_network import Direction

SEC = 1_000_000
MAX_FAULTS = 9
MIN_FAULTS = 2
SINGLE_TARGET_PROBABILITY = 0.6
LOSS_RANGE = (0.05, 0.6)
DELAY_RANGE_S = (0.2, 6.0)
LENGTH_RANGE_S = (0.05, 10.0)
CLOCK_STEPS_S = (-3600.0, 3600.0, -20.0, 20.0)


class FaultType(Enum):
    """What goes wrong."""

    KILL = "kill"  # processes end, and start again without knowledge
    PAUSE = "pause"  # a process does nothing for a while
    PARTITION = "partition"
    LOSS = "loss"
    DELAY = "delay"  # up to so much is added to each delay
    STEP = "step"  # a wall clock is stepped
    RELEASE = "release"  # a planned handover: a process releases its lease, and requests it again later


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        type: What goes wrong.
        at: When it begins, in microseconds of true time.
        length: How long it lasts, in microseconds.
        names: The processes concerned.
        direction: Of a partition.
        amount: The probability of a loss, the microseconds of a delay, the seconds of a step.
    """

    type: FaultType
    at: int
    length: int
    names: tuple[str, ...] = ()
    direction: Direction = Direction.BOTH
    amount: float = 0.0

    def __str__(self) -> str:
        """Returns the fault as a line of a report."""
        times = f"{self.at / SEC:6.2f} s for {self.length / SEC:5.2f} s"
        return f"{times}  {self.type.value}{self._details()} {' '.join(self.names)}"

    def _details(self) -> str:
        match self.type:
            case FaultType.LOSS:
                return f" {self.amount:.0%}"
            case FaultType.DELAY:
                return f" {self.amount / SEC:.1f} s"
            case FaultType.STEP:
                return f" {self.amount:+.0f} s"
            case FaultType.PARTITION:
                return f" ({self.direction.value})"
        return ""


# Types are drawn from this sequence: one that stands twice is drawn twice as often.
DRAWN_TYPES = (
    *(FaultType.KILL, FaultType.KILL, FaultType.PAUSE, FaultType.PAUSE),
    *(FaultType.PARTITION, FaultType.PARTITION, FaultType.LOSS, FaultType.DELAY),
    *(FaultType.STEP, FaultType.RELEASE),
)
SINGLE_TARGET_TYPES = (FaultType.PAUSE, FaultType.RELEASE, FaultType.STEP)


def draw_faults(rng: Random, names: list[str], until: int) -> list[Fault]:
    """Returns some faults that begin before a time, at once or one after the other, in order of time."""
    faults = [draw_fault(rng, names, until) for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))]
    return sorted(faults, key=lambda fault: fault.at)


def draw_fault(rng: Random, names: list[str], until: int) -> Fault:
    """Returns one fault that begins before a time."""
    fault_type = rng.choice(DRAWN_TYPES)
    is_single = fault_type in SINGLE_TARGET_TYPES or rng.random() < SINGLE_TARGET_PROBABILITY
    count = 1 if is_single else rng.randint(1, len(names))
    amount = draw_amount(rng, fault_type)
    return Fault(
        fault_type,
        at=rng.randrange(until),
        length=int(rng.uniform(*LENGTH_RANGE_S) * SEC),
        names=tuple(sorted(rng.sample(names, count))),
        direction=rng.choice(list(Direction)),
        amount=amount,
    )


def draw_amount(rng: Random, fault_type: FaultType) -> float:
    """Returns the amount of a fault, 0 for types that have none."""
    match fault_type:
        case FaultType.LOSS:
            return rng.uniform(*LOSS_RANGE)
        case FaultType.DELAY:
            return rng.uniform(*DELAY_RANGE_S) * SEC
        case FaultType.STEP:
            return rng.choice(CLOCK_STEPS_S)
    return 0.0
