"""Names of the leases that the fleet itself uses, which are reserved from external lease holders."""

from __future__ import annotations

ROLLING_UPDATE_LEASE = "replace"  # The holder of this lease leads the rolling update.
PROBE_LEASE_PREFIX = "probe."  # Each ejected server of a zone has a lease of its own.
# Each slot has a lease of its own; the slots limit how many nodes of a tier recalculate their minRTT, the
# round trip time that is measured at the minimum limit, at the same time.
MIN_RTT_LEASE_PREFIX = "remeasure."
# Prefixes of leases that change holders so often that the log leaves them out.
FREQUENT_LEASE_PREFIXES = (PROBE_LEASE_PREFIX, MIN_RTT_LEASE_PREFIX)


def is_reserved(lease: str) -> bool:
    """Return whether the fleet itself uses a lease, so that external lease holders may not request it."""
    return lease == ROLLING_UPDATE_LEASE or lease.startswith(FREQUENT_LEASE_PREFIXES)
