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
from pathlib import Path
from struct import Struct
from typing import Any, Protocol

import msgspec

from brackenladder.fleet.membership.claims import MAX_NAME_CHARACTERS
from brackenladder.fleet.membership.messages import MAX_DATAGRAM_BYTES
from brackenladder.fleet.membership.wire import MembershipWire

__all__ = ["NAME_MOST", "Codec", "KeyFault", "MembershipWire", "Part", "mark", "read_key", "tag"]

VERSION = 1
HEAD = Struct("<B4sQ")
TAG_BYTES = 16
MIN_KEY_BYTES = 16
NAME_MOST = MAX_NAME_CHARACTERS  # the name that other packages import
CLOCK_SLACK = 30_000_000  # clocks of two machines differ by so much at most
WINDOW = 64  # datagrams of one sender that may overtake one another

MAX_SENDERS = 4096  # whose stamps are kept: over that, those of the one heard of first go

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
        if not keys or any(len(k) < MIN_KEY_BYTES for k in keys):
            raise KeyFault(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
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
            less = part.shorter(message) if len(body) + TAG_BYTES > MAX_DATAGRAM_BYTES else None
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
        if not HEAD.size + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            return "length", None
        version, key_mark, stamp = HEAD.unpack_from(data)
        if version != VERSION:
            return "version", None
        key = self.keys.get(key_mark)
        if key is None:
            return "key", None
        body = data[:-TAG_BYTES]
        if not hmac.compare_digest(tag(key, body), data[-TAG_BYTES:]):
            return "tag", None
        if abs(stamp - clock) > CLOCK_SLACK:
            return "clock", None
        try:
            kind, sender, seq, rest = self.decoder.decode(body[HEAD.size :])
            if not 0 < len(sender) <= MAX_NAME_CHARACTERS or not 0 <= seq < 1 << 62:
                raise ValueError("head")
            if kind not in self.parts:
                return "kind", None
            message = self.parts[kind].unpack(kind, sender, seq, rest)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return "form", None
        seen = self.replays.get(sender)
        if seen is None:
            # Failure prevented: whoever has the key makes names up until the memory is full.
            while len(self.replays) >= MAX_SENDERS:
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
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key[:64]).digest()


def read_key(path: Path) -> bytes:
    """The key in a file that only its owner may read. KeyFault."""
    try:
        found = os.stat(path)
        key = path.read_bytes().strip()
    except OSError as e:
        raise KeyFault(f"{path}: {e.strerror}") from None
    if stat.S_IMODE(found.st_mode) & 0o077:
        raise KeyFault(f"{path}: others may read it: chmod 600 it")
    if not MIN_KEY_BYTES <= len(key) <= 64:
        raise KeyFault(f"{path}: a key has {MIN_KEY_BYTES} to 64 bytes, this one {len(key)}")
    return key
