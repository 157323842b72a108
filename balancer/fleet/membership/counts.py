"""What has happened in an instance's membership, for an operator's figures."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass
class Counts:
    """Counters since the start."""

    sent: int = 0
    received: int = 0
    suspected: int = 0
    refuted: int = 0
    died: int = 0
    pages_refused: int = 0  # asked of this instance beyond its limit
