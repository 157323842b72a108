"""One-way delays between zones, cut zones, lost messages."""

from __future__ import annotations

from workbench.model.streams import Streams, scramble
from workbench.scenario.model import Scenario

TABLE_SIZE = 4096  # draws made ahead: a message takes the one that belongs to its call, whoever sent it


class Network:
    """Delays in microseconds. A message's draw belongs to its key, so no choice shifts another's."""

    def __init__(self, day: Scenario, streams: Streams) -> None:
        net = day.network
        jitter, loss = fixed_float(net.jitter), fixed_float(net.loss)
        rng = streams.numpy("network")
        factors = 1 + jitter * rng.exponential(1.0, TABLE_SIZE)
        lost = rng.random(TABLE_SIZE) < loss
        extra = fixed_float(net.resend_ms) * 1000

        def table(delay: int) -> list[int]:
            return [int(delay * f + extra * gone) for f, gone in zip(factors, lost, strict=True)]

        zones = fixed_int(day.zones.count)
        delays = {one_way(day, a, b) for a in range(zones) for b in range(zones)}
        tables = {delay: table(delay) for delay in sorted(delays)}
        self.ways = [[tables[one_way(day, a, b)] for b in range(zones)] for a in range(zones)]
        self.client = [int(fixed_float(net.client_ms) * 1000 * f) for f in factors]
        self.connect_timeout = int(fixed_float(net.connect_timeout_ms) * 1000)
        self.idle = int(fixed_float(net.idle_s) * 1e6)
        self.partitioned_zones: set[int] = set()  # zones cut off from the others

    def reaches(self, a: int, b: int) -> bool:
        """Whether messages pass between two zones."""
        return (
            a == b
            or not self.partitioned_zones
            or (a not in self.partitioned_zones and b not in self.partitioned_zones)
        )

    def between(self, a: int, b: int, draw: int) -> int:
        """The delay of a message between zones, by the draw that belongs to its call and attempt."""
        return self.ways[a][b][draw & (TABLE_SIZE - 1)]

    def outside(self, key: int, number: int) -> int:
        """The delay between a client and a node."""
        return self.client[scramble(key, number) & (TABLE_SIZE - 1)]


def one_way(day: Scenario, a: int, b: int) -> int:
    """The plain delay from one zone to another, microseconds."""
    net, regions = day.network, fixed_int(day.zones.regions)
    far = fixed_float(net.region_ms) if a % regions != b % regions else 0.0
    return int((fixed_float(net.same_ms) if a == b else far or fixed_float(net.cross_ms)) * 1000)


def fixed_float(value: float | tuple[float, float]) -> float:
    """A figure of a day, in which every range is fixed."""
    assert not isinstance(value, tuple), "a day has no ranges"
    return value


def fixed_int(value: int | tuple[int, int]) -> int:
    """A whole figure of a day."""
    assert not isinstance(value, tuple), "a day has no ranges"
    return value
