"""Real nodes in the model: calls of clients are sent to node processes, whose attempts reach the servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings, State
from workbench.emulator.address_block import CLIENT_PORT, AddressBlock
from workbench.emulator.agent import DiscoveryAgent, Endpoint
from workbench.emulator.clock import RealTimeClock
from workbench.emulator.http import (
    ClientConnection,
    ConnectionPool,
    Request,
    Response,
    encode_request,
    encode_response,
    parse_call_id,
    parse_retry_after,
)
from workbench.emulator.links import Link
from workbench.emulator.server_proxy import (
    NOT_NOTIFIED,
    ProxyConnection,
    ServerProxy,
    synchronize_all,
)
from workbench.model.call import Answer, Attempt, Call, Cause
from workbench.model.network import fixed_float
from workbench.model.server import Server
from workbench.model.site import EFFECT_WORDS, World

# The interval at which the proxies are synchronized with the servers' state.
SERVER_POLL_INTERVAL_US = 10_000
ATTEMPT_KEY_STRIDE = 0x9E3779B1
REJECTION_STATUSES = (429, 503)
# Any other state is sent as `gone`.
ENDPOINT_STATES = {State.READY: "ready", State.DRAINING: "draining"}
# Answers that stored histories contain besides the names of `Answer` in lower case.
WRONG_RESPONSE, CLIENT_DISCONNECTED, NO_RESPONSE = "spoilt", "left", "none"
# Stored accounts and histories contain these reasons.
CAUSE_REJECTED, CAUSE_RESET = Cause("refused at the limit", 0), Cause("reset", 0)

# Writes one event with its fields to the history.
RecordEvent = Callable[..., None]


class ProcessControl(Protocol):
    """Starts and stops the processes of nodes."""

    def boot(self, node: NodeAdapter) -> None:
        """Start a node's process, unless it is already running."""

    def terminate(self, node: NodeAdapter) -> None:
        """Send SIGTERM to a node's process."""

    def kill(self, node: NodeAdapter) -> None:
        """Send SIGKILL to a node's process."""


class NoProcessControl:
    """Process control without effect, for nodes that the user starts."""

    def boot(self, node: NodeAdapter) -> None:
        """Do nothing."""

    terminate = kill = boot


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that the node has not answered yet; `sent_at` is in microseconds."""

    connection: ClientConnection
    sent_at: int


class NodeAdapter:
    """A `Port` of the model whose node is a real process.

    Args:
        site: The emulation that the node belongs to.
        name: The name of the node.
        index: The number of the node, which determines its addresses.
        settings: The settings of the node's policy.
    """

    def __init__(self, site: Site, name: str, index: int, settings: Settings) -> None:
        self.site = site
        self.name = name
        self.index = index
        self.settings = settings
        self.tier = 0
        self.zone = settings.zone
        self.up = self.ready = False
        self.starts: dict[int, int] = {}
        # The time at which the node was notified that a server drains or is gone, by server id.
        self.unavailable_since: dict[int, int] = {}
        self.health_checks = 0
        self.proxies: dict[int, ServerProxy] = {}
        self.agent = DiscoveryAgent(site.loop, self.make_endpoint, self.on_notified)
        self.connections = ConnectionPool(site.loop, site.addresses.node_host(index), CLIENT_PORT)
        # Open requests by call id.
        self.open_requests: dict[int, OpenRequest] = {}
        self.subscriber: Any = None

    # ---- Commands and calls of the model --------------------------------------------------------------

    def boot(self) -> None:
        """Start the node's process."""
        self.site.control.boot(self)

    def drain(self) -> None:
        """Shut the node's process down gracefully."""
        self.site.control.terminate(self)

    def kill(self) -> None:
        """Kill the node's process."""
        self.site.control.kill(self)

    def schedule_arrival(self, at: int, call: Call) -> None:
        """Schedule a client's call that arrives at the time `at`."""
        call.node = self
        self.site.clock.call_at(at, self.accept, call)

    def accept(self, call: Call) -> None:
        """Send a client's request to the node; its deadline counts from its due time."""
        site = self.site
        call.accepted = True
        site.calls[call.id] = call
        site.world.accounts.calls[0] += 1
        sent_at = site.clock.real_time()
        connection = self.connections.send(
            self.encode_call(call), lambda response: self.on_response(call, sent_at, response)
        )
        self.open_requests[call.id] = OpenRequest(connection, sent_at)

    def encode_call(self, call: Call) -> bytes:
        """Encode a call as a request to the node."""
        root = call.root
        return encode_request(
            self.site.class_name(call),
            self.site.effect_name(call),
            root.key,
            call.id,
            max(0, call.until - self.site.clock.now) // 1000,
            b"%08x%08x" % (root.index, root.key),
            retry=call.number > 0,
        )

    def on_response(self, call: Call, sent_at: int, response: Response) -> None:
        """Handle the node's response or the loss of the connection."""
        self.site.clock.catch_up()
        self.open_requests.pop(call.id, None)
        if not call.open:
            return
        call.open = False
        answer = classify_response(response)
        retry_after = 0
        if answer == Answer.REFUSED:
            retry_after = parse_retry_after(response.headers.get(b"retry-after", b""))
            self.record_rejection(call)
        elif not response.status:
            call.cause = CAUSE_RESET
        is_wrong = answer == Answer.OK and not response.body.endswith(b" %016x" % call.id)
        self.record_request(
            call, sent_at, WRONG_RESPONSE if is_wrong else answer.name.lower(), response.status
        )
        call.caller.answered(call, answer, retry_after)

    def record_rejection(self, call: Call) -> None:
        """Record that the node has rejected a call."""
        if not call.sent:
            call.cause = CAUSE_REJECTED
        self.site.world.referee.check_rejection(self.site.clock.now, call)
        self.site.world.accounts.rejections[0] += 1

    def record_request(self, call: Call, sent_at: int, answer: str, status: int = 0) -> None:
        """Write the outcome of one request at this node to the history."""
        root = call.root
        self.site.record_event(
            "request",
            id=f"{call.id:016x}",
            node=self.name,
            request=root.index,
            attempt=call.number,
            klass=self.site.class_name(call),
            due=root.due,
            sent=sent_at,
            until=call.until,
            answer=answer,
            status=status,
        )

    def client_disconnected(self, call: Call) -> None:
        """Cancel the request of a client that has disconnected."""
        self.cancel(call, CLIENT_DISCONNECTED)

    def deadline_missed(self, call: Call) -> None:
        """Cancel a request that is still open after its deadline and the answer slack."""
        self.cancel(call, NO_RESPONSE)

    def cancel(self, call: Call, answer: str) -> None:
        """Cancel a request that is still open, and record its answer."""
        if not call.open:
            return
        call.open = False
        request = self.open_requests.pop(call.id)
        request.connection.cancel()
        self.record_request(call, request.sent_at, answer)

    # ---- Attempts of the node at servers --------------------------------------------------------------

    def on_attempt(self, connection: ProxyConnection, request: Request) -> None:
        """Handle an attempt of this node that a server has received completely."""
        site = self.site
        server = connection.proxy.server
        call = site.find_call(parse_call_id(request.headers.get(b"x-call-id", b"")), request.target)
        if call is None:
            site.record_event("stray", node=self.name, server=server.spec.name)
            connection.outbound.send(encode_response(400))
            return
        number = len(call.sent)
        key = call.key + number * ATTEMPT_KEY_STRIDE
        attempt = Attempt(call, number, server, self, key, site.clock.now)
        connection.unavailable_since = self.unavailable_since.get(server.id, NOT_NOTIFIED)
        self.record_attempt(attempt, connection.unavailable_since)
        attempt.connection = connection
        connection.attempt = attempt
        server.arrive(attempt)

    def record_attempt(self, attempt: Attempt, unavailable_since: int) -> None:
        """Record a new attempt in its call and in the accounts, and check it with the referee."""
        world, call, server = self.site.world, attempt.call, attempt.server
        if unavailable_since >= 0 or call.in_flight or call.ran_on is not None:
            world.referee.check_attempt(attempt.sent_at, call, server, unavailable_since)
        call.sent.append(attempt)
        call.in_flight += 1
        call.root.attempts += 1
        world.accounts.attempts[0] += 1
        world.accounts.cross_zone_attempts += server.zone != self.zone

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Send a server's response to an attempt, or reset its connection if the outcome has no response."""
        if attempt.ended:
            return
        call = attempt.call
        if outcome == Outcome.OK and attempt.job is not None:
            call.useful_work = attempt.job.useful_work
        self.close_attempt(attempt, outcome)
        connection: ProxyConnection = attempt.connection
        connection.respond(outcome, f"{attempt.server.spec.name} {call.id:016x}".encode())

    def on_disconnect(self, attempt: Attempt) -> None:
        """Cancel an attempt whose connection the node has closed."""
        attempt.server.cancel_attempt(attempt)
        self.close_attempt(attempt, Outcome.CANCELLED)

    def close_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of an attempt."""
        attempt.ended = True
        call = attempt.call
        call.in_flight -= 1
        site = self.site
        site.world.referee.attempt_ended(call, attempt.server, attempt.sent_at, outcome)
        site.record_event(
            "attempt",
            id=f"{call.id:016x}",
            node=self.name,
            server=attempt.server.spec.name,
            zone=attempt.server.zone,
            klass=site.class_name(call),
            effect=site.effect_name(call),
            began=attempt.sent_at,
            ended=site.clock.now,
            outcome=outcome.name.lower(),
            away=attempt.connection.unavailable_since,
        )

    # ---- Notifications of discovery -------------------------------------------------------------------

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Pass a full list or changes to the node's discovery agent."""
        self.agent.update(kind, entries)

    def make_endpoint(self, entry: ServerEntry) -> Endpoint:
        """Return a server as an endpoint whose address is that of this node's proxy."""
        server = self.site.world.by_id[entry.server]
        proxy = self.proxies.get(server.id)
        if proxy is None:
            proxy = self.proxies[server.id] = self.site.open_proxy(self, server)
        return {
            "id": server.spec.name,
            "addr": f"{proxy.address[0]}:{proxy.address[1]}",
            "zone": self.site.zone_name(server.zone),
            "kind": self.site.kind_name(server.kind),
            "cell": server.cell,
            "state": ENDPOINT_STATES.get(entry.state, "gone"),
            "weight": 1.0,
            "started_ms": entry.ready_at // 1000 + self.site.epoch_ms if entry.ready_at else 0,
        }

    def on_notified(self, endpoints: list[Endpoint]) -> None:
        """Record which servers' states the agent has sent to the node."""
        now = self.site.clock.catch_up()
        for endpoint in endpoints:
            name, state = endpoint["id"], endpoint["state"]
            server = self.site.servers_by_name[name]
            if state == "ready":
                self.starts[server.id] = server.ready_at
                self.unavailable_since.pop(server.id, None)
            elif server.id not in self.unavailable_since:
                self.unavailable_since[server.id] = now
                self.site.record_event("told", node=self.name, server=name, state=state)

    def on_process_ended(self) -> None:
        """Discard what the ended process was notified of, and close its idle connections."""
        self.starts.clear()
        self.unavailable_since.clear()
        self.connections.close()

    def close(self) -> None:
        """Close the connections to the node, its agent and its proxies."""
        self.connections.close()
        self.agent.close()
        for proxy in self.proxies.values():
            proxy.close()


class Site:
    """The `Hosts` of an emulated world, with an adapter for each node and the proxies of its servers.

    Args:
        loop: The event loop of all sockets.
        clock: The clock of the emulated world.
        addresses: The loopback addresses of the emulation.
        control: Starts and stops the node processes.
        record_event: Writes an event to the history.
        link_between: Returns the link between two endpoints, given the name and zone of each.
        epoch_ms: Unix time in milliseconds that corresponds to time 0 of the clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: RealTimeClock,
        addresses: AddressBlock,
        control: ProcessControl,
        record_event: RecordEvent,
        link_between: Callable[[str, int, str, int], Link],
        epoch_ms: int,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.addresses = addresses
        self.control = control
        self.record_event = record_event
        self.link_between = link_between
        self.epoch_ms = epoch_ms
        self.nodes: list[NodeAdapter] = []
        self.calls: dict[int, Call] = {}
        self.servers_by_name: dict[str, Server] = {}
        self.world: World

    def node(self, world: World, name: str, tier: int, settings: Settings) -> NodeAdapter:
        """Create the adapter of one node of the world and subscribe it to discovery.

        Raises:
            ValueError: The node is not in the first tier.
        """
        if tier:
            raise ValueError(f"node {name}: in tier {tier}, but an emulated scenario must have one tier")
        self.world = world
        node = NodeAdapter(self, f"n{len(self.nodes)}", len(self.nodes), settings)
        node.subscriber = world.discovery.subscribe(node)
        self.nodes.append(node)
        return node

    def start(self) -> None:
        """Start the discovery agents with the current server list, and the polling of the servers."""
        for node in self.nodes:
            node.agent.start(self.addresses.agent_address(node.index))
            self.world.discovery.boot(node.subscriber)
        self.poll_servers(None)

    def poll_servers(self, _: Any) -> None:
        """Synchronize all proxies with their servers, and schedule the next poll."""
        idle_timeout = int(fixed_float(self.world.scenario.network.idle_s) * 1e6)
        proxies = [proxy for node in self.nodes for proxy in node.proxies.values()]
        synchronize_all(proxies, self.clock.now, idle_timeout)
        self.clock.call_at(self.clock.now + SERVER_POLL_INTERVAL_US, self.poll_servers, None)

    def open_proxy(self, node: NodeAdapter, server: Server) -> ServerProxy:
        """Open the proxy through which a node reaches a server."""
        name = server.spec.name
        self.servers_by_name[name] = server
        request_link = self.link_between(node.name, node.zone, name, server.zone)
        response_link = self.link_between(name, server.zone, node.name, node.zone)
        host = self.addresses.server_host
        return ServerProxy(self.clock, server, node, host, request_link, response_link)

    def find_call(self, call_id: int, target: bytes) -> Call | None:
        """Return the call with the id in a request at a server, or None if no client made the call."""
        return self.calls.get(call_id)

    def class_name(self, call: Call) -> str:
        """Return the name of a call's request class."""
        return self.world.scenario.request_classes[call.root.request_class].name

    def effect_name(self, call: Call) -> str:
        """Return the effect of a call as named in scenarios."""
        return EFFECT_WORDS[self.world.classes[call.root.request_class].effect]

    def zone_name(self, zone: int) -> str:
        """Return the name of a zone in the nodes' configuration."""
        return f"z{zone}"

    def kind_name(self, kind: int) -> str:
        """Return the name of a server kind."""
        kind_names = [k.name for t in self.world.scenario.tier for k in t.kind]
        return kind_names[kind]

    def close(self) -> None:
        """Close all sockets of all nodes."""
        for node in self.nodes:
            node.close()


def classify_response(response: Response) -> Answer:
    """Return the answer that a client sees in a response."""
    if response.status == 200:
        return Answer.OK
    if response.status in REJECTION_STATUSES:
        return Answer.REFUSED
    if response.status or response.request_sent:
        return Answer.FAILED
    return Answer.UNREACHABLE
