"""Membership on a virtual network: how soon a death is known, how often a living member is taken for dead."""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import process_time
from typing import Any

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Address, OutgoingMessage, Status, Swim
from workbench.simulator.heap import HeapClock

DELAY = 2_000  # mean of a datagram's way, microseconds
KEY = b"a key for the virtual network"
JOIN_LIMIT = 180.0  # seconds that a group is given to know itself
KNOWN_LIMIT = 180.0  # and to know of a death


@dataclass
class Found:
    """What a run showed; times in seconds, rates a member and second."""

    joined_s: float
    known_s: float  # from a death until all who live know of it
    false_deaths: int
    suspicions: int
    datagrams: float
    bytes: float
    cpu_us: float  # of this process, the network's own work and the codec's encoding included


@dataclass
class Storm:
    """What a storm of joins showed."""

    joined_s: float
    busiest_member: int  # most datagrams that one member sent within a second
    busiest_seed: int
    refused: int  # pages beyond a member's limit


class Net:
    """Members on one clock; datagrams are late, and some are lost. `codec`: through real bytes, to count
    them."""

    def __init__(self, count: int, loss: float, seed: int, codec: bool = False) -> None:
        self.clock = HeapClock(1_000_000)
        self.rng = Random(seed)
        self.loss = loss
        self.codec = Codec([KEY]) if codec else None
        self.bytes = 0
        self.sent: Counter[tuple[Address, int]] = Counter()  # datagrams by member and second
        self.members: dict[Address, Swim] = {}
        self.cut: set[Address] = set()
        seeds = [("10.0.0.1", i + 1) for i in range(min(3, count))]
        for i in range(count):
            self.add(("10.0.0.1", i + 1), seeds)

    def add(self, address: Address, seeds: list[Address], incarnation: int = 1) -> Swim:
        swim = Swim(f"n{address[1]}", address, incarnation, seeds, Random(self.rng.random()), self.clock.now)
        self.members[address] = swim
        self.clock.call_at(swim.due(), self.on_timer, (address, swim))
        return swim

    def on_timer(self, what: tuple[Address, Swim]) -> None:
        address, swim = what
        if self.members.get(address) is swim:
            self.transmit(address, swim.tick(self.clock.now))
            self.clock.call_at(max(self.clock.now + 1, swim.due()), self.on_timer, what)

    def transmit(self, source: Address, sends: list[OutgoingMessage]) -> None:
        if sends:
            self.sent[source, self.clock.now // 1_000_000] += len(sends)
        for send in sends:
            if self.codec is not None:
                self.bytes += len(self.codec.encode(send.message, self.clock.now))
            if self.rng.random() >= self.loss and (source in self.cut) == (send.to in self.cut):
                at = self.clock.now + int(DELAY * (0.5 + self.rng.random()))
                self.clock.call_at(at, self.arrive, (source, send.to, send.message))

    def arrive(self, what: tuple[Address, Address, Any]) -> None:
        source, to, message = what
        swim = self.members.get(to)
        if swim is not None:
            self.transmit(to, swim.receive(self.clock.now, source, message))

    def kill(self, address: Address) -> str:
        return self.members.pop(address).me.name

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + int(seconds * 1e6))

    def until(self, holds: Callable[[], bool], limit: float, step: float = 0.25) -> float:
        """Seconds until a condition holds, `limit` if it doesn't in that time."""
        passed = 0.0
        while passed < limit and not holds():
            self.run(step)
            passed += step
        return passed

    def complete(self) -> bool:
        """Whether every member holds every other alive."""
        return all(len(s.alive()) == len(self.members) - 1 for s in self.members.values())

    def knows_gone(self, name: str) -> bool:
        """Whether no living member holds this one alive any more."""
        gone = (None, Status.DEAD, Status.LEFT)
        return all(s.status(name) in gone for s in self.members.values())

    def total(self, counter: str) -> int:
        """A counter of all members together."""
        return sum(getattr(s.counts, counter) for s in self.members.values())

    def wrong(self) -> int:
        """Living members that somebody holds dead."""
        names = {s.me.name for s in self.members.values()}
        return sum(s.status(n) in (Status.DEAD, Status.LEFT) for s in self.members.values() for n in names)


def measure(count: int, loss: float, seed: int = 1, settle: float = 60.0) -> Found:
    """One group: it joins, runs for `settle` seconds, loses a member."""
    net = Net(count, loss, seed, codec=True)
    joined = net.until(net.complete, JOIN_LIMIT)
    sent, suspected, died = net.total("sent"), net.total("suspected"), net.total("died")
    size = net.bytes
    began = process_time()
    net.run(settle)
    member_seconds = settle * count
    cpu = (process_time() - began) / member_seconds * 1e6
    datagrams = (net.total("sent") - sent) / member_seconds
    traffic = (net.bytes - size) / member_seconds
    suspicions = net.total("suspected") - suspected
    died = net.total("died") - died
    gone = net.kill(("10.0.0.1", count))
    known = net.until(lambda: net.knows_gone(gone), KNOWN_LIMIT)
    return Found(joined, known, died, suspicions, datagrams, traffic, cpu)


def storm(standing: int, joining: int, seed: int = 1) -> Storm:
    """Members that all start at one instant and know three seeds of a standing group."""
    net = Net(standing, 0.0, seed)
    net.until(net.complete, JOIN_LIMIT)
    net.run(60)
    net.sent.clear()
    seeds = list(net.members)[:3]
    for number in range(joining):
        net.add(("10.0.0.1", standing + number + 1), seeds)
    joined = net.until(net.complete, JOIN_LIMIT)
    busiest_seed = max(most for (address, _), most in net.sent.items() if address in seeds)
    return Storm(joined, max(net.sent.values()), busiest_seed, net.total("pages_refused"))


def main() -> None:
    """A line for each size, loss and seed, as `python -m workbench.explore.members 50 --seeds 1 2`."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("members", type=int, nargs="*", default=[10, 50])
    parser.add_argument("--loss", type=float, nargs="+", default=[0.0, 0.1, 0.3])
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--settle", type=float, default=60.0, help="seconds between joining and the death")
    parser.add_argument("--storm", type=int, help="so many join each group at one instant, without loss")
    args = parser.parse_args()
    if args.storm is not None:
        print_storms(args.members, args.storm, args.seeds)
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


def print_storms(standing: list[int], joining: int, seeds: list[int]) -> None:
    print("standing  joining  seed  joined s  busiest member, datagrams/s  busiest seed  pages refused")
    for count in standing:
        for seed in seeds:
            s = storm(count, joining, seed)
            print(
                f"{count:8}  {joining:7}  {seed:4}  {s.joined_s:8.1f}  {s.busiest_member:27}"
                f"  {s.busiest_seed:12}  {s.refused:13}",
                flush=True,
            )


if __name__ == "__main__":
    main()
