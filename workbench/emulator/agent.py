"""Discovery's agent on a node's machine: answers at once with what it has been sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from balancer.net.process.listener import Listener, open_listener
from balancer.policy.interface import ListKind, ServerEntry, State
from workbench.emulator.http import ServerSide, answer_bytes

STATES = {State.READY: "ready", State.DRAINING: "draining", State.GONE: "gone"}
WAIT_MOST = 60.0

Line = dict[str, Any]
LineOf = Callable[[ServerEntry], Line]
Told = Callable[[list[Line]], None]


class Agent:
    """One node's agent: the list as it was last told, and the watches that wait for news of it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, line_of: LineOf, told: Told) -> None:
        self.loop = loop
        self.line_of = line_of
        self.told = told  # hears what is written to the node
        self.version = 0
        self.lines: dict[str, Line] = {}
        self.since: dict[str, int] = {}  # the version that last changed a server's line
        self.waiting: set[Watch] = set()
        self.sides: set[Watch] = set()
        self.listener = Listener(loop, self.take, lambda: True, 16)
        self.address: tuple[str, int] = ("", 0)

    def start(self, address: tuple[str, int]) -> None:
        made = open_listener(address)
        self.address = made.getsockname()[:2]
        self.listener.start(made)

    def close(self) -> None:
        for side in list(self.sides):
            side.transport.abort()
        self.listener.release()

    def take(self, connection: Any) -> None:
        connection.setblocking(False)
        self.loop.create_task(self.attach(connection))

    async def attach(self, connection: Any) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Watch(self), connection)
        except OSError:
            connection.close()

    def news(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """The machine has been sent a list or changes."""
        self.version += 1
        latest = {line["id"]: line for line in map(self.line_of, entries)}
        if kind != ListKind.CHANGES:
            for name in self.lines.keys() - latest.keys():
                latest[name] = self.lines[name] | {"state": "gone"}
        for name, line in latest.items():
            self.lines[name] = line
            self.since[name] = self.version
        for watch in list(self.waiting):
            watch.answer()

    def listed(self) -> list[Line]:
        """The servers that are there, as a whole list has them."""
        return [line for line in self.lines.values() if line["state"] != "gone"]

    def answer(self, since: int | None) -> bytes:
        """The whole list, or what is newer than a version; what is in it counts as told."""
        whole = since is None or since > self.version
        if since is None or whole:
            lines = self.listed()
        else:
            lines = [line for name, line in self.lines.items() if self.since[name] > since]
        self.told(list(self.lines.values()) if whole else lines)
        return msgspec.json.encode({"version": self.version, "full": whole, "servers": lines})


class Watch(ServerSide):
    """A connection of the node to its agent."""

    def __init__(self, agent: Agent) -> None:
        super().__init__()
        self.agent = agent
        self.since: int | None = None
        self.timer: asyncio.TimerHandle | None = None
        agent.sides.add(self)

    def asked(self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        parts = urlsplit(target.decode("latin-1"))
        query = parse_qs(parts.query)
        if parts.path != "/v1/endpoints":
            self.transport.write(answer_bytes(404))
            return
        try:
            self.since = int(query["since"][0]) if "since" in query else None
            wait = min(WAIT_MOST, int(query.get("timeout_ms", ["0"])[0]) / 1000)
        except ValueError:
            self.transport.write(answer_bytes(400))
            return
        if self.since is None or self.since != self.agent.version or wait <= 0:
            self.answer()
        else:
            self.agent.waiting.add(self)
            self.timer = self.agent.loop.call_later(wait, self.answer)

    def answer(self) -> None:
        self.forget()
        if not self.transport.is_closing():
            body = self.agent.answer(self.since)
            self.transport.write(answer_bytes(200, body, b"Content-Type: application/json\r\n"))

    def forget(self) -> None:
        self.agent.waiting.discard(self)
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.forget()
        self.agent.sides.discard(self)
