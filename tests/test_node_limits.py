"""Limits of a node on loopback sockets: memory, file descriptors, pending requests and client timeouts."""

import asyncio
import os

from loopback import (
    OK,
    Bench,
    Client,
    Discovery,
    FakeTimeLoop,
    Server,
    call,
    connect_when_listening,
    free_port,
    node_config,
    record_outcomes,
    respond_after,
    respond_with,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)

from balancer.net.downstream.read_deadline import HEAD_TIMEOUT_S
from balancer.policy.interface import Outcome


def test_pipelined_requests_stay_within_memory_budget():
    """Requests over the budget get a 503; many large ones would otherwise exhaust the process's memory."""

    async def scenario():
        release = asyncio.Event()

        bench = await Bench(server := Server(respond_after(release))).start()
        memory_budget = bench.node.memory_budget
        memory_budget.max_held_bytes = 150_000
        large = call("invite", body=b"x" * 60000)
        (first := await bench.client()).send(large)
        await wait_until(lambda: len(server.requests) == 1)
        (second := await bench.client()).send(large.replace(b"X-Call-Id: 9b1f", b"X-Call-Id: 9b20"))
        await wait_until(lambda: memory_budget.held_bytes > 120_000)
        status, headers, _ = await bench.request_once(large)
        assert status == 503 and float(headers["retry-after"]) > 0
        second.writer.transport.abort()
        await wait_until(lambda: memory_budget.held_bytes < 120_000)
        first.send(large)  # This request is pipelined behind the first one.
        await wait_until(lambda: memory_budget.held_bytes > 120_000)
        release.set()
        assert (await first.receive())[0] == 200 and (await first.receive())[0] == 200
        assert memory_budget.held_bytes == 0

    run_scenario(scenario)


def test_excess_clients_rejected_and_idle_ones_evicted():
    """More clients than file descriptors must neither end the process nor keep it from accepting others."""

    async def scenario():
        bench = await Bench(Server(), config={"limits": {"sockets": 48}}).start()
        bench.node.balancer.request = lambda *args: None  # All requests stay pending.
        idle = await bench.client()
        max_served = bench.node.client_connections.max_served()
        assert max_served >= 4  # Even of a small budget, most is for clients that are served.
        clients = []
        for _ in range(max_served):
            clients.append(await bench.client())
            clients[-1].send(call("invite"))
            await wait_until(lambda: len(bench.node.requests.by_client) == len(clients))
        assert await idle.ended()
        status, headers, _ = await bench.request_once(call("invite"))
        # Without a delay, the client would retry at once.
        assert status == 503 and float(headers["retry-after"]) > 0
        clients[0].writer.close()
        await wait_until(lambda: len(bench.node.client_connections.connections) < max_served)
        assert (await bench.request_once(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200

    run_scenario(scenario)


def test_requests_over_max_open_get_503_with_retry_after():
    async def scenario():
        bench = await Bench(server := Server(respond_with(None)), policy_limits={"max_open": 1}).start()
        (first := await bench.client()).send(call())
        await wait_until(lambda: len(server.requests) == 1)
        status, headers, _ = await bench.request_once(call())
        assert status == 503 and float(headers["retry-after"]) > 0
        first.writer.close()
        server.handle = respond_with(OK)
        await wait_until(lambda: not bench.node.requests.pending)
        assert (await bench.request_once(call()))[0] == 200

    run_scenario(scenario)


def test_server_connects_over_budget_evict_idle_or_fail():
    async def scenario():
        bench = await Bench(first := Server(), second := Server()).start()
        bench.node.descriptor_budget.max_servers = lambda: 1
        while not (first.requests and second.requests):
            assert (await bench.request_once(call()))[0] == 200
        bench.node.descriptor_budget.max_servers = lambda: 0
        for endpoint in bench.node.pool.endpoints.values():
            endpoint.close_idle()
        assert (await bench.request_once(call("invite")))[0] == 503

    run_scenario(scenario)


def test_lack_of_server_connections_is_no_failure_of_servers():
    """A node whose clients hold all connections to servers must not eject servers for it."""

    async def scenario():
        bench = await Bench(Server(), Server()).start()
        outcomes = record_outcomes(bench)
        bench.node.descriptor_budget.max_servers = lambda: 0
        for _ in range(20):
            assert (await bench.request_once(call()))[0] == 503
        assert set(outcomes) == {Outcome.NOT_SENT}
        stats = bench.node.balancer.stats()
        assert (stats["ejected"], stats["lost"]) == (0, 0)

    run_scenario(scenario)


def test_many_clients_stay_within_descriptor_limit(tmp_path):
    """A process over its descriptor limit would be killed, or could not open what it needs."""

    async def scenario():
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_config(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        process = await spawn_node(tmp_path, table | {"limits": {"sockets": 56}})
        await connect_when_listening(first := Client(port))
        before = len(os.listdir(f"/proc/{process.pid}/fd"))
        clients = []
        for _ in range(150):
            clients.append(client := await Client(port).open())
            # Each client sends half a request at once: idle clients would be evicted for the next ones, and
            # the number of connections in the end would depend on how fast they are opened.
            client.send(b"GET /ready HTTP/1.1\r\n")
        await wait_until(lambda: len(os.listdir(f"/proc/{process.pid}/fd")) >= before + 8)
        for _ in range(200):
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= 56
            await asyncio.sleep(0)
        for client in (first, *clients):
            client.writer.close()
        while True:
            client = await Client(port).open()
            if (await client.request(b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200:
                break
            client.writer.close()
        assert (await client.request(call()))[0] == 200
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    run_scenario(scenario)


def test_incomplete_head_gets_408_and_close():
    """A client that sends half a request must not hold a file descriptor forever."""

    async def scenario():
        bench = await Bench(Server()).start()
        client = await bench.client()
        client.send(b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await wait_until(lambda: any(c.partial_request for c in bench.node.client_connections.connections))
        (connection,) = bench.node.client_connections.connections
        client.send(b"X-More: 1\r\n")  # The client is still sending.
        connection.read_deadline.expires_at -= 1000  # The deadline is now in the past.
        bench.node.client_connections.sweep()
        assert (await client.receive())[0] == 408 and await client.ended()

    run_scenario(scenario)


def test_silent_peer_closed_within_3_s_and_idle_client_kept(monkeypatch):
    """A peer that connects and sends nothing must not hold a file descriptor forever."""
    assert HEAD_TIMEOUT_S + HEAD_TIMEOUT_S / 8 < 3  # The sweep runs every `HEAD_TIMEOUT_S / 8`.

    async def scenario():
        bench = await Bench(Server()).start()
        client_connections = bench.node.client_connections
        idle = await bench.client()
        assert (await idle.request(call()))[0] == 200
        silent = await bench.client()
        await wait_until(
            lambda: (
                len(client_connections.connections) == 2
                and all(c.transport for c in client_connections.connections)
            )
        )
        now = bench.node.loop.time()
        monkeypatch.setattr(client_connections, "loop", FakeTimeLoop(bench.node.loop, now + HEAD_TIMEOUT_S))
        client_connections.sweep()
        assert await silent.ended()
        assert (await idle.request(call()))[0] == 200

    run_scenario(scenario)
