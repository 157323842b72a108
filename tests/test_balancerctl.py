"""The command `balancerctl`: its groups, its legacy aliases and the list of members."""

from __future__ import annotations

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

import pytest
from click.testing import CliRunner

from workbench import cli as workbench_cli
from workbench.cli import cli, former_main
from workbench.cli.balancerctl import balancerctl


def member(name, state="alive"):
    return {"name": name, "address": "127.0.0.1:9", "state": state, "incarnation": 7, "age_s": 1.5}


class ManagementPage(BaseHTTPRequestHandler):
    """Responds to each request with the server's `page`, and records the paths."""

    def do_GET(self):
        self.server.paths.append(self.path)
        body = json.dumps(self.server.page).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    do_PUT = do_GET

    def log_message(self, *args):
        pass


@pytest.fixture
def node():
    """Serve a fake management address of a node."""
    server = HTTPServer(("127.0.0.1", 0), ManagementPage)
    server.paths, server.page = [], {"members": [member("n1"), member("n2")]}
    thread = threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.01})
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


def address(server):
    return f"127.0.0.1:{server.server_port}"


def invoke(group, *words):
    result = CliRunner().invoke(group, words, standalone_mode=False)
    assert result.exception is None, result.exception
    return result


def listed_commands(group):
    lines = invoke(group, "--help").output.partition("Commands:\n")[2].splitlines()
    return [line.split()[0] for line in lines if line.startswith("  ") and line[2] != " "]


def test_help_lists_the_groups_without_legacy_aliases():
    assert listed_commands(balancerctl) == ["lease", "members", "update", "zone"]
    assert "fleet" not in listed_commands(cli)


@pytest.mark.parametrize(("states", "status"), [(["alive", "alive"], 0), (["alive", "dead"], 1)])
def test_members_exits_1_when_a_member_is_not_alive(node, states, status):
    node.page = {"members": [member(f"n{i}", state) for i, state in enumerate(states)]}
    result = invoke(balancerctl, "members", address(node))
    assert result.return_value == status
    assert result.output.splitlines()[1] == f"n1 127.0.0.1:9 {states[1]} for 1.5 s, incarnation 7"


@pytest.mark.parametrize(
    "words",
    [
        ["update", "begin", "NODE", "--max-unavailable", "3"],
        ["replace", "begin", "NODE", "--most", "3"],
    ],
)
@pytest.mark.parametrize("legacy", [False, True])
def test_rolling_update_starts_by_current_and_legacy_commands(node, words, legacy):
    node.page = {"state": "runs"}
    words = [address(node) if word == "NODE" else word for word in words]
    result = invoke(cli, "fleet", *words) if legacy else invoke(balancerctl, *words)
    assert result.output == "replacement runs\n" and result.return_value == 0
    assert node.paths == ["/fleet/replace?do=begin&most=3"]


@pytest.mark.parametrize("words", [["lease", "hold"], ["hold"]])
def test_too_long_lease_name_is_rejected_by_both_commands(words):
    result = CliRunner().invoke(balancerctl, [*words, "x" * 65, "--node", "127.0.0.1:1", "true"])
    assert str(result.exception) == f"{'x' * 65}: a lease's name has 1 to 64 characters"


def test_legacy_program_warns_in_one_line(monkeypatch, capsys):
    monkeypatch.setattr(workbench_cli, "run", lambda group: None)
    former_main()
    warning = capsys.readouterr().err
    assert warning.count("\n") == 1 and "`balancerctl`" in warning
