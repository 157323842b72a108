"""A server: cores, a queue, pauses, slow start, and a limit on connections.

Running jobs, which are those that do not wait for the next tier, share the cores evenly (processor sharing).
The virtual time is the work that a job would have received if it had run since the server was created, so a
job completes when the virtual time reaches the job's finish time. One heap of finish times and one timer for
the next completion suffice for any number of jobs.
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
from workbench.model.streams import keyed_draw

# Share of a job's work that is done before its calls to the next tier.
WORK_SHARE_BEFORE_CALLS = 0.5
# Number of steps in which the capacity rises after a start.
WARM_UP_STEPS = 40
# Share of the capacity that connections cost at the connection limit; the specified range is 0.21 to 0.37.
CONNECTION_OVERHEAD_RATIO = 0.25
# Number of values of a draw, which are 0 to 2**32 - 1.
DRAW_RANGE = 2**32
# Identifiers of the random draws of an attempt, one for each purpose.
LATE_CONNECTION_DRAW, CONNECTION_DELAY_DRAW = 201, 202
# Work by which a job may fall short of its finish time, as a margin for rounding errors.
VIRTUAL_TIME_TOLERANCE = 1e-6
# Calls of mean work that a cold server accepts beyond its budget, as a margin for random bursts.
COLD_LOAD_MARGIN_CALLS = 3.0


class Server:
    """A machine and the process on it.

    Args:
        world: The model that the server belongs to.
        spec: The properties of the machine.
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
        self.work_by_class = world.work_table[spec.tier]
        self.slots = spec.slots
        self.thrash_at = spec.thrash_at
        self.full_speed = spec.speed
        self.error_rng = world.streams.random(f"{spec.name}/errors")
        self.pause_rng = world.streams.random(f"{spec.name}/pauses")
        # The node that sends the server's calls to the next tier; None in the last tier.
        self.node: Port | None = None
        self.up = True
        self.draining = False
        # Whether the machine neither sends nor receives.
        self.silent = False
        # Share of new connections that are delayed, and their maximum delay in microseconds.
        self.late_connection_share = 0.0
        self.max_connection_delay = 0
        self.failed_cold = False
        self.ready_at = 0
        # Capacity relative to that after the warm-up.
        self.warm_up_ratio = 1.0
        self.slowdown = 1.0
        # Share of the jobs that end in an error.
        self.failure_rate = spec.error_rate
        # Share of the machine that another program uses.
        self.neighbour_share = 0.0
        self.paused = False
        # Number of starts and stops of the process.
        self.incarnation = 0
        self.connections = 0
        # Work of handshakes and health checks, which is added to the next job.
        self.overhead = 0.0
        # Load received during the warm-up.
        self.recent_load = RecentLoad()
        # Work of all jobs, in core-microseconds of the reference core.
        self.work_done = 0.0
        self._init_jobs()
        if spec.pause_length > 0:
            self.clock.call_at(
                self.clock.now + int(self.next_pause() * self.pause_rng.random()), self.pause, None
            )

    def _init_jobs(self) -> None:
        """Initialise the queue and the processor sharing of an idle server."""
        self.jobs: set[Job] = set()
        self.queue: deque[Job] = deque()
        self.used_slots = 0
        self.running = 0
        self.finish_heap: list[tuple[float, int, Job]] = []
        self.sequence = 0
        self.virtual_time = 0.0
        self.updated_at = 0
        # Current speed of a core, and current rate at which each running job receives work.
        self.speed = self.full_speed
        self.rate = 0.0
        self.timer_at = -1

    # ---- capacity ---------------------------------------------------------------------------------------

    def next_pause(self) -> float:
        """Draw the time until the next pause, in microseconds."""
        return self.spec.pause_interval * (0.6 + 0.8 * self.pause_rng.random())

    def pause(self, _: Any) -> None:
        """Begin a pause of all cores, such as that of a garbage collector."""
        self.paused = True
        self.update_speed()
        length = int(self.spec.pause_length * (0.7 + 0.6 * self.pause_rng.random()))
        self.clock.call_at(self.clock.now + length, self.resume, None)

    def resume(self, _: Any) -> None:
        """End a pause and schedule the next."""
        self.paused = False
        self.update_speed()
        self.clock.call_at(self.clock.now + int(self.next_pause()), self.pause, None)

    def update_speed(self) -> None:
        """Recompute the speed of a core after a change of anything that it depends on."""
        self.advance_virtual_time()
        connection_factor = 1 - CONNECTION_OVERHEAD_RATIO * min(
            1.0, self.connections / self.spec.connection_cap
        )
        share = 0.0 if self.paused or self.silent else 1 - self.neighbour_share
        self.speed = (
            self.full_speed
            * self.warm_up_ratio
            * share
            * connection_factor
            / self.slowdown
            / self.world.shared_slowdown
        )
        self.schedule_completion()

    def capacity(self) -> float:
        """Return the current capacity without pauses, as reference work per microsecond."""
        return (
            self.cores
            * self.full_speed
            * self.warm_up_ratio
            * (1 - self.neighbour_share)
            / self.slowdown
            / self.world.shared_slowdown
        )

    def advance_virtual_time(self) -> None:
        """Advance the virtual time to the clock's current time."""
        now = self.clock.now
        if self.rate > 0:
            self.virtual_time += self.rate * (now - self.updated_at)
        self.updated_at = now

    def schedule_completion(self) -> None:
        """Recompute the rate of the running jobs and set the timer for the next completion."""
        job_count = self.running
        rate = self.speed
        if job_count == 0 or rate <= 0:
            self.rate = 0.0
            return
        if job_count > self.cores:
            rate *= self.cores / job_count
        excess = self.used_slots - self.thrash_at
        if excess > 0:
            rate /= 1 + self.spec.thrash * excess / self.cores
        self.rate = rate
        due = self.updated_at + int((self.finish_heap[0][0] - self.virtual_time) / rate) + 1
        if self.timer_at < 0 or due < self.timer_at:
            self.timer_at = due
            self.clock.call_at(due, self.on_timer, due)

    def on_timer(self, due: int) -> None:
        """Complete the work that is due, and set the next timer."""
        # A timer that an earlier one has superseded is ignored.
        if due != self.timer_at:
            return
        self.timer_at = -1
        self.advance_virtual_time()
        heap = self.finish_heap
        limit = self.virtual_time + VIRTUAL_TIME_TOLERANCE
        while heap and heap[0][0] <= limit:
            job = heappop(heap)[2]
            if job.state == RUNNING:
                self.running -= 1
                self.record_work(job)
                self.continue_job(job)
        self.discard_stopped()
        self.schedule_completion()

    def discard_stopped(self) -> None:
        """Remove jobs that are no longer running from the top of the heap."""
        heap = self.finish_heap
        while heap and heap[0][2].state != RUNNING:
            heappop(heap)

    # ---- jobs ----------------------------------------------------------------------------

    def arrive(self, attempt: Attempt) -> None:
        """Receive an attempt: reject it, queue it, or start its job."""
        if attempt.ended or self.silent:
            return
        if not self.up:
            attempt.port.reply(attempt, Outcome.RESET)
            return
        world = self.world
        call = attempt.call
        root = call.root
        work = self.work_by_class[root.request_class] * root.work_factor
        if self.warm_up_ratio < 1.0 and not self.accepts_cold_load(attempt, work):
            return
        if self.draining or (self.used_slots >= self.slots and len(self.queue) >= self.spec.queue_size):
            attempt.port.reply(attempt, Outcome.REJECTED)
            return
        calls = world.call_count(self.tier, call.key) if self.node is not None else 0
        job = attempt.job = Job(attempt, work + self.overhead, calls)
        self.overhead = 0.0
        self.jobs.add(job)
        if self.used_slots >= self.slots:
            self.queue.append(job)
        else:
            self.advance_virtual_time()
            self.start_job(job)
            self.schedule_completion()

    def start_job(self, job: Job) -> None:
        """Give a job a slot and run the first part of its work."""
        self.used_slots += 1
        if job.remaining_calls:
            first_work = job.remaining_work * WORK_SHARE_BEFORE_CALLS
            job.remaining_work -= first_work
            self.run_work(job, first_work)
        else:
            work, job.remaining_work = job.remaining_work, 0.0
            self.run_work(job, work)

    def run_work(self, job: Job, work: float) -> None:
        """Start a part of a job's work, of `work` core-microseconds."""
        job.state = RUNNING
        job.start_time = self.virtual_time
        job.finish_time = self.virtual_time + work
        self.sequence += 1
        self.running += 1
        heappush(self.finish_heap, (job.finish_time, self.sequence, job))

    def record_work(self, job: Job) -> None:
        """Record the work that a job has received in the current part of its work."""
        work = self.virtual_time - job.start_time
        self.work_done += work
        job.attempt.call.root.work += work

    def continue_job(self, job: Job) -> None:
        """Continue a job after a part of its work: call the next tier, run more work, or respond."""
        if job.remaining_calls:
            job.state = WAITING
            self.call_next_tier(job)
        elif job.remaining_work > 0:
            work, job.remaining_work = job.remaining_work, 0.0
            self.run_work(job, work)
        else:
            error = self.failure_rate > 0 and self.error_rng.random() < self.failure_rate
            self.finish_job(job, Outcome.ERROR if error else Outcome.OK)

    def call_next_tier(self, job: Job) -> None:
        """Make one call to the next tier, through the server's node."""
        parent_call = job.attempt.call
        world = self.world
        key = keyed_draw(parent_call.key, job.remaining_calls)
        call = world.call(parent_call.root, key, self.tier + 1, parent_call.until, self)
        call.context = job
        call.number = job.remaining_calls
        job.remaining_calls -= 1
        job.child_call = call
        attempt_trace = job.attempt.trace
        if call.trace is not None and attempt_trace is not None:
            attempt_trace.calls.append(call.trace)
        node = self.node
        if node is None or not node.ready:
            if call.trace is not None:
                call.trace.end(self.clock.now, Answer.UNREACHABLE)
            call.cause = Cause(NEVER_SENT, self.tier + 1)
            self.answered(call, Answer.UNREACHABLE, 0)
        else:
            node.accept(call)

    def answered(self, call: Call, answer: Answer, retry_after: int) -> None:
        """Receive the next tier's response; a failed call is not retried, so the job fails too."""
        job: Job = call.context
        if job.state != WAITING or job.child_call is not call:
            return
        job.child_call = None
        if answer == Answer.OK:
            job.useful_work += call.useful_work
            self.advance_virtual_time()
            self.continue_job(job)
            self.schedule_completion()
        else:
            job.attempt.cause = call.cause
            self.finish_job(job, Outcome.ERROR)

    def finish_job(self, job: Job, outcome: Outcome) -> None:
        """End a job and respond to its attempt."""
        job.state = DONE
        self.free_slot(job)
        attempt = job.attempt
        if not attempt.ended:
            job.outcome = outcome
            attempt.port.reply(attempt, outcome)

    def free_slot(self, job: Job) -> None:
        """Free the slot of a job and give it to the next job in the queue."""
        self.jobs.discard(job)
        self.used_slots -= 1
        while self.queue and self.used_slots < self.slots:
            next_job = self.queue.popleft()
            if next_job.state != DONE:
                self.advance_virtual_time()
                self.start_job(next_job)
                self.schedule_completion()

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the job of an attempt, unless it has started and the server cannot stop started work."""
        job: Job | None = attempt.job
        if job is None or job.state == DONE or not self.up or self.silent:
            return
        state = job.state
        if not self.spec.cancel and state != QUEUED:
            return
        self.advance_virtual_time()
        job.state = DONE
        if state == QUEUED:
            self.jobs.discard(job)
            self.queue.remove(job)
            return
        if state == RUNNING:
            self.running -= 1
            self.record_work(job)
            self.discard_stopped()
        elif job.child_call is not None and self.node is not None:
            self.node.client_disconnected(job.child_call)
        self.free_slot(job)
        self.schedule_completion()

    # ---- connections and probes --------------------------------------------------------------------------

    def change_connections(self, change: int) -> bool:
        """Open one connection, or close `-change` connections; return False if the limit is reached."""
        if change > 0:
            if self.connections >= self.spec.connection_cap:
                return False
            self.overhead += self.spec.handshake_work
        self.connections += change
        return True

    def connection_delay(self, draw: int) -> int:
        """Return the delay of a new connection in microseconds, selected by the draw of its attempt."""
        if (
            not self.late_connection_share
            or keyed_draw(draw, LATE_CONNECTION_DRAW) >= self.late_connection_share * DRAW_RANGE
        ):
            return 0
        return self.max_connection_delay * keyed_draw(draw, CONNECTION_DELAY_DRAW) // DRAW_RANGE

    def answer_health_check(self) -> bool:
        """Return whether a health check succeeds, and add the work of answering it."""
        self.overhead += self.spec.probe_work
        return not self.draining

    # ---- starts and ends ---------------------------------------------------------------------------------

    def accepts_cold_load(self, attempt: Attempt, work: float) -> bool:
        """Add an attempt to the recent load; kill the server and return False if the load is too high."""
        now = self.clock.now
        world = self.world
        recent_load = self.recent_load
        recent_load.add(ReceivedWork(now, work, world.is_notified_of_start(attempt, self)), world.fall_time)
        budget = world.fall_multiple * self.cores * self.full_speed * self.warm_up_ratio * world.fall_time
        if recent_load.work <= budget + COLD_LOAD_MARGIN_CALLS * world.mean_work[self.tier]:
            return True
        self.failed_cold = True
        world.referee.cold_server_failed(self, recent_load.notified_work / recent_load.work)
        self.stop(kill=True)
        world.discovery.server_stopped(self)
        return False

    def start(self) -> None:
        """Start a new process, which has to warm up; a server that failed while cold stays down."""
        if self.failed_cold or self.up:
            return
        self.up = True
        self.draining = False
        self.incarnation += 1
        self.ready_at = max(1, self.clock.now)
        self.recent_load.clear()
        if self.spec.warm_up_time > 0:
            self.warm_up_ratio = self.spec.cold_capacity_share
            self.clock.call_at(
                self.clock.now + self.spec.warm_up_time // WARM_UP_STEPS, self.warm_up, self.incarnation
            )
        self.update_speed()
        if self.node is not None:
            self.node.boot()
        self.world.discovery.server_started(self)

    def warm_up(self, incarnation: int) -> None:
        """Raise the capacity by one step of the warm-up, unless the process has ended since."""
        if incarnation != self.incarnation or not self.up:
            return
        progress = (self.clock.now - self.ready_at) / self.spec.warm_up_time
        self.warm_up_ratio = min(
            1.0, self.spec.cold_capacity_share + (1 - self.spec.cold_capacity_share) * progress
        )
        self.update_speed()
        if self.warm_up_ratio < 1.0:
            self.clock.call_at(
                self.clock.now + self.spec.warm_up_time // WARM_UP_STEPS, self.warm_up, incarnation
            )

    def stop(self, kill: bool) -> None:
        """End the process: its jobs are reset and its node is killed."""
        if not self.up:
            return
        self.advance_virtual_time()
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
        self.schedule_completion()
        # The node is killed last, when no job is left that could receive a response.
        if self.node is not None:
            self.node.kill()
