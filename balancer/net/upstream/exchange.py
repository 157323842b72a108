"""Exchanges with servers: one attempt or health check each, on one connection.

Nothing is sent again by itself, and every exchange ends exactly once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.process.system_faults import RETRY_INTERVAL, never_left_machine
from balancer.net.upstream.body_streaming import RequestBodyStream, ResponseSource, ResponseStream
from balancer.net.upstream.connection import Connection, Endpoint, Response
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy.interface import Outcome

SERVER_SILENCE_S = 10.0  # in which a server that has begun to respond must go on
CLIENT_SILENCE_S = 30.0  # in which a client must take something of a streamed response

ComposeRequest = Callable[[], bytes | None]
OnDone = Callable[[Outcome, Response | None], None]
OnSent = Callable[[], None]
OnStream = Callable[[Response, ResponseSource], ResponseStream | None]


class Exchange:
    """One request to one server, which ends exactly once by calling `on_done`.

    Args:
        pool: the connections.
        endpoint: the server.
        compose: makes the request's bytes just before they are written; None if it may not be written.
        on_done: called with the outcome, and the response unless it was streamed.
        on_sent: called when the last byte has been written, those of `upload` included.
        on_stream: offered a long response, which it may take as a stream.
        upload: the request's body, if it is streamed.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        endpoint: Endpoint,
        compose: ComposeRequest,
        on_done: OnDone,
        on_sent: OnSent = lambda: None,
        on_stream: OnStream | None = None,
        upload: RequestBodyStream | None = None,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.compose = compose
        self.on_done = on_done
        self.on_sent = on_sent
        self.on_stream = on_stream
        self.upload = upload
        self.ended = False
        self.connection: Connection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.connect_time = 0.0  # seconds that a new connection took to come up
        self.lacks_resources = False  # this machine lacks what it takes to open one
        self.timer: asyncio.TimerHandle | None = None
        endpoint.busy += 1

    def start(self, timeout: float) -> None:
        """Acquires an idle connection or opens one; the exchange may take `timeout` seconds in all.

        Of an upload's time, what the client takes does not count.
        """
        self.timeout = timeout
        self.set_timeout(timeout)
        connection = self.pool.acquire(self.endpoint)
        if connection is not None:
            self.send(connection)
        elif self.pool.has_capacity():
            self.open_connection()
        else:
            self.finish(Outcome.CONNECT_FAILED, None)

    def open_connection(self) -> None:
        """Begins to open a connection.

        Failure prevented: it is counted only as its task first runs, and all exchanges of one
        iteration of the event loop find the same last place free.
        """
        connection = Connection(self.pool, self.endpoint)
        self.pool.on_connection_opened(connection)
        self.connecting = self.pool.loop.create_task(self.connect(connection))

        def on_connect_ended(task: asyncio.Task[None]) -> None:
            if task.cancelled() and connection.transport is None:  # perhaps before it ran at all
                self.pool.on_connection_lost(connection)

        self.connecting.add_done_callback(on_connect_ended)

    async def connect(self, connection: Connection) -> None:
        """Opens a connection within the connect time-out."""
        pool = self.pool
        began = pool.loop.time()
        try:
            async with asyncio.timeout(pool.connect_timeout):
                await self.connect_with_retries(connection)
        except (OSError, TimeoutError, asyncio.CancelledError) as e:
            # It may have come up in the iteration in which its time ran out.
            pool.on_connection_lost(connection)
            if connection.transport is not None:
                connection.close()
            if isinstance(e, asyncio.CancelledError):
                raise
            self.finish(self.unconnected_outcome(), None)
            return
        self.connecting = None
        self.connect_time = pool.loop.time() - began
        self.send(connection)

    async def connect_with_retries(self, connection: Connection) -> None:
        """Opens the connection, again and again while this machine lacks descriptors, buffers or ports.

        Failure prevented: a shortage of a moment uses up all attempts of each request within a millisecond,
        and servers that were never contacted are ejected.
        """
        while True:
            self.lacks_resources = False
            try:
                await self.pool.loop.create_connection(
                    lambda: connection, self.endpoint.host, self.endpoint.port
                )
            except OSError as fault:
                if not never_left_machine(fault):
                    raise
            else:
                return
            self.lacks_resources = True
            await asyncio.sleep(RETRY_INTERVAL)

    def unconnected_outcome(self) -> Outcome:
        """How an exchange ends that has no connection: a shortage here is no failure of the server."""
        return Outcome.NOT_SENT if self.lacks_resources else Outcome.CONNECT_FAILED

    def send(self, connection: Connection) -> None:
        """Writes the request, if it may still be written: the connection may have taken its time."""
        data = None if self.ended or not self.endpoint.ready else self.compose()
        if data is None:
            if self.endpoint.ready:
                self.pool.release(connection)
            else:
                connection.close()
            self.finish(Outcome.NOT_SENT, None)
        else:
            self.connection = connection
            if self.upload is not None:
                self.set_timeout(None)
            connection.send_request(self, data, self.upload)

    def set_timeout(self, seconds: float | None) -> None:
        """Aborts the exchange unless it gets further within so many seconds; None for no limit."""
        if self.timer is not None:
            self.timer.cancel()
        self.timer = (
            None if seconds is None or self.ended else self.pool.loop.call_later(seconds, self.on_timeout)
        )

    def on_request_sent(self) -> None:
        """Called when the request's last byte was written."""
        if self.upload is not None:
            self.set_timeout(self.timeout)
        self.on_sent()

    def open_stream(self, response: Response, connection: Connection) -> ResponseStream | None:
        """Where a long response is streamed to, if anywhere; then the exchange may last while it moves."""
        stream = self.on_stream(response, connection) if self.on_stream is not None else None
        if stream is not None:
            self.set_timeout(None)
            self.timer = self.pool.loop.call_later(SERVER_SILENCE_S, self.check_progress, connection)
        return stream

    def check_progress(self, connection: Connection) -> None:
        """Ends a stream in which nothing has moved for long."""
        timeout = CLIENT_SILENCE_S if connection.reading_paused else SERVER_SILENCE_S
        remaining = connection.last_progress_at + timeout - self.pool.loop.time()
        if remaining <= 0 and connection.exchange is self:
            connection.fail_incomplete()
        else:
            self.timer = self.pool.loop.call_later(max(remaining, 0.1), self.check_progress, connection)

    def on_timeout(self) -> None:
        """Ends the exchange at its timeout; a server without the complete request has not run it."""
        if self.connection is None:
            self.abort(self.unconnected_outcome())
        else:
            self.abort(Outcome.CONNECT_FAILED if self.connection.unsent() else Outcome.TIMEOUT)

    def abort(self, outcome: Outcome) -> None:
        """Ends the exchange and closes its connection, so that no late response meets another request."""
        if self.ended:
            return
        if self.connection is not None:
            self.connection.exchange = None
            self.connection.stream = None
            self.connection.upload = None
            self.connection.release_body()
            self.connection.close()
        elif self.connecting is not None:
            self.connecting.cancel()
        self.finish(outcome, None)

    def finish(self, outcome: Outcome, response: Response | None) -> None:
        """Ends the exchange, unless it has ended, and reports the outcome."""
        if self.ended:
            return
        self.ended = True
        self.endpoint.busy -= 1
        if self.upload is not None:
            self.upload.detach()
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(outcome, response)
