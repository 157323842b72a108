"""Tests that fail for a real fault which is not mended yet: `KNOWN-RED.txt` at the root names them.

A line is `test | cause | issue`, three lines at most. Such a test is played; that it fails is passed over and
printed, that it passes or is not there fails the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
MOST = 3


def read(text: str) -> dict[str, str]:
    """Why each named test fails. A line that says less, or one too many, is a UsageError."""
    known: dict[str, str] = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        test, *why = (part.strip() for part in line.split("|"))
        if len(why) != 2 or not (test and all(why)):
            raise pytest.UsageError(f"KNOWN-RED.txt: not of the form test | cause | issue: {line}")
        known[test] = f"{why[0]} (issue {why[1]})"
    if len(known) > MOST:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(known)} tests, {MOST} at most")
    return known


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    known = read(FILE.read_text()) if FILE.exists() else {}
    for item in items:
        if why := known.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=why, strict=True))
    files = {item.nodeid.partition("::")[0] for item in items}
    parts = any("::" in arg for arg in config.args)
    for test in known:
        gone = not (FILE.parent / test.partition("::")[0]).exists()
        there = any(item.nodeid == test for item in items)
        if gone or not there and not parts and test.partition("::")[0] in files:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
