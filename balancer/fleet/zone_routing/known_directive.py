"""An operator's directive on a zone as stored by one process, and the order of two directives.

A directive evacuates a zone until its end, so that no calls are sent to it, or allows the zone to return. The
end is stored by this process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from balancer.fleet.zone_routing.messages import ZoneDirective

MAX_DURATION_US = 86_400_000_000
# Time for which a directive is gossiped after its end, so that it supersedes older directives.
GOSSIP_AFTER_END_US = 3_600_000_000


@dataclass
class KnownDirective:
    """The newest directive on a zone that this process has issued or received.

    Attributes:
        version: Version of the directive; the highest version on a zone applies.
        allows_return: Whether the zone may return; otherwise no calls are sent to it until `ends_at`.
        ends_at: End by the monotonic clock in microseconds; for a directive that allows the return, the time
            at which it was issued.
        gossip_until: Time by the monotonic clock at which this process stops gossiping the directive.
        unconverted_end: End in microseconds of Unix time if the directive was received without its sender's
            wall clock; this end is then forwarded unchanged. Otherwise None.
    """

    version: int
    allows_return: bool
    ends_at: int
    gossip_until: int
    unconverted_end: int | None = None

    def supersedes(self, other: KnownDirective) -> bool:
        """Return whether this directive is newer, or the same one with a more accurate end."""
        if self.version != other.version:
            return self.version > other.version
        if self.allows_return or other.allows_return:
            # Of two directives issued in the same microsecond, all members choose the evacuation.
            return other.allows_return and not self.allows_return
        if self.unconverted_end is not None:
            return False
        # Each receiver computes a directive's end too late by the transmission time, so the earlier of two
        # ends is more accurate.
        return other.unconverted_end is not None or self.ends_at < other.ends_at

    def has_ended(self, now: int) -> bool:
        """Return whether the directive evacuates its zone no longer: it has ended or allows the return."""
        return self.allows_return or self.ends_at <= now


def create_directive(version: int, duration: int, now: int) -> KnownDirective:
    """Create a directive that an operator issues at this process.

    Args:
        version: Version of the directive.
        duration: Microseconds for which no calls are sent to the zone; 0 allows the zone to return.
        now: The monotonic clock.
    """
    ends_at = now + min(duration, MAX_DURATION_US)
    return KnownDirective(version, not duration, ends_at, ends_at + GOSSIP_AFTER_END_US)


def convert_directive(
    directive: ZoneDirective, now: int, sender_wall_clock: int, own_wall_clock: int
) -> KnownDirective:
    """Convert a received directive to this process's monotonic clock.

    Args:
        directive: The directive as received.
        now: The monotonic clock.
        sender_wall_clock: The sender's wall clock at the time of sending. Processes of earlier versions send
            0; their wall clock is assumed to agree with that of this process.
        own_wall_clock: This process's wall clock.
    """
    wall_clock = sender_wall_clock or own_wall_clock
    if not directive.until:
        # A directive that allows the return has no end. Its version is the Unix time at which it was issued.
        ends_at = now - min(max(0, wall_clock - directive.version), GOSSIP_AFTER_END_US)
        return KnownDirective(directive.version, True, ends_at, ends_at + GOSSIP_AFTER_END_US)
    ends_at = now + min(directive.until - wall_clock, MAX_DURATION_US)
    unconverted_end = None if sender_wall_clock else directive.until
    return KnownDirective(directive.version, False, ends_at, ends_at + GOSSIP_AFTER_END_US, unconverted_end)
