"""Open-loop load on a real node: requests are sent when they are due, whatever became of those before.

The latency of a request is counted from when it was due and not from when it was sent, so a machine or a
node that stalls cannot hide the requests that it delayed (Tene, "How NOT to Measure Latency").
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

from workbench.emulator.http import ClientConnection, ConnectionPool, Response, request_bytes

MIN_LATENCY_US, MAX_LATENCY_US = 1, 120_000_000
SIGNIFICANT_DIGITS = 3
GRACE_S = 0.5  # beyond a request's budget in which its response is still waited for
DRAIN_POLL_INTERVAL_S = 0.01
DEFAULT_BUDGET_MS = 1000
DEFAULT_PORT = 80
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
EFFECTS = ("safe", "keyed", "unsafe")
OUTCOMES = {200: "served", 429: "refused", 503: "refused"}
NO_ANSWER, RESET, UNREACHABLE = "no answer", "reset", "unreachable"


class LoadError(Exception):
    """An argument that cannot be used; the message is one line."""


@dataclass
class RequestClass:
    """A class of requests.

    Attributes:
        name: Its name, which is its path.
        effect: `safe`, `keyed` or `unsafe`.
        share: Its weight among the classes.
        budget_ms: The time that a request has.
    """

    name: str
    effect: str = "safe"
    share: float = 1.0
    budget_ms: int = DEFAULT_BUDGET_MS


def make_histogram() -> Any:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class LoadResult:
    """The outcomes of one class, with latencies in microseconds from when a request was due."""

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    latency: Any = field(default_factory=make_histogram)

    def record(self, outcome: str, latency_us: int) -> None:
        """Adds one finished request."""
        self.outcomes[outcome] += 1
        self.latency.record_value(max(MIN_LATENCY_US, min(MAX_LATENCY_US, latency_us)))


def parse_request_class(text: str) -> RequestClass:
    """Parses `NAME[:EFFECT[:SHARE[:BUDGET_MS]]]`.

    Raises:
        LoadError: The text has another form, or a value is not allowed.
    """
    name, *rest = text.split(":")
    effect = rest[0] if rest else "safe"
    try:
        share = float(rest[1]) if len(rest) > 1 else 1.0
        budget = int(rest[2]) if len(rest) > 2 else DEFAULT_BUDGET_MS
    except ValueError:
        raise LoadError(
            f"--class {text}: share and budget must be numbers, as in view:safe:0.8:500"
        ) from None
    if not name or effect not in EFFECTS or share <= 0 or budget <= 0 or len(rest) > 3:
        raise LoadError(
            f"--class {text}: must be NAME:EFFECT:SHARE:BUDGET_MS, the effect safe, keyed or unsafe"
        )
    return RequestClass(name, effect, share, budget)


def parse_target(url: str) -> tuple[str, int]:
    """Returns host and port of a node on loopback.

    Raises:
        LoadError: The URL is not one of HTTP on loopback.
    """
    parts = urlsplit(url if "//" in url else f"http://{url}")
    try:
        port = parts.port or DEFAULT_PORT
    except ValueError:
        raise LoadError(f"{url}: not a port") from None
    host = "127.0.0.1" if parts.hostname == "localhost" else parts.hostname or ""
    if parts.scheme != "http" or not host.startswith("127."):
        raise LoadError(f"{url}: must be http://127.x.y.z:port, since load stays on this machine")
    return host, port


class Load:
    """Requests with exponentially distributed gaps.

    Args:
        url: Of the node.
        rate: Requests a second.
        seconds: The length of the load.
        classes: The classes of the requests.
        seed: Of the gaps and the classes.

    Raises:
        LoadError: The URL is not one of HTTP on loopback.
    """

    def __init__(self, url: str, rate: float, seconds: float, classes: list[RequestClass], seed: int) -> None:
        self.host, self.port = parse_target(url)
        self.rate = rate
        self.seconds = seconds
        self.classes = classes
        self.rng = Random(seed)
        self.results = {c.name: LoadResult() for c in classes}
        self.sender_lateness = make_histogram()
        self.call_id = self.rng.getrandbits(48) << 12
        self.in_flight = 0

    async def run(self) -> None:
        """Sends all requests and waits for the last outcome."""
        loop = asyncio.get_running_loop()
        connections = ConnectionPool(loop, self.host, self.port)
        started_at = monotonic()
        due = started_at
        weights = [c.share for c in self.classes]
        while (due := due + self.rng.expovariate(self.rate)) < started_at + self.seconds:
            wait = due - monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
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
        """Sends one request; one that is sent late has that much less of its time left."""
        result = self.results[request_class.name]
        result.sent += 1
        self.call_id += 1
        self.in_flight += 1
        lateness = monotonic() - due
        self.sender_lateness.record_value(max(MIN_LATENCY_US, int(lateness * 1e6)))
        remaining_ms = max(0, request_class.budget_ms - int(lateness * 1000))
        data = request_bytes(
            request_class.name,
            request_class.effect,
            self.call_id & 0xFFFF,
            self.call_id,
            remaining_ms,
            b"%016x" % self.call_id,
        )
        pending = PendingRequest(result, due, self.on_finished)
        pending.connection = connections.send(data, pending.on_response)
        loop.call_later(remaining_ms / 1000 + GRACE_S, pending.on_timeout)

    def on_finished(self) -> None:
        """Counts a request as finished."""
        self.in_flight -= 1


class PendingRequest:
    """A request in flight, which is recorded once: with its response or when its time is over.

    Args:
        result: Where the outcome is recorded.
        due: When the request was due, on the monotonic clock.
        on_finished: Called once, with the outcome.
    """

    def __init__(self, result: LoadResult, due: float, on_finished: Callable[[], None]) -> None:
        self.result = result
        self.due = due
        self.on_finished = on_finished
        self.connection: ClientConnection | None = None
        self.finished = False

    def on_response(self, response: Response) -> None:
        """Records a response, or the end of the connection."""
        self.finish(outcome_name(response))

    def on_timeout(self) -> None:
        """Cancels a request that has no outcome yet."""
        if not self.finished and self.connection is not None:
            self.connection.cancel()
            self.finish(NO_ANSWER)

    def finish(self, outcome: str) -> None:
        """Records the first outcome."""
        if self.finished:
            return
        self.finished = True
        self.on_finished()
        self.result.record(outcome, int((monotonic() - self.due) * 1e6))


def outcome_name(response: Response) -> str:
    """Returns how a response counts, as the platform's protocol tells them apart."""
    if not response.status:
        return RESET if response.request_sent else UNREACHABLE
    return OUTCOMES.get(response.status, f"failed {response.status}")
