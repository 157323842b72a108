"""A process that runs hollow members on one event loop, controlled by the parent over its standard input.

    python -m workbench.scale.worker

It exits at the end of its input; the parent starts it so that the kernel also kills it when the parent ends.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from copy import copy
from pathlib import Path
from random import Random
from time import monotonic, process_time, time_ns

import uvloop

from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.keys import read_key
from workbench.scale.group import Group, MemberSpec
from workbench.scale.hollow import HollowMember, Network, list_datagrams
from workbench.scale.machine import resident_memory
from workbench.scale.messages import (
    LENGTH_PREFIX,
    Assign,
    Cut,
    Done,
    Failed,
    Finish,
    Go,
    Learn,
    Look,
    Open,
    Opened,
    Reply,
    Report,
    Request,
    Restart,
    Standing,
    Stop,
    Window,
    frame,
    request_decoder,
)
from workbench.scale.meter import Meter
from workbench.scale.observer import MAX_NAMES, GroundTruth, view_fault

# Interval at which the lateness of the event loop is sampled.
SAMPLE_INTERVAL_S = 0.02


class LatenessSampler:
    """Sampler of the lateness of the event loop's timers."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.late_ms: list[float] = []
        self.schedule()

    def schedule(self) -> None:
        """Set the timer of the next sample."""
        self.due = monotonic() + SAMPLE_INTERVAL_S
        self.loop.call_later(SAMPLE_INTERVAL_S, self.sample)

    def sample(self) -> None:
        """Record how late the timer fired, and set the next one."""
        self.late_ms.append(max(0.0, monotonic() - self.due) * 1000)
        self.schedule()

    def take_percentiles(self) -> tuple[float, float]:
        """Return the 99th percentile and the greatest lateness since the last call, in milliseconds."""
        waiting = max(0.0, monotonic() - self.due) * 1000
        found = sorted([*self.late_ms, waiting])
        self.late_ms = []
        return found[min(len(found) - 1, int(0.99 * len(found)))], found[-1]


class Counters:
    """A snapshot of all counters of a worker."""

    def __init__(self, meter: Meter, network: Network) -> None:
        self.at = monotonic()
        self.cpu_s = process_time()
        self.nanoseconds, self.calls = meter.read()
        self.traffic = copy(network.traffic)

    def since(self, before: Counters, lateness: tuple[float, float]) -> Window:
        """Return the costs since an earlier snapshot."""
        return Window(
            self.at - before.at,
            self.cpu_s - before.cpu_s,
            {k: v - before.nanoseconds.get(k, 0) for k, v in self.nanoseconds.items()},
            {k: v - before.calls.get(k, 0) for k, v in self.calls.items()},
            self.traffic.since(before.traffic),
            *lateness,
            resident_bytes=resident_memory(os.getpid()),
        )


class Worker:
    """The members of this process, and the handlers of the parent's requests."""

    def __init__(self, assigned: Assign, loop: asyncio.AbstractEventLoop) -> None:
        self.group: Group = assigned.group
        self.key = assigned.key
        self.starts_with_group = assigned.start == "known"
        self.meter = Meter()
        self.meter.wrap_components()
        self.network = Network(self.group, self.meter)
        self.lateness_sampler = LatenessSampler(loop)
        self.ground_truth = GroundTruth(self.group)
        self.members = {
            spec.name: HollowMember(
                loop, self.network, self.group, spec, self.key, assigned.defects.get(spec.name)
            )
            for spec in (self.group.member_specs[i] for i in assigned.members)
        }
        self.last_counters = Counters(self.meter, self.network)

    async def handle(self, request: Request) -> Reply:
        """Handle a request."""
        match request:
            case Open():
                return await self.open()
            case Learn():
                self.learn(request.incarnations)
            case Go():
                self.go()
            case Look():
                return self.look(request.window)
            case Stop():
                self.stop(request.names)
            case Restart():
                await self.restart(request)
            case Cut():
                self.network.cut_region = request.region
                self.ground_truth.cut(request.region)
            case Finish():
                return self.report()
            case Assign():
                return Failed("members are already assigned")
        return Done()

    # ---- start --------------------------------------------------------------------------------------------

    async def open(self) -> Opened:
        """Open the ports of all members."""
        self.ground_truth.started_at = monotonic()
        for member in self.members.values():
            await self.start_member(member, self.starts_with_group)
        return Opened({name: m.swim.local_claim.incarnation for name, m in self.members.items()})

    async def start_member(self, member: HollowMember, is_held: bool) -> None:
        """Start a member and observe it."""
        await member.open(self.ground_truth.add_watch(member.spec).on_change, is_held)

    def learn(self, incarnations: dict[str, int]) -> None:
        """Introduce the whole group to all members."""
        codec = Codec([read_key(Path(self.key))])
        for scope in self.scope_representatives():
            datagrams = list_datagrams(self.group, scope, incarnations, codec, time_ns() // 1000)
            for member in self.members.values():
                if self.group.membership == "flat" or member.spec.zone == scope.zone:
                    member.learn(datagrams)

    def scope_representatives(self) -> list[MemberSpec]:
        """Return one member of each set of members that know each other."""
        if self.group.membership == "flat":
            return [self.group.member_specs[0]]
        return list({m.spec.zone: m.spec for m in self.members.values()}.values())

    def go(self) -> None:
        """Let held members send.

        The garbage collector does not scan the objects that exist by now any more.
        """
        rng = Random(f"go {self.group.seed} {min(self.members, default='')}")
        gc.collect()
        gc.freeze()
        self.ground_truth.started_at = monotonic()
        for member in self.members.values():
            member.release(rng)

    # ---- faults -----------------------------------------------------------------------------------------

    def stop(self, names: list[str]) -> None:
        """Record the end of members, and kill those that run here."""
        for name in names:
            self.ground_truth.stop(self.group.by_name[name].index)
            if name in self.members:
                self.members[name].kill()

    async def restart(self, request: Restart) -> None:
        """Record the restart of members, and start those that run here."""
        for name in request.names:
            self.ground_truth.restart(self.group.by_name[name].index, request.wall)
        for name in request.names:
            if name in self.members:
                await self.start_member(self.members[name], is_held=False)

    # ---- measurements -----------------------------------------------------------------------------------

    def look(self, window: bool) -> Standing:
        """Report the progress of the members, with `window` also the costs since the last window."""
        ground_truth = self.ground_truth
        unjoined = ground_truth.unjoined_members()
        found = Standing(
            len(ground_truth.watches),
            unjoined[:MAX_NAMES],
            len(unjoined),
            len(ground_truth.incomplete_members()),
            len(ground_truth.members_with_stale_views()),
        )
        if window:
            now = Counters(self.meter, self.network)
            found.window = now.since(self.last_counters, self.lateness_sampler.take_percentiles())
            self.last_counters = now
        return found

    def report(self) -> Report:
        """Report all observations, and the views that differ from the running members."""
        ground_truth = self.ground_truth
        running = {p.name for p in self.group.member_specs if ground_truth.running[p.index]}
        views = [
            view_fault(self.group, m.spec, m.states(), running)
            for name, m in self.members.items()
            if name in running
        ]
        return Report(
            ground_truth.joined_s,
            dict(ground_truth.death_known_s),
            ground_truth.false_deaths,
            ground_truth.false_death_count,
            list(ground_truth.healed_s.values()),
            [v for v in views if v is not None],
        )


async def serve() -> None:
    """Answer the parent's requests until the input ends."""
    loop = asyncio.get_running_loop()
    requests = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(requests), sys.stdin)
    worker: Worker | None = None
    while True:
        try:
            size = LENGTH_PREFIX.unpack(await requests.readexactly(LENGTH_PREFIX.size))[0]
            request = request_decoder.decode(await requests.readexactly(size))
        except asyncio.IncompleteReadError:
            return
        reply: Reply = Done()
        try:
            if isinstance(request, Assign):
                worker = Worker(request, loop)
            elif worker is None:
                reply = Failed("no members are assigned yet")
            else:
                reply = await worker.handle(request)
        except OSError as e:
            reply = Failed(f"{type(e).__name__}: {e}")
        sys.stdout.buffer.write(frame(reply))
        sys.stdout.buffer.flush()


def main() -> None:
    """Run until the parent closes the input.

    Ctrl-C is ignored: the parent handles it and ends its workers.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    # A garbage collection over the state of many members would pause longer than that of a single member.
    gc.disable()
    uvloop.run(serve())


if __name__ == "__main__":
    main()
