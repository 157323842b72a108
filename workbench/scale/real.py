"""Real nodes beside the hollow members: processes of the product in the same group, with discovery's agents
and servers that nobody calls, so that a node is as ready as in service."""

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
from workbench.scale.group import Group, Place
from workbench.scenario.load import draw, load

READY_S = 20.0
PAGE_S = 5.0  # that a node has to answer for its page
STOP_S = 5.0
SCENARIO = "lab"


class RealNodeError(Exception):
    """A node that is not ready or has ended: one line with its name."""


class RealNode:
    """One node's process."""

    def __init__(self, loop: asyncio.AbstractEventLoop, place: Place, node: NodeAdapter, host: str) -> None:
        self.loop = loop
        self.place = place
        self.node = node
        self.host = host
        self.process: Process | None = None
        self.ended = asyncio.Event()
        self.pages = ConnectionPool(loop, host, MANAGEMENT_PORT)
        self.joined_s: float | None = None

    def start(self, folder: Path, table: dict[str, Any]) -> None:
        """Starts it; the kernel ends it with this process."""
        folder.mkdir()
        self.process = Process(
            self.loop,
            self.place.name,
            command(""),
            folder / "config.json",
            table,
            lambda line: None,
            lambda status: self.ended.set(),
        )

    async def ready(self) -> None:
        """Waits until it takes calls. RealNodeError."""
        assert self.process is not None
        lines = ConnectionPool(self.loop, self.host, CLIENT_PORT)
        end = self.loop.time() + READY_S
        try:
            while self.loop.time() < end and not self.ended.is_set():
                reply = await fetch(self.loop, lines, b"/ready", 1.0)
                if reply is not None and reply.status == 200:
                    return
                await asyncio.sleep(READY_POLL_S)
        finally:
            lines.close()
        raise RealNodeError(f"{self.place.name}: not ready: {self.last_line()}")

    def last_line(self) -> str:
        """The last that it logged."""
        return self.process.last_line() if self.process else "it logged nothing"

    async def view(self) -> dict[str, Any]:
        """Its page `GET /fleet`. RealNodeError."""
        reply = await fetch(self.loop, self.pages, b"/fleet", PAGE_S)
        if reply is None or reply.status != 200:
            raise RealNodeError(f"{self.place.name}: does not answer for its view: {self.last_line()}")
        page: dict[str, Any] = msgspec.json.decode(reply.body)
        return page

    def usage(self) -> tuple[float, float]:
        """Processor seconds so far, and resident megabytes."""
        return self.process.usage() if self.process is not None else (0.0, 0.0)


class RealNodes:
    """All real nodes of a run."""

    def __init__(self, group: Group, places: AddressBlock, folder: Path, key: str) -> None:
        self.group = group
        self.folder = folder
        self.key = key
        self.loop = asyncio.get_running_loop()
        self.clock = RealTimeClock(self.loop, CLOCK_START_US)
        self.nodes: list[RealNode] = []
        day = draw(load(SCENARIO, [f"nodes.count={group.real}", "zones.count=1"]), group.seed)
        streams = Streams(group.seed)

        def link(a: str, zone: int, b: str, other: int) -> Link:
            return Link(self.clock, streams.random(f"link/{a}/{b}"), one_way_delay(day, zone, other))

        epoch = time_ns() // 1_000_000 - CLOCK_START_US // 1000
        self.site = Site(self.loop, self.clock, places, NoProcessControl(), unobserved, link, epoch)
        World(day, self.clock, self.site)
        for place, node in zip(group.places[group.hollow :], self.site.nodes, strict=True):
            self.nodes.append(RealNode(self.loop, place, node, places.node_host(node.index)))

    async def start(self) -> None:
        """Starts all and waits until they are ready. RealNodeError."""
        self.site.start()
        for real in self.nodes:
            table = build_node_configuration(self.site, real.node, self.group.seed * 1000 + real.node.index)
            fleet = self.group.fleet_table(real.place, self.key)
            real.start(self.folder / real.place.name, table | {"fleet": fleet})
        await asyncio.gather(*(real.ready() for real in self.nodes))

    async def incarnations(self) -> dict[str, int]:
        """Of each, as it says itself."""
        pages = await asyncio.gather(*(real.view() for real in self.nodes))
        return {
            real.place.name: int(page["incarnation"]) for real, page in zip(self.nodes, pages, strict=True)
        }

    def learn(self, datagrams: list[bytes]) -> None:
        """Sends all the group's list."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sending:
            for real in self.nodes:
                for data in datagrams:
                    sending.sendto(data, real.place.address)

    async def states(self) -> dict[str, dict[str, str]]:
        """By node: the state of each other member, by its own view. RealNodeError."""
        pages = await asyncio.gather(*(real.view() for real in self.nodes))
        return {
            real.place.name: {m["name"]: m["state"] for m in page["members"]}
            for real, page in zip(self.nodes, pages, strict=True)
        }

    async def stop(self) -> None:
        """Ends all: SIGTERM, and SIGKILL to what is still there after its patience."""
        started = [real for real in self.nodes if real.process is not None]
        for number in (signal.SIGTERM, signal.SIGKILL):
            for real in started:
                if real.process is not None:
                    real.process.signal(number)
            waits = [self.loop.create_task(real.ended.wait()) for real in started]
            if waits:
                await asyncio.wait(waits, timeout=STOP_S)
            for task in waits:
                task.cancel()
            started = [real for real in started if not real.ended.is_set()]
        for real in self.nodes:
            real.pages.close()
        self.clock.stop()
        self.site.close()


def unobserved(event: str, **fields: Any) -> None:
    """Nobody writes a history of the servers."""
