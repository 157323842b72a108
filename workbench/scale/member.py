"""Cost of one member to its own process, in groups too large to simulate as a whole.

    python -m workbench.scale.member SIZES... [--seed N]...

A single member knows all others; they answer its pings at once and ping it once a period. No update is being
disseminated. Each call of the state machine is measured: `tick`, `receive`, `due` (which a host calls again
after each datagram) and the codec. The memory is that of its member table.
"""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from random import Random
from time import process_time_ns
from typing import TYPE_CHECKING, ParamSpec, TypeVar

import click
import msgspec

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Claim, Kind, Message, Status, Swim
from workbench.explore.virtual_network import GROUP_KEY
from workbench.scale.membership import Row, stop_dissemination

# Earlier revisions, which are measured too, have this class under another name.
if TYPE_CHECKING:
    from balancer.fleet.membership.messages import OutgoingMessage

PERIOD_US = 1_000_000
PERIODS = 30
WARM_UP_PERIODS = 3
# Calls of `due` by the node's fleet runtime for each datagram: before and after it. A tick has two as well:
# one for the tick, one to set the timer.
DUE_CALLS_PER_DATAGRAM = 2
T = TypeVar("T")
P = ParamSpec("P")


class Stopwatch:
    """Processor time by component."""

    def __init__(self) -> None:
        self.spent_ns: dict[str, int] = {}

    def time(self, component: str, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """Call a function and charge its processor time to a component."""
        started_ns = process_time_ns()
        result = call(*args, **kwargs)
        self.spent_ns[component] = self.spent_ns.get(component, 0) + process_time_ns() - started_ns
        return result

    def microseconds(self, component: str) -> float:
        """Return the processor time of a component so far."""
        return self.spent_ns.get(component, 0) / 1000


class SingleMember:
    """One real state machine, and the datagrams that simulated other members exchange with it."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = Random(seed)
        self.stopwatch = Stopwatch()
        self.outgoing = Codec([GROUP_KEY])
        self.incoming = Codec([GROUP_KEY])
        self.now = PERIOD_US
        self.names = [f"n{i}" for i in range(2, size + 1)]
        self.swim = Swim("n1", ("10.0.0.1", 1), 1, [], Random(seed), self.now)
        self.table_bytes = self.introduce_all()

    def introduce_all(self) -> int:
        """Introduce all others and return the bytes of the member table."""
        tracemalloc.start()
        for name in self.names:
            # New strings, as decoded from a datagram: none is shared with another entry.
            claim = Claim(
                name[:1] + name[1:], (".".join(["10", "0", "0", "1"]), int(name[1:])), Status.ALIVE, 1
            )
            self.swim.accept(self.now, claim)
        stop_dissemination(self.swim)
        traced_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return traced_bytes

    def run_period(self) -> int:
        """Run one protocol period and return the number of datagrams that the member sent."""
        period_end = self.now + PERIOD_US
        ping_at = self.now + int(PERIOD_US * self.rng.random())
        sent = 0
        while self.now < period_end:
            due = self.stopwatch.time("due", self.swim.due)
            if ping_at < min(due, period_end):
                self.now, ping_at = ping_at, period_end
                sent += self.deliver(Message(Kind.PING, self.rng.choice(self.names), 1))
                continue
            self.now = min(due, period_end)
            if self.now == period_end:
                break
            self.stopwatch.time("due", self.swim.due)
            sends = self.stopwatch.time("tick", self.swim.tick, self.now)
            sent += self.transmit(sends)
        return sent

    def transmit(self, sends: list[OutgoingMessage]) -> int:
        """Encode sent datagrams, let pinged members answer at once, and return the number sent."""
        for send in sends:
            message = send.message
            self.stopwatch.time("codec", self.outgoing.encode, message, self.now)
            if message.kind == Kind.PING:
                self.deliver(Message(Kind.ACK, f"n{send.to[1]}", message.seq))
        return len(sends)

    def deliver(self, message: Message) -> int:
        """Deliver a datagram, transmit the member's replies, and return their number."""
        data = self.incoming.encode(message, self.now)
        decoded = self.stopwatch.time("codec", self.outgoing.decode, data, self.now)
        assert decoded is not None
        for _ in range(DUE_CALLS_PER_DATAGRAM):
            self.stopwatch.time("due", self.swim.due)
        sends = self.stopwatch.time("receive", self.swim.receive, self.now, ("10.0.0.1", 2), decoded)
        return self.transmit(sends)


def measure(size: int, seed: int) -> list[Row]:
    """Measure the microseconds a second of one member by component, its datagrams and its memory."""
    member = SingleMember(size, seed)
    for _ in range(WARM_UP_PERIODS):
        member.run_period()
    member.stopwatch = Stopwatch()
    sent = sum(member.run_period() for _ in range(PERIODS))
    component_us = {
        name: member.stopwatch.microseconds(name) / PERIODS for name in ("tick", "receive", "due", "codec")
    }
    values = {f"{name}_us": value for name, value in component_us.items()}
    values |= {
        "cpu_us": sum(component_us.values()),
        "datagrams": sent / PERIODS,
        "table_bytes": float(member.table_bytes),
    }
    return [Row(f"member.{name}", size, seed, value) for name, value in values.items()]


@click.command()
@click.argument("sizes", type=click.IntRange(4, 20_000), nargs=-1, required=True)
@click.option("--seed", "seeds", type=click.IntRange(0), multiple=True, default=(1,), show_default=True)
def main(sizes: tuple[int, ...], seeds: tuple[int, ...]) -> None:
    """Measure one member in groups of SIZES and print a JSON line for each value."""
    for size in sizes:
        for seed in seeds:
            for row in measure(size, seed):
                click.echo(msgspec.json.encode(row).decode())


if __name__ == "__main__":
    main()
