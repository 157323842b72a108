"""The violations that checkers report, and constants that checkers share."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

LOG_DELAY_S = 0.2  # Maximum time from a node's log line to the lab's reading it.


class Finding(NamedTuple):
    """One violation as a checker reports it.

    Attributes:
        at: Seconds of the lab.
        node: The node that violated the rule, or `all`.
        description: What was wrong, in words.
    """

    at: float
    node: str
    description: str


Findings = Iterator[Finding]


@dataclass(frozen=True)
class Violation:
    """A violation of a rule, with the checker that found it.

    Attributes:
        checker: The name of the checker that found it.
        at: Seconds of the lab.
        node: The node that violated the rule, or `all`.
        description: What was wrong, in words.
    """

    checker: str
    at: float
    node: str
    description: str

    def __str__(self) -> str:
        """Return the line that is shown in reports."""
        return f"{self.at:8.3f} s  {self.node:6}  {self.checker}: {self.description}"
