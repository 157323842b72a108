"""How long a lease is without a holder, and what it costs: `python -m workbench.explore.lease_figures`.

On the virtual network without faults but one: the holder is killed, or gives the lease back. Leases of 3 s,
delays of 1 to 3 ms, clocks 1% off either way.
"""

from __future__ import annotations

from dataclasses import dataclass

import click
import numpy as np

from workbench.explore.faults import SEC
from workbench.explore.lease_network import LeaseNetwork
from workbench.explore.lease_process import LeaseProcess

SETTLED = 10 * SEC
COUNTED = 12 * SEC  # in which datagrams are
SPREAD = 3 * SEC  # the end comes at any time within a lease
WATCHED = 10 * SEC


class WatchedNetwork(LeaseNetwork):
    """Records when the lease was acquired last."""

    def on_acquired(self, process: LeaseProcess, token: int) -> None:
        """Records the time."""
        super().on_acquired(process, token)
        self.acquired_at = self.clock.now


@dataclass(frozen=True)
class GapFigures:
    """Figures of one run.

    Attributes:
        gap_s: Seconds without a holder after one was killed or released the lease.
        voter_datagrams: Datagrams a second that a voter sent before that.
        client_datagrams: The same of a client.
    """

    gap_s: float
    voter_datagrams: float
    client_datagrams: float


def gap(seed: int, voters: int, clients: int, planned: bool) -> GapFigures:
    """Measures one run; `planned`: the holder releases the lease, in place of being killed."""
    network = WatchedNetwork(seed, faults=[], voters=voters, clients=clients)
    network.clock.run(SETTLED)
    before = network.trace.messages
    network.clock.run(SETTLED + COUNTED)
    sent = (network.trace.messages - before) / (COUNTED / SEC)
    at = SETTLED + COUNTED + network.acts_rng.randrange(SPREAD)
    network.clock.run(at)
    (holder,) = network.holders()
    if planned:
        holder.release_all()
    else:
        holder.kill()
    network.acquired_at = -1
    end = at + WATCHED
    while network.acquired_at < 0 and network.network.run_next(end):
        pass
    taken = network.acquired_at if network.acquired_at >= 0 else end
    # Each question has its answer: half of what is sent comes from voters.
    return GapFigures((taken - at) / SEC, sent / 2 / voters, sent / 2 / clients)


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=100)
@click.option("--clients", "--askers", "counts", type=int, multiple=True, default=(10, 100, 1000))
def main(seeds: int, counts: tuple[int, ...]) -> None:
    """Print a table in Markdown."""
    gaps = "after a kill, s: p50, p99, most | after a planned end, ms: p50, p99, most"
    click.echo(f"| voters | clients | seeds | {gaps} | datagrams/s a voter | a client |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for voters in (3, 5):
        for clients in counts:
            killed = [gap(s, voters, clients, planned=False) for s in range(1, seeds + 1)]
            planned = [gap(s, voters, clients, planned=True) for s in range(1, seeds + 1)]
            killed_gaps = [figures.gap_s for figures in killed]
            planned_gaps = [figures.gap_s for figures in planned]
            k = " ".join(f"{np.percentile(killed_gaps, p):.2f}" for p in (50, 99, 100))
            h = " ".join(f"{1000 * np.percentile(planned_gaps, p):.0f}" for p in (50, 99, 100))
            voter_datagrams = np.mean([figures.voter_datagrams for figures in killed])
            client_datagrams = np.mean([figures.client_datagrams for figures in killed])
            cost = f"{voter_datagrams:.1f} | {client_datagrams:.2f}"
            click.echo(f"| {voters} | {clients} | {seeds} | {k} | {h} | {cost} |")


if __name__ == "__main__":
    main()
