"""A request that offers another protocol with `Upgrade` is forwarded under HTTP/1.1, with its whole body."""

from __future__ import annotations

import asyncio

import pytest
from loopback import TIMEOUT_S, Bench, Client, call, run_scenario
from streaming_support import LONG, RawServer, chunks, receive, upload

from balancer.net.downstream.message import ClientRequest
from balancer.net.downstream.read_deadline import ReadDeadline
from balancer.net.downstream.request_parser import RequestParser

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABk\r\n"
SHORT = b"an alert" * 50


def with_offer(request: bytes) -> bytes:
    """Return the request with an offer of HTTP/2 in its head."""
    start, _, rest = request.partition(b"\r\n")
    return start + b"\r\n" + OFFER + rest


def with_length(body: bytes) -> bytes:
    """Return a request that states the length of its body."""
    return upload(body, b"Content-Length: %d" % len(body))


def with_chunks(body: bytes, size: int, trailer: bytes = b"") -> bytes:
    """Return a request whose body is chunked."""
    return upload(chunks(body, size, trailer=trailer), b"Transfer-Encoding: chunked")


FRAMINGS = {
    "short, length": (with_length(SHORT), SHORT),
    "short, chunked": (with_chunks(SHORT, 7, b"X-Call-Id: other\r\n"), SHORT),
    "long, length": (with_length(LONG), LONG),
    "long, chunked": (with_chunks(LONG, 100_000), LONG),
    "empty, length": (with_length(b""), b""),
    "empty, chunked": (with_chunks(b"", 7), b""),
}


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("head_alone", [False, True])
def test_body_after_upgrade_offer_reaches_server(framing: str, head_alone: bool) -> None:
    """Guards against requests that reach a server without the body that followed the offer (review/1)."""
    request, body = FRAMINGS[framing]

    async def scenario() -> None:
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        head, _, rest = with_offer(request).partition(b"\r\n\r\n")
        client.send(head + b"\r\n\r\n")
        if head_alone:
            await asyncio.sleep(0.05)
            assert not (rest and server.bodies)
        client.send(rest)
        head, answer = await receive(client)
        assert head.startswith(b"HTTP/1.1 200 ") and answer == b"ok"
        assert server.bodies == [body]
        assert b"upgrade" not in server.heads[0].lower() and b"http2-settings" not in server.heads[0].lower()
        assert bench.node.memory_budget.held_bytes == 0

    run_scenario(scenario)


def test_requests_before_upgrade_offer_get_their_responses() -> None:
    """Guards against closing the connection before the request with the offer has its response."""

    async def scenario() -> None:
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(with_length(b"first") + with_length(b"second") + with_offer(with_length(b"third")))
        for _ in range(3):
            assert (await receive(client))[0].startswith(b"HTTP/1.1 200 ")
        assert server.bodies == [b"first", b"second", b"third"]
        assert await client.ended()

    run_scenario(scenario)


def test_continue_is_sent_for_upgrade_offer() -> None:
    """Guards against a server that gets the request while its client still waits for `100 Continue`."""

    async def scenario() -> None:
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        request = with_offer(upload(SHORT, b"Expect: 100-continue\r\nContent-Length: %d" % len(SHORT)))
        client.send(request[: -len(SHORT)])
        interim = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
        assert interim == b"HTTP/1.1 100 Continue\r\n\r\n" and not server.heads
        client.send(SHORT)
        assert (await receive(client))[1] == b"ok"
        assert server.bodies == [SHORT]

    run_scenario(scenario)


@pytest.mark.parametrize("request_bytes", [with_length(SHORT), with_chunks(SHORT, 7), with_length(LONG)])
def test_client_that_leaves_in_body_after_upgrade_offer_is_not_served(request_bytes: bytes) -> None:
    """Guards against a partial body that a server takes for a whole one."""

    async def scenario() -> None:
        bench = await Bench(server := RawServer()).start()
        client = await bench.client()
        client.send(with_offer(request_bytes)[:-1])
        await asyncio.sleep(0.05)
        client.writer.close()
        other = await bench.client()
        assert (await other.request(call()))[0] == 200
        assert server.bodies == [b""]  # That of the other client's GET request.

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (with_chunks(SHORT, 7).replace(b"7\r\n", b"no size\r\n", 1), 400),
        (upload(b"", b"Content-Length: 60000000"), 413),
        (with_length(SHORT).replace(b"POST", b"HEAD"), 405),
        (with_chunks(SHORT, 7).replace(b"POST", b"HEAD"), 405),
        (b"CONNECT app:80 HTTP/1.1\r\nHost: app\r\n\r\n", 404),
        (b"CONNECT app:80 HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", 404),
    ],
)
def test_invalid_request_with_upgrade_offer_gets_error_status(request_bytes: bytes, status: int) -> None:
    async def scenario() -> None:
        bench = await Bench(server := RawServer()).start()
        client: Client = await bench.client()
        assert (await client.request(with_offer(request_bytes)))[0] == status
        assert not server.heads

    run_scenario(scenario)


class RecordingReceiver:
    """Records the requests that a parser passes on."""

    def __init__(self) -> None:
        self.reading_stopped = False
        self.messages: list[ClientRequest] = []
        self.statuses: list[int] = []

    def enqueue(self, message: ClientRequest) -> None:
        self.messages.append(message)

    def reject(self, status: int) -> None:
        self.reading_stopped = True
        self.statuses.append(status)

    def on_head_complete(self, message: ClientRequest) -> None:
        pass

    def on_upload_writable(self, message: ClientRequest) -> None:
        pass

    def on_upload_complete(self, message: ClientRequest) -> None:
        pass

    def on_upload_unsent(self, message: ClientRequest) -> None:
        pass


@pytest.mark.parametrize("request_bytes", [with_length(SHORT[:20]), with_chunks(SHORT[:20], 7, b"A: b\r\n")])
def test_upgrade_offer_is_parsed_alike_however_it_is_split(request_bytes: bytes) -> None:
    """Guards against bytes lost between the parser of the head and that of the body."""

    async def scenario() -> None:
        data = with_offer(request_bytes)
        for split in range(1, len(data)):
            receiver = RecordingReceiver()
            parser = RequestParser(receiver, ReadDeadline(asyncio.get_running_loop(), 0.0))
            parser.feed(data[:split])
            assert not receiver.messages
            # Only a partial body has the read deadline of bodies.
            assert parser.is_reading_body() == (split > data.index(b"\r\n\r\n") + 3)
            parser.feed(data[split:])
            assert [(m.method, m.body, m.keep_alive) for m in receiver.messages] == [
                (b"POST", SHORT[:20], False)
            ]
            assert not receiver.statuses and parser.partial_request is None

    run_scenario(scenario)
