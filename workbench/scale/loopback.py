"""A real node and a stand-in server on loopback, as processes of their own, and what they use."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from time import monotonic_ns
from typing import Any

from workbench.emulator.address_block import CLIENT_PORT, MANAGEMENT_PORT, AddressBlock
from workbench.emulator.agent import DiscoveryAgent
from workbench.emulator.child_process import wrap_with_parent_death_signal
from workbench.emulator.http import Request, ServerConnection, encode_response

START_S = 10.0  # that a process may take until it answers
SERVER_PORT = 7000
FLEET_PORT = 7400
BACKLOG = 64
KEY = b"the key of the latency measurement only\n"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class MeasurementError(Exception):
    """A measurement that cannot be made: one line."""


# ---- the stand-in server --------------------------------------------------------------------------------


class EchoTimes(ServerConnection):
    """Answers at once with the monotonic nanoseconds at which the request came and the answer left."""

    def data_received(self, data: bytes) -> None:
        self.came = monotonic_ns()
        super().data_received(data)

    def on_request(self, request: Request) -> None:
        times = b"%020d%020d" % (self.came, monotonic_ns())
        self.transport.write(encode_response(200, times))


async def serve(host: str, port: int) -> None:
    """Serves until the process is ended."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(EchoTimes, host, port, backlog=BACKLOG)
    await server.serve_forever()


# ---- the node -------------------------------------------------------------------------------------------


def settings_table() -> dict[str, Any]:
    """Settings of one tier with one class of safe requests."""
    second = 1_000_000
    return {
        "classes": [
            {
                "name": "view",
                "effect": "free",
                "group": "all",
                "goal_time": 1 * second,
                "hard_limit": 2 * second,
                "late_value": 0.2,
                "window": 10 * second,
                "worth": 1.0,
            }
        ],
        "tenants": [],
        "layers": ["front"],
        "dcs": ["a"],
        "kinds": ["std"],
        "group_size": 1,
        "self_index": 0,
        "tick": 5000,
        "discovery": "push",
        "policy_limits": {
            "max_attempts": 3,
            "cancel": True,
            "probing": False,
            "peers": False,
            "retry_after": True,
            "max_retry_after": 2 * second,
            "connect_timeout": 1 * second,
            "conn_idle": 30 * second,
        },
        "rules": {"cold": 0, "start_capacity": 1.0, "fall_multiple": 3.0, "tip_after": 0},
    }


def server_entry(address: tuple[str, int]) -> dict[str, Any]:
    """The stand-in server as discovery tells of it."""
    return {
        "id": "s0",
        "addr": f"{address[0]}:{address[1]}",
        "zone": "a",
        "kind": "std",
        "cell": 0,
        "state": "ready",
        "weight": 1.0,
        "started_ms": 0,
    }


def node_table(places: AddressBlock, folder: Path, fleet: bool) -> dict[str, Any]:
    """The node's configuration."""
    here = places.node_host(0)
    agent = places.agent_address(0)
    table: dict[str, Any] = {
        "name": "n0",
        "listen": f"{here}:{CLIENT_PORT}",
        "management": f"{here}:{MANAGEMENT_PORT}",
        "discovery": f"{agent[0]}:{agent[1]}",
        "seed": "1",
        "limits": {"sockets": 256, "memory_mb": 32},
        "known": {"version": 1, "full": True, "servers": [server_entry((places.server_host, SERVER_PORT))]},
        "settings": settings_table(),
    }
    if fleet:
        key = folder / "key"
        key.write_bytes(KEY)
        key.chmod(0o600)
        table["fleet"] = {"zone": "a", "listen": f"{here}:{FLEET_PORT}", "seeds": [], "key": str(key)}
    return table


class ListAgent(DiscoveryAgent):
    """Discovery with a fixed list of one server."""

    def __init__(self, loop: asyncio.AbstractEventLoop, line: dict[str, Any]) -> None:
        super().__init__(loop, lambda entry: line, lambda lines: None)
        self.version = 1
        self.endpoints = {line["id"]: line}
        self.change_versions = {line["id"]: 1}


@dataclass
class Usage:
    """What a process has used so far."""

    cpu_ns: int
    run_queue_ns: int  # runnable, but waiting for a core
    resident_bytes: int
    user_s: float  # in steps of the kernel's clock, some 10 ms
    system_s: float


def usage(pid: int) -> Usage:
    """From the kernel's own accounts. MeasurementError once the process has ended."""
    try:
        cpu, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, ValueError) as e:
        raise MeasurementError(f"process {pid}: {e}") from None
    user, system = (int(ticks) / TICKS_PER_S for ticks in stat[11:13])
    return Usage(int(cpu), int(waited), pages * PAGE_BYTES, user, system)


@dataclass
class Bench:
    """The processes of a measurement, running."""

    places: AddressBlock
    node: subprocess.Popen[bytes]
    server: subprocess.Popen[bytes]

    def address(self, through_node: bool) -> tuple[str, int]:
        return (
            (self.places.node_host(0), CLIENT_PORT)
            if through_node
            else (self.places.server_host, SERVER_PORT)
        )


async def answers(host: str, port: int) -> None:
    """Returns when something listens there. MeasurementError after a while."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + START_S
    while loop.time() < ends:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return
    raise MeasurementError(f"{host}:{port}: nothing listens after {START_S:g} s")


def ended(process: subprocess.Popen[bytes]) -> None:
    """Ends a process of ours and waits for it; a node writes its profile first."""
    process.terminate()
    try:
        process.wait(5)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


@asynccontextmanager
async def bench(fleet: bool = False, profile: Path | None = None) -> AsyncIterator[Bench]:
    """Starts server and node and ends them; the kernel ends them too if this process dies."""
    loop = asyncio.get_running_loop()
    places = AddressBlock()
    with tempfile.TemporaryDirectory(prefix="latency-") as name:
        folder = Path(name)
        config = folder / "config.json"
        config.write_text(json.dumps(node_table(places, folder, fleet)))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env |= {"LB_CONFIG": str(config), "TMPDIR": name}
        python = [sys.executable, "-m"]
        profiler = ["cProfile", "-o", str(profile)] if profile else []
        runner = [*python, *profiler, *(["-m"] if profile else []), "balancer"]
        serving = [*python, "workbench.scale.latency", "--serve", f"{places.server_host}:{SERVER_PORT}"]
        agent = ListAgent(loop, server_entry((places.server_host, SERVER_PORT)))
        agent.start(places.agent_address(0))
        quiet: dict[str, Any] = {"stdin": subprocess.DEVNULL, "stdout": subprocess.DEVNULL}
        server = subprocess.Popen(wrap_with_parent_death_signal(serving), **quiet)
        try:
            with (folder / "log").open("wb") as log:
                node = subprocess.Popen(wrap_with_parent_death_signal(runner), env=env, stderr=log, **quiet)
            try:
                await answers(places.server_host, SERVER_PORT)
                await answers(places.node_host(0), CLIENT_PORT)
                yield Bench(places, node, server)
            finally:
                ended(node)
        finally:
            ended(server)
            agent.close()
            places.close()
