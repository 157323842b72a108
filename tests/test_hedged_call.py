"""The calls to discovery beside one whose response has stalled: when they are made, and when no more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import pytest
from loopback import node_config, settings
from virtual_time import Connected, FakeConnection, FakeDiscovery, VirtualTimeLoop

from balancer.net.config import BASE_RESERVED_DESCRIPTORS, read
from balancer.net.discovery.hedged_call import (
    CALL_INTERVAL_S,
    MAX_CALLS_IN_FLIGHT,
    MAX_HELD_BYTES,
    MAX_OLDEST_CALL_S,
    NEXT_CALL_DELAY_S,
    HedgedCall,
)
from balancer.net.process import management
from balancer.net.process.log import Log

ADDRESS = ("10.0.0.9", 1)
TIMEOUT_S = 1.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def decode_list(body: bytes) -> bytes | None:
    """Return the only body that counts as a list, and None for another one."""
    return body if body == b"list" else None


def call_without_reports(loop: VirtualTimeLoop) -> HedgedCall[bytes]:
    """Return a call whose responses, failures and silence go nowhere."""
    return HedgedCall(loop, lambda: ADDRESS, lambda *_: None, decode_list, Log("n0", 0), lambda: None)


class ManualDiscovery(FakeDiscovery):
    """Discovery that begins to respond to its first request, and may refuse the second connection.

    Args:
        responds: Whether it begins to respond to the first request; otherwise it is silent.
        refuses: Whether it refuses the second connection.
    """

    def __init__(self, responds: bool = True, refuses: bool = True) -> None:
        super().__init__("none", 0)
        self.responds = responds
        self.refuses = refuses
        self.attempts = 0
        self.connections: list[FakeConnection] = []

    async def connect(self, loop: VirtualTimeLoop, protocol: Any) -> Connected:
        """Establish a connection, unless it is the second one and is refused."""
        self.attempts += 1
        if self.attempts == 2 and self.refuses:
            raise ConnectionRefusedError
        return await super().connect(loop, protocol)

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        """Record the connection of a request, and begin to respond to the first one."""
        self.connections.append(connection)
        if self.responds and len(self.connections) == 1:
            connection.deliver(HEAD)


class StalledCall:
    """A call whose first response has stalled and whose second one has failed, so that a third one is due."""

    def __init__(self) -> None:
        self.discovery = ManualDiscovery()
        self.loop = VirtualTimeLoop({1: self.discovery})
        self.responses: list[bytes | None] = []
        self.call = HedgedCall(
            self.loop,
            lambda: ADDRESS,
            lambda call, body: self.responses.append(body),
            decode_list,
            Log("n0", 0),
            lambda: None,
        )
        self.call.get("/v1/endpoints", TIMEOUT_S)
        self.run(TIMEOUT_S + NEXT_CALL_DELAY_S / 2)
        assert self.discovery.attempts == 2 and not self.responses

    def run(self, seconds: float) -> None:
        """Run the loop for this time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def deliver(self, connection: int, data: bytes) -> None:
        """Deliver bytes on a connection, counted from 0."""
        self.discovery.connections[connection].deliver(data)
        self.run(0)
        self.run(0)


@pytest.fixture
def stalled() -> Any:
    """Return a call that has stalled, on a loop that is closed after the test."""
    call = StalledCall()
    yield call
    call.loop.close()


def close_connection(stalled: StalledCall) -> None:
    stalled.discovery.connections[0].close()


def deliver_invalid_body(stalled: StalledCall) -> None:
    stalled.deliver(0, b"none")


@pytest.mark.parametrize("fail", [close_connection, deliver_invalid_body])
def test_due_call_is_made_after_stalled_call_has_failed(
    stalled: StalledCall, fail: Callable[[StalledCall], None]
) -> None:
    """Guards against a failure that is reported, or a call that is left out, while another call is due."""
    fail(stalled)
    stalled.run(NEXT_CALL_DELAY_S)
    assert stalled.discovery.attempts == 3 and not stalled.responses
    stalled.deliver(1, HEAD + b"list")
    assert stalled.responses == [b"list"]


def test_due_call_is_not_made_after_response(stalled: StalledCall) -> None:
    """Guards against a call that nobody needs any more."""
    stalled.deliver(0, b"list")
    assert stalled.responses == [b"list"]
    stalled.run(10)
    assert stalled.discovery.attempts == 2 and len(stalled.responses) == 1


def test_due_call_is_not_made_after_end(stalled: StalledCall) -> None:
    """Guards against a call to an address that is no longer in use."""
    stalled.call.end()
    stalled.run(10)
    assert stalled.discovery.attempts == 2 and not stalled.responses
    assert stalled.discovery.connections[0].closed


def test_next_request_after_response_uses_its_connection(stalled: StalledCall) -> None:
    """Guards against a watch that opens a connection for each call."""
    stalled.run(NEXT_CALL_DELAY_S)
    stalled.deliver(1, HEAD + b"list")
    assert stalled.discovery.connections[0].closed
    stalled.call.get("/v1/endpoints", TIMEOUT_S)
    assert stalled.discovery.connections[2] is stalled.discovery.connections[1]
    assert stalled.call.next_call_delay == NEXT_CALL_DELAY_S  # A back-off ends with its request.
    stalled.deliver(2, HEAD + b"list")
    assert stalled.responses == [b"list", b"list"] and stalled.discovery.attempts == 3


@pytest.mark.parametrize("has_served", [False, True])
def test_silent_discovery_is_noticed(has_served: bool) -> None:
    """Guards against a silent discovery service that is waited for like one that has begun to respond.

    A second call is made at the timeout of the first one and others at the interval, of which each reports
    the silence. The second request on a connection is as silent as the first one, although bytes have come
    before it. No call is given up, and whichever is answered brings the list.
    """
    discovery = ManualDiscovery(responds=has_served, refuses=False)
    loop = VirtualTimeLoop({1: discovery})
    responses: list[bytes | None] = []
    silences: list[float] = []
    call = HedgedCall(
        loop,
        lambda: ADDRESS,
        lambda _, body: responses.append(body),
        decode_list,
        Log("n0", 0),
        lambda: silences.append(loop.time()),
    )
    call.get("/v1/endpoints", TIMEOUT_S)
    if has_served:
        loop.run_until_complete(asyncio.sleep(0.1))
        discovery.connections[0].deliver(b"list")
        loop.run_until_complete(asyncio.sleep(0.1))
        call.get("/v1/endpoints", TIMEOUT_S)
        assert responses.pop() == b"list"
    requested_at = loop.time()
    loop.run_until_complete(asyncio.sleep(TIMEOUT_S - 0.01))
    assert discovery.attempts == 1
    loop.run_until_complete(asyncio.sleep(0.02))
    assert discovery.attempts == 2 and not silences
    loop.run_until_complete(asyncio.sleep(2 * CALL_INTERVAL_S))
    assert discovery.attempts == 4 and not responses
    assert [time - requested_at for time in silences] == pytest.approx([3.0, 5.0])
    assert not any(connection.closed for connection in discovery.connections)
    discovery.connections[-2].deliver(HEAD + b"list")
    loop.run_until_complete(asyncio.sleep(0.01))
    assert responses == [b"list"]
    assert sum(not connection.closed for connection in set(discovery.connections)) == 1
    loop.close()


class BusyDiscovery(ManualDiscovery):
    """Discovery that begins to respond to its first request, and answers all others with 503."""

    def request_received(self, connection: FakeConnection, data: bytes) -> None:
        """Begin the first response, or send a failure."""
        super().request_received(connection, data)
        if len(self.connections) > 1:
            connection.deliver(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


def test_second_calls_that_fail_at_once_back_off() -> None:
    """Guards against a late response during which a crowded discovery service gets calls without a pause."""
    discovery = BusyDiscovery()
    loop = VirtualTimeLoop({1: discovery})
    call = call_without_reports(loop)
    call.get("/v1/endpoints", TIMEOUT_S)
    loop.run_until_complete(asyncio.sleep(TIMEOUT_S + 10))
    # At 0.0, 0.25, 0.75 and 1.75 s after the timeout, and then each second.
    assert discovery.attempts == 1 + 12
    call.end()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


class SilentDiscovery(ManualDiscovery):
    """Discovery that responds to no request by itself, and refuses no connection."""

    def __init__(self) -> None:
        super().__init__(responds=False, refuses=False)

    def open_numbers(self) -> list[int]:
        """Return the numbers of the connections that are open, counted from 0."""
        return [number for number, connection in enumerate(self.connections) if not connection.closed]


def test_calls_in_flight_are_bounded() -> None:
    """Guards against a connection for each call to a discovery service that never responds.

    The second oldest call makes room, and the oldest one once it has had its time.
    """
    discovery = SilentDiscovery()
    loop = VirtualTimeLoop({1: discovery})
    call = call_without_reports(loop)
    call.get("/v1/endpoints", TIMEOUT_S)
    loop.run_until_complete(asyncio.sleep(TIMEOUT_S + CALL_INTERVAL_S * (MAX_CALLS_IN_FLIGHT - 2) + 0.1))
    assert discovery.open_numbers() == [0, 1, 2, 3, 4, 5]
    loop.run_until_complete(asyncio.sleep(CALL_INTERVAL_S))
    assert discovery.open_numbers() == [0, 2, 3, 4, 5, 6]
    while loop.time() < 1000 + MAX_OLDEST_CALL_S:
        assert len(discovery.open_numbers()) == MAX_CALLS_IN_FLIGHT and discovery.open_numbers()[0] == 0
        loop.run_until_complete(asyncio.sleep(CALL_INTERVAL_S))
    loop.run_until_complete(asyncio.sleep(CALL_INTERVAL_S))
    assert len(discovery.open_numbers()) == MAX_CALLS_IN_FLIGHT and discovery.open_numbers()[0] != 0
    call.end()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


def test_bytes_of_incomplete_responses_are_bounded() -> None:
    """Guards against many long responses that stall together and fill the memory.

    The calls that have received nothing for longest make room for the one that goes on.
    """
    discovery = SilentDiscovery()
    loop = VirtualTimeLoop({1: discovery})
    call = call_without_reports(loop)
    call.get("/v1/endpoints", TIMEOUT_S)
    loop.run_until_complete(asyncio.sleep(TIMEOUT_S + 2 * CALL_INTERVAL_S + 0.1))
    assert discovery.open_numbers() == [0, 1, 2, 3]
    part = HEAD.replace(b" 4", b" %d" % MAX_HELD_BYTES) + bytes(MAX_HELD_BYTES // 3)
    for number in (1, 3, 0):
        discovery.connections[number].deliver(part)
        loop.run_until_complete(asyncio.sleep(0.1))
    assert sum(each.received_bytes for each in call.calls) <= MAX_HELD_BYTES
    assert discovery.open_numbers() == [0, 3]
    call.end()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@pytest.mark.parametrize("has_management", [False, True])
def test_each_call_in_flight_has_a_descriptor(has_management: bool) -> None:
    """Guards against calls to discovery that take the descriptors of clients, where 256 are promised."""
    table = node_config(1, settings()) | {"limits": {"sockets": 256}}
    config = read(table | {"management": "127.0.0.1:1"} if has_management else table)
    others = BASE_RESERVED_DESCRIPTORS - 4 + has_management * management.RESERVED_DESCRIPTORS
    assert config.max_connections() + 2 * MAX_CALLS_IN_FLIGHT + others <= 256


def test_failure_of_late_call_is_not_followed_at_once() -> None:
    """Guards against a call in the very moment in which the only one has failed after its interval."""
    discovery = SilentDiscovery()
    loop = VirtualTimeLoop({1: discovery})
    responses: list[bytes | None] = []
    call = HedgedCall(
        loop,
        lambda: ADDRESS,
        lambda _, body: responses.append(body),
        decode_list,
        Log("n0", 0),
        lambda: None,
    )
    call.get("/v1/endpoints", 10.0)
    loop.run_until_complete(asyncio.sleep(CALL_INTERVAL_S + 1))
    discovery.connections[0].close()
    loop.run_until_complete(asyncio.sleep(0.04))
    assert responses == [None] and discovery.attempts == 1
    loop.run_until_complete(asyncio.sleep(0.02))
    assert discovery.attempts == 2
    call.end()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
