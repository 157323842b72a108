"""What gateways and members tell one another about zones."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import IntEnum
from hashlib import blake2b

import msgspec

from balancer.fleet.membership.swim import Address

MAX_NAME = 64
MAX_HOST = 45  # the longest spelling of an IPv6 address
MAX_GATEWAYS = 4  # of a zone, in a summary
MAX_FACTS = 8
MAX_FACT_KEY = 32
MAX_FACTS_BYTES = 256  # of all keys and values of a summary
MAX_ZONES = 64  # in one message
MAX_SIZE = 1_000_000
MAX_COUNTER = 1 << 62
MILLISECOND = 1000
BATCH_BYTES = 1000  # of the summaries in a datagram, by `wire_bytes`


class FederationKind(IntEnum):
    """What a message is. The numbers are apart from the other components'."""

    ZONE_EXCHANGE = 80  # my zone's summary; answer with that of yours
    ZONE_EXCHANGE_ACK = 81
    ZONE_QUERY = 82  # the ages of all I know; answer with what you have that is younger
    ZONE_RESPONSE = 83


@dataclass(frozen=True)
class Gateway:
    """A node that speaks for its zone."""

    name: str
    address: Address


@dataclass(frozen=True)
class ZoneState:
    """What a gateway says of its zone. `digest` is of the names of all members alive."""

    zone: str
    region: str
    size: int
    digest: int
    gateways: tuple[Gateway, ...]
    facts: tuple[tuple[str, str], ...] = ()

    def fingerprint(self) -> int:
        """Equal for equal states: a holder of the same state needs its new version and age alone."""
        fields = [self.zone, self.region, str(self.size), str(self.digest)]
        fields += [f"{g.name} {g.address[0]} {g.address[1]}" for g in self.gateways]
        fields += [f"{key}\0{value}" for key, value in self.facts]
        return int.from_bytes(blake2b("\1".join(fields).encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True)
class Version:
    """Which statement of its origin this is; of one origin the greater `order` is newer."""

    origin: str
    incarnation: int
    counter: int

    @property
    def order(self) -> tuple[int, int]:
        return self.incarnation, self.counter


@dataclass(frozen=True)
class Summary:
    """A zone's state, whose statement it is, and the microseconds that have passed since it was made."""

    state: ZoneState
    version: Version
    age: int


@dataclass(frozen=True)
class Refresh:
    """A newer version of a state that the receiver has already."""

    zone: str
    fingerprint: int
    version: Version
    age: int


@dataclass(frozen=True)
class Known:
    """What the asker holds of a zone."""

    zone: str
    fingerprint: int
    age: int


@dataclass(frozen=True)
class FederationMessage:
    """`zone` is the sender's; `seq` pairs an answer with its question."""

    kind: FederationKind
    sender: str
    zone: str
    seq: int = 0
    summaries: tuple[Summary, ...] = ()
    refreshes: tuple[Refresh, ...] = ()
    known: tuple[Known, ...] = ()


# Arrays with names: a later version may add fields at the end, which this one passes over.


class WireGateway(msgspec.Struct, array_like=True):
    name: str
    host: str
    port: int


class WireVersion(msgspec.Struct, array_like=True):
    origin: str
    incarnation: int
    counter: int


class WireSummary(msgspec.Struct, array_like=True):
    zone: str
    region: str
    size: int
    digest: int
    gateways: list[WireGateway]
    facts: list[tuple[str, str]]
    version: WireVersion
    age_ms: int


class WireRefresh(msgspec.Struct, array_like=True):
    zone: str
    fingerprint: int
    version: WireVersion
    age_ms: int


class WireKnown(msgspec.Struct, array_like=True):
    zone: str
    fingerprint: int
    age_ms: int


class WireBody(msgspec.Struct, array_like=True):
    zone: str
    summaries: list[WireSummary]
    refreshes: list[WireRefresh]
    known: list[WireKnown]


class FederationWire:
    """Its messages to the envelope's parts and back."""

    kinds = frozenset(int(k) for k in FederationKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(WireBody)

    def pack(self, m: FederationMessage) -> WireBody:
        return WireBody(
            m.zone,
            [pack_summary(s) for s in m.summaries],
            [
                WireRefresh(r.zone, r.fingerprint, pack_version(r.version), milliseconds(r.age))
                for r in m.refreshes
            ],
            [WireKnown(k.zone, k.fingerprint, milliseconds(k.age)) for k in m.known],
        )

    def shorter(self, m: FederationMessage) -> FederationMessage | None:
        """Without the last entry of its longest kind."""
        if m.summaries:
            return replace(m, summaries=m.summaries[:-1])
        if m.refreshes:
            return replace(m, refreshes=m.refreshes[:-1])
        return replace(m, known=m.known[:-1]) if m.known else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> FederationMessage:
        """A ValueError, or one of msgspec's, where a figure is impossible."""
        wire = self.decoder.decode(body)
        check_name(wire.zone)
        if max(len(wire.summaries), len(wire.refreshes), len(wire.known)) > MAX_ZONES:
            raise ValueError("zones")
        return FederationMessage(
            FederationKind(kind),
            sender,
            wire.zone,
            seq,
            tuple(unpack_summary(s) for s in wire.summaries),
            tuple(unpack_refresh(r) for r in wire.refreshes),
            tuple(unpack_known(k) for k in wire.known),
        )


def pack_version(v: Version) -> WireVersion:
    return WireVersion(v.origin, v.incarnation, v.counter)


def pack_summary(s: Summary) -> WireSummary:
    state = s.state
    gateways = [WireGateway(g.name, *g.address) for g in state.gateways[:MAX_GATEWAYS]]
    return WireSummary(
        state.zone,
        state.region,
        state.size,
        state.digest,
        gateways,
        list(state.facts),
        pack_version(s.version),
        milliseconds(s.age),
    )


def unpack_summary(s: WireSummary) -> Summary:
    check_name(s.zone)
    check_name(s.region, least=0)
    check_range(s.size, MAX_SIZE)
    check_range(s.digest, 1 << 64)
    if len(s.gateways) > MAX_GATEWAYS:
        raise ValueError("gateways")
    check_facts(s.facts)
    gateways = tuple(unpack_gateway(g) for g in s.gateways)
    state = ZoneState(s.zone, s.region, s.size, s.digest, gateways, tuple(s.facts))
    return Summary(state, unpack_version(s.version), unpack_age(s.age_ms))


def unpack_gateway(g: WireGateway) -> Gateway:
    check_name(g.name)
    if not 0 < len(g.host) <= MAX_HOST or not 0 < g.port < 65536:
        raise ValueError("address")
    return Gateway(g.name, (g.host, g.port))


def unpack_version(v: WireVersion) -> Version:
    check_name(v.origin)
    check_range(v.incarnation, MAX_COUNTER)
    check_range(v.counter, MAX_COUNTER)
    return Version(v.origin, v.incarnation, v.counter)


def unpack_refresh(r: WireRefresh) -> Refresh:
    check_name(r.zone)
    check_range(r.fingerprint, 1 << 64)
    return Refresh(r.zone, r.fingerprint, unpack_version(r.version), unpack_age(r.age_ms))


def unpack_known(k: WireKnown) -> Known:
    check_name(k.zone)
    check_range(k.fingerprint, 1 << 64)
    return Known(k.zone, k.fingerprint, unpack_age(k.age_ms))


def unpack_age(age_ms: int) -> int:
    check_range(age_ms, 1 << 42)
    return age_ms * MILLISECOND


def milliseconds(age: int) -> int:
    """Rounded up: a copy never looks younger than it is."""
    return -(-age // MILLISECOND)


def check_name(name: str, least: int = 1) -> None:
    if not least <= len(name) <= MAX_NAME:
        raise ValueError("name")


def check_range(figure: int, limit: int) -> None:
    if not 0 <= figure < limit:
        raise ValueError("figure")


def check_facts(facts: Iterable[tuple[str, str]]) -> None:
    """A ValueError where a summary's facts are more than it may carry."""
    listed = list(facts)
    size = sum(len(key.encode()) + len(value.encode()) for key, value in listed)
    long_key = any(not 0 < len(key) <= MAX_FACT_KEY for key, _ in listed)
    if len(listed) > MAX_FACTS or size > MAX_FACTS_BYTES or long_key:
        raise ValueError("facts")


def wire_bytes(s: Summary) -> int:
    """An upper estimate of a summary's bytes in a datagram."""
    state = s.state
    size = 48 + len(state.zone) + len(state.region) + len(s.version.origin)
    size += sum(8 + len(g.name) + len(g.address[0]) for g in state.gateways)
    return size + sum(4 + len(key.encode()) + len(value.encode()) for key, value in state.facts)


def batches(summaries: Iterable[Summary]) -> list[tuple[Summary, ...]]:
    """Summaries by the datagram."""
    out: list[list[Summary]] = []
    room = 0
    for summary in summaries:
        size = wire_bytes(summary)
        if size > room:
            out.append([])
            room = BATCH_BYTES
        out[-1].append(summary)
        room -= size
    return [tuple(batch) for batch in out]
