"""Cost of one flat membership group by its size, on the virtual network.

    python -m workbench.scale.membership SCENARIO SIZES... [--seed N]...

Single process, simulated time, fixed seeds. Every datagram is encoded and decoded by the fleet's own codec.
The processor time is that of the state machine and of the codec, measured around each call, without the
simulator's own.

Scenarios:

* `calm`: all members know each other and no update is being disseminated; then one of them dies.
* `backlog`: all members know each other and each still disseminates updates about all others.
* `news`: in a calm group one member takes a new incarnation, as after a quick restart; until all know it.
* `news_busy`: the same while each member still disseminates updates about all others.
* `join`: all members start at once and know the three seeds.
* `batch`: in a calm group one member in thirteen dies at one instant, as with a zone, and starts again
  without knowledge 60 s after the last survivor knew of it.
* `region`: in a calm group one member in five is partitioned from the others for 150 s, longer than dead
  members are remembered.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from time import process_time_ns

import click
import msgspec

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Address, Claim, OutgoingMessage, Status, Swim
from workbench.explore.virtual_network import GROUP_KEY, VirtualNetwork, Waited
from workbench.simulator.heap import HeapClock

WARM_UP_S = 5.0
CALM_S = 20.0  # window in which rates are measured
DEATH_LIMIT_S = 180.0
JOIN_LIMIT_S = 400.0
PARTITION_S = 150.0
RETURN_AFTER_S = 60.0
ZONES = 13
REGIONS = 5
BACKLOG_S = 20.0
POLL_INTERVAL_S = 0.25  # between two evaluations of a condition
START = 1_000_000  # microseconds
HOST = "10.0.0.1"
SEEDS = 3


@dataclass
class Spent:
    """Processor nanoseconds by call, and traffic, since the last reset."""

    tick: int = 0
    receive: int = 0
    encode: int = 0
    decode: int = 0
    datagrams: int = 0
    bytes: int = 0


def seeds_of(count: int) -> list[Address]:
    """Returns the members that all others contact first."""
    return [(HOST, i + 1) for i in range(min(SEEDS, count))]


def stop_dissemination(swim: Swim) -> None:
    """Drops all updates and accusations that a member still passes on, as long after the last change."""
    for queue in (swim.updates, swim.accusations):
        for name in list(queue.transmissions):
            queue.remove(name)


class MeteredNetwork:
    """Members on one virtual clock, with processor time counted by component; no datagram is lost."""

    def __init__(self, count: int, seed: int) -> None:
        self.clock = HeapClock(START)
        self.rng = Random(seed)  # the network's, and of the members' seeds
        self.network: VirtualNetwork[Address, bytes] = VirtualNetwork(self.clock, self.rng)
        self.spent = Spent()
        self.wire = Codec([GROUP_KEY])
        self.readers: dict[Address, Codec] = {}  # each member keeps its own window against replays
        self.members: dict[Address, Swim] = {}
        for i in range(count):
            self.add((HOST, i + 1), seeds_of(count))

    def add(self, address: Address, seeds: list[Address], incarnation: int = 1) -> None:
        """Starts a member."""
        swim = Swim(f"n{address[1]}", address, incarnation, seeds, Random(self.rng.random()), self.clock.now)
        self.readers[address] = Codec([GROUP_KEY])
        self.members[address] = swim
        self.network.attach(address, partial(self.arrive, address))
        self.clock.call_at(swim.due(), self.on_timer, (address, swim))

    def kill(self, address: Address) -> str:
        """Ends a member without a message; returns its name."""
        self.network.detach(address)
        return self.members.pop(address).local_claim.name

    def run(self, seconds: float) -> None:
        """Handles all events of the next seconds."""
        self.network.run(seconds)

    def until(self, condition: Callable[[], bool], limit: float) -> Waited:
        """Runs until a condition holds, up to a limit in seconds."""
        return self.network.run_until(condition, limit, POLL_INTERVAL_S)

    def on_timer(self, what: tuple[Address, Swim]) -> None:
        """Runs a member's timer, and schedules the next."""
        address, swim = what
        if self.members.get(address) is not swim:
            return
        begun = process_time_ns()
        sends = swim.tick(self.clock.now)
        due = swim.due()
        self.spent.tick += process_time_ns() - begun
        self.transmit(address, sends)
        self.clock.call_at(max(self.clock.now + 1, due), self.on_timer, what)

    def transmit(self, source: Address, sends: list[OutgoingMessage]) -> None:
        """Datagrams go out, each with a delay of its own."""
        for send in sends:
            begun = process_time_ns()
            data = self.wire.encode(send.message, self.clock.now)
            self.spent.encode += process_time_ns() - begun
            self.spent.datagrams += 1
            self.spent.bytes += len(data)
            self.network.send(source, send.to, data)

    def arrive(self, to: Address, source: Address, data: bytes) -> None:
        """A datagram comes in."""
        swim = self.members[to]
        reader = self.readers[to]
        begun = process_time_ns()
        message = reader.decode(data, self.clock.now)
        self.spent.decode += process_time_ns() - begun
        if message is None:
            raise RuntimeError(f"the codec refused a datagram of its own: {dict(reader.dropped)}")
        begun = process_time_ns()
        sends = swim.receive(self.clock.now, source, message)
        self.spent.receive += process_time_ns() - begun
        self.transmit(to, sends)

    def introduce_all(self, disseminate: bool = False) -> None:
        """Makes every member known to every other; `disseminate`: by updates that they still pass on."""
        claims = [s.local_claim for s in self.members.values()]
        for swim in self.members.values():
            for claim in claims:
                swim.accept(self.clock.now, claim)
            if not disseminate:
                stop_dissemination(swim)

    def measure(self, seconds: float) -> Spent:
        """What the whole group spends in a window of simulated time."""
        self.spent = Spent()
        self.run(seconds)
        return self.spent

    def knows_gone(self, names: set[str]) -> bool:
        """Returns whether no live member has any of these members as alive or suspect."""
        return all(
            not any(s.status(name) in (Status.ALIVE, Status.SUSPECT) for name in names)
            for s in self.members.values()
        )

    def complete(self) -> bool:
        """Returns whether every member has exactly the others as alive or suspect."""
        wanted = len(self.members) - 1
        return all(len(s.alive()) == wanted for s in self.members.values())


@dataclass(frozen=True)
class Row:
    """One measured value; `limit`: the condition had not come true by then, so the value is a lower bound."""

    name: str
    size: int
    seed: int
    value: float
    limit: bool = False


def rates(prefix: str, net: MeteredNetwork, size: int, seed: int, seconds: float) -> list[Row]:
    """Processor time, datagrams and bytes a member and second."""
    spent = net.measure(seconds)
    scale = size * seconds
    total = spent.tick + spent.receive + spent.encode + spent.decode
    values = {
        "cpu_us": total / 1000 / scale,
        "tick_us": spent.tick / 1000 / scale,
        "receive_us": spent.receive / 1000 / scale,
        "codec_us": (spent.encode + spent.decode) / 1000 / scale,
        "datagrams": spent.datagrams / scale,
        "bytes": spent.bytes / scale,
        "codec_us_a_datagram": (spent.encode + spent.decode) / 1000 / spent.datagrams,
    }
    return [Row(f"{prefix}.{name}", size, seed, value) for name, value in values.items()]


def timed(
    name: str, net: MeteredNetwork, size: int, seed: int, condition: Callable[[], bool], limit: float
) -> Row:
    """Measures the seconds until a condition holds."""
    waited = net.until(condition, limit)
    return Row(name, size, seed, waited.seconds, limit=not waited.holds)


def calm(size: int, seed: int) -> list[Row]:
    """Measures rates without updates, then the time until all know of a death."""
    net = MeteredNetwork(size, seed)
    net.introduce_all()
    net.run(WARM_UP_S)
    rows = rates("membership.calm", net, size, seed, CALM_S)
    gone = {net.kill((HOST, size))}
    rows.append(timed("membership.death_s", net, size, seed, lambda: net.knows_gone(gone), DEATH_LIMIT_S))
    return rows


def backlog(size: int, seed: int) -> list[Row]:
    """Measures rates while each member disseminates updates about all others, as after a joint start."""
    net = MeteredNetwork(size, seed)
    net.introduce_all(disseminate=True)
    net.run(WARM_UP_S)
    return rates("membership.backlog", net, size, seed, BACKLOG_S)


def dissemination_time(name: str, size: int, seed: int, busy: bool) -> list[Row]:
    """Measures the seconds until all know a member's new incarnation, which at first one other knows."""
    net = MeteredNetwork(size, seed)
    net.introduce_all(disseminate=busy)
    net.run(WARM_UP_S)
    changed = net.members[(HOST, size)]
    first = net.members[(HOST, 1)]
    claim = Claim(
        changed.local_claim.name,
        changed.local_claim.address,
        Status.ALIVE,
        changed.local_claim.incarnation + 1,
    )
    changed.local_claim = claim
    first.accept(net.clock.now, claim)

    def all_know() -> bool:
        others = [s for s in net.members.values() if s is not changed]
        return all(s.members[claim.name].claim.incarnation == claim.incarnation for s in others)

    return [timed(name, net, size, seed, all_know, JOIN_LIMIT_S)]


def news(size: int, seed: int) -> list[Row]:
    """Measures one change in a calm group."""
    return dissemination_time("membership.news_s", size, seed, busy=False)


def news_busy(size: int, seed: int) -> list[Row]:
    """Measures one change while the group disseminates updates about all its members."""
    return dissemination_time("membership.news_busy_s", size, seed, busy=True)


def join(size: int, seed: int) -> list[Row]:
    """Time until a group that starts at once knows itself."""
    net = MeteredNetwork(size, seed)
    return [timed("membership.join_s", net, size, seed, net.complete, JOIN_LIMIT_S)]


def restarted(net: MeteredNetwork, addresses: list[Address]) -> None:
    """Members come back cold, each with a higher incarnation, knowing the seeds alone."""
    for address in addresses:
        net.add(address, seeds_of(SEEDS), incarnation=2)


def batch(size: int, seed: int) -> list[Row]:
    """A thirteenth of the group dies at one instant and comes back cold."""
    net = MeteredNetwork(size, seed)
    net.introduce_all()
    net.run(WARM_UP_S)
    count = max(1, size // ZONES)
    lost = [(HOST, size - i) for i in range(count)]
    gone = {net.kill(address) for address in lost}
    rows = [
        timed("membership.zone_lost_s", net, size, seed, lambda: net.knows_gone(gone), DEATH_LIMIT_S),
    ]
    net.run(RETURN_AFTER_S)
    restarted(net, lost)
    rows.append(timed("membership.zone_back_s", net, size, seed, net.complete, JOIN_LIMIT_S))
    return rows


def region(size: int, seed: int) -> list[Row]:
    """A fifth of the group is cut off until both sides have forgotten each other, then the cut heals."""
    net = MeteredNetwork(size, seed)
    net.introduce_all()
    net.run(WARM_UP_S)
    # Members with the highest numbers: the seeds stay on the larger side.
    net.network.partition((HOST, size - i) for i in range(max(1, size // REGIONS)))
    net.run(PARTITION_S)
    net.network.heal()
    return [timed("membership.region_back_s", net, size, seed, net.complete, JOIN_LIMIT_S)]


SCENARIOS: dict[str, Callable[[int, int], list[Row]]] = {
    "calm": calm,
    "backlog": backlog,
    "news": news,
    "news_busy": news_busy,
    "join": join,
    "batch": batch,
    "region": region,
}


@click.command()
@click.argument("scenario", type=click.Choice(list(SCENARIOS)))
@click.argument("sizes", type=click.IntRange(4, 5000), nargs=-1, required=True)
@click.option("--seed", "seeds", type=click.IntRange(0), multiple=True, default=(1,), show_default=True)
def main(scenario: str, sizes: tuple[int, ...], seeds: tuple[int, ...]) -> None:
    """Run SCENARIO at each of SIZES members and print a JSON line for each value."""
    for size in sizes:
        for seed in seeds:
            for row in SCENARIOS[scenario](size, seed):
                click.echo(msgspec.json.encode(row).decode())


if __name__ == "__main__":
    main()
