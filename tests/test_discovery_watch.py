"""The node's watch on discovery over loopback sockets, and the effects of list changes."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Sequence
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from loopback import (
    SECOND_US,
    Bench,
    Discovery,
    Request,
    Server,
    call,
    free_port,
    run_scenario,
    settings,
    wait_until,
)
from unaccepting_listener import unaccepting_port

from balancer.net.discovery import client as node_discovery
from balancer.net.discovery.server_list import parse_server_list
from balancer.policy.interface import ListKind, ServerEntry


def test_node_is_ready_once_it_has_server_list() -> None:
    async def scenario() -> None:
        bench = await Bench(server := Server(), config={"known": None}).start()
        assert (await bench.request_once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 503
        bench.discovery.send_list(42, True, server.entry("s0"))
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        assert (await bench.request_once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200

    run_scenario(scenario)


def test_watch_is_renewed_at_once_with_current_version() -> None:
    async def scenario() -> None:
        bench = await Bench(server := Server()).start()
        bench.discovery.send_list(43, False, server.entry("s0"))
        await wait_until(lambda: len(bench.discovery.requests) == 2)
        first, second = (r.target for r in bench.discovery.requests)
        assert "since=41&" in first and "since=43&" in second
        assert bench.discovery.connections == 1

    run_scenario(scenario)


@pytest.mark.parametrize("full", [False, True])
def test_no_new_request_goes_to_draining_or_removed_server(full: bool) -> None:
    """Open and pooled connections to a server that drains or is removed must carry no new request."""

    async def scenario() -> None:
        bench = await Bench(draining := Server(), remaining := Server()).start()
        while not draining.requests:
            assert (await bench.request_once(call()))[0] == 200
        if full:
            bench.discovery.send_list(43, True, remaining.entry("s1"))
        else:
            bench.discovery.send_list(43, False, draining.entry("s0", "draining"))
        await wait_until(lambda: draining.closed == draining.connections)
        sent = len(draining.requests)
        for _ in range(10):
            assert (await bench.request_once(call()))[0] == 200
        assert len(draining.requests) == sent

    run_scenario(scenario)


def test_server_draining_during_connect_gets_no_bytes() -> None:
    """A request must not be written if its server starts to drain while the connection is opened."""

    async def scenario() -> None:
        bench = await Bench(draining := Server(), remaining := Server(), config={"known": None}).start()
        bench.discovery.send_list(42, True, draining.entry("s0"))
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        start = bench.node.balancer.request

        def request(*args: Any) -> None:
            start(*args)  # The list change arrives while the connection is being opened.
            body = {"version": 43, "full": True, "servers": [remaining.entry("s1")]}
            watch_call = bench.node.discovery.watch_call
            assert watch_call is not None
            bench.node.discovery.on_watch_response(watch_call, parse_server_list(body))

        cast(Any, bench.node.balancer).request = request
        assert (await bench.request_once(call("invite")))[0] == 200
        assert not draining.requests and len(remaining.requests) == 1

    run_scenario(scenario)


def test_address_change_retires_old_connections() -> None:
    async def scenario() -> None:
        bench = await Bench(old := Server()).start()
        await Server.start(new := Server())
        assert (await bench.request_once(call()))[0] == 200
        bench.discovery.send_list(43, False, new.entry("s0"))
        await wait_until(lambda: old.closed == 1)
        assert (await bench.request_once(call()))[0] == 200
        assert len(new.requests) == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "body",
    [b"{", b"[]", b'{"version":43,"full":true,"servers":[{"id":7}]}', b'{"full":true,"servers":[]}'],
)
def test_invalid_list_from_discovery_keeps_current_list(body: bytes) -> None:
    """An invalid response must neither clear the list nor end the process."""

    async def scenario() -> None:
        bench = await Bench(server := Server()).start()
        bench.discovery.send_response(body)
        await wait_until(lambda: len(bench.discovery.requests) == 2)
        assert (await bench.request_once(call()))[0] == 200 and server.requests

    run_scenario(scenario)


def test_failed_watch_is_reopened() -> None:
    async def scenario() -> None:
        bench = await Bench(Server()).start()
        bench.discovery.send_response(b"", b"503 Busy")
        await wait_until(lambda: len(bench.discovery.requests) == 2)
        bench.discovery.answers.put_nowait(None)  # Discovery closes the connection.
        await wait_until(lambda: len(bench.discovery.requests) == 3)
        assert (await bench.request_once(call()))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize("outage", ["refused", "unaccepting", "silent"])
def test_watch_survives_discovery_outage(outage: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A call that is never answered must time out, or the node would keep an old list."""

    async def scenario() -> None:
        monkeypatch.setattr("balancer.net.discovery.client.MAX_WATCH_MS", 200)
        monkeypatch.setattr("balancer.net.discovery.client.RESPONSE_TIMEOUT_S", 0.2)
        monkeypatch.setattr("balancer.net.discovery.hedged_call.CALL_INTERVAL_S", 0.4)
        rules = settings()["rules"] | {"ask_within": SECOND_US}
        bench = await Bench(old := Server(), rules=rules).start()
        await Server.start(new := Server())
        node = bench.node
        failures = []
        apply_list = node.balancer.server_list

        def server_list(now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
            failures.append(kind == ListKind.FAILED)
            apply_list(now, kind, entries)

        cast(Any, node.balancer).server_list = server_list
        with unaccepting_port() as unaccepting:
            # The fake discovery is silent until it is given a response to send.
            if outage != "silent":
                node.discovery.address = ("127.0.0.1", free_port() if outage == "refused" else unaccepting)
            await wait_until(lambda: sum(failures) >= 3)
            assert (await bench.request_once(call()))[
                0
            ] == 200 and old.requests  # The last list stays in use.
        await Server.start(back := Discovery())
        node.discovery.address = ("127.0.0.1", back.port)
        back.send_list(50, True, new.entry("s1"))
        await wait_until(lambda: not failures[-1])
        previous_count = len(old.requests)
        assert (await bench.request_once(call()))[0] == 200 and len(old.requests) == previous_count
        assert len(new.requests) == 1

    run_scenario(scenario)


def stalling_handler(
    discovery: Discovery, draining: Server, stall: Callable[[int], Awaitable[object]]
) -> Callable[[Request, asyncio.StreamWriter], Awaitable[bytes]]:
    """Return a handler of requests whose responses with version 42 stop in their middle.

    Args:
        discovery: The discovery service that sends the responses.
        draining: The server that drains in version 42.
        stall: Waits in the middle of a response with version 42, which is given by its number from 1.
    """
    numbers = itertools.count(1)

    async def respond(request: Request, writer: asyncio.StreamWriter) -> bytes:
        if "since=42&" in request.target:
            await asyncio.sleep(0.1)
            discovery.send_list(42, False)
        else:
            discovery.send_list(42, False, draining.entry("s0", "draining"))
        data = await discovery.answers.get()
        assert data is not None
        if b"draining" in data:
            writer.write(data[: len(data) // 2])
            data = data[len(data) // 2 :]
            await stall(next(numbers))
        return data

    return respond


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_change_in_stalled_responses_is_learned_over_sockets(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting off every response that stalls longer than a call's timeout (review/3).

    Every response with the change stops in its middle, for twice the timeout.
    """

    async def scenario() -> None:
        monkeypatch.setattr("balancer.net.discovery.client.MAX_WATCH_MS", 200)
        monkeypatch.setattr("balancer.net.discovery.client.RESPONSE_TIMEOUT_S", 0.2)
        bench = Bench(draining := Server(), remaining := Server(), discovery=mode)
        discovery = bench.discovery

        discovery.handle = stalling_handler(discovery, draining, lambda number: asyncio.sleep(0.8))
        await bench.start()
        await wait_until(lambda: bench.node.discovery.version == 42)
        assert discovery.connections == 2
        await wait_until(lambda: discovery.closed == 1)  # The call that is no longer needed.
        for _ in range(10):
            assert (await bench.request_once(call()))[0] == 200
        assert len(remaining.requests) == 10
        bench.node.discovery.close()

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_change_is_learned_beside_call_that_stalls_for_good(
    mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against calls that are given up one after the other while the first one is dead (review/6).

    The first response with the change stops in its middle for good, and each later one for 1.5 s.
    """

    async def scenario() -> None:
        monkeypatch.setattr("balancer.net.discovery.client.MAX_WATCH_MS", 200)
        monkeypatch.setattr("balancer.net.discovery.client.RESPONSE_TIMEOUT_S", 0.2)
        bench = Bench(draining := Server(), remaining := Server(), discovery=mode)
        discovery = bench.discovery

        async def stall(number: int) -> None:
            await (asyncio.Event().wait() if number == 1 else asyncio.sleep(1.5))

        discovery.handle = stalling_handler(discovery, draining, stall)
        await bench.start()
        await wait_until(lambda: bench.node.discovery.version == 42)
        watch_call = bench.node.discovery.watch_call
        assert watch_call is not None and len(watch_call.calls) == 1  # The dead call is no longer needed.
        for _ in range(10):
            assert (await bench.request_once(call()))[0] == 200
        assert len(remaining.requests) == 10
        bench.node.discovery.close()

    run_scenario(scenario)


def test_watch_waits_are_short_and_jittered_per_node(
    monkeypatch: pytest.MonkeyPatch, production_max_watch_ms: int
) -> None:
    """Watches must be short, or an unresponsive one would delay a list change by most of a minute.

    The jitter keeps the watches of several nodes from being renewed in step.
    """
    monkeypatch.setattr(node_discovery, "MAX_WATCH_MS", production_max_watch_ms)

    def waits(seed: int) -> list[int]:
        calls: list[tuple[int, float]] = []
        unused: Any = None
        discovery = node_discovery.DiscoveryClient(unused, ("", 0), 41, unused, unused, Random(seed))
        call: Any = SimpleNamespace(get=lambda path, time: calls.append((int(path.rpartition("=")[2]), time)))
        for _ in range(5):
            discovery.send_watch(call)
        # A change counts as reported 2 s after the wait, so the watch must fail well before that.
        assert all(500 <= wait <= 1000 and wait / 1000 < time < wait / 1000 + 1.5 for wait, time in calls)
        return [wait for wait, _ in calls]

    assert len({tuple(waits(seed)) for seed in range(40)}) == 40
    assert waits(7) == waits(7)
    assert len(set(waits(7))) > 1


def test_node_watches_server_list_itself_in_push_mode() -> None:
    async def scenario() -> None:
        bench = await Bench(server := Server(), discovery="push", config={"known": None}).start()
        bench.discovery.send_response(b"", b"503 Busy")
        bench.discovery.send_list(42, True, server.entry("s0"))
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        assert (await bench.request_once(call()))[0] == 200

    run_scenario(scenario)
