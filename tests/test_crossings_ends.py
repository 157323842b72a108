"""Signals, server lists and handovers that coincide with the shutdown of a process, in both orders."""

import asyncio
import json
import signal
from types import SimpleNamespace

import pytest
from loopback import (
    OK,
    SECOND_US,
    Bench,
    Client,
    Discovery,
    Server,
    call,
    connect_when_listening,
    free_port,
    node_config,
    respond_after,
    respond_with,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)

from balancer.net.process.handover import FILE_PREFIX, WITHIN_BUDGET_MARKER, Handover

READY = b"GET /ready HTTP/1.1\r\n\r\n"


@pytest.mark.parametrize("has_list", [True, False], ids=["with server list", "without server list"])
@pytest.mark.parametrize("second", ["SIGTERM", "SIGHUP", "SIGHUP with half a file", "none"])
def test_second_signal_during_shutdown_does_not_disturb_it(tmp_path, has_list, second):
    """A signal during the shutdown neither kills the process nor keeps it from ending."""

    async def scenario():
        release = asyncio.Event()
        await (server := Server(respond_after(release))).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_config(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        if not has_list:
            del table["known"]
        process = await spawn_node(tmp_path, table)
        await connect_when_listening(client := Client(port))
        idle = await Client(port).open()
        assert (await idle.request(READY))[0] == (200 if has_list else 503)
        client.send(call("invite"))
        if has_list:
            await wait_until(lambda: len(server.requests) == 1)
        else:
            assert (await client.receive())[0] == 503
        process.send_signal(signal.SIGTERM)
        assert await idle.ended()  # The process has handled the signal.
        if second == "SIGHUP with half a file":
            (tmp_path / "config.json").write_text(json.dumps(table)[:50])
        if second != "none":
            process.send_signal(getattr(signal, second.split(" ")[0]))
        release.set()
        if has_list:
            status, headers, body = await client.receive()
            assert (status, body, headers["connection"]) == (200, b"ok", "close")
        assert await client.ended()
        client.writer.close()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("arrival", ["before SIGTERM", "after SIGTERM"])
@pytest.mark.parametrize("effect", ["view", "invite", "offer"])
def test_request_to_hung_servers_during_shutdown_gets_response(arrival, effect):
    """Each request gets exactly one response during the shutdown, although no server responds."""

    async def scenario():
        limits = settings(policy_limits={"max_attempts": 2})
        for request_class in limits["classes"]:
            request_class["goal_time"], request_class["hard_limit"] = SECOND_US // 10, SECOND_US // 5
        bench = await Bench(Server(respond_with(None)), Server(respond_with(None)), **limits).start()
        client = await bench.client()
        drain = None
        if arrival == "after SIGTERM":
            assert (await client.request(READY))[0] == 200
            drain = asyncio.create_task(bench.node.drain())
            await wait_until(lambda: bench.node.requests.shutdown.last_response_at is not None)
        client.send(call(effect, budget=200))
        await wait_until(lambda: bool(bench.node.requests.by_client))
        drain = drain or asyncio.create_task(bench.node.drain())
        status, headers, _ = await client.receive()
        assert status in (502, 503, 504) and headers["connection"] == "close"
        assert await client.ended()
        client.writer.close()
        await asyncio.wait_for(drain, 20)
        assert bench.node.requests.overdue_count == 0 and bench.node.descriptor_budget.clients == 0

    run_scenario(scenario)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_server_list_during_shutdown_is_applied(state):
    """A node that is shutting down sends no new requests to a server listed as draining or gone."""

    async def scenario():
        release = asyncio.Event()
        bench = await Bench(
            leaving := Server(), other := Server(respond_after(release)), discovery="push"
        ).start()
        discovery = bench.discovery
        discovery.send_list(42, True, leaving.entry("s0"), other.entry("s1", "draining"))
        await wait_until(lambda: len(discovery.requests) == 2)
        client = await bench.client()
        drain = asyncio.create_task(bench.node.drain())
        await wait_until(lambda: bench.node.requests.shutdown.last_response_at is not None)
        discovery.send_list(43, False, leaving.entry("s0", state), other.entry("s1"))
        await wait_until(lambda: bench.node.discovery.version == 43)
        release.set()
        client.send(call("invite"))
        assert (await client.receive())[0] == 200
        assert (len(leaving.requests), len(other.requests)) == (0, 1)
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    run_scenario(scenario)


# ---- handovers ------------------------------------------------------------------------------------


def create_handover(directory, shared_changes: list[bool]) -> Handover:
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(directory), shared_changes.append, log)


@pytest.mark.parametrize("has_shrunk", [True, False])
def test_older_process_recovers_if_younger_one_dies(tmp_path, has_shrunk):
    """The older process gets all of the limits back and clears its marker, so that the next one waits for it.

    The younger process dies before or after the older one has shrunk to half of the limits.
    """

    async def scenario():
        shared_changes: list[bool] = []
        is_within_budget = has_shrunk
        old, new = create_handover(tmp_path, shared_changes), create_handover(tmp_path, [])
        await old.start(lambda: is_within_budget)
        start = asyncio.create_task(new.start(lambda: True))
        await wait_until(lambda: old.is_older and (old.has_reported or not has_shrunk))
        start.cancel()
        new.close()
        await wait_until(lambda: shared_changes == [True, False] and not old.is_older)
        assert old.read_marker(old.file_name) == b"" and not old.has_reported
        is_within_budget = False
        third = create_handover(tmp_path, [])
        start = asyncio.create_task(third.start(lambda: True))
        await wait_until(lambda: old.is_older)
        assert not start.done()
        is_within_budget = True
        await start
        assert old.read_marker(old.file_name) == WITHIN_BUDGET_MARKER
        old.close()
        third.close()

    run_scenario(scenario)


def test_processes_starting_together_agree_which_is_older(tmp_path):
    """Both create their files before either polls; exactly one regards itself as the older one."""

    async def scenario():
        first, second = create_handover(tmp_path, []), create_handover(tmp_path, [])
        first.is_within_budget = second.is_within_budget = lambda: True
        first.create_file()
        second.create_file()
        for handover in (second, first):
            handover.poll()
        assert [first.is_older, second.is_older] == [
            first.file_name < second.file_name,
            second.file_name < first.file_name,
        ]
        assert first.is_shared and second.is_shared
        first.close()
        second.close()

    run_scenario(scenario)


def test_files_of_process_that_died_at_startup_are_ignored(tmp_path):
    async def scenario():
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead.new").write_bytes(b"")
        (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").write_bytes(WITHIN_BUDGET_MARKER)
        alone = create_handover(tmp_path, shared_changes := [])
        await alone.start(lambda: True)
        assert shared_changes == [] and not alone.is_shared
        assert not (tmp_path / f"{FILE_PREFIX}{9:020d}-dead").exists()
        alone.close()

    run_scenario(scenario)


def test_server_response_at_shutdown_reaches_the_client():
    """The client receives the response of the last attempt, whether it or the shutdown comes first."""

    async def scenario():
        release = asyncio.Event()
        bench = await Bench(Server(respond_after(release)), Server(respond_with(OK))).start()
        client = await bench.client()
        client.send(call("invite"))
        await wait_until(lambda: bool(bench.node.requests.by_client))
        release.set()
        drain = asyncio.create_task(bench.node.drain())
        assert (await client.receive())[2] == b"ok"
        client.writer.close()
        await asyncio.wait_for(drain, 20)

    run_scenario(scenario)
