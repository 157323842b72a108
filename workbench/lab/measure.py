"""Many runs of the lab's plans, and a table of them: `python -m workbench.lab.measure --help`.

Each run is a process of its own, `workbench lab run`; what it gave is a line of a file, so a measurement
that was ended goes on where it stopped. A run for which the machine was late is made again, three times at
most.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from statistics import median
from time import monotonic
from typing import Any

import click
import msgspec
import numpy as np

from workbench.experiment.statistics import t_interval
from workbench.lab.checkers import check
from workbench.lab.history import HistoryError, read
from workbench.lab.plan import shipped
from workbench.lab.timeline import costs
from workbench.lab.truth import Truth

TRIES = 3
LONGEST = 300  # seconds of one run
LEAST_PAIRS = 5

Row = dict[str, Any]


def measure(plan: str, seed: int, nodes: int, alone: bool) -> Row:
    """One run, as a line of the file has it."""
    row: Row = {"plan": plan, "seed": seed, "nodes": nodes, "alone": alone}
    for attempt in range(1, TRIES + 1):
        with tempfile.TemporaryDirectory(prefix="measure-") as folder:
            words = [
                "lab",
                "run",
                plan,
                "--seed",
                str(seed),
                "--nodes",
                str(nodes),
                "--keep",
                f"{folder}/run",
            ]
            command = [sys.executable, "-m", "workbench", *words, *(["--alone"] if alone else [])]
            done = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST)
            try:
                row |= found(f"{folder}/run/history.jsonl")
            except HistoryError as e:
                row["trouble"] = f"{e}: {done.stderr[-200:]}"
            row |= {"status": done.returncode, "tries": attempt}
        if row["status"] != 3:
            break
    return row


def measure_until(ends: float, plan: str, seed: int, nodes: int, alone: bool) -> Row | None:
    """A run, or none where the time for new ones is over."""
    return measure(plan, seed, nodes, alone) if monotonic() < ends else None


def found(path: str) -> Row:
    """The figures of one history."""
    events = read(path)
    truth = Truth(events)
    end = truth.of("end")
    broken = check(events)
    return costs(truth) | {
        "trouble": end[0]["trouble"] if end else "ended early",
        "late_ms": end[0]["late_ms"] if end else 0.0,
        "worth": end[0]["worth"] if end else 0.0,
        "broken": {name: [str(b) for b in bs[:3]] for name, bs in broken.items() if bs},
        "agreements": [[verb(what), took] for _, what, took in truth.agreements()],
        "refused": sum(e["answer"] == "refused" for e in truth.of("request")),
        "fault_s": max((p.end - p.begin for p in truth.periods), default=0.0),
    }


def verb(what: str) -> str:
    """What changed, without the names: `n1 kill, n2 kill` is a kill."""
    verbs = {part.split(" ", 1)[1] if part.startswith("n") else part for part in what.split(", ")}
    return "+".join(sorted(verbs))


def table(rows: list[Row]) -> list[str]:
    """Markdown: a line for each plan and number of nodes."""
    out = [
        "| plan | nodes | runs | all views agree after, s: median (most) | lost of requests | attempts"
        " | CPU of a core | MB | datagrams/s | bytes/s | broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    groups: dict[tuple[str, int, bool], list[Row]] = defaultdict(list)
    for row in rows:
        if row["status"] != 3 and not row["trouble"]:
            groups[row["plan"], row["nodes"], row["alone"]].append(row)
    for (plan, nodes, alone), runs in sorted(groups.items()):

        def mean(key: str, runs: list[Row] = runs) -> float:
            return float(np.mean([r[key] for r in runs]))

        lost, asked = sum(r["lost"] for r in runs), sum(r["requests"] for r in runs)
        out.append(
            f"| {plan}{', no fleet' if alone else ''} | {nodes} | {len(runs)} | {agreed(runs)}"
            f" | {100 * lost / asked:.2f}% | {mean('attempts'):.3f} | {100 * mean('cpu'):.1f}%"
            f" | {max(r['memory_mb'] for r in runs):.0f} | {mean('datagrams'):.1f} | {mean('bytes'):.0f}"
            f" | {sum(bool(r['broken']) for r in runs) or '-'} |"
        )
    return out


def agreed(runs: list[Row]) -> str:
    """Median and most of the seconds until views agreed, by what had changed."""
    times: dict[str, list[float | None]] = defaultdict(list)
    for run in runs:
        for what, took in run["agreements"]:
            times[what].append(took)
    parts = []
    for what, all_ in sorted(times.items()):
        known = [t for t in all_ if t is not None]
        missed = f", {len(all_) - len(known)} not before the next" if len(known) < len(all_) else ""
        parts.append(
            f"{what} {median(known):.1f} ({max(known):.1f}{missed})" if known else f"{what} -{missed}"
        )
    return "; ".join(parts) or "-"


FIGURES = (
    *(("worth", "worth served", 1.0), ("lost", "requests lost", 1.0), ("refused", "tries refused", 1.0)),
    *(("cpu", "CPU, % of a core", 100.0), ("memory_mb", "MB", 1.0), ("fault_s", "seconds of the fault", 1.0)),
)
Variant = tuple[str, bool]  # a plan, and whether without the fleet
PAIRS: list[tuple[Variant, Variant]] = [
    (("calm", True), ("calm", False)),
    (("by-hand", False), ("release", False)),
]


def paired(rows: list[Row]) -> list[str]:
    """One variant against another, seed by seed: the 95% interval of the differences."""
    out = []
    counted = {(r["plan"], r["alone"], r["nodes"], r["seed"]): r for r in rows if r["status"] == 0}
    for before, after in PAIRS:
        for nodes in sorted({n for plan, alone, n, _ in counted if (plan, alone) == after}):
            seeds = [
                s for *v, n, s in counted if (*v,) == after and n == nodes and (*before, n, s) in counted
            ]
            if len(seeds) < LEAST_PAIRS:
                continue
            for key, unit, scale in FIGURES:
                one, two = (
                    scale * np.array([counted[*v, nodes, s].get(key, 0.0) for s in seeds])
                    for v in (before, after)
                )
                mean, low, high = t_interval(two - one)
                span = f"{mean:+.4g} ({low:.4g} to {high:.4g})"
                names = " to ".join(plan + (", no fleet" if alone else "") for plan, alone in (before, after))
                out.append(f"{names}, {nodes} nodes, {len(seeds)} pairs: {unit} {one.mean():.4g}, {span}")
    return out


def load(path: Path) -> list[Row]:
    """The rows of a file; a last line that is not whole is none."""
    if not path.exists():
        return []
    whole, _, _ = path.read_bytes().rpartition(b"\n")
    return [msgspec.json.decode(line) for line in whole.splitlines()]


def append(path: Path, row: Row) -> None:
    """One more row, on the disk, in place of what a write that was stopped has left. OSError."""
    with path.open("a+b") as file:
        file.seek(0)
        file.truncate(file.read().rfind(b"\n") + 1)
        file.write(msgspec.json.encode(row) + b"\n")
        file.flush()
        os.fsync(file.fileno())


@click.command()
@click.argument("plans", nargs=-1)
@click.option(
    "--nodes", type=int, multiple=True, default=(3,), help="Processes; several are measured in turn."
)
@click.option("--seeds", type=click.IntRange(1), default=10, help="So many, from 1 on.")
@click.option("--jobs", type=click.IntRange(1), default=4, help="Labs side by side.")
@click.option(
    "--out", type=click.Path(path_type=Path), default=Path("found/lab.jsonl"), help="Lines of results."
)
@click.option("--minutes", type=float, default=1e9, help="After so long nothing new begins.")
def main(
    plans: tuple[str, ...], nodes: tuple[int, ...], seeds: int, jobs: int, out: Path, minutes: float
) -> None:
    """Measure PLANS (by default all that ship, and calm without a fleet), and print the table."""
    out.parent.mkdir(parents=True, exist_ok=True)
    done = {(r["plan"], r["seed"], r["nodes"], r["alone"]) for r in load(out)}
    wanted = [
        (plan, seed, count, alone)
        for count in nodes
        for seed in range(1, seeds + 1)
        for plan in plans or shipped()
        for alone in ((False, True) if plan == "calm" else (False,))
    ]
    ends = monotonic() + minutes * 60
    with ThreadPoolExecutor(jobs) as pool:
        todo = [w for w in wanted if w not in done]
        futures = [pool.submit(measure_until, ends, *w) for w in todo]
        for i, future in enumerate(as_completed(futures), 1):
            row = future.result()
            if row is not None:
                try:
                    append(out, row)
                except OSError as e:
                    pool.shutdown(wait=False, cancel_futures=True)
                    raise click.ClickException(f"{out}: cannot be written: {e.strerror}") from None
                click.echo(
                    f"{i}/{len(todo)} {row['plan']} {row['nodes']} seed {row['seed']}: {row['status']}",
                    err=True,
                )
    rows = load(out)
    click.echo("\n".join([*table(rows), "", *paired(rows)]))


if __name__ == "__main__":
    main()
