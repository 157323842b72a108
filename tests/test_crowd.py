"""Crowds on loopback sockets: who gives way, and who is served all the same."""

import pytest
from loopback import OK, Bench, Client, Clock, Server, always, call, play, until

from balancer.net.downstream.client_eviction import HEAD_WRITE_TIME_S
from balancer.net.process.descriptor_budget import DescriptorBudget

HALF = b"GET /view HTTP/1.1\r\nX-Call-Id: 1\r\n"
SMALL = {"limits": {"sockets": 48}}


async def settled(bench: Bench, count: int) -> None:
    """Waits until so many clients' connections are up."""
    callers = bench.node.client_connections.connections
    await until(lambda: len(callers) == count and all(c.transport for c in callers))


async def one(bench: Bench, data: bytes, age: float, count: int) -> Client:
    """A client that has sent this much, and for so long nothing more."""
    before = set(bench.node.client_connections.connections)
    client = await bench.client()
    await settled(bench, count)
    (caller,) = set(bench.node.client_connections.connections) - before
    if data:
        client.send(data)
        await until(lambda: caller.partial is not None)
    caller.last_active_at -= age
    return client


def test_a_crowd_that_never_finishes_shuts_nobody_out():
    """Failure prevented: connections with half a request hold every descriptor, and clients are refused."""

    async def scene():
        bench = await Bench(Server(), config=SMALL).start()
        crowd = []
        for _ in range(100):
            crowd.append(await bench.client())
            crowd[-1].send(HALF)
        for _ in range(10):
            assert (await bench.once(call()))[0] == 200
        assert bench.node.client_connections.counts["gave_way_headless"] > 50

    play(scene)


def test_connections_that_asked_once_and_stayed_shut_nobody_out():
    async def scene():
        bench = await Bench(Server(), config=SMALL).start()
        stayed = []
        for _ in range(100):
            stayed.append(await bench.client())
            assert (await stayed[-1].ask(call()))[0] == 200
        assert bench.node.descriptor_budget.clients <= bench.node.descriptor_budget.total

    play(scene)


def test_who_has_had_the_time_to_write_gives_way_first_and_who_is_writing_last():
    """Failure prevented: a client that takes 2 s to write gives way to a crowd."""

    async def scene():
        bench = await Bench(Server()).start()
        writing = await one(bench, HALF, HEAD_WRITE_TIME_S - 0.5, 1)
        kept = await one(bench, b"", 0, 2)
        assert (await kept.ask(call()))[0] == 200
        overdue = await one(bench, HALF, HEAD_WRITE_TIME_S, 3)
        silent = await one(bench, b"", 2 * HEAD_WRITE_TIME_S, 4)
        callers = bench.node.client_connections
        for client in (silent, overdue, kept):
            assert callers.evict_one()
            assert await client.ended()
        writing.send(call().partition(b"\r\n")[2])
        assert (await writing.receive())[0] == 200
        assert callers.counts == {"gave_way_headless": 2, "gave_way_idle": 1}

    play(scene)


def test_who_has_a_request_never_gives_way():
    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        client = await bench.client()
        client.send(call())
        await until(lambda: len(server.requests) == 1)
        assert not bench.node.client_connections.evict_one()
        body = await bench.client()
        body.send(call("offer", body=b"x" * 10)[:-5])
        await until(
            lambda: any(
                c.partial and not c.parser.head_incomplete for c in bench.node.client_connections.connections
            )
        )
        assert not bench.node.client_connections.evict_one()

    play(scene)


def test_who_has_just_sent_the_rest_does_not_give_way():
    """Failure prevented: a request that has come whole, unread yet, is reset."""

    async def scene():
        bench = await Bench(Server()).start()
        client = await one(bench, HALF, 2 * HEAD_WRITE_TIME_S, 1)
        client.send(b"x")  # the node's loop has no turn until the next line
        assert not bench.node.client_connections.evict_one()

    play(scene)


def test_a_server_s_connection_finds_room_in_a_crowd():
    """Failure prevented: clients without a request hold the descriptors that others' attempts need."""

    async def scene():
        bench = await Bench(Server(), Server()).start()
        budget = bench.node.descriptor_budget
        crowd = [await one(bench, HALF, 0, count + 1) for count in range(6)]
        budget.total = 8
        assert budget.max_clients() == 6 and budget.max_servers() == 4
        client = crowd[-1]
        client.send(call().partition(b"\r\n")[2])
        assert (await client.receive())[0] == 200
        budget.servers += 2  # as if others were out
        assert budget.exhausted()
        assert bench.node.pool.has_capacity()
        assert await client.ended()  # its answer it has had
        assert bench.node.pool.has_capacity()
        assert bench.node.client_connections.counts == {"gave_way_idle": 1, "gave_way_headless": 1}
        budget.servers -= 2

    play(scene)


@pytest.mark.parametrize("total", [8, 30, 75, 300, 950])
def test_both_sides_fit_the_budget_together(total):
    budget = DescriptorBudget(total, total + 39)
    for _ in range(budget.max_clients()):
        budget.add_client()
    assert not budget.exhausted()  # a quarter is the servers'
    freed = []
    budget.on_released = lambda: freed.append(1)
    while not budget.exhausted() and budget.servers < budget.max_servers():
        budget.add_server()
    assert budget.clients + budget.servers <= total
    budget.remove_client()
    budget.remove_server()
    assert len(freed) == 2


def test_a_late_head_is_counted(monkeypatch):
    async def scene():
        bench = await Bench(Server(always(OK))).start()
        writing = await one(bench, HALF, 0, 1)
        silent = await one(bench, b"", 0, 2)
        callers = bench.node.client_connections
        monkeypatch.setattr(callers, "loop", Clock(bench.node.loop, bench.node.loop.time() + 60))
        callers.sweep()
        assert (await writing.receive())[0] == 408
        assert await silent.ended()
        assert callers.counts == {"late": 1, "silent": 1}

    play(scene)


def test_idle_connections_leave_clients_some_of_their_third():
    """Failure prevented: clients hold all the connections that they may, idle, and cannot open the next."""

    async def scene():
        bench = await Bench(Server(), config={"limits": {"sockets": 64}}).start()
        budget = bench.node.descriptor_budget
        assert budget.max_idle_clients < 64 // 3 < budget.max_clients()
        clients = []
        for _ in range(budget.max_clients()):
            clients.append(await bench.client())
            assert (await clients[-1].ask(call()))[0] == 200
        assert len(bench.node.client_connections.connections) == budget.max_idle_clients
        assert bench.node.client_connections.counts["gave_way_idle"] == len(clients) - budget.max_idle_clients

    play(scene)


def test_an_unused_connection_to_a_server_gives_way_before_a_client_that_is_writing():
    async def scene():
        bench = await Bench(Server()).start()
        assert (await bench.once(call()))[0] == 200
        await settled(bench, 0)
        writing = await one(bench, HALF, 0, 1)
        (endpoint,) = bench.node.pool.endpoints.values()
        endpoint.idle[0].idle_since -= 10
        assert bench.node.client_connections.evict_one() and not endpoint.idle
        assert not bench.node.client_connections.counts
        writing.send(call().partition(b"\r\n")[2])
        assert (await writing.receive())[0] == 200
        assert bench.node.pool.close_unused() is False  # just used

    play(scene)
