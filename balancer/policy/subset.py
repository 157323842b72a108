"""The subset: the few servers that this instance sends to, out of all that are listed."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from balancer.policy.gradient import GradientController
from balancer.policy.interface import Settings
from balancer.policy.server import Server

MIN_SUBSET_SIZE = 4  # members of an instance that has hardly any attempt in flight
MAX_SUBSET_SIZE = 24  # and of any other
MEMBERS_PER_CALL = 2  # in between: so many for each attempt in flight
SMOOTH_FLIGHT = 0.05  # weight of the newest sample in the mean number of attempts in flight


def mix(number: int, round_number: int) -> int:
    """A shuffle of the servers' numbers that is the same in every instance, another one for each round."""
    x = (number + round_number * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
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
        self.size = MIN_SUBSET_SIZE  # wanted when the members were last selected
        self.mean_in_flight = 0.0  # attempts in flight, smoothed
        self.local: list[Server] = []  # members in this zone that may be picked
        self.available: list[Server] = []  # all members that may be picked
        self.shares: Mapping[int, float] = {}  # of the requests, by zone, as the fleet has it
        self.by_zone: dict[int, list[Server]] = {}  # those of `available`, where there are shares

    def fits(self) -> bool:
        """Whether the size still suits the attempts in flight, whose mean takes in a sample."""
        self.mean_in_flight += SMOOTH_FLIGHT * (self.controller.in_flight - self.mean_in_flight)
        return self.size / 2 <= self.wanted_size() <= self.size * 1.25

    def wanted_size(self) -> int:
        """The size that suits the attempts in flight."""
        return min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, ceil(MEMBERS_PER_CALL * self.mean_in_flight)))

    def slice(self, servers: list[Server]) -> list[Server]:
        """This instance's slice of a shuffle in which the machines of each kind lie evenly spread.

        Failure prevented: by chance an instance's few members are all of a slow kind, and it keeps them
        overloaded while others' fast ones stand idle.
        """
        n = len(servers)
        parts = max(1, n // MIN_SUBSET_SIZE)
        round_number, part = divmod(self.settings.index, parts)
        servers.sort(key=lambda server: (mix(server.id, round_number), server.id))
        kinds: dict[int, list[Server]] = {}
        for server in servers:
            kinds.setdefault(server.kind_id, []).append(server)
        positions = []
        for kind, alike in sorted(kinds.items()):
            shift = mix(kind, round_number) / 2**64
            positions += [((i + shift) / len(alike), server.id, server) for i, server in enumerate(alike)]
        order = [server for _, _, server in sorted(positions, key=lambda position: position[:2])]
        start, end = part * n // parts, (part + 1) * n // parts
        return [order[i % n] for i in range(start, min(max(end, start + self.size), start + n))]

    def refill(self) -> None:
        """Selects the members anew: this instance's slice of a shuffle that all instances share.

        Instances whose numbers follow one another take slices that follow one another; once round, the
        next ones go by another shuffle. So each server belongs to equally many instances, without a message,
        a new server gets its part as soon as it is listed, and a change of the list moves few members.
        """
        listed = [server for server in self.servers.values() if server.in_list]
        self.size = self.wanted_size()
        for server in self.members:
            server.member = False
        self.members = []
        if self.zoned or self.shares:
            # Failure prevented: a subset over all zones has one member or none where requests should stay.
            for zone in sorted({server.zone for server in listed}):
                self.members += self.slice([server for server in listed if server.zone == zone])
        else:
            self.members = self.slice(listed)
        for server in self.members:
            server.member = True

    def update_available(self) -> None:
        """Sorts the members into those that may be picked, by zone, and those that are ejected."""
        self.available = []
        for m in self.members:
            if not m.ejected:
                self.available.append(m)
            if m.ejected != m.outside_limit:
                # Failure prevented: requests stuck on a silent member fill the limit for all the others.
                self.controller.in_flight += -m.in_flight if m.ejected else m.in_flight
                m.outside_limit = m.ejected
        self.local = [m for m in self.available if m.zone == self.settings.zone]
        self.by_zone = {zone: [m for m in self.available if m.zone == zone] for zone in self.shares}
