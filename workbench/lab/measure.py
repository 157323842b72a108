"""Series of runs of the lab's plans, and a table of their results: `python -m workbench.lab.measure --help`.

Each run is a separate process, `workbench lab run`. Its result is one line of a file, so an interrupted
measurement can be continued. A run that does not count because the machine was late is repeated, with at most
`MAX_ATTEMPTS` attempts in all.
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

MAX_ATTEMPTS = 3
RUN_TIMEOUT_S = 300
MIN_PAIRS = 5  # Fewer pairs get no confidence interval.
NOT_COUNTED_STATUS = 3  # Exit status of a run for which the machine was late.
MAX_STORED_VIOLATIONS = 3  # Limit for each checker.
MAX_STORED_ERROR_CHARACTERS = 200

Row = dict[str, Any]  # One line of the results file.


class RunKey(NamedTuple):
    """The parameters of a run.

    Attributes:
        plan: The plan.
        seed: The seed that fixes the plan's ranges.
        nodes: The number of nodes.
        alone: Whether the nodes run without the fleet.
    """

    plan: str
    seed: int
    nodes: int
    alone: bool

    def command(self, folder: str) -> list[str]:
        """Return the command line of the run, which keeps its history in a folder."""
        arguments = ["lab", "run", self.plan, "--seed", str(self.seed), "--nodes", str(self.nodes)]
        arguments += ["--keep", folder, *(["--alone"] if self.alone else [])]
        return [sys.executable, "-m", "workbench", *arguments]


def measure(key: RunKey) -> Row:
    """Execute a run and return its row; repeat the run if the machine was late."""
    row: Row = key._asdict()
    for attempt in range(1, MAX_ATTEMPTS + 1):
        with tempfile.TemporaryDirectory(prefix="measure-") as folder:
            command = key.command(f"{folder}/run")
            completed = subprocess.run(command, capture_output=True, text=True, timeout=RUN_TIMEOUT_S)
            try:
                row |= measured_values(f"{folder}/run/history.jsonl")
            except HistoryError as e:
                row["trouble"] = f"{e}: {completed.stderr[-MAX_STORED_ERROR_CHARACTERS:]}"
            row |= {"status": completed.returncode, "tries": attempt}
        if row["status"] != NOT_COUNTED_STATUS:
            break
    return row


def measure_until(deadline: float, key: RunKey) -> Row | None:
    """Execute a run; return None if the deadline for new runs has passed."""
    return measure(key) if monotonic() < deadline else None


def measured_values(path: str) -> Row:
    """Return the measured values of one history."""
    events = read(path)
    truth = GroundTruth(events)
    end = truth.events_of("end")
    violations = check(events)
    return asdict(costs(truth)) | {
        "trouble": end[0]["trouble"] if end else "ended early",
        "late_ms": end[0]["late_ms"] if end else 0.0,
        "worth": end[0]["worth"] if end else 0.0,
        "broken": {name: first_lines(found) for name, found in violations.items() if found},
        "agreements": [[change_kind(description), took] for _, description, took in truth.agreements()],
        "refused": sum(e["answer"] == "refused" for e in truth.events_of("request")),
        "fault_s": max((p.end - p.begin for p in truth.periods), default=0.0),
    }


def first_lines(violations: list[Violation]) -> list[str]:
    """Return the first violations of a checker as text."""
    return [str(violation) for violation in violations[:MAX_STORED_VIOLATIONS]]


def change_kind(description: str) -> str:
    """Return the kind of a change without the nodes' names: "kill" for "n1 kill, n2 kill"."""
    kinds = {part.split(" ", 1)[1] if part.startswith("n") else part for part in description.split(", ")}
    return "+".join(sorted(kinds))


def results_table(rows: list[Row]) -> list[str]:
    """Return a Markdown table with a row for each plan and number of nodes."""
    lines = [
        "| plan | nodes | runs | all views agree after, s: median (most) | lost of requests | attempts"
        " | CPU of a core | MB | datagrams/s | bytes/s | broken |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    groups: dict[tuple[str, int, bool], list[Row]] = defaultdict(list)
    for row in rows:
        if row["status"] != NOT_COUNTED_STATUS and not row["trouble"]:
            groups[row["plan"], row["nodes"], row["alone"]].append(row)
    for (plan, nodes, alone), runs in sorted(groups.items()):
        lines.append(f"| {variant_name((plan, alone))} | {nodes} | {table_cells(runs)} |")
    return lines


def table_cells(runs: list[Row]) -> str:
    """Return the cells of a table's row, for all runs of one plan and number of nodes."""

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
    """Return the median and the maximum time until all views agreed, by the kind of change."""
    times: dict[str, list[float | None]] = defaultdict(list)
    for run in runs:
        for kind, took in run["agreements"]:
            times[kind].append(took)
    parts = []
    for kind, found in sorted(times.items()):
        known = [seconds for seconds in found if seconds is not None]
        missed = f", {len(found) - len(known)} not before the next" if len(known) < len(found) else ""
        summary = f"{median(known):.1f} ({max(known):.1f}{missed})" if known else f"-{missed}"
        parts.append(f"{kind} {summary}")
    return "; ".join(parts) or "-"


class Metric(NamedTuple):
    """A value of a row that is compared between variants.

    Attributes:
        key: The key of the row.
        unit: The label and unit in reports.
        scale: The factor from the row's value to the unit.
    """

    key: str
    unit: str
    scale: float = 1.0


METRICS = (
    Metric("worth", "worth served"),
    Metric("lost", "requests lost"),
    Metric("refused", "tries refused"),
    Metric("cpu", "CPU, % of a core", 100.0),
    Metric("memory_mb", "MB"),
    Metric("fault_s", "seconds of the fault"),
)
Variant = tuple[str, bool]  # The name of a plan, and whether it runs without the fleet.
PAIRS: list[tuple[Variant, Variant]] = [
    (("calm", True), ("calm", False)),
    (("by-hand", False), ("release", False)),
]


def variant_name(variant: Variant) -> str:
    """Return the name of a variant in tables."""
    plan, alone = variant
    return plan + (", no fleet" if alone else "")


def paired_differences(rows: list[Row]) -> list[str]:
    """Return the differences between variants over the same seeds, with their 95% confidence intervals."""
    counted = {(r["plan"], r["alone"], r["nodes"], r["seed"]): r for r in rows if r["status"] == 0}
    lines = []
    for before, after in PAIRS:
        for nodes in sorted({n for plan, alone, n, _ in counted if (plan, alone) == after}):
            seeds = [s for *v, n, s in counted if (*v, n) == (*after, nodes) and (*before, n, s) in counted]
            if len(seeds) < MIN_PAIRS:
                continue
            heading = f"{variant_name(before)} to {variant_name(after)}, {nodes} nodes, {len(seeds)} pairs"
            one = [counted[*before, nodes, seed] for seed in seeds]
            two = [counted[*after, nodes, seed] for seed in seeds]
            lines += [f"{heading}: {difference(metric, one, two)}" for metric in METRICS]
    return lines


def difference(metric: Metric, before: list[Row], after: list[Row]) -> str:
    """Return the mean of a metric before, and its mean change with the confidence interval."""
    one, two = (
        metric.scale * np.array([row.get(metric.key, 0.0) for row in rows]) for rows in (before, after)
    )
    mean, low, high = t_interval(two - one)
    return f"{metric.unit} {one.mean():.4g}, {mean:+.4g} ({low:.4g} to {high:.4g})"


def load(path: Path) -> list[Row]:
    """Read the rows of a results file; ignore an incomplete last line."""
    if not path.exists():
        return []
    complete, _, _ = path.read_bytes().rpartition(b"\n")
    return [msgspec.json.decode(line) for line in complete.splitlines()]


def append(path: Path, row: Row) -> None:
    """Append a row to a results file, in place of an incomplete last line, and flush it to the disk.

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
@click.option("--nodes", type=int, multiple=True, default=(3,), help="Number of nodes; may be repeated.")
@click.option("--seeds", type=click.IntRange(1), default=10, help="Number of seeds, from 1 on.")
@click.option("--jobs", type=click.IntRange(1), default=4, help="Number of concurrent runs.")
@click.option(
    "--out", type=click.Path(path_type=Path), default=Path("found/lab.jsonl"), help="File of the results."
)
@click.option("--minutes", type=float, default=1e9, help="Time after which no run is started.")
def main(
    plans: tuple[str, ...], nodes: tuple[int, ...], seeds: int, jobs: int, out: Path, minutes: float
) -> None:
    """Measure PLANS (by default all shipped plans, and calm also without a fleet), and print the table."""
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
    click.echo("\n".join([*results_table(rows), "", *paired_differences(rows)]))


def measure_all(keys: list[RunKey], jobs: int, out: Path, deadline: float) -> None:
    """Execute runs concurrently and append their rows to a file; start none after the deadline."""
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
