"""The selection of a server for an attempt."""

from __future__ import annotations

from random import Random

from balancer.policy.ejection import OutlierEjection
from balancer.policy.interface import Effect, Group, Settings
from balancer.policy.request import Request
from balancer.policy.server import Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.subset import Subset

MAX_SKIPS = 10  # The number of random members that one pick may skip because they are slow.


def exclude_attempted(pool: list[Server], request: Request) -> list[Server]:
    """Return the servers of the pool that the request was not sent to; if it was sent to all, the pool."""
    return (
        [m for m in pool if m not in request.attempted_servers] or pool if request.attempted_servers else pool
    )


class Selection:
    """The selection of a server by zone, load, latency, slow start and ejection."""

    def __init__(
        self,
        settings: Settings,
        mean_rtt: list[float],
        rng: Random,
        subset: Subset,
        slow_start: SlowStart,
        spillover: ZoneSpillover,
        ejection: OutlierEjection,
    ) -> None:
        self.settings = settings
        self.mean_rtt = mean_rtt  # Mean round-trip times by class, which AttemptMetrics updates.
        self.rng = rng
        self.subset = subset
        self.slow_start = slow_start
        self.spillover = spillover
        self.ejection = ejection

    def pick_server(self, now: int, request: Request) -> Server | None:
        """Pick the less loaded of two random members for an attempt; None if no server may get one.

        As in Envoy, a retry goes to a server without an earlier attempt of the request if there is one. A
        member that has just rejected the request has few attempts in flight, so without this rule it would
        be picked for the next attempt too and reject that again.
        """
        effect = request.effect
        if request.first_run_server is not None and effect == Effect.IDEMPOTENCY_KEY:
            return self.pick_in_group(now, request)
        if self.ejection.ejected and effect != Effect.NOT_IDEMPOTENT:
            probed = self.ejection.take_probe_target(now, self.slow_start)
            if probed is not None:
                return probed
        if self.subset.shares:
            picked = self.rng.choices([*self.subset.shares], [*self.subset.shares.values()])
            # The zone of the last attempt comes last, since a retry would fail too if the zone is down.
            failed_zone = request.attempted_servers[-1].zone if request.attempted_servers else -1
            for zone in sorted([*picked, *self.subset.shares], key=lambda zone: zone == failed_zone):
                server = self.pick_of_two(
                    now,
                    request.request_class,
                    exclude_attempted(self.subset.available_by_zone[zone], request),
                )
                if server is not None:
                    return server
            return None
        if (
            self.spillover.zone_aware
            and self.subset.available_local
            and self.rng.random() >= self.spillover.spill_ratio
        ):
            server = self.pick_of_two(
                now, request.request_class, exclude_attempted(self.subset.available_local, request)
            )
            if server is not None:
                return server
        return self.pick_of_two(now, request.request_class, exclude_attempted(self.subset.available, request))

    def pick_of_two(self, now: int, request_class: int, pool: list[Server]) -> Server | None:
        """Pick that one of two random servers whose attempts in flight have the shorter expected time.

        Servers that are ejected as silent or that slow start holds back are passed over. Return None if no
        server is left.
        """
        n = len(pool)
        if n == 0:
            return None
        if n == 1:
            return pool[0] if self.slow_start.may_send(now, pool[0]) else None
        mean = min(self.mean_rtt)
        for _ in range(3):
            a = self.pick_member(now, request_class, pool, mean)
            b = self.pick_member(now, request_class, pool, mean, a)
            if b.load(now, request_class, mean) < a.load(now, request_class, mean):
                a, b = b, a
            b_silent = self.ejection.eject_if_silent(now, b)
            if not self.ejection.eject_if_silent(now, a) and self.slow_start.may_send(now, a):
                return a
            if not b_silent and self.slow_start.may_send(now, b):
                return b
        for a in pool:
            if not a.ejected and self.slow_start.may_send(now, a):
                return a
        return None

    def pick_member(
        self, now: int, request_class: int, pool: list[Server], mean: float, other: Server | None = None
    ) -> Server:
        """Return a random member other than `other`, slow members with a lower probability.

        A member that is slower than the mean by some factor is accepted with the inverse of that factor as
        probability. With equal probabilities, the two members picked from a small subset would often both
        be slow, and the requests that one of them gets would keep it overloaded. After MAX_SKIPS skips any
        member is returned.
        """
        while True:
            for _ in range(MAX_SKIPS):
                server = pool[int(self.rng.random() * len(pool))]
                if server is not other and self.rng.random() * server.slowness(now, request_class, mean) < 1:
                    return server
            if server is not other:
                return server

    def pick_in_group(self, now: int, request: Request) -> Server | None:
        """Pick a server for the retry of a request that may have run, from the group that discards repeats.

        The group consists of all servers, or of those in the zone or cell of the first server, as its class
        says. The first server itself is left out.
        """
        first = request.first_run_server
        group = self.settings.classes[request.request_class].group
        assert first is not None
        pool = [
            m
            for _, m in sorted(self.subset.servers.items())
            if m is not first
            and m.in_list
            and not m.outside_limit
            and (
                group == Group.ALL
                or (group == Group.ZONE and m.zone == first.zone)
                or (group == Group.CELL and m.cell == first.cell)
            )
        ]
        return self.pick_of_two(now, request.request_class, pool)
