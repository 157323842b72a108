"""KNOWN-RED.txt: which failing tests it excuses, and which errors in it are reported."""

import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

TESTS_DIRECTORY = Path(__file__).parent
TEST_MODULE = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def start_suite(directory: Path, known_red: str | None) -> subprocess.Popen[str]:
    """Start pytest on a small test suite with the hooks of this one.

    Args:
        directory: The root directory of the suite.
        known_red: The content of its KNOWN-RED.txt, or None for no such file.
    """
    (directory / "tests").mkdir()
    (directory / "tests" / "known_red.py").write_text((TESTS_DIRECTORY / "known_red.py").read_text())
    (directory / "tests" / "conftest.py").write_text(
        "from known_red import pytest_collection_modifyitems, pytest_terminal_summary\n"
    )
    (directory / "tests" / "test_it.py").write_text(TEST_MODULE)
    (directory / "pytest.ini").write_text("[pytest]\n")
    if known_red is not None:
        (directory / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    environment = os.environ | {"PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}  # Other packages' plugins stay out.
    return subprocess.Popen(
        command, cwd=directory, env=environment, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    )


# Content of KNOWN-RED.txt, exit status and expected output of each case.
CASES = {
    "excused": (
        "tests/test_it.py::test_red | the cause | 27\n",
        0,
        "known red: tests/test_it.py::test_red: the cause",
    ),
    "no file": (None, 1, "1 failed"),
    "test passes": ("tests/test_it.py::test_green | the cause | 27\n", 1, "2 failed"),
    "test missing": (
        "tests/test_it.py::test_none | the cause | 27\n",
        4,
        "there is no test tests/test_it.py::test_none",
    ),
    "file missing": (
        "tests/none.py::test_red | the cause | 27\n",
        4,
        "there is no test tests/none.py::test_red",
    ),
    "incomplete line": ("tests/test_it.py::test_red\n", 4, "not of the form test | cause | issue"),
    "too many": (
        "".join(f"tests/test_it.py::test_{i} | c | 1\n" for i in range(4)),
        4,
        "4 tests, 3 at most",
    ),
}


@pytest.fixture(scope="module")
def suites(tmp_path_factory: pytest.TempPathFactory) -> Iterator[dict[str, subprocess.Popen[str]]]:
    """Start the suites of all cases in parallel."""
    processes = {
        case: start_suite(tmp_path_factory.mktemp("suite"), content)
        for case, (content, _, _) in CASES.items()
    }
    yield processes
    for suite in processes.values():
        suite.kill()
        suite.communicate()


@pytest.mark.parametrize("case", CASES)
def test_only_named_tests_are_excused_and_printed(
    suites: dict[str, subprocess.Popen[str]], case: str
) -> None:
    _, status, message = CASES[case]
    output, _ = suites[case].communicate(timeout=60)
    assert suites[case].returncode == status and message in output
