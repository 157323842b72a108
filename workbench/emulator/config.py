"""The configuration of a real node for a day of the world, as `LB_CONFIG` names it."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import Settings
from balancer.settings import EFFECTS, GROUPS
from workbench.emulator.nodes import LiveNode, Site
from workbench.emulator.places import CALLS, PAGES
from workbench.model.network import num

EFFECT_WORDS = {effect: word for word, effect in EFFECTS.items()}
GROUP_WORDS = {group: word for word, group in GROUPS.items()}


def settings_table(settings: Settings, site: Site) -> dict[str, Any]:
    """The settings object that reads back as these settings."""
    day = site.world.day
    classes = [
        {
            "name": name.name,
            "effect": EFFECT_WORDS[c.effect],
            "group": GROUP_WORDS[c.group],
            "goal_time": c.latency_objective,
            "hard_limit": c.deadline,
            "late_value": c.late_worth,
            "window": c.window,
            "worth": c.worth,
        }
        for name, c in zip(day.klass, settings.classes, strict=True)
    ]
    return {
        "classes": classes,
        "tenants": [],
        "tier": settings.tier,
        "layers": [t.name for t in day.tier],
        "dcs": [site.zone_name(z) for z in range(site.world.zones)],
        "zone": settings.zone,
        "kinds": [k.name for t in day.tier for k in t.kind],
        "group_size": settings.instances,
        "self_index": settings.index,
        "tick": settings.tick,
        "discovery": "push",
        "policy_limits": {
            "max_attempts": settings.max_attempts,
            "cancel": settings.cancel,
            "probing": settings.probes,
            "peers": False,
            "second_copies": settings.hedging,
            "retry_after": settings.retry_after,
            "max_retry_after": settings.max_retry_after,
            "connect_timeout": int(num(day.network.connect_timeout_ms) * 1000),
            "conn_idle": int(num(day.network.idle_s) * 1e6),
        },
        "rules": {
            "cold": settings.slow_start_time,
            "start_capacity": settings.slow_start_share,
            "fall_multiple": settings.fall_multiple,
            "tip_after": settings.fall_time,
            "answer_slack": settings.answer_slack,
        },
        "deductions": {"cross_zone": settings.cross_zone_price},
    }


def node_table(site: Site, node: LiveNode, seed: int) -> dict[str, Any]:
    """The whole configuration of one node, its fleet left out."""
    here = site.places.node(node.index)
    agent = site.places.agent(node.index)
    return {
        "name": node.name,
        "listen": f"{here}:{CALLS}",
        "management": f"{here}:{PAGES}",
        "discovery": f"{agent[0]}:{agent[1]}",
        "seed": f"{seed & 0xFFFFFFFF:x}",
        "limits": {"sockets": 256, "memory_mb": 32},
        "known": {"version": node.agent.version, "full": True, "servers": node.agent.listed()},
        "settings": settings_table(node.settings, site),
    }
