"""Replacement of a process by a new one: the inherited socket and the limits that both share."""

import asyncio
import fcntl
import os
import signal
import socket
from pathlib import Path
from types import SimpleNamespace

import pytest
from loopback import (
    OK,
    Bench,
    Client,
    Discovery,
    NodeProgram,
    Server,
    call,
    free_port,
    node_config,
    respond_with,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)
from support import OLD_PACKAGE_REVISION

from balancer.net.process import handover
from balancer.net.process.handover import FILE_PREFIX, WITHIN_BUDGET_MARKER, Handover, adopt_listening_socket
from workbench.lab.earlier import unpack

READY = b"GET /control/ready HTTP/1.1\r\n\r\n"


@pytest.fixture
def directory(tmp_path) -> Path:
    path = tmp_path / "shared"
    path.mkdir()
    return path


def create_handover(directory: Path, shared_changes: list[bool]) -> Handover:
    """Create the handover of one process, which records each change of `is_shared`."""
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(directory), shared_changes.append, log)


def open_platform_listener() -> socket.socket:
    """Open the listening socket that the platform hands to each process of the node."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    return listener


async def wait_until_ready(port: int) -> None:
    """Wait until a process reports on its management port that it accepts clients."""
    while True:
        try:
            client = await Client(port).open()
            status = (await client.request(READY))[0]
            client.writer.close()
            if status == 200:
                return
        except (ConnectionRefusedError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("earlier_revision", ["neither", "old", "new"])
def test_handover_to_new_process_loses_no_connection(tmp_path, directory, earlier_revision):
    """Connections in the shared backlog are neither reset nor left unread when the old process ends.

    In two cases one of the processes runs the last revision before the packages were renamed.
    """
    programs = {"old": NodeProgram(), "new": NodeProgram()}
    if earlier_revision in programs:
        unpack(OLD_PACKAGE_REVISION, tmp_path / "earlier")
        programs[earlier_revision] = NodeProgram("brackenladder", tmp_path / "earlier")

    async def scenario():
        release = asyncio.Event()

        async def hold_marked_requests(request, writer):
            if request.headers.get("x-held"):
                await release.wait()
            return OK

        await (server := Server(hold_marked_requests)).start()
        await (discovery := Discovery()).start()
        with open_platform_listener() as listener:
            port, descriptor = listener.getsockname()[1], listener.fileno()
            env = {"LB_INHERITED_FD": str(descriptor), "TMPDIR": str(directory)}
            table = node_config(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
            ports = free_port(), free_port()
            old_management = f"127.0.0.1:{ports[0]}"
            old = await spawn_node(
                tmp_path, table, (descriptor,), programs["old"], **env, LB_MANAGEMENT=old_management
            )
            await wait_until_ready(ports[0])
            (held_client := await Client(port).open()).send(call(extra=b"X-Held: 1\r\n"))
            await wait_until(lambda: len(server.requests) == 1)
            new_management = f"127.0.0.1:{ports[1]}"
            new = await spawn_node(
                tmp_path, table, (descriptor,), programs["new"], **env, LB_MANAGEMENT=new_management
            )
            await wait_until_ready(ports[1])
            assert len(list(directory.iterdir())) == 2
            old.send_signal(signal.SIGTERM)
            request_count = 0
            while len(list(directory.iterdir())) == 2:
                client = await Client(port).open()
                assert (await client.request(call()))[0] == 200
                client.writer.close()
                request_count += 1
                if request_count == 20:
                    release.set()
            assert (await held_client.receive())[0] == 200
            assert await asyncio.wait_for(old.wait(), 20) == 0
            client = await Client(port).open()
            assert (await client.request(call()))[0] == 200
            new.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(new.wait(), 20) == 0
            # The platform's socket still listens: neither process has shut it down.
            await Client(port).open()

    run_scenario(scenario)


def test_inherited_descriptor_not_listening_is_left_open(tmp_path):
    """The process neither closes a descriptor that belongs to something else nor fails because of it."""

    async def scenario():
        with socket.socket() as unbound, open(tmp_path / "file", "w") as file:
            for text in ("", "x", "-1", "99999999999999999999", "9999", str(unbound.fileno())):
                assert adopt_listening_socket(text) is None
            assert adopt_listening_socket(str(file.fileno())) is None
            os.fstat(file.fileno())
            unbound.bind(("127.0.0.1", 0))  # The socket is still open.
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        table = node_config(
            discovery.port, settings(), f"127.0.0.1:{(port := free_port())}", server.entry("s")
        )
        process = await spawn_node(tmp_path, table, LB_INHERITED_FD="99")
        assert process.stderr is not None
        assert b"LB_INHERITED_FD=99 is no listening socket" in await process.stderr.readline()
        while True:
            try:
                client = await Client(port).open()
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        assert (await client.request(call()))[0] == 200
        process.kill()
        await process.wait()

    run_scenario(scenario)


def test_new_process_waits_until_older_one_has_shrunk(directory):
    """The two never use more than the limits of one node together, and the new one starts in the end."""

    async def scenario():
        shared_changes: dict[str, list[bool]] = {"old": [], "new": []}
        is_within_budget = False
        old, new = (
            create_handover(directory, shared_changes["old"]),
            create_handover(directory, shared_changes["new"]),
        )
        await old.start(lambda: is_within_budget)
        assert shared_changes["old"] == [] and not old.is_shared
        start = asyncio.create_task(new.start(lambda: True))
        await wait_until(lambda: shared_changes == {"old": [True], "new": [True]})
        assert old.is_older and not new.is_older and not start.done()
        is_within_budget = True
        await start
        old.close()
        await wait_until(lambda: shared_changes["new"] == [True, False])
        new.close()
        assert not list(directory.iterdir())

    run_scenario(scenario)


def test_start_times_out_if_older_process_does_not_shrink(directory, monkeypatch):
    monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 0.0)

    async def scenario():
        old, new = create_handover(directory, []), create_handover(directory, [])
        await old.start(lambda: False)
        await new.start(lambda: True)
        assert new.is_shared
        old.close()
        new.close()

    run_scenario(scenario)


def test_older_process_recovers_after_marker_write_failed(directory, monkeypatch):
    """On a full disk the older process goes on polling and gets all of the limits when it is alone again."""

    async def scenario():
        shared_changes: list[bool] = []
        old, new = create_handover(directory, shared_changes), create_handover(directory, [])
        await old.start(lambda: True)

        def fail_disk_full(*args):
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(handover.os, "pwrite", fail_disk_full)
        monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 0.0)
        await new.start(lambda: True)
        await wait_until(lambda: shared_changes == [True])
        new.close()
        await wait_until(lambda: shared_changes == [True, False])
        old.close()

    run_scenario(scenario)


def test_locked_fifo_is_not_taken_for_a_process(directory):
    """Reading the FIFO would block the start until something writes to it."""
    os.mkfifo(directory / f"{FILE_PREFIX}pipe")
    locked_fifo = os.open(directory / f"{FILE_PREFIX}pipe", os.O_RDONLY | os.O_NONBLOCK)
    fcntl.flock(locked_fifo, fcntl.LOCK_EX)

    async def scenario():
        process = create_handover(directory, [])
        await process.start(lambda: True)
        assert not process.is_shared
        process.close()

    run_scenario(scenario)
    os.close(locked_fifo)


def test_start_ignores_files_of_dead_processes_and_others(directory):
    """A killed process leaves files behind, which must neither delay nor fail the start of the next one."""
    (directory / f"{FILE_PREFIX}{0:020d}-dead").write_bytes(WITHIN_BUDGET_MARKER)
    (directory / f"{FILE_PREFIX}{0:020d}-cut").write_bytes(b"\xff" * 4096)
    (directory / f"{FILE_PREFIX}folder").mkdir()
    (directory / f"{FILE_PREFIX}link").symlink_to("/nowhere")
    os.mkfifo(directory / f"{FILE_PREFIX}pipe")
    (directory / "somebody's").write_text("else")

    async def scenario():
        shared_changes: list[bool] = []
        process = create_handover(directory, shared_changes)
        await process.start(lambda: True)
        assert shared_changes == [] and not process.is_shared
        assert not (directory / f"{FILE_PREFIX}{0:020d}-dead").exists()
        assert (directory / "somebody's").exists()
        process.close()

    run_scenario(scenario)


@pytest.mark.parametrize("kind", ["missing", "a file"])
def test_process_keeps_to_half_if_directory_is_unusable(directory, kind):
    async def scenario():
        path = directory / "x"
        if kind == "a file":
            path.write_text("")
        shared_changes: list[bool] = []
        process = create_handover(path, shared_changes)
        await process.start(lambda: True)
        assert shared_changes == [True]
        process.close()

    run_scenario(scenario)


def test_processes_split_descriptors_and_hand_over_peer_port(directory):
    async def scenario():
        listener = open_platform_listener()
        peer_port = free_port()
        config = {"inherited": str(os.dup(listener.fileno())), "folder": str(directory)}
        config |= {"listen": "127.0.0.1:1", "peer_listen": f"127.0.0.1:{peer_port}", "peers": []}
        (first := Bench(Server(), config=config)).port = listener.getsockname()[1]
        await first.start()
        full_budget = first.node.descriptor_budget.total
        clients = [await first.client() for _ in range(2)]
        for client in clients:
            assert (await client.request(call()))[0] == 200
        config["inherited"] = str(os.dup(listener.fileno()))
        second = await Bench(Server(), config=config).start()
        nodes = first.node, second.node
        for node in nodes:
            assert node.descriptor_budget.total <= full_budget // 2
        assert first.node.peers.transport is None
        await wait_until(lambda: second.node.peers.transport is not None)
        await asyncio.wait_for(first.node.drain(), 20)
        assert all([await client.ended() for client in clients])
        await wait_until(lambda: not second.node.handover.is_shared)
        assert second.node.descriptor_budget.total == full_budget
        assert (await second.request_once(call()))[0] == 200

    run_scenario(scenario)


def test_shrunk_descriptor_budget_closes_idle_connections():
    async def scenario():
        bench = await Bench(Server(), Server()).start()
        clients = [await bench.client() for _ in range(6)]
        for client in clients:
            assert (await client.request(call()))[0] == 200
        node = bench.node
        assert node.descriptor_budget.servers == 1
        node.descriptor_budget.total = 0
        node.pool.shrink()
        node.descriptor_budget.total = 5
        node.client_connections.shrink()
        assert len(node.client_connections.connections) == node.client_connections.max_served() == 3
        await wait_until(lambda: node.descriptor_budget.servers == 0 and node.is_within_budget())
        ended = [asyncio.create_task(client.ended()) for client in clients]
        await wait_until(lambda: sum(task.done() for task in ended) == 3)

    run_scenario(scenario)


def test_process_with_too_many_connections_is_over_budget():
    async def scenario():
        bench = await Bench(server := Server(respond_with(None))).start()
        client = await bench.client()
        client.send(call())
        await wait_until(lambda: len(server.requests) == 1)
        bench.node.descriptor_budget.total = 1
        assert not bench.node.is_within_budget()

    run_scenario(scenario)
