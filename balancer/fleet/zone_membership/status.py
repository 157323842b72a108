"""The entries of the other zones on the status page `GET /fleet`."""

from __future__ import annotations

from typing import Any

from balancer.fleet.zone_membership.records import Freshness, Record

MICROSECONDS_PER_SECOND = 1e6


def record_status(record: Record, now: int) -> dict[str, Any]:
    """Return a zone's summary as JSON values, with its age in seconds."""
    return {
        "region": record.state.region,
        "size": record.state.size,
        "age_s": round(record.age(now) / MICROSECONDS_PER_SECOND, 3),
        "state": record.freshness.name.lower(),
        "stale": record.freshness != Freshness.FRESH,
        "gateways": [gateway.name for gateway in record.state.gateways],
        "origin": record.version.origin,
        "facts": dict(record.state.facts),
    }
