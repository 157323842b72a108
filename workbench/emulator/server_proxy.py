"""The model's servers on sockets: a proxy for each pair of node and server, a connection for each accepted.

What a server does with a request is the model's own (`model/server.py`); here bytes become attempts and
outcomes become bytes. Whatever passes between a node and a server goes over the two links between them.
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
from workbench.emulator.http import Request, ServerConnection, response_bytes
from workbench.emulator.links import Link, Stream
from workbench.model.call import Attempt
from workbench.model.server import Server

MAX_ACCEPTS = 64  # at a time
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER without a delay: close sends RST
HEALTH_PATHS = (b"/health", b"/status/")
NOT_NOTIFIED = -1
STATUS_OF = {Outcome.OK: 200, Outcome.REJECTED: 503, Outcome.ERROR: 500}
REJECTED_HEADER = b"X-Rejected: 1\r\n"


class ProxyOwner(Protocol):
    """The node that a proxy belongs to, as the servers see it."""

    name: str
    health_checks: int

    def on_attempt(self, connection: ProxyConnection, request: Request) -> None:
        """Handles a request that has come to a server."""

    def on_disconnect(self, attempt: Attempt) -> None:
        """The node has closed the connection of an attempt that had no response yet."""


class ServerProxy:
    """The listening socket at which one node reaches one server.

    Args:
        clock: The model's clock.
        server: The server.
        node: The node.
        host: The address to listen on.
        request_link: From the node to the server.
        response_link: From the server to the node.
    """

    def __init__(
        self,
        clock: RealTimeClock,
        server: Server,
        node: ProxyOwner,
        host: str,
        request_link: Link,
        response_link: Link,
    ) -> None:
        self.clock = clock
        self.server = server
        self.node = node
        self.request_link = request_link
        self.response_link = response_link
        self.server_life: int | None = None  # of the process that the proxy has seen last
        self.connections: set[ProxyConnection] = set()
        self.listener = Listener(clock.loop, self.accept, lambda: True, MAX_ACCEPTS)
        self.socket = open_listener((host, 0))
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.backlog_filler: socket.socket | None = None
        self.listener.start(self.socket)

    @property
    def is_unreachable(self) -> bool:
        """Whether no message passes between the node and the server."""
        return self.server.silent or self.request_link.cuts > 0 or self.response_link.cuts > 0

    def accept(self, accepted: socket.socket) -> None:
        """Takes a connection from the listener; resets it where the server is down or has too many."""
        accepted.setblocking(False)
        if not self.server.up or not self.server.change_connections(1):
            reset(accepted)
            return
        connection = ProxyConnection(self)
        self.connections.add(connection)
        self.clock.loop.create_task(self.attach(connection, accepted))

    async def attach(self, connection: ProxyConnection, accepted: socket.socket) -> None:
        """Gives an accepted connection to the event loop."""
        try:
            await self.clock.loop.connect_accepted_socket(lambda: connection, accepted)
        except OSError:
            accepted.close()
            self.connections.discard(connection)

    def drop_new_connections(self, on: bool) -> None:
        """Lets new connections time out, as if the network dropped their first segments.

        The queue of a socket that nobody accepts from holds one connection; one of our own takes that place.
        """
        if on and self.backlog_filler is None:
            self.listener.pause()
            self.socket.listen(0)
            self.backlog_filler = socket.socket()
            self.backlog_filler.setblocking(False)
            with suppress(BlockingIOError):
                self.backlog_filler.connect(self.address)
        elif not on and self.backlog_filler is not None:
            reset(self.backlog_filler)
            self.backlog_filler = None
            self.socket.listen(BACKLOG)
            self.listener.update()

    def synchronize(self, now: int, idle_timeout: int) -> None:
        """Brings the sockets in line with the server's state, and closes idle connections.

        Args:
            now: The time in microseconds.
            idle_timeout: Microseconds after which an unused connection is closed.
        """
        if self.server_life != self.server.incarnation:
            if self.server_life is not None:
                self.abort_connections()
            self.server_life = self.server.incarnation
        self.drop_new_connections(self.is_unreachable)
        for connection in list(self.connections):
            if connection.is_idle_since(now - idle_timeout):
                connection.transport.close()

    def abort_connections(self) -> None:
        """Breaks all connections, as when the server's process has ended."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        """Breaks all connections and stops listening."""
        self.drop_new_connections(False)
        self.abort_connections()
        self.listener.release()


class ProxyConnection(ServerConnection):
    """One connection from a node to a server.

    Args:
        proxy: The proxy that accepted it.
    """

    def __init__(self, proxy: ServerProxy) -> None:
        super().__init__()
        self.proxy = proxy
        self.server_life = proxy.server.incarnation
        self.attempt: Attempt | None = None
        # Since when the node had been notified, as the attempt came, that the server drains or is gone.
        self.unavailable_since = NOT_NOTIFIED
        self.last_used = proxy.clock.now
        self.inbound = Stream(proxy.request_link, self.feed)
        self.outbound = Stream(proxy.response_link, self.write)

    def data_received(self, data: bytes) -> None:
        """Sends what the node has written over the link."""
        self.last_used = self.proxy.clock.catch_up()
        self.inbound.send(data)

    def write(self, data: bytes) -> None:
        """Writes what has come over the link to the node."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def on_request(self, request: Request) -> None:
        """Answers a health check; passes any other request to the node's adapter."""
        server = self.proxy.server
        if server.silent:
            return
        if request.target.startswith(HEALTH_PATHS):
            self.proxy.node.health_checks += 1
            self.outbound.send(response_bytes(200 if server.answer_health_check() else 503))
            return
        self.proxy.node.on_attempt(self, request)

    def respond(self, outcome: Outcome, body: bytes) -> None:
        """Sends the server's response to the open attempt."""
        self.attempt = None
        self.last_used = self.proxy.clock.now
        status = STATUS_OF.get(outcome)
        if status is None:
            self.abort()
        elif outcome == Outcome.OK:
            self.outbound.send(response_bytes(status, body))
        else:
            headers = REJECTED_HEADER if outcome == Outcome.REJECTED else b""
            self.outbound.send(response_bytes(status, headers=headers))

    def is_idle_since(self, time: int) -> bool:
        """Whether the connection is open and has not been used after a time."""
        return self.attempt is None and self.last_used < time and self.transport is not None

    def abort(self) -> None:
        """Breaks the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the server's connection and reports an open attempt as abandoned."""
        self.proxy.clock.catch_up()
        self.proxy.connections.discard(self)
        self.inbound.closed = self.outbound.closed = True
        server = self.proxy.server
        if self.server_life == server.incarnation:
            server.change_connections(-1)
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.ended:
            self.proxy.node.on_disconnect(attempt)


def reset(connection: socket.socket) -> None:
    """Closes a connection with a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def synchronize_all(proxies: Iterable[ServerProxy], now: int, idle_timeout: int) -> None:
    """Brings all proxies in line with their servers."""
    for proxy in proxies:
        proxy.synchronize(now, idle_timeout)
