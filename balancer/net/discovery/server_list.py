"""Discovery's form of the server list, parsed and validated."""

from __future__ import annotations

from dataclasses import dataclass

from balancer.policy.interface import ListKind, State
from balancer.settings import Fields

STATES = {"ready": State.READY, "draining": State.DRAINING, "gone": State.GONE}


class ServerListError(ValueError):
    """A server list that is no list at all; a field that is wrong is a ValueError of `Fields`."""


@dataclass(frozen=True)
class ServerRecord:
    """One server as discovery describes it."""

    id: str
    host: str
    port: int
    zone: str
    kind: str
    cell: int
    state: State
    weight: float
    started: int  # microseconds of Unix time; 0 = long ago


@dataclass(frozen=True)
class ServerList:
    """A list or its changes, with the version they lead to."""

    kind: ListKind
    version: int
    servers: tuple[ServerRecord, ...]


def parse_server_list(table: object, kind: ListKind | None = None) -> ServerList:
    """A server list from decoded JSON.

    Failure prevented: skipping one bad entry of a full list would remove a server that runs, so the
    list is rejected, and the current one stays.

    Args:
        table: the decoded JSON.
        kind: of the list; None where the list states it itself.

    Raises:
        ValueError: anything in the list is wrong; names the field.
    """
    if not isinstance(table, dict):
        raise ServerListError("list: not an object")
    fields = Fields(table, "list.")
    if kind is None:
        kind = ListKind.FULL if fields.flag("full") else ListKind.CHANGES
    servers = tuple(parse_server(entry) for entry in fields.tables("servers"))
    return ServerList(kind, fields.whole("version"), servers)


def parse_server(entry: Fields) -> ServerRecord:
    """One server. A state that is not known counts as draining: no new requests go there."""
    host, _, port = entry.text("addr").rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise entry.error("addr")
    return ServerRecord(
        id=entry.text("id"),
        host=host.strip("[]"),
        port=int(port),
        zone=entry.text("zone", ""),
        kind=entry.text("kind", ""),
        cell=entry.whole("cell", 0),
        state=STATES.get(entry.text("state"), State.DRAINING),
        weight=entry.number("weight", 1.0),
        started=entry.whole("started_ms", 0) * 1000,
    )
