"""Rows of the slopes file from measured values: `python -m workbench.scale.collect FILES... > rows.toml`.

FILES hold the JSON lines that the measuring programs print, or the list of rows that a scale run writes.
Values of one name and size become a point, with the spread between their runs.
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

MEMBERS = "members of a group"
CALLS = "calls a second"
NODE_SECOND = "us/s a member"
GROUP = "python -m workbench.scale.membership"
ONE = "python -m workbench.scale.member"
LEADER = "python -m workbench.scale.leader"
LATENCY = "python -m workbench.scale.latency"


@dataclass(frozen=True)
class Kind:
    """What a measured name means."""

    what: str
    unit: str
    fit: FitKind
    run: str
    per: str = MEMBERS


KINDS: dict[str, Kind] = {
    "member.cpu_us": Kind("processor time of a member in calm", NODE_SECOND, "linear", ONE),
    "member.tick_us": Kind("its timers", NODE_SECOND, "linear", ONE),
    "member.due_us": Kind("looking for the next due time", NODE_SECOND, "linear", ONE),
    "member.receive_us": Kind("datagrams taken in", NODE_SECOND, "linear", ONE),
    "member.codec_us": Kind("the codec", NODE_SECOND, "linear", ONE),
    "member.datagrams": Kind("datagrams sent by a member in calm", "1/s", "constant", ONE),
    "member.table_bytes": Kind("memory of a member's table", "bytes", "linear", ONE),
    "membership.calm.cpu_us": Kind(
        "processor time in calm, whole group", NODE_SECOND, "linear", f"{GROUP} calm"
    ),
    "membership.calm.datagrams": Kind("datagrams sent in calm", "1/s a member", "constant", f"{GROUP} calm"),
    "membership.calm.bytes": Kind("bytes sent in calm", "bytes/s a member", "constant", f"{GROUP} calm"),
    "membership.calm.codec_us_a_datagram": Kind(
        "codec, out and in, in calm", "us a datagram", "constant", f"{GROUP} calm"
    ),
    "membership.death_s": Kind("until a death is known to all", "s", "log", f"{GROUP} calm"),
    "membership.backlog.cpu_us": Kind(
        "processor time while all are news", NODE_SECOND, "linear", f"{GROUP} backlog"
    ),
    "membership.backlog.bytes": Kind(
        "bytes sent while all are news", "bytes/s a member", "constant", f"{GROUP} backlog"
    ),
    "membership.news_s": Kind("until one change is known to all, in calm", "s", "log", f"{GROUP} news"),
    "membership.news_busy_s": Kind(
        "until one change is known to all, while all are news", "s", "power", f"{GROUP} news_busy"
    ),
    "membership.join_s": Kind(
        "until a group that starts at once knows itself", "s", "power", f"{GROUP} join"
    ),
    "membership.zone_lost_s": Kind(
        "until a thirteenth that dies is known dead to all", "s", "log", f"{GROUP} batch"
    ),
    "membership.zone_back_s": Kind(
        "until a thirteenth that comes back cold and all others know each other",
        "s",
        "power",
        f"{GROUP} batch",
    ),
    "membership.region_back_s": Kind(
        "until a fifth that was cut off for 150 s and all others know each other",
        "s",
        "power",
        f"{GROUP} region",
    ),
    "leader.cpu_us": Kind("processor time of a replacement's leader", "us/s", "linear", LEADER),
    "leader.datagrams": Kind("its datagrams, out and in", "1/s", "linear", LEADER),
    "leader.bytes": Kind("its bytes, out and in", "bytes/s", "linear", LEADER),
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
KINDS |= {
    f"latency.{name}": Kind(what, unit, "linear", LATENCY, CALLS)
    for name, (what, unit) in LATENCY_FIELDS.items()
}
IDLE_NODES = {"plain": "no fleet section", "fleet": "fleet section, no peers"}
IDLE_FIELDS = {"cpu_us_a_second": ("processor time", "us/s"), "resident_mb": ("memory", "MB")}
KINDS |= {
    f"node.{kind}.{name}": Kind(
        f"{what} of a node that nobody calls, {text}", unit, "constant", f"{LATENCY} --idle", "nodes"
    )
    for kind, text in IDLE_NODES.items()
    for name, (what, unit) in IDLE_FIELDS.items()
}


class RunOrigin(Struct, frozen=True):
    """Which run a scale run's row comes from."""

    command: str
    seed: int
    commit: str
    cores: int


class ScaleRow(Struct, frozen=True, kw_only=True):
    """A row as a scale run writes it. `counted` false: the machine was the limit."""

    quantity: str
    unit: str
    size: int
    value: float
    run: RunOrigin
    spread: tuple[float, float] | None = None
    counted: bool = True


SOCKETS = "sockets."
SHORT_COMMIT = 8
PLAN = re.compile(r"--plan (\S+)")
OF_A_FAULT = ("death.", "heal.", "fault.")
VARYING = re.compile(r" --(out|hollow|seed) \S+")
LEFT_OUT = ("simulated.", "worker.", "calls.")  # of a scale run: not what a member costs
A_DATAGRAM = ("cpu.codec", "cpu.loop", "cpu.runtime", "cpu.socket")  # costs that go with datagrams, not size
FITS_BY_NAME: dict[str, FitKind] = {"death.all": "log", "death.median": "log"}
FITS_BY_NAME |= {prefix + name: "constant" for name in A_DATAGRAM for prefix in ("", "fault.")}
FITS_BY_UNIT: dict[str, FitKind] = {"us/member/s": "linear", "B/member": "linear", "s": "power"}


def scale_slopes(rows: list[ScaleRow], commit: str = "") -> list[dict[str, Any]]:
    """Rows of the slopes file from a scale run's.

    `commit`: whose node was measured, where the run's own commit is not one that stays.
    """
    names: dict[str, list[ScaleRow]] = defaultdict(list)
    for row in rows:
        if row.counted and not row.quantity.startswith(LEFT_OUT):
            names[name_of(row)].append(row)
    return [scale_slope(name, own, commit) for name, own in names.items() if fits(own)]


def name_of(row: ScaleRow) -> str:
    """The slope's name; what a fault caused stands under the plan that has the fault."""
    plan = PLAN.search(row.run.command)
    of_plan = f"{plan[1]}." if plan and row.quantity.startswith(OF_A_FAULT) else ""
    return f"{SOCKETS}{of_plan}{row.quantity}"


def fit_of(rows: list[ScaleRow]) -> FitKind:
    """How a quantity goes with the size."""
    return FITS_BY_NAME.get(rows[0].quantity) or FITS_BY_UNIT.get(rows[0].unit, "constant")


def fits(rows: list[ScaleRow]) -> bool:
    """Whether there are sizes enough; one alone says nothing of how a quantity grows."""
    return fit_of(rows) == "constant" or len({row.size for row in rows}) > 1


def command_of(text: str) -> str:
    """A command without what differs between the points, and without the file that it wrote."""
    return VARYING.sub("", text)


def scale_slope(name: str, rows: list[ScaleRow], commit: str) -> dict[str, Any]:
    """One quantity of a scale run at its sizes."""
    measured = [Row(name, row.size, row.run.seed, row.value) for row in rows]
    commits = ", ".join(sorted({row.run.commit[:SHORT_COMMIT] for row in rows}))
    return {
        "name": name,
        "what": f"{rows[0].quantity} of a scale run",
        "unit": rows[0].unit,
        "per": MEMBERS,
        "fit": fit_of(rows),
        "run": "; ".join(sorted({command_of(row.run.command) for row in rows})),
        "seeds": sorted({row.run.seed for row in rows}),
        "commit": f"{commit} (run at {commits})" if commit else commits,
        "machine": f"{max(row.run.cores for row in rows)} cores shared with other work",
        "points": points(measured),
        "note": "real datagram sockets on loopback",
    }


def rows_of(line: bytes) -> list[Row]:
    """The values of one printed line; none of a latency round that does not count."""
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


def points(rows: list[Row]) -> list[dict[str, Any]]:
    """A point for each size."""
    sizes: dict[int, list[Row]] = defaultdict(list)
    for row in rows:
        sizes[row.size].append(row)
    return [point_of(size, runs) for size, runs in sorted(sizes.items())]


def point_of(size: int, runs: list[Row]) -> dict[str, Any]:
    """Mean and spread of the runs at one size."""
    values = [run.value for run in runs]
    point: dict[str, Any] = {"size": size, "value": rounded(fmean(values)), "runs": len(values)}
    if len(values) > 1:
        point["spread"] = rounded(stdev(values))
    if any(run.limit for run in runs):
        point["lower_bound"] = True
    return point


def rounded(value: float) -> float:
    """Four significant figures."""
    return float(f"{value:.4g}")


def collected(rows: list[Row], commit: str, machine: str, note: str) -> list[dict[str, Any]]:
    """Rows of the slopes file."""
    names: dict[str, list[Row]] = defaultdict(list)
    for measured in rows:
        names[measured.name].append(measured)
    out = []
    for name, kind in KINDS.items():
        if name not in names:
            continue
        own = names[name]
        row: dict[str, Any] = {
            "name": name,
            "what": kind.what,
            "unit": kind.unit,
            "per": kind.per,
            "fit": kind.fit if len({run.size for run in own}) > 1 else "constant",
            "run": kind.run,
            "seeds": sorted({r.seed for r in own}),
            "commit": commit,
            "machine": machine,
            "points": points(own),
        }
        if note:
            row["note"] = note
        out.append(row)
    return out


@click.command()
@click.argument(
    "files", type=click.Path(exists=True, dir_okay=False, path_type=Path), nargs=-1, required=True
)
@click.option("--commit", default="", help="Whose program was measured; a scale run's rows say it.")
@click.option("--machine", default="", help="In plain words, such as '8 cores'; likewise.")
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
            rows += [row for line in text.splitlines() for row in rows_of(line)]
    slopes = collected(rows, commit, machine, note) + scale_slopes(scale_rows, commit)
    click.echo(tomli_w.dumps({"slope": slopes}), nl=False)


if __name__ == "__main__":
    main()
