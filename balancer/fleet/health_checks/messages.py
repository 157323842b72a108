"""Messages by which a node announces its probes to the nodes of its zone, and their wire form."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

MAX_ZONE_LENGTH = 64
MAX_PROBES = 32  # in a message
MAX_SERVER = (1 << 64) - 1
MAX_NUMBER = 1 << 62


class InvalidHealthCheckError(ValueError):
    """A health check message holds a value that is out of range."""


class HealthCheckKind(IntEnum):
    """Kinds of messages. Their numbers are unique over all components."""

    TRYING = 48  # the sender probes these servers
    FAILED = 49  # its last probes of them failed
    WELL = 50  # its last probes of them succeeded


@dataclass(frozen=True)
class ProbeAnnouncement:
    """What the holder of a server's lease announces of its probes.

    Attributes:
        server: Number of the server, the same at every node.
        token: Fencing token of the lease.
        wait: Microseconds until the next probe is due.
    """

    server: int
    token: int
    wait: int = 0


@dataclass(frozen=True)
class HealthCheckMessage:
    """Announcements of one kind. Each has a token, since each server has a lease of its own."""

    kind: HealthCheckKind
    sender: str
    zone: str
    probes: tuple[ProbeAnnouncement, ...] = ()
    seq: int = 0


Body = tuple[str, list[tuple[int, int, int]]]


class HealthCheckWire:
    """Encodes and decodes the bodies of health check messages."""

    kinds = frozenset(int(kind) for kind in HealthCheckKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: HealthCheckMessage) -> Body:
        """The body of a message, of plain types."""
        return message.zone, [(probe.server, probe.token, probe.wait) for probe in message.probes]

    def shorter(self, message: HealthCheckMessage) -> HealthCheckMessage | None:
        """The message without its last probe; None if it has none."""
        return replace(message, probes=message.probes[:-1]) if message.probes else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> HealthCheckMessage:
        """Decodes a message.

        Raises:
            InvalidHealthCheckError: A value is out of range.
            msgspec.DecodeError: The body has not the form of these messages.
        """
        zone, probes = self.decoder.decode(body)
        if len(zone) > MAX_ZONE_LENGTH or len(probes) > MAX_PROBES:
            raise InvalidHealthCheckError("the zone's name is too long, or there are too many probes")
        for server, token, wait in probes:
            if not (0 <= server <= MAX_SERVER and 0 < token < MAX_NUMBER and 0 <= wait < MAX_NUMBER):
                raise InvalidHealthCheckError("a server, token or wait is out of range")
        announcements = tuple(ProbeAnnouncement(*probe) for probe in probes)
        return HealthCheckMessage(HealthCheckKind(kind), sender, zone, announcements, seq)
