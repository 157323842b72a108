"""A run as an operator would read it, on a terminal."""

from __future__ import annotations

from typing import Any

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

CAUSES_SHOWN = 2


def run_report(result: dict[str, Any], broken: list[str], profile: bool = False) -> Group:
    """The whole report of a result: by 5 s, the account, the rules, the speed."""
    parts: list[RenderableType] = [by_time(result), account(result), losses(result), rules(result, broken)]
    parts.append(speed(result["speed"], profile))
    return Group(*parts)


def cause(entry: dict[str, Any], names: list[str]) -> str:
    return f"{entry['cause']} ({names[entry['tier']]})"


def tier_names(result: dict[str, Any]) -> list[str]:
    return [str(t["name"]) for t in result["day"]["tier"]]


def by_time(result: dict[str, Any]) -> Table:
    names = tier_names(result)
    table = Table(box=None, pad_edge=False, header_style="bold")
    for head in ("from s", "requests", "served %", "worth %", "tries", "attempts", "p50 ms", "p99 ms"):
        table.add_column(head, justify="right")
    table.add_column("worth lost to, %", no_wrap=True)
    for row in result["table"]:
        asked = max(1, row["asked"])
        lost = sorted(row["lost"], key=lambda e: -e["worth"])[:CAUSES_SHOWN]
        table.add_row(
            f"{row['at_s']:.0f}",
            str(row["asked"]),
            f"{100 * row['served'] / asked:.1f}",
            f"{100 * row['served_worth'] / (row['worth'] or 1):.1f}",
            f"{row['tries'] / asked:.2f}",
            f"{row['attempts'] / asked:.2f}",
            f"{row['p50_ms']:.0f}",
            f"{row['p99_ms']:.0f}",
            ", ".join(f"{cause(e, names)} {100 * e['worth'] / (row['worth'] or 1):.1f}" for e in lost),
        )
    return table


def account(result: dict[str, Any]) -> Table:
    a = result["account"]
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column()
    table.add_column()
    classes = ", ".join(f"{name} {share:.3f}" for name, share in a["classes"].items())
    prices = (
        ", ".join(f"{name} {price:.4f}" for name, price in a["prices"].items() if price >= 5e-5) or "none"
    )
    names = tier_names(result)
    attempts = ", ".join(f"{n} {x:.2f}" for n, x in zip(names, a["attempts_a_call"], strict=True))
    latency = ", ".join(f"{p} {ms:.0f} ms" for p, ms in a["latency_ms"].items())
    rows = [
        ("", ""),
        ("goal", f"{result['goal']:.3f}"),
        ("worth served", f"whole day {a['whole']:.3f}, worst window {a['worst_window']:.3f}"),
        ("by class", classes),
        ("prices", prices),
        ("requests", f"{a['requests']}, {a['tries_a_request']:.2f} tries each"),
        ("attempts a call", attempts),
        ("latency, served", latency),
    ]
    for row in rows:
        table.add_row(*row)
    return table


def losses(result: dict[str, Any]) -> Table:
    names = tier_names(result)
    lost = result["account"]["lost"][:8]
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column()
    table.add_column()
    text = "\n".join(f"{100 * e['share']:5.2f} %  {cause(e, names)}" for e in lost) or "nothing"
    table.add_row("worth lost     ", text)
    return table


def rules(result: dict[str, Any], broken: list[str]) -> Text:
    counts = {name: n for name, n in result["rules"].items() if n}
    if not counts:
        return Text("rules            all kept")
    head = ", ".join(f"{name} {n}" for name, n in counts.items())
    return Text("\n".join([f"rules            BROKEN: {head}", *(f"  {line}" for line in broken)]))


def speed(s: dict[str, Any], profile: bool) -> Text:
    line = f"speed            {s['calls']} calls, {s['cpu_s']:.1f} s, {s['cpu_us_a_call']:.0f} us a call"
    line += f", {s['peak_mb']:.0f} MB"
    if profile:
        share = s["module_share"]
        mine = s["cpu_us_a_call"]
        line += f"\nprofile          module {100 * share:.0f} % ({share * mine:.1f} us a call), "
        line += f"world and clock {100 * (1 - share):.0f} % ({(1 - share) * mine:.1f} us a call)"
    return Text(line)
