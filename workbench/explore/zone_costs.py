"""Costs of membership for a node by the size of the fleet: one SWIM group, or one a zone with gateways.

What is measured, and sizes:

    python -m workbench.explore.zone_costs zones 100 200 400
"""

from __future__ import annotations

import sys
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from workbench.explore.regional import Traffic
from workbench.explore.zone_members import ZONES, Fleet, Node

CALM = 20.0  # seconds over which costs are taken
SETTLED = 40.0  # seconds after which gateways know one another
JOIN_LIMIT = 120.0
ALONE = 120.0
DEATH_LIMIT = 120.0


@dataclass(frozen=True)
class Cost:
    """Mean of one role, a node and second: datagrams and bytes each way, microseconds of processor time."""

    nodes: int
    sent: float
    received: float
    bytes_out: float
    bytes_in: float
    swim_us: float
    summaries_us: float
    codec_us: float

    def line(self, role: str) -> str:
        """Returns the costs as a line."""
        return (
            f"{role} ({self.nodes}): sent {self.sent:.2f} received {self.received:.2f} datagrams/s, "
            f"out {self.bytes_out:.0f} in {self.bytes_in:.0f} bytes/s, swim {self.swim_us:.0f} "
            f"summaries {self.summaries_us:.0f} codec {self.codec_us:.0f} us/s"
        )


def calm_costs(fleet: Fleet) -> dict[str, Cost]:
    """Returns the costs by role over some seconds without faults."""
    gateways = [
        n for n in fleet.participants() if n.zone_membership is not None and n.zone_membership.is_gateway
    ]
    members = [n for n in fleet.nodes.values() if n not in gateways]
    for node in fleet.nodes.values():
        node.endpoint.traffic = Traffic()
        node.endpoint.cpu_ns = node.cpu_ns = node.swim_cpu_ns = 0
    fleet.network.run(CALM)
    roles = {"member": members, "gateway": gateways}
    return {role: mean_cost(nodes) for role, nodes in roles.items() if nodes}


def mean_cost(nodes: Sequence[Node]) -> Cost:
    """Returns the mean costs of nodes since their counters were reset."""

    def mean(figure: Callable[[Node], float]) -> float:
        return sum(map(figure, nodes)) / len(nodes) / CALM

    return Cost(
        len(nodes),
        mean(lambda n: n.endpoint.traffic.sent),
        mean(lambda n: n.endpoint.traffic.received),
        mean(lambda n: n.endpoint.traffic.bytes_out),
        mean(lambda n: n.endpoint.traffic.bytes_in),
        mean(lambda n: n.swim_cpu_ns / 1000),
        mean(lambda n: n.cpu_ns / 1000),
        mean(lambda n: n.endpoint.cpu_ns / 1000),
    )


def summaries_alone(size: int) -> list[str]:
    """Measures the costs of summaries without SWIM."""
    fleet = Fleet(ZONES, size // ZONES, shared=True)
    fleet.network.run(SETTLED)
    return [cost.line(role) for role, cost in calm_costs(fleet).items()]


def groups_and_summaries(size: int, flat: bool) -> list[str]:
    """Measures a start, costs and a death, with a SWIM group for each zone or one over all."""
    fleet = Fleet(ZONES, size // ZONES, flat=flat)
    total = len(fleet.nodes)
    joined = fleet.network.until(lambda: complete(fleet), JOIN_LIMIT, 0.5)
    costs = calm_costs(fleet)
    fleet.kill(fleet.of_zone(0)[-1])
    known = fleet.network.until(lambda: complete(fleet), DEATH_LIMIT, 0.5)
    first = f"{total} nodes: all know all after {joined:.1f} s, a death after {known:.1f} s"
    return [first, *(cost.line(role) for role, cost in costs.items())]


def complete(fleet: Fleet) -> bool:
    """Returns whether every node knows all others, or those of its zone and the size of each zone."""
    if fleet.flat:
        return all(len(n.group.alive()) + 1 == len(fleet.nodes) for n in fleet.nodes.values())
    return fleet.groups_complete() and fleet.all_know() and fleet.sizes_right()


def partition(size: int, flat: bool) -> list[str]:
    """Partitions a region from all others for a while, and measures the recovery."""
    fleet = Fleet(ZONES, size // ZONES, flat=flat)
    fleet.network.until(lambda: complete(fleet), JOIN_LIMIT, 0.5)
    fleet.network.isolate({fleet.regions - 1})
    alone, _ = busiest(fleet, int(ALONE))
    group = len(fleet.nodes) if flat else size // ZONES
    missing = sum(group - 1 - len(n.group.alive()) for n in fleet.nodes.values())
    fleet.network.heal()
    healed = seconds = size_out = 0
    while not complete(fleet) and seconds < JOIN_LIMIT:
        datagrams, octets = busiest(fleet, 1)
        seconds += 1
        healed, size_out = max(healed, datagrams), max(size_out, octets)
    return [
        f"{len(fleet.nodes)} nodes: after {ALONE:.0f} s {missing} pairs do not hold a living member alive",
        f"alone: at most {alone} datagrams sent by a node in a second",
        f"back: all know all after {seconds} s, at most {healed} datagrams and {size_out} bytes a second",
    ]


def busiest(fleet: Fleet, seconds: int) -> tuple[int, int]:
    """Returns the most datagrams and the most bytes that one node sent in a second."""
    datagrams = octets = 0
    for _ in range(seconds):
        before = {n: (n.endpoint.traffic.sent, n.endpoint.traffic.bytes_out) for n in fleet.nodes.values()}
        fleet.network.run(1)
        for node, (sent, size) in before.items():
            datagrams = max(datagrams, node.endpoint.traffic.sent - sent)
            octets = max(octets, node.endpoint.traffic.bytes_out - size)
    return datagrams, octets


def memory(size: int) -> list[str]:
    """Measures the memory of summaries a node: that of a whole fleet, by tracemalloc, over its nodes."""
    fleet = Fleet(ZONES, size // ZONES, shared=True)
    fleet.network.run(SETTLED)
    for node in fleet.nodes.values():
        assert node.zone_membership is not None
        node.zone_membership.records.zones.clear()
        node.zone_membership.selection.rendezvous.scores.clear()
    tracemalloc.start()
    fleet.network.run(SETTLED)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return [f"{held / len(fleet.nodes):.0f} bytes a node, datagrams on their way included"]


MODES: dict[str, Callable[[int], list[str]]] = {
    "flat": lambda size: groups_and_summaries(size, flat=True),
    "zones": lambda size: groups_and_summaries(size, flat=False),
    "partition-flat": lambda size: partition(size, flat=True),
    "partition-zones": lambda size: partition(size, flat=False),
    "summaries": summaries_alone,
    "federation": summaries_alone,  # the former name, in commands of stored figures
    "memory": memory,
}


def main() -> None:
    """Measures each size that is named on the command line, and prints the figures."""
    mode = sys.argv[1]
    for size in map(int, sys.argv[2:]):
        print(f"{mode} {size}:", *MODES[mode](size), sep="\n  ", flush=True)


if __name__ == "__main__":
    main()
