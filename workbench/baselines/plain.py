"""Choice without a limit: random, in turn, and the better of two."""

from __future__ import annotations

from collections.abc import Sequence

from workbench.baselines.base import Baseline


class RandomChoice(Baseline):
    """Any listed server."""

    def choose(self, now: int, ids: Sequence[int]) -> int:
        return ids[int(self.rng.random() * len(ids))]


class RoundRobin(Baseline):
    """The listed servers in the order of their ids, from a random one on."""

    place = -1

    def choose(self, now: int, ids: Sequence[int]) -> int:
        if self.place < 0:
            self.place = int(self.rng.random() * len(ids))
        self.place += 1
        return ids[self.place % len(ids)]


class TwoDraws(Baseline):
    """The one of two random servers with fewer of this node's calls in flight (Mitzenmacher's two
    choices)."""

    def choose(self, now: int, ids: Sequence[int]) -> int:
        a = ids[int(self.rng.random() * len(ids))]
        b = ids[int(self.rng.random() * len(ids))]
        return b if self.in_flight.get(b, 0) < self.in_flight.get(a, 0) else a
