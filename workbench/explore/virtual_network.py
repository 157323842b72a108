"""A virtual network: datagrams between endpoints on a virtual clock, with the faults of a real network.

Clock and random stream are handed in, so a run repeats on its seed. For a datagram the random stream is drawn
from in this order, each draw only where the setting asks for it: loss, duplication, then for each copy the
reordering delay and the transmission delay. A change of this order changes the figures on every seed.

All times are integer microseconds unless a name ends in `_s`.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from random import Random
from typing import Generic, TypeVar

from workbench.simulator.heap import HeapClock

MICROSECONDS_PER_SECOND = 1e6
POLL_INTERVAL_S = 0.25

NodeAddress = TypeVar("NodeAddress", bound=Hashable)
Payload = TypeVar("Payload")


@dataclass(frozen=True)
class Delay:
    """A transmission delay, uniformly distributed around its mean.

    Attributes:
        mean: Mean delay.
        spread: Width of the distribution as a share of the mean, from 0 to 2.
    """

    mean: int
    spread: float = 1.0

    def sample(self, rng: Random) -> int:
        """Returns the delay of one datagram."""
        return int(self.mean * (1 - self.spread / 2 + self.spread * rng.random()))


@dataclass(frozen=True)
class LinkFaults:
    """What happens to datagrams on their way.

    Attributes:
        loss: Probability that a datagram is lost. None: nothing is lost, and nothing is drawn for it.
        duplication: Probability that a datagram arrives twice.
        max_reordering_delay: Up to this much is added to each delay, so that datagrams overtake one another.
    """

    loss: float | None = None
    duplication: float = 0.0
    max_reordering_delay: int = 0


@dataclass(frozen=True)
class Waited:
    """How long a run waited for a condition, and whether the condition holds."""

    seconds: float
    holds: bool


class VirtualNetwork(Generic[NodeAddress, Payload]):
    """Delivers payloads between addresses.

    Each address belongs to a site, at first to one of its own; partitions separate sites.

    Args:
        clock: The virtual clock.
        rng: The random stream of the network.
        delay: The delay from one address to another.
        faults: What happens to datagrams; may be replaced while the network runs.
    """

    def __init__(
        self,
        clock: HeapClock,
        rng: Random,
        delay: Callable[[NodeAddress, NodeAddress], Delay],
        faults: LinkFaults | None = None,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.delay = delay
        self.faults = faults or LinkFaults()
        self._receivers: dict[NodeAddress, Callable[[NodeAddress, Payload], None]] = {}
        self._sites: dict[NodeAddress, Hashable] = {}
        self._partitions: list[frozenset[Hashable]] = []
        self._blocked: set[tuple[Hashable, Hashable]] = set()

    # ---- endpoints ------------------------------------------------------------------------------------

    def attach(
        self,
        address: NodeAddress,
        receive: Callable[[NodeAddress, Payload], None],
        site: Hashable | None = None,
    ) -> None:
        """Opens an endpoint.

        Args:
            address: Its address; an endpoint that is open there is replaced.
            receive: Called with the sender's address and the payload of each datagram.
            site: The site that it belongs to; None for a site of its own, which goes by the address.
        """
        self._receivers[address] = receive
        if site is not None:
            self._sites[address] = site

    def detach(self, address: NodeAddress) -> None:
        """Closes an endpoint; datagrams to it are dropped."""
        self._receivers.pop(address, None)

    def is_attached(self, address: NodeAddress) -> bool:
        """Returns whether an endpoint is open at an address."""
        return address in self._receivers

    # ---- datagrams ------------------------------------------------------------------------------------

    def send(self, source: NodeAddress, to: NodeAddress, payload: Payload) -> None:
        """Sends a datagram; the sender does not learn whether it arrives."""
        faults = self.faults
        if faults.loss is not None and self.rng.random() < faults.loss:
            return
        if not self.connected(source, to):
            return
        copies = 2 if faults.duplication and self.rng.random() < faults.duplication else 1
        for _ in range(copies):
            extra = faults.max_reordering_delay
            reordering = int(extra * self.rng.random()) if extra else 0
            delay = self.delay(source, to).sample(self.rng)
            self.clock.call_at(self.clock.now + delay + reordering, self._deliver, (source, to, payload))

    def _deliver(self, datagram: tuple[NodeAddress, NodeAddress, Payload]) -> None:
        source, to, payload = datagram
        receive = self._receivers.get(to)
        if receive is not None:
            receive(source, payload)

    # ---- partitions -----------------------------------------------------------------------------------

    def partition(self, sites: Iterable[Hashable]) -> None:
        """Separates sites from all others, both ways; they still reach one another."""
        self._partitions.append(frozenset(sites))

    def block(self, source_site: Hashable, destination_site: Hashable) -> None:
        """Drops all datagrams from one site to another, one way only."""
        self._blocked.add((source_site, destination_site))

    def heal(self) -> None:
        """Ends all partitions and blocks."""
        self._partitions.clear()
        self._blocked.clear()

    def connected(self, source: NodeAddress, to: NodeAddress) -> bool:
        """Returns whether neither a partition nor a block lies between two addresses, this way."""
        here = self._sites.get(source, source)
        there = self._sites.get(to, to)
        if (here, there) in self._blocked:
            return False
        return all((here in side) == (there in side) for side in self._partitions)

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Handles all events of the next seconds."""
        self.clock.run(self.clock.now + int(seconds * MICROSECONDS_PER_SECOND))

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, poll_interval_s: float = POLL_INTERVAL_S
    ) -> Waited:
        """Runs until a condition holds, or up to a limit.

        Args:
            condition: Evaluated after each poll interval.
            limit_s: For how long to wait.
            poll_interval_s: The resolution of the result.
        """
        waited_s = 0.0
        while not condition():
            if waited_s >= limit_s:
                return Waited(waited_s, holds=False)
            self.run(poll_interval_s)
            waited_s += poll_interval_s
        return Waited(waited_s, holds=True)
