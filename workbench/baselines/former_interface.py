"""An adapter for policies of older revisions, which implement the interface under its former names.

Only names differ: every event, action and field has the same meaning and arguments. An older policy receives
settings of its revision's types and actions under the former names, and the host calls its events by their
current names.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from types import ModuleType
from typing import Any, cast

from balancer.policy.interface import Actions, Events, Settings

# Current names of the fields of settings, by former name.
FORMER_FIELDS = {
    "aim": "latency_objective",
    "cold_time": "slow_start_time",
    "cold_share": "slow_start_share",
    "list_ask_within": "max_list_poll_interval",
    "second_copies": "hedging",
}
# Former names of events, by current name.
FORMER_EVENTS = {
    "client_disconnected": "client_left",
    "health_checked": "probed",
    "trial_result": "tried",
    "zone_shares": "zones",
}


def uses_former_names(interface: ModuleType) -> bool:
    """Return whether the interface of a revision has the former names."""
    return hasattr(getattr(interface, "Actions", None), "refuse")


def former_settings(settings: Settings, interface: ModuleType) -> Settings:
    """Return the settings as instances of the types of a revision's interface."""
    return cast(Settings, convert(settings, interface))


def convert(value: object, interface: ModuleType) -> object:
    """Convert a settings object, or a tuple of them, to a revision's types; return other values unchanged."""
    if isinstance(value, (list, tuple)):
        return tuple(convert(item, interface) for item in value)
    if not is_dataclass(value):
        return value
    former_type = getattr(interface, type(value).__name__)
    return former_type(
        **{
            field.name: convert(getattr(value, FORMER_FIELDS.get(field.name, field.name)), interface)
            for field in fields(former_type)
        }
    )


class FormerActions:
    """The actions of a host under their former names.

    Args:
        actions: The host's actions.
    """

    def __init__(self, actions: Actions) -> None:
        self.actions = actions
        self.refuse = actions.reject
        self.probe = actions.check_health
        self.tell = actions.send_to_peer

    def __getattr__(self, name: str) -> Any:
        """Return an action whose name is unchanged."""
        return getattr(self.actions, name)


class FormerPolicy:
    """A policy of an older revision under the current names of its events.

    Args:
        policy: The older revision's policy.
    """

    def __init__(self, policy: object) -> None:
        self.policy = policy

    def __getattr__(self, name: str) -> Any:
        """Return an event by its current name, or any other attribute of the policy."""
        return getattr(self.policy, FORMER_EVENTS.get(name, name))


def make_former(
    policy_class: Callable[..., object],
    interface: ModuleType,
    settings: Settings,
    seed: int,
    actions: Actions,
) -> Events:
    """Create the policy of an older revision behind the current interface."""
    converted_settings = former_settings(settings, interface)
    return cast(Events, FormerPolicy(policy_class(converted_settings, seed, FormerActions(actions))))
