"""Discovery: a list for each tier, told to each node late, and at times lost, stale, in part or garbled."""

from __future__ import annotations

from balancer.policy.interface import ListKind, ServerEntry, State
from workbench.model.call import Port
from workbench.model.environment import Environment, ServerView
from workbench.model.network import num
from workbench.scenario.model import Scenario

Changes = list[ServerEntry]


class Subscriber:
    """What one node has been told, as its agent keeps it."""

    __slots__ = ("port", "lag", "version", "listening", "asked")

    def __init__(self, port: Port, lag: int) -> None:
        self.port = port
        self.lag = lag
        self.version = 0  # of its tier's list
        self.listening = False
        self.asked = False


class Discovery:
    """A change is published once it is noticed; each node hears of it some time after."""

    def __init__(self, day: Scenario, world: Environment, tiers: int) -> None:
        self.world = world
        self.clock = world.clock
        self.rng = world.streams.random("discovery")
        self.answers = world.streams.random("discovery/answers")
        d = day.discovery
        self.push = d.mode == "push"
        self.notice = num(d.notice_s) * 1e6
        self.silent_notice = num(d.silent_notice_s) * 1e6
        self.add = num(d.add_s) * 1e6
        self.spread = num(d.spread_ms) * 1000
        self.period = int(num(d.period_ms) * 1000)
        self.wrong = [
            ("lost", num(d.lost)),
            ("stale", num(d.stale)),
            ("partial", num(d.partial)),
            ("garbled", num(d.garbled)),
        ]
        self.lists: list[dict[int, ServerEntry]] = [{} for _ in range(tiers)]
        self.log: list[list[ServerEntry]] = [[] for _ in range(tiers)]
        self.subscribers: list[list[Subscriber]] = [[] for _ in range(tiers)]
        self.silent = False
        self.pending: list[bool] = [False] * tiers  # a round of news is on its way

    # ---- what discovery sees of the servers ----------------------------------------------------------------

    def enter(self, server: ServerView, state: State = State.READY) -> None:
        """The list has the server from the start, without news."""
        self.lists[server.tier][server.id] = entry_of(server, state)

    def came(self, server: ServerView) -> None:
        self.later(self.add, server, State.READY)

    def drains(self, server: ServerView) -> None:
        self.later(self.period * 0.5, server, State.DRAINING)

    def died(self, server: ServerView) -> None:
        self.later(self.notice, server, State.GONE)

    def fell_silent(self, server: ServerView) -> None:
        self.later(self.silent_notice, server, State.GONE)

    def later(self, mean: float, server: ServerView, state: State) -> None:
        at = self.clock.now + int(mean * (0.6 + 0.8 * self.rng.random()))
        self.clock.call_at(at, self.publish, (server, state, server.life))

    def publish(self, change: tuple[ServerView, State, int]) -> None:
        """Into the list, unless the server has moved on since."""
        server, state, life = change
        if life != server.life or (state == State.GONE and server.up and not server.silent):
            return
        entry = entry_of(server, state)
        table = self.lists[server.tier]
        if state == State.GONE:
            if table.pop(server.id, None) is None:
                return
        else:
            table[server.id] = entry
        self.log[server.tier].append(entry)
        self.tell_all(server.tier)

    # ---- what nodes hear ------------------------------------------------------------------------------

    def subscribe(self, port: Port) -> Subscriber:
        """A node's place at discovery; `boot` comes with each of its processes."""
        subscriber = Subscriber(port, int(self.spread * self.rng.random()))
        self.subscribers[port.tier].append(subscriber)
        return subscriber

    def boot(self, subscriber: Subscriber) -> None:
        """A process begins: its machine's agent has the list as last heard."""
        tier = subscriber.port.tier
        subscriber.listening = self.push
        if not self.silent:
            subscriber.version = len(self.log[tier])
        subscriber.port.news(ListKind.CACHED, self.list_at(tier, subscriber.version))

    def list_at(self, tier: int, version: int) -> Changes:
        """The list as it was at a version: today's, with what came later taken back as far as it is known."""
        table = dict(self.lists[tier])
        log = self.log[tier]
        for later in log[version:]:
            table.pop(later.server, None)
        for earlier in log[:version]:
            if earlier.state != State.GONE and earlier.server not in table:
                latest = [e for e in log[:version] if e.server == earlier.server][-1]
                if latest.state != State.GONE:
                    table[latest.server] = latest
        return list(table.values())

    def listen(self, subscriber: Subscriber, on: bool) -> None:
        """Where the list must be asked for: a watch, answered once."""
        subscriber.listening = on
        if on and not subscriber.asked:
            subscriber.asked = True
            self.clock.call_at(self.clock.now + subscriber.lag + 1000, self.answer_watch, subscriber)

    def answer_watch(self, subscriber: Subscriber) -> None:
        subscriber.asked = False
        if self.silent:
            subscriber.listening = False
            subscriber.port.news(ListKind.FAILED, [])
        else:
            self.tell(subscriber)

    def fetch(self, subscriber: Subscriber) -> None:
        self.clock.call_at(self.clock.now + subscriber.lag + 1000, self.answer_fetch, subscriber)

    def answer_fetch(self, subscriber: Subscriber) -> None:
        if self.silent:
            if not self.push:
                subscriber.port.news(ListKind.FAILED, [])
            return
        tier = subscriber.port.tier
        subscriber.version = len(self.log[tier])
        subscriber.port.news(ListKind.FULL, list(self.lists[tier].values()))

    def tell_all(self, tier: int) -> None:
        """News goes out in rounds, so that a burst of changes is one message for each node."""
        if not self.pending[tier]:
            self.pending[tier] = True
            self.clock.call_at(self.clock.now + 20_000, self.round, tier)

    def round(self, tier: int) -> None:
        self.pending[tier] = False
        if self.silent:
            return
        for subscriber in self.subscribers[tier]:
            if subscriber.listening:
                self.clock.call_at(self.clock.now + subscriber.lag, self.tell, subscriber)

    def tell(self, subscriber: Subscriber) -> None:
        tier = subscriber.port.tier
        log = self.log[tier]
        news = log[subscriber.version :]
        if self.silent or not subscriber.listening or not subscriber.port.up:
            return
        fault = self.draw_fault() if news else ""
        if fault:
            # Whatever went wrong, the next answer makes it good.
            self.clock.call_at(self.clock.now + self.period, self.tell, subscriber)
        if fault == "stale":
            older = max(0, subscriber.version - 5)
            subscriber.port.news(ListKind.FULL, self.list_at(tier, older))
            subscriber.version = older
        elif fault == "partial":
            half = news[: len(news) // 2]
            subscriber.version += len(half)
            subscriber.port.news(ListKind.CHANGES, half)
        elif not fault:
            subscriber.version = len(log)
            subscriber.port.news(ListKind.CHANGES, news)

    def draw_fault(self) -> str:
        if not any(share for _, share in self.wrong):
            return ""
        draw = self.answers.random()
        for name, share in self.wrong:
            draw -= share
            if draw < 0:
                return name
        return ""

    def silence(self, on: bool) -> None:
        self.silent = on
        if not on:
            for tier in range(len(self.lists)):
                self.tell_all(tier)


def entry_of(server: ServerView, state: State) -> ServerEntry:
    return ServerEntry(server.id, state, server.cell, server.zone, server.kind, 1.0, server.ready_at)
