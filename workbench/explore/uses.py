"""What the fleet's uses of leases and zone routing gain: the same day with and without them, seed by seed.

python -m workbench.explore.uses probe --seeds 10 --jobs 8
python -m workbench.explore.uses remeasure --seeds 10 --jobs 8
python -m workbench.explore.uses zone-lost --seeds 10 --jobs 8

On the virtual clock: 50 front nodes, their leases between them, and the world's servers and clients.
"""

from __future__ import annotations

import multiprocessing
from collections import Counter
from dataclasses import replace
from typing import Any

import click
import numpy as np

from balancer.fleet.zone_routing.settings import ZoneSettings
from workbench.experiment.statistics import t_interval
from workbench.scenario.load import draw, load, parse_scenario, to_table
from workbench.scenario.model import Scenario
from workbench.simulator.fleet import FleetOptions, VirtualFleet
from workbench.simulator.play import Run, play

NODES = 50
COMMON = [f"nodes.count={NODES}", "nodes.start_spread_ms=200"]
COMPLETE = 0.99  # of the worth in a second: as good as all
SETTLED = 50.0  # seconds: the refusals of the first passes are long over
SILENT: dict[str, Any] = {"type": "silent", "at_s": 10.0, "for_s": 50.0, "part": 0.333}
DAYS: dict[str, tuple[FleetOptions, list[str], list[dict[str, Any]]]] = {
    "probe": (  # 30 of 90 servers fall silent for a minute
        FleetOptions(health_checks=True),
        [
            *("servers=90", "length_s=120", "load.fraction=0.35", "discovery.silent_notice_s=300"),
            *("class[0].work_ms=400", "class[1].work_ms=400", "tier[0].kind[0].cores=16"),
            *("class[0].aim_s=2", "class[1].aim_s=2", "class[0].deadline_s=6", "class[1].deadline_s=6"),
        ],
        [SILENT],
    ),
    "remeasure": (  # each node carries more calls than a pass allows
        FleetOptions(min_rtt_share=0.1),
        [
            *("servers=120", "length_s=100", "load.fraction=0.7"),
            *("class[0].work_ms=1500", "class[1].work_ms=1500", "tier[0].kind[0].cores=128"),
            *("class[0].aim_s=4", "class[1].aim_s=4", "class[0].deadline_s=8", "class[1].deadline_s=8"),
        ],
        [],
    ),
}
# Three zones, a round-trip of 16 ms between them; their servers are at 47% of what they can do.
THREE_ZONES = [
    *("servers=75", "zones.count=3", "nodes.count=30", "network.cross_ms=8", "length_s=90"),
    *("load.fraction=0.47", "discovery.silent_notice_s=300"),
]
FAULT_BEGIN_S, FAULT_END_S = 20.0, 45.0
FAULT_SHOWS_WITHIN_S = 15  # losses that begin later are not counted as the fault's


def zone_fault(
    kind: str, at: float = FAULT_BEGIN_S, length: float = FAULT_END_S - FAULT_BEGIN_S, **more: float
) -> dict[str, Any]:
    """A fault of the second zone, or of what `more` names."""
    return {"type": kind, "at_s": at, "for_s": length, "zone": 1} | more


ZONE_FAULTS: dict[str, list[dict[str, Any]]] = {
    "zones": [],
    "zone-lost": [zone_fault("zone_lost")],
    "zone-failing": [zone_fault("zone_failing", share=0.3)],
    "zone-slow": [zone_fault("zone_slow", factor=5.0)],
    "zone-cut": [zone_fault("cut")],
    "zone-flaps": [zone_fault("zone_failing", at, 10.0, share=0.6) for at in (15.0, 35.0, 55.0)],
    "release-bad": [zone_fault("zone_failing", zone=z, share=0.3) for z in range(3)],
    "one-bad": [zone_fault("silent", part=0.03)],
    "region-lost": [zone_fault("zone_lost")],  # the others at 66%: with its load they are at 99%
    "regions": [zone_fault("zone_lost")],
    "uneven": [],
    "no-clients": [],
}
ZONE_DAY_KEYS = {
    "region-lost": ["load.fraction=0.66"],
    "uneven": ["zones.count=2", "zones.servers.0=2", "zones.servers.1=50", "servers=52"],
    "no-clients": ["zones.count=2", "zones.skew=1.0"],
    # Five zones in two regions, 60 ms apart; 200 nodes.
    "regions": [
        *("zones.count=5", "zones.regions=2", "network.region_ms=30", "network.cross_ms=2"),
        *("nodes.count=200", "servers=200", "length_s=60"),
    ],
}
DAYS |= {
    name: (
        FleetOptions(zones=ZoneSettings(), region_cost=3.0),
        THREE_ZONES + ZONE_DAY_KEYS.get(name, []),
        faults,
    )
    for name, faults in ZONE_FAULTS.items()
}
# A call to another zone takes 120 ms longer, and one zone has a third of its servers.
DISTANT_ZONES = [*THREE_ZONES, "network.cross_ms=60", "load.fraction=0.75", "zones.servers.0=0.3"]
DAYS |= {
    name: (FleetOptions(zones=ZoneSettings(), keep_network_delay=together), DISTANT_ZONES, [])
    for name, together in (("far-apart", False), ("far-together", True))
}
Row = dict[str, float]


def scenario(use: str) -> Scenario:
    """The day, ranges and all, made of the lab's scenario."""
    _, keys, faults = DAYS[use]
    return parse_scenario(to_table(load("lab", [*COMMON, *keys])) | {"fault": faults})


def variants(use: str) -> list[str]:
    """What is played side by side: the module alone, a baseline where there is one, the fleet."""
    return ["alone", "strict", "fleet"] if DAYS[use][0].zones is not None else ["alone", "fleet"]


def figures(what: tuple[str, int, str]) -> Row:
    """One run."""
    use, seed, variant = what
    uses, _, _ = DAYS[use]
    fleet = VirtualFleet(None if variant == "alone" else replace(uses, strictly_local=variant == "strict"))
    run = play(draw(scenario(use), seed), fleet)
    account, bins = run.result["account"], run.result["table"]
    modules = fleet.balancers
    row = {
        "worth, points": 100 * account["goal"],
        "requests lost": lost(bins, 0.0),
        f"requests lost from {SETTLED:g} s on": lost(bins, SETTLED),
        "refusals": float(account["refusals"][0]),
        "messages a node and second": fleet.record.messages / NODES / (run.result["day"]["length_s"]),
        "broken rules": float(sum(run.result["rules"].values())),
    }
    if uses.zones is not None:
        row |= zone_figures(run, fleet)
    elif use == "probe":
        row["trials of servers set aside"] = float(sum(fleet.record.probes.values()))
        row["still aside at the end"] = float(sum(len(m.ejection.ejected) for m in modules))
        assert fleet.world is not None
        well = fleet.world.begin_at + int((SILENT["at_s"] + SILENT["for_s"]) * 1e6)
        back = [(at - well) / 1e6 for at in fleet.record.readmitted if at > well]
        row["taken back after, s: mean"] = float(np.mean(back))
        row["taken back after, s: 90%"] = float(np.percentile(back, 90))
    else:
        row["refusals in passes"] = float(fleet.record.rejected_in_recalculation)
        row["most in a pass at a refusal"] = float(fleet.record.max_recalculating)
        row["limit at the end, sum"] = float(sum(m.controller.limit for m in modules))
        row["min_rtt at the end, ms"] = float(np.mean([max(m.controller.min_rtt) for m in modules])) / 1000
    return row


def zone_figures(run: Run, fleet: VirtualFleet) -> Row:
    """The figures by which zone routing is judged."""
    account, seconds = run.result["account"], run.result["seconds"]
    attempts = account["attempts_a_call"][0] * account["calls"][0]
    served = [b["served_worth"] / b["worth"] if b["worth"] else 1.0 for b in seconds]
    lossy_seconds = [
        second
        for second, share in enumerate(served)
        if FAULT_BEGIN_S <= second < FAULT_BEGIN_S + FAULT_SHOWS_WITHIN_S and share < COMPLETE
    ]
    lossy_until = lossy_seconds[-1] + 1 if lossy_seconds else FAULT_BEGIN_S
    lines = [text for *_, text in fleet.record.log_lines]
    evacuations = Counter(
        (node, text.split()[2]) for _, node, text in fleet.record.log_lines if " evacuated " in text
    )
    return {
        "worst 10 s, points": 100 * account["worst_window"],
        "seconds under 99% after the fault": float(lossy_until - FAULT_BEGIN_S),
        "attempts that cross zones, %": 100 * fleet.cross_zone_attempts() / max(1.0, attempts),
        "attempts a call": account["attempts_a_call"][0],
        "p50, ms": account["latency_ms"]["p50"],
        "p99, ms": account["latency_ms"]["p99"],
        "cold servers pushed over": float(sum("cold" in s for s in run.violations)),
        "zones left, by all nodes": float(sum(evacuations.values())),
        "most by one node": float(max(evacuations.values(), default=0)),
        "zones whole again": float(sum(text.endswith(" recovered") for text in lines)),
    }


def lost(bins: list[dict[str, Any]], since: float) -> float:
    """Requests that were not served, of those asked from then on."""
    return float(sum(b["asked"] - b["served"] for b in bins if b["at_s"] >= since))


def table(rows: dict[str, list[Row]]) -> list[str]:
    """Markdown: a line for each figure, with the 95% interval of the fleet's difference seed by seed."""
    names = list(rows)
    count = len(rows["fleet"])
    heads = " | ".join([*names, *(f"fleet less {n} (95%)" for n in names[:-1])])
    out = [f"| mean of {count} seeds | {heads} |", "| --- " * (2 * len(names)) + "|"]
    for key in rows["fleet"][0]:
        of = {name: np.array([r[key] for r in rows[name]]) for name in names}
        cells = [f"{v.mean():.4g}" for v in of.values()]
        for name in names[:-1]:
            mean, low, high = t_interval(of["fleet"] - of[name])
            cells.append(f"{mean:+.3g} ({low:.3g} to {high:.3g})")
        out.append(f"| {key} | {' | '.join(cells)} |")
    return out


@click.command()
@click.argument("use", type=click.Choice(list(DAYS)))
@click.option("--seeds", type=click.IntRange(2), default=10, help="So many, from 1 on.")
@click.option("--jobs", type=click.IntRange(1), default=4)
def main(use: str, seeds: int, jobs: int) -> None:
    """Play USE's day with and without it, and print a table."""
    names = variants(use)
    work = [(use, seed, name) for seed in range(1, seeds + 1) for name in names]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        found = pool.map(figures, work, chunksize=1)
    click.echo("\n".join(table({name: found[i :: len(names)] for i, name in enumerate(names)})))


if __name__ == "__main__":
    main()
