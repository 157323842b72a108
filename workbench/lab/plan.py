"""The plan of a lab: a TOML file, checked as strictly as a scenario; a run is drawn out of its ranges."""

from __future__ import annotations

from collections.abc import Iterator
from importlib.resources import files
from math import ceil
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from workbench.emulator.address_block import MAX_NODES
from workbench.model.streams import Streams
from workbench.scenario import model
from workbench.scenario.check import lower_end, type_errors
from workbench.scenario.check import upper_end as top
from workbench.scenario.load import ScenarioError, draw_ranges, load, read_toml, titles_by_name
from workbench.scenario.model import Count, Number, Positive, Scenario, Share
from workbench.scenario.model import NonNegative as From0
from workbench.scenario.model import NonNegativeCount as Any0
from workbench.scenario.model import PositiveCount as Some

Value = int | float | str | bool | list[float]


class PlanError(Exception):
    """What is wrong with a lab's plan: a line for each error."""


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class NodeSelection(Section):
    """Which nodes: those named, those of a zone or region, or a number or share of these, drawn."""

    nodes: list[str] = field(default_factory=list)
    zone: Annotated[Count, Meta(extra_json_schema={"minimum": -1})] = -1
    region: Annotated[Count, Meta(extra_json_schema={"minimum": -1})] = -1
    count: Any0 = 0
    part: Share = 0.0


class Fault(NodeSelection, forbid_unknown_fields=True, kw_only=True):
    """One fault. Keys that do not belong to its type are ignored."""

    type: Literal[
        "kill", "pause", "term", "replace", "cut", "links", "clock", "fleet_replace", "voters", "zone_leave"
    ]
    at_s: From0 = 3.0
    for_s: From0 = 5.0  # then the process is started, resumed, the link healed, the clock set right
    back: bool = True  # whether what was killed or ended is started again
    way: Literal["both", "out", "in"] = "both"  # of a partition: what the chosen nodes send, or receive
    servers: bool = False  # network faults also affect links between nodes and servers of other sides
    loss: Share = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    delay_ms: From0 = 0.0
    jitter_ms: From0 = 0.0
    kbytes_s: From0 = 0.0  # 0: no limit
    offset_ms: Number = 0.0  # of `clock`: the step of the wall clock, forward or back
    restart: Literal["none", "kill", "term"] = "none"  # of `clock`: ended, stepped, started again
    down_s: From0 = 1.0  # of `clock` with a restart: between the end of a process and the next one's start
    through: str = ""  # of `zone_leave`: the node whose page takes the directive; "": one of another zone
    most: Some = 1  # of `fleet_replace`: down at a time
    voters: list[str] = field(default_factory=list)  # of `voters`: the list to come


class FaultyNodes(NodeSelection, forbid_unknown_fields=True, kw_only=True):
    """Nodes that are started in another way than the product is: to be caught, or to be tolerated."""

    kind: Literal[
        "wrong_key",
        "earlier",
        "other_list",
        "newer",
        "mute",
        "spoil",
        "twice",
        "deaf",
        "pile",
        "blind",
        "slander",
        "rewind",
        "crash",
        "raises",
        "unready",
        "flood",
        "greedy",
        "hasty",
        "brisk",
        "pushy",
        "unruly",
        "rash",
        "stray",
    ]


class Plan(Section):
    """A whole file. `scenario` and `set` give servers, clients and load; the rest is the lab's."""

    title: str = ""
    seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1
    nodes: Some = 5
    zones: Some = 3
    regions: Some = 1
    length_s: Positive = 20.0
    scenario: str = "lab"
    set: dict[str, Value] = field(default_factory=dict)  # keys of the scenario
    fleet: bool = True
    supervise: bool = False  # a process that exits by itself with status 0 is started again
    period_ms: Positive = 300.0  # of membership's probes
    voters: Any0 = 0  # the first so many nodes vote, and every node requests one lease
    lease_ms: Positive = 1500.0
    probe: bool = False  # ejected servers are probed by one node a zone
    remeasure: Share = 0.0  # of the nodes that recalculate minRTT at once; 0: each by itself
    near: bool = False  # calls keep to their zone, by `fleet.zones`
    by_zone: bool = False  # membership by zone: SWIM in each zone, gateways between them
    ready_s: Positive = 20.0  # that a process has to get ready
    join_s: Positive = 30.0  # that the processes have at most to join before the clients begin
    agree_s: Positive = 12.0  # so long after the last fault all views must agree
    earlier: str = ""  # the revision of faulty nodes of the kind `earlier`
    fault: list[Fault] = field(default_factory=list)
    trouble: list[model.Fault] = field(default_factory=list)  # of the servers, beside the scenario's own
    mischief: list[FaultyNodes] = field(default_factory=list)


GROUP_WIDE = ("fleet_replace", "voters", "zone_leave")  # faults that need one group of all nodes
AFFECT_ALL_BY_DEFAULT = ("replace", "links", "fleet_replace", "voters")
VOTER_COUNTS = (3, 5)

MAX_CLOCK_STEP_MS = 86_400_000.0  # of a wall clock, either way

SHIPPED_PLANS = files("workbench") / "lab" / "plans"


def shipped() -> dict[str, str]:
    """Returns the names of the plans that ship with the workbench, and their titles."""
    return titles_by_name(SHIPPED_PLANS)


def plan_of(table: dict[str, Any], source: str = "plan") -> Plan:
    """Converts a table to a typed plan.

    Raises:
        PlanError: The plan is wrong; the message has every error, a line each.
    """
    found = type_errors(table, Plan) or list(relations(table))
    if found:
        raise PlanError("\n".join(f"{source}: {line}" for line in found))
    return msgspec.convert(table, Plan)


def relations(table: dict[str, Any]) -> list[str]:
    """Returns what does not fit between keys that are valid by themselves, a line each."""
    found = [*size_relations(table), *voter_relations(table), *earlier_relations(table)]
    for index, fault in enumerate(table.get("fault", ())):
        found += fault_relations(f"fault[{index}]", fault, table)
    return found


def size_relations(table: dict[str, Any]) -> Iterator[str]:
    """Checks the numbers of nodes and regions."""
    if top(table.get("nodes", 5)) > MAX_NODES:
        yield f"nodes: {table['nodes']}: must be at most {MAX_NODES}"
    if top(table.get("regions", 1)) > lower_end(table.get("zones", 3)):
        yield f"regions: {table['regions']}: must be at most zones, {table.get('zones', 3)}"


def voter_relations(table: dict[str, Any]) -> Iterator[str]:
    """Checks the number of voters, and what needs or excludes them."""
    if top(table.get("voters", 0)) not in (0, *VOTER_COUNTS):
        yield f"voters: {table['voters']}: must be 0, 3 or 5"
    with_leases = [key for key in ("probe", "remeasure") if table.get(key)]
    if with_leases and not table.get("voters"):
        yield f"voters: missing: must be 3 or 5 where {with_leases[0]} is"
    if table.get("by_zone") and table.get("voters"):
        yield "by_zone: true: must not be with voters, who are to be of every node's own group"


def earlier_relations(table: dict[str, Any]) -> Iterator[str]:
    """Checks that a revision is named just where a node is of one."""
    used = any(faulty["kind"] == "earlier" for faulty in table.get("mischief", ()))
    if used and not table.get("earlier"):
        yield "earlier: missing: must be a revision of this repository where a node is of an earlier one"
    elif table.get("earlier") and not used:
        yield f"earlier: {table['earlier']!r}: no node of this plan is of an earlier revision"


def fault_relations(key: str, fault: dict[str, Any], table: dict[str, Any]) -> Iterator[str]:
    """Checks one fault, with its key path, against the plan that has it."""
    length = lower_end(table.get("length_s", 20.0))
    if top(fault.get("at_s", 3.0)) >= length:
        yield f"{key}.at_s: {fault.get('at_s', 3.0)}: must be under length_s, {length:g}"
    if table.get("by_zone") and fault["type"] in GROUP_WIDE:
        yield f"{key}.type: {fault['type']!r}: must not be with by_zone: it goes to one group alone"
    if fault["type"] == "voters":
        voters = fault.get("voters", [])
        if len(voters) not in VOTER_COUNTS or not table.get("voters"):
            yield f"{key}.voters: {voters}: must be 3 or 5 names, in a plan with voters"
    if fault["type"] == "clock":
        yield from clock_relations(key, fault)
    if fault["type"] not in AFFECT_ALL_BY_DEFAULT and not selects_nodes(fault):
        yield f"{key}: nobody is chosen: give nodes, zone, region, count or part"


def selects_nodes(fault: dict[str, Any]) -> bool:
    """Whether a fault names any nodes; zone and region 0 are names."""
    if any(fault.get(key) == 0 for key in ("zone", "region")):
        return True
    selectors = (fault.get(key) for key in ("nodes", "zone", "region", "count", "part"))
    return any(value not in (None, [], 0, 0.0, -1) for value in selectors)


def clock_relations(key: str, fault: dict[str, Any]) -> list[str]:
    """Returns what does not fit in a fault of the type `clock`, with the key path and what is allowed."""
    out = []
    step, down, length = fault.get("offset_ms", 0.0), fault.get("down_s", 1.0), fault.get("for_s", 5.0)
    if lower_end(step) <= 0 <= top(step):
        out.append(f"{key}.offset_ms: {step}: must be a step other than 0 where type is 'clock'")
    if max(abs(lower_end(step)), abs(top(step))) > MAX_CLOCK_STEP_MS:
        out.append(f"{key}.offset_ms: {step}: must be at most {MAX_CLOCK_STEP_MS:g} either way")
    restarts = fault.get("restart", "none") != "none"
    if "down_s" in fault and not restarts:
        out.append(f"{key}.down_s: {down}: must not be without restart, which is 'kill' or 'term'")
    if restarts and fault.get("back", True) and top(down) >= lower_end(length):
        out.append(f"{key}.down_s: {down}: must be under for_s, {length}, after which the clock is set right")
    return out


def draw(source: str, seed: int | None = None, changes: dict[str, Any] | None = None) -> Plan:
    """Draws one run: every range of the plan is fixed by the seed.

    Args:
        source: A file, or the name of a plan that ships.
        seed: The seed, in place of the plan's own.
        changes: Replace keys of the file.

    Raises:
        PlanError: The plan cannot be read, or is wrong.
    """
    table = read_toml(source, SHIPPED_PLANS, PlanError) | (changes or {})
    plan = plan_of(table, source)
    number = plan.seed if seed is None else seed
    plain = msgspec.to_builtins(plan) | {"seed": number}
    fixed = draw_ranges({k: v for k, v in plain.items() if k != "set"}, "", Streams(number))
    return msgspec.convert(fixed | {"set": plain["set"]}, Plan)


def scenario(plan: Plan) -> Scenario:
    """Returns the plan's scenario with its keys, zones and length.

    Raises:
        PlanError: The scenario is wrong, or not one for a lab.
    """
    keys = [f"{k}={format_value(v)}" for k, v in plan.set.items()]
    keys += [
        f"zones.count={plan.zones}",
        f"zones.regions={plan.regions}",
        f"nodes.count={plan.nodes}",
        f"length_s={plan.length_s}",
    ]
    try:
        found = load(plan.scenario, keys)
    except ScenarioError as e:
        raise PlanError(str(e)) from None
    found = msgspec.structs.replace(found, fault=[*found.fault, *plan.trouble])
    if len(found.tier) != 1:
        raise PlanError(f"{plan.scenario}: tier: {len(found.tier)} tiers: a lab has one")
    if found.discovery.mode != "push":
        raise PlanError(f"{plan.scenario}: discovery.mode: {found.discovery.mode!r}: must be push in a lab")
    return found


def format_value(value: Value) -> str:
    """Formats a value as the scenarios' keys are written."""
    return {True: "true", False: "false"}[value] if isinstance(value, bool) else str(value)


def chosen(
    selection: NodeSelection, names: list[str], zones: list[int], regions: int, streams: Streams, key: str
) -> list[str]:
    """Returns the nodes that a selection takes, in order.

    Args:
        selection: A fault, or a kind of faulty nodes.
        names: All nodes.
        zones: The zone of each.
        regions: The number of regions.
        streams: Random streams.
        key: Names the stream that the nodes are drawn from.
    """
    if selection.nodes:
        return [name for name in names if name in selection.nodes]
    candidates = [
        name
        for name, zone in zip(names, zones, strict=True)
        if selection.zone in (-1, zone) and selection.region in (-1, zone % regions)
    ]
    share = ceil(number(selection.part) * len(candidates)) if selection.part else 0
    count = int(number(selection.count)) or share
    if not count:
        return candidates if selection.zone != -1 or selection.region != -1 else []
    picked = streams.random(key).sample(candidates, min(count, len(candidates)))
    return [n for n in names if n in picked]


def number(value: Any) -> float:
    """Returns a figure of a run, in which every range is fixed."""
    assert not isinstance(value, (tuple, list)), "a run has no ranges"
    return float(value)
