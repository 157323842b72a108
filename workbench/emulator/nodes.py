"""Real nodes in the model: clients' calls become requests to a process, its attempts come to servers."""

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
    parse_call_id,
    parse_retry_after,
    request_bytes,
    response_bytes,
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

SERVER_POLL_INTERVAL = 10_000  # microseconds between two looks at the servers' state
ATTEMPT_KEY_STRIDE = 0x9E3779B1
REJECTION_STATUSES = (429, 503)
ENDPOINT_STATES = {State.READY: "ready", State.DRAINING: "draining"}  # any other is gone
# As stored histories and accounts spell them.
WRONG_RESPONSE, CLIENT_LEFT, NO_RESPONSE = "spoilt", "left", "none"
CAUSE_REJECTED, CAUSE_RESET = Cause("refused at the limit", 0), Cause("reset", 0)

Observe = Callable[..., None]  # writes one event of the history


class ProcessControl(Protocol):
    """Starts and ends the processes of nodes."""

    def boot(self, node: NodeAdapter) -> None:
        """Starts a node's process, unless it runs."""

    def leave(self, node: NodeAdapter) -> None:
        """Sends SIGTERM."""

    def kill(self, node: NodeAdapter) -> None:
        """Sends SIGKILL."""


class NoProcessControl:
    """A control that does nothing, for nodes that are started by hand."""

    def boot(self, node: NodeAdapter) -> None:
        """Does nothing."""

    leave = kill = boot


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that the node has not answered yet, and when it was sent."""

    connection: ClientConnection
    sent_at: int


class NodeAdapter:
    """A `Port` of the model whose node is a process.

    Args:
        site: The emulation that the node belongs to.
        name: The node's name.
        index: The node's number, which its addresses follow from.
        settings: The settings of its policy.
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
        self.unavailable_since: dict[int, int] = {}  # when it was notified of servers that drain or are gone
        self.health_checks = 0
        self.proxies: dict[int, ServerProxy] = {}
        self.agent = DiscoveryAgent(site.loop, self.endpoint_of, self.on_notified)
        self.connections = ConnectionPool(site.loop, site.addresses.node_host(index), CLIENT_PORT)
        self.open_requests: dict[int, OpenRequest] = {}  # by call
        self.subscriber: Any = None

    # ---- what the model does to it --------------------------------------------------------------------

    def boot(self) -> None:
        """Starts the node's process."""
        self.site.control.boot(self)

    def drain(self) -> None:
        """Ends the node's process gracefully."""
        self.site.control.leave(self)

    def kill(self) -> None:
        """Kills the node's process."""
        self.site.control.kill(self)

    def schedule_arrival(self, at: int, call: Call) -> None:
        """Schedules a client's call, which arrives at `at`."""
        call.node = self
        self.site.clock.call_at(at, self.accept, call)

    def accept(self, call: Call) -> None:
        """Sends a client's request; the client's time began when it was due."""
        site = self.site
        call.accepted = True
        site.calls[call.id] = call
        site.world.accounts.calls[0] += 1
        sent_at = site.clock.real()
        connection = self.connections.send(
            self.request_of(call), lambda response: self.on_response(call, sent_at, response)
        )
        self.open_requests[call.id] = OpenRequest(connection, sent_at)

    def request_of(self, call: Call) -> bytes:
        """Returns a call as a request to the node."""
        root = call.root
        return request_bytes(
            self.site.class_name(call),
            self.site.effect_name(call),
            root.key,
            call.id,
            max(0, call.until - self.site.clock.now) // 1000,
            b"%08x%08x" % (root.index, root.key),
            retry=call.number > 0,
        )

    def on_response(self, call: Call, sent_at: int, response: Response) -> None:
        """Handles the node's response, or the end of the connection."""
        self.site.clock.catch_up()
        self.open_requests.pop(call.id, None)
        if not call.open:
            return
        call.open = False
        answer = answer_of(response)
        retry_after = 0
        if answer == Answer.REFUSED:
            retry_after = parse_retry_after(response.headers.get(b"retry-after", b""))
            self.count_rejection(call)
        elif not response.status:
            call.cause = CAUSE_RESET
        wrong = answer == Answer.OK and not response.body.endswith(b" %016x" % call.id)
        self.record_request(call, sent_at, WRONG_RESPONSE if wrong else answer.name.lower(), response.status)
        call.caller.answered(call, answer, retry_after)

    def count_rejection(self, call: Call) -> None:
        """Records that the node has rejected a call."""
        if not call.sent:
            call.cause = CAUSE_REJECTED
        self.site.world.referee.check_rejection(self.site.clock.now, call)
        self.site.world.accounts.rejections[0] += 1

    def record_request(self, call: Call, sent_at: int, answer: str, status: int = 0) -> None:
        """Writes one request at this node, and how it ended, to the history."""
        root = call.root
        self.site.observe(
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
        """Cancels the request of a client that has left."""
        self.cancel(call, CLIENT_LEFT)

    def deadline_missed(self, call: Call) -> None:
        """Cancels a request whose time and the slack are over."""
        self.cancel(call, NO_RESPONSE)

    def cancel(self, call: Call, answer: str) -> None:
        """Cancels a request that is open still."""
        if not call.open:
            return
        call.open = False
        request = self.open_requests.pop(call.id)
        request.connection.cancel()
        self.record_request(call, request.sent_at, answer)

    # ---- what servers do to it ------------------------------------------------------------------------

    def on_attempt(self, connection: ProxyConnection, request: Request) -> None:
        """Handles one of this node's attempts, which has come to a server whole."""
        site = self.site
        server = connection.proxy.server
        call = site.find_call(parse_call_id(request.headers.get(b"x-call-id", b"")), request.target)
        if call is None:
            site.observe("stray", node=self.name, server=server.spec.name)
            connection.outbound.send(response_bytes(400))
            return
        number = len(call.sent)
        key = call.key + number * ATTEMPT_KEY_STRIDE
        attempt = Attempt(call, number, server, self, key, site.clock.now)
        connection.unavailable_since = self.unavailable_since.get(server.id, NOT_NOTIFIED)
        self.count_attempt(attempt, connection.unavailable_since)
        attempt.connection = connection
        connection.attempt = attempt
        server.arrive(attempt)

    def count_attempt(self, attempt: Attempt, unavailable_since: int) -> None:
        """Records a new attempt with its call, the referee and the accounts."""
        world, call, server = self.site.world, attempt.call, attempt.server
        if unavailable_since >= 0 or call.in_flight or call.ran_on is not None:
            world.referee.check_attempt(attempt.sent_at, call, server, unavailable_since)
        call.sent.append(attempt)
        call.in_flight += 1
        call.root.attempts += 1
        world.accounts.attempts[0] += 1
        world.accounts.cross_zone_attempts += server.zone != self.zone

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Sends a server's response to an attempt; its process may have ended instead."""
        if attempt.ended:
            return
        call = attempt.call
        if outcome == Outcome.OK and attempt.job is not None:
            call.useful_work = attempt.job.useful_work
        self.close_attempt(attempt, outcome)
        connection: ProxyConnection = attempt.connection
        connection.respond(outcome, f"{attempt.server.spec.name} {call.id:016x}".encode())

    def on_disconnect(self, attempt: Attempt) -> None:
        """Cancels an attempt whose connection the node has closed."""
        attempt.server.cancel_attempt(attempt)
        self.close_attempt(attempt, Outcome.CANCELLED)

    def close_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Records the outcome of an attempt."""
        attempt.ended = True
        call = attempt.call
        call.in_flight -= 1
        site = self.site
        site.world.referee.attempt_ended(call, attempt.server, attempt.sent_at, outcome)
        site.observe(
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

    # ---- what discovery does to it --------------------------------------------------------------------

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Passes a list or changes on to the node's agent."""
        self.agent.update(kind, entries)

    def endpoint_of(self, entry: ServerEntry) -> Endpoint:
        """Returns a server as the agent lists it, at the address of this node's proxy."""
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
        """Records the endpoints that have just been written to the node."""
        now = self.site.clock.catch_up()
        for endpoint in endpoints:
            name, state = endpoint["id"], endpoint["state"]
            server = self.site.servers_by_name[name]
            if state == "ready":
                self.starts[server.id] = server.ready_at
                self.unavailable_since.pop(server.id, None)
            elif server.id not in self.unavailable_since:
                self.unavailable_since[server.id] = now
                self.site.observe("told", node=self.name, server=name, state=state)

    def on_process_ended(self) -> None:
        """Forgets what the process was notified of, and its idle connections."""
        self.starts.clear()
        self.unavailable_since.clear()
        self.connections.close()

    def close(self) -> None:
        """Closes the connections to the node, its agent and its proxies."""
        self.connections.close()
        self.agent.close()
        for proxy in self.proxies.values():
            proxy.close()


class Site:
    """The `Hosts` of an emulated world: an adapter for each node, the proxies between nodes and servers.

    Args:
        loop: Runs all sockets.
        clock: The world's clock.
        addresses: The loopback addresses of the emulation.
        control: Starts and ends the nodes' processes.
        observe: Writes an event of the history.
        link_between: Returns the link from one named endpoint and its zone to another.
        epoch_ms: Unix time at which the world's clock would have stood at 0.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: RealTimeClock,
        addresses: AddressBlock,
        control: ProcessControl,
        observe: Observe,
        link_between: Callable[[str, int, str, int], Link],
        epoch_ms: int,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.addresses = addresses
        self.control = control
        self.observe = observe
        self.link_between = link_between
        self.epoch_ms = epoch_ms
        self.nodes: list[NodeAdapter] = []
        self.calls: dict[int, Call] = {}
        self.servers_by_name: dict[str, Server] = {}
        self.world: World

    def node(self, world: World, name: str, tier: int, settings: Settings) -> NodeAdapter:
        """Makes a node of the world.

        Raises:
            ValueError: The node is not of the first tier.
        """
        if tier:
            raise ValueError("a day in real time has one tier: servers of others have nodes of their own")
        self.world = world
        node = NodeAdapter(self, f"n{len(self.nodes)}", len(self.nodes), settings)
        node.subscriber = world.discovery.subscribe(node)
        self.nodes.append(node)
        return node

    def start(self) -> None:
        """Starts the discovery agents, each with the list as it stands."""
        for node in self.nodes:
            node.agent.start(self.addresses.agent_address(node.index))
            self.world.discovery.boot(node.subscriber)
        self.poll_servers(None)

    def poll_servers(self, _: Any) -> None:
        """Brings the proxies in line with the servers, again and again."""
        idle_timeout = int(fixed_float(self.world.scenario.network.idle_s) * 1e6)
        proxies = [proxy for node in self.nodes for proxy in node.proxies.values()]
        synchronize_all(proxies, self.clock.now, idle_timeout)
        self.clock.call_at(self.clock.now + SERVER_POLL_INTERVAL, self.poll_servers, None)

    def open_proxy(self, node: NodeAdapter, server: Server) -> ServerProxy:
        """Opens the proxy at which a node reaches a server."""
        name = server.spec.name
        self.servers_by_name[name] = server
        request_link = self.link_between(node.name, node.zone, name, server.zone)
        response_link = self.link_between(name, server.zone, node.name, node.zone)
        host = self.addresses.server_host
        return ServerProxy(self.clock, server, node, host, request_link, response_link)

    def find_call(self, call_id: int, target: bytes) -> Call | None:
        """Returns the call that a request at a server belongs to; None where no client sent it."""
        return self.calls.get(call_id)

    def class_name(self, call: Call) -> str:
        """Returns the name of a call's request class."""
        return self.world.scenario.request_classes[call.root.request_class].name

    def effect_name(self, call: Call) -> str:
        """Returns the effect of a call as scenarios spell it."""
        return EFFECT_WORDS[self.world.classes[call.root.request_class].effect]

    def zone_name(self, zone: int) -> str:
        """Returns a zone's name."""
        return f"z{zone}"

    def kind_name(self, kind: int) -> str:
        """Returns the name of a kind of servers."""
        kinds = [k.name for t in self.world.scenario.tier for k in t.kind]
        return kinds[kind]

    def close(self) -> None:
        """Closes all sockets."""
        for node in self.nodes:
            node.close()


def answer_of(response: Response) -> Answer:
    """Returns what a client makes of a response."""
    if response.status == 200:
        return Answer.OK
    if response.status in REJECTION_STATUSES:
        return Answer.REFUSED
    if response.status or response.request_sent:
        return Answer.FAILED
    return Answer.UNREACHABLE
