"""Configuration of real nodes for a scenario, in the form of the file that `LB_CONFIG` names."""

from __future__ import annotations

from typing import Any

from balancer.policy.interface import Settings
from balancer.settings import EFFECTS, GROUPS
from workbench.emulator.address_block import CLIENT_PORT, MANAGEMENT_PORT
from workbench.emulator.nodes import NodeAdapter, Site
from workbench.model.network import fixed_float

EFFECT_NAMES = {effect: name for name, effect in EFFECTS.items()}
GROUP_NAMES = {group: name for name, group in GROUPS.items()}
NODE_LIMITS = {"sockets": 256, "memory_mb": 32}
SEED_MASK = 0xFFFFFFFF


def build_settings(settings: Settings, site: Site) -> dict[str, Any]:
    """Return the JSON object from which a node reads these settings."""
    scenario = site.world.scenario
    return {
        "classes": build_request_classes(settings, site),
        "tenants": [],
        "tier": settings.tier,
        "layers": [t.name for t in scenario.tier],
        "dcs": [site.zone_name(z) for z in range(site.world.zones)],
        "zone": settings.zone,
        "kinds": [k.name for t in scenario.tier for k in t.kind],
        "group_size": settings.instances,
        "self_index": settings.index,
        "tick": settings.tick,
        "discovery": "push",
        "policy_limits": build_policy_limits(settings, site),
        "rules": build_overload_rules(settings),
        "deductions": {"cross_zone": settings.cross_zone_price},
    }


def build_request_classes(settings: Settings, site: Site) -> list[dict[str, Any]]:
    """Return the `classes` section, one entry for each request class."""
    return [
        {
            "name": scenario_class.name,
            "effect": EFFECT_NAMES[request_class.effect],
            "group": GROUP_NAMES[request_class.group],
            "goal_time": request_class.latency_objective,
            "hard_limit": request_class.deadline,
            "late_value": request_class.late_worth,
            "window": request_class.window,
            "worth": request_class.worth,
        }
        for scenario_class, request_class in zip(
            site.world.scenario.request_classes, settings.classes, strict=True
        )
    ]


def build_policy_limits(settings: Settings, site: Site) -> dict[str, Any]:
    """Return the `policy_limits` section: what the policy may do, and the time-outs of connections."""
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


def build_overload_rules(settings: Settings) -> dict[str, Any]:
    """Return the `rules` section: how servers behave during slow start and under overload."""
    return {
        "cold": settings.slow_start_time,
        "start_capacity": settings.slow_start_share,
        "fall_multiple": settings.fall_multiple,
        "tip_after": settings.fall_time,
        "answer_slack": settings.answer_slack,
    }


def build_node_configuration(site: Site, node: NodeAdapter, seed: int) -> dict[str, Any]:
    """Return the configuration of one node, without its `fleet` section."""
    host = site.addresses.node_host(node.index)
    agent_host, agent_port = site.addresses.agent_address(node.index)
    return {
        "name": node.name,
        "listen": f"{host}:{CLIENT_PORT}",
        "management": f"{host}:{MANAGEMENT_PORT}",
        "discovery": f"{agent_host}:{agent_port}",
        "seed": f"{seed & SEED_MASK:x}",
        "limits": dict(NODE_LIMITS),
        "known": {"version": node.agent.version, "full": True, "servers": node.agent.active_endpoints()},
        "settings": build_settings(node.settings, site),
    }
