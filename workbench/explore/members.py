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
JOIN_LIMIT_S = 180.0  # within which all members have to know one another
DETECTION_LIMIT_S = 180.0  # within which all have to know of a death
SETTLE_BEFORE_STORM_S = 60.0


@dataclass
class GroupMeasurement:
    """Figures of a group's run; rates are per member and second.

    Attributes:
        joined_s: Seconds until all members knew one another.
        known_s: Seconds from a death until all living members knew of it.
        false_deaths: Claims that a living member is dead, counted at each member.
        suspicions: Suspicions, counted at each member.
        datagrams: Rate of datagrams sent.
        bytes: Rate of bytes sent.
        cpu_us: Processor time of the simulation, including the network's work and the codec's encoding.
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
        pages_refused: Requests for pages beyond a member's rate limit.
    """

    joined_s: float
    busiest_member: int
    busiest_seed: int
    pages_refused: int


class Net:
    """Members on one virtual clock, with a network that delays datagrams and loses some.

    Args:
        count: Number of members that start at once; the first three are seeds.
        loss: Probability that a datagram is lost.
        seed: Seed of all random decisions.
        codec: Whether to encode messages, to count their bytes.
    """

    def __init__(self, count: int, loss: float, seed: int, codec: bool = False) -> None:
        self.clock = HeapClock(SECOND_US)
        self.rng = Random(seed)  # the network's, and of the members' seeds
        self.network: VirtualNetwork[Address, AnyMessage] = VirtualNetwork(
            self.clock, self.rng, faults=LinkFaults(loss=loss)
        )
        self.codec = Codec([GROUP_KEY]) if codec else None
        self.bytes = 0
        self.sent: Counter[tuple[Address, int]] = Counter()  # datagrams by member and second
        self.members: dict[Address, Swim] = {}
        seeds = [("10.0.0.1", i + 1) for i in range(min(3, count))]
        for i in range(count):
            self.add(("10.0.0.1", i + 1), seeds)

    def add(self, address: Address, seeds: list[Address], incarnation: int = 1) -> Swim:
        """Starts a member and returns it."""
        swim = Swim(f"n{address[1]}", address, incarnation, seeds, Random(self.rng.random()), self.clock.now)
        self.attach(swim)
        self.clock.call_at(swim.due(), self.on_timer, swim)
        return swim

    def attach(self, swim: Swim) -> None:
        """Lets a member receive messages; the caller runs its timer."""
        address = swim.local_claim.address
        self.members[address] = swim
        self.network.attach(address, partial(self._receive, swim))

    def on_timer(self, swim: Swim) -> None:
        """Performs what is due at a member, unless it was killed."""
        address = swim.local_claim.address
        if self.members.get(address) is swim:
            self.transmit(address, swim.tick(self.clock.now))
            self.clock.call_at(max(self.clock.now + 1, swim.due()), self.on_timer, swim)

    def transmit(self, source: Address, outgoing: list[OutgoingMessage]) -> None:
        """Sends a member's messages."""
        if outgoing:
            self.sent[source, self.clock.now // SECOND_US] += len(outgoing)
        for sent in outgoing:
            if self.codec is not None:
                self.bytes += len(self.codec.encode(sent.message, self.clock.now))
            self.network.send(source, sent.to, sent.message)

    def _receive(self, swim: Swim, source: Address, message: AnyMessage) -> None:
        self.transmit(swim.local_claim.address, swim.receive(self.clock.now, source, message))

    def kill(self, address: Address) -> str:
        """Stops a member without notice and returns its name."""
        self.network.detach(address)
        return self.members.pop(address).local_claim.name

    def run(self, seconds: float) -> None:
        """Advances the virtual clock."""
        self.network.run(seconds)

    def until(self, condition: Callable[[], bool], limit: float, step: float = POLL_INTERVAL_S) -> float:
        """Runs until a condition holds; returns the seconds taken, or `limit` if it doesn't hold by then."""
        return self.network.run_until(condition, limit, step).seconds

    def complete(self) -> bool:
        """Returns whether each member considers all others alive."""
        return all(len(s.alive()) == len(self.members) - 1 for s in self.members.values())

    def knows_gone(self, name: str) -> bool:
        """Returns whether no living member considers this one alive any more."""
        gone = (None, Status.DEAD, Status.LEFT)
        return all(s.status(name) in gone for s in self.members.values())

    def total(self, counter: str) -> int:
        """Returns the sum of a counter over all members."""
        return sum(getattr(s.counts, counter) for s in self.members.values())

    def false_deaths(self) -> int:
        """Returns the number of claims, over all members, that a living one is dead or has left."""
        names = {s.local_claim.name for s in self.members.values()}
        return sum(s.status(n) in (Status.DEAD, Status.LEFT) for s in self.members.values() for n in names)


def measure(count: int, loss: float, seed: int = 1, settle: float = 60.0) -> GroupMeasurement:
    """Measures a group that joins, runs for `settle` seconds and then loses a member."""
    net = Net(count, loss, seed, codec=True)
    joined = net.until(net.complete, JOIN_LIMIT_S)
    sent, suspected, died = net.total("sent"), net.total("suspected"), net.total("died")
    size = net.bytes
    started = process_time()
    net.run(settle)
    member_seconds = settle * count
    cpu = (process_time() - started) / member_seconds * 1e6
    datagrams = (net.total("sent") - sent) / member_seconds
    traffic = (net.bytes - size) / member_seconds
    suspicions = net.total("suspected") - suspected
    died = net.total("died") - died
    gone = net.kill(("10.0.0.1", count))
    known = net.until(lambda: net.knows_gone(gone), DETECTION_LIMIT_S)
    return GroupMeasurement(joined, known, died, suspicions, datagrams, traffic, cpu)


def measure_join_storm(standing: int, joining: int, seed: int = 1) -> JoinStormMeasurement:
    """Measures the simultaneous start of members that know three seeds of an existing group."""
    net = Net(standing, 0.0, seed)
    net.until(net.complete, JOIN_LIMIT_S)
    net.run(SETTLE_BEFORE_STORM_S)
    net.sent.clear()
    seeds = list(net.members)[:3]
    for number in range(joining):
        net.add(("10.0.0.1", standing + number + 1), seeds)
    joined = net.until(net.complete, JOIN_LIMIT_S)
    busiest_seed = max(count for (address, _), count in net.sent.items() if address in seeds)
    return JoinStormMeasurement(joined, max(net.sent.values()), busiest_seed, net.total("pages_refused"))


def main() -> None:
    """Prints a line for each size, loss and seed, as `python -m workbench.explore.members 50 --seeds 1 2`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("members", type=int, nargs="*", default=[10, 50])
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.1, 0.3])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--settle", type=float, default=60.0, help="seconds between joining and the death")
    parser.add_argument("--storm", type=int, help="so many join each group at one instant, without loss")
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
    """Prints a line for each size of the existing group and seed."""
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
