"""The range of tokens that a voter may grant before it has to write to its vote store again.

The ceiling is the highest token that the voter may grant without another disk write; the vote store keeps it
on disk for the voter's next incarnation.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


class CeilingUnavailableError(Exception):
    """Raised when a voter's ceiling cannot be raised at present because the vote store's disk fails."""


@dataclass(frozen=True)
class TokenRange:
    """Tokens above `floor`, up to and including `ceiling`: those to grant without another disk write."""

    floor: int
    ceiling: int


# Takes a token above the ceiling, stores a higher ceiling and returns the range of tokens that may be granted
# then; raises CeilingUnavailableError if the disk fails.
RaiseCeiling = Callable[[int], TokenRange]
