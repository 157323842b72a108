"""The scenario format. The defaults describe the production site, with its ranges.

A `Number` is one number or a range `[low, high]`; a `Count` is the same in integers, both ends included.
Names end in their units: `_s` seconds, `_ms` milliseconds, `_us` microseconds; shares are from 0 to 1. Bounds
are keywords of JSON Schema, so that validation and `scenario schema` have one source. Each struct has the
name of its section, each field the name of its key.
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
    """A section of a scenario file."""


class Class(Section):
    """A request class."""

    name: str
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    # Share of the requests, relative to the shares of the other classes.
    share: NonNegative = 1.0
    # Work on a core of speed 1, for one call to each tier.
    work_ms: Positive = (200.0, 350.0)
    # Coefficient of variation of the work between requests.
    work_cv: Share = 0.25
    aim_s: Positive = 2.5
    deadline_s: Positive = 6.0
    worth: NonNegative = 1.0
    late_worth: Share = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_s: NonNegative = 10.0


class Kind(Section):
    """A kind of server in a tier."""

    name: str
    # Share of the tier's servers, relative to the shares of the other kinds.
    share: Positive = 1.0
    cores: PositiveCount = 2
    # Speed of each core, relative to a core of the reference server.
    speed: Positive = 1.0
    # Coefficient of variation of the speed between servers of the kind.
    speed_cv: Share = 0.1
    slots_per_core: Positive = (26.0, 61.0)
    queue_per_core: NonNegative = (12.0, 34.0)
    # Capacity is divided by 1 + thrash x (calls in service above thrash_at, per core).
    thrash: NonNegative = (0.05, 0.14)
    # Calls in service on a server above which its capacity falls.
    thrash_at: Positive = (110.0, 170.0)
    pause_ms: NonNegative = (200.0, 450.0)
    pause_every_s: Positive = (1.5, 6.0)
    # Share of the capacity right after a start.
    cold_from: PositiveShare = (0.12, 0.36)
    # Time in which the capacity rises to its full value after a start.
    cold_s: NonNegative = (10.0, 24.0)
    connections_per_core: Positive = (600.0, 900.0)
    # Processor time of the server for a new connection.
    handshake_us: NonNegative = (890.0, 2000.0)
    # Delay of the first call on a new connection, in round trips.
    handshake_rtts: NonNegative = (1.0, 3.0)
    probe_us: NonNegative = (130.0, 260.0)
    error_rate: Share = (0.0, 0.002)
    # Whether work stops when its call is cancelled or times out.
    cancel: bool = True


class Tier(Section):
    """A tier: its servers and the number of calls that it receives from the previous tier."""

    name: str
    # Share of a class's work that one call takes.
    work: PositiveShare = 0.3
    # Number of servers, as a multiple of the scenario's `servers`.
    size: Positive = 1.0
    # Mean number of sequential calls for each call to the previous tier.
    calls: NonNegative = 1.0
    cell_size: PositiveCount = (4, 8)
    kind: list[Kind] = field(default_factory=lambda: [Kind(name="plain")])


class Load(Section):
    """The arrivals of an open-loop load, drawn in advance."""

    # Mean load as a fraction of the capacity of the bottleneck tier.
    fraction: Positive = (0.47, 0.68)
    shape: Literal["steady", "wave", "ramp"] = "wave"
    # Amplitude of the `wave` shape, relative to the mean load, and the period of the wave.
    swing: Share = (0.09, 0.18)
    wave_s: Positive = (15.0, 40.0)
    # Factor of the load during a burst.
    burst: AtLeastOne = 1.0
    # Start of the burst, as a share of the scenario's length.
    burst_at: Share = 0.5
    burst_s: NonNegative = 0.0


class Clients(Section):
    """External clients, which have their own retries."""

    retries: NonNegativeCount = (2, 3)
    # Timeout of an attempt, as a share of the deadline.
    try_share: PositiveShare = (0.42, 0.55)
    backoff_ms: NonNegative = (0.0, 1000.0)
    # Share of the clients that honour Retry-After.
    honour: Share = (0.56, 0.98)
    max_retry_after_s: NonNegative = 2.0
    # Share of the attempts from which the client disconnects, at a time drawn within the timeout.
    leave_early: Share = 0.0


class Front(Section):
    """The layer that distributes clients' requests over the nodes of their zone."""

    # Mean delay until the front detects the failure of a node.
    notice_s: NonNegative = (0.86, 3.5)
    # Delay until the front stops sending to a draining node.
    lag_ms: NonNegative = (200.0, 400.0)


class Zones(Section):
    """Availability zones; tiers and nodes are assigned to them round-robin."""

    count: PositiveCount = 1
    # Share by which the first zone's clients exceed an even distribution.
    skew: Share = 0.0
    # Number of regions; zones are assigned to regions round-robin.
    regions: PositiveCount = 1
    # Weights by zone number for the distribution of servers; 1 by default.
    servers: dict[str, Positive] = field(default_factory=dict)


class Network(Section):
    """The network: one-way delays, message loss and timeouts of connections."""

    same_ms: NonNegative = (0.09, 0.23)
    cross_ms: NonNegative = (5.6, 10.0)
    # Delay between zones of different regions; 0 means `cross_ms`.
    region_ms: NonNegative = 0.0
    client_ms: NonNegative = (0.56, 1.1)
    jitter: Share = (0.09, 0.28)
    # Share of the messages between nodes and servers that are lost, and retransmitted after `resend_ms`.
    loss: Share = 0.0
    resend_ms: NonNegative = 200.0
    connect_timeout_ms: Positive = 150.0
    idle_s: Positive = 30.0


class Discovery(Section):
    """Service discovery: the delay and the reliability of the notifications of nodes."""

    mode: Literal["push", "ask"] = "push"
    # Mean delay until a crash is detected.
    notice_s: NonNegative = (0.59, 4.7)
    # Mean delay until an unresponsive machine is removed.
    silent_notice_s: NonNegative = (6.1, 12.0)
    # Mean delay until a new process is listed.
    add_s: NonNegative = (0.21, 2.5)
    # Maximum delay until a node has received an update.
    spread_ms: NonNegative = (230.0, 530.0)
    # Poll interval, after which a faulty response is corrected.
    period_ms: Positive = (220.0, 1400.0)
    # Share of the responses that are lost.
    lost: Share = 0.0
    # Share of the responses that have an earlier list.
    stale: Share = 0.0
    # Share of the responses that have half of the update.
    partial: Share = 0.0
    # Share of the responses that cannot be decoded.
    garbled: Share = 0.0


class Nodes(Section):
    """The load-balancer nodes at the front."""

    count: PositiveCount = 2
    # Interval at which a node handles incoming events.
    tick_ms: Positive = 5.0
    boot_ms: NonNegative = (300.0, 800.0)
    start_spread_ms: NonNegative = (400.0, 1300.0)
    # Processor time for each event, on the node's share of a core.
    cpu_us: NonNegative = 0.0
    probes: bool = True
    second_copies: bool = False
    peers: bool = False
    retry_after: bool = True
    max_attempts: PositiveCount = 4


class Fault(Section):
    """An injected fault."""

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
    # Share of the servers that the fault affects, and of the front nodes for `restart` and `release`.
    part: Share = 0.15
    # Factor by which servers are slower.
    factor: AtLeastOne = 3.0
    # For `neighbour`: share of the machine that another program uses. For `zone_failing`: share of the calls
    # that fail. For `late_connections`: share of the new connections that are delayed.
    share: Annotated[Number, Meta(extra_json_schema={"minimum": 0, "maximum": 0.99})] = 0.5
    # For `late_connections`: maximum delay. If unset, it is 1500 and the key is not stored.
    late_ms: NonNegative | UnsetType = UNSET
    # For `replace`, `release` and `restart`: number of steps.
    steps: PositiveCount = 4
    zone: NonNegativeCount = 0
    # Index of the affected tier; -1 for all tiers.
    tier: Annotated[int, Meta(extra_json_schema={"minimum": -1})] = -1
    # For `restart` and `release`: whether front nodes are ended by SIGKILL instead of SIGTERM.
    kill: bool = False


class Rules(Section):
    """The thresholds of the rules."""

    answer_slack_ms: NonNegative = 70.0
    stop_sending_ms: NonNegative = 500.0
    fall_multiple: Positive = 2.5
    fall_s: Positive = 2.0


class Goal(Section):
    """The weights of the goal's terms."""

    whole: NonNegative = 0.5
    worst_window: NonNegative = 0.3
    worst_class: NonNegative = 0.2
    window_s: Positive = 10.0


class Prices(Section):
    """The deductions from the goal, each multiplied by its share or rate."""

    # Price of attempts across zones, multiplied by their number per client request.
    cross_zone: NonNegative = 0.0
    # Price of wasted server work, multiplied by its ratio to the work that contributed to responses.
    waste: NonNegative = 0.02
    # Price of health checks, multiplied by their number per client request.
    probe: NonNegative = 0.0095
    # Price of requests that failed after their latency objective, multiplied by their share of the value.
    late_fail: NonNegative = 0.045
    # Price of new connections, multiplied by their number per client request.
    handshake: NonNegative = 0.0


CORE_SPEEDS = {"fast": (1.7, 2.3), "mid": (1.0, 1.4), "slow": (0.68, 0.92)}


def server_kinds(prefix: str, shares: dict[str, float], **limits: Any) -> list[Kind]:
    """Return kinds of server that differ in speed; `shares` are by the key of `CORE_SPEEDS`."""
    return [
        Kind(name=f"{prefix}-{speed}", share=share, speed=CORE_SPEEDS[speed], **limits)
        for speed, share in shares.items()
    ]


def default_tiers() -> list[Tier]:
    """Return the three tiers of the production site."""
    shares = {"fast": 0.33, "mid": 0.36, "slow": 0.31}
    return [
        Tier(name="tile-front", work=0.28, kind=server_kinds("front", shares)),
        Tier(
            name="tile-render",
            work=0.31,
            size=(1.7, 2.0),
            calls=(1.0, 2.0),
            kind=server_kinds("render", shares, slots_per_core=(13.0, 30.0), thrash_at=(52.0, 82.0)),
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
    """Return the two request classes of the production site."""
    return [
        Class(name="tile-get", share=0.8),
        Class(name="alert-set", share=0.2, effect="keyed", group="cell", worth=8.0, work_ms=(280.0, 500.0)),
    ]


class Scenario(Section):
    """A scenario file."""

    title: str = ""
    seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1
    length_s: Positive = (45.0, 60.0)
    # Number of servers of the first tier.
    servers: PositiveCount = (8, 10)
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
