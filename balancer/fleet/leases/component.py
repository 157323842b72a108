"""The lease service as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.names import FREQUENT_LEASE_PREFIXES
from balancer.fleet.leases.service import LeaseService
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address

MICROSECONDS_PER_MILLISECOND = 1000


class LeaseComponent(Component):
    """The voter, the lease client and the external lease holders of this process."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.service = LeaseService(runtime.config, runtime.log, FREQUENT_LEASE_PREFIXES)
        self.unix_offset_us = 0  # Unix time minus the monotonic clock, read at the start of the incarnation.

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        """The encoder and decoder of lease messages."""
        return (self.service.wire,)

    @property
    def client(self) -> LeaseClient | None:
        """The client with which other components acquire leases; None before `open`."""
        return self.service.client

    def abstains(self, now: int) -> bool:
        """Return whether this process is a voter that grants no leases yet after its start."""
        voter = self.service.voter
        return voter is not None and bool(voter.electorates) and voter.abstains(now)

    def handle_external_request(
        self, now: int, lease: str, holder_id: str, release: bool
    ) -> tuple[dict[str, Any], Sequence[Outgoing]]:
        """Request, renew or release a lease for a script on this machine.

        Returns:
            The answer to the script as JSON values, and the messages to send.
        """
        action = self.service.release_external if release else self.service.acquire_external
        answer, outgoing = action(now, lease, holder_id)
        return answer.to_json(), outgoing

    def open(self) -> None:
        """Start the voter and the lease client of a new incarnation of this process."""
        runtime = self.runtime
        now = runtime.now()
        self.unix_offset_us = runtime.wall() - now
        incarnation = runtime.membership.local_claim.incarnation
        self.service.open(incarnation, now, self.unix_milliseconds, runtime.rng)

    def unix_milliseconds(self) -> int:
        """Return the Unix time of this incarnation's start, advanced by the monotonic clock, in milliseconds.

        Steps of the wall clock have no effect: a token made while the clock is briefly an hour ahead would
        exceed all tokens that other clients make during the following hour.
        """
        return (self.runtime.now() + self.unix_offset_us) // MICROSECONDS_PER_MILLISECOND

    def leave(self, now: int) -> Sequence[Outgoing]:
        """Release the leases of this process, but not those of external lease holders."""
        return self.service.leave(now)

    def deadline(self, now: int) -> int | None:
        """Return when `tick` is due, or None if nothing is due."""
        return self.service.deadline()

    def tick(self, now: int) -> Sequence[Outgoing]:
        """Request, renew and expire leases."""
        return self.service.tick(now)

    def received(self, now: int, sender: Address, message: Any) -> Sequence[Outgoing]:
        """Handle a lease message."""
        return self.service.received(now, message)

    def status(self, now: int) -> dict[str, Any]:
        """Return the key `duties` of `GET /fleet`, a name that operators' scripts depend on."""
        return {"duties": self.service.status(now)}
