"""Estimates when servers started, whatever the wall clocks say that the listed times come from.

A start is listed in Unix time, and the process's clock counts from its own wall clock at its start. Both may
be wrong by seconds or by an hour. No server can have started after the process was notified of it, so the
clock is fast by at most the smallest age of any start in the lists. The clock is assumed to be that fast, so
no server is taken to have started earlier than it did. A start of which the process is notified promptly
shows that the clock is right: discovery alone may take so long, and a clock that is fast by no more shortens
a slow start by a fifth at most. Where more than `MAX_UNPROVEN_SHARE` of a process's first servers would be in
slow start by this assumption alone, the clock is trusted: the others could not carry the load meanwhile.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from balancer.policy.interface import ServerEntry

MAX_CLOCK_ERROR = 3_660_000_000  # a clock is wrong by an hour at most, or by some seconds more
PROMPT_SHARE = 0.2  # a start learned of within this share of a slow start was learned of promptly...
MIN_PROMPT_DELAY = 1_000_000  # ...as is one with no more delay, however short slow starts are
MAX_PROMPT_DELAY = 4_000_000  # but none with more, however long they are
MAX_LIST_DELAY = 10_000_000  # a start learned of while the process runs is no older than this
MAX_UNPROVEN_SHARE = 1 / 3  # of the servers in a process's first lists
MAX_REMEMBERED = 1024  # starts of servers that have left the list


@dataclass(frozen=True, slots=True)
class ServerStart:
    """One start of a server, as the process was notified of it."""

    ready_at: int  # as listed
    notified_at: int
    running: bool  # while this process ran, after its first lists
    clock_trusted: bool  # as listed, the start is taken for right


def prompt_delay(slow_start_time: int) -> int:
    """The longest delay with which a start counts as learned of promptly.

    Failure prevented: in a rolling release the delay of discovery is taken for an error of the clock, and
    each process holds all servers that are warming up back for that much longer.
    """
    return max(MIN_PROMPT_DELAY, min(MAX_PROMPT_DELAY, int(PROMPT_SHARE * slow_start_time)))


class StartTimes:
    """Corrects listed start times. All times are microseconds."""

    def __init__(self, slow_start_time: int) -> None:
        self.slow_start_time = slow_start_time
        self.prompt_delay = prompt_delay(slow_start_time)
        self.clock_error = MAX_CLOCK_ERROR  # the clock is fast by no more than this
        self.first_list_at: int | None = None
        self.clock_trusted = False  # for the servers of the first lists
        self.remembered: dict[int, ServerStart] = {}

    def observe(self, now: int, entries: Iterable[ServerEntry], listed: int) -> bool:
        """Records the starts that a list of the servers names, `listed` of which there are then.

        True if starts corrected before are to be corrected anew.
        """
        if self.first_list_at is None:
            self.first_list_at = now
        ages = [max(0, now - entry.ready_at) for entry in entries if entry.ready_at > 0]
        error = min(ages, default=MAX_CLOCK_ERROR)
        if error <= self.prompt_delay:
            error = 0
        corrected = error < self.clock_error
        self.clock_error = min(self.clock_error, error)
        unproven = sum(self.slow_start_time <= age < self.clock_error + self.slow_start_time for age in ages)
        self.clock_trusted = unproven > MAX_UNPROVEN_SHARE * listed
        return corrected

    def record(self, now: int, entry: ServerEntry, running: bool) -> ServerStart:
        """A server is new in the list, or has started anew. One that was listed before keeps its start."""
        start = self.remembered.pop(entry.server, None)
        if start is not None and start.ready_at == entry.ready_at:
            return start
        running = running or self.has_run_for_long(now)
        return ServerStart(entry.ready_at, now, running, self.clock_trusted and not running)

    def has_run_for_long(self, now: int) -> bool:
        """Whether a start that is listed now, and was not before, was made while this process ran.

        Failure prevented: servers that restart together before anything has followed a process's cached list
        count among its first servers, and as warm where its clock is an hour fast.
        """
        return self.first_list_at is not None and now - self.first_list_at > MAX_LIST_DELAY

    def remember(self, server: int, start: ServerStart) -> None:
        """The server has left the list, and may come back as it was."""
        if start.ready_at <= 0:
            return
        self.remembered[server] = start
        if len(self.remembered) > MAX_REMEMBERED:
            del self.remembered[next(iter(self.remembered))]

    def slow_start_until(self, start: ServerStart) -> int:
        """The end of the slow start, by the latest time at which the server may have started.

        Failure prevented: a server that has just started counts as warm where the clock is fast, and stays in
        slow start for as long as the clock is slow.
        """
        if start.ready_at <= 0:
            return 0
        error = 0 if start.clock_trusted else self.clock_error
        started_at = min(start.notified_at, start.ready_at + error)
        if start.running and started_at < start.notified_at - MAX_LIST_DELAY:
            started_at = start.notified_at
        return started_at + self.slow_start_time
