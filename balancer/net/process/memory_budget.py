"""The limit on bytes of messages that the process buffers, derived from its memory limit."""

from __future__ import annotations

BASE_BYTES = 16 << 20  # Memory that an idle process uses.
BYTES_PER_HELD_BYTE = 4  # Memory used for each buffered byte, including its copies in other representations.
MIN_HELD_BYTES = 1 << 20  # Lower bound of the limit on buffered bytes, however low the memory limit is.
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 4 << 10, 64 << 10


class MemoryBudget:
    """Counts and limits the bytes of the requests and responses that are buffered.

    Streamed bodies are limited separately: one read takes up to `chunk_bytes`, and about as many bytes are
    buffered for each connection. For the maximum number of connections, this adds up to about a quarter of
    this budget, in addition to it.

    Args:
        memory_bytes: The memory limit of the process.
        max_connections: The maximum number of connections of the process.
    """

    def __init__(self, memory_bytes: int, max_connections: int) -> None:
        self.held_bytes = 0
        self.resize(memory_bytes)
        share_bytes = self.max_held_bytes // (4 * max_connections)
        self.chunk_bytes = min(MAX_CHUNK_BYTES, max(MIN_CHUNK_BYTES, share_bytes))
        # All connections share one buffer, since the data of a read is consumed before the next read starts.
        self.read_buffer = bytearray(self.chunk_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Change the memory limit of the process."""
        self.max_held_bytes = max(MIN_HELD_BYTES, (memory_bytes - BASE_BYTES) // BYTES_PER_HELD_BYTE)

    def can_reserve(self, size: int) -> bool:
        """Return whether another `size` bytes may be buffered."""
        return self.held_bytes + size <= self.max_held_bytes

    def reserve(self, size: int) -> None:
        """Count `size` bytes as buffered."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Stop counting `size` bytes that are no longer buffered."""
        self.held_bytes -= size
