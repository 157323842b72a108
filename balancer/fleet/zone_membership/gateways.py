"""Rendezvous hashing over the members of a zone.

Nodes with the same view of the members select the same gateways without an election. Source: Thaler and
Ravishankar, "Using name-based mappings to increase hit rates" (1998).
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from heapq import nsmallest

DIGEST_MASK = (1 << 64) - 1


class Scores(dict[str, int]):
    """Hashes of the names of a zone's members; each is computed on the first lookup of the name."""

    def __init__(self, zone: str) -> None:
        super().__init__()
        self.key = blake2b(zone.encode(), digest_size=16).digest()

    def __missing__(self, name: str) -> int:
        """Compute and cache the hash of a member on its first lookup."""
        hashed = blake2b(name.encode(), digest_size=8, key=self.key, person=b"gateway")
        score = self[name] = int.from_bytes(hashed.digest(), "big")
        return score


class Rendezvous:
    """The order of a zone's members by the hashes of their names, and a common hash of a set of members."""

    def __init__(self, zone: str) -> None:
        self.scores = Scores(zone)

    def first(self, names: Iterable[str], count: int) -> list[str]:
        """Return the `count` members with the lowest hashes in ascending order."""
        return nsmallest(count, names, key=self.scores.__getitem__)

    def digest(self, names: Iterable[str]) -> int:
        """Return a hash of a set of names that does not depend on their order."""
        return sum(map(self.scores.__getitem__, names)) & DIGEST_MASK

    def retain_only(self, names: Iterable[str]) -> None:
        """Remove the cached hashes of all members that are not in `names`."""
        retained = set(names)
        for name in [name for name in self.scores if name not in retained]:
            del self.scores[name]
