"""Emulation of a scenario's servers and discovery alone, for nodes that the user starts."""

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
from workbench.emulator.config import build_node_configuration
from workbench.emulator.links import Link
from workbench.emulator.nodes import NoProcessControl, Site
from workbench.model.call import Call, Request
from workbench.model.network import one_way_delay
from workbench.model.site import CLOCK_START_US, World
from workbench.model.streams import Streams
from workbench.scenario.model import Scenario

KEY_MASK = 0xFFFFFFFF
ReportCallback = Callable[[str], None]


class ExternalClientsSite(Site):
    """A site that accepts calls of clients outside the model.

    Each unknown call id creates a call, which is removed after twice its deadline.
    """

    def find_call(self, call_id: int, target: bytes) -> Call | None:
        """Return the call with an id and create it if it is new; None if the id is invalid."""
        if call_id >= 0 and call_id not in self.calls:
            self.calls[call_id] = self.make_call(call_id, target)
        return self.calls.get(call_id)

    def make_call(self, call_id: int, target: bytes) -> Call:
        """Return a new call of the request class that the target's path names, or else of the first class."""
        clock, classes = self.clock, self.world.classes
        path_name = target[1:].partition(b"?")[0].partition(b"/")[0].decode("latin-1")
        class_names = [request_class.name for request_class in self.world.scenario.request_classes]
        index = class_names.index(path_name) if path_name in class_names else 0
        deadline = classes[index].deadline
        objective = classes[index].latency_objective
        key = call_id & KEY_MASK
        request = Request(call_id, key, index, 0, clock.now, objective, deadline, 1.0)
        clock.call_at(clock.now + 2 * deadline, self.expire_call, call_id)
        return Call(call_id, request, key, 0, clock.now + deadline, ExternalCaller())

    def expire_call(self, call_id: int) -> None:
        """Remove a call, so that memory does not grow with the number of requests."""
        self.calls.pop(call_id, None)


class ExternalCaller:
    """The caller of calls from clients outside the model."""

    def answered(self, call: Call, answer: Any, retry_after: int) -> None:
        """Ignore the answer: the node itself responds to the client."""


async def emulate(scenario: Scenario, directory: Path, seconds: float, report: ReportCallback) -> None:
    """Serve until the time is over or SIGINT or SIGTERM arrives, and inject the scenario's faults.

    Args:
        scenario: Defines the servers, nodes and faults.
        directory: The directory to which the configuration of each node is written.
        seconds: The maximum time to serve.
        report: Called with each line for the user: how to start the nodes, and the number of attempts.
    """
    clock = RealTimeClock(asyncio.get_running_loop(), CLOCK_START_US)
    addresses = AddressBlock()
    site = make_site(scenario, clock, addresses)
    world = World(scenario, clock, site)
    stop_event = stop_on_signals()
    try:
        site.start()
        write_configurations(scenario, site, directory, report)
        servers = sum(len(tier) for tier in world.tiers)
        report(f"{servers} servers answer on {addresses.server_host} until Ctrl-C, {seconds:g} s at the most")
        # All requests come from clients outside the model.
        world.clients.times.clear()
        world.start()
        with suppress(TimeoutError):
            await asyncio.wait_for(stop_event.wait(), seconds)
        report(f"{world.accounts.attempts[0]} attempts came to the servers")
    finally:
        clock.stop()
        site.close()
        addresses.close()


def make_site(scenario: Scenario, clock: RealTimeClock, addresses: AddressBlock) -> ExternalClientsSite:
    """Return a site that writes no history and whose nodes the user starts."""
    streams = Streams(scenario.seed)

    def link_between(source: str, source_zone: int, destination: str, destination_zone: int) -> Link:
        rng = streams.random(f"link/{source}/{destination}")
        return Link(clock, rng, one_way_delay(scenario, source_zone, destination_zone))

    def record_event(event: str, **fields: Any) -> None:
        pass

    epoch_ms = time_ns() // 1_000_000 - CLOCK_START_US // 1000
    return ExternalClientsSite(
        clock.loop, clock, addresses, NoProcessControl(), record_event, link_between, epoch_ms
    )


def stop_on_signals() -> asyncio.Event:
    """Return an event that SIGINT and SIGTERM set."""
    stop_event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_event.set)
    return stop_event


def write_configurations(scenario: Scenario, site: Site, directory: Path, report: ReportCallback) -> None:
    """Write the configuration file of each node and report the command that starts the node."""
    for node in site.nodes:
        path = directory / f"{node.name}.json"
        path.write_text(
            json.dumps(build_node_configuration(site, node, scenario.seed * 1000 + node.index), indent=1)
        )
        report(f"LB_CONFIG={path} python -m balancer")
