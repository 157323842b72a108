"""The command that runs under a lease, against management responses made up by hand."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from workbench.emulator import lease_command
from workbench.emulator.lease_command import EXIT_LOST, EXIT_NOT_ACQUIRED, LeaseCommand
from workbench.emulator.management_client import ManagementError

NODES = [("127.0.0.1", 1), ("127.0.0.1", 2)]
LEASE = "nightly job"
LEASE_US = 1_000_000
TOKEN = 7
GRANT = {"held": True, "token": TOKEN, "left_us": LEASE_US}
DENIAL = {"held": False, "why": "another holds it"}
HOLD_PATH, RELEASE_PATH = "/fleet/hold", "/fleet/give"


class Nodes:
    """Answers requests for the lease in turn, the last answer again and again; None is no answer."""

    def __init__(self, *answers: dict[str, Any] | None) -> None:
        self.answers = list(answers)
        self.requests: list[tuple[tuple[str, int], str]] = []
        self.queries: list[dict[str, list[str]]] = []

    def put(self, address: tuple[str, int], path: str) -> dict[str, Any]:
        parts = urlsplit(path)
        self.requests.append((address, parts.path))
        self.queries.append(parse_qs(parts.query))
        if parts.path == RELEASE_PATH:
            return {}
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise ManagementError("no answer")
        return answer


@pytest.fixture(autouse=True)
def _signal_handler() -> Iterator[None]:
    former = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, former)


def run(
    monkeypatch: pytest.MonkeyPatch, nodes: Nodes, *command: str, wait: float = 0.0
) -> tuple[int, list[str]]:
    """The exit status of a command, and the lines for the user."""
    monkeypatch.setattr(lease_command, "put", nodes.put)
    lines: list[str] = []
    status = LeaseCommand(LEASE, list(NODES), wait, list(command), lines.append).run()
    return status, lines


def test_the_command_gets_lease_and_token_and_its_status_is_passed_on(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    nodes = Nodes(GRANT)
    seen = tmp_path / "seen"
    script = f'echo "$FLEET_DUTY $FLEET_TOKEN" > {seen}; exit 3'
    status, lines = run(monkeypatch, nodes, "sh", "-c", script)
    assert status == 3 and seen.read_text() == f"{LEASE} {TOKEN}\n"
    assert lines == [f"{LEASE}: held, token {TOKEN}"]
    assert nodes.requests[0][1] == HOLD_PATH and nodes.requests[-1][1] == RELEASE_PATH
    assert {query["duty"][0] for query in nodes.queries} == {LEASE}
    assert len({query["script"][0] for query in nodes.queries}) == 1


def test_a_command_that_a_signal_ends_has_a_shells_status(monkeypatch: pytest.MonkeyPatch) -> None:
    status, _ = run(monkeypatch, Nodes(GRANT), "sh", "-c", "kill -9 $$")
    assert status == 128 + signal.SIGKILL


def test_the_command_does_not_run_without_the_lease(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    nodes = Nodes(DENIAL)
    status, lines = run(monkeypatch, nodes, "touch", str(tmp_path / "ran"))
    assert status == EXIT_NOT_ACQUIRED and not (tmp_path / "ran").exists()
    assert lines == [f"{LEASE}: not held after 0 s: another holds it"]
    assert nodes.requests[-1][1] == RELEASE_PATH


def test_the_next_node_is_asked_where_one_does_not_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    nodes = Nodes(None, GRANT)
    status, _ = run(monkeypatch, nodes, "true", wait=5.0)
    assert status == 0 and [address for address, _ in nodes.requests[:2]] == NODES


@pytest.mark.parametrize("answer", [DENIAL, None, GRANT | {"token": TOKEN + 1}], ids=str)
def test_a_lease_that_is_not_renewed_ends_the_command(
    monkeypatch: pytest.MonkeyPatch, answer: dict[str, Any] | None
) -> None:
    """Failure prevented: two commands run under one lease."""
    status, lines = run(monkeypatch, Nodes(GRANT, answer), "sleep", "60")
    assert status == EXIT_LOST
    assert lines[1].startswith(f"{LEASE}: not renewed, the command is told to end: ")


def test_a_command_that_ignores_sigterm_is_killed_before_the_lease_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script = "trap '' TERM; while :; do sleep 0.05; done"
    status, lines = run(monkeypatch, Nodes(GRANT, DENIAL), "sh", "-c", script)
    assert status == EXIT_LOST
    assert lines[-1] == f"{LEASE}: lost, the command was killed: another holds it"
