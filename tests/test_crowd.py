"""Many clients on loopback sockets: which connections are evicted, and which clients are still served."""

import pytest
from loopback import OK, Bench, Client, FakeTimeLoop, Server, call, respond_with, run_scenario, wait_until

from balancer.net.downstream.client_eviction import HEAD_WRITE_GRACE_S
from balancer.net.process.descriptor_budget import DescriptorBudget

PARTIAL_HEAD = b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n"
SMALL_LIMITS = {"limits": {"sockets": 48}}


async def wait_for_connections(bench: Bench, count: int) -> None:
    """Wait until so many client connections are established."""
    connections = bench.node.client_connections.connections
    await wait_until(lambda: len(connections) == count and all(c.transport for c in connections))


async def connect_client(bench: Bench, data: bytes, age: float, count: int) -> Client:
    """Return the `count`th client, which has sent `data` and then nothing more for `age` seconds."""
    before = set(bench.node.client_connections.connections)
    client = await bench.client()
    await wait_for_connections(bench, count)
    (connection,) = set(bench.node.client_connections.connections) - before
    if data:
        client.send(data)
        await wait_until(lambda: connection.partial_request is not None)
    connection.last_active_at -= age
    return client


def test_incomplete_requests_do_not_block_other_clients():
    """Connections with half a request are evicted; otherwise they would use up all file descriptors."""

    async def scenario():
        bench = await Bench(Server(), config=SMALL_LIMITS).start()
        clients = []
        for _ in range(100):
            clients.append(await bench.client())
            clients[-1].send(PARTIAL_HEAD)
        for _ in range(10):
            assert (await bench.request_once(call()))[0] == 200
        assert bench.node.client_connections.counts["gave_way_headless"] > 50

    run_scenario(scenario)


def test_idle_connections_do_not_block_other_clients():
    async def scenario():
        bench = await Bench(Server(), config=SMALL_LIMITS).start()
        clients = []
        for _ in range(100):
            clients.append(await bench.client())
            assert (await clients[-1].request(call()))[0] == 200
        assert bench.node.descriptor_budget.clients <= bench.node.descriptor_budget.total

    run_scenario(scenario)


def test_eviction_order_is_stale_then_idle_then_writing():
    """A client that takes 2 s to write its request is evicted only after all others."""

    async def scenario():
        bench = await Bench(Server()).start()
        writing = await connect_client(bench, PARTIAL_HEAD, HEAD_WRITE_GRACE_S - 0.5, 1)
        idle = await connect_client(bench, b"", 0, 2)
        assert (await idle.request(call()))[0] == 200
        late = await connect_client(bench, PARTIAL_HEAD, HEAD_WRITE_GRACE_S, 3)
        silent = await connect_client(bench, b"", 2 * HEAD_WRITE_GRACE_S, 4)
        client_connections = bench.node.client_connections
        for client in (silent, late, idle):
            assert client_connections.evict_one()
            assert await client.ended()
        writing.send(call().partition(b"\r\n")[2])
        assert (await writing.receive())[0] == 200
        assert client_connections.counts == {"gave_way_headless": 2, "gave_way_idle": 1}

    run_scenario(scenario)


def test_connection_with_request_is_not_evicted():
    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        client = await bench.client()
        client.send(call())
        await wait_until(lambda: len(server.requests) == 1)
        assert not bench.node.client_connections.evict_one()
        body = await bench.client()
        body.send(call("offer", body=b"x" * 10)[:-5])
        await wait_until(
            lambda: any(
                c.partial_request and not c.parser.head_incomplete
                for c in bench.node.client_connections.connections
            )
        )
        assert not bench.node.client_connections.evict_one()

    run_scenario(scenario)


def test_connection_with_unread_data_is_not_evicted():
    """Evicting a client whose request is complete but still unread in the socket would reset it."""

    async def scenario():
        bench = await Bench(Server()).start()
        client = await connect_client(bench, PARTIAL_HEAD, 2 * HEAD_WRITE_GRACE_S, 1)
        client.send(b"x")  # The node's event loop does not run before the next line.
        assert not bench.node.client_connections.evict_one()

    run_scenario(scenario)


def test_server_connect_evicts_clients_without_request():
    """Clients without a request must not hold the file descriptors that other requests' attempts need."""

    async def scenario():
        bench = await Bench(Server(), Server()).start()
        budget = bench.node.descriptor_budget
        clients = [await connect_client(bench, PARTIAL_HEAD, 0, count + 1) for count in range(6)]
        budget.total = 8
        assert budget.max_clients() == 6 and budget.max_servers() == 4
        client = clients[-1]
        client.send(call().partition(b"\r\n")[2])
        assert (await client.receive())[0] == 200
        budget.servers += 2  # Two more connections to servers are simulated.
        assert budget.is_exhausted()
        assert bench.node.pool.has_capacity()
        assert await client.ended()  # The client has had its response.
        assert bench.node.pool.has_capacity()
        assert bench.node.client_connections.counts == {"gave_way_idle": 1, "gave_way_headless": 1}
        budget.servers -= 2

    run_scenario(scenario)


@pytest.mark.parametrize("total", [8, 30, 75, 300, 950])
def test_clients_and_servers_fit_descriptor_budget(total):
    budget = DescriptorBudget(total, total + 39)
    for _ in range(budget.max_clients()):
        budget.add_client()
    assert not budget.is_exhausted()  # A quarter is reserved for connections to servers.
    releases = []
    budget.on_released = lambda: releases.append(1)
    while not budget.is_exhausted() and budget.servers < budget.max_servers():
        budget.add_server()
    assert budget.clients + budget.servers <= total
    budget.remove_client()
    budget.remove_server()
    assert len(releases) == 2


def test_sweep_counts_late_heads_and_silent_clients(monkeypatch):
    async def scenario():
        bench = await Bench(Server(respond_with(OK))).start()
        writing = await connect_client(bench, PARTIAL_HEAD, 0, 1)
        silent = await connect_client(bench, b"", 0, 2)
        client_connections = bench.node.client_connections
        monkeypatch.setattr(
            client_connections, "loop", FakeTimeLoop(bench.node.loop, bench.node.loop.time() + 60)
        )
        client_connections.sweep()
        assert (await writing.receive())[0] == 408
        assert await silent.ended()
        assert client_connections.counts == {"late": 1, "silent": 1}

    run_scenario(scenario)


def test_idle_clients_leave_room_for_new_clients():
    """Clients whose idle connections used up their share of the descriptors could open no new one."""

    async def scenario():
        bench = await Bench(Server(), config={"limits": {"sockets": 64}}).start()
        budget = bench.node.descriptor_budget
        assert budget.max_idle_clients < 64 // 3 < budget.max_clients()
        clients = []
        for _ in range(budget.max_clients()):
            clients.append(await bench.client())
            assert (await clients[-1].request(call()))[0] == 200
        assert len(bench.node.client_connections.connections) == budget.max_idle_clients
        assert bench.node.client_connections.counts["gave_way_idle"] == len(clients) - budget.max_idle_clients

    run_scenario(scenario)


def test_unused_server_connection_evicted_before_writing_client():
    async def scenario():
        bench = await Bench(Server()).start()
        assert (await bench.request_once(call()))[0] == 200
        await wait_for_connections(bench, 0)
        writing = await connect_client(bench, PARTIAL_HEAD, 0, 1)
        (endpoint,) = bench.node.pool.endpoints.values()
        endpoint.idle[0].idle_since -= 10
        assert bench.node.client_connections.evict_one() and not endpoint.idle
        assert not bench.node.client_connections.counts
        writing.send(call().partition(b"\r\n")[2])
        assert (await writing.receive())[0] == 200
        assert bench.node.pool.close_unused() is False  # The connection to the server was just used.

    run_scenario(scenario)
