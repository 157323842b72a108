"""The identifiers of requests that may have run, and whose clients have no response."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from balancer.net.process.shared_digests import DIGEST_BYTES, SharedDigests

# Time for which an identifier is remembered; longer than clients try again.
REMEMBER_US = 60_000_000
# Identifiers that are remembered at most; the oldest one is forgotten first.
MAX_IDENTIFIERS = 1024


def digest(identifier: bytes) -> bytes:
    """Return a digest that stands for an identifier of any length."""
    return blake2b(identifier, digest_size=DIGEST_BYTES).digest()


class AbandonedRequests:
    """Remembers requests that must not run twice, and whose clients left after they may have run.

    A client that comes again with the identifier of such a request cannot be told its result, and must not
    have it run once more. While two processes of the node run, each also refuses what the other has written
    to a server: its client may come to this process if the other one ends before it responds.

    Args:
        shared: What the processes of the node share.
    """

    def __init__(self, shared: SharedDigests) -> None:
        self.shared = shared
        # The time from which what an ended process has shared is forgotten, in microseconds.
        self.shared_expires_at = 0
        # The time until which each digest is remembered, in microseconds; the oldest one first.
        self.expires_at: dict[bytes, int] = {}

    def remember(self, identifier: bytes, now: int) -> None:
        """Remember a request at the time `now`, in microseconds."""
        key = digest(identifier)
        self.expires_at.pop(key, None)
        self.expires_at[key] = now + REMEMBER_US
        if len(self.expires_at) > MAX_IDENTIFIERS:
            del self.expires_at[next(iter(self.expires_at))]

    def on_written(self, identifier: bytes) -> None:
        """Tell another process of the node, if one runs, of a request that is being written to a server."""
        if self.shared.is_active:
            self.shared.add(digest(identifier))

    def start_sharing(self, written: Iterable[bytes]) -> None:
        """Begin to share with another process that has started, with what has been written before.

        Args:
            written: The identifiers of requests that are in flight.
        """
        self.shared.start()
        for key in [*self.expires_at, *map(digest, written)]:
            self.shared.add(key)

    def stop_sharing(self, now: int) -> None:
        """Keep what the other process has shared for `REMEMBER_US` from the time `now`, when it has ended."""
        self.shared.stop()
        self.shared_expires_at = now + REMEMBER_US

    def forget(self, identifier: bytes) -> None:
        """Forget a request that turns out not to have run."""
        self.expires_at.pop(digest(identifier), None)

    def may_have_run(self, identifier: bytes, now: int) -> bool:
        """Return whether a request with this identifier is remembered at the time `now`, in microseconds."""
        if not self.shared.is_active and now >= self.shared_expires_at:
            self.shared.of_others.clear()
        if not (self.expires_at or self.shared.is_active or self.shared.of_others):
            return False
        key = digest(identifier)
        return now < self.expires_at.get(key, 0) or self.shared.contains(key)
