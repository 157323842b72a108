"""The network of a lab: a link for each direction between two ends, the faults that lie on it, the relay.

Whether a fault strikes a link is a rule; a link that comes up later, such as one to a new server, gets the
rules that hold by then.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from workbench.emulator.address_block import DATAGRAM_PORT, AddressBlock
from workbench.emulator.links import Link, Timer
from workbench.lab.plan import Fault, number
from workbench.model.streams import Streams


@dataclass(frozen=True)
class End:
    """One end of a link."""

    name: str
    zone: int
    node: bool  # or a server


class Rule:
    """One fault at work on the links: `chosen` nodes, and zones whose servers are on their side."""

    def __init__(self, fault: Fault, chosen: list[str], zones: set[int]) -> None:
        self.fault = fault
        self.chosen = set(chosen)
        self.zones = zones

    def inside(self, end: End) -> bool:
        return end.name in self.chosen if end.node else end.zone in self.zones

    def strikes(self, a: End, b: End) -> bool:
        """Whether it lies on the link from `a` to `b`."""
        if not (a.node and b.node) and not self.fault.servers:
            return False
        here, there = self.inside(a), self.inside(b)
        if self.fault.type == "links":
            return here or there or not self.chosen
        return here != there and self.fault.way in ("both", "out" if here else "in")

    def lay(self, link: Link, on: bool) -> None:
        """Puts the fault on a link, or takes it off."""
        f = self.fault
        if f.type == "cut":
            link.cut(on)
            return
        sign = 1 if on else -1
        link.loss += sign * number(f.loss)
        link.duplicate += sign * number(f.duplicate)
        link.reorder += sign * number(f.reorder)
        link.delay += sign * int(number(f.delay_ms) * 1000)
        link.jitter += sign * int(number(f.jitter_ms) * 1000)
        link.rate = number(f.kbytes_s) * 1000 if on else 0.0


class Links:
    """All links of a lab."""

    def __init__(self, timer: Timer, streams: Streams, base: Callable[[int, int], int]) -> None:
        self.timer = timer
        self.streams = streams
        self.base = base  # microseconds one way between two zones
        self.links: dict[tuple[End, End], Link] = {}
        self.rules: list[Rule] = []

    def between(self, a: End, b: End) -> Link:
        link = self.links.get((a, b))
        if link is None:
            rng = self.streams.random(f"link/{a.name}/{b.name}")
            link = self.links[a, b] = Link(self.timer, rng, self.base(a.zone, b.zone))
            for rule in self.rules:
                if rule.strikes(a, b):
                    rule.lay(link, True)
        return link

    def lay(self, rule: Rule, on: bool) -> None:
        """A fault begins or ends."""
        if on:
            self.rules.append(rule)
        else:
            self.rules.remove(rule)
        for (a, b), link in list(self.links.items()):
            if rule.strikes(a, b):
                rule.lay(link, on)


class Relay:
    """Datagrams between nodes: each node is reached at an address of the relay's, which passes on what comes.

    It tells the sender by where a datagram came from, and sends on from the address at which that sender is
    reached, so a node sees what it would see with nothing in between.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, timer: Any, places: AddressBlock, links: Links
    ) -> None:
        self.loop = loop
        self.timer = timer
        self.places = places
        self.links = links
        self.ends: list[End] = []
        self.by_host: dict[str, int] = {}
        self.ports: list[asyncio.DatagramTransport] = []
        self.counts: Counter[str] = Counter()

    async def open(self, ends: list[End]) -> None:
        """Takes an address for each node."""
        self.ends = ends
        for i in range(len(ends)):
            self.by_host[self.places.node_host(i)] = i
            transport, _ = await self.loop.create_datagram_endpoint(
                partial(Port, self, i), local_addr=(self.places.relay_host(i), DATAGRAM_PORT)
            )
            self.ports.append(transport)

    def came(self, to: int, data: bytes, host: str) -> None:
        """A datagram for node `to`."""
        self.timer.catch_up()
        source = self.by_host.get(host)
        if source is None:
            self.counts["stray"] += 1
            return
        self.counts["taken"] += 1
        arrivals = self.links.between(self.ends[source], self.ends[to]).datagram(len(data))
        self.counts["lost"] += not arrivals
        for at in arrivals:
            self.timer.call_at(at, self.pass_on, (source, to, data))

    def pass_on(self, what: tuple[int, int, bytes]) -> None:
        source, to, data = what
        if not self.ports[source].is_closing():
            self.ports[source].sendto(data, (self.places.node_host(to), DATAGRAM_PORT))

    def close(self) -> None:
        for port in self.ports:
            port.abort()


class Port(asyncio.DatagramProtocol):
    """Where one node is reached."""

    def __init__(self, relay: Relay, index: int) -> None:
        self.relay = relay
        self.index = index

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self.relay.came(self.index, data, str(addr[0]))
