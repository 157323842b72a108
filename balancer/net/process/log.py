"""The node's log: rate-limited lines on standard error."""

from __future__ import annotations

import sys
from contextlib import suppress
from time import monotonic

MAX_LINES_PER_SECOND = 20
MAX_STRAY_LINES_PER_SECOND = 5
MAX_EVENT_LINES_PER_SECOND = 10


class Log:
    """Writes lines up to a limited rate, and counts the lines that it omits.

    The limit protects the node from floods of stray datagrams or malformed requests: logging each of them
    would use up the node's CPU time, and would block the node if nobody reads the log.

    Args:
        name: The prefix of each line.
        max_lines_per_second: The limit above which lines are omitted.
    """

    def __init__(self, name: str, max_lines_per_second: int) -> None:
        self.name = name
        self.max_lines_per_second = max_lines_per_second
        self.remaining_lines = max_lines_per_second
        self.second = 0
        self.omitted_count = 0

    def line(self, text: str) -> None:
        """Write a line, or count it as omitted if the limit for this second is reached."""
        second = int(monotonic())
        if second != self.second:
            self.second, self.remaining_lines = second, self.max_lines_per_second
            if self.omitted_count:
                self.write(f"{self.omitted_count} lines omitted")
                self.omitted_count = 0
        if self.remaining_lines == 0:
            self.omitted_count += 1
            return
        self.remaining_lines -= 1
        self.write(text)

    def write(self, text: str) -> None:
        """Write a line regardless of the rate; errors are ignored, as the node can serve without a log."""
        with suppress(OSError):
            sys.stderr.write(f"{self.name}: {text}\n")
            sys.stderr.flush()
