"""Encoding and decoding of datagrams: a versioned form under 1,200 bytes, authenticated by a shared key.

    version (1 byte) | key id (4) | sender's stamp in microseconds (8) | message (MessagePack) | tag (16)

A message is encoded as kind, sender, seq and a payload, whose form the `PayloadCodec` of its kind defines.
The tag is a keyed BLAKE2b over everything before it. Two keys are valid at a time, so that keys can be
rotated one instance after the other. A datagram that fails a check is counted by reason and dropped; no input
raises. Whether an authentic datagram is a replay is decided by `replay_guard.py`.
"""

from __future__ import annotations

import hmac
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from struct import Struct
from typing import Any, Protocol

import msgspec

from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.membership.keys import (
    MIN_KEY_BYTES,
    TAG_BYTES,
    InvalidKeyError,
    authentication_tag,
    key_id,
)
from balancer.fleet.membership.messages import MAX_DATAGRAM_BYTES
from balancer.fleet.membership.replay_guard import SenderStamps
from balancer.fleet.membership.stamp_window import MAX_SKEW_US, Verdict
from balancer.fleet.membership.wire import MAX_SEQ, MembershipWire

VERSION = 1
HEADER = Struct("<B4sQ")  # version, key id, stamp
MAX_KEYS = 2

Envelope = tuple[int, str, int, msgspec.Raw]  # kind, sender, seq, payload


class PayloadCodec(Protocol):
    """Encodes and decodes the payloads of one component's messages.

    Attributes:
        kinds: Numbers of the message kinds that this codec is responsible for.
    """

    kinds: frozenset[int]

    def pack(self, message: Any) -> Any:
        """Returns the payload of a message as plain types that MessagePack can hold."""

    def shorter(self, message: Any) -> Any | None:
        """Returns the message with less content, for a datagram that came out too long.

        None means that the message cannot be shortened.
        """

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> Any:
        """Returns the message that a payload encodes.

        Raises:
            ValueError: The payload's values are impossible.
            msgspec.MsgspecError: The payload is malformed.
        """


@dataclass(frozen=True, slots=True)
class StampedMessage:
    """A message from an authentic datagram, with its sender's stamp in microseconds."""

    stamp: int
    message: Any


class DatagramRejectedError(Exception):
    """A datagram fails a check.

    Attributes:
        reason: What the datagram is counted under.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Codec:
    """Encodes messages as datagrams and decodes them.

    Args:
        keys: The key to sign with, then a second one that is still accepted, if any.
        payload_codecs: Those of the components in use, beside membership's own.

    Attributes:
        dropped: Number of rejected datagrams by reason.

    Raises:
        InvalidKeyError: There is no key, or one is too short.
    """

    def __init__(self, keys: list[bytes], payload_codecs: Sequence[PayloadCodec] = ()) -> None:
        if not keys or any(len(key) < MIN_KEY_BYTES for key in keys):
            raise InvalidKeyError(f"a key of at least {MIN_KEY_BYTES} bytes is needed")
        self.keys = {key_id(key): key for key in reversed(keys[:MAX_KEYS])}
        self.signing_key = keys[0]
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Envelope)
        self.payload_codecs: dict[int, PayloadCodec] = {
            kind: codec for codec in (MembershipWire(), *payload_codecs) for kind in codec.kinds
        }
        self.senders = SenderStamps()
        self.last_stamp = 0
        self.dropped: Counter[str] = Counter()

    def encode(self, message: Any, clock: int) -> bytes:
        """Returns the datagram of a message, shortened by its payload codec until it fits.

        Args:
            message: A message of a kind that has a payload codec.
            clock: Microseconds of a clock that doesn't step while the process runs; the stamp is taken from
                it. Versions without a replay guard accept no stamp more than 30 s off their Unix time.
        """
        self.last_stamp = max(self.last_stamp + 1, clock)
        header = HEADER.pack(VERSION, key_id(self.signing_key), self.last_stamp)
        payload_codec = self.payload_codecs[int(message.kind)]
        while True:
            envelope = (int(message.kind), message.sender, message.seq, payload_codec.pack(message))
            data = header + self.encoder.encode(envelope)
            fits = len(data) + TAG_BYTES <= MAX_DATAGRAM_BYTES
            shortened = None if fits else payload_codec.shorter(message)
            if shortened is None:
                return data + authentication_tag(self.signing_key, data)
            message = shortened

    def decode(self, data: bytes, now: int) -> Any | None:
        """Returns the message of a datagram, or None if it is rejected, which `dropped` counts.

        The first datagram of an unknown sender is accepted without proof that it is live, as is sufficient on
        a network without an adversary; a node uses `read` and a `ReplayGuard` instead.

        Args:
            data: The datagram.
            now: The receiver's monotonic clock in microseconds.
        """
        received = self.read(data)
        if received is None:
            return None
        sender, stamp = received.message.sender, received.stamp
        if sender not in self.senders.windows:
            self.senders.begin(sender, stamp, now, max_age=MAX_SKEW_US)
            return received.message
        verdict = self.senders.judge(sender, stamp, now)
        if verdict != Verdict.FRESH:
            self.dropped["replay" if verdict == Verdict.REPLAY else "clock"] += 1
            return None
        self.senders.record(sender, stamp, now)
        return received.message

    def read(self, data: bytes) -> StampedMessage | None:
        """Returns the content of an authentic datagram, whether replayed or not.

        The result is None for any other datagram, which `dropped` counts. The cost is at most proportional to
        the datagram's length.
        """
        try:
            return self.parse(data)
        except DatagramRejectedError as e:
            self.dropped[e.reason] += 1
            return None

    def parse(self, data: bytes) -> StampedMessage:
        """Returns the content of an authentic datagram.

        Raises:
            DatagramRejectedError: The datagram fails a check.
        """
        if not HEADER.size + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError("length")
        version, sent_key_id, stamp = HEADER.unpack_from(data)
        if version != VERSION:
            raise DatagramRejectedError("version")
        key = self.keys.get(sent_key_id)
        if key is None:
            raise DatagramRejectedError("key")
        signed = data[:-TAG_BYTES]
        if not hmac.compare_digest(authentication_tag(key, signed), data[-TAG_BYTES:]):
            raise DatagramRejectedError("tag")
        try:
            return StampedMessage(stamp, self.parse_message(signed[HEADER.size :]))
        except (msgspec.MsgspecError, ValueError, RecursionError):
            raise DatagramRejectedError("form") from None

    def parse_message(self, data: bytes) -> Any:
        """Returns the message of an envelope.

        Raises:
            DatagramRejectedError: The sender or `seq` is out of range, or the kind is unknown.
            ValueError: The payload's values are impossible.
            msgspec.MsgspecError: The envelope or the payload is malformed.
        """
        kind, sender, seq, payload = self.decoder.decode(data)
        if not 0 < len(sender) <= MAX_NAME_CHARACTERS or not 0 <= seq < MAX_SEQ:
            raise DatagramRejectedError("form")
        payload_codec = self.payload_codecs.get(kind)
        if payload_codec is None:
            raise DatagramRejectedError("kind")
        return payload_codec.unpack(kind, sender, seq, payload)
