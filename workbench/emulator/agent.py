"""Discovery's agent on a node's machine: answers at once with the endpoints that it has been sent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from balancer.net.process.listener import Listener, open_listener
from balancer.policy.interface import ListKind, ServerEntry
from workbench.emulator.http import Request, ServerConnection, response_bytes

MAX_WAIT_S = 60.0
MAX_ACCEPTS = 16  # at a time
JSON_HEADER = b"Content-Type: application/json\r\n"

Endpoint = dict[str, Any]  # as the protocol of the node's discovery spells it
EndpointOf = Callable[[ServerEntry], Endpoint]
NotifiedCallback = Callable[[list[Endpoint]], None]


class DiscoveryAgent:
    """One node's agent: the endpoint list that it was sent last, and the node's pending watches.

    Args:
        loop: Runs the connections.
        endpoint_of: Makes an endpoint from discovery's entry.
        on_notified: Called with the endpoints that are written to the node.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, endpoint_of: EndpointOf, on_notified: NotifiedCallback
    ) -> None:
        self.loop = loop
        self.endpoint_of = endpoint_of
        self.on_notified = on_notified
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}
        self.changed_in: dict[str, int] = {}  # the version that last changed an endpoint
        self.pending: set[WatchConnection] = set()
        self.connections: set[WatchConnection] = set()
        self.listener = Listener(loop, self.accept, lambda: True, MAX_ACCEPTS)
        self.address: tuple[str, int] = ("", 0)

    def start(self, address: tuple[str, int]) -> None:
        """Listens on an address."""
        listening = open_listener(address)
        self.address = listening.getsockname()[:2]
        self.listener.start(listening)

    def close(self) -> None:
        """Ends all connections and stops listening."""
        for connection in list(self.connections):
            connection.transport.abort()
        self.listener.release()

    def accept(self, accepted: socket.socket) -> None:
        """Takes a connection from the listener."""
        accepted.setblocking(False)
        self.loop.create_task(self.attach(accepted))

    async def attach(self, accepted: socket.socket) -> None:
        """Gives an accepted connection to the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: WatchConnection(self), accepted)
        except OSError:
            accepted.close()

    def update(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Takes a list or changes from discovery, and answers the watches that wait for them."""
        self.version += 1
        latest = {endpoint["id"]: endpoint for endpoint in map(self.endpoint_of, entries)}
        if kind != ListKind.CHANGES:
            for name in self.endpoints.keys() - latest.keys():
                latest[name] = self.endpoints[name] | {"state": "gone"}
        for name, endpoint in latest.items():
            self.endpoints[name] = endpoint
            self.changed_in[name] = self.version
        for connection in list(self.pending):
            connection.respond()

    def listed(self) -> list[Endpoint]:
        """Returns the endpoints of a whole list, those that are not gone."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint["state"] != "gone"]

    def list_since(self, since: int | None) -> bytes:
        """Returns the list, or the changes since a version; the node counts as notified of them."""
        full = since is None or since > self.version
        if since is None or full:
            endpoints = self.listed()
        else:
            endpoints = [
                endpoint for name, endpoint in self.endpoints.items() if self.changed_in[name] > since
            ]
        self.on_notified(list(self.endpoints.values()) if full else endpoints)
        return msgspec.json.encode({"version": self.version, "full": full, "servers": endpoints})


class WatchConnection(ServerConnection):
    """A connection of the node to its agent.

    Args:
        agent: The agent that accepted it.
    """

    def __init__(self, agent: DiscoveryAgent) -> None:
        super().__init__()
        self.agent = agent
        self.since: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        agent.connections.add(self)

    def on_request(self, request: Request) -> None:
        """Answers a request for the list, at once or when there is a change."""
        parts = urlsplit(request.target.decode("latin-1"))
        query = parse_qs(parts.query)
        if parts.path != "/v1/endpoints":
            self.transport.write(response_bytes(404))
            return
        try:
            self.since = int(query["since"][0]) if "since" in query else None
            wait = min(MAX_WAIT_S, int(query.get("timeout_ms", ["0"])[0]) / 1000)
        except ValueError:
            self.transport.write(response_bytes(400))
            return
        if self.since is None or self.since != self.agent.version or wait <= 0:
            self.respond()
        else:
            self.agent.pending.add(self)
            self.timer = self.agent.loop.call_later(wait, self.respond)

    def respond(self) -> None:
        """Answers the request that waits."""
        self.stop_waiting()
        if not self.transport.is_closing():
            body = self.agent.list_since(self.since)
            self.transport.write(response_bytes(200, body, JSON_HEADER))

    def stop_waiting(self) -> None:
        """Takes the request off the pending watches."""
        self.agent.pending.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Forgets the connection."""
        self.stop_waiting()
        self.agent.connections.discard(self)
