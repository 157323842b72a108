"""System calls that fail as a test says: for calls that the node makes itself, and for those of its loop."""

from __future__ import annotations

import asyncio
import os
import select
import socket
from collections.abc import Awaitable, Callable
from errno import (
    EADDRNOTAVAIL,
    ECONNABORTED,
    ECONNREFUSED,
    ECONNRESET,
    EHOSTDOWN,
    EHOSTUNREACH,
    EMFILE,
    ENETDOWN,
    ENETUNREACH,
    ENFILE,
    ENOBUFS,
    ENOMEM,
    ENONET,
    ENOPROTOOPT,
    EOPNOTSUPP,
    EPERM,
    EPIPE,
    EPROTO,
    ETIMEDOUT,
    errorcode,
)
from typing import Any, cast

import pytest
import uvloop

from balancer.net.process.listener import Listener

SHORTAGES = (EMFILE, ENFILE, ENOBUFS, ENOMEM)
# accept(2): errors of the new connection itself come out of the call on Linux.
LOST_IN_QUEUE: tuple[int, ...] = (
    ECONNABORTED,
    ENETDOWN,
    EPROTO,
    ENOPROTOOPT,
    EHOSTDOWN,
    ENONET,
    EHOSTUNREACH,
    EOPNOTSUPP,
)
LOST_IN_QUEUE += (ENETUNREACH, EPERM, ETIMEDOUT)
ACCEPT = SHORTAGES + LOST_IN_QUEUE
CONNECT_HERE = SHORTAGES + (EADDRNOTAVAIL,)  # nothing has left this machine
CONNECT_THERE = (ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, ECONNRESET, ECONNABORTED, ENETDOWN)
CONNECT = CONNECT_HERE + CONNECT_THERE
BROKEN = (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, ECONNABORTED, EPIPE, ENETDOWN)
SEND_DATAGRAM = SHORTAGES + (ENETUNREACH, EHOSTUNREACH, ENETDOWN, ECONNREFUSED, EPERM, EADDRNOTAVAIL)
BOTH_LOOPS = pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])

Run = Callable[[Any], Any]
FOR_GOOD = 1 << 30


def with_each(errors: tuple[int, ...]) -> pytest.MarkDecorator:
    """The test runs once for each error."""
    return pytest.mark.parametrize("error", errors, ids=[errorcode[e] for e in errors])


def play_on(run: Run, scene: Callable[[], Awaitable[None]]) -> None:
    """Runs a scene on one of the two loops; only a failure takes long."""

    async def limited() -> None:
        async with asyncio.timeout(30):
            await scene()

    run(limited())


class Fault:
    """An error that calls meet for as long as it lasts, and how often they met it."""

    def __init__(self, error: int, times: int = FOR_GOOD) -> None:
        self.error = error
        self.left = times
        self.met = 0

    def comes(self, times: int) -> None:
        """So many calls meet it from now on."""
        self.left = times

    def passes(self) -> None:
        """No further call meets it."""
        self.left = 0

    def strike(self) -> None:
        """Raises the error while it lasts."""
        if self.left > 0:
            self.left -= 1
            self.met += 1
            raise OSError(self.error, os.strerror(self.error))

    def before(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """The call, after the fault."""

        def struck(*args: Any, **options: Any) -> Any:
            self.strike()
            return call(*args, **options)

        return struck


class FaultyAccept:
    """A listening socket whose accepts meet a fault while connections wait, which stay in its queue."""

    def __init__(self, listener: socket.socket, fault: Fault) -> None:
        self.listener = listener
        self.fault = fault

    def accept(self) -> tuple[socket.socket, Any]:
        """One connection, the fault, or BlockingIOError where none waits."""
        if select.select([self.listener], [], [], 0)[0]:
            self.fault.strike()
        return self.listener.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)


class Replaced:
    """A module with some of its functions replaced, for one importer alone."""

    def __init__(self, module: Any, **functions: Any) -> None:
        self.module = module
        vars(self).update(functions)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.module, name)


def is_uvloop() -> bool:
    """Whether the running loop makes its system calls in C."""
    return isinstance(asyncio.get_running_loop(), uvloop.Loop)


def count_calls(monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> list[None]:
    """Has one entry for each call of a method on objects that are made from now on."""
    calls: list[None] = []
    method = getattr(owner, name)

    def counted(*args: Any) -> Any:
        calls.append(None)
        return method(*args)

    monkeypatch.setattr(owner, name, counted)
    return calls


def fail_accepts(listener: Listener, fault: Fault) -> None:
    """The node's own accepts meet the fault."""
    assert listener.socket is not None
    listener.socket = cast(socket.socket, FaultyAccept(listener.socket, fault))


def fail_connects(monkeypatch: pytest.MonkeyPatch, fault: Fault, *ports: int) -> None:
    """Connects to these ports meet the fault: in the system call, or where uvloop hands on its error."""
    if not is_uvloop():
        fail_socket_calls(monkeypatch, "connect", fault, lambda s, address: address[1] in ports)
        return
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def create_connection(factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        if port in ports:
            fault.strike()
        return await connect(factory, host, port, **options)

    monkeypatch.setattr(loop, "create_connection", create_connection)


def fail_socket_calls(
    monkeypatch: pytest.MonkeyPatch, name: str, fault: Fault, applies: Callable[..., bool]
) -> None:
    """A call of sockets meets the fault where `applies` says so of its arguments; for asyncio's own loop."""
    call = getattr(socket.socket, name)

    def struck(*args: Any) -> Any:
        if applies(*args):
            fault.strike()
        return call(*args)

    monkeypatch.setattr(socket.socket, name, struck, raising=False)


def towards(port: int) -> Callable[..., bool]:
    """Whether a socket is connected to this port."""

    def applies(connection: socket.socket, *_: Any) -> bool:
        try:
            return bool(connection.getpeername()[1] == port)
        except OSError:
            return False

    return applies


def accepted_at(port: int) -> Callable[..., bool]:
    """Whether a socket is the accepting side of a connection to this port."""

    def applies(connection: socket.socket, *_: Any) -> bool:
        try:
            return bool(connection.getsockname()[1] == port)
        except OSError:
            return False

    return applies


def fail_reads(
    monkeypatch: pytest.MonkeyPatch, protocol: type, fault: Fault, applies: Callable[..., bool]
) -> None:
    """Connections of a protocol break as they are read, which takes that something comes.

    asyncio's loop meets the error in the system call; uvloop's only effect, the end of the connection with
    this error, is played where the bytes would be handed on. uvloop looks that method up as a
    connection comes up, so this is called before.
    """
    buffered = issubclass(protocol, asyncio.BufferedProtocol)
    if not is_uvloop():
        fail_socket_calls(monkeypatch, "recv_into" if buffered else "recv", fault, applies)
        return
    name = "buffer_updated" if buffered else "data_received"
    received = getattr(protocol, name)

    def struck(self: Any, data: Any) -> None:
        try:
            fault.strike()
        except OSError as e:
            transport = self.transport
            self.connection_lost(e)
            self.connection_lost = lambda exc: None  # a transport tells of its end once
            transport.abort()
        else:
            received(self, data)

    monkeypatch.setattr(protocol, name, struck)
