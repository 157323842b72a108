"""Nodes and control servers of the heartbeat membership in `heartbeats.py`, on a virtual network."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from balancer.fleet.membership.swim import Address
from workbench.explore.heartbeat_messages import Entry, HeartbeatKind, HeartbeatMessage, HeartbeatWire
from workbench.explore.regional import RegionalNetwork

CONTROL_SERVERS = 6
REGIONS = 5
ZONES = 13
PERIOD = 1_000_000  # of heartbeats, microseconds
MAX_MISSED_HEARTBEATS = 3  # then a node is dead, or a node leaves its control server
MAX_ENTRIES = 28  # in a datagram
MAX_DATAGRAMS = 8  # of changes in one answer
CONTROL_PORT = 7500
NODE_PORT = 7400


@dataclass
class NodeRecord:
    """What a control server knows of a node.

    Attributes:
        incarnation: The node's incarnation.
        count: The number of its heartbeats in this incarnation.
        alive: Whether it counts as alive.
        change: Number of its last change at this control server.
        heard_at: When this control server received its last heartbeat; 0 if another one receives them.
    """

    incarnation: int
    count: int
    alive: bool
    change: int
    heard_at: int

    @property
    def order(self) -> tuple[int, int, bool]:
        """The sort key of two claims about a node; the greater wins."""
        return self.incarnation, self.count, not self.alive


class ControlServer:
    """Receives the heartbeats of some nodes; starts with all nodes known."""

    def __init__(self, fleet: HeartbeatFleet, number: int) -> None:
        self.fleet = fleet
        self.name = f"control-{number}"
        self.address = (f"10.255.0.{number + 1}", CONTROL_PORT)
        self.endpoint = fleet.network.attach(self.address, number % REGIONS, self.receive)
        self.nodes: dict[str, NodeRecord] = {}
        self.log: dict[str, int] = {}  # numbers of the last changes by node, oldest first
        self.own_log: dict[str, int] = {}  # the same, only of nodes that send their heartbeats here
        self.change = 0
        self.peers = {  # numbers of the last changes that the others have acknowledged
            f"control-{peer}": 0 for peer in range(CONTROL_SERVERS) if peer != number
        }

    def store(self, name: str, record: NodeRecord, own: bool) -> None:
        """Stores a record as the latest change; `own`: the node sends its heartbeats here."""
        self.change += 1
        record.change = self.change
        self.nodes[name] = record
        for log in (self.log, self.own_log) if own else (self.log,):
            log.pop(name, None)
            log[name] = self.change

    def receive(self, source: Address, message: HeartbeatMessage) -> None:
        """Handles a message."""
        if message.kind == HeartbeatKind.PEER:
            self._receive_from_peer(message)
            return
        now = self.fleet.network.clock.now
        record = self.nodes.get(message.sender)
        if record is None or not record.alive or not record.heard_at or changed(record, message):
            self.store(message.sender, NodeRecord(message.incarnation, message.count, True, 0, now), own=True)
        else:
            record.count, record.heard_at = message.count, now
        self._answer(source, message)

    def on_timer(self, _: object) -> None:
        """Detects dead nodes among its own, and sends its changes to the other control servers."""
        now = self.fleet.network.clock.now
        for name, record in list(self.nodes.items()):
            silent_for = now - record.heard_at
            if record.alive and record.heard_at and silent_for > MAX_MISSED_HEARTBEATS * PERIOD:
                self.store(name, NodeRecord(record.incarnation, record.count, False, 0, 0), own=True)
        for peer in self.peers:
            self._send_changes(peer)
        self.fleet.network.clock.call_at(now + PERIOD, self.on_timer, None)

    def _changes_since(self, log: dict[str, int], change: int) -> list[str]:
        """Returns the names of a log's entries after a change, oldest first, as many as one answer takes."""
        newest: list[str] = []
        for name in reversed(log):
            if log[name] <= change:
                break
            newest.append(name)
        return newest[::-1][: MAX_ENTRIES * MAX_DATAGRAMS]

    def _entries(self, names: list[str]) -> tuple[Entry, ...]:
        records = ((name, self.nodes[name]) for name in names)
        return tuple((name, record.incarnation, record.count, record.alive) for name, record in records)

    def _answer(self, source: Address, message: HeartbeatMessage) -> None:
        names = self._changes_since(self.log, message.acknowledged)
        for batch in batches(names) if names else [names]:
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
            if record is not None and claim.order <= record.order:
                continue
            if record is not None and record.alive == alive and record.incarnation == incarnation:
                record.count = count  # another control server receives its heartbeats now
                record.heard_at = 0
            else:
                self.store(name, claim, own=False)

    def _send_changes(self, peer: str) -> None:
        names = self._changes_since(self.own_log, self.peers[peer])
        to = self.fleet.control_server(peer).address
        for batch in batches(names):
            message = HeartbeatMessage(
                HeartbeatKind.PEER,
                self.name,
                incarnation=0,
                count=0,
                acknowledged=0,
                last_change=self.own_log[batch[-1]],
                entries=self._entries(batch),
            )
            self.fleet.network.send(self.address, to, message)
        # Stands for an acknowledgement of what arrives.
        if names and self.fleet.network.connected(self.address, to):
            self.peers[peer] = self.own_log[names[-1]]


def changed(record: NodeRecord, message: HeartbeatMessage) -> bool:
    """Returns whether a heartbeat is of another incarnation than the one on record."""
    return record.incarnation != message.incarnation


def batches(names: list[str]) -> Iterator[list[str]]:
    """Splits names into batches of one datagram each."""
    for first in range(0, len(names), MAX_ENTRIES):
        yield names[first : first + MAX_ENTRIES]


class HeartbeatNode:
    """A node: it sends heartbeats, and keeps which nodes are alive.

    Args:
        fleet: The fleet that it belongs to.
        number: Its number.
        incarnation: Its incarnation.
        warm: It has acknowledged all changes so far, and knows all nodes as alive.
    """

    def __init__(self, fleet: HeartbeatFleet, number: int, incarnation: int, warm: bool) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"n{number}"
        self.address = (f"10.{number % ZONES}.{number >> 8}.{number & 255}", NODE_PORT)
        self.endpoint = fleet.network.attach(self.address, number % ZONES % REGIONS, self.receive)
        self.incarnation = incarnation
        self.preferences = control_server_preferences(number)
        self.preference = 0  # index of its control server among the preferences
        self.count = 0
        self.unanswered = 0
        self.acknowledged = fleet.control_servers[self.preferences[0]].change if warm else 0
        self.alive = bytearray(b"\1" if warm else b"\0") * fleet.size
        self.open = True
        first = fleet.network.clock.now + int(PERIOD * fleet.rng.random())
        fleet.network.clock.call_at(first, self.on_timer, None)

    def on_timer(self, _: object) -> None:
        """Sends a heartbeat, to the next control server if the present one does not answer."""
        if not self.open:
            return
        if self.unanswered >= MAX_MISSED_HEARTBEATS:
            self.unanswered, self.acknowledged = 0, 0
            self.preference = (self.preference + 1) % CONTROL_SERVERS
        self.count += 1
        self.unanswered += 1
        message = HeartbeatMessage(
            HeartbeatKind.BEAT, self.name, self.incarnation, self.count, self.acknowledged
        )
        network = self.fleet.network
        network.send(self.address, self.control_server().address, message)
        network.clock.call_at(network.clock.now + PERIOD, self.on_timer, None)

    def control_server(self) -> ControlServer:
        """Returns the control server that it sends its heartbeats to."""
        return self.fleet.control_servers[self.preferences[self.preference]]

    def receive(self, source: Address, message: HeartbeatMessage) -> None:
        """Handles an answer."""
        if source != self.control_server().address:
            return
        self.unanswered = 0
        self.acknowledged = max(self.acknowledged, message.last_change)
        for name, _, _, alive in message.entries:
            self.alive[int(name[1:])] = alive


def control_server_preferences(number: int) -> list[int]:
    """Returns the order in which a node tries the control servers."""
    return Random(number).sample(range(CONTROL_SERVERS), CONTROL_SERVERS)


class HeartbeatFleet:
    """Control servers and nodes; all start with all nodes known.

    Args:
        size: How many nodes.
        seed: Of all random draws.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size = size
        self.network = RegionalNetwork(seed, parts=[HeartbeatWire()])
        self.rng = Random(seed + 1)
        self.control_servers = [ControlServer(self, i) for i in range(CONTROL_SERVERS)]
        self._by_name = {server.name: server for server in self.control_servers}
        self._introduce_all()
        self.nodes = {i: HeartbeatNode(self, i, 1, warm=True) for i in range(size)}

    def _introduce_all(self) -> None:
        now = self.network.clock.now
        for number in range(self.size):
            first = control_server_preferences(number)[0]
            for i, server in enumerate(self.control_servers):
                record = NodeRecord(1, 0, True, 0, now if i == first else 0)
                server.store(f"n{number}", record, own=i == first)
        for i, server in enumerate(self.control_servers):
            for peer in server.peers:
                server.peers[peer] = server.change
            self.network.clock.call_at(now + PERIOD * (i + 1) // CONTROL_SERVERS, server.on_timer, None)

    def control_server(self, name: str) -> ControlServer:
        """Returns a control server by its name."""
        return self._by_name[name]

    def kill(self, number: int) -> None:
        """Ends a node without a message."""
        node = self.nodes.pop(number)
        node.open = False
        self.network.detach(node.address)

    def restart(self, number: int) -> None:
        """Starts a node that was killed, with the next incarnation and no knowledge of other nodes."""
        self.nodes[number] = HeartbeatNode(self, number, 2, warm=False)

    def all_know(self, number: int, alive: bool) -> bool:
        """Returns whether all nodes take one for alive, or for dead."""
        return all(node.alive[number] == alive for node in self.nodes.values())

    def false_deaths(self) -> int:
        """Returns the number of pairs of live nodes of which one takes the other for dead."""
        dead = [i for i in range(self.size) if i not in self.nodes]
        return sum(node.alive.count(0) - sum(not node.alive[i] for i in dead) for node in self.nodes.values())
