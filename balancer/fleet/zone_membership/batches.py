"""The split of zones' summaries into batches, each of which fits into one datagram."""

from __future__ import annotations

from collections.abc import Iterable

from balancer.fleet.zone_membership.summaries import Summary

# Sum of `estimate_size_bytes` over the summaries in one datagram.
MAX_BATCH_BYTES = 1000
# Encoded size of a summary's numbers and length prefixes.
SUMMARY_OVERHEAD_BYTES = 48
GATEWAY_OVERHEAD_BYTES = 8
FACT_OVERHEAD_BYTES = 4


def estimate_size_bytes(summary: Summary) -> int:
    """Return an upper estimate of a summary's encoded size in bytes."""
    state = summary.state
    size = SUMMARY_OVERHEAD_BYTES + len(state.zone) + len(state.region) + len(summary.version.origin)
    size += sum(GATEWAY_OVERHEAD_BYTES + len(g.name) + len(g.address[0]) for g in state.gateways)
    facts = sum(FACT_OVERHEAD_BYTES + len(key.encode()) + len(value.encode()) for key, value in state.facts)
    return size + facts


def split_into_batches(summaries: Iterable[Summary]) -> list[tuple[Summary, ...]]:
    """Split summaries, in their order, into batches that each fit into one datagram."""
    result: list[list[Summary]] = []
    remaining_bytes = 0
    for summary in summaries:
        size = estimate_size_bytes(summary)
        if size > remaining_bytes:
            result.append([])
            remaining_bytes = MAX_BATCH_BYTES
        result[-1].append(summary)
        remaining_bytes -= size
    return [tuple(batch) for batch in result]
