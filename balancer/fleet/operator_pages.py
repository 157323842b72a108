"""The handlers of the fleet's HTTP pages, for operators and their scripts; they use no sockets.

Each handler takes the query string, if its page has one, and returns an HTTP status and a body, which is JSON
on success and one line of text on an error.
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

MAX_DIRECTIVE_DURATION_S = 86_400
MAX_INTEGER_DIGITS = 9
MICROSECONDS_PER_SECOND = 1_000_000


class Response(NamedTuple):
    """An HTTP status and a body."""

    status: int
    body: bytes


NO_VOTERS = Response(503, b"no voters are configured, or this process is leaving\n")
NO_ZONES = Response(503, b"fleet.zones is not configured, or this process is leaving\n")
BAD_LEASE_NAME = Response(400, b"duty, script: must be names of 1 to 64 characters\n")
RESERVED_LEASE_NAME = Response(400, b"duty: replace, probe.* and remeasure.* are reserved for the fleet\n")
BAD_COMMAND = Response(400, b"do: must be begin, pause, resume or stop; most: 1 to 1000\n")
BAD_DURATION = Response(400, b"for_s: must be 1 to 86400\n")
BAD_DIRECTIVE = Response(400, b"do: must be leave or return\n")
TOO_MANY_DIRECTIVES = Response(409, b"zone: directives for too many zones are in effect\n")


class PageRuntime(Runtime, Protocol):
    """The services of a fleet runtime that the handlers of pages use.

    They are those that components use, and the ones below.
    """

    @property
    def is_open(self) -> bool:
        """Whether this process's socket is open."""

    def view(self) -> dict[str, Any]:
        """Return the content of the page `GET /fleet`."""

    def deliver(self, outgoing: Sequence[Outgoing]) -> None:
        """Send the messages that a component returned."""


class OperatorPages:
    """The handlers of the fleet's HTTP pages in one process.

    The voters are the processes that vote on leases.

    Args:
        runtime: The process's fleet runtime.
        policy_adapter: The policy adapter, which holds the zone routing. An operator's directives, the orders
            to leave a zone, apply to it.
        leases: The lease component; None if no voters are configured.
        rolling_update: The rolling-update component; None if no voters are configured.
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
        """Handle `GET /fleet`: return this process's view of the fleet and its counters as JSON."""
        return json_response(self.runtime.view())

    def acquire_lease(self, query: bytes) -> Response:
        """Handle `PUT /fleet/hold?duty=NAME&script=ID`, with which a script acquires or renews a lease."""
        return self.handle_lease_request(query, release=False)

    def release_lease(self, query: bytes) -> Response:
        """Handle `PUT /fleet/give?duty=NAME&script=ID`, with which a script releases its lease."""
        return self.handle_lease_request(query, release=True)

    def handle_lease_request(self, query: bytes, release: bool) -> Response:
        """Release the lease that the query names for a script if `release`; else acquire or renew it."""
        if self.leases is None or not self.runtime.is_open:
            return NO_VOTERS
        lease, script = query_parameters(query, "duty", "script")
        if not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in (lease, script)):
            return BAD_LEASE_NAME
        if is_reserved(lease):
            return RESERVED_LEASE_NAME
        table, outgoing = self.leases.handle_external_request(self.runtime.now(), lease, script, release)
        self.runtime.deliver(outgoing)
        self.runtime.schedule()
        return json_response(table)

    def control_rolling_update(self, query: bytes) -> Response:
        """Handle `PUT /fleet/replace?do=begin|pause|resume|stop&most=K`, which controls a rolling update.

        K is the maximum number of processes that may be unavailable at a time; it applies to `begin`.
        """
        if self.rolling_update is None or not self.runtime.is_open:
            return NO_VOTERS
        command, max_unavailable = query_parameters(query, "do", "most")
        if not self.rolling_update.command(command, max_unavailable=parse_integer(max_unavailable or "1")):
            return BAD_COMMAND
        self.runtime.deliver(self.rolling_update.tick(self.runtime.now()))
        self.runtime.schedule()
        return json_response(self.rolling_update.plan_status())

    def control_zone(self, query: bytes) -> Response:
        """Handle `PUT /fleet/zone?do=leave|return&zone=NAME&for_s=N`.

        With `leave`, an operator directs the fleet's calls away from a zone for N seconds. With `return`, the
        operator ends this directive early.
        """
        traffic = self.policy_adapter.zone_traffic
        if traffic is None or traffic.router is None or traffic.directives is None:
            return NO_ZONES
        router, directives = traffic.router, traffic.directives
        command, zone, seconds = query_parameters(query, "do", "zone", "for_s")
        known_zones = sorted({router.home, *router.states.by_zone})
        if zone not in known_zones:
            return Response(400, f"zone: must be one of {', '.join(known_zones)}\n".encode())
        duration = parse_integer(seconds)
        if command == "leave" and not 0 < duration <= MAX_DIRECTIVE_DURATION_S:
            return BAD_DURATION
        if command not in ("leave", "return"):
            return BAD_DIRECTIVE
        if not directives.issue(zone, duration * MICROSECONDS_PER_SECOND if command == "leave" else 0):
            return TOO_MANY_DIRECTIVES
        self.runtime.log.line(f"fleet zone {zone}: directive {command}")
        self.runtime.schedule()
        return json_response(router.status(self.runtime.now()))


def query_parameters(query: bytes, *names: str) -> tuple[str, ...]:
    """Return the first value of each named parameter of a query string; empty for a missing parameter."""
    values = parse_qs(query.decode("latin-1"))
    return tuple(values.get(name, [""])[0] for name in names)


def parse_integer(text: str) -> int:
    """Parse a non-negative decimal integer.

    Returns 0 for text that has other characters or more than `MAX_INTEGER_DIGITS` digits.
    """
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_INTEGER_DIGITS else 0


def json_response(body: object) -> Response:
    """Return a successful response with a JSON body."""
    return Response(200, json.dumps(body).encode() + b"\n")
