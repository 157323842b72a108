"""What is checked at the end of a run, and whether the machine kept up: with the names of who fails."""

from __future__ import annotations

from msgspec import Struct, field

from workbench.scale.messages import FalseDeath, ViewFault, Window

MAX_LATENESS_P99_MS = 50.0  # of a worker's loop: over that its members answer as no node of their own would
MAX_WORKER_CPU = 0.8  # of a core
MAX_SHOWN = 5  # lines of one check


class Death(Struct):
    """One member's end, and when the others noticed. `expected`: members that had to."""

    victim: str
    expected: int
    known_s: list[float]


class Findings(Struct):
    """What a whole run found out about the members' views."""

    members: int = 0
    joined_s: list[float] = field(default_factory=list)  # of those that have known all
    join_expected: int = 0
    join_faults: list[str] = field(default_factory=list)  # members that had not by their time, the first few
    deaths: list[Death] = field(default_factory=list)
    false_deaths: list[FalseDeath] = field(default_factory=list)
    false_death_count: int = 0
    view_faults: list[ViewFault] = field(default_factory=list)
    healed_s: list[float] = field(default_factory=list)


class Check(Struct):
    """One check. `failures`: lines with names; none where it holds."""

    name: str
    failures: list[str]


def checks(findings: Findings) -> list[Check]:
    """All checks over what was found."""
    return [
        Check("join", join_failures(findings)),
        Check("views", shortened([view_line(v) for v in findings.view_faults])),
        Check("deaths", shortened([line for d in findings.deaths if (line := death_line(d))])),
        Check("false deaths", false_death_lines(findings)),
    ]


def join_failures(findings: Findings) -> list[str]:
    late = findings.join_expected - len(findings.joined_s)
    if late <= 0:
        return []
    names = ", ".join(findings.join_faults)
    return [f"{late} of {findings.join_expected} members did not know all in time: {names}"]


def view_line(v: ViewFault) -> str:
    line = f"{v.member}: holds {v.known} of {v.expected} alive"
    if v.missing:
        line += f", misses {listed(v.missing, v.missing_count)}"
    if v.surplus:
        line += f", holds alive who ended: {listed(v.surplus, v.surplus_count)}"
    return line


def death_line(d: Death) -> str:
    known = len(d.known_s)
    return "" if known >= d.expected else f"{d.victim}: its end is known to {known} of {d.expected}"


def false_death_lines(findings: Findings) -> list[str]:
    by_victim: dict[str, list[FalseDeath]] = {}
    for death in findings.false_deaths:
        by_victim.setdefault(death.victim, []).append(death)
    lines = [
        f"{victim}: runs, but {len(deaths)} held it dead, first {deaths[0].holder} at {deaths[0].at_s:.1f} s"
        for victim, deaths in sorted(by_victim.items(), key=lambda item: -len(item[1]))
    ]
    return shortened(lines)


def listed(names: list[str], count: int) -> str:
    more = count - len(names)
    return ", ".join(names) + (f" and {more} more" if more else "")


def shortened(lines: list[str]) -> list[str]:
    more = len(lines) - MAX_SHOWN
    return lines[:MAX_SHOWN] + ([f"and {more} more"] if more > 0 else [])


def machine_limits(phase: str, windows: list[Window]) -> list[str]:
    """Where the machine and not the members set the pace: lines with the worker's number."""
    lines = []
    for number, window in enumerate(windows):
        share = window.cpu_s / window.seconds if window.seconds > 0 else 0.0
        if window.lateness_p99_ms > MAX_LATENESS_P99_MS:
            late = f"{window.lateness_p99_ms:.0f} ms late at the 99th percentile"
            lines.append(f"{phase}: worker {number}: {late}: at most {MAX_LATENESS_P99_MS:g}")
        if share > MAX_WORKER_CPU:
            lines.append(f"{phase}: worker {number}: {share:.0%} of a core: at most {MAX_WORKER_CPU:.0%}")
    return lines
