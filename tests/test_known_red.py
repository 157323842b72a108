"""KNOWN-RED.txt: what it passes over, and what it does not."""

import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

HERE = Path(__file__).parent
RED = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def start(folder: Path, known: str | None) -> subprocess.Popen[str]:
    """A small suite of its own, with the hooks of this one."""
    (folder / "tests").mkdir()
    (folder / "tests" / "known_red.py").write_text((HERE / "known_red.py").read_text())
    (folder / "tests" / "conftest.py").write_text(
        "from known_red import pytest_collection_modifyitems, pytest_terminal_summary\n"
    )
    (folder / "tests" / "test_it.py").write_text(RED)
    (folder / "pytest.ini").write_text("[pytest]\n")
    if known is not None:
        (folder / "KNOWN-RED.txt").write_text(known)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    environment = os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}  # other packages' are not under test
    return subprocess.Popen(
        command, cwd=folder, env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )


CASES = {  # the file, the exit status, what is printed
    "passed over": (
        "tests/test_it.py::test_red | the cause | 27\n",
        0,
        "known red: tests/test_it.py::test_red: the cause",
    ),
    "no file": (None, 1, "1 failed"),
    "passes": ("tests/test_it.py::test_green | the cause | 27\n", 1, "2 failed"),
    "missing": (
        "tests/test_it.py::test_none | the cause | 27\n",
        4,
        "there is no test tests/test_it.py::test_none",
    ),
    "file missing": (
        "tests/none.py::test_red | the cause | 27\n",
        4,
        "there is no test tests/none.py::test_red",
    ),
    "says too little": ("tests/test_it.py::test_red\n", 4, "not of the form test | cause | issue"),
    "too many": (
        "".join(f"tests/test_it.py::test_{i} | c | 1\n" for i in range(4)),
        4,
        "4 tests, 3 at most",
    ),
}


@pytest.fixture(scope="module")
def suites(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, subprocess.Popen[str]]]:
    """The suites of all cases, side by side."""
    started = {case: start(tmp_path_factory.mktemp("suite"), known) for case, (known, _, _) in CASES.items()}
    yield started
    for suite in started.values():
        suite.kill()
        suite.communicate()


@pytest.mark.parametrize("case", CASES)
def test_just_the_named_tests_are_passed_over_and_printed(
    suites: dict[str, subprocess.Popen[str]], case: str
) -> None:
    _, code, words = CASES[case]
    printed, _ = suites[case].communicate(timeout=60)
    assert suites[case].returncode == code and words in printed
