"""Static baselines: server selection without a concurrency limit."""

from __future__ import annotations

from collections.abc import Sequence

from workbench.baselines.base import Baseline


class RandomChoice(Baseline):
    """Any listed server."""

    def choose(self, now: int, ids: Sequence[int]) -> int:
        """Returns a random server."""
        return ids[int(self.rng.random() * len(ids))]


class RoundRobin(Baseline):
    """The listed servers in the order of their ids, from a random one on."""

    index = -1

    def choose(self, now: int, ids: Sequence[int]) -> int:
        """Returns the next server."""
        if self.index < 0:
            self.index = int(self.rng.random() * len(ids))
        self.index += 1
        return ids[self.index % len(ids)]


class TwoChoices(Baseline):
    """The one of two random servers with fewer of this node's attempts in flight (Mitzenmacher)."""

    def choose(self, now: int, ids: Sequence[int]) -> int:
        """Returns the less loaded of two random servers."""
        a = ids[int(self.rng.random() * len(ids))]
        b = ids[int(self.rng.random() * len(ids))]
        return b if self.in_flight.get(b, 0) < self.in_flight.get(a, 0) else a
