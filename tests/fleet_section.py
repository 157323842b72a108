"""Nodes with a `fleet` section: their configuration and their fleet runtime."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any

from loopback import Bench, settings

from balancer.fleet.runtime import FleetRuntime

OWNER_ONLY = 0o600


def key_file(folder: Path, text: str = "a key of the tests' own", mode: int = OWNER_ONLY) -> str:
    """Writes a key file and returns its path."""
    path = folder / "key"
    path.write_text(text)
    path.chmod(mode)
    return str(path)


def fleet_section(folder: Path, **changes: Any) -> dict[str, Any]:
    """A section that is right but for the changes; `...` drops a key."""
    table = {"zone": "here", "listen": "127.0.0.1:7400", "seeds": []}
    table["key"] = changes.get("key") or key_file(folder)
    return {key: value for key, value in (table | changes).items() if value is not ...}


def node_file(folder: Path, **more: Any) -> dict[str, str]:
    """Writes a node's configuration and returns the environment that names it."""
    table = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f"}
    file = folder / "config.json"
    file.write_text(json.dumps(table | {"settings": settings()} | more))
    return {"LB_CONFIG": str(file)}


def free_udp_port() -> int:
    """A port for datagrams that was free a moment ago."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def fleet_of(bench: Bench) -> FleetRuntime:
    """The fleet runtime of a node that has one."""
    assert bench.node.fleet is not None
    return bench.node.fleet
