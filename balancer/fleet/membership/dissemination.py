"""Selection of the updates to piggyback on messages: those that have been sent the fewest times first.

An update is the news of a changed claim about a member.
"""

from __future__ import annotations


class Dissemination:
    """Names of the members with pending updates, in buckets by transmission count.

    The cost of choosing updates for a datagram depends on how many are chosen, not on how many are pending.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}
        self.buckets: list[dict[str, None]] = []
        # Index of a bucket, or transmission count, below which all buckets are empty.
        self.lowest_bucket = 0

    def add(self, name: str) -> None:
        """Add a new update about a member, replacing an earlier one."""
        self.remove(name)
        self.put(name, 0)

    def remove(self, name: str) -> None:
        """Remove the update about a member, if there is one."""
        count = self.transmissions.pop(name, None)
        if count is not None:
            del self.buckets[count][name]

    def choose(self, count: int) -> list[str]:
        """Return up to `count` names: the least-sent updates first, and the oldest first among equals."""
        chosen: list[str] = []
        if not self.transmissions or count <= 0:
            return chosen
        while not self.buckets[self.lowest_bucket]:
            self.lowest_bucket += 1
        for bucket in self.buckets[self.lowest_bucket :]:
            for name in bucket:
                chosen.append(name)
                if len(chosen) == count:
                    return chosen
        return chosen

    def record_sent(self, name: str, max_transmissions: int) -> None:
        """Count a transmission of an update, and remove the update after `max_transmissions`."""
        count = self.transmissions[name] + 1
        self.remove(name)
        if count < max_transmissions:
            self.put(name, count)

    def put(self, name: str, count: int) -> None:
        """Put an update into the bucket of its transmission count."""
        while len(self.buckets) <= count:
            self.buckets.append({})
        self.transmissions[name] = count
        self.buckets[count][name] = None
        self.lowest_bucket = min(self.lowest_bucket, count)
