"""Whole fleet runtimes on a virtual network: each process with its own monotonic clock and wall clock.

The runtime is the node's own: datagrams are real bytes, refused or taken by its own checks. What stands in
here are the event loop, the sockets and the clocks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random
from typing import Any, cast

from balancer.fleet.clocks import Clocks
from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.swim import Address
from balancer.fleet.runtime import FleetRuntime
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.log import Log
from balancer.policy.interface import ClassSettings, Effect, Settings
from workbench.simulator.heap import HeapClock

SECOND = 1_000_000
EPOCH = 1_700_000_000 * SECOND  # Unix time at the network's 0
MONOTONIC_START_MOST = 10**12  # monotonic clocks of machines begin anywhere up to here
MEAN_DELAY = 2_000  # of a datagram
KEY = b"a key for the virtual network"
PORT = 7400


class VirtualClocks(Clocks):
    """One machine's clocks. `step` is how far its wall clock is off, in microseconds."""

    def __init__(self, clock: HeapClock, machine: Machine) -> None:
        self.clock = clock
        self.machine = machine
        super().__init__(None)

    def now(self) -> int:
        """The monotonic clock, which no step moves."""
        return self.machine.monotonic_start + self.clock.now

    def wall(self) -> int:
        """Unix time as this machine has it."""
        return EPOCH + self.clock.now + self.machine.step


@dataclass
class Machine:
    """What outlives a process: its name, its address and its clocks."""

    name: str
    address: Address
    monotonic_start: int
    step: int = 0


class Timer:
    """A call that may be cancelled."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Keeps the call from happening."""
        self.callback = None

    def fire(self, _: object) -> None:
        """The time has come."""
        callback, self.callback = self.callback, None
        if callback is not None:
            callback()


class VirtualTransport:
    """One process's socket."""

    def __init__(self, network: RuntimeNetwork, address: Address, protocol: FleetRuntime) -> None:
        self.network = network
        self.address = address
        self.protocol = protocol

    def sendto(self, data: bytes, to: Address) -> None:
        """Sends a datagram; nobody learns whether it arrives."""
        self.network.send(self.address, to, data)

    def close(self) -> None:
        """Nothing arrives here from now on."""
        if self.network.sockets.get(self.address) is self:
            del self.network.sockets[self.address]


class VirtualLoop:
    """The part of an event loop that a fleet runtime uses."""

    def __init__(self, network: RuntimeNetwork) -> None:
        self.network = network

    async def create_datagram_endpoint(
        self, factory: Callable[[], FleetRuntime], local_addr: Address
    ) -> tuple[VirtualTransport, FleetRuntime]:
        """Opens a socket on the virtual network."""
        protocol = factory()
        transport = VirtualTransport(self.network, local_addr, protocol)
        self.network.sockets[local_addr] = transport
        protocol.connection_made(cast(asyncio.BaseTransport, transport))
        return transport, protocol

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Calls back after a span of real time."""
        timer = Timer(callback)
        clock = self.network.clock
        clock.call_at(clock.now + int(seconds * SECOND), timer.fire, None)
        return timer

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """A fault in a component."""
        self.network.faults.append(f"{context.get('message')}: {context.get('exception')!r}")


class RuntimeNetwork:
    """Machines on one clock. Datagrams take some time, each another, and none is lost."""

    def __init__(self, seed: int, count: int) -> None:
        self.clock = HeapClock(0)
        self.rng = Random(f"network {seed}")
        self.sockets: dict[Address, VirtualTransport] = {}
        self.faults: list[str] = []
        self.loop = VirtualLoop(self)
        self.machines = [
            Machine(f"n{i}", (f"10.0.0.{i + 1}", PORT), self.rng.randrange(MONOTONIC_START_MOST))
            for i in range(count)
        ]

    def send(self, source: Address, to: Address, data: bytes) -> None:
        """A datagram on its way."""
        at = self.clock.now + int(MEAN_DELAY * (0.5 + self.rng.random()))
        self.clock.call_at(at, self.arrive, (source, to, data))

    def arrive(self, what: tuple[Address, Address, bytes]) -> None:
        """A datagram at its receiver, if there is one."""
        source, to, data = what
        socket = self.sockets.get(to)
        if socket is not None:
            socket.protocol.datagram_received(data, source)

    def start(self, machine: Machine, voters: int, seed: int, end: Callable[[], None]) -> FleetRuntime:
        """A new process of a machine. `end`: it asks to end, as a rolling replacement has it."""
        config = fleet_config(machine, self.machines, voters)
        life = Lifecycle(Log(machine.name, 0))
        life.stage = Stage.SERVING
        settings = Settings(
            classes=(ClassSettings(Effect.IDEMPOTENT, latency_objective=SECOND, deadline=SECOND, worth=1.0),)
        )
        loop = cast(asyncio.AbstractEventLoop, self.loop)
        runtime = FleetRuntime(config, loop, seed, QuietLog(machine.name, 0), life, end, settings)
        runtime.clocks = VirtualClocks(self.clock, machine)
        runtime.policy_adapter.on_shares = lambda shares, round_trips: None
        runtime.policy_adapter.on_health_check_result = lambda server, well: None
        finish(runtime.open())
        return runtime


class QuietLog(Log):
    """A log that writes nothing."""

    def line(self, text: str) -> None:
        """One line less."""


def fleet_config(machine: Machine, machines: list[Machine], voters: int) -> FleetConfig:
    """A machine's place in a fleet of one zone."""
    return FleetConfig(
        name=machine.name,
        zone="z0",
        region="",
        listen=machine.address,
        advertise=machine.address,
        seeds=tuple(m.address for m in machines),
        keys=(KEY,),
        voters=tuple(m.name for m in machines[:voters]),
        old_voters=(),
        lease=3 * SECOND,
        max_lease=3 * SECOND,
        votes=None,
        period=SECOND,
        health_checks=False,
        min_rtt_share=0.0,
        zones=ZoneSettings(),
        clock_file=None,
    )


def finish(work: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine waits, and the virtual loop can't")
