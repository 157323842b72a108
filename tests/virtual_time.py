"""An event loop on virtual time, and a discovery service that fails in a chosen way until it recovers."""

import asyncio
import json
import selectors

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

    loop: "VirtualTimeLoop"

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError("no event is scheduled")
        self.loop.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without sockets: waiting advances its clock, and connections go to a `FakeDiscovery`."""

    def __init__(self, services):
        selector = VirtualTimeSelector()
        selector.loop = self
        self.now = 1000.0
        self.services = services
        super().__init__(selector)

    def time(self):
        return self.now

    async def create_connection(self, factory, host, port):
        return await self.services[port].connect(self, factory())


class FakeConnection:
    """The node's end of a connection to a `FakeDiscovery`."""

    def __init__(self, service, loop, protocol):
        self.service, self.loop, self.protocol = service, loop, protocol
        self.closed = False

    def write(self, data):
        if not self.closed:
            self.service.request_received(self, data)

    def abort(self):
        self.close()

    def close(self):
        if not self.closed:
            self.closed = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self):
        return self.closed

    def deliver(self, data):
        """Schedule the delivery of bytes to the node's end."""
        self.loop.call_soon(lambda: None if self.closed else self.protocol.data_received(data))


def list_response(version, full=True, state="draining"):
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

    def __init__(self, fault, recovers_at):
        self.fault = fault
        self.recovers_at = recovers_at
        self.request_count = 0

    def recovered(self, loop):
        """Return whether the fault is over."""
        return loop.time() >= self.recovers_at

    async def connect(self, loop, protocol):
        """Establish a connection, unless the fault prevents it."""
        if not self.recovered(loop):
            if self.fault == "refused":
                raise ConnectionRefusedError
            if self.fault == "never established":
                await asyncio.Event().wait()
        connection = FakeConnection(self, loop, protocol)
        protocol.connection_made(connection)
        return connection, protocol

    def request_received(self, connection, data):
        """Respond to a watch as the fault demands, or with the list once recovered, if the node lacks it."""
        self.request_count += 1
        loop = connection.loop
        if self.recovered(loop):
            if f"since={self.version}&".encode() not in data:
                connection.deliver(list_response(self.version))
            return
        response = list_response(41, full=False, state="ready")
        delay_s = 0.5 * self.request_count % 0.9
        respond = {
            "silent": lambda: None,
            "reset": connection.close,
            "closes without response": connection.close,
            "truncated, then silent": lambda: connection.deliver(response[:-20]),
            "truncated, then closes": lambda: (
                connection.deliver(response[:-20]),
                loop.call_soon(connection.close),
            ),
            "malformed": lambda: connection.deliver(response[:-1] + b"]"),
            "response without list": lambda: connection.deliver(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            ),
            "status 503": lambda: connection.deliver(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
            "byte by byte": lambda: self.deliver_slowly(connection, response),
        }[self.fault]
        loop.call_later(delay_s, respond)

    def deliver_slowly(self, connection, data):
        """Deliver bytes one by one, so slowly that the request times out."""
        if data and not connection.closed:
            connection.deliver(data[:1])
            connection.loop.call_later(0.4, self.deliver_slowly, connection, data[1:])
