"""Final responses to a call."""

from __future__ import annotations

from enum import IntEnum


class Answer(IntEnum):
    """The final response to a call, as its caller sees it."""

    OK = 0
    REFUSED = 1  # safe to retry
    FAILED = 2
    UNREACHABLE = 3  # no node accepted it, or its node died
