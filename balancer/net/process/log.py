"""The node's log: lines on standard error, limited in rate."""

from __future__ import annotations

import sys
from contextlib import suppress
from time import monotonic

MAX_LINES_PER_SECOND = 20
MAX_STRAY_LINES_PER_SECOND = 5


class Log:
    """Writes lines and counts those it omits.

    Failure prevented: a flood of stray datagrams or broken requests that is logged line by line costs the
    node its CPU, and blocks it where nobody reads the log.

    Args:
        name: stands before each line.
        max_lines_per_second: beyond so many, lines are omitted.
    """

    def __init__(self, name: str, max_lines_per_second: int) -> None:
        self.name = name
        self.max_lines_per_second = max_lines_per_second
        self.remaining_lines = max_lines_per_second
        self.second = 0
        self.omitted = 0

    def line(self, text: str) -> None:
        """Writes a line, or counts it as omitted beyond the limit of this second."""
        second = int(monotonic())
        if second != self.second:
            self.second, self.remaining_lines = second, self.max_lines_per_second
            if self.omitted:
                self.write(f"{self.omitted} lines left out")
                self.omitted = 0
        if self.remaining_lines == 0:
            self.omitted += 1
            return
        self.remaining_lines -= 1
        self.write(text)

    def write(self, text: str) -> None:
        """Writes a line whatever the rate. A log that nobody reads any more is no reason to stop serving."""
        with suppress(OSError):
            sys.stderr.write(f"{self.name}: {text}\n")
            sys.stderr.flush()
