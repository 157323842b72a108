"""Convert measured values to rows of the slopes file: `python -m workbench.scale.collect FILES... >
rows.toml`.

FILES hold the JSON lines that the measuring programs print, or the list of rows that a scale run writes.
Values of the same name and size become one point, with the spread between their runs.
"""

from __future__ import annotations

import re
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean, stdev
from typing import Any

import click
import msgspec
import tomli_w
from msgspec import Struct

from workbench.scale.membership import Row
from workbench.scale.slopes import FitKind

GROUP_MEMBERS = "members of a group"
CALLS_PER_SECOND = "calls a second"
MEMBER_CPU_UNIT = "us/s a member"
GROUP_COMMAND = "python -m workbench.scale.membership"
MEMBER_COMMAND = "python -m workbench.scale.member"
LEADER_COMMAND = "python -m workbench.scale.leader"
LATENCY_COMMAND = "python -m workbench.scale.latency"


@dataclass(frozen=True)
class QuantityKind:
    """Description, unit, fit and command of a measured quantity."""

    what: str
    unit: str
    fit: FitKind
    run: str
    per: str = GROUP_MEMBERS


QUANTITY_KINDS: dict[str, QuantityKind] = {
    "member.cpu_us": QuantityKind(
        "processor time of a member in calm", MEMBER_CPU_UNIT, "linear", MEMBER_COMMAND
    ),
    "member.tick_us": QuantityKind("its timers", MEMBER_CPU_UNIT, "linear", MEMBER_COMMAND),
    "member.due_us": QuantityKind("looking for the next due time", MEMBER_CPU_UNIT, "linear", MEMBER_COMMAND),
    "member.receive_us": QuantityKind("datagrams taken in", MEMBER_CPU_UNIT, "linear", MEMBER_COMMAND),
    "member.codec_us": QuantityKind("the codec", MEMBER_CPU_UNIT, "linear", MEMBER_COMMAND),
    "member.datagrams": QuantityKind("datagrams sent by a member in calm", "1/s", "constant", MEMBER_COMMAND),
    "member.table_bytes": QuantityKind("memory of a member's table", "bytes", "linear", MEMBER_COMMAND),
    "membership.calm.cpu_us": QuantityKind(
        "processor time in calm, whole group", MEMBER_CPU_UNIT, "linear", f"{GROUP_COMMAND} calm"
    ),
    "membership.calm.datagrams": QuantityKind(
        "datagrams sent in calm", "1/s a member", "constant", f"{GROUP_COMMAND} calm"
    ),
    "membership.calm.bytes": QuantityKind(
        "bytes sent in calm", "bytes/s a member", "constant", f"{GROUP_COMMAND} calm"
    ),
    "membership.calm.codec_us_a_datagram": QuantityKind(
        "codec, out and in, in calm", "us a datagram", "constant", f"{GROUP_COMMAND} calm"
    ),
    "membership.death_s": QuantityKind("until a death is known to all", "s", "log", f"{GROUP_COMMAND} calm"),
    "membership.backlog.cpu_us": QuantityKind(
        "processor time while all are news", MEMBER_CPU_UNIT, "linear", f"{GROUP_COMMAND} backlog"
    ),
    "membership.backlog.bytes": QuantityKind(
        "bytes sent while all are news", "bytes/s a member", "constant", f"{GROUP_COMMAND} backlog"
    ),
    "membership.news_s": QuantityKind(
        "until one change is known to all, in calm", "s", "log", f"{GROUP_COMMAND} news"
    ),
    "membership.news_busy_s": QuantityKind(
        "until one change is known to all, while all are news", "s", "power", f"{GROUP_COMMAND} news_busy"
    ),
    "membership.join_s": QuantityKind(
        "until a group that starts at once knows itself", "s", "power", f"{GROUP_COMMAND} join"
    ),
    "membership.zone_lost_s": QuantityKind(
        "until a thirteenth that dies is known dead to all", "s", "log", f"{GROUP_COMMAND} batch"
    ),
    "membership.zone_back_s": QuantityKind(
        "until a thirteenth that comes back cold and all others know each other",
        "s",
        "power",
        f"{GROUP_COMMAND} batch",
    ),
    "membership.region_back_s": QuantityKind(
        "until a fifth that was cut off for 150 s and all others know each other",
        "s",
        "power",
        f"{GROUP_COMMAND} region",
    ),
    "leader.cpu_us": QuantityKind(
        "processor time of a replacement's leader", "us/s", "linear", LEADER_COMMAND
    ),
    "leader.datagrams": QuantityKind("its datagrams, out and in", "1/s", "linear", LEADER_COMMAND),
    "leader.bytes": QuantityKind("its bytes, out and in", "bytes/s", "linear", LEADER_COMMAND),
}
LATENCY_FIELDS: dict[str, tuple[str, str]] = {
    "added_p50_us": ("added to a call, median", "us"),
    "added_p99_us": ("added to a call, 99 in 100", "us"),
    "to_server_p50_us": ("added before the server has the request, median", "us"),
    "to_server_p99_us": ("added before the server has the request, 99 in 100", "us"),
    "to_client_p50_us": ("added after the server's answer, median", "us"),
    "to_client_p99_us": ("added after the server's answer, 99 in 100", "us"),
    "hop_p99888_us": ("added to a call, at the quantile each of nine hops needs", "us"),
    "chain_p50_us": ("added to a call nine deep, median", "us"),
    "chain_p99_us": ("added to a call nine deep, 99 in 100", "us"),
    "node_cpu_us_a_call": ("the node's processor time", "us a call"),
    "node_system_share": ("part of the node's processor time in the kernel", "1"),
    "node_run_queue_us_a_call": ("the node's wait for a core", "us a call"),
}
QUANTITY_KINDS |= {
    f"latency.{name}": QuantityKind(what, unit, "linear", LATENCY_COMMAND, CALLS_PER_SECOND)
    for name, (what, unit) in LATENCY_FIELDS.items()
}
IDLE_NODES = {"plain": "no fleet section", "fleet": "fleet section, no peers"}
IDLE_FIELDS = {"cpu_us_a_second": ("processor time", "us/s"), "resident_mb": ("memory", "MB")}
QUANTITY_KINDS |= {
    f"node.{kind}.{name}": QuantityKind(
        f"{what} of a node that nobody calls, {text}", unit, "constant", f"{LATENCY_COMMAND} --idle", "nodes"
    )
    for kind, text in IDLE_NODES.items()
    for name, (what, unit) in IDLE_FIELDS.items()
}


class RunOrigin(Struct, frozen=True):
    """The scale run that a row comes from."""

    command: str
    seed: int
    commit: str
    cores: int


class ScaleRow(Struct, frozen=True, kw_only=True):
    """A row as a scale run writes it; `counted` is false if the machine was the limit."""

    quantity: str
    unit: str
    size: int
    value: float
    run: RunOrigin
    spread: tuple[float, float] | None = None
    counted: bool = True


SOCKETS_PREFIX = "sockets."
SHORT_COMMIT_LENGTH = 8
PLAN_OPTION = re.compile(r"--plan (\S+)")
FAULT_PREFIXES = ("death.", "heal.", "fault.")
VARYING_OPTIONS = re.compile(r" --(out|hollow|seed) \S+")
# Quantities of a scale run that are not the cost of a member.
EXCLUDED_PREFIXES = ("simulated.", "worker.", "calls.")
# Costs that depend on the number of datagrams and not on the size of the group.
PER_DATAGRAM_COSTS = ("cpu.codec", "cpu.loop", "cpu.runtime", "cpu.socket")
FITS_BY_NAME: dict[str, FitKind] = {"death.all": "log", "death.median": "log"}
FITS_BY_NAME |= {prefix + name: "constant" for name in PER_DATAGRAM_COSTS for prefix in ("", "fault.")}
FITS_BY_UNIT: dict[str, FitKind] = {"us/member/s": "linear", "B/member": "linear", "s": "power"}


def build_scale_run_slopes(rows: list[ScaleRow], commit: str = "") -> list[dict[str, Any]]:
    """Convert the rows of scale runs to rows of the slopes file.

    Args:
        rows: The rows that scale runs have written.
        commit: The commit of the measured node, if the commit of the run is a temporary one.
    """
    names: dict[str, list[ScaleRow]] = defaultdict(list)
    for row in rows:
        if row.counted and not row.quantity.startswith(EXCLUDED_PREFIXES):
            names[slope_name(row)].append(row)
    return [
        build_scale_run_slope(name, quantity_rows, commit)
        for name, quantity_rows in names.items()
        if has_enough_sizes(quantity_rows)
    ]


def slope_name(row: ScaleRow) -> str:
    """Return the slope's name; an effect of a fault includes the name of the plan with that fault."""
    plan = PLAN_OPTION.search(row.run.command)
    plan_prefix = f"{plan[1]}." if plan and row.quantity.startswith(FAULT_PREFIXES) else ""
    return f"{SOCKETS_PREFIX}{plan_prefix}{row.quantity}"


def fit_kind(rows: list[ScaleRow]) -> FitKind:
    """Return how a quantity depends on the size."""
    return FITS_BY_NAME.get(rows[0].quantity) or FITS_BY_UNIT.get(rows[0].unit, "constant")


def has_enough_sizes(rows: list[ScaleRow]) -> bool:
    """Return whether there are enough sizes for the fit; a single one does not show growth."""
    return fit_kind(rows) == "constant" or len({row.size for row in rows}) > 1


def normalize_command(text: str) -> str:
    """Remove the options that differ between points, and the output file, from a command."""
    return VARYING_OPTIONS.sub("", text)


def build_scale_run_slope(name: str, rows: list[ScaleRow], commit: str) -> dict[str, Any]:
    """Build the slopes file row of one quantity from its values at all sizes."""
    measured = [Row(name, row.size, row.run.seed, row.value) for row in rows]
    commits = ", ".join(sorted({row.run.commit[:SHORT_COMMIT_LENGTH] for row in rows}))
    return {
        "name": name,
        "what": f"{rows[0].quantity} of a scale run",
        "unit": rows[0].unit,
        "per": GROUP_MEMBERS,
        "fit": fit_kind(rows),
        "run": "; ".join(sorted({normalize_command(row.run.command) for row in rows})),
        "seeds": sorted({row.run.seed for row in rows}),
        "commit": f"{commit} (run at {commits})" if commit else commits,
        "machine": f"{max(row.run.cores for row in rows)} cores shared with other work",
        "points": points_by_size(measured),
        "note": "real datagram sockets on loopback",
    }


def parse_rows(line: bytes) -> list[Row]:
    """Parse one printed line; a latency measurement that does not count yields no rows."""
    table = msgspec.json.decode(line)
    if "name" in table:
        return [msgspec.convert(table, Row)]
    if "fleet" in table:
        kind = "fleet" if table["fleet"] else "plain"
        return [Row(f"node.{kind}.{name}", 1, table["repeat"], table[name]) for name in IDLE_FIELDS]
    if not table["counts"]:
        return []
    rate, repeat = round(table["rate"]), table["repeat"]
    return [Row(f"latency.{name}", rate, repeat, table[name]) for name in LATENCY_FIELDS]


def points_by_size(rows: list[Row]) -> list[dict[str, Any]]:
    """Group rows by size and return one point for each size."""
    sizes: dict[int, list[Row]] = defaultdict(list)
    for row in rows:
        sizes[row.size].append(row)
    return [build_point(size, runs) for size, runs in sorted(sizes.items())]


def build_point(size: int, runs: list[Row]) -> dict[str, Any]:
    """Return mean and spread of the runs at one size."""
    values = [run.value for run in runs]
    point: dict[str, Any] = {"size": size, "value": round_significant(fmean(values)), "runs": len(values)}
    if len(values) > 1:
        point["spread"] = round_significant(stdev(values))
    if any(run.limit for run in runs):
        point["lower_bound"] = True
    return point


def round_significant(value: float) -> float:
    """Round to four significant figures."""
    return float(f"{value:.4g}")


def build_measured_slopes(rows: list[Row], commit: str, machine: str, note: str) -> list[dict[str, Any]]:
    """Convert rows of the measuring programs to rows of the slopes file."""
    names: dict[str, list[Row]] = defaultdict(list)
    for measured in rows:
        names[measured.name].append(measured)
    out = []
    for name, kind in QUANTITY_KINDS.items():
        if name not in names:
            continue
        quantity_rows = names[name]
        row: dict[str, Any] = {
            "name": name,
            "what": kind.what,
            "unit": kind.unit,
            "per": kind.per,
            "fit": kind.fit if len({run.size for run in quantity_rows}) > 1 else "constant",
            "run": kind.run,
            "seeds": sorted({r.seed for r in quantity_rows}),
            "commit": commit,
            "machine": machine,
            "points": points_by_size(quantity_rows),
        }
        if note:
            row["note"] = note
        out.append(row)
    return out


@click.command()
@click.argument(
    "files", type=click.Path(exists=True, dir_okay=False, path_type=Path), nargs=-1, required=True
)
@click.option(
    "--commit", default="", help="Commit of the measured program; the rows of a scale run name their own."
)
@click.option(
    "--machine", default="", help="Description, such as '8 cores'; the rows of a scale run have their own."
)
@click.option("--note", default="")
def main(files: tuple[Path, ...], commit: str, machine: str, note: str) -> None:
    """Print rows of the slopes file for the values in FILES."""
    rows: list[Row] = []
    scale_rows: list[ScaleRow] = []
    for file in files:
        text = file.read_bytes().strip()
        if text.startswith(b"["):
            scale_rows += msgspec.json.decode(text, type=list[ScaleRow])
        else:
            rows += [row for line in text.splitlines() for row in parse_rows(line)]
    slopes = build_measured_slopes(rows, commit, machine, note) + build_scale_run_slopes(scale_rows, commit)
    click.echo(tomli_w.dumps({"slope": slopes}), nl=False)


if __name__ == "__main__":
    main()
