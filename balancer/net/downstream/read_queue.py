"""Bytes that have been read from a client and wait to be parsed, each with the time of its reading."""

from __future__ import annotations

from collections import deque


class ReadQueue:
    """A queue of bytes. `len` is the number of bytes, not of reads."""

    def __init__(self) -> None:
        self.reads: deque[tuple[bytes, float]] = deque()
        self.size = 0

    def __len__(self) -> int:
        """The number of bytes."""
        return self.size

    def append(self, data: bytes, read_at: float) -> None:
        """Adds what one read brought."""
        self.reads.append((data, read_at))
        self.size += len(data)

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """The first bytes, at most `max_bytes` and all of one read, and when they were read."""
        data, read_at = self.reads.popleft()
        if len(data) > max_bytes:
            self.reads.appendleft((data[max_bytes:], read_at))
            data = data[:max_bytes]
        self.size -= len(data)
        return data, read_at

    def clear(self) -> None:
        """Drops all bytes."""
        self.reads.clear()
        self.size = 0
