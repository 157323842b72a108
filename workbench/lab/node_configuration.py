"""The configurations of a lab's nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from workbench.emulator.address_block import DATAGRAM_PORT
from workbench.emulator.config import build_node_configuration
from workbench.emulator.nodes import NodeAdapter, Site
from workbench.lab.plan import Plan, number

KEY = "the key of this lab's fleet only\n"
WRONG_KEY = "another key, of another fleet...\n"
MAX_SEEDS = 3  # nodes of a zone, or of all, that the others join by
KEY_FILE_MODE = 0o600
SEEDS_PER_PLAN_SEED = 1000  # a random seed for each node out of the plan's


@dataclass
class FleetSettings:
    """What a node's fleet configuration has of its own.

    Attributes:
        folder: Where the node's files are.
        clock_file: Holds the offset of its wall clock.
        voters: Names of the voters.
        old_voters: Names of the voters of the list before, while it changes.
        wrong_key: Whether it has the key of another fleet.
    """

    folder: Path
    clock_file: Path
    voters: list[str]
    old_voters: list[str] = field(default_factory=list)
    wrong_key: bool = False


def node_configuration(site: Site, plan: Plan, node: NodeAdapter, settings: FleetSettings) -> dict[str, Any]:
    """Returns a node's configuration now: the server list as its agent has it, and its fleet."""
    table = build_node_configuration(site, node, plan.seed * SEEDS_PER_PLAN_SEED + node.index)
    if not plan.fleet:
        return table
    return table | {"fleet": fleet_section(site, plan, node, settings) | enabled_components(site, plan, node)}


def fleet_section(site: Site, plan: Plan, node: NodeAdapter, settings: FleetSettings) -> dict[str, Any]:
    """Returns the keys that every node of a fleet has."""
    lease_ms = int(number(plan.lease_ms))
    return {
        "zone": site.zone_name(node.zone),
        "region": f"r{node.zone % int(number(plan.regions))}",
        "listen": f"{site.addresses.node_host(node.index)}:{DATAGRAM_PORT}",
        "advertise": f"{site.addresses.relay_host(node.index)}:{DATAGRAM_PORT}",
        "seeds": seeds(site, node.zone if plan.by_zone else None),
        "key": str(write_key(settings)),
        "period_ms": int(number(plan.period_ms)),
        "voters": settings.voters,
        "old_voters": settings.old_voters,
        "lease_ms": lease_ms,
        "longest_lease_ms": lease_ms,
        "lab": {"clock_file": str(settings.clock_file)},
    }


def write_key(settings: FleetSettings) -> Path:
    """Writes the key file of a node."""
    path = settings.folder / "key"
    path.write_text(WRONG_KEY if settings.wrong_key else KEY)
    path.chmod(KEY_FILE_MODE)
    return path


def seeds(site: Site, zone: int | None = None) -> list[str]:
    """Returns the addresses of the first nodes of a zone, or of all."""
    nodes = [node for node in site.nodes if zone in (None, node.zone)]
    return [f"{site.addresses.relay_host(node.index)}:{DATAGRAM_PORT}" for node in nodes[:MAX_SEEDS]]


def enabled_components(site: Site, plan: Plan, node: NodeAdapter) -> dict[str, Any]:
    """Returns the keys of components that are on; nodes of earlier revisions may not know those off."""
    optional: dict[str, Any] = {"probe": plan.probe, "remeasure": number(plan.remeasure)}
    found = {key: value for key, value in optional.items() if value}
    if plan.near:
        found["zones"] = {}
    if plan.by_zone:
        found["membership"] = zone_membership(site, node)
    return found


def zone_membership(site: Site, node: NodeAdapter) -> dict[str, Any]:
    """Returns the scope of a node's group, with the seeds of the other zones."""
    others = sorted({other.zone for other in site.nodes} - {node.zone})
    return {"scope": "zone", "zone_seeds": {site.zone_name(zone): seeds(site, zone) for zone in others}}
