"""Troubles of a day. Who is struck is drawn from the fault's own stream, so no policy changes it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from msgspec import UnsetType

from workbench.model.call import Port
from workbench.model.environment import Environment
from workbench.model.network import fixed_float, fixed_int
from workbench.model.server import Server
from workbench.model.server_spec import ServerSpec
from workbench.scenario.model import Fault

DEFAULT_LATE_MS = 1500.0  # by so much do late connections come up at most, where the day does not say
SERVER_DRAIN_US = 3_000_000  # a server that is replaced drains for so long before it ends


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


class ActiveFault:
    """One fault at work."""

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
        """All that the fault may strike, in an order that this fault draws."""
        tiers = self.world.tiers if self.fault.tier < 0 else [self.world.tiers[self.fault.tier]]
        chosen: list[Server] = []
        for tier in tiers:
            candidates = [s for s in tier if s.up and not s.silent]
            self.rng.shuffle(candidates)
            chosen += candidates[: max(1, round(self.part * len(candidates)))]
        self.rng.shuffle(chosen)  # steps of a change go through all tiers alike
        return chosen

    def start(self, _: Any) -> None:
        getattr(self, "start_" + self.fault.type)()

    def end_at(self, call: Any) -> None:
        self.clock.call_at(self.clock.now + self.length, call, None)

    # ---- slower servers -------------------------------------------------------------------------------

    def start_slow(self) -> None:
        self.affected = self.servers()
        self.set_slow(self.factor)
        self.end_at(lambda _: self.set_slow(1 / self.factor))

    def set_slow(self, factor: float) -> None:
        for server in self.affected:
            server.slow *= factor
            server.update_speed()

    def start_neighbour(self) -> None:
        """Another program on the machine, on and off for 1 to 5 s."""
        self.affected = self.servers()
        for server in self.affected:
            self.clock.call_at(self.clock.now + int(self.rng.random() * 1e6), self.neighbour, (server, True))

    def neighbour(self, phase: tuple[Server, bool]) -> None:
        server, on = phase
        ended = self.clock.now >= self.begin + self.length
        server.stolen_share = self.share if on and not ended else 0.0
        server.update_speed()
        if not ended:
            self.clock.call_at(
                self.clock.now + int(1e6 + 4e6 * self.rng.random()), self.neighbour, (server, not on)
            )

    def start_shared_slow(self) -> None:
        self.set_shared(self.factor)
        self.end_at(lambda _: self.set_shared(1 / self.factor))

    def set_shared(self, factor: float) -> None:
        self.world.shared_slow *= factor
        for tier in self.world.tiers:
            for server in tier:
                server.update_speed()

    # ---- lost servers ---------------------------------------------------------------------------------

    def start_crash(self) -> None:
        self.crash(self.servers())

    def crash(self, servers: list[Server]) -> None:
        self.affected = servers
        for server in servers:
            server.stop(kill=True)
            self.world.discovery.server_stopped(server)
        self.end_at(self.revive)

    def revive(self, _: Any) -> None:
        for server in self.affected:
            self.clock.call_at(self.clock.now + int(1e6 * self.rng.random()), lambda s: s.start(), server)

    def start_zone_lost(self) -> None:
        """All servers of a zone at once; without zones, the fault's part of each tier."""
        self.crash(self.zone_servers())

    def zone_servers(self) -> list[Server]:
        """All that run in the fault's zone; without zones, its part of all."""
        if self.world.zones == 1:
            return self.servers()
        zone = fixed_int(self.fault.zone)
        return [s for tier in self.world.tiers for s in tier if s.zone == zone and s.up]

    def start_zone_slow(self) -> None:
        """A zone dies slowly: all its servers take so many times as long."""
        self.affected = self.zone_servers()
        self.set_slow(self.factor)
        self.end_at(lambda _: self.set_slow(1 / self.factor))

    def start_zone_failing(self) -> None:
        """Or a share of all its calls ends in an error."""
        self.affected = self.zone_servers()
        self.set_failing(self.share)
        self.end_at(lambda _: self.set_failing(None))

    def set_failing(self, share: float | None) -> None:
        for server in self.affected:
            server.failing = server.spec.error_rate if share is None else share

    def start_silent(self) -> None:
        self.affected = self.servers()
        for server in self.affected:
            server.silent = True
            server.update_speed()
            self.world.discovery.server_unreachable(server)
        self.end_at(self.restore_network)

    def restore_network(self, _: Any) -> None:
        for server in self.affected:
            server.silent = False
            server.update_speed()
            self.world.discovery.server_started(server)

    def start_cut(self) -> None:
        zone = fixed_int(self.fault.zone)
        self.world.network.partitioned_zones.add(zone)
        self.end_at(lambda _: self.world.network.partitioned_zones.discard(zone))

    def start_late_connections(self) -> None:
        """A share of the new connections to the struck servers comes up late; those that stand go on."""
        self.affected = self.servers()
        self.set_late(self.share, self.max_connection_delay)
        self.end_at(lambda _: self.set_late(0.0, 0))

    def set_late(self, share: float, max_delay: int) -> None:
        for server in self.affected:
            server.late_connection_share = share
            server.max_connection_delay = max_delay

    # ---- planned changes ------------------------------------------------------------------------------

    def in_steps(self, things: list[Any], call: Any) -> None:
        """Spreads a change of many things over the fault's time, so many steps."""
        for i, thing in enumerate(things):
            step = i * self.steps // max(1, len(things))
            self.clock.call_at(self.clock.now + step * self.length // self.steps, call, thing)

    def start_replace(self) -> None:
        """Servers drain and end; machines that replace them come up cold, under new ids."""
        self.in_steps(self.servers(), self.replace)

    def replace(self, server: Server) -> None:
        server.draining = True
        self.world.discovery.server_draining(server)
        self.world.add_server(server.spec).start()
        self.clock.call_at(self.clock.now + SERVER_DRAIN_US, self.retire, server)

    def retire(self, server: Server) -> None:
        server.stop(kill=False)
        self.world.discovery.server_stopped(server)

    def start_release(self) -> None:
        """New processes on the same machines, in steps, and the front's nodes with them."""
        self.in_steps(self.servers(), self.release_server)
        self.start_restart()

    def release_server(self, server: Server) -> None:
        server.draining = True
        self.world.discovery.server_draining(server)
        self.clock.call_at(self.clock.now + SERVER_DRAIN_US, self.restart_server, server)

    def restart_server(self, server: Server) -> None:
        server.stop(kill=False)
        server.draining = False
        self.clock.call_at(self.clock.now + 500_000, lambda s: s.start(), server)

    def start_restart(self) -> None:
        """A part of the front's nodes is restarted, by SIGTERM or SIGKILL."""
        nodes = list(self.world.nodes)
        self.rng.shuffle(nodes)
        self.in_steps(nodes[: max(1, round(self.part * len(nodes)))], self.restart_node)

    def restart_node(self, node: Port) -> None:
        if self.fault.kill:
            node.kill()
        else:
            node.drain()
        self.clock.call_at(self.clock.now + self.world.boot, self.boot_node, node)

    def boot_node(self, node: Port) -> None:
        if node.up:  # still finishing what it has: its successor waits
            self.clock.call_at(self.clock.now + 50_000, self.boot_node, node)
        else:
            node.boot()

    def start_discovery_silent(self) -> None:
        self.world.discovery.set_silent(True)
        self.end_at(lambda _: self.world.discovery.set_silent(False))
