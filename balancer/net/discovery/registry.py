"""The registry of servers, which applies the server lists that discovery sends.

Each list becomes endpoints of the connection pool and server entries for the policy.
"""

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

# The mean delay before a failed watch for list changes is reopened; each delay is 0.5 to 1.5 times as long.
PUSH_RETRY_S = 0.1


class ServerRegistry:
    """The servers listed by discovery, each identified by a number, which is a hash of its name.

    Args:
        config: The configuration of the node.
        loop: The event loop.
        pool: The connection pool, whose endpoints are updated from each list.
        lifecycle: The lifecycle of the node, which is notified of each list.
        log: The log for received lists and failed calls.
        invalid_response_log: The log for responses that cannot be used.
        event_queue: The queue that passes each list to the policy.
    """

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        pool: ConnectionPool,
        lifecycle: Lifecycle,
        log: Log,
        invalid_response_log: Log,
        event_queue: EventQueue,
    ) -> None:
        self.config = config
        self.loop = loop
        self.pool = pool
        self.lifecycle = lifecycle
        self.log = log
        self.event_queue = event_queue
        # Set by the node later, because constructing the balancer needs the registry.
        self.balancer: Balancer
        # Called with the policy's entries of each list; None if the node belongs to no fleet.
        self.on_servers: OnServers | None = None
        self.rng = Random(f"node {config.seed}")  # Separate from the policy's random number generator.
        version = config.cached_list.version if config.cached_list else 0
        self.discovery = DiscoveryClient(
            loop, config.discovery, version, self.on_list, invalid_response_log, self.rng
        )
        self.zones = {name: i for i, name in enumerate(config.zones)}
        self.kinds = {name: i for i, name in enumerate(config.kinds)}
        self.states: dict[int, State] = {}  # The state of each listed server.

    def on_list(self, server_list: ServerList | None) -> None:
        """Apply a full list, or a change of the list, to the endpoints, and pass it on to the policy.

        None stands for a failed call to discovery. The current list then stays in use. The policy is told of
        the failure if it polls lists itself; otherwise the watch is reopened after a delay.
        """
        if server_list is None:
            if self.config.settings.list_on_request:
                self.event_queue.post(self.balancer.server_list, ListKind.FAILED, ())
            else:
                wait = PUSH_RETRY_S * (0.5 + self.rng.random())
                self.loop.call_later(wait, self.discovery.watch, True)
            self.log.line(f"list failed, version={self.discovery.version} stays")
            return
        # If a server has several entries, the last one applies.
        latest = {server_number(record.id): record for record in server_list.servers}
        endpoints = self.pool.endpoints
        if server_list.kind != ListKind.CHANGES:
            self.states.clear()
            for number, endpoint in endpoints.items():
                if number not in latest:
                    endpoint.retire()
        for number, record in latest.items():
            self.update_server(number, record)
        for number in [n for n, e in endpoints.items() if not e.ready and not e.active_exchanges]:
            del endpoints[number]
        self.lifecycle.on_server_list()
        if server_list.servers:
            states = Counter(record.state.name.lower() for record in latest.values())
            counts = " ".join(f"{state}={count}" for state, count in states.items())
            self.log.line(f"list {server_list.kind.name.lower()} version={server_list.version} {counts}")
        entries = [self.make_server_entry(number, record) for number, record in latest.items()]
        self.event_queue.post(self.balancer.server_list, server_list.kind, entries)
        if self.on_servers is not None:
            self.on_servers(self.event_queue.now(), server_list.kind, entries, self.zones)

    def update_server(self, number: int, record: ServerRecord) -> None:
        """Apply the address and state that discovery lists for a server.

        The endpoint of a server that is not ready, or whose process was replaced, is retired: it starts no
        further exchanges.
        """
        self.states[number] = record.state
        if record.state == State.GONE:
            del self.states[number]
        endpoint = self.pool.endpoints.get(number)
        if record.state != State.READY:
            if endpoint is not None:
                endpoint.retire()
            return
        is_same_process = endpoint is not None and (endpoint.host, endpoint.port, endpoint.started_us) == (
            record.host,
            record.port,
            record.started_us,
        )
        if endpoint is None or not is_same_process:
            if endpoint is not None:
                endpoint.retire()
            endpoint = self.pool.endpoints[number] = Endpoint(record.host, record.port, record.started_us)
        endpoint.ready = True

    def make_server_entry(self, number: int, record: ServerRecord) -> ServerEntry:
        """Return the entry that describes a server to the policy.

        A zone or a kind of server that is not known yet gets the next free number.
        """
        return ServerEntry(
            number,
            record.state,
            record.cell,
            self.zones.setdefault(record.zone, len(self.zones)),
            self.kinds.setdefault(record.kind, len(self.kinds)),
            record.weight,
            record.started_us,
        )


def server_number(name: str) -> int:
    """Return the number of a server, a hash of its name.

    The number must be the same at every node, because all nodes use the same shuffled order of the numbers.
    """
    return int.from_bytes(blake2b(name.encode(errors="surrogatepass"), digest_size=8).digest(), "big")
