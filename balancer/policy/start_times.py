"""Estimates of servers' start times that tolerate wrong wall clocks.

A start is listed in Unix time, and the process's clock is based on its own wall clock at its start. Both may
be wrong by seconds or by an hour. No server can have started after the process was notified of it, so the
clock is fast by at most the smallest age of any start in the lists. The clock is assumed to be that fast, so
that no start time is estimated too early.

If a start is seen promptly, with a small age, the clock counts as right: the delay of discovery alone may be
as long as that age, and a clock error within it shortens a slow start by a fifth at most.

The age of a server is unproven if the server is warm by the clock, but would be in slow start if the clock is
as fast as assumed. If more than `MAX_UNPROVEN_SHARE` of a process's first servers have an unproven age, the
clock is trusted, because the other servers could not carry the load.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from balancer.policy.interface import ServerEntry

MAX_CLOCK_ERROR_US = 3_660_000_000  # The assumed maximum error of a clock, an hour and some seconds.
# A start is seen promptly if its age is within PROMPT_SHARE of the slow start time, or within the minimum
# delay. A start with an age beyond the maximum delay is never prompt.
PROMPT_SHARE = 0.2
MIN_PROMPT_DELAY_US = 1_000_000
MAX_PROMPT_DELAY_US = 4_000_000
# The maximum age of a start that first appears in the list while the process is running.
MAX_LIST_DELAY_US = 10_000_000
# The clock is trusted if more than this share of the servers in the first lists have an unproven age.
MAX_UNPROVEN_SHARE = 1 / 3
MAX_REMEMBERED_STARTS = 1024


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server, as this process learned of it from the server list."""

    ready_at: int  # The listed start time.
    notified_at: int
    running: bool  # The server started while this process was running, after its first lists.
    clock_trusted: bool  # The listed start time is used without correction.


def prompt_delay(slow_start_time: int) -> int:
    """Return the maximum age with which a start counts as seen promptly.

    Without this tolerance, the delay with which a list shows the starts of a rolling release would count as a
    clock error, and each process would extend the slow start of all warming servers by that error.
    """
    return max(MIN_PROMPT_DELAY_US, min(MAX_PROMPT_DELAY_US, int(PROMPT_SHARE * slow_start_time)))


class StartTimes:
    """The correction of listed start times. All times are in microseconds."""

    def __init__(self, slow_start_time: int) -> None:
        self.slow_start_time = slow_start_time
        self.prompt_delay = prompt_delay(slow_start_time)
        self.clock_error = MAX_CLOCK_ERROR_US  # The maximum time by which the clock may be fast.
        self.first_list_at: int | None = None
        self.clock_trusted = False  # Listed start times are used for the servers of the first lists.
        self.remembered: dict[int, ServerStart] = {}  # Starts of servers that left the list.

    def observe(self, now: int, entries: Iterable[ServerEntry], listed: int) -> bool:
        """Update the clock error from the entries of a list, after which `listed` servers are listed.

        Return whether start times that were estimated before must be estimated again.
        """
        if self.first_list_at is None:
            self.first_list_at = now
        ages = [max(0, now - entry.ready_at) for entry in entries if entry.ready_at > 0]
        error = min(ages, default=MAX_CLOCK_ERROR_US)
        if error <= self.prompt_delay:
            error = 0
        corrected = error < self.clock_error
        self.clock_error = min(self.clock_error, error)
        unproven = sum(self.slow_start_time <= age < self.clock_error + self.slow_start_time for age in ages)
        self.clock_trusted = unproven > MAX_UNPROVEN_SHARE * listed
        return corrected

    def record(self, now: int, entry: ServerEntry, running: bool) -> ServerStart:
        """Return the start of a server that is new in the list or has restarted.

        A server that returns to the list without a restart keeps its earlier start.
        """
        start = self.remembered.pop(entry.server, None)
        if start is not None and start.ready_at == entry.ready_at:
            return start
        running = running or self.has_run_for_long(now)
        return ServerStart(entry.ready_at, now, running, self.clock_trusted and not running)

    def has_run_for_long(self, now: int) -> bool:
        """Return whether a start that is new in the list happened while this process was running.

        The first list may be a cached one. Without this check servers that restart together before the next
        list would count among the first servers, and as warm if the clock is an hour fast.
        """
        return self.first_list_at is not None and now - self.first_list_at > MAX_LIST_DELAY_US

    def remember(self, server: int, start: ServerStart) -> None:
        """Keep the start of a server that has left the list, in case it returns without a restart."""
        if start.ready_at <= 0:
            return
        self.remembered[server] = start
        if len(self.remembered) > MAX_REMEMBERED_STARTS:
            del self.remembered[next(iter(self.remembered))]

    def slow_start_until(self, start: ServerStart) -> int:
        """Return the end of the slow start, based on the latest time at which the server may have started.

        Without the correction a server that has just started would count as warm if the clock is fast, and
        its slow start would be longer by the clock's error if the clock is slow.
        """
        if start.ready_at <= 0:
            return 0
        error = 0 if start.clock_trusted else self.clock_error
        started_at = min(start.notified_at, start.ready_at + error)
        if start.running and started_at < start.notified_at - MAX_LIST_DELAY_US:
            started_at = start.notified_at
        return started_at + self.slow_start_time
