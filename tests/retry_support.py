"""Retries at short intervals, and the number of them that a period allows."""

import asyncio

from loopback import wait_until

MANAGEMENT_CONFIG = {"management": "127.0.0.1:0"}
CONTROL_READY_REQUEST = b"GET /control/ready HTTP/1.1\r\nHost: m\r\n\r\n"

RETRY_INTERVAL_S = 0.005  # The interval in tests with the fixture `frequent_retries`.


def max_retries(seconds: float) -> float:
    """Return the largest number of retries allowed in this period.

    The bound allows for timers that fire early because of rounding; a busy loop makes thousands of them.
    """
    return 2 * seconds / RETRY_INTERVAL_S + 2


async def wait_for_retries() -> float:
    """Wait for the duration of several retry intervals and return the seconds that it took."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    await wait_until(lambda: loop.time() - started_at > 6 * RETRY_INTERVAL_S)
    return loop.time() - started_at
