"""A simulation of balancer instances that send to servers in slow start, on virtual time in microseconds."""

from __future__ import annotations

from dataclasses import dataclass, replace
from heapq import heappop, heappush
from math import exp, log, sqrt
from random import Random
from typing import Any

from support import SAFE_CLASS

from balancer.policy import Balancer
from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings

SEC = 1_000_000
START = 1_000 * SEC
RESTART_AT = START + 12 * SEC  # By then the instances have learned the request rate of a warm server.
END = START + 30 * SEC
MAX_QUEUE_TIME = 400_000  # A server rejects a request that would wait longer.
REJECT_TIME = 2_000
ROUND_TRIP = 60_000
TRAFFIC_SKEW = 3.0  # Ratio that spans two standard deviations of the instances' traffic shares.
IDLE_REQUESTS, IDLE_TIME = 15, 4 * SEC  # An instance is idle after both without an attempt.
NOTIFY_SPREAD = 400_000  # From the first to the last instance that is notified of a start.


@dataclass(frozen=True)
class Workload:
    """The traffic and the cold starts of one run. Loads are relative to the warm servers' capacity."""

    instances: int
    servers: int
    restarted: int  # Number of servers that restart simultaneously.
    new: int  # Number of cold servers that are added at the same time.
    rate: float  # Mean requests per second of an instance.
    load: float
    burst_factor: float  # The factor on the load from the cold starts on.
    warm_servers_hang: bool = False  # From the cold starts on, warm servers never respond.
    slow_start_time: int = 24 * SEC
    slow_start_share: float = 0.12
    fall_multiple: float = 2.5
    fall_time: int = 2 * SEC

    @property
    def capacity(self) -> float:
        """Requests per second that a warm server can handle."""
        return self.instances * self.rate / (self.load * self.servers)


class InstanceActions:
    """The actions of one instance: attempts are sent to the fleet's servers, all others are ignored."""

    def __init__(self, fleet: Fleet, instance: int) -> None:
        self.fleet = fleet
        self.instance = instance

    def send(self, request: int, server: int, timeout: int) -> None:
        """Send an attempt to a server of the fleet."""
        self.fleet.send(self.instance, request, server, timeout)

    def __getattr__(self, name: str) -> Any:
        return lambda *args: None


class Fleet:
    """A simulation of a workload.

    `arrivals` holds for each cold server the time of each request and whether its sender had been notified of
    the server's start.
    """

    def __init__(self, workload: Workload, seed: int) -> None:
        self.workload = workload
        self.rng = Random(seed)
        self.settings = Settings(
            classes=(SAFE_CLASS,),
            instances=workload.instances,
            max_attempts=4,
            slow_start_time=workload.slow_start_time,
            slow_start_share=workload.slow_start_share,
            fall_multiple=workload.fall_multiple,
            fall_time=workload.fall_time,
        )
        self.now = START
        self.events: list[tuple[int, int, Any, tuple[Any, ...]]] = []
        self.number = 0
        self.busy_until: dict[int, int] = {}
        self.attempts: dict[int, int] = {}
        names = [self.rng.getrandbits(60) for _ in range(workload.servers + workload.new)]
        self.known = names[: workload.servers]
        self.cold = {*names[: workload.restarted], *names[workload.servers :]}
        self.arrivals: dict[int, list[tuple[int, bool]]] = {server: [] for server in self.cold}
        self.notified: set[int] = set()  # Instances that were notified of the cold starts.
        self.last_sent = [START] * workload.instances
        self.rejected_in_row = [0] * workload.instances  # Requests of each instance since its last attempt.
        self.idle_instances: set[int] = set()  # Instances that rejected every request for IDLE_TIME.
        shares = [exp(self.rng.gauss(0, log(TRAFFIC_SKEW) / 2)) for _ in range(workload.instances)]
        self.rates = [workload.instances * workload.rate * share / sum(shares) for share in shares]
        self.instances = [
            Balancer(replace(self.settings, index=i), seed * workload.instances + i, InstanceActions(self, i))
            for i in range(workload.instances)
        ]

    def schedule(self, when: int, event: Any, *args: Any) -> None:
        """Schedule a call at a virtual time."""
        self.number += 1
        heappush(self.events, (when, self.number, event, args))

    def run(self) -> None:
        """Run the simulation until END."""
        for i, instance in enumerate(self.instances):
            instance.start(self.now)
            instance.server_list(self.now, ListKind.CACHED, [ServerEntry(server) for server in self.known])
            self.schedule(self.now + self.next_arrival(i), self.arrive, i)
            self.schedule(RESTART_AT + int(self.rng.random() * NOTIFY_SPREAD), self.notify, i)
        while self.events[0][0] < END:
            self.now, _, event, args = heappop(self.events)
            event(*args)

    def next_arrival(self, instance: int) -> int:
        """Return a random time until the next request of an instance."""
        burst_factor = self.workload.burst_factor if self.now >= RESTART_AT else 1.0
        return int(self.rng.expovariate(self.rates[instance] * burst_factor) * SEC)

    def arrive(self, instance: int) -> None:
        """Pass a request to an instance and schedule its next one."""
        self.number += 1
        self.rejected_in_row[instance] += 1
        if (
            self.rejected_in_row[instance] >= IDLE_REQUESTS
            and self.now - self.last_sent[instance] >= IDLE_TIME
        ):
            self.idle_instances.add(instance)
        self.instances[instance].request(self.now, self.number, 0, 0, 3 * SEC, False)
        self.schedule(self.now + self.next_arrival(instance), self.arrive, instance)

    def notify(self, instance: int) -> None:
        """Notify an instance of the cold servers."""
        self.notified.add(instance)
        entries = [ServerEntry(server, ready_at=RESTART_AT) for server in sorted(self.cold)]
        self.instances[instance].server_list(self.now, ListKind.CHANGES, entries)

    def capacity(self, server: int, now: int) -> float:
        """Return the requests per second that a server can handle now; a cold server warms up linearly."""
        s = self.settings
        if server not in self.cold or now < RESTART_AT:
            return self.workload.capacity
        warmth = s.slow_start_share + (1 - s.slow_start_share) * (now - RESTART_AT) / s.slow_start_time
        return self.workload.capacity * min(1.0, warmth)

    def send(self, instance: int, request: int, server: int, timeout: int) -> None:
        """Simulate an attempt: it is queued and served, rejected because the queue is full, or times out."""
        self.last_sent[instance], self.rejected_in_row[instance] = self.now, 0
        attempt = self.attempts[request] = self.attempts.get(request, -1) + 1
        if server in self.cold and self.now >= RESTART_AT:
            self.arrivals[server].append((self.now, instance in self.notified))
        wait = max(0, self.busy_until.get(server, 0) - self.now)
        outcome, latency = Outcome.REJECTED, REJECT_TIME
        if wait <= MAX_QUEUE_TIME:
            work = int(self.rng.expovariate(1) * SEC / self.capacity(server, self.now))
            self.busy_until[server] = self.now + wait + work
            outcome, latency = Outcome.OK, wait + work + ROUND_TRIP
        if latency > timeout or self.hangs(server):
            outcome, latency = Outcome.TIMEOUT, timeout
        self.schedule(self.now + latency, self.finish, instance, request, attempt, server, outcome, latency)

    def hangs(self, server: int) -> bool:
        """Return whether the server accepts requests without responding."""
        warm = server not in self.cold
        return self.workload.warm_servers_hang and warm and self.now >= RESTART_AT

    def finish(
        self, instance: int, request: int, attempt: int, server: int, outcome: Outcome, latency: int
    ) -> None:
        """Report the outcome of an attempt to its instance."""
        final = outcome == Outcome.OK
        self.instances[instance].outcome(self.now, request, attempt, server, outcome, latency, final, ())

    def largest_excess(self) -> float:
        """Return the largest number of requests in a window beyond its limit of N + 2 * sqrt(N) + 2.

        N is the budget of the window: a multiple of the server's mean capacity during it. A window counts if
        it ends before the slow start does, and if more than two thirds of its requests came from instances
        that had been notified of the start.
        """
        largest = -1e9
        window = self.settings.fall_time
        for server, sent in self.arrivals.items():
            first = 0
            for last, (now, _) in enumerate(sent):
                if now >= RESTART_AT + self.settings.slow_start_time:
                    break
                while sent[first][0] <= now - window:
                    first += 1
                count = last - first + 1
                if 3 * sum(notified for _, notified in sent[first : last + 1]) <= 2 * count:
                    continue
                began = max(RESTART_AT, now - window)
                mean = (self.capacity(server, began) + self.capacity(server, now)) / 2
                budget = self.settings.fall_multiple * mean * window / SEC
                largest = max(largest, count - budget - 2 * sqrt(budget) - 2)
        return largest

    def fair_share(self) -> float:
        """Return how many requests all cold servers should get by END: an even share scaled by warmth."""
        s = self.settings
        seconds = (END - RESTART_AT) / SEC
        warmth = s.slow_start_share + (1 - s.slow_start_share) * seconds * SEC / s.slow_start_time / 2
        load = self.workload.load * self.workload.burst_factor * self.workload.capacity
        return load * warmth * seconds * len(self.cold)
