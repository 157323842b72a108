"""A fleet of copies of the module before servers that start cold, on a clock that a test feeds."""

from __future__ import annotations

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from math import exp, log, sqrt
from random import Random
from typing import Any

from support import SAFE

from brackenladder.balance import Balancer
from brackenladder.interface import ListKind, Outcome, ServerEntry, Settings

SEC = 1_000_000
BEGIN = 1_000 * SEC
COLD_AT = BEGIN + 12 * SEC  # by then the copies know what a warm server gets
END = BEGIN + 30 * SEC
QUEUE = 400_000  # a server turns away what would wait for longer
TURN_AWAY = 2_000
TRIP = 60_000
UNEVEN = 3.0  # standard deviation of the copies' shares of the traffic, as a factor
IDLE_REQUESTS, IDLE_TIME = 15, 4 * SEC  # with no attempt in between a copy counts as idle
TOLD_APART = 400_000  # between the first copy that is told of a start and the last


@dataclass(frozen=True)
class Day:
    """What a fleet is put to. Loads are relative to what all servers can do warm."""

    copies: int
    servers: int
    back_cold: int  # of the servers, all at once
    joining: int  # new and cold, at the same time
    rate: float  # requests a second that a copy gets on average
    load: float
    burst: float  # the load is multiplied by this from the moment of the cold starts on
    hang: bool = False  # from then on the servers that are warm take requests and answer none

    @property
    def capacity(self) -> float:
        """Requests a second that a warm server can do."""
        return self.copies * self.rate / (self.load * self.servers)


class Port:
    """One copy's actions: attempts go to the fleet's servers, all else goes nowhere."""

    def __init__(self, fleet: Fleet, copy: int) -> None:
        self.fleet = fleet
        self.copy = copy

    def send(self, request: int, server: int, timeout: int) -> None:
        self.fleet.send(self.copy, request, server, timeout)

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


class Fleet:
    """Plays a day. `received`: when each cold server was sent a request, and if by one told of its start."""

    def __init__(self, day: Day, seed: int) -> None:
        self.day = day
        self.rng = Random(seed)
        self.settings = Settings(
            classes=(SAFE,),
            instances=day.copies,
            max_attempts=4,
            cold_time=24 * SEC,
            cold_share=0.12,
            fall_multiple=2.5,
            fall_time=2 * SEC,
        )
        self.now = BEGIN
        self.events: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self.number = 0
        self.busy_until: dict[int, int] = {}
        self.attempts: dict[int, int] = {}
        names = [self.rng.getrandbits(60) for _ in range(day.servers + day.joining)]
        self.known = names[: day.servers]
        self.cold = {*names[: day.back_cold], *names[day.servers :]}
        self.received: dict[int, list[tuple[int, bool]]] = {server: [] for server in self.cold}
        self.told: set[int] = set()  # copies that know of the cold starts
        self.last_sent = [BEGIN] * day.copies
        self.refused = [0] * day.copies  # requests since then
        self.idle: set[int] = set()  # copies that turned away all they got for a while
        shares = [exp(self.rng.gauss(0, log(UNEVEN) / 2)) for _ in range(day.copies)]
        self.rates = [day.copies * day.rate * share / sum(shares) for share in shares]
        self.copies = [
            Balancer(replace(self.settings, index=i), seed * day.copies + i, Port(self, i))
            for i in range(day.copies)
        ]

    def at(self, when: int, event: Any, *args: Any) -> None:
        self.number += 1
        heappush(self.events, (when, self.number, event, args))

    def play(self) -> None:
        for i, copy in enumerate(self.copies):
            copy.start(self.now)
            copy.server_list(self.now, ListKind.CACHED, [ServerEntry(server) for server in self.known])
            self.at(self.now + self.wait(i), self.arrive, i)
            self.at(COLD_AT + int(self.rng.random() * TOLD_APART), self.tell, i)
        while self.events[0][0] < END:
            self.now, _, event, args = heappop(self.events)
            event(*args)

    def wait(self, copy: int) -> int:
        """Until a copy's next request."""
        burst = self.day.burst if self.now >= COLD_AT else 1.0
        return int(self.rng.expovariate(self.rates[copy] * burst) * SEC)

    def arrive(self, copy: int) -> None:
        self.number += 1
        self.refused[copy] += 1
        if self.refused[copy] >= IDLE_REQUESTS and self.now - self.last_sent[copy] >= IDLE_TIME:
            self.idle.add(copy)
        self.copies[copy].request(self.now, self.number, 0, 0, 3 * SEC, False)
        self.at(self.now + self.wait(copy), self.arrive, copy)

    def tell(self, copy: int) -> None:
        self.told.add(copy)
        entries = [ServerEntry(server, ready_at=COLD_AT) for server in sorted(self.cold)]
        self.copies[copy].server_list(self.now, ListKind.CHANGES, entries)

    def capacity(self, server: int, now: int) -> float:
        """Requests a second that a server can do now: it warms evenly."""
        s = self.settings
        if server not in self.cold or now < COLD_AT:
            return self.day.capacity
        return self.day.capacity * min(1.0, s.cold_share + (1 - s.cold_share) * (now - COLD_AT) / s.cold_time)

    def send(self, copy: int, request: int, server: int, timeout: int) -> None:
        """An attempt: it waits for those before it, is turned away, or runs out of time."""
        self.last_sent[copy], self.refused[copy] = self.now, 0
        attempt = self.attempts[request] = self.attempts.get(request, -1) + 1
        if server in self.cold and self.now >= COLD_AT:
            self.received[server].append((self.now, copy in self.told))
        wait = max(0, self.busy_until.get(server, 0) - self.now)
        outcome, latency = Outcome.REJECTED, TURN_AWAY
        if wait <= QUEUE:
            work = int(self.rng.expovariate(1) * SEC / self.capacity(server, self.now))
            self.busy_until[server] = self.now + wait + work
            outcome, latency = Outcome.OK, wait + work + TRIP
        if latency > timeout or (self.day.hang and self.now >= COLD_AT and server not in self.cold):
            outcome, latency = Outcome.TIMEOUT, timeout
        self.at(self.now + latency, self.end, copy, request, attempt, server, outcome, latency)

    def end(self, copy: int, request: int, attempt: int, server: int, outcome: Outcome, latency: int) -> None:
        final = outcome == Outcome.OK
        self.copies[copy].outcome(self.now, request, attempt, server, outcome, latency, final, ())

    def most_beyond(self) -> float:
        """How far a window of a cold server went beyond its budget of N, and 2 x root of N + 2, at most.

        Where a third of the window came from copies that had not been told, the fall is not the fleet's.
        """
        most = -1e9
        window = self.settings.fall_time
        for server, sent in self.received.items():
            first = 0
            for last, (now, _) in enumerate(sent):
                while sent[first][0] <= now - window:
                    first += 1
                count = last - first + 1
                if 3 * sum(told for _, told in sent[first : last + 1]) <= 2 * count:
                    continue
                began = max(COLD_AT, now - window)
                mean = (self.capacity(server, began) + self.capacity(server, now)) / 2
                budget = self.settings.fall_multiple * mean * window / SEC
                most = max(most, count - budget - 2 * sqrt(budget) - 2)
        return most

    def due(self) -> float:
        """What all cold servers should get by the end: their warmth's part of an even share of the load."""
        s = self.settings
        seconds = (END - COLD_AT) / SEC
        warmth = s.cold_share + (1 - s.cold_share) * seconds * SEC / s.cold_time / 2
        return self.day.load * self.day.burst * self.day.capacity * warmth * seconds * len(self.cold)
