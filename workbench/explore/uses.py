"""Benefit of the fleet's uses of leases and zone routing: one scenario with and without them, by seed.

python -m workbench.explore.uses probe --seeds 10 --jobs 8
python -m workbench.explore.uses remeasure --seeds 10 --jobs 8
python -m workbench.explore.uses zone-lost --seeds 10 --jobs 8

The simulation has 50 front nodes that share leases, and the servers and clients of the scenario.
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

NODE_COUNT = 50
COMMON_SETTINGS = [f"nodes.count={NODE_COUNT}", "nodes.start_spread_ms=200"]
# Share of a second's worth from which on the second counts as served in full.
FULL_SERVICE_RATIO = 0.99
# By this time the rejections during the first minRTT recalculations have ended.
SETTLED_AFTER_S = 50.0
SILENT_FAULT: dict[str, Any] = {"type": "silent", "at_s": 10.0, "for_s": 50.0, "part": 0.333}
USES: dict[str, tuple[FleetOptions, list[str], list[dict[str, Any]]]] = {
    # Of 90 servers, 30 stop responding for 50 s.
    "probe": (
        FleetOptions(health_checks=True),
        [
            *("servers=90", "length_s=120", "load.fraction=0.35", "discovery.silent_notice_s=300"),
            *("class[0].work_ms=400", "class[1].work_ms=400", "tier[0].kind[0].cores=16"),
            *("class[0].aim_s=2", "class[1].aim_s=2", "class[0].deadline_s=6", "class[1].deadline_s=6"),
        ],
        [SILENT_FAULT],
    ),
    # Each node carries more concurrent calls than a minRTT recalculation allows.
    "remeasure": (
        FleetOptions(min_rtt_share=0.1),
        [
            *("servers=120", "length_s=100", "load.fraction=0.7"),
            *("class[0].work_ms=1500", "class[1].work_ms=1500", "tier[0].kind[0].cores=128"),
            *("class[0].aim_s=4", "class[1].aim_s=4", "class[0].deadline_s=8", "class[1].deadline_s=8"),
        ],
        [],
    ),
}
# Three zones with a round trip of 16 ms between them; the load is 47% of the servers' capacity.
THREE_ZONES = [
    *("servers=75", "zones.count=3", "nodes.count=30", "network.cross_ms=8", "length_s=90"),
    *("load.fraction=0.47", "discovery.silent_notice_s=300"),
]
FAULT_BEGIN_S, FAULT_END_S = 20.0, 45.0
# Losses that begin later than this after the fault's start are not attributed to it.
FAULT_EFFECT_WINDOW_S = 15


def zone_fault(
    kind: str, at_s: float = FAULT_BEGIN_S, for_s: float = FAULT_END_S - FAULT_BEGIN_S, **overrides: float
) -> dict[str, Any]:
    """Return the table of a fault in the second zone; `overrides` may name another zone and further keys."""
    return {"type": kind, "at_s": at_s, "for_s": for_s, "zone": 1} | overrides


ZONE_FAULTS: dict[str, list[dict[str, Any]]] = {
    "zones": [],
    "zone-lost": [zone_fault("zone_lost")],
    "zone-failing": [zone_fault("zone_failing", share=0.3)],
    "zone-slow": [zone_fault("zone_slow", factor=5.0)],
    "zone-cut": [zone_fault("cut")],
    "zone-flaps": [zone_fault("zone_failing", at, 10.0, share=0.6) for at in (15.0, 35.0, 55.0)],
    "release-bad": [zone_fault("zone_failing", zone=z, share=0.3) for z in range(3)],
    "one-bad": [zone_fault("silent", part=0.03)],
    # The load is 66% of the capacity of all zones, so the other zones reach 99% when they take over.
    "region-lost": [zone_fault("zone_lost")],
    "regions": [zone_fault("zone_lost")],
    "uneven": [],
    "no-clients": [],
}
ZONE_SETTINGS = {
    "region-lost": ["load.fraction=0.66"],
    "uneven": ["zones.count=2", "zones.servers.0=2", "zones.servers.1=50", "servers=52"],
    "no-clients": ["zones.count=2", "zones.skew=1.0"],
    # Five zones in two regions with a round trip of 60 ms between them; 200 nodes.
    "regions": [
        *("zones.count=5", "zones.regions=2", "network.region_ms=30", "network.cross_ms=2"),
        *("nodes.count=200", "servers=200", "length_s=60"),
    ],
}
USES |= {
    name: (
        FleetOptions(zones=ZoneSettings(), region_cost=3.0),
        THREE_ZONES + ZONE_SETTINGS.get(name, []),
        faults,
    )
    for name, faults in ZONE_FAULTS.items()
}
# A call to another zone takes 120 ms longer, and one zone has 30% of its usual servers.
DISTANT_ZONES = [*THREE_ZONES, "network.cross_ms=60", "load.fraction=0.75", "zones.servers.0=0.3"]
USES |= {
    name: (FleetOptions(zones=ZoneSettings(), keep_network_delay=keeps_delay), DISTANT_ZONES, [])
    for name, keeps_delay in (("far-apart", False), ("far-together", True))
}
Row = dict[str, float]


def scenario(use: str) -> Scenario:
    """Return the scenario of a use, derived from the lab's scenario with its ranges of values."""
    _, settings, faults = USES[use]
    return parse_scenario(to_table(load("lab", [*COMMON_SETTINGS, *settings])) | {"fault": faults})


def variants(use: str) -> list[str]:
    """Return the names of the compared variants: the policy alone, a baseline if there is one, the fleet."""
    return ["alone", "strict", "fleet"] if USES[use][0].zones is not None else ["alone", "fleet"]


def measure_run(job: tuple[str, int, str]) -> Row:
    """Run one variant of a use with one seed, and return its figures.

    Args:
        job: Name of the use, seed and name of the variant.
    """
    use, seed, variant = job
    options, _, _ = USES[use]
    fleet = VirtualFleet(None if variant == "alone" else replace(options, strictly_local=variant == "strict"))
    run = play(draw(scenario(use), seed), fleet)
    account, bins = run.result["account"], run.result["table"]
    modules = fleet.balancers
    row = {
        "worth, points": 100 * account["goal"],
        "requests lost": count_lost_requests(bins, 0.0),
        f"requests lost from {SETTLED_AFTER_S:g} s on": count_lost_requests(bins, SETTLED_AFTER_S),
        "refusals": float(account["refusals"][0]),
        "messages per node and second": fleet.record.messages / NODE_COUNT / (run.result["day"]["length_s"]),
        "violated rules": float(sum(run.result["rules"].values())),
    }
    if options.zones is not None:
        row |= measure_zone_routing(run, fleet)
    elif use == "probe":
        row["probes of ejected servers"] = float(sum(fleet.record.probes.values()))
        row["still ejected at the end"] = float(sum(len(module.ejection.ejected) for module in modules))
        assert fleet.world is not None
        recovered_at = fleet.world.begin_at + int((SILENT_FAULT["at_s"] + SILENT_FAULT["for_s"]) * 1e6)
        readmission_delays_s = [
            (at - recovered_at) / 1e6 for at in fleet.record.readmitted if at > recovered_at
        ]
        row["readmitted after, s: mean"] = float(np.mean(readmission_delays_s))
        row["readmitted after, s: p90"] = float(np.percentile(readmission_delays_s, 90))
    else:
        row["rejections in recalculations"] = float(fleet.record.rejected_in_recalculation)
        row["most nodes recalculating at a rejection"] = float(fleet.record.max_recalculating)
        row["sum of limits at the end"] = float(sum(module.controller.limit for module in modules))
        row["min_rtt at the end, ms"] = (
            float(np.mean([max(module.controller.min_rtt) for module in modules])) / 1000
        )
    return row


def measure_zone_routing(run: Run, fleet: VirtualFleet) -> Row:
    """Return the figures of zone routing of a run."""
    account, seconds = run.result["account"], run.result["seconds"]
    attempts = account["attempts_a_call"][0] * account["calls"][0]
    served = [b["served_worth"] / b["worth"] if b["worth"] else 1.0 for b in seconds]
    lossy_seconds = [
        second
        for second, share in enumerate(served)
        if FAULT_BEGIN_S <= second < FAULT_BEGIN_S + FAULT_EFFECT_WINDOW_S and share < FULL_SERVICE_RATIO
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
        "attempts per call": account["attempts_a_call"][0],
        "p50, ms": account["latency_ms"]["p50"],
        "p99, ms": account["latency_ms"]["p99"],
        "cold servers overloaded": float(sum("cold" in violation for violation in run.violations)),
        "evacuations of zones, all nodes": float(sum(evacuations.values())),
        "most evacuations by one node": float(max(evacuations.values(), default=0)),
        "zones recovered": float(sum(text.endswith(" recovered") for text in lines)),
    }


def count_lost_requests(bins: list[dict[str, Any]], since_s: float) -> float:
    """Return the number of requests from a time on that were not served."""
    return float(sum(b["asked"] - b["served"] for b in bins if b["at_s"] >= since_s))


def render_table(rows: dict[str, list[Row]]) -> list[str]:
    """Return a Markdown table of the figures, with 95% intervals of the paired differences by seed."""
    names = list(rows)
    count = len(rows["fleet"])
    headings = " | ".join([*names, *(f"fleet minus {variant} (95%)" for variant in names[:-1])])
    lines = [f"| mean of {count} seeds | {headings} |", "| --- " * (2 * len(names)) + "|"]
    for figure in rows["fleet"][0]:
        columns = {name: np.array([r[figure] for r in rows[name]]) for name in names}
        cells = [f"{column.mean():.4g}" for column in columns.values()]
        for name in names[:-1]:
            mean, low, high = t_interval(columns["fleet"] - columns[name])
            cells.append(f"{mean:+.3g} ({low:.3g} to {high:.3g})")
        lines.append(f"| {figure} | {' | '.join(cells)} |")
    return lines


@click.command()
@click.argument("use", type=click.Choice(list(USES)))
@click.option("--seeds", type=click.IntRange(2), default=10, help="Number of seeds, from 1 on.")
@click.option("--jobs", type=click.IntRange(1), default=4)
def main(use: str, seeds: int, jobs: int) -> None:
    """Run the scenario of USE with and without it, and print a table."""
    variant_names = variants(use)
    jobs_to_run = [(use, seed, name) for seed in range(1, seeds + 1) for name in variant_names]
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        results = pool.map(measure_run, jobs_to_run, chunksize=1)
    click.echo(
        "\n".join(
            render_table({name: results[i :: len(variant_names)] for i, name in enumerate(variant_names)})
        )
    )


if __name__ == "__main__":
    main()
