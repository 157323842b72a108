"""The protocol's settings."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Timing:
    """Figures of the protocol. Times are integer microseconds."""

    period: int = 1_000_000
    ack_timeout: int = 300_000  # of the period; then the target is pinged again, and others are asked to
    retries: int = 2  # pings beside the first; so many times `ack_timeout` must be less than the period
    indirect_probes: int = 3  # members asked to ping for us
    suspect_factor: float = 4.0  # periods of suspicion at most, times the logarithm of the group's size
    suspect_min_share: float = 0.25  # share of that which remains once enough members have confirmed it
    suspect_min_periods: int = (
        6  # but no less than so many, lest a small group take a short stall for a death
    )
    confirmations: int = 3  # that many, beside the first
    spread_factor: float = 4.0  # times that news rides along, times that logarithm
    claims_per_message: int = 24  # at most; as many as go into a datagram
    sync_interval: int = 15_000_000  # in calm
    sync_ack_pages: int = 4  # that answer a SYNC at once
    page_attempts: int = 4  # requests for one page before it is given up
    pages_per_second: int = 50  # that an instance sends others, on the long run
    page_burst: int = 50  # and at once
    forget_after: int = 60_000_000  # a dead member is kept so long, lest an old claim revive it
