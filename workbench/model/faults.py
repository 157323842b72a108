"""Faults of a scenario. The affected servers are drawn from the fault's own stream, whatever the policy."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple, Protocol

from msgspec import UnsetType

from workbench.model.call import Port
from workbench.model.environment import Environment
from workbench.model.network import fixed_float, fixed_int
from workbench.model.server import Server
from workbench.model.server_spec import ServerSpec
from workbench.scenario.model import Fault

DEFAULT_LATE_MS = 1500.0  # maximum delay of late connections, by default
SERVER_DRAIN_US = 3_000_000  # between the drain of a server and its stop


class FaultyEnvironment(Environment, Protocol):
    """What a fault uses of the model that it strikes."""

    shared_slow: float

    @property
    def tiers(self) -> Sequence[Sequence[Server]]:
        """The servers of each tier, those that are gone too."""

    @property
    def nodes(self) -> Sequence[Port]:
        """The front's nodes."""

    @property
    def boot(self) -> int:
        """Microseconds between a node's end and its next start."""

    def add_server(self, spec: ServerSpec) -> Server:
        """Makes a server that replaces another."""


class NeighbourPhase(NamedTuple):
    """Whether another program on a server's machine is busy."""

    server: Server
    busy: bool


class ActiveFault:
    """A fault of the scenario, scheduled on the clock.

    Args:
        world: The model that it affects.
        fault: Its settings.
        number: Its index in the scenario.
    """

    def __init__(self, world: FaultyEnvironment, fault: Fault, number: int) -> None:
        self.world = world
        self.clock = world.clock
        self.fault = fault
        self.rng = world.streams.random(f"fault/{number}")
        self.begin = world.begin + int(fixed_float(fault.at_s) * 1e6)
        self.length = int(fixed_float(fault.for_s) * 1e6)
        self.factor = fixed_float(fault.factor)
        self.part = fixed_float(fault.part)
        self.share = fixed_float(fault.share)
        late_ms = DEFAULT_LATE_MS if isinstance(fault.late_ms, UnsetType) else fixed_float(fault.late_ms)
        self.max_connection_delay = int(late_ms * 1000)
        self.steps = fixed_int(fault.steps)
        self.affected: list[Server] = []
        self.clock.call_at(self.begin, self.start, None)

    def servers(self) -> list[Server]:
        """Returns the servers that the fault affects, in an order that it draws."""
        tiers = self.world.tiers if self.fault.tier < 0 else [self.world.tiers[self.fault.tier]]
        chosen: list[Server] = []
        for tier in tiers:
            candidates = [s for s in tier if s.up and not s.silent]
            self.rng.shuffle(candidates)
            chosen += candidates[: max(1, round(self.part * len(candidates)))]
        self.rng.shuffle(chosen)  # each step of a change affects all tiers alike
        return chosen

    def start(self, _: Any) -> None:
        """Begins the fault: each type of a fault has a method of its name, `start_TYPE`."""
        getattr(self, "start_" + self.fault.type)()

    def end_at(self, call: Any) -> None:
        """Schedules a call for the end of the fault."""
        self.clock.call_at(self.clock.now + self.length, call, None)

    # ---- slower servers -------------------------------------------------------------------------------

    def start_slow(self) -> None:
        """Slows servers down by a factor."""
        self.affected = self.servers()
        self.set_slow(self.factor)
        self.end_at(lambda _: self.set_slow(1 / self.factor))

    def set_slow(self, factor: float) -> None:
        """Multiplies the slowness of the affected servers."""
        for server in self.affected:
            server.slow *= factor
            server.update_speed()

    def start_neighbour(self) -> None:
        """Gives a share of each machine to another program, on and off for 1 to 5 s at a time."""
        self.affected = self.servers()
        for server in self.affected:
            self.clock.call_at(
                self.clock.now + int(self.rng.random() * 1e6), self.neighbour, NeighbourPhase(server, True)
            )

    def neighbour(self, phase: NeighbourPhase) -> None:
        """Begins or ends a busy phase of the other program, and schedules the next."""
        server, busy = phase
        ended = self.clock.now >= self.begin + self.length
        server.stolen_share = self.share if busy and not ended else 0.0
        server.update_speed()
        if not ended:
            self.clock.call_at(
                self.clock.now + int(1e6 + 4e6 * self.rng.random()),
                self.neighbour,
                NeighbourPhase(server, not busy),
            )

    def start_shared_slow(self) -> None:
        """Slows all servers down by a factor."""
        self.set_shared(self.factor)
        self.end_at(lambda _: self.set_shared(1 / self.factor))

    def set_shared(self, factor: float) -> None:
        """Multiplies the slowness that all servers share."""
        self.world.shared_slow *= factor
        for tier in self.world.tiers:
            for server in tier:
                server.update_speed()

    # ---- lost servers ---------------------------------------------------------------------------------

    def start_crash(self) -> None:
        """Kills servers, which start again at the end of the fault."""
        self.crash(self.servers())

    def crash(self, servers: list[Server]) -> None:
        """Kills the given servers and schedules their restart."""
        self.affected = servers
        for server in servers:
            server.stop(kill=True)
            self.world.discovery.server_stopped(server)
        self.end_at(self.revive)

    def revive(self, _: Any) -> None:
        """Starts the affected servers again, spread over a second."""
        for server in self.affected:
            self.clock.call_at(self.clock.now + int(1e6 * self.rng.random()), lambda s: s.start(), server)

    def start_zone_lost(self) -> None:
        """Kills all servers of a zone; without zones, the fault's part of each tier."""
        self.crash(self.zone_servers())

    def zone_servers(self) -> list[Server]:
        """Returns the running servers of the fault's zone; without zones, its part of each tier."""
        if self.world.zones == 1:
            return self.servers()
        zone = fixed_int(self.fault.zone)
        return [s for tier in self.world.tiers for s in tier if s.zone == zone and s.up]

    def start_zone_slow(self) -> None:
        """Slows all servers of a zone down by a factor."""
        self.affected = self.zone_servers()
        self.set_slow(self.factor)
        self.end_at(lambda _: self.set_slow(1 / self.factor))

    def start_zone_failing(self) -> None:
        """Makes a share of all calls to a zone end in an error."""
        self.affected = self.zone_servers()
        self.set_failing(self.share)
        self.end_at(lambda _: self.set_failing(None))

    def set_failing(self, share: float | None) -> None:
        """Sets the share of calls that end in an error; None restores each server's own."""
        for server in self.affected:
            server.failing = server.spec.error_rate if share is None else share

    def start_silent(self) -> None:
        """Disconnects machines from the network while their processes run on."""
        self.affected = self.servers()
        for server in self.affected:
            server.silent = True
            server.update_speed()
            self.world.discovery.server_unreachable(server)
        self.end_at(self.restore_network)

    def restore_network(self, _: Any) -> None:
        """Connects the affected machines to the network again."""
        for server in self.affected:
            server.silent = False
            server.update_speed()
            self.world.discovery.server_started(server)

    def start_cut(self) -> None:
        """Partitions a zone from the others."""
        zone = fixed_int(self.fault.zone)
        self.world.network.partitioned_zones.add(zone)
        self.end_at(lambda _: self.world.network.partitioned_zones.discard(zone))

    def start_late_connections(self) -> None:
        """Delays a share of the new connections to servers; open connections are not affected."""
        self.affected = self.servers()
        self.set_late(self.share, self.max_connection_delay)
        self.end_at(lambda _: self.set_late(0.0, 0))

    def set_late(self, share: float, max_delay: int) -> None:
        """Sets the share of delayed connections and their maximum delay in microseconds."""
        for server in self.affected:
            server.late_connection_share = share
            server.max_connection_delay = max_delay

    # ---- planned changes ------------------------------------------------------------------------------

    def in_steps(self, things: list[Any], call: Any) -> None:
        """Spreads the calls for many items over the fault's time, in its number of steps."""
        for i, thing in enumerate(things):
            step = i * self.steps // max(1, len(things))
            self.clock.call_at(self.clock.now + step * self.length // self.steps, call, thing)

    def start_replace(self) -> None:
        """Drains and stops servers; new ones with other ids replace them and warm up."""
        self.in_steps(self.servers(), self.replace)

    def replace(self, server: Server) -> None:
        """Drains a server and starts its replacement."""
        server.draining = True
        self.world.discovery.server_draining(server)
        self.world.add_server(server.spec).start()
        self.clock.call_at(self.clock.now + SERVER_DRAIN_US, self.retire, server)

    def retire(self, server: Server) -> None:
        """Stops a server that was replaced."""
        server.stop(kill=False)
        self.world.discovery.server_stopped(server)

    def start_release(self) -> None:
        """Restarts servers in steps, as for a new release, and the front's nodes with them."""
        self.in_steps(self.servers(), self.release_server)
        self.start_restart()

    def release_server(self, server: Server) -> None:
        """Drains a server and schedules its restart."""
        server.draining = True
        self.world.discovery.server_draining(server)
        self.clock.call_at(self.clock.now + SERVER_DRAIN_US, self.restart_server, server)

    def restart_server(self, server: Server) -> None:
        """Stops a server and schedules its start."""
        server.stop(kill=False)
        server.draining = False
        self.clock.call_at(self.clock.now + 500_000, lambda s: s.start(), server)

    def start_restart(self) -> None:
        """Restarts a part of the front's nodes, by SIGTERM or SIGKILL."""
        nodes = list(self.world.nodes)
        self.rng.shuffle(nodes)
        self.in_steps(nodes[: max(1, round(self.part * len(nodes)))], self.restart_node)

    def restart_node(self, node: Port) -> None:
        """Stops a node and schedules its start."""
        if self.fault.kill:
            node.kill()
        else:
            node.drain()
        self.clock.call_at(self.clock.now + self.world.boot, self.boot_node, node)

    def boot_node(self, node: Port) -> None:
        """Starts a node once its previous process has ended."""
        if node.up:  # still draining: the next process waits
            self.clock.call_at(self.clock.now + 50_000, self.boot_node, node)
        else:
            node.boot()

    def start_discovery_silent(self) -> None:
        """Makes discovery silent."""
        self.world.discovery.set_silent(True)
        self.end_at(lambda _: self.world.discovery.set_silent(False))
