"""The subset of the listed servers that this instance sends to. Its servers are called members."""

from __future__ import annotations

from collections.abc import Mapping
from math import ceil

from balancer.policy.gradient import GradientController
from balancer.policy.interface import Settings
from balancer.policy.server import Server

MIN_SUBSET_SIZE = 4
MAX_SUBSET_SIZE = 24
MEMBERS_PER_ATTEMPT = 2  # The number of members for each attempt in flight, within the bounds.
IN_FLIGHT_SAMPLE_WEIGHT = 0.05  # The weight of a new sample in the mean number of attempts in flight.


def shuffle_key(number: int, round_number: int) -> int:
    """Return a number's sort key in a shuffle, which is the same in every instance and new in each round."""
    x = (number + round_number * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    x = (x ^ (x >> 27)) * 0x94D049BB133111EB & 0xFFFFFFFFFFFFFFFF
    return x ^ (x >> 31)


class Subset:
    """The members of the subset, their target number, and the members that are not ejected."""

    def __init__(
        self,
        settings: Settings,
        servers: Mapping[int, Server],
        controller: GradientController,
        zone_aware: bool,
    ) -> None:
        self.settings = settings
        self.servers = servers
        self.controller = controller
        self.zone_aware = zone_aware  # Members are selected in each zone, even without zone shares.
        self.members: list[Server] = []
        self.size = MIN_SUBSET_SIZE  # The target size when the members were last selected.
        self.mean_in_flight = 0.0
        self.available_local: list[Server] = []  # Available members in the local zone.
        self.available: list[Server] = []  # Members that are not ejected.
        self.shares: Mapping[int, float] = {}  # Shares of the requests by zone, if the fleet has set them.
        self.available_by_zone: dict[int, list[Server]] = {}  # Available members of the zones with shares.

    def fits_load(self) -> bool:
        """Update the mean of the attempts in flight, and return whether the subset's size still suits it."""
        self.mean_in_flight += IN_FLIGHT_SAMPLE_WEIGHT * (self.controller.in_flight - self.mean_in_flight)
        return self.size / 2 <= self.target_size() <= self.size * 1.25

    def target_size(self) -> int:
        """Return the number of members that suits the mean number of attempts in flight."""
        return min(MAX_SUBSET_SIZE, max(MIN_SUBSET_SIZE, ceil(MEMBERS_PER_ATTEMPT * self.mean_in_flight)))

    def select_slice(self, servers: list[Server]) -> list[Server]:
        """Return this instance's slice of a shuffle in which the servers of each kind are spread evenly.

        In a plain shuffle, all members of an instance could by chance be of a slow kind and stay overloaded
        while the fast members of other instances are idle.
        """
        n = len(servers)
        slices = max(1, n // MIN_SUBSET_SIZE)
        round_number, slice_index = divmod(self.settings.index, slices)
        servers.sort(key=lambda server: (shuffle_key(server.id, round_number), server.id))
        kinds: dict[int, list[Server]] = {}
        for server in servers:
            kinds.setdefault(server.kind_id, []).append(server)
        positions = []
        for kind, group in sorted(kinds.items()):
            shift = shuffle_key(kind, round_number) / 2**64
            positions += [((i + shift) / len(group), server.id, server) for i, server in enumerate(group)]
        order = [server for _, _, server in sorted(positions, key=lambda position: position[:2])]
        start, end = slice_index * n // slices, (slice_index + 1) * n // slices
        return [order[i % n] for i in range(start, min(max(end, start + self.size), start + n))]

    def select_members(self) -> None:
        """Select the members again: this instance's slice of a shuffle that is the same in all instances.

        Consecutive instance indices take consecutive slices. After the last slice a new round begins with
        another shuffle. So each server belongs to the same number of instances without any coordination, a
        new server gets its part as soon as it is listed, and a change of the list moves few members.
        """
        listed = [server for server in self.servers.values() if server.in_list]
        self.size = self.target_size()
        for server in self.members:
            server.member = False
        self.members = []
        if self.zone_aware or self.shares:
            # A subset selected over all zones could have few members or none in the local zone.
            for zone in sorted({server.zone for server in listed}):
                self.members += self.select_slice([server for server in listed if server.zone == zone])
        else:
            self.members = self.select_slice(listed)
        for server in self.members:
            server.member = True

    def update_available(self) -> None:
        """Update the available members, also by zone, and exclude ejected members from the limit."""
        self.available = []
        for m in self.members:
            if not m.ejected:
                self.available.append(m)
            if m.ejected != m.outside_limit:
                # Requests stuck on a silent member must not use up the limit of the other members.
                self.controller.in_flight += -m.in_flight if m.ejected else m.in_flight
                m.outside_limit = m.ejected
        self.available_local = [m for m in self.available if m.zone == self.settings.zone]
        self.available_by_zone = {zone: [m for m in self.available if m.zone == zone] for zone in self.shares}
