"""Service discovery: an endpoint list for each tier, sent to nodes late, and at times wrong or not at all."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy.interface import ListKind, ServerEntry, State
from workbench.model.call import Port
from workbench.model.environment import Environment, ServerView
from workbench.model.network import fixed_float
from workbench.scenario.model import Scenario

Changes = list[ServerEntry]
ROUND_DELAY_US = 20_000  # changes within it go out as one message
ANSWER_DELAY_US = 1000  # of discovery itself, beyond a subscriber's lag
STALE_VERSIONS = 5  # a stale answer is so many changes old


@dataclass(frozen=True, slots=True)
class DetectedChange:
    """A server's new state, before it is published. Void if the server's incarnation has changed."""

    server: ServerView
    state: State
    incarnation: int


class Subscriber:
    """The state of one node's subscription, as the agent on its machine keeps it."""

    __slots__ = ("lag", "listening", "port", "version", "watch_pending")

    def __init__(self, port: Port, lag: int) -> None:
        self.port = port
        self.lag = lag
        self.version = 0  # of its tier's list
        self.listening = False
        self.watch_pending = False


class Discovery:
    """Publishes changes of the endpoint lists once they are detected, and notifies each node some time later.

    Args:
        day: The scenario.
        world: The model that it belongs to.
        tiers: The number of tiers.
    """

    def __init__(self, day: Scenario, world: Environment, tiers: int) -> None:
        self.world = world
        self.clock = world.clock
        self.rng = world.streams.random("discovery")
        self.answers = world.streams.random("discovery/answers")
        settings = day.discovery
        self.push = settings.mode == "push"
        self.detection_delay = fixed_float(settings.notice_s) * 1e6
        self.silent_detection_delay = fixed_float(settings.silent_notice_s) * 1e6
        self.join_delay = fixed_float(settings.add_s) * 1e6
        self.max_lag = fixed_float(settings.spread_ms) * 1000
        self.period = int(fixed_float(settings.period_ms) * 1000)
        self.fault_shares = [
            ("lost", fixed_float(settings.lost)),
            ("stale", fixed_float(settings.stale)),
            ("partial", fixed_float(settings.partial)),
            ("garbled", fixed_float(settings.garbled)),
        ]
        self.lists: list[dict[int, ServerEntry]] = [{} for _ in range(tiers)]
        self.log: list[list[ServerEntry]] = [[] for _ in range(tiers)]
        self.subscribers: list[list[Subscriber]] = [[] for _ in range(tiers)]
        self.silent = False
        self.pending: list[bool] = [False] * tiers  # a round of notifications is scheduled

    # ---- what discovery sees of the servers ----------------------------------------------------------------

    def add_initial(self, server: ServerView, state: State = State.READY) -> None:
        """Adds a server to the initial list, without a notification."""
        self.lists[server.tier][server.id] = entry_of(server, state)

    def server_started(self, server: ServerView) -> None:
        """Schedules the publication of a server's start."""
        self.schedule_publish(self.join_delay, server, State.READY)

    def server_draining(self, server: ServerView) -> None:
        """Schedules the publication that a server drains."""
        self.schedule_publish(self.period * 0.5, server, State.DRAINING)

    def server_stopped(self, server: ServerView) -> None:
        """Schedules the removal of a server whose process has ended."""
        self.schedule_publish(self.detection_delay, server, State.GONE)

    def server_unreachable(self, server: ServerView) -> None:
        """Schedules the removal of a server whose machine has fallen silent."""
        self.schedule_publish(self.silent_detection_delay, server, State.GONE)

    def schedule_publish(self, mean: float, server: ServerView, state: State) -> None:
        """Schedules a change after a random delay with the given mean, in microseconds."""
        at = self.clock.now + int(mean * (0.6 + 0.8 * self.rng.random()))
        self.clock.call_at(at, self.publish, DetectedChange(server, state, server.incarnation))

    def publish(self, change: DetectedChange) -> None:
        """Publishes a change, unless the server's state has changed again since."""
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
        self.log[server.tier].append(entry)
        self.schedule_round(server.tier)

    # ---- what nodes hear ------------------------------------------------------------------------------

    def subscribe(self, port: Port) -> Subscriber:
        """Registers a node; `boot` follows with each of its processes."""
        subscriber = Subscriber(port, int(self.max_lag * self.rng.random()))
        self.subscribers[port.tier].append(subscriber)
        return subscriber

    def boot(self, subscriber: Subscriber) -> None:
        """Sends a node's new process the list that the agent on its machine has cached."""
        tier = subscriber.port.tier
        subscriber.listening = self.push
        if not self.silent:
            subscriber.version = len(self.log[tier])
        subscriber.port.update_servers(ListKind.CACHED, self.list_at(tier, subscriber.version))

    def list_at(self, tier: int, version: int) -> Changes:
        """Returns the list as of a version: later changes are reverted as far as they are known."""
        table = dict(self.lists[tier])
        log = self.log[tier]
        for later in log[version:]:
            table.pop(later.server, None)
        for earlier in log[:version]:
            if earlier.state != State.GONE and earlier.server not in table:
                latest = [entry for entry in log[:version] if entry.server == earlier.server][-1]
                if latest.state != State.GONE:
                    table[latest.server] = latest
        return list(table.values())

    def listen(self, subscriber: Subscriber, on: bool) -> None:
        """Starts or ends a node's watch, where lists are polled; a watch is answered once."""
        subscriber.listening = on
        if on and not subscriber.watch_pending:
            subscriber.watch_pending = True
            self.clock.call_at(
                self.clock.now + subscriber.lag + ANSWER_DELAY_US, self.answer_watch, subscriber
            )

    def answer_watch(self, subscriber: Subscriber) -> None:
        """Answers a watch with the changes, or with a failure while discovery is silent."""
        subscriber.watch_pending = False
        if self.silent:
            subscriber.listening = False
            subscriber.port.update_servers(ListKind.FAILED, [])
        else:
            self.notify(subscriber)

    def fetch(self, subscriber: Subscriber) -> None:
        """Schedules the answer to a node that polls the full list."""
        self.clock.call_at(self.clock.now + subscriber.lag + ANSWER_DELAY_US, self.answer_fetch, subscriber)

    def answer_fetch(self, subscriber: Subscriber) -> None:
        """Answers a poll with the full list, or with a failure while discovery is silent."""
        if self.silent:
            if not self.push:
                subscriber.port.update_servers(ListKind.FAILED, [])
            return
        tier = subscriber.port.tier
        subscriber.version = len(self.log[tier])
        subscriber.port.update_servers(ListKind.FULL, list(self.lists[tier].values()))

    def schedule_round(self, tier: int) -> None:
        """Schedules a round of notifications, so that a burst of changes is one message for each node."""
        if not self.pending[tier]:
            self.pending[tier] = True
            self.clock.call_at(self.clock.now + ROUND_DELAY_US, self.notify_all, tier)

    def notify_all(self, tier: int) -> None:
        """Sends the changes of a tier to its subscribers, each after its own lag."""
        self.pending[tier] = False
        if self.silent:
            return
        for subscriber in self.subscribers[tier]:
            if subscriber.listening:
                self.clock.call_at(self.clock.now + subscriber.lag, self.notify, subscriber)

    def notify(self, subscriber: Subscriber) -> None:
        """Sends a subscriber the changes since its version, unless a fault of discovery distorts them."""
        tier = subscriber.port.tier
        log = self.log[tier]
        changes = log[subscriber.version :]
        if self.silent or not subscriber.listening or not subscriber.port.up:
            return
        fault = self.draw_fault() if changes else ""
        if fault:
            # The next notification corrects whatever went wrong.
            self.clock.call_at(self.clock.now + self.period, self.notify, subscriber)
        if fault == "stale":
            older = max(0, subscriber.version - STALE_VERSIONS)
            subscriber.port.update_servers(ListKind.FULL, self.list_at(tier, older))
            subscriber.version = older
        elif fault == "partial":
            half = changes[: len(changes) // 2]
            subscriber.version += len(half)
            subscriber.port.update_servers(ListKind.CHANGES, half)
        elif not fault:
            subscriber.version = len(log)
            subscriber.port.update_servers(ListKind.CHANGES, changes)

    def draw_fault(self) -> str:
        """Draws what goes wrong with a notification; empty for nothing."""
        if not any(share for _, share in self.fault_shares):
            return ""
        draw = self.answers.random()
        for name, share in self.fault_shares:
            draw -= share
            if draw < 0:
                return name
        return ""

    def set_silent(self, on: bool) -> None:
        """Stops all answers, or resumes them."""
        self.silent = on
        if not on:
            for tier in range(len(self.lists)):
                self.schedule_round(tier)


def entry_of(server: ServerView, state: State) -> ServerEntry:
    """Returns a server's entry in the endpoint list."""
    return ServerEntry(server.id, state, server.cell, server.zone, server.kind, 1.0, server.ready_at)
