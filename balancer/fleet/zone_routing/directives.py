"""Operators' directives on zones, spread to all members: the newest directive on a zone holds until its end.

A directive is first sent to all members a few times; then each member passes it on to one other member each
second, so that members that missed it or came later learn of it. The newest directive is the one with the
highest version, wherever it was given.

Members' wall clocks need not agree and may be stepped. What remains of a directive's duration is kept by the
monotonic clock: a message has its sender's wall clock beside each directive's end, and the receiver takes the
difference of the two. Versions are Unix time, advanced by the monotonic clock from the newest version seen.

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
    issued_directive,
    received_directive,
)
from balancer.fleet.zone_routing.messages import (
    MAX_DIRECTIVES,
    ZoneDirective,
    ZoneKind,
    ZoneMessage,
)

GOSSIP_INTERVAL_US = 1_000_000
BROADCAST_ROUNDS = 3  # times that a new directive is sent to all members
GOSSIP_AFTER_OLDER_US = 60_000_000  # passed on again for so long after an older directive was received


class ZoneDirectives:
    """The directives that one process knows.

    Args:
        name: This process's name.
        alive: Returns the names of the other members that are alive.
        wall: Returns the wall clock, microseconds of Unix time.
        rng: Chooses the member that directives are passed on to.
        now: Returns the monotonic clock.
    """

    def __init__(
        self,
        name: str,
        alive: Callable[[], Sequence[str]],
        wall: Callable[[], int],
        rng: Random,
        now: Callable[[], int],
    ) -> None:
        self.name = name
        self.alive = alive
        self.wall = wall
        self.rng = rng
        self.now = now
        self.by_zone: dict[str, KnownDirective] = {}
        self.version_lead: int | None = None  # of the newest version seen, ahead of `now`
        self.broadcasts_remaining = 0
        self.next_tick_at = now()

    def issue(self, zone: str, duration: int) -> bool:
        """Take an operator's directive given at this process.

        Args:
            zone: The zone's name.
            duration: Microseconds for which no calls go to the zone; 0 if it may return.

        Returns:
            False if there are too many directives for one datagram; nothing changes then.
        """
        now = self.now()
        if not self.make_room(now, zone):
            return False
        version = self.next_version(now, zone)
        self.by_zone[zone] = issued_directive(version, duration, now)
        self.record_version(now, version)
        self.broadcasts_remaining = BROADCAST_ROUNDS
        return True

    def next_version(self, now: int, zone: str) -> int:
        """Return a version above that of each directive seen so far, whatever wall clock gave it."""
        known = self.by_zone.get(zone)
        lowest = known.version + 1 if known is not None else 0
        carried_on = now + self.version_lead if self.version_lead is not None else 0
        return max(self.wall(), carried_on, lowest)

    def record_version(self, now: int, version: int) -> None:
        """Record a version that was seen, so that later ones given here are above it."""
        lead = version - now
        self.version_lead = lead if self.version_lead is None else max(lead, self.version_lead)

    def make_room(self, now: int, zone: str) -> bool:
        """Free a place for a directive on a zone, if need be by dropping the one that ended first.

        Returns:
            Whether there is a free place.
        """
        if zone in self.by_zone or len(self.by_zone) < MAX_DIRECTIVES:
            return True
        ended = [
            (directive.ends_at, name) for name, directive in self.by_zone.items() if directive.is_over(now)
        ]
        if ended:
            _, oldest = min(ended)
            del self.by_zone[oldest]
        return bool(ended)

    def remaining(self) -> dict[str, int]:
        """Return the zones that get no calls by a directive, and for how many microseconds still."""
        now = self.now()
        return {
            zone: directive.ends_at - now
            for zone, directive in self.by_zone.items()
            if not directive.is_over(now)
        }

    def returned(self) -> set[str]:
        """Return the zones whose newest directive lets them return."""
        return {zone for zone, directive in self.by_zone.items() if directive.allows_return}

    def gossiped(self, now: int) -> dict[str, KnownDirective]:
        """Return the directives that are still passed on. The others are kept while there are free places."""
        return {zone: directive for zone, directive in self.by_zone.items() if now < directive.gossip_until}

    def deadline(self) -> int | None:
        """Return when `tick` is due, or None if there is nothing to pass on."""
        return self.next_tick_at if self.gossiped(self.next_tick_at) else None

    def tick(self, now: int) -> list[Outgoing]:
        """Return the messages that are due: to all members for a new directive, else to one."""
        if now < self.next_tick_at:
            return []
        self.next_tick_at = now + GOSSIP_INTERVAL_US
        gossiped, members = self.gossiped(now), list(self.alive())
        if not gossiped or not members:
            return []
        receivers = members if self.broadcasts_remaining else [self.rng.choice(members)]
        self.broadcasts_remaining = max(0, self.broadcasts_remaining - 1)
        return [
            AddressedMessage(receiver, message)
            for message in self.messages(now, gossiped)
            for receiver in receivers
        ]

    def messages(self, now: int, gossiped: Mapping[str, KnownDirective]) -> list[ZoneMessage]:
        """Return messages with the directives given.

        Directives whose end is measured go by this process's wall clock as it stands; the others as a process
        of an earlier version sends them.
        """
        wall = max(MAX_DURATION_US, self.wall())  # ends by a clock before 1970 would be negative
        measured, unmeasured = [], []
        for zone, directive in sorted(gossiped.items()):
            if directive.allows_return:
                measured.append(ZoneDirective(zone, directive.version, 0))
            elif directive.unmeasured_end is None:
                measured.append(ZoneDirective(zone, directive.version, wall + directive.ends_at - now))
            else:
                unmeasured.append(ZoneDirective(zone, directive.version, directive.unmeasured_end))
        batches = ((measured, wall), (unmeasured, 0))
        return [
            ZoneMessage(ZoneKind.DIRECTIVES, self.name, tuple(directives), seq)
            for directives, seq in batches
            if directives
        ]

    def received(self, message: ZoneMessage) -> None:
        """Take over the directives of a message that supersede those known."""
        now = self.now()
        for entry in message.directives:
            self.record_version(now, entry.version)
            known = self.by_zone.get(entry.zone)
            directive = received_directive(entry, now, message.seq, self.wall())
            if known is None or directive.supersedes(known):
                if self.make_room(now, entry.zone):
                    self.by_zone[entry.zone] = directive
            elif directive.version < known.version:
                # Failure prevented: a member comes back from a long partition, and a directive that was
                # withdrawn holds again.
                known.gossip_until = max(known.gossip_until, now + GOSSIP_AFTER_OLDER_US)
