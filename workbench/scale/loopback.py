"""A real node and a stub server as separate processes on loopback, and their resource usage."""

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

START_TIMEOUT_S = 10.0
SERVER_PORT = 7000
FLEET_PORT = 7400
BACKLOG = 64
GROUP_KEY = b"the key of the latency measurement only\n"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class MeasurementError(Exception):
    """A measurement that cannot be made; the message is a single line."""


# ---- the stub server --------------------------------------------------------------------------------------


class TimestampServer(ServerConnection):
    """A server that answers at once with the monotonic nanoseconds of receipt and response."""

    def data_received(self, data: bytes) -> None:
        """Note the time of receipt and parse the data."""
        self.received_ns = monotonic_ns()
        super().data_received(data)

    def on_request(self, request: Request) -> None:
        """Answer with both times as fixed-width numbers."""
        times = b"%020d%020d" % (self.received_ns, monotonic_ns())
        self.transport.write(encode_response(200, times))


async def serve(host: str, port: int) -> None:
    """Run the stub server until the process is terminated."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(TimestampServer, host, port, backlog=BACKLOG)
    await server.serve_forever()


# ---- the node -------------------------------------------------------------------------------------------


def node_settings() -> dict[str, Any]:
    """Return the settings of one tier with one class of safe requests."""
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
    """Return the stub server's entry in the list of discovery."""
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


def node_configuration(address_block: AddressBlock, folder: Path, fleet: bool) -> dict[str, Any]:
    """Build the node's configuration, and write the key file if it has a fleet section."""
    node_host = address_block.node_host(0)
    agent = address_block.agent_address(0)
    table: dict[str, Any] = {
        "name": "n0",
        "listen": f"{node_host}:{CLIENT_PORT}",
        "management": f"{node_host}:{MANAGEMENT_PORT}",
        "discovery": f"{agent[0]}:{agent[1]}",
        "seed": "1",
        "limits": {"sockets": 256, "memory_mb": 32},
        "known": {
            "version": 1,
            "full": True,
            "servers": [server_entry((address_block.server_host, SERVER_PORT))],
        },
        "settings": node_settings(),
    }
    if fleet:
        key = folder / "key"
        key.write_bytes(GROUP_KEY)
        key.chmod(0o600)
        table["fleet"] = {"zone": "a", "listen": f"{node_host}:{FLEET_PORT}", "seeds": [], "key": str(key)}
    return table


class FixedListAgent(DiscoveryAgent):
    """A discovery agent with a fixed list of one server."""

    def __init__(self, loop: asyncio.AbstractEventLoop, line: dict[str, Any]) -> None:
        super().__init__(loop, lambda entry: line, lambda lines: None)
        self.version = 1
        self.endpoints = {line["id"]: line}
        self.change_versions = {line["id"]: 1}


@dataclass
class Usage:
    """Resources that a process has used so far.

    `run_queue_ns` is the time in which it was runnable but waited for a core. `user_s` and `system_s` have
    the resolution of the kernel's clock ticks, some 10 ms.
    """

    cpu_ns: int
    run_queue_ns: int
    resident_bytes: int
    user_s: float
    system_s: float


def process_usage(pid: int) -> Usage:
    """Read the resource usage of a process from /proc.

    Raises:
        MeasurementError: The process has ended.
    """
    try:
        cpu, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
        stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, ValueError) as e:
        raise MeasurementError(f"process {pid}: {e}") from None
    user, system = (int(ticks) / CLOCK_TICKS_PER_S for ticks in stat[11:13])
    return Usage(int(cpu), int(waited), pages * PAGE_BYTES, user, system)


@dataclass
class Testbed:
    """The running processes of a measurement."""

    address_block: AddressBlock
    node: subprocess.Popen[bytes]
    server: subprocess.Popen[bytes]

    def address(self, through_node: bool) -> tuple[str, int]:
        """Return where to send requests: to the node, or directly to the server."""
        return (
            (self.address_block.node_host(0), CLIENT_PORT)
            if through_node
            else (self.address_block.server_host, SERVER_PORT)
        )


async def wait_until_listening(host: str, port: int) -> None:
    """Wait until something listens at an address.

    Raises:
        MeasurementError: Nothing does so in time.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT_S
    while loop.time() < deadline:
        try:
            _, writer = await asyncio.open_connection(host, port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return
    raise MeasurementError(f"{host}:{port}: nothing listens after {START_TIMEOUT_S:g} s")


def terminate(process: subprocess.Popen[bytes]) -> None:
    """Terminate a child process and wait for it; a profiled node writes its profile first."""
    process.terminate()
    try:
        process.wait(5)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


@asynccontextmanager
async def start_testbed(fleet: bool = False, profile: Path | None = None) -> AsyncIterator[Testbed]:
    """Run server and node within the context; the kernel ends them too if this process dies."""
    loop = asyncio.get_running_loop()
    address_block = AddressBlock()
    with tempfile.TemporaryDirectory(prefix="latency-") as name:
        folder = Path(name)
        config = folder / "config.json"
        config.write_text(json.dumps(node_configuration(address_block, folder, fleet)))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env |= {"LB_CONFIG": str(config), "TMPDIR": name}
        python = [sys.executable, "-m"]
        profiler = ["cProfile", "-o", str(profile)] if profile else []
        node_command = [*python, *profiler, *(["-m"] if profile else []), "balancer"]
        server_command = [
            *python,
            "workbench.scale.latency",
            "--serve",
            f"{address_block.server_host}:{SERVER_PORT}",
        ]
        agent = FixedListAgent(loop, server_entry((address_block.server_host, SERVER_PORT)))
        agent.start(address_block.agent_address(0))
        stdio: dict[str, Any] = {"stdin": subprocess.DEVNULL, "stdout": subprocess.DEVNULL}
        server = subprocess.Popen(wrap_with_parent_death_signal(server_command), **stdio)
        try:
            with (folder / "log").open("wb") as log:
                node = subprocess.Popen(
                    wrap_with_parent_death_signal(node_command), env=env, stderr=log, **stdio
                )
            try:
                await wait_until_listening(address_block.server_host, SERVER_PORT)
                await wait_until_listening(address_block.node_host(0), CLIENT_PORT)
                yield Testbed(address_block, node, server)
            finally:
                terminate(node)
        finally:
            terminate(server)
            agent.close()
            address_block.close()
