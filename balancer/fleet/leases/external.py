"""External lease holders: scripts beside the fleet that hold a lease through a node of it.

A script renews its lease while it needs it; each answer states how long it may count on it. One that does not
renew for the duration of a lease is taken for gone, but may run on until the time in its last answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.net.process.log import Log

MAX_EXTERNAL_LEASES = 64  # held for external holders at once

TOO_MANY = f"{MAX_EXTERNAL_LEASES} leases are held for scripts already"
TAKEN_HERE = "another script of this node has it"
NOT_GRANTED = "another holds it, or there is no majority"


@dataclass
class ExternalLeaseHolder:
    """One script that requests a lease through this process.

    Attributes:
        holder_id: The identifier that it gives itself.
        requested_at: When it requested the lease last.
        notified_until: Until when it holds the lease, by its last answer.
    """

    holder_id: str
    requested_at: int
    notified_until: int = 0


@dataclass(frozen=True)
class ExternalLeaseAnswer:
    """The answer to an external lease holder.

    Attributes:
        token: Of the lease, if the script holds it.
        remaining_us: How long it may count on the lease, from its request on.
        why: The reason, where it does not hold the lease; empty after a release.
    """

    token: int | None = None
    remaining_us: int = 0
    why: str = ""

    def page(self) -> dict[str, Any]:
        """The answer as JSON values."""
        if self.token is not None:
            return {"held": True, "token": self.token, "left_us": self.remaining_us}
        return {"held": False, "why": self.why} if self.why else {"held": False}


class ExternalResult(NamedTuple):
    """An answer, and the messages that the request leads to."""

    answer: ExternalLeaseAnswer
    outgoing: list[OutgoingLeaseMessage]


class ExternalLeaseHolders:
    """The external lease holders of one process.

    Args:
        client: Acquires and releases their leases.
        timeout: In microseconds; one that has not renewed for so long is gone.
        log: Takes a line for each that is gone.
    """

    def __init__(self, client: LeaseClient, timeout: int, log: Log) -> None:
        self.client = client
        self.timeout = timeout
        self.log = log
        self.holders: dict[str, ExternalLeaseHolder] = {}  # by the lease that each requests

    def acquire(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """A script requests a lease, or needs it still."""
        holder = self.holders.get(lease)
        if holder is None and len(self.holders) >= MAX_EXTERNAL_LEASES:
            return ExternalResult(ExternalLeaseAnswer(why=TOO_MANY), [])
        if holder is None:
            holder = self.holders[lease] = ExternalLeaseHolder(holder_id, now)
        if holder.holder_id != holder_id:
            return ExternalResult(ExternalLeaseAnswer(why=TAKEN_HERE), [])
        holder.requested_at = now
        self.client.acquire(now, lease)
        outgoing = self.client.tick(now)
        token = self.client.held_token(now, lease)
        if token is None:
            return ExternalResult(ExternalLeaseAnswer(why=NOT_GRANTED), outgoing)
        holder.notified_until = self.client.requests[lease].expires_at
        return ExternalResult(ExternalLeaseAnswer(token, holder.notified_until - now), outgoing)

    def release(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """A script does not need its lease any more."""
        holder = self.holders.get(lease)
        if holder is None or holder.holder_id != holder_id:
            return ExternalResult(ExternalLeaseAnswer(), [])
        del self.holders[lease]
        return ExternalResult(ExternalLeaseAnswer(), self.client.release(now, lease))

    def deadline(self) -> int | None:
        """When the next script that does not renew is gone, and its last answer holds no longer."""
        return min(
            (max(h.requested_at + self.timeout, h.notified_until) for h in self.holders.values()),
            default=None,
        )

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Removes those that have not renewed for too long."""
        outgoing: list[OutgoingLeaseMessage] = []
        for lease, holder in list(self.holders.items()):
            if now >= holder.requested_at + self.timeout:
                outgoing += self.remove(now, lease, holder)
        return outgoing

    def remove(self, now: int, lease: str, holder: ExternalLeaseHolder) -> list[OutgoingLeaseMessage]:
        """A script has not renewed for too long.

        It may run on as its last answer allows; nobody else of this node gets the lease before that is over.
        """
        if now < holder.notified_until:
            self.client.abandon(lease)
            return []
        self.log.line(f"lease holder gone name={lease}")
        del self.holders[lease]
        return self.client.release(now, lease)
