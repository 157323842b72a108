"""The actions that a policy requests while it handles a batch."""

from __future__ import annotations

from typing import Any


class ActionRecorder:
    """Records actions by name until the end of the batch; the node has a method of the same name for each."""

    __slots__ = ("requested",)

    def __init__(self) -> None:
        self.requested: list[tuple[str, tuple[Any, ...]]] = []

    def send(self, request: int, server: int, timeout: int) -> None:
        """Request an attempt at a server with a time-out in microseconds."""
        self.requested.append(("send", (request, server, timeout)))

    def cancel(self, request: int, attempt: int) -> None:
        """Request that an attempt is cancelled."""
        self.requested.append(("cancel", (request, attempt)))

    def reject(self, request: int, retry_after: int) -> None:
        """Request the rejection of a request."""
        self.requested.append(("reject", (request, retry_after)))

    def fail(self, request: int) -> None:
        """Request an error response to a request."""
        self.requested.append(("fail", (request,)))

    def check_health(self, server: int) -> None:
        """Request a health check of a server."""
        self.requested.append(("check_health", (server,)))

    def set_timer(self, delay: int, token: int) -> None:
        """Request a timer event after a delay in microseconds."""
        self.requested.append(("set_timer", (delay, token)))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Request a message to another node."""
        self.requested.append(("send_to_peer", (peer, data)))

    def watch(self, on: bool) -> None:
        """Request the start or end of a watch on the endpoint list."""
        self.requested.append(("watch", (on,)))

    def fetch(self) -> None:
        """Request a poll of the full endpoint list."""
        self.requested.append(("fetch", ()))

    def close(self, server: int) -> None:
        """Request that the idle connections to a server are closed."""
        self.requested.append(("close", (server,)))

    def log(self, text: str) -> None:
        """Request a log line."""
        self.requested.append(("log", (text,)))
