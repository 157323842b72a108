"""A simulated node, which runs a policy and handles events in batches, once per tick.

The policy receives the events of a batch in the order of their arrival, and knows nothing but its events. The
actions that it requests are carried out at the end of the batch, at the batch's time.
"""

from __future__ import annotations

from collections.abc import Callable
from time import perf_counter_ns
from typing import Any

from balancer.policy.interface import Events, ListKind, Outcome, ServerEntry, Settings, State
from workbench.baselines import PolicyFactory
from workbench.model.call import NEVER_SENT, Answer, Attempt, Call, Cause, has_ended, is_answered
from workbench.model.job import DONE, Job
from workbench.model.network import DELAY_TABLE_SIZE, fixed_float
from workbench.model.server import Server
from workbench.model.site import World
from workbench.model.streams import keyed_draw
from workbench.model.trace import AttemptTrace
from workbench.simulator.connections import ConnectionPool
from workbench.simulator.deliveries import (
    CallResponse,
    HealthCheckResult,
    PolicyTimer,
    Reply,
    deliver_response,
)
from workbench.simulator.recorder import ActionRecorder
from workbench.simulator.ticker import Ticker

# An event method of the policy and its arguments, except the time.
Event = tuple[Callable[..., None], tuple[Any, ...]]
# The offset that keeps the network draws of responses to clients apart from those of client attempts.
REPLY_DRAW_OFFSET = 50
DRAW_MASK = DELAY_TABLE_SIZE - 1
# The difference between the draws of two consecutive attempts at a call.
ATTEMPT_DRAW_STRIDE = 0x9E3779B1
# The network delay of the response to an attempt uses the upper bits of the attempt's draw.
REPLY_DRAW_SHIFT = 14
DRAIN_POLL_INTERVAL_US = 50_000
MIN_DRAIN_US = 3_000_000
# The time from the longest deadline until a draining node is killed.
KILL_GRACE_US = 700_000

NOT_NOTIFIED = -1
CONNECTION_RESET = "reset"
REJECTED_AT_LIMIT = "refused at the limit"
LOSS_REASONS = {
    Outcome.REJECTED: "refused upstream",
    Outcome.TIMEOUT: "timed out",
    Outcome.RESET: CONNECTION_RESET,
    Outcome.CONNECT_FAILED: CONNECTION_RESET,
    Outcome.ERROR: "error",
}


class Node:
    """A node of the model, which implements `Port` and runs a policy.

    Args:
        world: The model.
        ticker: Schedules the batches.
        policy_factory: Creates the policy of each process.
        name: The node's name.
        tier: The tier of the servers that it sends to.
        settings: The policy's settings.

    Attributes:
        active_policy: The policy of the running process, or None while there is no process.
        starts: The start time of each server that the node was notified of, by server.
        unavailable_since: When the node was notified that a server is draining or gone, by server.
        cpu_per_event_us: The CPU time that an event takes, in microseconds.
        disconnected_calls: The calls whose callers have disconnected since the last batch.
    """

    def __init__(
        self,
        world: World,
        ticker: Ticker,
        policy_factory: PolicyFactory,
        name: str,
        tier: int,
        settings: Settings,
    ) -> None:
        self.world = world
        self.clock = world.clock
        self.network = world.network
        self.ticker = ticker
        self.policy_factory = policy_factory
        self.name = name
        self.tier = tier
        self.settings = settings
        self.zone = settings.zone
        self.up = self.ready = self.draining = False
        self.incarnation = 0
        self.seed_rng = world.streams.random(f"{name}/seeds")
        self.subscriber = world.discovery.subscribe(self)
        self.actions = ActionRecorder()
        self.active_policy: Events | None = None
        self.inbox: list[Event] = []
        self.calls: dict[int, Call] = {}
        self.pools: dict[int, ConnectionPool] = {}
        self.starts: dict[int, int] = {}
        self.unavailable_since: dict[int, int] = {}
        self.cpu_per_event_us = fixed_float(world.scenario.nodes.cpu_us)
        self.busy_until = 0
        self.log_lines: list[str] = []
        self.disconnected_calls: list[Call] = []

    # ---- process -------------------------------------------------------------------------------------

    def boot(self) -> None:
        """Start a new process."""
        self.incarnation += 1
        self.up = self.ready = True
        self.draining = False
        self.inbox.clear()
        self.pools.clear()
        self.starts.clear()
        self.unavailable_since.clear()
        self.actions = ActionRecorder()
        policy = self.policy_factory(self.settings, self.seed_rng.getrandbits(62), self.actions, self.world)
        self.active_policy = policy
        self.post(policy.start, ())
        self.world.discovery.boot(self.subscriber)
        if self.tier == 0:
            self.world.front.node_ready(self)
        self.clock.call_at(self.clock.now + self.network.idle_timeout, self.sweep, self.incarnation)

    def drain(self) -> None:
        """Shut down gracefully, as on SIGTERM: calls in progress are completed first."""
        if self.up and not self.draining:
            self.draining = True
            self.world.front.node_draining(self)
            longest_deadline = max(MIN_DRAIN_US, *(c.deadline for c in self.settings.classes))
            started = self.clock.now
            self.clock.call_at(
                started + int(self.world.front.drain_lag) + DRAIN_POLL_INTERVAL_US,
                self.kill_if_drained,
                self.incarnation,
            )
            self.clock.call_at(
                started + longest_deadline + KILL_GRACE_US, self.kill_if_alive, self.incarnation
            )

    def kill_if_drained(self, incarnation: int) -> None:
        """End a draining process once all its calls have their response; check again later if not."""
        if incarnation == self.incarnation and self.up:
            if any(c.open for c in self.calls.values()):
                self.clock.call_at(self.clock.now + DRAIN_POLL_INTERVAL_US, self.kill_if_drained, incarnation)
            else:
                self.kill()

    def kill_if_alive(self, incarnation: int) -> None:
        """End a process that has not drained in time."""
        if incarnation == self.incarnation and self.up:
            self.kill()

    def kill(self) -> None:
        """End the process at once, as on SIGKILL: open calls and attempts are lost."""
        if not self.up:
            return
        self.up = self.ready = False
        self.incarnation += 1
        self.active_policy = None
        self.inbox.clear()
        self.disconnected_calls.clear()
        if not self.tier:
            self.world.front.node_stopped(self)
        for pool in self.pools.values():
            pool.close_idle()
        calls, self.calls = self.calls, {}
        for call in calls.values():
            self.reset_call(call)

    def reset_call(self, call: Call) -> None:
        """End a call, and its attempts, that the node's process has lost by its end."""
        for attempt in call.sent:
            if attempt.ended:
                continue
            attempt.ended = True
            if attempt.trace is not None:
                attempt.trace.end(self.clock.now, Outcome.RESET)
            if attempt.connection is not None:
                attempt.connection.close_active()
            attempt.server.cancel_attempt(attempt)
        call.in_flight = 0
        if call.open:
            call.cause = Cause(CONNECTION_RESET, self.tier)
            if call.trace is not None:
                call.trace.node_died = True
            self.answer(call, Answer.FAILED, 0)
        call.sent.clear()

    def sweep(self, incarnation: int) -> None:
        """Close connections that have been idle for too long."""
        if incarnation != self.incarnation:
            return
        oldest = self.clock.now - self.network.idle_timeout
        for pool in self.pools.values():
            pool.close_idle_before(oldest)
        self.clock.call_at(self.clock.now + self.network.idle_timeout // 2, self.sweep, incarnation)

    # ---- events ---------------------------------------------------------------------------------------

    def post(self, event: Callable[..., None], args: tuple[Any, ...]) -> None:
        """Add an event to the next batch."""
        if not self.inbox:
            self.ticker.tick_at(max(self.clock.now, self.busy_until)).nodes.append(self)
        self.inbox.append((event, args))

    def handle(self, now: int) -> None:
        """Handle a batch: notify the policy of the events in order, then carry out the requested actions."""
        inbox, self.inbox = self.inbox, []
        if not inbox:
            return
        self.busy_until = now + int(self.cpu_per_event_us * len(inbox))
        started_ns = perf_counter_ns()
        for event, args in inbox:
            event(now, *args)
        self.ticker.policy_time_ns += perf_counter_ns() - started_ns
        actions = self.actions.requested
        if actions:
            self.actions.requested = []
            for name, args in actions:
                getattr(self, name)(*args)
        if self.disconnected_calls:
            disconnected_calls, self.disconnected_calls = self.disconnected_calls, []
            for call in disconnected_calls:
                self.remove_if_done(call)

    def schedule_arrival(self, at: int, call: Call) -> None:
        """Schedule the arrival of a client's call at the first tick at or after `at`."""
        call.node = self
        self.ticker.tick_at(at).messages.append((self.accept, call))

    def accept(self, call: Call) -> None:
        """Accept a call, or respond that the node is unreachable if it is not running."""
        call.node = self
        if not self.up or self.active_policy is None:
            call.cause = Cause(CONNECTION_RESET, self.tier)
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
        is_repeat = not self.tier and call.number > 0
        self.post(
            self.active_policy.request, (call.id, root.request_class, 0, max(1, call.until - now), is_repeat)
        )

    def deadline_missed(self, call: Call) -> None:
        """Report a call that is still open after its deadline and the slack as a violation, and end it."""
        if call.open and self.calls.get(call.id) is call:
            self.world.referee.deadline_missed(self.clock.now, call)
            self.discard(call)

    def client_disconnected(self, call: Call) -> None:
        """Handle the disconnection of a caller."""
        if self.tier and self.clock.now >= call.until:
            # The calling server waited until the deadline, so a response is still required within the slack.
            self.clock.call_unless(
                call.until + self.world.answer_slack, self.deadline_missed, call, is_answered
            )
        else:
            self.discard(call)

    def discard(self, call: Call) -> None:
        """End a call whose caller has disconnected, without a response."""
        if not call.open:
            return
        call.open = False
        if self.active_policy is not None and self.calls.get(call.id) is call:
            self.post(self.active_policy.client_disconnected, (call.id,))
            # The call is kept until the policy is notified, as the policy may still request actions for it.
            self.disconnected_calls.append(call)

    def update_servers(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Record an endpoint list, or changes to it, and notify the policy."""
        if self.active_policy is None:
            return
        now = self.clock.now
        if kind in (ListKind.FULL, ListKind.CACHED):
            listed_servers = {entry.server for entry in entries}
            for server in self.starts:
                if server not in listed_servers:
                    self.unavailable_since.setdefault(server, now)
        for entry in entries:
            self.starts[entry.server] = entry.ready_at
            if entry.state == State.READY:
                self.unavailable_since.pop(entry.server, None)
            else:
                self.unavailable_since.setdefault(entry.server, now)
        self.post(self.active_policy.server_list, (kind, entries))

    # ---- attempts -------------------------------------------------------------------------------------

    def send(self, request: int, server_id: int, timeout: int) -> None:
        """Send an attempt with a time-out in microseconds, if the call is open and has attempts left."""
        call = self.calls.get(request)
        world = self.world
        now = self.clock.now
        server = world.by_id.get(server_id)
        if call is None or not call.accepted or server is None or server_id not in self.starts:
            world.referee.malformed(
                now, f"{self.name}: an attempt at a call that has ended, or at an unlisted server"
            )
            return
        number = len(call.sent)
        attempt = Attempt(call, number, server, self, call.key + number * ATTEMPT_DRAW_STRIDE, now)
        remaining = min(timeout, call.until - now)
        if not call.open or remaining < 0 or number >= self.settings.max_attempts:
            attempt.ended = True
            call.sent.append(attempt)
            self.notify_outcome(attempt, Outcome.NOT_SENT, not call.open)
            return
        unavailable_since = self.unavailable_since.get(server_id, NOT_NOTIFIED)
        if unavailable_since >= 0 or call.in_flight or call.ran_on is not None:
            world.referee.check_attempt(now, call, server, unavailable_since)
        self.record_attempt(attempt, remaining)
        self.clock.call_unless(now + remaining, self.timed_out, attempt, has_ended)
        self.transmit(attempt)

    def record_attempt(self, attempt: Attempt, remaining: int) -> None:
        """Record an attempt that is about to be sent with `remaining` microseconds until its time-out."""
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
            step = f"sends call {call.id} to {server.spec.name}, {remaining / 1000:.0f} ms at most"
            world.trace(call.root, self.name, step)

    def transmit(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one if there is none."""
        network = self.network
        server: Server = attempt.server
        delay = network.delay_tables[self.zone][server.zone][attempt.draw & DRAW_MASK]
        pool = self.pools.get(server.id)
        if pool is None:
            pool = self.pools[server.id] = ConnectionPool(server)
        attempt.connection = pool
        reachable = not network.partitioned_zones or network.can_reach(self.zone, server.zone)
        if not pool.acquire_idle():
            self.dial(attempt, delay, reachable)
        elif reachable:
            self.clock.call_at(self.clock.now + delay, server.arrive, attempt)

    def dial(self, attempt: Attempt, delay: int, reachable: bool) -> None:
        """Send an attempt on a new connection, which delays the call and costs the server work, and may fail.

        A connection that is not established within the connect time-out is abandoned and costs the server
        nothing.
        """
        server: Server = attempt.server
        additional_delay = server.connection_delay(attempt.draw)
        handshake = int(2 * delay * server.spec.handshake_rtts) + additional_delay
        in_time = not additional_delay or handshake <= self.network.connect_timeout
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
        """Schedule the arrival of a server's response after the network delay."""
        zone = attempt.server.zone
        network = self.network
        if attempt.ended or (network.partitioned_zones and not network.can_reach(self.zone, zone)):
            return
        delay = network.delay_tables[self.zone][zone][attempt.draw >> REPLY_DRAW_SHIFT & DRAW_MASK]
        self.ticker.tick_at(self.clock.now + delay).messages.append((self.on_reply, Reply(attempt, outcome)))

    def on_reply(self, reply: Reply) -> None:
        """End an attempt whose outcome has arrived, unless it has ended before."""
        if not reply.attempt.ended:
            self.end_attempt(reply.attempt, reply.outcome)

    def timed_out(self, attempt: Attempt) -> None:
        """Abort an attempt that is still in flight at its time-out."""
        if not attempt.ended:
            self.abort(attempt, Outcome.TIMEOUT)

    def abort(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt by closing its connection; the server notices after the network delay."""
        server = attempt.server
        delay = self.network.zone_delay(self.zone, server.zone, attempt.draw)
        if self.network.can_reach(self.zone, server.zone):
            self.clock.call_at(self.clock.now + delay, server.cancel_attempt, attempt)
        self.end_attempt(attempt, outcome)

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """Record the outcome of an attempt; the first OK is the response to the call."""
        attempt.ended = True
        call = attempt.call
        call.in_flight -= 1
        now = self.clock.now
        self.world.referee.attempt_ended(call, attempt.server, attempt.sent_at, outcome)
        if attempt.trace is not None:
            is_abandoned = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED)
            attempt.trace.end(now, outcome, silent=is_abandoned and self.is_unanswerable(attempt))
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            if attempt.connection is not None:
                attempt.connection.release(now)
        elif attempt.connection is not None:
            attempt.connection.close_active()
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
                call.cause = attempt.cause or Cause(LOSS_REASONS.get(outcome, "error"), self.tier)
            self.notify_outcome(attempt, outcome, not call.open)
        if outcome != Outcome.TIMEOUT and outcome != Outcome.CANCELLED:
            attempt.job = None
        if not call.open:
            self.remove_if_done(call)

    def is_unanswerable(self, attempt: Attempt) -> bool:
        """Return whether no response can arrive any more.

        This is so if the server is silent or unreachable, or if the call or its response was lost.
        """
        server: Server = attempt.server
        job: Job | None = attempt.job
        is_lost = job is None or job.state == DONE
        return is_lost or server.silent or not self.network.can_reach(self.zone, server.zone)

    def notify_outcome(self, attempt: Attempt, outcome: Outcome, final: bool) -> None:
        """Notify the policy of an attempt's outcome; `final` means that the call is closed."""
        if self.active_policy is not None:
            latency = self.clock.now - attempt.sent_at
            args = (attempt.call.id, attempt.number, attempt.server.id, outcome, latency, final, ())
            self.post(self.active_policy.outcome, args)

    # ---- responses ------------------------------------------------------------------------------------

    def answer(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Close a call and send its response."""
        call.open = False
        self.send_answer(call, answer, retry_after)

    def send_answer(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Send the response to a call to its caller: a server at once, a client after the network delay."""
        if call.trace is not None:
            call.trace.end(self.clock.now, answer)
        if self.tier:
            call.caller.answered(call, answer, retry_after)
        else:
            at = self.clock.now + self.network.client_delay(call.key, REPLY_DRAW_OFFSET + call.number)
            self.clock.call_at(at, deliver_response, CallResponse(call, answer, retry_after))

    def remove_if_done(self, call: Call) -> None:
        """Remove a call that is closed and has no attempt in flight."""
        if call.in_flight == 0 and self.calls.pop(call.id, None) is not None:
            call.accepted = False
            call.sent.clear()

    def finish(self, request: int, answer: Answer, retry_after: int) -> None:
        """Respond to an open call as the policy has requested."""
        call = self.calls.get(request)
        if call is None or not call.open:
            return
        if not call.sent:
            cause = REJECTED_AT_LIMIT if answer == Answer.REFUSED else NEVER_SENT
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
        """Reject a call, with the delay in microseconds after which the caller may retry."""
        self.finish(request, Answer.REFUSED, retry_after)

    def fail(self, request: int) -> None:
        """Respond to a call with an error."""
        self.finish(request, Answer.FAILED, 0)

    def cancel(self, request: int, number: int) -> None:
        """Cancel an attempt at a call, by its number within the call, if it is in flight."""
        call = self.calls.get(request)
        if call is not None and number < len(call.sent) and not call.sent[number].ended:
            self.abort(call.sent[number], Outcome.CANCELLED)

    def check_health(self, server_id: int) -> None:
        """Check the health of a server and notify the policy of the result after the round trip."""
        server = self.world.by_id.get(server_id)
        if server is None or server_id not in self.starts or not self.settings.probes:
            self.world.referee.malformed(self.clock.now, f"{self.name}: a health check that is not allowed")
            return
        self.world.accounts.probes += 1
        draw = keyed_draw(server_id, self.world.accounts.probes)
        round_trip = 2 * self.network.zone_delay(self.zone, server.zone, draw)
        is_responsive = server.up and not server.silent and self.network.can_reach(self.zone, server.zone)
        is_healthy = is_responsive and server.answer_health_check()
        wait = round_trip if is_responsive or not server.up else self.network.connect_timeout
        self.clock.call_at(
            self.clock.now + wait,
            self.health_check_done,
            HealthCheckResult(self.incarnation, server_id, is_healthy, wait),
        )

    def health_check_done(self, result: HealthCheckResult) -> None:
        """Notify the policy of the result of a health check that it requested."""
        if result.incarnation == self.incarnation and self.active_policy is not None:
            self.post(self.active_policy.health_checked, (result.server, result.healthy, result.elapsed, ()))

    def set_timer(self, delay: int, token: int) -> None:
        """Set a timer that expires after a delay in microseconds."""
        self.clock.call_at(
            self.clock.now + max(1, delay), self.on_timer, PolicyTimer(self.incarnation, token)
        )

    def on_timer(self, timer: PolicyTimer) -> None:
        """Notify the policy of an expired timer."""
        if timer.incarnation == self.incarnation and self.active_policy is not None:
            self.post(self.active_policy.timer, (timer.token,))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Report a violation, as nodes of the model have no peers."""
        self.world.referee.malformed(
            self.clock.now, f"{self.name}: a message to a peer, of which there are none"
        )

    def watch(self, on: bool) -> None:
        """Start or end a watch on the endpoint list."""
        self.world.discovery.set_watching(self.subscriber, on)

    def fetch(self) -> None:
        """Poll the full endpoint list."""
        self.world.discovery.fetch(self.subscriber)

    def close(self, server_id: int) -> None:
        """Close the idle connections to a server."""
        pool = self.pools.get(server_id)
        if pool is not None:
            pool.close_idle()

    def log(self, text: str) -> None:
        """Record a log line with the time in seconds and the node's name."""
        self.log_lines.append(f"{self.clock.now / 1e6:.3f} {self.name} {text}")
