"""Membership on a virtual network: detection times, false detections and traffic."""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random
from time import process_time

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.messages import AnyMessage, OutgoingMessage
from balancer.fleet.membership.swim import Address, Status, Swim
from workbench.explore.virtual_network import GROUP_KEY, POLL_INTERVAL_S, LinkFaults, VirtualNetwork
from workbench.simulator.heap import HeapClock

SECOND_US = 1_000_000
# Time limit until all members know one another.
JOIN_LIMIT_S = 180.0
# Time limit until all members know of a death.
DETECTION_LIMIT_S = 180.0
SETTLE_BEFORE_STORM_S = 60.0


@dataclass
class GroupMeasurement:
    """Figures of the run of a group; rates are per member and second.

    Attributes:
        joined_s: Seconds until all members knew one another.
        known_s: Seconds from a death until all live members knew of it.
        false_deaths: Claims that a live member is dead, counted at each member.
        suspicions: Suspicions, counted at each member.
        datagrams: Rate of datagrams sent.
        bytes: Rate of bytes sent.
        cpu_us: Processor time of the simulation in microseconds, including the network and the encoding.
    """

    joined_s: float
    known_s: float
    false_deaths: int
    suspicions: int
    datagrams: float
    bytes: float
    cpu_us: float


@dataclass
class JoinStormMeasurement:
    """Figures of many simultaneous joins.

    Attributes:
        joined_s: Seconds until all members knew one another.
        busiest_member: Maximum number of datagrams that a member sent within a second.
        busiest_seed: The same for the seeds.
        pages_refused: Number of requests for pages that exceeded a member's rate limit.
    """

    joined_s: float
    busiest_member: int
    busiest_seed: int
    pages_refused: int


class MemberNetwork:
    """Group members on one virtual clock and a network that delays and loses datagrams.

    Args:
        count: Number of members that start at once; the first three are seeds.
        loss: Probability that a datagram is lost.
        seed: Seed of all random decisions.
        codec: Whether to encode messages, to count their bytes.

    Attributes:
        rng: Random stream of the network and of the members' seeds.
        sent: Number of datagrams by member and second.
    """

    def __init__(self, count: int, loss: float, seed: int, codec: bool = False) -> None:
        self.clock = HeapClock(SECOND_US)
        self.rng = Random(seed)
        self.network: VirtualNetwork[Address, AnyMessage] = VirtualNetwork(
            self.clock, self.rng, faults=LinkFaults(loss=loss)
        )
        self.codec = Codec([GROUP_KEY]) if codec else None
        self.bytes = 0
        self.sent: Counter[tuple[Address, int]] = Counter()
        self.members: dict[Address, Swim] = {}
        seeds = [("10.0.0.1", i + 1) for i in range(min(3, count))]
        for i in range(count):
            self.add(("10.0.0.1", i + 1), seeds)

    def add(self, address: Address, seeds: list[Address], incarnation: int = 1) -> Swim:
        """Start a member and return it."""
        swim = Swim(f"n{address[1]}", address, incarnation, seeds, Random(self.rng.random()), self.clock.now)
        self.attach(swim)
        self.clock.call_at(swim.due(), self.on_timer, swim)
        return swim

    def attach(self, swim: Swim) -> None:
        """Connect a member to the network; the caller runs its timer."""
        address = swim.local_claim.address
        self.members[address] = swim
        self.network.attach(address, partial(self._receive, swim))

    def on_timer(self, swim: Swim) -> None:
        """Run the due timers of a member and schedule the next, unless it was killed."""
        address = swim.local_claim.address
        if self.members.get(address) is swim:
            self.transmit(address, swim.tick(self.clock.now))
            self.clock.call_at(max(self.clock.now + 1, swim.due()), self.on_timer, swim)

    def transmit(self, source: Address, outgoing: list[OutgoingMessage]) -> None:
        """Send a member's messages."""
        if outgoing:
            self.sent[source, self.clock.now // SECOND_US] += len(outgoing)
        for sent in outgoing:
            if self.codec is not None:
                self.bytes += len(self.codec.encode(sent.message, self.clock.now))
            self.network.send(source, sent.to, sent.message)

    def _receive(self, swim: Swim, source: Address, message: AnyMessage) -> None:
        self.transmit(swim.local_claim.address, swim.receive(self.clock.now, source, message))

    def kill(self, address: Address) -> str:
        """Stop a member without notice and return its name."""
        self.network.detach(address)
        return self.members.pop(address).local_claim.name

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        self.network.run(seconds)

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = POLL_INTERVAL_S) -> float:
        """Run until a condition holds or the limit is reached, and return the seconds taken."""
        return self.network.run_until(condition, limit, step).seconds

    def is_complete(self) -> bool:
        """Return whether each member considers all others alive."""
        return all(len(s.alive()) == len(self.members) - 1 for s in self.members.values())

    def is_death_known(self, name: str) -> bool:
        """Return whether no live member considers a member alive any more."""
        absent = (None, Status.DEAD, Status.LEFT)
        return all(s.status(name) in absent for s in self.members.values())

    def sum_counts(self, counter: str) -> int:
        """Return the sum of a counter over all members."""
        return sum(getattr(s.counts, counter) for s in self.members.values())

    def false_deaths(self) -> int:
        """Return the number of claims, over all members, that a live member is dead or has left."""
        names = {s.local_claim.name for s in self.members.values()}
        return sum(s.status(n) in (Status.DEAD, Status.LEFT) for s in self.members.values() for n in names)


def measure(count: int, loss: float, seed: int = 1, settle: float = 60.0) -> GroupMeasurement:
    """Measure a group that joins, runs for `settle` seconds and then loses a member."""
    net = MemberNetwork(count, loss, seed, codec=True)
    joined_after_s = net.run_until(net.is_complete, JOIN_LIMIT_S)
    sent, suspected, died = net.sum_counts("sent"), net.sum_counts("suspected"), net.sum_counts("died")
    size = net.bytes
    started = process_time()
    net.run(settle)
    member_seconds = settle * count
    cpu = (process_time() - started) / member_seconds * 1e6
    datagrams = (net.sum_counts("sent") - sent) / member_seconds
    traffic = (net.bytes - size) / member_seconds
    suspicions = net.sum_counts("suspected") - suspected
    died = net.sum_counts("died") - died
    killed = net.kill(("10.0.0.1", count))
    known_after_s = net.run_until(lambda: net.is_death_known(killed), DETECTION_LIMIT_S)
    return GroupMeasurement(joined_after_s, known_after_s, died, suspicions, datagrams, traffic, cpu)


def measure_join_storm(standing: int, joining: int, seed: int = 1) -> JoinStormMeasurement:
    """Measure the simultaneous start of members that know three seeds of an existing group."""
    net = MemberNetwork(standing, 0.0, seed)
    net.run_until(net.is_complete, JOIN_LIMIT_S)
    net.run(SETTLE_BEFORE_STORM_S)
    net.sent.clear()
    seeds = list(net.members)[:3]
    for number in range(joining):
        net.add(("10.0.0.1", standing + number + 1), seeds)
    joined_after_s = net.run_until(net.is_complete, JOIN_LIMIT_S)
    busiest_seed = max(count for (address, _), count in net.sent.items() if address in seeds)
    return JoinStormMeasurement(
        joined_after_s, max(net.sent.values()), busiest_seed, net.sum_counts("pages_refused")
    )


def main() -> None:
    """Print a line for each size, loss and seed, as `python -m workbench.explore.members 50 --seeds 1 2`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("members", type=int, nargs="*", default=[10, 50])
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.1, 0.3])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument(
        "--settle", type=float, default=60.0, help="seconds between the end of the join and the death"
    )
    parser.add_argument(
        "--storm", type=int, help="number of members that join each group simultaneously, without loss"
    )
    args = parser.parse_args()
    if args.storm is not None:
        print_join_storms(args.members, args.storm, args.seeds)
        return
    print("members  loss  seed  joined s  known s  false deaths  suspicions  datagrams/s  bytes/s  CPU us/s")
    for count in args.members:
        for loss in args.loss:
            for seed in args.seeds:
                f = measure(count, loss, seed, args.settle)
                print(
                    f"{count:7}  {loss:4.0%}  {seed:4}  {f.joined_s:8.1f}  {f.known_s:7.1f}"
                    f"  {f.false_deaths:12}  {f.suspicions:10}  {f.datagrams:11.2f}  {f.bytes:7.0f}"
                    f"  {f.cpu_us:8.0f}",
                    flush=True,
                )


def print_join_storms(standing: list[int], joining: int, seeds: list[int]) -> None:
    """Print a line for each size of the existing group and seed."""
    print("standing  joining  seed  joined s  busiest member, datagrams/s  busiest seed  pages refused")
    for count in standing:
        for seed in seeds:
            s = measure_join_storm(count, joining, seed)
            print(
                f"{count:8}  {joining:7}  {seed:4}  {s.joined_s:8.1f}  {s.busiest_member:27}"
                f"  {s.busiest_seed:12}  {s.pages_refused:13}",
                flush=True,
            )


if __name__ == "__main__":
    main()
