"""A request that must not run twice comes again, with the same identifier, after its client has left."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest
from loopback import OK, REJECTED, Bench, Server, call, respond_after, respond_with, run_scenario, wait_until
from test_retry_after_disconnect import RESET_ON_CLOSE

from balancer.net.downstream import abandoned_requests
from balancer.net.downstream.abandoned_requests import AbandonedRequests


async def send_and_leave(bench: Bench, server: Server, data: bytes, ending: str) -> None:
    """Send a request, and close the connection once a server has it."""
    client = socket.create_connection(("127.0.0.1", bench.port))
    client.sendall(data)
    await wait_until(lambda: len(server.requests) == 1)
    if ending == "rst":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    client.close()
    await wait_until(lambda: not bench.node.client_connections.connections)


@pytest.mark.parametrize("overrides", [{}, {"policy_limits": {"cancel": False}}], ids=["cancel", "no cancel"])
@pytest.mark.parametrize("ending", ["fin", "rst"])
@pytest.mark.parametrize("is_out", [True, False])
def test_unsafe_request_does_not_run_again_after_its_client_left(
    ending: str, overrides: dict[str, Any], is_out: bool
) -> None:
    """The first one may have run, and may still be out; both would be the same effect twice."""

    async def scenario() -> None:
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release)), **overrides).start()
        await send_and_leave(bench, server, call("invite"), ending)
        if not is_out:
            release.set()
            await wait_until(lambda: not bench.node.requests.pending)
        server.handle = respond_with(OK)
        assert (await bench.request_once(call("invite")))[0] == 502
        assert len(server.requests) == 1
        assert bench.node.events.refusals["repeated"] == 1
        another = call("invite").replace(b"X-Call-Id: 9b1f", b"X-Call-Id: 9b20")
        assert (await bench.request_once(another))[0] == 200
        release.set()

    run_scenario(scenario)


@pytest.mark.parametrize("request_class", ["view", "offer"])
def test_repeatable_request_runs_again_after_its_client_left(request_class: str) -> None:
    async def scenario() -> None:
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release))).start()
        await send_and_leave(bench, server, call(request_class), "fin")
        release.set()
        assert (await bench.request_once(call(request_class)))[0] == 200

    run_scenario(scenario)


def test_request_that_never_ran_may_come_again() -> None:
    async def scenario() -> None:
        release = asyncio.Event()

        async def reject_later(request: object, writer: asyncio.StreamWriter) -> bytes | None:
            await release.wait()
            return REJECTED

        overrides = {"cancel": False, "max_attempts": 1}
        bench = await Bench(server := Server(reject_later), policy_limits=overrides).start()
        await send_and_leave(bench, server, call("invite"), "fin")
        release.set()
        await wait_until(lambda: not bench.node.requests.pending)
        server.handle = respond_with(OK)
        assert (await bench.request_once(call("invite")))[0] == 200

    run_scenario(scenario)


def test_identifiers_expire_and_are_bounded() -> None:
    """Clients that come and go under ever new identifiers must not fill the memory."""
    requests = AbandonedRequests()
    for number in range(abandoned_requests.MAX_IDENTIFIERS + 10):
        requests.remember(b"%d" % number, now=number)
    assert len(requests.expires_at) == abandoned_requests.MAX_IDENTIFIERS
    assert not requests.may_have_run(b"9", now=2000) and requests.may_have_run(b"10", now=2000)
    assert not requests.may_have_run(b"10", now=10 + abandoned_requests.REMEMBER_US)
    requests.forget(b"11")
    assert not requests.may_have_run(b"11", now=2000)
