"""Leases on a virtual network, with checks of their rules by true time.

Faults: clocks that drift or are stepped, processes that pause or restart without their state, datagrams that
are lost or delayed, partitions.

Rules: no two processes hold the lease at the same time, tokens rise from holder to holder, and after the last
fault some process acquires the lease.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import LeaseMessage
from balancer.fleet.leases.settings import Electorate
from balancer.fleet.leases.voter import Voter
from workbench.explore.faults import SECOND_US, Fault, FaultType, draw_faults
from workbench.explore.lease_process import Environment, Implementation, LeaseProcess
from workbench.explore.lease_rules import LeaseRules, Trace
from workbench.explore.virtual_network import LinkFaults, VirtualNetwork
from workbench.simulator.heap import HeapClock

RUN_DURATION_US = 45 * SECOND_US
# Time at the end of a run in which no fault begins and a process has to acquire the lease.
FAULT_FREE_PERIOD_US = 15 * SECOND_US
VOTER_COUNTS = (3, 3, 5)
MAX_CLIENTS = 3
REQUESTING_VOTER_PROBABILITY = 0.3


class LeaseNetwork:
    """The processes, faults and checks of one run.

    Args:
        seed: Seed of all random draws.
        implementation: Classes of the client and the voter.
        faults: The faults of the run; None to draw them by the seed.
        voters: Number of processes that vote; 0 to draw it by the seed.
        clients: Number of other processes, which request the lease; 0 to draw it by the seed, and to draw
            which voters request the lease too.

    Attributes:
        memory_lost: Whether a voter was killed whose tokens too few other voters knew.
        clock_was_stepped: Whether a wall clock was stepped.
    """

    def __init__(
        self,
        seed: int,
        implementation: Implementation = (LeaseClient, Voter),
        faults: list[Fault] | None = None,
        voters: int = 0,
        clients: int = 0,
    ) -> None:
        rng, self.acts_rng = Random(f"duties {seed}"), Random(f"acts {seed}")
        self.clock = HeapClock(0)
        self.network: VirtualNetwork[str, LeaseMessage] = VirtualNetwork(
            self.clock, Random(f"wire {seed}"), faults=LinkFaults(loss=0.0)
        )
        count = voters or rng.choice(VOTER_COUNTS)
        electorate = Electorate(tuple(f"v{i}" for i in range(count)))
        client_names = [f"a{i}" for i in range(clients or rng.randint(1, MAX_CLIENTS))]
        names = [*electorate.voters, *client_names]
        self.trace = Trace(seed, count)
        self.rules = LeaseRules(self.clock, self.trace)
        self.memory_lost = self.clock_was_stepped = False
        environment = Environment(self.network, implementation, electorate, rng, self.acts_rng, self)
        self.processes: dict[str, LeaseProcess] = {}
        for name in names:
            requests_lease = name in client_names or (
                not clients and rng.random() < REQUESTING_VOTER_PROBABILITY
            )
            self.processes[name] = LeaseProcess(environment, name, requests_lease)
        drawn = draw_faults(Random(f"faults {seed}"), names, RUN_DURATION_US - FAULT_FREE_PERIOD_US)
        self.trace.faults = drawn if faults is None else faults
        for fault in self.trace.faults:
            self.clock.call_at(fault.at, self._start_fault, fault)

    # ---- the run --------------------------------------------------------------------------------------

    def play(self) -> Trace:
        """Run to the end, or up to the first violation."""
        while not self.trace.violations and self.network.run_next(RUN_DURATION_US):
            self.rules.on_holders([process.name for process in self.holders()])
        if any(process.is_running and process.requests_lease for process in self.processes.values()):
            self.rules.check_is_held_again(RUN_DURATION_US, max_gap=FAULT_FREE_PERIOD_US // 2)
        return self.trace

    def holders(self) -> list[LeaseProcess]:
        """Return the processes that consider themselves the holder now."""
        return [p for p in self.processes.values() if p.is_running and p.held_token() is not None]

    def may_have_forgotten(self) -> bool:
        """Return whether voters may have forgotten the last token; then only wall clocks make tokens rise."""
        return self.memory_lost or any(p.is_running and p.has_forgotten() for p in self.processes.values())

    # ---- events of the processes ----------------------------------------------------------------------

    def on_sent(self) -> None:
        """Count a message."""
        self.trace.messages += 1

    def on_acquired(self, process: LeaseProcess, token: int) -> None:
        """Check the token of a new holder."""
        may_repeat_tokens = self.clock_was_stepped and self.may_have_forgotten()
        self.rules.on_acquired(process.name, token, may_repeat_tokens)

    def on_act(self, token: int) -> None:
        """Count an act of a process that considers itself the holder."""
        self.rules.on_act(token)

    def on_memory_lost(self) -> None:
        """Note that voters may have forgotten the last token."""
        self.memory_lost = True

    # ---- faults ---------------------------------------------------------------------------------------

    def _start_fault(self, fault: Fault) -> None:
        start_by_type: dict[FaultType, Callable[[Fault], None]] = {
            FaultType.KILL: self._kill,
            FaultType.PAUSE: self._pause,
            FaultType.PARTITION: self._partition,
            FaultType.LOSS: self._start_loss,
            FaultType.DELAY: self._delay,
            FaultType.STEP: self._step_clocks,
            FaultType.RELEASE: self._release,
        }
        start_by_type[fault.type](fault)

    def _call_at_end(self, fault: Fault, call: Callable[[], None]) -> None:
        self.clock.call_at(fault.at + fault.length, lambda _: call(), None)

    def _targets(self, fault: Fault) -> list[LeaseProcess]:
        return [self.processes[name] for name in fault.names]

    def _running_targets(self, fault: Fault) -> list[LeaseProcess]:
        return [process for process in self._targets(fault) if process.is_running]

    def _kill(self, fault: Fault) -> None:
        killed = self._running_targets(fault)

        def start_again() -> None:
            for process in killed:
                if not process.is_running:
                    process.start()

        for process in killed:
            process.kill()
        self._call_at_end(fault, start_again)

    def _pause(self, fault: Fault) -> None:
        paused = self._running_targets(fault)

        def resume() -> None:
            for process in paused:
                process.resume()

        for process in paused:
            process.pause()
        self._call_at_end(fault, resume)

    def _partition(self, fault: Fault) -> None:
        partition = self.network.partition(fault.names, fault.direction)
        self._call_at_end(fault, lambda: self.network.heal(partition))

    def _start_loss(self, fault: Fault) -> None:
        self._set_loss(fault.amount)
        self._call_at_end(fault, lambda: self._set_loss(0.0))

    def _set_loss(self, loss: float) -> None:
        self.network.faults = replace(self.network.faults, loss=loss)

    def _delay(self, fault: Fault) -> None:
        self._set_max_delay(int(fault.amount))
        self._call_at_end(fault, lambda: self._set_max_delay(0))

    def _set_max_delay(self, delay: int) -> None:
        self.network.faults = replace(self.network.faults, max_reordering_delay=delay)

    def _step_clocks(self, fault: Fault) -> None:
        self.clock_was_stepped = True
        for process in self._targets(fault):
            process.clocks.step_wall(int(fault.amount * SECOND_US))

    def _release(self, fault: Fault) -> None:
        targets = self._targets(fault)

        def acquire_again() -> None:
            for process in targets:
                process.run(process.acquire_again)

        for process in targets:
            process.run(process.release_all)
        self._call_at_end(fault, acquire_again)
