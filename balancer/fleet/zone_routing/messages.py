"""An operator's words on zones, from member to member."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

LONGEST_ZONE = 64
MOST = 12  # words in a datagram
BIGGEST = 1 << 62


class ZoneKind(IntEnum):
    """What a message is. The number is apart from the other parts'."""

    ORDERS = 64


@dataclass(frozen=True)
class Word:
    """A directive on the wire. `version`: the higher, the newer. `until`: its end by the sender's wall clock,
    in microseconds of Unix time; 0 where the zone may return."""

    zone: str
    version: int
    until: int


@dataclass(frozen=True)
class ZoneMessage:
    """All that a member has to say of zones. `seq`: the wall clock by which the ends are meant, as it stood
    when this was sent; 0 where it is not known. Processes of earlier versions say 0, and do not read it."""

    kind: ZoneKind
    sender: str
    words: tuple[Word, ...] = ()
    seq: int = 0


Body = list[tuple[str, int, int]]


class ZoneWire:
    """Its messages to the envelope's parts and back."""

    kinds = frozenset(int(k) for k in ZoneKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, m: ZoneMessage) -> Body:
        return [(w.zone, w.version, w.until) for w in m.words]

    def shorter(self, m: ZoneMessage) -> ZoneMessage | None:
        """Without the last word."""
        return replace(m, words=m.words[:-1]) if m.words else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ZoneMessage:
        """A ValueError, or one of msgspec's, where a figure is impossible."""
        words = self.decoder.decode(body)
        if len(words) > MOST:
            raise ValueError("words")
        for zone, version, until in words:
            if not (0 < len(zone) <= LONGEST_ZONE and 0 <= version < BIGGEST and 0 <= until < BIGGEST):
                raise ValueError("word")
        return ZoneMessage(ZoneKind(kind), sender, tuple(Word(*w) for w in words), seq)
