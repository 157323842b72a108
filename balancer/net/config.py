"""The configuration of a node: the environment and the configuration file, validated."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

from balancer.net.discovery.server_list import ServerList, parse_server_list
from balancer.net.process import management
from balancer.net.process.listener import Address
from balancer.policy.interface import ListKind, Settings
from balancer.settings import REPORT_COLUMNS, Fields, parse_settings

if TYPE_CHECKING:
    from balancer.fleet.config import FleetConfig

# The event loop's own (10), the listener, UDP, discovery, the standard streams, and some to spare.
RESERVED_SOCKETS = 26
MIN_CONNECTIONS = 8
# The maximum interval between polls on sockets, whatever the settings allow: within six seconds of a change
# the node must have been notified, and a silent watch may take two of them.
MAX_LIST_SILENCE_US = 4_000_000


class ConfigError(Exception):
    """The configuration is invalid; the text is one line for each fault."""


class Descriptors(NamedTuple):
    """How many descriptors the node may have, and how many of them no client or server may use."""

    sockets: int
    reserved: int


@dataclass(frozen=True)
class Config:
    """One node's configuration."""

    name: str
    listen: Address
    discovery: Address
    management: Address | None  # of the management pages
    inherited: str | None  # the descriptor of a listening socket that the process was given
    folder: str  # of the files by which processes of one node find each other
    seed: int
    sockets: int  # descriptors of this node
    reserved: int  # and those that no client or server may use
    memory: int  # bytes that this node may take
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known: ServerList | None
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout: float  # seconds
    idle_time: float  # seconds after which a server closes an idle connection
    inline_reports: bool
    report_names: tuple[tuple[str, str], ...]  # a load report's values: the settings' name, an alias
    fleet: FleetConfig | None  # None: the process stands alone

    def connections(self, parts: int = 1) -> int:
        """Descriptors that clients and servers may use together, in each of so many processes."""
        return max(MIN_CONNECTIONS, self.sockets // parts - self.reserved)


def read_address(text: object, what: str) -> Address:
    """`host:port` as a pair; a ConfigError that names `what` otherwise."""
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536:
            return host, int(port)
    raise ConfigError(f"{what}: not an address of the form host:port")


def read_optional_address(text: object, what: str) -> Address | None:
    """The same, or None where nothing is given."""
    return read_address(text, what) if text else None


def read_seed(text: Any) -> int:
    """The seed of all random streams; a ConfigError if it is no hexadecimal number."""
    try:
        return int(text, 16)
    except (TypeError, ValueError):
        raise ConfigError("seed: not a hexadecimal number") from None


def read_file(environ: Mapping[str, str]) -> dict[str, Any]:
    """The object in the file that `LB_CONFIG` names."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, "rb") as file:
            table = json.loads(file.read())
    except OSError as e:
        raise ConfigError(f"LB_CONFIG: {path}: {e.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigError(f"LB_CONFIG: {path}: not JSON") from None
    if not isinstance(table, dict):
        raise ConfigError(f"LB_CONFIG: {path}: not an object")
    return table


def load(environ: Mapping[str, str]) -> Config:
    """Reads `LB_CONFIG`; `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_MANAGEMENT` override it.

    Inherited descriptors and the writable folder come from the environment alone.
    """
    table = read_file(environ)
    for key in ("name", "listen", "discovery", "management"):
        table[key] = environ.get(f"LB_{key.upper()}") or table.get(key)
    table["inherited"] = environ.get("LB_INHERITED_FD") or None
    table["folder"] = environ.get("TMPDIR")
    try:
        return read(table)
    except ValueError as e:
        raise ConfigError(str(e)) from None


def load_discovery(environ: Mapping[str, str]) -> Address:
    """The address of discovery in the current file; `LB_DISCOVERY` holds at the start only."""
    return read_address(read_file(environ).get("discovery"), "discovery")


def fleet_of(table: dict[str, Any], name: str) -> FleetConfig | None:
    """The `fleet` section, if there is one; without it nothing of the fleet is imported. ConfigError."""
    if table.get("fleet") is None:
        return None
    try:
        from balancer.fleet.config import read_fleet
    except ImportError as e:
        raise ConfigError(f"fleet: needs the extra fleet: {e.name} is not installed") from None
    return read_fleet(table["fleet"], name)


def read_known(table: object) -> ServerList | None:
    """The cached server list that the node starts with, if there is one."""
    return parse_server_list(table, ListKind.CACHED) if table else None


def read_sockets(limits: Fields, has_management: bool, has_fleet: bool) -> Descriptors:
    """How many descriptors the node may have; a ConfigError if they are too few."""
    sockets = limits.whole("sockets", 1024)
    reserved = RESERVED_SOCKETS + (management.RESERVED_DESCRIPTORS if has_management else 0) + has_fleet
    if sockets < reserved + MIN_CONNECTIONS:
        raise ConfigError(f"limits.sockets: at least {reserved + MIN_CONNECTIONS} are needed")
    return Descriptors(sockets, reserved)


def read_policy_settings(table: dict[str, Any]) -> Settings:
    """The policy's settings, as they hold on sockets."""
    settings = parse_settings(table)
    # `retry_after` is about the simulator's clients: a 503 on a socket may always carry the header.
    return replace(
        settings,
        retry_after=True,
        max_list_poll_interval=min(settings.max_list_poll_interval, MAX_LIST_SILENCE_US),
    )


def read(table: dict[str, Any]) -> Config:
    """A Config from the decoded file. What is missing or impossible is a ValueError or a ConfigError."""
    name = table.get("name")
    if not isinstance(name, str):
        raise ConfigError("name: missing")
    seed = read_seed(table.get("seed", "0"))
    fields = Fields(table)
    given = fields.sub("limits", optional=True)
    sockets, reserved = read_sockets(given, bool(table.get("management")), table.get("fleet") is not None)
    settings = fields.sub("settings")
    limits = settings.sub("policy_limits")
    report = settings.sub("report", optional=True)
    columns = [str(c) for c in report.items("columns")]
    policy_settings = read_policy_settings(settings.table)
    return Config(
        name=name,
        listen=read_address(table.get("listen"), "listen"),
        discovery=read_address(table.get("discovery"), "discovery"),
        management=read_optional_address(table.get("management"), "management"),
        seed=seed,
        inherited=table.get("inherited"),
        folder=table.get("folder") or "/tmp",
        sockets=sockets,
        reserved=reserved,
        memory=int(given.number("memory_mb", 192) * (1 << 20)),
        peer_listen=read_optional_address(table.get("peer_listen"), "peer_listen"),
        peers=tuple(read_address(p, "peers") for p in fields.items("peers")),
        peers_all=read_optional_address(table.get("peers_all"), "peers_all"),
        known=read_known(table.get("known")),
        settings=policy_settings,
        classes=tuple(c.text("name") for c in settings.tables("classes")),
        tenants=tuple(t.text("name") for t in settings.tables("tenants", optional=True)),
        zones=tuple(str(z) for z in settings.items("dcs")),
        kinds=tuple(str(k) for k in settings.items("kinds")),
        connect_timeout=limits.whole("connect_timeout", 250_000) / 1e6,
        idle_time=limits.whole("conn_idle", 15_000_000) / 1e6,
        inline_reports=report.text("how", "off") == "inline",
        report_names=tuple((c, REPORT_COLUMNS.get(c, c)) for c in columns),
        fleet=fleet_of(table, name),
    )
