"""Names of the leases that the fleet itself uses, which are reserved from external lease holders."""

from __future__ import annotations

ROLLING_UPDATE_LEASE = "replace"  # The holder of this lease leads the rolling update.
PROBE_LEASE_PREFIX = "probe."  # There is one lease for each ejected server of a zone.
MIN_RTT_LEASE_PREFIX = "remeasure."  # There is one lease for each slot of minRTT recalculations.
# Leases that change holders so often that the log leaves them out.
FREQUENT_LEASE_PREFIXES = (PROBE_LEASE_PREFIX, MIN_RTT_LEASE_PREFIX)


def is_reserved(lease: str) -> bool:
    """Return whether the fleet itself uses a lease, so that external lease holders may not request it."""
    return lease == ROLLING_UPDATE_LEASE or lease.startswith(FREQUENT_LEASE_PREFIXES)
