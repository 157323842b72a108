"""The configurations of a lab's nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from workbench.emulator.address_block import DATAGRAM_PORT
from workbench.emulator.config import build_node_configuration
from workbench.emulator.nodes import NodeAdapter, Site
from workbench.lab.plan import Plan, drawn_value

FLEET_KEY = "the key of this lab's fleet only\n"
WRONG_FLEET_KEY = "another key, of another fleet...\n"
MAX_SEED_NODES = 3  # Number of nodes of a group that the others join through.
KEY_FILE_MODE = 0o600
SEEDS_PER_PLAN_SEED = 1000  # Random seeds per plan seed, so that each node gets a different one.


@dataclass
class FleetSettings:
    """The settings of the fleet configuration that differ between nodes.

    Attributes:
        folder: The directory for the node's files.
        clock_file: The file that holds the offset of the node's wall clock.
        voters: Names of the voters.
        old_voters: Names on the previous list of voters while the list is being replaced.
        wrong_key: Whether the node gets the key of another fleet.
    """

    folder: Path
    clock_file: Path
    voters: list[str]
    old_voters: list[str] = field(default_factory=list)
    wrong_key: bool = False


def node_configuration(site: Site, plan: Plan, node: NodeAdapter, settings: FleetSettings) -> dict[str, Any]:
    """Return a node's current configuration: the server list of its agent and the fleet section."""
    table = build_node_configuration(site, node, plan.seed * SEEDS_PER_PLAN_SEED + node.index)
    if not plan.fleet:
        return table
    return table | {"fleet": fleet_section(site, plan, node, settings) | enabled_components(site, plan, node)}


def fleet_section(site: Site, plan: Plan, node: NodeAdapter, settings: FleetSettings) -> dict[str, Any]:
    """Return the keys that are set for every node of a fleet."""
    lease_ms = int(drawn_value(plan.lease_ms))
    return {
        "zone": site.zone_name(node.zone),
        "region": f"r{node.zone % int(drawn_value(plan.regions))}",
        "listen": f"{site.addresses.node_host(node.index)}:{DATAGRAM_PORT}",
        "advertise": f"{site.addresses.relay_host(node.index)}:{DATAGRAM_PORT}",
        "seeds": seed_addresses(site, node.zone if plan.by_zone else None),
        "key": str(write_key(settings)),
        "period_ms": int(drawn_value(plan.period_ms)),
        "voters": settings.voters,
        "old_voters": settings.old_voters,
        "lease_ms": lease_ms,
        "longest_lease_ms": lease_ms,
        "lab": {"clock_file": str(settings.clock_file)},
    }


def write_key(settings: FleetSettings) -> Path:
    """Write the key file of a node."""
    path = settings.folder / "key"
    path.write_text(WRONG_FLEET_KEY if settings.wrong_key else FLEET_KEY)
    path.chmod(KEY_FILE_MODE)
    return path


def seed_addresses(site: Site, zone: int | None = None) -> list[str]:
    """Return the addresses of the first nodes of a zone, or of the site if no zone is given."""
    nodes = [node for node in site.nodes if zone in (None, node.zone)]
    return [f"{site.addresses.relay_host(node.index)}:{DATAGRAM_PORT}" for node in nodes[:MAX_SEED_NODES]]


def enabled_components(site: Site, plan: Plan, node: NodeAdapter) -> dict[str, Any]:
    """Return the keys of the components that the plan enables.

    Keys of disabled components are left out: nodes of earlier revisions may not know them.
    """
    optional: dict[str, Any] = {"probe": plan.probe, "remeasure": drawn_value(plan.remeasure)}
    section = {key: value for key, value in optional.items() if value}
    if plan.near:
        section["zones"] = {}
    if plan.by_zone:
        section["membership"] = zone_membership(site, node)
    return section


def zone_membership(site: Site, node: NodeAdapter) -> dict[str, Any]:
    """Return the settings of membership by zone, with the seed addresses of the other zones."""
    other_zones = sorted({other.zone for other in site.nodes} - {node.zone})
    return {
        "scope": "zone",
        "zone_seeds": {site.zone_name(zone): seed_addresses(site, zone) for zone in other_zones},
    }
