"""The protocol's parameters."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Timing:
    """Parameters of the protocol. Times are integer microseconds.

    "log(n)" is the binary logarithm of the group's size, rounded up.

    Attributes:
        period: Between two probes.
        ack_timeout: Until an unacknowledged ping is repeated, also through other members.
        retries: Pings of a probe beside the first; `retries * ack_timeout` must be less than `period`.
        indirect_probes: Members that are asked to ping a target.
        suspect_factor: Maximum duration of a suspicion, in periods times log(n).
        suspect_min_share: Share of that duration that remains once the suspicion is fully confirmed...
        suspect_min_periods: ...but at least this many periods, so that a small group tolerates short pauses.
        confirmations: Members beside the first accuser that confirm a suspicion fully.
        spread_factor: Number of transmissions of an update, in multiples of log(n).
        claims_per_message: Maximum number of claims on a ping or ack, if its datagram holds as many.
        sync_interval: Maximum time between two comparisons of views.
        sync_ack_pages: Maximum number of pages that answer a SYNC at once.
        page_attempts: Requests for one page before the transfer is abandoned.
        pages_per_second: Long-term limit on the pages that an instance sends.
        page_burst: Limit on the pages that it sends at once.
        forget_after: How long a dead member is remembered, so that no old claim revives it.
    """

    period: int = 1_000_000
    ack_timeout: int = 300_000
    retries: int = 2
    indirect_probes: int = 3
    suspect_factor: float = 4.0
    suspect_min_share: float = 0.25
    suspect_min_periods: int = 6
    confirmations: int = 3
    spread_factor: float = 4.0
    claims_per_message: int = 24
    sync_interval: int = 15_000_000
    sync_ack_pages: int = 4
    page_attempts: int = 4
    pages_per_second: int = 50
    page_burst: int = 50
    forget_after: int = 60_000_000
