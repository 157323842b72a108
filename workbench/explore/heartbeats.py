"""Costs of a membership by heartbeats to six control servers, an alternative that was measured and rejected.

A node sends a heartbeat a second to one control server, the first of its own order that answers. The answer
has the changes that the node has not acknowledged. A control server sends the others the changes among the
nodes whose heartbeats it receives; a node that misses three heartbeats is dead. Claims about a node are
ordered by its incarnation, then by its number of heartbeats, so a control server that receives its heartbeats
overrides one that does not any more. A node that has changed control servers or has just started gets all
nodes.

    python -m workbench.explore.heartbeats 100 200 400
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from workbench.explore.heartbeat_fleet import CONTROL_SERVERS, REGIONS, HeartbeatFleet
from workbench.explore.regional import Traffic

WARM_UP_S = 5
CALM_S = 10  # window in which rates are measured
DEATH_LIMIT_S = 60
PARTITION_S = 60.0
RECOVERY_LIMIT_S = 120
DOWN_S = 10  # before nodes start again
MAX_RESTARTS = 250


@dataclass(frozen=True)
class Recovery:
    """How long a recovery took, and the busiest second of a control server, both ways."""

    seconds: int
    datagrams: int
    bytes: int

    def text(self) -> str:
        """Returns the figures as part of a line."""
        return f"{self.seconds} s, at most {self.datagrams} datagrams/s {self.bytes} bytes/s"


@dataclass(frozen=True)
class CalmRates:
    """Rates a second without faults; of a control server unless named otherwise, both ways."""

    datagrams: float
    bytes: float
    codec_us: float
    node_bytes: float


@dataclass(frozen=True)
class PartitionFigures:
    """What a region that reaches no other region looks like, and the recovery after it.

    Attributes:
        false_deaths: Pairs of live nodes of which one takes the other for dead.
        control_servers: How many control servers the region's nodes reach.
        recovery: The recovery.
    """

    false_deaths: int
    control_servers: int
    recovery: Recovery


@dataclass(frozen=True)
class HeartbeatFigures:
    """The figures of a fleet of one size."""

    size: int
    calm: CalmRates
    death_s: float
    partition: PartitionFigures
    restarts: Recovery

    def line(self) -> str:
        """Returns the figures as a line."""
        calm, partition = self.calm, self.partition
        return (
            f"{self.size} nodes: machine {calm.datagrams:.0f} datagrams/s {calm.bytes:.0f} bytes/s"
            f" {calm.codec_us:.0f} us/s of codec; node {calm.node_bytes:.0f} bytes/s;"
            f" death {self.death_s} s;"
            f" region alone: {partition.false_deaths} wrong pairs,"
            f" {partition.control_servers} machines reached;"
            f" healed {partition.recovery.text()}; storm {self.restarts.text()}"
        )


def measure(size: int, seed: int = 1) -> HeartbeatFigures:
    """Measures calm, a death, a partitioned region, and many nodes that start at once without knowledge."""
    fleet = HeartbeatFleet(size, seed)
    fleet.network.run(WARM_UP_S)
    calm = calm_rates(fleet)
    fleet.kill(size - 1)
    death_s = fleet.network.until(lambda: fleet.all_know(size - 1, alive=False), DEATH_LIMIT_S)
    partition = partition_region(fleet)
    restarts = restart_many(fleet)
    return HeartbeatFigures(size, calm, death_s, partition, restarts)


def calm_rates(fleet: HeartbeatFleet) -> CalmRates:
    """Measures rates without faults."""
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
    fleet.network.run(CALM_S)
    datagrams, octets, cpu_ns, node_octets = (now - then for now, then in zip(totals(), before, strict=True))
    server_seconds = CALM_S * CONTROL_SERVERS
    return CalmRates(
        datagrams / server_seconds,
        octets / server_seconds,
        cpu_ns / 1000 / server_seconds,
        node_octets / CALM_S / fleet.size,
    )


def partition_region(fleet: HeartbeatFleet) -> PartitionFigures:
    """Cuts a region off from all others for a while, then heals the partition."""
    region = REGIONS - 1
    fleet.network.isolate({region})
    fleet.network.run(PARTITION_S)
    false_deaths = fleet.false_deaths()
    nodes = [node for node in fleet.nodes.values() if node.endpoint.region == region]
    control_servers = {node.control_server().name for node in nodes if node.unanswered <= 1}
    fleet.network.heal()
    return PartitionFigures(false_deaths, len(control_servers), recover(fleet))


def restart_many(fleet: HeartbeatFleet) -> Recovery:
    """Kills many nodes, and starts them again at one instant without knowledge of other nodes."""
    restarted = list(fleet.nodes)[: min(MAX_RESTARTS, fleet.size // 2)]
    for number in restarted:
        fleet.kill(number)
    fleet.network.run(DOWN_S)
    for number in restarted:
        fleet.restart(number)
    return recover(fleet)


def recover(fleet: HeartbeatFleet) -> Recovery:
    """Runs until no node takes a live node for dead, or up to a limit."""
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
    """Returns the datagrams of an endpoint, both ways."""
    return traffic.sent + traffic.received


def bytes_of(traffic: Traffic) -> int:
    """Returns the bytes of an endpoint, both ways."""
    return traffic.bytes_out + traffic.bytes_in


def main() -> None:
    """Prints a line for each size."""
    for size in map(int, sys.argv[1:] or ["100", "200"]):
        print(measure(size).line(), flush=True)


if __name__ == "__main__":
    main()
