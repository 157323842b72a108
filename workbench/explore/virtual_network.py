"""Virtual network: datagrams between endpoints on a virtual clock, with the faults of a real network.

The caller supplies clock and random stream, so a run is repeatable by its seed. The random numbers for a
datagram are drawn in this order, each only if its setting requires it: loss, duplication, then for each copy
the reordering delay and the transmission delay. Any other order changes the results of every seed. No random
number is drawn for a datagram from an address to itself, which is never lost.

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
LOOPBACK_DELAY_US = 1
# Key with which all processes on a virtual network sign their datagrams.
GROUP_KEY = b"a key for the virtual network"

NodeAddress = TypeVar("NodeAddress", bound=Hashable)
Payload = TypeVar("Payload")


@dataclass(frozen=True)
class Delay:
    """Transmission delay, uniformly distributed around its mean.

    Attributes:
        mean: Mean delay.
        spread: Width of the distribution as a share of the mean, from 0 to 2.
    """

    mean: int
    spread: float = 1.0

    def sample(self, rng: Random) -> int:
        """Draw the delay of one datagram."""
        return int(self.mean * (1 - self.spread / 2 + self.spread * rng.random()))


DEFAULT_DELAY = Delay(2_000)


@dataclass(frozen=True)
class LinkFaults:
    """Faults of the links between endpoints.

    Attributes:
        loss: Probability that a datagram is lost; None for no loss and no random draw.
        duplication: Probability that a datagram arrives twice.
        max_reordering_delay: Maximum of the random addition to each delay, which reorders datagrams.
    """

    loss: float | None = None
    duplication: float = 0.0
    max_reordering_delay: int = 0


class Direction(Enum):
    """Direction, as seen from the separated sites, in which a partition drops datagrams."""

    BOTH = "both"
    OUTGOING = "out"
    INCOMING = "in"


@dataclass(frozen=True)
class Partition:
    """Separation of some sites from all others; the separated sites still reach one another."""

    sites: frozenset[Hashable]
    direction: Direction = Direction.BOTH

    def separates(self, source_site: Hashable, destination_site: Hashable) -> bool:
        """Return whether the partition drops datagrams from one site to another."""
        outgoing = source_site in self.sites
        if outgoing == (destination_site in self.sites):
            return False
        return self.direction in (Direction.BOTH, Direction.OUTGOING if outgoing else Direction.INCOMING)


@dataclass(frozen=True)
class WaitResult:
    """Time for which a run waited for a condition, and whether the condition holds."""

    seconds: float
    holds: bool


class VirtualNetwork(Generic[NodeAddress, Payload]):
    """Network that delivers payloads between addresses.

    Each address belongs to a site, by default to one that contains no other address. Partitions separate
    sites.

    Args:
        clock: The virtual clock.
        rng: The random stream of the network.
        delay: Returns the delay from one address to another; None for `DEFAULT_DELAY` between all.
        faults: Faults of all links; may be replaced while the network runs.
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
        """Open an endpoint.

        Args:
            address: Its address; an open endpoint at this address is replaced.
            receive: Called with the sender's address and the payload of each datagram.
            site: Its site; None for a site that contains only this address and is identified by it.
        """
        self._receivers[address] = receive
        if site is not None:
            self._sites[address] = site

    def detach(
        self, address: NodeAddress, receive: Callable[[NodeAddress, Payload], None] | None = None
    ) -> None:
        """Close an endpoint; datagrams to it are dropped.

        Args:
            address: Its address.
            receive: Close the endpoint only if it was opened with this receiver; None: in any case.
        """
        if receive is None or self._receivers.get(address) == receive:
            self._receivers.pop(address, None)

    def is_attached(self, address: NodeAddress) -> bool:
        """Return whether an endpoint is open at an address."""
        return address in self._receivers

    # ---- datagrams ------------------------------------------------------------------------------------

    def send(self, source: NodeAddress, to: NodeAddress, payload: Payload) -> None:
        """Send a datagram; the sender does not learn whether it arrives."""
        if source == to:
            self.clock.call_at(self.clock.now + LOOPBACK_DELAY_US, self._deliver, (source, to, payload))
            return
        faults = self.faults
        if faults.loss is not None and self.rng.random() < faults.loss:
            return
        if not self.connected(source, to):
            return
        copies = 2 if faults.duplication and self.rng.random() < faults.duplication else 1
        for _ in range(copies):
            max_reordering = faults.max_reordering_delay
            reordering = int(max_reordering * self.rng.random()) if max_reordering else 0
            delay = self.delay(source, to).sample(self.rng)
            self.clock.call_at(self.clock.now + delay + reordering, self._deliver, (source, to, payload))

    def _deliver(self, datagram: tuple[NodeAddress, NodeAddress, Payload]) -> None:
        source, to, payload = datagram
        receive = self._receivers.get(to)
        if receive is not None:
            receive(source, payload)

    # ---- partitions -----------------------------------------------------------------------------------

    def partition(self, sites: Iterable[Hashable], direction: Direction = Direction.BOTH) -> Partition:
        """Separate sites from all others until the returned partition is healed."""
        partition = Partition(frozenset(sites), direction)
        self._partitions.append(partition)
        return partition

    def block(self, source_site: Hashable, destination_site: Hashable) -> None:
        """Drop all datagrams from one site to another, one way only."""
        self._blocked.add((source_site, destination_site))

    def heal(self, partition: Partition | None = None) -> None:
        """End one partition, or all partitions and blocks."""
        if partition is not None:
            self._partitions.remove(partition)
            return
        self._partitions.clear()
        self._blocked.clear()

    def connected(self, source: NodeAddress, to: NodeAddress) -> bool:
        """Return whether no partition or block drops datagrams from one address to another."""
        source_site = self._sites.get(source, source)
        destination_site = self._sites.get(to, to)
        if (source_site, destination_site) in self._blocked:
            return False
        return not any(partition.separates(source_site, destination_site) for partition in self._partitions)

    # ---- time -----------------------------------------------------------------------------------------

    def run(self, seconds: float) -> None:
        """Handle all events of the next seconds."""
        self.clock.run(self.clock.now + int(seconds * MICROSECONDS_PER_SECOND))

    def run_next(self, end: int) -> bool:
        """Handle all events of the next instant.

        Args:
            end: Time after which no events are handled.

        Returns:
            Whether an event was handled.
        """
        heap = self.clock.heap
        if not heap or heap[0][0] > end:
            return False
        self.clock.run(heap[0][0])
        return True

    def run_until(
        self, condition: Callable[[], bool], limit_s: float, poll_interval_s: float = POLL_INTERVAL_S
    ) -> WaitResult:
        """Run until a condition holds, or up to a limit.

        Args:
            condition: Condition to wait for, evaluated after each poll interval.
            limit_s: Maximum time to wait.
            poll_interval_s: Interval between evaluations, which is the resolution of the result.
        """
        waited_s = 0.0
        while not condition():
            if waited_s >= limit_s:
                return WaitResult(waited_s, holds=False)
            self.run(poll_interval_s)
            waited_s += poll_interval_s
        return WaitResult(waited_s, holds=True)


def default_delay(source: object, to: object) -> Delay:
    """Return the same delay for all pairs of addresses."""
    return DEFAULT_DELAY
