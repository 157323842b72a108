"""The management server, the stages of the node's lifecycle and its drain, on loopback sockets."""

import asyncio
import os
import socket

import pytest
from loopback import (
    Bench,
    Client,
    Discovery,
    FakeTimeLoop,
    Server,
    call,
    free_port,
    node_config,
    respond_after,
    respond_with,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)
from retry_support import MANAGEMENT_CONFIG

from balancer.net.config import ConfigError, read
from balancer.net.downstream.client_eviction import eviction_priority
from balancer.net.process import management

READY = b"GET /ready HTTP/1.1\r\n\r\n"


async def operator_request(bench: Bench, path: str, method: str = "GET") -> tuple[int, dict[str, str], bytes]:
    """Send one request to the management server, and check that the node closes the connection."""
    assert bench.node.management.listener.socket is not None
    client = await Client(bench.node.management.listener.socket.getsockname()[1]).open()
    response = await client.request(f"{method} {path} HTTP/1.1\r\nHost: m\r\n\r\n".encode())
    assert await client.ended()
    client.writer.close()
    return response


def test_management_request_gets_response_and_close():
    async def scenario():
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG).start()
        assert (await operator_request(bench, "/control/ready"))[0] == 200
        assert (await operator_request(bench, "/control/nothing"))[0] == 404
        status, headers, _ = await operator_request(bench, "/control/out-of-service")
        assert (status, headers["allow"]) == (405, "PUT")
        assert (await operator_request(bench, "/control/ready", "PUT"))[0] == 405
        assert bench.node.lifecycle.is_serving
        port = bench.node.management.listener.socket.getsockname()[1]
        client = await Client(port).open()
        assert (await client.request(b"nonsense\r\n\r\n"))[0] == 400 and await client.ended()
        client = await Client(port).open()
        assert (await client.request(b"GET /" + b"x" * 9000))[0] == 413 and await client.ended()
        await wait_until(lambda: bench.node.management.open_connections == 0)

    run_scenario(scenario)


def test_ready_page_returns_503_until_server_list_arrives():
    async def scenario():
        bench = await Bench(server := Server(), config=MANAGEMENT_CONFIG | {"known": None}).start()
        assert (await operator_request(bench, "/control/ready"))[0] == 503
        bench.discovery.send_list(42, True, server.entry("s0"))
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        assert (await operator_request(bench, "/control/ready"))[0] == 200

    run_scenario(scenario)


def test_idle_connections_do_not_keep_operators_out():
    """Neither idle management connections nor many clients use up the descriptors for operators."""

    async def scenario():
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG | {"limits": {"sockets": 64}}).start()
        connections, management_server = bench.node.client_connections, bench.node.management
        clients = []
        for _ in range(connections.descriptor_budget.max_clients()):
            clients.append(await bench.client())
            clients[-1].send(b"GET /ready HTTP/1.1\r\n")
        await wait_until(lambda: len(connections.connections) >= connections.max_served())
        port = management_server.listener.socket.getsockname()[1]
        idle = [await Client(port).open() for _ in range(3 * management.MAX_CONNECTIONS)]
        assert (await operator_request(bench, "/control/ready"))[0] == 200
        assert await idle[0].ended()  # The oldest connection is evicted first.
        assert management_server.open_connections <= management.MAX_CONNECTIONS + management.MAX_ACCEPTS

    run_scenario(scenario)


def test_incomplete_management_request_times_out(monkeypatch):
    async def scenario():
        monkeypatch.setattr(management, "REQUEST_TIMEOUT_S", 0.0)
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG).start()
        port = bench.node.management.listener.socket.getsockname()[1]
        client = await Client(port).open()
        assert (await client.receive())[0] == 408 and await client.ended()

    run_scenario(scenario)


def test_exception_in_management_page_fails_one_request():
    async def scenario():
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG).start()
        bench.node.lifecycle.take_out_of_service = None
        assert (await operator_request(bench, "/control/out-of-service", "PUT"))[0] == 500
        assert (await operator_request(bench, "/control/ready"))[0] == 200

    run_scenario(scenario)


def test_node_out_of_service_drains_and_can_return():
    """The ready page reports 503, so that no new clients are sent, and connected clients are closed."""

    async def scenario():
        release = asyncio.Event()

        bench = await Bench(server := Server(), config=MANAGEMENT_CONFIG).start()
        idle, busy = await bench.client(), await bench.client()
        for client in (idle, busy):
            assert (await client.request(call()))[0] == 200
        server.handle = respond_after(release)
        busy.send(call())
        await wait_until(lambda: len(server.requests) == 3)
        for _ in range(2):  # A repeated request succeeds as well.
            assert (await operator_request(bench, "/control/out-of-service", "PUT"))[0] == 200
        assert (await operator_request(bench, "/control/ready"))[0] == 503
        assert await idle.ended()
        status, headers, _ = await bench.request_once(READY)
        assert status == 503 and headers["connection"] == "close"
        late = await bench.client()  # Connects just after the node was taken out of service.
        late.send(call())
        await wait_until(lambda: len(server.requests) == 4)
        release.set()
        for client in (busy, late):
            status, headers, _ = await client.receive()
            assert (status, headers["connection"]) == (200, "close") and await client.ended()
            client.writer.close()
        await wait_until(lambda: not bench.node.client_connections.connections)

        for _ in range(2):
            assert (await operator_request(bench, "/control/in-service", "PUT"))[0] == 200
        assert (await operator_request(bench, "/control/ready"))[0] == 200
        new_client = await bench.client()
        assert (await new_client.request(READY))[0] == 200
        status, headers, _ = await new_client.request(call())
        assert status == 200 and "connection" not in headers
        await wait_until(lambda: not bench.node.client_connections.is_draining)

    run_scenario(scenario)


def test_drain_keeps_connection_before_its_first_request(monkeypatch):
    """A client that has connected but writes its first request late still gets its response."""

    async def scenario():
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG).start()
        used, new = await bench.client(), await bench.client()
        assert (await used.request(call()))[0] == 200
        connections = bench.node.client_connections
        await wait_until(
            lambda: len(connections.connections) == 2 and all(c.transport for c in connections.connections)
        )
        monkeypatch.setattr(connections, "loop", FakeTimeLoop(bench.node.loop, bench.node.loop.time() + 1.0))
        bench.node.take_out_of_service()
        assert await used.ended()
        assert (await new.request(call()))[0] == 200

    run_scenario(scenario)


def test_drain_responds_to_pipelined_requests():
    """The connection is not closed after the first response while pipelined requests are pending."""

    async def scenario():
        release = asyncio.Event()

        bench = await Bench(server := Server(respond_after(release)), config=MANAGEMENT_CONFIG).start()
        client = await bench.client()
        client.send(call() * 3)
        await wait_until(lambda: len(server.requests) == 1)
        bench.node.take_out_of_service()
        release.set()
        responses = [await client.receive() for _ in range(3)]
        assert [status for status, _, _ in responses] == [200] * 3
        assert ["connection" in headers for _, headers, _ in responses] == [False, False, True]
        assert await client.ended()

    run_scenario(scenario)


def test_drain_does_not_cut_response_to_slow_client(monkeypatch):
    """A connection does not count as idle while its client still reads the response."""
    monkeypatch.setattr("balancer.net.downstream.client_connections.SETTLE_S", 0.0)

    async def scenario():
        body = b"x" * 60000
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        bench = await Bench(Server(respond_with(response)), config=MANAGEMENT_CONFIG).start()
        with socket.socket() as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow, ("127.0.0.1", bench.port))
            await wait_until(lambda: any(c.transport for c in bench.node.client_connections.connections))
            (connection,) = bench.node.client_connections.connections
            with socket.socket(
                fileno=os.dup(connection.transport.get_extra_info("socket").fileno())
            ) as node_socket:
                node_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await loop.sock_sendall(slow, call())
            await wait_until(lambda: connection.has_served and connection.current_request is None)
            assert connection.transport.get_write_buffer_size() and not connection.is_idle()
            bench.node.take_out_of_service()
            assert eviction_priority(connection, bench.node.loop.time()) is None
            assert not connection.transport.is_closing()
            received = b""
            while not received.endswith(body):
                received += await loop.sock_recv(slow, 65536)
            assert await loop.sock_recv(slow, 65536) == b""  # Then the node closes the connection.

    run_scenario(scenario)


def test_late_request_gets_response_before_node_is_killed():
    """A request admitted after SIGTERM gets a deadline that ends before the platform kills the process."""

    async def scenario():
        bench = await Bench(server := Server(respond_with(None)), config=MANAGEMENT_CONFIG).start()
        client = await bench.client()
        assert (await client.request(READY))[0] == 200
        drain = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: bench.node.requests.shutdown.last_response_at is not None)
        assert (await operator_request(bench, "/control/in-service", "PUT"))[0] == 409
        client.send(call("invite", budget=19000))
        await wait_until(lambda: len(server.requests) == 1)
        assert int(server.requests[0].headers["x-budget-ms"]) <= 3500
        (request,) = bench.node.requests.pending.values()
        bench.node.requests.deadline_expired(request)
        assert (await client.receive())[0] == 504
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    run_scenario(scenario)


def test_no_management_listener_without_address():
    async def scenario():
        bench = await Bench(Server()).start()
        assert bench.node.management.listener.socket is None

    run_scenario(scenario)


def test_unavailable_management_address_fails_with_one_line(tmp_path):
    async def scenario():
        await (discovery := Discovery()).start()
        table = node_config(discovery.port, settings(), f"127.0.0.1:{free_port()}")
        process = await spawn_node(tmp_path, table | {"management": f"127.0.0.1:{discovery.port}"})
        _, errors = await process.communicate()
        assert process.returncode == 1
        assert errors.startswith(b"balancer: ") and errors.count(b"\n") == 1

    run_scenario(scenario)


def test_management_server_has_reserved_descriptors():
    table = node_config(1, settings())
    without, with_management = read(table), read(table | MANAGEMENT_CONFIG)
    assert without.max_connections() - with_management.max_connections() == management.RESERVED_DESCRIPTORS
    with pytest.raises(ConfigError, match=r"limits\.sockets"):
        read(table | MANAGEMENT_CONFIG | {"limits": {"sockets": 32 + management.RESERVED_DESCRIPTORS}})
