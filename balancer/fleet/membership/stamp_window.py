"""The stamps of one sender's datagrams: which are plausible now, and which have been accepted before.

A process's stamps grow at the pace of real time, but those of the next process of its name may begin below
them, if the wall clock was stepped back in between. The window therefore remembers what it has accepted
of earlier processes: the next one may use the same range of stamps, and no datagram is accepted twice.

Times are microseconds.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from enum import Enum, auto

WINDOW_SIZE = 1024  # stamps remembered of a process, and as many of earlier ones of its name
MEMORY_US = (
    3_900_000_000  # ...and for so long: a clock is stepped back by an hour at most, or some seconds more
)
MAX_SKEW_US = 30_000_000  # between a stamp and the value expected from its sender's earlier stamps
MAX_TRANSIT_US = 1_000_000  # age at which a datagram is still accepted when its sender is proven live
UNSIGNED_64_BITS = "Q"  # array's type code; a stamp has eight bytes in a datagram


class Verdict(Enum):
    """The relation of a stamp to its sender's earlier ones."""

    FRESH = auto()
    REPLAY = auto()  # seen before, or too old to be distinguished from a replay
    DISTANT = auto()  # far from the expected value: of another process, or recorded long ago


class StampWindow:
    """One sender's stamps: the newest, its time of arrival, and the last ones accepted.

    Args:
        newest: The sender's present stamp.
        now: The receiver's time at which that stamp is present.
        floor: The lowest stamp that is accepted without another proof that the sender is live.

    Attributes:
        seen: The last stamps accepted of the present process, in ascending order.
        earlier: Stamps accepted of earlier processes of the name, in ascending order.
        forgotten_below: Lower stamps may have been accepted and are no longer remembered.
        overlap_end: Lower stamps may be of an earlier process.
    """

    __slots__ = ("earlier", "floor", "forgotten_below", "newest", "newest_at", "overlap_end", "seen")

    def __init__(self, newest: int, now: int, floor: int = 0) -> None:
        self.newest = newest
        self.newest_at = now
        self.floor = floor
        self.seen = array(UNSIGNED_64_BITS)
        self.earlier = array(UNSIGNED_64_BITS)
        self.forgotten_below = 0
        self.overlap_end = 0

    def expected(self, now: int) -> int:
        """Returns the stamp that the sender's datagrams have now, unless they are delayed."""
        return self.newest + now - self.newest_at

    def judge(self, stamp: int, now: int) -> Verdict:
        """Judges a stamp that arrives now, without recording it."""
        if self.is_remembered(stamp):
            return Verdict.REPLAY
        expected = self.expected(now)
        skew = abs(stamp - expected)
        if skew > MAX_SKEW_US:
            return Verdict.DISTANT
        if stamp < self.floor or stamp < self.forgotten_below:
            return Verdict.REPLAY
        # Failure prevented: what an earlier process has sent to others passes for the present one's.
        if min(stamp, expected) < self.overlap_end and skew > MAX_TRANSIT_US:
            return Verdict.DISTANT
        return Verdict.FRESH

    def is_remembered(self, stamp: int) -> bool:
        """Returns whether a stamp is among those accepted that are still remembered."""
        return contains(self.seen, stamp) or contains(self.earlier, stamp)

    def may_have_accepted(self, stamp: int) -> bool:
        """Returns whether a stamp was accepted before, or nothing is known of it any more."""
        return stamp < self.forgotten_below or self.is_remembered(stamp)

    def record(self, stamp: int, now: int) -> None:
        """Records that a datagram was accepted."""
        if stamp >= self.newest:
            self.newest, self.newest_at = stamp, now
        insort(self.seen, stamp)
        if len(self.seen) > WINDOW_SIZE:
            self.forgotten_below = max(self.forgotten_below, self.seen.pop(0) + 1)
        self.forget_old()

    def forget_old(self) -> None:
        """Forgets the stamps that no step of a clock can bring back.

        Failure prevented: over days, each of some thousand senders comes to `WINDOW_SIZE` stamps, and a node
        with little memory cannot hold them.
        """
        oldest = self.newest - MEMORY_US
        for remembered in (self.seen, self.earlier):
            if remembered and remembered[0] < oldest:
                del remembered[: bisect_left(remembered, oldest)]
                self.forgotten_below = max(self.forgotten_below, oldest)

    def inherit(self, previous: StampWindow, now: int) -> None:
        """Takes over what is known of the sender's stamps from its window until now."""
        self.overlap_end = max(previous.overlap_end, previous.expected(now))
        accepted = sorted({*previous.earlier, *previous.seen})
        # The present process has passed those below the floor, and reaches the lowest others first.
        excess = max(0, len(accepted) - WINDOW_SIZE)
        dropped = min(excess, bisect_left(accepted, self.floor))
        self.earlier = array(UNSIGNED_64_BITS, accepted[dropped : dropped + WINDOW_SIZE])
        forgotten_below = max(previous.forgotten_below, accepted[dropped - 1] + 1 if dropped else 0)
        # Below it, and yet proven, only a process is whose clock was stepped back by more than `MAX_SKEW_US`.
        self.forgotten_below = forgotten_below if forgotten_below <= self.newest else 0


def contains(ascending: array[int], stamp: int) -> bool:
    """Returns whether a stamp is among those in ascending order."""
    index = bisect_left(ascending, stamp)
    return index < len(ascending) and ascending[index] == stamp
