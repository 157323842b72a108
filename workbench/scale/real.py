"""Real nodes beside the hollow members: processes of the balancer in the same group.

They have discovery agents and servers, which get no requests, so that a node becomes ready as in service.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from time import time_ns
from typing import Any

import msgspec

from workbench.emulator.address_block import CLIENT_PORT, MANAGEMENT_PORT, AddressBlock
from workbench.emulator.clock import RealTimeClock
from workbench.emulator.config import build_node_configuration
from workbench.emulator.http import ConnectionPool
from workbench.emulator.links import Link
from workbench.emulator.nodes import NodeAdapter, NoProcessControl, Site
from workbench.lab.management import READY_POLL_S, fetch
from workbench.lab.process import Process, command
from workbench.model.network import one_way_delay
from workbench.model.site import CLOCK_START_US, World
from workbench.model.streams import Streams
from workbench.scale.group import Group, MemberSpec
from workbench.scenario.load import draw, load

READY_TIMEOUT_S = 20.0
VIEW_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 5.0
SCENARIO = "lab"


class RealNodeError(Exception):
    """A node that is not ready or has ended; the message is a single line with its name."""


class RealNode:
    """The process of one real node."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, spec: MemberSpec, node: NodeAdapter, host: str
    ) -> None:
        self.loop = loop
        self.spec = spec
        self.node = node
        self.host = host
        self.process: Process | None = None
        self.ended = asyncio.Event()
        self.management_connections = ConnectionPool(loop, host, MANAGEMENT_PORT)
        self.joined_s: float | None = None

    def start(self, folder: Path, table: dict[str, Any]) -> None:
        """Start the process; the kernel ends it with this one."""
        folder.mkdir()
        self.process = Process(
            self.loop,
            self.spec.name,
            command(""),
            folder / "config.json",
            table,
            lambda line: None,
            lambda status: self.ended.set(),
        )

    async def ready(self) -> None:
        """Wait until the node accepts requests.

        Raises:
            RealNodeError: It does not in time, or has ended.
        """
        assert self.process is not None
        connections = ConnectionPool(self.loop, self.host, CLIENT_PORT)
        end = self.loop.time() + READY_TIMEOUT_S
        try:
            while self.loop.time() < end and not self.ended.is_set():
                reply = await fetch(self.loop, connections, b"/ready", 1.0)
                if reply is not None and reply.status == 200:
                    return
                await asyncio.sleep(READY_POLL_S)
        finally:
            connections.close()
        raise RealNodeError(f"{self.spec.name}: not ready: {self.last_line()}")

    def last_line(self) -> str:
        """Return the last line that the node logged."""
        return self.process.last_line() if self.process else "it logged nothing"

    async def view(self) -> dict[str, Any]:
        """Fetch the node's view of the group, `GET /fleet`.

        Raises:
            RealNodeError: The node does not answer.
        """
        reply = await fetch(self.loop, self.management_connections, b"/fleet", VIEW_TIMEOUT_S)
        if reply is None or reply.status != 200:
            raise RealNodeError(f"{self.spec.name}: no answer to GET /fleet: {self.last_line()}")
        page: dict[str, Any] = msgspec.json.decode(reply.body)
        return page

    def usage(self) -> tuple[float, float]:
        """Return the processor seconds so far, and the resident megabytes."""
        return self.process.usage() if self.process is not None else (0.0, 0.0)


class RealNodes:
    """All real nodes of a run, with their emulated site."""

    def __init__(self, group: Group, address_block: AddressBlock, folder: Path, key: str) -> None:
        self.group = group
        self.folder = folder
        self.key = key
        self.loop = asyncio.get_running_loop()
        self.clock = RealTimeClock(self.loop, CLOCK_START_US)
        self.nodes: list[RealNode] = []
        scenario = draw(load(SCENARIO, [f"nodes.count={group.real}", "zones.count=1"]), group.seed)
        streams = Streams(group.seed)

        def link(a: str, zone: int, b: str, other: int) -> Link:
            """Create the link between two hosts, with the delay between their zones."""
            return Link(self.clock, streams.random(f"link/{a}/{b}"), one_way_delay(scenario, zone, other))

        epoch_ms = time_ns() // 1_000_000 - CLOCK_START_US // 1000
        self.site = Site(
            self.loop, self.clock, address_block, NoProcessControl(), ignore_event, link, epoch_ms
        )
        World(scenario, self.clock, self.site)
        for spec, node in zip(group.member_specs[group.hollow :], self.site.nodes, strict=True):
            self.nodes.append(RealNode(self.loop, spec, node, address_block.node_host(node.index)))

    async def start(self) -> None:
        """Start all nodes and wait until they are ready.

        Raises:
            RealNodeError: A node does not become ready.
        """
        self.site.start()
        for real_node in self.nodes:
            table = build_node_configuration(
                self.site, real_node.node, self.group.seed * 1000 + real_node.node.index
            )
            fleet = self.group.fleet_table(real_node.spec, self.key)
            real_node.start(self.folder / real_node.spec.name, table | {"fleet": fleet})
        await asyncio.gather(*(real_node.ready() for real_node in self.nodes))

    async def incarnations(self) -> dict[str, int]:
        """Fetch the incarnation of each node by name."""
        pages = await asyncio.gather(*(real_node.view() for real_node in self.nodes))
        return {
            real_node.spec.name: int(page["incarnation"])
            for real_node, page in zip(self.nodes, pages, strict=True)
        }

    def send_group_list(self, datagrams: list[bytes]) -> None:
        """Send the group list to all nodes."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for real_node in self.nodes:
                for data in datagrams:
                    sender.sendto(data, real_node.spec.address)

    async def states(self) -> dict[str, dict[str, str]]:
        """Fetch the view of each node: the state of each other member, by the name of the node.

        Raises:
            RealNodeError: A node does not answer.
        """
        pages = await asyncio.gather(*(real_node.view() for real_node in self.nodes))
        return {
            real_node.spec.name: {m["name"]: m["state"] for m in page["members"]}
            for real_node, page in zip(self.nodes, pages, strict=True)
        }

    async def stop(self) -> None:
        """Stop all nodes with SIGTERM, and with SIGKILL those that are still running after the timeout."""
        started = [real_node for real_node in self.nodes if real_node.process is not None]
        for signal_number in (signal.SIGTERM, signal.SIGKILL):
            for real_node in started:
                if real_node.process is not None:
                    real_node.process.signal(signal_number)
            waits = [self.loop.create_task(real_node.ended.wait()) for real_node in started]
            if waits:
                await asyncio.wait(waits, timeout=STOP_TIMEOUT_S)
            for task in waits:
                task.cancel()
            started = [real_node for real_node in started if not real_node.ended.is_set()]
        for real_node in self.nodes:
            real_node.management_connections.close()
        self.clock.stop()
        self.site.close()


def ignore_event(event: str, **fields: Any) -> None:
    """Discard an event of the site, since no history of the servers is written."""
