"""Tests of the emulator's HTTP client: unsolicited bytes and malformed responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from workbench.emulator.http import ClientConnection, ConnectionPool, Request, Response, ServerConnection

EARLY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n"


class RecordingTransport(asyncio.Transport):
    """Records the bytes written to it; `abort` reports the connection as lost."""

    def __init__(self, protocol: asyncio.BaseProtocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.written = b""
        self.aborted = False

    def write(self, data: Any) -> None:
        self.written += bytes(data)

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        if not self.aborted:
            self.aborted = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)


async def send_over_early_bytes(transports: list[RecordingTransport], responses: list[Response]) -> None:
    """Send a request on a new connection whose server responds before the request is written."""
    loop = asyncio.get_running_loop()

    async def create_connection(factory: Callable[[], ClientConnection], host: str, port: int) -> None:
        protocol = factory()
        transports.append(RecordingTransport(protocol))
        protocol.connection_made(transports[-1])
        protocol.data_received(EARLY_RESPONSE)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(loop, "create_connection", create_connection)
        pool = ConnectionPool(loop, "127.0.0.1", 1)
        pool.send(REQUEST, responses.append)
        for _ in range(5):
            await asyncio.sleep(0)
        assert pool.idle_connections == []
        pool.close()


def test_client_response_before_request_aborts_connection() -> None:
    """The pool aborts a connection whose server sends a response before it receives a request.

    Such data is no valid response (RFC 9112, 9.2). A client that accepted it would crash, or take it for the
    response to a request that it has not sent.
    """
    transports: list[RecordingTransport] = []
    responses: list[Response] = []
    asyncio.run(send_over_early_bytes(transports, responses))
    assert [transport.aborted for transport in transports] == [True]
    assert [(response.status, response.request_sent) for response in responses] == [(0, False)]


@pytest.mark.parametrize(
    "malformed",
    [b"not HTTP at all\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: ten\r\n\r\n"],
    ids=["status line", "content length"],
)
def test_client_malformed_response_fails_request_immediately(malformed: bytes) -> None:
    """A malformed response aborts the connection and fails its request.

    Otherwise the request would end only at its time-out, and load would count no answer instead of a reset.
    """
    responses: list[Response] = []

    async def receive_malformed_response() -> RecordingTransport:
        connection = ClientConnection([])
        transport = RecordingTransport(connection)
        connection.connection_made(transport)
        connection.send(REQUEST, responses.append)
        connection.data_received(malformed)
        await asyncio.sleep(0)
        return transport

    assert asyncio.run(receive_malformed_response()).aborted
    assert [(response.status, response.request_sent) for response in responses] == [(0, True)]


def test_client_bytes_after_response_abort_without_new_report() -> None:
    """Malformed bytes after a response abort the connection, but report the request only once.

    Otherwise a request that has its response would be reported again as failed.
    """
    responses: list[Response] = []
    idle_connections: list[ClientConnection] = []

    async def receive_response_with_trailing_bytes() -> RecordingTransport:
        connection = ClientConnection(idle_connections)
        transport = RecordingTransport(connection)
        connection.connection_made(transport)
        connection.send(REQUEST, responses.append)
        connection.data_received(EARLY_RESPONSE + b"not HTTP at all\r\n\r\n")
        await asyncio.sleep(0)
        return transport

    assert asyncio.run(receive_response_with_trailing_bytes()).aborted
    assert [response.status for response in responses] == [503]
    assert idle_connections == []


class RecordingServerConnection(ServerConnection):
    """Records the requests that a server handles."""

    def __init__(self) -> None:
        super().__init__()
        self.requests: list[Request] = []

    def on_request(self, request: Request) -> None:
        self.requests.append(request)


@pytest.mark.parametrize("framing", [b"Content-Length: 4\r\n\r\nbody", b"Transfer-Encoding: chunked\r\n\r\n"])
def test_server_does_not_handle_upgrade_offer_without_its_body(framing: bytes) -> None:
    """Guards against an emulated server that handles a request whose body it has not received."""

    async def scenario() -> None:
        connection = RecordingServerConnection()
        transport = RecordingTransport(connection)
        connection.connection_made(transport)
        connection.feed(b"POST / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n" + framing)
        assert transport.aborted and not connection.requests

    asyncio.run(scenario())
