"""The split of many summaries into messages that each fit into a datagram."""

from __future__ import annotations

from collections.abc import Iterable

from balancer.fleet.zone_membership.summaries import Summary

MAX_BATCH_BYTES = 1000  # of the summaries in one datagram, by `estimated_bytes`
SUMMARY_OVERHEAD_BYTES = 48  # of a summary's numbers and lengths
GATEWAY_OVERHEAD_BYTES = 8
FACT_OVERHEAD_BYTES = 4


def estimated_bytes(summary: Summary) -> int:
    """Returns an upper estimate of a summary's bytes in a datagram."""
    state = summary.state
    size = SUMMARY_OVERHEAD_BYTES + len(state.zone) + len(state.region) + len(summary.version.origin)
    size += sum(GATEWAY_OVERHEAD_BYTES + len(g.name) + len(g.address[0]) for g in state.gateways)
    facts = sum(FACT_OVERHEAD_BYTES + len(key.encode()) + len(value.encode()) for key, value in state.facts)
    return size + facts


def batches(summaries: Iterable[Summary]) -> list[tuple[Summary, ...]]:
    """Splits summaries, in their order, into batches of one datagram each."""
    found: list[list[Summary]] = []
    remaining_bytes = 0
    for summary in summaries:
        size = estimated_bytes(summary)
        if size > remaining_bytes:
            found.append([])
            remaining_bytes = MAX_BATCH_BYTES
        found[-1].append(summary)
        remaining_bytes -= size
    return [tuple(batch) for batch in found]
