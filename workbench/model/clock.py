"""The clock that the model runs on: a heap of events in `simulator/`, an event loop in `emulator/`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

Handle = Any  # of a scheduled call, opaque to all but its clock


class Clock(Protocol):
    """Schedules calls at integer microseconds.

    Calls are made in order of time; those of the same time in the order in which they were scheduled.
    """

    now: int

    def call_at(self, at: int, call: Callable[[Any], None], arg: Any) -> Handle:
        """Schedules `call(arg)` at `at`, or at once if that has passed; returns a handle to cancel it."""

    def cancel(self, handle: Handle) -> None:
        """Cancels a call that has not been made yet."""

    def call_unless(
        self, at: int, call: Callable[[Any], None], arg: Any, needless: Callable[[Any], bool]
    ) -> None:
        """Schedules a call that usually turns out to be unnecessary, such as a time-out.

        It is left out if `needless(arg)` holds some time before `at`. It cannot be cancelled, and `call` must
        check again whether it is needed.
        """
