"""The components of one process: which one has a message kind, and what they have to say together."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from brackenladder.fleet.component import Component
from brackenladder.fleet.membership.codec import Part
from brackenladder.fleet.membership.swim import Kind

MEMBERSHIP_KINDS = frozenset(int(kind) for kind in Kind)


class DuplicateKind(ValueError):
    """Two components define the same message kind."""


class Registry:
    """Components in the order in which they are opened, ticked and shown."""

    def __init__(self, components: Sequence[Component]) -> None:
        """Raises DuplicateKind."""
        self.ordered = list(components)
        self.wires: list[Part] = []
        self.owners: dict[int, Component] = {}  # by message kind
        for component in self.ordered:
            for wire in component.wires:
                self.wires.append(wire)
                self.claim(component, wire.kinds)

    def claim(self, component: Component, kinds: frozenset[int]) -> None:
        for kind in kinds:
            if kind in self.owners or kind in MEMBERSHIP_KINDS:
                raise DuplicateKind(f"message kind {kind} is defined twice")
            self.owners[kind] = component

    def owner(self, kind: int) -> Component | None:
        """The component that handles messages of a kind."""
        return self.owners.get(kind)

    def deadline(self, now: int) -> int | None:
        """When the first component is due."""
        deadlines = [component.deadline(now) for component in self.ordered]
        return min((d for d in deadlines if d is not None), default=None)

    def member_forgotten(self, name: str) -> None:
        for component in self.ordered:
            component.member_forgotten(name)

    def status(self, now: int) -> dict[str, Any]:
        """All components' keys for the page."""
        keys: dict[str, Any] = {}
        for component in self.ordered:
            keys |= component.status(now)
        return keys
