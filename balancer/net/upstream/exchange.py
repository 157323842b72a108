"""HTTP exchanges with servers, each for one attempt or health check on one connection.

An exchange never repeats its request by itself, and it ends exactly once. A health check is a request with
which the node itself asks a server for its state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.process.system_faults import RETRY_INTERVAL, is_local_failure
from balancer.net.upstream.body_streaming import RequestBodyStream, ResponseSource, ResponseStream
from balancer.net.upstream.connection import Connection, Endpoint, Response
from balancer.net.upstream.pool import ConnectionPool
from balancer.policy.interface import Outcome

# A streamed response is aborted if its server sends nothing for this time.
SERVER_STALL_TIMEOUT_S = 10.0
# A streamed response is aborted if its client accepts nothing for this time.
CLIENT_STALL_TIMEOUT_S = 30.0
# Time for which the beginning of a response without a length is held back at most. Until then the request can
# be repeated at another server if the response breaks off.
MAX_HOLD_S = 1.5

ComposeRequest = Callable[[], bytes | None]
OnDone = Callable[[Outcome, Response | None], None]
OnSent = Callable[[], None]
OnStream = Callable[[Response, ResponseSource], ResponseStream | None]


class Exchange:
    """One request to one server, which ends with exactly one call of `on_done`.

    Args:
        pool: The pool of connections to servers.
        endpoint: The server that the request is sent to.
        compose: Returns the bytes of the request just before they are written, or None if the request
            must not be written any more.
        on_done: Called with the outcome, and with the response unless it was streamed.
        on_sent: Called when the last byte of the request, including the body `upload`, has been written.
        on_stream: Called with a long response; returns the stream that accepts it, or None if no client can.
        upload: The body of the request if it is streamed.
        is_last_attempt: Returns whether no other attempt can follow. Then a response without a length that
            has begun is passed on to the client at the timeout, even if its server has stopped.
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
        is_last_attempt: Callable[[], bool] = lambda: False,
    ) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.compose = compose
        self.on_done = on_done
        self.on_sent = on_sent
        self.on_stream = on_stream
        self.upload = upload
        self.is_last_attempt = is_last_attempt
        self.ended = False
        self.connection: Connection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.connect_duration_s = 0.0
        # Loop time at which the beginning of a response without a length must be passed on.
        self.hold_until: float | None = None
        self.timer_ends_hold = False  # Whether the timer expires at `hold_until`.
        self.is_streaming = False  # Whether the response is passed on as it comes.
        # The part of a buffered response that had come when the exchange was aborted: the bytes of its body,
        # and the length that its head states, if any.
        self.received_bytes = 0
        self.stated_length: int | None = None
        self.lacks_resources = False  # Whether the last connect failed because this machine lacked resources.
        self.timer: asyncio.TimerHandle | None = None
        endpoint.active_exchanges += 1

    def start(self, timeout: float) -> None:
        """Start the exchange on an idle connection or a new one, with a limit of `timeout` seconds.

        Time spent waiting for the client to send a streamed body does not count.
        """
        self.timeout = timeout
        self.set_timeout(timeout)
        connection = self.pool.acquire(self.endpoint)
        if connection is not None:
            self.send(connection)
        elif self.pool.has_capacity():
            self.open_connection()
        else:
            # The node has no descriptor for the connection, which says nothing about the server.
            self.finish(Outcome.NOT_SENT, None)

    def open_connection(self) -> None:
        """Start to open a connection, and count it in the descriptor budget at once.

        If the connection were counted only when the task that opens it runs, all exchanges that start in one
        iteration of the event loop would find the same last descriptor free.
        """
        connection = Connection(self.pool, self.endpoint)
        self.pool.on_connection_opened(connection)
        self.connect_task = self.pool.loop.create_task(self.connect(connection))

        def on_connect_ended(task: asyncio.Task[None]) -> None:
            # A task that was cancelled before it began has not removed the connection from the budget.
            if task.cancelled() and connection.transport is None:
                self.pool.on_connection_lost(connection)

        self.connect_task.add_done_callback(on_connect_ended)

    async def connect(self, connection: Connection) -> None:
        """Open a connection within the connect timeout and send the request on it."""
        pool = self.pool
        started_at = pool.loop.time()
        try:
            async with asyncio.timeout(pool.connect_timeout):
                await self.connect_with_retries(connection)
        except (OSError, TimeoutError, asyncio.CancelledError) as e:
            # The connection may have been established in the very loop iteration in which the timeout
            # expired.
            pool.on_connection_lost(connection)
            if connection.transport is not None:
                connection.close()
            if isinstance(e, asyncio.CancelledError):
                raise
            self.finish(self.connect_failure_outcome(), None)
            return
        self.connect_task = None
        self.connect_duration_s = pool.loop.time() - started_at
        self.send(connection)

    async def connect_with_retries(self, connection: Connection) -> None:
        """Open the connection, and retry while this machine lacks descriptors, buffers or ports.

        Without the retries, a brief shortage would use up all attempts of each request within a
        millisecond, and servers that were never contacted would be ejected.
        """
        while True:
            self.lacks_resources = False
            try:
                await self.pool.loop.create_connection(
                    lambda: connection, self.endpoint.host, self.endpoint.port
                )
            except OSError as error:
                if not is_local_failure(error):
                    raise
            else:
                return
            self.lacks_resources = True
            await asyncio.sleep(RETRY_INTERVAL)

    def connect_failure_outcome(self) -> Outcome:
        """Return the outcome of an exchange that got no connection.

        After a shortage of this machine's resources it is `NOT_SENT`, which does not count against the
        server; otherwise it is `CONNECT_FAILED`.
        """
        return Outcome.NOT_SENT if self.lacks_resources else Outcome.CONNECT_FAILED

    def send(self, connection: Connection) -> None:
        """Write the request on the open connection, unless it must not be sent any more.

        That is so if the exchange has ended, the server is no longer ready, or `compose` returns None.
        """
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
        """Restart the timer that aborts the exchange after this many seconds; None stops it.

        A response that is held back is passed on by the same timer. Once a response is streamed, only its own
        progress counts, whatever becomes of the request's body.
        """
        if self.is_streaming:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_ends_hold = False
        if self.hold_until is not None:
            remaining = max(0.0, self.hold_until - self.pool.loop.time())
            self.timer_ends_hold = seconds is None or remaining <= seconds
            seconds = remaining if self.timer_ends_hold else seconds
        self.timer = (
            None if seconds is None or self.ended else self.pool.loop.call_later(seconds, self.on_timeout)
        )

    def on_request_sent(self) -> None:
        """Call `on_sent`; after a streamed body, also start the timeout for the response."""
        if self.upload is not None:
            self.set_timeout(self.timeout)
        self.on_sent()

    def limit_holding(self) -> None:
        """Limit the time for which the response is held back; an earlier timeout of the exchange stays."""
        now = self.pool.loop.time()
        self.hold_until = now + MAX_HOLD_S
        self.set_timeout(None if self.timer is None else max(0.0, self.timer.when() - now))

    def open_stream(self, response: Response, connection: Connection) -> ResponseStream | None:
        """Return the stream that passes a long response on to the client; None if no client can accept it.

        An exchange with a streamed response has no total timeout; it may last as long as data is moving.
        """
        stream = self.on_stream(response, connection) if self.on_stream is not None else None
        if stream is not None:
            self.hold_until = None
            self.set_timeout(None)
            self.is_streaming = True
            self.timer = self.pool.loop.call_later(SERVER_STALL_TIMEOUT_S, self.check_progress, connection)
        return stream

    def check_progress(self, connection: Connection) -> None:
        """Abort a streamed response if no data has moved for the stall timeout; otherwise check again later.

        The client's timeout applies while the client accepts no data, and the server's timeout otherwise.
        """
        timeout = CLIENT_STALL_TIMEOUT_S if connection.reading_paused else SERVER_STALL_TIMEOUT_S
        remaining = connection.last_progress_at + timeout - self.pool.loop.time()
        if remaining <= 0 and connection.exchange is self:
            connection.fail_incomplete()
        else:
            self.timer = self.pool.loop.call_later(max(remaining, 0.1), self.check_progress, connection)

    def may_stream_now(self, connection: Connection) -> bool:
        """Return whether a response without a length is passed on now, although it is short so far.

        It is not cut off while its server sends. If the server has stopped, another one may do better, unless
        the client has waited for as long as it may.
        """
        return self.timer_ends_hold or connection.is_response_coming() or self.is_last_attempt()

    def on_timeout(self) -> None:
        """Abort the exchange at its timeout, or stream a response that is still coming.

        A server that lacks part of the request cannot have run it, so the outcome is then a failed connect.
        """
        connection = self.connection
        if connection is None:
            self.abort(self.connect_failure_outcome())
        elif not (self.may_stream_now(connection) and connection.stream_partial()):
            self.abort(Outcome.CONNECT_FAILED if connection.has_unsent_data() else Outcome.TIMEOUT)

    def abort(self, outcome: Outcome) -> None:
        """End the exchange with this outcome and close its connection, which cannot be reused.

        A late response on a reused connection would be taken for the response to another request.
        """
        if self.ended:
            return
        if self.connection is not None:
            self.received_bytes = len(self.connection.body)
            self.stated_length = self.connection.length
            self.connection.exchange = None
            self.connection.stream = None
            self.connection.upload = None
            self.connection.release_body()
            self.connection.close()
        elif self.connect_task is not None:
            self.connect_task.cancel()
        self.finish(outcome, None)

    def finish(self, outcome: Outcome, response: Response | None) -> None:
        """End the exchange, unless it has ended already, and report the outcome to `on_done`."""
        if self.ended:
            return
        self.ended = True
        self.endpoint.active_exchanges -= 1
        if self.upload is not None:
            self.upload.detach()
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(outcome, response)
