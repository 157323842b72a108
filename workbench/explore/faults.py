"""Random faults of a run on the virtual network, drawn by seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from workbench.explore.virtual_network import Direction

SECOND_US = 1_000_000
MAX_FAULTS = 9
MIN_FAULTS = 2
SINGLE_TARGET_PROBABILITY = 0.6
LOSS_RANGE = (0.05, 0.6)
DELAY_RANGE_S = (0.2, 6.0)
LENGTH_RANGE_S = (0.05, 10.0)
CLOCK_STEPS_S = (-3600.0, 3600.0, -20.0, 20.0)


class FaultType(Enum):
    """Type of a fault.

    Attributes:
        KILL: Processes end without notice, and start again without their state.
        PAUSE: A process does nothing for a while.
        PARTITION: Processes are separated from all others.
        LOSS: Datagrams are lost.
        DELAY: A random amount, up to a maximum, is added to each delay.
        STEP: A wall clock is stepped.
        RELEASE: A planned handover: a process releases its lease, and requests it again later.
    """

    KILL = "kill"
    PAUSE = "pause"
    PARTITION = "partition"
    LOSS = "loss"
    DELAY = "delay"
    STEP = "step"
    RELEASE = "release"


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes:
        type: Type of the fault.
        at: Time at which it begins, in microseconds of true time.
        length: Duration in microseconds.
        names: Names of the affected processes.
        direction: Which datagrams a partition drops.
        amount: Probability of a loss, maximum delay in microseconds, or step of a clock in seconds.
    """

    type: FaultType
    at: int
    length: int
    names: tuple[str, ...] = ()
    direction: Direction = Direction.BOTH
    amount: float = 0.0

    def __str__(self) -> str:
        """Return the fault as a line of a report."""
        times = f"{self.at / SECOND_US:6.2f} s for {self.length / SECOND_US:5.2f} s"
        return f"{times}  {self.type.value}{self._details()} {' '.join(self.names)}"

    def _details(self) -> str:
        match self.type:
            case FaultType.LOSS:
                return f" {self.amount:.0%}"
            case FaultType.DELAY:
                return f" {self.amount / SECOND_US:.1f} s"
            case FaultType.STEP:
                return f" {self.amount:+.0f} s"
            case FaultType.PARTITION:
                return f" ({self.direction.value})"
        return ""


# Types are drawn uniformly from this sequence: a type listed twice is drawn twice as often.
WEIGHTED_FAULT_TYPES = (
    *(FaultType.KILL, FaultType.KILL, FaultType.PAUSE, FaultType.PAUSE),
    *(FaultType.PARTITION, FaultType.PARTITION, FaultType.LOSS, FaultType.DELAY),
    *(FaultType.STEP, FaultType.RELEASE),
)
SINGLE_TARGET_TYPES = (FaultType.PAUSE, FaultType.RELEASE, FaultType.STEP)


def draw_faults(rng: Random, names: list[str], until: int) -> list[Fault]:
    """Draw faults that begin before a time and may overlap; return them in order of time."""
    faults = [draw_fault(rng, names, until) for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS))]
    return sorted(faults, key=lambda fault: fault.at)


def draw_fault(rng: Random, names: list[str], until: int) -> Fault:
    """Draw one fault that begins before a time."""
    fault_type = rng.choice(WEIGHTED_FAULT_TYPES)
    is_single = fault_type in SINGLE_TARGET_TYPES or rng.random() < SINGLE_TARGET_PROBABILITY
    count = 1 if is_single else rng.randint(1, len(names))
    amount = draw_amount(rng, fault_type)
    return Fault(
        fault_type,
        at=rng.randrange(until),
        length=int(rng.uniform(*LENGTH_RANGE_S) * SECOND_US),
        names=tuple(sorted(rng.sample(names, count))),
        direction=rng.choice(list(Direction)),
        amount=amount,
    )


def draw_amount(rng: Random, fault_type: FaultType) -> float:
    """Draw the amount of a fault; return 0 for types that have none."""
    match fault_type:
        case FaultType.LOSS:
            return rng.uniform(*LOSS_RANGE)
        case FaultType.DELAY:
            return rng.uniform(*DELAY_RANGE_S) * SECOND_US
        case FaultType.STEP:
            return rng.choice(CLOCK_STEPS_S)
    return 0.0
