"""Thresholds and times of zone routing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

SECOND_US = 1_000_000


@dataclass(frozen=True)
class ZoneSettings:
    """Settings of one node's `ZoneRouter`; times are in microseconds.

    Operators set `room` and `costs` only (`docs/zone-routing.md`); the rest are fixed.

    Attributes:
        overprovisioning_factor: A zone can serve this many times its even share of the load. The key `room`.
        costs: Cost of a call from this node's zone to another; 1 for zones that are not named.
        evaluation_interval: Time between two evaluations of all zones.
        window: Time over which outcomes of calls are counted.
        min_calls: Calls to a zone in a window below which its failure rate shows nothing.
        consecutive_failures: Calls to a zone that fail in a row until it counts as unreachable.
        failure_rate_threshold: Share of a server's calls that fail from which the server counts as bad.
        latency_slack: Times its usual latency up to which a zone's pace does not fall.
        pace_recovery: Part of the missing pace that a zone without calls regains at each evaluation.
        slow_factor: Times the zone's usual latency above which a server counts as bad.
        bad_servers_threshold: Share of a zone's judged servers that are bad from which the zone is bad.
        better_factor: Another zone is better if its share of bad servers is at most this part of the zone's.
        evacuation_time: How long an evacuated zone gets no calls the first time.
        max_evacuation_time: Upper bound of that time.
        evacuation_backoff: Factor by which that time grows if the zone turns bad again.
        relapse_window: Time after a recovery within which the zone counts as having turned bad again.
        return_stagger: Time over which the nodes of a fleet spread their return to a zone.
        initial_weight: Weight of a zone when its recovery begins, and of remote zones in isolation.
        recovery_step: Time after which a recovering zone's weight doubles.
        baseline_time: Time constant by which a zone's usual latency is smoothed.
    """

    overprovisioning_factor: float = 1.4
    costs: Mapping[str, float] = field(default_factory=dict)
    evaluation_interval: int = SECOND_US // 2
    window: int = 2 * SECOND_US
    min_calls: int = 10
    consecutive_failures: int = 6
    failure_rate_threshold: float = 0.2
    latency_slack: float = 1.5
    pace_recovery: float = 0.1
    slow_factor: float = 4.0
    bad_servers_threshold: float = 0.5
    better_factor: float = 0.5
    evacuation_time: int = 10 * SECOND_US
    max_evacuation_time: int = 160 * SECOND_US
    evacuation_backoff: int = 4
    relapse_window: int = 60 * SECOND_US
    return_stagger: int = 8 * SECOND_US
    initial_weight: float = 0.02
    recovery_step: int = 2 * SECOND_US
    baseline_time: int = 60 * SECOND_US
