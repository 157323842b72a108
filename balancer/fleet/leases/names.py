"""Names of the leases that the fleet uses itself. External lease holders choose others."""

from __future__ import annotations

REPLACEMENT = "replace"  # its holder leads a rolling update
PROBE_PREFIX = "probe."  # a lease for each zone and ejected server
REMEASURE_PREFIX = "remeasure."  # a lease for each minRTT recalculation that may run at once
FREQUENT_PREFIXES = (PROBE_PREFIX, REMEASURE_PREFIX)  # they change hands too often for the log


def is_reserved(lease: str) -> bool:
    """Whether a lease is the fleet's own, so that external lease holders may not request it."""
    return lease == REPLACEMENT or lease.startswith(FREQUENT_PREFIXES)
