"""The plain layer in front: deals requests out over the nodes of the clients' zone that it takes for
alive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from workbench.model.call import Port
from workbench.model.clock import Clock
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

if TYPE_CHECKING:
    from workbench.model.streams import Streams


class Front:
    """Which nodes are dealt to. It hears at once that a node is ready, late that one has died."""

    def __init__(self, day: Scenario, clock: Clock, streams: Streams, zones: int) -> None:
        self.clock = clock
        self.rng = streams.random("front")
        self.detection_delay = fixed_float(day.front.notice_s) * 1e6
        self.lag = fixed_float(day.front.lag_ms) * 1000
        self.zones: list[list[Port]] = [[] for _ in range(zones)]
        self.all: list[Port] = []

    def pick(self, zone: int, draw: int) -> Port | None:
        """A node for a request, by its 32-bit draw; of another zone where its own has none."""
        nodes = self.zones[zone] or self.all
        return nodes[draw * len(nodes) >> 32] if nodes else None

    def node_ready(self, node: Port) -> None:
        """The node answers its readiness check."""
        if node.up and node not in self.all:
            self.all.append(node)
            self.zones[node.zone].append(node)

    def node_stopped(self, node: Port) -> None:
        """Seen some time later."""
        self.clock.call_at(
            self.clock.now + int(self.detection_delay * (0.5 + self.rng.random())), self.remove_if_down, node
        )

    def node_draining(self, node: Port) -> None:
        """The node was told to end: new requests go on for a little while."""
        self.clock.call_at(self.clock.now + int(self.lag), self.remove, node)

    def remove_if_down(self, node: Port) -> None:
        """A death is seen, unless the node is back by then."""
        if not node.up:
            self.remove(node)

    def remove(self, node: Port) -> None:
        if node in self.all:
            self.all.remove(node)
            self.zones[node.zone].remove(node)
