"""Processes of a fleet on a virtual network, with wall clocks that can be stepped.

Each process has membership, codec and replay guard; there are processes of the version before the guard too.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from random import Random

from balancer.fleet.membership.changes import MembershipChange
from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.codec import Codec, StampedMessage
from balancer.fleet.membership.messages import AnyMessage, Message, OutgoingMessage
from balancer.fleet.membership.replay_guard import ReceivedDatagram, ReplayGuard
from balancer.fleet.membership.swim import Claim, Kind, Status, Swim
from workbench.simulator.heap import HeapClock

SEC = 1_000_000
HOUR = 3600 * SEC
KEY = b"a key for the virtual fleet"
EPOCH = 1_700_000_000 * SEC  # Unix time of a right wall clock as the monotonic clock begins
MEAN_DELAY_US = 2_000  # of a datagram
EARLIER_SLACK = 30 * SEC
EARLIER_WINDOW = 64
STEPS = (-HOUR, -5 * SEC, 5 * SEC, HOUR)  # of a wall clock
HERE = ("10.0.0.1", 1)
ATTACKER = ("10.9.9.9", 9)


@dataclass(frozen=True)
class Recorded:
    """A datagram that was sent, with the virtual time of its transmission."""

    sent_at: int
    source: Address
    to: Address
    data: bytes


@dataclass(frozen=True)
class Arrival:
    """A datagram on its way."""

    source: Address
    to: Address
    data: bytes


@dataclass(frozen=True)
class Admitted:
    """The messages that may be processed, each with its source, and a reply to the datagram's source."""

    messages: Sequence[tuple[Address, AnyMessage]] = ()
    reply: Message | None = None


class Process:
    """One process of a member; `offset` is that of its wall clock, `number` unique to it."""

    def __init__(self, net: VirtualFleet, name: str, address: Address, offset: int, number: int) -> None:
        self.net = net
        self.name = name
        self.address = address
        self.offset = offset
        self.rng = Random(f"{name} {number}")
        self.codec = Codec([KEY])
        self.opened = net.now
        self.opened_wall = self.wall()
        self.changes: list[tuple[MembershipChange, str]] = []
        self.swim = self.make_swim()
        self.guard = ReplayGuard(name, self.rng.getrandbits(60), self.codec.dropped)

    def make_swim(self) -> Swim:
        return Swim(
            self.name,
            self.address,
            self.opened_wall,
            self.net.seeds,
            self.rng,
            self.net.now,
            publish=self.changed,
            first_seq=self.rng.getrandbits(60),
        )

    def wall(self) -> int:
        return EPOCH + self.net.now + self.offset

    def stamp(self) -> int:
        return self.opened_wall + self.net.now - self.opened

    def changed(self, change: MembershipChange, claim: Claim) -> None:
        self.changes.append((change, claim.name))
        if change == MembershipChange.FORGOTTEN:
            self.guard.forget(claim.name)

    def encode(self, message: AnyMessage) -> bytes:
        if message.kind == Kind.PING:
            self.guard.record_ping(self.net.now, message.seq)
        return self.codec.encode(message, self.stamp())

    def admit(self, source: Address, data: bytes) -> Admitted:
        """Judges a datagram that arrives now."""
        stamped = self.codec.read(data)
        if stamped is None:
            return Admitted()
        received = ReceivedDatagram(source, stamped.stamp, stamped.message, len(data))
        admission = self.guard.admit(self.net.now, received)
        return Admitted([(r.source, r.message) for r in admission.accepted], admission.reply)


class EarlierSwim(Swim):
    """Membership of the version before: a member raises its incarnation only when it is accused."""

    def refute(self, claim: Claim) -> None:
        if claim.status != Status.ALIVE and claim.incarnation >= self.local_claim.incarnation:
            self.local_claim = Claim(
                self.local_claim.name, self.local_claim.address, Status.ALIVE, claim.incarnation + 1
            )

    def report_newer_incarnation(self, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        return []


class EarlierProcess(Process):
    """A process of the version before: stamps are Unix time, and those over 30 s off its own are rejected."""

    def __init__(self, net: VirtualFleet, name: str, address: Address, offset: int, number: int) -> None:
        self.seen: dict[str, list[int]] = {}
        super().__init__(net, name, address, offset, number)

    def make_swim(self) -> Swim:
        return EarlierSwim(
            self.name, self.address, self.wall(), self.net.seeds, self.rng, self.net.now, publish=self.changed
        )

    def stamp(self) -> int:
        return self.wall()

    def encode(self, message: AnyMessage) -> bytes:
        return self.codec.encode(message, self.stamp())

    def admit(self, source: Address, data: bytes) -> Admitted:
        stamped = self.codec.read(data)
        if stamped is None:
            return Admitted()
        if abs(stamped.stamp - self.wall()) > EARLIER_SLACK:
            self.codec.dropped["clock"] += 1
            return Admitted()
        return Admitted([(source, stamped.message)]) if self.is_new(stamped) else Admitted()

    def is_new(self, stamped: StampedMessage) -> bool:
        """Records a stamp; returns whether it is in its sender's window and was not seen before."""
        seen = self.seen.setdefault(stamped.message.sender, [])
        if stamped.stamp in seen or (len(seen) >= EARLIER_WINDOW and stamped.stamp < seen[0]):
            return False
        seen.append(stamped.stamp)
        seen.sort()
        del seen[:-EARLIER_WINDOW]
        return True


class VirtualFleet:
    """The processes, their datagrams, and a record of all of these."""

    def __init__(self, *kinds: type[Process]) -> None:
        """A process of each kind starts, named n1, n2, ... The first two are seeds."""
        self.clock = HeapClock(SEC)
        self.rng = Random(7)
        self.processes: dict[Address, Process] = {}
        self.started = 0  # processes so far
        self.recorded: list[Recorded] = []
        self.seeds = [("10.0.0.1", 1), ("10.0.0.1", 2)]
        for i, kind in enumerate(kinds):
            self.start(i + 1, kind)

    @property
    def now(self) -> int:
        return self.clock.now

    def start(self, number: int, kind: type[Process] = Process, offset: int = 0) -> Process:
        self.started += 1
        address = ("10.0.0.1", number)
        process = self.processes[address] = kind(self, f"n{number}", address, offset, self.started)
        self.clock.call_at(process.swim.due(), self.on_timer, process)
        return process

    def kill(self, number: int) -> Process:
        return self.processes.pop(("10.0.0.1", number))

    def on_timer(self, process: Process) -> None:
        if self.processes.get(process.address) is process:
            self.send(process, process.swim.tick(self.now))
            self.clock.call_at(max(self.now + 1, process.swim.due()), self.on_timer, process)

    def send(self, process: Process, outgoing: Iterable[OutgoingMessage]) -> None:
        for sent in outgoing:
            self.transmit(process, sent.message, sent.to)

    def transmit(self, process: Process, message: AnyMessage, to: Address) -> None:
        data = process.encode(message)
        self.recorded.append(Recorded(self.now, process.address, to, data))
        at = self.now + int(MEAN_DELAY_US * (0.5 + self.rng.random()))
        self.clock.call_at(at, self.on_arrival, Arrival(process.address, to, data))

    def on_arrival(self, arrival: Arrival) -> None:
        self.arrive(arrival)

    def arrive(self, arrival: Arrival) -> int:
        """Delivers a datagram; returns how many messages are processed at once."""
        process = self.processes.get(arrival.to)
        if process is None:
            return 0
        admitted = process.admit(arrival.source, arrival.data)
        if admitted.reply is not None:
            self.transmit(process, admitted.reply, arrival.source)
        for origin, message in admitted.messages:
            self.send(process, process.swim.receive(self.now, origin, message))
        return len(admitted.messages)

    def replay(self, to: Address, recorded: Iterable[Recorded], source: Address | None = None) -> int:
        """Delivers recorded datagrams from their own or another source; returns how many are processed."""
        return sum(self.arrive(Arrival(source or found.source, to, found.data)) for found in recorded)

    def run(self, seconds: float) -> None:
        self.clock.run(self.now + int(seconds * SEC))

    def until(self, condition: Callable[[], bool], limit: float) -> bool:
        """Runs until a condition holds; returns whether it does within so many seconds."""
        end = self.now + int(limit * SEC)
        while not condition() and self.now < end:
            self.run(0.05)
        return condition()

    def complete(self) -> bool:
        """Returns whether all consider all others alive, in their present incarnations."""
        return all(self.accepted_by_all(p) for p in self.processes.values())

    def accepted_by_all(self, process: Process) -> bool:
        """Returns whether all others consider this process alive, in its present incarnation."""
        others = (o for o in self.processes.values() if o is not process)
        mine = replace(process.swim.local_claim, status=Status.ALIVE)
        return all((m := o.swim.members.get(process.name)) is not None and m.claim == mine for o in others)


def view(process: Process) -> dict[str, Claim]:
    """Returns the claims that a process has accepted about the others."""
    return {name: member.claim for name, member in process.swim.members.items()}


NEW, EARLIER = Process, EarlierProcess


def settled(*kinds: type[Process]) -> VirtualFleet:
    """Returns a fleet whose members know one another and have all proven themselves."""
    fleet = VirtualFleet(*kinds)
    assert fleet.until(fleet.complete, 20)
    fleet.run(20)
    return fleet


def changes_since(fleet: VirtualFleet, counts: dict[str, int]) -> list[tuple[MembershipChange, str]]:
    """Returns the changes of all views beyond these numbers."""
    return [c for p in fleet.processes.values() for c in p.changes[counts[p.name] :]]


def changes_so_far(fleet: VirtualFleet) -> dict[str, int]:
    """Returns the number of changes of each process's view."""
    return {p.name: len(p.changes) for p in fleet.processes.values()}
