"""The state of one lease on a voter."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from balancer.fleet.leases.messages import LeaseMessage


class Holder(NamedTuple):
    """A process that holds or requests a lease; another incarnation of the same name is another holder."""

    name: str
    incarnation: int


NO_HOLDER = Holder("", 0)


def holder_of(message: LeaseMessage) -> Holder:
    """Return the process that sent a message."""
    return Holder(message.sender, message.incarnation)


@dataclass
class GrantedLease:
    """One lease as a voter tracks it.

    Attributes:
        token: Highest token, a number that is higher for each new holder, that the voter has granted.
        released_token: Highest token that is never granted again because it was released.
        holder: Process to which the lease was granted last.
        expires_at: Time at which the last grant expires, on the voter's clock.
        waiters: Sequence numbers of the requests of denied clients, by client name; these clients are
            notified when the lease is released.
        denials: Number of denials since the lease was granted last.
        early_releases: Tokens whose release arrived before the request for them, by client.
    """

    token: int
    released_token: int = 0
    holder: Holder = NO_HOLDER
    expires_at: int = 0
    waiters: dict[str, int] = field(default_factory=dict)
    denials: int = 0
    early_releases: dict[Holder, int] = field(default_factory=dict)

    @property
    def highest_token(self) -> int:
        """Highest token that was granted or released."""
        return max(self.token, self.released_token)

    def grant(self, token: int, holder: Holder, expires_at: int) -> None:
        """Grant the lease to a holder, or renew it."""
        self.token, self.holder, self.expires_at = token, holder, expires_at
        self.denials = 0
        # Lower tokens can no longer be granted, so early releases of them need not be remembered.
        self.early_releases = {h: released for h, released in self.early_releases.items() if released > token}

    def record_early_release(self, holder: Holder, token: int, max_kept: int) -> None:
        """Remember that a token was released before its request arrived; keep the last `max_kept` clients."""
        self.early_releases[holder] = max(token, self.early_releases.pop(holder, 0))
        if len(self.early_releases) > max_kept:
            del self.early_releases[next(iter(self.early_releases))]
