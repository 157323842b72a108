"""Servers and discovery of a day alone, for a node that somebody starts by hand."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from time import time_ns
from typing import Any

from workbench.emulator.clock import LiveClock
from workbench.emulator.config import node_table
from workbench.emulator.links import Link
from workbench.emulator.nodes import NoControl, Site
from workbench.emulator.places import Places
from workbench.model.call import Call, Request
from workbench.model.network import one_way
from workbench.model.site import BEGIN, World
from workbench.model.streams import Streams
from workbench.scenario.model import Scenario


class Strangers(Site):
    """Calls of clients that nobody here knows: each id that comes gets a call of its own, for a while."""

    def call_of(self, number: int, target: bytes) -> Call | None:
        if number >= 0 and number not in self.calls:
            self.calls[number] = self.made(number, target)
        return self.calls.get(number)

    def made(self, number: int, target: bytes) -> Call:
        clock, classes = self.clock, self.world.classes
        named = target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
        names = [k.name for k in self.world.day.klass]
        klass = names.index(named) if named in names else 0
        deadline = classes[klass].deadline
        key = number & 0xFFFFFFFF
        request = Request(number, key, klass, 0, clock.now, classes[klass].latency_objective, deadline, 1.0)
        clock.call_at(clock.now + 2 * deadline, self.forget, number)
        return Call(number, request, key, 0, clock.now + deadline, Nobody())

    def forget(self, number: int) -> None:
        """Memory does not grow with what passes through."""
        self.calls.pop(number, None)


class Nobody:
    """A caller that is not here."""

    def answered(self, call: Call, answer: Any, retry_after: int) -> None:
        pass


async def emulate(day: Scenario, folder: Path, seconds: float, say: Callable[[str], None]) -> None:
    """Serves until the day's or the given time is over, or a signal comes. Writes a configuration for each of
    the day's nodes and says where. Its faults come as planned."""
    loop = asyncio.get_running_loop()
    clock = LiveClock(loop, BEGIN)
    streams = Streams(day.seed)

    def link(a: str, zone: int, b: str, other: int) -> Link:
        return Link(clock, streams.random(f"link/{a}/{b}"), one_way(day, zone, other))

    def observe(event: str, **fields: Any) -> None:
        pass

    places = Places()
    site = Strangers(loop, clock, places, NoControl(), observe, link, time_ns() // 1_000_000 - BEGIN // 1000)
    world = World(day, clock, site)
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    try:
        site.start()
        for node in site.nodes:
            path = folder / f"{node.name}.json"
            path.write_text(json.dumps(node_table(site, node, day.seed * 1000 + node.index), indent=1))
            say(f"LB_CONFIG={path} python -m balancer")
        servers = sum(len(t) for t in world.tiers)
        say(f"{servers} servers answer on {places.servers} until Ctrl-C, {seconds:g} s at the most")
        world.clients.times.clear()  # whoever calls, calls from elsewhere
        world.start()
        with suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), seconds)
        say(f"{world.accounts.attempts[0]} attempts came to the servers")
    finally:
        clock.stop()
        site.close()
        places.close()
