"""Delay until a node has a list change, after failures of discovery and in each HTTP framing."""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import Any, cast

import pytest
from loopback import Bench, Request, Server, run_scenario, wait_until
from virtual_time import (
    FAULTS,
    REQUEST_FAULTS,
    Connected,
    FakeConnection,
    FakeDiscovery,
    RestartedDiscovery,
    VirtualTimeLoop,
    list_response,
    start_node,
)

from balancer.net.node import Node

# The time limit for a change, from when discovery has it and can be reached.
MAX_DELAY_S = 6.0
# The time limit for a change at a new address, from the SIGHUP.
MAX_DELAY_AFTER_RELOAD_S = 4.0


def time_of_version(loop: VirtualTimeLoop, node: Node, version: int, limit: float) -> float:
    """Return the loop time at which the node has this version and serves; fail at the limit."""

    async def wait_for_version() -> float:
        while node.discovery.version != version or not node.lifecycle.is_serving:
            assert loop.time() < limit, "the node did not get the version in time"
            await asyncio.sleep(0.02)
        return loop.time()

    return loop.run_until_complete(wait_for_version())


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_list_change_arrives_in_time_after_any_failure(fault: str, mode: str, production_watch: None) -> None:
    """Discovery recovers at random times, up to 40 s after the first failure."""
    rng = Random(f"{fault} {mode}")
    max_delay_s = 0.0
    for _ in range(40):
        recovers_at = 1000 + rng.choice([2, 8, 40]) * rng.random()
        loop = VirtualTimeLoop({1: FakeDiscovery(fault, recovers_at)})
        node = start_node(loop, mode)
        max_delay_s = max(max_delay_s, time_of_version(loop, node, 42, recovers_at + 60) - recovers_at)
        loop.close()
    assert max_delay_s <= MAX_DELAY_S


class MixedFaultsDiscovery(FakeDiscovery):
    """Discovery with a random fault for each connection and each request."""

    def __init__(self, seed: int, recovers_at: float) -> None:
        super().__init__("none", recovers_at)
        self.random = Random(seed)

    async def connect(self, loop: VirtualTimeLoop, protocol: Any) -> Connected:
        self.fault = self.random.choice(FAULTS)
        return await super().connect(loop, protocol)

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        self.fault = self.random.choice(REQUEST_FAULTS)
        super().request_received(connection, data)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_list_change_arrives_in_time_after_mixed_failures(mode: str, production_watch: None) -> None:
    for seed in range(100):
        recovers_at = 1000 + 20 * Random(seed).random()
        loop = VirtualTimeLoop({1: MixedFaultsDiscovery(seed, recovers_at)})
        node = start_node(loop, mode)
        assert time_of_version(loop, node, 42, recovers_at + 60) - recovers_at <= MAX_DELAY_S
        loop.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_first_list_arrives_in_time_after_discovery_recovers(
    fault: str, mode: str, production_watch: None
) -> None:
    """A process that starts during an outage has 6 s to get its first list; nine in ten have 10 s."""
    for seed in range(20):
        recovers_at = 1000 + 8 * Random(seed).random()
        loop = VirtualTimeLoop({1: FakeDiscovery(fault, recovers_at)})
        node = start_node(loop, mode, known=False)
        assert not node.lifecycle.is_serving
        assert time_of_version(loop, node, 42, recovers_at + 60) - recovers_at <= MAX_DELAY_S
        loop.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_new_discovery_address_is_used_without_backoff(fault: str, mode: str, production_watch: None) -> None:
    """After SIGHUP the time limit is shorter, and the backoff of the old address must not apply."""
    for seed in range(20):
        loop = VirtualTimeLoop({1: FakeDiscovery(fault, 2000), 2: FakeDiscovery("refused", 0)})
        node = start_node(loop, mode)
        loop.run_until_complete(asyncio.sleep(8 * Random(seed).random()))
        reloaded_at = loop.time()
        node.discovery.change_address(("10.0.0.9", 2))
        assert time_of_version(loop, node, 42, reloaded_at + 60) - reloaded_at <= MAX_DELAY_AFTER_RELOAD_S
        loop.close()


class SilentRestartedDiscovery(RestartedDiscovery):
    """Discovery that has restarted its versions and never answers the first full fetch."""

    def __init__(self) -> None:
        super().__init__("none", 0)
        self.fetches = 0

    def full_list_requested(self, connection: FakeConnection) -> None:
        """Respond to all requests but the first one."""
        self.fetches += 1
        if self.fetches > 1:
            connection.deliver(list_response(2))


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_silent_full_list_fetch_is_retried_in_time(mode: str, production_watch: None) -> None:
    """The timeout of a full fetch must leave time for a second one within the delay limit."""
    loop = VirtualTimeLoop({1: SilentRestartedDiscovery()})
    node = start_node(loop, mode)
    started_at = loop.time()
    assert time_of_version(loop, node, 2, started_at + 60) - started_at <= MAX_DELAY_S
    loop.close()


Piece = bytes | str  # Bytes to send, or "end" or "reset" of the connection.
FULL_LIST = list_response(42)
LIST_BODY = FULL_LIST.partition(b"\r\n\r\n")[2]
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%b\r\n0\r\nX-Sum: 1\r\n\r\n"
FRAMINGS: dict[str, list[Piece]] = {
    "length": [FULL_LIST],
    "chunks and trailer": [CHUNKED % (len(LIST_BODY), LIST_BODY)],
    "interim response in one segment": [INTERIM + FULL_LIST],
    "interim response in its own segment": [INTERIM, FULL_LIST],
    "interim responses, until close": [INTERIM, INTERIM, b"HTTP/1.1 200 OK\r\n\r\n" + LIST_BODY, "end"],
    "until close": [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", LIST_BODY, "end"],
    "HTTP/1.0, until close": [b"HTTP/1.0 200 OK\r\n\r\n" + LIST_BODY, "end"],
    "length, then close": [
        b"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST_BODY), LIST_BODY),
        "end",
    ],
}


class ScriptedDiscovery(FakeDiscovery):
    """Discovery that sends the given pieces, in which "end" and "reset" close the connection."""

    def __init__(self, pieces: list[Piece]) -> None:
        super().__init__("none", 0)
        self.pieces = pieces

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        if b"since=42&" in data:
            return
        for piece in self.pieces:
            if isinstance(piece, bytes):
                connection.deliver(piece)
            else:
                connection.loop.call_soon(self.end_connection, connection, piece)

    def end_connection(self, connection: FakeConnection, ending: str) -> None:
        if not connection.closed and ending == "end":
            connection.protocol.eof_received()
        connection.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("delivery", ["at once", "byte by byte"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_list_is_accepted_in_every_http_framing(
    framing: str, delivery: str, mode: str, production_watch: None
) -> None:
    pieces = FRAMINGS[framing]
    if delivery == "byte by byte":
        pieces = [
            p[i : i + 1] if p != "end" else p for p in pieces for i in range(len(p) if p != "end" else 1)
        ]
    loop = VirtualTimeLoop({1: ScriptedDiscovery(pieces)})
    node = start_node(loop, mode)
    started_at = loop.time()
    assert time_of_version(loop, node, 42, started_at + 60) - started_at <= 1.0
    loop.close()


@pytest.mark.parametrize("body", [LIST_BODY, LIST_BODY[:-1]], ids=["complete", "truncated"])
@pytest.mark.parametrize("length", [b"", b"Content-Length: 4000\r\n"], ids=["no length", "longer length"])
@pytest.mark.parametrize("ending", ["end", "reset"])
def test_incomplete_list_response_is_rejected(
    ending: str, length: bytes, body: bytes, production_watch: None
) -> None:
    """A list is accepted only if the connection is closed, not reset, after the complete response."""
    loop = VirtualTimeLoop({1: ScriptedDiscovery([b"HTTP/1.1 200 OK\r\n%b\r\n" % length, body, ending])})
    node = start_node(loop, "push")
    loop.run_until_complete(asyncio.sleep(5))
    is_complete = ending == "end" and not length and body == LIST_BODY
    assert (node.discovery.version == 42) == is_complete
    loop.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_list_without_length_is_accepted_over_socket(mode: str) -> None:
    """The watch continues on a new connection after each such response, with a real event loop."""

    async def scenario() -> None:
        bench = Bench(server := Server(), discovery=mode)

        async def respond_until_close(request: Request, writer: asyncio.StreamWriter) -> bytes | None:
            version = 41 + len(bench.discovery.requests)
            body = json.dumps({"version": version, "full": False, "servers": [server.entry("s0")]}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            raise ConnectionResetError  # Makes the fake discovery close the connection after the write.

        bench.discovery.handle = respond_until_close
        await bench.start()
        failure_lines = []
        cast(Any, bench.node.server_registry.log).line = lambda text: (
            failure_lines.append(text) if "failed" in text else None
        )
        await wait_until(lambda: bench.node.discovery.version >= 60)
        assert not failure_lines
        bench.node.discovery.close()

    run_scenario(scenario)
