"""The plan of a scale run: a TOML file, checked key by key."""

from __future__ import annotations

from collections.abc import Iterator
from importlib.resources import files
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from workbench.scale.group import PORTS_PER_HOST, REAL_ZONE, Group, Membership, MemberSpec
from workbench.scenario.check import type_errors
from workbench.scenario.load import read_toml, titles_by_name

NonNegativeInt = Annotated[int, Meta(extra_json_schema={"minimum": 0})]
PositiveInt = Annotated[int, Meta(extra_json_schema={"minimum": 1})]
Seconds = Annotated[float, Meta(extra_json_schema={"minimum": 0, "maximum": 3600})]
PositiveSeconds = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 3600})]
PeriodMs = Annotated[int, Meta(extra_json_schema={"minimum": 100, "maximum": 60_000})]
Share = Annotated[float, Meta(extra_json_schema={"minimum": 0, "maximum": 1})]
Zones = Annotated[int, Meta(extra_json_schema={"minimum": 1, "maximum": 64})]

Start = Literal["together", "known"]
Defect = Literal["deaf", "quadratic"]

# Periods between the start and the measured calm phase.
SETTLE_PERIODS = 3
MAX_HOLLOW = 100 * PORTS_PER_HOST
MAX_REAL = 40


class PlanError(Exception):
    """An invalid plan; the message has one line for each error."""


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Fault(Section, forbid_unknown_fields=True, kw_only=True):
    """One fault, `at_s` seconds after the calm phase.

    `kill` ends `count` members, a `part` of all, or a `zone`; `cut` partitions a `region` from all others.
    After `for_s` seconds a partition heals, and killed members restart without their knowledge; with 0 they
    do not.
    """

    type: Literal["kill", "cut"]
    at_s: Seconds = 0.0
    for_s: Seconds = 0.0
    count: NonNegativeInt = 0
    part: Share = 0.0
    zone: NonNegativeInt | None = None
    region: NonNegativeInt | None = None


class DefectGroup(Section, forbid_unknown_fields=True, kw_only=True):
    """Injected defect of some hollow members, to show that a run detects it."""

    kind: Defect
    count: PositiveInt = 1


class Plan(Section):
    """A whole plan file.

    With `start` "together" members know only the seeds; with "known" each starts with the whole group.
    `workers` is the number of processes of hollow members, with 0 derived from the cores of the machine.
    `seconds` is the length of the measured calm phase, `join_s` the time in which the members must discover
    one another, and `agree_s` that in which they must agree after the last fault.
    """

    title: str = ""
    seed: NonNegativeInt = 1
    hollow: PositiveInt = 100
    real: NonNegativeInt = 0
    zones: Zones = 1
    regions: Zones = 1
    period_ms: PeriodMs = 1000
    membership: Membership = "flat"
    start: Start = "together"
    workers: NonNegativeInt = 0
    seconds: PositiveSeconds = 30.0
    join_s: PositiveSeconds = 120.0
    agree_s: PositiveSeconds = 120.0
    fault: list[Fault] = field(default_factory=list)
    defect: list[DefectGroup] = field(default_factory=list)


SHIPPED_PLANS = files("workbench") / "scale" / "plans"


def shipped_plans() -> dict[str, str]:
    """Return the titles of the shipped plans by name."""
    return titles_by_name(SHIPPED_PLANS)


def read_plan(source: str, changes: dict[str, Any] | None = None) -> Plan:
    """Read a plan from a file, or a shipped one by name, with some of its keys replaced.

    Raises:
        PlanError: The plan does not exist or is invalid.
    """
    return parse_plan(read_toml(source, SHIPPED_PLANS, PlanError) | (changes or {}), source)


def parse_plan(table: dict[str, Any], source: str = "plan") -> Plan:
    """Validate and convert a decoded plan.

    Raises:
        PlanError: The plan is invalid; the message has one line for each error.
    """
    found = type_errors(table, Plan)
    if not found:
        plan = msgspec.convert(table, Plan)
        found = list(relation_errors(plan))
    if found:
        raise PlanError("\n".join(f"{source}: {line}" for line in found))
    return plan


def relation_errors(plan: Plan) -> Iterator[str]:
    """Yield an error for each combination of valid keys that is inconsistent."""
    if plan.hollow > MAX_HOLLOW:
        yield f"hollow: {plan.hollow}: must be at most {MAX_HOLLOW}"
    if plan.real > MAX_REAL:
        yield f"real: {plan.real}: must be at most {MAX_REAL}"
    if plan.zones > plan.hollow:
        yield f"zones: {plan.zones}: must be at most hollow, {plan.hollow}"
    if plan.regions > plan.zones:
        yield f"regions: {plan.regions}: must be at most zones, {plan.zones}"
    for i, fault in enumerate(plan.fault):
        for line in fault_errors(plan, fault):
            yield f"fault[{i}]{line}"


def fault_errors(plan: Plan, fault: Fault) -> Iterator[str]:
    """Yield an error for each key of a fault that does not match the others or the plan."""
    if fault.type == "cut":
        if fault.region is None:
            yield ".region: missing: must be given for a cut"
        elif fault.region >= plan.regions or plan.regions == 1:
            yield f".region: {fault.region}: must be one of several regions, there are {plan.regions}"
        if not fault.for_s:
            yield ".for_s: 0: must be over 0 for a cut"
        return
    if sum((fault.count > 0, fault.part > 0, fault.zone is not None)) != 1:
        yield ": must have one of count, part and zone"
    if fault.count >= plan.hollow:
        yield f".count: {fault.count}: must be under hollow, {plan.hollow}"
    if fault.zone is not None and fault.zone >= plan.zones:
        yield f".zone: {fault.zone}: must be under zones, {plan.zones}"
    if fault.zone == REAL_ZONE and plan.real:
        yield f".zone: {fault.zone}: must be another: the real nodes are in zone {REAL_ZONE}"


def build_group(plan: Plan, block: str) -> Group:
    """Build the plan's group, with addresses in a block of loopback."""
    return Group(
        block=block,
        hollow=plan.hollow,
        real=plan.real,
        zones=plan.zones,
        regions=plan.regions,
        period_ms=plan.period_ms,
        membership=plan.membership,
        seed=plan.seed,
    )


def choose_victims(fault: Fault, running: list[MemberSpec], rng: Random) -> list[MemberSpec]:
    """Choose the hollow members that a kill ends; without a zone, at least one survives."""
    candidates = [p for p in running if p.hollow and fault.zone in (None, p.zone)]
    if fault.zone is not None:
        return candidates
    count = fault.count or max(1, round(fault.part * len(candidates)))
    return sorted(rng.sample(candidates, min(count, len(candidates) - 1)), key=lambda p: p.index)


def defects_by_member(plan: Plan) -> dict[str, Defect]:
    """Return the injected defects by member name.

    The last hollow members have them, since the first ones are the seeds.
    """
    found: dict[str, Defect] = {}
    last = plan.hollow
    for defect in plan.defect:
        first = max(0, last - defect.count)
        found.update({f"h{i:05d}": defect.kind for i in range(first, last)})
        last = first
    return found
