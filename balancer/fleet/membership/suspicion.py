"""How long a member stays suspect: shorter as distinct members confirm it.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), "local health aware suspicion": the time starts at a maximum, which nobody else's failed probe has yet
supported, and falls with the logarithm of the number of confirmations to a minimum.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import log


class Suspicion:
    """One member's suspicion as this instance holds it.

    `maximum` and `minimum` are durations in microseconds; `confirmations` is how many members beside the
    first must have found it unreachable for the minimum to hold. With none to be had the maximum stays.
    """

    __slots__ = ("accusers", "confirmations", "maximum", "minimum", "since")

    def __init__(self, since: int, maximum: int, minimum: int, confirmations: int) -> None:
        self.since = since
        self.maximum = maximum
        self.minimum = minimum
        self.confirmations = confirmations
        self.accusers: list[str] = []  # members whose own probes failed, in the order heard of

    def accuse(self, accusers: Iterable[str]) -> bool:
        """Adds members that suspect of their own; whether there was a new one that counts."""
        before = len(self.accusers)
        for accuser in accusers:
            if len(self.accusers) <= self.confirmations and accuser not in self.accusers:
                self.accusers.append(accuser)
        return len(self.accusers) > before

    def deadline(self) -> int:
        """When the member is held dead unless it has refuted."""
        confirmed = max(0, len(self.accusers) - 1)
        if confirmed == 0:
            return self.since + self.maximum
        share = log(confirmed + 1) / log(self.confirmations + 1)
        return self.since + int(self.maximum - (self.maximum - self.minimum) * min(1.0, share))
