"""The network: one-way delays between zones, partitions, lost messages."""

from __future__ import annotations

from workbench.model.streams import Streams, scramble
from workbench.scenario.model import Scenario

TABLE_SIZE = 4096  # draws made in advance; each message uses the one of its call


class Network:
    """Delays in microseconds. A message's draw belongs to its key, so no choice of a policy shifts another's.

    Args:
        day: The scenario.
        streams: The random streams.
    """

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
        self.partitioned_zones: set[int] = set()  # zones partitioned from the others

    def reaches(self, a: int, b: int) -> bool:
        """Returns whether messages pass between two zones."""
        return (
            a == b
            or not self.partitioned_zones
            or (a not in self.partitioned_zones and b not in self.partitioned_zones)
        )

    def between(self, a: int, b: int, draw: int) -> int:
        """Returns the delay of a message between zones, by the draw of its call and attempt."""
        return self.ways[a][b][draw & (TABLE_SIZE - 1)]

    def outside(self, key: int, number: int) -> int:
        """Returns the delay between a client and a node."""
        return self.client[scramble(key, number) & (TABLE_SIZE - 1)]


def one_way(day: Scenario, a: int, b: int) -> int:
    """Returns the one-way delay between two zones without jitter, in microseconds."""
    net, regions = day.network, fixed_int(day.zones.regions)
    far = fixed_float(net.region_ms) if a % regions != b % regions else 0.0
    return int((fixed_float(net.same_ms) if a == b else far or fixed_float(net.cross_ms)) * 1000)


def fixed_float(value: float | tuple[float, float]) -> float:
    """Returns a number of a scenario whose ranges have been drawn."""
    assert not isinstance(value, tuple), "a day has no ranges"
    return value


def fixed_int(value: int | tuple[int, int]) -> int:
    """Returns an integer of a scenario whose ranges have been drawn."""
    assert not isinstance(value, tuple), "a day has no ranges"
    return value
