"""Membership on a virtual network: how soon a death is known, how often a living member is taken for dead."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from random import Random
from typing import Any

from brackenladder.fleet.membership.codec import Codec
from brackenladder.fleet.membership.swim import Address, Message, Send, Status, Swim
from laurelspindle.virtual.heap import HeapClock

DELAY = 2_000  # mean of a datagram's way, microseconds
KEY = b"a key for the virtual network"


@dataclass
class Found:
    """What a run showed; times in seconds, rates a member and second."""

    joined_s: float
    known_s: float  # from a death until all who live know of it
    false_deaths: int
    suspicions: int
    datagrams: float
    bytes: float


class Net:
    """Members on one clock; datagrams are late, and some are lost. `codec`: through real bytes, to count
    them."""

    def __init__(self, count: int, loss: float, seed: int, codec: bool = False) -> None:
        self.clock = HeapClock(1_000_000)
        self.rng = Random(seed)
        self.loss = loss
        self.codec = Codec([KEY]) if codec else None
        self.bytes = 0
        self.members: dict[Address, Swim] = {}
        self.cut: set[Address] = set()
        seeds = [("10.0.0.1", i + 1) for i in range(min(3, count))]
        for i in range(count):
            self.add(("10.0.0.1", i + 1), seeds)

    def add(self, address: Address, seeds: list[Address], incarnation: int = 1) -> Swim:
        swim = Swim(f"n{address[1]}", address, incarnation, seeds, Random(self.rng.random()), self.clock.now)
        self.members[address] = swim
        self.clock.call_at(swim.due(), self.wake, (address, swim))
        return swim

    def wake(self, what: tuple[Address, Swim]) -> None:
        address, swim = what
        if self.members.get(address) is swim:
            self.carry(address, swim.tick(self.clock.now))
            self.clock.call_at(max(self.clock.now + 1, swim.due()), self.wake, what)

    def carry(self, source: Address, sends: list[Send]) -> None:
        for send in sends:
            if self.codec is not None:
                self.bytes += len(self.codec.encode(send.message, self.clock.now))
            if self.rng.random() >= self.loss and (source in self.cut) == (send.to in self.cut):
                at = self.clock.now + int(DELAY * (0.5 + self.rng.random()))
                self.clock.call_at(at, self.arrive, (source, send.to, send.message))

    def arrive(self, what: tuple[Address, Address, Message]) -> None:
        source, to, message = what
        swim = self.members.get(to)
        if swim is not None:
            self.carry(to, swim.receive(self.clock.now, source, message))

    def kill(self, address: Address) -> str:
        return self.members.pop(address).me.name

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + int(seconds * 1e6))

    def until(self, holds: Any, most: float, step: float = 0.25) -> float:
        """Seconds until a condition holds, `most` if it never does."""
        passed = 0.0
        while passed < most and not holds():
            self.run(step)
            passed += step
        return passed

    def complete(self) -> bool:
        """Whether every member holds every other alive."""
        return all(len(s.alive()) == len(self.members) - 1 for s in self.members.values())

    def wrong(self) -> int:
        """Living members that somebody holds dead."""
        names = {s.me.name for s in self.members.values()}
        return sum(s.status(n) in (Status.DEAD, Status.LEFT) for s in self.members.values() for n in names)


def measure(count: int, loss: float, seed: int = 1, settle: float = 60.0) -> Found:
    """One group: it joins, runs for `settle` seconds, loses a member."""
    net = Net(count, loss, seed, codec=True)
    joined = net.until(net.complete, 120)
    sent = sum(s.counts.sent for s in net.members.values())
    size = net.bytes
    suspected = sum(s.counts.suspected for s in net.members.values())
    died = sum(s.counts.died for s in net.members.values())
    net.run(settle)
    datagrams = (sum(s.counts.sent for s in net.members.values()) - sent) / settle / count
    traffic = (net.bytes - size) / settle / count
    suspicions = sum(s.counts.suspected for s in net.members.values()) - suspected
    died = sum(s.counts.died for s in net.members.values()) - died
    gone = net.kill(("10.0.0.1", count))
    known = net.until(lambda: not any(gone in s.alive() for s in net.members.values()), 180)
    return Found(joined, known, died, suspicions, datagrams, traffic)


def main() -> None:
    """A line for each size and loss given, as `python -m laurelspindle.explore.members 10 50 200`."""
    print("members  loss  joined s  death known s  false deaths  suspicions  datagrams/s  bytes/s")
    for count in map(int, sys.argv[1:] or ["10", "50"]):
        for loss in (0.0, 0.1, 0.3):
            f = measure(count, loss)
            print(
                f"{count:7}  {loss:4.0%}  {f.joined_s:8.1f}  {f.known_s:13.1f}  {f.false_deaths:12}"
                f"  {f.suspicions:10}  {f.datagrams:11.2f}  {f.bytes:7.0f}"
            )


if __name__ == "__main__":
    main()
