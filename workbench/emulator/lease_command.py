"""A command that runs while a lease is held, and is terminated before the lease expires.

A node holds the lease on behalf of this process. This process measures the remaining time on its own clock,
from before its request, so a late response or a pause makes the remaining time shorter and never longer.
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

from workbench.emulator.child_process import wrap_with_parent_death_signal
from workbench.emulator.management_client import ManagementError, put

# The lease is renewed more often when less than four such intervals of it remain.
MAX_RENEW_INTERVAL_S = 0.2
# The clock of this machine may be slow by this ratio.
MAX_CLOCK_DRIFT_RATIO = 0.01
# The shares of the lease that remain when the command gets SIGTERM and SIGKILL.
TERMINATE_REMAINING_RATIO, KILL_REMAINING_RATIO = 0.4, 0.15
MIN_CHILD_WAIT_S = 0.01
EXIT_LEASE_NOT_ACQUIRED, EXIT_LEASE_LOST = 75, 76
# A shell reports a command that a signal ended with this status plus the signal's number.
SIGNAL_EXIT_BASE = 128
# Pages below `/fleet` of a node's management address.
ACQUIRE_PAGE, RELEASE_PAGE = "hold", "give"
HOLDER_ID_BYTES = 8


class LeaseCommand:
    """A command that runs under a lease.

    Args:
        lease: The name of the lease.
        nodes: Management addresses of nodes. If a node does not respond, the next one is tried.
        wait_s: The maximum time to wait for the lease.
        command: The program and its arguments.
        report: Called with each line for the user.
        now: A clock in seconds that continues while the machine is suspended.
    """

    def __init__(
        self,
        lease: str,
        nodes: list[tuple[str, int]],
        wait_s: float,
        command: list[str],
        report: Callable[[str], None],
        now: Callable[[], float] = lambda: clock_gettime(CLOCK_BOOTTIME),
    ) -> None:
        self.lease = lease
        self.nodes = nodes
        self.wait_s = wait_s
        self.command = command
        self.report = report
        self.now = now
        # Distinguishes this process from others that hold leases through the same node.
        self.holder_id = secrets.token_hex(HOLDER_ID_BYTES)
        self.token = 0
        # Expiry on the clock `now`.
        self.expires_at_s = 0.0
        # The time that remained when the lease was last renewed.
        self.duration_s = 0.0
        self.failure = ""

    def request_page(self, page: str) -> dict[str, Any] | None:
        """Send a PUT request to the first node and return its JSON, or None if the request fails."""
        try:
            return put(self.nodes[0], f"/fleet/{page}?duty={quote(self.lease)}&script={self.holder_id}")
        except (ManagementError, ValueError) as error:
            self.failure = str(error)
        return None

    def renew(self) -> bool:
        """Acquire or renew the lease, and return whether it is held with the same token as before."""
        requested_at = self.now()
        response = self.request_page(ACQUIRE_PAGE)
        if response is None:
            # A lease that this node has granted must expire before another node is asked.
            if self.expires_at_s <= requested_at:
                self.nodes.append(self.nodes.pop(0))
            return False
        if not response.get("held") or (self.token and response["token"] != self.token):
            self.failure = response.get("why", "held by another process")
            return False
        self.token = response["token"]
        self.duration_s = response["left_us"] / 1e6 * (1 - MAX_CLOCK_DRIFT_RATIO)
        self.expires_at_s = max(self.expires_at_s, requested_at + self.duration_s)
        return True

    def run(self) -> int:
        """Acquire the lease, run the command and release the lease.

        Returns:
            The exit status of the command, `EXIT_LEASE_NOT_ACQUIRED` or `EXIT_LEASE_LOST`.
        """
        if not self.acquire():
            return EXIT_LEASE_NOT_ACQUIRED
        self.report(f"{self.lease}: held, token {self.token}")
        env = os.environ | {"FLEET_DUTY": self.lease, "FLEET_TOKEN": str(self.token)}
        signal.signal(signal.SIGTERM, exit_on_signal)
        with subprocess.Popen(wrap_with_parent_death_signal(self.command), env=env, process_group=0) as child:
            try:
                status = self.supervise(child)
            except BaseException:
                send_signal(child, signal.SIGKILL)
                raise
            finally:
                self.request_page(RELEASE_PAGE)
        return status

    def acquire(self) -> bool:
        """Wait for the lease, and return whether it was acquired in time."""
        deadline = self.now() + self.wait_s
        while not self.renew():
            if self.now() >= deadline:
                self.request_page(RELEASE_PAGE)
                self.report(f"{self.lease}: not acquired after {self.wait_s:g} s: {self.failure}")
                return False
            sleep(MAX_RENEW_INTERVAL_S)
        return True

    def supervise(self, child: subprocess.Popen[bytes]) -> int:
        """Renew the lease while the command runs, and end the command before the lease expires.

        Returns:
            The exit status of the command, or `EXIT_LEASE_LOST`.
        """
        terminated = False
        while True:
            remaining = self.expires_at_s - self.now()
            if remaining <= self.duration_s * KILL_REMAINING_RATIO:
                send_signal(child, signal.SIGKILL)
                child.wait()
                self.report(f"{self.lease}: lost, the command was killed: {self.failure}")
                return EXIT_LEASE_LOST
            if remaining <= self.duration_s * TERMINATE_REMAINING_RATIO and not terminated:
                terminated = True
                self.report(f"{self.lease}: not renewed, sending SIGTERM to the command: {self.failure}")
                send_signal(child, signal.SIGTERM)
            try:
                status = child.wait(max(MIN_CHILD_WAIT_S, min(MAX_RENEW_INTERVAL_S, remaining / 4)))
                return EXIT_LEASE_LOST if terminated else exit_status(status)
            except subprocess.TimeoutExpired:
                pass
            if not terminated:
                self.renew()


def exit_status(returncode: int) -> int:
    """Return the exit status that a shell would report for a return code of `Popen`."""
    return returncode if returncode >= 0 else SIGNAL_EXIT_BASE - returncode


def exit_on_signal(signal_number: int, frame: Any) -> None:
    """Exit this process; its cleanup kills the command and releases the lease."""
    raise SystemExit(SIGNAL_EXIT_BASE + signal_number)


def send_signal(child: subprocess.Popen[bytes], signal_number: signal.Signals) -> None:
    """Send a signal to the process group of the command, unless the command has ended."""
    if child.poll() is None:
        os.killpg(child.pid, signal_number)
