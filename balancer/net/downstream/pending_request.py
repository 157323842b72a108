"""A request that is pending, and its response while that is streamed."""

from __future__ import annotations

import asyncio
from typing import Protocol

from balancer.net.downstream.client_connection import ClientConnection
from balancer.net.downstream.message import ClientRequest
from balancer.net.upstream.body_streaming import RequestBodyStream
from balancer.net.upstream.exchange import Exchange


class PendingRequest:
    """A request that has been admitted and has no response, or whose attempt is still in flight.

    Args:
        number: its number for the policy.
        client: where it came from.
        message: the request as it came.
        request_class: its class, by number.
        now: the time, in microseconds.
        remaining: of its time, in microseconds.
    """

    __slots__ = (
        "attempts",
        "client",
        "deadline",
        "exchange",
        "guard",
        "id",
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
        self.client: ClientConnection | None = client  # None once it has its response or has disconnected
        self.message = message
        self.request_class = request_class
        self.remaining = remaining  # of its time, when it came, or when a server began to take its long body
        self.deadline = now + remaining
        self.attempts = 0
        self.exchange: Exchange | None = None
        self.written_at: int | None = None  # when its attempt's first byte was written
        self.ran_at: int | None = None  # the same of the first attempt that may have run
        self.guard: asyncio.TimerHandle | None = None
        self.stream: ClientResponseStream | None = None  # its response, once it is streamed

    def incoming_body(self) -> RequestBodyStream | None:
        """Its body, if that is still on its way from the client."""
        upload = self.message.upload
        return upload if upload is not None and not upload.is_complete else None

    def is_body_discarded(self) -> bool:
        """Whether part of its streamed body was discarded, so that no further attempt can send it."""
        return self.message.upload is not None and self.message.upload.has_discarded_data

    def is_partly_written(self) -> bool:
        """Whether its attempt has begun, and its last byte has not left this process: it never ran."""
        connection = self.exchange.connection if self.exchange is not None else None
        return self.incoming_body() is not None or (connection is not None and connection.has_unsent_data())


class RequestCloser(Protocol):
    """What a response stream needs of the pending requests."""

    def close_request(self, request: PendingRequest, status: int) -> None:
        """Counts a request at its end."""


class ClientResponseStream:
    """A response on its way from a server to a client.

    Args:
        requests: where the request is pending.
        request: the request.
        client: the client that the response is streamed to.
        began: when its first byte came, in microseconds.
    """

    def __init__(
        self, requests: RequestCloser, request: PendingRequest, client: ClientConnection, began: int
    ) -> None:
        self.requests = requests
        self.request = request
        self.client = client
        self.began = began

    def write(self, data: bytes) -> None:
        """Writes a piece of the response."""
        self.client.write_stream(data)

    def end(self) -> None:
        """Ends the response, which is complete."""
        if self.request.client is not None:
            self.requests.close_request(self.request, 200)
            self.client.end_stream()

    def abort(self) -> None:
        """Breaks the response off."""
        if self.request.client is not None:
            self.requests.close_request(self.request, 502)
            self.client.abort_stream()
