"""An event loop on virtual time, and a discovery service that fails in a chosen way until it recovers."""

from __future__ import annotations

import asyncio
import json
import selectors
from collections.abc import Callable, Mapping
from typing import Any

from loopback import SECOND_US, node_config, settings

from balancer.net.config import read
from balancer.net.node import Node

Connected = tuple["FakeConnection", Any]  # The node's end of a connection, and its protocol.

CONNECT_FAULTS = ["refused", "never established"]
REQUEST_FAULTS = [
    "silent",
    "reset",
    "closes without response",
    "truncated, then silent",
    "truncated, then closes",
    "malformed",
    "response without list",
    "status 503",
    "byte by byte",
]
FAULTS = CONNECT_FAULTS + REQUEST_FAULTS


class VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the loop's clock instead of waiting."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise AssertionError("no event is scheduled")
        self.loop.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets: waiting advances its clock, and connections go to a `FakeDiscovery`."""

    def __init__(self, services: Mapping[int, FakeDiscovery]) -> None:
        selector = VirtualTimeSelector()
        selector.loop = self
        self.now = 1000.0
        self.services = services
        super().__init__(selector)

    def time(self) -> float:
        return self.now

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], Any], host: str, port: int
    ) -> Connected:
        return await self.services[port].connect(self, factory())


class FakeConnection:
    """The node's end of a connection to a `FakeDiscovery`."""

    def __init__(self, service: FakeDiscovery, loop: VirtualTimeLoop, protocol: Any) -> None:
        self.service, self.loop, self.protocol = service, loop, protocol
        self.closed = False

    def write(self, data: bytes) -> None:
        if not self.closed:
            self.service.request_received(self, data)

    def abort(self) -> None:
        self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return self.closed

    def deliver(self, data: bytes) -> None:
        """Schedule the delivery of bytes to the node's end."""
        self.loop.call_soon(lambda: None if self.closed else self.protocol.data_received(data))


def list_response(version: int, full: bool = True, state: str = "draining") -> bytes:
    """Return a response with a list of one server in this state."""
    server = {"id": "s0", "addr": "10.0.0.1:5000", "zone": "here", "kind": "std", "cell": 0, "weight": 1.0}
    table = {"version": version, "full": full, "servers": [server | {"state": state, "started_ms": 0}]}
    body = json.dumps(table, indent=1).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class FakeDiscovery:
    """A discovery service with one fault until `recovers_at`, which then responds at once with version 42.

    Requests that are pending at that time never get a response.
    """

    version = 42

    def __init__(self, fault: str, recovers_at: float) -> None:
        self.fault = fault
        self.recovers_at = recovers_at
        self.request_count = 0

    def recovered(self, loop: VirtualTimeLoop) -> bool:
        """Return whether the fault is over."""
        return loop.time() >= self.recovers_at

    async def connect(self, loop: VirtualTimeLoop, protocol: Any) -> Connected:
        """Establish a connection, unless the fault prevents it."""
        if not self.recovered(loop):
            if self.fault == "refused":
                raise ConnectionRefusedError
            if self.fault == "never established":
                await asyncio.Event().wait()
        connection = FakeConnection(self, loop, protocol)
        protocol.connection_made(connection)
        return connection, protocol

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        """Respond to a watch as the fault demands, or with the list once recovered, if the node lacks it."""
        self.request_count += 1
        loop = connection.loop
        if self.recovered(loop):
            if f"since={self.version}&".encode() not in data:
                connection.deliver(list_response(self.version))
            return
        response = list_response(41, full=False, state="ready")
        delay_s = 0.5 * self.request_count % 0.9
        respond: Callable[[], object] = {
            "silent": lambda: None,
            "reset": connection.close,
            "closes without response": connection.close,
            "truncated, then silent": lambda: connection.deliver(response[:-20]),
            "truncated, then closes": lambda: self.truncate_and_close(connection, response),
            "malformed": lambda: connection.deliver(response[:-1] + b"]"),
            "response without list": lambda: connection.deliver(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            ),
            "status 503": lambda: connection.deliver(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            "byte by byte": lambda: self.deliver_slowly(connection, response),
        }[self.fault]
        loop.call_later(delay_s, respond)

    def truncate_and_close(self, connection: FakeConnection, data: bytes) -> None:
        """Deliver bytes without their end, and close the connection after them."""
        connection.deliver(data[:-20])
        connection.loop.call_soon(connection.close)

    def deliver_slowly(self, connection: FakeConnection, data: bytes) -> None:
        """Deliver bytes one by one, so slowly that the request times out."""
        if data and not connection.closed:
            connection.deliver(data[:1])
            connection.loop.call_later(0.4, self.deliver_slowly, connection, data[1:])


class RestartedDiscovery(FakeDiscovery):
    """Discovery that has restarted its versions: a watch with a newer version gets changes of version 2.

    Subclasses implement `full_list_requested`.
    """

    version = 2

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        """Respond to a watch that has a newer version, and stay silent to one that has version 2."""
        if b"since=2&" in data:
            return
        if b"since=" in data:
            connection.loop.call_later(0.7, connection.deliver, list_response(2, full=False, state="ready"))
            return
        self.full_list_requested(connection)

    def full_list_requested(self, connection: FakeConnection) -> None:
        """Respond to a request for the full list."""
        raise NotImplementedError


def start_node(loop: VirtualTimeLoop, mode: str, known: bool = True) -> Node:
    """Start a node with its discovery at port 1.

    Args:
        loop: The event loop.
        mode: Whether lists are pushed ("push") or asked for ("ask").
        known: Whether the node starts with a cached list, of version 41.
    """
    rules = settings()["rules"] | {"ask_within": 100 * SECOND_US}
    table = node_config(1, settings(discovery=mode, rules=rules))
    table["known"] = table["known"] | {"version": 41} if known else None
    node = Node(read(table | {"discovery": "10.0.0.9:1"}), loop)
    node.event_queue.post(node.balancer.start)
    if node.config.cached_list is not None:
        node.server_registry.on_list(node.config.cached_list)
    if mode == "push":
        node.discovery.watch(True)
    return node
