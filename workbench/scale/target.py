"""The size to plan for, as a typed structure with defaults, and `KEY=VALUE` changes to it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated, Any

from msgspec import Meta, Struct, convert

from workbench.scenario.check import type_errors

SECONDS_A_DAY = 86_400
DEEPEST_CALL = 9  # hops

Count = Annotated[int, Meta(extra_json_schema={"minimum": 1, "maximum": 1_000_000})]
Rate = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 1e9})]
Percent = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 100})]


class TargetError(Exception):
    """A target that cannot be used: a line for each fault, with key, value and what is allowed."""


class Target(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What the fleet has to bear, and what it may spend on it."""

    nodes: Count = 3_200
    services: Count = 180
    zones: Count = 13
    regions: Count = 5
    control_machines: Count = 6
    calls_s: Rate = 490_000.0
    depth: Count = DEEPEST_CALL
    added_ms: Rate = 1.1  # added to a call
    added_percent: Percent = 99.0  # of the calls that the bound holds for
    changes_day: Rate = 8_100.0  # of configuration
    change_s: Rate = 11.0  # until a change is in force everywhere
    cpu_percent: Percent = 1.4  # of a core, a node's control
    memory_mb: Rate = 256.0  # a node's control
    bytes_s: Rate = 12_000.0  # a node's control
    failures_day: Rate = 9.0
    restarts_day: Rate = 370.0
    release_batch: Count = 250  # nodes that a release restarts at once
    rack_nodes: Count = 40  # an assumption: the operators gave no figure
    gateways_a_zone: Count = 3  # of the candidate design

    @property
    def zone_nodes(self) -> float:
        return self.nodes / self.zones

    @property
    def region_nodes(self) -> float:
        return self.nodes / self.regions

    @property
    def calls_a_node_s(self) -> float:
        return self.calls_s / self.nodes

    @property
    def change_every_s(self) -> float:
        return SECONDS_A_DAY / self.changes_day

    @property
    def restart_every_s(self) -> float:
        """Between two members that go or come back, failures included."""
        return SECONDS_A_DAY / (self.restarts_day + self.failures_day)


def relations(target: Target) -> Iterator[str]:
    """What keys that are right by themselves do wrong together."""
    for small, large in (
        ("regions", "zones"),
        ("zones", "nodes"),
        ("services", "nodes"),
        ("release_batch", "nodes"),
        ("rack_nodes", "nodes"),
        ("gateways_a_zone", "nodes"),
    ):
        value, bound = getattr(target, small), getattr(target, large)
        if value > bound:
            yield f"{small}: {value}: must be at most {large}, {bound}"


def parsed(text: str) -> int | float | str:
    """A figure, or the text itself where it is none."""
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def target_of(changes: Sequence[str] = ()) -> Target:
    """The default target with `KEY=VALUE` changes. TargetError."""
    table: dict[str, Any] = {}
    for change in changes:
        key, equals, value = change.partition("=")
        if not equals or not key:
            raise TargetError(f"{change}: must be KEY=VALUE, as in nodes=6400")
        table[key] = parsed(value)
    faults = type_errors(table, Target)
    if not faults:
        target = convert(table, Target)
        faults = list(relations(target))
    if faults:
        raise TargetError("\n".join(faults))
    return target
