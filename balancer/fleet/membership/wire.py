"""Payloads of membership's messages: conversion to plain types and back, with validation.

Payloads of kinds 0 to 4 keep their form, so that earlier versions can read them.
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

MAX_SEQ = 1 << 62  # exclusive
MAX_INCARNATION = 1 << 62  # exclusive
MAX_BUCKET_DIGEST = 1 << 32  # exclusive
MAX_PORT = 65535

WireClaim = tuple[str, str, int, int, int]  # name, host, port, status, incarnation


class MembershipWire:
    """The payload codec of membership's messages."""

    kinds = frozenset(int(k) for k in Kind)

    def __init__(self) -> None:
        self.claims = msgspec.msgpack.Decoder(tuple[str, list[WireClaim]])
        self.digest = msgspec.msgpack.Decoder(tuple[list[int], list[WireClaim]])
        self.pull = msgspec.msgpack.Decoder(tuple[int, str])
        self.page = msgspec.msgpack.Decoder(tuple[bool, list[WireClaim]])
        self.accusations = msgspec.msgpack.Decoder(list[tuple[WireClaim, list[str]]])

    def pack(self, message: AnyMessage) -> Any:
        """Returns the payload of a message as plain types."""
        match message:
            case Message():
                return message.target, pack_claims(message.claims)
            case DigestMessage():
                return message.digest, pack_claims(message.claims)
            case Pull():
                return message.buckets, message.after
            case Page():
                return message.last, pack_claims(message.claims)
            case Accusations():
                return [(pack_claim(a.claim), a.accusers) for a in message.accusations]

    def shorter(self, message: AnyMessage) -> AnyMessage | None:
        """Returns the message without its last claim or accusation; None if it has none to omit."""
        match message:
            case Message() if message.claims:
                return replace(message, claims=message.claims[:-1])
            case Page() if message.claims:
                return replace(message, claims=message.claims[:-1], last=False)
            case Accusations() if message.accusations:
                return replace(message, accusations=message.accusations[:-1])
        return None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> AnyMessage:
        """Returns the message that a payload encodes.

        Raises:
            ValueError: The payload's values are impossible.
            msgspec.MsgspecError: The payload is malformed.
        """
        match kind:
            case Kind.DIGEST | Kind.DIGEST_ACK:
                return self.unpack_digest(Kind(kind), sender, seq, body)
            case Kind.PULL:
                return self.unpack_pull(sender, seq, body)
            case Kind.PAGE:
                last, claims = self.page.decode(body)
                return Page(sender, seq, last, unpack_claims(claims))
            case Kind.ACCUSATIONS:
                accusations = self.accusations.decode(body)
                return Accusations(sender, tuple(unpack_accusation(*a) for a in accusations), seq)
        target, claims = self.claims.decode(body)
        require(len(target) <= MAX_NAME_CHARACTERS, "target")
        return Message(Kind(kind), sender, seq, target, unpack_claims(claims))

    def unpack_digest(self, kind: Kind, sender: str, seq: int, body: msgspec.Raw) -> DigestMessage:
        """Returns the DIGEST or DIGEST_ACK that a payload encodes; raises as `unpack` does."""
        digest, claims = self.digest.decode(body)
        require(len(digest) == BUCKETS, "digest")
        require(all(0 <= number < MAX_BUCKET_DIGEST for number in digest), "digest")
        return DigestMessage(kind, sender, tuple(digest), unpack_claims(claims), seq)

    def unpack_pull(self, sender: str, seq: int, body: msgspec.Raw) -> Pull:
        """Returns the PULL that a payload encodes; raises as `unpack` does."""
        buckets, after = self.pull.decode(body)
        require(0 <= buckets <= ALL_BUCKETS, "buckets")
        require(len(after) <= MAX_NAME_CHARACTERS, "after")
        return Pull(sender, seq, buckets, after)


def require(condition: bool, field_name: str) -> None:
    """Raises a ValueError that names a field unless the condition on it holds."""
    if not condition:
        raise ValueError(field_name)


def pack_claims(claims: Sequence[Claim]) -> list[WireClaim]:
    """Returns claims as plain types."""
    return [pack_claim(claim) for claim in claims]


def pack_claim(claim: Claim) -> WireClaim:
    """Returns a claim as plain types."""
    return claim.name, *claim.address, int(claim.status), claim.incarnation


def unpack_claims(claims: list[WireClaim]) -> tuple[Claim, ...]:
    """Returns validated claims; raises a ValueError if a value is impossible."""
    return tuple(unpack_claim(*claim) for claim in claims)


def unpack_claim(name: str, host: str, port: int, status: int, incarnation: int) -> Claim:
    """Returns a validated claim; raises a ValueError if a value is impossible."""
    require(0 < len(name) <= MAX_NAME_CHARACTERS, "claim")
    require(0 < len(host) <= MAX_NAME_CHARACTERS, "claim")
    require(0 < port <= MAX_PORT, "claim")
    require(0 <= incarnation < MAX_INCARNATION, "incarnation")
    return Claim(name, (host, port), Status(status), incarnation)


def unpack_accusation(claim: WireClaim, accusers: list[str]) -> Accusation:
    """Returns a validated accusation, whose claim must be a suspicion; otherwise raises a ValueError."""
    unpacked = unpack_claim(*claim)
    require(unpacked.status == Status.SUSPECT, "accusation")
    require(all(0 < len(name) <= MAX_NAME_CHARACTERS for name in accusers), "accuser")
    return Accusation(unpacked, tuple(accusers))
