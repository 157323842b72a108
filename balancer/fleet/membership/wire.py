"""Membership's messages as plain types, and back.

Bodies of kinds 0 to 4 keep their form, so that earlier versions read them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import msgspec

from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS, Claim, Status
from balancer.fleet.membership.messages import (
    Accusation,
    Accusations,
    AnyMessage,
    DigestMessage,
    Kind,
    Message,
    Page,
    Pull,
)
from balancer.fleet.membership.view import ALL_BUCKETS, BUCKETS

WireClaim = tuple[str, str, int, int, int]


class MembershipWire:
    """Membership's messages."""

    kinds = frozenset(int(k) for k in Kind)

    def __init__(self) -> None:
        self.claims = msgspec.msgpack.Decoder(tuple[str, list[WireClaim]])
        self.digest = msgspec.msgpack.Decoder(tuple[list[int], list[WireClaim]])
        self.pull = msgspec.msgpack.Decoder(tuple[int, str])
        self.page = msgspec.msgpack.Decoder(tuple[bool, list[WireClaim]])
        self.accusations = msgspec.msgpack.Decoder(list[tuple[WireClaim, list[str]]])

    def pack(self, m: AnyMessage) -> Any:
        match m:
            case Message():
                return m.target, packed(m.claims)
            case DigestMessage():
                return m.digest, packed(m.claims)
            case Pull():
                return m.buckets, m.after
            case Page():
                return m.last, packed(m.claims)
            case Accusations():
                return [(pack_claim(a.claim), a.accusers) for a in m.accusations]

    def shorter(self, m: AnyMessage) -> AnyMessage | None:
        """Without the last claim or accusation."""
        match m:
            case Message() if m.claims:
                return replace(m, claims=m.claims[:-1])
            case Page() if m.claims:
                return replace(m, claims=m.claims[:-1], last=False)
            case Accusations() if m.accusations:
                return replace(m, accusations=m.accusations[:-1])
        return None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> AnyMessage:
        match kind:
            case Kind.DIGEST | Kind.DIGEST_ACK:
                digest, claims = self.digest.decode(body)
                require(len(digest) == BUCKETS and all(0 <= n < 1 << 32 for n in digest), "digest")
                return DigestMessage(Kind(kind), sender, tuple(digest), unpacked(claims), seq)
            case Kind.PULL:
                buckets, after = self.pull.decode(body)
                require(0 <= buckets <= ALL_BUCKETS, "buckets")
                require(len(after) <= MAX_NAME_CHARACTERS, "after")
                return Pull(sender, seq, buckets, after)
            case Kind.PAGE:
                last, claims = self.page.decode(body)
                return Page(sender, seq, last, unpacked(claims))
            case Kind.ACCUSATIONS:
                accusations = self.accusations.decode(body)
                return Accusations(sender, tuple(unpack_accusation(*a) for a in accusations), seq)
        target, claims = self.claims.decode(body)
        require(len(target) <= MAX_NAME_CHARACTERS, "target")
        return Message(Kind(kind), sender, seq, target, unpacked(claims))


def require(holds: bool, what: str) -> None:
    """A ValueError where a part of a message is impossible."""
    if not holds:
        raise ValueError(what)


def packed(claims: Sequence[Claim]) -> list[WireClaim]:
    return [pack_claim(c) for c in claims]


def pack_claim(claim: Claim) -> WireClaim:
    return claim.name, *claim.address, int(claim.status), claim.incarnation


def unpacked(claims: list[WireClaim]) -> tuple[Claim, ...]:
    return tuple(unpack_claim(*c) for c in claims)


def unpack_claim(name: str, host: str, port: int, status: int, incarnation: int) -> Claim:
    require(
        0 < len(name) <= MAX_NAME_CHARACTERS and 0 < len(host) <= MAX_NAME_CHARACTERS and 0 < port < 65536,
        "claim",
    )
    require(0 <= incarnation < 1 << 62, "incarnation")
    return Claim(name, (host, port), Status(status), incarnation)


def unpack_accusation(claim: WireClaim, accusers: list[str]) -> Accusation:
    """The claim must be a suspicion."""
    require(claim[3] == Status.SUSPECT, "accusation")
    require(all(0 < len(name) <= MAX_NAME_CHARACTERS for name in accusers), "accuser")
    return Accusation(unpack_claim(*claim), tuple(accusers))
