"""How many bytes the process may hold, from the limits in its configuration."""

from __future__ import annotations

BASE = 16 << 20  # bytes that a process takes with nothing to do
SHARE = 4  # a byte held costs some more on its way from one form to another
LEAST = 1 << 20
PIECE_LEAST, PIECE_MOST = 4 << 10, 64 << 10


class Room:
    """Counts the bytes of the requests and answers that are held whole.

    What passes through is bounded apart: `piece` bytes at most are read in one go, and about as many
    are buffered for each connection, which over all of them is another quarter of the room at most.
    """

    def __init__(self, memory: int, connections: int) -> None:
        self.held = 0
        self.resize(memory)
        self.piece = min(PIECE_MOST, max(PIECE_LEAST, self.most // (4 * connections)))
        self.buffer = bytearray(self.piece)  # each read is used up before the next one begins

    def resize(self, memory: int) -> None:
        """The process may take so many bytes in all from now on."""
        self.most = max(LEAST, (memory - BASE) // SHARE)

    def fits(self, size: int) -> bool:
        """Whether so many bytes more may be held."""
        return self.held + size <= self.most

    def take(self, size: int) -> None:
        self.held += size

    def give(self, size: int) -> None:
        self.held -= size
