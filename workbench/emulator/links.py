"""The network between two processes: delay, jitter, loss, duplication, reordering, bandwidth, partitions.

There is one `Link` for each direction. It determines when a relay delivers a datagram, and a `Stream` sends
the bytes of a connection over it in order. While a link is cut, datagrams are lost, and the bytes of
connections are buffered until it heals, because TCP would retransmit them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

# TCP retransmits a lost segment after this time.
RETRANSMISSION_TIMEOUT_US = 200_000
# A reordered datagram is delayed by this time, plus a random time of at most the same length.
REORDER_DELAY_US = 5_000


class LinkClock(Protocol):
    """The part of a clock that a link uses. Times are in microseconds."""

    now: int

    def call_at(self, at: int, call: Callable[[Any], None], arg: Any) -> Any:
        """Schedule `call(arg)` at the time `at`."""


class Link:
    """One direction of the network between two endpoints.

    Times are in microseconds; loss, duplication and reordering are probabilities from 0 to 1.

    Args:
        clock: Provides the time and schedules arrivals.
        rng: Decides which messages are lost, duplicated, reordered or delayed.
        base_delay_us: The one-way delay without faults.
    """

    def __init__(self, clock: LinkClock, rng: Random, base_delay_us: int) -> None:
        self.clock = clock
        self.rng = rng
        self.base_delay_us = base_delay_us
        # The number of active faults that cut the link.
        self.active_cuts = 0
        self.loss = self.duplicate = self.reorder = 0.0
        self.delay_us = self.jitter_us = 0
        # Zero means that the bandwidth is unlimited.
        self.bytes_per_s = 0.0
        # The time at which a link with limited bandwidth has sent all earlier messages.
        self.free_at = 0
        self.heal_callbacks: list[Callable[[], None]] = []

    @property
    def delivers_immediately(self) -> bool:
        """Whether the link neither delays nor loses bytes."""
        impaired = self.delay_us or self.jitter_us or self.loss or self.bytes_per_s
        return not (self.active_cuts or self.base_delay_us or impaired)

    def arrival_time(self, size: int) -> int:
        """Return the arrival time of a message of `size` bytes that is sent now."""
        now = self.clock.now
        start = max(now, self.free_at)
        if self.bytes_per_s:
            start += int(size / self.bytes_per_s * 1e6)
            self.free_at = start
        return start + self.base_delay_us + self.delay_us + int(self.jitter_us * self.rng.random())

    def datagram_arrivals(self, size: int) -> list[int]:
        """Return the arrival times of a datagram's copies: none if it is lost, two if it is duplicated."""
        if self.active_cuts or (self.loss and self.rng.random() < self.loss):
            return []
        arrivals = [self.arrival_time(size)]
        if self.reorder and self.rng.random() < self.reorder:
            arrivals[0] += REORDER_DELAY_US + int(REORDER_DELAY_US * self.rng.random())
        if self.duplicate and self.rng.random() < self.duplicate:
            arrivals.append(arrivals[0] + int(REORDER_DELAY_US * self.rng.random()))
        return arrivals

    def segment_arrival(self, size: int) -> int:
        """Return the arrival time of a segment of a connection, including retransmissions after losses."""
        at = self.arrival_time(size)
        while self.loss and self.rng.random() < self.loss:
            at += RETRANSMISSION_TIMEOUT_US
        return at

    def set_cut(self, active: bool) -> None:
        """Add or remove one fault that cuts the link, and call `heal_callbacks` when none is left."""
        self.active_cuts += 1 if active else -1
        if not self.active_cuts:
            callbacks, self.heal_callbacks = self.heal_callbacks, []
            for callback in callbacks:
                callback()


class Stream:
    """One direction of a connection: bytes arrive in order, and all arrive while the connection is open.

    Args:
        link: The link that the bytes are sent over.
        deliver: Called with the bytes that arrive at the receiver.
    """

    def __init__(self, link: Link, deliver: Callable[[bytes], None]) -> None:
        self.link = link
        self.deliver = deliver
        # Bytes that were sent while the link was cut.
        self.buffered: list[bytes] = []
        self.last_arrival = 0
        self.closed = False

    def send(self, data: bytes) -> None:
        """Send bytes to the receiver, or buffer them while the link is cut."""
        link = self.link
        if link.active_cuts or self.buffered:
            if not self.buffered:
                link.heal_callbacks.append(self.flush)
            self.buffered.append(data)
        elif link.delivers_immediately and self.last_arrival <= link.clock.now:
            self.deliver(data)
        else:
            self.last_arrival = max(self.last_arrival, link.segment_arrival(len(data)))
            link.clock.call_at(self.last_arrival, self.arrive, data)

    def flush(self) -> None:
        """Send the buffered bytes when the link has healed."""
        buffered, self.buffered = self.buffered, []
        for data in buffered:
            self.send(data)

    def arrive(self, data: bytes) -> None:
        """Deliver bytes, unless the connection was closed in the meantime."""
        if not self.closed:
            self.deliver(data)
