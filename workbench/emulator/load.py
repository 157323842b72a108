"""Open-loop load on a real node: requests go out when they are due, whatever became of those before.

A request's time is counted from when it was due and not from when it got out, so a machine or a node that
stalls cannot hide the requests that it kept waiting (Tene, "How NOT to Measure Latency").
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from time import monotonic
from typing import Any
from urllib.parse import urlsplit

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from workbench.emulator.http import Lines, Reply, request_bytes

LEAST, MOST, DIGITS = 1, 120_000_000, 3  # microseconds, and significant figures
GRACE = 0.5  # seconds beyond a request's budget in which its answer is still waited for
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class LoadError(Exception):
    """What cannot be put under load: one line."""


@dataclass
class Class:
    """A class of requests: its path, effect, share of the requests, and its time."""

    name: str
    effect: str = "safe"  # or keyed, unsafe
    share: float = 1.0
    budget_ms: int = 1000


@dataclass
class Result:
    """What came of it, for one class or all. Latencies in microseconds from when a request was due."""

    asked: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    latency: Any = field(default_factory=lambda: HdrHistogram(LEAST, MOST, DIGITS))

    def took(self, answer: str, microseconds: int) -> None:
        self.answers[answer] += 1
        self.latency.record_value(max(LEAST, min(MOST, microseconds)))


def class_of(text: str) -> Class:
    """`NAME[:EFFECT[:SHARE[:BUDGET_MS]]]`. LoadError."""
    name, *rest = text.split(":")
    effect = rest[0] if rest else "safe"
    try:
        share = float(rest[1]) if len(rest) > 1 else 1.0
        budget = int(rest[2]) if len(rest) > 2 else 1000
    except ValueError:
        raise LoadError(
            f"--class {text}: share and budget must be numbers, as in view:safe:0.8:500"
        ) from None
    if not name or effect not in ("safe", "keyed", "unsafe") or share <= 0 or budget <= 0 or len(rest) > 3:
        raise LoadError(
            f"--class {text}: must be NAME:EFFECT:SHARE:BUDGET_MS, the effect safe, keyed or unsafe"
        )
    return Class(name, effect, share, budget)


def target(url: str) -> tuple[str, int]:
    """Host and port of a node. Only loopback is put under load. LoadError."""
    parts = urlsplit(url if "//" in url else f"http://{url}")
    try:
        port = parts.port or 80
    except ValueError:
        raise LoadError(f"{url}: not a port") from None
    host = "127.0.0.1" if parts.hostname == "localhost" else parts.hostname or ""
    if parts.scheme != "http" or not host.startswith("127."):
        raise LoadError(f"{url}: must be http://127.x.y.z:port, since load stays on this machine")
    return host, port


class Load:
    """One load: `rate` requests a second for `seconds`, their gaps drawn from an exponential distribution."""

    def __init__(self, url: str, rate: float, seconds: float, classes: list[Class], seed: int) -> None:
        self.host, self.port = target(url)
        self.rate = rate
        self.seconds = seconds
        self.classes = classes
        self.rng = Random(seed)
        self.results = {c.name: Result() for c in classes}
        self.late = HdrHistogram(LEAST, MOST, DIGITS)  # of the sender itself
        self.number = self.rng.getrandbits(48) << 12
        self.open = 0

    async def run(self) -> None:
        """Sends all of it and waits for the last answer."""
        loop = asyncio.get_running_loop()
        lines = Lines(loop, self.host, self.port)
        begun = monotonic()
        due = begun
        weights = [c.share for c in self.classes]
        while (due := due + self.rng.expovariate(self.rate)) < begun + self.seconds:
            wait = due - monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            klass = self.rng.choices(self.classes, weights)[0]
            self.send(loop, lines, klass, due)
        while self.open:
            await asyncio.sleep(0.01)
        lines.close()

    def send(self, loop: asyncio.AbstractEventLoop, lines: Lines, klass: Class, due: float) -> None:
        """One request. What is late in going out has so much less of its time left."""
        result = self.results[klass.name]
        result.asked += 1
        self.number += 1
        self.open += 1
        now = monotonic()
        self.late.record_value(max(LEAST, int((now - due) * 1e6)))
        left = max(0, klass.budget_ms - int((now - due) * 1000))
        key = self.number & 0xFFFF
        data = request_bytes(klass.name, klass.effect, key, self.number, left, b"%016x" % self.number)
        ended: list[bool] = []

        def over(answer: str) -> None:
            if not ended:
                ended.append(True)
                self.open -= 1
                result.took(answer, int((monotonic() - due) * 1e6))

        side = lines.ask(data, lambda reply: over(word(reply)))

        def give_up() -> None:
            if not ended:
                side.drop()
                over("no answer")

        loop.call_later(left / 1000 + GRACE, give_up)


def word(reply: Reply) -> str:
    """How an answer counts, as PROTOCOL tells them apart."""
    if not reply.status:
        return "reset" if reply.written else "unreachable"
    return {200: "served", 429: "refused", 503: "refused"}.get(reply.status, f"failed {reply.status}")
