"""How soon a node has a change of the list, whatever failed before and in whichever form it comes."""

import asyncio
import json
from random import Random

import pytest
from loopback import (
    MOMENT,
    Bench,
    Server,
    node_table,
    play,
    settings,
    until,
)
from virtual_time import FAULTS, REQUEST_FAULTS, FakeDiscovery, VirtualTimeLoop, list_response

from balancer.net.config import read
from balancer.net.discovery import client as node_discovery
from balancer.net.node import Node

MAX_DELAY = 6.0  # seconds after discovery had a change and could be reached
MAX_DELAY_AFTER_RELOAD = 4.0  # seconds after SIGHUP


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
            assert loop.time() < limit, "still not notified"
            await asyncio.sleep(0.02)
        return loop.time()

    return loop.run_until_complete(wait_for_version())


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_notified_in_time_whatever_went_wrong_before(fault, mode, production_watch):
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
def test_a_change_is_notified_in_time_after_failures_of_all_kinds(mode, production_watch):
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
