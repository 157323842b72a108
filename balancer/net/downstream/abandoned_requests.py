"""The identifiers of requests that may have run for clients that left without a response."""

from __future__ import annotations

from hashlib import blake2b

# Time for which an identifier is remembered; longer than clients try again.
REMEMBER_US = 60_000_000
# Identifiers that are remembered at most; the oldest one is forgotten first.
MAX_IDENTIFIERS = 1024
DIGEST_BYTES = 8


def digest(identifier: bytes) -> bytes:
    """Return a digest that stands for an identifier of any length."""
    return blake2b(identifier, digest_size=DIGEST_BYTES).digest()


class AbandonedRequests:
    """Remembers requests that must not run twice, and whose clients left after they may have run.

    A client that comes again with the identifier of such a request cannot be told its result, and must not
    have it run once more.
    """

    def __init__(self) -> None:
        # The time until which each digest is remembered, in microseconds; the oldest one first.
        self.expires_at: dict[bytes, int] = {}

    def remember(self, identifier: bytes, now: int) -> None:
        """Remember a request at the time `now`, in microseconds."""
        key = digest(identifier)
        self.expires_at.pop(key, None)
        self.expires_at[key] = now + REMEMBER_US
        if len(self.expires_at) > MAX_IDENTIFIERS:
            del self.expires_at[next(iter(self.expires_at))]

    def forget(self, identifier: bytes) -> None:
        """Forget a request that turns out not to have run."""
        self.expires_at.pop(digest(identifier), None)

    def may_have_run(self, identifier: bytes, now: int) -> bool:
        """Return whether a request with this identifier is remembered at the time `now`, in microseconds."""
        return bool(self.expires_at) and now < self.expires_at.get(digest(identifier), 0)
