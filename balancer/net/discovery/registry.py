"""The registry of servers: lists from discovery, turned into endpoints for the pool and policy entries."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from random import Random

from balancer.net.config import Config
from balancer.net.discovery.client import DiscoveryClient
from balancer.net.discovery.server_list import ServerList, ServerRecord
from balancer.net.process.event_queue import EventQueue
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.net.upstream.connection import Endpoint
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import ListKind, ServerEntry, State

OnServers = Callable[[int, ListKind, Sequence[ServerEntry], Mapping[str, int]], None]

PUSH_RETRY_S = 0.1  # seconds, half to one and a half of them, before a watch that has failed is opened again


class ServerRegistry:
    """The servers that discovery lists, by number.

    Args:
        config: the configuration of the node.
        loop: the event loop.
        pool: its endpoints follow the list.
        lifecycle: notified of each server list.
        log: gets a line for each list.
        strays: the log for responses that cannot be used.
        event_queue: hands the list to the policy.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        pool: ConnectionPool,
        lifecycle: Lifecycle,
        log: Log,
        strays: Log,
        event_queue: EventQueue,
    ) -> None:
        self.config = config
        self.loop = loop
        self.pool = pool
        self.lifecycle = lifecycle
        self.log = log
        self.event_queue = event_queue
        self.balancer: Balancer  # set once it is made
        self.on_servers: OnServers | None = None  # called with what the policy gets, where there is a fleet
        self.rng = Random(f"node {config.seed}")  # apart from the policy's
        version = config.known.version if config.known else 0
        self.discovery = DiscoveryClient(loop, config.discovery, version, self.on_list, strays, self.rng)
        self.zones = {name: i for i, name in enumerate(config.zones)}
        self.kinds = {name: i for i, name in enumerate(config.kinds)}
        self.states: dict[int, State] = {}  # of the servers in the list

    def on_list(self, server_list: ServerList | None) -> None:
        """Takes over a list or its changes; None stands for a call that has failed."""
        if server_list is None:
            if self.config.settings.list_on_request:
                self.event_queue.post(self.balancer.server_list, ListKind.FAILED, ())
            else:
                wait = PUSH_RETRY_S * (0.5 + self.rng.random())
                self.loop.call_later(wait, self.discovery.watch, True)
            self.log.line(f"list failed, version={self.discovery.version} stays")
            return
        # The last of two entries of one server holds.
        latest = {server_number(record.id): record for record in server_list.servers}
        endpoints = self.pool.endpoints
        if server_list.kind != ListKind.CHANGES:
            self.states.clear()
            for number, endpoint in endpoints.items():
                if number not in latest:
                    endpoint.retire()
        for number, record in latest.items():
            self.update_server(number, record)
        for number in [n for n, e in endpoints.items() if not e.ready and not e.busy]:
            del endpoints[number]
        self.lifecycle.on_server_list()
        if server_list.servers:
            states = Counter(record.state.name.lower() for record in latest.values())
            counts = " ".join(f"{state}={count}" for state, count in states.items())
            self.log.line(f"list {server_list.kind.name.lower()} version={server_list.version} {counts}")
        entries = [self.policy_entry(number, record) for number, record in latest.items()]
        self.event_queue.post(self.balancer.server_list, server_list.kind, entries)
        if self.on_servers is not None:
            self.on_servers(self.event_queue.now(), server_list.kind, entries, self.zones)

    def update_server(self, number: int, record: ServerRecord) -> None:
        """Takes over a server's address and state; connections to an old process are retired."""
        self.states[number] = record.state
        if record.state == State.GONE:
            del self.states[number]
        endpoint = self.pool.endpoints.get(number)
        if record.state != State.READY:
            if endpoint is not None:
                endpoint.retire()
            return
        same = endpoint is not None and (endpoint.host, endpoint.port, endpoint.started) == (
            record.host,
            record.port,
            record.started,
        )
        if endpoint is None or not same:
            if endpoint is not None:
                endpoint.retire()
            endpoint = self.pool.endpoints[number] = Endpoint(record.host, record.port, record.started)
        endpoint.ready = True

    def policy_entry(self, number: int, record: ServerRecord) -> ServerEntry:
        """What the policy gets of a server; zones and kinds that are new get the next number."""
        return ServerEntry(
            number,
            record.state,
            record.cell,
            self.zones.setdefault(record.zone, len(self.zones)),
            self.kinds.setdefault(record.kind, len(self.kinds)),
            record.weight,
            record.started,
        )


def server_number(name: str) -> int:
    """A server's number: the same at every node, since all nodes share one shuffle of the numbers."""
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")
