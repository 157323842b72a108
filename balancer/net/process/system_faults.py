"""Classification and retry of system calls that fail because this machine lacks resources."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from errno import EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOLCK, ENOMEM
from typing import TypeVar

RETRY_INTERVAL = 0.02  # Seconds between attempts at a system call that fails for lack of resources.
SHORTAGE_ERRORS = frozenset((EMFILE, ENFILE, ENOBUFS, ENOLCK, ENOMEM))
NO_LOCAL_PORT = EADDRNOTAVAIL  # Error of a connect when all local ports for the address are in use.

Resource = TypeVar("Resource")


def is_shortage(fault: OSError) -> bool:
    """Return whether a call failed because this machine lacks descriptors, buffers, locks or memory."""
    return fault.errno in SHORTAGE_ERRORS


def is_local_failure(fault: OSError) -> bool:
    """Return whether a connect failed for lack of a local resource, which says nothing about the server."""
    return is_shortage(fault) or fault.errno == NO_LOCAL_PORT


async def retry_shortage(open_resource: Callable[[], Resource], timeout_s: float) -> Resource:
    """Call a function, retrying while this machine lacks resources, and return its result.

    Args:
        open_resource: The function to call.
        timeout_s: The time after which a shortage is not retried any more, in seconds.

    Raises:
        OSError: The call failed for another reason, or the shortage outlasted the timeout.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        try:
            return open_resource()
        except OSError as fault:
            if not is_shortage(fault) or loop.time() >= deadline:
                raise
        await asyncio.sleep(RETRY_INTERVAL)
