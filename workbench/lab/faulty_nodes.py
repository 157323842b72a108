"""Faulty nodes: a node with one part changed, for the checkers to catch, or of another version, to tolerate.

`python -m workbench.lab.faulty_nodes KIND` starts the node as `python -m balancer` does, with the change that
the kind stands for in `KINDS`. The kinds are words of plan files. The product has no such switch.
"""

from __future__ import annotations

import dataclasses
import os
import sys
import threading
import time
from collections.abc import Callable
from random import Random
from typing import Any

import balancer.__main__ as program
from balancer.fleet.health_checks.decisions import HealthChecks
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.membership.swim import Claim, Kind, Message, Status, Swim
from balancer.fleet.membership.wire import MembershipWire
from balancer.fleet.min_rtt.decisions import MinRttSlots
from balancer.fleet.rolling_update.decisions import RollingUpdate
from balancer.fleet.runtime import FleetRuntime
from balancer.fleet.zone_routing.router import ZoneRouter
from balancer.fleet.zone_routing.zone_states import ZoneStates
from balancer.net.discovery.registry import ServerRegistry
from balancer.net.downstream.attempts import Attempts
from balancer.net.downstream.forwarding import encode_request
from balancer.net.downstream.requests import Requests
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.upstream.exchange import Exchange
from balancer.policy import ejection, gradient
from balancer.policy.interface import State

FAULT_INTERVAL = 15  # requests from one that is handled wrongly to the next
ONE_TIME_FAULT_S = 3.0  # after the start
OVERLOAD_COPIES = 3  # of each request that goes to a cold server
UNKNOWN_MESSAGE_KIND = 77  # no version has it yet
SHORT_MIN_RTT_INTERVAL_US = 2_000_000
SHORT_EJECTION_US = 200_000
EXIT_STATUS = 3


def one_in(count: int) -> Callable[[], bool]:
    """Returns a function that is true for one call in `count`."""
    seen = [0]

    def is_due() -> bool:
        seen[0] += 1
        return seen[0] % count == 0

    return is_due


def wrap(owner: Any, name: str, around: Callable[..., Any]) -> None:
    """Replaces a method by `around(original, self, ...)`."""
    original = getattr(owner, name)
    setattr(owner, name, lambda self, *args, **more: around(original, self, *args, **more))


def drop_responses() -> None:
    """Never responds to some requests."""
    is_due = one_in(FAULT_INTERVAL)
    wrap(Requests, "on_request", lambda go, self, *args: None if is_due() else go(self, *args))


def forge_responses() -> None:
    """Sends a body of its own in place of some servers' responses."""
    is_due = one_in(FAULT_INTERVAL)

    def respond(
        go: Any, self: Any, number: int, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        go(self, number, status, b"made up" if status == 200 and is_due() else body, headers)

    wrap(Requests, "respond", respond)


def duplicate_attempts() -> None:
    """Sends some requests to a second server while the first attempt is in flight."""
    is_due = one_in(FAULT_INTERVAL)

    def send(go: Any, self: Any, request: int, server: int, timeout: int) -> None:
        go(self, request, server, timeout)
        other = [n for n, e in self.pool.endpoints.items() if n != server and e.ready]
        if other and is_due():
            send_copy(self, request, other[0], timeout)

    wrap(Attempts, "send", send)


def ignore_drains() -> None:
    """Ignores that a server drains or is gone."""

    def on_list(go: Any, self: Any, server_list: Any) -> None:
        if server_list is not None:
            ready = tuple(x for x in server_list.servers if x.state == State.READY)
            server_list = dataclasses.replace(server_list, servers=ready)
        go(self, server_list)

    wrap(ServerRegistry, "on_list", on_list)


def overload_newest_server() -> None:
    """Sends every request, and copies of it, to the server that was started last."""

    def send(go: Any, self: Any, request: int, server: int, timeout: int) -> None:
        ready = {n: e.started_us for n, e in self.pool.endpoints.items() if e.ready}
        newest = max(ready, key=lambda n: ready[n], default=server)
        go(self, request, newest, timeout)
        if ready.get(newest):
            for _ in range(OVERLOAD_COPIES):
                send_copy(self, request, newest, timeout)

    wrap(Attempts, "send", send)


def send_copy(attempts: Any, request: int, server: int, timeout: int) -> None:
    """Sends a copy of a pending request to a given server."""
    pending = attempts.requests.pending.get(request)
    endpoint = attempts.pool.endpoints[server]
    if pending is not None and endpoint.ready:
        data = encode_request(pending.message, timeout // 1000)
        Exchange(attempts.pool, endpoint, lambda: data, lambda outcome, answer: None).start(2.0)


def never_declare_dead() -> None:
    """Never takes a member for dead."""

    def accept(go: Any, self: Any, now: int, claim: Claim) -> None:
        if claim.status == Status.ALIVE:
            go(self, now, claim)

    wrap(Swim, "accept", accept)


def declare_others_dead() -> None:
    """Claims again and again that members are dead that run."""
    rng = Random(1)

    def tick(go: Any, self: Any) -> None:
        go(self)
        swim = self.swim
        for name in rng.sample(swim.alive(), min(1, len(swim.alive()))):
            claim = swim.members[name].claim
            lie = Claim(name, claim.address, Status.DEAD, claim.incarnation + 1)
            for other in swim.alive():
                if other != name:
                    send_message(
                        self,
                        swim.members[other].claim.address,
                        Message(Kind.ACK, swim.local_claim.name, 0, "", (lie,)),
                    )

    wrap(FleetRuntime, "tick", tick)


def send_message(runtime: Any, to: tuple[str, int], message: Message) -> None:
    """Sends a membership message, of a known kind or not, from a node's fleet runtime."""
    if runtime.transport is not None:
        # Any version can encode a message of the unknown kind so.
        runtime.codec.payload_codecs.setdefault(UNKNOWN_MESSAGE_KIND, MembershipWire())
        runtime.transport.sendto(runtime.codec.encode(message, runtime.stamp()), to)


def send_unknown_messages() -> None:
    """Sends messages of a kind that this version does not know, as a later version may."""

    def tick(go: Any, self: Any) -> None:
        go(self)
        for name in self.swim.alive():
            message = Message(UNKNOWN_MESSAGE_KIND, self.swim.local_claim.name)  # type: ignore[arg-type]
            send_message(self, self.swim.members[name].claim.address, message)

    wrap(FleetRuntime, "tick", tick)


def rewind_incarnation() -> None:
    """Sets its own incarnation number back."""
    started_at = time.monotonic()
    done: list[bool] = []

    def tick(go: Any, self: Any) -> None:
        go(self)
        if not done and time.monotonic() - started_at > ONE_TIME_FAULT_S:
            done.append(True)
            self.swim.local_claim = dataclasses.replace(self.swim.local_claim, incarnation=1)

    wrap(FleetRuntime, "tick", tick)
    wrap(Swim, "refute", lambda go, self, claim: None)  # it stays back, whatever others claim of it


def grant_to_itself() -> None:
    """Takes any voter's answer for a grant, and one grant for a quorum."""
    wrap(LeaseClient, "is_granted", lambda go, self, request: True)
    wrap(LeaseClient, "on_denial", lambda go, self, now, request, m: self.on_grant(now, request, m.sender))


def update_without_checks() -> None:
    """Leads a rolling update without a check of who is down."""

    def lead(go: Any, self: Any, *args: Any) -> Any:
        self.reports = {n: dataclasses.replace(r, serving=True) for n, r in self.reports.items()}
        self.asked_to_end.clear()
        return go(self, *args)

    wrap(RollingUpdate, "lead", lead)
    wrap(FleetRuntime, "departed", lambda go, self: [])


def shorten_min_rtt_interval() -> None:
    """Recalculates minRTT each few seconds, so that a short run has some recalculations."""
    gradient.MIN_RTT_INTERVAL_US = SHORT_MIN_RTT_INTERVAL_US


def ignore_min_rtt_slots() -> None:
    """Recalculates minRTT often, whether it has a slot or not."""
    shorten_min_rtt_interval()

    def may_start(go: Any, self: Any, now: int) -> bool:
        go(self, now)
        self.max_wait = 0
        return bool(go(self, now))

    wrap(MinRttSlots, "may_start", may_start)


def probe_without_lease() -> None:
    """Probes ejected servers often, whoever else does."""
    ejection.BASE_EJECTION_TIME_US = SHORT_EJECTION_US
    wrap(HealthChecks, "may_probe", lambda go, self, now, server: True)


def return_at_once() -> None:
    """Returns at once to a zone that it has evacuated."""

    def evacuate(go: Any, self: Any, now: int, zone: str, state: Any) -> None:
        go(self, now, zone, state)
        state.next_step_at = now

    wrap(ZoneStates, "evacuate", evacuate)


def ignore_evacuations() -> None:
    """Goes on sending to zones that it has evacuated."""

    def shares(go: Any, self: Any, now: int) -> dict[str, float]:
        return dict.fromkeys(self.zones(), 1 / max(1, len(self.zones())))

    wrap(ZoneRouter, "shares", shares)


def exit_early() -> None:
    """Exits by itself some seconds after its start."""
    threading.Timer(ONE_TIME_FAULT_S, lambda: os._exit(EXIT_STATUS)).start()


def raise_exceptions() -> None:
    """Raises an exception for some requests."""
    is_due = one_in(FAULT_INTERVAL)

    def accept(go: Any, self: Any, *args: Any) -> None:
        if is_due():
            raise RuntimeError("on purpose")
        go(self, *args)

    wrap(Requests, "accept", accept)


def never_become_ready() -> None:
    """Never becomes ready for clients."""
    wrap(Lifecycle, "on_server_list", lambda go, self: None)


def flood_log() -> None:
    """Logs without end."""

    def write_noise() -> None:
        while True:
            os.write(2, b"noise " * 100 + b"\n")

    threading.Thread(target=write_noise, daemon=True).start()


KINDS = {
    "mute": drop_responses,
    "spoil": forge_responses,
    "twice": duplicate_attempts,
    "deaf": ignore_drains,
    "pile": overload_newest_server,
    "blind": never_declare_dead,
    "slander": declare_others_dead,
    "newer": send_unknown_messages,
    "rewind": rewind_incarnation,
    "crash": exit_early,
    "raises": raise_exceptions,
    "unready": never_become_ready,
    "flood": flood_log,
    "greedy": grant_to_itself,
    "hasty": update_without_checks,
    "brisk": shorten_min_rtt_interval,
    "unruly": ignore_min_rtt_slots,
    "pushy": probe_without_lease,
    "rash": return_at_once,
    "stray": ignore_evacuations,
}


def main() -> int:
    """Changes the node as the kind on the command line says, and starts it."""
    KINDS[sys.argv.pop(1)]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
