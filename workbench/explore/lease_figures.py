"""How long a duty is without a holder, and what it costs: `python -m workbench.explore.lease_figures`.

On the virtual network without faults but one: the holder is killed, or gives the duty back. Leases of 3 s,
delays of 1 to 3 ms, clocks 1% off either way.
"""

from __future__ import annotations

import click
import numpy as np

from workbench.explore.faults import SEC
from workbench.explore.lease_network import DUTY, Net, Process

SETTLED = 10 * SEC
COUNTED = 12 * SEC  # in which datagrams are
SPREAD = 3 * SEC  # the end comes at any time within a lease
WATCHED = 10 * SEC


class Watched(Net):
    """Notes who takes over and when."""

    def took_over(self, p: Process, token: int) -> None:
        super().took_over(p, token)
        self.since = self.clock.now


def gap(seed: int, voters: int, askers: int, planned: bool) -> tuple[float, float, float]:
    """Seconds without a holder after one was killed or gave the duty back; datagrams a second of a voter, and
    of an asker, before that."""
    net = Watched(seed, faults=[], voters=voters, askers=askers)
    net.clock.run(SETTLED)
    before = net.story.messages
    net.clock.run(SETTLED + COUNTED)
    sent = (net.story.messages - before) / (COUNTED / SEC)
    at = SETTLED + COUNTED + net.acts.randrange(SPREAD)
    net.clock.run(at)
    (holder,) = [p for p in net.processes.values() if p.asker.holding(p.now(), DUTY) is not None]
    if planned:
        net.give_back(holder)
    else:
        holder.kill()
    net.since = -1
    end = at + WATCHED
    while net.since < 0 and net.clock.now < end and net.clock.heap:
        net.clock.run(net.clock.heap[0][0])
    taken = net.since if net.since >= 0 else end
    # Each question has its answer: half of what is sent comes from voters.
    return (taken - at) / SEC, sent / 2 / voters, sent / 2 / askers


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=100)
@click.option("--askers", "counts", type=int, multiple=True, default=(10, 100, 1000))
def main(seeds: int, counts: tuple[int, ...]) -> None:
    """Print a table in Markdown."""
    gaps = "after a kill, s: p50, p99, most | after a planned end, ms: p50, p99, most"
    click.echo(f"| voters | askers | seeds | {gaps} | datagrams/s a voter | an asker |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for voters in (3, 5):
        for askers in counts:
            killed = np.array([gap(s, voters, askers, False) for s in range(1, seeds + 1)])
            planned = np.array([gap(s, voters, askers, True) for s in range(1, seeds + 1)])
            k = " ".join(f"{np.percentile(killed[:, 0], p):.2f}" for p in (50, 99, 100))
            h = " ".join(f"{1000 * np.percentile(planned[:, 0], p):.0f}" for p in (50, 99, 100))
            cost = f"{killed[:, 1].mean():.1f} | {killed[:, 2].mean():.2f}"
            click.echo(f"| {voters} | {askers} | {seeds} | {k} | {h} | {cost} |")


if __name__ == "__main__":
    main()
