"""One node: hosts a Balancer on sockets.

It wires the parts together, starts them and ends them, and makes no decision. Requests are in
`downstream/requests.py`, their attempts in `downstream/attempts.py`, server lists in `discovery/registry.py`,
the clock and the policy's events in `process/event_queue.py`.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Callable, Coroutine, Mapping
from typing import TYPE_CHECKING, Any

from balancer.net.config import Config, ConfigError, load_discovery
from balancer.net.discovery.registry import ServerRegistry
from balancer.net.downstream.attempts import Attempts
from balancer.net.downstream.client_connections import ClientConnections
from balancer.net.downstream.requests import Requests
from balancer.net.peers import Peers
from balancer.net.process.counters import Counters
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.event_queue import Event, EventQueue
from balancer.net.process.handover import Handover, adopt_listening_socket
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.listener import Address, open_listener
from balancer.net.process.log import MAX_LINES_PER_SECOND, MAX_STRAY_LINES_PER_SECOND, Log
from balancer.net.process.management import JSON, Management, Page, PageResponse, Pages
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.system_faults import is_shortage, retry_shortage
from balancer.net.upstream.connection import Response
from balancer.net.upstream.exchange import Exchange
from balancer.net.upstream.load_report import parse_load_report
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import Outcome, State

if TYPE_CHECKING:
    from balancer.fleet.runtime import FleetRuntime

# After SIGTERM the platform waits for the maximum deadline of all classes, up to this bound...
MAX_SHUTDOWN_DEADLINE_US = 3_000_000
# ...and 0.7 s more; so long into that, a request that came late must have its response.
SHUTDOWN_GRACE_US = 500_000
PEERS_RETRY_S = 0.05
LISTEN_TIMEOUT_S = 5.0  # in which a start waits for descriptors or buffers to listen with
RELOAD_RETRY_S = 0.1  # after which a configuration that cannot be read is read again...
MAX_RELOAD_RETRIES = 100  # ...so many times
STATS_INTERVAL_S = 1.0  # between two lines of statistics


class Node:
    """Implements `Actions` for its Balancer, and hands it all events.

    Args:
        config: the configuration.
        loop: the event loop that it runs on.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.log_lines = Log(config.name, MAX_LINES_PER_SECOND)
        # Apart, so that whoever sends garbage cannot use up the lines that report faults.
        strays = Log(config.name, MAX_STRAY_LINES_PER_SECOND)
        connections = config.connections()
        self.descriptor_budget = DescriptorBudget(connections, config.sockets)
        self.memory_budget = MemoryBudget(config.memory, connections)
        self.pool = ConnectionPool(
            loop, self.descriptor_budget, config.connect_timeout, config.idle_time, self.memory_budget
        )
        self.lifecycle = Lifecycle(self.log_lines)
        self.counters = Counters(config.classes)
        self.event_queue = EventQueue(self.log_lines, self.on_event_failed)
        self.requests = Requests(
            config, loop, self.lifecycle, self.log_lines, self.counters, self.event_queue
        )
        self.attempts = Attempts(config, self.pool, self.event_queue, self.counters, self.requests)
        self.client_connections = ClientConnections(
            loop, self.descriptor_budget, self.requests, self.lifecycle, self.memory_budget
        )
        self.pool.evict_client = self.client_connections.evict_one
        self.client_connections.close_unused_server_connection = self.pool.close_unused
        self.fleet = self.create_fleet_runtime()
        self.management = Management(loop, self.paths(), self.log_lines.line)
        self.server_registry = ServerRegistry(
            config, loop, self.pool, self.lifecycle, self.log_lines, strays, self.event_queue
        )
        self.discovery = self.server_registry.discovery
        self.peers = Peers(config.peers, config.peers_all, self.on_peer_message, strays)
        self.started = False
        self.reloading: asyncio.TimerHandle | None = None  # a configuration that could not be read yet
        self.handover = Handover(loop, config.folder, self.share, self.log_lines)
        self.connect_policy()

    def connect_policy(self) -> None:
        """Makes the policy, whose actions on requests and discovery are methods of those components."""
        config = self.config
        self.send, self.cancel = self.attempts.send, self.attempts.cancel
        self.reject, self.fail = self.requests.reject, self.requests.fail
        self.watch, self.fetch = self.discovery.watch, self.discovery.fetch
        adapter = None if self.fleet is None else self.fleet.policy_adapter
        self.balancer = Balancer(config.settings, config.seed, self, adapter)
        if adapter is not None:
            adapter.on_health_check_result, adapter.on_shares = self.on_probe_result, self.on_shares
            self.server_registry.on_servers = adapter.server_list
            if config.fleet is not None and config.fleet.zones is not None:
                self.attempts.on_outcome = adapter.attempt_ended
        self.requests.balancer = self.attempts.balancer = self.balancer
        self.server_registry.balancer = self.balancer

    async def start(self) -> None:
        """Begins to serve.

        Raises:
            OSError: an address cannot be bound.
        """
        c = self.config
        inherited = adopt_listening_socket(c.inherited) if c.inherited is not None else None
        if inherited is not None:
            await self.handover.start(self.fits)
        elif c.inherited is not None:
            self.log_lines.line(f"LB_INHERITED_FD={c.inherited} is no listening socket: listening for itself")
        await self.open_peers()
        await self.open_fleet()
        if c.management is not None:
            self.management.start(await self.open_listener(c.management))
        listener = inherited or await self.open_listener(c.listen)
        self.client_connections.start(listener, shared=inherited is not None)
        self.started = True
        self.log_lines.line(
            f"start tier={c.settings.tier} instances={c.settings.instances} connections={c.connections()}"
            f" idle={c.idle_time} connect_timeout={c.connect_timeout}"
            f" aims={[k.latency_objective // 1000 for k in c.settings.classes]}"
        )
        self.event_queue.post(self.balancer.start)
        if self.config.known is not None:
            self.server_registry.on_list(self.config.known)
        if not self.config.settings.list_on_request:
            self.discovery.watch(True)
        self.loop.call_later(STATS_INTERVAL_S, self.write_stats)

    async def open_listener(self, address: Address) -> socket.socket:
        """A listening socket, retried while this machine lacks resources."""
        return await retry_shortage(lambda: open_listener(address), LISTEN_TIMEOUT_S)

    async def open_peers(self) -> None:
        """Binds the port for peers' messages; one that the previous process still holds is retried."""
        c = self.config
        if not c.settings.peers or c.peer_listen is None or self.peers.transport is not None:
            return
        if self.handover.is_older or self.lifecycle.stage == Stage.ENDING:
            return
        try:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=c.peer_listen)
        except OSError as fault:
            self.open_again(fault, self.open_peers)

    def open_again(self, fault: OSError, open_port: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Retries a port soon; only a start fails at once for one that cannot be bound.

        Failure prevented: a shortage comes as the previous process releases the port, and the node that
        runs on never binds it.
        """
        if not (self.started or self.handover.shared or is_shortage(fault)):
            raise fault
        self.loop.call_later(PEERS_RETRY_S, lambda: self.loop.create_task(open_port()))

    def create_fleet_runtime(self) -> FleetRuntime | None:
        """The runtime of the fleet, if this process belongs to one."""
        if self.config.fleet is None:
            return None
        # A node alone does without it, and without its packages.
        from balancer.fleet.runtime import FleetRuntime

        def shut_down() -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        c = self.config
        return FleetRuntime(
            self.config.fleet, self.loop, c.seed, self.log_lines, self.lifecycle, shut_down, c.settings
        )

    async def open_fleet(self) -> None:
        """Joins the fleet; a port that the previous process still holds is retried."""
        fleet = self.fleet
        if fleet is None or fleet.transport is not None:
            return
        if self.handover.is_older or self.lifecycle.stage == Stage.ENDING:
            return
        try:
            await fleet.open()
        except OSError as fault:
            self.open_again(fault, self.open_fleet)

    def share(self, shared: bool) -> None:
        """Another process of this node has started, and both get half; or it has ended."""
        parts = 2 if shared else 1
        self.descriptor_budget.resize(self.config.connections(parts), self.config.sockets // parts)
        self.memory_budget.resize(self.config.memory // parts)
        self.pool.shrink()
        self.client_connections.shrink()
        if self.handover.is_older:
            self.peers.close()
            if self.fleet is not None:
                self.fleet.close()
        elif not shared:
            self.loop.create_task(self.open_peers())
            self.loop.create_task(self.open_fleet())

    def fits(self) -> bool:
        """Whether this process keeps to its half."""
        return self.descriptor_budget.clients + self.descriptor_budget.servers <= self.descriptor_budget.total

    def write_stats(self) -> None:
        """One line of figures: the policy's current ones, the node's counted since the start."""
        figures = self.balancer.stats() | self.requests.counts | self.client_connections.counts
        figures |= {"dialled": self.pool.opened_count, "clients": self.descriptor_budget.clients}
        self.log_lines.line("stats " + " ".join(f"{name}={value:.4g}" for name, value in figures.items()))
        self.loop.call_later(STATS_INTERVAL_S, self.write_stats)

    def reload(self, environ: Mapping[str, str], again: int = 0) -> None:
        """The configuration file was replaced: of its contents, only discovery's address can change.

        Failure prevented: the signal finds the file half written, no second one comes, and the node stays
        with a discovery that was replaced.
        """
        if self.reloading is not None:
            self.reloading.cancel()
            self.reloading = None
        try:
            address = load_discovery(environ)
        except ConfigError as e:
            if again in (0, MAX_RELOAD_RETRIES):
                self.log_lines.line(f"reload: {e}: " + ("given up" if again else "will be read again"))
            if again < MAX_RELOAD_RETRIES:
                self.reloading = self.loop.call_later(RELOAD_RETRY_S, self.reload, environ, again + 1)
            return
        self.log_lines.line(f"reload discovery={address[0]}:{address[1]}")
        self.discovery.change_address(address)

    def paths(self) -> Pages:
        """The management pages."""
        paths = {
            b"/control/ready": Page(b"GET", self.ready),
            b"/control/counters": Page(b"GET", self.figures),
            b"/control/out-of-service": Page(b"PUT", self.take_out),
            b"/control/in-service": Page(b"PUT", self.take_back),
        }
        if self.fleet is not None:
            pages = self.fleet.pages
            paths[b"/fleet"] = Page(b"GET", pages.show_fleet, JSON)
            paths[b"/fleet/replace"] = Page(b"PUT", pages.control_rolling_update, JSON, takes_query=True)
            paths[b"/fleet/hold"] = Page(b"PUT", pages.acquire_lease, JSON, takes_query=True)
            paths[b"/fleet/zone"] = Page(b"PUT", pages.direct_zone, JSON, takes_query=True)
            paths[b"/fleet/give"] = Page(b"PUT", pages.release_lease, JSON, takes_query=True)
        return paths

    def ready(self) -> PageResponse:
        """Whether this process takes clients."""
        return PageResponse(
            200 if self.lifecycle.serving else 503, self.lifecycle.stage.value.encode() + b"\n"
        )

    def figures(self) -> PageResponse:
        """The counters, and what holds now."""
        draining = sum(state != State.READY for state in self.server_registry.states.values())
        avoided = draining + int(self.balancer.stats()["ejected"])
        body = self.counters.render(len(self.requests.by_client), len(self.server_registry.states), avoided)
        return PageResponse(200, body)

    def take_out(self) -> PageResponse:
        """Takes the node out of service; it runs on."""
        self.lifecycle.take_out_of_service()
        self.client_connections.start_draining()
        return PageResponse(200, self.lifecycle.stage.value.encode() + b"\n")

    def take_back(self) -> PageResponse:
        """Returns the node to service; impossible once it shuts down."""
        status = 200 if self.lifecycle.return_to_service() else 409
        return PageResponse(status, self.lifecycle.stage.value.encode() + b"\n")

    async def drain(self) -> None:
        """Responds to all requests that were admitted, and ends."""
        self.lifecycle.shut_down()
        max_deadline = max(c.deadline for c in self.config.settings.classes)
        grace = min(max_deadline, MAX_SHUTDOWN_DEADLINE_US) + SHUTDOWN_GRACE_US
        self.requests.limit_deadlines(self.event_queue.now() + grace)
        self.peers.close()
        if self.fleet is not None:
            self.fleet.leave()
        await self.client_connections.drain(grace / 1e6)
        if self.reloading is not None:
            self.reloading.cancel()
        self.discovery.close()
        self.handover.close()
        if self.requests.overdue_count:
            self.log_lines.line(
                f"{self.requests.overdue_count} requests were failed at their deadline by the guard"
            )

    # ---- events ---------------------------------------------------------------------------------------

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """A peer's message."""
        self.event_queue.post(self.balancer.peer_message, peer, data)

    def on_probe_result(self, server: int, healthy: bool) -> None:
        """Another node of the fleet has checked the health of a server."""
        self.event_queue.post(self.balancer.trial_result, server, healthy)

    def on_shares(self, shares: dict[int, float], trips: dict[int, int]) -> None:
        """The fleet has decided which share of requests each zone gets."""
        self.event_queue.post(self.balancer.zone_shares, shares, trips)

    def on_event_failed(self, event: Event, args: tuple[Any, ...]) -> None:
        """The policy has raised an exception: the request that was concerned, if any, gets a response."""
        if event in (self.balancer.request, self.balancer.outcome):
            self.requests.respond(args[0], 500)

    # ---- Actions --------------------------------------------------------------------------------------

    def check_health(self, server: int) -> None:
        """Requests a load report of a server, or its health where there are no reports."""
        endpoint = self.pool.endpoints.get(server)
        began = self.event_queue.now()
        path = b"/status/load" if self.config.report_names else b"/health"

        def done(outcome: Outcome, response: Response | None) -> None:
            ok = response is not None and response.status == 200
            report = (
                parse_load_report(response.body or response.report, self.config.report_names)
                if response is not None and ok
                else ()
            )
            self.event_queue.post(
                self.balancer.health_checked, server, ok, self.event_queue.now() - began, report
            )

        if endpoint is None or not endpoint.ready:
            self.event_queue.post(self.balancer.health_checked, server, False, 0, ())
            return
        request = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (path, endpoint.host.encode(), endpoint.port)
        Exchange(self.pool, endpoint, lambda: request, done).start(self.config.connect_timeout)

    def set_timer(self, delay: int, token: int) -> None:
        """Hands `token` back after `delay`."""
        self.loop.call_later(max(0, delay) / 1e6, self.event_queue.post, self.balancer.timer, token)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Sends a message to a peer, or to all peers."""
        self.peers.send(peer, data)

    def close(self, server: int) -> None:
        """Closes the idle connections to a server."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is not None:
            endpoint.close_idle()

    def log(self, text: str) -> None:
        """Writes a line to the log."""
        self.log_lines.line(text)
