"""What the world asks of time. `simulator/` gives it a heap of events, real time an event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

Handle = Any  # of a call that was asked for; only its clock looks into it


class Clock(Protocol):
    """Integer microseconds. Calls come in order of time, those of one time in the order they were asked
    for."""

    now: int

    def call_at(self, at: int, call: Callable[[Any], None], arg: Any) -> Handle:
        """Calls `call(arg)` at `at`, or at once when that is past. The handle can be cancelled."""

    def cancel(self, handle: Handle) -> None:
        """Withdraws a call that has not been made yet."""

    def call_unless(
        self, at: int, call: Callable[[Any], None], arg: Any, needless: Callable[[Any], bool]
    ) -> None:
        """As `call_at`, for what most often turns out needless, such as a time-out: left out if
        `needless(arg)` holds some time before `at`. It cannot be cancelled, and `call` looks again whether
        it is needed."""
