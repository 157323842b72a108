"""A virtual network of regions that carries messages as the datagrams of the fleet's codec.

Delays depend on whether two regions are the same; datagrams are lost by chance or by a partition.
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

START = 1_000_000  # microseconds
DELAY_SPREAD = 0.5
DELAY_WITHIN_REGION = Delay(1_000, DELAY_SPREAD)
DELAY_BETWEEN_REGIONS = Delay(40_000, DELAY_SPREAD)

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
    """Endpoints in regions on one clock.

    A message goes through the codec of its endpoints: that of the present version, or that of an old one,
    which knows only the messages of membership.

    Args:
        seed: Of the network's random stream.
        loss: Probability that a datagram is lost.
        parts: Encoders and decoders of the present version, beside membership's.
    """

    def __init__(self, seed: int, loss: float = 0.0, parts: Sequence[PayloadCodec] = ()) -> None:
        self.clock = HeapClock(START)
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
        """Opens an endpoint; `old`: of a version that knows only the messages of membership."""
        codec = self.old_codec if old else self.codec
        endpoint = self.endpoints[address] = Endpoint(region, receive, codec)

        def receive_bytes(source: Address, data: bytes) -> None:
            self._receive(endpoint, source, data)

        self.network.attach(address, receive_bytes, region)
        return endpoint

    def detach(self, address: Address) -> None:
        """Closes an endpoint."""
        self.endpoints.pop(address, None)
        self.network.detach(address)

    # ---- partitions -----------------------------------------------------------------------------------

    def isolate(self, regions: Iterable[int]) -> None:
        """Cuts each of these regions off from every other region."""
        for region in regions:
            self.network.partition({region})

    def block(self, source_region: int, destination_region: int) -> None:
        """Drops all datagrams from one region to another, one way only."""
        self.network.block(source_region, destination_region)

    def heal(self) -> None:
        """Ends all partitions and blocks."""
        self.network.heal()

    def connected(self, source: Address, to: Address) -> bool:
        """Returns whether neither a partition nor a block lies between two addresses, this way."""
        return self.network.connected(source, to)

    # ---- messages -------------------------------------------------------------------------------------

    def send(self, source: Address, to: Address, message: Any) -> None:
        """Sends a message; the sender does not learn whether it arrives."""
        endpoint = self.endpoints.get(source)
        if endpoint is None:
            return
        began = process_time_ns()
        data = endpoint.codec.encode(message, self.clock.now)
        endpoint.cpu_ns += process_time_ns() - began
        self.send_bytes(source, to, data, message.kind.name.lower())

    def send_bytes(self, source: Address, to: Address, data: bytes, kind: str) -> None:
        """Sends a datagram, which counts as one of a kind."""
        traffic = self.endpoints[source].traffic
        traffic.sent += 1
        traffic.bytes_out += len(data)
        traffic.kinds[kind] += 1
        if self.network.is_attached(to):
            self.network.send(source, to, data)

    def _receive(self, endpoint: Endpoint, source: Address, data: bytes) -> None:
        endpoint.traffic.received += 1
        endpoint.traffic.bytes_in += len(data)
        # All endpoints share the codec, and nothing arrives twice: one replay window for all receivers would
        # take datagrams that arrive in another order for replays.
        endpoint.codec.senders.clear()
        began = process_time_ns()
        message = endpoint.codec.decode(data, self.clock.now)
        endpoint.cpu_ns += process_time_ns() - began
        if message is not None:
            endpoint.receive(source, message)

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Handles all events of the next seconds."""
        self.network.run(seconds)

    def until(self, condition: Callable[[], bool], limit: float, step: float = POLL_INTERVAL_S) -> float:
        """Returns the seconds until a condition holds, infinite if it does not within the limit."""
        waited = self.network.run_until(condition, limit, step)
        return waited.seconds if waited.holds else inf
