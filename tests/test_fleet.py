"""The fleet section of a node's configuration, and the runtime of nodes that have one."""

import asyncio
import json
import os
import subprocess
import sys
from enum import IntEnum
from pathlib import Path
from typing import Any

import pytest
from fleet_section import fleet_of, fleet_section, free_udp_port, key_file, node_file
from loopback import Bench, play, until

from balancer.fleet.config import FleetConfigError, read_fleet
from balancer.fleet.endpoint import page_key
from balancer.fleet.health_checks.messages import HealthCheckKind
from balancer.fleet.leases.messages import LeaseKind
from balancer.fleet.membership.swim import Kind, Message
from balancer.fleet.rolling_update.messages import RollingUpdateKind
from balancer.fleet.zone_routing.messages import ZoneKind
from balancer.net.config import ConfigError, load


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
def test_all_faults_of_the_section_are_reported_at_once(
    tmp_path: Path, changes: dict[str, Any], lines: list[str]
) -> None:
    """Failure prevented: an operator mends one line, starts again, and reads of the next."""
    table = fleet_section(tmp_path, **changes)
    if not lines:
        found = read_fleet(table, "n0")
        assert found.name == changes.get("name", "n0") and found.advertise[1] in (7400, 9)
        return
    with pytest.raises(FleetConfigError) as error:
        read_fleet(table, "n0")
    reported = str(error.value).splitlines()
    assert len(reported) == len(lines)
    assert all(part in line for part, line in zip(lines, reported, strict=True))


@pytest.mark.parametrize(
    ("mode", "text", "part"), [(0o644, "k" * 20, "chmod 600"), (0o600, "short", "16 to")]
)
def test_a_key_that_others_may_read_or_guess_is_refused(
    tmp_path: Path, mode: int, text: str, part: str
) -> None:
    key = key_file(tmp_path, text, mode)
    with pytest.raises(FleetConfigError, match=part):
        read_fleet(fleet_section(tmp_path, key=key), "n0")


def test_a_node_without_the_section_imports_nothing_of_the_fleet(tmp_path: Path) -> None:
    """Failure prevented: sites whose nodes share nothing pay for the fleet, or send datagrams."""
    config = load(node_file(tmp_path))
    assert config.fleet is None
    with_fleet = load(node_file(tmp_path, fleet=fleet_section(tmp_path)))
    assert with_fleet.reserved_descriptors == config.reserved_descriptors + 1
    code = (
        "import asyncio, os, sys, balancer.__main__ as m;"
        "from balancer.net.node import Node; c = m.load(os.environ);"
        "n = Node(c, asyncio.new_event_loop()); assert b'/fleet' not in n.paths() and n.fleet is None;"
        "print([x for x in sys.modules if x.startswith(('balancer.fleet', 'msgspec'))])"
    )
    env = os.environ | node_file(tmp_path)
    out = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    assert out.stdout == "[]\n"


def test_a_start_with_a_wrong_section_prints_all_faults_and_exits_with_2(tmp_path: Path) -> None:
    env = os.environ | node_file(tmp_path, fleet={"zone": 3, "listen": "x", "seeds": [], "key": "/nowhere"})
    out = subprocess.run(
        [sys.executable, "-m", "balancer"], env=env, capture_output=True, text=True, timeout=60
    )
    lines = out.stderr.splitlines()
    assert out.returncode == 2 and len(lines) == 3
    assert all(line.startswith("balancer: fleet.") for line in lines)
    with pytest.raises(ConfigError, match="not an object"):
        load(node_file(tmp_path, fleet=[1]))


def test_two_nodes_join_leave_and_show_it(tmp_path: Path) -> None:
    """A seed that starts later than the node that joins through it; a leave; garbage that is counted."""

    def table(port: int, seeds: list[str]) -> dict[str, Any]:
        given = fleet_section(tmp_path, listen=f"127.0.0.1:{port}", seeds=seeds, period_ms=100)
        return {"name": f"n{port}", "fleet": given, "management": "127.0.0.1:0"}

    async def scene() -> None:
        ports = [free_udp_port(), free_udp_port()]
        one = await Bench(config=table(ports[0], [f"127.0.0.1:{ports[1]}"]), peers=False).start()
        await until(lambda: fleet_of(one).sent["sync"] > 0)
        two = await Bench(config=table(ports[1], []), peers=False).start()
        await until(lambda: bool(fleet_of(one).membership.alive() and fleet_of(two).membership.alive()))
        fleet_of(one).datagram_received(b"x" * 100, ("127.0.0.1", 9))
        page = json.loads(one.node.paths()[b"/fleet"].handler()[1])
        assert page["refused"] == {"version": 1} and page["events"]["join"] == 1
        assert [(m["name"], m["state"]) for m in page["members"]] == [(f"n{ports[1]}", "alive")]
        fleet_of(two).leave()
        await until(lambda: not fleet_of(one).membership.alive())
        assert fleet_of(one).view()["members"][0]["state"] == "left" and not fleet_of(two).view()["open"]
        fleet_of(one).close()

    play(scene)


def test_a_successor_process_takes_the_port(tmp_path: Path) -> None:
    """A successor retries the port until its predecessor closes it, and goes on under the node's name."""

    async def scene() -> None:
        port = free_udp_port()
        given = {"fleet": fleet_section(tmp_path, listen=f"127.0.0.1:{port}"), "name": "n0"}
        first = await Bench(config=given, peers=False).start()
        second = Bench(config=given, peers=False)
        with pytest.raises(OSError):
            await second.start()
        second.node.handover.is_shared = True
        await second.node.open_fleet()
        assert fleet_of(second).transport is None
        first.node.handover.is_older = True
        first.node.on_shared(True)
        await until(lambda: fleet_of(second).swim is not None)
        assert fleet_of(second).membership.me.incarnation > fleet_of(first).membership.me.incarnation
        fleet_of(second).close()

    play(scene)


def test_a_component_s_fault_and_a_bad_address_end_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: an exception in a tick, or a member that advertises what cannot be sent to, silences
    the process for good."""

    async def scene() -> None:
        given = fleet_section(
            tmp_path, listen=f"127.0.0.1:{free_udp_port()}", voters=["n0", "b", "c"], period_ms=100, zones={}
        )
        bench = await Bench(config={"fleet": given, "management": "127.0.0.1:0"}, peers=False).start()
        fleet = fleet_of(bench)
        await until(lambda: fleet.swim is not None and fleet.timer is not None)
        fleet.transmit(Message(Kind.PING, "n0"), ("no such host", 1))
        assert fleet.events["unsendable"] == 1
        ticks: list[int] = []

        def failing_tick(now: int) -> None:
            ticks.append(now)
            raise RuntimeError("on purpose")

        monkeypatch.setattr(fleet.swim, "tick", failing_tick)
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


@pytest.mark.parametrize(
    ("kinds", "keys"),
    [
        (LeaseKind, ["ask", "grant", "deny", "release", "free", "recall", "memory"]),
        (ZoneKind, ["orders"]),
        (RollingUpdateKind, ["plan", "report", "go"]),
        (HealthCheckKind, ["trying", "failed", "well"]),
    ],
)
def test_the_page_counts_messages_under_the_keys_that_operators_know(
    kinds: type[IntEnum], keys: list[str]
) -> None:
    assert [page_key(kind) for kind in kinds] == keys
