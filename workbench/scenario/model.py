"""The scenario format. The defaults are the site in service today, with its ranges.

A `Number` is one number or a range `[low, high]`; a `Count` the same in integers, both ends included. Names
hold the units: `_s` seconds, `_ms` milliseconds, `_us` microseconds; shares are from 0 to 1. Bounds are
keywords of JSON Schema, so that validation and `scenario schema` have one source. Each struct has the name
of its section, each field that of its key.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType, field

Number = float | tuple[float, float]
Count = int | tuple[int, int]
Positive = Annotated[Number, Meta(extra_json_schema={"exclusiveMinimum": 0})]
NonNegative = Annotated[Number, Meta(extra_json_schema={"minimum": 0})]
AtLeastOne = Annotated[Number, Meta(extra_json_schema={"minimum": 1})]
Share = Annotated[Number, Meta(extra_json_schema={"minimum": 0, "maximum": 1})]
PositiveShare = Annotated[Number, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 1})]
PositiveCount = Annotated[Count, Meta(extra_json_schema={"minimum": 1})]
NonNegativeCount = Annotated[Count, Meta(extra_json_schema={"minimum": 0})]


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A section of the file."""


class Class(Section):
    """A request class."""

    name: str
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    share: NonNegative = 1.0  # of the requests, against the other classes' shares
    work_ms: Positive = (200.0, 350.0)  # on a core of speed 1, a call to each tier
    work_cv: Share = 0.25  # spread of the work between requests
    aim_s: Positive = 2.5
    deadline_s: Positive = 6.0
    worth: NonNegative = 1.0
    late_worth: Share = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegative = 10.0


class Kind(Section):
    """A kind of server in a tier."""

    name: str
    share: Positive = 1.0  # of the tier's servers, against the other kinds' shares
    cores: PositiveCount = 2
    speed: Positive = 1.0  # of each core, relative to the reference server's
    speed_cv: Share = 0.1  # spread of the speed between servers of the kind
    slots_per_core: Positive = (26.0, 61.0)
    queue_per_core: NonNegative = (12.0, 34.0)
    # Capacity is divided by 1 + thrash x (calls in service beyond thrash_at, for each core).
    thrash: NonNegative = (0.05, 0.14)
    thrash_at: Positive = (110.0, 170.0)  # calls in service on a server
    pause_ms: NonNegative = (200.0, 450.0)
    pause_every_s: Positive = (1.5, 6.0)
    cold_from: PositiveShare = (0.12, 0.36)
    cold_s: NonNegative = (10.0, 24.0)
    connections_per_core: Positive = (600.0, 900.0)
    handshake_us: NonNegative = (890.0, 2000.0)  # processor time of the server for a new connection
    handshake_rtts: NonNegative = (1.0, 3.0)  # delay of the first call on it, in round trips
    probe_us: NonNegative = (130.0, 260.0)
    error_rate: Share = (0.0, 0.002)
    cancel: bool = True  # work stops when its call is cancelled or times out


class Tier(Section):
    """A tier: its servers, and how often the tier above calls it."""

    name: str
    work: PositiveShare = 0.3  # share of a class's work for each call
    size: Positive = 1.0  # servers, as a multiple of the first tier's
    calls: NonNegative = 1.0  # mean sequential calls for each call of the tier above
    cell_size: PositiveCount = (4, 8)
    kind: list[Kind] = field(default_factory=lambda: [Kind(name="plain")])


class Load(Section):
    """Arrivals of an open-loop load, drawn in advance."""

    fraction: Positive = (0.47, 0.68)  # of the capacity of the bottleneck tier
    shape: Literal["steady", "wave", "ramp"] = "wave"
    swing: Share = (0.09, 0.18)
    wave_s: Positive = (15.0, 40.0)
    burst: AtLeastOne = 1.0  # factor of the load during a burst
    burst_at: Share = 0.5  # of the scenario's length
    burst_s: NonNegative = 0.0


class Clients(Section):
    """External clients, which retry by themselves."""

    retries: NonNegativeCount = (2, 3)
    try_share: PositiveShare = (0.42, 0.55)  # timeout of an attempt, as a share of the deadline
    backoff_ms: NonNegative = (0.0, 1000.0)
    honour: Share = (0.56, 0.98)  # share of the clients that honour Retry-After
    max_retry_after_s: NonNegative = 2.0
    leave_early: Share = 0.0  # of the attempts that the client abandons, at a time drawn within their timeout


class Front(Section):
    """The layer that distributes clients' requests over the nodes of their zone."""

    notice_s: NonNegative = (0.86, 3.5)  # until it detects the failure of a node
    lag_ms: NonNegative = (200.0, 400.0)  # until it stops sending to a node that is draining


class Zones(Section):
    """Availability zones; tiers and nodes are assigned to them round-robin."""

    count: PositiveCount = 1
    skew: Share = 0.0  # share by which the first zone's clients exceed an even distribution
    regions: PositiveCount = 1  # zones are assigned to them round-robin
    servers: dict[str, Positive] = field(default_factory=dict)  # weights by zone number; 1 by default


class Network(Section):
    """One-way delays."""

    same_ms: NonNegative = (0.09, 0.23)
    cross_ms: NonNegative = (5.6, 10.0)
    region_ms: NonNegative = 0.0  # between zones of two regions; 0: as between any two zones
    client_ms: NonNegative = (0.56, 1.1)
    jitter: Share = (0.09, 0.28)
    loss: Share = 0.0  # of the messages between nodes and servers; retransmitted after `resend_ms`
    resend_ms: NonNegative = 200.0
    connect_timeout_ms: Positive = 150.0
    idle_s: Positive = 30.0


class Discovery(Section):
    """Service discovery: how late and how reliably nodes learn of servers."""

    mode: Literal["push", "ask"] = "push"
    notice_s: NonNegative = (0.59, 4.7)  # until a crash is detected
    silent_notice_s: NonNegative = (6.1, 12.0)  # until an unresponsive machine is removed
    add_s: NonNegative = (0.21, 2.5)  # until a new process is listed
    spread_ms: NonNegative = (230.0, 530.0)  # until the last node has received an update
    period_ms: Positive = (220.0, 1400.0)  # poll interval; a failed response is corrected after it
    lost: Share = 0.0  # of the responses that are lost
    stale: Share = 0.0  # of the responses that have the previous list
    partial: Share = 0.0  # of the responses that have half of the update
    garbled: Share = 0.0  # of the responses that cannot be decoded


class Nodes(Section):
    """The load-balancer nodes at the front."""

    count: PositiveCount = 2
    tick_ms: Positive = 5.0  # interval at which a node handles incoming events
    boot_ms: NonNegative = (300.0, 800.0)
    start_spread_ms: NonNegative = (400.0, 1300.0)
    cpu_us: NonNegative = 0.0  # processor time for each event, on the node's share of a core
    probes: bool = True
    second_copies: bool = False
    peers: bool = False
    retry_after: bool = True
    max_attempts: PositiveCount = 4


class Fault(Section):
    """A fault that is injected."""

    type: Literal[
        "slow",
        "neighbour",
        "shared_slow",
        "crash",
        "silent",
        "cut",
        "replace",
        "zone_lost",
        "zone_slow",
        "zone_failing",
        "release",
        "restart",
        "discovery_silent",
        "late_connections",
    ]
    at_s: NonNegative = 10.0
    for_s: NonNegative = 10.0
    part: Share = 0.15  # of the servers, or of the front nodes for `restart` and `release`
    factor: AtLeastOne = 3.0  # times slower
    share: Annotated[Number, Meta(extra_json_schema={"minimum": 0, "maximum": 0.99})] = (
        0.5  # taken by a neighbour; of the calls, for `zone_failing`; of the dials, for `late_connections`
    )
    # For `late_connections`: at most; 1500 if unset, and then not stored.
    late_ms: NonNegative | UnsetType = UNSET
    steps: PositiveCount = 4  # for `replace`, `release` and `restart`
    zone: NonNegativeCount = 0
    tier: Annotated[int, Meta(extra_json_schema={"minimum": -1})] = -1  # -1: all tiers
    kill: bool = False  # SIGKILL in place of SIGTERM


class Rules(Section):
    """Thresholds of the four rules."""

    answer_slack_ms: NonNegative = 70.0
    stop_sending_ms: NonNegative = 500.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 2.0


class Goal(Section):
    """Weights of the goal's terms."""

    whole: NonNegative = 0.5
    worst_window: NonNegative = 0.3
    worst_class: NonNegative = 0.2
    window_s: Positive = 10.0


class Prices(Section):
    """Deductions from the goal, each multiplied by its share or rate."""

    cross_zone: NonNegative = 0.0  # for attempts across zones, relative to clients' first attempts
    waste: NonNegative = 0.02  # server work that served no response, of the work requested
    probe: NonNegative = 0.0095  # for health checks, relative to clients' first attempts
    late_fail: NonNegative = 0.045  # value that was lost only after its latency objective had passed
    handshake: NonNegative = 0.0  # for new connections, relative to clients' first attempts


CORE_SPEEDS = {"fast": (1.7, 2.3), "mid": (1.0, 1.4), "slow": (0.68, 0.92)}


def server_kinds(prefix: str, shares: dict[str, float], **limits: Any) -> list[Kind]:
    """Returns kinds of server that differ in speed, by their shares of the tier's servers."""
    return [
        Kind(name=f"{prefix}-{speed}", share=share, speed=CORE_SPEEDS[speed], **limits)
        for speed, share in shares.items()
    ]


def default_tiers() -> list[Tier]:
    """Returns the three tiers in service today."""
    three = {"fast": 0.33, "mid": 0.36, "slow": 0.31}
    return [
        Tier(name="tile-front", work=0.28, kind=server_kinds("front", three)),
        Tier(
            name="tile-render",
            work=0.31,
            size=(1.7, 2.0),
            calls=(1.0, 2.0),
            kind=server_kinds("render", three, slots_per_core=(13.0, 30.0), thrash_at=(52.0, 82.0)),
        ),
        Tier(
            name="radar-store",
            work=0.41,
            size=(4.7, 5.7),
            calls=(1.5, 2.5),
            kind=server_kinds(
                "store", {"fast": 0.48, "mid": 0.52}, slots_per_core=(8.0, 24.0), thrash_at=(8.3, 13.0)
            ),
        ),
    ]


def default_classes() -> list[Class]:
    """Returns the two request classes in service today."""
    return [
        Class(name="tile-get", share=0.8),
        Class(name="alert-set", share=0.2, effect="keyed", group="cell", worth=8.0, work_ms=(280.0, 500.0)),
    ]


class Scenario(Section):
    """A scenario file."""

    title: str = ""
    seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1
    length_s: Positive = (45.0, 60.0)
    servers: PositiveCount = (8, 10)  # of the first tier
    nodes: Nodes = field(default_factory=Nodes)
    load: Load = field(default_factory=Load)
    clients: Clients = field(default_factory=Clients)
    front: Front = field(default_factory=Front)
    zones: Zones = field(default_factory=Zones)
    network: Network = field(default_factory=Network)
    discovery: Discovery = field(default_factory=Discovery)
    rules: Rules = field(default_factory=Rules)
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)
    request_classes: list[Class] = field(default_factory=default_classes, name="class")
    tier: list[Tier] = field(default_factory=default_tiers)
    fault: list[Fault] = field(default_factory=list)
