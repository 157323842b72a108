"""Terminal report of one run: figures by time, the account, losses, rules and speed."""

from __future__ import annotations

from typing import Any

from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

MAX_CAUSES_PER_ROW = 2
MAX_CAUSES = 8
MIN_SHOWN_PRICE = 5e-5


def run_report(result: dict[str, Any], violation_lines: list[str], profile: bool = False) -> Group:
    """Return the complete report of a run.

    Args:
        result: Result of the run.
        violation_lines: One line for each violation of a rule.
        profile: Whether to show the shares of processor time.
    """
    parts: list[RenderableType] = [
        time_table(result),
        account_table(result),
        loss_table(result),
        rules_text(result, violation_lines),
        speed_text(result["speed"], profile),
    ]
    return Group(*parts)


def cause_text(loss: dict[str, Any], tiers: list[str]) -> str:
    """Return the label of a loss: its cause and the name of its tier."""
    return f"{loss['cause']} ({tiers[loss['tier']]})"


def tier_names(result: dict[str, Any]) -> list[str]:
    """Return the names of the run's tiers in order, beginning with the first one."""
    return [str(tier["name"]) for tier in result["day"]["tier"]]


def time_table(result: dict[str, Any]) -> Table:
    """Return the table of requests, served value, attempts, latency and losses by period of the day."""
    tiers = tier_names(result)
    table = Table(box=None, pad_edge=False, header_style="bold")
    for heading in ("from s", "requests", "served %", "worth %", "tries", "attempts", "p50 ms", "p99 ms"):
        table.add_column(heading, justify="right")
    table.add_column("worth lost to, %", no_wrap=True)
    for row in result["table"]:
        table.add_row(*time_cells(row, tiers))
    return table


def time_cells(row: dict[str, Any], tiers: list[str]) -> list[str]:
    """Return the cells of one period of the day."""
    requests = max(1, row["asked"])
    value = row["worth"] or 1
    losses = sorted(row["lost"], key=lambda loss: -loss["worth"])[:MAX_CAUSES_PER_ROW]
    causes = [f"{cause_text(loss, tiers)} {100 * loss['worth'] / value:.1f}" for loss in losses]
    return [
        f"{row['at_s']:.0f}",
        str(row["asked"]),
        f"{100 * row['served'] / requests:.1f}",
        f"{100 * row['served_worth'] / value:.1f}",
        f"{row['tries'] / requests:.2f}",
        f"{row['attempts'] / requests:.2f}",
        f"{row['p50_ms']:.0f}",
        f"{row['p99_ms']:.0f}",
        ", ".join(causes),
    ]


def account_table(result: dict[str, Any]) -> Table:
    """Return the run's account: its goal and the figures that contribute to it."""
    account = result["account"]
    classes = [f"{name} {share:.3f}" for name, share in account["classes"].items()]
    prices = [f"{name} {price:.4f}" for name, price in account["prices"].items() if price >= MIN_SHOWN_PRICE]
    per_tier = zip(tier_names(result), account["attempts_a_call"], strict=True)
    attempts = [f"{tier} {count:.2f}" for tier, count in per_tier]
    latencies = [f"{name} {latency:.0f} ms" for name, latency in account["latency_ms"].items()]
    table = two_column_table()
    table.add_row("", "")
    table.add_row("goal", f"{result['goal']:.3f}")
    table.add_row(
        "worth served", f"whole day {account['whole']:.3f}, worst window {account['worst_window']:.3f}"
    )
    table.add_row("by class", ", ".join(classes))
    table.add_row("prices", ", ".join(prices) or "none")
    table.add_row("requests", f"{account['requests']}, {account['tries_a_request']:.2f} tries each")
    table.add_row("attempts a call", ", ".join(attempts))
    table.add_row("latency, served", ", ".join(latencies))
    return table


def two_column_table() -> Table:
    """Return an empty table of names and values, without borders and headings."""
    table = Table(box=None, pad_edge=False, show_header=False)
    table.add_column()
    table.add_column()
    return table


def loss_table(result: dict[str, Any]) -> Table:
    """Return the largest causes of lost value."""
    tiers = tier_names(result)
    losses = result["account"]["lost"][:MAX_CAUSES]
    lines = [f"{100 * loss['share']:5.2f} %  {cause_text(loss, tiers)}" for loss in losses]
    table = two_column_table()
    table.add_row("worth lost     ", "\n".join(lines) or "nothing")
    return table


def rules_text(result: dict[str, Any], violation_lines: list[str]) -> Text:
    """Return the number of violations of each broken rule, and a line for each violation."""
    violations = [f"{rule} {count}" for rule, count in result["rules"].items() if count]
    if not violations:
        return Text("rules            all kept")
    lines = [f"rules            BROKEN: {', '.join(violations)}"]
    lines += [f"  {line}" for line in violation_lines]
    return Text("\n".join(lines))


def speed_text(speed: dict[str, Any], profile: bool) -> Text:
    """Return the processor time and memory of the run and, with `profile`, the shares of module and model."""
    cpu_us_per_call = speed["cpu_us_a_call"]
    text = f"speed            {speed['calls']} calls, {speed['cpu_s']:.1f} s, {cpu_us_per_call:.0f} us a call"
    text += f", {speed['peak_mb']:.0f} MB"
    if profile:
        module = speed["module_share"]
        model = 1 - module
        text += f"\nprofile          module {100 * module:.0f} % ({module * cpu_us_per_call:.1f} us a call), "
        text += f"simulation {100 * model:.0f} % ({model * cpu_us_per_call:.1f} us a call)"
    return Text(text)
