"""Messages between the leader of a rolling update and the other processes, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

WIRE_INTEGER_LIMIT = 1 << 62  # Exclusive upper bound of integers in messages.
MAX_ZONE_LENGTH = 64


class InvalidRollingUpdateError(ValueError):
    """The error raised if a received message of a rolling update contains a value that is out of range."""


class RollingUpdateKind(IntEnum):
    """Kinds of rolling update messages. Their numbers are unique among all components."""

    PLAN = 32  # The sender's current plan, which the receiver answers with a REPORT.
    REPORT = 33
    GO = 34  # A request that the receiver shuts down gracefully.


class UpdateState(IntEnum):
    """State of a rolling update's plan.

    If two copies of a plan have the same version but different states, the greater state takes precedence.
    """

    RUNS = 0
    PAUSED = 1
    STOPPED = 2
    DONE = 3


@dataclass(frozen=True)
class UpdatePlan:
    """A rolling update that an operator has requested.

    Attributes:
        number: Unix time in microseconds at which the plan was started, which identifies the plan.
        version: Version of the plan, increased by each change of `state`.
        max_unavailable: Maximum number of processes that may be unavailable at a time.
        state: State of the plan.
    """

    number: int
    version: int
    max_unavailable: int
    state: UpdateState

    def supersedes(self, other: UpdatePlan | None) -> bool:
        """Return whether this plan is newer than `other`, the plan known so far; None if none is known."""
        if other is None:
            return True
        return (self.number, self.version, self.state) > (other.number, other.version, other.state)


@dataclass(frozen=True)
class RollingUpdateMessage:
    """A rolling update message of any kind.

    Attributes:
        kind: Kind of the message.
        sender: Name of the process that sent the message.
        plan: Current plan of the sender.
        incarnation: Incarnation of the sender; above the plan's number if it was started after the plan.
        token: Token of the sender's lease; 0 if the sender does not hold the lease.
        serving: Whether the sender accepts clients.
        zone: Zone of the sender.
        seq: Encoded age of the plan, see `plan_age`. Earlier versions send 0 and ignore the value.
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
        """Microseconds since the plan was started; None if the sender does not know the plan's age."""
        return self.seq - 1 if self.seq > 0 else None


def seq_of_age(age: int | None) -> int:
    """Return the value of `seq` that encodes a plan's age in microseconds; 0 for an unknown age."""
    return 0 if age is None else age + 1


Body = tuple[int, int, int, int, int, int, bool, str]


class RollingUpdateWire:
    """Encoder and decoder of the bodies of rolling update messages."""

    kinds = frozenset(int(kind) for kind in RollingUpdateKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: RollingUpdateMessage) -> Body:
        """Return the body of a message, made of types that msgpack encodes."""
        plan = message.plan
        return (
            *(plan.number, plan.version, plan.max_unavailable, int(plan.state)),
            *(message.incarnation, message.token, message.serving, message.zone),
        )

    def shorten(self, message: RollingUpdateMessage) -> None:
        """Return None: a message always fits into a datagram, and no part of it can be omitted."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> RollingUpdateMessage:
        """Decode the body of a received message.

        Raises:
            InvalidRollingUpdateError: A value is out of range.
            ValueError: The state is unknown.
            msgspec.DecodeError: The body does not have the structure of a rolling update message.
        """
        number, version, max_unavailable, state, incarnation, token, serving, zone = self.decoder.decode(body)
        numbers = (number, version, max_unavailable, incarnation, token)
        if not all(0 <= value < WIRE_INTEGER_LIMIT for value in numbers) or len(zone) > MAX_ZONE_LENGTH:
            raise InvalidRollingUpdateError(
                f"a number in {numbers} or a zone name of {len(zone)} characters is out of range"
            )
        plan = UpdatePlan(number, version, max_unavailable, UpdateState(state))
        return RollingUpdateMessage(
            RollingUpdateKind(kind), sender, plan, incarnation, token, serving, zone, seq
        )
