"""Rows of the capacity table, and the conclusions from them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from workbench.scale.mechanisms import Mechanism
from workbench.scale.slopes import Quantity
from workbench.scale.target import Target


class Role(Enum):
    """A role in the fleet that bears a cost."""

    NODE = "node"
    GATEWAY = "gateway"
    CONTROL = "control machine"
    OPERATOR = "operator's machine, and the member it asks"


class Event(Enum):
    """An operational event, ordinary or exceptional."""

    RESTART = "one node's restart"
    RELEASE = "a release's batch"
    RACK = "a rack lost"
    ZONE_LOST = "a zone lost"
    ZONE_BACK = "a zone back, cold"
    REGION = "a region alone for an hour, and back"
    WHOLE = "the whole fleet's start"
    CHANGE_CALM = "a configuration change in calm"
    CHANGE_RESTART = "... during a restart"
    CHANGE_RELEASE = "... during a release's batch"
    CHANGE_RACK = "... while a rack is lost"
    CHANGE_ZONE = "... during a zone's loss and return"
    CHANGE_REGION = "... while a region is alone"


@dataclass(frozen=True)
class Row:
    """One cost, and the mechanism that bears it now.

    `quantity` is None if no mechanism exists. An `is_alternative` row is the same cost as another row's, by
    another mechanism. `preferred_mechanism` is the mechanism that would replace an insufficient one.
    """

    subject: Role | Event
    cost: str
    unit: str
    mechanism: Mechanism
    quantity: Quantity | None = None
    budget: float | None = None
    note: str = ""
    is_alternative: bool = False
    preferred_mechanism: Mechanism | None = None

    @property
    def budget_share(self) -> float | None:
        """The used share of the budget; None without a value or a budget."""
        if self.quantity is None or not self.quantity.is_measured or self.budget is None:
            return None
        return self.quantity.value / self.budget

    @property
    def is_missing(self) -> bool:
        """Whether the mechanism is not built yet."""
        return not self.mechanism.is_built

    def all_dependencies(self) -> frozenset[Mechanism]:
        """Return all mechanisms that the row depends on, now or with the preferred mechanism."""
        preferred = (
            self.preferred_mechanism.all_dependencies()
            if self.preferred_mechanism is not None
            else frozenset()
        )
        return self.mechanism.all_dependencies() | preferred


@dataclass(frozen=True)
class Capacity:
    """The whole capacity table."""

    target: Target
    roles: list[Row]
    events: list[Row]

    @property
    def rows(self) -> list[Row]:
        """All rows, those of roles first."""
        return self.roles + self.events

    @property
    def distinct_costs(self) -> list[Row]:
        """The rows without alternatives, so that each cost is counted once."""
        return [row for row in self.rows if not row.is_alternative]

    def most_exceeded(self) -> Row:
        """Return the row that exceeds its budget the most."""
        return max((r for r in self.rows if r.budget_share is not None), key=lambda r: r.budget_share or 0.0)

    def row_counts_by_missing_mechanism(self) -> Counter[Mechanism]:
        """Count the costs that depend on each missing mechanism, directly or indirectly."""
        found: Counter[Mechanism] = Counter()
        for row in self.distinct_costs:
            found.update(mechanism for mechanism in row.all_dependencies() if not mechanism.is_built)
        return found
