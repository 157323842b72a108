"""A queue of the bytes that have been read from a client and wait to be parsed, with their read times."""

from __future__ import annotations

from collections import deque


class ReadQueue:
    """A queue of bytes read from a client, kept per read; `len` returns the number of bytes, not of reads."""

    def __init__(self) -> None:
        self.reads: deque[tuple[bytes, float]] = deque()
        self.size = 0

    def __len__(self) -> int:
        """Return the number of bytes in the queue."""
        return self.size

    def append(self, data: bytes, read_at: float) -> None:
        """Add the bytes of one read, with the loop time of the read."""
        self.reads.append((data, read_at))
        self.size += len(data)

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """Remove at most `max_bytes` bytes of the oldest read, and return them with the time of that read."""
        data, read_at = self.reads.popleft()
        if len(data) > max_bytes:
            self.reads.appendleft((data[max_bytes:], read_at))
            data = data[:max_bytes]
        self.size -= len(data)
        return data, read_at

    def clear(self) -> None:
        """Discard all bytes."""
        self.reads.clear()
        self.size = 0
