"""Parsing and validation of the server lists that discovery sends."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy.interface import ListKind, State
from balancer.settings import Fields

STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class ServerListError(ValueError):
    """Raised for JSON that is not an object; `Fields` raises a plain ValueError for an invalid field."""


@dataclass(frozen=True)
class ServerRecord:
    """A server as described by discovery.

    Attributes:
        started_us: The start of the server's process, in microseconds of Unix time; 0 for long ago.
    """

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: State
    weight: float
    started_us: int


@dataclass(frozen=True)
class ServerList:
    """A full list or a change of it, with the version of the resulting list."""

    kind: ListKind
    version: int
    servers: tuple[ServerRecord, ...]


def parse_server_list(table: object, kind: ListKind | None = None) -> ServerList:
    """Parse a server list from decoded JSON.

    A list with one invalid entry is rejected as a whole, and the current list stays in use: skipping that
    entry in a full list would remove a running server.

    Args:
        table: The decoded JSON.
        kind: The kind of the list; None if the list states it itself.

    Raises:
        ValueError: The list is not an object or has an invalid field, which the message names.
    """
    if not isinstance(table, dict):
        raise ServerListError("list: not an object")
    fields = Fields(table, "list.")
    if kind is None:
        kind = ListKind.FULL if fields.flag("full") else ListKind.CHANGES
    servers = tuple(parse_server(entry) for entry in fields.nested_list("servers"))
    return ServerList(kind, fields.integer("version"), servers)


def parse_server(entry: Fields) -> ServerRecord:
    """Parse a server entry; an unknown state counts as draining, so no new requests go to the server."""
    host, _, port = entry.text("addr").rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise entry.error("addr")
    return ServerRecord(
        id=entry.text("id"),
        host=host.strip("[]"),
        port=int(port),
        zone=entry.text("zone", ""),
        kind=entry.text("kind", ""),
        cell=entry.integer("cell", 0),
        state=STATES.get(entry.text("state"), State.DRAINING),
        weight=entry.number("weight", 1.0),
        started_us=entry.integer("started_ms", 0) * 1000,
    )
