"""The tokens that identify the policy's timers. A token encodes the kind of its timer and a value."""

from __future__ import annotations

from enum import IntEnum

VALUE_BITS = 56


class TimerKind(IntEnum):
    """The purpose of a timer."""

    POLL_LIST = 1  # The server list must be polled again.
    QUEUE_TIMEOUT = 2  # A request has been queued for the maximum time. The value is its id.


def timer_token(kind: TimerKind, value: int = 0) -> int:
    """Return the token for a timer. `value` must be less than 2 to the power of VALUE_BITS."""
    return kind << VALUE_BITS | value


def parse_token(token: int) -> tuple[int, int]:
    """Return a token's kind, which may be unknown, and its value."""
    return token >> VALUE_BITS, token & ((1 << VALUE_BITS) - 1)
