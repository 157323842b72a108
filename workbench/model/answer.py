"""What a caller gets of a call."""

from __future__ import annotations

from enum import IntEnum


class Answer(IntEnum):
    """The final answer to a call."""

    OK = 0
    REFUSED = 1  # a repeat does no harm
    FAILED = 2
    UNREACHABLE = 3  # no node took it, or the node died over it
