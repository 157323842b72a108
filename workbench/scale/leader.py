"""Cost of a rolling update of the fleet to its leader: `python -m workbench.scale.leader SIZES...`.

The leader asks all members for their status each half second, and each answers. The measurement covers the
decisions and the codec, for datagrams in both directions, without the event loop and the kernel.
"""

from __future__ import annotations

import click
import msgspec

from balancer.fleet.membership.codec import Codec
from balancer.fleet.rolling_update.decisions import BROADCAST_INTERVAL_US, RollingUpdate
from balancer.fleet.rolling_update.messages import RollingUpdateKind, RollingUpdateMessage, RollingUpdateWire
from workbench.explore.virtual_network import GROUP_KEY
from workbench.scale.member import Stopwatch
from workbench.scale.membership import Row

ROUNDS = 8
SECOND_US = 1_000_000
NOW_US = 10 * SECOND_US
TOKEN = 7


class StubMembership:
    """Membership as the leader sees it: all members are alive and serving."""

    def __init__(self, size: int) -> None:
        self.names = [f"n{i}" for i in range(2, size + 1)]

    def serving(self) -> bool:
        """Return whether this node serves requests."""
        return True

    def alive(self) -> list[str]:
        """Return the names of the other members."""
        return self.names

    def departed(self) -> list[str]:
        """Return the names of members that have left or died."""
        return []


def measure(size: int) -> list[Row]:
    """Measure processor time, datagrams and bytes a second of a leader."""
    membership = StubMembership(size)
    leader = RollingUpdate("n1", "z0", 1, membership, NOW_US)
    plan = leader.begin(2, 1)
    outgoing, incoming = Codec([GROUP_KEY], [RollingUpdateWire()]), Codec([GROUP_KEY], [RollingUpdateWire()])
    stopwatch = Stopwatch()
    datagrams = byte_count = 0
    now = NOW_US
    for _ in range(ROUNDS):
        for sent in stopwatch.time("decisions", leader.tick, now, TOKEN):
            data = stopwatch.time("codec", outgoing.encode, sent.message, now)
            datagrams, byte_count = datagrams + 1, byte_count + len(data)
        for name in membership.names:
            report = RollingUpdateMessage(RollingUpdateKind.REPORT, name, plan, 1, 0, True, "z0")
            data = incoming.encode(report, now)
            decoded = stopwatch.time("codec", outgoing.decode, data, now)
            assert isinstance(decoded, RollingUpdateMessage)
            stopwatch.time("decisions", leader.received, now, decoded)
            datagrams, byte_count = datagrams + 1, byte_count + len(data)
        now += BROADCAST_INTERVAL_US
    seconds = ROUNDS * BROADCAST_INTERVAL_US / SECOND_US
    values = {
        "cpu_us": (stopwatch.microseconds("decisions") + stopwatch.microseconds("codec")) / seconds,
        "datagrams": datagrams / seconds,
        "bytes": byte_count / seconds,
    }
    return [Row(f"leader.{name}", size, 0, value) for name, value in values.items()]


@click.command()
@click.argument("sizes", type=click.IntRange(4, 20_000), nargs=-1, required=True)
@click.option("--repeats", type=click.IntRange(1, 20), default=3, show_default=True)
def main(sizes: tuple[int, ...], repeats: int) -> None:
    """Measure a leader of groups of SIZES and print a JSON line for each value."""
    for size in sizes:
        for _ in range(repeats):
            for row in measure(size):
                click.echo(msgspec.json.encode(row).decode())


if __name__ == "__main__":
    main()
