"""Figures of the trials. Times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class ProbeSettings:
    """`lease`: of each trial's lease, the longest that voters grant, since nobody is in a hurry for the next
    holder. `patience` is how long a node waits for a holder, or for its word, before it tries by itself."""

    lease: int = 10_000_000
    patience: int = 12_000_000
    slack: int = 6_000_000  # a holder's word holds until the next trial is due, and so long beyond
    idle: int = 5_000_000  # a trial so overdue: this node has no calls to try with, and gives the lease up...
    rest: int = 10_000_000  # ...and does not ask for so long
    spread: int = 1_000_000  # in which the nodes of a zone take a server back, not all at once
    tells: int = 3  # times that a server is said to be well, since a datagram may be lost...
    tell_every: int = 300_000  # ...so far apart
    heard_most: int = 1024  # servers whose holders' words are kept


def settings_for(longest: int) -> ProbeSettings:
    """With the longest lease of the fleet, and a patience that outlasts a holder's end by the time to find
    the next."""
    return ProbeSettings(lease=longest, patience=longest + 2_000_000)
