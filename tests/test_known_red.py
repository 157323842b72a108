"""KNOWN-RED.txt: what it passes over, and what it does not."""

import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
RED = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


def run(folder: Path, known: str | None) -> subprocess.CompletedProcess[str]:
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
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60)


@pytest.mark.parametrize(
    ("known", "code", "words"),
    [
        (
            "tests/test_it.py::test_red | the cause | 27\n",
            0,
            "known red: tests/test_it.py::test_red: the cause",
        ),
        (None, 1, "1 failed"),
        ("tests/test_it.py::test_green | the cause | 27\n", 1, "2 failed"),
        ("tests/test_it.py::test_none | the cause | 27\n", 4, "there is no test tests/test_it.py::test_none"),
        ("tests/none.py::test_red | the cause | 27\n", 4, "there is no test tests/none.py::test_red"),
        ("tests/test_it.py::test_red\n", 4, "not of the form test | cause | issue"),
        ("".join(f"tests/test_it.py::test_{i} | c | 1\n" for i in range(4)), 4, "4 tests, 3 at most"),
    ],
    ids=["passed over", "no file", "passes", "missing", "file missing", "says too little", "too many"],
)
def test_just_the_named_tests_are_passed_over_and_printed(tmp_path, known, code, words):
    done = run(tmp_path, known)
    assert done.returncode == code and words in done.stdout + done.stderr
