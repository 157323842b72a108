"""The plain layer in front: deals requests out over the nodes of the clients' zone that it takes for
alive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from workbench.model.call import Port
from workbench.model.clock import Clock
from workbench.model.network import num
from workbench.scenario.model import Scenario

if TYPE_CHECKING:
    from workbench.model.streams import Streams


class Front:
    """Which nodes are dealt to. It hears at once that a node is ready, late that one has died."""

    def __init__(self, day: Scenario, clock: Clock, streams: Streams, zones: int) -> None:
        self.clock = clock
        self.rng = streams.random("front")
        self.notice = num(day.front.notice_s) * 1e6
        self.lag = num(day.front.lag_ms) * 1000
        self.zones: list[list[Port]] = [[] for _ in range(zones)]
        self.all: list[Port] = []

    def pick(self, zone: int, draw: int) -> Port | None:
        """A node for a request, by its 32-bit draw; of another zone where its own has none."""
        nodes = self.zones[zone] or self.all
        return nodes[draw * len(nodes) >> 32] if nodes else None

    def ready(self, node: Port) -> None:
        """The node answers its readiness check."""
        if node.up and node not in self.all:
            self.all.append(node)
            self.zones[node.zone].append(node)

    def died(self, node: Port) -> None:
        """Seen some time later."""
        self.clock.call_at(self.clock.now + int(self.notice * (0.5 + self.rng.random())), self.forget, node)

    def leaving(self, node: Port) -> None:
        """The node was told to end: new requests go on for a little while."""
        self.clock.call_at(self.clock.now + int(self.lag), self.leave, node)

    def forget(self, node: Port) -> None:
        """A death is seen, unless the node is back by then."""
        if not node.up:
            self.leave(node)

    def leave(self, node: Port) -> None:
        if node in self.all:
            self.all.remove(node)
            self.zones[node.zone].remove(node)
