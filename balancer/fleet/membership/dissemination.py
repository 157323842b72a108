"""Updates to be piggybacked on other messages, least-sent first."""

from __future__ import annotations


class Dissemination:
    """Names of the members whose updates are still to be disseminated, in buckets by transmission count.

    The cost of choosing updates for a datagram depends on their number in it, not on the number pending.
    """

    def __init__(self) -> None:
        self.transmissions: dict[str, int] = {}
        self.buckets: list[dict[str, None]] = []
        self.lowest = 0  # no bucket below this one holds a name

    def add(self, name: str) -> None:
        """Adds a new update about a member, in place of an earlier one."""
        self.remove(name)
        self.put(name, 0)

    def remove(self, name: str) -> None:
        """Removes a member's update, if there is one."""
        count = self.transmissions.pop(name, None)
        if count is not None:
            del self.buckets[count][name]

    def choose(self, count: int) -> list[str]:
        """Returns up to `count` names, the least-sent first and, among those, the oldest first."""
        chosen: list[str] = []
        if not self.transmissions or count <= 0:
            return chosen
        while not self.buckets[self.lowest]:
            self.lowest += 1
        for bucket in self.buckets[self.lowest :]:
            for name in bucket:
                chosen.append(name)
                if len(chosen) == count:
                    return chosen
        return chosen

    def record_sent(self, name: str, max_transmissions: int) -> None:
        """Records a transmission of an update, which is removed after `max_transmissions`."""
        count = self.transmissions[name] + 1
        self.remove(name)
        if count < max_transmissions:
            self.put(name, count)

    def put(self, name: str, count: int) -> None:
        """Puts an update into the bucket of its transmission count."""
        while len(self.buckets) <= count:
            self.buckets.append({})
        self.transmissions[name] = count
        self.buckets[count][name] = None
        self.lowest = min(self.lowest, count)
