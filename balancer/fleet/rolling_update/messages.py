"""Messages between the leader of a rolling update and the other processes, and their wire form."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

MAX_NUMBER = 1 << 62
MAX_ZONE_LENGTH = 64


class InvalidRollingUpdateError(ValueError):
    """A message of a rolling update holds a value that is out of range."""


class RollingUpdateKind(IntEnum):
    """Kinds of messages. Their numbers are unique over all components."""

    PLAN = 32  # the plan as the sender knows it; the receiver answers with a REPORT
    REPORT = 33
    GO = 34  # the receiver is to shut down gracefully


class UpdateState(IntEnum):
    """State of a plan. Of two states with the same version the greater one wins."""

    RUNS = 0
    PAUSED = 1
    STOPPED = 2
    DONE = 3


@dataclass(frozen=True)
class UpdatePlan:
    """What an operator has asked for.

    Attributes:
        number: Unix time in microseconds at which the plan was started; identifies the plan.
        version: Rises with each change of `state`.
        max_unavailable: How many processes may be unavailable at a time.
        state: Whether the update runs, is paused, stopped or done.
    """

    number: int
    version: int
    max_unavailable: int
    state: UpdateState

    def supersedes(self, other: UpdatePlan | None) -> bool:
        """Whether this plan takes the place of the one that is known so far."""
        if other is None:
            return True
        return (self.number, self.version, self.state) > (other.number, other.version, other.state)


@dataclass(frozen=True)
class RollingUpdateMessage:
    """A message of any of the three kinds.

    Attributes:
        kind: What the message is.
        sender: Name of the process that sent it.
        plan: The plan as the sender knows it.
        incarnation: The sender's incarnation, above the plan's number if it began after the plan.
        token: Fencing token of the sender's lease; 0 if the sender does not hold the lease.
        serving: Whether the sender accepts clients.
        zone: The sender's zone.
        seq: The plan's age, see `plan_age`. Earlier versions send 0 and ignore it.
    """

    kind: RollingUpdateKind
    sender: str
    plan: UpdatePlan
    incarnation: int = 0
    token: int = 0
    serving: bool = False
    zone: str = ""
    seq: int = 0

    @property
    def plan_age(self) -> int | None:
        """Microseconds since the plan was started; None if the sender does not know."""
        return self.seq - 1 if self.seq > 0 else None


def seq_of_age(age: int | None) -> int:
    """The value of `seq` that stands for a plan's age in microseconds; 0 for an unknown age."""
    return 0 if age is None else age + 1


Body = tuple[int, int, int, int, int, int, bool, str]


class RollingUpdateWire:
    """Encodes and decodes the bodies of rolling update messages."""

    kinds = frozenset(int(kind) for kind in RollingUpdateKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: RollingUpdateMessage) -> Body:
        """The body of a message, of plain types."""
        plan = message.plan
        return (
            *(plan.number, plan.version, plan.max_unavailable, int(plan.state)),
            *(message.incarnation, message.token, message.serving, message.zone),
        )

    def shorter(self, message: RollingUpdateMessage) -> None:
        """None: a message always fits into a datagram, and nothing of it can be left out."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> RollingUpdateMessage:
        """Decodes a message.

        Raises:
            InvalidRollingUpdateError: A value is out of range.
            ValueError: The state is not known.
            msgspec.DecodeError: The body has not the form of these messages.
        """
        number, version, max_unavailable, state, incarnation, token, serving, zone = self.decoder.decode(body)
        numbers = (number, version, max_unavailable, incarnation, token)
        if not all(0 <= value < MAX_NUMBER for value in numbers) or len(zone) > MAX_ZONE_LENGTH:
            raise InvalidRollingUpdateError("a number or the zone is out of range")
        plan = UpdatePlan(number, version, max_unavailable, UpdateState(state))
        return RollingUpdateMessage(
            RollingUpdateKind(kind), sender, plan, incarnation, token, serving, zone, seq
        )
