"""One node: hosts a Balancer, the policy that makes all balancing decisions, on real sockets.

The node creates, starts and stops its components and makes no decision of its own. Requests are handled in
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
from balancer.net.process.counters import Counters, render_diagnostics
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.event_queue import Event, EventQueue
from balancer.net.process.handover import Handover, adopt_listening_socket
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.listener import Address, open_listener
from balancer.net.process.log import (
    MAX_EVENT_LINES_PER_SECOND,
    MAX_LINES_PER_SECOND,
    MAX_STRAY_LINES_PER_SECOND,
    Log,
)
from balancer.net.process.management import JSON, Management, Page, PageResponse, Pages
from balancer.net.process.memory_budget import MemoryBudget, resident_bytes
from balancer.net.process.shared_digests import SharedDigests
from balancer.net.process.system_faults import is_shortage, retry_shortage
from balancer.net.process.traffic_events import TrafficEvents
from balancer.net.upstream.connection import Response
from balancer.net.upstream.exchange import Exchange
from balancer.net.upstream.load_report import parse_load_report
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy import Balancer
from balancer.policy.interface import Outcome, State

if TYPE_CHECKING:
    from balancer.fleet.runtime import FleetRuntime

# After SIGTERM the platform waits for the longest deadline of all request classes, but at most this long. It
# kills the process another 0.7 s later.
MAX_SHUTDOWN_DEADLINE_US = 3_000_000
# Time after that longest deadline by which a request that came late must have its response; less than the
# 0.7 s after which the process is killed.
SHUTDOWN_GRACE_US = 500_000
PEERS_RETRY_S = 0.05
# How long opening a listening socket is retried at startup while the machine lacks descriptors or buffers.
LISTEN_TIMEOUT_S = 5.0
# Interval between attempts to read a configuration file that is unreadable or half written.
RELOAD_RETRY_S = 0.1
MAX_RELOAD_RETRIES = 100
STATS_INTERVAL_S = 1.0


class Node:
    """The host of a Balancer: it implements the interface `Actions` for it and delivers all events to it.

    Args:
        config: The configuration.
        loop: The event loop that the node runs on.
    """

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config = config
        self.loop = loop
        self.log_writer = Log(config.name, MAX_LINES_PER_SECOND)
        # Log lines about invalid input have a rate limit of their own, so that a flood of stray datagrams
        # cannot suppress the lines that report faults.
        stray_log = Log(config.name, MAX_STRAY_LINES_PER_SECOND)
        # So have closes, refusals and retries, of which a crowd causes hundreds a second.
        self.events = TrafficEvents(Log(config.name, MAX_EVENT_LINES_PER_SECOND))
        max_connections = config.max_connections()
        self.descriptor_budget = DescriptorBudget(max_connections, config.max_descriptors)
        self.memory_budget = MemoryBudget(config.memory_bytes, max_connections)
        self.process_count = 1  # The number of processes of this node that share its limits.
        self.pool = ConnectionPool(
            loop, self.descriptor_budget, config.connect_timeout_s, config.idle_timeout_s, self.memory_budget
        )
        self.lifecycle = Lifecycle(self.log_writer)
        self.counters = Counters(config.classes)
        self.event_queue = EventQueue(self.log_writer, self.on_event_failed)
        self.requests = Requests(
            config,
            loop,
            self.lifecycle,
            self.log_writer,
            self.counters,
            self.event_queue,
            self.events,
            self.descriptor_budget,
            SharedDigests(config.handover_directory, self.log_writer),
        )
        self.attempts = Attempts(config, self.pool, self.event_queue, self.counters, self.requests)
        self.client_connections = ClientConnections(
            loop, self.descriptor_budget, self.requests, self.lifecycle, self.memory_budget, self.events
        )
        self.pool.evict_client = self.client_connections.evict_one
        self.pool.end_stalled_client = self.requests.stream_limit.release_server_connection
        self.pool.relieve_memory = self.client_connections.relieve_memory
        self.client_connections.close_unused_server_connection = self.pool.close_unused
        self.fleet = self.create_fleet_runtime()
        self.management = Management(loop, self.paths(), self.log_writer.line)
        self.server_registry = ServerRegistry(
            config, loop, self.pool, self.lifecycle, self.log_writer, stray_log, self.event_queue
        )
        self.discovery = self.server_registry.discovery
        self.peers = Peers(config.peers, config.broadcast_address, self.on_peer_message, stray_log)
        self.started = False
        # The pending retry of a failed reload of the configuration.
        self.reload_timer: asyncio.TimerHandle | None = None
        self.handover = Handover(loop, config.handover_directory, self.on_shared, self.log_writer)
        self.connect_policy()

    def connect_policy(self) -> None:
        """Create the policy, and connect its actions and events to the node's components."""
        config = self.config
        self.send, self.cancel = self.attempts.send, self.attempts.cancel
        self.reject, self.fail = self.requests.reject, self.requests.fail
        self.watch, self.fetch = self.discovery.watch, self.discovery.fetch
        adapter = None if self.fleet is None else self.fleet.policy_adapter
        self.balancer = Balancer(config.settings, config.seed, self, adapter)
        if adapter is not None:
            adapter.on_health_check_result, adapter.on_shares = self.on_health_check_result, self.on_shares
            self.server_registry.on_servers = adapter.server_list
            if config.fleet is not None and config.fleet.zones is not None:
                self.attempts.on_outcome = adapter.attempt_ended
        self.requests.balancer = self.attempts.balancer = self.balancer
        self.server_registry.balancer = self.balancer

    async def start(self) -> None:
        """Start serving, after the handover from an older process of this node, if one runs.

        Raises:
            OSError: An address cannot be bound.
        """
        c = self.config
        inherited = (
            adopt_listening_socket(c.inherited_descriptor) if c.inherited_descriptor is not None else None
        )
        if inherited is not None:
            await self.handover.start(self.is_within_budget)
        elif c.inherited_descriptor is not None:
            self.log_writer.line(
                f"LB_INHERITED_FD={c.inherited_descriptor} is no listening socket: opening a new one"
            )
        await self.open_peers()
        await self.open_fleet()
        if c.management is not None:
            self.management.start(await self.open_listener(c.management))
        listener = inherited or await self.open_listener(c.listen)
        self.client_connections.start(listener, shared=inherited is not None)
        self.started = True
        self.log_writer.line(
            f"start tier={c.settings.tier} instances={c.settings.instances} connections={c.max_connections()}"
            f" memory_mb={c.memory_bytes >> 20}"
            f" idle={c.idle_timeout_s} connect_timeout={c.connect_timeout_s}"
            f" aims={[k.latency_objective // 1000 for k in c.settings.classes]}"
        )
        self.event_queue.post(self.balancer.start)
        if self.config.cached_list is not None:
            self.server_registry.on_list(self.config.cached_list)
        if not self.config.settings.list_on_request:
            self.discovery.watch(True)
        self.loop.call_later(STATS_INTERVAL_S, self.write_stats)

    async def open_listener(self, address: Address) -> socket.socket:
        """Open a listening socket, retrying while this machine lacks descriptors, buffers or memory."""
        return await retry_shortage(lambda: open_listener(address), LISTEN_TIMEOUT_S)

    async def open_peers(self) -> None:
        """Bind the UDP port for messages of peers, the other nodes of the tier.

        A failed attempt is repeated while the previous process of this node still holds the port. Nothing is
        bound if peers are not configured, or if this process is being replaced or is shutting down.
        """
        c = self.config
        if not c.settings.peers or c.peer_listen is None or self.peers.transport is not None:
            return
        if self.handover.is_older or self.lifecycle.stage == Stage.ENDING:
            return
        try:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=c.peer_listen)
        except OSError as fault:
            self.schedule_open(fault, self.open_peers)

    def schedule_open(self, fault: OSError, open_port: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Schedule another attempt to open a port.

        A node that has started retries whatever the error was. Otherwise a shortage of resources at the
        moment when the previous process releases the port would leave the node without the port for good. At
        startup the attempt is repeated only after a shortage, or if another process of this node runs, which
        may hold the port.

        Args:
            fault: The error of the failed attempt.
            open_port: Opens the port.

        Raises:
            OSError: The error `fault`, if the attempt is not repeated.
        """
        if not (self.started or self.handover.is_shared or is_shortage(fault)):
            raise fault
        self.loop.call_later(PEERS_RETRY_S, lambda: self.loop.create_task(open_port()))

    def create_fleet_runtime(self) -> FleetRuntime | None:
        """Create the runtime of the fleet, or return None if this process belongs to no fleet."""
        if self.config.fleet is None:
            return None
        # Imported here because a node without a fleet runs without the packages that the fleet needs.
        from balancer.fleet.runtime import FleetRuntime

        def shut_down() -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        c = self.config
        return FleetRuntime(
            self.config.fleet, self.loop, c.seed, self.log_writer, self.lifecycle, shut_down, c.settings
        )

    async def open_fleet(self) -> None:
        """Join the fleet, the group of processes that coordinate their decisions.

        A failed attempt is repeated while the previous process of this node still holds the fleet's port.
        """
        fleet = self.fleet
        if fleet is None or fleet.transport is not None:
            return
        if self.handover.is_older or self.lifecycle.stage == Stage.ENDING:
            return
        try:
            await fleet.open()
        except OSError as fault:
            self.schedule_open(fault, self.open_fleet)

    def on_shared(self, shared: bool) -> None:
        """Adapt the limits and ports when another process of this node starts or ends.

        During a handover an older and a younger process of this node run. Each then has half of the limits on
        descriptors and memory, and the younger one has the UDP ports.

        Args:
            shared: Whether another process of this node runs.
        """
        self.process_count = 2 if shared else 1
        self.requests.set_shared(shared)
        self.memory_budget.resize(self.config.memory_bytes // self.process_count)
        self.limit_connections()
        if self.handover.is_older:
            self.peers.close()
            if self.fleet is not None:
                self.fleet.close()
        elif not shared:
            self.loop.create_task(self.open_peers())
            self.loop.create_task(self.open_fleet())

    def limit_connections(self) -> None:
        """Limit the connections by descriptors and memory, and close unused ones beyond the limit."""
        max_connections = self.config.max_connections(self.process_count)
        self.descriptor_budget.resize(
            min(max_connections, self.memory_budget.max_connections),
            self.config.max_descriptors // self.process_count,
        )
        self.pool.shrink()
        self.client_connections.shrink()

    def measure_memory(self) -> None:
        """Derive the limits on buffered bytes and connections from the process's size now.

        The node must run alone in its process, and have no clients yet.
        """
        self.memory_budget.measure_base()
        self.limit_connections()
        budget = self.memory_budget
        self.log_writer.line(
            f"memory limit={budget.memory_bytes} base={budget.base_bytes} held={budget.max_held_bytes}"
            f" connections={self.descriptor_budget.total}"
        )

    def is_within_budget(self) -> bool:
        """Return whether the connections of this process are within its descriptor budget."""
        return self.descriptor_budget.clients + self.descriptor_budget.servers <= self.descriptor_budget.total

    def write_stats(self) -> None:
        """Log the policy's current statistics and the node's counts since the start, once per interval."""
        stats = self.balancer.stats() | self.requests.counts | self.client_connections.counts
        stats |= {"dialled": self.pool.opened_count, "clients": self.descriptor_budget.clients}
        stats |= {"server_connections": self.descriptor_budget.servers}
        stats |= self.memory_budget.figures() | self.events.figures()
        stats |= {"resident_bytes": resident_bytes()}
        self.log_writer.line("stats " + " ".join(f"{name}={value:.4g}" for name, value in stats.items()))
        self.loop.call_later(STATS_INTERVAL_S, self.write_stats)

    def reload(self, environ: Mapping[str, str], retries: int = 0) -> None:
        """Reload the configuration file; only the address of discovery can change at run time.

        Reading the file is repeated if it fails: the signal to reload may arrive while the file is half
        written, and without a second signal the node would keep the address of a discovery service that was
        replaced.

        Args:
            environ: The environment variables.
            retries: How often this reload has been retried.
        """
        if self.reload_timer is not None:
            self.reload_timer.cancel()
            self.reload_timer = None
        try:
            address = load_discovery(environ)
        except ConfigError as e:
            if retries in (0, MAX_RELOAD_RETRIES):
                self.log_writer.line(f"reload: {e}: " + ("given up" if retries else "will be read again"))
            if retries < MAX_RELOAD_RETRIES:
                self.reload_timer = self.loop.call_later(RELOAD_RETRY_S, self.reload, environ, retries + 1)
            return
        self.log_writer.line(f"reload discovery={address[0]}:{address[1]}")
        self.discovery.change_address(address)

    def paths(self) -> Pages:
        """Return the management pages, by path; those of the fleet only if a fleet is configured."""
        pages = {
            b"/control/ready": Page(b"GET", self.show_readiness),
            b"/control/counters": Page(b"GET", self.show_counters),
            b"/control/diagnostics": Page(b"GET", self.show_diagnostics),
            b"/control/out-of-service": Page(b"PUT", self.take_out_of_service),
            b"/control/in-service": Page(b"PUT", self.return_to_service),
        }
        if self.fleet is not None:
            fleet_pages = self.fleet.pages
            pages[b"/fleet"] = Page(b"GET", fleet_pages.show_fleet, JSON)
            pages[b"/fleet/replace"] = Page(
                b"PUT", fleet_pages.control_rolling_update, JSON, takes_query=True
            )
            pages[b"/fleet/hold"] = Page(b"PUT", fleet_pages.acquire_lease, JSON, takes_query=True)
            pages[b"/fleet/zone"] = Page(b"PUT", fleet_pages.control_zone, JSON, takes_query=True)
            pages[b"/fleet/give"] = Page(b"PUT", fleet_pages.release_lease, JSON, takes_query=True)
        return pages

    def show_readiness(self) -> PageResponse:
        """Return status 200 if this process accepts clients and 503 otherwise, with its lifecycle stage."""
        return PageResponse(
            200 if self.lifecycle.is_serving else 503, self.lifecycle.stage.value.encode() + b"\n"
        )

    def show_counters(self) -> PageResponse:
        """Return the metrics page: counts since the start, and current numbers such as that of servers."""
        draining = sum(state != State.READY for state in self.server_registry.states.values())
        avoided = draining + int(self.balancer.stats()["ejected"])
        body = self.counters.render(len(self.requests.by_client), len(self.server_registry.states), avoided)
        return PageResponse(200, body)

    def show_diagnostics(self) -> PageResponse:
        """Return the buffered bytes by what holds them, and closes, refusals and retries by reason."""
        figures = self.memory_budget.figures() | {"resident_bytes": resident_bytes()}
        events = self.events
        return PageResponse(200, render_diagnostics(figures, events.closes, events.refusals, events.retries))

    def take_out_of_service(self) -> PageResponse:
        """Take the node out of service: it drains its client connections and keeps running."""
        self.lifecycle.take_out_of_service()
        self.client_connections.start_draining()
        return PageResponse(200, self.lifecycle.stage.value.encode() + b"\n")

    def return_to_service(self) -> PageResponse:
        """Return the node to service, or respond with status 409 once it is shutting down."""
        status = 200 if self.lifecycle.return_to_service() else 409
        return PageResponse(status, self.lifecycle.stage.value.encode() + b"\n")

    async def drain(self) -> None:
        """Shut down after responding to all requests that were admitted."""
        self.lifecycle.shut_down()
        max_deadline = max(c.deadline for c in self.config.settings.classes)
        grace = min(max_deadline, MAX_SHUTDOWN_DEADLINE_US) + SHUTDOWN_GRACE_US
        self.requests.limit_deadlines(self.event_queue.now() + grace)
        self.peers.close()
        if self.fleet is not None:
            self.fleet.leave()
        await self.client_connections.drain(grace / 1e6)
        if self.reload_timer is not None:
            self.reload_timer.cancel()
        self.discovery.close()
        self.handover.close()
        if self.requests.overdue_count:
            self.log_writer.line(
                f"{self.requests.overdue_count} requests without a response were failed at their deadline"
            )

    # ---- events ---------------------------------------------------------------------------------------

    def on_peer_message(self, peer: int, data: bytes) -> None:
        """Deliver a peer's message to the policy."""
        self.event_queue.post(self.balancer.peer_message, peer, data)

    def on_health_check_result(self, server: int, healthy: bool) -> None:
        """Deliver the result of another node's health check of an ejected server to the policy."""
        self.event_queue.post(self.balancer.trial_result, server, healthy)

    def on_shares(self, shares: dict[int, float], trips: dict[int, int]) -> None:
        """Deliver the fleet's decision on each zone's share of the requests to the policy.

        Args:
            shares: Each zone's share of the requests, by the number of the zone.
            trips: The additional round-trip time to each remote zone, in microseconds.
        """
        self.event_queue.post(self.balancer.zone_shares, shares, trips)

    def on_event_failed(self, event: Event, args: tuple[Any, ...]) -> None:
        """Respond with status 500 to the request, if any, whose event made the policy raise an exception."""
        if event in (self.balancer.request, self.balancer.outcome):
            self.requests.respond(args[0], 500)

    # ---- Actions --------------------------------------------------------------------------------------

    def check_health(self, server: int) -> None:
        """Request a server's load report, or its health page if load reports are not configured.

        The policy's `health_checked` event receives the result; a server that is not ready fails at once.
        """
        endpoint = self.pool.endpoints.get(server)
        started_at = self.event_queue.now()
        path = b"/status/load" if self.config.report_names else b"/health"

        def on_done(outcome: Outcome, response: Response | None) -> None:
            ok = response is not None and response.status == 200
            report = (
                parse_load_report(response.body or response.report, self.config.report_names)
                if response is not None and ok
                else ()
            )
            self.event_queue.post(
                self.balancer.health_checked, server, ok, self.event_queue.now() - started_at, report
            )

        if endpoint is None or not endpoint.ready:
            self.event_queue.post(self.balancer.health_checked, server, False, 0, ())
            return
        request = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n\r\n" % (path, endpoint.host.encode(), endpoint.port)
        Exchange(self.pool, endpoint, lambda: request, on_done).start(self.config.connect_timeout_s)

    def set_timer(self, delay: int, token: int) -> None:
        """Post the policy's `timer` event with `token` after `delay` microseconds."""
        self.loop.call_later(max(0, delay) / 1e6, self.event_queue.post, self.balancer.timer, token)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a message to the peer with this index, or to all peers if the index is negative."""
        self.peers.send(peer, data)

    def close(self, server: int) -> None:
        """Close the idle connections to a server."""
        endpoint = self.pool.endpoints.get(server)
        if endpoint is not None:
            endpoint.close_idle()

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self.log_writer.line(text)
