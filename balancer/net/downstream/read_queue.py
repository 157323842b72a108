"""A queue of the bytes that have been read from a client and wait to be parsed, with their read times."""

from __future__ import annotations

# Memory of one read's objects without its bytes.
READ_OBJECT_BYTES = 136


class ReadQueue:
    """A queue of bytes read from a client, kept per read; `len` returns the number of bytes, not of reads."""

    __slots__ = ("reads", "size")

    def __init__(self) -> None:
        # A list, since an empty deque takes over ten times its memory in each connection.
        self.reads: list[tuple[bytes, float]] = []
        self.size = 0

    def __len__(self) -> int:
        """Return the number of bytes in the queue."""
        return self.size

    def held_bytes(self) -> int:
        """Return the memory of the queue: that of its bytes, and that of each read."""
        return self.size + READ_OBJECT_BYTES * len(self.reads)

    def append(self, data: bytes, read_at: float) -> None:
        """Add the bytes of one read, with the loop time of the read."""
        self.reads.append((data, read_at))
        self.size += len(data)

    def take(self, max_bytes: int) -> tuple[bytes, float]:
        """Remove at most `max_bytes` bytes of the oldest read, and return them with the time of that read."""
        data, read_at = self.reads[0]
        if len(data) > max_bytes:
            self.reads[0] = (data[max_bytes:], read_at)
            data = data[:max_bytes]
        else:
            del self.reads[0]
        self.size -= len(data)
        return data, read_at

    def clear(self) -> None:
        """Discard all bytes."""
        self.reads.clear()
        self.size = 0
