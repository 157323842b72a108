"""The operators' term on clients that have gone, where an attempt's bytes wait in the process."""

import asyncio
import socket
import struct
from typing import cast

import pytest
from loopback import Bench, Late, Server, call, play, small_listener, small_sends, until

BODY = 65536
CANCEL = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no cancel"])
ENDS = pytest.mark.parametrize("how", ["closed", "half closed", "reset"])


def end(connection: socket.socket, how: str) -> None:
    """Ends a client's connection."""
    if how == "half closed":
        connection.shutdown(socket.SHUT_WR)
        return
    if how == "reset":
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


async def read_to_end(connection: socket.socket) -> bytes:
    """What a server reads up to the end of a connection."""
    data = b""
    loop = asyncio.get_running_loop()
    try:
        while more := await loop.sock_recv(connection, 65536):
            data += more
    except ConnectionResetError:
        pass
    return data


@ENDS
@CANCEL
def test_the_rest_of_a_request_goes_nowhere_once_its_client_has_gone(
    cancel: bool, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The server takes a part of the request, the client leaves, and then the server takes all it can get."""
    small_sends(monkeypatch)

    async def scene() -> None:
        listener = small_listener()
        changes = {"policy_limits": {"cancel": cancel}}
        bench = await Bench(other := Server(), config={"known": None}, **changes).start()
        bench.discovery.say(42, True, other.entry("half", addr=f"127.0.0.1:{listener.getsockname()[1]}"))
        await until(lambda: bench.node.lifecycle.serving)
        client = socket.create_connection(("127.0.0.1", bench.port))
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, client.sendall, call("offer", body=bytes(BODY)))
        connection, _ = await loop.sock_accept(listener)
        connection.setblocking(False)
        requests = bench.node.requests
        await until(lambda: any(r.exchange and r.exchange.connection for r in requests.pending.values()))
        (request,) = requests.pending.values()
        assert request.exchange is not None and request.exchange.connection is not None
        assert request.exchange.connection.has_unsent_data()
        end(client, how)
        await until(lambda: request.client is None)
        got = await asyncio.wait_for(read_to_end(connection), 20)
        assert len(got) < BODY
        await until(lambda: not requests.pending)
        for each in (client, connection, listener):
            each.close()

    play(scene)


@ENDS
@CANCEL
@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("draining", [False, True], ids=["serving", "draining"])
def test_no_attempt_begins_once_the_client_has_gone(
    draining: bool, version: bytes, cancel: bool, how: str
) -> None:
    """Its connection to a server comes up after the client's end."""

    async def scene() -> None:
        bench = await Bench(server := Server(), policy_limits={"cancel": cancel}).start()
        late = Late(asyncio.get_running_loop())
        bench.node.pool.loop = cast(asyncio.AbstractEventLoop, late)
        client = socket.create_connection(("127.0.0.1", bench.port))
        client.sendall(call().replace(b"HTTP/1.1", b"HTTP/" + version))
        await late.asked.wait()
        drain = asyncio.create_task(bench.node.drain()) if draining else None
        end(client, how)
        late.up.set()
        await until(lambda: not bench.node.requests.pending)
        assert server.requests == []
        client.close()
        if drain is not None:
            await asyncio.wait_for(drain, 20)

    play(scene)
