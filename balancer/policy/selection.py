"""Selection: which server takes a request."""

from __future__ import annotations

from random import Random

from balancer.policy.ejection import OutlierEjection
from balancer.policy.interface import Effect, Group, Settings
from balancer.policy.request import Request
from balancer.policy.server import Server
from balancer.policy.slow_start import SlowStart
from balancer.policy.spillover import ZoneSpillover
from balancer.policy.subset import Subset

MAX_SKIPS = 10  # so many members may be skipped for being slow


def not_attempted(pool: list[Server], request: Request) -> list[Server]:
    """Returns those of the pool that the request has not been sent to; all of them if there is no other."""
    return (
        [m for m in pool if m not in request.attempted_servers] or pool if request.attempted_servers else pool
    )


class Selection:
    """Picks a server for an attempt, by all parts that it depends on."""

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
        self.mean_rtt = mean_rtt  # by class; kept up to date by the balancer
        self.rng = rng
        self.subset = subset
        self.slow_start = slow_start
        self.spillover = spillover
        self.ejection = ejection

    def pick_server(self, now: int, request: Request) -> Server | None:
        """Picks a server for an attempt: the one of two random members with less in flight.

        A retry is picked in the same way.

        Failure prevented: a member that has just rejected a request has few attempts in flight, wins the pick
        for its next attempt too and rejects it again. The source, too, retries on another host where it
        can.
        """
        effect = request.effect
        if request.first_run_on is not None and effect == Effect.IDEMPOTENCY_KEY:
            return self.pick_in_group(now, request)
        if self.ejection.ejected and effect != Effect.NOT_IDEMPOTENT:
            probed = self.ejection.take_probe_target(now, self.slow_start)
            if probed is not None:
                return probed
        if self.subset.shares:
            picked = self.rng.choices([*self.subset.shares], [*self.subset.shares.values()])
            # Where a zone is down, a retry there fails too.
            failed = request.attempted_servers[-1].zone if request.attempted_servers else -1
            for zone in sorted([*picked, *self.subset.shares], key=lambda zone: zone == failed):
                server = self.pick_of_two(
                    now, request.request_class, not_attempted(self.subset.by_zone[zone], request)
                )
                if server is not None:
                    return server
            return None
        if self.spillover.zoned and self.subset.local and self.rng.random() >= self.spillover.spill:
            server = self.pick_of_two(now, request.request_class, not_attempted(self.subset.local, request))
            if server is not None:
                return server
        return self.pick_of_two(now, request.request_class, not_attempted(self.subset.available, request))

    def pick_of_two(self, now: int, request_class: int, pool: list[Server]) -> Server | None:
        """Picks the one of two random servers of the pool that has less in flight, in expected time."""
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
            b_silent = self.ejection.is_silent(now, b)
            if not self.ejection.is_silent(now, a) and self.slow_start.may_send(now, a):
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
        """A random member but `other`. One slower than the mean is skipped as often as it is slower.

        Failure prevented: of few members two slow ones are picked together each few requests, and what one of
        them gets keeps it overloaded. After a few skips whoever comes is taken.
        """
        while True:
            for _ in range(MAX_SKIPS):
                server = pool[int(self.rng.random() * len(pool))]
                if server is not other and self.rng.random() * server.slowness(now, request_class, mean) < 1:
                    return server
            if server is not other:
                return server

    def pick_in_group(self, now: int, request: Request) -> Server | None:
        """Picks a server that would discard the repeat of a request that may have run."""
        first = request.first_run_on
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
