"""A simulated node: it handles what has arrived once a tick, and its policy's actions take effect then.

As in the simulator's protocol, the events of a node arrive in order; actions are requested while an event is
handled, and are carried out at the end of the batch, at the batch's time. A policy sees only its events.
"""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from balancer.policy.interface import Events, ListKind, Outcome, ServerEntry, Settings, State
from workbench.baselines import Policy
from workbench.model.call import NEVER_SENT, Answer, Attempt, Call, Cause, has_ended, is_answered
from workbench.model.job import DONE, Job
from workbench.model.network import DELAY_TABLE_SIZE, fixed_float
from workbench.model.server import Server
from workbench.model.site import World
from workbench.model.streams import keyed_draw
from workbench.model.trace import AttemptTrace
from workbench.simulator.connections import ConnectionPool
from workbench.simulator.deliveries import CheckResult, FinalAnswer, Reply, Timer, deliver_answer
from workbench.simulator.recorder import Recorder
from workbench.simulator.ticker import Ticker

Event = tuple[Callable[..., None], tuple[Any, ...]]
REPLY_DRAW = 50  # offset of a response's network draw, apart from those of client attempts
MASK = DELAY_TABLE_SIZE - 1
STRIDE = 0x9E3779B1  # between the draws of a call's attempts
REPLY_DRAW_SHIFT = 14  # an attempt's response uses the upper bits of its draw
DRAIN_POLL_US = 50_000  # between two checks of whether a node has drained
MIN_DRAIN_US = 3_000_000
KILL_GRACE_US = 700_000  # beyond the longest deadline, until a draining node is killed

NEVER = -1
RESET = "reset"
REJECTED = "refused at the limit"
CAUSES = {
    Outcome.REJECTED: "refused upstream",
    Outcome.TIMEOUT: "timed out",
    Outcome.RESET: RESET,
    Outcome.CONNECT_FAILED: RESET,
    Outcome.ERROR: "error",
}


class Node:
    """A node: a `Port` of the model that runs a policy.

    Args:
        world: The model.
        ticker: Schedules the batches.
        policy: Makes the policy of each process.
        name: The node's name.
        tier: The tier that it sends to.
        settings: Its settings.
    """

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
        self.up = self.ready = self.draining = False
        self.incarnation = 0
        self.seeds = world.streams.random(f"{name}/seeds")
        self.subscriber = world.discovery.subscribe(self)
        self.actions = Recorder()
        self.module: Events | None = None
        self.inbox: list[Event] = []
        self.calls: dict[int, Call] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.starts: dict[int, int] = {}  # the start time of each server that it was notified of
        self.unavailable_since: dict[int, int] = {}  # when it was notified that a server drains or is gone
        self.cpu = fixed_float(world.scenario.nodes.cpu_us)
        self.busy_until = 0
        self.log_lines: list[str] = []
        self.disconnected: list[Call] = []  # calls whose callers have disconnected since the last batch

    # ---- process -------------------------------------------------------------------------------------

    def boot(self) -> None:
        """Starts a new process."""
        self.incarnation += 1
        self.up = self.ready = True
        self.draining = False
        self.inbox.clear()
        self.pools.clear()
        self.starts.clear()
        self.unavailable_since.clear()
        self.actions = Recorder()
        module = self.policy(self.settings, self.seeds.getrandbits(62), self.actions, self.world)
        self.module = module
        self.post(module.start, ())
        self.world.discovery.boot(self.subscriber)
        if self.tier == 0:
            self.world.front.node_ready(self)
        self.clock.call_at(self.clock.now + self.network.idle_timeout, self.sweep, self.incarnation)

    def drain(self) -> None:
        """Shuts down gracefully, as on SIGTERM."""
        if self.up and not self.draining:
            self.draining = True
            self.world.front.node_draining(self)
            longest = max(MIN_DRAIN_US, *(c.deadline for c in self.settings.classes))
            begun = self.clock.now
            self.clock.call_at(
                begun + int(self.world.front.drain_lag) + DRAIN_POLL_US,
                self.kill_if_drained,
                self.incarnation,
            )
            self.clock.call_at(begun + longest + KILL_GRACE_US, self.kill_if_alive, self.incarnation)

    def kill_if_drained(self, incarnation: int) -> None:
        """Ends the process once all calls have their response."""
        if incarnation == self.incarnation and self.up:
            if any(c.open for c in self.calls.values()):
                self.clock.call_at(self.clock.now + DRAIN_POLL_US, self.kill_if_drained, incarnation)
            else:
                self.kill()

    def kill_if_alive(self, incarnation: int) -> None:
        """Ends a process that has not drained in time."""
        if incarnation == self.incarnation and self.up:
            self.kill()

    def kill(self) -> None:
        """Ends the process at once: what is open is lost."""
        if not self.up:
            return
        self.up = self.ready = False
        self.incarnation += 1
        self.module = None
        self.inbox.clear()
        self.disconnected.clear()
        if not self.tier:
            self.world.front.node_stopped(self)
        for pool in self.pools.values():
            pool.close_idle()
        calls, self.calls = self.calls, {}
        for call in calls.values():
            self.reset_call(call)

    def reset_call(self, call: Call) -> None:
        """Ends a call that its node's process has lost."""
        for attempt in call.sent:
            if attempt.ended:
                continue
            attempt.ended = True
            if attempt.trace is not None:
                attempt.trace.end(self.clock.now, Outcome.RESET)
            if attempt.connection is not None:
                attempt.connection.close_used()
            attempt.server.cancel_attempt(attempt)
        call.in_flight = 0
        if call.open:
            call.cause = Cause(RESET, self.tier)
            if call.trace is not None:
                call.trace.node_died = True
            self.answer(call, Answer.FAILED, 0)
        call.sent.clear()

    def sweep(self, incarnation: int) -> None:
        """Closes connections that have been idle for too long."""
        if incarnation != self.incarnation:
            return
        oldest = self.clock.now - self.network.idle_timeout
        for pool in self.pools.values():
            pool.close_idle_before(oldest)
        self.clock.call_at(self.clock.now + self.network.idle_timeout // 2, self.sweep, incarnation)

    # ---- events ---------------------------------------------------------------------------------------

    def post(self, event: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Adds an event to the next batch."""
        if not self.inbox:
            self.ticker.tick_at(max(self.clock.now, self.busy_until)).nodes.append(self)
        self.inbox.append((event, args))

    def handle(self, now: int) -> None:
        """Handles a batch: the events in order, then the requested actions in order."""
        inbox, self.inbox = self.inbox, []
        if not inbox:
            return
        self.busy_until = now + int(self.cpu * len(inbox))
        begun = perf_counter_ns()
        for event, args in inbox:
            event(now, *args)
        self.ticker.policy_ns += perf_counter_ns() - begun
        actions = self.actions.requested
        if actions:
            self.actions.requested = []
            for name, args in actions:
                getattr(self, name)(*args)
        if self.disconnected:
            disconnected, self.disconnected = self.disconnected, []
            for call in disconnected:
                self.remove_if_done(call)

    def schedule_arrival(self, at: int, call: Call) -> None:
        """Schedules a client's call for the tick at or after `at`."""
        call.node = self
        self.ticker.tick_at(at).messages.append((self.accept, call))

    def accept(self, call: Call) -> None:
        """Receives a call."""
        call.node = self
        if not self.up or self.module is None:
            call.cause = Cause(RESET, self.tier)
            call.open = False
            self.send_answer(call, Answer.UNREACHABLE, 0)
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
        """Reports a call that is open after its deadline and the slack."""
        if call.open and self.calls.get(call.id) is call:
            self.world.referee.deadline_missed(self.clock.now, call)
            self.discard(call)

    def client_disconnected(self, call: Call) -> None:
        """Handles the disconnection of a caller."""
        if self.tier and self.clock.now >= call.until:
            # The server waited until the deadline: a response is still required within the slack.
            self.clock.call_unless(
                call.until + self.world.answer_slack, self.deadline_missed, call, is_answered
            )
        else:
            self.discard(call)

    def discard(self, call: Call) -> None:
        """Ends a call without a response: its caller has disconnected."""
        if not call.open:
            return
        call.open = False
        if self.module is not None and self.calls.get(call.id) is call:
            self.post(self.module.client_disconnected, (call.id,))
            self.disconnected.append(call)  # until the policy is notified, it may still act for the call

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Receives an endpoint list, or changes to it."""
        if self.module is None:
            return
        now = self.clock.now
        if kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.server for entry in entries}
            for server in self.starts:
                if server not in listed:
                    self.unavailable_since.setdefault(server, now)
        for entry in entries:
            self.starts[entry.server] = entry.ready_at
            if entry.state == State.READY:
                self.unavailable_since.pop(entry.server, None)
            else:
                self.unavailable_since.setdefault(entry.server, now)
        self.post(self.module.server_list, (kind, entries))

    # ---- attempts -------------------------------------------------------------------------------------

    def send(self, request: int, server_id: int, timeout: int) -> None:
        """Sends an attempt, if the call allows one; the time-out is in microseconds."""
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
            self.notify_outcome(attempt, Outcome.NOT_SENT, not call.open)
            return
        unavailable_since = self.unavailable_since.get(server_id, NEVER)
        if unavailable_since >= 0 or call.in_flight or call.ran_on is not None:
            world.referee.check_attempt(now, call, server, unavailable_since)
        self.record_attempt(attempt, remaining)
        self.clock.call_unless(now + remaining, self.timed_out, attempt, has_ended)
        self.transmit(attempt)

    def record_attempt(self, attempt: Attempt, remaining: int) -> None:
        """Records an attempt that is about to be sent, with its time-out in microseconds."""
        world = self.world
        call = attempt.call
        server: Server = attempt.server
        call.sent.append(attempt)
        if call.trace is not None:
            attempt.trace = AttemptTrace(self.tier, attempt.sent_at)
            call.trace.attempts.append(attempt.trace)
        call.in_flight += 1
        world.accounts.attempts[self.tier] += 1
        call.root.attempts += 1
        world.accounts.cross_zone_attempts += server.zone != self.zone
        if call.root.index == world.followed_request:
            what = f"sends call {call.id} to {server.spec.name}, {remaining / 1000:.0f} ms at most"
            world.trace(call.root, self.name, what)

    def transmit(self, attempt: Attempt) -> None:
        """Sends an attempt on an idle connection, or on a new one if there is none."""
        network = self.network
        server: Server = attempt.server
        delay = network.delay_tables[self.zone][server.zone][attempt.draw & MASK]
        pool = self.pools.get(server.id)
        if pool is None:
            pool = self.pools[server.id] = ConnectionPool(server)
        attempt.connection = pool
        reachable = not network.partitioned_zones or network.can_reach(self.zone, server.zone)
        if not pool.take_idle():
            self.dial(attempt, delay, reachable)
        elif reachable:
            self.clock.call_at(self.clock.now + delay, server.arrive, attempt)

    def dial(self, attempt: Attempt, delay: int, reachable: bool) -> None:
        """Sends an attempt on a new connection: it costs the server work and the call time, and may fail.

        One that is not established within the connect time-out is abandoned, and costs the server nothing.
        """
        server: Server = attempt.server
        late = server.connection_delay(attempt.draw)
        handshake = int(2 * delay * server.spec.handshake_rtts) + late
        in_time = not late or handshake <= self.network.connect_timeout
        self.world.accounts.dials += 1
        if attempt.trace is not None:
            attempt.trace.dialled = True
        wait = self.network.connect_timeout
        if reachable and not server.up:
            wait = 2 * delay
        elif reachable and not server.silent and in_time and server.change_connections(1):
            self.clock.call_at(self.clock.now + delay + handshake, server.arrive, attempt)
            return
        attempt.connection = None
        self.clock.call_at(self.clock.now + wait, self.on_reply, Reply(attempt, Outcome.CONNECT_FAILED))

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """Receives a server's response, which takes the network's delay to arrive."""
        zone = attempt.server.zone
        network = self.network
        if attempt.ended or (network.partitioned_zones and not network.can_reach(self.zone, zone)):
            return
        delay = network.delay_tables[self.zone][zone][attempt.draw >> REPLY_DRAW_SHIFT & MASK]
        self.ticker.tick_at(self.clock.now + delay).messages.append((self.on_reply, Reply(attempt, outcome)))

    def on_reply(self, reply: Reply) -> None:
        """Ends an attempt whose response has arrived."""
        if not reply.attempt.ended:
            self.end(reply.attempt, reply.outcome)

    def timed_out(self, attempt: Attempt) -> None:
        """Ends an attempt at its time-out."""
        if not attempt.ended:
            self.abort(attempt, Outcome.TIMEOUT)

    def abort(self, attempt: Attempt, outcome: Outcome) -> None:
        """Ends an attempt; the server learns of it as the connection closes."""
        server = attempt.server
        delay = self.network.zone_delay(self.zone, server.zone, attempt.draw)
        if self.network.can_reach(self.zone, server.zone):
            self.clock.call_at(self.clock.now + delay, server.cancel_attempt, attempt)
        self.end(attempt, outcome)

    def end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Records an attempt's end; the first OK is the response to the call."""
        attempt.ended = True
        call = attempt.call
        call.in_flight -= 1
        now = self.clock.now
        self.world.referee.attempt_ended(call, attempt.server, attempt.sent_at, outcome)
        if attempt.trace is not None:
            given_up = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            attempt.trace.end(now, outcome, silent=given_up and self.is_unanswerable(attempt))
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            if attempt.connection is not None:
                attempt.connection.give_back(now)
        elif attempt.connection is not None:
            attempt.connection.close_used()
        if call.root.index == self.world.followed_request:
            elapsed_ms = (now - attempt.sent_at) / 1000
            name = attempt.server.spec.name
            self.world.trace(
                call.root,
                self.name,
                f"call {call.id} at {name}: {outcome.name.lower()} after {elapsed_ms:.0f} ms",
            )
        if outcome == Outcome.OK and call.open:
            call.useful_work = attempt.job.useful_work
            self.answer(call, Answer.OK, 0)
            self.notify_outcome(attempt, outcome, True)
        else:
            if outcome != Outcome.OK and call.open:
                call.cause = attempt.cause or Cause(CAUSES.get(outcome, "error"), self.tier)
            self.notify_outcome(attempt, outcome, not call.open)
        if outcome != Outcome.TIMEOUT and outcome != Outcome.CANCELLED:
            attempt.job = None
        if not call.open:
            self.remove_if_done(call)

    def is_unanswerable(self, attempt: Attempt) -> bool:
        """Returns whether no response can come: server silent or unreachable, or call or response lost."""
        server: Server = attempt.server
        job: Job | None = attempt.job
        lost = job is None or job.state == DONE
        return lost or server.silent or not self.network.can_reach(self.zone, server.zone)

    def notify_outcome(self, attempt: Attempt, outcome: Outcome, final: bool) -> None:
        """Notifies the policy of an attempt's outcome."""
        if self.module is not None:
            latency = self.clock.now - attempt.sent_at
            args = (attempt.call.id, attempt.number, attempt.server.id, outcome, latency, final, ())
            self.post(self.module.outcome, args)

    # ---- answers --------------------------------------------------------------------------------------

    def answer(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Closes a call and sends its response."""
        call.open = False
        self.send_answer(call, answer, retry_after)

    def send_answer(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Sends the response to the caller."""
        if call.trace is not None:
            call.trace.end(self.clock.now, answer)
        if self.tier:
            call.caller.answered(call, answer, retry_after)
        else:
            at = self.clock.now + self.network.client_delay(call.key, REPLY_DRAW + call.number)
            self.clock.call_at(at, deliver_answer, FinalAnswer(call, answer, retry_after))

    def remove_if_done(self, call: Call) -> None:
        """Removes a call that is closed and has no attempt in flight."""
        if call.in_flight == 0 and self.calls.pop(call.id, None) is not None:
            call.accepted = False
            call.sent.clear()

    def finish(self, request: int, answer: Answer, retry_after: int) -> None:
        """Carries out the policy's response to a call."""
        call = self.calls.get(request)
        if call is None or not call.open:
            return
        if not call.sent:
            cause = REJECTED if answer == Answer.REFUSED else NEVER_SENT
            call.cause = Cause(cause, self.tier)
        if answer == Answer.REFUSED:
            self.world.referee.check_rejection(self.clock.now, call)
            self.world.accounts.rejections[self.tier] += 1
        if call.root.index == self.world.followed_request:
            self.world.trace(call.root, self.name, f"answers call {call.id}: {answer.name.lower()}")
        self.answer(call, answer, retry_after)
        call.accepted = False
        self.remove_if_done(call)

    # ---- the policy's other actions -------------------------------------------------------------------

    def reject(self, request: int, retry_after: int) -> None:
        """Rejects a call."""
        self.finish(request, Answer.REFUSED, retry_after)

    def fail(self, request: int) -> None:
        """Responds to a call with an error."""
        self.finish(request, Answer.FAILED, 0)

    def cancel(self, request: int, number: int) -> None:
        """Cancels an attempt."""
        call = self.calls.get(request)
        if call is not None and number < len(call.sent) and not call.sent[number].ended:
            self.abort(call.sent[number], Outcome.CANCELLED)

    def check_health(self, server_id: int) -> None:
        """Checks the health of a server."""
        server = self.world.by_id.get(server_id)
        if server is None or server_id not in self.starts or not self.settings.probes:
            self.world.referee.malformed(self.clock.now, f"{self.name}: a probe that is not allowed")
            return
        self.world.accounts.probes += 1
        draw = keyed_draw(server_id, self.world.accounts.probes)
        round_trip = 2 * self.network.zone_delay(self.zone, server.zone, draw)
        alive = server.up and not server.silent and self.network.can_reach(self.zone, server.zone)
        ok = alive and server.answer_health_check()
        wait = round_trip if alive or not server.up else self.network.connect_timeout
        self.clock.call_at(
            self.clock.now + wait, self.health_check_done, CheckResult(self.incarnation, server_id, ok, wait)
        )

    def health_check_done(self, result: CheckResult) -> None:
        """Notifies the policy of the result of a health check."""
        if result.incarnation == self.incarnation and self.module is not None:
            self.post(self.module.health_checked, (result.server, result.healthy, result.elapsed, ()))

    def set_timer(self, delay: int, token: int) -> None:
        """Sets a timer."""
        self.clock.call_at(self.clock.now + max(1, delay), self.on_timer, Timer(self.incarnation, token))

    def on_timer(self, timer: Timer) -> None:
        """Notifies the policy of a timer."""
        if timer.incarnation == self.incarnation and self.module is not None:
            self.post(self.module.timer, (timer.token,))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Reports a violation: nodes of the model have no peers."""
        self.world.referee.malformed(
            self.clock.now, f"{self.name}: a message to a peer, which nobody allowed"
        )

    def watch(self, on: bool) -> None:
        """Starts or ends a watch on the endpoint list."""
        self.world.discovery.set_watching(self.subscriber, on)

    def fetch(self) -> None:
        """Polls the full endpoint list."""
        self.world.discovery.fetch(self.subscriber)

    def close(self, server_id: int) -> None:
        """Closes the idle connections to a server."""
        pool = self.pools.get(server_id)
        if pool is not None:
            pool.close_idle()

    def log(self, text: str) -> None:
        """Records a log line."""
        self.log_lines.append(f"{self.clock.now / 1e6:.3f} {self.name} {text}")
