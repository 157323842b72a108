"""Validation of decoded files: reports all errors, each with key path, value and allowed values."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterator, Mapping
from operator import ge, gt, le
from typing import Any, NamedTuple

import msgspec.inspect as mi

from workbench.scenario.model import Class, Fault, Scenario, Zones, default_tiers

# Length to which an invalid value is shortened in a message.
MAX_VALUE_CHARS = 60
# Bound on the absolute value of all numbers in a file.
MAX_MAGNITUDE = 1e15
# Minimum similarity of an unknown key to the allowed key that is suggested.
SUGGESTION_CUTOFF = 0.5
NON_EMPTY_LISTS = frozenset({"class", "tier"})
ZONE_FAULT_TYPES = frozenset({"zone_lost", "zone_slow", "zone_failing", "cut"})
DEFAULT_CLASS = Class(name="")
DEFAULT_FAULT = Fault(type="slow")
DEFAULT_ZONES = Zones()

# Bounds of a number by their JSON Schema keyword.
Bounds = Mapping[str, float]
TypeCheck = Callable[[Any, Any, str], Iterator[str]]


class BoundCheck(NamedTuple):
    """The text of a bound in messages, and the comparison that it requires."""

    text: str
    holds: Callable[[float, float], bool]


BOUND_CHECKS = {
    "exclusiveMinimum": BoundCheck("over", gt),
    "minimum": BoundCheck("at least", ge),
    "maximum": BoundCheck("at most", le),
}


def scenario_errors(table: object) -> list[str]:
    """Return the errors of a decoded scenario file as lines of the form `path: value: allowed values`.

    Relations between keys are checked once every key is valid by itself.
    """
    return type_errors(table, Scenario) or list(consistency_errors(table))


def type_errors(table: object, struct: type) -> list[str]:
    """Return one line for each key or value of a decoded file that does not fit a msgspec struct."""
    return list(value_errors(table, mi.type_info(struct), "", {}))


def value_errors(value: Any, kind: mi.Type, path: str, bounds: Bounds) -> Iterator[str]:
    """Yield the errors of a value of any type."""
    if isinstance(kind, mi.Metadata):
        yield from value_errors(value, kind.type, path, {**bounds, **(kind.extra_json_schema or {})})
    elif type(kind) in TYPE_CHECKS:
        yield from TYPE_CHECKS[type(kind)](value, kind, path)
    elif isinstance(kind, mi.UnionType) and any(isinstance(member, mi.StrType) for member in kind.types):
        yield from scalar_errors(value, path)
    else:
        yield from number_errors(value, kind, path, bounds)


def struct_errors(value: Any, kind: mi.StructType, path: str) -> Iterator[str]:
    """Yield the errors of a table whose allowed keys are the fields of a struct."""
    if not isinstance(value, dict):
        yield error_line(path or "file", value, "must be a table")
        return
    fields = {field.encode_name: field for field in kind.fields}
    for key, item in value.items():
        key_path = f"{path}.{key}" if path else key
        if key in fields:
            yield from value_errors(item, fields[key].type, key_path, {})
        else:
            nearest = difflib.get_close_matches(key, fields, 1, SUGGESTION_CUTOFF)
            hint = f"nearest is {nearest[0]}" if nearest else "known are " + ", ".join(fields)
            yield f"{key_path}: unknown key: {hint}"
    for key, field in fields.items():
        if field.required and key not in value:
            yield f"{path}.{key}: missing: must be given"


def list_errors(value: Any, kind: mi.ListType, path: str) -> Iterator[str]:
    """Yield the errors of a list of tables."""
    if not isinstance(value, list):
        yield error_line(path, value, "must be a list of tables")
        return
    for index, item in enumerate(value):
        yield from value_errors(item, kind.item_type, f"{path}[{index}]", {})
    if not value and path in NON_EMPTY_LISTS:
        yield error_line(path, value, "must hold at least one")


def dict_errors(value: Any, kind: mi.DictType, path: str) -> Iterator[str]:
    """Yield the errors of a table that may have any keys."""
    if not isinstance(value, dict):
        yield error_line(path, value, "must be a table")
        return
    for key, item in value.items():
        yield from value_errors(item, kind.value_type, f"{path}.{key}", {})


def literal_errors(value: Any, kind: mi.LiteralType, path: str) -> Iterator[str]:
    """Yield the error of a value that is not one of the allowed literals."""
    if value not in kind.values:
        yield error_line(path, value, "must be one of " + ", ".join(map(str, kind.values)))


def text_errors(value: Any, kind: mi.StrType, path: str) -> Iterator[str]:
    """Yield the error of a value that is not text."""
    if not isinstance(value, str):
        yield error_line(path, value, "must be text")


def bool_errors(value: Any, kind: mi.BoolType, path: str) -> Iterator[str]:
    """Yield the error of a value that is not a boolean."""
    if not isinstance(value, bool):
        yield error_line(path, value, "must be true or false")


def scalar_errors(value: Any, path: str) -> Iterator[str]:
    """Yield the error of a value that is neither a number nor text nor a boolean."""
    if not isinstance(value, (str, int, float)):
        yield error_line(path, value, "must be a number, text, true or false")


TYPE_CHECKS: dict[type[mi.Type], TypeCheck] = {
    mi.StructType: struct_errors,
    mi.ListType: list_errors,
    mi.DictType: dict_errors,
    mi.LiteralType: literal_errors,
    mi.StrType: text_errors,
    mi.BoolType: bool_errors,
}


def number_errors(value: Any, kind: mi.Type, path: str, bounds: Bounds) -> Iterator[str]:
    """Yield the first error of a number or, where the type allows one, a range `[low, high]`."""
    members = kind.types if isinstance(kind, mi.UnionType) else (kind,)
    integer = any(isinstance(member, mi.IntType) for member in members)
    range_allowed = any(isinstance(member, mi.TupleType) for member in members)
    allowed = ("a whole number" if integer else "a number") + (" or a range [low, high]" * range_allowed)
    is_range = range_allowed and isinstance(value, (list, tuple))
    numbers = list(value) if is_range else [value]
    if (is_range and len(numbers) != 2) or not all(is_number(number, integer) for number in numbers):
        yield error_line(path, value, f"must be {allowed}")
        return
    for keyword, bound in bounds.items():
        check = BOUND_CHECKS[keyword]
        if not all(check.holds(number, bound) for number in numbers):
            yield error_line(path, value, f"must be {check.text} {bound:g}")
            return
    if is_range and numbers[0] > numbers[1]:
        yield error_line(path, value, "must have its lower end first")


def is_number(value: Any, integer: bool) -> bool:
    """Return whether a value is a finite number, and an integer if one is required."""
    if isinstance(value, bool) or not isinstance(value, int if integer else (int, float)):
        return False
    return -MAX_MAGNITUDE < value < MAX_MAGNITUDE


def consistency_errors(table: Any) -> Iterator[str]:
    """Yield the inconsistencies between keys of a decoded scenario whose keys are valid by themselves."""
    zone_count = lower_end(table.get("zones", {}).get("count", DEFAULT_ZONES.count))
    yield from class_errors(table.get("class", ()))
    yield from zone_errors(table.get("zones", {}), zone_count)
    tier_count = len(table["tier"]) if "tier" in table else len(default_tiers())
    for index, fault in enumerate(table.get("fault", ())):
        yield from fault_errors(fault, f"fault[{index}]", zone_count, tier_count)


def class_errors(classes: Any) -> Iterator[str]:
    """Yield the inconsistencies between keys of the request classes."""
    for index, request_class in enumerate(classes):
        objective = upper_end(request_class.get("aim_s", DEFAULT_CLASS.aim_s))
        deadline = lower_end(request_class.get("deadline_s", DEFAULT_CLASS.deadline_s))
        if objective > deadline:
            yield f"class[{index}].aim_s: {objective:g}: must be at most deadline_s, {deadline:g}"
    shares = [upper_end(request_class.get("share", DEFAULT_CLASS.share)) for request_class in classes]
    if shares and not sum(shares) > 0:
        yield "class[0].share: 0: must be over 0 for one class"


def zone_errors(zones: Any, zone_count: float) -> Iterator[str]:
    """Yield the inconsistencies between keys of the `zones` section."""
    for zone in zones.get("servers", {}):
        if not (zone.isascii() and zone.isdigit() and int(zone) < zone_count):
            yield f"zones.servers.{zone}: must be a zone's number, under zones.count, {zone_count:g}"
    if upper_end(zones.get("regions", DEFAULT_ZONES.regions)) > zone_count:
        yield f"zones.regions: {zones['regions']}: must be at most zones.count, {zone_count:g}"


def fault_errors(fault: Any, path: str, zone_count: float, tier_count: int) -> Iterator[str]:
    """Yield the inconsistencies between an injected fault and the zones and tiers."""
    zone = upper_end(fault.get("zone", DEFAULT_FAULT.zone))
    if fault["type"] in ZONE_FAULT_TYPES and zone >= zone_count:
        yield f"{path}.zone: {zone:g}: must be under zones.count, {zone_count:g}"
    if fault.get("tier", DEFAULT_FAULT.tier) >= tier_count:
        yield f"{path}.tier: {fault['tier']}: must be under the number of tiers, {tier_count}"


def upper_end(value: Any) -> float:
    """Return the upper end of a range, or a plain number as it is."""
    return float(max(value) if isinstance(value, (list, tuple)) else value)


def lower_end(value: Any) -> float:
    """Return the lower end of a range, or a plain number as it is."""
    return float(min(value) if isinstance(value, (list, tuple)) else value)


def error_line(path: str, value: Any, allowed: str) -> str:
    """Return the line that reports one error, with an abbreviated value."""
    text = repr(value) if not isinstance(value, bool) else str(value).lower()
    if len(text) > MAX_VALUE_CHARS:
        text = text[: MAX_VALUE_CHARS - 3] + "..."
    return f"{path}: {text}: {allowed}"
