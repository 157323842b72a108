"""Hosts decision modules: each node handles what has come in once a tick, and its actions take effect then.

As on the simulator's wire: events of a node come in order, actions are asked for while an event is handled
and are carried out when the batch is done, at the batch's time. A module sees nothing but its events.
"""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from balancer.policy.interface import Events, ListKind, Outcome, ServerEntry, Settings, State
from workbench.baselines import Policy
from workbench.model.call import Answer, Attempt, Call, Cause, is_answered, is_over
from workbench.model.job import DONE, Job
from workbench.model.network import TABLE_SIZE, fixed_float
from workbench.model.server import Server
from workbench.model.site import World
from workbench.model.streams import scramble
from workbench.model.trace import AttemptTrace
from workbench.simulator.heap import HeapClock
from workbench.simulator.recorder import Recorder
from workbench.simulator.ticker import Ticker

Post = tuple[Callable[..., None], tuple[Any, ...]]
REPLY = 50  # an answer's network draw, beside those of the tries
MASK = TABLE_SIZE - 1
STRIDE = 0x9E3779B1  # between the draws of a call's attempts
REPLY_BITS = 14  # an attempt's answer takes the upper bits of its draw
DRAIN_LOOK = 50_000  # a leaving node looks this often whether it is done
KILL_AFTER = 700_000  # beyond the longest deadline, a leaving node is killed

CAUSES = {
    Outcome.REJECTED: "refused upstream",
    Outcome.TIMEOUT: "timed out",
    Outcome.RESET: "reset",
    Outcome.CONNECT_FAILED: "reset",
    Outcome.ERROR: "error",
}


class Link:
    """A node's connections to one server: since when each idle one has been idle."""

    __slots__ = ("idle", "incarnation")

    def __init__(self, incarnation: int) -> None:
        self.idle: list[int] = []
        self.incarnation = incarnation


class Node:
    """One node: a `Port` for the world, a host for its module."""

    def __init__(
        self, world: World, ticker: Ticker, policy: Policy, name: str, tier: int, settings: Settings
    ) -> None:
        self.world = world
        self.clock = world.clock
        self.network = world.network
        self.ticker = ticker
        self.policy = policy
        self.name = name
        self.tier = tier
        self.settings = settings
        self.zone = settings.zone
        self.up = self.ready = self.leaving = False
        self.incarnation = 0
        self.seeds = world.streams.random(f"{name}/seeds")
        self.subscriber = world.discovery.subscribe(self)
        self.actions = Recorder()
        self.module: Events | None = None
        self.inbox: list[Post] = []
        self.calls: dict[int, Call] = {}
        self.links: dict[int, Link] = {}
        self.starts: dict[int, int] = {}  # the servers it was told of, by their starts
        self.away: dict[int, int] = {}  # since when it knows that they drain or are gone
        self.cpu = fixed_float(world.day.nodes.cpu_us)
        self.busy_until = 0
        self.journal: list[str] = []
        self.disconnected: list[Call] = []  # calls whose callers have left since the last batch

    # ---- its life -------------------------------------------------------------------------------------

    def boot(self) -> None:
        self.incarnation += 1
        self.up = self.ready = True
        self.leaving = False
        self.inbox.clear()
        self.links.clear()
        self.starts.clear()
        self.away.clear()
        self.actions = Recorder()
        module = self.policy(self.settings, self.seeds.getrandbits(62), self.actions, self.world)
        self.module = module
        self.post(module.start, ())
        self.world.discovery.boot(self.subscriber)
        if self.tier == 0:
            self.world.front.node_ready(self)
        self.clock.call_at(self.clock.now + self.network.idle, self.sweep, self.incarnation)

    def drain(self) -> None:
        if self.up and not self.leaving:
            self.leaving = True
            self.world.front.node_draining(self)
            longest = max(3_000_000, *(c.deadline for c in self.settings.classes))
            begun = self.clock.now
            self.clock.call_at(
                begun + int(self.world.front.lag) + DRAIN_LOOK, self.leave_if_done, self.incarnation
            )
            self.clock.call_at(begun + longest + KILL_AFTER, self.kill_if_alive, self.incarnation)

    def leave_if_done(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            if any(c.open for c in self.calls.values()):
                self.clock.call_at(self.clock.now + DRAIN_LOOK, self.leave_if_done, incarnation)
            else:
                self.kill()

    def kill_if_alive(self, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.kill()

    def kill(self) -> None:
        if not self.up:
            return
        self.up = self.ready = False
        self.incarnation += 1
        self.module = None
        self.inbox.clear()
        self.disconnected.clear()
        if not self.tier:
            self.world.front.node_stopped(self)
        for server, link in self.links.items():
            self.drop_idle(self.world.by_id[server], link, len(link.idle))
        calls, self.calls = self.calls, {}
        for call in calls.values():
            for attempt in call.sent:
                if not attempt.ended:
                    attempt.ended = True
                    if attempt.trace is not None:
                        attempt.trace.end(self.clock.now, Outcome.RESET)
                    self.hang_up(attempt)
                    attempt.server.abandon(attempt)
            call.in_flight = 0
            if call.open:
                call.cause = Cause("reset", self.tier)
                if call.trace is not None:
                    call.trace.node_died = True
                self.answer(call, Answer.FAILED, 0)
            call.sent.clear()

    def sweep(self, incarnation: int) -> None:
        """Closes connections that have stood idle for too long."""
        if incarnation != self.incarnation:
            return
        oldest = self.clock.now - self.network.idle
        for server, link in self.links.items():
            stale = sum(at < oldest for at in link.idle)
            if stale:
                self.drop_idle(self.world.by_id[server], link, stale)
        self.clock.call_at(self.clock.now + self.network.idle // 2, self.sweep, incarnation)

    def drop_idle(self, server: Server, link: Link, count: int) -> None:
        del link.idle[:count]
        if link.incarnation == server.incarnation:
            server.change_connections(-count)

    # ---- events ---------------------------------------------------------------------------------------

    def post(self, event: Callable[..., None], args: tuple[Any, ...]) -> None:
        if not self.inbox:
            self.ticker.tick_at(max(self.clock.now, self.busy_until)).nodes.append(self)
        self.inbox.append((event, args))

    def handle(self, now: int) -> None:
        """One batch: the events in order, then what the module asked for, in order."""
        inbox, self.inbox = self.inbox, []
        if not inbox:
            return
        self.busy_until = now + int(self.cpu * len(inbox))
        begun = perf_counter_ns()
        for event, args in inbox:
            event(now, *args)
        self.ticker.module_ns += perf_counter_ns() - begun
        out = self.actions.out
        if out:
            self.actions.out = []
            for act, args in out:
                getattr(self, act)(*args)
        if self.disconnected:
            disconnected, self.disconnected = self.disconnected, []
            for call in disconnected:
                self.forget(call)

    def expect(self, at: int, call: Call) -> None:
        call.node = self
        self.ticker.tick_at(at).messages.append((self.accept, call))

    def accept(self, call: Call) -> None:
        call.node = self
        if not self.up or self.module is None:
            call.cause = Cause("reset", self.tier)
            call.open = False
            self.deliver(call, Answer.UNREACHABLE, 0)
            return
        now = self.clock.now
        root = call.root
        self.calls[call.id] = call
        call.accepted = True
        self.world.accounts.calls[self.tier] += 1
        if root.index == self.world.followed_request:
            self.world.trace(
                root, self.name, f"takes call {call.id}, {(call.until - now) / 1000:.0f} ms left"
            )
        repeat = not self.tier and call.number > 0
        self.post(self.module.request, (call.id, root.request_class, 0, max(1, call.until - now), repeat))

    def deadline_missed(self, call: Call) -> None:
        """A call's time and slack are over, and its client or server has waited to the end."""
        if call.open and self.calls.get(call.id) is call:
            self.world.referee.deadline_missed(self.clock.now, call)
            self.dismiss(call)

    def client_disconnected(self, call: Call) -> None:
        if self.tier and self.clock.now >= call.until:
            # The server waited to the end: within the slack the node owes it an answer still.
            self.clock.call_unless(call.until + self.world.slack, self.deadline_missed, call, is_answered)
        else:
            self.dismiss(call)

    def dismiss(self, call: Call) -> None:
        """The caller has left: nothing is owed any more."""
        if not call.open:
            return
        call.open = False
        if self.module is not None and self.calls.get(call.id) is call:
            self.post(self.module.client_disconnected, (call.id,))
            self.disconnected.append(call)  # until the module knows, it may still act for the call

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        if self.module is None:
            return
        now = self.clock.now
        if kind in (ListKind.FULL, ListKind.CACHED):
            listed = {e.server for e in entries}
            for server in self.starts:
                if server not in listed:
                    self.away.setdefault(server, now)
        for e in entries:
            self.starts[e.server] = e.ready_at
            if e.state == State.READY:
                self.away.pop(e.server, None)
            else:
                self.away.setdefault(e.server, now)
        self.post(self.module.server_list, (kind, entries))

    # ---- attempts -------------------------------------------------------------------------------------

    def send(self, request: int, server_id: int, timeout: int) -> None:
        call = self.calls.get(request)
        world = self.world
        now = self.clock.now
        server = world.by_id.get(server_id)
        if call is None or not call.accepted or server is None or server_id not in self.starts:
            world.referee.malformed(now, f"{self.name}: sends what is over or to a server it was not told of")
            return
        number = len(call.sent)
        attempt = Attempt(call, number, server, self, call.key + number * STRIDE, now)
        remaining = min(timeout, call.until - now)
        if not call.open or remaining < 0 or number >= self.settings.max_attempts:
            attempt.ended = True
            call.sent.append(attempt)
            self.tell_outcome(attempt, Outcome.NOT_SENT, not call.open)
            return
        away = self.away.get(server_id, -1)
        if away >= 0 or call.in_flight or call.ran_on is not None:
            world.referee.check_attempt(now, call, server, away)
        call.sent.append(attempt)
        if call.trace is not None:
            attempt.trace = AttemptTrace(self.tier, now)
            call.trace.attempts.append(attempt.trace)
        call.in_flight += 1
        world.accounts.attempts[self.tier] += 1
        call.root.attempts += 1
        world.accounts.crossings += server.zone != self.zone
        if call.root.index == world.followed_request:
            world.trace(
                call.root,
                self.name,
                f"sends call {call.id} to {server.spec.name}, {remaining / 1000:.0f} ms at most",
            )
        self.clock.call_unless(now + remaining, self.timed_out, attempt, is_over)
        network = self.network
        delay = network.ways[self.zone][server.zone][attempt.draw & MASK]
        link = self.links.get(server_id)
        if link is None:
            link = self.links[server_id] = Link(server.incarnation)
        elif link.incarnation != server.incarnation:
            link.incarnation = server.incarnation
            link.idle.clear()
        attempt.link = link
        reached = not network.partitioned_zones or network.reaches(self.zone, server.zone)
        if link.idle:
            link.idle.pop()
            if reached:
                self.clock.call_at(now + delay, server.arrive, attempt)
        else:
            self.dial(attempt, delay, reached)

    def dial(self, attempt: Attempt, delay: int, reached: bool) -> None:
        """A new connection: it costs the server work and the call time, and may not come up.

        One that is not up within the connect time-out is given up, and costs the server nothing.
        """
        server: Server = attempt.server
        late = server.connection_delay(attempt.draw)
        handshake = int(2 * delay * server.spec.handshake_rtts) + late
        in_time = not late or handshake <= self.network.connect_timeout
        self.world.accounts.dials += 1
        if attempt.trace is not None:
            attempt.trace.dialled = True
        wait = self.network.connect_timeout
        if reached and not server.up:
            wait = 2 * delay
        elif reached and not server.silent and in_time and server.change_connections(1):
            self.clock.call_at(self.clock.now + delay + handshake, server.arrive, attempt)
            return
        attempt.link = None
        self.clock.call_at(self.clock.now + wait, self.returned, (attempt, Outcome.CONNECT_FAILED))

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        zone = attempt.server.zone
        network = self.network
        if attempt.ended or (network.partitioned_zones and not network.reaches(self.zone, zone)):
            return
        delay = network.ways[self.zone][zone][attempt.draw >> REPLY_BITS & MASK]
        self.ticker.tick_at(self.clock.now + delay).messages.append((self.returned, (attempt, outcome)))

    def returned(self, what: tuple[Attempt, Outcome]) -> None:
        attempt, outcome = what
        if not attempt.ended:
            self.end(attempt, outcome)

    def timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self.give_up(attempt, Outcome.TIMEOUT)

    def give_up(self, attempt: Attempt, outcome: Outcome) -> None:
        """The node stops waiting; the server learns of it as the connection closes."""
        server = attempt.server
        delay = self.network.between(self.zone, server.zone, attempt.draw)
        if self.network.reaches(self.zone, server.zone):
            self.clock.call_at(self.clock.now + delay, server.abandon, attempt)
        self.end(attempt, outcome)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Books an attempt's end; the first OK is the caller's answer."""
        attempt.ended = True
        call = attempt.call
        call.in_flight -= 1
        now = self.clock.now
        self.world.referee.attempt_ended(call, attempt.server, attempt.sent_at, outcome)
        if attempt.trace is not None:
            given_up = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            attempt.trace.end(now, outcome, silent=given_up and self.is_unanswerable(attempt))
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            link = attempt.link
            if link is not None and link.incarnation == attempt.server.incarnation:
                link.idle.append(now)
        else:
            self.hang_up(attempt)
        if call.root.index == self.world.followed_request:
            took = (now - attempt.sent_at) / 1000
            name = attempt.server.spec.name
            self.world.trace(
                call.root, self.name, f"call {call.id} at {name}: {outcome.name.lower()} after {took:.0f} ms"
            )
        if outcome == Outcome.OK and call.open:
            call.useful = attempt.job.useful
            self.answer(call, Answer.OK, 0)
            self.tell_outcome(attempt, outcome, True)
        else:
            if outcome != Outcome.OK and call.open:
                call.cause = attempt.cause or Cause(CAUSES.get(outcome, "error"), self.tier)
            self.tell_outcome(attempt, outcome, not call.open)
        if outcome != Outcome.TIMEOUT and outcome != Outcome.CANCELLED:
            attempt.job = None
        if not call.open:
            self.forget(call)

    def is_unanswerable(self, attempt: Attempt) -> bool:
        """Whether no answer can come: the server is silent or cut off, or has lost the call or its answer."""
        server: Server = attempt.server
        job: Job | None = attempt.job
        lost = job is None or job.state == DONE
        return lost or server.silent or not self.network.reaches(self.zone, server.zone)

    def hang_up(self, attempt: Attempt) -> None:
        link = attempt.link
        if link is not None and link.incarnation == attempt.server.incarnation:
            attempt.server.change_connections(-1)

    def tell_outcome(self, attempt: Attempt, outcome: Outcome, final: bool) -> None:
        if self.module is not None:
            took = self.clock.now - attempt.sent_at
            args = (attempt.call.id, attempt.number, attempt.server.id, outcome, took, final, ())
            self.post(self.module.outcome, args)

    # ---- answers --------------------------------------------------------------------------------------

    def answer(self, call: Call, answer: Answer, retry_after: int) -> None:
        call.open = False
        self.deliver(call, answer, retry_after)

    def deliver(self, call: Call, answer: Answer, retry_after: int) -> None:
        if call.trace is not None:
            call.trace.end(self.clock.now, answer)
        if self.tier:
            call.caller.answered(call, answer, retry_after)
        else:
            at = self.clock.now + self.network.outside(call.key, REPLY + call.number)
            self.clock.call_at(at, answer_client, (call, answer, retry_after))

    def forget(self, call: Call) -> None:
        """Lets go of a call that is over and has no attempt out."""
        if call.in_flight == 0 and self.calls.pop(call.id, None) is not None:
            call.accepted = False
            call.sent.clear()

    def finish(self, request: int, answer: Answer, retry_after: int) -> None:
        call = self.calls.get(request)
        if call is None or not call.open:
            return
        if not call.sent:
            cause = "refused at the limit" if answer == Answer.REFUSED else "never sent"
            call.cause = Cause(cause, self.tier)
        if answer == Answer.REFUSED:
            self.world.referee.check_rejection(self.clock.now, call)
            self.world.accounts.rejections[self.tier] += 1
        if call.root.index == self.world.followed_request:
            self.world.trace(call.root, self.name, f"answers call {call.id}: {answer.name.lower()}")
        self.answer(call, answer, retry_after)
        call.accepted = False
        self.forget(call)

    # ---- the module's other actions -------------------------------------------------------------------

    def reject(self, request: int, retry_after: int) -> None:
        self.finish(request, Answer.REFUSED, retry_after)

    def fail(self, request: int) -> None:
        self.finish(request, Answer.FAILED, 0)

    def cancel(self, request: int, number: int) -> None:
        call = self.calls.get(request)
        if call is not None and number < len(call.sent) and not call.sent[number].ended:
            self.give_up(call.sent[number], Outcome.CANCELLED)

    def check_health(self, server_id: int) -> None:
        server = self.world.by_id.get(server_id)
        if server is None or server_id not in self.starts or not self.settings.probes:
            self.world.referee.malformed(self.clock.now, f"{self.name}: a probe that is not allowed")
            return
        self.world.accounts.probes += 1
        draw = scramble(server_id, self.world.accounts.probes)
        trip = 2 * self.network.between(self.zone, server.zone, draw)
        alive = server.up and not server.silent and self.network.reaches(self.zone, server.zone)
        ok = alive and server.answer_health_check()
        wait = trip if alive or not server.up else self.network.connect_timeout
        self.clock.call_at(self.clock.now + wait, self.probe_back, (self.incarnation, server_id, ok, wait))

    def probe_back(self, what: tuple[int, int, bool, int]) -> None:
        incarnation, server, ok, took = what
        if incarnation == self.incarnation and self.module is not None:
            self.post(self.module.health_checked, (server, ok, took, ()))

    def set_timer(self, delay: int, token: int) -> None:
        self.clock.call_at(self.clock.now + max(1, delay), self.timer_due, (self.incarnation, token))

    def timer_due(self, what: tuple[int, int]) -> None:
        incarnation, token = what
        if incarnation == self.incarnation and self.module is not None:
            self.post(self.module.timer, (token,))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        self.world.referee.malformed(
            self.clock.now, f"{self.name}: a message to a peer, which nobody allowed"
        )

    def watch(self, on: bool) -> None:
        self.world.discovery.listen(self.subscriber, on)

    def fetch(self) -> None:
        self.world.discovery.fetch(self.subscriber)

    def close(self, server_id: int) -> None:
        link = self.links.get(server_id)
        if link is not None:
            self.drop_idle(self.world.by_id[server_id], link, len(link.idle))

    def log(self, text: str) -> None:
        self.journal.append(f"{self.clock.now / 1e6:.3f} {self.name} {text}")


def answer_client(what: tuple[Call, Answer, int]) -> None:
    call, answer, retry_after = what
    call.caller.answered(call, answer, retry_after)


class Host:
    """Makes the nodes of a world, all on one ticker."""

    def __init__(self, clock: HeapClock, tick: int, policy: Policy) -> None:
        self.ticker = Ticker(clock, tick)
        self.policy = policy

    def node(self, world: World, name: str, tier: int, settings: Settings) -> Node:
        return Node(world, self.ticker, self.policy, name, tier, settings)
