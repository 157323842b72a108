"""The node's side towards servers: their connections' pool, and exchanges (attempts and probes) on them.

Nothing is sent again by itself, and every exchange ends exactly once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.process.descriptor_budget import DescriptorBudget
from balancer.net.process.memory_budget import MemoryBudget
from balancer.net.process.system_faults import RETRY_INTERVAL, never_left_machine
from balancer.net.upstream.body_streaming import Flow, Source, Upload
from balancer.net.upstream.connection import Answer, Connection, Endpoint
from balancer.policy.interface import Outcome

IDLE_MARGIN = 0.3  # seconds before the server would close an idle connection
REST = 0.02  # seconds that a connection better rests after an answer: a second one may be on its way
UNUSED = 1.0  # seconds after which an idle connection gives way to a client that is writing
SWEEP = 0.5  # seconds between two looks at idle connections
SILENT = 10.0  # seconds in which a server that has begun to answer must go on
UNREAD = 30.0  # seconds in which a client must take something of a flowing answer

Compose = Callable[[], bytes | None]
Done = Callable[[Outcome, Answer | None], None]
Sent = Callable[[], None]
Begin = Callable[[Answer, Source], Flow | None]


class Exchange:
    """One request to one server, which ends exactly once by calling `done`.

    `compose` is asked for the bytes just before they are written; None says that nothing may be written.
    `sent` is called once the last of them has been written, those of `upload` included. A long answer is
    offered to `begin`, which may take it as a flow; then `done` gets no answer.
    """

    def __init__(
        self,
        pool: Pool,
        endpoint: Endpoint,
        compose: Compose,
        done: Done,
        sent: Sent = lambda: None,
        begin: Begin | None = None,
        upload: Upload | None = None,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.compose = compose
        self.done = done
        self.sent = sent
        self.begin = begin
        self.upload = upload
        self.over = False
        self.connection: Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.dial = 0.0  # seconds that a new connection took to come up
        self.held_back = False  # this machine lacks what it takes to open one
        self.timer: asyncio.TimerHandle | None = None
        endpoint.busy += 1

    def start(self, timeout: float) -> None:
        """Takes an idle connection or opens one; the whole exchange may take `timeout` seconds.

        Of an upload's time, what the client takes does not count.
        """
        self.timeout = timeout
        self.limit(timeout)
        connection = self.pool.take(self.endpoint)
        if connection is not None:
            self.use(connection)
        elif self.pool.has_room():
            self.dial_one()
        else:
            self.end(Outcome.CONNECT_FAILED, None)

    def dial_one(self) -> None:
        """Begins to open a connection.

        Failure prevented: it is counted only as its task first runs, and all exchanges of one turn find the
        same last place free.
        """
        connection = Connection(self.pool, self.endpoint)
        self.pool.opened(connection)
        self.connecting = self.pool.loop.create_task(self.connect(connection))

        def ended(task: asyncio.Task[None]) -> None:
            if task.cancelled() and connection.transport is None:  # perhaps before it ran at all
                self.pool.lost(connection)

        self.connecting.add_done_callback(ended)

    async def connect(self, connection: Connection) -> None:
        """Opens a connection within the connect time-out."""
        pool = self.pool
        began = pool.loop.time()
        try:
            async with asyncio.timeout(pool.connect_timeout):
                await self.dial_until_sent(connection)
        except (OSError, TimeoutError, asyncio.CancelledError) as e:
            # It may have come up in the very turn in which its time ran out.
            pool.lost(connection)
            if connection.transport is not None:
                connection.close()
            if isinstance(e, asyncio.CancelledError):
                raise
            self.end(self.unreached(), None)
            return
        self.connecting = None
        self.dial = pool.loop.time() - began
        self.use(connection)

    async def dial_until_sent(self, connection: Connection) -> None:
        """Opens the connection, again and again while this machine lacks descriptors, buffers or ports.

        Failure prevented: a shortage of a moment uses up all attempts of each request within a millisecond,
        and servers that were never asked are ejected.
        """
        while True:
            self.held_back = False
            try:
                await self.pool.loop.create_connection(
                    lambda: connection, self.endpoint.host, self.endpoint.port
                )
                return
            except OSError as fault:
                if not never_left_machine(fault):
                    raise
            self.held_back = True
            await asyncio.sleep(RETRY_INTERVAL)

    def unreached(self) -> Outcome:
        """How an exchange ends that has no connection: a shortage here is no failure of the server."""
        return Outcome.NOT_SENT if self.held_back else Outcome.CONNECT_FAILED

    def use(self, connection: Connection) -> None:
        """Writes the request, if it may still be written: the connection may have taken its time."""
        data = None if self.over or not self.endpoint.ready else self.compose()
        if data is None:
            if self.endpoint.ready:
                self.pool.keep(connection)
            else:
                connection.close()
            self.end(Outcome.NOT_SENT, None)
        else:
            self.connection = connection
            if self.upload is not None:
                self.limit(None)
            connection.begin(self, data, self.upload)

    def limit(self, seconds: float | None) -> None:
        """The exchange must end, or get further, within so many seconds."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if seconds is None or self.over else self.pool.loop.call_later(seconds, self.expire)

    def written(self) -> None:
        """The request's last byte has gone."""
        if self.upload is not None:
            self.limit(self.timeout)
        self.sent()

    def flow(self, answer: Answer, connection: Connection) -> Flow | None:
        """Where a long answer goes, if anywhere. From now on the exchange may last as long as it moves."""
        flow = self.begin(answer, connection) if self.begin is not None else None
        if flow is not None:
            self.limit(None)
            self.timer = self.pool.loop.call_later(SILENT, self.watch, connection)
        return flow

    def watch(self, connection: Connection) -> None:
        """Ends a flow in which nothing has moved for long."""
        patience = UNREAD if connection.held else SILENT
        rest = connection.moved + patience - self.pool.loop.time()
        if rest <= 0 and connection.exchange is self:
            connection.broken_off()
        else:
            self.timer = self.pool.loop.call_later(max(rest, 0.1), self.watch, connection)

    def expire(self) -> None:
        """The time is up. A server that has not got the whole request has not run it."""
        if self.connection is None:
            self.stop(self.unreached())
        else:
            self.stop(Outcome.CONNECT_FAILED if self.connection.unsent() else Outcome.TIMEOUT)

    def stop(self, outcome: Outcome) -> None:
        """Gives the exchange up; its connection is closed, so that no late answer meets another request."""
        if self.over:
            return
        if self.connection is not None:
            self.connection.exchange = None
            self.connection.flow = None
            self.connection.upload = None
            self.connection.forget_body()
            self.connection.close()
        elif self.connecting is not None:
            self.connecting.cancel()
        self.end(outcome, None)

    def end(self, outcome: Outcome, answer: Answer | None) -> None:
        if self.over:
            return
        self.over = True
        self.endpoint.busy -= 1
        if self.upload is not None:
            self.upload.detach()
        if self.timer is not None:
            self.timer.cancel()
        self.done(outcome, answer)


class Pool:
    """All connections to servers, within a budget of descriptors."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptor_budget: DescriptorBudget,
        connect_timeout: float,
        idle_time: float,
        memory_budget: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.descriptor_budget = descriptor_budget
        self.spare: Callable[[], bool] = lambda: False  # makes a client without a request give way
        self.memory_budget = memory_budget
        self.connect_timeout = connect_timeout
        self.idle_time = max(idle_time - IDLE_MARGIN, idle_time / 2)
        self.dialled = 0  # connections opened in all
        self.endpoints: dict[int, Endpoint] = {}
        self.sweeping = False

    def take(self, endpoint: Endpoint) -> Connection | None:
        """The most recently used idle connection that is still good and has rested, or the most rested.

        Failure prevented: a server answers twice, the second time some milliseconds late, and the connection
        that has just been given back carries another request by then, whose answer that seems to be.
        """
        now = self.loop.time()
        idle = endpoint.idle
        while idle:
            rested = sum(now - c.idle_since >= REST for c in idle)  # the first ones: they came first
            connection = idle.pop(max(0, rested - 1))
            if now - connection.idle_since < self.idle_time and not connection.spoken_to():
                return connection
            connection.close()
        return None

    def keep(self, connection: Connection) -> None:
        """Puts a connection among the idle ones."""
        connection.idle_since = self.loop.time()
        connection.endpoint.idle.append(connection)
        if not self.sweeping:
            self.sweeping = True
            self.loop.call_later(SWEEP, self.sweep)

    def sweep(self) -> None:
        """Closes what has stood idle for long, before the server does."""
        now = self.loop.time()
        self.sweeping = False
        for endpoint in self.endpoints.values():
            while endpoint.idle and now - endpoint.idle[0].idle_since > self.idle_time - SWEEP:
                endpoint.idle.pop(0).close()
            self.sweeping = self.sweeping or bool(endpoint.idle)
        if self.sweeping:
            self.loop.call_later(SWEEP, self.sweep)

    def shrink(self) -> None:
        """The budget has shrunk: idle connections beyond it are closed."""
        for _ in range(self.descriptor_budget.servers - self.descriptor_budget.max_servers()):
            self.make_room()

    def has_room(self) -> bool:
        """Whether one more connection fits the budget; one that carries nothing makes room."""
        if self.descriptor_budget.servers >= self.descriptor_budget.max_servers():
            return self.make_room()
        return not self.descriptor_budget.exhausted() or self.spare() or self.make_room()

    def relieve(self) -> bool:
        """Closes the connection that was idle longest if it has been so for long."""
        return self.make_room(UNUSED)

    def make_room(self, least: float = 0.0) -> bool:
        """Closes the connection that was idle longest, if one has been so for `least` seconds."""
        since = self.loop.time() - least
        held = [e for e in self.endpoints.values() if e.idle and e.idle[0].idle_since <= since]
        if held:
            oldest = min(held, key=lambda e: e.idle[0].idle_since)
            oldest.idle.pop(0).close()
        return bool(held)

    def opened(self, connection: Connection) -> None:
        """Counts a connection that is being opened."""
        connection.counted = True
        self.descriptor_budget.add_server()
        self.dialled += 1

    def lost(self, connection: Connection) -> None:
        """Counts a connection's end, once."""
        if connection.counted:
            connection.counted = False
            self.descriptor_budget.remove_server()
        if connection in connection.endpoint.idle:
            connection.endpoint.idle.remove(connection)
