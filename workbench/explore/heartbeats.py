"""The membership that was not taken, to be measured beside the others: heartbeats of all nodes to six control
machines.

A node sends a heartbeat a second to one control machine, the first of its own order that answers. The answer
has the changes that the node has not been told of. A machine tells the others of the changes among the nodes
that it hears itself; a node that is silent for three heartbeats is dead. Claims about a node are ordered by
its incarnation, then by its own count of heartbeats, so a machine that hears it overrides one that does not
any more. A node that has changed machines or has just started is told of all nodes.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from typing import Any

import msgspec

from balancer.fleet.membership.swim import Address
from workbench.explore.regional import RegionalNetwork

MACHINES = 6
REGIONS = 5
PERIOD = 1_000_000
MISSED = 3  # heartbeats: then a node is dead, or a machine left
ENTRIES = 28  # in a datagram
DATAGRAMS = 8  # of changes in one answer
CONTROL_PORT = 7500
NODE_PORT = 7400


class BeatKind(IntEnum):
    """What a message is. For the virtual network alone."""

    BEAT = 112
    CHANGES = 113
    PEER = 114


Entry = tuple[str, int, int, bool]  # name, incarnation, count of heartbeats, alive


@dataclass(frozen=True)
class Beat:
    """From a node, or (PEER) from one machine to another: `told` is what the sender has been told up to."""

    kind: BeatKind
    sender: str
    incarnation: int
    count: int
    told: int
    seq: int = 0
    upto: int = 0  # of the changes in this message
    entries: tuple[Entry, ...] = ()


class BeatWire:
    """Its messages to the envelope's parts and back."""

    kinds = frozenset(int(k) for k in BeatKind)

    def __init__(self) -> None:
        self.decoder = msgspec.msgpack.Decoder(tuple[int, int, int, int, list[Entry]])

    def pack(self, m: Beat) -> Any:
        return m.incarnation, m.count, m.told, m.upto, m.entries

    def shorter(self, m: Beat) -> None:
        """Always fits: `ENTRIES` bounds it."""

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> Beat:
        incarnation, count, told, upto, entries = self.decoder.decode(body)
        return Beat(BeatKind(kind), sender, incarnation, count, told, seq, upto, tuple(entries))


@dataclass
class Held:
    """What a machine holds of a node. `change` numbers its last change at this machine."""

    incarnation: int
    count: int
    alive: bool
    change: int
    heard: int  # when this machine itself heard it last; 0: it does not hear it

    @property
    def order(self) -> tuple[int, int, bool]:
        return self.incarnation, self.count, not self.alive


class Machine:
    """A control machine. Starts with all nodes known."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.name = f"control-{number}"
        self.address = (f"10.255.0.{number + 1}", CONTROL_PORT)
        self.endpoint = world.network.attach(self.address, number % REGIONS, self.receive)
        self.nodes: dict[str, Held] = {}
        self.log: dict[str, int] = {}  # nodes by their last change, oldest first
        self.change = 0
        self.own_log: dict[str, int] = {}  # those alone that this machine hears itself
        self.peers = {f"control-{i}": 0 for i in range(MACHINES) if i != number}  # told up to

    def learn(self, name: str, held: Held, own: bool) -> None:
        """Holds a claim, as the latest change."""
        self.change += 1
        held.change = self.change
        self.nodes[name] = held
        for log in (self.log, self.own_log) if own else (self.log,):
            log.pop(name, None)
            log[name] = self.change

    def since(self, log: dict[str, int], told: int, limit: int) -> list[str]:
        """The names of a log's changes after `told`, oldest first."""
        newest: list[str] = []
        for name in reversed(log):
            if log[name] <= told:
                break
            newest.append(name)
        return newest[::-1][:limit]

    def entry(self, name: str) -> Entry:
        held = self.nodes[name]
        return name, held.incarnation, held.count, held.alive

    def receive(self, source: Address, message: Beat) -> None:
        if message.kind == BeatKind.PEER:
            self.hear_peer(message)
            return
        held, now = self.nodes.get(message.sender), self.world.network.clock.now
        changed = held is None or not held.alive or held.incarnation != message.incarnation or not held.heard
        if changed:
            fresh = Held(message.incarnation, message.count, True, 0, now)
            self.learn(message.sender, fresh, own=True)
        elif held is not None:
            held.count, held.heard = message.count, now
        self.answer(source, message)

    def answer(self, source: Address, message: Beat) -> None:
        names = self.since(self.log, message.told, ENTRIES * DATAGRAMS)
        for first in range(0, max(1, len(names)), ENTRIES):
            some = names[first : first + ENTRIES]
            upto = self.log[some[-1]] if some else message.told
            entries = tuple(self.entry(n) for n in some)
            reply = Beat(BeatKind.CHANGES, self.name, 0, 0, message.told, message.count, upto, entries)
            self.world.network.send(self.address, source, reply)

    def hear_peer(self, message: Beat) -> None:
        self.peers[message.sender] = max(self.peers[message.sender], message.told)
        for name, incarnation, count, alive in message.entries:
            held = self.nodes.get(name)
            claim = Held(incarnation, count, alive, 0, 0)
            if held is None or claim.order > held.order:
                if held is not None and held.alive == alive and held.incarnation == incarnation:
                    held.count = count  # heard by another machine now
                    held.heard = 0
                else:
                    self.learn(name, claim, own=False)

    def tick(self, _: object) -> None:
        """Finds the dead among those it hears, and tells the other machines."""
        now = self.world.network.clock.now
        for name, held in list(self.nodes.items()):
            if held.alive and held.heard and now - held.heard > MISSED * PERIOD:
                self.learn(name, Held(held.incarnation, held.count, False, 0, 0), own=True)
        for peer, told in self.peers.items():
            names = self.since(self.own_log, told, ENTRIES * DATAGRAMS)
            for first in range(0, len(names), ENTRIES):
                some = names[first : first + ENTRIES]
                entries = tuple(self.entry(n) for n in some)
                message = Beat(BeatKind.PEER, self.name, 0, 0, 0, 0, self.own_log[some[-1]], entries)
                self.world.network.send(self.address, self.world.machine(peer).address, message)
            if names and self.reaches(peer):
                self.peers[peer] = self.own_log[names[-1]]
        self.world.network.clock.call_at(now + PERIOD, self.tick, None)

    def reaches(self, peer: str) -> bool:
        """Whether what was sent arrives: stands for an acknowledgement."""
        return self.world.network.connected(self.address, self.world.machine(peer).address)


class BeatNode:
    """A node: its machine, and which nodes it holds alive."""

    def __init__(self, world: World, number: int, incarnation: int, warm: bool) -> None:
        self.world = world
        self.number = number
        self.name = f"n{number}"
        self.address = (f"10.{number % 13}.{number >> 8}.{number & 255}", NODE_PORT)
        self.endpoint = world.network.attach(self.address, number % 13 % REGIONS, self.receive)
        self.incarnation = incarnation
        self.order = Random(number).sample(range(MACHINES), MACHINES)
        self.machine = 0  # its place in that order
        self.count = 0
        self.unanswered = 0
        self.told = world.machines[self.order[0]].change if warm else 0
        self.alive = bytearray(b"\1" if warm else b"\0") * world.size
        self.open = True
        first = world.network.clock.now + int(PERIOD * world.rng.random())
        world.network.clock.call_at(first, self.beat, None)

    def beat(self, _: object) -> None:
        if not self.open:
            return
        if self.unanswered >= MISSED:
            self.unanswered, self.told = 0, 0
            self.machine = (self.machine + 1) % MACHINES
        self.count += 1
        self.unanswered += 1
        message = Beat(BeatKind.BEAT, self.name, self.incarnation, self.count, self.told)
        network = self.world.network
        network.send(self.address, self.at().address, message)
        network.clock.call_at(network.clock.now + PERIOD, self.beat, None)

    def at(self) -> Machine:
        return self.world.machines[self.order[self.machine]]

    def receive(self, source: Address, message: Beat) -> None:
        if source != self.at().address:
            return
        self.unanswered = 0
        self.told = max(self.told, message.upto)
        for name, _, _, alive in message.entries:
            self.alive[int(name[1:])] = alive


class World:
    """Machines and nodes."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.size = size
        self.network = RegionalNetwork(seed, parts=[BeatWire()])
        self.rng = Random(seed + 1)
        self.machines = [Machine(self, i) for i in range(MACHINES)]
        self.by_name = {m.name: m for m in self.machines}
        now = self.network.clock.now
        for number in range(size):
            owner = Random(number).sample(range(MACHINES), MACHINES)[0]
            for i, machine in enumerate(self.machines):
                held = Held(1, 0, True, 0, now if i == owner else 0)
                machine.learn(f"n{number}", held, own=i == owner)
        for i, machine in enumerate(self.machines):
            for peer in machine.peers:
                machine.peers[peer] = machine.change
            self.network.clock.call_at(now + PERIOD * (i + 1) // MACHINES, machine.tick, None)
        self.nodes = {i: BeatNode(self, i, 1, warm=True) for i in range(size)}

    def machine(self, name: str) -> Machine:
        return self.by_name[name]

    def kill(self, number: int) -> None:
        node = self.nodes.pop(number)
        node.open = False
        self.network.detach(node.address)

    def all_hold(self, numbers: list[int], alive: bool) -> bool:
        return all(n.alive[i] == alive for n in self.nodes.values() for i in numbers)

    def wrong(self) -> int:
        """Living nodes that other living nodes hold dead, by pairs."""
        dead = [i for i in range(self.size) if i not in self.nodes]
        return sum(n.alive.count(0) - sum(not n.alive[i] for i in dead) for n in self.nodes.values())

    def recover(self, limit: int) -> Recovery:
        """Runs until no living node is held dead, and at most so many seconds."""
        traffic = [m.endpoint.traffic for m in self.machines]
        seconds = datagrams = size = 0
        while self.wrong() and seconds < limit:
            before = [(t.sent + t.received, t.bytes_out + t.bytes_in) for t in traffic]
            self.network.run(1)
            seconds += 1
            for t, (count, octets) in zip(traffic, before, strict=True):
                datagrams = max(datagrams, t.sent + t.received - count)
                size = max(size, t.bytes_out + t.bytes_in - octets)
        return Recovery(seconds, datagrams, size)


@dataclass
class Recovery:
    """How long it took, and a machine's datagrams and bytes, both ways, in its busiest second."""

    seconds: int
    datagrams: int
    bytes: int


@dataclass
class BeatFigures:
    """One size. Rates a second; machine: datagrams and bytes both ways."""

    size: int
    machine_datagrams: float
    machine_bytes: float
    machine_cpu_us: float
    node_bytes: float
    death_s: float
    alone_wrong: int
    alone_machines: int
    heal: Recovery
    storm: Recovery


def measure(size: int, seed: int = 1, reconnects: int = 250, alone_s: float = 60.0) -> BeatFigures:
    """Calm, a death, a region alone and back, a storm of cold nodes."""
    world = World(size, seed)
    world.network.run(5)
    calm = 10
    traffic = [m.endpoint.traffic for m in world.machines]
    before = [(t.sent + t.received, t.bytes_in + t.bytes_out) for t in traffic]
    cpu = sum(m.endpoint.cpu_ns for m in world.machines)
    node_bytes = sum(n.endpoint.traffic.bytes_out + n.endpoint.traffic.bytes_in for n in world.nodes.values())
    world.network.run(calm)
    datagrams = sum(t.sent + t.received - b[0] for t, b in zip(traffic, before, strict=True))
    machine_bytes = sum(t.bytes_in + t.bytes_out - b[1] for t, b in zip(traffic, before, strict=True))
    cpu = sum(m.endpoint.cpu_ns for m in world.machines) - cpu
    node_bytes = (
        sum(n.endpoint.traffic.bytes_out + n.endpoint.traffic.bytes_in for n in world.nodes.values())
        - node_bytes
    )
    world.kill(size - 1)
    death = world.network.until(lambda: world.all_hold([size - 1], False), 60)
    alone = REGIONS - 1
    world.network.isolate({alone})
    world.network.run(alone_s)
    wrong = world.wrong()
    of_region = [n for n in world.nodes.values() if n.endpoint.region == alone]
    machines = len({n.at().name for n in of_region if n.unanswered <= 1})
    world.network.heal()
    heal = world.recover(120)
    reborn = list(world.nodes)[: min(reconnects, size // 2)]
    for number in reborn:
        world.kill(number)
    world.network.run(10)
    for number in reborn:
        world.nodes[number] = BeatNode(world, number, 2, warm=False)
    storm = world.recover(120)
    per = calm * MACHINES
    return BeatFigures(
        size,
        datagrams / per,
        machine_bytes / per,
        cpu / 1000 / per,
        node_bytes / calm / size,
        death,
        wrong,
        machines,
        heal,
        storm,
    )


def main() -> None:
    """A line a size, as `python -m workbench.explore.heartbeats 100 200 400`."""
    for size in map(int, sys.argv[1:] or ["100", "200"]):
        f = measure(size)
        print(
            f"{f.size} nodes: machine {f.machine_datagrams:.0f} datagrams/s {f.machine_bytes:.0f} bytes/s"
            f" {f.machine_cpu_us:.0f} us/s of codec; node {f.node_bytes:.0f} bytes/s; death {f.death_s} s;"
            f" region alone: {f.alone_wrong} wrong pairs, {f.alone_machines} machines reached;"
            f" healed {recovery(f.heal)}; storm {recovery(f.storm)}",
            flush=True,
        )


def recovery(r: Recovery) -> str:
    return f"{r.seconds} s, at most {r.datagrams} datagrams/s {r.bytes} bytes/s"


if __name__ == "__main__":
    main()
