"""Processes of the fleet on a virtual network: membership behind codec and replay guard, each with a wall
clock of its own that may be stepped; and processes of the version before the guard."""

from dataclasses import replace
from random import Random

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.replay_guard import Received, ReplayGuard
from balancer.fleet.membership.swim import Claim, Kind, Status, Swim
from workbench.simulator.heap import HeapClock

SEC = 1_000_000
HOUR = 3600 * SEC
KEY = b"a key for the virtual fleet"
EPOCH = 1_700_000_000 * SEC  # Unix time of a right wall clock as the monotonic clock begins
DELAY = 2_000
EARLIER_SLACK = 30 * SEC
EARLIER_WINDOW = 64
STEPS = (-HOUR, -5 * SEC, 5 * SEC, HOUR)  # of a wall clock
HERE = ("10.0.0.1", 1)
ATTACKER = ("10.9.9.9", 9)


class Process:
    """One life of a member."""

    def __init__(self, net, name, address, offset, life):
        self.net, self.name, self.address = net, name, address
        self.offset = offset  # of the wall clock
        self.rng = Random(f"{name} {life}")
        self.codec = Codec([KEY])
        self.opened = net.now
        self.opened_wall = self.wall()
        self.changes = []
        self.swim = self.make_swim()
        self.guard = ReplayGuard(name, self.rng.getrandbits(60), self.codec.dropped)

    def make_swim(self):
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

    def wall(self):
        return EPOCH + self.net.now + self.offset

    def stamp(self):
        return self.opened_wall + self.net.now - self.opened

    def changed(self, change, claim):
        self.changes.append((change, claim.name))
        if change == "forgotten":
            self.guard.forget(claim.name)

    def encode(self, message):
        if message.kind == Kind.PING:
            self.guard.ping_sent(self.net.now, message.seq)
        return self.codec.encode(message, self.stamp())

    def admit(self, source, data):
        """Messages that may be acted upon, with their sources, and an answer to this source."""
        found = self.codec.read(data)
        if found is None:
            return [], None
        admission = self.guard.admit(self.net.now, Received(source, found.stamp, found.message, len(data)))
        return [(r.source, r.message) for r in admission.accepted], admission.reply


class EarlierSwim(Swim):
    """Membership as it was in the version before: it raises its incarnation only when it is accused."""

    def refute(self, claim):
        if claim.status != Status.ALIVE and claim.incarnation >= self.me.incarnation:
            self.me = Claim(self.me.name, self.me.address, Status.ALIVE, claim.incarnation + 1)

    def report_newer_incarnation(self, source, message):
        return []


class EarlierProcess(Process):
    """Of the version before: stamps are Unix time, and what is over 30 s off its own is refused."""

    def __init__(self, *args):
        self.seen = {}
        super().__init__(*args)

    def make_swim(self):
        return EarlierSwim(
            self.name, self.address, self.wall(), self.net.seeds, self.rng, self.net.now, publish=self.changed
        )

    def stamp(self):
        return self.wall()

    def encode(self, message):
        return self.codec.encode(message, self.stamp())

    def admit(self, source, data):
        found = self.codec.read(data)
        if found is None:
            return [], None
        stamp, message = found.stamp, found.message
        if abs(stamp - self.wall()) > EARLIER_SLACK:
            self.codec.dropped["clock"] += 1
            return [], None
        seen = self.seen.setdefault(message.sender, [])
        if stamp in seen or (len(seen) >= EARLIER_WINDOW and stamp < seen[0]):
            return [], None
        seen.append(stamp)
        seen.sort()
        del seen[:-EARLIER_WINDOW]
        return [(source, message)], None


class VirtualFleet:
    """The processes, their datagrams, and a record of all of these."""

    def __init__(self, *kinds):
        """A process of each kind starts, named n1, n2, ... The first two are seeds."""
        self.clock = HeapClock(SEC)
        self.rng = Random(7)
        self.processes = {}
        self.lives = 0
        self.recorded = []  # time, source, receiver's address, bytes
        self.seeds = [("10.0.0.1", 1), ("10.0.0.1", 2)]
        for i, kind in enumerate(kinds):
            self.start(i + 1, kind)

    @property
    def now(self):
        return self.clock.now

    def start(self, number, kind=Process, offset=0):
        self.lives += 1
        address = ("10.0.0.1", number)
        process = self.processes[address] = kind(self, f"n{number}", address, offset, self.lives)
        self.clock.call_at(process.swim.due(), self.on_timer, process)
        return process

    def kill(self, number):
        return self.processes.pop(("10.0.0.1", number))

    def on_timer(self, process):
        if self.processes.get(process.address) is process:
            self.send(process, process.swim.tick(self.now))
            self.clock.call_at(max(self.now + 1, process.swim.due()), self.on_timer, process)

    def send(self, process, sends):
        for send in sends:
            self.transmit(process, send.message, send.to)

    def transmit(self, process, message, to):
        data = process.encode(message)
        self.recorded.append((self.now, process.address, to, data))
        at = self.now + int(DELAY * (0.5 + self.rng.random()))
        self.clock.call_at(at, self.arrive, (process.address, to, data))

    def arrive(self, what):
        source, to, data = what
        process = self.processes.get(to)
        if process is None:
            return 0
        messages, answer = process.admit(source, data)
        if answer is not None:
            self.transmit(process, answer, source)
        for origin, message in messages:
            self.send(process, process.swim.receive(self.now, origin, message))
        return len(messages)

    def replay(self, to, recorded, source=None):
        """Recorded datagrams arrive at an address, from where they came or from another place; how many are
        taken at once."""
        return sum(self.arrive((source or found[1], to, found[3])) for found in recorded)

    def run(self, seconds):
        self.clock.run(self.now + int(seconds * SEC))

    def until(self, holds, limit):
        """Whether a condition comes to hold within so many seconds."""
        end = self.now + int(limit * SEC)
        while not holds() and self.now < end:
            self.run(0.05)
        return holds()

    def complete(self):
        """Whether all hold all others alive, in their present lives."""
        return all(self.believed(p) for p in self.processes.values())

    def believed(self, process):
        """Whether all others hold this process alive, in its present life."""
        others = (o for o in self.processes.values() if o is not process)
        mine = replace(process.swim.me, status=Status.ALIVE)
        return all((m := o.swim.members.get(process.name)) is not None and m.claim == mine for o in others)


def view(process):
    """What a process holds of the others."""
    return {name: member.claim for name, member in process.swim.members.items()}


NEW, EARLIER = Process, EarlierProcess


def settled(*kinds):
    """A fleet whose members know one another, and have all proven themselves."""
    fleet = VirtualFleet(*kinds)
    assert fleet.until(fleet.complete, 20)
    fleet.run(20)
    return fleet


def changes_since(fleet, count):
    return [c for p in fleet.processes.values() for c in p.changes[count[p.name] :]]


def changes_so_far(fleet):
    return {p.name: len(p.changes) for p in fleet.processes.values()}
