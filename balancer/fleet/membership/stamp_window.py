"""The stamps of one sender's datagrams: which are plausible now, and which have been accepted before.

A stamp is the time by its sender's clock at which a datagram was sent, and is unique among the datagrams
of one process. A process's stamps advance at the rate of real time, but those of the next process with the
same name may start at a lower value if the wall clock was stepped back in between. The window therefore also
remembers the stamps accepted from earlier processes: the next process may use the same range of stamps, and
no datagram is accepted twice.

Times are microseconds.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, insort
from enum import Enum, auto

# Maximum number of accepted stamps that are remembered of a sender's current process, and the same number of
# all its earlier processes of that name.
WINDOW_SIZE = 1024
# Time for which stamps are remembered: a clock is stepped back by an hour at most, or some seconds more.
RETENTION_US = 3_900_000_000
# Maximum difference between a stamp and the value expected from its sender's earlier stamps.
MAX_SKEW_US = 30_000_000
# Age up to which a datagram is accepted when its sender is proven to be live.
MAX_TRANSIT_US = 1_000_000
# The type code for arrays of stamps, which have eight bytes in a datagram.
UNSIGNED_64_BITS = "Q"


class StampStatus(Enum):
    """The relation of a stamp to the earlier stamps of its sender.

    Attributes:
        FRESH: The stamp is plausible and has not been accepted before.
        REPLAY: The stamp was accepted before, or is too old to be distinguished from a replay.
        OUT_OF_RANGE: The stamp is far from the expected value: it is of another process, or its datagram was
            recorded long ago.
    """

    FRESH = auto()
    REPLAY = auto()
    OUT_OF_RANGE = auto()


class StampWindow:
    """One sender's stamps: the newest, its time of arrival, and the last accepted ones.

    Args:
        newest: The sender's current stamp.
        now: The receiver's time at which that stamp is current.
        floor: The lowest stamp that is accepted without another proof that the sender is live.

    Attributes:
        newest_at: The receiver's time of arrival of the newest stamp.
        current_stamps: The last stamps accepted from the current process, in ascending order.
        previous_stamps: Stamps accepted from earlier processes of the same name, in ascending order.
        forgotten_below: Bound below which stamps may have been accepted and are no longer remembered.
        overlap_end: Bound below which stamps may be those of an earlier process.
    """

    __slots__ = (
        "current_stamps",
        "floor",
        "forgotten_below",
        "newest",
        "newest_at",
        "overlap_end",
        "previous_stamps",
    )

    def __init__(self, newest: int, now: int, floor: int = 0) -> None:
        self.newest = newest
        self.newest_at = now
        self.floor = floor
        self.current_stamps = array(UNSIGNED_64_BITS)
        self.previous_stamps = array(UNSIGNED_64_BITS)
        self.forgotten_below = 0
        self.overlap_end = 0

    def expected_stamp(self, now: int) -> int:
        """Return the stamp that a datagram arriving now without delay would have."""
        return self.newest + now - self.newest_at

    def classify(self, stamp: int, now: int) -> StampStatus:
        """Classify a stamp that arrives now, without recording it."""
        if self.is_remembered(stamp):
            return StampStatus.REPLAY
        expected_stamp = self.expected_stamp(now)
        skew = abs(stamp - expected_stamp)
        if skew > MAX_SKEW_US:
            return StampStatus.OUT_OF_RANGE
        if stamp < self.floor or stamp < self.forgotten_below:
            return StampStatus.REPLAY
        # Where the ranges of an earlier and the current process overlap, datagrams that the earlier process
        # sent to other receivers could be taken for those of the current process; the tolerance is therefore
        # smaller.
        if min(stamp, expected_stamp) < self.overlap_end and skew > MAX_TRANSIT_US:
            return StampStatus.OUT_OF_RANGE
        return StampStatus.FRESH

    def is_remembered(self, stamp: int) -> bool:
        """Return whether a stamp was accepted, from the current or an earlier process, and is remembered."""
        return contains(self.current_stamps, stamp) or contains(self.previous_stamps, stamp)

    def may_have_accepted(self, stamp: int) -> bool:
        """Return whether a stamp was accepted before, or may have been and is no longer remembered."""
        return stamp < self.forgotten_below or self.is_remembered(stamp)

    def record(self, stamp: int, now: int) -> None:
        """Record that a datagram with this stamp was accepted."""
        if stamp >= self.newest:
            self.newest, self.newest_at = stamp, now
        insort(self.current_stamps, stamp)
        if len(self.current_stamps) > WINDOW_SIZE:
            self.forgotten_below = max(self.forgotten_below, self.current_stamps.pop(0) + 1)
        self.forget_old_stamps()

    def forget_old_stamps(self) -> None:
        """Remove the stamps that are older than a clock can be stepped back.

        Otherwise the window of each sender would reach `WINDOW_SIZE` stamps within days, which a node with
        little memory cannot hold for thousands of senders.
        """
        oldest = self.newest - RETENTION_US
        for stamps in (self.current_stamps, self.previous_stamps):
            if stamps and stamps[0] < oldest:
                del stamps[: bisect_left(stamps, oldest)]
                self.forgotten_below = max(self.forgotten_below, oldest)

    def inherit(self, previous: StampWindow, now: int) -> None:
        """Take over the stamps and bounds of the sender's previous window."""
        self.overlap_end = max(previous.overlap_end, previous.expected_stamp(now))
        accepted = sorted({*previous.previous_stamps, *previous.current_stamps})
        # Stamps below the floor are dropped first, because the current process has passed them. Of the others
        # the lowest are kept, because the current process reaches them first.
        excess = max(0, len(accepted) - WINDOW_SIZE)
        dropped = min(excess, bisect_left(accepted, self.floor))
        self.previous_stamps = array(UNSIGNED_64_BITS, accepted[dropped : dropped + WINDOW_SIZE])
        forgotten_below = max(previous.forgotten_below, accepted[dropped - 1] + 1 if dropped else 0)
        # The stamps of a proven process are below the bound only if its clock was stepped back by more than
        # `MAX_SKEW_US`; the bound would then reject all of its datagrams.
        self.forgotten_below = forgotten_below if forgotten_below <= self.newest else 0


def contains(ascending: array[int], stamp: int) -> bool:
    """Return whether an array in ascending order contains a stamp."""
    index = bisect_left(ascending, stamp)
    return index < len(ascending) and ascending[index] == stamp
