"""The subset: the few servers that this copy sends to, out of all that are listed."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from balancer.policy.gradient import GradientController
from balancer.policy.interface import Settings
from balancer.policy.server import Server

MIN_SUBSET_SIZE = 4  # members of a copy that has hardly any call in flight
MAX_SUBSET_SIZE = 24  # and of any other
MEMBERS_PER_CALL = 2  # in between: so many for each call in flight
SMOOTH_FLIGHT = 0.05  # weight of the newest sample in the mean number of calls in flight


def mix(number: int, turn: int) -> int:
    """A shuffle of the servers' numbers that is the same in every copy, another one for each turn."""
    x = (number + turn * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 31)


class Subset:
    """The members, their number, and those of them that may be picked."""

    def __init__(
        self, settings: Settings, servers: Mapping[int, Server], controller: GradientController, zoned: bool
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.controller = controller
        self.zoned = zoned  # members are taken from each zone, also without shares
        self.members: list[Server] = []
        self.size = MIN_SUBSET_SIZE  # wanted when the members were last taken
        self.mean_in_flight = 0.0  # calls in flight, smoothed
        self.local: list[Server] = []  # members in this zone that may be picked
        self.available: list[Server] = []  # all members that may be picked
        self.shares: Mapping[int, float] = {}  # of the calls, by zone, as the fleet has it
        self.by_zone: dict[int, list[Server]] = {}  # those of `available`, where there are shares

    def fits(self) -> bool:
        """Whether the size still suits the calls in flight, whose mean takes in a sample."""
        self.mean_in_flight += SMOOTH_FLIGHT * (self.controller.in_flight - self.mean_in_flight)
        return self.size / 2 <= self.wanted_size() <= self.size * 1.25

    def wanted_size(self) -> int:
        return min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, ceil(MEMBERS_PER_CALL * self.mean_in_flight)))

    def slice(self, servers: list[Server]) -> list[Server]:
        """This copy's slice of a shuffle in which the machines of each kind lie evenly spread.

        Failure prevented: by chance a copy's few members are all of a slow kind, and it keeps them crowded
        while others' fast ones stand idle.
        """
        n = len(servers)
        parts = max(1, n // MIN_SUBSET_SIZE)
        turn, part = divmod(self.settings.index, parts)
        servers.sort(key=lambda srv: (mix(srv.id, turn), srv.id))
        kinds: dict[int, list[Server]] = {}
        for srv in servers:
            kinds.setdefault(srv.kind_id, []).append(srv)
        places = []
        for kind, alike in sorted(kinds.items()):
            shift = mix(kind, turn) / 2**64
            places += [((i + shift) / len(alike), srv.id, srv) for i, srv in enumerate(alike)]
        order = [srv for _, _, srv in sorted(places, key=lambda place: place[:2])]
        start, end = part * n // parts, (part + 1) * n // parts
        return [order[i % n] for i in range(start, min(max(end, start + self.size), start + n))]

    def refill(self) -> None:
        """Takes the members anew: this copy's slice of an order of the servers that all copies share.

        Copies whose numbers follow one another take slices that follow one another; once round, the
        next ones go by another shuffle. So each server belongs to equally many copies, without a message,
        a new server gets its part as soon as it is listed, and a change of the list moves few members.
        """
        listed = [srv for srv in self.servers.values() if srv.in_list]
        self.size = self.wanted_size()
        for srv in self.members:
            srv.member = False
        self.members = []
        if self.zoned or self.shares:
            # Failure prevented: a subset over all zones has one member or none where calls should stay.
            for zone in sorted({srv.zone for srv in listed}):
                self.members += self.slice([srv for srv in listed if srv.zone == zone])
        else:
            self.members = self.slice(listed)
        for srv in self.members:
            srv.member = True

    def update_available(self) -> None:
        """Sorts the members into those that may be picked, by zone, and those that are ejected."""
        self.available = []
        for m in self.members:
            if not m.ejected:
                self.available.append(m)
            if m.ejected != m.outside_limit:
                # Failure prevented: calls stuck on a silent member fill the limit for all the others.
                self.controller.in_flight += -m.in_flight if m.ejected else m.in_flight
                m.outside_limit = m.ejected
        self.local = [m for m in self.available if m.zone == self.settings.zone]
        self.by_zone = {zone: [m for m in self.available if m.zone == zone] for zone in self.shares}
