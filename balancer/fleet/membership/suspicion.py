"""The duration of a suspicion, which decreases as distinct members confirm the suspicion.

Source: Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection"
(2017), "local health aware suspicion". The duration starts at a maximum and decreases to a minimum with the
logarithm of the number of members whose own probes have failed too.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import log


class Suspicion:
    """The suspicion of one member.

    A member whose own probe of the suspect has failed is an accuser. Each accuser after the first one
    confirms the suspicion.

    Args:
        started_at: Time at which the suspicion began, in microseconds.
        max_duration: Duration without confirmation, in microseconds.
        min_duration: Duration when fully confirmed, in microseconds.
        required_confirmations: Number of members, in addition to the first accuser, that fully confirm the
            suspicion. If it is 0, the maximum duration applies.

    Attributes:
        accusers: Members whose own probes have failed, in order of arrival.
    """

    __slots__ = ("accusers", "max_duration", "min_duration", "required_confirmations", "started_at")

    def __init__(
        self, started_at: int, max_duration: int, min_duration: int, required_confirmations: int
    ) -> None:
        self.started_at = started_at
        self.max_duration = max_duration
        self.min_duration = min_duration
        self.required_confirmations = required_confirmations
        self.accusers: list[str] = []

    def accuse(self, accusers: Iterable[str]) -> bool:
        """Add members whose own probes have failed; return whether any of them was added.

        Members beyond the required number of confirmations are ignored.
        """
        previous_count = len(self.accusers)
        for accuser in accusers:
            if len(self.accusers) <= self.required_confirmations and accuser not in self.accusers:
                self.accusers.append(accuser)
        return len(self.accusers) > previous_count

    def deadline(self) -> int:
        """Return the time at which the member is considered dead unless it refutes the suspicion."""
        confirmations = max(0, len(self.accusers) - 1)
        if confirmations == 0:
            return self.started_at + self.max_duration
        confirmed_share = log(confirmations + 1) / log(self.required_confirmations + 1)
        return self.started_at + int(
            self.max_duration - (self.max_duration - self.min_duration) * min(1.0, confirmed_share)
        )
