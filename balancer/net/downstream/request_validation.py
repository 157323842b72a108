"""Validation of a request's head: its class, method, identifiers, tenant and time budget."""

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
    """Error raised for a request whose head is invalid.

    Args:
        status: The HTTP status of the response.
        headers: Header lines of the response, each ending in CRLF.
    """

    def __init__(self, status: int, headers: bytes = b"") -> None:
        super().__init__(status)
        self.status = status
        self.headers = headers


@dataclass(slots=True)
class RequestParameters:
    """The parameters of a valid request that are passed to the policy.

    Attributes:
        tenant: The tenant's number; the number of configured tenants for an unknown tenant.
        budget_us: The client's time budget, in microseconds.
        is_repeat: Whether the client says, by the header `X-Again: 1`, that it has sent the request before.
    """

    tenant: int
    budget_us: int
    is_repeat: bool


class RequestValidator:
    """Validates the heads of requests.

    Args:
        config: The configuration of the node.
    """

    def __init__(self, config: Config) -> None:
        self.settings = config.settings
        self.classes = {name.encode(): i for i, name in enumerate(config.classes)}
        self.tenants = {name.encode(): i for i, name in enumerate(config.tenants)}

    def class_of(self, message: ClientRequest) -> int | None:
        """Return the number of the class that the first segment of the request's path names, or None."""
        path = message.target.partition(b"?")[0]
        return self.classes.get(path[1:].partition(b"/")[0]) if path[:1] == b"/" else None

    def parse(self, message: ClientRequest, request_class: int) -> RequestParameters:
        """Return the parameters of a request of this class.

        Raises:
            InvalidRequestError: The method is not the one for the class, or a header is missing or invalid.
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
