"""Injected failures of system calls that the node makes itself or through its event loop."""

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

RESOURCE_SHORTAGE_ERRORS = (EMFILE, ENFILE, ENOBUFS, ENOMEM)
# On Linux, accept(2) also returns errors of the connection that it would accept.
QUEUED_CONNECTION_ERRORS: tuple[int, ...] = (
    ECONNABORTED,
    ENETDOWN,
    EPROTO,
    ENOPROTOOPT,
    EHOSTDOWN,
    ENONET,
    EHOSTUNREACH,
    EOPNOTSUPP,
)
QUEUED_CONNECTION_ERRORS += (ENETUNREACH, EPERM, ETIMEDOUT)
ACCEPT_ERRORS = RESOURCE_SHORTAGE_ERRORS + QUEUED_CONNECTION_ERRORS
LOCAL_CONNECT_ERRORS = RESOURCE_SHORTAGE_ERRORS + (EADDRNOTAVAIL,)  # Errors before anything is sent.
REMOTE_CONNECT_ERRORS = (
    ENETUNREACH,
    EHOSTUNREACH,
    ETIMEDOUT,
    ECONNREFUSED,
    ECONNRESET,
    ECONNABORTED,
    ENETDOWN,
)
CONNECT_ERRORS = LOCAL_CONNECT_ERRORS + REMOTE_CONNECT_ERRORS
BROKEN_CONNECTION_ERRORS = (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, ECONNABORTED, EPIPE, ENETDOWN)
SEND_DATAGRAM_ERRORS = RESOURCE_SHORTAGE_ERRORS + (
    ENETUNREACH,
    EHOSTUNREACH,
    ENETDOWN,
    ECONNREFUSED,
    EPERM,
    EADDRNOTAVAIL,
)
BOTH_LOOPS = pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])

LoopRunner = Callable[[Any], Any]
UNLIMITED = 1 << 30


def for_each_error(errors: tuple[int, ...]) -> pytest.MarkDecorator:
    """Return a decorator that parametrizes a test with `error`, once for each of the errors."""
    return pytest.mark.parametrize("error", errors, ids=[errorcode[e] for e in errors])


def run_scenario_on(run: LoopRunner, scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on one of the two event loops, with a time limit that only a failing test reaches."""

    async def limited() -> None:
        async with asyncio.timeout(30):
            await scenario()

    run(limited())


class Fault:
    """An error that is raised by the next calls, and the number of calls that failed with it."""

    def __init__(self, error: int, times: int = UNLIMITED) -> None:
        self.error = error
        self.remaining = times
        self.hit_count = 0

    def activate(self, times: int) -> None:
        """Make this many calls fail from now on."""
        self.remaining = times

    def deactivate(self) -> None:
        """Let all further calls succeed."""
        self.remaining = 0

    def raise_if_active(self) -> None:
        """Raise the error if the fault is active, and count the call as failed."""
        if self.remaining > 0:
            self.remaining -= 1
            self.hit_count += 1
            raise OSError(self.error, os.strerror(self.error))

    def wrap(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """Return a function that raises the error if the fault is active, and otherwise makes the call."""

        def faulty(*args: Any, **options: Any) -> Any:
            self.raise_if_active()
            return call(*args, **options)

        return faulty


class FaultyAccept:
    """A listening socket whose accepts fail while the fault is active and connections wait in its queue.

    The connections stay in the queue.
    """

    def __init__(self, listener: socket.socket, fault: Fault) -> None:
        self.listener = listener
        self.fault = fault

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept one connection.

        Raises:
            BlockingIOError: No connection waits.
            OSError: The fault is active.
        """
        if select.select([self.listener], [], [], 0)[0]:
            self.fault.raise_if_active()
        return self.listener.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)


class ModuleProxy:
    """A module with some of its functions replaced, to be used in a single importer of the module."""

    def __init__(self, module: Any, **functions: Any) -> None:
        self.module = module
        vars(self).update(functions)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.module, name)


def is_uvloop() -> bool:
    """Return whether the running loop is uvloop, which makes its system calls in C."""
    return isinstance(asyncio.get_running_loop(), uvloop.Loop)


def count_calls(monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> list[None]:
    """Return a list that gets an entry for each call of a method on objects created from now on."""
    calls: list[None] = []
    method = getattr(owner, name)

    def counted(*args: Any) -> Any:
        calls.append(None)
        return method(*args)

    monkeypatch.setattr(owner, name, counted)
    return calls


def fail_accepts(listener: Listener, fault: Fault) -> None:
    """Make the accepts of a listener of the node fail with the fault."""
    assert listener.socket is not None
    listener.socket = cast(socket.socket, FaultyAccept(listener.socket, fault))


def fail_connects(monkeypatch: pytest.MonkeyPatch, fault: Fault, *ports: int) -> None:
    """Make connects to these ports fail with the fault.

    On asyncio's loop the system call fails; on uvloop the method of the loop raises the error.
    """
    if not is_uvloop():
        fail_socket_calls(monkeypatch, "connect", fault, lambda s, address: address[1] in ports)
        return
    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def create_connection(factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        if port in ports:
            fault.raise_if_active()
        return await connect(factory, host, port, **options)

    monkeypatch.setattr(loop, "create_connection", create_connection)


def fail_socket_calls(
    monkeypatch: pytest.MonkeyPatch, name: str, fault: Fault, applies: Callable[..., bool]
) -> None:
    """Make a socket method fail with the fault if `applies` is true of its arguments, on asyncio's loop."""
    call = getattr(socket.socket, name)

    def faulty(*args: Any) -> Any:
        if applies(*args):
            fault.raise_if_active()
        return call(*args)

    monkeypatch.setattr(socket.socket, name, faulty, raising=False)


def connected_to(port: int) -> Callable[..., bool]:
    """Return a predicate that tells whether a socket is connected to this port."""

    def applies(connection: socket.socket, *_: Any) -> bool:
        try:
            return bool(connection.getpeername()[1] == port)
        except OSError:
            return False

    return applies


def accepted_at(port: int) -> Callable[..., bool]:
    """Return a predicate that tells whether a socket is the accepting side of a connection to this port."""

    def applies(connection: socket.socket, *_: Any) -> bool:
        try:
            return bool(connection.getsockname()[1] == port)
        except OSError:
            return False

    return applies


def fail_reads(
    monkeypatch: pytest.MonkeyPatch, protocol: type, fault: Fault, applies: Callable[..., bool]
) -> None:
    """Make connections of a protocol fail with the fault as received data is read.

    On asyncio's loop the system call fails. On uvloop the protocol's method for received data ends the
    connection with the error, which is all that such a failure does. uvloop looks the method up when a
    connection is made, so this must be called before.
    """
    buffered = issubclass(protocol, asyncio.BufferedProtocol)
    if not is_uvloop():
        fail_socket_calls(monkeypatch, "recv_into" if buffered else "recv", fault, applies)
        return
    name = "buffer_updated" if buffered else "data_received"
    received = getattr(protocol, name)

    def faulty(self: Any, data: Any) -> None:
        try:
            fault.raise_if_active()
        except OSError as e:
            transport = self.transport
            self.connection_lost(e)
            self.connection_lost = lambda exc: None  # A transport reports its end only once.
            transport.abort()
        else:
            received(self, data)

    monkeypatch.setattr(protocol, name, faulty)
