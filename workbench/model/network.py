"""The network: one-way delays between zones, partitions and lost messages."""

from __future__ import annotations

from workbench.model.streams import Streams, keyed_draw
from workbench.scenario.model import Scenario

# Number of delays that are drawn in advance for each pair of zones; a power of two.
DELAY_TABLE_SIZE = 4096


class Network:
    """Message delays between zones, in microseconds.

    A message's key selects its delay from a table, so no decision of a policy changes the delay of another
    message.

    Args:
        scenario: The scenario.
        streams: The random streams.
    """

    def __init__(self, scenario: Scenario, streams: Streams) -> None:
        settings = scenario.network
        jitter, loss = fixed_float(settings.jitter), fixed_float(settings.loss)
        rng = streams.numpy("network")
        factors = 1 + jitter * rng.exponential(1.0, DELAY_TABLE_SIZE)
        losses = rng.random(DELAY_TABLE_SIZE) < loss
        resend_delay = fixed_float(settings.resend_ms) * 1000

        def delay_table(delay: int) -> list[int]:
            return [
                int(delay * factor + resend_delay * is_lost)
                for factor, is_lost in zip(factors, losses, strict=True)
            ]

        zones = fixed_int(scenario.zones.count)
        delays = {one_way_delay(scenario, a, b) for a in range(zones) for b in range(zones)}
        tables = {delay: delay_table(delay) for delay in sorted(delays)}
        self.delay_tables = [
            [tables[one_way_delay(scenario, a, b)] for b in range(zones)] for a in range(zones)
        ]
        self.client_delays = [int(fixed_float(settings.client_ms) * 1000 * factor) for factor in factors]
        self.connect_timeout = int(fixed_float(settings.connect_timeout_ms) * 1000)
        self.idle_timeout = int(fixed_float(settings.idle_s) * 1e6)
        # Zones that exchange no messages with any other zone.
        self.partitioned_zones: set[int] = set()

    def can_reach(self, a: int, b: int) -> bool:
        """Return whether messages pass between two zones."""
        return (
            a == b
            or not self.partitioned_zones
            or (a not in self.partitioned_zones and b not in self.partitioned_zones)
        )

    def zone_delay(self, a: int, b: int, draw: int) -> int:
        """Return the delay of a message from zone `a` to zone `b` that `draw` selects."""
        return self.delay_tables[a][b][draw & (DELAY_TABLE_SIZE - 1)]

    def client_delay(self, key: int, number: int) -> int:
        """Return the delay of a message between a client and a node, selected by its key and number."""
        return self.client_delays[keyed_draw(key, number) & (DELAY_TABLE_SIZE - 1)]


def one_way_delay(scenario: Scenario, a: int, b: int) -> int:
    """Return the one-way delay between two zones without jitter, in microseconds."""
    settings, regions = scenario.network, fixed_int(scenario.zones.regions)
    region_ms = fixed_float(settings.region_ms) if a % regions != b % regions else 0.0
    return int(
        (fixed_float(settings.same_ms) if a == b else region_ms or fixed_float(settings.cross_ms)) * 1000
    )


def fixed_float(value: float | tuple[float, float]) -> float:
    """Return a number from a scenario in which each range has been replaced by a drawn value."""
    assert not isinstance(value, tuple), "a range has not been drawn"
    return value


def fixed_int(value: int | tuple[int, int]) -> int:
    """Return an integer from a scenario in which each range has been replaced by a drawn value."""
    assert not isinstance(value, tuple), "a range has not been drawn"
    return value
