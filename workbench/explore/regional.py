"""A virtual network of regions: datagrams of real bytes, late by distance, lost by chance or partition."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from time import process_time_ns
from typing import Any

from balancer.fleet.membership.codec import Codec, PayloadCodec
from balancer.fleet.membership.swim import Address
from workbench.simulator.heap import HeapClock

KEY = b"a key for the virtual network"
START = 1_000_000  # microseconds
DELAY_WITHIN = 1_000  # mean of a datagram's way within a region, microseconds
DELAY_BETWEEN = 40_000

Receive = Callable[[Address, Any], None]


@dataclass
class Traffic:
    """What one endpoint has sent and received."""

    sent: int = 0
    received: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    kinds: Counter[str] = field(default_factory=Counter)  # sent, by kind


@dataclass
class Endpoint:
    """A process on the network."""

    region: int
    receive: Receive
    codec: Codec
    traffic: Traffic = field(default_factory=Traffic)
    cpu_ns: int = 0  # of its coding and decoding


class RegionalNetwork:
    """Endpoints on one clock. A message goes through its endpoints' codecs: that of the present version, with
    `parts`, or that of an old one, which knows membership's messages alone."""

    def __init__(self, seed: int, loss: float = 0.0, parts: Sequence[PayloadCodec] = ()) -> None:
        self.clock = HeapClock(START)
        self.rng = Random(seed)
        self.loss = loss
        self.codec = Codec([KEY], parts)
        self.old_codec = Codec([KEY])
        self.endpoints: dict[Address, Endpoint] = {}
        self.isolated: set[int] = set()  # regions that reach no other region
        self.blocked: set[tuple[int, int]] = set()  # ways from a region to another that nothing passes

    def attach(self, address: Address, region: int, receive: Receive, old: bool = False) -> Endpoint:
        codec = self.old_codec if old else self.codec
        endpoint = self.endpoints[address] = Endpoint(region, receive, codec)
        return endpoint

    def detach(self, address: Address) -> None:
        self.endpoints.pop(address, None)

    def send(self, source: Address, to: Address, message: Any) -> None:
        """Sends a message; nobody learns whether it arrives."""
        endpoint = self.endpoints.get(source)
        if endpoint is None:
            return
        began = process_time_ns()
        data = endpoint.codec.encode(message, self.clock.now)
        endpoint.cpu_ns += process_time_ns() - began
        self.send_bytes(source, to, data, message.kind.name.lower())

    def send_bytes(self, source: Address, to: Address, data: bytes, kind: str) -> None:
        traffic = self.endpoints[source].traffic
        traffic.sent += 1
        traffic.bytes_out += len(data)
        traffic.kinds[kind] += 1
        target = self.endpoints.get(to)
        if target is None or self.rng.random() < self.loss:
            return
        here, there = self.endpoints[source].region, target.region
        if here != there and (here in self.isolated or there in self.isolated):
            return
        if (here, there) in self.blocked:
            return
        mean = DELAY_WITHIN if here == there else DELAY_BETWEEN
        at = self.clock.now + int(mean * (0.75 + 0.5 * self.rng.random()))
        self.clock.call_at(at, self.arrive, (source, to, data))

    def arrive(self, what: tuple[Address, Address, bytes]) -> None:
        source, to, data = what
        endpoint = self.endpoints.get(to)
        if endpoint is None:
            return
        endpoint.traffic.received += 1
        endpoint.traffic.bytes_in += len(data)
        # The codec is everybody's here, and nothing comes twice: one window of stamps for all receivers
        # would take what arrives in another order for replays.
        endpoint.codec.senders.clear()
        began = process_time_ns()
        message = endpoint.codec.decode(data, self.clock.now)
        endpoint.cpu_ns += process_time_ns() - began
        if message is not None:
            endpoint.receive(source, message)

    def run(self, seconds: float) -> None:
        self.clock.run(self.clock.now + int(seconds * 1e6))

    def until(self, holds: Callable[[], bool], limit: float, step: float = 0.25) -> float:
        """Seconds until a condition holds; infinite if it does not within the limit."""
        passed = 0.0
        while not holds():
            if passed >= limit:
                return float("inf")
            self.run(step)
            passed += step
        return passed
