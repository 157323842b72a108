"""Payloads of the membership protocol's messages: conversion to plain types and back, with validation.

The structure of the payloads of kinds 0 to 4 is fixed, so that earlier versions can read them.
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

SEQ_BOUND = 1 << 62
INCARNATION_BOUND = 1 << 62
BUCKET_DIGEST_BOUND = 1 << 32
MAX_PORT = 65535

# An encoded claim about a member: its name, host, port, status and incarnation.
WireClaim = tuple[str, str, int, int, int]


class MembershipWire:
    """The payload codec of the membership protocol's messages."""

    kinds = frozenset(int(k) for k in Kind)

    def __init__(self) -> None:
        self.claims = msgspec.msgpack.Decoder(tuple[str, list[WireClaim]])
        self.digest = msgspec.msgpack.Decoder(tuple[list[int], list[WireClaim]])
        self.pull = msgspec.msgpack.Decoder(tuple[int, str])
        self.page = msgspec.msgpack.Decoder(tuple[bool, list[WireClaim]])
        self.accusations = msgspec.msgpack.Decoder(list[tuple[WireClaim, list[str]]])

    def pack(self, message: AnyMessage) -> Any:
        """Return the payload of a message as plain types that MessagePack can encode."""
        match message:
            case Message():
                return message.target, pack_claims(message.claims)
            case DigestMessage():
                return message.digest, pack_claims(message.claims)
            case Pull():
                return message.buckets, message.start_after
            case Page():
                return message.is_last, pack_claims(message.claims)
            case Accusations():
                return [(pack_claim(a.claim), a.accusers) for a in message.accusations]

    def shorten(self, message: AnyMessage) -> AnyMessage | None:
        """Return the message without its last claim or accusation; None if there is none to remove."""
        match message:
            case Message() if message.claims:
                return replace(message, claims=message.claims[:-1])
            case Page() if message.claims:
                return replace(message, claims=message.claims[:-1], is_last=False)
            case Accusations() if message.accusations:
                return replace(message, accusations=message.accusations[:-1])
        return None

    def unpack(self, kind: int, sender: str, seq: int, payload: msgspec.Raw) -> AnyMessage:
        """Return the message decoded from a payload.

        Raises:
            ValueError: A value in the payload is out of range.
            msgspec.MsgspecError: The payload is malformed.
        """
        match kind:
            case Kind.DIGEST | Kind.DIGEST_ACK:
                return self.unpack_digest(Kind(kind), sender, seq, payload)
            case Kind.PULL:
                return self.unpack_pull(sender, seq, payload)
            case Kind.PAGE:
                is_last, claims = self.page.decode(payload)
                return Page(sender, seq, is_last, unpack_claims(claims))
            case Kind.ACCUSATIONS:
                accusations = self.accusations.decode(payload)
                return Accusations(sender, tuple(unpack_accusation(*a) for a in accusations), seq)
        target, claims = self.claims.decode(payload)
        require(len(target) <= MAX_NAME_CHARACTERS, "target")
        return Message(Kind(kind), sender, seq, target, unpack_claims(claims))

    def unpack_digest(self, kind: Kind, sender: str, seq: int, payload: msgspec.Raw) -> DigestMessage:
        """Return the DIGEST or DIGEST_ACK decoded from a payload; raise the errors of `unpack`."""
        digest, claims = self.digest.decode(payload)
        require(len(digest) == BUCKETS, "digest")
        require(all(0 <= number < BUCKET_DIGEST_BOUND for number in digest), "digest")
        return DigestMessage(kind, sender, tuple(digest), unpack_claims(claims), seq)

    def unpack_pull(self, sender: str, seq: int, payload: msgspec.Raw) -> Pull:
        """Return the PULL decoded from a payload; raise the errors of `unpack`."""
        buckets, start_after = self.pull.decode(payload)
        require(0 <= buckets <= ALL_BUCKETS, "buckets")
        require(len(start_after) <= MAX_NAME_CHARACTERS, "after")
        return Pull(sender, seq, buckets, start_after)


def require(condition: bool, field_name: str) -> None:
    """Raise a ValueError with the field's name unless the condition holds."""
    if not condition:
        raise ValueError(field_name)


def pack_claims(claims: Sequence[Claim]) -> list[WireClaim]:
    """Return claims as plain types that MessagePack can encode."""
    return [pack_claim(claim) for claim in claims]


def pack_claim(claim: Claim) -> WireClaim:
    """Return a claim as plain types that MessagePack can encode."""
    return claim.name, *claim.address, int(claim.status), claim.incarnation


def unpack_claims(claims: list[WireClaim]) -> tuple[Claim, ...]:
    """Return the claims decoded from a message; raise a ValueError if a value is out of range."""
    return tuple(unpack_claim(*claim) for claim in claims)


def unpack_claim(name: str, host: str, port: int, status: int, incarnation: int) -> Claim:
    """Return the claim with the decoded values; raise a ValueError if a value is out of range."""
    require(0 < len(name) <= MAX_NAME_CHARACTERS, "claim")
    require(0 < len(host) <= MAX_NAME_CHARACTERS, "claim")
    require(0 < port <= MAX_PORT, "claim")
    require(0 <= incarnation < INCARNATION_BOUND, "incarnation")
    return Claim(name, (host, port), Status(status), incarnation)


def unpack_accusation(claim: WireClaim, accusers: list[str]) -> Accusation:
    """Return a decoded accusation.

    An accusation is a suspicion with its accusers, the members whose own probes have failed. A ValueError is
    raised if the claim isn't a valid suspicion or an accuser's name is empty or too long.
    """
    unpacked = unpack_claim(*claim)
    require(unpacked.status == Status.SUSPECT, "accusation")
    require(all(0 < len(name) <= MAX_NAME_CHARACTERS for name in accusers), "accuser")
    return Accusation(unpacked, tuple(accusers))
