"""Counters of an instance's membership, for the operators' page."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Counts:
    """Numbers of events since the start."""

    sent: int = 0
    received: int = 0
    suspected: int = 0
    refuted: int = 0
    died: int = 0
    pages_refused: int = 0  # requests to this instance beyond its rate limit
