"""External lease holders: scripts outside the fleet that hold a lease through one of its nodes.

A script renews its lease for as long as it needs it, and each answer states for how long it may rely on the
lease. A script that has not renewed for the duration of a lease is removed, but not before the expiry that
its last answer stated.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.net.process.log import Log

MAX_EXTERNAL_LEASES = 64  # Leases that one process requests for external lease holders at a time.

TOO_MANY_LEASES = f"{MAX_EXTERNAL_LEASES} leases are held for scripts already"
HELD_BY_ANOTHER_SCRIPT = "another script of this node has it"
NOT_GRANTED = "another holds it, or there is no majority"


@dataclass
class ExternalLeaseHolder:
    """A script that requests a lease through this process.

    Attributes:
        holder_id: Identifier that the script has chosen.
        requested_at: Time of the script's last request.
        reported_expires_at: Expiry of the lease that the last answer stated; 0 if it has not held the lease.
    """

    holder_id: str
    requested_at: int
    reported_expires_at: int = 0


@dataclass(frozen=True)
class ExternalLeaseAnswer:
    """The answer to an external lease holder, a script that requests a lease through this process.

    Attributes:
        token: Token of the lease, a number that is higher for each new holder; None if the script does not
            hold it.
        remaining_us: Time for which the script may rely on the lease, counted from its request.
        reason: Why the script does not hold the lease; empty after a release.
    """

    token: int | None = None
    remaining_us: int = 0
    reason: str = ""

    def to_json(self) -> dict[str, Any]:
        """Return the answer as JSON values."""
        if self.token is not None:
            return {"held": True, "token": self.token, "left_us": self.remaining_us}
        return {"held": False, "why": self.reason} if self.reason else {"held": False}


class ExternalResult(NamedTuple):
    """The answer to a script, and the messages to send to voters."""

    answer: ExternalLeaseAnswer
    outgoing: list[OutgoingLeaseMessage]


class ExternalLeaseHolders:
    """The external lease holders of one process.

    Args:
        client: Acquires and releases the leases.
        timeout: Time in microseconds after which a script that has not renewed is removed.
        log: Log of the node, with a line for each script that is removed.
    """

    def __init__(self, client: LeaseClient, timeout: int, log: Log) -> None:
        self.client = client
        self.timeout = timeout
        self.log = log
        self.holders: dict[str, ExternalLeaseHolder] = {}  # Keys are names of leases.

    def acquire(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """Handle a script's request for a lease, or its renewal."""
        holder = self.holders.get(lease)
        if holder is None and len(self.holders) >= MAX_EXTERNAL_LEASES:
            return ExternalResult(ExternalLeaseAnswer(reason=TOO_MANY_LEASES), [])
        if holder is None:
            holder = self.holders[lease] = ExternalLeaseHolder(holder_id, now)
        if holder.holder_id != holder_id:
            return ExternalResult(ExternalLeaseAnswer(reason=HELD_BY_ANOTHER_SCRIPT), [])
        holder.requested_at = now
        self.client.acquire(now, lease)
        outgoing = self.client.tick(now)
        token = self.client.held_token(now, lease)
        if token is None:
            return ExternalResult(ExternalLeaseAnswer(reason=NOT_GRANTED), outgoing)
        holder.reported_expires_at = self.client.requests[lease].expires_at
        return ExternalResult(ExternalLeaseAnswer(token, holder.reported_expires_at - now), outgoing)

    def release(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """Release a script's lease; do nothing if the lease is unknown or another script has requested it."""
        holder = self.holders.get(lease)
        if holder is None or holder.holder_id != holder_id:
            return ExternalResult(ExternalLeaseAnswer(), [])
        del self.holders[lease]
        return ExternalResult(ExternalLeaseAnswer(), self.client.release(now, lease))

    def deadline(self) -> int | None:
        """Return when the next script can be removed: it has timed out and its stated expiry has passed."""
        return min(
            (max(h.requested_at + self.timeout, h.reported_expires_at) for h in self.holders.values()),
            default=None,
        )

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Remove scripts that have not renewed within the timeout."""
        outgoing: list[OutgoingLeaseMessage] = []
        for lease, holder in list(self.holders.items()):
            if now >= holder.requested_at + self.timeout:
                outgoing += self.remove(now, lease, holder)
        return outgoing

    def remove(self, now: int, lease: str, holder: ExternalLeaseHolder) -> list[OutgoingLeaseMessage]:
        """Remove a script that has not renewed within the timeout.

        Until the expiry that its last answer stated, the lease is merely not renewed any more: the script may
        still rely on it, so no other script of this node may get the lease before then.
        """
        if now < holder.reported_expires_at:
            self.client.abandon(lease)
            return []
        self.log.line(f"lease holder gone name={lease}")
        del self.holders[lease]
        return self.client.release(now, lease)
