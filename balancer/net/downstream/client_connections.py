"""The crowd of clients: the listener and its connections, within a budget of descriptors."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable

from balancer.net.downstream.client_connection import SLOW, Caller
from balancer.net.downstream.protocols import Handler
from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.listener import Listener
from balancer.net.process.memory_budget import MemoryBudget

REFUSING = (
    16  # connections at most, a sixteenth of the budget, that are open only to be told that it is spent
)
ACCEPTS = 64  # connections taken in one go
TAKING = 0.5  # seconds after SIGTERM in which new connections are still taken
SETTLE = 0.2  # seconds in which a kept connection that was just used may bring its next request
LOOK = 0.02


class Callers:
    """The listener and its connections, within a budget of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        handler: Handler,
        life: Lifecycle,
        memory_budget: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        self.memory_budget = memory_budget
        self.counts: Counter[str] = Counter()  # connections that were ended for want of room or of a request
        self.handler = handler
        self.life = life
        self.callers: set[Caller] = set()
        self.emptying = False
        self.shared = False
        self.relief: Callable[[], bool] = lambda: False  # ends a connection to a server that is not needed
        self.listener = Listener(loop, self.take, self.has_room, ACCEPTS)
        descriptor_budget.on_released = self.listener.update
        self.stop_at = 0.0  # when an ending node stops listening...
        self.close_at = 0.0  # ...and when it closes the connections that carry no request, new ones too

    def most(self) -> int:
        """So many connections are served; a few more are open only to be refused."""
        allowed = self.descriptor_budget.max_clients()
        return allowed - min(REFUSING, max(1, allowed // 16))

    def shrink(self) -> None:
        """The budget has shrunk: who has no request beyond it gives way."""
        while len(self.callers) > self.most() and self.make_room():
            pass

    def start(self, listener: socket.socket, shared: bool) -> None:
        """Takes clients from this socket, which other processes may listen on too."""
        self.shared = shared
        self.listener.start(listener)
        self.loop.call_later(SLOW / 8, self.sweep)

    def has_room(self) -> bool:
        """Whether one more connection fits the budget."""
        return (
            self.descriptor_budget.clients < self.descriptor_budget.max_clients()
            and not self.descriptor_budget.exhausted()
        )

    def take(self, connection: socket.socket) -> None:
        """Makes a connection one of ours."""
        connection.setblocking(False)
        self.descriptor_budget.add_client()
        most = self.most()
        if len(self.callers) >= most:
            self.make_room()
        caller = Caller(self, refusing=len(self.callers) >= most)
        self.callers.add(caller)
        self.loop.create_task(self.attach(caller, connection))

    async def attach(self, caller: Caller, connection: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: caller, connection)
        except OSError:  # gone already
            connection.close()
            self.callers.discard(caller)
            self.descriptor_budget.remove_client()

    def make_room(self) -> bool:
        """Ends the connection whose turn it is, if any has no request; its client may open another."""
        now = self.loop.time()
        turns = [(turn, id(c), c) for c in self.callers if (turn := c.turn(now)) is not None]
        for (kind, _), _, caller in sorted(turns):
            if kind == 2 and self.relief():
                return True
            if not caller.unread():
                self.counts["gave_way_idle" if kind == 1 else "gave_way_headless"] += 1
                self.callers.discard(caller)
                caller.transport.abort()
                return True
        return False

    def keep_few(self) -> None:
        """Ends the connection that has been idle longest if clients hold all that they may."""
        if len(self.callers) <= self.descriptor_budget.max_idle_clients:
            return
        held = [c for c in self.callers if c.kept or c.open is not None]
        idle = [c for c in held if c.idle()] if len(held) > self.descriptor_budget.max_idle_clients else []
        if idle:
            longest = min(idle, key=lambda c: c.active)
            self.counts["gave_way_idle"] += 1
            self.callers.discard(longest)
            longest.transport.abort()

    def sweep(self) -> None:
        """Ends connections on which no whole head has come in its time, or too little of a body.

        Failure prevented: peers that send nothing, or a request byte by byte, hold descriptors for good.
        """
        now = self.loop.time()
        for caller in list(self.callers):
            if caller.paused and not caller.stays():
                continue
            if caller.due is None or now < caller.due or caller.deaf:
                continue
            if caller.open is not None and caller.open is not caller.partial:
                continue  # what is ahead may wait
            if caller.partial is not None:
                if caller.body_comes(now):
                    continue
                self.counts["late"] += 1
                caller.reject(408)
                caller.next()
            elif caller.transport is not None and caller.idle():
                self.counts["silent"] += 1
                caller.transport.abort()
        self.loop.call_later(SLOW / 8, self.sweep)

    def leave(self) -> None:
        """The node is leaving: until it is back, no kept connection outlives its answer."""
        if not self.emptying:
            self.emptying = True
            self.empty()

    def empty(self) -> None:
        """Closes the kept connections that stand idle, and looks again soon.

        A new one keeps its time: its client may have connected before it could know, and be writing yet.
        """
        if not self.life.draining:
            self.emptying = False
            return
        now = self.loop.time()
        ending = self.life.stage == Stage.ENDING and self.listener.socket is not None
        if ending and now >= self.stop_at:
            self.listener.stop()
        last = self.life.stage == Stage.ENDING and now >= self.close_at
        for caller in list(self.callers):
            if last:
                caller.turn_away()
            elif caller.kept and now - caller.active > SETTLE and caller.idle():
                caller.transport.abort()
        self.loop.call_later(LOOK, self.empty)

    async def drain(self, grace: float) -> None:
        """Ends the service: all that was taken is answered, and no connection outlives its answer.

        After `grace` seconds nothing more is taken on any connection.
        Failure prevented: a request comes on a connection that is still open as the process is killed.
        """
        if self.shared:
            self.listener.release()
        now = self.loop.time()
        self.stop_at, self.close_at = now + TAKING, now + grace
        self.leave()
        while self.listener.socket is not None or self.callers:
            await asyncio.sleep(LOOK)
