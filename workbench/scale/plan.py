"""The plan of a scale run: a TOML file, checked key by key."""

from __future__ import annotations

from collections.abc import Iterator
from importlib.resources import files
from random import Random
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from workbench.scale.group import PORTS_PER_HOST, REAL_ZONE, Group, Membership, Place
from workbench.scenario.check import type_errors
from workbench.scenario.load import read_toml, titles_by_name

Whole0 = Annotated[int, Meta(extra_json_schema={"minimum": 0})]
Whole1 = Annotated[int, Meta(extra_json_schema={"minimum": 1})]
Seconds = Annotated[float, Meta(extra_json_schema={"minimum": 0, "maximum": 3600})]
LongSeconds = Annotated[float, Meta(extra_json_schema={"exclusiveMinimum": 0, "maximum": 3600})]
PeriodMs = Annotated[int, Meta(extra_json_schema={"minimum": 100, "maximum": 60_000})]
Share = Annotated[float, Meta(extra_json_schema={"minimum": 0, "maximum": 1})]
Zones = Annotated[int, Meta(extra_json_schema={"minimum": 1, "maximum": 64})]

Start = Literal["together", "known"]
Defect = Literal["deaf", "quadratic"]

SETTLE_PERIODS = 3  # between the beginning and the calm that is measured
MAX_HOLLOW = 100 * PORTS_PER_HOST
MAX_REAL = 40


class PlanError(Exception):
    """What is wrong with a plan: a line for each fault."""


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Fault(Section, forbid_unknown_fields=True, kw_only=True):
    """One fault, `at_s` after the calm. `kill` takes `count` members, a `part` of all or a `zone`;
    `cut` separates a `region` from all others."""

    type: Literal["kill", "cut"]
    at_s: Seconds = 0.0
    for_s: Seconds = 0.0  # then a cut heals, and killed members come back from nothing; 0: they do not
    count: Whole0 = 0
    part: Share = 0.0
    zone: Whole0 | None = None
    region: Whole0 | None = None


class DefectOf(Section, forbid_unknown_fields=True, kw_only=True):
    """Hollow members that misbehave on purpose, to show that the run notices."""

    kind: Defect
    count: Whole1 = 1


class Plan(Section):
    """A whole file."""

    title: str = ""
    seed: Whole0 = 1
    hollow: Whole1 = 100
    real: Whole0 = 0
    zones: Zones = 1
    regions: Zones = 1
    period_ms: PeriodMs = 1000
    membership: Membership = "flat"
    start: Start = "together"  # members know the seeds alone; "known": each begins with the whole group
    workers: Whole0 = 0  # processes of hollow members; 0: by the machine's cores
    seconds: LongSeconds = 30.0  # of calm that are measured
    join_s: LongSeconds = 120.0  # that the members have to find one another
    agree_s: LongSeconds = 120.0  # that they have to agree after the last fault
    fault: list[Fault] = field(default_factory=list)
    defect: list[DefectOf] = field(default_factory=list)


SHIPPED = files("workbench") / "scale" / "plans"


def shipped() -> dict[str, str]:
    """The names of the plans that ship with the product, and their titles."""
    return titles_by_name(SHIPPED)


def read_plan(source: str, changes: dict[str, Any] | None = None) -> Plan:
    """A file's plan or a shipped one, some of its keys replaced. PlanError."""
    return plan_of(read_toml(source, SHIPPED, PlanError) | (changes or {}), source)


def plan_of(table: dict[str, Any], source: str = "plan") -> Plan:
    """The typed plan. PlanError holds every fault, a line each."""
    found = type_errors(table, Plan)
    if not found:
        plan = msgspec.convert(table, Plan)
        found = list(relations(plan))
    if found:
        raise PlanError("\n".join(f"{source}: {line}" for line in found))
    return plan


def relations(plan: Plan) -> Iterator[str]:
    """What does not fit between keys that are right by themselves."""
    if plan.hollow > MAX_HOLLOW:
        yield f"hollow: {plan.hollow}: must be at most {MAX_HOLLOW}"
    if plan.real > MAX_REAL:
        yield f"real: {plan.real}: must be at most {MAX_REAL}"
    if plan.zones > plan.hollow:
        yield f"zones: {plan.zones}: must be at most hollow, {plan.hollow}"
    if plan.regions > plan.zones:
        yield f"regions: {plan.regions}: must be at most zones, {plan.zones}"
    for i, fault in enumerate(plan.fault):
        for line in fault_relations(plan, fault):
            yield f"fault[{i}]{line}"


def fault_relations(plan: Plan, fault: Fault) -> Iterator[str]:
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
        yield f".zone: {fault.zone}: must be another: the real nodes stand in zone {REAL_ZONE}"


def group_of(plan: Plan, block: str) -> Group:
    """The plan's members at their addresses."""
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


def victims(fault: Fault, running: list[Place], rng: Random) -> list[Place]:
    """The hollow members that a kill takes."""
    able = [p for p in running if p.hollow and fault.zone in (None, p.zone)]
    if fault.zone is not None:
        return able
    count = fault.count or max(1, round(fault.part * len(able)))
    return sorted(rng.sample(able, min(count, len(able) - 1)), key=lambda p: p.index)


def defects_of(plan: Plan) -> dict[str, Defect]:
    """The members that misbehave, by name: the last ones, since the first are the seeds."""
    found: dict[str, Defect] = {}
    last = plan.hollow
    for defect in plan.defect:
        first = max(0, last - defect.count)
        found.update({f"h{i:05d}": defect.kind for i in range(first, last)})
        last = first
    return found
