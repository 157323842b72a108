"""Names of the duties that the fleet uses itself. Scripts choose others."""

from __future__ import annotations

REPLACEMENT = "replace"  # leads a rolling replacement
PROBE_PREFIX = "probe."  # a duty for each zone and ejected server
REMEASURE_PREFIX = "remeasure."  # a duty for each minRTT pass that may go on at once
FREQUENT_PREFIXES = (PROBE_PREFIX, REMEASURE_PREFIX)  # they change hands too often for the log


def is_reserved(duty: str) -> bool:
    """Whether scripts may not ask for it."""
    return duty == REPLACEMENT or duty.startswith(FREQUENT_PREFIXES)
