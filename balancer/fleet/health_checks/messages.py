"""What the holder of a server's trial says to the nodes of its zone."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec

LONGEST_ZONE = 64
MOST = 32  # trials in a datagram
BIGGEST = 1 << 62


class ProbeKind(IntEnum):
    """What a message is. The numbers are apart from the other parts'."""

    TRYING = 48  # I try these servers; nobody else need
    FAILED = 49  # I have tried them in vain
    WELL = 50  # they answer again


@dataclass(frozen=True)
class Trial:
    """`server`: its number, the same at every node. `wait`: microseconds until the next trial is due."""

    server: int
    token: int
    wait: int = 0


@dataclass(frozen=True)
class ProbeMessage:
    """`token` goes with each server, since each is a lease of its own."""

    kind: ProbeKind
    sender: str
    zone: str
    trials: tuple[Trial, ...] = ()
    seq: int = 0


Body = tuple[str, list[tuple[int, int, int]]]


class ProbeWire:
    """Its messages to the envelope's parts and back."""

    kinds = frozenset(int(k) for k in ProbeKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(Body)

    def pack(self, m: ProbeMessage) -> Body:
        return m.zone, [(t.server, t.token, t.wait) for t in m.trials]

    def shorter(self, m: ProbeMessage) -> ProbeMessage | None:
        """Without the last trial."""
        return replace(m, trials=m.trials[:-1]) if m.trials else None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ProbeMessage:
        """A ValueError, or one of msgspec's, where a figure is impossible."""
        zone, trials = self.decoder.decode(body)
        if len(zone) > LONGEST_ZONE or len(trials) > MOST:
            raise ValueError("probe")
        for server, token, wait in trials:
            if not (0 <= server < 1 << 64 and 0 < token < BIGGEST and 0 <= wait < BIGGEST):
                raise ValueError("trial")
        return ProbeMessage(ProbeKind(kind), sender, zone, tuple(Trial(*t) for t in trials), seq)
