"""What operators and their scripts may call on a process of the fleet: HTTP handlers without sockets.

Each handler takes the query string and returns an HTTP status and a body: JSON on success, one line of text
on an error.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any, Protocol
from urllib.parse import parse_qs

from balancer.fleet.component import Outgoing, Runtime
from balancer.fleet.leases.names import is_reserved
from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.policy_adapter import PolicyAdapter

if TYPE_CHECKING:
    from balancer.fleet.leases.component import DutiesComponent
    from balancer.fleet.rolling_update.component import ReplacementComponent

Response = tuple[int, bytes]
MAX_DIRECTIVE_SECONDS = 86_400
MAX_DIGITS = 9  # of a number in a query
NO_VOTERS = (503, b"no voters are configured, or this process is leaving\n")
NO_ZONES = (503, b"fleet.zones is not configured, or this process is leaving\n")


class PageRuntime(Runtime, Protocol):
    """What the handlers use of the runtime beside what components do."""

    @property
    def is_open(self) -> bool:
        """Whether this process has its socket."""

    def view(self) -> dict[str, Any]:
        """The whole page."""

    def deliver(self, outgoing: Sequence[Outgoing]) -> None:
        """Sends what a component returned."""


class OperatorPages:
    """`duties` and `replacement` are None where no voters are configured."""

    def __init__(
        self,
        runtime: PageRuntime,
        adapter: PolicyAdapter,
        duties: DutiesComponent | None,
        replacement: ReplacementComponent | None,
    ) -> None:
        self.runtime = runtime
        self.adapter = adapter
        self.duties = duties
        self.replacement = replacement

    def page(self) -> Response:
        """`GET /fleet`."""
        return success(self.runtime.view())

    def hold(self, query: bytes) -> Response:
        """`PUT /fleet/hold?duty=NAME&script=ID`: a script wants a duty, and comes again while it does."""
        return self.script_request(query, release=False)

    def give(self, query: bytes) -> Response:
        """`PUT /fleet/give?duty=NAME&script=ID`: the script is done."""
        return self.script_request(query, release=True)

    def script_request(self, query: bytes, release: bool) -> Response:
        if self.duties is None or not self.runtime.is_open:
            return NO_VOTERS
        duty, script = parameters(query, "duty", "script")
        if not all(0 < len(name) <= MAX_NAME_CHARACTERS for name in (duty, script)):
            return 400, b"duty, script: must be names of 1 to 64 characters\n"
        if is_reserved(duty):
            return 400, b"duty: replace, probe.* and remeasure.* are the fleet's own\n"
        table, outgoing = self.duties.script_request(self.runtime.now(), duty, script, release)
        self.runtime.deliver(outgoing)
        self.runtime.schedule()
        return success(table)

    def replace(self, query: bytes) -> Response:
        """`PUT /fleet/replace?do=begin|pause|resume|stop&most=K`."""
        if self.replacement is None or not self.runtime.is_open:
            return NO_VOTERS
        verb, most = parameters(query, "do", "most")
        if not self.replacement.command(verb, max_out=whole_number(most or "1")):
            return 400, b"do: must be begin, pause, resume or stop; most: 1 to 1000\n"
        self.runtime.deliver(self.replacement.tick(self.runtime.now()))
        self.runtime.schedule()
        return success(self.replacement.table())

    def zone(self, query: bytes) -> Response:
        """`PUT /fleet/zone?do=leave|return&zone=NAME&for_s=N`."""
        traffic = self.adapter.zone_traffic
        if traffic is None or traffic.zones is None or traffic.orders is None:
            return NO_ZONES
        zones, orders = traffic.zones, traffic.orders
        verb, zone, seconds = parameters(query, "do", "zone", "for_s")
        known = sorted({zones.zone, *zones.courses})
        if zone not in known:
            return 400, f"zone: must be one of {', '.join(known)}\n".encode()
        length = whole_number(seconds)
        if verb == "leave" and not 0 < length <= MAX_DIRECTIVE_SECONDS:
            return 400, b"for_s: must be 1 to 86400\n"
        if verb not in ("leave", "return"):
            return 400, b"do: must be leave or return\n"
        if not orders.say(zone, length * 1_000_000 if verb == "leave" else 0):
            return 409, b"zone: words on too many zones hold already\n"
        self.runtime.log.line(f"fleet zone {zone}: told to {verb}")
        self.runtime.schedule()
        return success(zones.view(self.runtime.now()))


def parameters(query: bytes, *names: str) -> tuple[str, ...]:
    """The first value of each parameter; empty where it is missing."""
    values = parse_qs(query.decode("latin-1"))
    return tuple(values.get(name, [""])[0] for name in names)


def whole_number(text: str) -> int:
    """The number that a text spells in digits; 0 where it spells none, or far too great a one."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS else 0


def success(body: object) -> Response:
    return 200, json.dumps(body).encode() + b"\n"
