"""The plan of a lab run: a TOML file, validated like a scenario, whose ranges a seed reduces to values."""

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
from workbench.scenario.check import lower_end, type_errors, upper_end
from workbench.scenario.load import ScenarioError, draw_ranges, load, read_toml, titles_by_name
from workbench.scenario.model import (
    Count,
    NonNegative,
    NonNegativeCount,
    Number,
    Positive,
    PositiveCount,
    Scenario,
    Share,
)

Value = int | float | str | bool | list[float]


class PlanError(Exception):
    """The errors in a lab's plan, one per line."""


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of a plan file. Unknown keys are errors."""


class NodeSelection(Section):
    """A selection of nodes: by name, by zone or region, or a random number or share of these."""

    nodes: list[str] = field(default_factory=list)
    zone: Annotated[Count, Meta(extra_json_schema={"minimum": -1})] = -1
    region: Annotated[Count, Meta(extra_json_schema={"minimum": -1})] = -1
    count: NonNegativeCount = 0
    part: Share = 0.0


class Fault(NodeSelection, forbid_unknown_fields=True, kw_only=True):
    """One fault. Keys that do not apply to its type are ignored."""

    type: Literal[
        "kill", "pause", "term", "replace", "cut", "links", "clock", "fleet_replace", "voters", "zone_leave"
    ]
    at_s: NonNegative = 3.0
    # Time until the process is started or resumed, the link is restored, or the clock is set back.
    for_s: NonNegative = 5.0
    back: bool = True  # Whether the effect is undone: processes are started again, clocks are set back.
    # Direction of a partition: what the selected nodes send ("out"), what they receive ("in"), or both.
    way: Literal["both", "out", "in"] = "both"
    servers: bool = False  # Whether network faults also affect links to servers on the other side.
    loss: Share = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    delay_ms: NonNegative = 0.0
    jitter_ms: NonNegative = 0.0
    kbytes_s: NonNegative = 0.0  # Bandwidth limit; 0 means no limit.
    offset_ms: Number = 0.0  # Step of the wall clock for `clock`, forward or back.
    # How a process is ended for `clock` before its clock is stepped; "none" steps the clock of a running one.
    restart: Literal["none", "kill", "term"] = "none"
    down_s: NonNegative = 1.0  # Time for `clock` from the end of a process to the start of the next one.
    through: str = ""  # Node that is given the directive for `zone_leave`; "" is one of another zone.
    most: PositiveCount = 1  # Maximum number of nodes that are down at once for `fleet_replace`.
    voters: list[str] = field(default_factory=list)  # New list of voters for `voters`.


class FaultyNodes(NodeSelection, forbid_unknown_fields=True, kw_only=True):
    """Nodes that are faulty or differ from the others, which checkers must detect or other nodes tolerate.

    The kinds "wrong_key", "earlier" and "other_list" have another key, revision or list of voters. The other
    kinds are described in `workbench.lab.faulty_nodes`.
    """

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
    """A plan file. `scenario` and `set` define servers, clients and load; the other keys define the lab."""

    title: str = ""
    seed: Annotated[int, Meta(extra_json_schema={"minimum": 0})] = 1
    nodes: PositiveCount = 5
    zones: PositiveCount = 3
    regions: PositiveCount = 1
    length_s: Positive = 20.0
    scenario: str = "lab"
    set: dict[str, Value] = field(default_factory=dict)  # Overrides of the scenario's keys.
    fleet: bool = True
    supervise: bool = False  # Whether a process that exits by itself with status 0 is started again.
    period_ms: Positive = 300.0  # Interval of membership probes.
    # Number of voters, which are the first nodes. If it is not 0, every node requests the same lease.
    voters: NonNegativeCount = 0
    lease_ms: Positive = 1500.0
    probe: bool = False  # Whether only one node of a zone probes an ejected server.
    remeasure: Share = 0.0  # Share of nodes that may recalculate minRTT at once; 0 means no coordination.
    near: bool = False  # Whether requests stay in their zone (`fleet.zones`).
    by_zone: bool = False  # Whether SWIM runs within each zone, with gateways between the zones.
    ready_s: Positive = 20.0  # Time for a process to become ready.
    join_s: Positive = 30.0  # Maximum time for the processes to join before the clients start.
    agree_s: Positive = 12.0  # Time after the last fault within which all views must agree.
    earlier: str = ""  # Revision that faulty nodes of the kind `earlier` run.
    fault: list[Fault] = field(default_factory=list)
    trouble: list[model.Fault] = field(default_factory=list)  # Faults of servers, added to the scenario's.
    mischief: list[FaultyNodes] = field(default_factory=list)


GROUP_WIDE_FAULTS = ("fleet_replace", "voters", "zone_leave")  # Faults that require one group of all nodes.
FAULTS_OF_ALL_BY_DEFAULT = ("replace", "links", "fleet_replace", "voters")
VOTER_COUNTS = (3, 5)

MAX_CLOCK_STEP_MS = 86_400_000.0

SHIPPED_PLANS = files("workbench") / "lab" / "plans"


def shipped() -> dict[str, str]:
    """Return the titles of the plans that ship with the workbench, by name."""
    return titles_by_name(SHIPPED_PLANS)


def parse_plan(table: dict[str, Any], source: str = "plan") -> Plan:
    """Convert a table to a typed plan.

    Raises:
        PlanError: The plan is invalid; the message has one line for each error.
    """
    errors = type_errors(table, Plan) or list(consistency_errors(table))
    if errors:
        raise PlanError("\n".join(f"{source}: {line}" for line in errors))
    return msgspec.convert(table, Plan)


def consistency_errors(table: dict[str, Any]) -> list[str]:
    """Return the inconsistencies between keys that are valid by themselves, one line each."""
    errors = [*size_errors(table), *voter_errors(table), *earlier_errors(table)]
    for index, fault in enumerate(table.get("fault", ())):
        errors += fault_errors(f"fault[{index}]", fault, table)
    return errors


def size_errors(table: dict[str, Any]) -> Iterator[str]:
    """Yield errors in the numbers of nodes and regions."""
    if upper_end(table.get("nodes", 5)) > MAX_NODES:
        yield f"nodes: {table['nodes']}: must be at most {MAX_NODES}"
    if upper_end(table.get("regions", 1)) > lower_end(table.get("zones", 3)):
        yield f"regions: {table['regions']}: must be at most zones, {table.get('zones', 3)}"


def voter_errors(table: dict[str, Any]) -> Iterator[str]:
    """Yield errors in the number of voters and in the keys that require or exclude voters."""
    if upper_end(table.get("voters", 0)) not in (0, *VOTER_COUNTS):
        yield f"voters: {table['voters']}: must be 0, 3 or 5"
    with_leases = [key for key in ("probe", "remeasure") if table.get(key)]
    if with_leases and not table.get("voters"):
        yield f"voters: missing: must be 3 or 5 where {with_leases[0]} is"
    if table.get("by_zone") and table.get("voters"):
        yield "by_zone: true: must not be with voters, which must belong to every node's group"


def earlier_errors(table: dict[str, Any]) -> Iterator[str]:
    """Yield an error unless a revision is given exactly when a node runs an earlier one."""
    used = any(faulty["kind"] == "earlier" for faulty in table.get("mischief", ()))
    if used and not table.get("earlier"):
        yield "earlier: missing: must be a revision of this repository where a node runs an earlier one"
    elif table.get("earlier") and not used:
        yield f"earlier: {table['earlier']!r}: no node of this plan runs an earlier revision"


def fault_errors(key: str, fault: dict[str, Any], table: dict[str, Any]) -> Iterator[str]:
    """Yield the inconsistencies between one fault and its plan; `key` is the fault's key path."""
    length = lower_end(table.get("length_s", 20.0))
    if upper_end(fault.get("at_s", 3.0)) >= length:
        yield f"{key}.at_s: {fault.get('at_s', 3.0)}: must be under length_s, {length:g}"
    if table.get("by_zone") and fault["type"] in GROUP_WIDE_FAULTS:
        yield f"{key}.type: {fault['type']!r}: must not be with by_zone: it affects only one group"
    if fault["type"] == "voters":
        voters = fault.get("voters", [])
        if len(voters) not in VOTER_COUNTS or not table.get("voters"):
            yield f"{key}.voters: {voters}: must be 3 or 5 names, in a plan with voters"
    if fault["type"] == "clock":
        yield from clock_fault_errors(key, fault)
    if fault["type"] not in FAULTS_OF_ALL_BY_DEFAULT and not selects_nodes(fault):
        yield f"{key}: no node is selected: set nodes, zone, region, count or part"


def selects_nodes(fault: dict[str, Any]) -> bool:
    """Return whether a fault selects any nodes; 0 is a valid zone and region."""
    if any(fault.get(key) == 0 for key in ("zone", "region")):
        return True
    selectors = (fault.get(key) for key in ("nodes", "zone", "region", "count", "part"))
    return any(value not in (None, [], 0, 0.0, -1) for value in selectors)


def clock_fault_errors(key: str, fault: dict[str, Any]) -> list[str]:
    """Return the inconsistencies in a fault of the type `clock`; `key` is its key path."""
    errors = []
    step, down, length = fault.get("offset_ms", 0.0), fault.get("down_s", 1.0), fault.get("for_s", 5.0)
    if lower_end(step) <= 0 <= upper_end(step):
        errors.append(f"{key}.offset_ms: {step}: must be a step other than 0 where type is 'clock'")
    if max(abs(lower_end(step)), abs(upper_end(step))) > MAX_CLOCK_STEP_MS:
        errors.append(f"{key}.offset_ms: {step}: must be at most {MAX_CLOCK_STEP_MS:g} either way")
    restarts = fault.get("restart", "none") != "none"
    if "down_s" in fault and not restarts:
        errors.append(f"{key}.down_s: {down}: must not be without restart, which is 'kill' or 'term'")
    if restarts and fault.get("back", True) and upper_end(down) >= lower_end(length):
        errors.append(
            f"{key}.down_s: {down}: must be under for_s, {length}, after which the clock is restored"
        )
    return errors


def draw(source: str, seed: int | None = None, changes: dict[str, Any] | None = None) -> Plan:
    """Draw one run: reduce every range of the plan to a value that depends on the seed.

    Args:
        source: A file or the name of a shipped plan.
        seed: The seed; by default the plan's own.
        changes: Values that replace keys of the file.

    Raises:
        PlanError: The plan cannot be read or is invalid.
    """
    table = read_toml(source, SHIPPED_PLANS, PlanError) | (changes or {})
    plan = parse_plan(table, source)
    used_seed = plan.seed if seed is None else seed
    plain = msgspec.to_builtins(plan) | {"seed": used_seed}
    fixed = draw_ranges({k: v for k, v in plain.items() if k != "set"}, "", Streams(used_seed))
    return msgspec.convert(fixed | {"set": plain["set"]}, Plan)


def scenario(plan: Plan) -> Scenario:
    """Return the plan's scenario with its overrides, zones, nodes and length.

    Raises:
        PlanError: The scenario is invalid or cannot be run in a lab.
    """
    keys = [f"{k}={format_value(v)}" for k, v in plan.set.items()]
    keys += [
        f"zones.count={plan.zones}",
        f"zones.regions={plan.regions}",
        f"nodes.count={plan.nodes}",
        f"length_s={plan.length_s}",
    ]
    try:
        loaded = load(plan.scenario, keys)
    except ScenarioError as e:
        raise PlanError(str(e)) from None
    loaded = msgspec.structs.replace(loaded, fault=[*loaded.fault, *plan.trouble])
    if len(loaded.tier) != 1:
        raise PlanError(f"{plan.scenario}: tier: {len(loaded.tier)} tiers: must be one in a lab")
    if loaded.discovery.mode != "push":
        raise PlanError(f"{plan.scenario}: discovery.mode: {loaded.discovery.mode!r}: must be push in a lab")
    return loaded


def format_value(value: Value) -> str:
    """Format a value as in an override of a scenario's key."""
    return {True: "true", False: "false"}[value] if isinstance(value, bool) else str(value)


def selected_nodes(
    selection: NodeSelection, names: list[str], zones: list[int], regions: int, streams: Streams, key: str
) -> list[str]:
    """Return the selected nodes in order.

    Args:
        selection: A fault or a kind of faulty nodes.
        names: The names of all nodes.
        zones: The zone of each node.
        regions: The number of regions.
        streams: Random streams.
        key: The name of the stream that the nodes are drawn from.
    """
    if selection.nodes:
        return [name for name in names if name in selection.nodes]
    candidates = [
        name
        for name, zone in zip(names, zones, strict=True)
        if selection.zone in (-1, zone) and selection.region in (-1, zone % regions)
    ]
    share = ceil(drawn_value(selection.part) * len(candidates)) if selection.part else 0
    count = int(drawn_value(selection.count)) or share
    if not count:
        return candidates if selection.zone != -1 or selection.region != -1 else []
    picked = streams.random(key).sample(candidates, min(count, len(candidates)))
    return [n for n in names if n in picked]


def drawn_value(value: Any) -> float:
    """Return a value of a drawn plan as a float."""
    assert not isinstance(value, (tuple, list)), "a drawn plan has no ranges"
    return float(value)
