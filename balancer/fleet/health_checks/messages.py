"""Messages by which a node announces its probes to the nodes of its zone, and their encoding."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

MAX_ZONE_LENGTH = 64
MAX_PROBES_PER_MESSAGE = 32
MAX_SERVER_NUMBER = (1 << 64) - 1
WIRE_INTEGER_LIMIT = 1 << 62  # Exclusive upper bound of tokens and times in messages.


class InvalidHealthCheckError(ValueError):
    """A health check message contains a value that is out of range."""


class HealthCheckKind(IntEnum):
    """Kinds of health check messages, with numbers that no other component of the fleet uses."""

    TRYING = 48  # The sender probes these servers.
    FAILED = 49  # The sender's last probes of these servers failed.
    WELL = 50  # The sender's last probes of these servers succeeded.


@dataclass(frozen=True)
class ProbeAnnouncement:
    """A lease holder's announcement that it probes an ejected server.

    The lease of a server allows one node of a zone to probe the server.

    Attributes:
        server: Number of the server, which is the same on every node.
        token: Token of the lease, a number that is higher for each new holder; receivers ignore announcements
            with a lower token than the highest received.
        wait: Microseconds until the next probe is due.
    """

    server: int
    token: int
    wait: int = 0


@dataclass(frozen=True)
class HealthCheckMessage:
    """Announcements of one kind, each with its own token, since each server has its own lease."""

    kind: HealthCheckKind
    sender: str
    zone: str
    probes: tuple[ProbeAnnouncement, ...] = ()
    seq: int = 0


Body = tuple[str, list[tuple[int, int, int]]]


class HealthCheckWire:
    """Encoder and decoder of the bodies of health check messages."""

    kinds = frozenset(int(kind) for kind in HealthCheckKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, message: HealthCheckMessage) -> Body:
        """Return the body of a message, made of types that msgpack encodes."""
        return message.zone, [(probe.server, probe.token, probe.wait) for probe in message.probes]

    def shorten(self, message: HealthCheckMessage) -> HealthCheckMessage | None:
        """Return the message without its last announcement, or None if it contains no announcements."""
        return replace(message, probes=message.probes[:-1]) if message.probes else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> HealthCheckMessage:
        """Decode the body of a received message.

        Raises:
            InvalidHealthCheckError: A value is out of range.
            msgspec.DecodeError: The body does not have the structure of a health check message.
        """
        zone, probes = self.decoder.decode(body)
        if len(zone) > MAX_ZONE_LENGTH or len(probes) > MAX_PROBES_PER_MESSAGE:
            raise InvalidHealthCheckError(
                f"a zone name of {len(zone)} characters or a list of {len(probes)} probes is too long"
            )
        for server, token, wait in probes:
            if not (
                0 <= server <= MAX_SERVER_NUMBER
                and 0 < token < WIRE_INTEGER_LIMIT
                and 0 <= wait < WIRE_INTEGER_LIMIT
            ):
                raise InvalidHealthCheckError(
                    f"server {server}, token {token} or wait {wait} is out of range"
                )
        announcements = tuple(ProbeAnnouncement(*probe) for probe in probes)
        return HealthCheckMessage(HealthCheckKind(kind), sender, zone, announcements, seq)
