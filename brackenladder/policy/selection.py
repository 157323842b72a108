"""Which of a pool of servers a further attempt may go to."""

from __future__ import annotations

from brackenladder.policy.request import Request
from brackenladder.policy.server import Server

PICK_TRIES = 10  # so many members may be passed over for being slow


def untried(pool: list[Server], r: Request) -> list[Server]:
    """Those of the pool that the request has not been sent to; all of them if there is no other."""
    return [m for m in pool if m not in r.tried] or pool if r.tried else pool
