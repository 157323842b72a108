"""The configuration of a node, read from the environment and the configuration file and validated."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, NamedTuple

from balancer.net.discovery.hedged_call import MAX_CALLS_IN_FLIGHT
from balancer.net.discovery.server_list import ServerList, parse_server_list
from balancer.net.process import management
from balancer.net.process.listener import Address
from balancer.policy.interface import ListKind, Settings
from balancer.settings import REPORT_COLUMNS, Fields, parse_settings

if TYPE_CHECKING:
    from balancer.fleet.config import FleetConfig

# Descriptors of the event loop (10), the listener, the UDP socket, two calls to discovery each for a watch
# and for the full list, and the standard streams, plus a margin.
BASE_RESERVED_DESCRIPTORS = 26
# Descriptors of the further calls to discovery. Under a lower limit than the platform grants, they take those
# of the margin: connections need the others more.
FURTHER_CALL_DESCRIPTORS = 2 * (MAX_CALLS_IN_FLIGHT - 2)
LOWEST_GRANTED_LIMIT = 256
MIN_CONNECTIONS = 8
# Upper bound on the interval at which the policy polls the server list. The node must learn of a change
# within 6 s, of which 2.1 s may pass until a watch without a response is followed by a second call.
MAX_LIST_POLL_INTERVAL_US = 4_000_000


class ConfigError(Exception):
    """The configuration is invalid; the message has one line for each fault."""


class Descriptors(NamedTuple):
    """Limits on file descriptors.

    Attributes:
        limit: The maximum number of descriptors of the node.
        reserved: How many of these descriptors are not available to connections with clients and servers.
    """

    limit: int
    reserved: int


@dataclass(frozen=True)
class Config:
    """One node's configuration.

    Attributes:
        name: The name of the node, which prefixes each log line.
        listen: The address for clients.
        discovery: The address of the discovery service.
        management: The address of the management pages, or None for no pages.
        inherited_descriptor: The descriptor of a listening socket that this process inherited, as text; None
            if it inherited none.
        handover_directory: The directory of the files by which the old and the new process of a node detect
            each other.
        seed: The seed of all random streams.
        max_descriptors: The maximum number of descriptors of the node.
        reserved_descriptors: How many of these descriptors are not available to connections with clients and
            servers.
        memory_bytes: The memory that the node may use.
        peer_listen: The UDP address that receives messages of peers, the other nodes of this tier; None for
            no messages.
        peers: The UDP addresses of the nodes of this tier, by index.
        broadcast_address: The UDP address that reaches all peers; None if there is none.
        cached_list: The server list that the node uses until discovery sends one; None if there is none.
        settings: The policy's settings.
        classes: The names of the request classes.
        tenants: The names of the tenants.
        zones: The names of the zones.
        kinds: The names of the kinds of servers.
        connect_timeout_s: The timeout of a connect, in seconds.
        idle_timeout_s: The time after which a server closes an idle connection, in seconds.
        inline_reports: Whether servers send load reports with their responses.
        report_names: For each value of a load report, its name in the settings and an alternative name that
            is also accepted.
        fleet: The fleet section, or None for a process that belongs to no fleet.
    """

    name: str
    listen: Address
    discovery: Address
    management: Address | None
    inherited_descriptor: str | None
    handover_directory: str
    seed: int
    max_descriptors: int
    reserved_descriptors: int
    memory_bytes: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    broadcast_address: Address | None
    cached_list: ServerList | None
    settings: Settings
    classes: tuple[str, ...]
    tenants: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    connect_timeout_s: float
    idle_timeout_s: float
    inline_reports: bool
    report_names: tuple[tuple[str, str], ...]
    fleet: FleetConfig | None

    def max_connections(self, process_count: int = 1) -> int:
        """Return how many connections with clients and servers each of the node's processes may have.

        Args:
            process_count: How many processes share the node's limits.
        """
        return max(MIN_CONNECTIONS, self.max_descriptors // process_count - self.reserved_descriptors)


def parse_address(text: object, key: str) -> Address:
    """Parse an address of the form `host:port`.

    Args:
        text: The value in the configuration.
        key: The key of the value, which an error message names.

    Raises:
        ConfigError: The value is not an address.
    """
    if isinstance(text, str):
        host, _, port = text.rpartition(":")
        host = host.strip("[]")
        if host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536:
            return host, int(port)
    raise ConfigError(f"{key}: not an address of the form host:port")


def parse_optional_address(text: object, key: str) -> Address | None:
    """Parse an address like `parse_address`, or return None if the value is missing or empty."""
    return parse_address(text, key) if text else None


def parse_seed(text: Any) -> int:
    """Parse the seed of all random streams.

    Raises:
        ConfigError: The value is not a hexadecimal number.
    """
    try:
        return int(text, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {text!r} is not a hexadecimal number") from None


def read_config_file(environ: Mapping[str, str]) -> dict[str, Any]:
    """Read the JSON object in the file that `LB_CONFIG` names.

    Raises:
        ConfigError: The variable is not set, or the file cannot be read or holds no JSON object.
    """
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
    """Read the configuration from the environment and the file that `LB_CONFIG` names.

    `LB_NAME`, `LB_LISTEN`, `LB_DISCOVERY` and `LB_MANAGEMENT` override the file. The inherited descriptor
    (`LB_INHERITED_FD`) and the handover directory (`TMPDIR`) come from the environment alone.

    Raises:
        ConfigError: The configuration is invalid.
    """
    table = read_config_file(environ)
    for key in ("name", "listen", "discovery", "management"):
        table[key] = environ.get(f"LB_{key.upper()}") or table.get(key)
    table["inherited"] = environ.get("LB_INHERITED_FD") or None
    table["folder"] = environ.get("TMPDIR")
    try:
        return read(table)
    except ValueError as e:
        raise ConfigError(str(e)) from None


def load_discovery(environ: Mapping[str, str]) -> Address:
    """Return the address of discovery in the current file, ignoring `LB_DISCOVERY`.

    `LB_DISCOVERY` overrides the file only when the process starts, so that a reload can change the address.

    Raises:
        ConfigError: The file cannot be read, or its `discovery` is not an address.
    """
    return parse_address(read_config_file(environ).get("discovery"), "discovery")


def parse_fleet_section(table: dict[str, Any], name: str) -> FleetConfig | None:
    """Parse the `fleet` section, or return None if there is none.

    A fleet is a group of processes that coordinate their decisions. A node without the section imports
    no module of the fleet, nor the packages that it depends on.

    Raises:
        ConfigError: The section is invalid, or a package that the fleet needs is not installed.
    """
    if table.get("fleet") is None:
        return None
    try:
        from balancer.fleet.config import read_fleet
    except ImportError as e:
        raise ConfigError(f"fleet: needs the extra fleet: {e.name} is not installed") from None
    return read_fleet(table["fleet"], name)


def parse_cached_list(table: object) -> ServerList | None:
    """Parse the cached server list that the node starts with, or return None if there is none."""
    return parse_server_list(table, ListKind.CACHED) if table else None


def parse_descriptor_limits(limits: Fields, has_management: bool, has_fleet: bool) -> Descriptors:
    """Parse the limit on file descriptors, and return it with the number that the node itself needs.

    Raises:
        ConfigError: The limit leaves fewer than MIN_CONNECTIONS descriptors for connections.
    """
    limit = limits.integer("sockets", 1024)
    reserved = (
        BASE_RESERVED_DESCRIPTORS + (management.RESERVED_DESCRIPTORS if has_management else 0) + has_fleet
    )
    if limit < reserved + MIN_CONNECTIONS:
        raise ConfigError(f"limits.sockets: {limit} is below the minimum of {reserved + MIN_CONNECTIONS}")
    if limit >= LOWEST_GRANTED_LIMIT:
        reserved += FURTHER_CALL_DESCRIPTORS
    return Descriptors(limit, reserved)


def parse_policy_settings(table: dict[str, Any]) -> Settings:
    """Parse the policy's settings and adapt them to a node on real sockets."""
    settings = parse_settings(table)
    # The setting `retry_after` says whether the simulator's clients are sent a time to wait before a retry.
    # Over HTTP it is always on, because each 503 response may carry a Retry-After header.
    return replace(
        settings,
        retry_after=True,
        max_list_poll_interval=min(settings.max_list_poll_interval, MAX_LIST_POLL_INTERVAL_US),
    )


def read(table: dict[str, Any]) -> Config:
    """Parse the decoded configuration file.

    Raises:
        ConfigError: A value of the node's own configuration is missing or invalid.
        ValueError: A value of the policy's settings or of the limits is missing or invalid.
    """
    name = table.get("name")
    if not isinstance(name, str):
        raise ConfigError("name: missing or not a string")
    seed = parse_seed(table.get("seed", "0"))
    fields = Fields(table)
    limits = fields.nested("limits", optional=True)
    max_descriptors, reserved_descriptors = parse_descriptor_limits(
        limits, bool(table.get("management")), table.get("fleet") is not None
    )
    settings = fields.nested("settings")
    policy_limits = settings.nested("policy_limits")
    load_report = settings.nested("report", optional=True)
    columns = [str(c) for c in load_report.items("columns")]
    policy_settings = parse_policy_settings(settings.table)
    return Config(
        name=name,
        listen=parse_address(table.get("listen"), "listen"),
        discovery=parse_address(table.get("discovery"), "discovery"),
        management=parse_optional_address(table.get("management"), "management"),
        seed=seed,
        inherited_descriptor=table.get("inherited"),
        handover_directory=table.get("folder") or "/tmp",
        max_descriptors=max_descriptors,
        reserved_descriptors=reserved_descriptors,
        memory_bytes=int(limits.number("memory_mb", 192) * (1 << 20)),
        peer_listen=parse_optional_address(table.get("peer_listen"), "peer_listen"),
        peers=tuple(parse_address(p, "peers") for p in fields.items("peers")),
        broadcast_address=parse_optional_address(table.get("peers_all"), "peers_all"),
        cached_list=parse_cached_list(table.get("known")),
        settings=policy_settings,
        classes=tuple(c.text("name") for c in settings.nested_list("classes")),
        tenants=tuple(t.text("name") for t in settings.nested_list("tenants", optional=True)),
        zones=tuple(str(z) for z in settings.items("dcs")),
        kinds=tuple(str(k) for k in settings.items("kinds")),
        connect_timeout_s=policy_limits.integer("connect_timeout", 250_000) / 1e6,
        idle_timeout_s=policy_limits.integer("conn_idle", 15_000_000) / 1e6,
        inline_reports=load_report.text("how", "off") == "inline",
        report_names=tuple((c, REPORT_COLUMNS.get(c, c)) for c in columns),
        fleet=parse_fleet_section(table, name),
    )
