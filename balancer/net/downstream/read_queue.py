"""Bytes that have been read from a client and wait to be parsed, each with the time of its reading."""

from __future__ import annotations

from collections import deque


class Unparsed:
    """A queue of bytes. `len` is the number of bytes, not of reads."""

    def __init__(self) -> None:
        self.reads: deque[tuple[bytes, float]] = deque()
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def append(self, data: bytes, read_at: float) -> None:
        """Adds what one read brought."""
        self.reads.append((data, read_at))
        self.size += len(data)

    def take(self, most: int) -> tuple[bytes, float]:
        """The first bytes, so many at most and all of one read, and when they were read."""
        data, read_at = self.reads.popleft()
        if len(data) > most:
            self.reads.appendleft((data[most:], read_at))
            data = data[:most]
        self.size -= len(data)
        return data, read_at

    def clear(self) -> None:
        """Throws the bytes away."""
        self.reads.clear()
        self.size = 0
