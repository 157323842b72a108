"""Every fault of a file at once, each with its key path, what was found and what is allowed."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterator
from operator import ge, gt, le
from typing import Any

import msgspec.inspect as mi

from workbench.scenario.model import Scenario

WORDS: dict[str, tuple[str, Callable[[float, float], bool]]] = {
    "exclusiveMinimum": ("over", gt),
    "minimum": ("at least", ge),
    "maximum": ("at most", le),
}
SHOWN = 60  # characters of a wrong value


def faults(table: object) -> list[str]:
    """What is wrong with a decoded file: lines `path: found: allowed`; none if it is a scenario.

    Relations between keys are looked at once every key is right by itself.
    """
    return type_faults(table, Scenario) or list(relations(table))


def type_faults(table: object, kind: type) -> list[str]:
    """What keys and figures of a decoded file do not fit a struct of msgspec's: lines as `faults` has
    them."""
    return list(walk(table, mi.type_info(kind), "", {}))


def walk(value: Any, kind: mi.Type, path: str, bounds: dict[str, float]) -> Iterator[str]:
    if isinstance(kind, mi.Metadata):
        yield from walk(value, kind.type, path, {**bounds, **(kind.extra_json_schema or {})})
    elif isinstance(kind, mi.StructType):
        yield from struct(value, kind, path)
    elif isinstance(kind, mi.ListType):
        if not isinstance(value, list):
            yield fault(path, value, "must be a list of tables")
        else:
            for i, item in enumerate(value):
                yield from walk(item, kind.item_type, f"{path}[{i}]", {})
            if not value and path in ("class", "tier"):
                yield fault(path, value, "must hold at least one")
    elif isinstance(kind, mi.DictType):
        if not isinstance(value, dict):
            yield fault(path, value, "must be a table")
        else:
            for key, item in value.items():
                yield from walk(item, kind.value_type, f"{path}.{key}", {})
    elif isinstance(kind, mi.UnionType) and any(isinstance(t, mi.StrType) for t in kind.types):
        if not isinstance(value, (str, int, float)):
            yield fault(path, value, "must be a number, text, true or false")
    elif isinstance(kind, mi.LiteralType):
        if value not in kind.values:
            yield fault(path, value, "must be one of " + ", ".join(map(str, kind.values)))
    elif isinstance(kind, mi.StrType):
        if not isinstance(value, str):
            yield fault(path, value, "must be text")
    elif isinstance(kind, mi.BoolType):
        if not isinstance(value, bool):
            yield fault(path, value, "must be true or false")
    else:
        yield from number(value, kind, path, bounds)


def struct(value: Any, kind: mi.StructType, path: str) -> Iterator[str]:
    if not isinstance(value, dict):
        yield fault(path or "file", value, "must be a table")
        return
    known = {f.encode_name: f for f in kind.fields}
    for key, item in value.items():
        where = f"{path}.{key}" if path else key
        if key in known:
            yield from walk(item, known[key].type, where, {})
        else:
            near = difflib.get_close_matches(key, known, 1, 0.5)
            hint = f"nearest is {near[0]}" if near else "known are " + ", ".join(known)
            yield f"{where}: unknown key: {hint}"
    for key, f in known.items():
        if f.required and key not in value:
            yield f"{path}.{key}: missing: must be given"


def number(value: Any, kind: mi.Type, path: str, bounds: dict[str, float]) -> Iterator[str]:
    members = kind.types if isinstance(kind, mi.UnionType) else (kind,)
    whole = any(isinstance(m, mi.IntType) for m in members)
    ranged = any(isinstance(m, mi.TupleType) for m in members)
    what = "a whole number" if whole else "a number"
    figures = list(value) if ranged and isinstance(value, (list, tuple)) else [value]
    if isinstance(value, (list, tuple)) and ranged and len(figures) != 2:
        yield fault(path, value, f"must be {what} or a range [low, high]")
        return
    for figure in figures:
        if (
            isinstance(figure, bool)
            or not isinstance(figure, int if whole else (int, float))
            or not -1e15 < figure < 1e15
        ):
            yield fault(path, value, f"must be {what}" + (" or a range [low, high]" if ranged else ""))
            return
    for word, bound in bounds.items():
        text, holds = WORDS[word]
        if not all(holds(figure, bound) for figure in figures):
            yield fault(path, value, f"must be {text} {bound:g}")
            return
    if len(figures) == 2 and figures[0] > figures[1]:
        yield fault(path, value, "must have its lower end first")


def relations(table: Any) -> Iterator[str]:
    for i, c in enumerate(table.get("class", ())):
        aim, deadline = top(c.get("aim_s", 2.5)), low(c.get("deadline_s", 6.0))
        if aim > deadline:
            yield f"class[{i}].aim_s: {aim:g}: must be at most deadline_s, {deadline:g}"
    shares = [top(c.get("share", 1.0)) for c in table.get("class", ())]
    if shares and not sum(shares) > 0:
        yield "class[0].share: 0: must be over 0 for one class"
    zones = low(table.get("zones", {}).get("count", 1))
    for zone in table.get("zones", {}).get("servers", {}):
        if not (zone.isascii() and zone.isdigit() and int(zone) < zones):
            yield f"zones.servers.{zone}: must be a zone's number, under zones.count, {zones:g}"
    if top(table.get("zones", {}).get("regions", 1)) > zones:
        yield f"zones.regions: {table['zones']['regions']}: must be at most zones.count, {zones:g}"
    tiers = len(table["tier"]) if "tier" in table else 3
    for i, f in enumerate(table.get("fault", ())):
        if f["type"] in ("zone_lost", "zone_slow", "zone_failing", "cut") and top(f.get("zone", 0)) >= zones:
            yield f"fault[{i}].zone: {top(f.get('zone', 0)):g}: must be under zones.count, {zones:g}"
        if f.get("tier", -1) >= tiers:
            yield f"fault[{i}].tier: {f['tier']}: must be under the number of tiers, {tiers}"


def top(value: Any) -> float:
    return float(max(value) if isinstance(value, (list, tuple)) else value)


def low(value: Any) -> float:
    return float(min(value) if isinstance(value, (list, tuple)) else value)


def fault(path: str, value: Any, allowed: str) -> str:
    text = repr(value) if not isinstance(value, bool) else str(value).lower()
    return f"{path}: {text if len(text) <= SHOWN else text[: SHOWN - 3] + '...'}: {allowed}"
