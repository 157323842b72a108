"""Adapts a policy that implements the interface as it was named before its terms were renamed.

Only names differ: every event, action and field has the same meaning and arguments. An older policy gets
settings of its own revision's types and actions under the former names; its host calls events by their
present names.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from types import ModuleType
from typing import Any, cast

from balancer.policy.interface import Actions, Events, Settings

FORMER_FIELDS = {
    "aim": "latency_objective",
    "cold_time": "slow_start_time",
    "cold_share": "slow_start_share",
    "list_ask_within": "max_list_poll_interval",
    "second_copies": "hedging",
}
FORMER_EVENTS = {
    "client_disconnected": "client_left",
    "health_checked": "probed",
    "trial_result": "tried",
    "zone_shares": "zones",
}


def uses_former_names(interface: ModuleType) -> bool:
    """Whether a revision's interface has the former names."""
    return hasattr(getattr(interface, "Actions", None), "refuse")


def former_settings(settings: Settings, interface: ModuleType) -> Settings:
    """Returns the settings as instances of a revision's own types."""
    return cast(Settings, convert(settings, interface))


def convert(value: object, interface: ModuleType) -> object:
    """Returns a settings object, or a tuple of them, in a revision's types; any other value as it is."""
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
    """A host's actions under their former names.

    Args:
        actions: The host's actions.
    """

    def __init__(self, actions: Actions) -> None:
        self.actions = actions
        self.refuse = actions.reject
        self.probe = actions.check_health
        self.tell = actions.send_to_peer

    def __getattr__(self, name: str) -> Any:
        """Returns an action whose name is unchanged."""
        return getattr(self.actions, name)


class FormerPolicy:
    """The present interface of a policy whose events have their former names.

    Args:
        policy: The older revision's policy.
    """

    def __init__(self, policy: object) -> None:
        self.policy = policy

    def __getattr__(self, name: str) -> Any:
        """Returns an event by its present name, or any other attribute of the policy."""
        return getattr(self.policy, FORMER_EVENTS.get(name, name))


def make_former(
    policy_class: Callable[..., object],
    interface: ModuleType,
    settings: Settings,
    seed: int,
    actions: Actions,
) -> Events:
    """Makes an older revision's policy behind the present interface."""
    own_settings = former_settings(settings, interface)
    return cast(Events, FormerPolicy(policy_class(own_settings, seed, FormerActions(actions))))
