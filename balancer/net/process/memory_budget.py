"""How many bytes of messages the process may hold, from the limits in its configuration."""

from __future__ import annotations

BASE_BYTES = 16 << 20  # that a process takes with nothing to do
BYTES_PER_HELD_BYTE = 4  # a byte held costs some more on its way from one form to another
MIN_HELD_BYTES = 1 << 20  # the minimum that may be held, however low the limit
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 4 << 10, 64 << 10


class MemoryBudget:
    """Counts the bytes of the requests and responses that are buffered.

    Streamed bodies are bounded apart: up to `chunk_bytes` are read in one go, and about as many are
    buffered for each connection, which over all of them is up to another quarter of the budget.

    Args:
        memory: the limit of the process, in bytes.
        connections: how many connections the process may have.
    """

    def __init__(self, memory: int, connections: int) -> None:
        self.held_bytes = 0
        self.resize(memory)
        fair_bytes = self.max_held_bytes // (4 * connections)
        self.chunk_bytes = min(MAX_CHUNK_BYTES, max(MIN_CHUNK_BYTES, fair_bytes))
        self.read_buffer = bytearray(self.chunk_bytes)  # each read is used up before the next one begins

    def resize(self, memory: int) -> None:
        """Sets the limit of the process, in bytes."""
        self.max_held_bytes = max(MIN_HELD_BYTES, (memory - BASE_BYTES) // BYTES_PER_HELD_BYTE)

    def fits(self, size: int) -> bool:
        """Whether so many bytes more may be held."""
        return self.held_bytes + size <= self.max_held_bytes

    def reserve(self, size: int) -> None:
        """Counts so many bytes as held."""
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Counts so many bytes as held no more."""
        self.held_bytes -= size
