"""The world's servers on sockets: a door for each node that may call, a connection for each that does.

What a server does with a request is the world's own (`model/server.py`); here bytes become attempts and
answers become bytes. Whatever passes between a node and a server goes over the two links between them.
"""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import Protocol

from balancer.net.process.listener import Listener, open_listener
from balancer.policy.interface import Outcome
from workbench.emulator.clock import LiveClock
from workbench.emulator.http import ServerSide, answer_bytes
from workbench.emulator.links import Link, Stream
from workbench.model.call import Attempt
from workbench.model.server import Server

ACCEPTS = 64
RESET = struct.pack("ii", 1, 0)


class Owner(Protocol):
    """The node that a door belongs to, as the servers see it."""

    name: str
    probes: int

    def arrived(
        self, connection: Connection, method: bytes, target: bytes, headers: dict[bytes, bytes]
    ) -> None:
        """A request has come to a server."""

    def hung_up(self, attempt: Attempt) -> None:
        """The node has closed the connection of an attempt that had no answer yet."""


class Door:
    """Where one node reaches one server: a listening socket of the lab's."""

    def __init__(
        self, clock: LiveClock, server: Server, node: Owner, host: str, there: Link, back: Link
    ) -> None:
        self.clock = clock
        self.server = server
        self.node = node
        self.there = there
        self.back = back
        self.connections: set[Connection] = set()
        self.listener = Listener(clock.loop, self.take, lambda: True, ACCEPTS)
        self.socket = open_listener((host, 0))
        self.address: tuple[str, int] = self.socket.getsockname()[:2]
        self.plug: socket.socket | None = None
        self.listener.start(self.socket)

    def take(self, connection: socket.socket) -> None:
        """A connection has come up. A process that is not there refuses it, one that is full too."""
        connection.setblocking(False)
        if not self.server.up or not self.server.dialled(1):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.close()
            return
        made = Connection(self)
        self.connections.add(made)
        self.clock.loop.create_task(self.attach(made, connection))

    async def attach(self, made: Connection, connection: socket.socket) -> None:
        try:
            await self.clock.loop.connect_accepted_socket(lambda: made, connection)
        except OSError:
            connection.close()
            self.connections.discard(made)

    def deafen(self, on: bool) -> None:
        """While deaf, a new connection never comes up: its first segment is dropped, as on a cut network.

        The queue of a socket that nobody accepts from holds one connection; a plug takes that place.
        """
        if on and self.plug is None:
            self.listener.pause()
            self.socket.listen(0)
            self.plug = socket.socket()
            self.plug.setblocking(False)
            with suppress(BlockingIOError):
                self.plug.connect(self.address)
        elif not on and self.plug is not None:
            self.plug.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.plug.close()
            self.plug = None
            self.socket.listen(512)
            self.listener.update()

    def reset(self) -> None:
        """The server's process has ended: its connections break."""
        for connection in list(self.connections):
            connection.abort()

    def close(self) -> None:
        self.deafen(False)
        self.reset()
        self.listener.release()


class Connection(ServerSide):
    """One connection from a node to a server."""

    def __init__(self, door: Door) -> None:
        super().__init__()
        self.door = door
        self.life = door.server.life
        self.attempt: Attempt | None = None
        self.away = -1  # since when the node had been told that the server drains or is gone, as it came
        self.used = door.clock.now
        self.coming = Stream(door.there, self.feed)
        self.going = Stream(door.back, self.put)

    def data_received(self, data: bytes) -> None:
        self.used = self.door.clock.catch_up()
        self.coming.send(data)

    def put(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def asked(self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        server = self.door.server
        if server.silent:
            return
        if target.startswith(b"/health") or target.startswith(b"/status/"):
            self.door.node.probes += 1
            self.going.send(answer_bytes(200 if server.probed() else 503))
            return
        self.door.node.arrived(self, method, target, headers)

    def reply(self, outcome: Outcome, body: bytes) -> None:
        """The server's answer to the open attempt."""
        self.attempt = None
        self.used = self.door.clock.now
        if outcome == Outcome.OK:
            self.going.send(answer_bytes(200, body))
        elif outcome == Outcome.REJECTED:
            self.going.send(answer_bytes(503, b"", b"X-Rejected: 1\r\n"))
        elif outcome == Outcome.ERROR:
            self.going.send(answer_bytes(500))
        else:
            self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.door.clock.catch_up()
        self.door.connections.discard(self)
        self.coming.closed = self.going.closed = True
        server = self.door.server
        if self.life == server.life:
            server.dialled(-1)
        attempt, self.attempt = self.attempt, None
        if attempt is not None and not attempt.ended:
            self.door.node.hung_up(attempt)


def look_after(doors: list[Door], lives: dict[int, int], now: int, idle: int) -> None:
    """Brings the sockets in line with what has become of the servers, and closes what stands idle."""
    for door in doors:
        server = door.server
        if lives.get(id(door)) != server.life:
            if id(door) in lives:
                door.reset()
            lives[id(door)] = server.life
        door.deafen(server.silent or door.there.cuts > 0 or door.back.cuts > 0)
        for connection in list(door.connections):
            if connection.attempt is None and now - connection.used > idle and connection.transport:
                connection.transport.close()
