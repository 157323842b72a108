"""Counters of an instance's membership protocol, shown on the operators' page."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Counts:
    """Numbers of events since the start of the process.

    Attributes:
        sent: Messages sent.
        received: Messages received from other instances.
        suspected: Suspicions that have begun in this instance's view.
        refuted: Claims about this instance that it has refuted.
        died: Suspicions that ended without a refutation.
        pages_refused: Requests for a page, a datagram of claims about members, that were ignored because they
            exceeded this instance's rate limit.
    """

    sent: int = 0
    received: int = 0
    suspected: int = 0
    refuted: int = 0
    died: int = 0
    pages_refused: int = 0
