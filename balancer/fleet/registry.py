"""The fleet components of one process: lookup by message kind, and calls to all of them.

A component implements one function of the fleet. An exception in a component is reported and stops nothing
else.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, TypeVar

from balancer.fleet.component import Component
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Kind

MEMBERSHIP_KINDS = frozenset(int(kind) for kind in Kind)
# A component whose `deadline` raised an exception has its `tick` called after this time.
FAILED_DEADLINE_DELAY_US = 1_000_000

Result = TypeVar("Result")


class DuplicateKindError(ValueError):
    """Two components define the same message kind."""


class Registry:
    """The fleet components of one process, in the order in which they are opened, ticked and shown.

    Args:
        components: The components, in the order in which they are opened, ticked and shown.
        report: Called with the failed method, as "Component.method", and its exception.

    Attributes:
        owners: The component that handles each message kind.

    Raises:
        DuplicateKindError: Two components define the same message kind.
    """

    def __init__(self, components: Sequence[Component], report: Callable[[str, Exception], None]) -> None:
        self.report = report
        self.ordered = list(components)
        self.payload_codecs: list[PayloadCodec] = []
        self.owners: dict[int, Component] = {}
        for component in self.ordered:
            for codec in component.payload_codecs:
                self.payload_codecs.append(codec)
                self.register(component, codec.kinds)

    def register(self, component: Component, kinds: frozenset[int]) -> None:
        """Make a component the owner of these message kinds, whose messages it then handles.

        Raises:
            DuplicateKindError: A kind already has an owner, or belongs to membership.
        """
        for kind in kinds:
            if kind in self.owners or kind in MEMBERSHIP_KINDS:
                raise DuplicateKindError(f"message kind {kind} is defined twice")
            self.owners[kind] = component

    def owner(self, kind: int) -> Component | None:
        """Return the component that handles messages of a kind; None if there is none."""
        return self.owners.get(kind)

    # ---- Calls ------------------------------------------------------------------------------------------

    def call_safely(
        self, component: Component, method: str, call: Callable[[], Result], default: Result
    ) -> Result:
        """Return the result of `call`, a call of a component's method.

        If it raises an exception, report the exception and return `default`.
        """
        try:
            return call()
        except Exception as error:
            self.report(f"{type(component).__name__}.{method}", error)
            return default

    def call_all(self, method: str, call: Callable[[Component], None]) -> None:
        """Call a method of each component in turn; an exception in one does not prevent the other calls."""
        for component in self.ordered:
            self.call_safely(component, method, partial(call, component), None)

    def deadline(self, now: int) -> int | None:
        """Return the earliest time at which a component's `tick` is due; None if there is none."""
        retry_at: int | None = now + FAILED_DEADLINE_DELAY_US
        deadlines = [
            self.call_safely(component, "deadline", partial(component.deadline, now), retry_at)
            for component in self.ordered
        ]
        return min((d for d in deadlines if d is not None), default=None)

    def status(self, now: int) -> dict[str, Any]:
        """Return the keys and values of all components for the page `GET /fleet`."""
        keys: dict[str, Any] = {}
        no_keys: dict[str, Any] = {}
        for component in self.ordered:
            keys |= self.call_safely(component, "status", partial(component.status, now), no_keys)
        return keys
