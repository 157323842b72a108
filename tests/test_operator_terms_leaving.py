"""The operators' terms for clients that disconnect while part of an attempt is still in the process."""

import asyncio
import socket
import struct
from typing import cast

import pytest
from loopback import (
    Bench,
    DelayedConnectLoop,
    Server,
    call,
    limit_send_buffers,
    run_scenario,
    small_buffer_listener,
    wait_until,
)

BODY_BYTES = 65536
CANCEL_SETTINGS = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])
CLOSE_MODES = pytest.mark.parametrize("mode", ["closed", "half closed", "reset"])


def close_connection(connection: socket.socket, mode: str) -> None:
    """Close a client's connection in this mode."""
    if mode == "half closed":
        connection.shutdown(socket.SHUT_WR)
        return
    if mode == "reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


async def read_to_end(connection: socket.socket) -> bytes:
    """Return what a server reads up to the end of a connection."""
    data = b""
    loop = asyncio.get_running_loop()
    try:
        while chunk := await loop.sock_recv(connection, 65536):
            data += chunk
    except ConnectionResetError:
        pass
    return data


@CLOSE_MODES
@CANCEL_SETTINGS
def test_disconnect_discards_unsent_part_of_request(
    cancel: bool, mode: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server reads part of the request, the client disconnects, then the server reads all it can get."""
    limit_send_buffers(monkeypatch)

    async def scenario() -> None:
        listener = small_buffer_listener()
        changes = {"policy_limits": {"cancel": cancel}}
        bench = await Bench(other := Server(), config={"known": None}, **changes).start()
        bench.discovery.send_list(
            42, True, other.entry("half", addr=f"127.0.0.1:{listener.getsockname()[1]}")
        )
        await wait_until(lambda: bench.node.lifecycle.is_serving)
        client = socket.create_connection(("127.0.0.1", bench.port))
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, client.sendall, call("offer", body=bytes(BODY_BYTES)))
        connection, _ = await loop.sock_accept(listener)
        connection.setblocking(False)
        requests = bench.node.requests
        await wait_until(lambda: any(r.exchange and r.exchange.connection for r in requests.pending.values()))
        (request,) = requests.pending.values()
        assert request.exchange is not None and request.exchange.connection is not None
        assert request.exchange.connection.has_unsent_data()
        close_connection(client, mode)
        await wait_until(lambda: request.client is None)
        received = await asyncio.wait_for(read_to_end(connection), 20)
        assert len(received) < BODY_BYTES
        await wait_until(lambda: not requests.pending)
        for open_socket in (client, connection, listener):
            open_socket.close()

    run_scenario(scenario)


@CLOSE_MODES
@CANCEL_SETTINGS
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("draining", [False, True], ids=["serving", "draining"])
def test_disconnect_before_server_connect_prevents_attempt(
    draining: bool, version: bytes, cancel: bool, mode: str
) -> None:
    """The connection to a server is established after the client's close."""

    async def scenario() -> None:
        bench = await Bench(server := Server(), policy_limits={"cancel": cancel}).start()
        late = DelayedConnectLoop(asyncio.get_running_loop())
        bench.node.pool.loop = cast(asyncio.AbstractEventLoop, late)
        client = socket.create_connection(("127.0.0.1", bench.port))
        client.sendall(call().replace(b"HTTP/1.1", b"HTTP/" + version))
        await late.connect_requested.wait()
        drain = asyncio.create_task(bench.node.drain()) if draining else None
        close_connection(client, mode)
        late.connect_allowed.set()
        await wait_until(lambda: not bench.node.requests.pending)
        assert server.requests == []
        client.close()
        if drain is not None:
            await asyncio.wait_for(drain, 20)

    run_scenario(scenario)
