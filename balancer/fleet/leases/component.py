"""Duties (leases granted by a majority of voters) as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime, addressed
from balancer.fleet.leases.names import FREQUENT_PREFIXES
from balancer.fleet.leases.part import Duties
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address


class DutiesComponent(Component):
    """This process's vote, what it wants, and what it holds for scripts."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.duties = Duties(runtime.config, runtime.log, FREQUENT_PREFIXES)
        self.unix_offset = 0  # from the monotonic clock to Unix time, as it stood when this life began

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        return (self.duties.wire,)

    def abstains(self, now: int) -> bool:
        """Whether this process is a voter that does not vote yet."""
        voter = self.duties.voter
        return voter is not None and bool(voter.lists) and voter.abstains(now)

    def script_request(
        self, now: int, duty: str, script: str, release: bool
    ) -> tuple[dict[str, Any], list[Outgoing]]:
        """A script of this node asks for a duty (again), or releases it. What it is told, and messages."""
        action = self.duties.give if release else self.duties.hold
        table, out = action(now, duty, script)
        return table, addressed(out)

    def open(self) -> None:
        runtime = self.runtime
        now = runtime.now()
        self.unix_offset = runtime.wall() - now
        life = runtime.membership.me.incarnation
        self.duties.open(life, now, self.unix_milliseconds, runtime.rng)

    def unix_milliseconds(self) -> int:
        """Unix time as of this life's beginning, carried on by the monotonic clock.

        Failure prevented: the wall clock is stepped an hour forward for a moment, and a token of that moment
        is above all that others make in the hour after.
        """
        return (self.runtime.now() + self.unix_offset) // 1000

    def leave(self, now: int) -> list[Outgoing]:
        return addressed(self.duties.leave(now))

    def deadline(self, now: int) -> int | None:
        return self.duties.deadline()

    def tick(self, now: int) -> list[Outgoing]:
        return addressed(self.duties.tick(now))

    def received(self, now: int, sender: Address, message: Any) -> list[Outgoing]:
        return addressed(self.duties.received(now, message))

    def status(self, now: int) -> dict[str, Any]:
        return {"duties": self.duties.view(now)}
