"""The network of a lab: a link for each direction between two endpoints, its faults, and the relay.

Whether a fault affects a link is a rule; a link that is created later, such as one to a new server, gets the
rules that are active by then.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from workbench.emulator.address_block import DATAGRAM_PORT, AddressBlock
from workbench.emulator.clock import RealTimeClock
from workbench.emulator.links import Link, LinkClock
from workbench.lab.plan import Fault, number
from workbench.model.streams import Streams

US_PER_MS = 1000
BYTES_PER_KILOBYTE = 1000


@dataclass(frozen=True)
class Endpoint:
    """One endpoint of a link.

    Attributes:
        name: The name of a node or server.
        zone: The number of its zone.
        is_node: Whether it is a node; it is a server otherwise.
    """

    name: str
    zone: int
    is_node: bool


class LinkFaultRule:
    """A fault of the network, and the links that it affects.

    Args:
        fault: The fault of the plan.
        affected_nodes: Names of the nodes that it affects.
        affected_zones: Zones whose servers are on the side of those nodes.
    """

    def __init__(self, fault: Fault, affected_nodes: list[str], affected_zones: set[int]) -> None:
        self.fault = fault
        self.affected_nodes = set(affected_nodes)
        self.affected_zones = affected_zones

    def on_affected_side(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is on the side of the affected nodes."""
        if endpoint.is_node:
            return endpoint.name in self.affected_nodes
        return endpoint.zone in self.affected_zones

    def affects(self, source: Endpoint, destination: Endpoint) -> bool:
        """Whether the fault affects the link from one endpoint to another."""
        if not (source.is_node and destination.is_node) and not self.fault.servers:
            return False
        from_inside, to_inside = self.on_affected_side(source), self.on_affected_side(destination)
        if self.fault.type == "links":
            return from_inside or to_inside or not self.affected_nodes
        return from_inside != to_inside and self.fault.way in ("both", "out" if from_inside else "in")

    def apply(self, link: Link, active: bool) -> None:
        """Applies the fault to a link, or removes it."""
        fault = self.fault
        if fault.type == "cut":
            link.set_cut(active)
            return
        sign = 1 if active else -1
        link.loss += sign * number(fault.loss)
        link.duplicate += sign * number(fault.duplicate)
        link.reorder += sign * number(fault.reorder)
        link.delay_us += sign * int(number(fault.delay_ms) * US_PER_MS)
        link.jitter_us += sign * int(number(fault.jitter_ms) * US_PER_MS)
        link.bytes_per_s = number(fault.kbytes_s) * BYTES_PER_KILOBYTE if active else 0.0


class Links:
    """All links of a lab.

    Args:
        timer: The clock of the links.
        streams: Random streams, one for each link.
        base_delay: Microseconds one way between two zones.
    """

    def __init__(self, timer: LinkClock, streams: Streams, base_delay: Callable[[int, int], int]) -> None:
        self.timer = timer
        self.streams = streams
        self.base_delay = base_delay
        self.links: dict[tuple[Endpoint, Endpoint], Link] = {}
        self.rules: list[LinkFaultRule] = []

    def between(self, source: Endpoint, destination: Endpoint) -> Link:
        """Returns the link from one endpoint to another; creates it with the faults active now."""
        link = self.links.get((source, destination))
        if link is not None:
            return link
        rng = self.streams.random(f"link/{source.name}/{destination.name}")
        link = Link(self.timer, rng, self.base_delay(source.zone, destination.zone))
        self.links[source, destination] = link
        for rule in self.rules:
            if rule.affects(source, destination):
                rule.apply(link, True)
        return link

    def begin(self, rule: LinkFaultRule) -> None:
        """Applies a fault to all links that it affects, and to those to come."""
        self.rules.append(rule)
        self._apply(rule, True)

    def end(self, rule: LinkFaultRule) -> None:
        """Removes a fault from all links that it affects."""
        self.rules.remove(rule)
        self._apply(rule, False)

    def _apply(self, rule: LinkFaultRule, active: bool) -> None:
        for (source, destination), link in list(self.links.items()):
            if rule.affects(source, destination):
                rule.apply(link, active)


@dataclass(frozen=True)
class RelayedDatagram:
    """A datagram on its way: indices of the two nodes, and its bytes."""

    source: int
    destination: int
    data: bytes


class Relay:
    """Forwards datagrams between nodes: each node is reached at an address of the relay's.

    It knows the sender by the source address of a datagram, and forwards from the address at which that
    sender is reached, so a node sees what it would see with nothing in between.

    Args:
        loop: The event loop.
        clock: The clock that datagrams arrive by.
        addresses: The loopback addresses of the lab.
        links: The links between the nodes.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: RealTimeClock, addresses: AddressBlock, links: Links
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.addresses = addresses
        self.links = links
        self.endpoints: list[Endpoint] = []
        self.node_by_host: dict[str, int] = {}
        self.ports: list[asyncio.DatagramTransport] = []
        self.counts: Counter[str] = Counter()

    async def open(self, endpoints: list[Endpoint]) -> None:
        """Binds an address for each node."""
        self.endpoints = endpoints
        for index in range(len(endpoints)):
            self.node_by_host[self.addresses.node_host(index)] = index
            transport, _ = await self.loop.create_datagram_endpoint(
                partial(RelayPort, self, index), local_addr=(self.addresses.relay_host(index), DATAGRAM_PORT)
            )
            self.ports.append(transport)

    def on_datagram(self, destination: int, data: bytes, host: str) -> None:
        """Schedules the arrivals of a datagram that came from a host for a node."""
        self.clock.catch_up()
        source = self.node_by_host.get(host)
        if source is None:
            self.counts["stray"] += 1
            return
        self.counts["taken"] += 1
        link = self.links.between(self.endpoints[source], self.endpoints[destination])
        arrivals = link.datagram_arrivals(len(data))
        self.counts["lost"] += not arrivals
        for at in arrivals:
            self.clock.call_at(at, self.forward, RelayedDatagram(source, destination, data))

    def forward(self, datagram: RelayedDatagram) -> None:
        """Forwards a datagram to its destination."""
        port = self.ports[datagram.source]
        if not port.is_closing():
            host = self.addresses.node_host(datagram.destination)
            port.sendto(datagram.data, (host, DATAGRAM_PORT))

    def close(self) -> None:
        """Closes the addresses of all nodes."""
        for port in self.ports:
            port.abort()


class RelayPort(asyncio.DatagramProtocol):
    """The address of the relay's at which one node is reached."""

    def __init__(self, relay: Relay, index: int) -> None:
        self.relay = relay
        self.index = index

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Hands a datagram for the node to the relay."""
        self.relay.on_datagram(self.index, data, str(addr[0]))
