"""Stand-ins for a case: discovery's agent, servers, clients, and the node as a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECOND = 1_000_000


class Record:
    """The record of a run: one line for each thing sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.start = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the time since the start of the run."""
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Request:
    """A request as a server or the agent received it, whole."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method, self.target, self.headers, self.body = method, target, headers, body

    @property
    def call_id(self) -> str:
        """The request's X-Call-Id."""
        return self.headers.get("x-call-id", "-")


ReadBody = Callable[[asyncio.StreamReader, int], Awaitable[bytes]]


async def read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    """Read this many bytes as fast as they come."""
    return await reader.readexactly(size)


async def read_request(reader: asyncio.StreamReader, read: ReadBody = read_exactly) -> Request:
    """Read one request, its body with `read`."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    method, target, _ = first.split(" ")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await read(reader, size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif size := int(headers.get("content-length", 0)):
        body = await read(reader, size)
    return Request(method, target, headers, body)


def answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return an answer with its length."""
    return f"HTTP/1.1 {status} Status\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Agent:
    """Discovery's agent on the node's machine: the whole list, and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Condition()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, entry: dict[str, Any]) -> None:
        """Change one entry of the list."""
        async with self.changed:
            self.version += 1
            self.entries[entry["id"]] = entry
            self.changed_at[entry["id"]] = self.version
            self.changed.notify_all()

    def listing(self, since: int | None) -> bytes:
        """Return the whole list, or what has changed since a version."""
        servers = [
            e
            for key, e in self.entries.items()
            if (since is None and e["state"] != "gone")
            or (since is not None and self.changed_at[key] > since)
        ]
        return json.dumps({"version": self.version, "full": since is None, "servers": servers}).encode()

    async def wait_for_change(self, since: int, seconds: float) -> None:
        """Wait until there is something newer than a version, or until the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.changed.wait_for(lambda: self.version > since)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls until the node closes the connection."""
        try:
            while True:
                request = await read_request(reader)
                query = dict(p.split("=") for p in request.target.partition("?")[2].split("&") if p)
                since = int(query["since"]) if "since" in query else None
                if since is not None:
                    wait = min(60.0, int(query.get("timeout_ms", 0)) / 1000)
                    async with self.changed:
                        await self.wait_for_change(since, wait)
                writer.write(answer(200, self.listing(since)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


Handler = Callable[["Server", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def answer_ok(
    server: Server, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer with 200 and a body that names the call."""
    writer.write(answer(200, f"answer to {request.call_id}".encode()))
    await writer.drain()


class Server:
    """A server: it records each request that it has whole, and leaves the answer to a handler."""

    def __init__(
        self, name: str, record: Record, handle: Handler = answer_ok, read: ReadBody = read_exactly
    ) -> None:
        self.name, self.record, self.handle, self.read = name, record, handle, read
        self.runs: list[str] = []
        self.receive_buffer = 0

    async def start(self) -> dict[str, Any]:
        """Listen on a free port, and return the entry of the list."""
        listener = socket.socket()
        if self.receive_buffer:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        listener.bind((HOST, 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, limit=1 << 14)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.entry()

    def entry(self, state: str = "ready", cell: int = 1) -> dict[str, Any]:
        """Return this server's entry of the list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "riga-office",
            "kind": "render-mid",
            "cell": cell,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        try:
            while True:
                request = await read_request(reader, self.read)
                self.runs.append(request.call_id)
                self.record.line(f"server {self.name} runs {request.call_id} body={len(request.body)}")
                await self.handle(self, request, reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.record.line(f"server {self.name}: connection ended: {type(error).__name__}")
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like the example of WIRE; `classes` and others may be replaced."""
    table: dict[str, Any] = {
        "callers": {"marks_retry": True},
        "classes": [
            request_class("tile-get", "free", "all", 5 * SECOND, 1.0),
            request_class("alert-set", "guarded", "cell", 10 * SECOND, 8.0),
        ],
        "dcs": ["riga-office"],
        "deductions": {"late_fail": 0.045, "probe": 0.0095, "waste": 0.02},
        "discovery": "push",
        "domain_type": "chain",
        "extra": {"passes_deadline": True},
        "goal": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "group_size": 1,
        "kinds": ["render-fast", "render-mid", "render-slow"],
        "layers": ["tile-front", "tile-render", "radar-store"],
        "over_share_worth": 0.1,
        "policy_limits": {
            "cancel": True,
            "conn_idle": 30 * SECOND,
            "connect_timeout": 150_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400_000,
            "max_attempts": 4,
            "max_open": 20000,
            "max_retry_after": 2 * SECOND,
            "peers": False,
            "probing": True,
            "retry_after": False,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "report": {"columns": [], "how": "off"},
        "rules": {
            "answer_slack": 20_000,
            "ask_within": 10 * SECOND,
            "cold": 24 * SECOND,
            "fall_multiple": 2.5,
            "start_capacity": 0.12,
            "stop_sending_within": 500_000,
            "tip_after": 2 * SECOND,
        },
        "self_index": 0,
        "tenants": [],
        "tick": 5000,
        "tier": 0,
        "weights": "off",
        "worth_by": "request",
        "zone": 0,
    }
    return table | changes


def request_class(
    name: str,
    effect: str,
    group: str,
    window: int,
    worth: float,
    goal: int = 2_500_000,
    limit: int = 6_000_000,
) -> dict[str, Any]:
    """Return the settings of one class."""
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "window": window,
        "worth": worth,
        "goal_time": goal,
        "hard_limit": limit,
        "late_value": 0.0,
        "stream": False,
    }


class Node:
    """The node, started with the deploy file's `run`."""

    def __init__(self, agent: Agent, record: Record, table: dict[str, Any], **limits: Any) -> None:
        self.agent, self.record, self.settings = agent, record, table
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits
        self.folder = tempfile.TemporaryDirectory()
        self.port, self.management = free_port(), free_port()

    async def start(self) -> None:
        """Start the process, and return once GET /ready answers 200."""
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.agent.port}",
            "management": f"{HOST}:{self.management}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": json.loads(self.agent.listing(None)),
            "settings": self.settings,
        }
        path = Path(self.folder.name, "config.json")
        path.write_text(json.dumps(config))
        (scratch := Path(self.folder.name, "tmp")).mkdir(exist_ok=True)
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environ = os.environ | {"LB_CONFIG": str(path), "TMPDIR": str(scratch)}
        self.log = Path(self.folder.name, "log").open("wb")  # noqa: SIM115
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stderr=self.log, stdout=self.log
        )
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline and self.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                status = await reader.readuntil(b"\r\n")
                writer.close()
                if status.startswith(b"HTTP/1.1 200"):
                    self.record.line("node is ready")
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the node did not become ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        self.record.line(f"{number.name} to the node")
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        for line in Path(self.folder.name, "log").read_text().splitlines():
            if " stats " not in line:
                self.record.line(f"log {line}")
        self.folder.cleanup()


call_number = 0


def new_call_id() -> str:
    """Return a new X-Call-Id."""
    global call_number
    call_number += 1
    return f"{call_number:016x}"


def encode(
    method: str, path: str, budget_ms: int, body: bytes = b"", call_id: str = "", extra: str = ""
) -> bytes:
    """Return a request as a client sends it."""
    key = f"Idempotency-Key: {call_id:0>32}\r\n" if method == "POST" else ""
    length = (
        f"Content-Length: {len(body)}\r\n" if method == "POST" and "Transfer-Encoding" not in extra else ""
    )
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {call_id}\r\nX-Budget-Ms: {budget_ms}\r\n"
    )
    return f"{head}{key}{extra}{length}\r\n".encode() + body


class Answer:
    """What a client got."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, whole: bool) -> None:
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one final answer; interim ones are passed over."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(headers["content-length"]))
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, body + error.partial, whole=False)
    return Answer(status, headers, body, whole=True)


def run(case: Callable[[Record], Awaitable[int]], folder: str) -> None:
    """Run a case and exit: 1 if it counted a broken rule, 0 if none, 2 if it could not run."""
    record = Record(Path(folder).resolve().parent / "record.txt")

    async def bounded() -> int:
        async with asyncio.timeout(100):
            return await case(record)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.line(f"broken: {broken}")
    sys.exit(1 if broken else 0)
