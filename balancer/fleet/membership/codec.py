"""Datagrams: a versioned form under 1,200 bytes, authenticated by a shared key, safe against replays.

    version (1 byte) | key's mark (4) | sender's stamp in microseconds (8) | message (MessagePack) | tag (16)

A message is kind, sender, seq and a body that the part which has this kind reads. The tag is a keyed BLAKE2b
over all before it. Two keys are valid at once, so that keys can be changed one instance after the other. What
fails a check is counted by its reason and dropped; no input raises. Whether an authentic datagram is a replay
is decided by `replay_guard.py`.
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

from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.membership.messages import MAX_DATAGRAM_BYTES
from balancer.fleet.membership.replay_guard import MAX_SKEW, SenderStamps, Verdict
from balancer.fleet.membership.wire import MembershipWire

__all__ = ["Codec", "InvalidKeyError", "MembershipWire", "PayloadCodec", "mark", "read_key", "tag"]

VERSION = 1
HEAD = Struct("<B4sQ")
TAG_BYTES = 16
MIN_KEY_BYTES = 16

Head = tuple[int, str, int, msgspec.Raw]


class PayloadCodec(Protocol):
    """What makes bodies of one part's messages and reads them."""

    kinds: frozenset[int]

    def pack(self, message: Any) -> Any:
        """The body, of plain types."""

    def shorter(self, message: Any) -> Any | None:
        """The message with less in it, for a datagram that came out too long; None where it cannot be."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> Any:
        """The message; a ValueError, or one of msgspec's, where it is impossible."""


class Refused(Exception):
    """A datagram fails a check; `reason` is what it is counted under."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InvalidKeyError(Exception):
    """A key file that cannot be used: one line."""


class Codec:
    """Messages to datagrams and back. `keys`: the one to sign with first, then those still taken. `parts`:
    whose messages go through it; membership's always do."""

    def __init__(self, keys: list[bytes], parts: Sequence[PayloadCodec] = ()) -> None:
        if not keys or any(len(k) < MIN_KEY_BYTES for k in keys):
            raise InvalidKeyError(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
        self.keys = {mark(k): k for k in reversed(keys[:2])}
        self.signing = keys[0]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Head)
        self.parts: dict[int, PayloadCodec] = {k: p for p in (MembershipWire(), *parts) for k in p.kinds}
        self.replays = SenderStamps()
        self.stamp = 0
        self.dropped: Counter[str] = Counter()

    def encode(self, message: Any, clock: int) -> bytes:
        """A datagram of a message. What does not fit is left out, as the message's part has it. `clock`: the
        stamp, microseconds of a clock that does not step within a life. Versions before `replay_guard.py`
        take none that is over 30 s off their Unix time."""
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

    def decode(self, data: bytes, now: int) -> Any | None:
        """The message of a datagram, or None; `dropped` counts why. A sender not heard of before is believed
        to be live, as on a network without an adversary; a process takes `read` and a `ReplayGuard`. `now`:
        the receiver's monotonic clock."""
        found = self.read(data)
        if found is None:
            return None
        stamp, message = found
        sender = message.sender
        if sender not in self.replays.windows:
            self.replays.begin(sender, stamp, now, max_age=MAX_SKEW)
            return message
        verdict = self.replays.judge(sender, stamp, now)
        if verdict != Verdict.FRESH:
            self.dropped["replay" if verdict == Verdict.REPLAY else "clock"] += 1
            return None
        self.replays.record(sender, stamp, now)
        return message

    def read(self, data: bytes) -> tuple[int, Any] | None:
        """Stamp and message of an authentic datagram, new or not; None for another, and `dropped` counts why.
        Costs no more than its length."""
        try:
            return self.checked(data)
        except Refused as refused:
            self.dropped[refused.reason] += 1
            return None

    def checked(self, data: bytes) -> tuple[int, Any]:
        """Raises Refused."""
        if not HEAD.size + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise Refused("length")
        version, key_mark, stamp = HEAD.unpack_from(data)
        if version != VERSION:
            raise Refused("version")
        key = self.keys.get(key_mark)
        if key is None:
            raise Refused("key")
        body = data[:-TAG_BYTES]
        if not hmac.compare_digest(tag(key, body), data[-TAG_BYTES:]):
            raise Refused("tag")
        try:
            kind, sender, seq, rest = self.decoder.decode(body[HEAD.size :])
            if not 0 < len(sender) <= MAX_NAME_CHARACTERS or not 0 <= seq < 1 << 62:
                raise Refused("form")
            if kind not in self.parts:
                raise Refused("kind")
            return stamp, self.parts[kind].unpack(kind, sender, seq, rest)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise Refused("form") from None


def mark(key: bytes) -> bytes:
    """What tells which key signed, and nothing of the key."""
    return hashlib.blake2b(key, digest_size=4, person=b"mark").digest()


def tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=TAG_BYTES, key=key[:64]).digest()


def read_key(path: Path) -> bytes:
    """The key in a file that only its owner may read. InvalidKeyError."""
    try:
        found = os.stat(path)
        key = path.read_bytes().strip()
    except OSError as e:
        raise InvalidKeyError(f"{path}: {e.strerror}") from None
    if stat.S_IMODE(found.st_mode) & 0o077:
        raise InvalidKeyError(f"{path}: others may read it: chmod 600 it")
    if not MIN_KEY_BYTES <= len(key) <= 64:
        raise InvalidKeyError(f"{path}: a key has {MIN_KEY_BYTES} to 64 bytes, this one {len(key)}")
    return key
