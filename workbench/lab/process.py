"""A node's process, which is monitored, controlled by signals, and killed when the lab exits."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from workbench.baselines.revisions import NODE_PACKAGE
from workbench.emulator.child_process import wrap_with_parent_death_signal

READ_SIZE_BYTES = 65536
# Limit for the whole run; a working node logs about 300 bytes a second.
MAX_LOG_BYTES = 2 << 20
MAX_KEPT_LOG_LINES = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indices of fields in /proc/PID/stat, counted after the program's name.
USER_TIME_FIELD, SYSTEM_TIME_FIELD = 11, 12
RESIDENT_FIELD = 1  # Index of a field in /proc/PID/statm.
STATS_MARK = " stats "  # Marks log lines with periodic statistics, which report no failures.


class Usage(NamedTuple):
    """The resource usage of a process."""

    cpu_s: float
    memory_mb: float


class Process:
    """One process of a node.

    Args:
        loop: The event loop that reads the process's log and waits for its exit.
        name: The node's name.
        command: The program and its arguments.
        config: The file that the configuration is written to.
        table: The configuration.
        on_line: Called with each line of the process's log.
        on_exit: Called with the exit status once the process has ended.
        cwd: The directory of the program if it is of an earlier revision.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        command: list[str],
        config: Path,
        table: dict[str, Any],
        on_line: Callable[[str], None],
        on_exit: Callable[[int], None],
        cwd: Path | None = None,
    ) -> None:
        self.loop = loop
        self.name = name
        self.on_line = on_line
        self.on_exit = on_exit
        self.partial_line = b""
        self.log_bytes = 0
        self.last_lines: deque[str] = deque(maxlen=MAX_KEPT_LOG_LINES)
        self.paused = False
        config.write_text(json.dumps(table))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        self.popen = subprocess.Popen(
            wrap_with_parent_death_signal(command),
            env=env | {"LB_CONFIG": str(config), "TMPDIR": str(config.parent)},
            cwd=cwd,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            process_group=0,  # Ctrl-C reaches only the lab, which then stops its nodes in order.
        )
        self.pid = self.popen.pid
        assert self.popen.stderr is not None
        self.log_fd = self.popen.stderr.fileno()
        os.set_blocking(self.log_fd, False)
        self.pid_fd = os.pidfd_open(self.pid)
        loop.add_reader(self.log_fd, self.read_log)
        loop.add_reader(self.pid_fd, self.on_ended)

    @property
    def running(self) -> bool:
        """Whether the lab has not seen the process exit."""
        return self.popen.returncode is None

    def last_line(self) -> str:
        """Return the last line that the process logged."""
        return self.last_lines[-1] if self.last_lines else "it logged nothing"

    def read_log(self) -> None:
        """Read what the process has logged; kill it once its log exceeds `MAX_LOG_BYTES`."""
        try:
            data = os.read(self.log_fd, READ_SIZE_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.loop.remove_reader(self.log_fd)
            return
        self.log_bytes += len(data)
        if self.log_bytes > MAX_LOG_BYTES:
            self.loop.remove_reader(self.log_fd)
            self.on_line(f"{self.name}: floods its log: {self.log_bytes} bytes")
            self.signal(signal.SIGKILL)
            return
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            text = line.decode(errors="replace")
            if STATS_MARK not in text:
                self.last_lines.append(text)
            self.on_line(text)

    def on_ended(self) -> None:
        """Read the rest of the exited process's log and report its exit status."""
        self.loop.remove_reader(self.pid_fd)
        os.close(self.pid_fd)
        status = self.popen.wait()
        self.loop.remove_reader(self.log_fd)
        with suppress(OSError):
            while data := os.read(self.log_fd, READ_SIZE_BYTES):
                self.partial_line += data
        for line in self.partial_line.decode(errors="replace").splitlines():
            self.last_lines.append(line)
            self.on_line(line)
        assert self.popen.stderr is not None
        self.popen.stderr.close()
        self.on_exit(status)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process, if it is still running."""
        if self.running:
            with suppress(ProcessLookupError):
                self.popen.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP

    def usage(self) -> Usage:
        """Return the CPU time and the resident memory in MiB; zeros once the process has exited."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[RESIDENT_FIELD])
        except (OSError, IndexError):
            return Usage(0.0, 0.0)
        ticks = int(stat[USER_TIME_FIELD]) + int(stat[SYSTEM_TIME_FIELD])
        return Usage(ticks / CLOCK_TICKS_PER_S, pages * PAGE_BYTES / (1 << 20))


def command(fault_kind: str, clock_file: Path | None = None, package: str = NODE_PACKAGE) -> list[str]:
    """Return the command that starts a node.

    Args:
        fault_kind: A kind of `workbench.lab.faulty_nodes`; "" for a correct node.
        clock_file: The file that holds the offset of a wall clock that is stepped before the node starts.
        package: The name of the node's package.
    """
    if clock_file is not None:
        kinds = [fault_kind] if fault_kind else []
        return [sys.executable, "-m", "workbench.lab.stepped", str(clock_file), *kinds]
    if fault_kind:
        return [sys.executable, "-m", "workbench.lab.faulty_nodes", fault_kind]
    return [sys.executable, "-m", package]
