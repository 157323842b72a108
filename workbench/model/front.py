"""The front: a plain layer that distributes requests over the nodes of the client's zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from workbench.model.call import Port
from workbench.model.clock import Clock
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

if TYPE_CHECKING:
    from workbench.model.streams import Streams


class Front:
    """The nodes that receive requests. It sees at once that a node is ready, and late that one has stopped.

    Args:
        day: The scenario.
        clock: The model's clock.
        streams: The random streams.
        zones: The number of zones.
    """

    def __init__(self, day: Scenario, clock: Clock, streams: Streams, zones: int) -> None:
        self.clock = clock
        self.rng = streams.random("front")
        self.detection_delay = fixed_float(day.front.notice_s) * 1e6
        self.lag = fixed_float(day.front.lag_ms) * 1000
        self.zones: list[list[Port]] = [[] for _ in range(zones)]
        self.all: list[Port] = []

    def pick(self, zone: int, draw: int) -> Port | None:
        """Returns a node for a request, by its 32-bit draw; of another zone if its own has none."""
        nodes = self.zones[zone] or self.all
        return nodes[draw * len(nodes) >> 32] if nodes else None

    def node_ready(self, node: Port) -> None:
        """Adds a node whose readiness check succeeds."""
        if node.up and node not in self.all:
            self.all.append(node)
            self.zones[node.zone].append(node)

    def node_stopped(self, node: Port) -> None:
        """Schedules the removal of a node whose process has ended."""
        self.clock.call_at(
            self.clock.now + int(self.detection_delay * (0.5 + self.rng.random())), self.remove_if_down, node
        )

    def node_draining(self, node: Port) -> None:
        """Schedules the removal of a node that shuts down; until then it receives new requests."""
        self.clock.call_at(self.clock.now + int(self.lag), self.remove, node)

    def remove_if_down(self, node: Port) -> None:
        """Removes a node, unless it runs again."""
        if not node.up:
            self.remove(node)

    def remove(self, node: Port) -> None:
        """Removes a node."""
        if node in self.all:
            self.all.remove(node)
            self.zones[node.zone].remove(node)
