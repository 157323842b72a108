"""Retries at short intervals, and how many of them a time may have."""

import asyncio

from loopback import until

OPERATED = {"management": "127.0.0.1:0"}
OPERATOR_CALL = b"GET /control/ready HTTP/1.1\r\nHost: m\r\n\r\n"

RETRY_INTERVAL_S = 0.005  # seconds between two retries in tests with the fixture `frequent_retries`


def max_retries(seconds: float) -> float:
    """The most retries in this time, by timers that round; a loop that spins makes thousands."""
    return 2 * seconds / RETRY_INTERVAL_S + 2


async def wait_for_retries() -> float:
    """Waits while a fault lasts; the seconds that it took."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    await until(lambda: loop.time() - began > 6 * RETRY_INTERVAL_S)
    return loop.time() - began
