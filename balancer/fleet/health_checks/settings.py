"""Durations and limits of shared health checks."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_TAKEOVER_US = 2_000_000  # Time for another node to acquire an expired lease.


@dataclass(frozen=True)
class HealthCheckSettings:
    """Settings of shared health checks; times in microseconds.

    Attributes:
        lease: Duration of each server's lease; the longest that voters grant, since replacing a failed
            holder is not urgent.
        holder_timeout: Time for which a node waits for a lease holder, or for its announcements, before it
            probes the server independently.
        announcement_slack: Time for which an announcement remains valid after the announced probe is due.
        idle_timeout: Time by which the probe of a lease holder has to be overdue for the holder to release
            the lease, because it has no requests to probe with.
        idle_pause: Time for which a node that has released a lease because of `idle_timeout` does not acquire
            it again.
        readmission_spread: Period over which the nodes of a zone readmit a recovered server, so that they do
            not all send requests to it at once.
        success_announcements: Number of times that a recovery is announced, since datagrams may be lost.
        success_interval: Interval between announcements of a recovery.
        max_remembered_servers: Maximum number of servers whose last announcement is remembered.
    """

    lease: int = 10_000_000
    holder_timeout: int = 12_000_000
    announcement_slack: int = 6_000_000
    idle_timeout: int = 5_000_000
    idle_pause: int = 10_000_000
    readmission_spread: int = 1_000_000
    success_announcements: int = 3
    success_interval: int = 300_000
    max_remembered_servers: int = 1024


def health_check_settings(longest_lease: int) -> HealthCheckSettings:
    """Return settings for the fleet's longest lease, in microseconds.

    The holder timeout exceeds the time in which another node replaces a failed lease holder.
    """
    return HealthCheckSettings(lease=longest_lease, holder_timeout=longest_lease + LEASE_TAKEOVER_US)
