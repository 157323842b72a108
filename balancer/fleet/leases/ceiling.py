"""The range of tokens that a voter may grant before it has to write to its vote store again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


class CeilingUnavailableError(Exception):
    """Raised when the ceiling cannot be raised at present because the disk fails."""


@dataclass(frozen=True)
class TokenRange:
    """Tokens that a voter may grant without another disk write: above `floor`, up to and with `ceiling`."""

    floor: int
    ceiling: int


# Takes a token beyond the ceiling and returns the next range, or raises CeilingUnavailableError.
RaiseCeiling = Callable[[int], TokenRange]
