"""The `fleet` section of a node's configuration, and the fleet runtime of running nodes."""

import asyncio
import json
import os
import subprocess
import sys
from enum import IntEnum
from pathlib import Path
from typing import Any

import pytest
from fleet_section import fleet_runtime, fleet_section, free_udp_port, write_key_file, write_node_config
from loopback import Bench, run_scenario, wait_until

from balancer.fleet.config import FleetConfigError, read_fleet
from balancer.fleet.endpoint import counter_key
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
        ({"regions": 1}, ["fleet.regions: unknown key: known keys are name, zone"]),
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
        ({"probe": True}, ["fleet.voters: missing: must be given if probe is"]),
        ({"seeds": ["127.0.0.1:1", 7]}, ["fleet.seeds[1]: 7: must be an address of the form host:port"]),
        ({"listen": "localhost:7400"}, ["fleet.listen: 'localhost:7400': must be an address of the form"]),
        (
            {"voters": ["a", "b", "c"], "lease_ms": 9000, "longest_lease_ms": 5000},
            ["fleet.lease_ms: 9000: must"],
        ),
        ({"old_voters": ["a", "b", "c"]}, ["fleet.voters: missing: must be given if old_voters is"]),
        (
            {"votes": "/nowhere"},
            ["fleet.votes: '/nowhere': must be a directory that this process may write to"],
        ),
        ({"listen": "0.0.0.0:7400"}, ["fleet.advertise: missing: must be given if listen is an unspecified"]),
        ({"voters": ["a", "b"]}, ["must be 3 or 5 names, or none if no leases are used: both of two voters"]),
        ({"voters": ["a", "b", "a"]}, ["fleet.voters: ['a', 'b', 'a']: must be distinct names"]),
        ({"voters": ["a", "b", "c", "d"]}, ["must be 3 or 5"]),
        ({"period_ms": 5}, ["fleet.period_ms: 5: must be a whole number from 100 to 60000"]),
        ({"lab": {"clock": 1}}, ["fleet.lab.clock: unknown key: known keys are clock_file"]),
        ({"key": "/nowhere/key"}, ["fleet.key: /nowhere/key: No such file or directory"]),
    ],
)
def test_section_faults_are_all_reported_in_one_error(
    tmp_path: Path, changes: dict[str, Any], lines: list[str]
) -> None:
    """One start shows the operator every fault, instead of one fault for each start."""
    table = fleet_section(tmp_path, **changes)
    if not lines:
        config = read_fleet(table, "n0")
        assert config.name == changes.get("name", "n0") and config.advertise[1] in (7400, 9)
        return
    with pytest.raises(FleetConfigError) as error:
        read_fleet(table, "n0")
    reported = str(error.value).splitlines()
    assert len(reported) == len(lines)
    assert all(expected in line for expected, line in zip(lines, reported, strict=True))


@pytest.mark.parametrize(
    ("mode", "text", "message"), [(0o644, "k" * 20, "chmod 600"), (0o600, "short", "16 to")]
)
def test_readable_or_short_key_file_is_rejected(tmp_path: Path, mode: int, text: str, message: str) -> None:
    key = write_key_file(tmp_path, text, mode)
    with pytest.raises(FleetConfigError, match=message):
        read_fleet(fleet_section(tmp_path, key=key), "n0")


def test_node_without_fleet_section_imports_no_fleet_module(tmp_path: Path) -> None:
    """A node that shares nothing with others must not load the fleet's modules or send datagrams."""
    config = load(write_node_config(tmp_path))
    assert config.fleet is None
    with_fleet = load(write_node_config(tmp_path, fleet=fleet_section(tmp_path)))
    assert with_fleet.reserved_descriptors == config.reserved_descriptors + 1
    code = (
        "import asyncio, os, sys, balancer.__main__ as m;"
        "from balancer.net.node import Node; c = m.load(os.environ);"
        "n = Node(c, asyncio.new_event_loop()); assert b'/fleet' not in n.paths() and n.fleet is None;"
        "print([x for x in sys.modules if x.startswith(('balancer.fleet', 'msgspec'))])"
    )
    env = os.environ | write_node_config(tmp_path)
    out = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True, check=True)
    assert out.stdout == "[]\n"


def test_invalid_section_prints_all_faults_and_exits_with_2(tmp_path: Path) -> None:
    env = os.environ | write_node_config(
        tmp_path, fleet={"zone": 3, "listen": "x", "seeds": [], "key": "/nowhere"}
    )
    out = subprocess.run(
        [sys.executable, "-m", "balancer"], env=env, capture_output=True, text=True, timeout=60
    )
    lines = out.stderr.splitlines()
    assert out.returncode == 2 and len(lines) == 3
    assert all(line.startswith("balancer: fleet.") for line in lines)
    with pytest.raises(ConfigError, match="not an object"):
        load(write_node_config(tmp_path, fleet=[1]))


def test_join_and_leave_are_shown_on_fleet_page(tmp_path: Path) -> None:
    """The page shows a join through a seed that starts later, a rejected datagram, and a leave."""

    def table(port: int, seeds: list[str]) -> dict[str, Any]:
        section = fleet_section(tmp_path, listen=f"127.0.0.1:{port}", seeds=seeds, period_ms=100)
        return {"name": f"n{port}", "fleet": section, "management": "127.0.0.1:0"}

    async def scenario() -> None:
        ports = [free_udp_port(), free_udp_port()]
        one = await Bench(config=table(ports[0], [f"127.0.0.1:{ports[1]}"]), peers=False).start()
        await wait_until(lambda: fleet_runtime(one).sent["sync"] > 0)
        two = await Bench(config=table(ports[1], []), peers=False).start()
        await wait_until(
            lambda: bool(fleet_runtime(one).membership.alive() and fleet_runtime(two).membership.alive())
        )
        fleet_runtime(one).datagram_received(b"x" * 100, ("127.0.0.1", 9))
        page = json.loads(one.node.paths()[b"/fleet"].handler()[1])
        assert page["refused"] == {"version": 1} and page["events"]["join"] == 1
        assert [(m["name"], m["state"]) for m in page["members"]] == [(f"n{ports[1]}", "alive")]
        fleet_runtime(two).leave()
        await wait_until(lambda: not fleet_runtime(one).membership.alive())
        assert (
            fleet_runtime(one).view()["members"][0]["state"] == "left"
            and not fleet_runtime(two).view()["open"]
        )
        fleet_runtime(one).close()

    run_scenario(scenario)


def test_successor_process_takes_over_port_and_name(tmp_path: Path) -> None:
    """A successor retries to bind the port until its predecessor closes it, and has a higher incarnation."""

    async def scenario() -> None:
        port = free_udp_port()
        config = {"fleet": fleet_section(tmp_path, listen=f"127.0.0.1:{port}"), "name": "n0"}
        first = await Bench(config=config, peers=False).start()
        second = Bench(config=config, peers=False)
        with pytest.raises(OSError):
            await second.start()
        second.node.handover.is_shared = True
        await second.node.open_fleet()
        assert fleet_runtime(second).transport is None
        first.node.handover.is_older = True
        first.node.on_shared(True)
        await wait_until(lambda: fleet_runtime(second).swim is not None)
        assert (
            fleet_runtime(second).membership.local_claim.incarnation
            > fleet_runtime(first).membership.local_claim.incarnation
        )
        fleet_runtime(second).close()

    run_scenario(scenario)


def test_failing_tick_and_invalid_address_stop_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The process goes on after an exception in membership's tick and after a send to an invalid address.

    A single one of them must not stop the timer, which would end the process's part in the fleet for good.
    """

    async def scenario() -> None:
        section = fleet_section(
            tmp_path, listen=f"127.0.0.1:{free_udp_port()}", voters=["n0", "b", "c"], period_ms=100, zones={}
        )
        bench = await Bench(config={"fleet": section, "management": "127.0.0.1:0"}, peers=False).start()
        fleet = fleet_runtime(bench)
        await wait_until(lambda: fleet.swim is not None and fleet.timer is not None)
        fleet.transmit(Message(Kind.PING, "n0"), ("no such host", 1))
        assert fleet.events["unsendable"] == 1
        ticks: list[int] = []

        def failing_tick(now: int) -> None:
            ticks.append(now)
            raise RuntimeError("deliberate fault")

        monkeypatch.setattr(fleet.swim, "tick", failing_tick)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await wait_until(lambda: len(ticks) >= 3)
        for path, query, status in (
            (b"/fleet/hold", b"duty=replace&script=s", 400),
            (b"/fleet/hold", b"duty=&script=s", 400),
            (b"/fleet/hold", b"duty=job&script=s", 200),
            (b"/fleet/give", b"duty=job&script=s", 200),
            (b"/fleet/replace", b"do=invalid", 400),
            (b"/fleet/replace", b"do=begin&most=0", 400),
            (b"/fleet/hold", b"duty=probe.x&script=s", 400),
            (b"/fleet/zone", b"do=leave&zone=nowhere&for_s=5", 400),
            (b"/fleet/zone", b"do=leave&zone=here&for_s=0", 400),
            (b"/fleet/zone", b"do=invalid&zone=here", 400),
            (b"/fleet/zone", b"do=leave&zone=here&for_s=5", 200),
            (b"/fleet/zone", b"do=return&zone=here", 200),
        ):
            assert bench.node.paths()[path].handler(query)[0] == status, (path, query)
        fleet.close()
        for path in (b"/fleet/replace", b"/fleet/zone"):
            assert bench.node.paths()[path].handler(b"do=begin")[0] == 503

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("kinds", "keys"),
    [
        (LeaseKind, ["ask", "grant", "deny", "release", "free", "recall", "memory"]),
        (ZoneKind, ["orders"]),
        (RollingUpdateKind, ["plan", "report", "go"]),
        (HealthCheckKind, ["trying", "failed", "well"]),
    ],
)
def test_message_counters_keep_their_page_keys(kinds: type[IntEnum], keys: list[str]) -> None:
    """Operators' scripts read the counters under these keys."""
    assert [counter_key(kind) for kind in kinds] == keys
