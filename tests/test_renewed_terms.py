"""The terms that the operators renewed: each holds, on virtual time or on loopback sockets.

`docs/crossings.md` has the table of the terms and of the tests that show each of them.
"""

import asyncio
import json
import os
import resource
import socket
import struct
from random import Random

import pytest
from loopback import (
    MOMENT,
    Bench,
    Client,
    Discovery,
    Server,
    call,
    connected,
    free_port,
    gated,
    node_table,
    play,
    settings,
    spawn,
    until,
)
from slow_start import SEC, Fleet, Workload
from support import balancer
from virtual_time import FAULTS, REQUEST_FAULTS, FakeDiscovery, VirtualTimeLoop, list_response

from balancer.net.config import read
from balancer.net.discovery import client as node_discovery
from balancer.net.node import Node
from balancer.policy.interface import Outcome

MAX_DELAY = 6.0  # seconds after discovery had a change and could be reached
MAX_DELAY_AFTER_RELOAD = 4.0  # seconds after SIGHUP


# ---- a change counts as told, whatever has failed ---------------------------------------------------------


@pytest.fixture
def production_watch(monkeypatch, patient_watch):
    """Watches wait as long as they do in service, which `conftest.py` has made longer."""
    monkeypatch.setattr(node_discovery, "MAX_WATCH_MS", patient_watch)


def start_node(loop, mode, known=True):
    """A node whose discovery is at port 1; it asks from now on."""
    rules = settings()["rules"] | {"ask_within": 100 * MOMENT}
    table = node_table(1, settings(discovery=mode, rules=rules))
    table["known"] = table["known"] | {"version": 41} if known else None
    node = Node(read(table | {"discovery": "10.0.0.9:1"}), loop)
    node.event_queue.post(node.balancer.start)
    if node.config.known is not None:
        node.server_registry.on_list(node.config.known)
    if mode == "push":
        node.discovery.watch(True)
    return node


def time_of_version(loop, node, version, limit):
    """When the node had this version, by the loop's clock."""

    async def wait_for_version():
        while node.discovery.version != version or not node.lifecycle.serving:
            assert loop.time() < limit, "still not told"
            await asyncio.sleep(0.02)
        return loop.time()

    return loop.run_until_complete(wait_for_version())


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_told_in_time_whatever_went_wrong_before(fault, mode, production_watch):
    """At each moment at which discovery can be back, also long after the first failure."""
    draw = Random(f"{fault} {mode}")
    longest = 0.0
    for _ in range(40):
        recovers_at = 1000 + draw.choice([2, 8, 40]) * draw.random()
        loop = VirtualTimeLoop({1: FakeDiscovery(fault, recovers_at)})
        node = start_node(loop, mode)
        longest = max(longest, time_of_version(loop, node, 42, recovers_at + 60) - recovers_at)
        loop.close()
    assert longest <= MAX_DELAY


class MixedFaultsDiscovery(FakeDiscovery):
    """Discovery that fails in another way at each connection and at each request."""

    def __init__(self, seed, recovers_at):
        super().__init__("none", recovers_at)
        self.random = Random(seed)

    async def connect(self, loop, protocol):
        self.fault = self.random.choice(FAULTS)
        return await super().connect(loop, protocol)

    def request_received(self, connection, data):
        self.fault = self.random.choice(REQUEST_FAULTS)
        super().request_received(connection, data)


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_change_is_told_in_time_after_failures_of_all_kinds(mode, production_watch):
    for seed in range(100):
        recovers_at = 1000 + 20 * Random(seed).random()
        loop = VirtualTimeLoop({1: MixedFaultsDiscovery(seed, recovers_at)})
        node = start_node(loop, mode)
        assert time_of_version(loop, node, 42, recovers_at + 60) - recovers_at <= MAX_DELAY
        loop.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_node_that_knows_no_server_is_ready_soon_after_discovery_is_back(fault, mode, production_watch):
    """A process that starts while discovery is down has six seconds, and nine in ten have ten seconds."""
    for seed in range(20):
        recovers_at = 1000 + 8 * Random(seed).random()
        loop = VirtualTimeLoop({1: FakeDiscovery(fault, recovers_at)})
        node = start_node(loop, mode, known=False)
        assert not node.lifecycle.serving
        assert time_of_version(loop, node, 42, recovers_at + 60) - recovers_at <= MAX_DELAY
        loop.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_the_new_address_tells_in_time_whatever_the_old_one_did(fault, mode, production_watch):
    """After SIGHUP the time is shorter, and the wait after the old one's failure doesn't count."""
    for seed in range(20):
        loop = VirtualTimeLoop({1: FakeDiscovery(fault, 2000), 2: FakeDiscovery("refused", 0)})
        node = start_node(loop, mode)
        loop.run_until_complete(asyncio.sleep(8 * Random(seed).random()))
        reloaded_at = loop.time()
        node.discovery.change_address(("10.0.0.9", 2))
        assert time_of_version(loop, node, 42, reloaded_at + 60) - reloaded_at <= MAX_DELAY_AFTER_RELOAD
        loop.close()


class RestartedDiscovery(FakeDiscovery):
    """Discovery that has begun its versions anew; the first call for its whole list falls silent."""

    version = 2

    def __init__(self):
        super().__init__("none", 0)
        self.fetches = 0

    def request_received(self, connection, data):
        if b"since=2&" in data:
            return
        if b"since=" in data:
            connection.loop.call_later(0.7, connection.deliver, list_response(2, full=False, state="ready"))
            return
        self.fetches += 1
        if self.fetches > 1:
            connection.deliver(list_response(2))


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_call_for_the_whole_list_that_falls_silent_is_made_anew_in_time(mode, production_watch):
    """Failure prevented: it was waited for as long as the silence may last in all, beside the watch."""
    loop = VirtualTimeLoop({1: RestartedDiscovery()})
    node = start_node(loop, mode)
    started_at = loop.time()
    assert time_of_version(loop, node, 2, started_at + 60) - started_at <= MAX_DELAY
    loop.close()


WHOLE_LIST = list_response(42)
LIST_BODY = WHOLE_LIST.partition(b"\r\n\r\n")[2]
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%b\r\n0\r\nX-Sum: 1\r\n\r\n"
FORMS = {
    "a length": [WHOLE_LIST],
    "chunks and a trailer": [CHUNKED % (len(LIST_BODY), LIST_BODY)],
    "an interim answer": [INTERIM + WHOLE_LIST],
    "an interim answer, then": [INTERIM, WHOLE_LIST],
    "interim answers, then to the end": [INTERIM, INTERIM, b"HTTP/1.1 200 OK\r\n\r\n" + LIST_BODY, "end"],
    "to the connection's end": [b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", LIST_BODY, "end"],
    "HTTP/1.0, to the end": [b"HTTP/1.0 200 OK\r\n\r\n" + LIST_BODY, "end"],
    "a length and the end": [
        b"HTTP/1.0 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(LIST_BODY), LIST_BODY),
        "end",
    ],
}


class ScriptedDiscovery(FakeDiscovery):
    """Discovery that answers in one form; `pieces` may hold "end" and "reset"."""

    def __init__(self, pieces):
        super().__init__("none", 0)
        self.pieces = pieces

    def request_received(self, connection, data):
        if b"since=42&" in data:
            return
        for piece in self.pieces:
            if isinstance(piece, bytes):
                connection.deliver(piece)
            else:
                connection.loop.call_soon(self.end_connection, connection, piece)

    def end_connection(self, connection, how):
        if not connection.closed and how == "end":
            connection.protocol.eof_received()
        connection.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("at", ["once", "byte by byte"])
@pytest.mark.parametrize("form", FORMS)
def test_a_list_comes_in_every_form_that_http_allows(form, at, mode, production_watch):
    pieces = FORMS[form]
    if at == "byte by byte":
        pieces = [
            p[i : i + 1] if p != "end" else p for p in pieces for i in range(len(p) if p != "end" else 1)
        ]
    loop = VirtualTimeLoop({1: ScriptedDiscovery(pieces)})
    node = start_node(loop, mode)
    started_at = loop.time()
    assert time_of_version(loop, node, 42, started_at + 60) - started_at <= 1.0
    loop.close()


@pytest.mark.parametrize("body", [LIST_BODY, LIST_BODY[:-1]], ids=["whole", "cut"])
@pytest.mark.parametrize("length", [b"", b"Content-Length: 4000\r\n"], ids=["no length", "more to come"])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_what_is_no_whole_list_is_not_believed(how, length, body, production_watch):
    """A reset is no end; nor is an end where more was to come, or in the middle of a list."""
    loop = VirtualTimeLoop({1: ScriptedDiscovery([b"HTTP/1.1 200 OK\r\n%b\r\n" % length, body, how])})
    node = start_node(loop, "push")
    loop.run_until_complete(asyncio.sleep(5))
    whole = how == "end" and not length and body == LIST_BODY
    assert (node.discovery.version == 42) == whole
    loop.close()


@pytest.mark.parametrize("mode", ["push", "ask"])
def test_a_list_without_a_length_comes_over_a_socket(mode):
    """As above with the event loop in service: the watch goes on, on a new connection each time."""

    async def scene():
        bench = Bench(server := Server(), discovery=mode)

        async def to_the_end(request, writer):
            version = 41 + len(bench.discovery.requests)
            body = json.dumps({"version": version, "full": False, "servers": [server.entry("s0")]}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
            raise ConnectionResetError  # the stand-in then ends the connection once that is written

        bench.discovery.handle = to_the_end
        await bench.start()
        failed = []
        bench.node.server_registry.log.line = lambda text: failed.append(text) if "failed" in text else None
        await until(lambda: bench.node.discovery.version >= 60)
        assert not failed
        bench.node.discovery.close()

    play(scene)


# ---- a client that closes its connection has gone ---------------------------------------------------------

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


@pytest.mark.parametrize("mode", [{}, {"policy_limits": {"cancel": False}}], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
@pytest.mark.parametrize("how", ["fin", "rst"])
def test_no_retry_goes_to_an_idle_connection_once_the_client_has_gone(how, outcome, mode):
    """The retry needs no turn of the event loop, so the loop cannot have seen the client's end before it."""

    async def scene():
        release = asyncio.Event()
        servers = [Server(), Server()]
        bench = await Bench(*servers, **mode).start()
        endpoints = bench.node.pool.endpoints.values()
        while not all(endpoint.idle for endpoint in endpoints):
            assert (await bench.once(call()))[0] == 200
        await until(lambda: not bench.node.client_connections.connections)
        for server in servers:
            server.requests.clear()
            server.handle = gated(release)
        client = socket.create_connection(("127.0.0.1", bench.port))
        client.sendall(call())
        await until(lambda: sum(len(server.requests) for server in servers) == 1)
        (request,) = bench.node.requests.pending.values()
        if how == "rst":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.close()
        request.exchange.abort(outcome)  # the module answers it with a further attempt
        release.set()
        await until(lambda: not bench.node.client_connections.connections and not bench.node.requests.pending)
        assert (await bench.once(call()))[0] == 200  # whatever was sent before has come by now
        assert sum(len(server.requests) for server in servers) == 2

    play(scene)


# ---- idle clients fill the descriptors while discovery is down --------------------------------------------

SOCKETS = 56  # descriptors that the process may have
CROWD = 150
READY = b"GET /ready HTTP/1.1\r\n\r\n"


class ReturningDiscovery(Discovery):
    """Answers nothing until it is back; then it tells that `s0` drains, and `s1` is there."""

    def __init__(self, *servers):
        super().__init__()
        self.handle = self.tell
        self.servers = servers
        self.back = asyncio.Event()

    async def listen(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def tell(self, request, writer):
        if not self.back.is_set():
            await asyncio.Event().wait()
        if "since=43&" in request.target:
            await asyncio.sleep(0.05)
            return self.listing([])
        old, new = self.servers
        return self.listing([old.entry("s0", "draining"), new.entry("s1")])

    def listing(self, lines):
        body = json.dumps({"version": 43, "full": False, "servers": lines}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def heard(self):
        """Whether the node has what it was told."""
        return any("since=43&" in request.target for request in self.requests)


async def crowd_that(does, port):
    """Clients that fill the descriptors: idle after an answer, with half a request, or waiting for one."""
    crowd = []
    for _ in range(CROWD):
        client = await Client(port).open()
        client.send({"stands idle": READY, "half a request": READY[:-2], "waits": call()}[does])
        crowd.append(client)
        await asyncio.sleep(0)
    return crowd


@pytest.mark.parametrize("does", ["stands idle", "half a request", "waits"])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_a_crowd_that_fills_the_descriptors_leaves_one_for_discovery(down, does, tmp_path):
    """The system itself holds the process to its limit here. The crowd stays until the change is known."""

    async def scene():
        await (old := Server(gated(asyncio.Event()))).start()
        await (new := Server()).start()
        discovery = ReturningDiscovery(old, new)
        port, its_port = free_port(), free_port()
        if down == "silent":
            await discovery.listen(its_port)
        table = node_table(its_port, settings(discovery="push"), f"127.0.0.1:{port}", old.entry("s0"))
        process = await spawn(tmp_path, table | {"limits": {"sockets": SOCKETS}})
        await connected(first := Client(port))
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (SOCKETS, SOCKETS))
        held = f"/proc/{process.pid}/fd"
        before = len(os.listdir(held))
        crowd = await crowd_that(does, port)
        await until(lambda: len(os.listdir(held)) >= before + 8)
        discovery.back.set()
        if down == "refused":
            await discovery.listen(its_port)
        await until(discovery.heard)
        assert len(os.listdir(held)) <= SOCKETS
        for client in (first, *crowd):
            client.writer.close()
        while not new.requests:  # once there is room
            await (client := Client(port)).open()
            client.send(call())
            await client.reader.read(1)
            client.writer.close()
        assert new.requests and process.returncode is None
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)


# ---- cold servers under the sum of what all processes send ------------------------------------------------

WORKLOADS = {
    "thin": Workload(instances=30, servers=8, restarted=2, new=0, rate=1, load=0.6, burst_factor=1.5),
    "three in ten back": Workload(
        instances=30, servers=10, restarted=3, new=0, rate=10, load=0.9, burst_factor=1.5
    ),
    "as many join": Workload(
        instances=30, servers=8, restarted=3, new=3, rate=10, load=1.2, burst_factor=1.6
    ),
    "half of them": Workload(
        instances=30, servers=12, restarted=6, new=0, rate=10, load=1.2, burst_factor=1.6
    ),
    "most of them": Workload(
        instances=30, servers=12, restarted=8, new=0, rate=10, load=1.2, burst_factor=1.6
    ),
    "most of them, thin": Workload(
        instances=20, servers=12, restarted=8, new=0, rate=3, load=1.2, burst_factor=1.6
    ),
    "all of them": Workload(instances=30, servers=8, restarted=8, new=0, rate=10, load=0.9, burst_factor=1.5),
}


@pytest.mark.parametrize("workload", WORKLOADS.values(), ids=list(WORKLOADS))
@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_keeps_cold_servers_within_their_budget(workload, seed):
    """Failure prevented: what warm servers are sent in a crowd, and turn away, sets the pace of the cold."""
    fleet = Fleet(workload, seed)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())  # it ramps up all the same
    if 2 * workload.restarted <= workload.servers:  # as on the days on which idle processes count
        assert not fleet.idle_instances


@pytest.mark.parametrize("copies", [1, 2, 3, 5, 10, 20])
@pytest.mark.parametrize(
    ("servers", "restarted", "rate", "load", "burst_factor"),
    [
        pytest.param(6, 3, 30, 0.9, 4.0, id="burst"),
        pytest.param(6, 3, 30, 2.0, 3.0, id="overload"),
        pytest.param(6, 5, 30, 2.0, 3.0, id="one warm server in an overload"),
        pytest.param(6, 6, 30, 2.0, 3.0, id="no warm server in an overload"),
        pytest.param(12, 6, 5, 0.5, 8.0, id="thin traffic before a large burst"),
        pytest.param(4, 2, 10, 0.6, 1.5, id="few servers"),
    ],
)
def test_cold_servers_stay_within_their_budget_in_a_fleet_of_any_size(
    copies, servers, restarted, rate, load, burst_factor
):
    """Failure prevented: an even part of a crowd, several times what a warm server can do, sets the pace."""
    fleet = Fleet(Workload(copies, servers, restarted, 0, rate, load, burst_factor), 1)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())


@pytest.mark.parametrize("copies", [1, 2, 3, 5, 10])
@pytest.mark.parametrize(
    "rules",
    [
        pytest.param({"slow_start_share": 0.05, "slow_start_time": 10 * SEC}, id="colder"),
        pytest.param({"fall_multiple": 1.5, "fall_time": SEC}, id="closer"),
        pytest.param({"warm_servers_hang": True}, id="warm servers hang"),
    ],
)
def test_cold_servers_of_a_small_fleet_stay_within_other_budgets(copies, rules):
    fleet = Fleet(Workload(copies, 6, 3, 0, 30, 1.2, 1.6, **rules), 1)
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert all(fleet.arrivals.values())


@pytest.mark.parametrize(
    ("sent", "answered", "multiple", "rate"),
    [(10, 10, 2.5, 10), (15, 10, 2.5, 15), (60, 10, 2.5, 20), (60, 10, 1.25, 10), (60, 10, 0, 10)],
)
def test_the_pace_of_cold_servers_uses_what_the_rules_allow_and_no_more(sent, answered, multiple, rate):
    """Failure prevented: it is bound so closely that during a release the warm servers carry too much."""
    node, _ = balancer(4, fall_multiple=multiple)
    slow_start = node.slow_start
    slow_start.warm_rate, slow_start.served_rate = float(sent), float(answered)
    assert slow_start.fair_rate(0) == pytest.approx(rate)


def test_cold_servers_get_their_share_while_the_warm_ones_hang():
    """Failure prevented: warm servers that answer nothing keep the cold ones, which could, from any call.

    A quarter of their share is enough: calls that hang fill the limits of the copies, which refuse meanwhile.
    """
    fleet = Fleet(
        Workload(
            instances=30,
            servers=10,
            restarted=5,
            new=0,
            rate=10,
            load=0.5,
            burst_factor=1.0,
            warm_servers_hang=True,
        ),
        1,
    )
    fleet.run()
    assert fleet.largest_excess() <= 0
    assert sum(map(len, fleet.arrivals.values())) >= fleet.fair_share() / 4


@pytest.mark.parametrize("load", [0.3, 0.65])
@pytest.mark.parametrize("servers", [3, 10])
@pytest.mark.parametrize("rate", [1, 5])
def test_no_process_of_a_quiet_fleet_turns_everything_away(rate, servers, load):
    """Where traffic is thin and many processes share few servers, no limit falls so low that none passes."""
    fleet = Fleet(
        Workload(instances=30, servers=servers, restarted=0, new=0, rate=rate, load=load, burst_factor=1.5), 1
    )
    fleet.run()
    assert not fleet.idle_instances


# ---- a process that starts is ready -----------------------------------------------------------------------


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_a_restarted_process_is_ready_while_discovery_is_down(down, mode, tmp_path):
    """What it was told last is enough to begin with."""

    async def scene():
        await (server := Server()).start()
        discovery, port, its_port = Discovery(), free_port(), free_port()
        if down == "silent":
            await discovery.start()
            its_port = discovery.port
        table = node_table(its_port, settings(discovery=mode), f"127.0.0.1:{port}", server.entry("s0"))
        for end in ("kill", "terminate"):
            process = await spawn(tmp_path, table)
            await connected(client := Client(port))
            assert (await client.ask(READY))[0] == 200
            assert (await client.ask(call()))[0] == 200
            client.writer.close()
            getattr(process, end)()
            await process.wait()

    play(scene)
