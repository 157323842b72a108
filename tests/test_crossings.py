"""Races between two events on loopback sockets, in both orders; docs/crossings.md lists these tests."""

import asyncio
import json
import socket
from types import SimpleNamespace

import pytest
from loopback import (
    OK,
    SECOND_US,
    Bench,
    Discovery,
    Server,
    call,
    record_outcomes,
    respond_after,
    respond_with,
    run_scenario,
    settings,
    wait_until,
)

from balancer.net import node as node_module
from balancer.net.discovery.server_list import parse_server_list
from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.upstream.body_streaming import MAX_BUFFERED_BYTES
from balancer.policy.interface import Outcome

LONG_BODY = bytes(4 * MAX_BUFFERED_BYTES)
STREAMED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LONG_BODY), LONG_BODY)


# ---- Connections to servers ----------------------------------------------------------------------


def test_client_pause_on_last_piece_leaves_connection_reading(monkeypatch):
    """A connection must not return to the pool with reading paused, or it would receive no response."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(STREAMED_RESPONSE))).start()
        written_bytes = 0
        write_stream = ClientConnection.write_stream

        def pause_at_last_piece(client_connection, data):
            nonlocal written_bytes
            write_stream(client_connection, data)
            written_bytes += len(data)
            if written_bytes == len(LONG_BODY):
                client_connection.pause_writing()  # The transport does so within this write.

        monkeypatch.setattr(ClientConnection, "write_stream", pause_at_last_piece)
        client = await bench.client()
        assert (await client.request(call()))[2] == LONG_BODY
        (client_connection,) = bench.node.client_connections.connections
        client_connection.resume_writing()
        server.handle = respond_with(OK)
        assert (await client.request(call("invite", budget=5000)))[0] == 200
        assert server.connections == 1

    run_scenario(scenario)


@pytest.mark.parametrize("count", [2, 7])
def test_simultaneous_exchanges_share_remaining_capacity(count):
    """Exchanges that start in one loop iteration must not all open a connection for one free descriptor."""

    async def scenario():
        release = asyncio.Event()
        bench = await Bench(Server(respond_after(release)), Server(respond_after(release))).start()
        pool = bench.node.pool
        outcomes = record_outcomes(bench)
        pool.descriptor_budget.resize(40, 40)
        pool.descriptor_budget.servers += pool.descriptor_budget.max_servers() - 1  # One descriptor is left.
        clients = [await bench.client() for _ in range(count)]
        await wait_until(
            lambda: len([c for c in bench.node.client_connections.connections if c.transport]) == count
        )
        for client_connection in list(bench.node.client_connections.connections):
            data = call("view")
            bench.node.memory_budget.read_buffer[: len(data)] = data
            client_connection.buffer_updated(len(data))
        assert pool.descriptor_budget.servers <= pool.descriptor_budget.max_servers()
        release.set()
        for client in clients:
            await client.receive()
        assert Outcome.NOT_SENT in outcomes and pool.opened_count == 1

    run_scenario(scenario)


# ---- Lists ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("length", [0, 1, 40, -1], ids=["empty", "one byte", "partial", "last byte missing"])
@pytest.mark.parametrize("signals", [1, 2])
def test_partially_written_config_is_reread_until_complete(tmp_path, length, signals, capsys):
    """An incomplete file must be read again without a second signal.

    The node would otherwise keep using a discovery address that is no longer in service.
    """

    async def scenario():
        bench = await Bench(Server()).start()
        await (second := Discovery()).start()
        file = tmp_path / "config.json"
        complete = json.dumps({"name": "n0", "discovery": f"127.0.0.1:{second.port}"})
        file.write_text(complete[:length])
        for _ in range(signals):
            bench.node.reload({"LB_CONFIG": str(file)})
        assert bench.node.reload_timer is not None and not second.connections
        file.write_text(complete)
        bench.node.discovery.watch(True)
        await wait_until(lambda: bool(second.requests))
        assert bench.node.reload_timer is None

    run_scenario(scenario)
    lines = [line for line in capsys.readouterr().err.splitlines() if " reload" in line]
    assert len(lines) == signals + 1 and "will be read again" in lines[0]


def test_unreadable_config_reload_is_abandoned_and_logged(tmp_path, monkeypatch, capsys):
    async def scenario():
        monkeypatch.setattr(node_module, "RELOAD_RETRY_S", 0.0)
        bench = await Bench(Server()).start()
        address = bench.node.discovery.address
        bench.node.reload({"LB_CONFIG": str(tmp_path / "none.json")})
        await wait_until(lambda: bench.node.reload_timer is None)
        assert bench.node.discovery.address == address

    run_scenario(scenario)
    lines = [line for line in capsys.readouterr().err.splitlines() if " reload" in line]
    assert len(lines) == 2 and lines[1].endswith("given up")


async def ready_servers(bench: Bench) -> set[str]:
    """Return the names of the servers that the node regards as ready."""
    return {f"s{i}" for i, s in enumerate(bench.servers) if any(
        e.ready and e.port == s.port for e in bench.node.pool.endpoints.values())}  # fmt: skip


@pytest.mark.parametrize("full", [True, False])
@pytest.mark.parametrize("between", [True, False])
def test_response_older_than_current_list_restores_no_server(full, between, capsys):
    """An old response follows a newer one, once, or twice with a current response in between."""

    async def scenario():
        bench = await Bench(removed := Server(), remaining := Server(), discovery="push").start()
        discovery_service = bench.discovery
        discovery_service.send_list(50, True, remaining.entry("s1"))
        discovery_service.send_list(45, full, removed.entry("s0"), remaining.entry("s1"))
        if between:
            discovery_service.send_list(51, False)
            discovery_service.send_list(45, full, removed.entry("s0"), remaining.entry("s1"))
        discovery_service.send_list(52, False)
        await wait_until(lambda: bench.node.discovery.version == 52)
        assert await ready_servers(bench) == {"s1"}
        await wait_until(lambda: len(discovery_service.requests) == 4 + 2 * between)
        assert bench.node.discovery.fetch_call is None

    run_scenario(scenario)
    lines = [line for line in capsys.readouterr().err.splitlines() if "older than the list" in line]
    assert len(lines) == 1 + between


def test_restarted_versions_are_accepted_at_second_response():
    """The changes of a restarted discovery must not be dropped until its versions catch up."""

    async def scenario():
        bench = await Bench(Server(), remaining := Server(), discovery="push").start()
        discovery_service = bench.discovery
        discovery_service.send_list(50, True, *(s.entry(f"s{i}") for i, s in enumerate(bench.servers)))
        discovery_service.send_list(2, True, remaining.entry("s1"))
        discovery_service.send_list(2, True, remaining.entry("s1"))
        await wait_until(lambda: bench.node.discovery.version == 2)
        assert await ready_servers(bench) == {"s1"}

    run_scenario(scenario)


@pytest.mark.parametrize("order", ["full list first", "change first"])
def test_restarted_versions_with_changes_cause_full_fetch(order):
    """The next watch response and the full list arrive in either order, and the newer version applies."""

    async def scenario():
        bench = await Bench(Server(), remaining := Server(), discovery="push").start()
        discovery_service, node = bench.discovery, bench.node
        discovery_service.send_list(50, True, *(s.entry(f"s{i}") for i, s in enumerate(bench.servers)))
        discovery_service.send_list(2, False)
        discovery_service.send_list(2, False)
        await wait_until(
            lambda: node.discovery.fetch_call is not None and node.discovery.watch_call is not None
        )
        full_list = parse_server_list({"version": 2, "full": True, "servers": [remaining.entry("s1")]})
        change = parse_server_list({"version": 3, "full": False, "servers": []})
        fetch_call_in_flight, watch_call_in_flight = node.discovery.fetch_call, node.discovery.watch_call
        assert fetch_call_in_flight is not None and watch_call_in_flight is not None
        if order == "change first":
            node.discovery.on_watch_response(watch_call_in_flight, change)
            node.discovery.on_fetch_response(fetch_call_in_flight, full_list)
            node.discovery.on_watch_response(node.discovery.watch_call, change)
        else:
            node.discovery.on_fetch_response(fetch_call_in_flight, full_list)
            node.discovery.on_watch_response(watch_call_in_flight, change)
        assert await ready_servers(bench) == {"s1"} and node.discovery.version == 3

    run_scenario(scenario)


# ---- Ends ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("is_read", [True, False], ids=["partly read", "unread"])
@pytest.mark.parametrize("draining", [True, False])
def test_response_is_written_while_next_request_is_arriving(is_read, draining):
    """A draining node must not discard a request that its client has already begun to write."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        node = bench.node
        client = socket.create_connection(("127.0.0.1", bench.port))
        client.setblocking(False)
        client.send(call())
        await wait_until(lambda: len(server.requests) == 1)
        (request,) = node.requests.pending.values()
        client_connection = request.client
        assert client_connection is not None
        if draining:
            drain = asyncio.create_task(node.drain())
            await wait_until(lambda: node.client_connections.is_draining)
        half = len(call()) // 2
        client.send(call()[:half])
        if is_read:
            await wait_until(lambda: client_connection.partial_request is not None)
        node.requests.respond(request.id, 504)
        server.handle = respond_with(OK)
        client.send(call()[half:])
        responses = b""
        loop = asyncio.get_running_loop()
        while responses.count(b"HTTP/1.1 ") < 2:
            data = await loop.sock_recv(client, 9999)
            assert data, "the connection ended before the second response"
            responses += data
        first, _, second = responses.partition(b"HTTP/1.1 200")
        assert b"Connection: close" not in first and (b"Connection: close" in second) == draining
        client.close()
        if draining:
            await asyncio.wait_for(drain, 20)

    run_scenario(scenario)


def test_listener_stopped_at_capacity_keeps_accept_queue(monkeypatch):
    """Clients in the accept queue must not be reset when a node at its connection limit gets SIGTERM."""

    async def scenario():
        monkeypatch.setattr("balancer.net.downstream.client_connections.ACCEPT_AFTER_TERM_S", 0.0)
        bench = await Bench(Server()).start()
        listener = bench.node.client_connections.listener
        has_capacity, listener.has_capacity = listener.has_capacity, lambda: False
        listener.update()
        client = await bench.client()  # The kernel has accepted it, the node has not.
        client.send(call())
        drain = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: bench.node.client_connections.is_draining)
        listener.stop()
        listener.has_capacity = has_capacity
        assert (await client.receive())[0] == 200
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert listener.socket is None

    run_scenario(scenario)


@pytest.mark.parametrize("queued_s", [0.0, 30.0])
def test_pipelined_request_deadline_includes_queueing_time(queued_s):
    """The budget of a pipelined request must run while it is queued, or it is answered after its deadline."""

    async def scenario():
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release))).start()
        client = await bench.client()
        client.send(call() + call(budget=15000))
        await wait_until(lambda: any(c.pipelined for c in bench.node.client_connections.connections))
        (client_connection,) = bench.node.client_connections.connections
        client_connection.pipelined[0].received_at -= queued_s
        release.set()
        assert (await client.receive())[0] == 200
        status = (await client.receive())[0]
        assert (status, len(server.requests)) == ((200, 2) if queued_s == 0 else (503, 1))

    run_scenario(scenario)


@pytest.mark.parametrize("order", ["body first", "drain first"])
def test_long_upload_completes_within_drain_deadline(order):
    """The deadline of a long upload, which starts at its last byte, must not exceed that of the drain."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        node = bench.node
        client = await bench.client()
        size = 2 * MAX_BUFFERED_BYTES
        data = call("offer", budget=600_000).partition(b"Content-Length")[0]
        client.send(data + b"Content-Length: %d\r\n\r\n" % size + bytes(size - 1))
        await wait_until(
            lambda: any(
                r.message.upload and r.message.upload.has_discarded_data
                for r in node.requests.pending.values()
            )
        )
        (request,) = node.requests.pending.values()
        if order == "body first":
            client.send(b"x")
            await wait_until(lambda: len(server.requests) == 1 and request.deadline_timer is not None)
        drain = asyncio.create_task(node.drain())
        await wait_until(lambda: node.requests.shutdown.last_response_at is not None)
        if order == "drain first":
            client.send(b"x")
            await wait_until(lambda: len(server.requests) == 1 and request.deadline_timer is not None)
            assert (
                node.requests.shutdown.last_response_at is not None
                and request.deadline <= node.requests.shutdown.last_response_at
            )
        client.writer.transport.abort()
        await asyncio.wait_for(drain, 20)

    run_scenario(scenario)


BAD_RESPONSES = {
    "truncated": b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{",
    "malformed body": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}}",
    "other service": b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{"leader": 1}',
    "not HTTP": b"SSH-2.0-OpenSSH\r\n\r\n",
    "error status": b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
    "duplicate": OK + OK,
}


@pytest.mark.parametrize("response", BAD_RESPONSES.values(), ids=list(BAD_RESPONSES))
@pytest.mark.parametrize("delivery", ["at once", "byte by byte"])
def test_bad_watch_response_keeps_list_and_renews_watch(response, delivery, capsys):
    async def scenario():
        bench = await Bench(server := Server(), discovery="push").start()
        discovery_service, node = bench.discovery, bench.node
        discovery_service.send_list(50, True, server.entry("s0"))
        await wait_until(lambda: node.discovery.version == 50 and len(discovery_service.requests) == 2)
        assert node.discovery.watch_call is not None
        (watch,) = node.discovery.watch_call.calls
        for data in (
            [response] if delivery == "at once" else [response[i : i + 1] for i in range(len(response))]
        ):
            if not watch.ended:
                watch.data_received(data)
        if not watch.ended:  # The rest of the response never arrives, so the watch times out.
            watch.fail()
        watch.data_received(response)  # A response after the failure is ignored.
        assert (
            watch.transport is None and node.discovery.version == 50 and await ready_servers(bench) == {"s0"}
        )
        await wait_until(lambda: len(discovery_service.requests) == 3)
        assert discovery_service.requests[-1].target.startswith("/v1/endpoints?since=50&")
        discovery_service.answers.put_nowait(None)  # Taken by the ended call.
        discovery_service.send_list(51, True, server.entry("s0", "draining"))
        await wait_until(lambda: node.discovery.version == 51)
        assert await ready_servers(bench) == set()

    run_scenario(scenario)
    lines = [
        line for line in capsys.readouterr().err.splitlines() if "discovery:" in line or "failed" in line
    ]
    assert 1 <= len([line for line in lines if "failed" in line]) <= 2


@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("watch_state", ["open", "connecting", "closed"])
def test_discovery_address_change_replaces_open_watch(watch_state, times):
    """A late response from the old address is ignored, and one watch is open at the new address."""

    async def scenario():
        bench = await Bench(server := Server(), discovery="push").start()
        discovery_service, discovery = bench.discovery, bench.node.discovery
        await (second := Discovery()).start()
        if watch_state != "connecting":
            await wait_until(lambda: len(discovery_service.requests) == 1)
        assert discovery.watch_call is not None
        (old,) = discovery.watch_call.calls
        if watch_state == "closed":
            discovery.watch(False)
        for _ in range(times):
            discovery.change_address(("127.0.0.1", second.port))
        listing = json.dumps({"version": 99, "full": True, "servers": []}).encode()
        old.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(listing), listing))
        discovery.watch(True)
        await wait_until(lambda: len(second.requests) >= 1)
        assert discovery.version == 41
        second.answers.put_nowait(None) if times == 2 and len(second.requests) == 2 else None
        second.send_list(60, False, server.entry("s0", "draining"))
        await wait_until(lambda: discovery.version == 60)
        assert await ready_servers(bench) == set()

    run_scenario(scenario)


@pytest.mark.parametrize("order", ["failure first", "change first"])
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_discovery_address_change_skips_backoff_of_failed_watch(mode, order):
    """The new address is queried at once, not after the backoff of the failed call to the old address."""

    async def scenario():
        bench = await Bench(server := Server(), discovery=mode).start()
        node, discovery_service, timers = bench.node, bench.discovery, []
        node.set_timer = lambda delay, token: timers.append(token)
        node.server_registry.loop = SimpleNamespace(call_later=lambda delay, *call: timers.append(call))
        await (second := Discovery()).start()
        await wait_until(lambda: len(discovery_service.requests) == 1)
        new_address = ("127.0.0.1", second.port)
        if order == "change first":
            node.discovery.change_address(new_address)
            discovery_service.answers.put_nowait(None)
            await wait_until(lambda: discovery_service.closed == 1)
        else:
            discovery_service.answers.put_nowait(None)
            await wait_until(lambda: len(timers) == 1)
            node.discovery.change_address(new_address)
        await wait_until(lambda: len(second.requests) == 1)
        second.send_list(60, False, server.entry("s0", "draining"))
        await wait_until(lambda: node.discovery.version == 60 and len(second.requests) == 2)
        assert await ready_servers(bench) == set() and second.connections == 1
        node.discovery.watch(True)  # The retry that was scheduled after the failure.
        second.send_list(61, False)
        await wait_until(lambda: len(second.requests) == 3)
        assert second.connections == 1 and len(timers) == (order == "failure first")

    run_scenario(scenario)


def test_discovery_retry_delay_is_capped_despite_settings():
    """A long backoff would hide the recovery of discovery, and a server that drains at that time."""

    async def scenario():
        rules = settings()["rules"] | {"ask_within": 100 * SECOND_US}
        bench = await Bench(Server(), discovery="ask", rules=rules).start()
        node, discovery_service, waits = bench.node, bench.discovery, []
        node.set_timer = lambda delay, token: waits.append(delay)
        for failures in range(1, 9):
            discovery_service.answers.put_nowait(None)
            await wait_until(lambda count=failures: len(waits) == count)
            node.discovery.watch(True)
        # A node may be without discovery for 6 s, of which an unanswered watch takes 2 s.
        assert max(waits) <= 1.5 * SECOND_US and waits[-1] > waits[0]

    run_scenario(scenario)
