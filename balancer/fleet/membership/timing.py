"""The parameters of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Timing:
    """Parameters of the membership protocol; times are integer microseconds.

    "log(n)" stands for the binary logarithm of the group's size, rounded up.

    Attributes:
        period: Time between two probes.
        ack_timeout: Time after which an unacknowledged ping is repeated, also through other members.
        retries: Maximum number of times that the ping of a probe is repeated; `retries * ack_timeout` must be
            less than `period`.
        indirect_probes: Number of members that are asked to ping a target.
        suspect_factor: Maximum duration of a suspicion, as a multiple of log(n) periods.
        suspect_min_share: Duration of a fully confirmed suspicion, as a share of the maximum duration.
        suspect_min_periods: Minimum duration of a suspicion in periods, which takes precedence over
            `suspect_min_share` so that a small group tolerates short pauses.
        confirmations: Number of members, in addition to the first accuser, that fully confirm a suspicion.
        spread_factor: Number of transmissions of an update, as a multiple of log(n).
        claims_per_message: Maximum number of claims on a ping or ack, if they fit into its datagram.
        sync_interval: Maximum time between two comparisons of views.
        sync_ack_pages: Maximum number of pages, datagrams of claims, that answer a SYNC at once.
        page_attempts: Number of requests for one page before the transfer is abandoned.
        pages_per_second: Maximum long-term rate at which an instance sends pages.
        page_burst: Maximum number of pages that an instance sends at once.
        forget_after: Time for which a dead member is remembered, so that no old claim revives it.
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
