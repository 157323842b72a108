"""The fleet's part of a node: its section of the configuration, and nothing of it without one."""

import asyncio
import json
import os
import socket
import subprocess
import sys

import pytest
from loopback import Bench, play, settings, until

from balancer.fleet.config import FleetFault, read_fleet
from balancer.fleet.membership.swim import Kind, Message
from balancer.net.config import ConfigError, load


def key_file(folder, text="a key of the tests' own", mode=0o600):
    path = folder / "key"
    path.write_text(text)
    path.chmod(mode)
    return str(path)


def section(folder, **changes):
    table = {"zone": "here", "listen": "127.0.0.1:7400", "seeds": []}
    table["key"] = changes.get("key") or key_file(folder)
    return {k: v for k, v in (table | changes).items() if v is not ...}


@pytest.mark.parametrize(
    ("changes", "lines"),
    [
        ({}, []),
        ({"voters": ["a", "b", "c"], "name": "n7", "advertise": "10.0.0.1:9"}, []),
        ({"zone": ...}, ["fleet.zone: missing: must be text of 1 to 64 characters"]),
        ({"zone": "", "listen": "x"}, ["fleet.listen: 'x': must be an address", "fleet.zone: ''"]),
        ({"regions": 1}, ["fleet.regions: unknown key: known are name, zone"]),
        ({"zones": 1}, ["fleet.zones: 1: must be a table"]),
        ({"zones": {"room": 2, "costs": {"b": 1}}}, []),
        (
            {"zones": {"room": 0.5, "costs": {"b": -1}, "near": 1}},
            [
                "zones.near: unknown key",
                "zones.room: 0.5: must be a number from 1",
                "zones.costs.b: -1: must",
            ],
        ),
        ({"probe": 1, "remeasure": 2}, ["fleet.probe: 1: must be true or false", "fleet.remeasure: 2: must"]),
        ({"probe": True}, ["fleet.voters: missing: must be given where probe is"]),
        ({"seeds": ["127.0.0.1:1", 7]}, ["fleet.seeds[1]: 7: must be an address of the form host:port"]),
        ({"listen": "localhost:7400"}, ["fleet.listen: 'localhost:7400': must be an address of the form"]),
        (
            {"voters": ["a", "b", "c"], "lease_ms": 9000, "longest_lease_ms": 5000},
            ["fleet.lease_ms: 9000: must"],
        ),
        ({"old_voters": ["a", "b", "c"]}, ["fleet.voters: missing: must be given where old_voters is"]),
        ({"votes": "/nowhere"}, ["fleet.votes: '/nowhere': must be a folder that this process may write to"]),
        ({"listen": "0.0.0.0:7400"}, ["fleet.advertise: missing: must be given where listen names no one"]),
        ({"voters": ["a", "b"]}, ["must be 3 or 5, or none where no duties are held: a majority of two"]),
        ({"voters": ["a", "b", "a"]}, ["fleet.voters: ['a', 'b', 'a']: must be names, none of them twice"]),
        ({"voters": ["a", "b", "c", "d"]}, ["must be 3 or 5"]),
        ({"period_ms": 5}, ["fleet.period_ms: 5: must be a whole number from 100 to 60000"]),
        ({"lab": {"clock": 1}}, ["fleet.lab.clock: unknown key: known are clock_file"]),
        ({"key": "/nowhere/key"}, ["fleet.key: /nowhere/key: No such file or directory"]),
    ],
)
def test_the_section_is_checked_whole(tmp_path, changes, lines):
    """Failure prevented: an operator mends one line, starts again, and is told of the next."""
    table = section(tmp_path, **changes)
    if not lines:
        found = read_fleet(table, "n0")
        assert found.name == changes.get("name", "n0") and found.advertise[1] in (7400, 9)
        return
    with pytest.raises(FleetFault) as fault:
        read_fleet(table, "n0")
    told = str(fault.value).splitlines()
    assert len(told) == len(lines) and all(part in line for part, line in zip(lines, told, strict=True))


@pytest.mark.parametrize(
    ("mode", "text", "part"), [(0o644, "k" * 20, "chmod 600"), (0o600, "short", "16 to")]
)
def test_a_key_that_others_may_read_or_guess_is_refused(tmp_path, mode, text, part):
    key = key_file(tmp_path, text, mode)
    with pytest.raises(FleetFault, match=part):
        read_fleet(section(tmp_path, key=key), "n0")


def node_file(tmp_path, **more):
    table = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f"}
    file = tmp_path / "config.json"
    file.write_text(json.dumps(table | {"settings": settings()} | more))
    return {"LB_CONFIG": str(file)}


def test_a_node_without_the_section_has_nothing_of_it(tmp_path):
    """Failure prevented: sites whose nodes share nothing pay for the fleet, or speak of it on the wire."""
    config = load(node_file(tmp_path))
    assert config.fleet is None
    with_fleet = load(node_file(tmp_path, fleet=section(tmp_path)))
    assert with_fleet.reserved == config.reserved + 1
    code = (
        "import asyncio, os, sys, balancer.__main__ as m;"
        "from balancer.net.node import Node; c = m.load(os.environ);"
        "n = Node(c, asyncio.new_event_loop()); assert b'/fleet' not in n.paths() and n.fleet is None;"
        "print([x for x in sys.modules if x.startswith(('balancer.fleet', 'msgspec'))])"
    )
    env = os.environ | node_file(tmp_path)
    out = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    assert out.stdout == "[]\n"


def test_all_faults_come_out_of_one_start(tmp_path):
    env = os.environ | node_file(tmp_path, fleet={"zone": 3, "listen": "x", "seeds": [], "key": "/nowhere"})
    out = subprocess.run(
        [sys.executable, "-m", "balancer"], env=env, capture_output=True, text=True, timeout=60
    )
    lines = out.stderr.splitlines()
    assert out.returncode == 2 and len(lines) == 3
    assert all(line.startswith("balancer: fleet.") for line in lines)
    with pytest.raises(ConfigError, match="not an object"):
        load(node_file(tmp_path, fleet=[1]))


def test_two_nodes_meet_part_and_say_so(tmp_path):
    """A seed that comes up later than who asks it; a leaving that is believed; garbage that is counted."""

    def table(port, seeds):
        given = section(tmp_path, listen=f"127.0.0.1:{port}", seeds=seeds, period_ms=100)
        return {"name": f"n{port}", "fleet": given, "management": "127.0.0.1:0"}

    async def scene():
        ports = [free_udp(), free_udp()]
        one = await Bench(config=table(ports[0], [f"127.0.0.1:{ports[1]}"]), peers=False).start()
        await until(lambda: one.node.fleet.sent["sync"] > 0)
        two = await Bench(config=table(ports[1], []), peers=False).start()
        await until(lambda: one.node.fleet.swim.alive() and two.node.fleet.swim.alive())
        one.node.fleet.datagram_received(b"x" * 100, ("127.0.0.1", 9))
        page = json.loads(one.node.paths()[b"/fleet"].handler()[1])
        assert page["refused"] == {"version": 1} and page["events"]["join"] == 1
        assert [(m["name"], m["state"]) for m in page["members"]] == [(f"n{ports[1]}", "alive")]
        two.node.fleet.leave()
        await until(lambda: not one.node.fleet.swim.alive())
        assert one.node.fleet.view()["members"][0]["state"] == "left" and not two.node.fleet.view()["open"]
        one.node.fleet.close()

    play(scene)


def free_udp():
    """A port for datagrams that was free a moment ago."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def test_the_process_that_comes_after_takes_the_port(tmp_path):
    """A process of the same node goes on under its name: the port is tried for until the elder lets it go."""

    async def scene():
        port = free_udp()
        given = {"fleet": section(tmp_path, listen=f"127.0.0.1:{port}"), "name": "n0"}
        first = await Bench(config=given, peers=False).start()
        second = Bench(config=given, peers=False)
        with pytest.raises(OSError):
            await second.start()
        second.node.handover.shared = True
        await second.node.open_fleet()
        assert second.node.fleet.transport is None
        first.node.handover.is_older = True
        first.node.share(True)
        await until(lambda: second.node.fleet.swim is not None)
        assert second.node.fleet.swim.me.incarnation > first.node.fleet.swim.me.incarnation
        second.node.fleet.close()

    play(scene)


def test_one_part_s_fault_and_one_bad_address_end_nothing_else(tmp_path, monkeypatch):
    """Failure prevented: an exception in a tick, or a member that advertises what cannot be sent to, silences
    the process for good."""

    async def scene():
        given = section(
            tmp_path, listen=f"127.0.0.1:{free_udp()}", voters=["n0", "b", "c"], period_ms=100, zones={}
        )
        bench = await Bench(config={"fleet": given, "management": "127.0.0.1:0"}, peers=False).start()
        fleet = bench.node.fleet
        await until(lambda: fleet.swim is not None and fleet.timer is not None)
        fleet.transmit(Message(Kind.PING, "n0"), ("no such host", 1))
        assert fleet.events["unsendable"] == 1
        ticks = []

        def broken(now):
            ticks.append(now)
            raise RuntimeError("on purpose")

        monkeypatch.setattr(fleet.swim, "tick", broken)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await until(lambda: len(ticks) >= 3)
        for path, query, status in (
            (b"/fleet/hold", b"duty=replace&script=s", 400),
            (b"/fleet/hold", b"duty=&script=s", 400),
            (b"/fleet/hold", b"duty=job&script=s", 200),
            (b"/fleet/give", b"duty=job&script=s", 200),
            (b"/fleet/replace", b"do=dance", 400),
            (b"/fleet/replace", b"do=begin&most=0", 400),
            (b"/fleet/hold", b"duty=probe.x&script=s", 400),
            (b"/fleet/zone", b"do=leave&zone=nowhere&for_s=5", 400),
            (b"/fleet/zone", b"do=leave&zone=here&for_s=0", 400),
            (b"/fleet/zone", b"do=dance&zone=here", 400),
            (b"/fleet/zone", b"do=leave&zone=here&for_s=5", 200),
            (b"/fleet/zone", b"do=return&zone=here", 200),
        ):
            assert bench.node.paths()[path].handler(query)[0] == status, (path, query)
        fleet.close()
        for path in (b"/fleet/replace", b"/fleet/zone"):
            assert bench.node.paths()[path].handler(b"do=begin")[0] == 503

    play(scene)
