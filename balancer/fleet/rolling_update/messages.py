"""What the holder of the replacement and the members say to one another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

BIGGEST = 1 << 62
LONGEST_ZONE = 64


class ReplaceKind(IntEnum):
    """What a message is. The numbers are apart from the other parts'."""

    PLAN = 32  # this is the plan; say how you stand
    REPORT = 33
    GO = 34  # end, and let another process take your place


class State(IntEnum):
    """How the plan stands; of one version the greater holds."""

    RUNS = 0
    PAUSED = 1
    STOPPED = 2
    DONE = 3


@dataclass(frozen=True)
class Plan:
    """`number`: Unix time in microseconds at which it was begun: a process that was started later is a new
    one. `version` rises with each change of `state`. At most `most` are out at a time."""

    number: int
    version: int
    most: int
    state: State

    def newer(self, other: Plan | None) -> bool:
        """Whether it takes the place of the one known so far."""
        if other is None:
            return True
        return (self.number, self.version, self.state) > (other.number, other.version, other.state)


@dataclass(frozen=True)
class ReplaceMessage:
    """`token`: of the lease, 0 where an operator's word is passed on; `life`, `serving` and `zone` are the
    sender's; `life` is above the plan's number if it began after the plan. `seq`: see `plan_age`; versions
    before it send 0 and don't read it."""

    kind: ReplaceKind
    sender: str
    plan: Plan
    life: int = 0
    token: int = 0
    serving: bool = False
    zone: str = ""
    seq: int = 0

    @property
    def plan_age(self) -> int | None:
        """Microseconds since the plan was begun, as far as the sender knows."""
        return self.seq - 1 if self.seq > 0 else None


def seq_of_age(age: int | None) -> int:
    """The `seq` that carries a plan's age; 0 for one that isn't known."""
    return 0 if age is None else age + 1


Body = tuple[int, int, int, int, int, int, bool, str]


class ReplaceWire:
    """Its messages to the envelope's parts and back."""

    kinds = frozenset(int(k) for k in ReplaceKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, m: ReplaceMessage) -> Body:
        p = m.plan
        return p.number, p.version, p.most, int(p.state), m.life, m.token, m.serving, m.zone

    def shorter(self, m: ReplaceMessage) -> None:
        """It always fits."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ReplaceMessage:
        """A ValueError, or one of msgspec's, where a figure is impossible."""
        number, version, most, state, life, token, serving, zone = self.decoder.decode(body)
        figures = (number, version, most, life, token)
        if not all(0 <= x < BIGGEST for x in figures) or len(zone) > LONGEST_ZONE:
            raise ValueError("replace")
        plan = Plan(number, version, most, State(state))
        return ReplaceMessage(ReplaceKind(kind), sender, plan, life, token, serving, zone, seq)
