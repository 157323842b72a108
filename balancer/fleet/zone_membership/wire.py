"""MessagePack encoding of the messages of membership by zone.

Structs are encoded as arrays without field names. A later version may append fields, which this version
skips. Ages are sent in milliseconds.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from balancer.fleet.zone_membership.errors import ZoneMessageError
from balancer.fleet.zone_membership.messages import ZoneMembershipKind, ZoneMembershipMessage
from balancer.fleet.zone_membership.summaries import (
    MAX_GATEWAYS_PER_SUMMARY,
    MAX_HOST_CHARACTERS,
    MAX_NAME_CHARACTERS,
    ZONE_SIZE_BOUND,
    Gateway,
    KnownSummary,
    Refresh,
    Summary,
    Version,
    ZoneState,
    check_facts,
)

MAX_ZONES_PER_MESSAGE = 64
MICROSECONDS_PER_MILLISECOND = 1000

# Exclusive upper bounds of received numbers.
PORT_BOUND = 1 << 16
HASH_BOUND = 1 << 64
COUNTER_BOUND = 1 << 62
AGE_MS_BOUND = 1 << 42


class WireGateway(msgspec.Struct, array_like=True):
    """A `Gateway` on the wire."""

    name: str
    host: str
    port: int


class WireVersion(msgspec.Struct, array_like=True):
    """A `Version` on the wire."""

    origin: str
    incarnation: int
    counter: int


class WireSummary(msgspec.Struct, array_like=True):
    """A `Summary` on the wire."""

    zone: str
    region: str
    size: int
    digest: int
    gateways: list[WireGateway]
    facts: list[tuple[str, str]]
    version: WireVersion
    age_ms: int


class WireRefresh(msgspec.Struct, array_like=True):
    """A `Refresh` on the wire."""

    zone: str
    fingerprint: int
    version: WireVersion
    age_ms: int


class WireKnownSummary(msgspec.Struct, array_like=True):
    """A `KnownSummary` on the wire."""

    zone: str
    fingerprint: int
    age_ms: int


class WireBody(msgspec.Struct, array_like=True):
    """A `ZoneMembershipMessage` on the wire, without the fields of the datagram's envelope."""

    zone: str
    summaries: list[WireSummary]
    refreshes: list[WireRefresh]
    known_summaries: list[WireKnownSummary]


class ZoneMembershipWire:
    """Encoder and decoder of the bodies of `ZoneMembershipMessage`, registered with the fleet's codec."""

    kinds = frozenset(int(kind) for kind in ZoneMembershipKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(WireBody)

    def pack(self, message: ZoneMembershipMessage) -> WireBody:
        """Return the wire form of a message's body."""
        return WireBody(
            message.zone,
            [pack_summary(summary) for summary in message.summaries],
            [pack_refresh(refresh) for refresh in message.refreshes],
            [pack_known_summary(entry) for entry in message.known_summaries],
        )

    def shorten(self, message: ZoneMembershipMessage) -> ZoneMembershipMessage | None:
        """Return a copy of a message that is shorter by one entry, or None if the message has no entries.

        The entries are the summaries, the refreshes and the known summaries.
        """
        if message.summaries:
            return replace(message, summaries=message.summaries[:-1])
        if message.refreshes:
            return replace(message, refreshes=message.refreshes[:-1])
        return (
            replace(message, known_summaries=message.known_summaries[:-1])
            if message.known_summaries
            else None
        )

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ZoneMembershipMessage:
        """Decode and validate the body of a received message.

        Raises:
            ZoneMessageError: A field is out of its bounds.
            ZoneFactsError: A summary has too many facts, or facts that are too long.
            msgspec.MsgspecError: The body is malformed.
        """
        wire = self.decoder.decode(body)
        check_name(wire.zone)
        if max(len(wire.summaries), len(wire.refreshes), len(wire.known_summaries)) > MAX_ZONES_PER_MESSAGE:
            raise ZoneMessageError("zones")
        return ZoneMembershipMessage(
            ZoneMembershipKind(kind),
            sender,
            wire.zone,
            seq,
            tuple(unpack_summary(summary) for summary in wire.summaries),
            tuple(unpack_refresh(refresh) for refresh in wire.refreshes),
            tuple(unpack_known_summary(entry) for entry in wire.known_summaries),
        )


def pack_version(version: Version) -> WireVersion:
    """Return the wire form of a version."""
    return WireVersion(version.origin, version.incarnation, version.counter)


def pack_refresh(refresh: Refresh) -> WireRefresh:
    """Return the wire form of a refresh."""
    version = pack_version(refresh.version)
    return WireRefresh(refresh.zone, refresh.fingerprint, version, to_milliseconds(refresh.age))


def pack_known_summary(entry: KnownSummary) -> WireKnownSummary:
    """Return the wire form of a known summary, an entry of a query."""
    return WireKnownSummary(entry.zone, entry.fingerprint, to_milliseconds(entry.age))


def pack_summary(summary: Summary) -> WireSummary:
    """Return the wire form of a summary."""
    state = summary.state
    return WireSummary(
        state.zone,
        state.region,
        state.size,
        state.digest,
        [WireGateway(g.name, *g.address) for g in state.gateways[:MAX_GATEWAYS_PER_SUMMARY]],
        list(state.facts),
        pack_version(summary.version),
        to_milliseconds(summary.age),
    )


def unpack_summary(wire: WireSummary) -> Summary:
    """Check the fields of a received summary against their bounds, and return the summary.

    Raises:
        ZoneMessageError: A field is out of its bounds.
        ZoneFactsError: There are too many facts, or they are too long.
    """
    check_name(wire.zone)
    check_name(wire.region, min_characters=0)
    check_range(wire.size, ZONE_SIZE_BOUND)
    check_range(wire.digest, HASH_BOUND)
    if len(wire.gateways) > MAX_GATEWAYS_PER_SUMMARY:
        raise ZoneMessageError("gateways")
    check_facts(wire.facts)
    gateways = tuple(unpack_gateway(gateway) for gateway in wire.gateways)
    state = ZoneState(wire.zone, wire.region, wire.size, wire.digest, gateways, tuple(wire.facts))
    return Summary(state, unpack_version(wire.version), unpack_age(wire.age_ms))


def unpack_gateway(wire: WireGateway) -> Gateway:
    """Return a received gateway, or raise ZoneMessageError if a field is out of its bounds."""
    check_name(wire.name)
    if not 0 < len(wire.host) <= MAX_HOST_CHARACTERS or not 0 < wire.port < PORT_BOUND:
        raise ZoneMessageError("address")
    return Gateway(wire.name, (wire.host, wire.port))


def unpack_version(wire: WireVersion) -> Version:
    """Return a received version, or raise ZoneMessageError if a field is out of its bounds."""
    check_name(wire.origin)
    check_range(wire.incarnation, COUNTER_BOUND)
    check_range(wire.counter, COUNTER_BOUND)
    return Version(wire.origin, wire.incarnation, wire.counter)


def unpack_refresh(wire: WireRefresh) -> Refresh:
    """Return a received refresh, or raise ZoneMessageError if a field is out of its bounds."""
    check_name(wire.zone)
    check_range(wire.fingerprint, HASH_BOUND)
    return Refresh(wire.zone, wire.fingerprint, unpack_version(wire.version), unpack_age(wire.age_ms))


def unpack_known_summary(wire: WireKnownSummary) -> KnownSummary:
    """Return a received known summary, or raise ZoneMessageError if a field is out of its bounds."""
    check_name(wire.zone)
    check_range(wire.fingerprint, HASH_BOUND)
    return KnownSummary(wire.zone, wire.fingerprint, unpack_age(wire.age_ms))


def unpack_age(age_ms: int) -> int:
    """Return a received age in microseconds, or raise ZoneMessageError if it is out of its bounds."""
    check_range(age_ms, AGE_MS_BOUND)
    return age_ms * MICROSECONDS_PER_MILLISECOND


def to_milliseconds(age: int) -> int:
    """Convert an age in microseconds to milliseconds, rounded up so that no copy appears newer than it is."""
    return -(-age // MICROSECONDS_PER_MILLISECOND)


def check_name(name: str, min_characters: int = 1) -> None:
    """Raise ZoneMessageError unless a name's length is within its bounds."""
    if not min_characters <= len(name) <= MAX_NAME_CHARACTERS:
        raise ZoneMessageError("name")


def check_range(number: int, bound: int) -> None:
    """Raise ZoneMessageError unless a number is at least 0 and below its bound."""
    if not 0 <= number < bound:
        raise ZoneMessageError("number")
