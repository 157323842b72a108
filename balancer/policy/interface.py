"""The policy's interface: settings, servers, outcomes, actions and events.

Times are integer microseconds of one monotonic clock that the host passes in as `now`.
This file is the complete contract between `balancer.policy.Balancer` and the host that embeds it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol


class Effect(IntEnum):
    """The effect of running a request more than once."""

    IDEMPOTENT = 0  # The request may run any number of times.
    IDEMPOTENCY_KEY = 1  # A group of servers discards repeats of the request for a limited time.
    NOT_IDEMPOTENT = 2  # The request must never run twice. Also stands for effects unknown to the host.


class Group(IntEnum):
    """The group of servers that discard repeats of a request with an idempotency key.

    The group of a request is determined by the first server that may have run the request.
    """

    ALL = 0  # All servers.
    ZONE = 1  # The servers in the first server's zone.
    CELL = 2  # The servers in the first server's cell.


class Outcome(IntEnum):
    """The way an attempt ended. The first three prove that the server never ran the request."""

    REJECTED = 0  # The server rejected the attempt before processing: its queue was full or it was draining.
    CONNECT_FAILED = 1
    NOT_SENT = 2
    OK = 3
    ERROR = 4
    TIMEOUT = 5
    RESET = 6
    CANCELLED = 7
    UNKNOWN = 8  # The host does not recognise the outcome; the request may have run.


NEVER_RAN = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class State(IntEnum):
    """The state of a server in the server list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """The content of a server-list event."""

    CHANGES = 0
    FULL = 1
    CACHED = 2  # A full list from before this instance started, which may be stale.
    FAILED = 3  # A watch or fetch failed; the previous list remains valid.


@dataclass(frozen=True)
class ClassSettings:
    """The settings of one class of requests."""

    effect: Effect
    latency_objective: int  # A response within this time earns the full worth.
    deadline: int  # The client's timeout over all attempts.
    worth: float  # The priority weight: the value of a response within the latency objective.
    late_worth: float = 0.0  # The share of the worth that a response after the latency objective earns.
    group: Group = Group.ALL
    window: int = 0  # The time for which the group's servers remember an idempotency key.
    stream: bool = False


@dataclass(frozen=True)
class TenantSettings:
    """The settings of one tenant. The quota is in requests per second over all nodes; 0 means no quota."""

    quota: float = 0.0


@dataclass(frozen=True)
class Settings:
    """The settings of one instance."""

    classes: Sequence[ClassSettings]
    tenants: Sequence[TenantSettings] = ()
    tier: int = 0  # The tier that this instance sends to. Above 0 its clients are servers.
    tiers: int = 1
    zone: int = 0
    instances: int = 1  # The number of instances that send to this tier, this one included.
    index: int = 0
    tick: int = 1000  # The minimum time between two batches of events.
    max_attempts: int = 1
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    hedging: bool = False
    retry_after: bool = False
    max_retry_after: int = 0
    max_open: int = 20000
    list_on_request: bool = False  # The server list must be polled.
    max_list_poll_interval: int = 0  # The longest interval allowed between polls of the server list.
    list_weights: bool = False  # The weights in the server list can be compared with each other.
    slow_start_time: int = 0  # The time after its start at which a server is warm: at full capacity.
    slow_start_share: float = 1.0  # The minimum share of its capacity that a server has when it starts.
    fall_multiple: float = 0.0  # The multiple of its present capacity beyond which a server fails.
    fall_time: int = 0  # The time for which a server withstands a load beyond `fall_multiple`.
    answer_slack: int = 0
    cross_zone_price: float = 0.0
    over_share_worth: float = 1.0
    report_fields: Sequence[str] = ()

    def __post_init__(self) -> None:
        """Raise a ValueError that names the first setting with an impossible value."""

        def require(ok: bool, key: str) -> None:
            # A comparison with NaN is false, so NaN is refused as well.
            if not ok:
                raise ValueError(f"settings: impossible value for {key}")

        require(len(self.classes) > 0, "classes")
        for i, c in enumerate(self.classes):
            require(c.latency_objective > 0, f"classes[{i}].aim")
            require(c.deadline > 0, f"classes[{i}].deadline")
            require(c.worth >= 0, f"classes[{i}].worth")
            require(c.late_worth >= 0, f"classes[{i}].late_worth")
            require(c.window >= 0, f"classes[{i}].window")
        for i, t in enumerate(self.tenants):
            require(t.quota >= 0, f"tenants[{i}].quota")
        require(0 <= self.tier < self.tiers, "tier")
        require(self.instances >= 1, "instances")
        require(self.max_attempts >= 1, "max_attempts")
        require(self.max_open >= 1, "max_open")
        require(self.tick > 0, "tick")
        require(self.slow_start_time >= 0, "cold_time")
        require(0 < self.slow_start_share <= 1, "cold_share")
        require(self.fall_multiple >= 0, "fall_multiple")
        require(self.fall_time >= 0, "fall_time")
        require(self.index >= 0, "index")
        require(self.zone >= 0, "zone")
        require(self.max_retry_after >= 0, "max_retry_after")
        require(self.max_list_poll_interval >= 0, "list_ask_within")
        require(self.cross_zone_price >= 0, "cross_zone_price")
        require(self.over_share_worth >= 0, "over_share_worth")


@dataclass(frozen=True)
class ServerEntry:
    """One entry of the server list."""

    server: int
    state: State = State.READY
    cell: int = 0
    zone: int = 0
    kind: int = 0
    weight: float = 1.0
    ready_at: int = 0  # The time of the server's last start; 0 stands for long ago.


class Actions(Protocol):
    """The actions of a host that a Balancer calls, which take effect at the time of the current event."""

    def send(self, request: int, server: int, timeout: int) -> None:
        """Start the request's next attempt. Exactly one `outcome` event follows, by the timeout."""

    def cancel(self, request: int, attempt: int) -> None:
        """Stop waiting for an attempt. Its `outcome` event still follows."""

    def reject(self, request: int, retry_after: int) -> None:
        """Give the final answer that the request was not served and that a retry is safe."""

    def fail(self, request: int) -> None:
        """Give the final answer that the request failed and that it may have had effects."""

    def check_health(self, server: int) -> None:
        """Check a server's health. One `health_checked` event follows."""

    def set_timer(self, delay: int, token: int) -> None:
        """Request a `timer` event after a delay. Timers cannot be cancelled."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a short message to another instance of this tier, or to all of them if `peer` is -1."""

    def watch(self, on: bool) -> None:
        """Subscribe to changes of the server list, or unsubscribe."""

    def fetch(self) -> None:
        """Poll the complete server list once."""

    def close(self, server: int) -> None:
        """Close idle connections to a server."""

    def log(self, text: str) -> None:
        """Log a change of state."""


class Fleet(Protocol):
    """The decisions that a Balancer coordinates with the other processes of its fleet.

    The minRTT is the round-trip time of a class without queues. A probe is a single real request that tests
    a server which was ejected because it failed. Like those of `Actions`, the methods are called while an
    event is being handled. The results of other nodes arrive as `trial_result` and `zone_shares` events. A
    Balancer without a fleet uses `Standalone`.
    """

    def may_recalculate_min_rtt(self) -> bool:
        """Return whether the minRTT recalculation that is due may begin now. If not, the call is repeated."""

    def min_rtt_recalculated(self) -> None:
        """Report that a minRTT recalculation has ended."""

    def may_probe(self, server: int) -> bool:
        """Return whether this node sends the probe that is due for a server that it has ejected."""

    def server_ejected(self, server: int, wait: int) -> None:
        """Report that a server was ejected, or that its probe failed. The next probe is due in `wait`."""

    def server_readmitted(self, server: int, healthy: bool) -> None:
        """Report that a server is no longer ejected.

        Args:
            server: The server.
            healthy: True if a request of this node succeeded on the server. If it is false, the server was
                removed from the list, was replaced by a new process, left the subset, or was found healthy
                by another node.
        """


class Standalone:
    """The `Fleet` of a single process: recalculations and probes begin when they are due."""

    def may_recalculate_min_rtt(self) -> bool:
        """Return True: no other process recalculates its minRTT."""
        return True

    def min_rtt_recalculated(self) -> None:
        """Do nothing: there is no other process to inform."""

    def may_probe(self, server: int) -> bool:
        """Return True: no other process probes the server."""
        return True

    def server_ejected(self, server: int, wait: int) -> None:
        """Do nothing: there is no other process to inform."""

    def server_readmitted(self, server: int, healthy: bool) -> None:
        """Do nothing: there is no other process to inform."""


class Events(Protocol):
    """The events of a host that a Balancer handles.

    `now` never goes back. `start` is called first and once, then `server_list`, so that requests find
    servers. Actions are called only while an event is being handled. An event for an unknown request,
    attempt or server is ignored.
    """

    def start(self, now: int) -> None:
        """Start the instance, which subscribes to the server list if the list must be polled."""

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Handle a server list or its changes, in order of version. A failed poll has no entries.

        From now on no attempt starts on a server that is not ready or that a full list does not contain.
        """

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        """Handle a request with an unused id, which must get one final answer within `remaining`.

        The final answer is `reject`, `fail` or a final outcome. A request of a class that is not in the
        settings is never run twice; a tenant that is not in the settings has no quota.
        """

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        """Handle the end of an attempt. Exactly one such event follows each `send`, also for ended requests.

        `final` says that the request needs no further answer, for example because a response was
        forwarded. If `final` is false and the request is open, a final answer or a retry follows at once.
        """

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Handle the start of a streamed response. The request cannot be retried; an `outcome` still follows.

        From now on the client determines the speed, so the attempt no longer counts against the limit and
        its duration is not a latency sample.
        """

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """Handle the start (`on`) or the end of the upload of a request's body to the server.

        During the upload the server cannot respond, so the attempt counts neither against the limit nor
        for the detection of silent servers, and the request's time is counted from the end of the upload.
        """

    def client_disconnected(self, now: int, request: int) -> None:
        """Handle a client's disconnect. No answer is needed; attempts in flight still get their outcomes."""

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """Handle the result of a `check_health` action."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Handle the result of another node's probe of an ejected server."""

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """Set the distribution of requests over the zones.

        Args:
            now: The time.
            shares: Each zone's share of the requests, in order of preference; other zones get none.
            additional_rtt: The additional round-trip time to each remote zone, in microseconds.

        Without a `zone_shares` event the policy spreads requests over zones itself.
        """

    def timer(self, now: int, token: int) -> None:
        """Handle a due timer with the token of its `set_timer`, which was called in an earlier event."""

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """Handle a message that another instance of this tier sent with `send_to_peer`."""
