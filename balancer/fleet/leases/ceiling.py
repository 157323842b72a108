"""The range of tokens that a voter may grant before its vote store is asked again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


class CeilingUnavailableError(Exception):
    """The ceiling cannot be raised for now, since the disk fails."""


@dataclass(frozen=True)
class TokenRange:
    """Tokens that a voter may grant without asking its disk again: above `floor`, up to `ceiling`."""

    floor: int
    ceiling: int


# Called with a token beyond the ceiling; gives the next range, or raises CeilingUnavailableError.
RaiseCeiling = Callable[[int], TokenRange]
