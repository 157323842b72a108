"""The tokens of the policy's timers: what a timer is for, and a value that belongs to it."""

from __future__ import annotations

from enum import IntEnum

VALUE_BITS = 56


class TimerKind(IntEnum):
    """What a timer is for."""

    POLL_LIST = 1  # poll the server list again
    QUEUE_TIMEOUT = 2  # a request has been queued for as long as it may be; the value is its id


def timer_token(kind: TimerKind, value: int = 0) -> int:
    """The token for a timer. `value` is less than 2 to the power of VALUE_BITS."""
    return kind << VALUE_BITS | value


def parse_token(token: int) -> tuple[int, int]:
    """A token's kind, which may be an unknown one, and value."""
    return token >> VALUE_BITS, token & ((1 << VALUE_BITS) - 1)
