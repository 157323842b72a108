"""Signals, lists and hand-overs that cross at a process's end, in both orders."""

import asyncio
import json
import signal
from types import SimpleNamespace

import pytest
from loopback import (
    MOMENT,
    OK,
    Bench,
    Client,
    Discovery,
    Server,
    always,
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

from balancer.net.process.handover import FILE_PREFIX, FITS_MARKER, Handover

READY = b"GET /ready HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize("listed", [True, False], ids=["list came", "before the list"])
@pytest.mark.parametrize("second", ["SIGTERM", "SIGHUP", "SIGHUP on half a file", "none"])
def test_a_process_that_is_told_to_end_answers_and_ends_whatever_else_it_is_told(tmp_path, listed, second):
    """Failure prevented: a signal that crosses the end kills the process, or keeps it from ending."""

    async def scene():
        release = asyncio.Event()
        await (server := Server(gated(release))).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_table(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        if not listed:
            del table["known"]
        process = await spawn(tmp_path, table)
        await connected(client := Client(port))
        idle = await Client(port).open()
        assert (await idle.ask(READY))[0] == (200 if listed else 503)
        client.send(call("invite"))
        if listed:
            await until(lambda: len(server.requests) == 1)
        else:
            assert (await client.receive())[0] == 503
        process.send_signal(signal.SIGTERM)
        assert await idle.ended()  # the signal has been heard
        if second == "SIGHUP on half a file":
            (tmp_path / "config.json").write_text(json.dumps(table)[:50])
        if second != "none":
            process.send_signal(getattr(signal, second.split(" ")[0]))
        release.set()
        if listed:
            status, headers, body = await client.receive()
            assert (status, body, headers["connection"]) == (200, b"ok", "close")
        assert await client.ended()
        client.writer.close()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)


@pytest.mark.parametrize("came", ["before SIGTERM", "after it"])
@pytest.mark.parametrize("effect", ["view", "invite", "offer"])
def test_hung_servers_and_an_end_still_give_each_request_one_answer(came, effect):
    """The servers say nothing; clients come again at once on what stays open, until nothing does."""

    async def scene():
        limits = settings(policy_limits={"max_attempts": 2})
        for klass in limits["classes"]:
            klass["goal_time"], klass["hard_limit"] = MOMENT // 10, MOMENT // 5
        bench = await Bench(Server(always(None)), Server(always(None)), **limits).start()
        client = await bench.client()
        drain = None
        if came == "after it":
            assert (await client.ask(READY))[0] == 200
            drain = asyncio.create_task(bench.node.drain())
            await until(lambda: bench.node.requests.last_response_at is not None)
        client.send(call(effect, budget=200))
        await until(lambda: bool(bench.node.requests.by_client))
        drain = drain or asyncio.create_task(bench.node.drain())
        status, headers, _ = await client.receive()
        assert status in (502, 503, 504) and headers["connection"] == "close"
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert bench.node.requests.overdue_count == 0 and bench.node.descriptor_budget.clients == 0

    play(scene)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_server_drains_as_the_node_ends(state):
    """The list still counts for a node that is leaving: nothing new goes to that server."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(going := Server(), other := Server(gated(release)), discovery="push").start()
        told = bench.discovery
        told.say(42, True, going.entry("s0"), other.entry("s1", "draining"))
        await until(lambda: len(told.requests) == 2)
        client = await bench.client()
        drain = asyncio.create_task(bench.node.drain())
        await until(lambda: bench.node.requests.last_response_at is not None)
        told.say(43, False, going.entry("s0", state), other.entry("s1"))
        await until(lambda: bench.node.discovery.version == 43)
        release.set()
        client.send(call("invite"))
        assert (await client.receive())[0] == 200
        assert (len(going.requests), len(other.requests)) == (0, 1)
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    play(scene)


# ---- hand-overs -----------------------------------------------------------------------------------


def process(folder, shares: list[bool]) -> Handover:
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(folder), shares.append, log)


@pytest.mark.parametrize("made_room", [True, False])
def test_the_younger_process_dies_before_or_after_the_elder_has_made_room(tmp_path, made_room):
    """Failure prevented: the elder keeps to half for good, or its old word lets the next one in too early."""

    async def scene():
        shares: list[bool] = []
        roomy = made_room
        old, new = process(tmp_path, shares), process(tmp_path, [])
        await old.start(lambda: roomy)
        start = asyncio.create_task(new.start(lambda: True))
        await until(lambda: old.is_older and (old.fit_reported or not made_room))
        start.cancel()
        new.close()
        await until(lambda: shares == [True, False] and not old.is_older)
        assert old.read_marker(old.name) == b"" and not old.fit_reported
        roomy = False
        third = process(tmp_path, [])
        start = asyncio.create_task(third.start(lambda: True))
        await until(lambda: old.is_older)
        assert not start.done()
        roomy = True
        await start
        assert old.read_marker(old.name) == FITS_MARKER
        old.close()
        third.close()

    play(scene)


def test_two_processes_that_look_at_once_agree_who_is_the_elder(tmp_path):
    """Each has its file before either has looked: one leaves, and both know which."""

    async def scene():
        one, two = process(tmp_path, []), process(tmp_path, [])
        one.fits = two.fits = lambda: True
        one.create_file()
        two.create_file()
        for each in (two, one):
            each.poll()
        assert [one.is_older, two.is_older] == [one.name < two.name, two.name < one.name]
        assert one.shared and two.shared
        one.close()
        two.close()

    play(scene)


def test_what_a_process_that_died_while_it_joined_left_behind_stops_nobody(tmp_path):
    async def scene():
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead.new").write_bytes(b"")
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").write_bytes(FITS_MARKER)
        alone = process(tmp_path, shares := [])
        await alone.start(lambda: True)
        assert shares == [] and not alone.shared
        assert not (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").exists()
        alone.close()

    play(scene)


def test_a_server_that_answers_as_the_node_ends_is_heard():
    """The last attempt's answer and the end cross: the client has it, whichever comes first."""

    async def scene():
        release = asyncio.Event()
        bench = await Bench(Server(gated(release)), Server(always(OK))).start()
        client = await bench.client()
        client.send(call("invite"))
        await until(lambda: bool(bench.node.requests.by_client))
        release.set()
        drain = asyncio.create_task(bench.node.drain())
        assert (await client.receive())[2] == b"ok"
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    play(scene)
