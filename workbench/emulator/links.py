"""What lies between two processes: delay, jitter, loss, doubled and overtaking messages, slow bytes, cuts.

One `Link` for each direction; a relay asks it what becomes of a datagram, a `Stream` carries a connection's
bytes over it in order. A cut link loses datagrams and holds a connection's bytes until it heals, as TCP
would.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

RESEND = 200_000  # microseconds after which TCP sends a lost segment again
MISORDER = 5_000  # a datagram that is overtaken comes so much later


class Timer(Protocol):
    """What a link needs of a clock."""

    now: int

    def call_at(self, at: int, call: Callable[[Any], None], arg: Any) -> Any:
        """Calls `call(arg)` at `at`."""


class Link:
    """One direction between two ends. Times in microseconds; shares from 0 to 1."""

    def __init__(self, timer: Timer, rng: Random, base: int) -> None:
        self.timer = timer
        self.rng = rng
        self.base = base  # one way, with no fault
        self.cuts = 0  # faults that cut it now
        self.loss = self.duplicate = self.reorder = 0.0
        self.delay = self.jitter = 0
        self.rate = 0.0  # bytes a second; 0: as many as come
        self.free_at = 0  # when its last byte has gone, where bytes are slow
        self.healed: list[Callable[[], None]] = []

    @property
    def plain(self) -> bool:
        """Whether what goes over it may be handed on at once."""
        return not (self.cuts or self.base or self.delay or self.jitter or self.loss or self.rate)

    def wait(self, size: int) -> int:
        """When what is sent now arrives."""
        now = self.timer.now
        start = max(now, self.free_at)
        if self.rate:
            self.free_at = start = start + int(size / self.rate * 1e6)
        return start + self.base + self.delay + int(self.jitter * self.rng.random())

    def datagram(self, size: int) -> list[int]:
        """When a datagram arrives: not at all, once or twice."""
        if self.cuts or (self.loss and self.rng.random() < self.loss):
            return []
        out = [self.wait(size)]
        if self.reorder and self.rng.random() < self.reorder:
            out[0] += MISORDER + int(MISORDER * self.rng.random())
        if self.duplicate and self.rng.random() < self.duplicate:
            out.append(out[0] + int(MISORDER * self.rng.random()))
        return out

    def segment(self, size: int) -> int:
        """When a piece of a connection's bytes arrives: a lost one comes again later."""
        at = self.wait(size)
        while self.loss and self.rng.random() < self.loss:
            at += RESEND
        return at

    def cut(self, on: bool) -> None:
        """One more fault that cuts it, or one less."""
        self.cuts += 1 if on else -1
        if not self.cuts:
            healed, self.healed = self.healed, []
            for call in healed:
                call()


class Stream:
    """A connection's bytes in one direction: in order, none lost while the connection stands."""

    def __init__(self, link: Link, deliver: Callable[[bytes], None]) -> None:
        self.link = link
        self.deliver = deliver
        self.held: list[bytes] = []  # while the link is cut
        self.last = 0
        self.closed = False

    def send(self, data: bytes) -> None:
        """What has come in at this end."""
        link = self.link
        if link.cuts or self.held:
            if not self.held:
                link.healed.append(self.flush)
            self.held.append(data)
        elif link.plain and self.last <= link.timer.now:
            self.deliver(data)
        else:
            self.last = max(self.last, link.segment(len(data)))
            link.timer.call_at(self.last, self.arrive, data)

    def flush(self) -> None:
        held, self.held = self.held, []
        for data in held:
            self.send(data)

    def arrive(self, data: bytes) -> None:
        if not self.closed:
            self.deliver(data)
