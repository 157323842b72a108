"""The node over loopback sockets: health checks, peers' datagrams, the log and the clock."""

import socket
import time

from loopback import (
    OK,
    REJECTED,
    SECOND_US,
    SERVER_ERROR,
    UNAVAILABLE,
    Bench,
    Server,
    call,
    respond_with,
    run_scenario,
    wait_until,
)


def test_health_check_delivers_load_report():
    async def scenario():
        report = b"inflight=7,latency_ms=1.5"
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(report), report)
        bench = await Bench(server := Server(respond_with(response, UNAVAILABLE))).start()
        results = []
        bench.node.balancer.health_checked = lambda now, server, ok, duration, values: results.append(
            (ok, tuple(values))
        )
        (number,) = bench.node.pool.endpoints
        for count in (1, 2):
            bench.node.check_health(number)
            await wait_until(lambda count=count: len(results) == count)
        assert results == [(True, (1.5, 7.0)), (False, ())]
        assert server.requests[0].target == "/status/load"

    run_scenario(scenario)


def test_datagrams_from_others_than_peers_are_dropped():
    """Stray or oversized datagrams neither reach the policy nor end the process."""

    async def scenario():
        own_socket, peer, stranger = (socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3))
        for s in (own_socket, peer, stranger):
            s.bind(("127.0.0.1", 0))
        addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in (own_socket, peer)]
        config = {"peer_listen": "127.0.0.1:0", "peers": addresses, "peers_all": addresses[1]}
        bench = await Bench(Server(), config=config).start()
        messages = []
        bench.node.balancer.peer_message = lambda now, index, data: messages.append((index, data))
        assert bench.node.peers.transport is not None
        address = bench.node.peers.transport.get_extra_info("sockname")
        stranger.sendto(b"stray", address)
        peer.sendto(b"x" * 300, address)
        peer.sendto(b"hello", address)
        await wait_until(lambda: bool(messages))
        assert messages == [(1, b"hello")]
        peer.settimeout(20)
        bench.node.send_to_peer(1, b"x" * 257)
        bench.node.send_to_peer(-1, b"all")
        assert peer.recv(300) == b"all"
        own_socket.close(), peer.close(), stranger.close()

    run_scenario(scenario)


def test_flood_of_stray_datagrams_does_not_hide_faults_in_log(capsys):
    """Lines about stray datagrams do not use up the rate limit of the lines that report faults."""

    async def scenario():
        config = {"peer_listen": "127.0.0.1:0", "peers": []}
        bench = await Bench(Server(), config=config).start()
        peers = bench.node.peers
        assert peers.transport is not None
        datagrams = []
        datagram_received = peers.datagram_received
        peers.datagram_received = lambda data, address: (
            datagrams.append(data),
            datagram_received(data, address),
        )
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for i in range(100):
                stranger.sendto(b"stray", peers.transport.get_extra_info("sockname"))
                await wait_until(lambda i=i: len(datagrams) > i)
        bench.node.requests.validator.classes = None
        assert (await bench.request_once(call()))[0] == 500

    run_scenario(scenario)
    lines = capsys.readouterr().err.splitlines()
    assert any(line.startswith("n0: request: ") for line in lines)
    assert 0 < sum("stray" in line for line in lines) < 100


def test_log_has_policy_statistics_and_node_counts(capsys):
    """The log shows the concurrency limit of a node that rejects requests."""

    async def scenario():
        bench = await Bench(Server(respond_with(REJECTED, OK, SERVER_ERROR))).start()
        assert (await bench.request_once(call()))[0] == 200
        assert (await bench.request_once(call("invite")))[0] == 502
        bench.node.write_stats()

    run_scenario(scenario)
    start, *lines = capsys.readouterr().err.splitlines()
    assert start.startswith("n0: start tier=0 instances=1 ")
    (stats,) = [line for line in lines if line.startswith("n0: stats ")]
    statistics = dict(pair.split("=") for pair in stats.split()[2:])
    assert {"concurrency_limit", "gradient", "in_flight", "rq_blocked"} <= statistics.keys()
    node_counts = {
        k: v for k, v in statistics.items() if k.startswith(("attempts_", "answered_")) or k == "dialled"
    }
    assert node_counts == {
        "attempts_rejected": "1",
        "attempts_ok": "1",
        "attempts_error": "1",
        "answered_200": "1",
        "answered_502": "1",
        "dialled": "1",
    }


def test_clock_is_monotonic_unix_time():
    async def scenario():
        bench = await Bench().start()
        times = [bench.node.event_queue.now() for _ in range(1000)]
        assert times == sorted(times)
        assert abs(times[0] - time.time_ns() // 1000) < 60 * SECOND_US

    run_scenario(scenario)
