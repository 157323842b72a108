"""Tests of the open-loop load generator: latency from a request's due time, and counted outcomes."""

from __future__ import annotations

import asyncio
import time
from typing import cast

import pytest

from workbench.emulator.http import ClientConnection, ConnectionPool, Response, ResponseCallback
from workbench.emulator.load import Load, RequestClass, outcome_name

STALL_S = 0.4
BUDGET_MS = 1000


class AnsweringPool:
    """Responds to each request immediately, and keeps the last request."""

    def __init__(self) -> None:
        self.data = b""

    def send(self, data: bytes, on_response: ResponseCallback) -> ClientConnection:
        self.data = data
        on_response(Response(200, {}, b"", True))
        return ClientConnection([])


def test_load_late_request_latency_counts_from_due_time() -> None:
    """The latency and the remaining budget of a request that is sent late count from its due time.

    Otherwise a stall of the node or the sender would hide the requests that it delayed.
    """
    load = Load("http://127.0.0.1:1", 10, 1, [RequestClass("a", budget_ms=BUDGET_MS)], 1)
    pool, loop = AnsweringPool(), asyncio.new_event_loop()
    load.send(loop, cast(ConnectionPool, pool), load.classes[0], time.monotonic() - STALL_S)
    loop.close()
    remaining_ms = int(pool.data.split(b"X-Budget-Ms: ")[1].split(b"\r\n")[0])
    assert remaining_ms <= 600
    assert load.results["a"].latency.get_min_value() >= 399_000
    assert load.results["a"].outcomes == {"served": 1} and load.in_flight == 0


class SilentPool:
    """Never responds, and uses one connection for all requests."""

    def __init__(self) -> None:
        self.connection = ClientConnection([])

    def send(self, data: bytes, on_response: ResponseCallback) -> ClientConnection:
        self.connection.on_response = on_response
        return self.connection


def test_load_request_without_response_is_counted_once() -> None:
    """A request without a response is cancelled at its time-out and counted once.

    Otherwise the load would never end with a node that does not respond.
    """

    async def send_and_wait() -> Load:
        load = Load("http://127.0.0.1:1", 10, 1, [RequestClass("a", budget_ms=1)], 1)
        pool = SilentPool()
        loop = asyncio.get_running_loop()
        load.send(loop, cast(ConnectionPool, pool), load.classes[0], time.monotonic())
        while load.in_flight:
            await asyncio.sleep(0.01)
        assert pool.connection.on_response is None
        return load

    load = asyncio.run(asyncio.wait_for(send_and_wait(), 10))
    assert load.results["a"].outcomes == {"no answer": 1} and load.results["a"].sent == 1


@pytest.mark.parametrize(
    ("status", "request_sent", "outcome"),
    [
        (0, False, "unreachable"),
        (0, True, "reset"),
        (200, True, "served"),
        (429, True, "refused"),
        (500, True, "failed 500"),
    ],
)
def test_outcome_name_distinguishes_outcomes(status: int, request_sent: bool, outcome: str) -> None:
    assert outcome_name(Response(status, {}, b"", request_sent)) == outcome
