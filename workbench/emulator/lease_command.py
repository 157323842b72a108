"""A command that runs while a lease is held, and is ended before the lease expires.

The node that answers holds the lease on behalf of this process, which counts the remaining time from before
its request, by its own clock: a late response or a pause in between makes the time shorter and never longer.
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

from workbench.emulator.child_process import killed_with_parent
from workbench.emulator.management_client import ManagementError, put

RENEW_INTERVAL_S = 0.2  # or a quarter of what remains if that is less
CLOCK_DRIFT = 0.01  # that this machine's clock may be slow by
TERMINATE_AT, KILL_AT = 0.4, 0.15  # parts of the lease that remain when SIGTERM and SIGKILL are due
MIN_CHILD_WAIT_S = 0.01
EXIT_NOT_ACQUIRED, EXIT_LOST = 75, 76
SIGNAL_EXIT_BASE = 128  # a shell's status of a command that a signal ended, less the signal's number
ACQUIRE, RELEASE = "hold", "give"  # pages of a node
HOLDER_ID_BYTES = 8


class LeaseCommand:
    """One command under one lease.

    Args:
        lease: The lease's name.
        nodes: Management addresses; the next is tried where one does not answer.
        wait: Seconds to wait for the lease.
        command: Program and arguments.
        report: Called with each line for the user.
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
        self.holder_id = secrets.token_hex(HOLDER_ID_BYTES)  # among those at the same node
        self.token = 0
        self.expires_at = 0.0  # by this process's clock
        self.duration = 0.0  # as much remained when it was renewed last
        self.failure = ""

    def put(self, page: str) -> dict[str, Any] | None:
        """Sends one PUT to the first node; returns its JSON, or None where there is no response."""
        try:
            return put(self.nodes[0], f"/fleet/{page}?duty={quote(self.lease)}&script={self.holder_id}")
        except (ManagementError, ValueError) as error:
            self.failure = str(error)
        return None

    def renew(self) -> bool:
        """Acquires or renews the lease; returns whether it is held, under the same token as before."""
        requested_at = self.now()
        response = self.put(ACQUIRE)
        if response is None:
            # What this node granted has to expire before another node is asked.
            if self.expires_at <= requested_at:
                self.nodes.append(self.nodes.pop(0))
            return False
        if not response.get("held") or (self.token and response["token"] != self.token):
            self.failure = response.get("why", "another holds it")
            return False
        self.token = response["token"]
        self.duration = response["left_us"] / 1e6 * (1 - CLOCK_DRIFT)
        self.expires_at = max(self.expires_at, requested_at + self.duration)
        return True

    def run(self) -> int:
        """Waits for the lease, runs the command, releases the lease.

        Returns:
            The command's status, EXIT_NOT_ACQUIRED or EXIT_LOST.
        """
        if not self.acquire():
            return EXIT_NOT_ACQUIRED
        self.report(f"{self.lease}: held, token {self.token}")
        env = os.environ | {"FLEET_DUTY": self.lease, "FLEET_TOKEN": str(self.token)}
        signal.signal(signal.SIGTERM, exit_on_signal)
        with subprocess.Popen(killed_with_parent(self.command), env=env, process_group=0) as child:
            try:
                status = self.watch(child)
            except BaseException:
                send_signal(child, signal.SIGKILL)
                raise
            finally:
                self.put(RELEASE)
        return status

    def acquire(self) -> bool:
        """Waits for the lease; returns whether it is held."""
        deadline = self.now() + self.wait
        while not self.renew():
            if self.now() >= deadline:
                self.put(RELEASE)
                self.report(f"{self.lease}: not held after {self.wait:g} s: {self.failure}")
                return False
            sleep(RENEW_INTERVAL_S)
        return True

    def watch(self, child: subprocess.Popen[bytes]) -> int:
        """Renews the lease while the command runs, and ends the command before the lease expires.

        Returns:
            The command's status, or EXIT_LOST.
        """
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
                status = child.wait(max(MIN_CHILD_WAIT_S, min(RENEW_INTERVAL_S, remaining / 4)))
                return EXIT_LOST if terminated else exit_status(status)
            except subprocess.TimeoutExpired:
                pass
            if not terminated:
                self.renew()


def exit_status(returncode: int) -> int:
    """Returns a command's status as a shell gives it."""
    return returncode if returncode >= 0 else SIGNAL_EXIT_BASE - returncode


def exit_on_signal(number: int, frame: Any) -> None:
    """Exits, which ends the command and releases the lease."""
    raise SystemExit(SIGNAL_EXIT_BASE + number)


def send_signal(child: subprocess.Popen[bytes], number: signal.Signals) -> None:
    """Sends a signal to the command and all that it started."""
    if child.poll() is None:
        os.killpg(child.pid, number)
