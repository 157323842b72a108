"""Costs of membership per node by fleet size: one SWIM group, or one group per zone with gateways.

The arguments are a mode and the numbers of nodes:

    python -m workbench.explore.zone_costs zones 100 200 400
"""

from __future__ import annotations

import sys
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from workbench.explore.regional import Traffic
from workbench.explore.zone_members import ZONE_COUNT, Fleet, Node

MEASUREMENT_S = 20.0
# Time after which all gateways know one another.
SETTLING_TIME_S = 40.0
JOIN_LIMIT_S = 120.0
PARTITION_DURATION_S = 120.0
DEATH_DETECTION_LIMIT_S = 120.0


@dataclass(frozen=True)
class Cost:
    """Mean costs per second of a node in one role.

    Attributes:
        nodes: Number of nodes in the role.
        sent: Datagrams sent.
        received: Datagrams received.
        bytes_out: Bytes sent.
        bytes_in: Bytes received.
        swim_us: Processor time of SWIM, in microseconds.
        summaries_us: Processor time of membership by zone, in microseconds.
        codec_us: Processor time of the codec, in microseconds.
    """

    nodes: int
    sent: float
    received: float
    bytes_out: float
    bytes_in: float
    swim_us: float
    summaries_us: float
    codec_us: float

    def line(self, role: str) -> str:
        """Return the costs as a line of the report."""
        return (
            f"{role} ({self.nodes}): sent {self.sent:.2f} received {self.received:.2f} datagrams/s, "
            f"out {self.bytes_out:.0f} in {self.bytes_in:.0f} bytes/s, swim {self.swim_us:.0f} "
            f"summaries {self.summaries_us:.0f} codec {self.codec_us:.0f} us/s"
        )


def measure_costs(fleet: Fleet) -> dict[str, Cost]:
    """Measure the costs by role without faults."""
    gateways = [
        candidate
        for candidate in fleet.participants()
        if candidate.zone_membership is not None and candidate.zone_membership.is_gateway
    ]
    members = [candidate for candidate in fleet.nodes.values() if candidate not in gateways]
    for node in fleet.nodes.values():
        node.endpoint.traffic = Traffic()
        node.endpoint.cpu_ns = node.cpu_ns = node.swim_cpu_ns = 0
    fleet.network.run(MEASUREMENT_S)
    roles = {"member": members, "gateway": gateways}
    return {role: mean_cost(nodes) for role, nodes in roles.items() if nodes}


def mean_cost(nodes: Sequence[Node]) -> Cost:
    """Return the mean costs of nodes since their counters were reset."""

    def mean(figure: Callable[[Node], float]) -> float:
        return sum(map(figure, nodes)) / len(nodes) / MEASUREMENT_S

    return Cost(
        len(nodes),
        mean(lambda node: node.endpoint.traffic.sent),
        mean(lambda node: node.endpoint.traffic.received),
        mean(lambda node: node.endpoint.traffic.bytes_out),
        mean(lambda node: node.endpoint.traffic.bytes_in),
        mean(lambda node: node.swim_cpu_ns / 1000),
        mean(lambda node: node.cpu_ns / 1000),
        mean(lambda node: node.endpoint.cpu_ns / 1000),
    )


def summaries_alone(size: int) -> list[str]:
    """Measure the costs of summaries without SWIM."""
    fleet = Fleet(ZONE_COUNT, size // ZONE_COUNT, shared=True)
    fleet.network.run(SETTLING_TIME_S)
    return [cost.line(role) for role, cost in measure_costs(fleet).items()]


def groups_and_summaries(size: int, flat: bool) -> list[str]:
    """Measure a start, costs and a death, with one SWIM group per zone or a single one if `flat`."""
    fleet = Fleet(ZONE_COUNT, size // ZONE_COUNT, flat=flat)
    total = len(fleet.nodes)
    joined = fleet.network.run_until(lambda: is_complete(fleet), JOIN_LIMIT_S, 0.5)
    costs = measure_costs(fleet)
    fleet.kill(fleet.nodes_in_zone(0)[-1])
    known = fleet.network.run_until(lambda: is_complete(fleet), DEATH_DETECTION_LIMIT_S, 0.5)
    first = f"{total} nodes: all know all after {joined:.1f} s, a death after {known:.1f} s"
    return [first, *(cost.line(role) for role, cost in costs.items())]


def is_complete(fleet: Fleet) -> bool:
    """Return whether every node knows all others, or without `flat` its zone and the size of each zone."""
    if fleet.flat:
        return all(len(n.group.alive()) + 1 == len(fleet.nodes) for n in fleet.nodes.values())
    return fleet.groups_are_complete() and fleet.all_summaries_fresh() and fleet.sizes_are_correct()


def partition(size: int, flat: bool) -> list[str]:
    """Partition a region from all others for a while, and measure the recovery."""
    fleet = Fleet(ZONE_COUNT, size // ZONE_COUNT, flat=flat)
    fleet.network.run_until(lambda: is_complete(fleet), JOIN_LIMIT_S, 0.5)
    fleet.network.isolate({fleet.regions - 1})
    max_datagrams_isolated, _ = max_sent_per_second(fleet, int(PARTITION_DURATION_S))
    group_size = len(fleet.nodes) if flat else size // ZONE_COUNT
    missing_pairs = sum(group_size - 1 - len(n.group.alive()) for n in fleet.nodes.values())
    fleet.network.heal()
    max_datagrams = seconds = max_bytes = 0
    while not is_complete(fleet) and seconds < JOIN_LIMIT_S:
        datagrams, octets = max_sent_per_second(fleet, 1)
        seconds += 1
        max_datagrams, max_bytes = max(max_datagrams, datagrams), max(max_bytes, octets)
    return [
        f"{len(fleet.nodes)} nodes: after {PARTITION_DURATION_S:.0f} s"
        f" {missing_pairs} pairs do not consider a live member alive",
        f"isolated: at most {max_datagrams_isolated} datagrams sent by a node in a second",
        f"healed: all know all after {seconds} s,"
        f" at most {max_datagrams} datagrams and {max_bytes} bytes per second",
    ]


def max_sent_per_second(fleet: Fleet, seconds: int) -> tuple[int, int]:
    """Run some seconds; return the most datagrams and the most bytes that one node sent in a second."""
    datagrams = octets = 0
    for _ in range(seconds):
        before = {
            sender: (sender.endpoint.traffic.sent, sender.endpoint.traffic.bytes_out)
            for sender in fleet.nodes.values()
        }
        fleet.network.run(1)
        for node, (sent, size) in before.items():
            datagrams = max(datagrams, node.endpoint.traffic.sent - sent)
            octets = max(octets, node.endpoint.traffic.bytes_out - size)
    return datagrams, octets


def memory(size: int) -> list[str]:
    """Measure the memory of summaries per node, as the traced memory of a fleet divided by its nodes."""
    fleet = Fleet(ZONE_COUNT, size // ZONE_COUNT, shared=True)
    fleet.network.run(SETTLING_TIME_S)
    for node in fleet.nodes.values():
        assert node.zone_membership is not None
        node.zone_membership.records.zones.clear()
        node.zone_membership.selection.rendezvous.scores.clear()
    tracemalloc.start()
    fleet.network.run(SETTLING_TIME_S)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [f"{held_bytes / len(fleet.nodes):.0f} bytes per node, including datagrams in flight"]


MODES: dict[str, Callable[[int], list[str]]] = {
    "flat": lambda size: groups_and_summaries(size, flat=True),
    "zones": lambda size: groups_and_summaries(size, flat=False),
    "partition-flat": lambda size: partition(size, flat=True),
    "partition-zones": lambda size: partition(size, flat=False),
    "summaries": summaries_alone,
    # Alias of "summaries" that the commands of stored figures use.
    "federation": summaries_alone,
    "memory": memory,
}


def main() -> None:
    """Measure each fleet size that is named on the command line, and print the figures."""
    mode = sys.argv[1]
    for size in map(int, sys.argv[2:]):
        print(f"{mode} {size}:", *MODES[mode](size), sep="\n  ", flush=True)


if __name__ == "__main__":
    main()
