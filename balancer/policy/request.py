"""An open request and the attempts made for it."""

from __future__ import annotations

from balancer.policy.interface import Effect
from balancer.policy.server import Server


class Request:
    """An open request. At most one attempt is in flight at a time."""

    def __init__(self, request: int, request_class: int, effect: Effect, now: int, time_limit: int) -> None:
        self.id = request
        self.request_class = request_class
        self.effect = effect
        self.time_limit = time_limit
        self.expires_at = now + time_limit
        self.uploading = False
        self.attempts = 0
        self.server: Server | None = None
        self.first_run_server: Server | None = None  # The first server that may have run the request.
        self.first_run_at = 0
        self.responding = False
        self.queued = False
        self.sent_at = 0
        self.attempted_servers: list[Server] = []
