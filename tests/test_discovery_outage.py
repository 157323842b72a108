"""Processes while discovery is down: one descriptor is left for it, and a restarted process is ready."""

import asyncio
import json
import os
import resource
from pathlib import Path

import pytest
from loopback import (
    Client,
    Discovery,
    Request,
    Server,
    Table,
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

SOCKETS = 56  # descriptors that the process may have
CROWD = 150
READY = b"GET /ready HTTP/1.1\r\n\r\n"


class ReturningDiscovery(Discovery):
    """Answers nothing until it is back; then it responds that `s0` drains, and `s1` is there."""

    def __init__(self, *servers: Server) -> None:
        super().__init__()
        self.handle = self.respond
        self.servers = servers
        self.back = asyncio.Event()

    async def listen(self, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        if not self.back.is_set():
            await asyncio.Event().wait()
        if "since=43&" in request.target:
            await asyncio.sleep(0.05)
            return self.list_of([])
        old, new = self.servers
        return self.list_of([old.entry("s0", "draining"), new.entry("s1")])

    def list_of(self, lines: list[Table]) -> bytes:
        body = json.dumps({"version": 43, "full": False, "servers": lines}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def is_watched_again(self) -> bool:
        """Whether the node has taken the change and watches on."""
        return any("since=43&" in request.target for request in self.requests)


async def clients_that_fill_descriptors(behaviour: str, port: int) -> list[Client]:
    """Clients that fill the descriptors: idle after an answer, with half a request, or waiting for one."""
    crowd = []
    for _ in range(CROWD):
        client = await Client(port).open()
        client.send({"stands idle": READY, "half a request": READY[:-2], "waits": call()}[behaviour])
        crowd.append(client)
        await asyncio.sleep(0)
    return crowd


@pytest.mark.parametrize("behaviour", ["stands idle", "half a request", "waits"])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_a_crowd_that_fills_the_descriptors_leaves_one_for_discovery(
    down: str, behaviour: str, tmp_path: Path
) -> None:
    """The system itself holds the process to its limit here. The crowd stays until the change is known."""

    async def scene() -> None:
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
        crowd = await clients_that_fill_descriptors(behaviour, port)
        await until(lambda: len(os.listdir(held)) >= before + 8)
        discovery.back.set()
        if down == "refused":
            await discovery.listen(its_port)
        await until(discovery.is_watched_again)
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


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_a_restarted_process_is_ready_while_discovery_is_down(down: str, mode: str, tmp_path: Path) -> None:
    """What it was told last is enough to begin with."""

    async def scene() -> None:
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
