"""Faulty nodes: programs of the node in which one function is replaced by a faulty one.

`python -m workbench.lab.faulty_nodes KIND` starts the node as `python -m balancer` does, after applying the
change that `KINDS` has for the kind. Most kinds are faults that a checker must detect; others are behaviour
that the other nodes must tolerate, such as messages of a later version. Plan files use the names of the
kinds. The product itself has no option for them.
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

REQUESTS_PER_FAULT = 15
ONE_TIME_FAULT_DELAY_S = 3.0  # Time from the start of the node to a fault that occurs once.
COPIES_PER_REQUEST = 3  # Number of additional requests that overload a cold server.
UNKNOWN_MESSAGE_KIND = 77  # A number that no version uses.
SHORT_MIN_RTT_INTERVAL_US = 2_000_000
SHORT_EJECTION_US = 200_000
EXIT_STATUS = 3


def every_nth_call(count: int) -> Callable[[], bool]:
    """Return a function that returns True on every `count`-th call."""
    call_count = [0]

    def is_due() -> bool:
        call_count[0] += 1
        return call_count[0] % count == 0

    return is_due


def wrap(owner: Any, name: str, wrapper: Callable[..., Any]) -> None:
    """Replace a method by one that calls `wrapper(original, self, ...)`."""
    original = getattr(owner, name)
    setattr(owner, name, lambda self, *args, **kwargs: wrapper(original, self, *args, **kwargs))


def drop_responses() -> None:
    """Leave some requests without a response."""
    is_due = every_nth_call(REQUESTS_PER_FAULT)
    wrap(Requests, "on_request", lambda original, self, *args: None if is_due() else original(self, *args))


def forge_responses() -> None:
    """Replace the body of some responses by one that no server sent."""
    is_due = every_nth_call(REQUESTS_PER_FAULT)

    def respond(
        original: Any, self: Any, number: int, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        original(self, number, status, b"made up" if status == 200 and is_due() else body, headers)

    wrap(Requests, "respond", respond)


def duplicate_attempts() -> None:
    """Send some requests to a second server while the first attempt is still in flight."""
    is_due = every_nth_call(REQUESTS_PER_FAULT)

    def send(original: Any, self: Any, request: int, server: int, timeout: int) -> None:
        original(self, request, server, timeout)
        other = [n for n, e in self.pool.endpoints.items() if n != server and e.ready]
        if other and is_due():
            send_copy(self, request, other[0], timeout)

    wrap(Attempts, "send", send)


def ignore_drains() -> None:
    """Ignore that a server drains or has been removed from the server list."""

    def on_list(original: Any, self: Any, server_list: Any) -> None:
        if server_list is not None:
            ready = tuple(entry for entry in server_list.servers if entry.state == State.READY)
            server_list = dataclasses.replace(server_list, servers=ready)
        original(self, server_list)

    wrap(ServerRegistry, "on_list", on_list)


def overload_newest_server() -> None:
    """Send every request and copies of it to the most recently started server."""

    def send(original: Any, self: Any, request: int, server: int, timeout: int) -> None:
        ready = {n: e.started_us for n, e in self.pool.endpoints.items() if e.ready}
        newest = max(ready, key=lambda n: ready[n], default=server)
        original(self, request, newest, timeout)
        if ready.get(newest):
            for _ in range(COPIES_PER_REQUEST):
                send_copy(self, request, newest, timeout)

    wrap(Attempts, "send", send)


def send_copy(attempts: Any, request: int, server: int, timeout: int) -> None:
    """Send a copy of a pending request to a given server and ignore its result."""
    pending = attempts.requests.pending.get(request)
    endpoint = attempts.pool.endpoints[server]
    if pending is not None and endpoint.ready:
        data = encode_request(pending.message, timeout // 1000)
        Exchange(attempts.pool, endpoint, lambda: data, lambda outcome, answer: None).start(2.0)


def never_declare_dead() -> None:
    """Ignore all claims that a member is suspect, dead or has left."""

    def accept(original: Any, self: Any, now: int, claim: Claim) -> None:
        if claim.status == Status.ALIVE:
            original(self, now, claim)

    wrap(Swim, "accept", accept)


def declare_others_dead() -> None:
    """Repeatedly claim that running members are dead."""
    rng = Random(1)

    def tick(original: Any, self: Any) -> None:
        original(self)
        swim = self.swim
        for name in rng.sample(swim.alive(), min(1, len(swim.alive()))):
            claim = swim.members[name].claim
            false_claim = Claim(name, claim.address, Status.DEAD, claim.incarnation + 1)
            for other in swim.alive():
                if other != name:
                    send_message(
                        self,
                        swim.members[other].claim.address,
                        Message(Kind.ACK, swim.local_claim.name, 0, "", (false_claim,)),
                    )

    wrap(FleetRuntime, "tick", tick)


def send_message(runtime: Any, to: tuple[str, int], message: Message) -> None:
    """Send a membership message of any kind, known or unknown, from a node's fleet runtime."""
    if runtime.transport is not None:
        # The codec has no entry for the unknown kind; it is encoded like any other membership message.
        runtime.codec.payload_codecs.setdefault(UNKNOWN_MESSAGE_KIND, MembershipWire())
        runtime.transport.sendto(runtime.codec.encode(message, runtime.stamp()), to)


def send_unknown_messages() -> None:
    """Send messages of a kind that this version does not know, as a later version may do."""

    def tick(original: Any, self: Any) -> None:
        original(self)
        for name in self.swim.alive():
            message = Message(UNKNOWN_MESSAGE_KIND, self.swim.local_claim.name)  # type: ignore[arg-type]
            send_message(self, self.swim.members[name].claim.address, message)

    wrap(FleetRuntime, "tick", tick)


def rewind_incarnation() -> None:
    """Decrease the node's own incarnation number."""
    started_at = time.monotonic()
    done: list[bool] = []

    def tick(original: Any, self: Any) -> None:
        original(self)
        if not done and time.monotonic() - started_at > ONE_TIME_FAULT_DELAY_S:
            done.append(True)
            self.swim.local_claim = dataclasses.replace(self.swim.local_claim, incarnation=1)

    wrap(FleetRuntime, "tick", tick)
    # Without refutations the number stays low whatever the other nodes claim.
    wrap(Swim, "refute", lambda original, self, claim: None)


def grant_to_itself() -> None:
    """Treat any answer of a voter as a grant, and one grant as a quorum."""
    wrap(LeaseClient, "is_granted", lambda original, self, request: True)
    wrap(
        LeaseClient,
        "on_denial",
        lambda original, self, now, request, m: self.on_grant(now, request, m.sender),
    )


def update_without_checks() -> None:
    """Lead a rolling update without checking which nodes are down."""

    def lead(original: Any, self: Any, *args: Any) -> Any:
        self.reports = {n: dataclasses.replace(r, serving=True) for n, r in self.reports.items()}
        self.asked_to_end.clear()
        return original(self, *args)

    wrap(RollingUpdate, "lead", lead)
    wrap(FleetRuntime, "departed", lambda original, self: [])


def shorten_min_rtt_interval() -> None:
    """Recalculate minRTT every few seconds, so that a short run contains several recalculations."""
    gradient.MIN_RTT_INTERVAL_US = SHORT_MIN_RTT_INTERVAL_US


def ignore_min_rtt_slots() -> None:
    """Recalculate minRTT often, with or without a slot."""
    shorten_min_rtt_interval()

    def may_start(original: Any, self: Any, now: int) -> bool:
        original(self, now)
        self.max_wait = 0
        return bool(original(self, now))

    wrap(MinRttSlots, "may_start", may_start)


def probe_without_lease() -> None:
    """Probe ejected servers often and without the lease for it."""
    ejection.BASE_EJECTION_TIME_US = SHORT_EJECTION_US
    wrap(HealthChecks, "may_probe", lambda original, self, now, server: True)


def return_at_once() -> None:
    """Return to an evacuated zone at once."""

    def evacuate(original: Any, self: Any, now: int, zone: str, state: Any) -> None:
        original(self, now, zone, state)
        state.next_step_at = now

    wrap(ZoneStates, "evacuate", evacuate)


def ignore_evacuations() -> None:
    """Keep sending requests to evacuated zones."""

    def shares(original: Any, self: Any, now: int) -> dict[str, float]:
        return dict.fromkeys(self.zones(), 1 / max(1, len(self.zones())))

    wrap(ZoneRouter, "shares", shares)


def exit_early() -> None:
    """Exit some seconds after the start without being asked to."""
    threading.Timer(ONE_TIME_FAULT_DELAY_S, lambda: os._exit(EXIT_STATUS)).start()


def raise_exceptions() -> None:
    """Raise an unexpected exception for some requests."""
    is_due = every_nth_call(REQUESTS_PER_FAULT)

    def accept(original: Any, self: Any, *args: Any) -> None:
        if is_due():
            raise RuntimeError("on purpose")
        original(self, *args)

    wrap(Requests, "accept", accept)


def never_become_ready() -> None:
    """Prevent the node from becoming ready for clients."""
    wrap(Lifecycle, "on_server_list", lambda original, self: None)


def flood_log() -> None:
    """Write log lines without end."""

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
    """Apply the change of the kind on the command line and start the node."""
    KINDS[sys.argv.pop(1)]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
