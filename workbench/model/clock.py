"""The interface of the model's clock: an event heap in `simulator/`, an event loop in `emulator/`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

# Identifies a scheduled call; opaque to all but the clock that returned it.
Handle = Any


class Clock(Protocol):
    """A scheduler of calls at integer microseconds.

    Calls are made in order of time, and calls of equal time in the order in which they were scheduled.
    """

    now: int

    def call_at(self, at: int, call: Callable[[Any], None], arg: Any) -> Handle:
        """Schedule `call(arg)` at `at`, or at once if that has passed, and return a handle to cancel it."""

    def cancel(self, handle: Handle) -> None:
        """Cancel a call that has not been made yet."""

    def call_unless(
        self, at: int, call: Callable[[Any], None], arg: Any, is_needless: Callable[[Any], bool]
    ) -> None:
        """Schedule a call that usually turns out to be unnecessary, such as a timeout.

        The clock skips the call if `is_needless(arg)` holds when it checks, some time before `at`. The call
        cannot be cancelled, and `call` must check again whether it is needed.
        """
