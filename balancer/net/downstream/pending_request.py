"""A pending request, and the response to it while the response is streamed."""

from __future__ import annotations

import asyncio
from typing import Protocol

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.message import ClientRequest
from balancer.net.upstream.body_streaming import RequestBodyStream
from balancer.net.upstream.exchange import Exchange
from balancer.policy.interface import Outcome


class PendingRequest:
    """A request that was passed to the policy and has no response yet, or whose attempt is still in flight.

    Args:
        number: The number that identifies the request to the policy.
        client: The connection of the client that sent it.
        message: The request as it was received.
        request_class: The number of the request's class.
        now: The current time, in microseconds.
        remaining: The time until the request's deadline, in microseconds.
    """

    __slots__ = (
        "attempts",
        "client",
        "deadline",
        "deadline_timer",
        "exchange",
        "id",
        "is_waiting_for_client",
        "last_outcome",
        "message",
        "ran_at",
        "remaining",
        "request_class",
        "stream",
        "written_at",
    )

    def __init__(
        self,
        number: int,
        client: ClientConnection,
        message: ClientRequest,
        request_class: int,
        now: int,
        remaining: int,
    ) -> None:
        self.id = number
        # None once the client has its response or has disconnected.
        self.client: ClientConnection | None = client
        self.message = message
        self.request_class = request_class
        # Time until the deadline, in microseconds, as of the request's arrival, or as of when the node last
        # began or ceased to wait for the client.
        self.remaining = remaining
        self.deadline = now + remaining
        # Whether the client is to send more of the streamed body. The deadline is suspended meanwhile.
        self.is_waiting_for_client = False
        self.attempts = 0
        # The outcome of the last attempt that has ended.
        self.last_outcome: Outcome | None = None
        self.exchange: Exchange | None = None
        # Time at which the first byte of the current attempt was written, in microseconds.
        self.written_at: int | None = None
        # Time at which the first byte of the first attempt that may have run at its server was written, in
        # microseconds; None while no attempt may have run.
        self.ran_at: int | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None
        # The response, once it is being streamed.
        self.stream: ClientResponseStream | None = None

    def deadline_at(self, now: int) -> int:
        """Return the deadline as it is at the time `now`, both in microseconds."""
        return now + self.remaining if self.is_waiting_for_client else self.deadline

    def incoming_body(self) -> RequestBodyStream | None:
        """Return the streamed body if the client has not sent all of it yet."""
        upload = self.message.upload
        return upload if upload is not None and not upload.is_complete else None

    def is_body_discarded(self) -> bool:
        """Return whether part of the streamed body was discarded, so that no further attempt can send it."""
        return self.message.upload is not None and self.message.upload.has_discarded_data

    def is_partly_written(self) -> bool:
        """Return whether the request's last byte is not sent yet, so that this attempt cannot have run."""
        connection = self.exchange.connection if self.exchange is not None else None
        return self.incoming_body() is not None or (connection is not None and connection.has_unsent_data())


class RequestCloser(Protocol):
    """The part of the class `Requests`, which holds all pending requests, that a response stream uses."""

    def close_request(self, request: PendingRequest, status: int) -> None:
        """Count a finished request, and detach its client."""


class ClientResponseStream:
    """A response that is streamed from a server to a client.

    Args:
        requests: Closes the request at the end of the response.
        request: The request that the response belongs to.
        client: The connection of the client.
        first_byte_at: The time at which the response's first byte was received, in microseconds.
    """

    def __init__(
        self, requests: RequestCloser, request: PendingRequest, client: ClientConnection, first_byte_at: int
    ) -> None:
        self.requests = requests
        self.request = request
        self.client = client
        self.first_byte_at = first_byte_at

    def write(self, data: bytes) -> None:
        """Write part of the response's body."""
        self.client.write_stream(data)

    def end(self) -> None:
        """Finish the response, whose body has been written completely."""
        if self.request.client is not None:
            self.requests.close_request(self.request, 200)
            self.client.end_stream()

    def abort(self) -> None:
        """Abort the response and its connection, so that the client detects the truncation."""
        if self.request.client is not None:
            self.requests.close_request(self.request, 502)
            self.client.abort_stream()
