"""The limit on bytes of messages that the process buffers, and the record of what holds them."""

from __future__ import annotations

import os
from enum import IntEnum

DEFAULT_BASE_BYTES = 16 << 20  # Memory of a process before its first client, until it is measured.
# Part of the memory limit that is left to what is not counted: lists of servers, the policy, the event loop.
RESERVE_DIVISOR = 16
# Memory of one connection of a client or to a server, without buffered bytes.
CONNECTION_BYTES = 3 << 10
MIN_CONNECTIONS = 256  # Lower bound of the limit on connections, however low the memory limit is.
# Memory used for each buffered byte, as blocks of memory are rounded up and leave gaps.
MEMORY_PER_HELD_BYTE = 1.25
MIN_HELD_BYTES = 1 << 20  # Lower bound of the limit on buffered bytes, however low the memory limit is.
MAX_HELD_DIVISOR = 4  # At most this part of the memory limit is used for buffered bytes.
STATM_FILE = "/proc/self/statm"  # Sizes of the process in pages; the second one is the resident set.
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 4 << 10, 64 << 10


def resident_bytes() -> int:
    """Return the size of the process's resident set; 0 if the system does not tell it."""
    try:
        with open(STATM_FILE, "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


class Holding(IntEnum):
    """What buffered bytes belong to; logs and management pages show the names in lower case.

    Attributes:
        INPUT: Bytes that were read from a client and are not parsed yet.
        PARTIAL_REQUESTS: Heads and bodies of requests that are not complete.
        REQUESTS: Complete requests that wait or are in flight.
        UPLOADS: Pieces of streamed request bodies that a server has not taken.
        UNSENT_REQUESTS: Copies of complete requests that a server has not taken.
        RESPONSES: Bodies of responses that a server has not sent completely.
        UNREAD_RESPONSES: Responses that a client does not read.
    """

    INPUT = 0
    PARTIAL_REQUESTS = 1
    REQUESTS = 2
    UPLOADS = 3
    RESPONSES = 4
    UNREAD_RESPONSES = 5
    UNSENT_REQUESTS = 6


class MemoryBudget:
    """Counts and limits the bytes of the requests and responses that are buffered.

    Of the memory that the process does not use itself, half is for connections and half for buffered bytes.
    Streamed bodies are limited separately: one read takes up to `chunk_bytes`, and about as many bytes are
    buffered for each connection. For the maximum number of connections, this adds up to about a quarter of
    this budget, in addition to it.

    Args:
        memory_bytes: The memory limit of the process.
        max_connections: The maximum number of connections of the process.
    """

    def __init__(self, memory_bytes: int, max_connections: int) -> None:
        self.held = [0] * len(Holding)  # Buffered bytes by `Holding`.
        self.held_bytes = 0
        self.peak_bytes = 0
        self.base_bytes = DEFAULT_BASE_BYTES
        self.resize(memory_bytes)
        share_bytes = self.max_held_bytes // (4 * max_connections)
        self.chunk_bytes = min(MAX_CHUNK_BYTES, max(MIN_CHUNK_BYTES, share_bytes))
        # All connections share one buffer, since the data of a read is consumed before the next read starts.
        self.read_buffer = bytearray(self.chunk_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Change the memory limit of the process."""
        self.memory_bytes = memory_bytes
        available = memory_bytes - memory_bytes // RESERVE_DIVISOR - self.base_bytes
        # As many connections as the limit on descriptors allows may be more than the memory has room for.
        self.max_connections = max(MIN_CONNECTIONS, available // 2 // CONNECTION_BYTES)
        max_held_bytes = min(int(available / 2 / MEMORY_PER_HELD_BYTE), memory_bytes // MAX_HELD_DIVISOR)
        self.max_held_bytes = max(MIN_HELD_BYTES, max_held_bytes)

    def measure_base(self) -> None:
        """Take the process's size now, before its first client, as the memory that it uses itself."""
        self.base_bytes = resident_bytes() or self.base_bytes
        self.resize(self.memory_bytes)

    def can_reserve(self, size: int) -> bool:
        """Return whether another `size` bytes may be buffered."""
        return self.held_bytes + size <= self.max_held_bytes

    def is_scarce(self) -> bool:
        """Return whether more than half of the limit is used."""
        return 2 * self.held_bytes > self.max_held_bytes

    def change(self, holding: Holding, size: int) -> None:
        """Count `size` more bytes as buffered, or fewer if it is negative."""
        self.held[holding] += size
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def figures(self) -> dict[str, int]:
        """Return the buffered bytes by holding, their sum, its peak and its limit, by name."""
        by_holding = {f"held_{holding.name.lower()}": self.held[holding] for holding in Holding}
        return by_holding | {
            "held_bytes": self.held_bytes,
            "held_peak_bytes": self.peak_bytes,
            "held_limit_bytes": self.max_held_bytes,
        }


class MemoryAccount:
    """The bytes that one connection makes the process buffer, as part of the budget.

    Args:
        budget: The budget in which the bytes count.
    """

    __slots__ = ("budget", "held", "total")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.held = [0] * len(Holding)
        self.total = 0

    def set(self, holding: Holding, size: int) -> None:
        """Record that `size` bytes are now buffered for this purpose."""
        change = size - self.held[holding]
        if change:
            self.held[holding] = size
            self.total += change
            self.budget.change(holding, change)

    def close(self) -> None:
        """Release all bytes of a connection that is closed."""
        for holding in Holding:
            self.set(holding, 0)
