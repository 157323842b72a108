"""The servers and the discovery of a day alone, for a node that somebody starts by hand."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from time import time_ns
from typing import Any

from workbench.emulator.address_block import AddressBlock
from workbench.emulator.clock import RealTimeClock
from workbench.emulator.config import node_table
from workbench.emulator.links import Link
from workbench.emulator.nodes import NoProcessControl, Site
from workbench.model.call import Call, Request
from workbench.model.network import one_way_delay
from workbench.model.site import CLOCK_START_US, World
from workbench.model.streams import Streams
from workbench.scenario.model import Scenario

KEY_MASK = 0xFFFFFFFF
Report = Callable[[str], None]


class UnknownClientsSite(Site):
    """A site for calls of clients outside the model: each new call id gets a call, for a limited time."""

    def find_call(self, call_id: int, target: bytes) -> Call | None:
        """Returns the call with an id, which is made where it is new."""
        if call_id >= 0 and call_id not in self.calls:
            self.calls[call_id] = self.make_call(call_id, target)
        return self.calls.get(call_id)

    def make_call(self, call_id: int, target: bytes) -> Call:
        """Returns a call of the class that the target's path names, or else of the first class."""
        clock, classes = self.clock, self.world.classes
        path_name = target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
        names = [k.name for k in self.world.scenario.request_classes]
        index = names.index(path_name) if path_name in names else 0
        deadline = classes[index].deadline
        objective = classes[index].latency_objective
        key = call_id & KEY_MASK
        request = Request(call_id, key, index, 0, clock.now, objective, deadline, 1.0)
        clock.call_at(clock.now + 2 * deadline, self.forget_call, call_id)
        return Call(call_id, request, key, 0, clock.now + deadline, UnknownCaller())

    def forget_call(self, call_id: int) -> None:
        """Drops a call, so that memory does not grow with the number of requests."""
        self.calls.pop(call_id, None)


class UnknownCaller:
    """A caller outside the model."""

    def answered(self, call: Call, answer: Any, retry_after: int) -> None:
        """Does nothing: the node itself answers the caller."""


async def emulate(day: Scenario, folder: Path, seconds: float, report: Report) -> None:
    """Serves until the time is over or a signal comes; the day's faults come as planned.

    Args:
        day: The servers, nodes and faults.
        folder: Where a configuration is written for each node.
        seconds: The longest time to serve.
        report: Gets the lines for the user: how to start the nodes, and what came.
    """
    clock = RealTimeClock(asyncio.get_running_loop(), CLOCK_START_US)
    addresses = AddressBlock()
    site = make_site(day, clock, addresses)
    world = World(day, clock, site)
    stop = stop_on_signals()
    try:
        site.start()
        write_configurations(day, site, folder, report)
        servers = sum(len(tier) for tier in world.tiers)
        report(f"{servers} servers answer on {addresses.server_host} until Ctrl-C, {seconds:g} s at the most")
        world.clients.times.clear()  # whoever calls, calls from elsewhere
        world.start()
        with suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), seconds)
        report(f"{world.accounts.attempts[0]} attempts came to the servers")
    finally:
        clock.stop()
        site.close()
        addresses.close()


def make_site(day: Scenario, clock: RealTimeClock, addresses: AddressBlock) -> UnknownClientsSite:
    """Returns a site without a history whose nodes are started by hand."""
    streams = Streams(day.seed)

    def link_between(source: str, source_zone: int, target: str, target_zone: int) -> Link:
        rng = streams.random(f"link/{source}/{target}")
        return Link(clock, rng, one_way_delay(day, source_zone, target_zone))

    def observe(event: str, **fields: Any) -> None:
        pass

    epoch_ms = time_ns() // 1_000_000 - CLOCK_START_US // 1000
    return UnknownClientsSite(
        clock.loop, clock, addresses, NoProcessControl(), observe, link_between, epoch_ms
    )


def stop_on_signals() -> asyncio.Event:
    """Returns an event that SIGINT and SIGTERM set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    return stop


def write_configurations(day: Scenario, site: Site, folder: Path, report: Report) -> None:
    """Writes the configuration of each node, and reports the command that starts it."""
    for node in site.nodes:
        path = folder / f"{node.name}.json"
        path.write_text(json.dumps(node_table(site, node, day.seed * 1000 + node.index), indent=1))
        report(f"LB_CONFIG={path} python -m balancer")
