"""Datagrams: a versioned form under 1,200 bytes, authenticated by a shared key, safe against replays.

    version (1 byte) | key's mark (4) | sender's clock in microseconds (8) | message (MessagePack) | tag (16)

A message is kind, sender, seq and a body that the part which has this kind reads. The tag is a keyed BLAKE2b
over all before it. Two keys are valid at once, so that keys can be changed one instance after the other. What
fails a check is counted by its reason and dropped; no input raises.
"""

from __future__ import annotations

import hashlib
import hmac
import os
import stat
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from struct import Struct
from typing import Any, Protocol

import msgspec

from brackenladder.fleet.membership.claims import Claim, Status
from brackenladder.fleet.membership.messages import (
    MAX_DATAGRAM_BYTES,
    Accusation,
    Accusations,
    AnyMessage,
    DigestMessage,
    Kind,
    Message,
    Page,
    Pull,
)
from brackenladder.fleet.membership.view import ALL_BUCKETS, BUCKETS

VERSION = 1
HEAD = Struct("<B4sQ")
TAG = 16
LEAST_KEY = 16
NAME_MOST = 64
CLOCK_SLACK = 30_000_000  # clocks of two machines differ by so much at most
WINDOW = 64  # datagrams of one sender that may overtake one another

SENDERS_MOST = 4096  # whose stamps are kept: over that, those of the one heard of first go

WireClaim = tuple[str, str, int, int, int]
Head = tuple[int, str, int, msgspec.Raw]


class Part(Protocol):
    """What makes bodies of one part's messages and reads them."""

    kinds: frozenset[int]

    def pack(self, message: Any) -> Any:
        """The body, of plain types."""

    def shorter(self, message: Any) -> Any | None:
        """The message with less in it, for a datagram that came out too long; None where it cannot be."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> Any:
        """The message; a ValueError, or one of msgspec's, where it is impossible."""


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
                require(len(after) <= NAME_MOST, "after")
                return Pull(sender, seq, buckets, after)
            case Kind.PAGE:
                last, claims = self.page.decode(body)
                return Page(sender, seq, last, unpacked(claims))
            case Kind.ACCUSATIONS:
                accusations = self.accusations.decode(body)
                return Accusations(sender, tuple(unpack_accusation(*a) for a in accusations), seq)
        target, claims = self.claims.decode(body)
        require(len(target) <= NAME_MOST, "target")
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
    require(0 < len(name) <= NAME_MOST and 0 < len(host) <= NAME_MOST and 0 < port < 65536, "claim")
    require(0 <= incarnation < 1 << 62, "incarnation")
    return Claim(name, (host, port), Status(status), incarnation)


def unpack_accusation(claim: WireClaim, accusers: list[str]) -> Accusation:
    """The claim must be a suspicion."""
    require(claim[3] == Status.SUSPECT, "accusation")
    require(all(0 < len(name) <= NAME_MOST for name in accusers), "accuser")
    return Accusation(unpack_claim(*claim), tuple(accusers))


class KeyFault(Exception):
    """A key file that cannot be used: one line."""


class Replays:
    """Which of a sender's datagrams have been seen: its newest stamps, in order."""

    __slots__ = ("seen",)

    def __init__(self) -> None:
        self.seen: list[int] = []

    def fresh(self, stamp: int) -> bool:
        """Whether a stamp is new; it is not new any more after this."""
        if stamp in self.seen or (len(self.seen) >= WINDOW and stamp < self.seen[0]):
            return False
        self.seen.append(stamp)
        self.seen.sort()
        del self.seen[:-WINDOW]
        return True


class Codec:
    """Messages to datagrams and back. `keys`: the one to sign with first, then those still taken. `parts`:
    whose messages go through it; membership's always do."""

    def __init__(self, keys: list[bytes], parts: Sequence[Part] = ()) -> None:
        if not keys or any(len(k) < LEAST_KEY for k in keys):
            raise KeyFault(f"a key of at least {LEAST_KEY} bytes is needed")
        self.keys = {mark(k): k for k in reversed(keys[:2])}
        self.signing = keys[0]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Head)
        self.parts: dict[int, Part] = {k: p for p in (MembershipWire(), *parts) for k in p.kinds}
        self.replays: dict[str, Replays] = {}
        self.stamp = 0
        self.dropped: Counter[str] = Counter()

    def encode(self, message: Any, clock: int) -> bytes:
        """A datagram of a message. What does not fit is left out, as the message's part has it. `clock`:
        microseconds of a clock that all machines share roughly."""
        self.stamp = max(self.stamp + 1, clock)
        head = HEAD.pack(VERSION, mark(self.signing), self.stamp)
        part = self.parts[int(message.kind)]
        while True:
            wire = (int(message.kind), message.sender, message.seq, part.pack(message))
            body = head + self.encoder.encode(wire)
            less = part.shorter(message) if len(body) + TAG > MAX_DATAGRAM_BYTES else None
            if less is None:
                return body + tag(self.signing, body)
            message = less

    def decode(self, data: bytes, clock: int) -> Any | None:
        """The message of a datagram, or None; `dropped` counts why. Costs no more than its length."""
        reason, message = self.checked(data, clock)
        if message is None:
            self.dropped[reason] += 1
        return message

    def checked(self, data: bytes, clock: int) -> tuple[str, Any | None]:
        if not HEAD.size + TAG < len(data) <= MAX_DATAGRAM_BYTES:
            return "length", None
        version, key_mark, stamp = HEAD.unpack_from(data)
        if version != VERSION:
            return "version", None
        key = self.keys.get(key_mark)
        if key is None:
            return "key", None
        body = data[:-TAG]
        if not hmac.compare_digest(tag(key, body), data[-TAG:]):
            return "tag", None
        if abs(stamp - clock) > CLOCK_SLACK:
            return "clock", None
        try:
            kind, sender, seq, rest = self.decoder.decode(body[HEAD.size :])
            if not 0 < len(sender) <= NAME_MOST or not 0 <= seq < 1 << 62:
                raise ValueError("head")
            if kind not in self.parts:
                return "kind", None
            message = self.parts[kind].unpack(kind, sender, seq, rest)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return "form", None
        seen = self.replays.get(sender)
        if seen is None:
            # Failure prevented: whoever has the key makes names up until the memory is full.
            while len(self.replays) >= SENDERS_MOST:
                del self.replays[next(iter(self.replays))]
            seen = self.replays[sender] = Replays()
        if not seen.fresh(stamp):
            return "replay", None
        return "", message

    def forget(self, sender: str) -> None:
        """A member is gone for good: its stamps need no keeping."""
        self.replays.pop(sender, None)


def mark(key: bytes) -> bytes:
    """What tells which key signed, and nothing of the key."""
    return hashlib.blake2b(key, digest_size=4, person=b"mark").digest()


def tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG, key=key[:64]).digest()


def read_key(path: Path) -> bytes:
    """The key in a file that only its owner may read. KeyFault."""
    try:
        found = os.stat(path)
        key = path.read_bytes().strip()
    except OSError as e:
        raise KeyFault(f"{path}: {e.strerror}") from None
    if stat.S_IMODE(found.st_mode) & 0o077:
        raise KeyFault(f"{path}: others may read it: chmod 600 it")
    if not LEAST_KEY <= len(key) <= 64:
        raise KeyFault(f"{path}: a key has {LEAST_KEY} to 64 bytes, this one {len(key)}")
    return key
