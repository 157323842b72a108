"""A node's process: started, watched, stopped by signals; none of it outlives the lab."""

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
from typing import Any

from workbench.baselines.revisions import NODE_PACKAGE
from workbench.emulator.child_process import killed_with_parent

READ = 65536
FLOOD = 2 << 20  # bytes of log in all: a node writes some 300 a second
KEPT = 5  # last lines of its log
TICK = os.sysconf("SC_CLK_TCK")


class Process:
    """One life of a node. `line` hears of each log line, `over` of its end, with its status. `cwd`: where the
    program lies, if it is not today's."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        command: list[str],
        config: Path,
        table: dict[str, Any],
        line: Callable[[str], None],
        over: Callable[[int], None],
        cwd: Path | None = None,
    ) -> None:
        self.loop = loop
        self.name = name
        self.line = line
        self.over = over
        self.rest = b""
        self.size = 0
        self.last: deque[str] = deque(maxlen=KEPT)
        self.paused = False
        config.write_text(json.dumps(table))
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        self.popen = subprocess.Popen(
            killed_with_parent(command),
            env=env | {"LB_CONFIG": str(config), "TMPDIR": str(config.parent)},
            cwd=cwd,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            process_group=0,  # Ctrl-C is the lab's, which then ends its nodes in order
        )
        self.pid = self.popen.pid
        assert self.popen.stderr is not None
        self.log = self.popen.stderr.fileno()
        os.set_blocking(self.log, False)
        self.ended = os.pidfd_open(self.pid)
        loop.add_reader(self.log, self.read)
        loop.add_reader(self.ended, self.exited)

    @property
    def running(self) -> bool:
        return self.popen.returncode is None

    def read(self) -> None:
        """What it has logged; a flood of it ends the process, and not the lab."""
        try:
            data = os.read(self.log, READ)
        except BlockingIOError:
            return
        if not data:
            self.loop.remove_reader(self.log)
            return
        self.size += len(data)
        if self.size > FLOOD:
            self.loop.remove_reader(self.log)
            self.line(f"{self.name}: floods its log: {self.size} bytes")
            self.signal(signal.SIGKILL)
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            text = line.decode(errors="replace")
            if " stats " not in text:
                self.last.append(text)
            self.line(text)

    def exited(self) -> None:
        self.loop.remove_reader(self.ended)
        os.close(self.ended)
        status = self.popen.wait()
        self.loop.remove_reader(self.log)
        with suppress(OSError):
            while data := os.read(self.log, READ):
                self.rest += data
        for line in self.rest.decode(errors="replace").splitlines():
            self.last.append(line)
            self.line(line)
        assert self.popen.stderr is not None
        self.popen.stderr.close()
        self.over(status)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process alone, if it still runs."""
        if self.running:
            with suppress(ProcessLookupError):
                self.popen.send_signal(number)
            if number in (signal.SIGSTOP, signal.SIGCONT):
                self.paused = number == signal.SIGSTOP

    def usage(self) -> tuple[float, float]:
        """Processor seconds used so far, and resident megabytes. Zeros once it is gone."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0, 0.0
        return (int(stat[11]) + int(stat[12])) / TICK, pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


def command(mischief: str, clock_file: Path | None = None, package: str = NODE_PACKAGE) -> list[str]:
    """The start line of a node of a package, or of one that misbehaves on purpose.

    `clock_file` holds the offset of a wall clock that is stepped before the node starts.
    """
    if clock_file is not None:
        words = [mischief] if mischief else []
        return [sys.executable, "-m", "workbench.lab.stepped", str(clock_file), *words]
    if mischief:
        return [sys.executable, "-m", "workbench.lab.mischief", mischief]
    return [sys.executable, "-m", package]
