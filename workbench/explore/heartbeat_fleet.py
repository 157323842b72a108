"""Nodes and control servers of the heartbeat membership in `heartbeats.py`, on a virtual network."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from balancer.fleet.membership.swim import Address
from workbench.explore.heartbeat_messages import Entry, HeartbeatKind, HeartbeatMessage, HeartbeatWire
from workbench.explore.regional import RegionalNetwork

CONTROL_SERVER_COUNT = 6
REGION_COUNT = 5
ZONE_COUNT = 13
HEARTBEAT_INTERVAL_US = 1_000_000
# Number of missed heartbeats after which a node is dead, and of missing answers after which it changes to
# another control server.
MAX_MISSED_HEARTBEATS = 3
MAX_ENTRIES_PER_DATAGRAM = 28
MAX_DATAGRAMS_PER_ANSWER = 8
CONTROL_PORT = 7500
NODE_PORT = 7400


@dataclass
class NodeRecord:
    """A control server's record of a node.

    Attributes:
        incarnation: The node's incarnation.
        count: Number of its heartbeats in this incarnation.
        alive: Whether it is considered alive.
        change: Number of its last change at this control server.
        heard_at: Time of its last heartbeat at this control server, in microseconds; 0 if another control
            server receives its heartbeats.
    """

    incarnation: int
    count: int
    alive: bool
    change: int
    heard_at: int

    @property
    def precedence(self) -> tuple[int, int, bool]:
        """Sort key of claims about a node; the greater of two claims overrides the other."""
        return self.incarnation, self.count, not self.alive


class ControlServer:
    """A control server that receives the heartbeats of some nodes; it knows all nodes at its start.

    Attributes:
        nodes: Records of all nodes by name.
        log: Numbers of the last changes by node, oldest first.
        local_log: Like `log`, but only of nodes that send their heartbeats to this control server.
        change: Number of the latest change.
        peers: By control server, the number of the last change that it has acknowledged.
    """

    def __init__(self, fleet: HeartbeatFleet, number: int) -> None:
        self.fleet = fleet
        self.name = f"control-{number}"
        self.address = (f"10.255.0.{number + 1}", CONTROL_PORT)
        self.endpoint = fleet.network.attach(self.address, number % REGION_COUNT, self.receive)
        self.nodes: dict[str, NodeRecord] = {}
        self.log: dict[str, int] = {}
        self.local_log: dict[str, int] = {}
        self.change = 0
        self.peers = {f"control-{peer}": 0 for peer in range(CONTROL_SERVER_COUNT) if peer != number}

    def store(self, name: str, record: NodeRecord, is_local: bool) -> None:
        """Store a record as the latest change; `is_local` tells that the node sends its heartbeats here."""
        self.change += 1
        record.change = self.change
        self.nodes[name] = record
        for log in (self.log, self.local_log) if is_local else (self.log,):
            log.pop(name, None)
            log[name] = self.change

    def receive(self, source: Address, message: HeartbeatMessage) -> None:
        """Handle a heartbeat or a message of another control server."""
        if message.kind == HeartbeatKind.PEER:
            self._receive_from_peer(message)
            return
        now = self.fleet.network.clock.now
        record = self.nodes.get(message.sender)
        if record is None or not record.alive or not record.heard_at or has_new_incarnation(record, message):
            self.store(
                message.sender, NodeRecord(message.incarnation, message.count, True, 0, now), is_local=True
            )
        else:
            record.count, record.heard_at = message.count, now
        self._answer(source, message)

    def on_timer(self, _: object) -> None:
        """Mark local nodes without heartbeats as dead, and send local changes to other control servers."""
        now = self.fleet.network.clock.now
        for name, record in list(self.nodes.items()):
            silent_for = now - record.heard_at
            if (
                record.alive
                and record.heard_at
                and silent_for > MAX_MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_US
            ):
                self.store(name, NodeRecord(record.incarnation, record.count, False, 0, 0), is_local=True)
        for peer in self.peers:
            self._send_changes(peer)
        self.fleet.network.clock.call_at(now + HEARTBEAT_INTERVAL_US, self.on_timer, None)

    def _changes_since(self, log: dict[str, int], change: int) -> list[str]:
        """Return the nodes that changed after a change number, oldest first, up to the size of one answer."""
        newest: list[str] = []
        for name in reversed(log):
            if log[name] <= change:
                break
            newest.append(name)
        return newest[::-1][: MAX_ENTRIES_PER_DATAGRAM * MAX_DATAGRAMS_PER_ANSWER]

    def _entries(self, names: list[str]) -> tuple[Entry, ...]:
        records = ((name, self.nodes[name]) for name in names)
        return tuple((name, record.incarnation, record.count, record.alive) for name, record in records)

    def _answer(self, source: Address, message: HeartbeatMessage) -> None:
        names = self._changes_since(self.log, message.acknowledged)
        for batch in split_into_batches(names) if names else [names]:
            last_change = self.log[batch[-1]] if batch else message.acknowledged
            answer = HeartbeatMessage(
                HeartbeatKind.CHANGES,
                self.name,
                incarnation=0,
                count=0,
                acknowledged=message.acknowledged,
                seq=message.count,
                last_change=last_change,
                entries=self._entries(batch),
            )
            self.fleet.network.send(self.address, source, answer)

    def _receive_from_peer(self, message: HeartbeatMessage) -> None:
        self.peers[message.sender] = max(self.peers[message.sender], message.acknowledged)
        for name, incarnation, count, alive in message.entries:
            record = self.nodes.get(name)
            claim = NodeRecord(incarnation, count, alive, 0, 0)
            if record is not None and claim.precedence <= record.precedence:
                continue
            if record is not None and record.alive == alive and record.incarnation == incarnation:
                # Another control server receives the heartbeats of this node now.
                record.count = count
                record.heard_at = 0
            else:
                self.store(name, claim, is_local=False)

    def _send_changes(self, peer: str) -> None:
        names = self._changes_since(self.local_log, self.peers[peer])
        to = self.fleet.control_server(peer).address
        for batch in split_into_batches(names):
            message = HeartbeatMessage(
                HeartbeatKind.PEER,
                self.name,
                incarnation=0,
                count=0,
                acknowledged=0,
                last_change=self.local_log[batch[-1]],
                entries=self._entries(batch),
            )
            self.fleet.network.send(self.address, to, message)
        # Models an acknowledgement: messages without a partition in their way count as received.
        if names and self.fleet.network.connected(self.address, to):
            self.peers[peer] = self.local_log[names[-1]]


def has_new_incarnation(record: NodeRecord, message: HeartbeatMessage) -> bool:
    """Return whether a heartbeat's incarnation differs from the recorded one."""
    return record.incarnation != message.incarnation


def split_into_batches(names: list[str]) -> Iterator[list[str]]:
    """Split names into batches that fit one datagram each."""
    for first in range(0, len(names), MAX_ENTRIES_PER_DATAGRAM):
        yield names[first : first + MAX_ENTRIES_PER_DATAGRAM]


class HeartbeatNode:
    """A node that sends heartbeats and tracks which nodes are alive.

    Args:
        fleet: The fleet that it belongs to.
        number: Its number.
        incarnation: Its incarnation number.
        knows_all_nodes: Whether it starts with all changes so far acknowledged and all nodes alive.

    Attributes:
        preference: Index of its present control server among its preferences.
        unanswered: Number of heartbeats since the last answer.
        acknowledged: Number of the last change that it has received.
        alive: One byte for each node: 1 if this node considers it alive.
    """

    def __init__(self, fleet: HeartbeatFleet, number: int, incarnation: int, knows_all_nodes: bool) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"n{number}"
        self.address = (f"10.{number % ZONE_COUNT}.{number >> 8}.{number & 255}", NODE_PORT)
        self.endpoint = fleet.network.attach(self.address, number % ZONE_COUNT % REGION_COUNT, self.receive)
        self.incarnation = incarnation
        self.preferences = control_server_preferences(number)
        self.preference = 0
        self.count = 0
        self.unanswered = 0
        self.acknowledged = fleet.control_servers[self.preferences[0]].change if knows_all_nodes else 0
        self.alive = bytearray(b"\1" if knows_all_nodes else b"\0") * fleet.size
        self.is_running = True
        first = fleet.network.clock.now + int(HEARTBEAT_INTERVAL_US * fleet.rng.random())
        fleet.network.clock.call_at(first, self.on_timer, None)

    def on_timer(self, _: object) -> None:
        """Send a heartbeat; change to the next control server if the present one does not answer."""
        if not self.is_running:
            return
        if self.unanswered >= MAX_MISSED_HEARTBEATS:
            self.unanswered, self.acknowledged = 0, 0
            self.preference = (self.preference + 1) % CONTROL_SERVER_COUNT
        self.count += 1
        self.unanswered += 1
        message = HeartbeatMessage(
            HeartbeatKind.BEAT, self.name, self.incarnation, self.count, self.acknowledged
        )
        network = self.fleet.network
        network.send(self.address, self.control_server().address, message)
        network.clock.call_at(network.clock.now + HEARTBEAT_INTERVAL_US, self.on_timer, None)

    def control_server(self) -> ControlServer:
        """Return the control server that it sends its heartbeats to."""
        return self.fleet.control_servers[self.preferences[self.preference]]

    def receive(self, source: Address, message: HeartbeatMessage) -> None:
        """Apply the changes of an answer, if it is from the present control server."""
        if source != self.control_server().address:
            return
        self.unanswered = 0
        self.acknowledged = max(self.acknowledged, message.last_change)
        for name, _, _, alive in message.entries:
            self.alive[int(name[1:])] = alive


def control_server_preferences(number: int) -> list[int]:
    """Return the order in which a node tries the control servers."""
    return Random(number).sample(range(CONTROL_SERVER_COUNT), CONTROL_SERVER_COUNT)


class HeartbeatFleet:
    """Control servers and nodes that all know all nodes at their start.

    Args:
        size: Number of nodes.
        seed: Seed of all random draws.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size = size
        self.network = RegionalNetwork(seed, parts=[HeartbeatWire()])
        self.rng = Random(seed + 1)
        self.control_servers = [ControlServer(self, i) for i in range(CONTROL_SERVER_COUNT)]
        self._by_name = {server.name: server for server in self.control_servers}
        self._introduce_all()
        self.nodes = {i: HeartbeatNode(self, i, 1, knows_all_nodes=True) for i in range(size)}

    def _introduce_all(self) -> None:
        now = self.network.clock.now
        for number in range(self.size):
            first = control_server_preferences(number)[0]
            for i, server in enumerate(self.control_servers):
                record = NodeRecord(1, 0, True, 0, now if i == first else 0)
                server.store(f"n{number}", record, is_local=i == first)
        for i, server in enumerate(self.control_servers):
            for peer in server.peers:
                server.peers[peer] = server.change
            self.network.clock.call_at(
                now + HEARTBEAT_INTERVAL_US * (i + 1) // CONTROL_SERVER_COUNT, server.on_timer, None
            )

    def control_server(self, name: str) -> ControlServer:
        """Return a control server by its name."""
        return self._by_name[name]

    def kill(self, number: int) -> None:
        """Stop a node without a message to the others."""
        node = self.nodes.pop(number)
        node.is_running = False
        self.network.detach(node.address)

    def restart(self, number: int) -> None:
        """Start a node that was killed, with the next incarnation and no knowledge of other nodes."""
        self.nodes[number] = HeartbeatNode(self, number, 2, knows_all_nodes=False)

    def all_consider(self, number: int, alive: bool) -> bool:
        """Return whether all nodes agree that a node is alive, or that it is dead."""
        return all(node.alive[number] == alive for node in self.nodes.values())

    def false_deaths(self) -> int:
        """Return the number of ordered pairs of live nodes of which the first considers the second dead."""
        dead = [i for i in range(self.size) if i not in self.nodes]
        return sum(node.alive.count(0) - sum(not node.alive[i] for i in dead) for node in self.nodes.values())
