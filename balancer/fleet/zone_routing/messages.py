"""Operators' directives on zones as members send them to one another, and their wire format."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

MAX_ZONE_NAME_CHARACTERS = 64
MAX_DIRECTIVES = 12  # in a datagram
INTEGER_LIMIT = 1 << 62  # versions and ends are below it


class ZoneMessageError(ValueError):
    """A message's body holds values that no sender of any version writes."""


class ZoneKind(IntEnum):
    """Kinds of zone messages. The numbers are distinct from those of all other components."""

    DIRECTIVES = 64


@dataclass(frozen=True)
class ZoneDirective:
    """A directive on the wire.

    Attributes:
        zone: The name of the zone.
        version: The directive with the highest version on a zone holds.
        until: Its end by the sender's wall clock, in microseconds of Unix time; 0 if the zone may return.
    """

    zone: str
    version: int
    until: int


@dataclass(frozen=True)
class ZoneMessage:
    """Directives that a member passes on.

    Attributes:
        kind: The only kind there is.
        sender: The name of the member that sent the message.
        directives: At most `MAX_DIRECTIVES`.
        seq: The wall clock by which the ends are to be read, as it stood when the message was sent; 0 if it
            is not known. Processes of earlier versions send 0 and ignore it.
    """

    kind: ZoneKind
    sender: str
    directives: tuple[ZoneDirective, ...] = ()
    seq: int = 0


Body = list[tuple[str, int, int]]


class ZoneWire:
    """Converts zone messages to the bodies of datagrams and back."""

    kinds = frozenset(int(kind) for kind in ZoneKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: ZoneMessage) -> Body:
        """Return the message's body, of plain types."""
        return [(directive.zone, directive.version, directive.until) for directive in message.directives]

    def shorter(self, message: ZoneMessage) -> ZoneMessage | None:
        """Return the message without its last directive, or None if it has none."""
        return replace(message, directives=message.directives[:-1]) if message.directives else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ZoneMessage:
        """Return the message that a body stands for.

        Raises:
            ZoneMessageError: A value is out of its range.
            msgspec.MsgspecError: The body is not of the expected types.
        """
        entries = self.decoder.decode(body)
        if len(entries) > MAX_DIRECTIVES:
            raise ZoneMessageError("too many directives")
        directives = tuple(checked_directive(*entry) for entry in entries)
        return ZoneMessage(ZoneKind(kind), sender, directives, seq)


def checked_directive(zone: str, version: int, until: int) -> ZoneDirective:
    """Return a directive whose values are in range.

    Raises:
        ZoneMessageError: One of them is not.
    """
    if not 0 < len(zone) <= MAX_ZONE_NAME_CHARACTERS:
        raise ZoneMessageError("zone name out of range")
    if not (0 <= version < INTEGER_LIMIT and 0 <= until < INTEGER_LIMIT):
        raise ZoneMessageError("version or end out of range")
    return ZoneDirective(zone, version, until)
