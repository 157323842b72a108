"""Reads the settings object of a simulator's first message or a node's configuration into `Settings`."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import ClassSettings, Effect, Group, Settings, TenantSettings

MAX_NUMBER = 1e300  # no setting is near it; infinities and numbers that are none are refused

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
    """A value is missing or impossible; the text names its key."""


class Fields:
    """Reads a JSON object's keys. Each reader raises a SettingsError for a value of the wrong form.

    A key that has a default, or is optional, may be absent or null.

    Args:
        table: The decoded object.
        path: What its keys are prefixed with in errors.
    """

    def __init__(self, table: dict[str, Any], path: str = "") -> None:
        self.table = table
        self.path = path

    def error(self, key: str) -> SettingsError:
        """Returns the error for a key's value."""
        return SettingsError(f"settings: missing or impossible value for {self.path}{key}")

    def number(self, key: str, default: float | None = None) -> float:
        """Returns a number."""
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

    def whole(self, key: str, default: int | None = None) -> int:
        """Returns a number without its fraction."""
        return int(self.number(key, default))

    def flag(self, key: str) -> bool:
        """Returns true or false; false where the key is absent."""
        value = self.table.get(key)
        if value is not None and not isinstance(value, bool):
            raise self.error(key)
        return bool(value)

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a text."""
        value = self.table.get(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self.error(key)
        return value

    def array(self, key: str, optional: bool) -> list[Any]:
        """Returns a list; empty where it is optional and absent."""
        value = self.table.get(key)
        if value is None and optional:
            return []
        if not isinstance(value, list):
            raise self.error(key)
        return value

    def items(self, key: str) -> list[Any]:
        """Returns an optional list of plain values."""
        values = self.array(key, optional=True)
        if any(isinstance(value, (dict, list)) for value in values):
            raise self.error(key)
        return values

    def child(self, value: Any, key: str) -> Fields:
        """Returns the reader of an object within this one."""
        if not isinstance(value, dict):
            raise self.error(key)
        return Fields(value, f"{self.path}{key}.")

    def tables(self, key: str, optional: bool = False) -> list[Fields]:
        """Returns the readers of a list of objects."""
        return [self.child(value, f"{key}[{i}]") for i, value in enumerate(self.array(key, optional))]

    def sub(self, key: str, optional: bool = False) -> Fields:
        """Returns the reader of the object at a key."""
        value = self.table.get(key)
        return self.child({} if value is None and optional else value, key)


def parse_settings(table: object) -> Settings:
    """Returns the settings in decoded JSON.

    Raises:
        SettingsError: A value is missing or impossible.
    """
    if not isinstance(table, dict):
        raise SettingsError("settings: not an object")
    return read_settings(Fields(table))


def read_settings(fields: Fields) -> Settings:
    """Returns the settings of an object's keys."""
    limits = fields.sub("policy_limits")
    rules = fields.sub("rules")
    deductions = fields.sub("deductions", optional=True)
    report = fields.sub("report", optional=True)
    return Settings(
        classes=tuple(read_class(c) for c in fields.tables("classes")),
        tenants=tuple(read_tenant(t) for t in fields.tables("tenants", optional=True)),
        tier=fields.whole("tier", 0),
        tiers=max(1, len(fields.items("layers"))),
        zone=fields.whole("zone", 0),
        instances=fields.whole("group_size"),
        index=fields.whole("self_index", 0),
        tick=fields.whole("tick"),
        max_attempts=limits.whole("max_attempts"),
        cancel=limits.flag("cancel"),
        probes=limits.flag("probing"),
        peers=limits.flag("peers"),
        hedging=limits.flag("second_copies"),
        retry_after=limits.flag("retry_after"),
        max_retry_after=limits.whole("max_retry_after", 0),
        max_open=limits.whole("max_open", 20000),
        list_on_request=fields.text("discovery", "push") == "ask",
        max_list_poll_interval=rules.whole("ask_within", 0),
        list_weights=fields.text("weights", "off") != "off",
        slow_start_time=rules.whole("cold"),
        slow_start_share=rules.number("start_capacity"),
        fall_multiple=rules.number("fall_multiple"),
        fall_time=rules.whole("tip_after"),
        answer_slack=rules.whole("answer_slack", 0),
        cross_zone_price=deductions.number("cross_zone", 0.0),
        over_share_worth=fields.number("over_share_worth", 1.0),
        report_fields=tuple(REPORT_COLUMNS.get(column, str(column)) for column in report.items("columns")),
    )


def read_tenant(fields: Fields) -> TenantSettings:
    """Returns a tenant's settings."""
    return TenantSettings(quota=fields.number("quota_rps", 0.0))


def read_class(fields: Fields) -> ClassSettings:
    """Returns a request class. An effect or group that is not known gets the fewest rights there are."""
    return ClassSettings(
        effect=EFFECTS.get(fields.text("effect"), Effect.NOT_IDEMPOTENT),
        latency_objective=fields.whole("goal_time"),
        deadline=fields.whole("hard_limit"),
        worth=fields.number("worth"),
        late_worth=fields.number("late_value", 0.0),
        group=GROUPS.get(fields.text("group", "all"), Group.CELL),
        window=fields.whole("window", 0),
        stream=fields.flag("stream"),
    )
