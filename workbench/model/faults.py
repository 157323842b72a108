"""Faults of a scenario, which hit the same servers whatever the policy: each has its own random stream."""

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

# Default of the maximum delay of late connections.
DEFAULT_LATE_MS = 1500.0
# Time from the start of a server's drain until its process is stopped.
SERVER_DRAIN_US = 3_000_000


class FaultyEnvironment(Environment, Protocol):
    """The part of the model that faults use and change."""

    shared_slowdown: float

    @property
    def tiers(self) -> Sequence[Sequence[Server]]:
        """The servers of each tier, including stopped ones."""

    @property
    def nodes(self) -> Sequence[Port]:
        """The front's nodes."""

    @property
    def boot_delay(self) -> int:
        """The microseconds between the end of a node's process and the start of the next."""

    def add_server(self, spec: ServerSpec) -> Server:
        """Add a stopped server that replaces another of the same kind and place."""


class NeighbourPhase(NamedTuple):
    """A phase in which another program on a server's machine is busy or idle."""

    server: Server
    is_busy: bool


class ActiveFault:
    """A fault of the scenario, whose start and end are scheduled on the clock.

    Args:
        world: The model that the fault affects.
        fault: The fault's settings.
        number: The fault's index in the scenario, which names its random stream.
    """

    def __init__(self, world: FaultyEnvironment, fault: Fault, number: int) -> None:
        self.world = world
        self.clock = world.clock
        self.fault = fault
        self.rng = world.streams.random(f"fault/{number}")
        self.begin_at = world.begin_at + int(fixed_float(fault.at_s) * 1e6)
        self.length = int(fixed_float(fault.for_s) * 1e6)
        self.factor = fixed_float(fault.factor)
        self.part = fixed_float(fault.part)
        self.share = fixed_float(fault.share)
        late_ms = DEFAULT_LATE_MS if isinstance(fault.late_ms, UnsetType) else fixed_float(fault.late_ms)
        self.max_connection_delay = int(late_ms * 1000)
        self.steps = fixed_int(fault.steps)
        self.affected: list[Server] = []
        self.clock.call_at(self.begin_at, self.start, None)

    def draw_servers(self) -> list[Server]:
        """Return the servers that the fault affects, in random order."""
        tiers = self.world.tiers if self.fault.tier < 0 else [self.world.tiers[self.fault.tier]]
        chosen: list[Server] = []
        for tier in tiers:
            candidates = [s for s in tier if s.up and not s.silent]
            self.rng.shuffle(candidates)
            chosen += candidates[: max(1, round(self.part * len(candidates)))]
        self.rng.shuffle(chosen)  # Each step of a planned change then affects all tiers alike.
        return chosen

    def start(self, _: Any) -> None:
        """Begin the fault by the method `start_TYPE` of its type."""
        getattr(self, "start_" + self.fault.type)()

    def schedule_end(self, callback: Any) -> None:
        """Schedule a callback for the end of the fault."""
        self.clock.call_at(self.clock.now + self.length, callback, None)

    # ---- slower servers -------------------------------------------------------------------------------

    def start_slow(self) -> None:
        """Slow the affected servers down by the fault's factor."""
        self.affected = self.draw_servers()
        self.scale_slowdown(self.factor)
        self.schedule_end(lambda _: self.scale_slowdown(1 / self.factor))

    def scale_slowdown(self, factor: float) -> None:
        """Multiply the slowdown of the affected servers by a factor."""
        for server in self.affected:
            server.slowdown *= factor
            server.update_speed()

    def start_neighbour(self) -> None:
        """Run another program on each affected machine, in busy and idle phases of 1 to 5 s."""
        self.affected = self.draw_servers()
        for server in self.affected:
            self.clock.call_at(
                self.clock.now + int(self.rng.random() * 1e6),
                self.toggle_neighbour,
                NeighbourPhase(server, True),
            )

    def toggle_neighbour(self, phase: NeighbourPhase) -> None:
        """Begin a busy or idle phase of the other program, and schedule the next phase."""
        server, is_busy = phase
        ended = self.clock.now >= self.begin_at + self.length
        server.neighbour_share = self.share if is_busy and not ended else 0.0
        server.update_speed()
        if not ended:
            self.clock.call_at(
                self.clock.now + int(1e6 + 4e6 * self.rng.random()),
                self.toggle_neighbour,
                NeighbourPhase(server, not is_busy),
            )

    def start_shared_slow(self) -> None:
        """Slow all servers down by the fault's factor."""
        self.scale_shared_slowdown(self.factor)
        self.schedule_end(lambda _: self.scale_shared_slowdown(1 / self.factor))

    def scale_shared_slowdown(self, factor: float) -> None:
        """Multiply the slowdown that all servers share by a factor."""
        self.world.shared_slowdown *= factor
        for tier in self.world.tiers:
            for server in tier:
                server.update_speed()

    # ---- lost servers ---------------------------------------------------------------------------------

    def start_crash(self) -> None:
        """Kill the affected servers, which start again at the end of the fault."""
        self.crash_servers(self.draw_servers())

    def crash_servers(self, servers: list[Server]) -> None:
        """Kill the given servers and schedule their restart."""
        self.affected = servers
        for server in servers:
            server.stop(kill=True)
            self.world.discovery.server_stopped(server)
        self.schedule_end(self.restart_affected)

    def restart_affected(self, _: Any) -> None:
        """Start the affected servers again, spread over one second."""
        for server in self.affected:
            self.clock.call_at(self.clock.now + int(1e6 * self.rng.random()), lambda s: s.start(), server)

    def start_zone_lost(self) -> None:
        """Kill all servers of a zone or, if there is one zone only, the fault's part of each tier."""
        self.crash_servers(self.zone_servers())

    def zone_servers(self) -> list[Server]:
        """Return the running servers of the fault's zone or, with one zone only, its part of each tier."""
        if self.world.zones == 1:
            return self.draw_servers()
        zone = fixed_int(self.fault.zone)
        return [s for tier in self.world.tiers for s in tier if s.zone == zone and s.up]

    def start_zone_slow(self) -> None:
        """Slow all servers of a zone down by the fault's factor."""
        self.affected = self.zone_servers()
        self.scale_slowdown(self.factor)
        self.schedule_end(lambda _: self.scale_slowdown(1 / self.factor))

    def start_zone_failing(self) -> None:
        """Make the fault's share of all calls to a zone end in an error."""
        self.affected = self.zone_servers()
        self.set_failure_rate(self.share)
        self.schedule_end(lambda _: self.set_failure_rate(None))

    def set_failure_rate(self, share: float | None) -> None:
        """Set the share of calls that end in an error; None restores each machine's error rate."""
        for server in self.affected:
            server.failure_rate = server.spec.error_rate if share is None else share

    def start_silent(self) -> None:
        """Disconnect the affected machines from the network while their processes keep running."""
        self.affected = self.draw_servers()
        for server in self.affected:
            server.silent = True
            server.update_speed()
            self.world.discovery.server_unreachable(server)
        self.schedule_end(self.restore_network)

    def restore_network(self, _: Any) -> None:
        """Connect the affected machines to the network again."""
        for server in self.affected:
            server.silent = False
            server.update_speed()
            self.world.discovery.server_started(server)

    def start_cut(self) -> None:
        """Partition the fault's zone from all others."""
        zone = fixed_int(self.fault.zone)
        self.world.network.partitioned_zones.add(zone)
        self.schedule_end(lambda _: self.world.network.partitioned_zones.discard(zone))

    def start_late_connections(self) -> None:
        """Delay a share of the new connections to the affected servers; open connections are not delayed."""
        self.affected = self.draw_servers()
        self.set_connection_delays(self.share, self.max_connection_delay)
        self.schedule_end(lambda _: self.set_connection_delays(0.0, 0))

    def set_connection_delays(self, share: float, max_delay: int) -> None:
        """Set the share of delayed connections and their maximum delay in microseconds."""
        for server in self.affected:
            server.late_connection_share = share
            server.max_connection_delay = max_delay

    # ---- planned changes ------------------------------------------------------------------------------

    def schedule_in_steps(self, items: list[Any], callback: Any) -> None:
        """Schedule a callback for each item, in equal steps over the fault's duration."""
        for i, item in enumerate(items):
            step = i * self.steps // max(1, len(items))
            self.clock.call_at(self.clock.now + step * self.length // self.steps, callback, item)

    def start_replace(self) -> None:
        """Replace the affected servers by new ones with other ids, which have to warm up."""
        self.schedule_in_steps(self.draw_servers(), self.replace_server)

    def replace_server(self, server: Server) -> None:
        """Drain a server, start its replacement, and schedule the stop of the old one."""
        server.draining = True
        self.world.discovery.server_draining(server)
        self.world.add_server(server.spec).start()
        self.clock.call_at(self.clock.now + SERVER_DRAIN_US, self.stop_replaced, server)

    def stop_replaced(self, server: Server) -> None:
        """Stop a server that has been replaced."""
        server.stop(kill=False)
        self.world.discovery.server_stopped(server)

    def start_release(self) -> None:
        """Restart the affected servers and front nodes in steps, as for a new release."""
        self.schedule_in_steps(self.draw_servers(), self.release_server)
        self.start_restart()

    def release_server(self, server: Server) -> None:
        """Drain a server and schedule its restart."""
        server.draining = True
        self.world.discovery.server_draining(server)
        self.clock.call_at(self.clock.now + SERVER_DRAIN_US, self.restart_server, server)

    def restart_server(self, server: Server) -> None:
        """Stop a server and schedule its start."""
        server.stop(kill=False)
        server.draining = False
        self.clock.call_at(self.clock.now + 500_000, lambda s: s.start(), server)

    def start_restart(self) -> None:
        """Restart the fault's part of the front nodes, by SIGTERM or SIGKILL."""
        nodes = list(self.world.nodes)
        self.rng.shuffle(nodes)
        self.schedule_in_steps(nodes[: max(1, round(self.part * len(nodes)))], self.restart_node)

    def restart_node(self, node: Port) -> None:
        """Stop a node and schedule its start."""
        if self.fault.kill:
            node.kill()
        else:
            node.drain()
        self.clock.call_at(self.clock.now + self.world.boot_delay, self.boot_node, node)

    def boot_node(self, node: Port) -> None:
        """Start a node, or check again after 50 ms if its previous process is still draining."""
        if node.up:
            self.clock.call_at(self.clock.now + 50_000, self.boot_node, node)
        else:
            node.boot()

    def start_discovery_silent(self) -> None:
        """Stop all responses of discovery until the end of the fault."""
        self.world.discovery.set_silent(True)
        self.schedule_end(lambda _: self.world.discovery.set_silent(False))
