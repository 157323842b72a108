"""Where operators call: the second address, the node's stages and its drain, on loopback sockets."""

import asyncio
import os
import socket

import pytest
from loopback import (
    Bench,
    Client,
    Clock,
    Discovery,
    Server,
    always,
    call,
    free_port,
    gated,
    node_table,
    play,
    settings,
    spawn,
    until,
)

from balancer.net.config import ConfigError, read
from balancer.net.downstream.client_eviction import eviction_priority
from balancer.net.process import management

READY = b"GET /ready HTTP/1.1\r\n\r\n"
OPERATED = {"management": "127.0.0.1:0"}


async def operate(bench: Bench, path: str, method: str = "GET") -> tuple[int, dict[str, str], bytes]:
    """One operator's call, on a connection of its own that the node ends."""
    assert bench.node.management.listener.socket is not None
    client = await Client(bench.node.management.listener.socket.getsockname()[1]).open()
    answer = await client.ask(f"{method} {path} HTTP/1.1\r\nHost: m\r\n\r\n".encode())
    assert await client.ended()
    client.writer.close()
    return answer


def test_each_call_is_answered_and_its_connection_ended():
    async def scene():
        bench = await Bench(Server(), config=OPERATED).start()
        assert (await operate(bench, "/control/ready"))[0] == 200
        assert (await operate(bench, "/control/nothing"))[0] == 404
        status, headers, _ = await operate(bench, "/control/out-of-service")
        assert (status, headers["allow"]) == (405, "PUT")
        assert (await operate(bench, "/control/ready", "PUT"))[0] == 405
        assert bench.node.lifecycle.serving
        port = bench.node.management.listener.socket.getsockname()[1]
        client = await Client(port).open()
        assert (await client.ask(b"nonsense\r\n\r\n"))[0] == 400 and await client.ended()
        client = await Client(port).open()
        assert (await client.ask(b"GET /" + b"x" * 9000))[0] == 413 and await client.ended()
        await until(lambda: bench.node.management.open_connections == 0)

    play(scene)


def test_ready_says_no_until_there_is_a_list():
    async def scene():
        bench = await Bench(server := Server(), config=OPERATED | {"known": None}).start()
        assert (await operate(bench, "/control/ready"))[0] == 503
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: bench.node.lifecycle.serving)
        assert (await operate(bench, "/control/ready"))[0] == 200

    play(scene)


def test_callers_that_say_nothing_and_a_crowd_of_clients_shut_no_operator_out():
    """Failure prevented: whoever connects first and stays holds all the descriptors that there are."""

    async def scene():
        bench = await Bench(Server(), config=OPERATED | {"limits": {"sockets": 64}}).start()
        callers, operators = bench.node.client_connections, bench.node.management
        crowd = []
        for _ in range(callers.descriptor_budget.max_clients()):
            crowd.append(await bench.client())
            crowd[-1].send(b"GET /ready HTTP/1.1\r\n")
        await until(lambda: len(callers.connections) >= callers.max_served())
        port = operators.listener.socket.getsockname()[1]
        silent = [await Client(port).open() for _ in range(3 * management.MAX_CONNECTIONS)]
        assert (await operate(bench, "/control/ready"))[0] == 200
        assert await silent[0].ended()  # the oldest gave way
        assert operators.open_connections <= management.MAX_CONNECTIONS + management.MAX_ACCEPTS

    play(scene)


def test_a_call_that_never_comes_whole_is_given_up(monkeypatch):
    async def scene():
        monkeypatch.setattr(management, "REQUEST_TIMEOUT_S", 0.0)
        bench = await Bench(Server(), config=OPERATED).start()
        port = bench.node.management.listener.socket.getsockname()[1]
        client = await Client(port).open()
        assert (await client.receive())[0] == 408 and await client.ended()

    play(scene)


def test_a_failure_in_a_call_is_that_call_s_alone():
    async def scene():
        bench = await Bench(Server(), config=OPERATED).start()
        bench.node.lifecycle.take_out_of_service = None
        assert (await operate(bench, "/control/out-of-service", "PUT"))[0] == 500
        assert (await operate(bench, "/control/ready"))[0] == 200

    play(scene)


def test_a_node_taken_out_of_service_empties_and_can_be_taken_back():
    """Failure prevented: the front goes on sending clients, or those that are there stay for good."""

    async def scene():
        release = asyncio.Event()

        bench = await Bench(server := Server(), config=OPERATED).start()
        idle, busy = await bench.client(), await bench.client()
        for client in (idle, busy):
            assert (await client.ask(call()))[0] == 200
        server.handle = gated(release)
        busy.send(call())
        await until(lambda: len(server.requests) == 3)
        for _ in range(2):  # said twice is a yes as well
            assert (await operate(bench, "/control/out-of-service", "PUT"))[0] == 200
        assert (await operate(bench, "/control/ready"))[0] == 503
        assert await idle.ended()
        status, headers, _ = await bench.once(READY)
        assert status == 503 and headers["connection"] == "close"
        late = await bench.client()  # of the moments after the first no
        late.send(call())
        await until(lambda: len(server.requests) == 4)
        release.set()
        for client in (busy, late):
            status, headers, _ = await client.receive()
            assert (status, headers["connection"]) == (200, "close") and await client.ended()
            client.writer.close()
        await until(lambda: not bench.node.client_connections.connections)

        for _ in range(2):
            assert (await operate(bench, "/control/in-service", "PUT"))[0] == 200
        assert (await operate(bench, "/control/ready"))[0] == 200
        back = await bench.client()
        assert (await back.ask(READY))[0] == 200
        status, headers, _ = await back.ask(call())
        assert status == 200 and "connection" not in headers
        await until(lambda: not bench.node.client_connections.is_draining)

    play(scene)


def test_a_drain_does_not_close_a_connection_that_has_yet_to_bring_its_first_request(monkeypatch):
    """Failure prevented: a client that connected in the moments after the first no, and takes its time to
    write, is cut off."""

    async def scene():
        bench = await Bench(Server(), config=OPERATED).start()
        kept, new = await bench.client(), await bench.client()
        assert (await kept.ask(call()))[0] == 200
        callers = bench.node.client_connections
        await until(lambda: len(callers.connections) == 2 and all(c.transport for c in callers.connections))
        monkeypatch.setattr(callers, "loop", Clock(bench.node.loop, bench.node.loop.time() + 1.0))
        bench.node.take_out()
        assert await kept.ended()
        assert (await new.ask(call()))[0] == 200

    play(scene)


def test_a_drain_answers_the_requests_that_have_come_behind_another():
    """Failure prevented: they were taken, and end with the connection of the first one's answer."""

    async def scene():
        release = asyncio.Event()

        bench = await Bench(server := Server(gated(release)), config=OPERATED).start()
        client = await bench.client()
        client.send(call() * 3)
        await until(lambda: len(server.requests) == 1)
        bench.node.take_out()
        release.set()
        answers = [await client.receive() for _ in range(3)]
        assert [status for status, _, _ in answers] == [200] * 3
        assert ["connection" in headers for _, headers, _ in answers] == [False, False, True]
        assert await client.ended()

    play(scene)


def test_a_drain_does_not_cut_an_answer_that_its_client_still_reads(monkeypatch):
    """Failure prevented: a client that reads slowly stands idle for the node, and loses half its answer."""
    monkeypatch.setattr("balancer.net.downstream.client_connections.SETTLE_S", 0.0)

    async def scene():
        body = b"x" * 60000
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        bench = await Bench(Server(always(answer)), config=OPERATED).start()
        with socket.socket() as slow:
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow, ("127.0.0.1", bench.port))
            await until(lambda: any(c.transport for c in bench.node.client_connections.connections))
            (caller,) = bench.node.client_connections.connections
            with socket.socket(fileno=os.dup(caller.transport.get_extra_info("socket").fileno())) as end:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await loop.sock_sendall(slow, call())
            await until(lambda: caller.has_served and caller.current_request is None)
            assert caller.transport.get_write_buffer_size() and not caller.is_idle()
            bench.node.take_out()
            assert eviction_priority(caller, bench.node.loop.time()) is None
            assert not caller.transport.is_closing()
            got = b""
            while not got.endswith(body):
                got += await loop.sock_recv(slow, 65536)
            assert await loop.sock_recv(slow, 65536) == b""  # and then it goes

    play(scene)


def test_an_ending_node_answers_what_came_late_before_it_is_killed():
    """Failure prevented: a request taken after SIGTERM has time left when the platform kills the process."""

    async def scene():
        bench = await Bench(server := Server(always(None)), config=OPERATED).start()
        client = await bench.client()
        assert (await client.ask(READY))[0] == 200
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.requests.last_response_at is not None)
        assert (await operate(bench, "/control/in-service", "PUT"))[0] == 409
        client.send(call("invite", budget=19000))
        await until(lambda: len(server.requests) == 1)
        assert int(server.requests[0].headers["x-budget-ms"]) <= 3500
        (request,) = bench.node.requests.pending.values()
        bench.node.requests.deadline_expired(request)
        assert (await client.receive())[0] == 504
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    play(scene)


def test_where_no_second_address_is_named_there_is_none():
    async def scene():
        bench = await Bench(Server()).start()
        assert bench.node.management.listener.socket is None

    play(scene)


def test_a_second_address_that_cannot_be_had_ends_the_start_with_one_plain_line(tmp_path):
    async def scene():
        await (discovery := Discovery()).start()
        table = node_table(discovery.port, settings(), f"127.0.0.1:{free_port()}")
        process = await spawn(tmp_path, table | {"management": f"127.0.0.1:{discovery.port}"})
        _, errors = await process.communicate()
        assert process.returncode == 1
        assert errors.startswith(b"balancer: ") and errors.count(b"\n") == 1

    play(scene)


def test_the_second_address_has_descriptors_of_its_own():
    table = node_table(1, settings())
    without, with_one = read(table), read(table | OPERATED)
    assert without.connections() - with_one.connections() == management.RESERVED_DESCRIPTORS
    with pytest.raises(ConfigError, match=r"limits\.sockets"):
        read(table | OPERATED | {"limits": {"sockets": 32 + management.RESERVED_DESCRIPTORS}})
