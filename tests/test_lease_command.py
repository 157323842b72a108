"""Tests of the command that runs under a lease, with scripted management responses."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest

from workbench.emulator import lease_command
from workbench.emulator.lease_command import EXIT_LEASE_LOST, EXIT_LEASE_NOT_ACQUIRED, LeaseCommand
from workbench.emulator.management_client import ManagementError

NODES = [("127.0.0.1", 1), ("127.0.0.1", 2)]
LEASE = "nightly job"
LEASE_US = 1_000_000
TOKEN = 7
GRANT = {"held": True, "token": TOKEN, "left_us": LEASE_US}
DENIAL = {"held": False, "why": "held by another process"}
HOLD_PATH, RELEASE_PATH = "/fleet/hold", "/fleet/give"


class ScriptedNodes:
    """Returns scripted responses to lease requests in order and repeats the last; None fails a request."""

    def __init__(self, *responses: dict[str, Any] | None) -> None:
        self.responses = list(responses)
        self.requests: list[tuple[tuple[str, int], str]] = []
        self.queries: list[dict[str, list[str]]] = []

    def put(self, address: tuple[str, int], path: str) -> dict[str, Any]:
        url = urlsplit(path)
        self.requests.append((address, url.path))
        self.queries.append(parse_qs(url.query))
        if url.path == RELEASE_PATH:
            return {}
        response = self.responses.pop(0) if len(self.responses) > 1 else self.responses[0]
        if response is None:
            raise ManagementError("no response")
        return response


@pytest.fixture(autouse=True)
def _signal_handler() -> Iterator[None]:
    previous_handler = signal.getsignal(signal.SIGTERM)
    yield
    signal.signal(signal.SIGTERM, previous_handler)


def run_lease_command(
    monkeypatch: pytest.MonkeyPatch, nodes: ScriptedNodes, *command: str, wait_s: float = 0.0
) -> tuple[int, list[str]]:
    """Run a command under the lease; return its exit status and the lines for the user."""
    monkeypatch.setattr(lease_command, "put", nodes.put)
    lines: list[str] = []
    status = LeaseCommand(LEASE, list(NODES), wait_s, list(command), lines.append).run()
    return status, lines


def test_lease_command_passes_token_and_returns_exit_status(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    nodes = ScriptedNodes(GRANT)
    output = tmp_path / "output"
    script = f'echo "$FLEET_DUTY $FLEET_TOKEN" > {output}; exit 3'
    status, lines = run_lease_command(monkeypatch, nodes, "sh", "-c", script)
    assert status == 3 and output.read_text() == f"{LEASE} {TOKEN}\n"
    assert lines == [f"{LEASE}: held, token {TOKEN}"]
    assert nodes.requests[0][1] == HOLD_PATH and nodes.requests[-1][1] == RELEASE_PATH
    assert {query["duty"][0] for query in nodes.queries} == {LEASE}
    assert len({query["script"][0] for query in nodes.queries}) == 1


def test_lease_command_killed_by_signal_returns_shell_status(monkeypatch: pytest.MonkeyPatch) -> None:
    status, _ = run_lease_command(monkeypatch, ScriptedNodes(GRANT), "sh", "-c", "kill -9 $$")
    assert status == 128 + signal.SIGKILL


def test_lease_command_without_lease_does_not_run(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    nodes = ScriptedNodes(DENIAL)
    status, lines = run_lease_command(monkeypatch, nodes, "touch", str(tmp_path / "ran"))
    assert status == EXIT_LEASE_NOT_ACQUIRED and not (tmp_path / "ran").exists()
    assert lines == [f"{LEASE}: not acquired after 0 s: held by another process"]
    assert nodes.requests[-1][1] == RELEASE_PATH


def test_lease_command_node_without_response_tries_next_node(monkeypatch: pytest.MonkeyPatch) -> None:
    nodes = ScriptedNodes(None, GRANT)
    status, _ = run_lease_command(monkeypatch, nodes, "true", wait_s=5.0)
    assert status == 0 and [address for address, _ in nodes.requests[:2]] == NODES


@pytest.mark.parametrize("renewal", [DENIAL, None, GRANT | {"token": TOKEN + 1}], ids=str)
def test_lease_command_failed_renewal_terminates_command(
    monkeypatch: pytest.MonkeyPatch, renewal: dict[str, Any] | None
) -> None:
    """A command whose lease is not renewed gets SIGTERM; otherwise two commands could run under one lease."""
    status, lines = run_lease_command(monkeypatch, ScriptedNodes(GRANT, renewal), "sleep", "60")
    assert status == EXIT_LEASE_LOST
    assert lines[1].startswith(f"{LEASE}: not renewed, sending SIGTERM to the command: ")


def test_lease_command_ignoring_sigterm_is_killed_before_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    script = "trap '' TERM; while :; do sleep 0.05; done"
    status, lines = run_lease_command(monkeypatch, ScriptedNodes(GRANT, DENIAL), "sh", "-c", script)
    assert status == EXIT_LEASE_LOST
    assert lines[-1] == f"{LEASE}: lost, the command was killed: held by another process"
