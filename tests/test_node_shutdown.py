"""The node over loopback sockets: a planned restart loses no request."""

import asyncio
import signal
import socket
from pathlib import Path

import pytest
from loopback import (
    Bench,
    Client,
    Discovery,
    Server,
    call,
    connect_when_listening,
    free_port,
    node_config,
    respond_after,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)


def test_sigterm_responds_to_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    """Neither a planned restart nor a second signal loses a request that a server is processing."""

    async def scenario() -> None:
        release = asyncio.Event()

        await (server := Server(respond_after(release))).start()
        await (discovery := Discovery()).start()
        port = free_port()
        listen = f"127.0.0.1:{port}"
        process = await spawn_node(
            tmp_path, node_config(discovery.port, settings(), listen, server.entry("s0"))
        )
        await connect_when_listening(client := Client(port))
        assert (await (idle := await Client(port).open()).request(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        client.send(call("invite"))
        await wait_until(lambda: len(server.requests) == 1)
        process.send_signal(signal.SIGTERM)
        assert await idle.ended()  # The process has handled the signal.
        process.send_signal(signal.SIGTERM)
        release.set()
        status, headers, body = await client.receive()
        assert (status, body, headers["connection"]) == (200, b"ok", "close")
        assert await client.ended()
        client.writer.close()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    run_scenario(scenario)


def test_shutdown_responds_to_all_accepted_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """A planned restart loses no late request and none in the backlog, and resets no idle client."""

    async def scenario() -> None:
        release = asyncio.Event()

        # The node accepts new connections until the test stops the listener.
        monkeypatch.setattr("balancer.net.downstream.client_connections.ACCEPT_AFTER_TERM_S", 600.0)
        bench = await Bench(server := Server(respond_after(release))).start()
        connections = bench.node.client_connections
        idle, early = await bench.client(), await bench.client()
        assert (await idle.request(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        early.send(call("invite"))
        await wait_until(lambda: len(server.requests) == 1)
        drain = asyncio.create_task(bench.node.drain())
        assert await idle.ended()  # Idle connections are closed while new ones are still accepted.
        monkeypatch.setattr("balancer.net.downstream.client_connections.SETTLE_S", 600.0)
        late = await bench.client()
        late.send(call("invite"))
        await wait_until(lambda: len(server.requests) == 2)
        # This connection waits in the backlog: the event loop does not run before the listener stops.
        with socket.create_connection(("127.0.0.1", bench.port)) as waiting:
            waiting.settimeout(20)
            connections.listener.stop()
            waiting.send(call("invite"))
            await wait_until(lambda: len(server.requests) == 3)
            with pytest.raises(ConnectionRefusedError):
                await bench.client()
            release.set()
            for client in (early, late):
                status, headers, body = await client.receive()
                assert (status, body, headers["connection"]) == (200, b"ok", "close")
                assert await client.ended()
                client.writer.close()
            await wait_until(lambda: all(c.reading_stopped for c in connections.connections))
            assert waiting.recv(9999).startswith(b"HTTP/1.1 200 ")
        await asyncio.wait_for(drain, 20)

    run_scenario(scenario)


def test_planned_restart_under_load_loses_no_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """A client that uses its connection just as the node shuts down gets a response or an orderly close."""

    async def scenario() -> None:
        # No client counts as idle, however slow the machine is, and the node accepts new connections until
        # the test stops the listener.
        monkeypatch.setattr("balancer.net.downstream.client_connections.ACCEPT_AFTER_TERM_S", 600.0)
        monkeypatch.setattr("balancer.net.downstream.client_connections.SETTLE_S", 600.0)
        bench = await Bench(Server()).start()
        response_count = 0
        closed_count = 0

        async def send_requests() -> None:
            nonlocal response_count, closed_count
            client = await bench.client()
            while True:
                status, headers, _ = await client.request(call("invite"))
                assert status in (200, 503)  # Served, or rejected by the policy.
                response_count += 1
                if "connection" in headers:
                    assert await client.ended()
                    client.writer.close()
                    closed_count += 1
                    try:
                        client = await bench.client()
                    except ConnectionRefusedError:
                        return

        clients = [asyncio.create_task(send_requests()) for _ in range(20)]
        await wait_until(lambda: response_count > 200)
        drain = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: closed_count > 200)
        bench.node.client_connections.listener.stop()
        await asyncio.wait_for(asyncio.gather(*clients, drain), 20)

    run_scenario(scenario)


def test_connection_with_unread_data_is_not_idle() -> None:
    """Closing the connection at a planned restart would reset it and lose the request."""

    async def scenario() -> None:
        bench = await Bench(Server()).start()
        with socket.create_connection(("127.0.0.1", bench.port)) as client:
            await wait_until(lambda: any(c.transport for c in bench.node.client_connections.connections))
            (connection,) = bench.node.client_connections.connections
            assert connection.is_idle()
            client.send(b"G")  # The node's event loop does not run before the next line.
            assert not connection.is_idle()

    run_scenario(scenario)
