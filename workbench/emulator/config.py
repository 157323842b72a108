"""The configuration of a real node for a day of the model, as the file that `LB_CONFIG` names has it."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import Settings
from balancer.settings import EFFECTS, GROUPS
from workbench.emulator.address_block import CLIENT_PORT, MANAGEMENT_PORT
from workbench.emulator.nodes import NodeAdapter, Site
from workbench.model.network import fixed_float

EFFECT_WORDS = {effect: word for word, effect in EFFECTS.items()}
GROUP_WORDS = {group: word for word, group in GROUPS.items()}
LIMITS = {"sockets": 256, "memory_mb": 32}
SEED_MASK = 0xFFFFFFFF


def settings_table(settings: Settings, site: Site) -> dict[str, Any]:
    """Returns the settings object that reads back as these settings."""
    day = site.world.scenario
    return {
        "classes": class_tables(settings, site),
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
        "policy_limits": policy_limits_table(settings, site),
        "rules": rules_table(settings),
        "deductions": {"cross_zone": settings.cross_zone_price},
    }


def class_tables(settings: Settings, site: Site) -> list[dict[str, Any]]:
    """Returns the request classes."""
    return [
        {
            "name": named.name,
            "effect": EFFECT_WORDS[request_class.effect],
            "group": GROUP_WORDS[request_class.group],
            "goal_time": request_class.latency_objective,
            "hard_limit": request_class.deadline,
            "late_value": request_class.late_worth,
            "window": request_class.window,
            "worth": request_class.worth,
        }
        for named, request_class in zip(site.world.scenario.request_classes, settings.classes, strict=True)
    ]


def policy_limits_table(settings: Settings, site: Site) -> dict[str, Any]:
    """Returns what the policy may do."""
    network = site.world.scenario.network
    return {
        "max_attempts": settings.max_attempts,
        "cancel": settings.cancel,
        "probing": settings.probes,
        "peers": False,
        "second_copies": settings.hedging,
        "retry_after": settings.retry_after,
        "max_retry_after": settings.max_retry_after,
        "connect_timeout": int(fixed_float(network.connect_timeout_ms) * 1000),
        "conn_idle": int(fixed_float(network.idle_s) * 1e6),
    }


def rules_table(settings: Settings) -> dict[str, Any]:
    """Returns how servers behave at their start and under overload."""
    return {
        "cold": settings.slow_start_time,
        "start_capacity": settings.slow_start_share,
        "fall_multiple": settings.fall_multiple,
        "tip_after": settings.fall_time,
        "answer_slack": settings.answer_slack,
    }


def node_table(site: Site, node: NodeAdapter, seed: int) -> dict[str, Any]:
    """Returns the whole configuration of one node, without its fleet."""
    host = site.addresses.node_host(node.index)
    agent_host, agent_port = site.addresses.agent_address(node.index)
    return {
        "name": node.name,
        "listen": f"{host}:{CLIENT_PORT}",
        "management": f"{host}:{MANAGEMENT_PORT}",
        "discovery": f"{agent_host}:{agent_port}",
        "seed": f"{seed & SEED_MASK:x}",
        "limits": dict(LIMITS),
        "known": {"version": node.agent.version, "full": True, "servers": node.agent.listed()},
        "settings": settings_table(node.settings, site),
    }
