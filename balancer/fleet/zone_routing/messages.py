"""Messages that carry operators' directives on zones, and their wire format."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

MAX_ZONE_NAME_CHARACTERS = 64
# Maximum number of directives in a message; so many fit into one datagram.
MAX_DIRECTIVES = 12
# Exclusive upper bound of the versions and the ends of received directives.
INTEGER_BOUND = 1 << 62


class ZoneMessageError(ValueError):
    """The error raised for a value in the body of a received zone message that is outside its bounds."""


class ZoneKind(IntEnum):
    """Kinds of zone messages; the numbers are distinct from those of other components."""

    DIRECTIVES = 64


@dataclass(frozen=True)
class ZoneDirective:
    """An operator's directive as sent in a message: it evacuates a zone or allows the zone to return.

    Attributes:
        zone: Name of the zone.
        version: Version of the directive; the highest version on a zone applies.
        until: End by the sender's wall clock in microseconds of Unix time; 0 if the zone may return.
    """

    zone: str
    version: int
    until: int


@dataclass(frozen=True)
class ZoneMessage:
    """A message that carries directives from one member to another.

    Attributes:
        kind: Always `ZoneKind.DIRECTIVES`.
        sender: Name of the sending member.
        directives: At most `MAX_DIRECTIVES` directives.
        seq: The sender's wall clock at the time of sending, to which the ends refer; 0 if it is unknown.
            Processes of earlier versions send 0 and ignore the field.
    """

    kind: ZoneKind
    sender: str
    directives: tuple[ZoneDirective, ...] = ()
    seq: int = 0


Body = list[tuple[str, int, int]]


class ZoneWire:
    """Encoder and decoder of messages that carry directives on zones, registered with the fleet's codec."""

    kinds = frozenset(int(kind) for kind in ZoneKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: ZoneMessage) -> Body:
        """Return the wire form of a message's body."""
        return [(directive.zone, directive.version, directive.until) for directive in message.directives]

    def shorten(self, message: ZoneMessage) -> ZoneMessage | None:
        """Return a shorter copy of a message, without its last directive, or None if it has no directive."""
        return replace(message, directives=message.directives[:-1]) if message.directives else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ZoneMessage:
        """Decode and validate the body of a received message.

        Raises:
            ZoneMessageError: A value is out of its bounds.
            msgspec.MsgspecError: The body is malformed.
        """
        entries = self.decoder.decode(body)
        if len(entries) > MAX_DIRECTIVES:
            raise ZoneMessageError(f"{len(entries)} directives, more than {MAX_DIRECTIVES}")
        directives = tuple(validate_directive(*entry) for entry in entries)
        return ZoneMessage(ZoneKind(kind), sender, directives, seq)


def validate_directive(zone: str, version: int, until: int) -> ZoneDirective:
    """Check a received directive's zone name, version and end against their bounds, and return the directive.

    Raises:
        ZoneMessageError: A value is out of its bounds.
    """
    if not 0 < len(zone) <= MAX_ZONE_NAME_CHARACTERS:
        raise ZoneMessageError(f"zone name of {len(zone)} characters, not 1 to {MAX_ZONE_NAME_CHARACTERS}")
    if not (0 <= version < INTEGER_BOUND and 0 <= until < INTEGER_BOUND):
        raise ZoneMessageError(f"version {version} or end {until} of zone {zone!r} out of bounds")
    return ZoneDirective(zone, version, until)
