"""Settings of zone routing, which decides what share of a node's calls each zone gets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

SECOND_US = 1_000_000


@dataclass(frozen=True)
class ZoneSettings:
    """Settings of one node's `ZoneRouter`; times are in microseconds.

    Only the keys `room` and `costs` are configurable (see `docs/zone-routing.md`).

    Attributes:
        overprovisioning_factor: Load that a zone can serve, as a multiple of its even share, the load divided
            by the number of zones; the key `room`.
        costs: Cost of a call from this node's zone to another one; 1 for zones that are not listed.
        evaluation_interval: Time between two evaluations of all zones.
        window: Length of a window, the period over which outcomes of calls are counted.
        min_calls: Minimum number of calls to a zone in a window for its failure rate to be conclusive.
        consecutive_failures: Number of consecutive failed calls after which a zone counts as unreachable.
        failure_rate_threshold: Failure rate from which a server counts as bad.
        latency_slack: Multiple of a zone's baseline latency, its usual latency while healthy, up to which the
            zone's performance is not reduced.
        performance_recovery: Part of its lost performance that a zone with too few calls regains at each
            evaluation.
        slow_factor: Multiple of the zone's baseline latency above which a server counts as bad.
        bad_servers_threshold: Share of bad servers among the assessed ones from which a zone is bad.
        better_factor: Another zone counts as better than a bad zone if its share of bad servers is at most
            this part of the bad zone's share.
        evacuation_time: Duration of the first evacuation of a zone.
        max_evacuation_time: Upper bound of the duration of an evacuation.
        evacuation_backoff: Factor by which the duration of an evacuation grows if the zone turns bad again
            soon.
        relapse_window: Time after a recovery within which a new failure counts as a relapse.
        return_stagger: Time over which the nodes of a fleet spread their return to a zone.
        initial_weight: Weight of a zone, the part of its strength that is used, when its recovery begins. It
            also limits the weight of remote zones while this node is isolated, as all of them look bad.
        recovery_step: Time after which a recovering zone's weight doubles.
        baseline_time: Time constant of the smoothing of a zone's baseline latency.
    """

    overprovisioning_factor: float = 1.4
    costs: Mapping[str, float] = field(default_factory=dict)
    evaluation_interval: int = SECOND_US // 2
    window: int = 2 * SECOND_US
    min_calls: int = 10
    consecutive_failures: int = 6
    failure_rate_threshold: float = 0.2
    latency_slack: float = 1.5
    performance_recovery: float = 0.1
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
