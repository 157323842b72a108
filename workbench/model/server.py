"""A server: cores, a queue, pauses, slow start, a limit on connections.

Running jobs, those that do not wait for the next tier, share the cores evenly (processor sharing). The
virtual time is the work that each running job has received since the server was made, so a job completes
when the virtual time reaches its finish time: one heap of finish times and one timer for the next
completion, whatever the number of jobs.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import Any

from balancer.policy.interface import Outcome
from workbench.model.call import NEVER_SENT, Answer, Attempt, Call, Cause, Port
from workbench.model.environment import Environment
from workbench.model.job import DONE, QUEUED, RUNNING, WAITING, Job
from workbench.model.recent_load import ReceivedWork, RecentLoad
from workbench.model.server_spec import ServerSpec
from workbench.model.streams import scramble

WORK_SHARE_BEFORE_CALLS = 0.5  # of a job's work is done before its calls to the next tier
WARM_UP_STEPS = 40  # of capacity after a start
CONNECTION_TAX = 0.25  # of the capacity, at the limit on connections (the brief gives 0.21 to 0.37)
DRAW_RANGE = 2**32
LATE_DRAW, LATE_TIME_DRAW = 201, 202  # what an attempt's draws are for
ROUNDING_MARGIN = 1e-6  # of the virtual time
COLD_SLACK_CALLS = 3.0  # calls of mean work beyond the budget of a cold server, as a margin for chance


class Server:
    """A machine and the process on it.

    Args:
        world: The model that it belongs to.
        spec: The figures of the machine.
    """

    def __init__(self, world: Environment, spec: ServerSpec) -> None:
        self.world = world
        self.clock = world.clock
        self.spec = spec
        self.id = spec.id
        self.tier = spec.tier
        self.zone = spec.zone
        self.cell = spec.cell
        self.kind = spec.kind
        self.cores = spec.cores
        self.works = world.work_table[spec.tier]  # of a call, by class
        self.slots = spec.slots
        self.thrash_at = spec.thrash_at
        self.full_speed = spec.speed
        self.errors = world.streams.random(f"{spec.name}/errors")
        self.pauses = world.streams.random(f"{spec.name}/pauses")
        self.node: Port | None = None  # for its calls to the next tier
        self.up = True
        self.draining = False
        self.silent = False  # the machine neither sends nor receives
        self.late_connection_share = 0.0  # share of its new connections that are delayed
        self.max_connection_delay = 0  # in microseconds
        self.failed_cold = False
        self.ready_at = 0
        self.warmth = 1.0
        self.slow = 1.0
        self.failing = spec.error_rate  # share of the jobs that end in an error
        self.stolen_share = 0.0  # share of the machine that another program uses
        self.paused = False
        self.incarnation = 0  # of its process
        self.connections = 0
        self.overhead = 0.0  # work of handshakes and health checks, added to the next job
        self.recent = RecentLoad()  # received while it warms up
        self.busy = 0.0  # work done, in core-microseconds of the reference core
        self._init_jobs()
        if spec.pause > 0:
            self.clock.call_at(
                self.clock.now + int(self.next_pause() * self.pauses.random()), self.pause, None
            )

    def _init_jobs(self) -> None:
        """Sets the state of queue and processor sharing to that of an idle server."""
        self.jobs: set[Job] = set()
        self.queue: deque[Job] = deque()
        self.used_slots = 0
        self.running = 0
        self.finish_heap: list[tuple[float, int, Job]] = []
        self.sequence = 0
        self.virtual_time = 0.0
        self.updated_at = 0
        self.speed = self.full_speed  # of a core, at present
        self.rate = 0.0  # of each running job, at present
        self.timer_at = -1

    # ---- capacity ---------------------------------------------------------------------------------------

    def next_pause(self) -> float:
        """Draws the microseconds until the next pause."""
        return self.spec.pause_every * (0.6 + 0.8 * self.pauses.random())

    def pause(self, _: Any) -> None:
        """Begins a pause, as of a garbage collector."""
        self.paused = True
        self.update_speed()
        length = int(self.spec.pause * (0.7 + 0.6 * self.pauses.random()))
        self.clock.call_at(self.clock.now + length, self.resume, None)

    def resume(self, _: Any) -> None:
        """Ends a pause and schedules the next."""
        self.paused = False
        self.update_speed()
        self.clock.call_at(self.clock.now + int(self.next_pause()), self.pause, None)

    def update_speed(self) -> None:
        """Computes the speed of a core after anything that it depends on has changed."""
        self.advance()
        tax = 1 - CONNECTION_TAX * min(1.0, self.connections / self.spec.connection_cap)
        share = 0.0 if self.paused or self.silent else 1 - self.stolen_share
        self.speed = self.full_speed * self.warmth * share * tax / self.slow / self.world.shared_slow
        self.schedule()

    def capacity(self) -> float:
        """Returns the reference work a microsecond that the server could do now, leaving out pauses."""
        return (
            self.cores
            * self.full_speed
            * self.warmth
            * (1 - self.stolen_share)
            / self.slow
            / self.world.shared_slow
        )

    def advance(self) -> None:
        """Advances the virtual time to the present."""
        now = self.clock.now
        if self.rate > 0:
            self.virtual_time += self.rate * (now - self.updated_at)
        self.updated_at = now

    def schedule(self) -> None:
        """Computes the rate and sets the timer for the next completion."""
        n = self.running
        rate = self.speed
        if n == 0 or rate <= 0:
            self.rate = 0.0
            return
        if n > self.cores:
            rate *= self.cores / n
        excess = self.used_slots - self.thrash_at
        if excess > 0:
            rate /= 1 + self.spec.thrash * excess / self.cores
        self.rate = rate
        due = self.updated_at + int((self.finish_heap[0][0] - self.virtual_time) / rate) + 1
        if self.timer_at < 0 or due < self.timer_at:
            self.timer_at = due
            self.clock.call_at(due, self.on_timer, due)

    def on_timer(self, due: int) -> None:
        """Completes the work that is due, and sets the next timer."""
        if due != self.timer_at:  # it has been superseded by an earlier one
            return
        self.timer_at = -1
        self.advance()
        heap = self.finish_heap
        limit = self.virtual_time + ROUNDING_MARGIN
        while heap and heap[0][0] <= limit:
            job = heappop(heap)[2]
            if job.state == RUNNING:
                self.running -= 1
                self.record_work(job)
                self.next_step(job)
        self.discard_stopped()
        self.schedule()

    def discard_stopped(self) -> None:
        """Removes jobs that no longer run from the top of the heap."""
        heap = self.finish_heap
        while heap and heap[0][2].state != RUNNING:
            heappop(heap)

    # ---- jobs ----------------------------------------------------------------------------

    def arrive(self, attempt: Attempt) -> None:
        """Receives an attempt."""
        if attempt.ended or self.silent:
            return
        if not self.up:
            attempt.port.reply(attempt, Outcome.RESET)
            return
        world = self.world
        call = attempt.call
        root = call.root
        work = self.works[root.request_class] * root.factor
        if self.warmth < 1.0 and not self.survives_load(attempt, work):
            return
        if self.draining or (self.used_slots >= self.slots and len(self.queue) >= self.spec.queue):
            attempt.port.reply(attempt, Outcome.REJECTED)
            return
        calls = world.calls(self.tier, call.key) if self.node is not None else 0
        job = attempt.job = Job(attempt, work + self.overhead, calls)
        self.overhead = 0.0
        self.jobs.add(job)
        if self.used_slots >= self.slots:
            self.queue.append(job)
        else:
            self.advance()
            self.begin(job)
            self.schedule()

    def begin(self, job: Job) -> None:
        """Gives a job a slot and runs its first part."""
        self.used_slots += 1
        if job.calls:
            part = job.remaining * WORK_SHARE_BEFORE_CALLS
            job.remaining -= part
            self.run(job, part)
        else:
            part, job.remaining = job.remaining, 0.0
            self.run(job, part)

    def run(self, job: Job, work: float) -> None:
        """Runs a part of a job."""
        job.state = RUNNING
        job.start_time = self.virtual_time
        job.finish_time = self.virtual_time + work
        self.sequence += 1
        self.running += 1
        heappush(self.finish_heap, (job.finish_time, self.sequence, job))

    def record_work(self, job: Job) -> None:
        """Records the work that a job has received since it last began to run."""
        done = self.virtual_time - job.start_time
        self.busy += done
        job.attempt.call.root.work += done

    def next_step(self, job: Job) -> None:
        """Continues a job after a part of its work: a call to the next tier, more work, or the response."""
        if job.calls:
            job.state = WAITING
            self.call(job)
        elif job.remaining > 0:
            part, job.remaining = job.remaining, 0.0
            self.run(job, part)
        else:
            error = self.failing > 0 and self.errors.random() < self.failing
            self.finish(job, Outcome.ERROR if error else Outcome.OK)

    def call(self, job: Job) -> None:
        """Makes one call to the next tier, through this server's own node."""
        above = job.attempt.call
        world = self.world
        key = scramble(above.key, job.calls)
        call = world.call(above.root, key, self.tier + 1, above.until, self)
        call.context = job
        call.number = job.calls
        job.calls -= 1
        job.child = call
        parent = job.attempt.trace
        if call.trace is not None and parent is not None:
            parent.calls.append(call.trace)
        node = self.node
        if node is None or not node.ready:
            if call.trace is not None:
                call.trace.end(self.clock.now, Answer.UNREACHABLE)
            call.cause = Cause(NEVER_SENT, self.tier + 1)
            self.answered(call, Answer.UNREACHABLE, 0)
        else:
            node.accept(call)

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Receives the next tier's response. Failed calls are not retried here, so the job fails too."""
        job: Job = call.context
        if job.state != WAITING or job.child is not call:
            return
        job.child = None
        if answer == Answer.OK:
            job.useful += call.useful
            self.advance()
            self.next_step(job)
            self.schedule()
        else:
            job.attempt.cause = call.cause
            self.finish(job, Outcome.ERROR)

    def finish(self, job: Job, outcome: Outcome) -> None:
        """Ends a job and responds to its attempt."""
        job.state = DONE
        self.release(job)
        attempt = job.attempt
        if not attempt.ended:
            job.answer = outcome
            attempt.port.reply(attempt, outcome)

    def release(self, job: Job) -> None:
        """Frees the slot of a job and gives it to the next in the queue."""
        self.jobs.discard(job)
        self.used_slots -= 1
        while self.queue and self.used_slots < self.slots:
            following = self.queue.popleft()
            if following.state != DONE:
                self.advance()
                self.begin(following)
                self.schedule()

    def abandon(self, attempt: Attempt) -> None:
        """Handles an attempt that its node has cancelled: the work stops if this kind of server can."""
        job: Job | None = attempt.job
        if job is None or job.state == DONE or not self.up or self.silent:
            return
        state = job.state
        if not self.spec.cancel and state != QUEUED:
            return
        self.advance()
        job.state = DONE
        if state == QUEUED:
            self.jobs.discard(job)
            self.queue.remove(job)
            return
        if state == RUNNING:
            self.running -= 1
            self.record_work(job)
            self.discard_stopped()
        elif job.child is not None and self.node is not None:
            self.node.client_disconnected(job.child)
        self.release(job)
        self.schedule()

    # ---- connections and probes --------------------------------------------------------------------------

    def change_connections(self, change: int) -> bool:
        """Opens (1) or closes (a negative number) connections; returns False if the limit is reached."""
        if change > 0:
            if self.connections >= self.spec.connection_cap:
                return False
            self.overhead += self.spec.handshake
        self.connections += change
        return True

    def connection_delay(self, draw: int) -> int:
        """Returns the extra microseconds that a new connection takes, by the draw of its attempt."""
        if (
            not self.late_connection_share
            or scramble(draw, LATE_DRAW) >= self.late_connection_share * DRAW_RANGE
        ):
            return 0
        return self.max_connection_delay * scramble(draw, LATE_TIME_DRAW) // DRAW_RANGE

    def answer_health_check(self) -> bool:
        """Returns whether a health check succeeds; answering it costs work."""
        self.overhead += self.spec.probe
        return not self.draining

    # ---- starts and ends ---------------------------------------------------------------------------------

    def survives_load(self, attempt: Attempt, work: float) -> bool:
        """Returns whether a server that warms up can take one more attempt; if not, it fails."""
        now = self.clock.now
        world = self.world
        recent = self.recent
        recent.add(ReceivedWork(now, work, world.knows_start(attempt, self)), world.fall_time)
        budget = world.fall_multiple * self.cores * self.full_speed * self.warmth * world.fall_time
        if recent.work <= budget + COLD_SLACK_CALLS * world.mean_work[self.tier]:
            return True
        self.failed_cold = True
        world.referee.cold_server_failed(self, recent.notified_work / recent.work)
        self.stop(kill=True)
        world.discovery.server_stopped(self)
        return False

    def start(self) -> None:
        """Starts a new process, which has to warm up."""
        if self.failed_cold or self.up:
            return
        self.up = True
        self.draining = False
        self.incarnation += 1
        self.ready_at = max(1, self.clock.now)
        self.recent.clear()
        if self.spec.cold > 0:
            self.warmth = self.spec.cold_from
            self.clock.call_at(
                self.clock.now + self.spec.cold // WARM_UP_STEPS, self.warm_up, self.incarnation
            )
        self.update_speed()
        if self.node is not None:
            self.node.boot()
        self.world.discovery.server_started(self)

    def warm_up(self, incarnation: int) -> None:
        """Raises the capacity by one step of the warm-up."""
        if incarnation != self.incarnation or not self.up:
            return
        passed = (self.clock.now - self.ready_at) / self.spec.cold
        self.warmth = min(1.0, self.spec.cold_from + (1 - self.spec.cold_from) * passed)
        self.update_speed()
        if self.warmth < 1.0:
            self.clock.call_at(self.clock.now + self.spec.cold // WARM_UP_STEPS, self.warm_up, incarnation)

    def stop(self, kill: bool) -> None:
        """Ends the process: jobs are reset."""
        if not self.up:
            return
        self.advance()
        self.up = False
        self.incarnation += 1
        for job in sorted(self.jobs, key=lambda j: j.attempt.call.id):
            if job.state == RUNNING:
                self.record_work(job)
            job.state = DONE
            if not job.attempt.ended:
                job.attempt.port.reply(job.attempt, Outcome.RESET)
        self.jobs.clear()
        self.queue.clear()
        self.finish_heap.clear()
        self.used_slots = self.running = 0
        self.connections = 0
        self.schedule()
        if self.node is not None:  # last: no caller is left to respond to
            self.node.kill()
