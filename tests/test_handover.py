"""One process replaced by another: the inherited socket, and what both together may have."""

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
    Program,
    Server,
    always,
    call,
    free_port,
    node_table,
    play,
    settings,
    spawn,
    until,
)
from support import BEFORE_RENAMING

from balancer.net.process import handover
from balancer.net.process.handover import FILE_PREFIX, FITS_MARKER, Handover, adopt_listening_socket
from workbench.lab.earlier import unpack

READY = b"GET /control/ready HTTP/1.1\r\n\r\n"


@pytest.fixture
def folder(tmp_path) -> Path:
    made = tmp_path / "shared"
    made.mkdir()
    return made


def process(folder: Path, shares: list[bool]) -> Handover:
    """One process's side of the agreement."""
    log = SimpleNamespace(line=lambda text: None)
    return Handover(asyncio.get_running_loop(), str(folder), shares.append, log)


def held_listener() -> socket.socket:
    """The clients' socket, as the platform holds it."""
    s = socket.socket()
    s.bind(("127.0.0.1", 0))
    s.listen(64)
    return s


async def answers_ready(port: int) -> None:
    """Waits until a process says that it takes clients."""
    while True:
        try:
            client = await Client(port).open()
            status = (await client.ask(READY))[0]
            client.writer.close()
            if status == 200:
                return
        except (ConnectionRefusedError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("earlier", ["neither", "old", "new"])
def test_a_second_process_takes_over_and_no_connection_is_lost(tmp_path, folder, earlier):
    """Failure prevented: what waits in the shared queue is reset or never read when the old process ends.

    Also where one of the two is of the last revision before the packages were renamed.
    """
    programs = {"old": Program(), "new": Program()}
    if earlier in programs:
        unpack(BEFORE_RENAMING, tmp_path / "earlier")
        programs[earlier] = Program("brackenladder", tmp_path / "earlier")

    async def scene():
        release = asyncio.Event()

        async def held(request, writer):
            if request.headers.get("x-held"):
                await release.wait()
            return OK

        await (server := Server(held)).start()
        await (discovery := Discovery()).start()
        with held_listener() as listener:
            port, number = listener.getsockname()[1], listener.fileno()
            env = {"LB_INHERITED_FD": str(number), "TMPDIR": str(folder)}
            table = node_table(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
            ports = free_port(), free_port()
            first = f"127.0.0.1:{ports[0]}"
            old = await spawn(tmp_path, table, (number,), programs["old"], **env, LB_MANAGEMENT=first)
            await answers_ready(ports[0])
            (kept := await Client(port).open()).send(call(extra=b"X-Held: 1\r\n"))
            await until(lambda: len(server.requests) == 1)
            second = f"127.0.0.1:{ports[1]}"
            new = await spawn(tmp_path, table, (number,), programs["new"], **env, LB_MANAGEMENT=second)
            await answers_ready(ports[1])
            assert len(list(folder.iterdir())) == 2
            old.send_signal(signal.SIGTERM)
            asked = 0
            while len(list(folder.iterdir())) == 2:
                client = await Client(port).open()
                assert (await client.ask(call()))[0] == 200
                client.writer.close()
                asked += 1
                if asked == 20:
                    release.set()
            assert (await kept.receive())[0] == 200
            assert await asyncio.wait_for(old.wait(), 20) == 0
            client = await Client(port).open()
            assert (await client.ask(call()))[0] == 200
            new.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(new.wait(), 20) == 0
            # The platform's socket still listens: nobody has shut it down.
            await Client(port).open()

    play(scene)


def test_a_descriptor_that_is_no_listening_socket_is_left_alone(tmp_path):
    """Failure prevented: the process ends over it, or closes what is not its own."""

    async def scene():
        with socket.socket() as unbound, open(tmp_path / "file", "w") as file:
            for text in ("", "x", "-1", "99999999999999999999", "9999", str(unbound.fileno())):
                assert adopt_listening_socket(text) is None
            assert adopt_listening_socket(str(file.fileno())) is None
            os.fstat(file.fileno())
            unbound.bind(("127.0.0.1", 0))  # it is still open
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        table = node_table(
            discovery.port, settings(), f"127.0.0.1:{(port := free_port())}", server.entry("s")
        )
        process = await spawn(tmp_path, table, LB_INHERITED_FD="99")
        assert process.stderr is not None
        assert b"LB_INHERITED_FD=99 is no listening socket" in await process.stderr.readline()
        while True:
            try:
                client = await Client(port).open()
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        assert (await client.ask(call()))[0] == 200
        process.kill()
        await process.wait()

    play(scene)


def test_two_processes_know_of_each_other_and_the_elder_makes_room_first(folder):
    """Failure prevented: both take the whole node's descriptors, or the new one is held up for good."""

    async def scene():
        shares: dict[str, list[bool]] = {"old": [], "new": []}
        roomy = False
        old, new = process(folder, shares["old"]), process(folder, shares["new"])
        await old.start(lambda: roomy)
        assert shares["old"] == [] and not old.shared
        start = asyncio.create_task(new.start(lambda: True))
        await until(lambda: shares == {"old": [True], "new": [True]})
        assert old.is_older and not new.is_older and not start.done()
        roomy = True
        await start
        old.close()
        await until(lambda: shares["new"] == [True, False])
        new.close()
        assert not list(folder.iterdir())

    play(scene)


def test_an_elder_that_says_nothing_does_not_hold_up_the_start(folder, monkeypatch):
    monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 0.0)

    async def scene():
        old, new = process(folder, []), process(folder, [])
        await old.start(lambda: False)
        await new.start(lambda: True)
        assert new.shared
        old.close()
        new.close()

    play(scene)


def test_a_folder_that_is_full_stops_nobody(folder, monkeypatch):
    """Failure prevented: the word cannot be written, and the elder never looks again: it keeps to half."""

    async def scene():
        shares: list[bool] = []
        old, new = process(folder, shares), process(folder, [])
        await old.start(lambda: True)

        def full(*args):
            raise OSError(28, "No space left on device")

        monkeypatch.setattr(handover.os, "pwrite", full)
        monkeypatch.setattr(handover, "SHRINK_TIMEOUT_S", 0.0)
        await new.start(lambda: True)
        await until(lambda: shares == [True])
        new.close()
        await until(lambda: shares == [True, False])
        old.close()

    play(scene)


def test_what_is_no_file_is_no_process_even_if_somebody_holds_it(folder):
    """Failure prevented: a pipe that is held is read, and the start waits for its writer."""
    os.mkfifo(folder / f"{FILE_PREFIX}pipe")
    held = os.open(folder / f"{FILE_PREFIX}pipe", os.O_RDONLY | os.O_NONBLOCK)
    fcntl.flock(held, fcntl.LOCK_EX)

    async def scene():
        one = process(folder, [])
        await one.start(lambda: True)
        assert not one.shared
        one.close()

    play(scene)
    os.close(held)


def test_what_dead_processes_and_others_left_never_stops_a_start(folder):
    """Failure prevented: a killed process leaves files behind, and the next one waits or fails for them."""
    (folder / f"{FILE_PREFIX}{0:020d}-dead").write_bytes(FITS_MARKER)
    (folder / f"{FILE_PREFIX}{0:020d}-cut").write_bytes(b"\xff" * 4096)
    (folder / f"{FILE_PREFIX}folder").mkdir()
    (folder / f"{FILE_PREFIX}link").symlink_to("/nowhere")
    os.mkfifo(folder / f"{FILE_PREFIX}pipe")
    (folder / "somebody's").write_text("else")

    async def scene():
        shares: list[bool] = []
        one = process(folder, shares)
        await one.start(lambda: True)
        assert shares == [] and not one.shared
        assert not (folder / f"{FILE_PREFIX}{0:020d}-dead").exists()
        assert (folder / "somebody's").exists()
        one.close()

    play(scene)


@pytest.mark.parametrize("kind", ["missing", "a file"])
def test_where_nothing_can_be_agreed_a_process_keeps_to_half(folder, kind):
    async def scene():
        place = folder / "x"
        if kind == "a file":
            place.write_text("")
        shares: list[bool] = []
        one = process(place, shares)
        await one.start(lambda: True)
        assert shares == [True]
        one.close()

    play(scene)


def test_two_processes_divide_the_descriptors_and_hand_on_the_peers_port(folder):
    async def scene():
        listener = held_listener()
        peers = free_port()
        config = {"inherited": str(os.dup(listener.fileno())), "folder": str(folder)}
        config |= {"listen": "127.0.0.1:1", "peer_listen": f"127.0.0.1:{peers}", "peers": []}
        (first := Bench(Server(), config=config)).port = listener.getsockname()[1]
        await first.start()
        whole = first.node.descriptor_budget.total
        held = [await first.client() for _ in range(2)]
        for client in held:
            assert (await client.ask(call()))[0] == 200
        config["inherited"] = str(os.dup(listener.fileno()))
        second = await Bench(Server(), config=config).start()
        nodes = first.node, second.node
        for node in nodes:
            assert node.descriptor_budget.total <= whole // 2
        assert first.node.peers.transport is None
        await until(lambda: second.node.peers.transport is not None)
        await asyncio.wait_for(first.node.drain(), 20)
        assert all([await client.ended() for client in held])
        await until(lambda: not second.node.handover.shared)
        assert second.node.descriptor_budget.total == whole
        assert (await second.once(call()))[0] == 200

    play(scene)


def test_a_budget_that_shrinks_closes_what_stands_idle_beyond_it():
    async def scene():
        bench = await Bench(Server(), Server()).start()
        clients = [await bench.client() for _ in range(6)]
        for client in clients:
            assert (await client.ask(call()))[0] == 200
        node = bench.node
        assert node.descriptor_budget.servers == 1
        node.descriptor_budget.total = 0
        node.pool.shrink()
        node.descriptor_budget.total = 5
        node.client_connections.shrink()
        assert len(node.client_connections.connections) == node.client_connections.max_served() == 3
        await until(lambda: node.descriptor_budget.servers == 0 and node.fits())
        ended = [asyncio.create_task(client.ended()) for client in clients]
        await until(lambda: sum(task.done() for task in ended) == 3)

    play(scene)


def test_a_busy_process_does_not_say_that_it_fits():
    async def scene():
        bench = await Bench(server := Server(always(None))).start()
        client = await bench.client()
        client.send(call())
        await until(lambda: len(server.requests) == 1)
        bench.node.descriptor_budget.total = 1
        assert not bench.node.fits()

    play(scene)
