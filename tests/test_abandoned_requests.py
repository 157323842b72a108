"""A request that must not run twice comes again, with the same identifier, after its client has left."""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest
from loopback import (
    OK,
    REJECTED,
    Bench,
    Client,
    Discovery,
    Server,
    call,
    free_port,
    node_config,
    respond_after,
    respond_with,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)
from test_handover import open_platform_listener, wait_until_ready
from test_retry_after_disconnect import RESET_ON_CLOSE

from balancer.net.downstream import abandoned_requests
from balancer.net.downstream.abandoned_requests import AbandonedRequests
from balancer.net.process import shared_digests
from balancer.net.process.log import Log
from balancer.net.process.shared_digests import SharedDigests


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


def create_shared(directory: Path) -> SharedDigests:
    """Return the part of one process."""
    return SharedDigests(str(directory), Log("n0", 20))


def test_identifiers_expire_and_are_bounded(tmp_path: Path) -> None:
    """Clients that come and go under ever new identifiers must not fill the memory."""
    requests = AbandonedRequests(create_shared(tmp_path))
    for number in range(abandoned_requests.MAX_IDENTIFIERS + 10):
        requests.remember(b"%d" % number, now=number)
    assert len(requests.expires_at) == abandoned_requests.MAX_IDENTIFIERS
    assert not requests.may_have_run(b"9", now=2000) and requests.may_have_run(b"10", now=2000)
    assert not requests.may_have_run(b"10", now=10 + abandoned_requests.REMEMBER_US)
    requests.forget(b"11")
    assert not requests.may_have_run(b"11", now=2000)


def test_processes_of_one_node_share_what_they_have_written(tmp_path: Path) -> None:
    """A client may come to the new process with what the old one has forwarded and not answered."""
    old, new = AbandonedRequests(create_shared(tmp_path)), AbandonedRequests(create_shared(tmp_path))
    old.remember(b"left", now=0)
    old.on_written(b"alone")
    old.start_sharing([b"in flight"])
    new.start_sharing([])
    old.on_written(b"written")
    assert all(new.may_have_run(i, now=1) for i in (b"left", b"in flight", b"written"))
    assert not new.may_have_run(b"alone", now=1) and not old.may_have_run(b"written", now=1)
    new.on_written(b"new")
    assert old.may_have_run(b"new", now=1)
    old.on_written(b"last")
    new.stop_sharing(now=1)
    assert new.may_have_run(b"last", now=1)  # The old process has ended.
    assert not new.may_have_run(b"last", now=1 + abandoned_requests.REMEMBER_US)
    assert not list(tmp_path.iterdir())
    new.on_written(b"alone again")
    assert not list(tmp_path.iterdir())


def test_shared_file_is_bounded_and_may_be_missing(tmp_path: Path) -> None:
    shared = create_shared(tmp_path / "missing")
    shared.start()
    shared.add(b"12345678")  # Nothing is raised.
    assert shared.has_failed and not shared.contains(b"12345678")
    shared = create_shared(tmp_path)
    shared.start()
    for number in range(shared_digests.MAX_FILE_BYTES // shared_digests.RECORD_BYTES + 10):
        shared.add(b"%08d" % number)
    (file,) = tmp_path.iterdir()
    assert file.stat().st_size == shared_digests.MAX_FILE_BYTES


@pytest.mark.parametrize("ending", ["left", "killed"])
def test_unsafe_request_does_not_run_again_at_the_new_process(tmp_path: Path, ending: str) -> None:
    """An id that the old process of an upgrade has forwarded ran again at the new one."""
    (directory := tmp_path / "shared").mkdir()

    async def scenario() -> None:
        release = asyncio.Event()
        await (server := Server(respond_after(release))).start()
        await (discovery := Discovery()).start()
        with open_platform_listener() as listener:
            port, descriptor = listener.getsockname()[1], listener.fileno()

            async def start_process(management_port: int) -> asyncio.subprocess.Process:
                process = await spawn_node(
                    tmp_path,
                    table,
                    (descriptor,),
                    LB_INHERITED_FD=str(descriptor),
                    TMPDIR=str(directory),
                    LB_MANAGEMENT=f"127.0.0.1:{management_port}",
                )
                await wait_until_ready(management_port)
                return process

            table = node_config(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
            ports = free_port(), free_port()
            old = await start_process(ports[0])
            (client := await Client(port).open()).send(call("invite"))
            await wait_until(lambda: len(server.requests) == 1)
            new = await start_process(ports[1])
            if ending == "left":
                client.writer.transport.abort()
                old.send_signal(signal.SIGTERM)
            else:
                old.kill()
            assert await asyncio.wait_for(old.wait(), 20) in (0, -signal.SIGKILL)
            server.handle = respond_with(OK)
            client = await Client(port).open()
            assert (await client.request(call("invite")))[0] == 502
            assert len(server.requests) == 1
            release.set()
            new.kill()
            await new.wait()

    run_scenario(scenario)
