"""Service discovery: an endpoint list for each tier, which nodes receive late, altered or not at all."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy.interface import ListKind, ServerEntry, State
from workbench.model.call import Port
from workbench.model.environment import Environment, ServerView
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

Changes = list[ServerEntry]
# Changes within this interval are published as one message.
BATCH_DELAY_US = 20_000
# Processing time of discovery itself, in addition to a subscriber's lag.
RESPONSE_DELAY_US = 1000
# Number of changes by which a stale list is behind.
STALE_LIST_AGE_CHANGES = 5


@dataclass(frozen=True, slots=True)
class DetectedChange:
    """A server's new state before its publication; void once the server's incarnation has changed."""

    server: ServerView
    state: State
    incarnation: int


class Subscriber:
    """The state of one node's subscription, kept by the discovery agent on the node's machine.

    `version` counts the changes of the tier's list that the node has received.
    """

    __slots__ = ("is_watching", "lag", "port", "version", "watch_pending")

    def __init__(self, port: Port, lag: int) -> None:
        self.port = port
        self.lag = lag
        self.version = 0
        self.is_watching = False
        self.watch_pending = False


class Discovery:
    """The service that detects changes of servers, publishes them, and notifies each node after a lag.

    Args:
        scenario: The scenario.
        world: The model that discovery belongs to.
        tiers: The number of tiers.
    """

    def __init__(self, scenario: Scenario, world: Environment, tiers: int) -> None:
        self.world = world
        self.clock = world.clock
        self.rng = world.streams.random("discovery")
        self.fault_rng = world.streams.random("discovery/answers")
        settings = scenario.discovery
        self.push = settings.mode == "push"
        self.detection_delay = fixed_float(settings.notice_s) * 1e6
        self.silent_detection_delay = fixed_float(settings.silent_notice_s) * 1e6
        self.join_delay = fixed_float(settings.add_s) * 1e6
        self.max_lag = fixed_float(settings.spread_ms) * 1000
        self.poll_interval = int(fixed_float(settings.period_ms) * 1000)
        self.fault_shares = [
            ("lost", fixed_float(settings.lost)),
            ("stale", fixed_float(settings.stale)),
            ("partial", fixed_float(settings.partial)),
            ("garbled", fixed_float(settings.garbled)),
        ]
        self.lists: list[dict[int, ServerEntry]] = [{} for _ in range(tiers)]
        self.change_log: list[list[ServerEntry]] = [[] for _ in range(tiers)]
        self.subscribers: list[list[Subscriber]] = [[] for _ in range(tiers)]
        self.silent = False
        self.notifications_scheduled: list[bool] = [False] * tiers

    # ---- changes of servers --------------------------------------------------------------------------------

    def add_initial(self, server: ServerView, state: State = State.READY) -> None:
        """Add a server to the initial list without a notification."""
        self.lists[server.tier][server.id] = entry_of(server, state)

    def server_started(self, server: ServerView) -> None:
        """Schedule the publication of a server's start."""
        self.schedule_publish(self.join_delay, server, State.READY)

    def server_draining(self, server: ServerView) -> None:
        """Schedule the publication of a server's draining state."""
        self.schedule_publish(self.poll_interval * 0.5, server, State.DRAINING)

    def server_stopped(self, server: ServerView) -> None:
        """Schedule the removal of a server whose process has ended."""
        self.schedule_publish(self.detection_delay, server, State.GONE)

    def server_unreachable(self, server: ServerView) -> None:
        """Schedule the removal of a server whose machine is unreachable."""
        self.schedule_publish(self.silent_detection_delay, server, State.GONE)

    def schedule_publish(self, mean: float, server: ServerView, state: State) -> None:
        """Schedule a change after a random delay with a mean of `mean` microseconds."""
        at = self.clock.now + int(mean * (0.6 + 0.8 * self.rng.random()))
        self.clock.call_at(at, self.publish, DetectedChange(server, state, server.incarnation))

    def publish(self, change: DetectedChange) -> None:
        """Publish a change unless the server's state has changed again since its detection."""
        server, state = change.server, change.state
        if change.incarnation != server.incarnation or (
            state == State.GONE and server.up and not server.silent
        ):
            return
        entry = entry_of(server, state)
        table = self.lists[server.tier]
        if state == State.GONE:
            if table.pop(server.id, None) is None:
                return
        else:
            table[server.id] = entry
        self.change_log[server.tier].append(entry)
        self.schedule_notifications(server.tier)

    # ---- notifications of nodes -----------------------------------------------------------------------

    def subscribe(self, port: Port) -> Subscriber:
        """Register a node; `boot` is called for each process that the node starts."""
        subscriber = Subscriber(port, int(self.max_lag * self.rng.random()))
        self.subscribers[port.tier].append(subscriber)
        return subscriber

    def boot(self, subscriber: Subscriber) -> None:
        """Send a node's new process the list that the discovery agent on its machine has cached."""
        tier = subscriber.port.tier
        subscriber.is_watching = self.push
        if not self.silent:
            subscriber.version = len(self.change_log[tier])
        subscriber.port.update_servers(ListKind.CACHED, self.list_at_version(tier, subscriber.version))

    def list_at_version(self, tier: int, version: int) -> Changes:
        """Return the list as of a version.

        Later changes are reverted; the earlier state of a server is known only if the log has an earlier
        change of that server.
        """
        table = dict(self.lists[tier])
        change_log = self.change_log[tier]
        for later in change_log[version:]:
            table.pop(later.server, None)
        for earlier in change_log[:version]:
            if earlier.state != State.GONE and earlier.server not in table:
                latest = [entry for entry in change_log[:version] if entry.server == earlier.server][-1]
                if latest.state != State.GONE:
                    table[latest.server] = latest
        return list(table.values())

    def set_watching(self, subscriber: Subscriber, is_watching: bool) -> None:
        """Start or end the watch of a node that polls its list; a watch is answered once."""
        subscriber.is_watching = is_watching
        if is_watching and not subscriber.watch_pending:
            subscriber.watch_pending = True
            self.clock.call_at(
                self.clock.now + subscriber.lag + RESPONSE_DELAY_US, self.answer_watch, subscriber
            )

    def answer_watch(self, subscriber: Subscriber) -> None:
        """Answer a watch with the changes, or with a failure while discovery does not respond."""
        subscriber.watch_pending = False
        if self.silent:
            subscriber.is_watching = False
            subscriber.port.update_servers(ListKind.FAILED, [])
        else:
            self.notify(subscriber)

    def fetch(self, subscriber: Subscriber) -> None:
        """Schedule the response to a node that polls the full list."""
        self.clock.call_at(self.clock.now + subscriber.lag + RESPONSE_DELAY_US, self.answer_fetch, subscriber)

    def answer_fetch(self, subscriber: Subscriber) -> None:
        """Answer a poll with the full list, or with a failure while discovery does not respond."""
        if self.silent:
            if not self.push:
                subscriber.port.update_servers(ListKind.FAILED, [])
            return
        tier = subscriber.port.tier
        subscriber.version = len(self.change_log[tier])
        subscriber.port.update_servers(ListKind.FULL, list(self.lists[tier].values()))

    def schedule_notifications(self, tier: int) -> None:
        """Schedule the notification of a tier's nodes, which turns a burst of changes into one message."""
        if not self.notifications_scheduled[tier]:
            self.notifications_scheduled[tier] = True
            self.clock.call_at(self.clock.now + BATCH_DELAY_US, self.notify_all, tier)

    def notify_all(self, tier: int) -> None:
        """Send the changes of a tier to each subscriber after the subscriber's lag."""
        self.notifications_scheduled[tier] = False
        if self.silent:
            return
        for subscriber in self.subscribers[tier]:
            if subscriber.is_watching:
                self.clock.call_at(self.clock.now + subscriber.lag, self.notify, subscriber)

    def notify(self, subscriber: Subscriber) -> None:
        """Send a subscriber the changes since its version, or the faulty response that was drawn instead."""
        tier = subscriber.port.tier
        change_log = self.change_log[tier]
        changes = change_log[subscriber.version :]
        if self.silent or not subscriber.is_watching or not subscriber.port.up:
            return
        fault = self.draw_fault() if changes else ""
        if fault:
            # The next notification, after a poll interval, corrects the faulty one.
            self.clock.call_at(self.clock.now + self.poll_interval, self.notify, subscriber)
        if fault == "stale":
            stale_version = max(0, subscriber.version - STALE_LIST_AGE_CHANGES)
            subscriber.port.update_servers(ListKind.FULL, self.list_at_version(tier, stale_version))
            subscriber.version = stale_version
        elif fault == "partial":
            first_half = changes[: len(changes) // 2]
            subscriber.version += len(first_half)
            subscriber.port.update_servers(ListKind.CHANGES, first_half)
        elif not fault:
            subscriber.version = len(change_log)
            subscriber.port.update_servers(ListKind.CHANGES, changes)

    def draw_fault(self) -> str:
        """Draw the fault of a notification by the faults' shares; empty for none."""
        if not any(share for _, share in self.fault_shares):
            return ""
        draw = self.fault_rng.random()
        for name, share in self.fault_shares:
            draw -= share
            if draw < 0:
                return name
        return ""

    def set_silent(self, is_silent: bool) -> None:
        """Stop all responses, or resume them and publish the changes that were held back."""
        self.silent = is_silent
        if not is_silent:
            for tier in range(len(self.lists)):
                self.schedule_notifications(tier)


def entry_of(server: ServerView, state: State) -> ServerEntry:
    """Return a server's entry in the endpoint list."""
    return ServerEntry(server.id, state, server.cell, server.zone, server.kind, 1.0, server.ready_at)
