"""Encoding and decoding of datagrams of at most 1,200 bytes, versioned and authenticated by a shared key.

    version (1 byte) | key id (4) | sender's stamp in microseconds (8) | message (MessagePack) | tag (16)

A message is encoded as kind, sender, seq and a payload, whose structure the `PayloadCodec` of its kind
defines. The tag is a keyed BLAKE2b digest of everything before it. Two keys are valid at a time, so that keys
can be rotated one instance after the other. A datagram that fails a check is dropped and counted by reason;
decoding raises no exception for any input. `replay_guard.py` decides whether an authentic datagram is a
replay.
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
from balancer.fleet.membership.stamp_window import MAX_SKEW_US, StampStatus
from balancer.fleet.membership.wire import SEQ_BOUND, MembershipWire

VERSION = 1
# The start of a datagram: version, key id and the sender's stamp.
HEADER = Struct("<B4sQ")
MAX_KEYS = 2

# An encoded message: its kind, its sender's name, its sequence number and its payload.
Envelope = tuple[int, str, int, msgspec.Raw]


class PayloadCodec(Protocol):
    """Encodes and decodes the payloads of one component's messages.

    Attributes:
        kinds: Numbers of the message kinds that this codec encodes and decodes.
    """

    kinds: frozenset[int]

    def pack(self, message: Any) -> Any:
        """Return the payload of a message as plain types that MessagePack can encode."""

    def shorten(self, message: Any) -> Any | None:
        """Return the message with less content, because its datagram would be too long.

        The result is None if the message cannot be shortened.
        """

    def unpack(self, kind: int, sender: str, seq: int, payload: msgspec.Raw) -> Any:
        """Return the message decoded from a payload.

        Raises:
            ValueError: A value in the payload is out of range.
            msgspec.MsgspecError: The payload is malformed.
        """


@dataclass(frozen=True, slots=True)
class StampedMessage:
    """The message of an authentic datagram, with its sender's stamp in microseconds."""

    stamp: int
    message: Any


class DatagramRejectedError(Exception):
    """A received datagram is invalid: its length, version, key, tag or content fails a check.

    Attributes:
        reason: The key under which the datagram is counted as dropped.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Codec:
    """Encodes messages as datagrams and decodes them.

    Args:
        keys: The signing key, optionally followed by a second key that is accepted as well.
        payload_codecs: The payload codecs of other components; that of membership is always included.

    Attributes:
        dropped: Number of rejected datagrams by reason.

    Raises:
        InvalidKeyError: There is no key, or a key is too short.
    """

    def __init__(self, keys: list[bytes], payload_codecs: Sequence[PayloadCodec] = ()) -> None:
        if not keys or any(len(key) < MIN_KEY_BYTES for key in keys):
            raise InvalidKeyError(
                f"at least one key is required, and each must have at least {MIN_KEY_BYTES} bytes"
            )
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
        """Return the datagram of a message, which its payload codec shortens until it fits.

        Args:
            message: A message of a kind that has a payload codec.
            clock: Time in microseconds by a clock that isn't stepped while the process runs, used as the
                stamp. Versions without a replay guard reject stamps that differ from their Unix time by more
                than 30 s.
        """
        self.last_stamp = max(self.last_stamp + 1, clock)
        header = HEADER.pack(VERSION, key_id(self.signing_key), self.last_stamp)
        payload_codec = self.payload_codecs[int(message.kind)]
        while True:
            envelope = (int(message.kind), message.sender, message.seq, payload_codec.pack(message))
            data = header + self.encoder.encode(envelope)
            fits = len(data) + TAG_BYTES <= MAX_DATAGRAM_BYTES
            shortened = None if fits else payload_codec.shorten(message)
            if shortened is None:
                return data + authentication_tag(self.signing_key, data)
            message = shortened

    def decode(self, data: bytes, now: int) -> Any | None:
        """Return the message of a datagram; None if the datagram is rejected, which `dropped` counts.

        The first datagram of an unknown sender is accepted without proof that the sender is live. This is
        sufficient only on a network without an adversary; a node uses `read` and a `ReplayGuard` instead.

        Args:
            data: The datagram.
            now: Time in microseconds by the receiver's monotonic clock.
        """
        received = self.read(data)
        if received is None:
            return None
        sender, stamp = received.message.sender, received.stamp
        if sender not in self.senders.windows:
            self.senders.begin(sender, stamp, now, max_age=MAX_SKEW_US)
            return received.message
        stamp_status = self.senders.classify(sender, stamp, now)
        if stamp_status != StampStatus.FRESH:
            self.dropped["replay" if stamp_status == StampStatus.REPLAY else "clock"] += 1
            return None
        self.senders.record(sender, stamp, now)
        return received.message

    def read(self, data: bytes) -> StampedMessage | None:
        """Return the stamp and message of an authentic datagram without checking for replays.

        The result is None for a datagram that fails a check, which `dropped` counts. The cost is at most
        proportional to the length of the datagram.
        """
        try:
            return self.parse(data)
        except DatagramRejectedError as e:
            self.dropped[e.reason] += 1
            return None

    def parse(self, data: bytes) -> StampedMessage:
        """Return the stamp and message of an authentic datagram.

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
        """Return the message of an encoded envelope.

        Raises:
            DatagramRejectedError: The length of the sender's name or `seq` is out of range, or the kind is
                unknown.
            ValueError: A value in the payload is out of range.
            msgspec.MsgspecError: The envelope or the payload is malformed.
        """
        kind, sender, seq, payload = self.decoder.decode(data)
        if not 0 < len(sender) <= MAX_NAME_CHARACTERS or not 0 <= seq < SEQ_BOUND:
            raise DatagramRejectedError("form")
        payload_codec = self.payload_codecs.get(kind)
        if payload_codec is None:
            raise DatagramRejectedError("kind")
        return payload_codec.unpack(kind, sender, seq, payload)
