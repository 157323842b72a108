"""Processes during an outage of discovery: the descriptor reserved for it, and restarts."""

import asyncio
import json
import os
import resource
from pathlib import Path

import pytest
from loopback import (
    Client,
    ConfigTable,
    Discovery,
    Request,
    Server,
    call,
    connect_when_listening,
    free_port,
    node_config,
    respond_after,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)

MAX_DESCRIPTORS = 56  # The limit for the process.
CLIENT_COUNT = 150
READY = b"GET /ready HTTP/1.1\r\n\r\n"


class ReturningDiscovery(Discovery):
    """Discovery that sends no response until it is back, and then reports `s0` draining and `s1` ready."""

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

    def list_of(self, lines: list[ConfigTable]) -> bytes:
        body = json.dumps({"version": 43, "full": False, "servers": lines}).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    def is_watched_again(self) -> bool:
        """Return whether the node has applied the change and renewed its watch."""
        return any("since=43&" in request.target for request in self.requests)


async def clients_that_fill_descriptors(behaviour: str, port: int) -> list[Client]:
    """Open clients that are idle after a response, have sent half a request or wait for a response."""
    crowd = []
    for _ in range(CLIENT_COUNT):
        client = await Client(port).open()
        client.send({"idle": READY, "half a request": READY[:-2], "waiting": call()}[behaviour])
        crowd.append(client)
        await asyncio.sleep(0)
    return crowd


@pytest.mark.parametrize("behaviour", ["idle", "half a request", "waiting"])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_crowd_filling_descriptors_leaves_one_for_discovery(
    down: str, behaviour: str, tmp_path: Path
) -> None:
    """The node must keep a descriptor for discovery while clients use up the limit of the process.

    The clients stay connected until the node has the change, and the kernel enforces the limit.
    """

    async def scenario() -> None:
        await (old := Server(respond_after(asyncio.Event()))).start()
        await (new := Server()).start()
        discovery = ReturningDiscovery(old, new)
        port, discovery_port = free_port(), free_port()
        if down == "silent":
            await discovery.listen(discovery_port)
        table = node_config(discovery_port, settings(discovery="push"), f"127.0.0.1:{port}", old.entry("s0"))
        process = await spawn_node(tmp_path, table | {"limits": {"sockets": MAX_DESCRIPTORS}})
        await connect_when_listening(first := Client(port))
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, MAX_DESCRIPTORS))
        descriptor_folder = f"/proc/{process.pid}/fd"
        initial_descriptor_count = len(os.listdir(descriptor_folder))
        crowd = await clients_that_fill_descriptors(behaviour, port)
        await wait_until(lambda: len(os.listdir(descriptor_folder)) >= initial_descriptor_count + 8)
        discovery.back.set()
        if down == "refused":
            await discovery.listen(discovery_port)
        await wait_until(discovery.is_watched_again)
        assert len(os.listdir(descriptor_folder)) <= MAX_DESCRIPTORS
        for client in (first, *crowd):
            client.writer.close()
        while not new.requests:  # Until the node has a free descriptor for a client.
            await (client := Client(port)).open()
            client.send(call())
            await client.reader.read(1)
            client.writer.close()
        assert new.requests and process.returncode is None
        process.terminate()
        assert await asyncio.wait_for(process.wait(), 20) == 0

    run_scenario(scenario)


@pytest.mark.parametrize("mode", ["push", "ask"])
@pytest.mark.parametrize("down", ["refused", "silent"])
def test_restarted_process_is_ready_while_discovery_is_down(down: str, mode: str, tmp_path: Path) -> None:
    """The last known server list, from the configuration, is enough to serve requests."""

    async def scenario() -> None:
        await (server := Server()).start()
        discovery, port, discovery_port = Discovery(), free_port(), free_port()
        if down == "silent":
            await discovery.start()
            discovery_port = discovery.port
        table = node_config(discovery_port, settings(discovery=mode), f"127.0.0.1:{port}", server.entry("s0"))
        for stop in ("kill", "terminate"):
            process = await spawn_node(tmp_path, table)
            await connect_when_listening(client := Client(port))
            assert (await client.request(READY))[0] == 200
            assert (await client.request(call()))[0] == 200
            client.writer.close()
            getattr(process, stop)()
            await process.wait()

    run_scenario(scenario)
