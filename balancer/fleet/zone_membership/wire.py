"""The encoding of the messages as MessagePack.

Structs are arrays without field names: a later version may add fields at the end, which this one skips.
Ages go out in milliseconds.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from balancer.fleet.zone_membership.errors import ZoneMessageError
from balancer.fleet.zone_membership.messages import ZoneMembershipKind, ZoneMembershipMessage
from balancer.fleet.zone_membership.summaries import (
    MAX_GATEWAYS,
    MAX_HOST_CHARACTERS,
    MAX_NAME_CHARACTERS,
    MAX_ZONE_SIZE,
    Gateway,
    Known,
    Refresh,
    Summary,
    Version,
    ZoneState,
    check_facts,
)

MAX_ZONES = 64  # in one message
MICROSECONDS_PER_MILLISECOND = 1000

# Exclusive bounds of numbers.
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


class WireKnown(msgspec.Struct, array_like=True):
    """A `Known` on the wire."""

    zone: str
    fingerprint: int
    age_ms: int


class WireBody(msgspec.Struct, array_like=True):
    """A `ZoneMembershipMessage` on the wire, without what the datagram's envelope has."""

    zone: str
    summaries: list[WireSummary]
    refreshes: list[WireRefresh]
    known: list[WireKnown]


class ZoneMembershipWire:
    """Encoder and decoder of the message bodies, to be registered with the codec."""

    kinds = frozenset(int(kind) for kind in ZoneMembershipKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(WireBody)

    def pack(self, message: ZoneMembershipMessage) -> WireBody:
        """Returns the body of a message."""
        return WireBody(
            message.zone,
            [pack_summary(summary) for summary in message.summaries],
            [pack_refresh(refresh) for refresh in message.refreshes],
            [pack_known(known) for known in message.known],
        )

    def shorter(self, message: ZoneMembershipMessage) -> ZoneMembershipMessage | None:
        """Returns a message that is too long without its last entry, or None if it has no entries."""
        if message.summaries:
            return replace(message, summaries=message.summaries[:-1])
        if message.refreshes:
            return replace(message, refreshes=message.refreshes[:-1])
        return replace(message, known=message.known[:-1]) if message.known else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ZoneMembershipMessage:
        """Returns the message of a received body.

        Raises:
            ZoneMessageError: A field is out of its bounds.
            ZoneFactsError: A summary has too many facts.
            msgspec.MsgspecError: The body is malformed.
        """
        wire = self.decoder.decode(body)
        check_name(wire.zone)
        if max(len(wire.summaries), len(wire.refreshes), len(wire.known)) > MAX_ZONES:
            raise ZoneMessageError("zones")
        return ZoneMembershipMessage(
            ZoneMembershipKind(kind),
            sender,
            wire.zone,
            seq,
            tuple(unpack_summary(summary) for summary in wire.summaries),
            tuple(unpack_refresh(refresh) for refresh in wire.refreshes),
            tuple(unpack_known(known) for known in wire.known),
        )


def pack_version(version: Version) -> WireVersion:
    """Returns a version as it goes out."""
    return WireVersion(version.origin, version.incarnation, version.counter)


def pack_refresh(refresh: Refresh) -> WireRefresh:
    """Returns a refresh as it goes out."""
    version = pack_version(refresh.version)
    return WireRefresh(refresh.zone, refresh.fingerprint, version, milliseconds(refresh.age))


def pack_known(known: Known) -> WireKnown:
    """Returns an entry of a query as it goes out."""
    return WireKnown(known.zone, known.fingerprint, milliseconds(known.age))


def pack_summary(summary: Summary) -> WireSummary:
    """Returns a summary as it goes out."""
    state = summary.state
    return WireSummary(
        state.zone,
        state.region,
        state.size,
        state.digest,
        [WireGateway(g.name, *g.address) for g in state.gateways[:MAX_GATEWAYS]],
        list(state.facts),
        pack_version(summary.version),
        milliseconds(summary.age),
    )


def unpack_summary(wire: WireSummary) -> Summary:
    """Returns a received summary, or raises as `ZoneMembershipWire.unpack` does."""
    check_name(wire.zone)
    check_name(wire.region, min_characters=0)
    check_range(wire.size, MAX_ZONE_SIZE)
    check_range(wire.digest, HASH_BOUND)
    if len(wire.gateways) > MAX_GATEWAYS:
        raise ZoneMessageError("gateways")
    check_facts(wire.facts)
    gateways = tuple(unpack_gateway(gateway) for gateway in wire.gateways)
    state = ZoneState(wire.zone, wire.region, wire.size, wire.digest, gateways, tuple(wire.facts))
    return Summary(state, unpack_version(wire.version), unpack_age(wire.age_ms))


def unpack_gateway(wire: WireGateway) -> Gateway:
    """Returns a received gateway; raises ZoneMessageError."""
    check_name(wire.name)
    if not 0 < len(wire.host) <= MAX_HOST_CHARACTERS or not 0 < wire.port < PORT_BOUND:
        raise ZoneMessageError("address")
    return Gateway(wire.name, (wire.host, wire.port))


def unpack_version(wire: WireVersion) -> Version:
    """Returns a received version; raises ZoneMessageError."""
    check_name(wire.origin)
    check_range(wire.incarnation, COUNTER_BOUND)
    check_range(wire.counter, COUNTER_BOUND)
    return Version(wire.origin, wire.incarnation, wire.counter)


def unpack_refresh(wire: WireRefresh) -> Refresh:
    """Returns a received refresh; raises ZoneMessageError."""
    check_name(wire.zone)
    check_range(wire.fingerprint, HASH_BOUND)
    return Refresh(wire.zone, wire.fingerprint, unpack_version(wire.version), unpack_age(wire.age_ms))


def unpack_known(wire: WireKnown) -> Known:
    """Returns a received entry of a query; raises ZoneMessageError."""
    check_name(wire.zone)
    check_range(wire.fingerprint, HASH_BOUND)
    return Known(wire.zone, wire.fingerprint, unpack_age(wire.age_ms))


def unpack_age(age_ms: int) -> int:
    """Returns a received age in microseconds; raises ZoneMessageError."""
    check_range(age_ms, AGE_MS_BOUND)
    return age_ms * MICROSECONDS_PER_MILLISECOND


def milliseconds(age: int) -> int:
    """Returns an age in milliseconds, rounded up: a copy never looks younger than it is."""
    return -(-age // MICROSECONDS_PER_MILLISECOND)


def check_name(name: str, min_characters: int = 1) -> None:
    """Raises ZoneMessageError if a name's length is out of its bounds."""
    if not min_characters <= len(name) <= MAX_NAME_CHARACTERS:
        raise ZoneMessageError("name")


def check_range(number: int, bound: int) -> None:
    """Raises ZoneMessageError unless a number is from 0 to below its bound."""
    if not 0 <= number < bound:
        raise ZoneMessageError("number")
