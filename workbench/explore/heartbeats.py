"""Costs of membership by heartbeats to six control servers, an alternative to the gossip protocol.

Each second a node sends a heartbeat to one control server: the first in its order of preference that
answers. The answer carries the changes that the node has not acknowledged. A control server sends the others
the changes of the nodes whose heartbeats it receives; a node that misses three heartbeats is dead. Claims
about a node are ordered by its incarnation, then by its number of heartbeats, so the control server that
receives its heartbeats overrides one that no longer does. A node that has just started or has changed control
servers receives all nodes. The alternative is rejected for its measured costs.

    python -m workbench.explore.heartbeats 100 200 400
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from workbench.explore.heartbeat_fleet import CONTROL_SERVER_COUNT, REGION_COUNT, HeartbeatFleet
from workbench.explore.regional import Traffic

WARM_UP_S = 5
MEASUREMENT_S = 10
DEATH_DETECTION_LIMIT_S = 60
PARTITION_DURATION_S = 60.0
RECOVERY_LIMIT_S = 120
RESTART_DELAY_S = 10
MAX_RESTARTS = 250


@dataclass(frozen=True)
class Recovery:
    """Duration and peak load of a recovery.

    Attributes:
        seconds: Seconds until no node considered a live node dead.
        datagrams: Most datagrams that a control server sent and received within a second.
        bytes: Most bytes that a control server sent and received within a second.
    """

    seconds: int
    datagrams: int
    bytes: int

    def text(self) -> str:
        """Return the figures as part of a line of the report."""
        return f"{self.seconds} s, at most {self.datagrams} datagrams/s {self.bytes} bytes/s"


@dataclass(frozen=True)
class SteadyStateRates:
    """Rates per second without faults, sent and received together.

    Attributes:
        datagrams: Datagrams of a control server.
        bytes: Bytes of a control server.
        codec_us: Processor time of a control server's codec, in microseconds.
        node_bytes: Bytes of a node.
    """

    datagrams: float
    bytes: float
    codec_us: float
    node_bytes: float


@dataclass(frozen=True)
class PartitionFigures:
    """State of a region that reaches no other region, and the recovery after the partition.

    Attributes:
        false_deaths: Ordered pairs of live nodes of which the first considers the second dead.
        control_servers: Number of control servers that the region's nodes reach.
        recovery: The recovery after the partition.
    """

    false_deaths: int
    control_servers: int
    recovery: Recovery


@dataclass(frozen=True)
class HeartbeatFigures:
    """Figures of a fleet of one size."""

    size: int
    steady_state: SteadyStateRates
    death_s: float
    partition: PartitionFigures
    restarts: Recovery

    def line(self) -> str:
        """Return the figures as a line of the report."""
        rates, partition = self.steady_state, self.partition
        return (
            f"{self.size} nodes: machine {rates.datagrams:.0f} datagrams/s {rates.bytes:.0f} bytes/s"
            f" {rates.codec_us:.0f} us/s of codec; node {rates.node_bytes:.0f} bytes/s;"
            f" death {self.death_s} s;"
            f" region alone: {partition.false_deaths} wrong pairs,"
            f" {partition.control_servers} machines reached;"
            f" healed {partition.recovery.text()}; storm {self.restarts.text()}"
        )


def measure(size: int, seed: int = 1) -> HeartbeatFigures:
    """Measure rates without faults, a death, a partitioned region, and many simultaneous restarts."""
    fleet = HeartbeatFleet(size, seed)
    fleet.network.run(WARM_UP_S)
    steady_state = measure_steady_state(fleet)
    fleet.kill(size - 1)
    death_s = fleet.network.run_until(
        lambda: fleet.all_consider(size - 1, alive=False), DEATH_DETECTION_LIMIT_S
    )
    partition = partition_region(fleet)
    restarts = restart_many(fleet)
    return HeartbeatFigures(size, steady_state, death_s, partition, restarts)


def measure_steady_state(fleet: HeartbeatFleet) -> SteadyStateRates:
    """Measure rates without faults."""
    endpoints = [server.endpoint for server in fleet.control_servers]
    node_endpoints = [node.endpoint for node in fleet.nodes.values()]

    def totals() -> tuple[int, int, int, int]:
        return (
            sum(datagrams_of(endpoint.traffic) for endpoint in endpoints),
            sum(bytes_of(endpoint.traffic) for endpoint in endpoints),
            sum(endpoint.cpu_ns for endpoint in endpoints),
            sum(bytes_of(endpoint.traffic) for endpoint in node_endpoints),
        )

    before = totals()
    fleet.network.run(MEASUREMENT_S)
    datagrams, octets, cpu_ns, node_octets = (now - then for now, then in zip(totals(), before, strict=True))
    server_seconds = MEASUREMENT_S * CONTROL_SERVER_COUNT
    return SteadyStateRates(
        datagrams / server_seconds,
        octets / server_seconds,
        cpu_ns / 1000 / server_seconds,
        node_octets / MEASUREMENT_S / fleet.size,
    )


def partition_region(fleet: HeartbeatFleet) -> PartitionFigures:
    """Separate a region from all others for a while, heal the partition, and measure the recovery."""
    region = REGION_COUNT - 1
    fleet.network.isolate({region})
    fleet.network.run(PARTITION_DURATION_S)
    false_deaths = fleet.false_deaths()
    nodes = [node for node in fleet.nodes.values() if node.endpoint.region == region]
    control_servers = {node.control_server().name for node in nodes if node.unanswered <= 1}
    fleet.network.heal()
    return PartitionFigures(false_deaths, len(control_servers), recover(fleet))


def restart_many(fleet: HeartbeatFleet) -> Recovery:
    """Kill many nodes, restart them simultaneously without their state, and measure the recovery."""
    restarted = list(fleet.nodes)[: min(MAX_RESTARTS, fleet.size // 2)]
    for number in restarted:
        fleet.kill(number)
    fleet.network.run(RESTART_DELAY_S)
    for number in restarted:
        fleet.restart(number)
    return recover(fleet)


def recover(fleet: HeartbeatFleet) -> Recovery:
    """Run until no node considers a live node dead, or up to a limit."""
    traffic = [server.endpoint.traffic for server in fleet.control_servers]
    seconds = max_datagrams = max_bytes = 0
    while fleet.false_deaths() and seconds < RECOVERY_LIMIT_S:
        before = [(datagrams_of(t), bytes_of(t)) for t in traffic]
        fleet.network.run(1)
        seconds += 1
        for t, (datagrams, octets) in zip(traffic, before, strict=True):
            max_datagrams = max(max_datagrams, datagrams_of(t) - datagrams)
            max_bytes = max(max_bytes, bytes_of(t) - octets)
    return Recovery(seconds, max_datagrams, max_bytes)


def datagrams_of(traffic: Traffic) -> int:
    """Return the number of datagrams that an endpoint sent and received."""
    return traffic.sent + traffic.received


def bytes_of(traffic: Traffic) -> int:
    """Return the number of bytes that an endpoint sent and received."""
    return traffic.bytes_out + traffic.bytes_in


def main() -> None:
    """Print a line of figures for each fleet size on the command line."""
    for size in map(int, sys.argv[1:] or ["100", "200"]):
        print(measure(size).line(), flush=True)


if __name__ == "__main__":
    main()
