"""The roster: news from discovery, turned into endpoints for the pool and entries for the module."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from random import Random

from balancer.net.config import Config
from balancer.net.connection import Endpoint
from balancer.net.discovery.client import Discovery
from balancer.net.discovery.server_list import Line, Listing
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.net.servers import Pool
from balancer.policy import Balancer
from balancer.policy.interface import ListKind, ServerEntry, State

Heard = Callable[[int, ListKind, Sequence[ServerEntry], Mapping[str, int]], None]

PUSH_RETRY = 0.1  # seconds, half to one and a half of them, before a silent agent is asked again


class Roster:
    """The servers that discovery lists, by number."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        pool: Pool,
        life: Lifecycle,
        log: Log,
        strays: Log,
        event_queue: EventQueue,
    ) -> None:
        self.config = config
        self.loop = loop
        self.pool = pool
        self.life = life
        self.log = log
        self.event_queue = event_queue
        self.module: Balancer  # set once it is made
        self.heard: Heard | None = None  # hears what the module hears of servers, where there is a fleet
        self.rng = Random(f"node {config.seed}")  # apart from the module's
        version = config.known.version if config.known else 0
        self.discovery = Discovery(loop, config.discovery, version, self.told, strays, self.rng)
        self.zones = {name: i for i, name in enumerate(config.zones)}
        self.kinds = {name: i for i, name in enumerate(config.kinds)}
        self.states: dict[int, State] = {}  # of the servers in the list

    def told(self, listing: Listing | None) -> None:
        """News from discovery, or a call to it that failed."""
        if listing is None:
            if self.config.settings.list_on_request:
                self.event_queue.post(self.module.server_list, ListKind.FAILED, ())
            else:
                wait = PUSH_RETRY * (0.5 + self.rng.random())
                self.loop.call_later(wait, self.discovery.watch, True)
            self.log.line(f"list failed, version={self.discovery.version} stays")
            return
        latest = {number_of(line.id): line for line in listing.lines}  # a server twice: the last holds
        endpoints = self.pool.endpoints
        if listing.kind != ListKind.CHANGES:
            self.states.clear()
            for number, endpoint in endpoints.items():
                if number not in latest:
                    endpoint.retire()
        for number, line in latest.items():
            self.place(number, line)
        for number in [n for n, e in endpoints.items() if not e.ready and not e.busy]:
            del endpoints[number]
        self.life.on_server_list()
        if listing.lines:
            states = Counter(line.state.name.lower() for line in latest.values())
            told = " ".join(f"{state}={count}" for state, count in states.items())
            self.log.line(f"list {listing.kind.name.lower()} version={listing.version} {told}")
        entries = [self.entry(number, line) for number, line in latest.items()]
        self.event_queue.post(self.module.server_list, listing.kind, entries)
        if self.heard is not None:
            self.heard(self.event_queue.now(), listing.kind, entries, self.zones)

    def place(self, number: int, line: Line) -> None:
        """Takes note of a server's address and state; connections to an old process are of no use."""
        self.states[number] = line.state
        if line.state == State.GONE:
            del self.states[number]
        endpoint = self.pool.endpoints.get(number)
        if line.state != State.READY:
            if endpoint is not None:
                endpoint.retire()
            return
        same = endpoint is not None and (endpoint.host, endpoint.port, endpoint.started) == (
            line.host,
            line.port,
            line.started,
        )
        if endpoint is None or not same:
            if endpoint is not None:
                endpoint.retire()
            endpoint = self.pool.endpoints[number] = Endpoint(line.host, line.port, line.started)
        endpoint.ready = True

    def entry(self, number: int, line: Line) -> ServerEntry:
        return ServerEntry(
            number,
            line.state,
            line.cell,
            self.zones.setdefault(line.zone, len(self.zones)),
            self.kinds.setdefault(line.kind, len(self.kinds)),
            line.weight,
            line.started,
        )


def number_of(name: str) -> int:
    """A server's number: the same at every node, since all copies share one shuffle of the numbers."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")
