"""Processes of a fleet on a virtual network, with wall clocks that can be stepped.

Each process has a membership, a codec and a replay guard. There are also processes of the earlier version,
which has no replay guard.
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
EPOCH = 1_700_000_000 * SEC  # Unix time of a correct wall clock at the start of the monotonic clock.
MEAN_DATAGRAM_DELAY_US = 2_000
EARLIER_MAX_CLOCK_DIFFERENCE = 30 * SEC
EARLIER_WINDOW_SIZE = 64
CLOCK_STEPS = (-HOUR, -5 * SEC, 5 * SEC, HOUR)
N1_ADDRESS = ("10.0.0.1", 1)
ATTACKER = ("10.9.9.9", 9)


@dataclass(frozen=True)
class RecordedDatagram:
    """A datagram that was sent, with the virtual time of its transmission."""

    sent_at: int
    source: Address
    to: Address
    data: bytes


@dataclass(frozen=True)
class Arrival:
    """A datagram in transit."""

    source: Address
    to: Address
    data: bytes


@dataclass(frozen=True)
class Admitted:
    """The messages that may be processed, each with its source, and a reply to the datagram's source."""

    messages: Sequence[tuple[Address, AnyMessage]] = ()
    reply: Message | None = None


class Process:
    """A process of a member, with the offset of its wall clock and a number that is unique to the process."""

    def __init__(self, net: VirtualFleet, name: str, address: Address, offset: int, number: int) -> None:
        self.net = net
        self.name = name
        self.address = address
        self.offset = offset
        self.rng = Random(f"{name} {number}")
        self.codec = Codec([KEY])
        self.started_at = net.now
        self.started_at_wall = self.wall()
        self.changes: list[tuple[MembershipChange, str]] = []
        self.swim = self.make_swim()
        self.guard = ReplayGuard(name, self.rng.getrandbits(60), self.codec.dropped)

    def make_swim(self) -> Swim:
        """Return the membership of a process that starts now."""
        return Swim(
            self.name,
            self.address,
            self.started_at_wall,
            self.net.seeds,
            self.rng,
            self.net.now,
            publish=self.on_change,
            first_seq=self.rng.getrandbits(60),
        )

    def wall(self) -> int:
        """Return the time of the wall clock, which a test may have stepped."""
        return EPOCH + self.net.now + self.offset

    def stamp(self) -> int:
        """Return the stamp of a message: the wall clock's time at the start plus the monotonic time since."""
        return self.started_at_wall + self.net.now - self.started_at

    def on_change(self, change: MembershipChange, claim: Claim) -> None:
        """Record a change of the view; a forgotten member is also removed from the replay guard."""
        self.changes.append((change, claim.name))
        if change == MembershipChange.FORGOTTEN:
            self.guard.forget(claim.name)

    def encode(self, message: AnyMessage) -> bytes:
        """Return the datagram of a message, with a stamp of now."""
        if message.kind == Kind.PING:
            self.guard.record_ping(self.net.now, message.seq)
        return self.codec.encode(message, self.stamp())

    def admit(self, source: Address, data: bytes) -> Admitted:
        """Return the messages that the replay guard admits when a datagram arrives now."""
        stamped = self.codec.read(data)
        if stamped is None:
            return Admitted()
        received = ReceivedDatagram(source, stamped.stamp, stamped.message, len(data))
        admission = self.guard.admit(self.net.now, received)
        return Admitted([(r.source, r.message) for r in admission.accepted], admission.reply)


class EarlierSwim(Swim):
    """The membership of the earlier version: a member raises its incarnation only when it is accused."""

    def refute(self, claim: Claim) -> None:
        if claim.status != Status.ALIVE and claim.incarnation >= self.local_claim.incarnation:
            self.local_claim = Claim(
                self.local_claim.name, self.local_claim.address, Status.ALIVE, claim.incarnation + 1
            )

    def report_newer_incarnation(self, source: Address, message: AnyMessage) -> list[OutgoingMessage]:
        return []


class EarlierProcess(Process):
    """A process of the earlier version: stamps are Unix time, rejected if over 30 s off its own clock."""

    def __init__(self, net: VirtualFleet, name: str, address: Address, offset: int, number: int) -> None:
        self.seen: dict[str, list[int]] = {}
        super().__init__(net, name, address, offset, number)

    def make_swim(self) -> Swim:
        return EarlierSwim(
            self.name,
            self.address,
            self.wall(),
            self.net.seeds,
            self.rng,
            self.net.now,
            publish=self.on_change,
        )

    def stamp(self) -> int:
        return self.wall()

    def encode(self, message: AnyMessage) -> bytes:
        return self.codec.encode(message, self.stamp())

    def admit(self, source: Address, data: bytes) -> Admitted:
        stamped = self.codec.read(data)
        if stamped is None:
            return Admitted()
        if abs(stamped.stamp - self.wall()) > EARLIER_MAX_CLOCK_DIFFERENCE:
            self.codec.dropped["clock"] += 1
            return Admitted()
        return Admitted([(source, stamped.message)]) if self.is_new(stamped) else Admitted()

    def is_new(self, stamped: StampedMessage) -> bool:
        """Record a stamp and return whether it is in its sender's window and was not seen before."""
        seen = self.seen.setdefault(stamped.message.sender, [])
        if stamped.stamp in seen or (len(seen) >= EARLIER_WINDOW_SIZE and stamped.stamp < seen[0]):
            return False
        seen.append(stamped.stamp)
        seen.sort()
        del seen[:-EARLIER_WINDOW_SIZE]
        return True


class VirtualFleet:
    """The processes of a fleet, the network between them and a record of all datagrams."""

    def __init__(self, *kinds: type[Process]) -> None:
        """Start a process of each kind, named n1, n2, ..., of which the first two are seeds."""
        self.clock = HeapClock(SEC)
        self.rng = Random(7)
        self.processes: dict[Address, Process] = {}
        self.started = 0  # Number of processes started so far.
        self.recorded: list[RecordedDatagram] = []
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
        self.recorded.append(RecordedDatagram(self.now, process.address, to, data))
        at = self.now + int(MEAN_DATAGRAM_DELAY_US * (0.5 + self.rng.random()))
        self.clock.call_at(at, self.on_arrival, Arrival(process.address, to, data))

    def on_arrival(self, arrival: Arrival) -> None:
        self.arrive(arrival)

    def arrive(self, arrival: Arrival) -> int:
        """Deliver a datagram and return how many messages are processed at once."""
        process = self.processes.get(arrival.to)
        if process is None:
            return 0
        admitted = process.admit(arrival.source, arrival.data)
        if admitted.reply is not None:
            self.transmit(process, admitted.reply, arrival.source)
        for origin, message in admitted.messages:
            self.send(process, process.swim.receive(self.now, origin, message))
        return len(admitted.messages)

    def replay(self, to: Address, recorded: Iterable[RecordedDatagram], source: Address | None = None) -> int:
        """Replay datagrams from their own or another source and return how many messages are processed."""
        return sum(
            self.arrive(Arrival(source or datagram.source, to, datagram.data)) for datagram in recorded
        )

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.clock.run(self.now + int(seconds * SEC))

    def until(self, condition: Callable[[], bool], limit: float) -> bool:
        """Run until a condition holds and return whether it does within `limit` seconds."""
        end = self.now + int(limit * SEC)
        while not condition() and self.now < end:
            self.run(0.05)
        return condition()

    def complete(self) -> bool:
        """Return whether every process considers all others alive in their current incarnations."""
        return all(self.accepted_by_all(p) for p in self.processes.values())

    def accepted_by_all(self, process: Process) -> bool:
        """Return whether all other processes consider this one alive in its current incarnation."""
        others = (o for o in self.processes.values() if o is not process)
        expected = replace(process.swim.local_claim, status=Status.ALIVE)
        return all(
            (m := o.swim.members.get(process.name)) is not None and m.claim == expected for o in others
        )


def view(process: Process) -> dict[str, Claim]:
    """Return the claims about the others that a process has accepted."""
    return {name: member.claim for name, member in process.swim.members.items()}


NEW, EARLIER = Process, EarlierProcess


def settled_fleet(*kinds: type[Process]) -> VirtualFleet:
    """Return a fleet whose members all know and have verified one another."""
    fleet = VirtualFleet(*kinds)
    assert fleet.until(fleet.complete, 20)
    fleet.run(20)
    return fleet


def changes_since(fleet: VirtualFleet, counts: dict[str, int]) -> list[tuple[MembershipChange, str]]:
    """Return the changes of all views that came after these counts."""
    return [c for p in fleet.processes.values() for c in p.changes[counts[p.name] :]]


def change_counts(fleet: VirtualFleet) -> dict[str, int]:
    """Return the number of changes of each process's view so far."""
    return {p.name: len(p.changes) for p in fleet.processes.values()}
