"""Who speaks for a zone: rendezvous hashing over its members, so that all who see the same choose the same.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from heapq import nsmallest

MASK = (1 << 64) - 1


class Scores(dict[str, int]):
    """Hashes of a zone's members by name, made when they are first asked for."""

    def __init__(self, zone: str) -> None:
        super().__init__()
        self.key = blake2b(zone.encode(), digest_size=16).digest()

    def __missing__(self, name: str) -> int:
        hashed = blake2b(name.encode(), digest_size=8, key=self.key, person=b"gateway")
        score = self[name] = int.from_bytes(hashed.digest(), "big")
        return score


class Rendezvous:
    """The order of a zone's members, and the digest of a set of them."""

    def __init__(self, zone: str) -> None:
        self.scores = Scores(zone)

    def first(self, names: Iterable[str], count: int) -> list[str]:
        """The members with the lowest hashes, the lowest first."""
        return nsmallest(count, names, key=self.scores.__getitem__)

    def digest(self, names: Iterable[str]) -> int:
        """Equal for equal sets of names, in whichever order they come."""
        return sum(map(self.scores.__getitem__, names)) & MASK

    def keep_only(self, names: Iterable[str]) -> None:
        """Forgets the hashes of all others."""
        kept = set(names)
        for name in [name for name in self.scores if name not in kept]:
            del self.scores[name]
