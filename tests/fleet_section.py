"""Nodes with a `fleet` section: their configuration and their fleet runtime."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

from loopback import Bench, settings

from balancer.fleet.runtime import FleetRuntime

OWNER_READ_WRITE_MODE = 0o600


def write_key_file(
    folder: Path, text: str = "a key of the tests' own", mode: int = OWNER_READ_WRITE_MODE
) -> str:
    """Write a key file and return its path."""
    path = folder / "key"
    path.write_text(text)
    path.chmod(mode)
    return str(path)


def fleet_section(folder: Path, **changes: Any) -> dict[str, Any]:
    """Return a valid `fleet` section with these changes; the value `...` removes a key."""
    table = {"zone": "here", "listen": "127.0.0.1:7400", "seeds": []}
    table["key"] = changes.get("key") or write_key_file(folder)
    return {key: value for key, value in (table | changes).items() if value is not ...}


def write_node_config(folder: Path, **more: Any) -> dict[str, str]:
    """Write a node's configuration file and return the environment variable that points to it."""
    table = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f"}
    file = folder / "config.json"
    file.write_text(json.dumps(table | {"settings": settings()} | more))
    return {"LB_CONFIG": str(file)}


def free_udp_port() -> int:
    """Return a UDP port that was free when it was checked; another process may take it afterwards."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def fleet_runtime(bench: Bench) -> FleetRuntime:
    """Return the fleet runtime of the node, which must have a `fleet` section."""
    assert bench.node.fleet is not None
    return bench.node.fleet
