"""Distribution of operators' directives on zones; the newest directive on a zone applies until its end.

A directive evacuates a zone, so that no calls are sent to it for some time, or allows it to return. It is
first broadcast to all members a few times. After that each member sends it to one random member per second,
so that members that missed it or joined later learn of it. The newest directive is the one with the highest
version, regardless of the process that issued it.

Members' wall clocks may differ and may be stepped. The remaining duration of a directive is therefore tracked
by the monotonic clock: a message carries its sender's wall clock together with each directive's end, and the
receiver computes the remaining duration as the difference of the two. Versions are Unix time, advanced by the
monotonic clock from the newest version seen.

Times are microseconds of this process's monotonic clock, except in messages.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from random import Random

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.component import Outgoing
from balancer.fleet.zone_routing.known_directive import (
    MAX_DURATION_US,
    KnownDirective,
    convert_directive,
    create_directive,
)
from balancer.fleet.zone_routing.messages import (
    MAX_DIRECTIVES,
    ZoneDirective,
    ZoneKind,
    ZoneMessage,
)

GOSSIP_INTERVAL_US = 1_000_000
# Number of times that a new directive is sent to all members.
BROADCAST_ROUNDS = 3
# Time for which a directive is gossiped again after an older one on the same zone was received.
GOSSIP_AFTER_OLDER_US = 60_000_000


class ZoneDirectives:
    """The directives that one process has issued or received, and their distribution to other members.

    Args:
        name: This process's name.
        alive: Returns the names of the other alive members.
        wall_clock: Returns the wall clock in microseconds of Unix time.
        rng: Random stream for the choice of the member to gossip with.
        now: Returns the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        alive: Callable[[], Sequence[str]],
        wall_clock: Callable[[], int],
        rng: Random,
        now: Callable[[], int],
    ) -> None:
        self.name = name
        self.alive = alive
        self.wall_clock = wall_clock
        self.rng = rng
        self.now = now
        self.by_zone: dict[str, KnownDirective] = {}
        # Difference between the newest version seen and the monotonic clock, or None while none was seen.
        self.version_lead: int | None = None
        self.broadcasts_remaining = 0
        self.next_tick_at = now()

    def issue(self, zone: str, duration: int) -> bool:
        """Issue an operator's directive at this process.

        Args:
            zone: The zone's name.
            duration: Microseconds for which no calls are sent to the zone; 0 allows the zone to return.

        Returns:
            False if there are already too many directives for one datagram; the directive is then not issued.
        """
        now = self.now()
        if not self.ensure_capacity(now, zone):
            return False
        version = self.next_version(now, zone)
        self.by_zone[zone] = create_directive(version, duration, now)
        self.record_version(now, version)
        self.broadcasts_remaining = BROADCAST_ROUNDS
        return True

    def next_version(self, now: int, zone: str) -> int:
        """Return a version above all versions seen so far, including those of members with a fast clock."""
        current = self.by_zone.get(zone)
        lowest = current.version + 1 if current is not None else 0
        advanced = now + self.version_lead if self.version_lead is not None else 0
        return max(self.wall_clock(), advanced, lowest)

    def record_version(self, now: int, version: int) -> None:
        """Record a version that was seen, so that versions issued here later are above it."""
        lead = version - now
        self.version_lead = lead if self.version_lead is None else max(lead, self.version_lead)

    def ensure_capacity(self, now: int, zone: str) -> bool:
        """Ensure that a directive on a zone can be stored.

        If there is no space for it, the stored directive that ended first is removed.

        Returns:
            Whether the directive can be stored.
        """
        if zone in self.by_zone or len(self.by_zone) < MAX_DIRECTIVES:
            return True
        ended = [
            (directive.ends_at, name) for name, directive in self.by_zone.items() if directive.has_ended(now)
        ]
        if ended:
            _, oldest = min(ended)
            del self.by_zone[oldest]
        return bool(ended)

    def remaining_durations(self) -> dict[str, int]:
        """Return the zones evacuated by a directive with their remaining durations in microseconds."""
        now = self.now()
        return {
            zone: directive.ends_at - now
            for zone, directive in self.by_zone.items()
            if not directive.has_ended(now)
        }

    def returning_zones(self) -> set[str]:
        """Return the zones whose newest directive allows them to return."""
        return {zone for zone, directive in self.by_zone.items() if directive.allows_return}

    def directives_to_gossip(self, now: int) -> dict[str, KnownDirective]:
        """Return the directives that are still sent to other members, by zone.

        Directives that are no longer sent remain stored until their space is needed.
        """
        return {zone: directive for zone, directive in self.by_zone.items() if now < directive.gossip_until}

    def deadline(self) -> int | None:
        """Return the time at which `tick` is due, or None if there is nothing to gossip."""
        return self.next_tick_at if self.directives_to_gossip(self.next_tick_at) else None

    def tick(self, now: int) -> list[Outgoing]:
        """Return the messages with directives that are due.

        They go to all members in the first rounds after a new directive, otherwise to one random member.
        """
        if now < self.next_tick_at:
            return []
        self.next_tick_at = now + GOSSIP_INTERVAL_US
        directives, members = self.directives_to_gossip(now), list(self.alive())
        if not directives or not members:
            return []
        receivers = members if self.broadcasts_remaining else [self.rng.choice(members)]
        self.broadcasts_remaining = max(0, self.broadcasts_remaining - 1)
        return [
            AddressedMessage(receiver, message)
            for message in self.messages(now, directives)
            for receiver in receivers
        ]

    def messages(self, now: int, directives: Mapping[str, KnownDirective]) -> list[ZoneMessage]:
        """Return messages that carry the given directives.

        The ends of most directives are tracked by the monotonic clock; they are converted to this process's
        wall clock. An end that was received without its sender's wall clock is sent unchanged, in the format
        of an earlier version, which contains no wall clock.
        """
        # Ends would be negative, and could not be encoded, if the wall clock were before 1970.
        wall_clock = max(MAX_DURATION_US, self.wall_clock())
        converted, unconverted = [], []
        for zone, directive in sorted(directives.items()):
            if directive.allows_return:
                converted.append(ZoneDirective(zone, directive.version, 0))
            elif directive.unconverted_end is None:
                converted.append(ZoneDirective(zone, directive.version, wall_clock + directive.ends_at - now))
            else:
                unconverted.append(ZoneDirective(zone, directive.version, directive.unconverted_end))
        batches = ((converted, wall_clock), (unconverted, 0))
        return [
            ZoneMessage(ZoneKind.DIRECTIVES, self.name, tuple(entries), sender_clock)
            for entries, sender_clock in batches
            if entries
        ]

    def received(self, message: ZoneMessage) -> None:
        """Store the directives in a message that supersede the stored ones."""
        now = self.now()
        for entry in message.directives:
            self.record_version(now, entry.version)
            current = self.by_zone.get(entry.zone)
            directive = convert_directive(entry, now, message.seq, self.wall_clock())
            if current is None or directive.supersedes(current):
                if self.ensure_capacity(now, entry.zone):
                    self.by_zone[entry.zone] = directive
            elif directive.version < current.version:
                # A member that returns from a long partition may still spread a directive that has been
                # withdrawn; gossiping the newer directive again supersedes it.
                current.gossip_until = max(current.gossip_until, now + GOSSIP_AFTER_OLDER_US)
