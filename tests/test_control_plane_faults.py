"""Discovery, management and datagrams whose system calls fail."""

import asyncio
import os
import socket
from contextlib import suppress

import pytest
from fleet_section import fleet_section, free_udp_port
from loopback import Bench, Client, Server, call, until
from retry_support import OPERATED, OPERATOR_CALL, max_retries, wait_for_retries
from system_call_faults import (
    BOTH_LOOPS,
    BROKEN,
    CONNECT,
    SEND_DATAGRAM,
    SHORTAGES,
    Fault,
    accepted_at,
    fail_connects,
    fail_reads,
    fail_socket_calls,
    is_uvloop,
    play_on,
    towards,
    with_each,
)

from balancer.fleet.membership.messages import Kind, Message
from balancer.net.discovery.call import DiscoveryCall
from balancer.net.process.management import ManagementConnection

pytestmark = pytest.mark.usefixtures("frequent_retries")

# ---- discovery ------------------------------------------------------------------------------------------


@BOTH_LOOPS
@with_each(CONNECT)
def test_discovery_cannot_be_reached_for_a_moment(run, error, monkeypatch):
    """The list in hand serves, calls for a new one are few, and it comes when the fault has passed."""

    async def scene():
        loop = asyncio.get_running_loop()
        bench = await Bench(server := Server(), discovery="push").start()
        await until(lambda: bool(bench.discovery.requests))
        fail_connects(monkeypatch, fault := Fault(error), bench.discovery.port)
        began = loop.time()
        bench.discovery.answers.put_nowait(None)
        assert (await bench.once(call()))[0] == 200
        await until(lambda: fault.met > 0)
        await wait_for_retries()
        # A watch is opened anew after half to one and a half of its interval.
        assert fault.met <= 2 * max_retries(loop.time() - began)
        fault.passes()
        bench.discovery.say(42, True, server.entry("s0"))
        await until(lambda: bench.node.discovery.version == 42)

    play_on(run, scene)


@BOTH_LOOPS
@with_each(BROKEN)
def test_the_connection_to_discovery_breaks(run, error, monkeypatch):
    async def scene():
        bench = Bench(server := Server(), discovery="push")
        fault = Fault(error, times=0)
        fail_reads(monkeypatch, DiscoveryCall, fault, lambda s, *_: towards(bench.discovery.port)(s))
        await bench.start()
        await until(lambda: bool(bench.discovery.requests))
        fault.comes(1)
        bench.discovery.say(42, True, server.entry("s0"))
        bench.discovery.say(43, True, server.entry("s0"))
        await until(lambda: bench.node.discovery.version == 43)
        assert fault.met == 1 and bench.discovery.connections == 2
        assert (await bench.once(call()))[0] == 200

    play_on(run, scene)


# ---- management -------------------------------------------------------------------------------------------


@BOTH_LOOPS
@with_each(BROKEN)
def test_an_operator_s_connection_breaks(run, error, monkeypatch):
    async def scene():
        bench = await Bench(Server(), config=OPERATED).start()
        management = bench.node.management
        port = management.listener.socket.getsockname()[1]
        fail_reads(monkeypatch, ManagementConnection, fault := Fault(error, times=1), accepted_at(port))
        (broken := await Client(port).open()).send(OPERATOR_CALL)
        await until(lambda: fault.met == 1 and management.open_connections == 0)
        assert (await (await Client(port).open()).ask(OPERATOR_CALL))[0] == 200
        assert (await bench.once(call()))[0] == 200
        broken.writer.close()

    play_on(run, scene)


# ---- datagrams ------------------------------------------------------------------------------------------


def datagram_socket() -> socket.socket:
    """A peer."""
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.bind(("127.0.0.1", 0))
    made.setblocking(False)
    return made


def spelled(address: tuple[str, int]) -> str:
    """An address as configurations have it."""
    return f"{address[0]}:{address[1]}"


def fail_datagram_sockets(monkeypatch, fault):
    """New sockets for datagrams meet the fault."""
    loop = asyncio.get_running_loop()
    opened = loop.create_datagram_endpoint

    async def create_datagram_endpoint(*args, **options):
        fault.strike()
        return await opened(*args, **options)

    monkeypatch.setattr(loop, "create_datagram_endpoint", create_datagram_endpoint)


@BOTH_LOOPS
@with_each(SHORTAGES)
def test_datagram_sockets_are_short_as_a_node_starts_and_as_it_takes_a_port_over(
    run, error, tmp_path, monkeypatch
):
    """Failure prevented: the node does not start, or never has the port that the process before let go."""
    given = {
        "fleet": fleet_section(tmp_path, listen=f"127.0.0.1:{free_udp_port()}"),
        "peer_listen": "127.0.0.1:0",
    }

    async def scene():
        loop = asyncio.get_running_loop()
        fail_datagram_sockets(monkeypatch, fault := Fault(error))
        began = loop.time()
        bench = await Bench(Server(), config=given | {"peers": []}).start()
        peers, fleet = bench.node.peers, bench.node.fleet
        assert (await bench.once(call()))[0] == 200
        assert fault.met <= 2 * max_retries(loop.time() - began)
        fault.passes()
        await until(lambda: peers.transport is not None and fleet.transport is not None)
        for times in (1, 2):  # another process comes and goes; the ports are let go and taken again
            peers.close(), fleet.close()
            fault.left, fault.met = times, 0
            bench.node.share(False)
            await until(lambda: peers.transport is not None and fleet.transport is not None)
            assert fault.met == times
        fleet.close()

    play_on(run, scene)


@BOTH_LOOPS
@with_each(SEND_DATAGRAM)
def test_datagrams_cannot_be_sent_or_received_for_a_moment(run, error, tmp_path, monkeypatch):
    """uvloop's loop hands such errors to `error_received`, which is where they are played on it."""

    async def scene():
        loop = asyncio.get_running_loop()
        peer, member = datagram_socket(), datagram_socket()
        names = [spelled(peer.getsockname())]
        given = {"peer_listen": "127.0.0.1:0", "peers": names}
        fleet_port = free_udp_port()
        seeds = [spelled(member.getsockname())]
        given["fleet"] = fleet_section(
            tmp_path, listen=f"127.0.0.1:{fleet_port}", seeds=seeds, period_ms=60_000
        )
        bench = await Bench(Server(), config=given).start()
        peers, fleet = bench.node.peers, bench.node.fleet
        ping = Message(Kind.PING, "n0")
        lines = []
        monkeypatch.setattr(peers.log, "write", lines.append)
        heard = []
        bench.node.balancer.peer_message = lambda now, number, data: heard.append(data)
        fault, unread = Fault(error, times=100), Fault(error, times=0)
        peers_port = peers.transport.get_extra_info("sockname")[1]
        before = loop.time()
        if is_uvloop():
            for protocol in (peers, fleet):
                for _ in range(100):
                    protocol.error_received(OSError(error, os.strerror(error)))
        else:
            ours = (peers_port, fleet_port)
            for name, met in (("sendto", fault), ("recvfrom", unread)):
                fail_socket_calls(monkeypatch, name, met, lambda s, *_: s.getsockname()[1] in ours)
            for _ in range(100):
                peers.send(0, b"lost")
            assert fault.met == 100
            fault.comes(1)
            fleet.transmit(ping, member.getsockname())
            assert fault.met == 101
            # The fault is over for the one socket only when its datagram is read: until then that socket's
            # next attempt would meet the fault that is meant for the other.
            for port, is_read in (
                (peers_port, lambda: heard == [b"late"]),
                (fleet_port, lambda: unread.left == 0),
            ):
                unread.comes(3)
                peer.sendto(b"late", ("127.0.0.1", port))
                await until(is_read)
                assert unread.left == 0
            heard.clear()
        assert len(lines) <= 5 * (loop.time() - before + 2)
        assert (await bench.once(call()))[0] == 200
        peers.send(0, b"told")
        assert await asyncio.wait_for(loop.sock_recv(peer, 100), 20) == b"told"
        peer.sendto(b"news", ("127.0.0.1", peers_port))
        await until(lambda: heard == [b"news"])
        with suppress(BlockingIOError):  # what the fleet sent before
            while True:
                member.recv(2000)
        fleet.transmit(ping, member.getsockname())
        assert await asyncio.wait_for(loop.sock_recv(member, 2000), 20)
        assert fleet.events["unreachable"] >= (100 if is_uvloop() else 4)
        peer.close(), member.close()
        fleet.close()

    play_on(run, scene)
