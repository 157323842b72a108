"""A process that runs hollow members: one event loop, told what to do by the parent over its standard input.

    python -m workbench.scale.worker

The parent starts it tied to itself, so the kernel ends it with the parent; the end of its input ends it too.
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
from workbench.scale.group import Group, Place
from workbench.scale.hollow import HollowMember, Network, list_datagrams
from workbench.scale.machine import resident
from workbench.scale.messages import (
    LENGTH,
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
from workbench.scale.observer import MAX_NAMES, Truth, view_fault

SAMPLE_S = 0.02  # between two looks at how late the loop is


class Lateness:
    """How late a timer of the loop goes off, every so often."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.late_ms: list[float] = []
        self.schedule()

    def schedule(self) -> None:
        self.due = monotonic() + SAMPLE_S
        self.loop.call_later(SAMPLE_S, self.sample)

    def sample(self) -> None:
        self.late_ms.append(max(0.0, monotonic() - self.due) * 1000)
        self.schedule()

    def take(self) -> tuple[float, float]:
        """The 99th percentile and the greatest since the last call."""
        waiting = max(0.0, monotonic() - self.due) * 1000
        found = sorted([*self.late_ms, waiting])
        self.late_ms = []
        return found[min(len(found) - 1, int(0.99 * len(found)))], found[-1]


class Counters:
    """Everything that a worker counts up, at one moment."""

    def __init__(self, meter: Meter, network: Network) -> None:
        self.at = monotonic()
        self.cpu_s = process_time()
        self.nanoseconds, self.calls = meter.read()
        self.traffic = copy(network.traffic)

    def since(self, before: Counters, lateness: tuple[float, float]) -> Window:
        """What was spent from an earlier moment on."""
        return Window(
            self.at - before.at,
            self.cpu_s - before.cpu_s,
            {k: v - before.nanoseconds.get(k, 0) for k, v in self.nanoseconds.items()},
            {k: v - before.calls.get(k, 0) for k, v in self.calls.items()},
            self.traffic.since(before.traffic),
            *lateness,
            resident_bytes=resident(os.getpid()),
        )


class Worker:
    """The members of this process and what is asked about them."""

    def __init__(self, assigned: Assign, loop: asyncio.AbstractEventLoop) -> None:
        self.group: Group = assigned.group
        self.key = assigned.key
        self.known_from_start = assigned.start == "known"
        self.meter = Meter()
        self.meter.wrap_components()
        self.network = Network(self.group, self.meter)
        self.lateness = Lateness(loop)
        self.truth = Truth(self.group)
        self.members = {
            place.name: HollowMember(
                loop, self.network, self.group, place, self.key, assigned.defects.get(place.name)
            )
            for place in (self.group.places[i] for i in assigned.members)
        }
        self.before = Counters(self.meter, self.network)

    async def answer(self, request: Request) -> Reply:
        """Does what is asked."""
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
                self.truth.cut(request.region)
            case Finish():
                return self.report()
            case Assign():
                return Failed("assigned twice")
        return Done()

    # ---- the beginning ----------------------------------------------------------------------------------

    async def open(self) -> Opened:
        """All members take their ports."""
        self.truth.started_at = monotonic()
        for member in self.members.values():
            await self.begin(member, self.known_from_start)
        return Opened({name: m.swim.local_claim.incarnation for name, m in self.members.items()})

    async def begin(self, member: HollowMember, held: bool) -> None:
        await member.open(self.truth.watch(member.place).changed, held)

    def learn(self, incarnations: dict[str, int]) -> None:
        """All members hold the whole group from now on."""
        codec = Codec([read_key(Path(self.key))])
        for scope in self.scopes():
            datagrams = list_datagrams(self.group, scope, incarnations, codec, time_ns() // 1000)
            for member in self.members.values():
                if self.group.membership == "flat" or member.place.zone == scope.zone:
                    member.learn(datagrams)

    def scopes(self) -> list[Place]:
        """One member of each set of members that know each other."""
        if self.group.membership == "flat":
            return [self.group.places[0]]
        return list({m.place.zone: m.place for m in self.members.values()}.values())

    def go(self) -> None:
        """Held members speak. What was made until now is not looked at by the collector again."""
        rng = Random(f"go {self.group.seed} {min(self.members, default='')}")
        gc.collect()
        gc.freeze()
        self.truth.started_at = monotonic()
        for member in self.members.values():
            member.release(rng)

    # ---- faults -----------------------------------------------------------------------------------------

    def stop(self, names: list[str]) -> None:
        for name in names:
            self.truth.stop(self.group.by_name[name].index)
            if name in self.members:
                self.members[name].kill()

    async def restart(self, request: Restart) -> None:
        for name in request.names:
            self.truth.restart(self.group.by_name[name].index, request.wall)
        for name in request.names:
            if name in self.members:
                await self.begin(self.members[name], held=False)

    # ---- figures ----------------------------------------------------------------------------------------

    def look(self, window: bool) -> Standing:
        truth = self.truth
        unjoined = truth.unjoined()
        found = Standing(
            len(truth.watches),
            unjoined[:MAX_NAMES],
            len(unjoined),
            len(truth.incomplete()),
            len(truth.ignorant()),
        )
        if window:
            now = Counters(self.meter, self.network)
            found.window = now.since(self.before, self.lateness.take())
            self.before = now
        return found

    def report(self) -> Report:
        truth = self.truth
        running = {p.name for p in self.group.places if truth.running[p.index]}
        views = [
            view_fault(self.group, m.place, m.states(), running)
            for name, m in self.members.items()
            if name in running
        ]
        return Report(
            truth.joined_s,
            dict(truth.death_known_s),
            truth.false_deaths,
            truth.false_death_count,
            list(truth.healed_s.values()),
            [v for v in views if v is not None],
        )


async def serve() -> None:
    """Answers the parent's requests until it has the report, or is gone."""
    loop = asyncio.get_running_loop()
    requests = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(requests), sys.stdin)
    worker: Worker | None = None
    while True:
        try:
            size = LENGTH.unpack(await requests.readexactly(LENGTH.size))[0]
            request = request_decoder.decode(await requests.readexactly(size))
        except asyncio.IncompleteReadError:
            return
        reply: Reply = Done()
        try:
            if isinstance(request, Assign):
                worker = Worker(request, loop)
            elif worker is None:
                reply = Failed("nothing was assigned")
            else:
                reply = await worker.answer(request)
        except OSError as e:
            reply = Failed(f"{type(e).__name__}: {e}")
        sys.stdout.buffer.write(frame(reply))
        sys.stdout.buffer.flush()


def main() -> None:
    """Runs until the parent lets go. Ctrl-C is the parent's, who ends its workers in order."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    gc.disable()  # a pause of the collector over many members' state is one that no single member would have
    uvloop.run(serve())


if __name__ == "__main__":
    main()
