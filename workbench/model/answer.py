"""Final responses to a call."""

from __future__ import annotations

from enum import IntEnum


class Answer(IntEnum):
    """The final response to a call, as its caller sees it.

    `REFUSED`: no server has run the call, so a retry is safe. `UNREACHABLE`: no node accepted the call, or
    its node stopped before it responded.
    """

    OK = 0
    REFUSED = 1
    FAILED = 2
    UNREACHABLE = 3
