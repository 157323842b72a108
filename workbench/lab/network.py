"""The emulated network of a lab: one-way links between endpoints, their faults, and the datagram relay.

A rule decides which links a fault affects. A link that is created later, for example to a new server, gets
the faults that are active at that time.
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
from workbench.lab.plan import Fault, drawn_value
from workbench.model.streams import Streams

US_PER_MS = 1000
BYTES_PER_KILOBYTE = 1000


@dataclass(frozen=True)
class Endpoint:
    """One end of a link.

    Attributes:
        name: The name of a node or server.
        zone: The number of its zone.
        is_node: Whether it is a node rather than a server.
    """

    name: str
    zone: int
    is_node: bool


class LinkFaultRule:
    """A network fault and the rule that decides which links it affects.

    Args:
        fault: The fault of the plan.
        affected_nodes: Names of the nodes that the fault affects.
        affected_zones: Zones whose servers are on the affected nodes' side.
    """

    def __init__(self, fault: Fault, affected_nodes: list[str], affected_zones: set[int]) -> None:
        self.fault = fault
        self.affected_nodes = set(affected_nodes)
        self.affected_zones = affected_zones

    def is_on_affected_side(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is on the affected nodes' side."""
        if endpoint.is_node:
            return endpoint.name in self.affected_nodes
        return endpoint.zone in self.affected_zones

    def affects(self, source: Endpoint, destination: Endpoint) -> bool:
        """Return whether the fault affects the link from one endpoint to another."""
        if not (source.is_node and destination.is_node) and not self.fault.servers:
            return False
        from_inside, to_inside = self.is_on_affected_side(source), self.is_on_affected_side(destination)
        if self.fault.type == "links":
            return from_inside or to_inside or not self.affected_nodes
        return from_inside != to_inside and self.fault.way in ("both", "out" if from_inside else "in")

    def apply(self, link: Link, active: bool) -> None:
        """Apply the fault to a link if `active`; remove it from the link otherwise."""
        fault = self.fault
        if fault.type == "cut":
            link.set_cut(active)
            return
        sign = 1 if active else -1
        link.loss += sign * drawn_value(fault.loss)
        link.duplicate += sign * drawn_value(fault.duplicate)
        link.reorder += sign * drawn_value(fault.reorder)
        link.delay_us += sign * int(drawn_value(fault.delay_ms) * US_PER_MS)
        link.jitter_us += sign * int(drawn_value(fault.jitter_ms) * US_PER_MS)
        link.bytes_per_s = drawn_value(fault.kbytes_s) * BYTES_PER_KILOBYTE if active else 0.0


class Links:
    """All links of a lab, created on first use.

    Args:
        timer: The clock of the links.
        streams: Random streams; each link draws from its own.
        base_delay: Returns the one-way delay between two zones in microseconds.
    """

    def __init__(self, timer: LinkClock, streams: Streams, base_delay: Callable[[int, int], int]) -> None:
        self.timer = timer
        self.streams = streams
        self.base_delay = base_delay
        self.links: dict[tuple[Endpoint, Endpoint], Link] = {}
        self.rules: list[LinkFaultRule] = []

    def between(self, source: Endpoint, destination: Endpoint) -> Link:
        """Return the link from one endpoint to another; a new one gets the faults that are active."""
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
        """Apply a fault to all links that it affects, including those created before it ends."""
        self.rules.append(rule)
        self._apply(rule, True)

    def end(self, rule: LinkFaultRule) -> None:
        """Remove a fault from all links that it affects."""
        self.rules.remove(rule)
        self._apply(rule, False)

    def _apply(self, rule: LinkFaultRule, active: bool) -> None:
        for (source, destination), link in list(self.links.items()):
            if rule.affects(source, destination):
                rule.apply(link, active)


@dataclass(frozen=True)
class RelayedDatagram:
    """A datagram in flight.

    Attributes:
        source: The index of the sending node.
        destination: The index of the receiving node.
        data: The payload.
    """

    source: int
    destination: int
    data: bytes


class Relay:
    """Forwards datagrams between nodes, each of which other nodes reach at an address of the relay.

    The relay identifies the sender by a datagram's source address. It forwards from the relay address of that
    sender, so to the receiver the datagram comes from the address that the sender advertises.

    Args:
        loop: The event loop.
        clock: The clock that schedules the arrivals.
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
        """Bind one relay address for each node."""
        self.endpoints = endpoints
        for index in range(len(endpoints)):
            self.node_by_host[self.addresses.node_host(index)] = index
            transport, _ = await self.loop.create_datagram_endpoint(
                partial(RelayPort, self, index), local_addr=(self.addresses.relay_host(index), DATAGRAM_PORT)
            )
            self.ports.append(transport)

    def on_datagram(self, destination: int, data: bytes, host: str) -> None:
        """Schedule the arrivals of a datagram from a host to a node; the link may lose or duplicate it."""
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
        """Forward a datagram to its destination."""
        port = self.ports[datagram.source]
        if not port.is_closing():
            host = self.addresses.node_host(datagram.destination)
            port.sendto(datagram.data, (host, DATAGRAM_PORT))

    def close(self) -> None:
        """Close the relay addresses of all nodes."""
        for port in self.ports:
            port.abort()


class RelayPort(asyncio.DatagramProtocol):
    """The relay address at which one node is reached."""

    def __init__(self, relay: Relay, index: int) -> None:
        self.relay = relay
        self.index = index

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Pass a datagram for the node to the relay."""
        self.relay.on_datagram(self.index, data, str(addr[0]))
