"""Leases, granted by a majority of voters, as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.names import FREQUENT_PREFIXES
from balancer.fleet.leases.service import LeaseService
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address

MICROSECONDS_IN_A_MILLISECOND = 1000


class LeaseComponent(Component):
    """This process's vote, its requests, and its external lease holders."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.service = LeaseService(runtime.config, runtime.log, FREQUENT_PREFIXES)
        self.unix_offset = 0  # from the monotonic clock to Unix time, as it stood when this incarnation began

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        """The encoder and decoder of lease messages."""
        return (self.service.wire,)

    @property
    def client(self) -> LeaseClient | None:
        """For components that acquire leases; None before `open`."""
        return self.service.client

    def abstains(self, now: int) -> bool:
        """Whether this process is a voter that does not vote yet."""
        voter = self.service.voter
        return voter is not None and bool(voter.electorates) and voter.abstains(now)

    def external_request(
        self, now: int, lease: str, holder_id: str, release: bool
    ) -> tuple[dict[str, Any], Sequence[Outgoing]]:
        """A script of this node requests a lease (again), or releases it.

        Returns:
            The answer to the script, as JSON values, and the messages to be sent.
        """
        action = self.service.release_external if release else self.service.acquire_external
        answer, outgoing = action(now, lease, holder_id)
        return answer.page(), outgoing

    def open(self) -> None:
        """A new incarnation begins."""
        runtime = self.runtime
        now = runtime.now()
        self.unix_offset = runtime.wall() - now
        incarnation = runtime.membership.me.incarnation
        self.service.open(incarnation, now, self.unix_milliseconds, runtime.rng)

    def unix_milliseconds(self) -> int:
        """Unix time as of this incarnation's beginning, advanced by the monotonic clock.

        Failure prevented: the wall clock is stepped an hour forward for a moment, and a token of that moment
        is above all that others make in the hour after.
        """
        return (self.runtime.now() + self.unix_offset) // MICROSECONDS_IN_A_MILLISECOND

    def leave(self, now: int) -> Sequence[Outgoing]:
        """Releases the leases that this process holds itself."""
        return self.service.leave(now)

    def deadline(self, now: int) -> int | None:
        """When `tick` is due."""
        return self.service.deadline()

    def tick(self, now: int) -> Sequence[Outgoing]:
        """Requests, renews and expires leases."""
        return self.service.tick(now)

    def received(self, now: int, sender: Address, message: Any) -> Sequence[Outgoing]:
        """Handles a lease message."""
        return self.service.received(now, message)

    def status(self, now: int) -> dict[str, Any]:
        """The page's key `duties`, which scripts of operators read under that name."""
        return {"duties": self.service.status(now)}
