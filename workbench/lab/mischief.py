"""A node that misbehaves on purpose, for the checkers to catch, or that is of another version, to be borne.

`python -m workbench.lab.mischief KIND` starts the node as `python -m balancer` does, with one part
of it changed. The product has no such switch.
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

EVERY = 15  # requests between two that are treated badly
SOON = 3.0  # seconds until what happens once
COPIES = 3  # of each request that is piled on a cold server
NEWER = 77  # a kind of message that no version has yet


def each(count: int) -> Callable[[], bool]:
    """Says yes one time in so many."""
    seen = [0]

    def turn() -> bool:
        seen[0] += 1
        return seen[0] % count == 0

    return turn


def wrap(owner: Any, name: str, around: Callable[..., Any]) -> None:
    """Puts `around(original, self, ...)` in a method's place."""
    original = getattr(owner, name)
    setattr(owner, name, lambda self, *args, **more: around(original, self, *args, **more))


def mute() -> None:
    """Some requests never get an answer."""
    turn = each(EVERY)
    wrap(Requests, "on_request", lambda go, self, *args: None if turn() else go(self, *args))


def spoil() -> None:
    """Some answers are not the server's."""
    turn = each(EVERY)

    def conclude(
        go: Any, self: Any, number: int, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        go(self, number, status, b"made up" if status == 200 and turn() else body, headers)

    wrap(Requests, "respond", conclude)


def twice() -> None:
    """Some requests go to a second server while they are out at the first."""
    turn = each(EVERY)

    def send(go: Any, self: Any, request: int, server: int, timeout: int) -> None:
        go(self, request, server, timeout)
        other = [n for n, e in self.pool.endpoints.items() if n != server and e.ready]
        if other and turn():
            copy(self, request, other[0], timeout)

    wrap(Attempts, "send", send)


def deaf() -> None:
    """News that a server drains or is gone is passed over."""

    def on_list(go: Any, self: Any, server_list: Any) -> None:
        if server_list is not None:
            ready = tuple(x for x in server_list.servers if x.state == State.READY)
            server_list = dataclasses.replace(server_list, servers=ready)
        go(self, server_list)

    wrap(ServerRegistry, "on_list", on_list)


def pile() -> None:
    """All goes to the server that was started last, and copies with it."""

    def send(go: Any, self: Any, request: int, server: int, timeout: int) -> None:
        ready = {n: e.started for n, e in self.pool.endpoints.items() if e.ready}
        newest = max(ready, key=lambda n: ready[n], default=server)
        go(self, request, newest, timeout)
        if ready.get(newest):
            for _ in range(COPIES):
                copy(self, request, newest, timeout)

    wrap(Attempts, "send", send)


def copy(attempts: Any, request: int, server: int, timeout: int) -> None:
    """A second copy of an open request, to a server of our choice."""
    r = attempts.requests.pending.get(request)
    endpoint = attempts.pool.endpoints[server]
    if r is not None and endpoint.ready:
        data = encode_request(r.message, timeout // 1000)
        Exchange(attempts.pool, endpoint, lambda: data, lambda outcome, answer: None).start(2.0)


def blind() -> None:
    """Nobody is ever held dead."""

    def accept(go: Any, self: Any, now: int, claim: Claim) -> None:
        if claim.status == Status.ALIVE:
            go(self, now, claim)

    wrap(Swim, "accept", accept)


def slander() -> None:
    """Says again and again that members are dead."""
    rng = Random(1)

    def tick(go: Any, self: Any) -> None:
        go(self)
        swim = self.swim
        for name in rng.sample(swim.alive(), min(1, len(swim.alive()))):
            claim = swim.members[name].claim
            lie = Claim(name, claim.address, Status.DEAD, claim.incarnation + 1)
            for other in swim.alive():
                if other != name:
                    speak(
                        self,
                        swim.members[other].claim.address,
                        Message(Kind.ACK, swim.me.name, 0, "", (lie,)),
                    )

    wrap(FleetRuntime, "tick", tick)


def speak(host: Any, to: tuple[str, int], message: Message) -> None:
    if host.transport is not None:
        host.codec.payload_codecs.setdefault(NEWER, MembershipWire())  # a form that any version can make
        host.transport.sendto(host.codec.encode(message, host.stamp()), to)


def newer() -> None:
    """A later version: kinds of message that today's does not know, beside those that it does."""

    def tick(go: Any, self: Any) -> None:
        go(self)
        for name in self.swim.alive():
            message = Message(NEWER, self.swim.me.name)  # type: ignore[arg-type]
            speak(self, self.swim.members[name].claim.address, message)

    wrap(FleetRuntime, "tick", tick)


def rewind() -> None:
    """Its own incarnation falls back."""
    begun = time.monotonic()
    done: list[bool] = []

    def tick(go: Any, self: Any) -> None:
        go(self)
        if not done and time.monotonic() - begun > SOON:
            done.append(True)
            self.swim.me = dataclasses.replace(self.swim.me, incarnation=1)

    wrap(FleetRuntime, "tick", tick)
    wrap(Swim, "refute", lambda go, self, claim: None)  # and stays there, whatever others tell of it


def greedy() -> None:
    """Takes any voter's answer for a yes, and one for enough."""
    wrap(LeaseClient, "is_granted", lambda go, self, request: True)
    wrap(LeaseClient, "on_denial", lambda go, self, now, request, m: self.on_grant(now, request, m.sender))


def hasty() -> None:
    """Leads a rolling update without a look at who is out."""

    def lead(go: Any, self: Any, *args: Any) -> Any:
        self.reports = {n: dataclasses.replace(r, serving=True) for n, r in self.reports.items()}
        self.asked_to_end.clear()
        return go(self, *args)

    wrap(RollingUpdate, "lead", lead)
    wrap(FleetRuntime, "gone", lambda go, self: [])


def brisk() -> None:
    """Recalculates minRTT each few seconds, so that a short run sees some."""
    gradient.MIN_RTT_INTERVAL = 2_000_000


def unruly() -> None:
    """Recalculates minRTT, and often, whether it has a slot or not."""
    brisk()

    def may_start(go: Any, self: Any, now: int) -> bool:
        go(self, now)
        self.max_wait = 0
        return bool(go(self, now))

    wrap(MinRttSlots, "may_start", may_start)


def pushy() -> None:
    """Probes ejected servers, and often, whoever else does."""
    ejection.BASE_EJECTION_TIME = 200_000
    wrap(HealthChecks, "may_probe", lambda go, self, now, server: True)


def rash() -> None:
    """Returns at once to a zone that it has left."""

    def evacuate(go: Any, self: Any, now: int, zone: str, state: Any) -> None:
        go(self, now, zone, state)
        state.next_step_at = now

    wrap(ZoneStates, "evacuate", evacuate)


def stray() -> None:
    """Goes on sending to zones that it has left."""

    def shares(go: Any, self: Any, now: int) -> dict[str, float]:
        return dict.fromkeys(self.zones(), 1 / max(1, len(self.zones())))

    wrap(ZoneRouter, "shares", shares)


def crash() -> None:
    """Ends by itself some seconds after its start."""
    threading.Timer(SOON, lambda: os._exit(3)).start()


def raises() -> None:
    """Some requests meet an exception."""
    turn = each(EVERY)

    def accept(go: Any, self: Any, *args: Any) -> None:
        if turn():
            raise RuntimeError("on purpose")
        go(self, *args)

    wrap(Requests, "accept", accept)


def unready() -> None:
    """Never takes clients."""
    wrap(Lifecycle, "on_server_list", lambda go, self: None)


def flood() -> None:
    """Logs without end."""

    def shout() -> None:
        while True:
            os.write(2, b"noise " * 100 + b"\n")

    threading.Thread(target=shout, daemon=True).start()


KINDS = {
    f.__name__: f
    for f in (
        mute,
        spoil,
        twice,
        deaf,
        pile,
        blind,
        slander,
        newer,
        rewind,
        crash,
        raises,
        unready,
        flood,
        greedy,
        hasty,
        brisk,
        unruly,
        pushy,
        rash,
        stray,
    )
}


def main() -> int:
    """Changes the node as the kind says, and starts it."""
    KINDS[sys.argv.pop(1)]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
