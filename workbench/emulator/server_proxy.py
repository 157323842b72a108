"""Sockets of the model's servers: one listening proxy for each pair of node and server.

The model (`model/server.py`) defines how a server handles a request. The proxy converts received bytes to
attempts, and outcomes to bytes. All bytes between a node and a server go over the two links between them.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from typing import Protocol

from balancer.net.process.listener import BACKLOG, Listener, open_listener
from balancer.policy.interface import Outcome
from workbench.emulator.clock import RealTimeClock
from workbench.emulator.http import Request, ServerConnection, encode_response
from workbench.emulator.links import Link, Stream
from workbench.model.call import Attempt
from workbench.model.server import Server

MAX_ACCEPTS_PER_ITERATION = 64
# The SO_LINGER value with a zero time-out, with which close sends RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
HEALTH_PATHS = (b"/health", b"/status/")
NOT_NOTIFIED = -1
OUTCOME_STATUSES = {Outcome.OK: 200, Outcome.REJECTED: 503, Outcome.ERROR: 500}
REJECTED_HEADER = b"X-Rejected: 1\r\n"


class ProxyNode(Protocol):
    """The node of a proxy: receives attempts and counts health checks."""

    name: str
    health_checks: int

    def on_attempt(self, connection: ProxyConnection, request: Request) -> None:
        """Handle a complete request that a server has received."""

    def on_disconnect(self, attempt: Attempt) -> None:
        """Handle the loss of the connection of an attempt that has no response yet."""


class ServerProxy:
    """The listening socket through which one node reaches one server.

    Args:
        clock: The clock of the model.
        server: The server that handles the requests.
        node: The node that connects to the proxy.
        host: The address to listen on; the port is any free one.
        request_link: The link from the node to the server.
        response_link: The link from the server to the node.
    """

    def __init__(
        self,
        clock: RealTimeClock,
        server: Server,
        node: ProxyNode,
        host: str,
        request_link: Link,
        response_link: Link,
    ) -> None:
        self.clock = clock
        self.server = server
        self.node = node
        self.request_link = request_link
        self.response_link = response_link
        # The incarnation of the server at the last call of `synchronize`.
        self.server_incarnation: int | None = None
        self.connections: set[ProxyConnection] = set()
        self.listener = Listener(clock.loop, self.accept, lambda: True, MAX_ACCEPTS_PER_ITERATION)
        self.socket = open_listener((host, 0))
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.backlog_filler: socket.socket | None = None
        self.listener.start(self.socket)

    @property
    def is_unreachable(self) -> bool:
        """Whether the server is silent or one of the links is cut."""
        return self.server.silent or self.request_link.active_cuts > 0 or self.response_link.active_cuts > 0

    def accept(self, accepted: socket.socket) -> None:
        """Accept a connection, or reset it if the server is down or at its connection limit."""
        accepted.setblocking(False)
        if not self.server.up or not self.server.change_connections(1):
            close_with_reset(accepted)
            return
        connection = ProxyConnection(self)
        self.connections.add(connection)
        self.clock.loop.create_task(self.attach(connection, accepted))

    async def attach(self, connection: ProxyConnection, accepted: socket.socket) -> None:
        """Attach an accepted connection to the event loop."""
        try:
            await self.clock.loop.connect_accepted_socket(lambda: connection, accepted)
        except OSError:
            accepted.close()
            self.connections.discard(connection)

    def drop_new_connections(self, active: bool) -> None:
        """Start or stop dropping new connections, as if the network lost their SYN segments.

        A listening socket with a backlog of 0 queues one connection. The proxy's own connection fills that
        queue, so the kernel drops the SYN segments of others.
        """
        if active and self.backlog_filler is None:
            self.listener.pause()
            self.socket.listen(0)
            self.backlog_filler = socket.socket()
            self.backlog_filler.setblocking(False)
            with suppress(BlockingIOError):
                self.backlog_filler.connect(self.address)
        elif not active and self.backlog_filler is not None:
            close_with_reset(self.backlog_filler)
            self.backlog_filler = None
            self.socket.listen(BACKLOG)
            self.listener.update()

    def synchronize(self, now: int, idle_timeout: int) -> None:
        """Apply the server's current state to the sockets, and close idle connections.

        Args:
            now: The time in microseconds.
            idle_timeout: The time in microseconds after which an unused connection is closed.
        """
        if self.server_incarnation != self.server.incarnation:
            if self.server_incarnation is not None:
                self.abort_connections()
            self.server_incarnation = self.server.incarnation
        self.drop_new_connections(self.is_unreachable)
        for connection in list(self.connections):
            if connection.is_idle_since(now - idle_timeout):
                connection.transport.close()

    def abort_connections(self) -> None:
        """Abort all connections, as happens when the server's process ends."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Abort all connections and stop listening."""
        self.drop_new_connections(False)
        self.abort_connections()
        self.listener.release()


class ProxyConnection(ServerConnection):
    """A connection from a node to a server.

    Args:
        proxy: The proxy that accepted the connection.
    """

    def __init__(self, proxy: ServerProxy) -> None:
        super().__init__()
        self.proxy = proxy
        self.server_incarnation = proxy.server.incarnation
        self.attempt: Attempt | None = None
        # For the current attempt: the time at which the node was notified that the server drains or is gone.
        self.unavailable_since = NOT_NOTIFIED
        self.last_used_at = proxy.clock.now
        self.inbound = Stream(proxy.request_link, self.feed)
        self.outbound = Stream(proxy.response_link, self.write)

    def data_received(self, data: bytes) -> None:
        """Send bytes that the node has written over the request link."""
        self.last_used_at = self.proxy.clock.catch_up()
        self.inbound.send(data)

    def write(self, data: bytes) -> None:
        """Write bytes that have arrived over the response link to the node."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def on_request(self, request: Request) -> None:
        """Answer a health check, or pass any other request to the node; a silent server ignores both."""
        server = self.proxy.server
        if server.silent:
            return
        if request.target.startswith(HEALTH_PATHS):
            self.proxy.node.health_checks += 1
            self.outbound.send(encode_response(200 if server.answer_health_check() else 503))
            return
        self.proxy.node.on_attempt(self, request)

    def respond(self, outcome: Outcome, body: bytes) -> None:
        """Send the response to the open attempt, or abort the connection if the outcome has no response."""
        self.attempt = None
        self.last_used_at = self.proxy.clock.now
        status = OUTCOME_STATUSES.get(outcome)
        if status is None:
            self.abort()
        elif outcome == Outcome.OK:
            self.outbound.send(encode_response(status, body))
        else:
            headers = REJECTED_HEADER if outcome == Outcome.REJECTED else b""
            self.outbound.send(encode_response(status, headers=headers))

    def is_idle_since(self, time: int) -> bool:
        """Return whether the connection is open and has not been used since a time."""
        return self.attempt is None and self.last_used_at < time and self.transport is not None

    def abort(self) -> None:
        """Abort the connection, if it is open."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the server's connection, and report an open attempt to the node."""
        self.proxy.clock.catch_up()
        self.proxy.connections.discard(self)
        self.inbound.closed = self.outbound.closed = True
        server = self.proxy.server
        if self.server_incarnation == server.incarnation:
            server.change_connections(-1)
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.ended:
            self.proxy.node.on_disconnect(attempt)


def close_with_reset(connection: socket.socket) -> None:
    """Close a connection with a TCP reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def synchronize_all(proxies: Iterable[ServerProxy], now: int, idle_timeout: int) -> None:
    """Synchronize all proxies with their servers."""
    for proxy in proxies:
        proxy.synchronize(now, idle_timeout)
