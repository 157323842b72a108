"""A buffer for the body of a message, which is received in pieces."""

from __future__ import annotations

# Pieces are merged into blocks of at most this size. Blocks of one size replace each other in memory, whereas
# a growing array leaves gaps that only smaller ones can use.
BLOCK_BYTES = 4096
BLOCK_OBJECT_BYTES = 64  # Memory of a block's object and of its place in the list.


class BodyBuffer:
    """The received pieces of a body; `len` returns the number of bytes."""

    __slots__ = ("blocks", "size")

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self.size

    def append(self, data: bytes) -> None:
        """Add a piece."""
        self.size += len(data)
        if self.blocks and len(self.blocks[-1]) + len(data) <= BLOCK_BYTES:
            self.blocks[-1] += data
        else:
            self.blocks.append(bytearray(data))

    def held_bytes(self) -> int:
        """Return the memory of the buffer."""
        return self.size + BLOCK_OBJECT_BYTES * len(self.blocks)

    def to_bytes(self) -> bytes:
        """Return the body."""
        return b"".join(self.blocks)

    def clear(self) -> None:
        """Discard the body."""
        self.blocks = []
        self.size = 0
