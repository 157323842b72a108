"""What one member of a group costs its own process, at sizes too large to play whole.

    python -m workbench.scale.member SIZES... [--seed N]...

A single member knows all others; they answer its pings at once and ping it once a period. No news is under
way. The state machine's own calls are measured one by one: `tick`, `receive`, `due` (which a host asks again
after each datagram) and the codec; memory is what its table of members takes.
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

if TYPE_CHECKING:  # earlier revisions, which are measured too, have it under another name
    from balancer.fleet.membership.messages import OutgoingMessage

PERIOD_US = 1_000_000
PERIODS = 30
FIRST_PERIODS = 3  # not measured
DUE_CALLS = 2  # of the node's fleet host: before and after a datagram, at a tick and to set the timer
T = TypeVar("T")
P = ParamSpec("P")


class Stopwatch:
    """Processor time by what it was spent on."""

    def __init__(self) -> None:
        self.spent_ns: dict[str, int] = {}

    def time(self, component: str, call: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        begun = process_time_ns()
        result = call(*args, **kwargs)
        self.spent_ns[component] = self.spent_ns.get(component, 0) + process_time_ns() - begun
        return result

    def microseconds(self, component: str) -> float:
        return self.spent_ns.get(component, 0) / 1000


class LoneMember:
    """One member, and the others as it sees them."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = Random(seed)
        self.watch = Stopwatch()
        self.outgoing = Codec([GROUP_KEY])
        self.incoming = Codec([GROUP_KEY])
        self.now = PERIOD_US
        self.names = [f"n{i}" for i in range(2, size + 1)]
        self.swim = Swim("n1", ("10.0.0.1", 1), 1, [], Random(seed), self.now)
        self.table_bytes = self.fill()

    def fill(self) -> int:
        """Introduces all others; the bytes that the table takes."""
        tracemalloc.start()
        for name in self.names:
            # Made anew, as from a datagram: no text is shared with another entry.
            claim = Claim(
                name[:1] + name[1:], (".".join(["10", "0", "0", "1"]), int(name[1:])), Status.ALIVE, 1
            )
            self.swim.accept(self.now, claim)
        stop_dissemination(self.swim)
        taken = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        return taken

    def period(self) -> int:
        """One period of the protocol; the datagrams that the member sent."""
        ends = self.now + PERIOD_US
        ping_at = self.now + int(PERIOD_US * self.rng.random())
        sent = 0
        while self.now < ends:
            due = self.watch.time("due", self.swim.due)
            if ping_at < min(due, ends):
                self.now, ping_at = ping_at, ends
                sent += self.take(Message(Kind.PING, self.rng.choice(self.names), 1))
                continue
            self.now = min(due, ends)
            if self.now == ends:
                break
            self.watch.time("due", self.swim.due)
            sends = self.watch.time("tick", self.swim.tick, self.now)
            sent += self.put(sends)
        return sent

    def put(self, sends: list[OutgoingMessage]) -> int:
        """Encodes what the member sends; those pinged answer at once."""
        for send in sends:
            message = send.message
            self.watch.time("codec", self.outgoing.encode, message, self.now)
            if message.kind == Kind.PING:
                self.take(Message(Kind.ACK, f"n{send.to[1]}", message.seq))
        return len(sends)

    def take(self, message: Message) -> int:
        """A datagram comes in; what it makes the member send goes out."""
        data = self.incoming.encode(message, self.now)
        decoded = self.watch.time("codec", self.outgoing.decode, data, self.now)
        assert decoded is not None
        for _ in range(DUE_CALLS):
            self.watch.time("due", self.swim.due)
        sends = self.watch.time("receive", self.swim.receive, self.now, ("10.0.0.1", 2), decoded)
        return self.put(sends)


def measure(size: int, seed: int) -> list[Row]:
    """Microseconds a second of one member by component, and its memory."""
    member = LoneMember(size, seed)
    for _ in range(FIRST_PERIODS):
        member.period()
    member.watch = Stopwatch()
    sent = sum(member.period() for _ in range(PERIODS))
    parts = {name: member.watch.microseconds(name) / PERIODS for name in ("tick", "receive", "due", "codec")}
    values = {f"{name}_us": value for name, value in parts.items()}
    values |= {
        "cpu_us": sum(parts.values()),
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
