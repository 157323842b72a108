"""Open-loop load on a real node: requests are sent at their due times, independent of earlier responses.

The latency of a request is measured from its due time and not from the time at which it was sent, so a stall
of the machine or the node cannot hide the requests that it delayed (Tene, "How NOT to Measure Latency").
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from typing import Any
from urllib.parse import urlsplit

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from workbench.emulator.http import ClientConnection, ConnectionPool, Response, encode_request

MIN_LATENCY_US, MAX_LATENCY_US = 1, 120_000_000
SIGNIFICANT_DIGITS = 3
# The time after the end of a request's budget during which its response is still accepted.
RESPONSE_GRACE_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.01
DEFAULT_BUDGET_MS = 1000
DEFAULT_PORT = 80
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
EFFECTS = ("safe", "keyed", "unsafe")
STATUS_OUTCOMES = {200: "served", 429: "refused", 503: "refused"}
NO_ANSWER, RESET, UNREACHABLE = "no answer", "reset", "unreachable"


class LoadError(Exception):
    """An argument is invalid. The message is a single line."""


@dataclass
class RequestClass:
    """A class of requests.

    Attributes:
        name: The name of the class, which is the path of its requests.
        effect: The effect of its requests: `safe`, `keyed` or `unsafe`.
        share: The weight with which requests are drawn from this class.
        budget_ms: The time from a request's due time to its deadline.
    """

    name: str
    effect: str = "safe"
    share: float = 1.0
    budget_ms: int = DEFAULT_BUDGET_MS


def make_histogram() -> Any:
    """Return an empty histogram of values in microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class LoadResult:
    """The outcomes of one request class, with latencies in microseconds from the requests' due times."""

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latency: Any = field(default_factory=make_histogram)

    def record(self, outcome: str, latency_us: int) -> None:
        """Record the outcome and the latency of one finished request."""
        self.outcomes[outcome] += 1
        self.latency.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, latency_us)))


def parse_request_class(text: str) -> RequestClass:
    """Parse `NAME[:EFFECT[:SHARE[:BUDGET_MS]]]`.

    Raises:
        LoadError: The text has a different form, or a value is out of range.
    """
    name, *rest = text.split(":")
    effect = rest[0] if rest else "safe"
    try:
        share = float(rest[1]) if len(rest) > 1 else 1.0
        budget_ms = int(rest[2]) if len(rest) > 2 else DEFAULT_BUDGET_MS
    except ValueError:
        raise LoadError(
            f"--class {text}: share and budget must be numbers, as in view:safe:0.8:500"
        ) from None
    if not name or effect not in EFFECTS or share <= 0 or budget_ms <= 0 or len(rest) > 3:
        raise LoadError(
            f"--class {text}: must be NAME:EFFECT:SHARE:BUDGET_MS, the effect safe, keyed or unsafe"
        )
    return RequestClass(name, effect, share, budget_ms)


def parse_target(url: str) -> tuple[str, int]:
    """Return the host and port of a node on loopback.

    Raises:
        LoadError: The URL is not an HTTP URL of a loopback address.
    """
    target = urlsplit(url if "//" in url else f"http://{url}")
    try:
        port = target.port or DEFAULT_PORT
    except ValueError:
        raise LoadError(f"{url}: invalid port") from None
    host = "127.0.0.1" if target.hostname == "localhost" else target.hostname or ""
    if target.scheme != "http" or not host.startswith("127."):
        raise LoadError(f"{url}: must be http://127.x.y.z:port, since load stays on this machine")
    return host, port


class Load:
    """A load generator whose requests have exponentially distributed intervals.

    Args:
        url: The URL of the node.
        rate: The mean number of requests per second.
        seconds: The time during which requests are sent.
        classes: The request classes, from which each request is drawn by their shares.
        seed: The seed of the intervals and of the classes drawn.

    Raises:
        LoadError: The URL is not an HTTP URL of a loopback address.
    """

    def __init__(self, url: str, rate: float, seconds: float, classes: list[RequestClass], seed: int) -> None:
        self.host, self.port = parse_target(url)
        self.rate = rate
        self.seconds = seconds
        self.classes = classes
        self.rng = Random(seed)
        self.results = {request_class.name: LoadResult() for request_class in classes}
        self.sender_lateness = make_histogram()
        self.call_id = self.rng.getrandbits(48) << 12
        self.in_flight = 0

    async def run(self) -> None:
        """Send all requests and wait for the last outcome."""
        loop = asyncio.get_running_loop()
        connections = ConnectionPool(loop, self.host, self.port)
        started_at = monotonic()
        due = started_at
        weights = [c.share for c in self.classes]
        while (due := due + self.rng.expovariate(self.rate)) < started_at + self.seconds:
            wait_s = due - monotonic()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            request_class = self.rng.choices(self.classes, weights)[0]
            self.send(loop, connections, request_class, due)
        while self.in_flight:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        connections.close()

    def send(
        self,
        loop: asyncio.AbstractEventLoop,
        connections: ConnectionPool,
        request_class: RequestClass,
        due: float,
    ) -> None:
        """Send one request. If it is sent late, its remaining budget is reduced by the lateness."""
        result = self.results[request_class.name]
        result.sent += 1
        self.call_id += 1
        self.in_flight += 1
        lateness_s = monotonic() - due
        self.sender_lateness.record_value(max(MIN_LATENCY_US, int(lateness_s * 1e6)))
        remaining_ms = max(0, request_class.budget_ms - int(lateness_s * 1000))
        data = encode_request(
            request_class.name,
            request_class.effect,
            self.call_id & 0xFFFF,
            self.call_id,
            remaining_ms,
            b"%016x" % self.call_id,
        )
        pending = PendingRequest(result, due, self.on_finished)
        pending.connection = connections.send(data, pending.on_response)
        loop.call_later(remaining_ms / 1000 + RESPONSE_GRACE_S, pending.on_timeout)

    def on_finished(self) -> None:
        """Decrement the number of requests in flight."""
        self.in_flight -= 1


class PendingRequest:
    """A request in flight. Its outcome is recorded once, at its response or its time-out.

    Args:
        result: The result in which the outcome is recorded.
        due: The due time of the request on the monotonic clock, in seconds.
        on_finished: Called once, before the outcome is recorded.
    """

    def __init__(self, result: LoadResult, due: float, on_finished: Callable[[], None]) -> None:
        self.result = result
        self.due = due
        self.on_finished = on_finished
        self.connection: ClientConnection | None = None
        self.finished = False

    def on_response(self, response: Response) -> None:
        """Record a response or the loss of the connection."""
        self.finish(outcome_name(response))

    def on_timeout(self) -> None:
        """Cancel the request and record that there was no response, unless it has an outcome."""
        if not self.finished and self.connection is not None:
            self.connection.cancel()
            self.finish(NO_ANSWER)

    def finish(self, outcome: str) -> None:
        """Record an outcome, unless one was recorded before."""
        if self.finished:
            return
        self.finished = True
        self.on_finished()
        self.result.record(outcome, int((monotonic() - self.due) * 1e6))


def outcome_name(response: Response) -> str:
    """Return the outcome under which a response is counted, by the protocol of the platform."""
    if not response.status:
        return RESET if response.request_sent else UNREACHABLE
    return STATUS_OUTCOMES.get(response.status, f"failed {response.status}")
