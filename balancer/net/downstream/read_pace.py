"""The pace at which a client reads its responses, which tells whether the client has stalled."""

from __future__ import annotations

# The least pace at which a client reads a response without counting as stalled, in bytes a second: half of
# the 64 kB a second at which clients may read.
MIN_READ_RATE = 32_000
# Time that a client may take for the first bytes, as it reads in pieces.
START_ALLOWANCE_S = 1.5
# Bound on the time that a client may take for bytes that it has read before. A receiver's system reports free
# space only when up to a sixteenth of its buffer is free, so steady reading shows in steps.
MAX_ALLOWANCE_S = 10.0
# Time from when the node begins to wait in which the buffers of the client's machine fill up, whether the
# client reads or not. Progress after it proves that the client reads.
FILL_S = 0.3
# A client that has read nothing for this many times its longest step is overdue.
OVERDUE_FACTOR = 2


class ReadPace:
    """How long the node still waits for a client to read more: the client's allowance.

    The allowance grows with the bytes that the client reads, by the time that they take at `MIN_READ_RATE`,
    and shrinks while the node waits for the client. A client without any allowance has stalled.

    Args:
        now: The current time, in seconds.
    """

    __slots__ = (
        "allowance_s",
        "has_read",
        "longest_step_s",
        "observed_at",
        "progressed_at",
        "read_bytes",
        "stalled_since",
        "waiting_since",
    )

    def __init__(self, now: float) -> None:
        self.allowance_s = START_ALLOWANCE_S
        self.observed_at = now
        # The time at which the client was last found to have read something.
        self.progressed_at = now
        self.read_bytes = 0
        # The time at which the allowance was used up; None while some is left.
        self.stalled_since: float | None = None
        # The time at which the node began to wait for the client; None while it does not.
        self.waiting_since: float | None = None
        self.has_read = False  # Whether the client has read something while the node waited for it.
        # The longest time that the client has taken to read more while the node waited for it, in seconds.
        self.longest_step_s = FILL_S

    def observe(self, now: float, read_bytes: int, is_waiting: bool) -> bool:
        """Record how much the client has read.

        Args:
            now: The current time, in seconds.
            read_bytes: The bytes that the client has read of all its responses.
            is_waiting: Whether the node has waited for the client since the last observation.

        Returns:
            Whether the client has read something since the last observation.
        """
        progress_bytes = max(0, read_bytes - self.read_bytes)
        self.read_bytes += progress_bytes
        self.observe_waiting(now, progress_bytes > 0, is_waiting)
        if progress_bytes:
            self.progressed_at = now
        waited_s = now - self.observed_at if is_waiting else 0.0
        self.observed_at = now
        allowance_s = self.allowance_s - waited_s + progress_bytes / MIN_READ_RATE
        if allowance_s > 0.0:
            self.stalled_since = None
        elif self.stalled_since is None:
            self.stalled_since = now + allowance_s
        self.allowance_s = min(max(0.0, allowance_s), MAX_ALLOWANCE_S)
        return progress_bytes > 0

    def observe_waiting(self, now: float, has_progressed: bool, is_waiting: bool) -> None:
        """Record whether and in which steps the client reads while the node waits for it."""
        if not is_waiting:
            self.waiting_since = None
            return
        if self.waiting_since is None:
            self.waiting_since = self.observed_at
        is_filled = self.observed_at - self.waiting_since >= FILL_S
        if has_progressed and is_filled:
            self.has_read = True
            self.longest_step_s = max(self.longest_step_s, now - self.last_step_at(self.waiting_since))

    def last_step_at(self, waiting_since: float) -> float:
        """Return the time at which the client last read something, or the node began to wait for it."""
        return max(self.progressed_at, waiting_since)

    def overdue_since(self, now: float) -> float | None:
        """Return the time since which the client has read nothing, if that is longer than its steps explain.

        The result is None for a client that reads on. One that has read nothing since the node began to wait
        for it may never read, so it is overdue from then on.
        """
        if self.waiting_since is None:
            return None
        if not self.has_read:
            return self.waiting_since
        last_step_at = self.last_step_at(self.waiting_since)
        return last_step_at if now - last_step_at > OVERDUE_FACTOR * self.longest_step_s else None
