"""The discovery agent on a node's machine, which serves the endpoint list that discovery last sent it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from balancer.net.process.listener import Listener, open_listener
from balancer.policy.interface import ListKind, ServerEntry
from workbench.emulator.http import Request, ServerConnection, encode_response

MAX_LONG_POLL_S = 60.0
MAX_ACCEPTS_PER_ITERATION = 16
JSON_HEADER = b"Content-Type: application/json\r\n"

# An endpoint in the JSON form of the discovery protocol.
Endpoint = dict[str, Any]
EndpointFactory = Callable[[ServerEntry], Endpoint]
NotificationCallback = Callable[[list[Endpoint]], None]


class DiscoveryAgent:
    """The discovery agent of one node: its endpoint list, and the node's pending watch requests.

    Args:
        loop: The event loop of the connections.
        make_endpoint: Converts a server entry of discovery to an endpoint.
        on_notified: Called with the endpoints that the agent is about to send to the node.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        make_endpoint: EndpointFactory,
        on_notified: NotificationCallback,
    ) -> None:
        self.loop = loop
        self.make_endpoint = make_endpoint
        self.on_notified = on_notified
        self.version = 0
        self.endpoints: dict[str, Endpoint] = {}
        # The list version at which each endpoint last changed.
        self.change_versions: dict[str, int] = {}
        self.pending_watches: set[WatchConnection] = set()
        self.connections: set[WatchConnection] = set()
        self.listener = Listener(loop, self.accept, lambda: True, MAX_ACCEPTS_PER_ITERATION)
        self.address: tuple[str, int] = ("", 0)

    def start(self, address: tuple[str, int]) -> None:
        """Listen on an address for the node's connections."""
        listening_socket = open_listener(address)
        self.address = listening_socket.getsockname()[:2]
        self.listener.start(listening_socket)

    def close(self) -> None:
        """Abort all connections and stop listening."""
        for connection in list(self.connections):
            connection.transport.abort()
        self.listener.release()

    def accept(self, accepted: socket.socket) -> None:
        """Handle a connection that the listener has accepted."""
        accepted.setblocking(False)
        self.loop.create_task(self.attach(accepted))

    async def attach(self, accepted: socket.socket) -> None:
        """Attach an accepted connection to the event loop."""
        try:
            await self.loop.connect_accepted_socket(lambda: WatchConnection(self), accepted)
        except OSError:
            accepted.close()

    def update(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Apply a full list or changes from discovery, and answer the pending watches."""
        self.version += 1
        latest = {endpoint["id"]: endpoint for endpoint in map(self.make_endpoint, entries)}
        if kind != ListKind.CHANGES:
            for name in self.endpoints.keys() - latest.keys():
                latest[name] = self.endpoints[name] | {"state": "gone"}
        for name, endpoint in latest.items():
            self.endpoints[name] = endpoint
            self.change_versions[name] = self.version
        for connection in list(self.pending_watches):
            connection.respond()

    def active_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that a full list contains: all except those that are gone."""
        return [endpoint for endpoint in self.endpoints.values() if endpoint["state"] != "gone"]

    def encode_list_since(self, since: int | None) -> bytes:
        """Return a JSON response with the full list or the changes since a version.

        `on_notified` is called with the endpoints, including those that a full list leaves out as gone.

        Args:
            since: The version that the node has. The list is full if it is None or above the agent's version.
        """
        full = since is None or since > self.version
        if since is None or full:
            endpoints = self.active_endpoints()
        else:
            endpoints = [
                endpoint for name, endpoint in self.endpoints.items() if self.change_versions[name] > since
            ]
        self.on_notified(list(self.endpoints.values()) if full else endpoints)
        return msgspec.json.encode({"version": self.version, "full": full, "servers": endpoints})


class WatchConnection(ServerConnection):
    """A connection from the node to its discovery agent.

    Args:
        agent: The agent that accepted the connection.
    """

    def __init__(self, agent: DiscoveryAgent) -> None:
        super().__init__()
        self.agent = agent
        self.since: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        agent.connections.add(self)

    def on_request(self, request: Request) -> None:
        """Answer a request for the list: immediately, or at the next change or time-out of a long poll."""
        url = urlsplit(request.target.decode("latin-1"))
        query = parse_qs(url.query)
        if url.path != "/v1/endpoints":
            self.transport.write(encode_response(404))
            return
        try:
            self.since = int(query["since"][0]) if "since" in query else None
            wait_s = min(MAX_LONG_POLL_S, int(query.get("timeout_ms", ["0"])[0]) / 1000)
        except ValueError:
            self.transport.write(encode_response(400))
            return
        if self.since is None or self.since != self.agent.version or wait_s <= 0:
            self.respond()
        else:
            self.agent.pending_watches.add(self)
            self.timer = self.agent.loop.call_later(wait_s, self.respond)

    def respond(self) -> None:
        """Send the response to the current request."""
        self.cancel_watch()
        if not self.transport.is_closing():
            body = self.agent.encode_list_since(self.since)
            self.transport.write(encode_response(200, body, JSON_HEADER))

    def cancel_watch(self) -> None:
        """Remove the connection from the pending watches and cancel its time-out."""
        self.agent.pending_watches.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the agent."""
        self.cancel_watch()
        self.agent.connections.discard(self)
