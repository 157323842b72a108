"""A parser for the settings in a simulator's first message or in a node's configuration."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import ClassSettings, Effect, Group, Settings, TenantSettings

# Settings are far below this number. Infinite values and NaN are refused.
MAX_NUMBER = 1e300

EFFECTS = {"free": Effect.IDEMPOTENT, "guarded": Effect.IDEMPOTENCY_KEY, "single_shot": Effect.NOT_IDEMPOTENT}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
REPORT_COLUMNS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}


class SettingsError(ValueError):
    """A missing or impossible value in the settings. The message names the key of the value."""


class Fields:
    """Typed access to the fields of a JSON object.

    Each method raises a SettingsError for a value of the wrong type. A key may be absent or null if
    the method is given a default, or if the value is optional.

    Args:
        table: The decoded object.
        path: The path to the object within the settings, which precedes its keys in error messages.
    """

    def __init__(self, table: dict[str, Any], path: str = "") -> None:
        self.table = table
        self.path = path

    def error(self, key: str) -> SettingsError:
        """Return the error for a missing or impossible value of a key."""
        return SettingsError(f"settings: missing or impossible value for {self.path}{key}")

    def number(self, key: str, default: float | None = None) -> float:
        """Return the number at a key, an integer or a float, as a float; the default if there is none."""
        value = self.table.get(key)
        if value is None and default is not None:
            return default
        if (
            isinstance(value, bool)
            or not isinstance(value, (int, float))
            or not -MAX_NUMBER < value < MAX_NUMBER
        ):
            raise self.error(key)
        return float(value)

    def integer(self, key: str, default: int | None = None) -> int:
        """Return the number at a key as an integer, without its fraction."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Return the boolean at a key, or False if the key is absent."""
        value = self.table.get(key)
        if value is not None and not isinstance(value, bool):
            raise self.error(key)
        return bool(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Return the string at a key, or the default if the key is absent."""
        value = self.table.get(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self.error(key)
        return value

    def array(self, key: str, optional: bool) -> list[Any]:
        """Return the list at a key, or an empty list if the key is absent and `optional` is true."""
        value = self.table.get(key)
        if value is None and optional:
            return []
        if not isinstance(value, list):
            raise self.error(key)
        return value

    def items(self, key: str) -> list[Any]:
        """Return the list at an optional key. Its values may be neither lists nor objects."""
        values = self.array(key, optional=True)
        if any(isinstance(value, (dict, list)) for value in values):
            raise self.error(key)
        return values

    def child(self, value: Any, key: str) -> Fields:
        """Return the fields of `value`, which must be an object. `key` is its key within this object."""
        if not isinstance(value, dict):
            raise self.error(key)
        return Fields(value, f"{self.path}{key}.")

    def nested_list(self, key: str, optional: bool = False) -> list[Fields]:
        """Return the fields of each object in the list at a key."""
        return [self.child(value, f"{key}[{i}]") for i, value in enumerate(self.array(key, optional))]

    def nested(self, key: str, optional: bool = False) -> Fields:
        """Return the fields of the object at a key, which may be absent if it is optional."""
        value = self.table.get(key)
        return self.child({} if value is None and optional else value, key)


def parse_settings(table: object) -> Settings:
    """Return the settings from a decoded JSON object.

    Raises:
        SettingsError: A value is missing or impossible.
    """
    if not isinstance(table, dict):
        raise SettingsError("settings: not an object")
    return read_settings(Fields(table))


def read_settings(fields: Fields) -> Settings:
    """Return the settings from the fields of the outermost object of the settings."""
    limits = fields.nested("policy_limits")
    rules = fields.nested("rules")
    deductions = fields.nested("deductions", optional=True)
    report = fields.nested("report", optional=True)
    return Settings(
        classes=tuple(read_class(c) for c in fields.nested_list("classes")),
        tenants=tuple(read_tenant(t) for t in fields.nested_list("tenants", optional=True)),
        tier=fields.integer("tier", 0),
        tiers=max(1, len(fields.items("layers"))),
        zone=fields.integer("zone", 0),
        instances=fields.integer("group_size"),
        index=fields.integer("self_index", 0),
        tick=fields.integer("tick"),
        max_attempts=limits.integer("max_attempts"),
        cancel=limits.flag("cancel"),
        probes=limits.flag("probing"),
        peers=limits.flag("peers"),
        hedging=limits.flag("second_copies"),
        retry_after=limits.flag("retry_after"),
        max_retry_after=limits.integer("max_retry_after", 0),
        max_open=limits.integer("max_open", 20000),
        list_on_request=fields.text("discovery", "push") == "ask",
        max_list_poll_interval=rules.integer("ask_within", 0),
        list_weights=fields.text("weights", "off") != "off",
        slow_start_time=rules.integer("cold"),
        slow_start_share=rules.number("start_capacity"),
        fall_multiple=rules.number("fall_multiple"),
        fall_time=rules.integer("tip_after"),
        answer_slack=rules.integer("answer_slack", 0),
        cross_zone_price=deductions.number("cross_zone", 0.0),
        over_share_worth=fields.number("over_share_worth", 1.0),
        report_fields=tuple(REPORT_COLUMNS.get(column, str(column)) for column in report.items("columns")),
    )


def read_tenant(fields: Fields) -> TenantSettings:
    """Return the settings of one tenant from the fields of its object in the list `tenants`."""
    return TenantSettings(quota=fields.number("quota_rps", 0.0))


def read_class(fields: Fields) -> ClassSettings:
    """Return the settings of one request class from the fields of its object in the list `classes`.

    An unknown effect, of running a request twice, or an unknown group, of servers that discard repeats, is
    treated as the most restrictive one.
    """
    return ClassSettings(
        effect=EFFECTS.get(fields.text("effect"), Effect.NOT_IDEMPOTENT),
        latency_objective=fields.integer("goal_time"),
        deadline=fields.integer("hard_limit"),
        worth=fields.number("worth"),
        late_worth=fields.number("late_value", 0.0),
        group=GROUPS.get(fields.text("group", "all"), Group.CELL),
        window=fields.integer("window", 0),
        stream=fields.flag("stream"),
    )
