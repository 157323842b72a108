"""A virtual network: datagrams between endpoints on a virtual clock, with the faults of a real network.

Clock and random stream are handed in, so a run repeats on its seed. For a datagram the random stream is drawn
from in this order, each draw only where the setting asks for it: loss, duplication, then for each copy the
reordering delay and the transmission delay. A change of this order changes the figures on every seed.
A datagram from an address to itself draws nothing and is never lost.

All times are integer microseconds unless a name ends in `_s`.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Generic, TypeVar

from workbench.simulator.heap import HeapClock

MICROSECONDS_PER_SECOND = 1e6
POLL_INTERVAL_S = 0.25
LOOPBACK_DELAY = 1
GROUP_KEY = b"a key for the virtual network"  # with which all processes on one sign their datagrams

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


DEFAULT_DELAY = Delay(2_000)


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


class Direction(Enum):
    """Which datagrams a partition drops, as seen from the sites that it separates."""

    BOTH = "both"
    OUTGOING = "out"
    INCOMING = "in"


@dataclass(frozen=True)
class Partition:
    """A separation of some sites from all others; the separated sites still reach one another."""

    sites: frozenset[Hashable]
    direction: Direction = Direction.BOTH

    def separates(self, source_site: Hashable, destination_site: Hashable) -> bool:
        """Returns whether it drops datagrams from one site to another."""
        outgoing = source_site in self.sites
        if outgoing == (destination_site in self.sites):
            return False
        return self.direction in (Direction.BOTH, Direction.OUTGOING if outgoing else Direction.INCOMING)


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
        delay: The delay from one address to another; None for `DEFAULT_DELAY` between all.
        faults: What happens to datagrams; may be replaced while the network runs.
    """

    def __init__(
        self,
        clock: HeapClock,
        rng: Random,
        delay: Callable[[NodeAddress, NodeAddress], Delay] | None = None,
        faults: LinkFaults | None = None,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.delay = delay or default_delay
        self.faults = faults or LinkFaults()
        self._receivers: dict[NodeAddress, Callable[[NodeAddress, Payload], None]] = {}
        self._sites: dict[NodeAddress, Hashable] = {}
        self._partitions: list[Partition] = []
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

    def detach(
        self, address: NodeAddress, receive: Callable[[NodeAddress, Payload], None] | None = None
    ) -> None:
        """Closes an endpoint; datagrams to it are dropped.

        Args:
            address: Its address.
            receive: Closes it only if it was opened with this receiver; None closes it in any case.
        """
        if receive is None or self._receivers.get(address) == receive:
            self._receivers.pop(address, None)

    def is_attached(self, address: NodeAddress) -> bool:
        """Returns whether an endpoint is open at an address."""
        return address in self._receivers

    # ---- datagrams ------------------------------------------------------------------------------------

    def send(self, source: NodeAddress, to: NodeAddress, payload: Payload) -> None:
        """Sends a datagram; the sender does not learn whether it arrives."""
        if source == to:
            self.clock.call_at(self.clock.now + LOOPBACK_DELAY, self._deliver, (source, to, payload))
            return
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

    def partition(self, sites: Iterable[Hashable], direction: Direction = Direction.BOTH) -> Partition:
        """Separates sites from all others until the partition that it returns is healed."""
        partition = Partition(frozenset(sites), direction)
        self._partitions.append(partition)
        return partition

    def block(self, source_site: Hashable, destination_site: Hashable) -> None:
        """Drops all datagrams from one site to another, one way only."""
        self._blocked.add((source_site, destination_site))

    def heal(self, partition: Partition | None = None) -> None:
        """Ends one partition, or all partitions and blocks."""
        if partition is not None:
            self._partitions.remove(partition)
            return
        self._partitions.clear()
        self._blocked.clear()

    def connected(self, source: NodeAddress, to: NodeAddress) -> bool:
        """Returns whether neither a partition nor a block lies between two addresses, this way."""
        here = self._sites.get(source, source)
        there = self._sites.get(to, to)
        if (here, there) in self._blocked:
            return False
        return not any(partition.separates(here, there) for partition in self._partitions)

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Handles all events of the next seconds."""
        self.clock.run(self.clock.now + int(seconds * MICROSECONDS_PER_SECOND))

    def run_next(self, end: int) -> bool:
        """Handles all events of the next instant.

        Args:
            end: The last instant that counts.

        Returns:
            Whether there was an event up to the end.
        """
        heap = self.clock.heap
        if not heap or heap[0][0] > end:
            return False
        self.clock.run(heap[0][0])
        return True

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


def default_delay(source: object, to: object) -> Delay:
    """Returns the delay between two addresses of a network whose addresses are all equally far apart."""
    return DEFAULT_DELAY
