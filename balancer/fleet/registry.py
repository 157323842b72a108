"""The components of one process: which one has a message kind, and calls to all of them.

A component's exception is reported and ends nothing else.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, TypeVar

from balancer.fleet.component import Component
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Kind

MEMBERSHIP_KINDS = frozenset(int(kind) for kind in Kind)
FAULTY_DEADLINE_WAIT = 1_000_000  # microseconds until a component whose `deadline` failed is ticked

Result = TypeVar("Result")


class DuplicateKindError(ValueError):
    """Two components define the same message kind."""


class Registry:
    """Components in the order in which they are opened, ticked and shown.

    Args:
        components: The components of one process.
        report: Called with what failed, as "Component.method", and the exception.

    Raises:
        DuplicateKindError: Two components define the same message kind.
    """

    def __init__(self, components: Sequence[Component], report: Callable[[str, Exception], None]) -> None:
        self.report = report
        self.ordered = list(components)
        self.wires: list[PayloadCodec] = []
        self.owners: dict[int, Component] = {}  # by message kind
        for component in self.ordered:
            for wire in component.wires:
                self.wires.append(wire)
                self.register(component, wire.kinds)

    def register(self, component: Component, kinds: frozenset[int]) -> None:
        """Makes a component the owner of message kinds."""
        for kind in kinds:
            if kind in self.owners or kind in MEMBERSHIP_KINDS:
                raise DuplicateKindError(f"message kind {kind} is defined twice")
            self.owners[kind] = component

    def owner(self, kind: int) -> Component | None:
        """The component that handles messages of a kind."""
        return self.owners.get(kind)

    # ---- calls ------------------------------------------------------------------------------------------

    def guarded(
        self, component: Component, method: str, call: Callable[[], Result], default: Result
    ) -> Result:
        """Returns what a call to a component's method returns; `default` if it fails."""
        try:
            return call()
        except Exception as error:
            self.report(f"{type(component).__name__}.{method}", error)
            return default

    def each(self, method: str, call: Callable[[Component], None]) -> None:
        """Calls all components one after the other."""
        for component in self.ordered:
            self.guarded(component, method, partial(call, component), None)

    def deadline(self, now: int) -> int | None:
        """When the first component is due."""
        after_fault: int | None = now + FAULTY_DEADLINE_WAIT
        deadlines = [
            self.guarded(component, "deadline", partial(component.deadline, now), after_fault)
            for component in self.ordered
        ]
        return min((d for d in deadlines if d is not None), default=None)

    def status(self, now: int) -> dict[str, Any]:
        """All components' keys for the page."""
        keys: dict[str, Any] = {}
        no_keys: dict[str, Any] = {}
        for component in self.ordered:
            keys |= self.guarded(component, "status", partial(component.status, now), no_keys)
        return keys
