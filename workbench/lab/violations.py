"""What checkers find, and what they share."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

LOG_DELAY_S = 0.2  # within which the lab has read a log line


class Finding(NamedTuple):
    """One violation as its checker finds it: when, by whom, and what was wrong."""

    at: float
    who: str
    what: str


Findings = Iterator[Finding]


@dataclass(frozen=True)
class Violation:
    """A violation of a rule.

    Attributes:
        checker: The name of the checker that found it.
        at: Seconds of the lab.
        who: The node that broke the rule, or `all`.
        what: What was wrong, for a person to read.
    """

    checker: str
    at: float
    who: str
    what: str

    def __str__(self) -> str:
        """Returns the line that reports show."""
        return f"{self.at:8.3f} s  {self.who:6}  {self.checker}: {self.what}"
