"""External lease holders: scripts beside the fleet that hold a lease through a node of it.

A script comes again and again while it needs its lease; each answer tells how long it may count on it. One
that does not come for the duration of a lease is taken for gone, but may run on until what it was told is
over.
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
        script: Its identifier.
        heard_at: When it came last.
        notified_until: Until when it was told that it holds the lease.
    """

    script: str
    heard_at: int
    notified_until: int = 0


@dataclass(frozen=True)
class ExternalLeaseAnswer:
    """What an external lease holder is told.

    Attributes:
        token: Of the lease, if the script holds it.
        remaining_us: How long it may count on the lease, from when it asked.
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
        timeout: In microseconds; one that has not come for so long is gone.
        log: Hears of those that are gone.
    """

    def __init__(self, client: LeaseClient, timeout: int, log: Log) -> None:
        self.client = client
        self.timeout = timeout
        self.log = log
        self.holders: dict[str, ExternalLeaseHolder] = {}  # by the lease that each requests

    def acquire(self, now: int, lease: str, script: str) -> ExternalResult:
        """A script requests a lease, or needs it still."""
        holder = self.holders.get(lease)
        if holder is None and len(self.holders) >= MAX_EXTERNAL_LEASES:
            return ExternalResult(ExternalLeaseAnswer(why=TOO_MANY), [])
        if holder is None:
            holder = self.holders[lease] = ExternalLeaseHolder(script, now)
        if holder.script != script:
            return ExternalResult(ExternalLeaseAnswer(why=TAKEN_HERE), [])
        holder.heard_at = now
        self.client.acquire(now, lease)
        outgoing = self.client.tick(now)
        token = self.client.held_token(now, lease)
        if token is None:
            return ExternalResult(ExternalLeaseAnswer(why=NOT_GRANTED), outgoing)
        holder.notified_until = self.client.requests[lease].expires_at
        return ExternalResult(ExternalLeaseAnswer(token, holder.notified_until - now), outgoing)

    def release(self, now: int, lease: str, script: str) -> ExternalResult:
        """A script does not need its lease any more."""
        holder = self.holders.get(lease)
        if holder is None or holder.script != script:
            return ExternalResult(ExternalLeaseAnswer(), [])
        del self.holders[lease]
        return ExternalResult(ExternalLeaseAnswer(), self.client.release(now, lease))

    def deadline(self) -> int | None:
        """When a script that does not come again is gone, and what it was told is over."""
        return min(
            (max(h.heard_at + self.timeout, h.notified_until) for h in self.holders.values()), default=None
        )

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Removes those that have not come for too long."""
        outgoing: list[OutgoingLeaseMessage] = []
        for lease, holder in list(self.holders.items()):
            if now >= holder.heard_at + self.timeout:
                outgoing += self.remove(now, lease, holder)
        return outgoing

    def remove(self, now: int, lease: str, holder: ExternalLeaseHolder) -> list[OutgoingLeaseMessage]:
        """A script has not come for too long.

        It may run on for what it was told, and nobody else of this node gets the lease before that is over.
        """
        if now < holder.notified_until:
            self.client.abandon(lease)
            return []
        self.log.line(f"lease holder gone name={lease}")
        del self.holders[lease]
        return self.client.release(now, lease)
