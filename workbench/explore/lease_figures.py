"""Time without a holder, and datagrams, of a lease: `python -m workbench.explore.lease_figures`.

The only event on the virtual network is that the holder is killed or releases the lease. Leases last 3 s,
delays are 1 to 3 ms, and clocks drift by up to 1% either way.
"""

from __future__ import annotations

from dataclasses import dataclass

import click
import numpy as np

from workbench.explore.faults import SECOND_US
from workbench.explore.lease_network import LeaseNetwork
from workbench.explore.lease_process import LeaseProcess

SETTLING_TIME_US = 10 * SECOND_US
COUNTING_WINDOW_US = 12 * SECOND_US
# The holder ends at a random time within the duration of a lease.
MAX_END_DELAY_US = 3 * SECOND_US
ACQUISITION_LIMIT_US = 10 * SECOND_US


class AcquisitionNetwork(LeaseNetwork):
    """A lease network that records when the lease was last acquired."""

    def on_acquired(self, process: LeaseProcess, token: int) -> None:
        """Record the time of an acquisition."""
        super().on_acquired(process, token)
        self.acquired_at = self.clock.now


@dataclass(frozen=True)
class GapFigures:
    """Figures of one run.

    Attributes:
        gap_s: Seconds without a holder after one was killed or released the lease.
        voter_datagrams: Datagrams per second that a voter sent before that.
        client_datagrams: Datagrams per second that a client sent before that.
    """

    gap_s: float
    voter_datagrams: float
    client_datagrams: float


def measure_gap(seed: int, voters: int, clients: int, planned: bool) -> GapFigures:
    """Measure one run, in which the holder releases the lease if `planned`, and else is killed."""
    network = AcquisitionNetwork(seed, faults=[], voters=voters, clients=clients)
    network.clock.run(SETTLING_TIME_US)
    before = network.trace.messages
    network.clock.run(SETTLING_TIME_US + COUNTING_WINDOW_US)
    sent = (network.trace.messages - before) / (COUNTING_WINDOW_US / SECOND_US)
    at = SETTLING_TIME_US + COUNTING_WINDOW_US + network.acts_rng.randrange(MAX_END_DELAY_US)
    network.clock.run(at)
    (holder,) = network.holders()
    if planned:
        holder.release_all()
    else:
        holder.kill()
    network.acquired_at = -1
    end = at + ACQUISITION_LIMIT_US
    while network.acquired_at < 0 and network.network.run_next(end):
        pass
    acquired_at = network.acquired_at if network.acquired_at >= 0 else end
    # Each request is answered, so voters send half of the messages.
    return GapFigures((acquired_at - at) / SECOND_US, sent / 2 / voters, sent / 2 / clients)


@click.command()
@click.option("--seeds", type=click.IntRange(1), default=100)
@click.option("--clients", "--askers", "counts", type=int, multiple=True, default=(10, 100, 1000))
def main(seeds: int, counts: tuple[int, ...]) -> None:
    """Print a Markdown table of the gaps and datagrams by numbers of voters and clients."""
    gaps = "after a kill, s: p50, p99, max | after a planned end, ms: p50, p99, max"
    click.echo(f"| voters | clients | seeds | {gaps} | datagrams/s per voter | per client |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for voters in (3, 5):
        for clients in counts:
            killed = [measure_gap(s, voters, clients, planned=False) for s in range(1, seeds + 1)]
            planned = [measure_gap(s, voters, clients, planned=True) for s in range(1, seeds + 1)]
            killed_gaps = [figures.gap_s for figures in killed]
            planned_gaps = [figures.gap_s for figures in planned]
            killed_cell = " ".join(f"{np.percentile(killed_gaps, p):.2f}" for p in (50, 99, 100))
            planned_cell = " ".join(f"{1000 * np.percentile(planned_gaps, p):.0f}" for p in (50, 99, 100))
            voter_datagrams = np.mean([figures.voter_datagrams for figures in killed])
            client_datagrams = np.mean([figures.client_datagrams for figures in killed])
            cost = f"{voter_datagrams:.1f} | {client_datagrams:.2f}"
            click.echo(f"| {voters} | {clients} | {seeds} | {killed_cell} | {planned_cell} | {cost} |")


if __name__ == "__main__":
    main()
