"""The network between two processes: delay, jitter, loss, duplication, reordering, bandwidth, partitions.

There is one `Link` for each direction. A relay asks it when a datagram arrives; a `Stream` carries the bytes
of a connection over it in order. A cut link loses datagrams and buffers a connection's bytes until it heals,
as TCP would retransmit them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

RETRANSMISSION_TIMEOUT = 200_000  # microseconds after which TCP sends a lost segment again
REORDER_DELAY = 5_000  # microseconds by which an overtaken datagram is later, and up to as much again


class Timer(Protocol):
    """The part of a clock that a link uses. Times in microseconds."""

    now: int

    def call_at(self, at: int, call: Callable[[Any], None], arg: Any) -> Any:
        """Calls `call(arg)` at `at`."""


class Link:
    """One direction between two endpoints. Times in microseconds; probabilities from 0 to 1.

    Args:
        timer: Tells the time and schedules arrivals.
        rng: Draws what happens to each message.
        base: The one-way delay without faults.
    """

    def __init__(self, timer: Timer, rng: Random, base: int) -> None:
        self.timer = timer
        self.rng = rng
        self.base = base
        self.cuts = 0  # faults that cut the link now
        self.loss = self.duplicate = self.reorder = 0.0
        self.delay = self.jitter = 0
        self.rate = 0.0  # bytes a second; 0: unlimited
        self.free_at = 0  # when the last byte has left, where the rate is limited
        self.on_healed: list[Callable[[], None]] = []

    @property
    def delivers_at_once(self) -> bool:
        """Whether bytes may be handed on without a delay."""
        impaired = self.delay or self.jitter or self.loss or self.rate
        return not (self.cuts or self.base or impaired)

    def wait(self, size: int) -> int:
        """Returns when a message that is sent now arrives."""
        now = self.timer.now
        start = max(now, self.free_at)
        if self.rate:
            start += int(size / self.rate * 1e6)
            self.free_at = start
        return start + self.base + self.delay + int(self.jitter * self.rng.random())

    def datagram(self, size: int) -> list[int]:
        """Returns when the copies of a datagram arrive: none, one or two."""
        if self.cuts or (self.loss and self.rng.random() < self.loss):
            return []
        arrivals = [self.wait(size)]
        if self.reorder and self.rng.random() < self.reorder:
            arrivals[0] += REORDER_DELAY + int(REORDER_DELAY * self.rng.random())
        if self.duplicate and self.rng.random() < self.duplicate:
            arrivals.append(arrivals[0] + int(REORDER_DELAY * self.rng.random()))
        return arrivals

    def segment(self, size: int) -> int:
        """Returns when a piece of a connection's bytes arrives; a lost one is retransmitted."""
        at = self.wait(size)
        while self.loss and self.rng.random() < self.loss:
            at += RETRANSMISSION_TIMEOUT
        return at

    def cut(self, on: bool) -> None:
        """Adds or removes one fault that cuts the link."""
        self.cuts += 1 if on else -1
        if not self.cuts:
            callbacks, self.on_healed = self.on_healed, []
            for callback in callbacks:
                callback()


class Stream:
    """A connection's bytes in one direction: in order, and none lost while the connection is open.

    Args:
        link: The link that carries them.
        deliver: Called with the bytes at the far end.
    """

    def __init__(self, link: Link, deliver: Callable[[bytes], None]) -> None:
        self.link = link
        self.deliver = deliver
        self.buffered: list[bytes] = []  # while the link is cut
        self.last_arrival = 0
        self.closed = False

    def send(self, data: bytes) -> None:
        """Sends bytes from the near end."""
        link = self.link
        if link.cuts or self.buffered:
            if not self.buffered:
                link.on_healed.append(self.flush)
            self.buffered.append(data)
        elif link.delivers_at_once and self.last_arrival <= link.timer.now:
            self.deliver(data)
        else:
            self.last_arrival = max(self.last_arrival, link.segment(len(data)))
            link.timer.call_at(self.last_arrival, self.arrive, data)

    def flush(self) -> None:
        """Sends what was buffered, once the link has healed."""
        buffered, self.buffered = self.buffered, []
        for data in buffered:
            self.send(data)

    def arrive(self, data: bytes) -> None:
        """Delivers bytes, unless the connection has been closed since."""
        if not self.closed:
            self.deliver(data)
