"""Discovery, management and datagrams while system calls fail."""

import asyncio
import os
import socket
from contextlib import suppress

import pytest
from fleet_section import fleet_section, free_udp_port
from loopback import Bench, Client, Server, call, wait_until
from retry_support import CONTROL_READY_REQUEST, MANAGEMENT_CONFIG, max_retries, wait_for_retries
from system_call_faults import (
    BOTH_LOOPS,
    BROKEN_CONNECTION_ERRORS,
    CONNECT_ERRORS,
    RESOURCE_SHORTAGE_ERRORS,
    SEND_DATAGRAM_ERRORS,
    Fault,
    accepted_at,
    connected_to,
    fail_connects,
    fail_reads,
    fail_socket_calls,
    for_each_error,
    is_uvloop,
    run_scenario_on,
)

from balancer.fleet.membership.messages import Kind, Message
from balancer.net.discovery.call import DiscoveryCall
from balancer.net.process.management import ManagementConnection

pytestmark = pytest.mark.usefixtures("frequent_retries")

# ---- discovery ------------------------------------------------------------------------------------------


@BOTH_LOOPS
@for_each_error(CONNECT_ERRORS)
def test_unreachable_discovery_is_retried_and_recovers(run, error, monkeypatch):
    """The node keeps its list, retries at a limited rate, and gets a new list after the fault."""

    async def scenario():
        loop = asyncio.get_running_loop()
        bench = await Bench(server := Server(), discovery="push").start()
        await wait_until(lambda: bool(bench.discovery.requests))
        fail_connects(monkeypatch, fault := Fault(error), bench.discovery.port)
        started_at = loop.time()
        bench.discovery.answers.put_nowait(None)
        assert (await bench.request_once(call()))[0] == 200
        await wait_until(lambda: fault.hit_count > 0)
        await wait_for_retries()
        # A watch is reopened after 0.5 to 1.5 times its interval.
        assert fault.hit_count <= 2 * max_retries(loop.time() - started_at)
        fault.deactivate()
        bench.discovery.send_list(42, True, server.entry("s0"))
        await wait_until(lambda: bench.node.discovery.version == 42)

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_broken_discovery_connection_is_reopened(run, error, monkeypatch):
    async def scenario():
        bench = Bench(server := Server(), discovery="push")
        fault = Fault(error, times=0)
        fail_reads(monkeypatch, DiscoveryCall, fault, lambda s, *_: connected_to(bench.discovery.port)(s))
        await bench.start()
        await wait_until(lambda: bool(bench.discovery.requests))
        fault.activate(1)
        bench.discovery.send_list(42, True, server.entry("s0"))
        bench.discovery.send_list(43, True, server.entry("s0"))
        await wait_until(lambda: bench.node.discovery.version == 43)
        assert fault.hit_count == 1 and bench.discovery.connections == 2
        assert (await bench.request_once(call()))[0] == 200

    run_scenario_on(run, scenario)


# ---- management -------------------------------------------------------------------------------------------


@BOTH_LOOPS
@for_each_error(BROKEN_CONNECTION_ERRORS)
def test_broken_operator_connection_affects_no_other(run, error, monkeypatch):
    async def scenario():
        bench = await Bench(Server(), config=MANAGEMENT_CONFIG).start()
        management = bench.node.management
        port = management.listener.socket.getsockname()[1]
        fail_reads(monkeypatch, ManagementConnection, fault := Fault(error, times=1), accepted_at(port))
        (broken := await Client(port).open()).send(CONTROL_READY_REQUEST)
        await wait_until(lambda: fault.hit_count == 1 and management.open_connections == 0)
        assert (await (await Client(port).open()).request(CONTROL_READY_REQUEST))[0] == 200
        assert (await bench.request_once(call()))[0] == 200
        broken.writer.close()

    run_scenario_on(run, scenario)


# ---- datagrams ------------------------------------------------------------------------------------------


def datagram_socket() -> socket.socket:
    """Open a UDP socket of a peer or member."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(("127.0.0.1", 0))
    opened.setblocking(False)
    return opened


def format_address(address: tuple[str, int]) -> str:
    """Format an address as in the configuration."""
    return f"{address[0]}:{address[1]}"


def fail_datagram_sockets(monkeypatch, fault):
    """Make the event loop fail to open datagram sockets while the fault lasts."""
    loop = asyncio.get_running_loop()
    original = loop.create_datagram_endpoint

    async def create_datagram_endpoint(*args, **options):
        fault.raise_if_active()
        return await original(*args, **options)

    monkeypatch.setattr(loop, "create_datagram_endpoint", create_datagram_endpoint)


@BOTH_LOOPS
@for_each_error(RESOURCE_SHORTAGE_ERRORS)
def test_shortage_of_datagram_sockets_is_retried(run, error, tmp_path, monkeypatch):
    """The node starts during a shortage, and binds the ports that a previous process releases after it."""
    config = {
        "fleet": fleet_section(tmp_path, listen=f"127.0.0.1:{free_udp_port()}"),
        "peer_listen": "127.0.0.1:0",
    }

    async def scenario():
        loop = asyncio.get_running_loop()
        fail_datagram_sockets(monkeypatch, fault := Fault(error))
        started_at = loop.time()
        bench = await Bench(Server(), config=config | {"peers": []}).start()
        peers, fleet = bench.node.peers, bench.node.fleet
        assert (await bench.request_once(call()))[0] == 200
        assert fault.hit_count <= 2 * max_retries(loop.time() - started_at)
        fault.deactivate()
        await wait_until(lambda: peers.transport is not None and fleet.transport is not None)
        for times in (1, 2):  # The ports are released and bound again as another process starts and ends.
            peers.close(), fleet.close()
            fault.remaining, fault.hit_count = times, 0
            bench.node.on_shared(False)
            await wait_until(lambda: peers.transport is not None and fleet.transport is not None)
            assert fault.hit_count == times
        fleet.close()

    run_scenario_on(run, scenario)


@BOTH_LOOPS
@for_each_error(SEND_DATAGRAM_ERRORS)
def test_failing_datagram_calls_recover(run, error, tmp_path, monkeypatch):
    """uvloop passes such errors to `error_received`, so on uvloop the test calls that method instead."""

    async def scenario():
        loop = asyncio.get_running_loop()
        peer, member = datagram_socket(), datagram_socket()
        names = [format_address(peer.getsockname())]
        config = {"peer_listen": "127.0.0.1:0", "peers": names}
        fleet_port = free_udp_port()
        seeds = [format_address(member.getsockname())]
        config["fleet"] = fleet_section(
            tmp_path, listen=f"127.0.0.1:{fleet_port}", seeds=seeds, period_ms=60_000
        )
        bench = await Bench(Server(), config=config).start()
        peers, fleet = bench.node.peers, bench.node.fleet
        ping = Message(Kind.PING, "n0")
        lines = []
        monkeypatch.setattr(peers.log, "write", lines.append)
        messages = []
        bench.node.balancer.peer_message = lambda now, index, data: messages.append(data)
        send_fault, receive_fault = Fault(error, times=100), Fault(error, times=0)
        peers_port = peers.transport.get_extra_info("sockname")[1]
        started_at = loop.time()
        if is_uvloop():
            for protocol in (peers, fleet):
                for _ in range(100):
                    protocol.error_received(OSError(error, os.strerror(error)))
        else:
            node_ports = (peers_port, fleet_port)
            for name, fault in (("sendto", send_fault), ("recvfrom", receive_fault)):
                fail_socket_calls(monkeypatch, name, fault, lambda s, *_: s.getsockname()[1] in node_ports)
            for _ in range(100):
                peers.send(0, b"lost")
            assert send_fault.hit_count == 100
            send_fault.activate(1)
            fleet.transmit(ping, member.getsockname())
            assert send_fault.hit_count == 101
            # Each socket must read its datagram before the next fault is set up: until then, its next call
            # would use up the fault that is meant for the other socket.
            for port, is_read in (
                (peers_port, lambda: messages == [b"late"]),
                (fleet_port, lambda: receive_fault.remaining == 0),
            ):
                receive_fault.activate(3)
                peer.sendto(b"late", ("127.0.0.1", port))
                await wait_until(is_read)
                assert receive_fault.remaining == 0
            messages.clear()
        # In each second that was touched there are at most 5 lines, and one report of those omitted before.
        duration_s = loop.time() - started_at
        reports = [line for line in lines if line.endswith(" lines omitted")]
        assert len(lines) - len(reports) <= 5 * (duration_s + 2) and len(reports) <= duration_s + 1
        assert (await bench.request_once(call()))[0] == 200
        peers.send(0, b"request")
        assert await asyncio.wait_for(loop.sock_recv(peer, 100), 20) == b"request"
        peer.sendto(b"message", ("127.0.0.1", peers_port))
        await wait_until(lambda: messages == [b"message"])
        with suppress(BlockingIOError):  # Discard what the fleet has sent before.
            while True:
                member.recv(2000)
        fleet.transmit(ping, member.getsockname())
        assert await asyncio.wait_for(loop.sock_recv(member, 2000), 20)
        assert fleet.events["unreachable"] >= (100 if is_uvloop() else 4)
        peer.close(), member.close()
        fleet.close()

    run_scenario_on(run, scenario)
