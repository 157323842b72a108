"""What askers and voters say to one another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

LONGEST_NAME = 64
BIGGEST = 1 << 62


class DutyKind(IntEnum):
    """What a message is. The numbers are apart from membership's."""

    ASK = 16  # grant me this duty under this number
    GRANT = 17
    DENY = 18  # `number`: the highest that the voter knows; `wait`: until its promise to another is over
    RELEASE = 19  # I do not hold it any more, or not under this number
    FREE = 20  # to those that were denied: ask again
    RECALL = 21  # a voter that came back from nothing asks the others for the highest number
    MEMORY = 22


class Reason(IntEnum):
    """Why a voter denies."""

    NONE = 0
    HELD = 1
    OLD = 2  # the number is not higher than one granted or released before
    ABSTAINS = 3
    ELECTORATE = 4  # the voter does not vote in that list
    FULL = 5
    LENGTH = 6  # a longer promise than it makes


@dataclass(frozen=True)
class DutyMessage:
    """`life` tells one process of a name from the next; `seq` pairs an answer with its question. Times in
    microseconds."""

    kind: DutyKind
    sender: str
    life: int
    duty: str = ""
    seq: int = 0
    number: int = 0
    electorate: int = 0
    wait: int = 0
    reason: Reason = Reason.NONE


Body = tuple[int, str, int, int, int, int]


class DutyWire:
    """Duty messages to the envelope's parts and back."""

    kinds = frozenset(int(k) for k in DutyKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, m: DutyMessage) -> Body:
        return (m.life, m.duty, m.number, m.electorate, m.wait, int(m.reason))

    def shorter(self, m: DutyMessage) -> None:
        """Names are short: a duty's message always fits."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> DutyMessage:
        """A ValueError, or one of msgspec's, where a figure is impossible."""
        life, duty, number, electorate, wait, reason = self.decoder.decode(body)
        if len(duty) > LONGEST_NAME or not all(0 <= x < BIGGEST for x in (life, number, electorate, wait)):
            raise ValueError("duty")
        # A reason that a later version has is a denial all the same.
        known = Reason(reason) if reason in Reason._value2member_map_ else Reason.FULL
        return DutyMessage(DutyKind(kind), sender, life, duty, seq, number, electorate, wait, known)
