"""The configuration format. What a file leaves out is the site in service today, ranges and all.

A `Number` is one figure or a range `[low, high]`; a `Count` the same in whole numbers, both ends included.
Units stand in the names: `_s` seconds, `_ms` milliseconds, `_us` microseconds, shares from 0 to 1. The
bounds are JSON Schema's words, so that the check and `scenario schema` read one source.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import UNSET, Meta, Struct, UnsetType, field

Number = float | tuple[float, float]
Count = int | tuple[int, int]
Over0 = Annotated[Number, Meta(extra_json_schema={"exclusiveMinimum": 0})]
From0 = Annotated[Number, Meta(extra_json_schema={"minimum": 0})]
From1 = Annotated[Number, Meta(extra_json_schema={"minimum": 1})]
Share = Annotated[Number, Meta(extra_json_schema={"minimum": 0, "maximum": 1})]
Part = Annotated[Number, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 1})]
Some = Annotated[Count, Meta(extra_json_schema={"minimum": 1})]
Any0 = Annotated[Count, Meta(extra_json_schema={"minimum": 0})]


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Class(Section):
    """One class of requests."""

    name: str
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    share: From0 = 1.0  # of the requests, against the other classes' shares
    work_ms: Over0 = (200.0, 350.0)  # on a core of speed 1, a call to each tier
    work_cv: Share = 0.25  # spread of the work between requests
    aim_s: Over0 = 2.5
    deadline_s: Over0 = 6.0
    worth: From0 = 1.0
    late_worth: Share = 0.0
    group: Literal["all", "zone", "cell"] = "all"
    window_s: From0 = 10.0


class Kind(Section):
    """One kind of server in a tier."""

    name: str
    share: Over0 = 1.0  # of the tier's servers, against the other kinds' shares
    cores: Some = 2
    speed: Over0 = 1.0  # of each core, against the yardstick's
    speed_cv: Share = 0.1  # spread of the speed between servers of the kind
    slots_per_core: Over0 = (26.0, 61.0)
    queue_per_core: From0 = (12.0, 34.0)
    thrash: From0 = (
        0.05,
        0.14,
    )  # capacity lost, as 1 / (1 + thrash x calls in work beyond thrash_at, a core)
    thrash_at: Over0 = (110.0, 170.0)  # calls in work a server
    pause_ms: From0 = (200.0, 450.0)
    pause_every_s: Over0 = (1.5, 6.0)
    cold_from: Part = (0.12, 0.36)
    cold_s: From0 = (10.0, 24.0)
    connections_per_core: Over0 = (600.0, 900.0)
    handshake_us: From0 = (890.0, 2000.0)  # work a new connection costs the server
    handshake_rtts: From0 = (1.0, 3.0)  # and the time it costs the first call on it
    probe_us: From0 = (130.0, 260.0)
    error_rate: Share = (0.0, 0.002)
    cancel: bool = True  # work stops when its call is cancelled or timed out


class Tier(Section):
    """One tier: its servers, and how often the tier above calls it."""

    name: str
    work: Part = 0.3  # share of a class's work for each call
    size: Over0 = 1.0  # servers, as a multiple of the first tier's
    calls: From0 = 1.0  # mean calls for each call of the tier above, one after another
    cell_size: Some = (4, 8)
    kind: list[Kind] = field(default_factory=lambda: [Kind(name="plain")])


class Load(Section):
    """Arrivals: an open loop, drawn ahead."""

    fraction: Over0 = (0.47, 0.68)  # of what the tier that runs out first can do
    shape: Literal["steady", "wave", "ramp"] = "wave"
    swing: Share = (0.09, 0.18)
    wave_s: Over0 = (15.0, 40.0)
    burst: From1 = 1.0  # so many times the load during a burst
    burst_at: Share = 0.5  # of the day's length
    burst_s: From0 = 0.0


class Clients(Section):
    """Callers from outside, who retry by themselves."""

    retries: Any0 = (2, 3)
    try_share: Part = (0.42, 0.55)  # patience of a try, as a share of the deadline
    backoff_ms: From0 = (0.0, 1000.0)
    honour: Share = (0.56, 0.98)  # of the clients that are told to come back later
    max_retry_after_s: From0 = 2.0
    leave_early: Share = 0.0  # of the tries, at a time drawn within their patience


class Front(Section):
    """The plain layer that deals clients' requests out over the nodes of their zone."""

    notice_s: From0 = (0.86, 3.5)  # until it sees a node's death
    lag_ms: From0 = (200.0, 400.0)  # until it stops sending to a node that was told to end


class Zones(Section):
    """Server rooms; tiers and nodes are spread over them in turn."""

    count: Some = 1
    skew: Share = 0.0  # the first zone's clients: this share more than an even part
    regions: Some = 1  # zones lie in them in turn
    servers: dict[str, Over0] = field(default_factory=dict)  # by zone's number, weights of their servers; 1


class Network(Section):
    """One-way delays."""

    same_ms: From0 = (0.09, 0.23)
    cross_ms: From0 = (5.6, 10.0)
    region_ms: From0 = 0.0  # between zones of two regions; 0: as between any two
    client_ms: From0 = (0.56, 1.1)
    jitter: Share = (0.09, 0.28)
    loss: Share = 0.0  # of the messages between nodes and servers; a lost one comes after `resend_ms`
    resend_ms: From0 = 200.0
    connect_timeout_ms: Over0 = 150.0
    idle_s: Over0 = 30.0


class Discovery(Section):
    """What nodes are told of the servers, and how late."""

    mode: Literal["push", "ask"] = "push"
    notice_s: From0 = (0.59, 4.7)  # until a death is seen
    silent_notice_s: From0 = (6.1, 12.0)  # until a machine that says nothing is given up
    add_s: From0 = (0.21, 2.5)  # until a new process is listed
    spread_ms: From0 = (230.0, 530.0)  # until the last node has the news
    period_ms: Over0 = (220.0, 1400.0)  # an answer that went wrong is made good after so long
    lost: Share = 0.0  # of the answers, which never come
    stale: Share = 0.0  # which carry the list as it was before
    partial: Share = 0.0  # which carry half of the news
    garbled: Share = 0.0  # which cannot be read


class Nodes(Section):
    """The load-balancer nodes at the front."""

    count: Some = 2
    tick_ms: Over0 = 5.0  # a node handles what has come in once a tick
    boot_ms: From0 = (300.0, 800.0)
    start_spread_ms: From0 = (400.0, 1300.0)
    cpu_us: From0 = 0.0  # processor time for each event, on the node's share of a core
    probes: bool = True
    second_copies: bool = False
    peers: bool = False
    retry_after: bool = True
    max_attempts: Some = 4


class Fault(Section):
    """One trouble of the day."""

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
    at_s: From0 = 10.0
    for_s: From0 = 10.0
    part: Share = 0.15  # of the servers, or of the front nodes for `restart` and `release`
    factor: From1 = 3.0  # times slower
    share: Annotated[Number, Meta(extra_json_schema={"minimum": 0, "maximum": 0.99})] = (
        0.5  # taken by another; of the calls, for `zone_failing`; of the dials, for `late_connections`
    )
    late_ms: From0 | UnsetType = UNSET  # for `late_connections`: at most; 1500 if unset, and then not stored
    steps: Some = 4  # for `replace`, `release` and `restart`
    zone: Any0 = 0
    tier: Annotated[int, Meta(extra_json_schema={"minimum": -1})] = -1  # -1: all tiers
    kill: bool = False  # SIGKILL in place of SIGTERM


class Rules(Section):
    """The figures of the four rules."""

    answer_slack_ms: From0 = 70.0
    stop_sending_ms: From0 = 500.0
    fall_multiple: Over0 = 2.5
    fall_s: Over0 = 2.0


class Goal(Section):
    """How the day is counted."""

    whole: From0 = 0.5
    worst_window: From0 = 0.3
    worst_class: From0 = 0.2
    window_s: Over0 = 10.0


class Prices(Section):
    """Points off, each times its share or rate."""

    cross_zone: From0 = 0.0  # attempts that cross zones, a first try
    waste: From0 = 0.02  # server work that served no answer, of the work asked for
    probe: From0 = 0.0095  # probes a first try
    late_fail: From0 = 0.045  # worth unserved only after its aim had gone by
    handshake: From0 = 0.0  # new connections a first try


def kinds(prefix: str, shares: dict[str, float], **limits: Any) -> list[Kind]:
    speeds = {"fast": (1.7, 2.3), "mid": (1.0, 1.4), "slow": (0.68, 0.92)}
    return [
        Kind(name=f"{prefix}-{name}", share=share, speed=speeds[name], **limits)
        for name, share in shares.items()
    ]


def tiers() -> list[Tier]:
    """The three tiers in service today."""
    three = {"fast": 0.33, "mid": 0.36, "slow": 0.31}
    return [
        Tier(name="tile-front", work=0.28, kind=kinds("front", three)),
        Tier(
            name="tile-render",
            work=0.31,
            size=(1.7, 2.0),
            calls=(1.0, 2.0),
            kind=kinds("render", three, slots_per_core=(13.0, 30.0), thrash_at=(52.0, 82.0)),
        ),
        Tier(
            name="radar-store",
            work=0.41,
            size=(4.7, 5.7),
            calls=(1.5, 2.5),
            kind=kinds(
                "store", {"fast": 0.48, "mid": 0.52}, slots_per_core=(8.0, 24.0), thrash_at=(8.3, 13.0)
            ),
        ),
    ]


def classes() -> list[Class]:
    """The two classes in service today."""
    return [
        Class(name="tile-get", share=0.8),
        Class(name="alert-set", share=0.2, effect="keyed", group="cell", worth=8.0, work_ms=(280.0, 500.0)),
    ]


class Scenario(Section):
    """A whole file."""

    title: str = ""
    seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1
    length_s: Over0 = (45.0, 60.0)
    servers: Some = (8, 10)  # of the first tier
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
    klass: list[Class] = field(default_factory=classes, name="class")
    tier: list[Tier] = field(default_factory=tiers)
    fault: list[Fault] = field(default_factory=list)
