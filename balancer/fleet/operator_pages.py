"""What operators and their scripts may call on a process of the fleet: HTTP handlers without sockets.

Each handler takes the query string and returns an HTTP status and a body: JSON on success, one line of text
on an error.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol
from urllib.parse import parse_qs

from balancer.fleet.component import Outgoing, Runtime
from balancer.fleet.leases.names import is_reserved
from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.policy_adapter import PolicyAdapter

if TYPE_CHECKING:
    from balancer.fleet.leases.component import LeaseComponent
    from balancer.fleet.rolling_update.component import RollingUpdateComponent

MAX_DIRECTIVE_SECONDS = 86_400
MAX_DIGITS = 9  # of a number in a query
SECOND = 1_000_000  # microseconds


class Response(NamedTuple):
    """An HTTP status and a body."""

    status: int
    body: bytes


NO_VOTERS = Response(503, b"no voters are configured, or this process is leaving\n")
NO_ZONES = Response(503, b"fleet.zones is not configured, or this process is leaving\n")
BAD_LEASE_NAME = Response(400, b"duty, script: must be names of 1 to 64 characters\n")
RESERVED_LEASE = Response(400, b"duty: replace, probe.* and remeasure.* are the fleet's own\n")
BAD_COMMAND = Response(400, b"do: must be begin, pause, resume or stop; most: 1 to 1000\n")
BAD_DURATION = Response(400, b"for_s: must be 1 to 86400\n")
BAD_DIRECTIVE = Response(400, b"do: must be leave or return\n")
TOO_MANY_DIRECTIVES = Response(409, b"zone: words on too many zones hold already\n")


class PageRuntime(Runtime, Protocol):
    """What the handlers use of the runtime beside what components do."""

    @property
    def is_open(self) -> bool:
        """Whether this process has its socket."""

    def view(self) -> dict[str, Any]:
        """The complete page."""

    def deliver(self, outgoing: Sequence[Outgoing]) -> None:
        """Sends what a component returned."""


class OperatorPages:
    """The handlers of one process.

    Args:
        runtime: The process's fleet runtime.
        policy_adapter: Has the zone routing that directives go to.
        leases: None where no voters are configured.
        rolling_update: None where no voters are configured.
    """

    def __init__(
        self,
        runtime: PageRuntime,
        policy_adapter: PolicyAdapter,
        leases: LeaseComponent | None,
        rolling_update: RollingUpdateComponent | None,
    ) -> None:
        self.runtime = runtime
        self.policy_adapter = policy_adapter
        self.leases = leases
        self.rolling_update = rolling_update

    def show_fleet(self) -> Response:
        """Handles `GET /fleet`."""
        return success(self.runtime.view())

    def acquire_lease(self, query: bytes) -> Response:
        """Handles `PUT /fleet/hold?duty=NAME&script=ID`.

        A script acquires a lease, or renews the one that it holds.
        """
        return self.lease_request(query, release=False)

    def release_lease(self, query: bytes) -> Response:
        """Handles `PUT /fleet/give?duty=NAME&script=ID`: a script releases its lease."""
        return self.lease_request(query, release=True)

    def lease_request(self, query: bytes, release: bool) -> Response:
        """Acquires, renews or releases a lease for a script."""
        if self.leases is None or not self.runtime.is_open:
            return NO_VOTERS
        lease, script = parameters(query, "duty", "script")
        if not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in (lease, script)):
            return BAD_LEASE_NAME
        if is_reserved(lease):
            return RESERVED_LEASE
        table, outgoing = self.leases.handle_external_request(self.runtime.now(), lease, script, release)
        self.runtime.deliver(outgoing)
        self.runtime.schedule()
        return success(table)

    def control_rolling_update(self, query: bytes) -> Response:
        """Handles `PUT /fleet/replace?do=begin|pause|resume|stop&most=K`."""
        if self.rolling_update is None or not self.runtime.is_open:
            return NO_VOTERS
        command, max_unavailable = parameters(query, "do", "most")
        if not self.rolling_update.command(command, max_unavailable=parse_integer(max_unavailable or "1")):
            return BAD_COMMAND
        self.runtime.deliver(self.rolling_update.tick(self.runtime.now()))
        self.runtime.schedule()
        return success(self.rolling_update.plan_status())

    def direct_zone(self, query: bytes) -> Response:
        """Handles `PUT /fleet/zone?do=leave|return&zone=NAME&for_s=N`.

        An operator takes the fleet's calls out of a zone for a while, or ends such a directive.
        """
        traffic = self.policy_adapter.zone_traffic
        if traffic is None or traffic.router is None or traffic.directives is None:
            return NO_ZONES
        router, directives = traffic.router, traffic.directives
        command, zone, seconds = parameters(query, "do", "zone", "for_s")
        known = sorted({router.home, *router.states.by_zone})
        if zone not in known:
            return Response(400, f"zone: must be one of {', '.join(known)}\n".encode())
        duration = parse_integer(seconds)
        if command == "leave" and not 0 < duration <= MAX_DIRECTIVE_SECONDS:
            return BAD_DURATION
        if command not in ("leave", "return"):
            return BAD_DIRECTIVE
        if not directives.issue(zone, duration * SECOND if command == "leave" else 0):
            return TOO_MANY_DIRECTIVES
        self.runtime.log.line(f"fleet zone {zone}: directive {command}")
        self.runtime.schedule()
        return success(router.status(self.runtime.now()))


def parameters(query: bytes, *names: str) -> tuple[str, ...]:
    """Returns the first value of each parameter; empty where it is missing."""
    values = parse_qs(query.decode("latin-1"))
    return tuple(values.get(name, [""])[0] for name in names)


def parse_integer(text: str) -> int:
    """Returns the integer that a text has in digits; 0 where it has none, or more than `MAX_DIGITS`."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS else 0


def success(body: object) -> Response:
    """Returns a response with a JSON body."""
    return Response(200, json.dumps(body).encode() + b"\n")
