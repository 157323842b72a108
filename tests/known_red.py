"""Tests that fail because of a known defect, listed in `KNOWN-RED.txt` at the repository root.

The file has at most three lines of the form `test | cause | issue`. A listed test is run: its failure is
reported as expected, and the run fails if the test passes or does not exist.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_RED_TESTS = 3


def parse(text: str) -> dict[str, str]:
    """Parse the file into the cause of each listed test's failure.

    Raises:
        UsageError: A line is malformed, or there are too many lines.
    """
    causes: dict[str, str] = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        test, *details = (part.strip() for part in line.split("|"))
        if len(details) != 2 or not (test and all(details)):
            raise pytest.UsageError(f"KNOWN-RED.txt: not of the form test | cause | issue: {line}")
        causes[test] = f"{details[0]} (issue {details[1]})"
    if len(causes) > MAX_KNOWN_RED_TESTS:
        raise pytest.UsageError(f"KNOWN-RED.txt: {len(causes)} tests, {MAX_KNOWN_RED_TESTS} at most")
    return causes


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures; a listed test that does not exist is an error."""
    causes = parse(KNOWN_RED_FILE.read_text()) if KNOWN_RED_FILE.exists() else {}
    for item in items:
        if cause := causes.get(item.nodeid):
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
    files = {item.nodeid.partition("::")[0] for item in items}
    single_tests_selected = any("::" in arg for arg in config.args)
    for test in causes:
        file_missing = not (KNOWN_RED_FILE.parent / test.partition("::")[0]).exists()
        collected = any(item.nodeid == test for item in items)
        if file_missing or not collected and not single_tests_selected and test.partition("::")[0] in files:
            raise pytest.UsageError(f"KNOWN-RED.txt: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each listed test that failed, with its cause."""
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
