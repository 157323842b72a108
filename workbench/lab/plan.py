"""The plan of a lab: a TOML file, checked as strictly as scenarios are; one run is drawn out of its
ranges."""

from __future__ import annotations

from importlib.resources import files
from math import ceil
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct, field

from workbench.emulator.address_block import MAX_NODES
from workbench.model.streams import Streams
from workbench.scenario import model
from workbench.scenario.check import lower_end as low
from workbench.scenario.check import type_errors
from workbench.scenario.check import upper_end as top
from workbench.scenario.load import ScenarioError, draw_ranges, load, read_toml, titles
from workbench.scenario.model import Count, Number, Scenario, Share
from workbench.scenario.model import NonNegative as From0
from workbench.scenario.model import NonNegativeCount as Any0
from workbench.scenario.model import Positive as Over0
from workbench.scenario.model import PositiveCount as Some

Value = int | float | str | bool | list[float]


class PlanError(Exception):
    """What is wrong with a lab's plan: a line for each fault."""


class Section(Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file."""


class Who(Section):
    """Which nodes: those named, those of a zone or region, or so many (or such a part of all) drawn."""

    nodes: list[str] = field(default_factory=list)
    zone: Annotated[Count, Meta(extra_json_schema={"minimum": -1})] = -1
    region: Annotated[Count, Meta(extra_json_schema={"minimum": -1})] = -1
    count: Any0 = 0
    part: Share = 0.0


class Fault(Who, forbid_unknown_fields=True, kw_only=True):
    """One fault. What does not belong to its type is not looked at."""

    type: Literal[
        "kill", "pause", "term", "replace", "cut", "links", "clock", "fleet_replace", "voters", "zone_leave"
    ]
    at_s: From0 = 3.0
    for_s: From0 = 5.0  # then the process is started, resumed, the link healed, the clock set right
    back: bool = True  # whether what was killed or ended is started again
    way: Literal["both", "out", "in"] = "both"  # of a cut: what those chosen say, what they hear
    servers: bool = False  # the cut and the links' faults also lie between nodes and servers of other sides
    loss: Share = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    delay_ms: From0 = 0.0
    jitter_ms: From0 = 0.0
    kbytes_s: From0 = 0.0  # 0: as many as come
    offset_ms: Number = 0.0  # of `clock`: the step of the wall clock, forward or back
    restart: Literal["none", "kill", "term"] = "none"  # of `clock`: ended, stepped, started again
    down_s: From0 = 1.0  # of `clock` with a restart: between the end of a process and the next one's start
    through: str = ""  # of `zone_leave`: the node whose page takes the directive; "": one of another zone
    most: Some = 1  # of `fleet_replace`: out at a time
    voters: list[str] = field(default_factory=list)  # of `voters`: the list to come


class Mischief(Who, forbid_unknown_fields=True, kw_only=True):
    """Nodes that are started in another way than the product is: to be caught, or to be borne."""

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
    length_s: Over0 = 20.0
    scenario: str = "lab"
    set: dict[str, Value] = field(default_factory=dict)  # keys of the scenario
    fleet: bool = True
    supervise: bool = False  # a process that ends by itself, and well, is started again, as a platform does
    period_ms: Over0 = 300.0  # of membership's probes
    voters: Any0 = 0  # the first so many nodes vote, and every node requests one lease
    lease_ms: Over0 = 1500.0
    probe: bool = False  # servers that are set aside are tried by one node a zone
    remeasure: Share = 0.0  # of the nodes in a minRTT pass at once; 0: as each sees fit
    near: bool = False  # calls keep to their zone, by `fleet.zones`
    by_zone: bool = False  # membership by zone: SWIM in each zone, gateways between them
    ready_s: Over0 = 20.0  # that a process has to get ready
    join_s: Over0 = 30.0  # that the processes have at most to find one another before the clients begin
    agree_s: Over0 = 12.0  # so long after the last fault all views must agree
    earlier: str = ""  # the revision of nodes whose mischief is `earlier`
    fault: list[Fault] = field(default_factory=list)
    trouble: list[model.Fault] = field(default_factory=list)  # of the servers, beside the scenario's own
    mischief: list[Mischief] = field(default_factory=list)


GROUP_WIDE = ("fleet_replace", "voters", "zone_leave")  # faults that one group over all must hear of

LONGEST_STEP_MS = 86_400_000.0  # of a wall clock, either way

SHIPPED = files("workbench") / "lab" / "plans"


def shipped() -> dict[str, str]:
    """The names of the plans that ship with the product, and their titles."""
    return titles(SHIPPED)


def plan_of(table: dict[str, Any], source: str = "plan") -> Plan:
    """The typed plan. PlanError holds every fault, a line each."""
    found = type_errors(table, Plan) or list(relations(table))
    if found:
        raise PlanError("\n".join(f"{source}: {line}" for line in found))
    return msgspec.convert(table, Plan)


def relations(table: dict[str, Any]) -> list[str]:
    """What does not fit between keys that are right by themselves."""
    out = []
    length = low(table.get("length_s", 20.0))
    if top(table.get("nodes", 5)) > MAX_NODES:
        out.append(f"nodes: {table['nodes']}: must be at most {MAX_NODES}")
    if top(table.get("regions", 1)) > low(table.get("zones", 3)):
        out.append(f"regions: {table['regions']}: must be at most zones, {table.get('zones', 3)}")
    if top(table.get("voters", 0)) not in (0, 3, 5):
        out.append(f"voters: {table['voters']}: must be 0, 3 or 5")
    uses = [key for key in ("probe", "remeasure") if table.get(key)]
    if uses and not table.get("voters"):
        out.append(f"voters: missing: must be 3 or 5 where {uses[0]} is")
    if table.get("by_zone") and table.get("voters"):
        out.append("by_zone: true: must not be with voters, who are to be of every node's own group")
    earlier = any(m["kind"] == "earlier" for m in table.get("mischief", ()))
    if earlier and not table.get("earlier"):
        out.append(
            "earlier: missing: must be a revision of this repository where a node is of an earlier one"
        )
    elif table.get("earlier") and not earlier:
        out.append(f"earlier: {table['earlier']!r}: no node of this plan is of an earlier revision")
    for i, f in enumerate(table.get("fault", ())):
        if top(f.get("at_s", 3.0)) >= length:
            out.append(f"fault[{i}].at_s: {f.get('at_s', 3.0)}: must be under length_s, {length:g}")
        if table.get("by_zone") and f["type"] in GROUP_WIDE:
            out.append(
                f"fault[{i}].type: {f['type']!r}: must not be with by_zone: it goes to one group alone"
            )
        if f["type"] == "voters" and (len(f.get("voters", ())) not in (3, 5) or not table.get("voters")):
            out.append(
                f"fault[{i}].voters: {f.get('voters', [])}: must be 3 or 5 names, in a plan with voters"
            )
        out += clock_relations(f"fault[{i}]", f) if f["type"] == "clock" else ()
        if f["type"] not in ("replace", "links", "fleet_replace", "voters") and not any(
            f.get(k) not in (None, [], 0, 0.0, -1) or (k in ("zone", "region") and f.get(k) == 0)
            for k in ("nodes", "zone", "region", "count", "part")
        ):
            out.append(f"fault[{i}]: nobody is chosen: give nodes, zone, region, count or part")
    return out


def clock_relations(key: str, fault: dict[str, Any]) -> list[str]:
    """What does not fit in a fault of the type `clock`, with the key path and what is allowed."""
    out = []
    step, down, length = fault.get("offset_ms", 0.0), fault.get("down_s", 1.0), fault.get("for_s", 5.0)
    if low(step) <= 0 <= top(step):
        out.append(f"{key}.offset_ms: {step}: must be a step other than 0 where type is 'clock'")
    if max(abs(low(step)), abs(top(step))) > LONGEST_STEP_MS:
        out.append(f"{key}.offset_ms: {step}: must be at most {LONGEST_STEP_MS:g} either way")
    restarts = fault.get("restart", "none") != "none"
    if "down_s" in fault and not restarts:
        out.append(f"{key}.down_s: {down}: must not be without restart, which is 'kill' or 'term'")
    if restarts and fault.get("back", True) and top(down) >= low(length):
        out.append(f"{key}.down_s: {down}: must be under for_s, {length}, after which the clock is set right")
    return out


def draw(source: str, seed: int | None = None, changes: dict[str, Any] | None = None) -> Plan:
    """One run: every range of the plan fixed by the seed. `changes` replace keys of the file. PlanError."""
    table = read_toml(source, SHIPPED, PlanError) | (changes or {})
    plan = plan_of(table, source)
    number = plan.seed if seed is None else seed
    plain = msgspec.to_builtins(plan) | {"seed": number}
    fixed = draw_ranges({k: v for k, v in plain.items() if k != "set"}, "", Streams(number))
    return msgspec.convert(fixed | {"set": plain["set"]}, Plan)


def scenario(plan: Plan) -> Scenario:
    """The plan's scenario with its keys, zones and length. PlanError."""
    keys = [f"{k}={word(v)}" for k, v in plan.set.items()]
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


def word(value: Value) -> str:
    return {True: "true", False: "false"}[value] if isinstance(value, bool) else str(value)


def chosen(
    who: Who, names: list[str], zones: list[int], regions: int, streams: Streams, key: str
) -> list[str]:
    """The nodes that a fault or a mischief takes, in order; drawn from a stream of its own."""
    if who.nodes:
        return [n for n in names if n in who.nodes]
    able = [
        n
        for n, z in zip(names, zones, strict=True)
        if who.zone in (-1, z) and (who.region in (-1, z % regions))
    ]
    count = int(number(who.count)) or (ceil(number(who.part) * len(able)) if who.part else 0)
    if not count:
        return able if who.zone != -1 or who.region != -1 else []
    picked = streams.random(key).sample(able, min(count, len(able)))
    return [n for n in names if n in picked]


def number(value: Any) -> float:
    """A figure of a run, in which every range is fixed."""
    assert not isinstance(value, (tuple, list)), "a run has no ranges"
    return float(value)
