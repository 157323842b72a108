"""No retry goes out for a client that has closed its connection."""

import asyncio
import socket
import struct
from typing import Any, cast

import pytest
from loopback import (
    Bench,
    Server,
    call,
    gated,
    play,
    until,
)

from balancer.net.upstream.exchange import Exchange
from balancer.policy.interface import Outcome

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER


@pytest.mark.parametrize("mode", [{}, {"policy_limits": {"cancel": False}}], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
@pytest.mark.parametrize("how", ["fin", "rst"])
def test_no_retry_goes_to_an_idle_connection_once_the_client_has_gone(
    how: str, outcome: Outcome, mode: dict[str, Any]
) -> None:
    """The retry needs no turn of the event loop, so the loop cannot have seen the client's end before it."""

    async def scene() -> None:
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
        cast(Exchange, request.exchange).abort(outcome)  # the policy follows it with a retry
        release.set()
        await until(lambda: not bench.node.client_connections.connections and not bench.node.requests.pending)
        assert (await bench.once(call()))[0] == 200  # whatever was sent before has come by now
        assert sum(len(server.requests) for server in servers) == 2

    play(scene)
