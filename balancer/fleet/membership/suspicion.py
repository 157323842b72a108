"""The duration of a suspicion, which shortens as distinct members confirm it.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), "local health aware suspicion": the duration starts at a maximum and decreases
to a minimum with the logarithm of the number of members whose own probes have failed too.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import log


class Suspicion:
    """The suspicion of one member.

    Args:
        since: When it began.
        maximum: Its duration without confirmation, in microseconds.
        minimum: Its duration when fully confirmed, in microseconds.
        confirmations: Number of members beside the first accuser that confirm it fully; if it is 0 the
            maximum applies.
    """

    __slots__ = ("accusers", "confirmations", "maximum", "minimum", "since")

    def __init__(self, since: int, maximum: int, minimum: int, confirmations: int) -> None:
        self.since = since
        self.maximum = maximum
        self.minimum = minimum
        self.confirmations = confirmations
        self.accusers: list[str] = []  # members whose own probes failed, in order of arrival

    def accuse(self, accusers: Iterable[str]) -> bool:
        """Adds members whose own probes failed; returns whether one of them is new and counts."""
        before = len(self.accusers)
        for accuser in accusers:
            if len(self.accusers) <= self.confirmations and accuser not in self.accusers:
                self.accusers.append(accuser)
        return len(self.accusers) > before

    def deadline(self) -> int:
        """Returns when the member is considered dead unless it refutes the suspicion."""
        confirmed = max(0, len(self.accusers) - 1)
        if confirmed == 0:
            return self.since + self.maximum
        share = log(confirmed + 1) / log(self.confirmations + 1)
        return self.since + int(self.maximum - (self.maximum - self.minimum) * min(1.0, share))
