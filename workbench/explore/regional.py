"""Virtual network of regions that carries messages as datagrams of the fleet's codec.

The delay between two endpoints depends on whether their regions are the same. Datagrams are lost at random or
by a partition.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from math import inf
from random import Random
from time import process_time_ns
from typing import Any

from balancer.fleet.membership.codec import Codec, PayloadCodec
from balancer.fleet.membership.swim import Address
from workbench.explore.virtual_network import GROUP_KEY, POLL_INTERVAL_S, Delay, LinkFaults, VirtualNetwork
from workbench.simulator.heap import HeapClock

START_US = 1_000_000
DELAY_SPREAD_RATIO = 0.5
DELAY_WITHIN_REGION = Delay(1_000, DELAY_SPREAD_RATIO)
DELAY_BETWEEN_REGIONS = Delay(40_000, DELAY_SPREAD_RATIO)

Receive = Callable[[Address, Any], None]


@dataclass
class Traffic:
    """Traffic of one endpoint.

    Attributes:
        sent: Number of datagrams sent.
        received: Number of datagrams received.
        bytes_out: Number of bytes sent.
        bytes_in: Number of bytes received.
        kinds: Number of datagrams sent, by kind of message.
    """

    sent: int = 0
    received: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    kinds: Counter[str] = field(default_factory=Counter)


@dataclass
class Endpoint:
    """A process on the network.

    Attributes:
        region: Number of its region.
        receive: Called with the sender's address and each message.
        codec: Codec of its version.
        traffic: Its traffic so far.
        cpu_ns: Processor time of its encoding and decoding, in nanoseconds.
    """

    region: int
    receive: Receive
    codec: Codec
    traffic: Traffic = field(default_factory=Traffic)
    cpu_ns: int = 0


class RegionalNetwork:
    """Endpoints in regions on one virtual clock.

    Each endpoint encodes and decodes messages with the codec of its version: the present one, or an old one
    that knows only the messages of membership.

    Args:
        seed: Seed of the network's random stream.
        loss: Probability that a datagram is lost.
        parts: Codecs of the present version for messages other than those of membership.
    """

    def __init__(self, seed: int, loss: float = 0.0, parts: Sequence[PayloadCodec] = ()) -> None:
        self.clock = HeapClock(START_US)
        self.codec = Codec([GROUP_KEY], parts)
        self.old_codec = Codec([GROUP_KEY])
        self.endpoints: dict[Address, Endpoint] = {}
        self.network: VirtualNetwork[Address, bytes] = VirtualNetwork(
            self.clock, Random(seed), self._delay, LinkFaults(loss=loss)
        )

    def _delay(self, source: Address, to: Address) -> Delay:
        same_region = self.endpoints[source].region == self.endpoints[to].region
        return DELAY_WITHIN_REGION if same_region else DELAY_BETWEEN_REGIONS

    # ---- endpoints ------------------------------------------------------------------------------------

    def attach(self, address: Address, region: int, receive: Receive, old: bool = False) -> Endpoint:
        """Open an endpoint, of a version that knows only the messages of membership if `old`."""
        codec = self.old_codec if old else self.codec
        endpoint = self.endpoints[address] = Endpoint(region, receive, codec)

        def receive_bytes(source: Address, data: bytes) -> None:
            self._receive(endpoint, source, data)

        self.network.attach(address, receive_bytes, region)
        return endpoint

    def detach(self, address: Address) -> None:
        """Close an endpoint."""
        self.endpoints.pop(address, None)
        self.network.detach(address)

    # ---- partitions -----------------------------------------------------------------------------------

    def isolate(self, regions: Iterable[int]) -> None:
        """Separate each of these regions from every other region."""
        for region in regions:
            self.network.partition({region})

    def block(self, source_region: int, destination_region: int) -> None:
        """Drop all datagrams from one region to another, one way only."""
        self.network.block(source_region, destination_region)

    def heal(self) -> None:
        """End all partitions and blocks."""
        self.network.heal()

    def connected(self, source: Address, to: Address) -> bool:
        """Return whether no partition or block drops datagrams from one address to another."""
        return self.network.connected(source, to)

    # ---- messages -------------------------------------------------------------------------------------

    def send(self, source: Address, to: Address, message: Any) -> None:
        """Send a message; the sender does not learn whether it arrives."""
        endpoint = self.endpoints.get(source)
        if endpoint is None:
            return
        began = process_time_ns()
        data = endpoint.codec.encode(message, self.clock.now)
        endpoint.cpu_ns += process_time_ns() - began
        self.send_bytes(source, to, data, message.kind.name.lower())

    def send_bytes(self, source: Address, to: Address, data: bytes, kind: str) -> None:
        """Send a datagram and count it under a kind of message."""
        traffic = self.endpoints[source].traffic
        traffic.sent += 1
        traffic.bytes_out += len(data)
        traffic.kinds[kind] += 1
        if self.network.is_attached(to):
            self.network.send(source, to, data)

    def _receive(self, endpoint: Endpoint, source: Address, data: bytes) -> None:
        endpoint.traffic.received += 1
        endpoint.traffic.bytes_in += len(data)
        # All receivers share the replay window of the codec, which would reject datagrams that arrive at
        # different endpoints in another order as replays. Clearing it is safe, as nothing arrives twice.
        endpoint.codec.senders.clear()
        began = process_time_ns()
        message = endpoint.codec.decode(data, self.clock.now)
        endpoint.cpu_ns += process_time_ns() - began
        if message is not None:
            endpoint.receive(source, message)

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Handle all events of the next seconds."""
        self.network.run(seconds)

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = POLL_INTERVAL_S) -> float:
        """Run until a condition holds; return the seconds taken, or infinity at the limit."""
        waited = self.network.run_until(condition, limit, step)
        return waited.seconds if waited.holds else inf
