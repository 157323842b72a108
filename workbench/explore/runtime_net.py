"""Whole fleet runtimes on a virtual network, each process with its own monotonic clock and wall clock.

The runtimes are those of a node: datagrams are encoded bytes, accepted or rejected by the production checks.
The event loop, the sockets and the clocks are simulated.
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
from workbench.explore.machine_clocks import MachineClocks
from workbench.explore.virtual_network import GROUP_KEY, VirtualNetwork
from workbench.simulator.heap import HeapClock

SECOND_US = 1_000_000
# Monotonic clocks of machines start at a random time below this one.
MAX_MONOTONIC_START_US = 10**12
PORT = 7400


class RuntimeClocks(Clocks):
    """The clocks of a machine, as a fleet runtime reads them."""

    def __init__(self, machine_clocks: MachineClocks) -> None:
        self.machine_clocks = machine_clocks
        super().__init__(None)

    def now(self) -> int:
        """Return the time of the monotonic clock in microseconds."""
        return self.machine_clocks.monotonic()

    def wall(self) -> int:
        """Return Unix time by the wall clock of the machine, in microseconds."""
        return self.machine_clocks.wall()


@dataclass(frozen=True)
class Machine:
    """A machine, whose name, address and clocks outlive its processes."""

    name: str
    address: Address
    clocks: MachineClocks


class Timer:
    """A scheduled call that may be cancelled."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call."""
        self.callback = None

    def fire(self, _: object) -> None:
        """Make the call, unless it was cancelled or made already."""
        callback, self.callback = self.callback, None
        if callback is not None:
            callback()


class VirtualTransport:
    """The socket of one process; it is open from the start."""

    def __init__(
        self, network: VirtualNetwork[Address, bytes], address: Address, protocol: FleetRuntime
    ) -> None:
        self.network = network
        self.address = address
        self.protocol = protocol
        network.attach(address, self._receive)

    def _receive(self, source: Address, data: bytes) -> None:
        self.protocol.datagram_received(data, source)

    def sendto(self, data: bytes, to: Address) -> None:
        """Send a datagram; the sender does not learn whether it arrives."""
        self.network.send(self.address, to, data)

    def close(self) -> None:
        """Close the socket, unless another process has since opened one at the address."""
        self.network.detach(self.address, self._receive)


class VirtualLoop:
    """Implementation of the methods of an event loop that a fleet runtime uses.

    Attributes:
        faults: Exceptions that components have reported.
    """

    def __init__(self, network: VirtualNetwork[Address, bytes]) -> None:
        self.network = network
        self.faults: list[str] = []

    async def create_datagram_endpoint(
        self, factory: Callable[[], FleetRuntime], local_addr: Address
    ) -> tuple[VirtualTransport, FleetRuntime]:
        """Open a socket on the virtual network."""
        protocol = factory()
        transport = VirtualTransport(self.network, local_addr, protocol)
        protocol.connection_made(cast(asyncio.BaseTransport, transport))
        return transport, protocol

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Schedule a call after a delay of true time."""
        timer = Timer(callback)
        clock = self.network.clock
        clock.call_at(clock.now + int(seconds * SECOND_US), timer.fire, None)
        return timer

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an exception of a component."""
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")


class RuntimeNetwork:
    """Machines on one virtual network, which loses no datagram.

    Args:
        seed: Seed of all random draws.
        count: Number of machines.
    """

    def __init__(self, seed: int, count: int) -> None:
        self.clock = HeapClock(0)
        rng = Random(f"network {seed}")
        self.network: VirtualNetwork[Address, bytes] = VirtualNetwork(self.clock, rng)
        self.loop = VirtualLoop(self.network)
        self.machines = [
            Machine(
                f"n{i}",
                (f"10.0.0.{i + 1}", PORT),
                MachineClocks(self.clock, rng.randrange(MAX_MONOTONIC_START_US)),
            )
            for i in range(count)
        ]

    def start(self, machine: Machine, voters: int, seed: int, end: Callable[[], None]) -> FleetRuntime:
        """Start a process on a machine.

        Args:
            machine: The machine.
            voters: Number of machines, from the first on, that vote on leases.
            seed: Seed of the process's random draws.
            end: Called when the process asks to be ended, as in a rolling replacement.
        """
        config = fleet_config(machine, self.machines, voters)
        lifecycle = Lifecycle(Log(machine.name, 0))
        lifecycle.stage = Stage.SERVING
        settings = Settings(
            classes=(
                ClassSettings(Effect.IDEMPOTENT, latency_objective=SECOND_US, deadline=SECOND_US, worth=1.0),
            )
        )
        loop = cast(asyncio.AbstractEventLoop, self.loop)
        runtime = FleetRuntime(config, loop, seed, QuietLog(machine.name, 0), lifecycle, end, settings)
        runtime.clocks = RuntimeClocks(machine.clocks)
        runtime.policy_adapter.on_shares = lambda shares, round_trips: None
        runtime.policy_adapter.on_health_check_result = lambda server, well: None
        run_synchronously(runtime.open())
        return runtime


class QuietLog(Log):
    """A log that writes nothing."""

    def line(self, text: str) -> None:
        """Discard a line."""


def fleet_config(machine: Machine, machines: list[Machine], voters: int) -> FleetConfig:
    """Return the configuration of a machine in a fleet of one zone."""
    return FleetConfig(
        name=machine.name,
        zone="z0",
        region="",
        listen=machine.address,
        advertise=machine.address,
        seeds=tuple(m.address for m in machines),
        keys=(GROUP_KEY,),
        voters=tuple(m.name for m in machines[:voters]),
        old_voters=(),
        lease=3 * SECOND_US,
        max_lease=3 * SECOND_US,
        votes=None,
        period=SECOND_US,
        health_checks=False,
        min_rtt_share=0.0,
        zones=ZoneSettings(),
        clock_file=None,
    )


def run_synchronously(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that never suspends.

    Raises:
        RuntimeError: If the coroutine suspends.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine suspended, which the virtual event loop does not support")
