"""A directive on a zone by this process's monotonic clock, and which of two directives holds."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.fleet.zone_routing.messages import ZoneDirective

MAX_DURATION_US = 86_400_000_000
GOSSIP_AFTER_END_US = 3_600_000_000  # passed on for so long after its end, to supersede older directives


@dataclass
class KnownDirective:
    """The newest directive on a zone, as this process knows it.

    Attributes:
        version: The directive with the highest version on a zone holds.
        allows_return: The zone may return; otherwise no calls go there until `ends_at`.
        ends_at: In microseconds of the monotonic clock. If the zone may return: when the directive was given.
        gossip_until: When this process stops passing it on, by the monotonic clock.
        unmeasured_end: The end in microseconds of Unix time, if it is by a wall clock that is not known. It
            is passed on as received.
    """

    version: int
    allows_return: bool
    ends_at: int
    gossip_until: int
    unmeasured_end: int | None = None

    def supersedes(self, other: KnownDirective) -> bool:
        """Return whether this one replaces the other: it is newer, or a better measure of the same one."""
        if self.version != other.version:
            return self.version > other.version
        if self.allows_return or other.allows_return:
            # Two operators in one microsecond: all members choose the same one.
            return other.allows_return and not self.allows_return
        if self.unmeasured_end is not None:
            return False
        # The earlier end spent less time on its way here.
        return other.unmeasured_end is not None or self.ends_at < other.ends_at

    def is_over(self, now: int) -> bool:
        """Return whether the directive no longer keeps calls from the zone."""
        return self.allows_return or self.ends_at <= now


def issued_directive(version: int, duration: int, now: int) -> KnownDirective:
    """Return a directive that an operator gives at this process.

    Args:
        version: Its version.
        duration: Microseconds for which no calls go to the zone; 0 if it may return.
        now: The monotonic clock.
    """
    ends_at = now + min(duration, MAX_DURATION_US)
    return KnownDirective(version, not duration, ends_at, ends_at + GOSSIP_AFTER_END_US)


def received_directive(directive: ZoneDirective, now: int, sender_wall: int, own_wall: int) -> KnownDirective:
    """Return a received directive by this process's monotonic clock.

    Args:
        directive: As it came.
        now: The monotonic clock.
        sender_wall: The sender's wall clock when it sent the directive. Processes of earlier versions send
            0; their wall clock is assumed to agree with this process's.
        own_wall: This process's wall clock.
    """
    wall = sender_wall or own_wall
    if not directive.until:
        # It has no end: its age follows from its version, which is the time at which it was given.
        ends_at = now - min(max(0, wall - directive.version), GOSSIP_AFTER_END_US)
        return KnownDirective(directive.version, True, ends_at, ends_at + GOSSIP_AFTER_END_US)
    ends_at = now + min(directive.until - wall, MAX_DURATION_US)
    unmeasured_end = None if sender_wall else directive.until
    return KnownDirective(directive.version, False, ends_at, ends_at + GOSSIP_AFTER_END_US, unmeasured_end)
