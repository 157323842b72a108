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
from workbench.explore.virtual_network import GROUP_KEY, VirtualNetwork, WaitResult
from workbench.simulator.heap import HeapClock

WARM_UP_S = 5.0
# Length of the window in which rates are measured in calm.
CALM_S = 20.0
DEATH_LIMIT_S = 180.0
JOIN_LIMIT_S = 400.0
PARTITION_S = 150.0
RETURN_AFTER_S = 60.0
ZONES = 13
REGIONS = 5
BACKLOG_S = 20.0
# Interval at which a condition is evaluated.
POLL_INTERVAL_S = 0.25
START_US = 1_000_000
HOST = "10.0.0.1"
SEEDS = 3


@dataclass
class CostCounters:
    """Processor nanoseconds by call, and traffic, since the last reset."""

    tick: int = 0
    receive: int = 0
    encode: int = 0
    decode: int = 0
    datagrams: int = 0
    bytes: int = 0


def seed_addresses(count: int) -> list[Address]:
    """Return the members that all others contact first."""
    return [(HOST, i + 1) for i in range(min(SEEDS, count))]


def stop_dissemination(swim: Swim) -> None:
    """Drop all updates and accusations that a member still passes on, as long after the last change."""
    for queue in (swim.updates, swim.accusations):
        for name in list(queue.transmissions):
            queue.remove(name)


class MeteredNetwork:
    """Members on one virtual clock, with processor time counted by component; no datagram is lost."""

    def __init__(self, count: int, seed: int) -> None:
        self.clock = HeapClock(START_US)
        self.rng = Random(seed)  # Random source of the network, and of the members' own seeds
        self.network: VirtualNetwork[Address, bytes] = VirtualNetwork(self.clock, self.rng)
        self.spent = CostCounters()
        self.encoder = Codec([GROUP_KEY])
        self.decoders: dict[Address, Codec] = {}  # One decoder a member, since each has its own replay window
        self.members: dict[Address, Swim] = {}
        for i in range(count):
            self.add((HOST, i + 1), seed_addresses(count))

    def add(self, address: Address, seeds: list[Address], incarnation: int = 1) -> None:
        """Start a member."""
        swim = Swim(f"n{address[1]}", address, incarnation, seeds, Random(self.rng.random()), self.clock.now)
        self.decoders[address] = Codec([GROUP_KEY])
        self.members[address] = swim
        self.network.attach(address, partial(self.deliver, address))
        self.clock.call_at(swim.due(), self.on_timer, (address, swim))

    def kill(self, address: Address) -> str:
        """End a member without a message and return its name."""
        self.network.detach(address)
        return self.members.pop(address).local_claim.name

    def run(self, seconds: float) -> None:
        """Handle all events of the next seconds."""
        self.network.run(seconds)

    def until(self, condition: Callable[[], bool], limit: float) -> WaitResult:
        """Run until a condition holds, up to a limit in seconds."""
        return self.network.run_until(condition, limit, POLL_INTERVAL_S)

    def on_timer(self, timer: tuple[Address, Swim]) -> None:
        """Run a member's timer and schedule the next one."""
        address, swim = timer
        if self.members.get(address) is not swim:
            return
        started_ns = process_time_ns()
        sends = swim.tick(self.clock.now)
        due = swim.due()
        self.spent.tick += process_time_ns() - started_ns
        self.transmit(address, sends)
        self.clock.call_at(max(self.clock.now + 1, due), self.on_timer, timer)

    def transmit(self, source: Address, sends: list[OutgoingMessage]) -> None:
        """Encode and send datagrams."""
        for send in sends:
            started_ns = process_time_ns()
            data = self.encoder.encode(send.message, self.clock.now)
            self.spent.encode += process_time_ns() - started_ns
            self.spent.datagrams += 1
            self.spent.bytes += len(data)
            self.network.send(source, send.to, data)

    def deliver(self, to: Address, source: Address, data: bytes) -> None:
        """Deliver a datagram to a member and transmit its replies."""
        swim = self.members[to]
        decoder = self.decoders[to]
        started_ns = process_time_ns()
        message = decoder.decode(data, self.clock.now)
        self.spent.decode += process_time_ns() - started_ns
        if message is None:
            raise RuntimeError(
                f"the codec rejected a datagram that it encoded itself: {dict(decoder.dropped)}"
            )
        started_ns = process_time_ns()
        sends = swim.receive(self.clock.now, source, message)
        self.spent.receive += process_time_ns() - started_ns
        self.transmit(to, sends)

    def introduce_all(self, disseminate: bool = False) -> None:
        """Make every member known to every other; with `disseminate` they still pass on updates about all."""
        claims = [s.local_claim for s in self.members.values()]
        for swim in self.members.values():
            for claim in claims:
                swim.accept(self.clock.now, claim)
            if not disseminate:
                stop_dissemination(swim)

    def measure(self, seconds: float) -> CostCounters:
        """Return the cost of the whole group in a window of simulated time."""
        self.spent = CostCounters()
        self.run(seconds)
        return self.spent

    def all_know_ended(self, names: set[str]) -> bool:
        """Return whether no live member has any of these members as alive or suspect."""
        return all(
            not any(s.status(name) in (Status.ALIVE, Status.SUSPECT) for name in names)
            for s in self.members.values()
        )

    def all_views_complete(self) -> bool:
        """Return whether every member has exactly the others as alive or suspect."""
        expected_count = len(self.members) - 1
        return all(len(s.alive()) == expected_count for s in self.members.values())


@dataclass(frozen=True)
class Row:
    """One measured value; with `limit` the condition never held, so the value is a lower bound."""

    name: str
    size: int
    seed: int
    value: float
    limit: bool = False


def measure_rates(prefix: str, net: MeteredNetwork, size: int, seed: int, seconds: float) -> list[Row]:
    """Measure processor time, datagrams and bytes a member and second."""
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


def time_until(
    name: str, net: MeteredNetwork, size: int, seed: int, condition: Callable[[], bool], limit: float
) -> Row:
    """Measure the seconds until a condition holds."""
    waited = net.until(condition, limit)
    return Row(name, size, seed, waited.seconds, limit=not waited.holds)


def calm(size: int, seed: int) -> list[Row]:
    """Measure rates without updates, then the time until all know of a death."""
    net = MeteredNetwork(size, seed)
    net.introduce_all()
    net.run(WARM_UP_S)
    rows = measure_rates("membership.calm", net, size, seed, CALM_S)
    ended_names = {net.kill((HOST, size))}
    rows.append(
        time_until(
            "membership.death_s", net, size, seed, lambda: net.all_know_ended(ended_names), DEATH_LIMIT_S
        )
    )
    return rows


def backlog(size: int, seed: int) -> list[Row]:
    """Measure rates while each member disseminates updates about all others, as after a joint start."""
    net = MeteredNetwork(size, seed)
    net.introduce_all(disseminate=True)
    net.run(WARM_UP_S)
    return measure_rates("membership.backlog", net, size, seed, BACKLOG_S)


def dissemination_time(name: str, size: int, seed: int, busy: bool) -> list[Row]:
    """Measure the seconds until all know a member's new incarnation, which one other knows at first."""
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

    return [time_until(name, net, size, seed, all_know, JOIN_LIMIT_S)]


def news(size: int, seed: int) -> list[Row]:
    """Measure the dissemination of one change in a calm group."""
    return dissemination_time("membership.news_s", size, seed, busy=False)


def news_busy(size: int, seed: int) -> list[Row]:
    """Measure the dissemination of one change while the group disseminates updates about all its members."""
    return dissemination_time("membership.news_busy_s", size, seed, busy=True)


def join(size: int, seed: int) -> list[Row]:
    """Measure the time until all members of a group that starts at once know each other."""
    net = MeteredNetwork(size, seed)
    return [time_until("membership.join_s", net, size, seed, net.all_views_complete, JOIN_LIMIT_S)]


def restart_members(net: MeteredNetwork, addresses: list[Address]) -> None:
    """Start members again, each with a higher incarnation and knowing only the seeds."""
    for address in addresses:
        net.add(address, seed_addresses(SEEDS), incarnation=2)


def batch(size: int, seed: int) -> list[Row]:
    """Measure the detection and the return of a thirteenth of the group that dies at one instant."""
    net = MeteredNetwork(size, seed)
    net.introduce_all()
    net.run(WARM_UP_S)
    count = max(1, size // ZONES)
    ended_addresses = [(HOST, size - i) for i in range(count)]
    ended_names = {net.kill(address) for address in ended_addresses}
    rows = [
        time_until(
            "membership.zone_lost_s", net, size, seed, lambda: net.all_know_ended(ended_names), DEATH_LIMIT_S
        ),
    ]
    net.run(RETURN_AFTER_S)
    restart_members(net, ended_addresses)
    rows.append(time_until("membership.zone_back_s", net, size, seed, net.all_views_complete, JOIN_LIMIT_S))
    return rows


def region(size: int, seed: int) -> list[Row]:
    """Measure the time to recover from a partition that lasts until both sides forget each other.

    It separates a fifth of the group from the others.
    """
    net = MeteredNetwork(size, seed)
    net.introduce_all()
    net.run(WARM_UP_S)
    # The partition takes the members with the highest numbers, so that the seeds stay on the larger side.
    net.network.partition((HOST, size - i) for i in range(max(1, size // REGIONS)))
    net.run(PARTITION_S)
    net.network.heal()
    return [time_until("membership.region_back_s", net, size, seed, net.all_views_complete, JOIN_LIMIT_S)]


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
