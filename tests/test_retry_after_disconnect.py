"""Retries after a client has closed its connection."""

import asyncio
import socket
import struct
from typing import Any, cast

import pytest
from loopback import (
    Bench,
    Server,
    call,
    respond_after,
    run_scenario,
    wait_until,
)

from balancer.net.upstream.exchange import Exchange
from balancer.policy.interface import Outcome

# The value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@pytest.mark.parametrize("overrides", [{}, {"policy_limits": {"cancel": False}}], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.TIMEOUT])
@pytest.mark.parametrize("ending", ["fin", "rst"])
def test_no_retry_on_idle_connection_after_client_disconnect(
    ending: str, outcome: Outcome, overrides: dict[str, Any]
) -> None:
    """The node must check the client's socket before a retry.

    On an idle connection the retry is sent before the event loop can report the disconnect.
    """

    async def scenario() -> None:
        release = asyncio.Event()
        servers = [Server(), Server()]
        bench = await Bench(*servers, **overrides).start()
        endpoints = bench.node.pool.endpoints.values()
        while not all(endpoint.idle for endpoint in endpoints):
            assert (await bench.request_once(call()))[0] == 200
        await wait_until(lambda: not bench.node.client_connections.connections)
        for server in servers:
            server.requests.clear()
            server.handle = respond_after(release)
        client = socket.create_connection(("127.0.0.1", bench.port))
        client.sendall(call())
        await wait_until(lambda: sum(len(server.requests) for server in servers) == 1)
        (request,) = bench.node.requests.pending.values()
        if ending == "rst":
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        client.close()
        cast(Exchange, request.exchange).abort(outcome)  # The policy responds with a retry.
        release.set()
        await wait_until(
            lambda: not bench.node.client_connections.connections and not bench.node.requests.pending
        )
        assert (await bench.request_once(call()))[0] == 200  # Anything sent earlier has arrived by now.
        assert sum(len(server.requests) for server in servers) == 2

    run_scenario(scenario)
