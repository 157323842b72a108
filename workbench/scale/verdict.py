"""Checks at the end of a run, with the names of failing members, and whether the machine kept up."""

from __future__ import annotations

from msgspec import Struct, field

from workbench.scale.messages import FalseDeath, ViewFault, Window

# Lateness of a worker's event loop above which its members answer later than a separate node would.
MAX_LATENESS_P99_MS = 50.0
# Highest processor time of a worker as a share of a core.
MAX_WORKER_CPU_SHARE = 0.8
# Most lines that are shown for one check.
MAX_FAILURE_LINES = 5


class Death(Struct):
    """The death of one member, and when the others noticed; `expected` is the number of members that must."""

    victim: str
    expected: int
    known_s: list[float]


class Findings(Struct):
    """Observations of a whole run about the members' views.

    `joined_s` has the times of the members that came to know the whole group, `join_faults` the first few
    names of those that did not in time.
    """

    members: int = 0
    joined_s: list[float] = field(default_factory=list)
    join_expected: int = 0
    join_faults: list[str] = field(default_factory=list)
    deaths: list[Death] = field(default_factory=list)
    false_deaths: list[FalseDeath] = field(default_factory=list)
    false_death_count: int = 0
    view_faults: list[ViewFault] = field(default_factory=list)
    healed_s: list[float] = field(default_factory=list)


class Check(Struct):
    """The result of one check; `failures` are lines with names, and empty if the check holds."""

    name: str
    failures: list[str]


def checks(findings: Findings) -> list[Check]:
    """Run all checks on the findings of a run."""
    return [
        Check("join", join_failures(findings)),
        Check("views", truncate_lines([view_line(v) for v in findings.view_faults])),
        Check("deaths", truncate_lines([line for d in findings.deaths if (line := death_line(d))])),
        Check("false deaths", false_death_lines(findings)),
    ]


def join_failures(findings: Findings) -> list[str]:
    """Return a line if some members did not come to know the whole group in time."""
    late = findings.join_expected - len(findings.joined_s)
    if late <= 0:
        return []
    names = ", ".join(findings.join_faults)
    return [f"{late} of {findings.join_expected} members did not know the whole group in time: {names}"]


def view_line(v: ViewFault) -> str:
    """Describe the differences of one member's view."""
    line = f"{v.member}: holds {v.known} of {v.expected} alive"
    if v.missing:
        line += f", missing {format_names(v.missing, v.missing_count)}"
    if v.surplus:
        line += f", ended members held alive: {format_names(v.surplus, v.surplus_count)}"
    return line


def death_line(d: Death) -> str:
    """Describe a death that some members did not notice; return an empty line if all did."""
    known = len(d.known_s)
    return "" if known >= d.expected else f"{d.victim}: death known to {known} of {d.expected}"


def false_death_lines(findings: Findings) -> list[str]:
    """Describe the running members that others declared dead, those with the most reports first."""
    by_victim: dict[str, list[FalseDeath]] = {}
    for death in findings.false_deaths:
        by_victim.setdefault(death.victim, []).append(death)
    lines = [
        f"{victim}: alive, but {len(deaths)} held it dead, first {deaths[0].holder} at {deaths[0].at_s:.1f} s"
        for victim, deaths in sorted(by_victim.items(), key=lambda item: -len(item[1]))
    ]
    return truncate_lines(lines)


def format_names(names: list[str], count: int) -> str:
    """Join names, and add how many of `count` are not among them."""
    omitted = count - len(names)
    return ", ".join(names) + (f" and {omitted} more" if omitted else "")


def truncate_lines(lines: list[str]) -> list[str]:
    """Limit the number of lines, and add how many were left out."""
    omitted = len(lines) - MAX_FAILURE_LINES
    return lines[:MAX_FAILURE_LINES] + ([f"and {omitted} more"] if omitted > 0 else [])


def machine_limits(phase: str, windows: list[Window]) -> list[str]:
    """Return a line for each worker whose results were limited by the machine."""
    lines = []
    for number, window in enumerate(windows):
        share = window.cpu_s / window.seconds if window.seconds > 0 else 0.0
        if window.lateness_p99_ms > MAX_LATENESS_P99_MS:
            late = f"{window.lateness_p99_ms:.0f} ms late at the 99th percentile"
            lines.append(f"{phase}: worker {number}: {late}: at most {MAX_LATENESS_P99_MS:g}")
        if share > MAX_WORKER_CPU_SHARE:
            lines.append(
                f"{phase}: worker {number}: {share:.0%} of a core: at most {MAX_WORKER_CPU_SHARE:.0%}"
            )
    return lines
