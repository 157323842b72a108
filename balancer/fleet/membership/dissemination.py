"""Updates that ride on other messages, least-sent first."""

from __future__ import annotations


class Dissemination:
    """Names of the members whose updates are still to be passed on, in buckets by the number of times sent.

    Choosing those for a datagram costs what the datagram carries, not what waits.
    """

    def __init__(self) -> None:
        self.times: dict[str, int] = {}
        self.buckets: list[dict[str, None]] = []
        self.lowest = 0  # no bucket below this one holds a name

    def add(self, name: str) -> None:
        """A new update about a member: it has not been sent yet."""
        self.remove(name)
        self.put(name, 0)

    def remove(self, name: str) -> None:
        """Nothing about this member need be passed on any more."""
        times = self.times.pop(name, None)
        if times is not None:
            del self.buckets[times][name]

    def choose(self, count: int) -> list[str]:
        """Up to `count` names, the least-sent first; of those the longest waiting."""
        chosen: list[str] = []
        if not self.times or count <= 0:
            return chosen
        while not self.buckets[self.lowest]:
            self.lowest += 1
        for bucket in self.buckets[self.lowest :]:
            for name in bucket:
                chosen.append(name)
                if len(chosen) == count:
                    return chosen
        return chosen

    def sent(self, name: str, maximum: int) -> None:
        """An update has been sent once more; after `maximum` times it is dropped."""
        times = self.times[name] + 1
        self.remove(name)
        if times < maximum:
            self.put(name, times)

    def put(self, name: str, times: int) -> None:
        while len(self.buckets) <= times:
            self.buckets.append({})
        self.times[name] = times
        self.buckets[times][name] = None
        self.lowest = min(self.lowest, times)
