"""Which failures of system calls are shortages of this machine, and the wait before the next attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from errno import EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS, ENOLCK, ENOMEM
from typing import TypeVar

RETRY_INTERVAL = 0.02  # seconds between two attempts at a system call that has met a shortage
SHORTAGES = frozenset((EMFILE, ENFILE, ENOBUFS, ENOLCK, ENOMEM))
NO_LOCAL_PORT = EADDRNOTAVAIL  # of a connect: all local ports towards that address are taken

Resource = TypeVar("Resource")


def is_shortage(fault: OSError) -> bool:
    """Whether this machine lacks descriptors, buffers, locks or memory, whatever the call was for."""
    return fault.errno in SHORTAGES


def never_left_machine(fault: OSError) -> bool:
    """Whether a connect failed for lack of a local resource, which is no fault of the server."""
    return is_shortage(fault) or fault.errno == NO_LOCAL_PORT


async def retry_shortage(open_resource: Callable[[], Resource], timeout: float) -> Resource:
    """The result of the first call without a shortage; the fault itself if one lasts `timeout` seconds."""
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while True:
        try:
            return open_resource()
        except OSError as fault:
            if not is_shortage(fault) or loop.time() >= end:
                raise
        await asyncio.sleep(RETRY_INTERVAL)
