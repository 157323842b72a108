"""Time spans and limits of shared health checks."""

from __future__ import annotations

from dataclasses import dataclass

LEADER_CHANGE_US = 2_000_000  # to find the next holder of a lease that has expired


@dataclass(frozen=True)
class HealthCheckSettings:
    """Times in microseconds.

    Attributes:
        lease: Length of each server's lease: the longest that voters grant, since the next holder is not
            urgent.
        patience: How long a node waits for a lease holder, or for its announcements, before it probes by
            itself.
        announcement_slack: An announcement is valid until the next probe is due, and this much longer.
        idle_timeout: A lease holder whose probe is overdue by this much has no requests to probe with, and
            releases the lease.
        idle_pause: After that it does not acquire the lease for this long.
        readmission_spread: Time in which the nodes of a zone readmit a server, not all at once.
        success_announcements: How often a recovered server is announced, since a datagram may be lost.
        success_interval: Time between these announcements.
        max_remembered_servers: Servers whose last announcement is remembered.
    """

    lease: int = 10_000_000
    patience: int = 12_000_000
    announcement_slack: int = 6_000_000
    idle_timeout: int = 5_000_000
    idle_pause: int = 10_000_000
    readmission_spread: int = 1_000_000
    success_announcements: int = 3
    success_interval: int = 300_000
    max_remembered_servers: int = 1024


def settings_for(longest_lease: int) -> HealthCheckSettings:
    """Settings with the longest lease of the fleet, and a patience that outlasts a lease holder's failure."""
    return HealthCheckSettings(lease=longest_lease, patience=longest_lease + LEADER_CHANGE_US)
