"""Many runs of the lab's plans, and a table of them: `python -m workbench.lab.measure --help`.

Each run is a process of its own, `workbench lab run`. Its result is a line of a file, so a measurement that
was stopped continues where it was. A run for which the machine was late is repeated, up to `MAX_ATTEMPTS`.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import asdict
from pathlib import Path
from statistics import median
from time import monotonic
from typing import Any, NamedTuple

import click
import msgspec
import numpy as np

from workbench.experiment.statistics import t_interval
from workbench.lab.checkers import check
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import HistoryError, read
from workbench.lab.plan import shipped
from workbench.lab.timeline import costs
from workbench.lab.violations import Violation

MAX_ATTEMPTS = 3  # of one run
RUN_TIMEOUT_S = 300
MINIMUM_PAIRS = 5  # for an interval of differences
NOT_COUNTED = 3  # exit status of a run for which the machine was late
SHOWN_VIOLATIONS = 3  # of a checker
SHOWN_ERROR_CHARACTERS = 200

Row = dict[str, Any]  # a line of the file of results


class RunKey(NamedTuple):
    """What is run: a plan with a seed and a number of nodes, and whether without the fleet."""

    plan: str
    seed: int
    nodes: int
    alone: bool

    def command(self, folder: str) -> list[str]:
        """Returns the command that runs it and keeps its history in a folder."""
        words = ["lab", "run", self.plan, "--seed", str(self.seed), "--nodes", str(self.nodes)]
        words += ["--keep", folder, *(["--alone"] if self.alone else [])]
        return [sys.executable, "-m", "workbench", *words]


def measure(key: RunKey) -> Row:
    """Makes one run and returns its row; repeats it where the machine was late."""
    row: Row = key._asdict()
    for attempt in range(1, MAX_ATTEMPTS + 1):
        with tempfile.TemporaryDirectory(prefix="measure-") as folder:
            command = key.command(f"{folder}/run")
            done = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
            try:
                row |= figures(f"{folder}/run/history.jsonl")
            except HistoryError as e:
                row["trouble"] = f"{e}: {done.stderr[-SHOWN_ERROR_CHARACTERS:]}"
            row |= {"status": done.returncode, "tries": attempt}
        if row["status"] != NOT_COUNTED:
            break
    return row


def measure_until(deadline: float, key: RunKey) -> Row | None:
    """Makes a run; returns None where the time for new ones is over."""
    return measure(key) if monotonic() < deadline else None


def figures(path: str) -> Row:
    """Returns the figures of one history."""
    events = read(path)
    truth = GroundTruth(events)
    end = truth.of("end")
    violations = check(events)
    return asdict(costs(truth)) | {
        "trouble": end[0]["trouble"] if end else "ended early",
        "late_ms": end[0]["late_ms"] if end else 0.0,
        "worth": end[0]["worth"] if end else 0.0,
        "broken": {name: first_lines(found) for name, found in violations.items() if found},
        "agreements": [[verb(what), took] for _, what, took in truth.agreements()],
        "refused": sum(e["answer"] == "refused" for e in truth.of("request")),
        "fault_s": max((p.end - p.begin for p in truth.periods), default=0.0),
    }


def first_lines(violations: list[Violation]) -> list[str]:
    """Returns the lines of a checker's first violations."""
    return [str(violation) for violation in violations[:SHOWN_VIOLATIONS]]


def verb(what: str) -> str:
    """Returns what changed without the names: `n1 kill, n2 kill` is a kill."""
    verbs = {part.split(" ", 1)[1] if part.startswith("n") else part for part in what.split(", ")}
    return "+".join(sorted(verbs))


def table(rows: list[Row]) -> list[str]:
    """Returns a Markdown table with a line for each plan and number of nodes."""
    lines = [
        "| plan | nodes | runs | all views agree after, s: median (most) | lost of requests | attempts"
        " | CPU of a core | MB | datagrams/s | bytes/s | broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    groups: dict[tuple[str, int, bool], list[Row]] = defaultdict(list)
    for row in rows:
        if row["status"] != NOT_COUNTED and not row["trouble"]:
            groups[row["plan"], row["nodes"], row["alone"]].append(row)
    for (plan, nodes, alone), runs in sorted(groups.items()):
        lines.append(f"| {variant_name((plan, alone))} | {nodes} | {table_cells(runs)} |")
    return lines


def table_cells(runs: list[Row]) -> str:
    """Returns the figures of a table's line."""

    def mean(key: str) -> float:
        return float(np.mean([run[key] for run in runs]))

    lost, requests = sum(run["lost"] for run in runs), sum(run["requests"] for run in runs)
    return (
        f"{len(runs)} | {agreement_times(runs)}"
        f" | {100 * lost / requests:.2f}% | {mean('attempts'):.3f} | {100 * mean('cpu'):.1f}%"
        f" | {max(run['memory_mb'] for run in runs):.0f} | {mean('datagrams'):.1f} | {mean('bytes'):.0f}"
        f" | {sum(bool(run['broken']) for run in runs) or '-'}"
    )


def agreement_times(runs: list[Row]) -> str:
    """Returns the median and most of the seconds until views agreed, by what had changed."""
    times: dict[str, list[float | None]] = defaultdict(list)
    for run in runs:
        for what, took in run["agreements"]:
            times[what].append(took)
    parts = []
    for what, found in sorted(times.items()):
        known = [seconds for seconds in found if seconds is not None]
        missed = f", {len(found) - len(known)} not before the next" if len(known) < len(found) else ""
        summary = f"{median(known):.1f} ({max(known):.1f}{missed})" if known else f"-{missed}"
        parts.append(f"{what} {summary}")
    return "; ".join(parts) or "-"


class Figure(NamedTuple):
    """A figure of a row that variants are compared by."""

    key: str
    unit: str
    scale: float = 1.0


FIGURES = (
    Figure("worth", "worth served"),
    Figure("lost", "requests lost"),
    Figure("refused", "tries refused"),
    Figure("cpu", "CPU, % of a core", 100.0),
    Figure("memory_mb", "MB"),
    Figure("fault_s", "seconds of the fault"),
)
Variant = tuple[str, bool]  # a plan, and whether without the fleet
PAIRS: list[tuple[Variant, Variant]] = [
    (("calm", True), ("calm", False)),
    (("by-hand", False), ("release", False)),
]


def variant_name(variant: Variant) -> str:
    """Returns what tables call a variant."""
    plan, alone = variant
    return plan + (", no fleet" if alone else "")


def paired(rows: list[Row]) -> list[str]:
    """Compares one variant with another seed by seed: the 95% interval of the differences."""
    counted = {(r["plan"], r["alone"], r["nodes"], r["seed"]): r for r in rows if r["status"] == 0}
    lines = []
    for before, after in PAIRS:
        for nodes in sorted({n for plan, alone, n, _ in counted if (plan, alone) == after}):
            seeds = [s for *v, n, s in counted if (*v, n) == (*after, nodes) and (*before, n, s) in counted]
            if len(seeds) < MINIMUM_PAIRS:
                continue
            heading = f"{variant_name(before)} to {variant_name(after)}, {nodes} nodes, {len(seeds)} pairs"
            one = [counted[*before, nodes, seed] for seed in seeds]
            two = [counted[*after, nodes, seed] for seed in seeds]
            lines += [f"{heading}: {difference(figure, one, two)}" for figure in FIGURES]
    return lines


def difference(figure: Figure, before: list[Row], after: list[Row]) -> str:
    """Returns the mean of a figure before, and its mean change with the interval."""
    one, two = (
        figure.scale * np.array([row.get(figure.key, 0.0) for row in rows]) for rows in (before, after)
    )
    mean, low, high = t_interval(two - one)
    return f"{figure.unit} {one.mean():.4g}, {mean:+.4g} ({low:.4g} to {high:.4g})"


def load(path: Path) -> list[Row]:
    """Reads the rows of a file; an incomplete last line is ignored."""
    if not path.exists():
        return []
    complete, _, _ = path.read_bytes().rpartition(b"\n")
    return [msgspec.json.decode(line) for line in complete.splitlines()]


def append(path: Path, row: Row) -> None:
    """Writes one more row to the disk, in place of what an interrupted write has left.

    Raises:
        OSError: The file cannot be written.
    """
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
    done = {RunKey(r["plan"], r["seed"], r["nodes"], r["alone"]) for r in load(out)}
    wanted = [
        RunKey(plan, seed, count, alone)
        for count in nodes
        for seed in range(1, seeds + 1)
        for plan in plans or shipped()
        for alone in ((False, True) if plan == "calm" else (False,))
    ]
    measure_all([key for key in wanted if key not in done], jobs, out, monotonic() + minutes * 60)
    rows = load(out)
    click.echo("\n".join([*table(rows), "", *paired(rows)]))


def measure_all(keys: list[RunKey], jobs: int, out: Path, deadline: float) -> None:
    """Makes runs side by side and appends their rows to a file; none begins after the deadline."""
    with ThreadPoolExecutor(jobs) as pool:
        futures = [pool.submit(measure_until, deadline, key) for key in keys]
        for count, future in enumerate(as_completed(futures), 1):
            row = future.result()
            if row is None:
                continue
            try:
                append(out, row)
            except OSError as e:
                pool.shutdown(wait=False, cancel_futures=True)
                raise click.ClickException(f"{out}: cannot be written: {e.strerror}") from None
            progress = f"{count}/{len(keys)} {row['plan']} {row['nodes']} seed {row['seed']}"
            click.echo(f"{progress}: {row['status']}", err=True)


if __name__ == "__main__":
    main()
