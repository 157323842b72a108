"""Figures of the zones. Times in microseconds."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

SEC = 1_000_000


@dataclass(frozen=True)
class ZoneSettings:
    """`costs`: of a call from here to a zone; one for those that are not named."""

    room: float = 1.4  # a zone bears so many times its even part of the load
    costs: Mapping[str, float] = field(default_factory=dict)
    every: int = SEC // 2  # between two looks
    window: int = 2 * SEC  # over which evidence is gathered
    least: int = 10  # calls to a zone in a window, below which it tells nothing
    row: int = 6  # so many of a zone's calls failed one after the other: it is dead until one does not
    failing: float = 0.2  # of a server's calls: it is bad
    slack: float = 1.5  # times its usual latency: so much is no sign of weakness
    forget: float = 0.1  # of what a zone's pace lacks, at each look that has no calls to tell
    slower: float = 4.0  # times the zone's usual: it is bad
    spread: float = 0.5  # of a zone's servers that were called: the zone is bad
    better: float = 0.5  # other zones are only better if so much less of them is bad
    hold: int = 10 * SEC  # a zone that was left is left alone so long...
    hold_most: int = 160 * SEC
    longer: int = 4  # ...so many times longer if it turns bad again...
    lapse: int = 60 * SEC  # ...before it was whole for this long
    stagger: int = 8 * SEC  # between the first and the last node of the fleet
    first: float = 0.02  # of its share, on return, and while its failure may be this node's own...
    step: int = 2 * SEC  # ...twice as much after so long
    usual: int = 60 * SEC  # over so long a zone's usual latency is smoothed
