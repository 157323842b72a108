"""Who speaks for a zone: rendezvous hashing over its members, so that all who see the same choose the same.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from heapq import nsmallest

MASK = (1 << 64) - 1


class Rendezvous:
    """The order of a zone's members, and the digest of a set of them. Hashes are kept while members live."""

    def __init__(self, zone: str) -> None:
        self.key = blake2b(zone.encode(), digest_size=16).digest()
        self.scores: dict[str, int] = {}

    def score(self, name: str) -> int:
        """A member's place in the order: the lowest come first."""
        score = self.scores.get(name)
        if score is None:
            hashed = blake2b(name.encode(), digest_size=8, key=self.key, person=b"gateway")
            score = self.scores[name] = int.from_bytes(hashed.digest(), "big")
        return score

    def first(self, names: Iterable[str], count: int) -> list[str]:
        """The members that come first."""
        return nsmallest(count, names, key=self.score)

    def digest(self, names: Iterable[str]) -> int:
        """Equal for equal sets of names, in whichever order they come."""
        return sum(map(self.score, names)) & MASK

    def keep_only(self, names: Iterable[str]) -> None:
        """Forgets the hashes of all others."""
        kept = set(names)
        self.scores = {name: score for name, score in self.scores.items() if name in kept}
