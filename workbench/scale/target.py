"""The target size for capacity planning, with defaults, and `KEY=VALUE` changes to it."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated, Any

from msgspec import Meta, Struct, convert

from workbench.scenario.check import type_errors

SECONDS_PER_DAY = 86_400
MAX_CALL_DEPTH = 9

Count = Annotated[int, Meta(extra_json_schema={"minimum": 1, "maximum": 1_000_000})]
Rate = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 1e9})]
Percent = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 100})]


class TargetError(Exception):
    """An invalid target; the message has one line for each error, with key, value and what is allowed."""


class Target(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The load that the fleet must bear, and its budgets.

    The bound `added_ms` on the latency added to a call holds for `added_percent` of the calls. `change_s` is
    the time until a configuration change is in force everywhere. `cpu_percent` (of a core), `memory_mb` and
    `bytes_s` are the budgets of a node for control. `release_batch` nodes restart at once in a release.
    `rack_nodes` is an assumption, since the operators gave no figure; `gateways_a_zone` is that of the
    candidate design.
    """

    nodes: Count = 3_200
    services: Count = 180
    zones: Count = 13
    regions: Count = 5
    control_machines: Count = 6
    calls_s: Rate = 490_000.0
    depth: Count = MAX_CALL_DEPTH
    added_ms: Rate = 1.1
    added_percent: Percent = 99.0
    changes_day: Rate = 8_100.0
    change_s: Rate = 11.0
    cpu_percent: Percent = 1.4
    memory_mb: Rate = 256.0
    bytes_s: Rate = 12_000.0
    failures_day: Rate = 9.0
    restarts_day: Rate = 370.0
    release_batch: Count = 250
    rack_nodes: Count = 40
    gateways_a_zone: Count = 3

    @property
    def nodes_per_zone(self) -> float:
        """The mean number of nodes of a zone."""
        return self.nodes / self.zones

    @property
    def nodes_per_region(self) -> float:
        """The mean number of nodes of a region."""
        return self.nodes / self.regions

    @property
    def calls_per_node_s(self) -> float:
        """The mean calls a second of a node."""
        return self.calls_s / self.nodes

    @property
    def change_interval_s(self) -> float:
        """The mean seconds between two configuration changes."""
        return SECONDS_PER_DAY / self.changes_day

    @property
    def restart_interval_s(self) -> float:
        """The mean seconds between two restarts, failures included."""
        return SECONDS_PER_DAY / (self.restarts_day + self.failures_day)


def relation_errors(target: Target) -> Iterator[str]:
    """Yield an error for each combination of valid keys that is inconsistent."""
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


def parse_value(text: str) -> int | float | str:
    """Parse a number; return the text itself if it is none."""
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def target_of(changes: Sequence[str] = ()) -> Target:
    """Return the default target with `KEY=VALUE` changes.

    Raises:
        TargetError: A change is malformed, or the target is invalid with it.
    """
    table: dict[str, Any] = {}
    for change in changes:
        key, equals, value = change.partition("=")
        if not equals or not key:
            raise TargetError(f"{change}: must be KEY=VALUE, as in nodes=6400")
        table[key] = parse_value(value)
    errors = type_errors(table, Target)
    if not errors:
        target = convert(table, Target)
        errors = list(relation_errors(target))
    if errors:
        raise TargetError("\n".join(errors))
    return target
