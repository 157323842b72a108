"""A command that runs while a duty is held, and is ended before the lease is.

The node that answers holds the duty; this process counts what it may count on from before it asked, by its
own clock, so an answer that came late or a pause in between makes the time shorter and never longer.
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

ASK_EVERY = 0.2  # seconds, or a quarter of what is left if that is more
DRIFT = 0.01  # that this machine's clock may be slow by
NOT_HAD, LOST = 75, 76


class Hold:
    """One command under one duty. `share`: of what is left of the lease, when SIGTERM is due, and SIGKILL."""

    TERM_AT, KILL_AT = 0.4, 0.15

    def __init__(
        self,
        duty: str,
        nodes: list[tuple[str, int]],
        wait: float,
        command: list[str],
        say: Callable[[str], None],
        now: Callable[[], float] = lambda: clock_gettime(CLOCK_BOOTTIME),
    ) -> None:
        self.duty = duty
        self.nodes = nodes
        self.wait = wait
        self.command = command
        self.say = say
        self.now = now
        self.script = secrets.token_hex(8)  # tells this script from another at the same node
        self.token = 0
        self.until = 0.0  # held so long, by this process's clock
        self.lease = 0.0  # as much was left when it was held last
        self.why = ""

    def ask(self, act: str) -> dict[str, Any] | None:
        """One PUT to the node in front; the next one comes to the front where it does not answer."""
        try:
            return put(self.nodes[0], f"/fleet/{act}?duty={quote(self.duty)}&script={self.script}")
        except (PageError, ValueError) as e:
            self.why = str(e)
        return None

    def renew(self) -> bool:
        """Asks again. Whether the duty is held, under the same token as before."""
        asked = self.now()
        answer = self.ask("hold")
        if answer is None:
            if (
                self.until <= asked
            ):  # what was held came from this node, and is left to lapse before another's
                self.nodes.append(self.nodes.pop(0))
            return False
        if not answer.get("held") or (self.token and answer["token"] != self.token):
            self.why = answer.get("why", "another holds it")
            return False
        self.token = answer["token"]
        self.lease = answer["left_us"] / 1e6 * (1 - DRIFT)
        self.until = max(self.until, asked + self.lease)
        return True

    def run(self) -> int:
        """Waits for the duty, runs the command, gives it back. The command's status, NOT_HAD or LOST."""
        end = self.now() + self.wait
        while not self.renew():
            if self.now() >= end:
                self.ask("give")
                self.say(f"{self.duty}: not held after {self.wait:g} s: {self.why}")
                return NOT_HAD
            sleep(ASK_EVERY)
        self.say(f"{self.duty}: held, token {self.token}")
        env = os.environ | {"FLEET_DUTY": self.duty, "FLEET_TOKEN": str(self.token)}
        signal.signal(signal.SIGTERM, ended)
        with subprocess.Popen(tied(self.command), env=env, process_group=0) as child:
            try:
                status = self.watch(child)
            except BaseException:
                stop(child, signal.SIGKILL)
                raise
            finally:
                self.ask("give")
        return status

    def watch(self, child: subprocess.Popen[bytes]) -> int:
        """Renews while the command runs; ends it before the time is out."""
        told = False
        while True:
            left = self.until - self.now()
            if left <= self.lease * self.KILL_AT:
                stop(child, signal.SIGKILL)
                child.wait()
                self.say(f"{self.duty}: lost, the command was killed: {self.why}")
                return LOST
            if left <= self.lease * self.TERM_AT and not told:
                told = True
                self.say(f"{self.duty}: not renewed, the command is told to end: {self.why}")
                stop(child, signal.SIGTERM)
            try:
                status = child.wait(max(0.01, min(ASK_EVERY, left / 4)))
                return LOST if told else status if status >= 0 else 128 - status
            except subprocess.TimeoutExpired:
                pass
            if not told:
                self.renew()


def ended(number: int, frame: Any) -> None:
    """SIGTERM ends the command too, and gives the duty back."""
    raise SystemExit(128 + number)


def stop(child: subprocess.Popen[bytes], how: signal.Signals) -> None:
    """A signal to the command and all that it started."""
    if child.poll() is None:
        os.killpg(child.pid, how)
