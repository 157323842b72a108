"""The front: a simple layer that distributes requests over the nodes of the client's zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from workbench.model.call import Port
from workbench.model.clock import Clock
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

if TYPE_CHECKING:
    from workbench.model.streams import Streams


class Front:
    """The nodes that receive requests. A ready node is added at once, a stopped one is removed after a delay.

    Args:
        scenario: The scenario.
        clock: The model's clock.
        streams: The random streams.
        zone_count: The number of zones.
    """

    def __init__(self, scenario: Scenario, clock: Clock, streams: Streams, zone_count: int) -> None:
        self.clock = clock
        self.rng = streams.random("front")
        self.detection_delay = fixed_float(scenario.front.notice_s) * 1e6
        self.drain_lag = fixed_float(scenario.front.lag_ms) * 1000
        self.nodes_by_zone: list[list[Port]] = [[] for _ in range(zone_count)]
        self.nodes: list[Port] = []

    def select_node(self, zone: int, draw: int) -> Port | None:
        """Return the node that a 32-bit draw selects in a zone, or in any zone if that zone has none."""
        candidates = self.nodes_by_zone[zone] or self.nodes
        return candidates[draw * len(candidates) >> 32] if candidates else None

    def node_ready(self, node: Port) -> None:
        """Add a running node whose readiness check has succeeded."""
        if node.up and node not in self.nodes:
            self.nodes.append(node)
            self.nodes_by_zone[node.zone].append(node)

    def node_stopped(self, node: Port) -> None:
        """Schedule the removal of a node whose process has ended, after a random detection delay."""
        self.clock.call_at(
            self.clock.now + int(self.detection_delay * (0.5 + self.rng.random())), self.remove_if_down, node
        )

    def node_draining(self, node: Port) -> None:
        """Schedule the removal of a draining node, which receives new requests until then."""
        self.clock.call_at(self.clock.now + int(self.drain_lag), self.remove, node)

    def remove_if_down(self, node: Port) -> None:
        """Remove a node unless it runs again."""
        if not node.up:
            self.remove(node)

    def remove(self, node: Port) -> None:
        """Remove a node if it is listed."""
        if node in self.nodes:
            self.nodes.remove(node)
            self.nodes_by_zone[node.zone].remove(node)
