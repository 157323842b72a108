"""The node as a process: its command line and configuration, signals, and a start after a kill."""

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
    connected,
    free_port,
    node_table,
    play,
    settings,
    spawn,
    until,
)

from balancer.net.config import ConfigError, load, read


@pytest.mark.parametrize(
    ("args", "env", "status", "words"),
    [
        (["--help"], {}, 0, ("usage: LB_CONFIG=FILE.json", "make demo")),
        (["--port"], {}, 2, ("--port: takes no arguments", "--help")),
        ([], {}, 2, ("LB_CONFIG is not set", "name the node's configuration")),
        ([], {"LB_CONFIG": "no/such.json"}, 2, ("no/such.json: No such file", "--help")),
    ],
)
def test_a_newcomer_is_told_what_to_do_next(
    args: list[str], env: dict[str, str], status: int, words: tuple[str, ...]
) -> None:
    clean = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    done = subprocess.run(
        [sys.executable, "-m", "balancer", *args],
        env=clean | env,
        capture_output=True,
        text=True,
        timeout=60,
    )
    out = done.stdout + done.stderr
    assert done.returncode == status and all(w in out for w in words)
    assert status == 0 or out.count("\n") == 1


def test_bad_configuration_is_one_plain_line(tmp_path: Path) -> None:
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
        read(node_table(0, settings(policy_limits={"max_attempts": None})))


def test_the_program_says_what_it_cannot_start_with(tmp_path: Path) -> None:
    async def scene() -> None:
        process = await spawn(tmp_path, {"name": "n0"})
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors.startswith(b"balancer: ") and errors.count(b"\n") == 1

    play(scene)


def test_sighup_moves_the_watch_to_the_address_in_the_file(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure prevented: the signal ends the node, or it goes on watching an address that is given up."""

    async def scene() -> None:
        await (old := Server()).start()
        await (new := Server()).start()
        await (first := Discovery()).start()
        await (second := Discovery()).start()
        monkeypatch.setenv("LB_DISCOVERY", f"127.0.0.1:{first.port}")  # holds at the start only
        listen = f"127.0.0.1:{(port := free_port())}"
        limits = settings(discovery="push")
        process = await spawn(tmp_path, node_table(first.port, limits, listen, old.entry("s0")))
        await connected(client := Client(port))
        await until(lambda: bool(first.requests))
        file = tmp_path / "config.json"
        for text in ("{", json.dumps(node_table(second.port, limits, listen, old.entry("s0")))):
            file.write_text(text)
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            line = b"not yet"
            while line and b" reload" not in line:  # an empty line: it has ended
                line = await asyncio.wait_for(process.stderr.readline(), 20)
            assert line
        await until(lambda: bool(second.requests))
        second.say(50, True, new.entry("s1"))
        await until(lambda: len(second.requests) == 2)  # the list was taken and the watch renewed
        assert (await client.ask(call()))[0] == 200 and len(new.requests) == 1
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), 20) == 0

    play(scene)


def test_a_killed_node_starts_again_under_its_address(tmp_path: Path) -> None:
    """Failure prevented: what is left of the old process's connections keeps the new one from listening."""

    async def scene() -> None:
        await (server := Server()).start()
        await (discovery := Discovery()).start()
        port = free_port()
        table = node_table(discovery.port, settings(), f"127.0.0.1:{port}", server.entry("s0"))
        for _ in range(2):
            process = await spawn(tmp_path, table)
            await connected(client := Client(port))
            assert (await client.ask(call("invite")))[0] == 200
            process.kill()
            assert await client.ended()
            assert await asyncio.wait_for(process.wait(), 20) == -signal.SIGKILL

    play(scene)
