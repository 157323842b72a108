"""Rows of the capacity table, and what they say comes first."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum

from workbench.scale.mechanisms import Mechanism
from workbench.scale.slopes import Quantity
from workbench.scale.target import Target


class Role(Enum):
    """Who bears a cost."""

    NODE = "node"
    GATEWAY = "gateway"
    CONTROL = "control machine"
    OPERATOR = "operator's machine, and the member it asks"


class Event(Enum):
    """What happens on an ordinary or a bad day."""

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
    """One cost, and the mechanism that carries it now. `quantity` None: there is nothing that does it."""

    subject: Role | Event
    what: str
    unit: str
    mechanism: Mechanism
    quantity: Quantity | None = None
    budget: float | None = None
    note: str = ""
    alternative: bool = False  # the same cost as another row's, carried in another way
    wanted: Mechanism | None = None  # what would carry it, where that which carries it now does not do

    @property
    def share(self) -> float | None:
        """Of the budget that is used; None without a value or a budget."""
        if self.quantity is None or not self.quantity.measured or self.budget is None:
            return None
        return self.quantity.value / self.budget

    @property
    def missing(self) -> bool:
        return not self.mechanism.built

    def all_needs(self) -> frozenset[Mechanism]:
        """All mechanisms that it rests on or wants."""
        wanted = self.wanted.all_needs() if self.wanted is not None else frozenset()
        return self.mechanism.all_needs() | wanted


@dataclass(frozen=True)
class Capacity:
    """The whole table, and what it says comes first."""

    target: Target
    roles: list[Row]
    events: list[Row]

    @property
    def rows(self) -> list[Row]:
        return self.roles + self.events

    @property
    def costs(self) -> list[Row]:
        """Each cost once."""
        return [row for row in self.rows if not row.alternative]

    def farthest(self) -> Row:
        """The row that is farthest beyond its budget."""
        return max((r for r in self.rows if r.share is not None), key=lambda r: r.share or 0.0)

    def resting(self) -> Counter[Mechanism]:
        """How many rows rest on each missing mechanism, directly or through another; no cost twice."""
        found: Counter[Mechanism] = Counter()
        for row in self.costs:
            found.update(need for need in row.all_needs() if not need.built)
        return found
