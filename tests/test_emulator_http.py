"""The emulator's HTTP client: bytes that no request asked for, and malformed responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from workbench.emulator.http import ClientConnection, ConnectionPool, Response

EARLY_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: node\r\n\r\n"


class RecordingTransport(asyncio.Transport):
    """Keeps what is written to it; `abort` ends the connection at once."""

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
    """Sends a request on a new connection whose server speaks before the request is written."""
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
        assert pool.idle == []
        pool.close()


def test_a_response_that_comes_before_the_request_ends_the_connection() -> None:
    """Failure prevented: the client breaks on it, or takes it for the answer to a request it never sent.

    RFC 9112, 9.2: data on a connection with no outstanding request is no valid response.
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
def test_a_malformed_response_fails_its_request_at_once(malformed: bytes) -> None:
    """Failure prevented: the request ends by its time-out alone, and load counts no answer for a reset."""
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


def test_bytes_after_a_complete_response_end_the_connection_and_report_nothing_more() -> None:
    """Failure prevented: a request that has its response is reported a second time, as failed."""
    responses: list[Response] = []
    idle: list[ClientConnection] = []

    async def receive_response_and_more() -> RecordingTransport:
        connection = ClientConnection(idle)
        transport = RecordingTransport(connection)
        connection.connection_made(transport)
        connection.send(REQUEST, responses.append)
        connection.data_received(EARLY_RESPONSE + b"not HTTP at all\r\n\r\n")
        await asyncio.sleep(0)
        return transport

    assert asyncio.run(receive_response_and_more()).aborted
    assert [response.status for response in responses] == [503]
    assert idle == []
