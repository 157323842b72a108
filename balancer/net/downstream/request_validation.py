"""Validation of a request's head: class, method, identity and time budget."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.net.config import Config
from balancer.net.downstream.message import ClientRequest
from balancer.policy.interface import Effect

MAX_BUDGET_DIGITS = 9
METHOD_BY_EFFECT = {
    Effect.IDEMPOTENT: b"GET",
    Effect.IDEMPOTENCY_KEY: b"POST",
    Effect.NOT_IDEMPOTENT: b"POST",
}


class InvalidRequestError(Exception):
    """A request whose head is not acceptable.

    Args:
        status: the HTTP status of the response.
        headers: header lines of the response, each with its end.
    """

    def __init__(self, status: int, headers: bytes = b"") -> None:
        super().__init__(status)
        self.status = status
        self.headers = headers


@dataclass(slots=True)
class RequestParameters:
    """What the policy needs to know of a valid request.

    Attributes:
        tenant: by number; the count of all for one that is unknown.
        budget_us: the time that the client gives, in microseconds.
        is_repeat: the client has sent it before.
    """

    tenant: int
    budget_us: int
    is_repeat: bool


class RequestValidator:
    """Checks the heads of requests.

    Args:
        config: the configuration of the node.
    """

    def __init__(self, config: Config) -> None:
        self.settings = config.settings
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}

    def class_of(self, message: ClientRequest) -> int | None:
        """The class that the first part of a request's path names, if there is such a class."""
        path = message.target.partition(b"?")[0]
        return self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None

    def parse(self, message: ClientRequest, request_class: int) -> RequestParameters:
        """The parameters of a request of this class.

        Raises:
            InvalidRequestError: its method is not that of its class, or a header is missing or invalid.
        """
        effect = self.settings.classes[request_class].effect
        method = METHOD_BY_EFFECT[effect]
        if message.method != method:
            raise InvalidRequestError(405, headers=b"Allow: %b\r\n" % method)
        headers = message.headers
        budget = headers.get(b"x-budget-ms") or b""
        has_key = effect != Effect.IDEMPOTENCY_KEY or headers.get(b"idempotency-key")
        tenant = headers.get(b"x-caller")
        if not (
            headers.get(b"x-call-id")
            and has_key
            and (tenant or not self.tenants)
            and budget.isdigit()
            and len(budget) <= MAX_BUDGET_DIGITS
        ):
            raise InvalidRequestError(400)
        return RequestParameters(
            tenant=self.tenants.get(tenant or b"", len(self.tenants)),
            budget_us=int(budget) * 1000,
            is_repeat=headers.get(b"x-again") == b"1",
        )
