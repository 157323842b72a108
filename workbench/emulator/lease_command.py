"""A command that runs while a lease is held, and is ended before the lease expires.

The node that answers holds the lease; this process counts what it may count on from before its request, by
its own clock, so a late answer or a pause in between makes the time shorter and never longer.
"""

from __future__ import annotations

import os
import secrets
import signal
import subprocess
from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime, sleep
from typing import Any
from urllib.parse import quote

from workbench.emulator.pages import PageError, put
from workbench.emulator.starter import tied

RENEW_INTERVAL_S = 0.2  # or a quarter of what remains if that is less
CLOCK_DRIFT = 0.01  # that this machine's clock may be slow by
TERMINATE_AT, KILL_AT = 0.4, 0.15  # parts of the lease that remain when SIGTERM and SIGKILL are due
EXIT_NOT_ACQUIRED, EXIT_LOST = 75, 76
ACQUIRE, RELEASE = "hold", "give"  # pages of a node


class LeaseCommand:
    """One command under one lease.

    Args:
        lease: Its name.
        nodes: Management addresses; the next is tried where one does not answer.
        wait: Seconds to wait for the lease.
        command: Program and arguments.
        report: Hears what happens, a line each.
        now: A clock that goes on while the machine is suspended, in seconds.
    """

    def __init__(
        self,
        lease: str,
        nodes: list[tuple[str, int]],
        wait: float,
        command: list[str],
        report: Callable[[str], None],
        now: Callable[[], float] = lambda: clock_gettime(CLOCK_BOOTTIME),
    ) -> None:
        self.lease = lease
        self.nodes = nodes
        self.wait = wait
        self.command = command
        self.report = report
        self.now = now
        self.script = secrets.token_hex(8)  # tells this process from another at the same node
        self.token = 0
        self.expires_at = 0.0  # by this process's clock
        self.duration = 0.0  # as much remained when it was renewed last
        self.failure = ""

    def put(self, page: str) -> dict[str, Any] | None:
        """One PUT to the first node; the page's JSON, or None where there is no answer."""
        try:
            return put(self.nodes[0], f"/fleet/{page}?duty={quote(self.lease)}&script={self.script}")
        except (PageError, ValueError) as error:
            self.failure = str(error)
        return None

    def renew(self) -> bool:
        """Acquires or renews the lease. Whether it is held, under the same token as before."""
        requested_at = self.now()
        answer = self.put(ACQUIRE)
        if answer is None:
            # What this node granted has to expire before another node is asked.
            if self.expires_at <= requested_at:
                self.nodes.append(self.nodes.pop(0))
            return False
        if not answer.get("held") or (self.token and answer["token"] != self.token):
            self.failure = answer.get("why", "another holds it")
            return False
        self.token = answer["token"]
        self.duration = answer["left_us"] / 1e6 * (1 - CLOCK_DRIFT)
        self.expires_at = max(self.expires_at, requested_at + self.duration)
        return True

    def run(self) -> int:
        """Waits for the lease, runs the command, releases the lease.

        Returns:
            The command's status, EXIT_NOT_ACQUIRED or EXIT_LOST.
        """
        end = self.now() + self.wait
        while not self.renew():
            if self.now() >= end:
                self.put(RELEASE)
                self.report(f"{self.lease}: not held after {self.wait:g} s: {self.failure}")
                return EXIT_NOT_ACQUIRED
            sleep(RENEW_INTERVAL_S)
        self.report(f"{self.lease}: held, token {self.token}")
        env = os.environ | {"FLEET_DUTY": self.lease, "FLEET_TOKEN": str(self.token)}
        signal.signal(signal.SIGTERM, exit_on_signal)
        with subprocess.Popen(tied(self.command), env=env, process_group=0) as child:
            try:
                status = self.watch(child)
            except BaseException:
                send_signal(child, signal.SIGKILL)
                raise
            finally:
                self.put(RELEASE)
        return status

    def watch(self, child: subprocess.Popen[bytes]) -> int:
        """Renews the lease while the command runs; ends the command before the lease expires."""
        terminated = False
        while True:
            remaining = self.expires_at - self.now()
            if remaining <= self.duration * KILL_AT:
                send_signal(child, signal.SIGKILL)
                child.wait()
                self.report(f"{self.lease}: lost, the command was killed: {self.failure}")
                return EXIT_LOST
            if remaining <= self.duration * TERMINATE_AT and not terminated:
                terminated = True
                self.report(f"{self.lease}: not renewed, the command is told to end: {self.failure}")
                send_signal(child, signal.SIGTERM)
            try:
                status = child.wait(max(0.01, min(RENEW_INTERVAL_S, remaining / 4)))
                return EXIT_LOST if terminated else status if status >= 0 else 128 - status
            except subprocess.TimeoutExpired:
                pass
            if not terminated:
                self.renew()


def exit_on_signal(number: int, frame: Any) -> None:
    """SIGTERM ends the command too, and releases the lease."""
    raise SystemExit(128 + number)


def send_signal(child: subprocess.Popen[bytes], number: signal.Signals) -> None:
    """A signal to the command and all that it started."""
    if child.poll() is None:
        os.killpg(child.pid, number)
