"""The state of one lease at a voter."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from balancer.fleet.leases.messages import LeaseMessage


class Holder(NamedTuple):
    """A process that holds a lease or requests it; the next process of that name is another holder."""

    name: str
    incarnation: int


NOBODY = Holder("", 0)


def holder_of(message: LeaseMessage) -> Holder:
    """The process that sent a message."""
    return Holder(message.sender, message.incarnation)


@dataclass
class GrantedLease:
    """One lease as a voter knows it.

    Attributes:
        token: The highest that the voter granted.
        released_token: Nothing is granted up to this one.
        holder: To whom it was granted last.
        expires_at: Until when that grant lasts, on the voter's clock.
        waiters: Denied clients, with the seq of their request, to be notified of a release.
        denials: Since it was granted last.
        early_releases: Tokens that were released before their requests came, by the client.
    """

    token: int
    released_token: int = 0
    holder: Holder = NOBODY
    expires_at: int = 0
    waiters: dict[str, int] = field(default_factory=dict)
    denials: int = 0
    early_releases: dict[Holder, int] = field(default_factory=dict)

    @property
    def highest_token(self) -> int:
        """The highest token that was granted or released."""
        return max(self.token, self.released_token)

    def grant(self, token: int, holder: Holder, expires_at: int) -> None:
        """Grants the lease, or renews it."""
        self.token, self.holder, self.expires_at = token, holder, expires_at
        self.denials = 0
        # Lower ones are too low to be granted by now, so their releases need not be remembered.
        self.early_releases = {h: released for h, released in self.early_releases.items() if released > token}

    def note_early_release(self, holder: Holder, token: int, max_kept: int) -> None:
        """Remembers a release that came before its request; the oldest is the least likely to be needed."""
        self.early_releases[holder] = max(token, self.early_releases.pop(holder, 0))
        if len(self.early_releases) > max_kept:
            del self.early_releases[next(iter(self.early_releases))]
