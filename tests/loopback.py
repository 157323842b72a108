"""Servers, a discovery service, clients and nodes on loopback sockets, controlled by the tests."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import uvloop

from balancer.net.config import read
from balancer.net.node import Node
from balancer.net.upstream.connection import Connection
from balancer.policy.interface import Outcome

TIMEOUT_S = 20.0  # Only a failing test waits this long.
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"
SECOND_US = 1_000_000

ConfigTable = dict[str, Any]  # A table of the configuration, or the entry of a server in a list.


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of the tests with these changes; `policy_limits` are merged into the defaults."""
    limits = {
        "cancel": True,
        "conn_idle": 5 * SECOND_US,
        "connect_timeout": 5 * SECOND_US,
        "max_attempts": 3,
        "max_retry_after": 2 * SECOND_US,
        "peers": True,
        "probing": True,
        "retry_after": True,
    }
    classes = [("view", "free", "all"), ("invite", "single_shot", "all"), ("offer", "guarded", "cell")]
    table = {
        "classes": [
            {
                "name": name,
                "effect": effect,
                "group": group,
                "goal_time": 10 * SECOND_US,
                "hard_limit": 20 * SECOND_US,
                "late_value": 0.2,
                "window": 10 * SECOND_US,
                "worth": 1.0,
            }
            for name, effect, group in classes
        ],
        "dcs": ["here", "there"],
        "discovery": "ask",
        "group_size": 1,
        "kinds": ["std"],
        "layers": ["front"],
        "policy_limits": limits | changes.pop("policy_limits", {}),
        "report": {"columns": ["mean_ms", "concurrent"], "how": "on_probe"},
        "rules": {"ask_within": 10 * SECOND_US, "cold": 0, "fall_multiple": 2.5, "start_capacity": 1.0}
        | {"tip_after": 0},
        "tenants": [{"name": "acme"}],
        "tick": 5000,
    }
    return table | changes


class Request:
    """A request as a server received it."""

    def __init__(self, head: bytes, body: bytes) -> None:
        first, *lines = head.decode().split("\r\n")
        self.method, self.target, _ = first.split(" ")
        self.lines = [(k.lower(), v) for k, _, v in (line.partition(": ") for line in lines if line)]
        self.headers = dict(self.lines)
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Request:
    """Read one request.

    Raises:
        IncompleteReadError: The connection ended.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    request = Request(head[:-4], b"")
    request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    return request


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bytes | None]]


async def answer_ok(request: Request, writer: asyncio.StreamWriter) -> bytes | None:
    """Respond with status 200."""
    return OK


class Server:
    """A server whose handler returns the bytes of each response, or None to send nothing."""

    def __init__(self, handle: Handler = answer_ok) -> None:
        self.handle = handle
        self.requests: list[Request] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.closed = 0  # Number of connections that were closed by their peer.

    async def start(self) -> Server:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it ends."""
        self.connections += 1
        self.writers.append(writer)
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                data = await self.handle(request, writer)
                if data is not None:
                    writer.write(data)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            self.closed += 1
        finally:
            writer.close()

    def entry(self, name: str, state: str = "ready", **changes: Any) -> dict[str, Any]:
        """Return this server's entry in a list of discovery."""
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "here",
            "kind": "std",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        } | changes


class Discovery(Server):
    """A discovery service: requests wait until a test responds to them with `send_list`."""

    def __init__(self) -> None:
        super().__init__(self.wait)
        self.answers: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def wait(self, request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        """Wait for the test's next response; None closes the connection."""
        data = await self.answers.get()
        if data is None:
            raise ConnectionResetError
        return data

    def send_list(self, version: int, full: bool, *servers: dict[str, Any]) -> None:
        """Respond to the next request with a full list of servers, or with changes."""
        self.send_response(json.dumps({"version": version, "full": full, "servers": servers}).encode())

    def send_response(self, body: bytes, status: bytes = b"200 OK") -> None:
        """Respond to the next request with this body."""
        self.answers.put_nowait(b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))


class Client:
    """A client with one connection."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def open(self) -> Client:
        """Connect to the port."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(self, data: bytes) -> None:
        """Write bytes without waiting for a response."""
        self.writer.write(data)

    async def receive(self) -> tuple[int, dict[str, str], bytes]:
        """Read one response and return its status, headers and body."""
        head = await asyncio.wait_for(self.reader.readuntil(b"\r\n\r\n"), TIMEOUT_S)
        first, *lines = head[:-4].decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines)}
        body = await self.reader.readexactly(int(headers.get("content-length", 0)))
        return int(first.split(" ")[1]), headers, body

    async def request(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request and return the status, headers and body of its response."""
        self.send(data)
        return await self.receive()

    async def ended(self) -> bool:
        """Wait for the end of the connection and return whether no more data arrived before it."""
        return await asyncio.wait_for(self.reader.read(), TIMEOUT_S) == b""


def call(klass: str = "view", budget: int = 15000, extra: bytes = b"", body: bytes = b"") -> bytes:
    """Return the bytes of a request of a class, with a budget in milliseconds."""
    method = b"GET" if klass == "view" else b"POST"
    lines = b"X-Call-Id: 9b1f\r\nX-Caller: acme\r\nX-Budget-Ms: %d\r\n" % budget
    if klass == "offer":
        lines += b"Idempotency-Key: 5c0f\r\n"
    if method == b"POST":
        lines += b"Content-Length: %d\r\n" % len(body)
    return b"%b /%b?obj=7f HTTP/1.1\r\nHost: app\r\n%b%b\r\n%b" % (method, klass.encode(), lines, extra, body)


class Bench:
    """A node with servers `s0`, `s1`, ... in its initial list, and its discovery service."""

    def __init__(self, *servers: Server, config: dict[str, Any] | None = None, **changes: Any) -> None:
        self.servers = servers
        self.changes = changes
        self.config = config or {}
        self.discovery = Discovery()

    async def start(self) -> Bench:
        """Start the discovery service, the servers and the node."""
        await self.discovery.start()
        for server in self.servers:
            await server.start()
        known: dict[str, Any] = {"version": 41, "full": True}
        known["servers"] = [s.entry(f"s{i}") for i, s in enumerate(self.servers)]
        table = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"sockets": 1024},
            "known": known,
            "settings": settings(**self.changes),
        }
        self.node = Node(read(table | self.config), asyncio.get_running_loop())
        await self.node.start()
        assert self.node.client_connections.listener.socket is not None
        self.port = self.node.client_connections.listener.socket.getsockname()[1]
        return self

    async def client(self) -> Client:
        """Return a client that is connected to the node."""
        return await Client(self.port).open()

    async def request_once(self, data: bytes) -> tuple[int, dict[str, str], bytes]:
        """Send a request on a new connection, which is closed after the response, and return the response."""
        client = await self.client()
        answer = await client.request(data)
        client.writer.close()
        return answer


async def wait_until(condition: Callable[[], bool]) -> None:
    """Let the loop run until the condition holds, or raise TimeoutError after TIMEOUT_S."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario on uvloop, the node's event loop, with a time limit."""

    async def limited() -> None:
        async with asyncio.timeout(3 * TIMEOUT_S):
            await scenario()

    uvloop.run(limited())


reserved_sockets: list[socket.socket] = []


class FakeTimeLoop:
    """An event loop whose clock is set by the test (`now`, in seconds)."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: float) -> None:
        self.loop = loop
        self.now = now

    def time(self) -> float:
        return self.now

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


class DelayedConnectLoop:
    """A loop whose new connections wait until a test sets `connect_allowed`."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.connect_allowed = asyncio.Event()
        self.connect_requested = asyncio.Event()

    async def create_connection(self, *args: Any) -> Any:
        self.connect_requested.set()
        await self.connect_allowed.wait()
        return await self.loop.create_connection(*args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


def limit_send_buffers(monkeypatch: Any) -> None:
    """Shrink the send buffers of connections to servers, so that a large request needs several writes."""
    made = Connection.connection_made

    def small(self: Connection, transport: asyncio.Transport) -> None:
        with socket.socket(fileno=os.dup(transport.get_extra_info("socket").fileno())) as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        made(self, transport)

    monkeypatch.setattr(Connection, "connection_made", small)


def small_buffer_listener() -> socket.socket:
    """Return a listener whose connections buffer little received data before the server reads."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.setblocking(False)
    return listener


def respond_with(*answers: bytes | None) -> Handler:
    """Return a handler that gives these responses in order and repeats the last one."""
    remaining = list(answers)

    async def handle(request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    return handle


def respond_after(release: asyncio.Event) -> Handler:
    """Return a handler that responds after the event is set."""

    async def handle(request: Request, writer: asyncio.StreamWriter) -> bytes | None:
        await release.wait()
        return OK

    return handle


def record_outcomes(bench: Bench) -> list[Outcome]:
    """Record the outcomes that the node reports to its policy from now on, and pass them on unchanged."""
    outcomes: list[Outcome] = []
    report_outcome = bench.node.balancer.outcome

    def outcome(
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        outcomes.append(outcome)
        report_outcome(now, request, attempt, server, outcome, latency, final, report)

    bench.node.balancer.outcome = outcome  # type: ignore[method-assign]
    return outcomes


def node_config(
    discovery: int, given: ConfigTable, listen: str = "127.0.0.1:0", *servers: ConfigTable
) -> ConfigTable:
    """Return a node's configuration with these settings, discovery port and initial list of servers."""
    known = {"version": 1, "full": True, "servers": list(servers)}
    table = {"name": "n0", "listen": listen, "discovery": f"127.0.0.1:{discovery}", "seed": "1f"}
    return table | {"limits": {"sockets": 256}, "known": known, "settings": given}


def free_port() -> int:
    """Return a free port, reserved for this process.

    A socket stays bound to it so that the kernel gives it to nobody else; with SO_REUSEADDR a node can still
    listen on it.
    """
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(("127.0.0.1", 0))
    reserved_sockets.append(s)
    return cast(int, s.getsockname()[1])


async def connect_when_listening(client: Client) -> None:
    """Connect, retrying until the node listens."""
    while True:
        try:
            await client.open()
            return
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@dataclass(frozen=True)
class NodeProgram:
    """A version of the node: its package, and the folder that contains an earlier version."""

    package: str = "balancer"
    folder: Path | None = None


CURRENT_PROGRAM = NodeProgram()


async def spawn_node(
    tmp_path: Path,
    table: ConfigTable,
    fds: tuple[int, ...] = (),
    program: NodeProgram = CURRENT_PROGRAM,
    **env: str,
) -> asyncio.subprocess.Process:
    """Start a node as a process of its own that inherits these descriptors."""
    file = tmp_path / "config.json"
    file.write_text(json.dumps(table))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        program.package,
        cwd=program.folder,
        env=os.environ | {"LB_CONFIG": str(file)} | env,
        stderr=asyncio.subprocess.PIPE,
        pass_fds=fds,
    )
