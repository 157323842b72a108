"""Parsing and validation of the server lists that discovery sends."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy.interface import ListKind, State
from balancer.settings import Fields

STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class ServerListError(ValueError):
    """The decoded JSON of a server list is not an object.

    For an invalid field of the object, `Fields` raises a plain ValueError instead.
    """


@dataclass(frozen=True)
class ServerRecord:
    """A server as described by discovery.

    Attributes:
        started_us: The start of the server's process, in microseconds of Unix time; 0 if it started long ago.
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
    """A full list of the servers, or a change of the current list, with the version of the resulting list."""

    kind: ListKind
    version: int
    servers: tuple[ServerRecord, ...]


def parse_server_list(table: object, kind: ListKind | None = None) -> ServerList:
    """Parse a server list from decoded JSON.

    A list with one invalid entry is rejected as a whole, and the current list stays in use: skipping that
    entry in a full list would remove a running server.

    Args:
        table: The decoded JSON.
        kind: The kind of the list; None if the JSON states with its key `full` whether it is a full list.

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
    """Parse the entry of one server.

    An unknown state counts as draining, so the server gets no new requests.
    """
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
