"""The command `scale run` leaves no process and no port behind when its parent ends."""

import os
import signal
import subprocess
import time
from collections.abc import Callable, Iterable
from pathlib import Path

import pytest
from scale_support import RUN_TIMEOUT_S, command


def children(pid: int) -> list[int]:
    """Return the running child processes of a process."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid and fields[0] not in "ZX":
            found.append(int(stat.parent.name))
    return found


def running(pid: int) -> bool:
    """Return whether a process runs, and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
    except OSError:
        return False


def ports_of(pids: Iterable[int]) -> set[str]:
    """Return the UDP ports that these processes have open."""
    inodes = set()
    for pid in pids:
        for descriptor in Path(f"/proc/{pid}/fd").glob("*"):
            try:
                inodes.add(os.readlink(descriptor))
            except OSError:
                continue
    lines = [line.split() for line in Path("/proc/net/udp").read_text().splitlines()[1:]]
    return {line[1] for line in lines if f"socket:[{line[9]}]" in inodes}


def ports() -> set[str]:
    """Return all open UDP ports."""
    return {line.split()[1] for line in Path("/proc/net/udp").read_text().splitlines()[1:]}


def wait_for(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + RUN_TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        time.sleep(0.02)


@pytest.mark.parametrize("how", [signal.SIGINT, signal.SIGKILL])
def test_no_process_or_port_outlives_the_parent(how: signal.Signals, tmp_path: Path) -> None:
    """Workers and nodes end with their parent, even by SIGKILL.

    Otherwise the members of a killed run would continue and keep their ports.
    """
    words = ("--hollow", 20, "--real", 1, "--workers", 2, "--seconds", 60, "--period-ms", 200)
    env = os.environ | {"TMPDIR": str(tmp_path)}  # A killed parent leaves its folder behind
    parent = subprocess.Popen(command(*words), env=env, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        wait_for(lambda: len(ports_of(children(parent.pid))) == 21)  # Every member has opened its port
        pids = children(parent.pid)
        held = ports_of(pids)
        assert len(pids) == 4  # Two workers, the idle one and the node
        parent.send_signal(how)
        assert parent.wait(RUN_TIMEOUT_S) == (130 if how == signal.SIGINT else -signal.SIGKILL)
    finally:
        parent.kill()
        parent.wait()
    wait_for(lambda: not any(map(running, pids)))
    # Other threads of a killed process may close its sockets a moment later.
    wait_for(lambda: not held & ports())
