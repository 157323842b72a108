"""Baselines that select servers by a fixed rule, without a concurrency limit."""

from __future__ import annotations

from collections.abc import Sequence

from workbench.baselines.base import Baseline


class RandomChoice(Baseline):
    """Selects a random one of the listed servers."""

    def select_server(self, now: int, server_ids: Sequence[int]) -> int:
        """Return a random server."""
        return server_ids[int(self.rng.random() * len(server_ids))]


class RoundRobin(Baseline):
    """Selects the listed servers in the order of their ids, from a random one on."""

    index = -1

    def select_server(self, now: int, server_ids: Sequence[int]) -> int:
        """Return the next server."""
        if self.index < 0:
            self.index = int(self.rng.random() * len(server_ids))
        self.index += 1
        return server_ids[self.index % len(server_ids)]


class TwoChoices(Baseline):
    """Selects the one of two random servers with fewer attempts of this node in flight (Mitzenmacher)."""

    def select_server(self, now: int, server_ids: Sequence[int]) -> int:
        """Return the one of two random servers with fewer attempts in flight."""
        first = server_ids[int(self.rng.random() * len(server_ids))]
        second = server_ids[int(self.rng.random() * len(server_ids))]
        return second if self.in_flight.get(second, 0) < self.in_flight.get(first, 0) else first
