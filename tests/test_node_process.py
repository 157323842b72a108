"""The node as a process: command line, configuration, signals and restart after a kill."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from loopback import (
    Client,
    Discovery,
    Server,
    call,
    connect_when_listening,
    free_port,
    node_config,
    run_scenario,
    settings,
    spawn_node,
    wait_until,
)

from balancer.net.config import ConfigError, load, read


@pytest.mark.parametrize(
    ("args", "env", "status", "messages"),
    [
        (["--help"], {}, 0, ("usage: LB_CONFIG=FILE.json", "make demo")),
        (["--port"], {}, 2, ("--port: takes no arguments", "--help")),
        ([], {}, 2, ("LB_CONFIG is not set", "name the node's configuration")),
        ([], {"LB_CONFIG": "no/such.json"}, 2, ("no/such.json: No such file", "--help")),
    ],
)
def test_usage_error_names_next_step(
    args: list[str], env: dict[str, str], status: int, messages: tuple[str, ...]
) -> None:
    clean_env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    process = subprocess.run(
        [sys.executable, "-m", "balancer", *args],
        env=clean_env | env,
        capture_output=True,
        text=True,
        timeout=60,
    )
    output = process.stdout + process.stderr
    assert process.returncode == status and all(message in output for message in messages)
    assert status == 0 or output.count("\n") == 1


def test_invalid_configuration_raises_one_line_error(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    with pytest.raises(ConfigError, match="not set"):
        load({})
    with pytest.raises(ConfigError, match="LB_CONFIG"):
        load({"LB_CONFIG": str(file)})
    for text in ("{", "[]", "{}", '{"name":"n","listen":"x","discovery":"y:1"}'):
        file.write_text(text)
        with pytest.raises(ConfigError) as e:
            load({"LB_CONFIG": str(file)})
        assert "\n" not in str(e.value)
    with pytest.raises(ValueError, match="max_attempts"):
        read(node_config(0, settings(policy_limits={"max_attempts": None})))


def test_program_reports_invalid_configuration(tmp_path: Path) -> None:
    async def scenario() -> None:
        process = await spawn_node(tmp_path, {"name": "n0"})
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"balancer: ") and errors.count(b"\n") == 1

    run_scenario(scenario)


def test_sighup_moves_watch_to_new_discovery_address(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The node applies the new address without ending, also if the first signal finds the file half written.

    Otherwise it would go on watching an address without a discovery service.
    """

    async def scenario() -> None:
        await (old := Server()).start()
        await (new := Server()).start()
        await (first := Discovery()).start()
        await (second := Discovery()).start()
        monkeypatch.setenv("LB_DISCOVERY", f"127.0.0.1:{first.port}")  # Applies at the start only.
        listen = f"127.0.0.1:{(port := free_port())}"
        push_settings = settings(discovery="push")
        process = await spawn_node(tmp_path, node_config(first.port, push_settings, listen, old.entry("s0")))
        await connect_when_listening(client := Client(port))
        await wait_until(lambda: bool(first.requests))
        file = tmp_path / "config.json"
        for content in ("{", json.dumps(node_config(second.port, push_settings, listen, old.entry("s0")))):
            file.write_text(content)
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            line = b"not yet"
            while line and b" reload" not in line:  # An empty line means that the process has ended.
                line = await asyncio.wait_for(process.stderr.readline(), 20)
            assert line
        await wait_until(lambda: bool(second.requests))
        second.send_list(50, True, new.entry("s1"))
        await wait_until(lambda: len(second.requests) == 2)  # The list was applied and the watch renewed.
        assert (await client.request(call()))[0] == 200 and len(new.requests) == 1
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 20) == 0

    run_scenario(scenario)


def test_killed_node_restarts_at_its_address(tmp_path: Path) -> None:
    """Remains of the old process's connections do not keep the new one from listening."""

    async def scenario() -> None:
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_config(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        for _ in range(2):
            process = await spawn_node(tmp_path, table)
            await connect_when_listening(client := Client(port))
            assert (await client.request(call("invite")))[0] == 200
            process.kill()
            assert await client.ended()
            assert await asyncio.wait_for(process.wait(), 20) == -signal.SIGKILL

    run_scenario(scenario)
