"""Common parts of the cases 6 to 10: the node as a process of its own, and small stand-ins beside it.

The stand-ins (servers, discovery, clients) run in the script's own process, on loopback addresses and free
ports. Each line of `record.txt` is the time in seconds since the start, and what was sent, answered or run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
MS, SECOND = 1_000, 1_000_000


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment of one tier, those of riga-tiles where it states them."""
    classes = [
        {"name": "tile-get", "effect": "free", "group": "all", "window": 5 * SECOND, "worth": 1.0},
        {"name": "alert-set", "effect": "guarded", "group": "cell", "window": 10 * SECOND, "worth": 8.0},
    ]
    common = {"goal_time": 2_500 * MS, "hard_limit": 6 * SECOND, "late_value": 0.0, "stream": False}
    limits = {
        "cancel": True,
        "conn_idle": 30 * SECOND,
        "connect_timeout": 150 * MS,
        "max_attempts": 4,
        "max_open": 20000,
        "max_retry_after": 2 * SECOND,
        "peers": False,
        "probing": True,
        "retry_after": False,
        "second_copies": True,
        "streams_per_conn": 1,
    }
    rules = {
        "answer_slack": 20 * MS,
        "ask_within": 10 * SECOND,
        "cold": 24 * SECOND,
        "fall_multiple": 2.5,
        "start_capacity": 0.12,
        "stop_sending_within": 500 * MS,
        "tip_after": 2 * SECOND,
    }
    table = {
        "callers": {"marks_retry": True},
        "classes": [c | common for c in classes],
        "dcs": ["riga-office"],
        "discovery": "push",
        "group_size": 1,
        "self_index": 0,
        "kinds": ["front-fast"],
        "layers": ["tile-front"],
        "tier": 0,
        "zone": 0,
        "policy_limits": limits,
        "report": {"columns": [], "how": "off"},
        "rules": rules,
        "tenants": [],
        "tick": 5000,
        "weights": "off",
    }
    return table | changes


def free_address(host: str = "127.0.0.1") -> str:
    """Return a free loopback address as `host:port`."""
    with socket.socket() as s:
        s.bind((host, 0))
        return f"{host}:{s.getsockname()[1]}"


def call_id() -> str:
    """Return a new X-Call-Id."""
    return f"{random.getrandbits(64):016x}"


def request(path: str, number: str, budget_ms: int = 2500, method: str = "GET", headers: str = "") -> bytes:
    """Return the head of a request as the protocol page shows it; a keyed one needs its key in `headers`."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {number}\r\n"
        f"X-Budget-Ms: {budget_ms}\r\n{headers}\r\n"
    ).encode()


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a head, and return its first line and its headers by lower-case name."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    return first, {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read an answer with a length or in chunks; raise IncompleteReadError where it is not whole."""
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        return status, headers, await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return status, headers, body


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the time since the start."""
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")
        self.file.flush()


Headers = dict[str, str]
Handler = Callable[["Server", asyncio.StreamReader, asyncio.StreamWriter, str, Headers], Awaitable[bool]]


class Server:
    """A server of the tier; `handle` answers a request whose head was read, and returns whether to go on."""

    def __init__(self, record: Record, name: str, cell: int, handle: Handler) -> None:
        self.record, self.name, self.cell, self.handle = record, name, cell, handle
        self.state, self.started_ms = "ready", 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if not await self.handle(self, reader, writer, first, headers):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self) -> None:
        """End as a process does: new connections are refused, and open ones are reset."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def entry(self) -> dict[str, Any]:
        """Return this server's entry in the list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": "riga-office",
            "kind": "front-fast",
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }


class Discovery:
    """The agent on the node's machine: it answers at once with what it has, and a watch when that changes."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record, self.servers = record, servers
        self.version = 41
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def change(self, *servers: Server) -> None:
        """Tell the node of a change of these servers."""
        self.version += 1
        self.changes += [(self.version, s.entry()) for s in servers]
        self.changed.set()
        self.changed = asyncio.Event()

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        servers = [s.entry() for s in self.servers if s.state != "gone"]
        return {"version": self.version, "full": True, "servers": servers}

    async def answer(self, first: str) -> dict[str, Any]:
        """Return the answer to a call, given its request line; a watch waits for a change."""
        query = dict(p.split("=") for p in first.split(" ")[1].partition("?")[2].split("&") if p)
        if "since" not in query:
            return self.full()
        since = int(query["since"])
        if since >= self.version:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query["timeout_ms"]) / 1000)
        entries = [e for v, e in self.changes if v > since]
        return {"version": self.version, "full": False, "servers": entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while True:
                first, _ = await read_head(reader)
                body = json.dumps(await self.answer(first)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Node:
    """The project's node, started with the `run` line of the deploy file from the project's root."""

    def __init__(
        self,
        record: Record,
        discovery: Discovery,
        table: dict[str, Any],
        memory_mb: int = 96,
        sockets: int = 256,
        name: str = "n0",
        management: bool = False,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.listen, self.management = free_address(), free_address() if management else ""
        self.host, port = self.listen.split(":")
        self.port = int(port)
        self.table = {
            "name": name,
            "listen": self.listen,
            "discovery": discovery.address,
            "management": self.management or None,
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.full(),
            "settings": table,
        }
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and wait until `GET /ready` answers 200."""
        config = self.folder / "config.json"
        config.write_text(json.dumps(self.table))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environ |= {"LB_CONFIG": str(config), "TMPDIR": str(temporary)}
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.log = (self.folder / "log.txt").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdout=self.log, stderr=self.log
        )
        self.record.line(f"node started listen={self.listen}")
        for _ in range(300):
            if await self.is_ready():
                self.record.line("node ready")
                return
            await asyncio.sleep(0.05)
        raise RuntimeError("the node did not become ready")

    async def is_ready(self) -> bool:
        """Return whether `GET /ready` answers 200."""
        try:
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\n\r\n")
            status, _, _ = await asyncio.wait_for(read_answer(reader), 1)
            writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process, and remove its folder."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        keep = os.environ.get("KEEP_LOG")
        if keep:
            shutil.copy(self.folder / "log.txt", keep)
        shutil.rmtree(self.folder, ignore_errors=True)


PIECE = bytes(32 << 10)


def give_long_answers(record: Record, size: int) -> Handler:
    """Return a handler that answers each request with `size` bytes, as fast as the node takes them."""

    async def handle(
        server: Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: str,
        headers: Headers,
    ) -> bool:
        number = headers["x-call-id"]
        await asyncio.sleep(0.02)
        record.line(f"server {server.name} begins the answer id={number}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        given = 0
        try:
            while given < size:
                writer.write(PIECE)
                await writer.drain()
                given += len(PIECE)
        except ConnectionError:
            record.line(f"server {server.name} cannot go on id={number} given={given} of {size}")
            raise
        record.line(f"server {server.name} gave the whole answer id={number}")
        return True

    return handle


class Reader:
    """A client that asks for one long answer, and reads it at a steady rate.

    Args:
        record: The record of the run.
        node: The node.
        size: The length of the answer's body.
        rate: The bytes read in a second; 0 for as fast as possible.
        slow_until: The loop time from which on the client reads as fast as it can.
        ends_at: The loop time at which the client stops.
    """

    PAUSE_S = 0.5

    def __init__(
        self, record: Record, node: Node, size: int, rate: int, slow_until: float, ends_at: float
    ) -> None:
        self.record, self.node, self.size, self.rate = record, node, size, rate
        self.slow_until, self.ends_at = slow_until, ends_at
        self.loop = asyncio.get_running_loop()
        self.number = call_id()
        self.read_bytes = -1  # The bytes of the body that were read; -1 while there is no 200.
        self.is_cut = False

    async def run(self, delay: float) -> None:
        """Ask after `delay` seconds, again a second after each answer that is no 200, and read the answer."""
        await asyncio.sleep(delay)
        while self.read_bytes < 0 and self.loop.time() < self.ends_at:
            self.socket = socket.socket()
            self.socket.setblocking(False)
            try:
                await self.ask()
                if self.read_bytes >= 0:
                    await self.read()
            except ConnectionError as error:
                self.is_cut = self.read_bytes >= 0
                self.record.line(f"client id={self.number} broke off at {self.read_bytes}: {error}")
            finally:
                self.socket.close()
            if self.read_bytes < 0:
                await asyncio.sleep(1.0)
        self.record.line(f"client id={self.number} has {self.read_bytes} of {self.size} bytes")

    async def ask(self) -> None:
        """Send the request, and read the head of the answer with what comes behind it."""
        self.number = call_id()
        await self.loop.sock_connect(self.socket, (self.node.host, self.node.port))
        await self.loop.sock_sendall(self.socket, request(f"/tile-get/{self.number[:6]}", self.number))
        head, _, body = (await self.loop.sock_recv(self.socket, 4096)).partition(b"\r\n\r\n")
        self.record.line(f"client id={self.number} answered {head[:12].decode()!r}")
        if head.startswith(b"HTTP/1.1 200"):
            self.read_bytes = len(body)

    async def read(self) -> None:
        """Read the body, and raise ConnectionResetError where it ends early."""
        while self.read_bytes < self.size and self.loop.time() < self.ends_at:
            is_slow = self.rate and self.loop.time() < self.slow_until
            wanted = int(self.rate * self.PAUSE_S) if is_slow else 1 << 20
            await asyncio.sleep(self.PAUSE_S if is_slow else 0)
            wanted = min(wanted, self.size - self.read_bytes)
            while wanted:
                data = await self.loop.sock_recv(self.socket, wanted)
                if not data:
                    raise ConnectionResetError("the connection ended")
                self.read_bytes += len(data)
                wanted -= len(data)

    @property
    def is_whole(self) -> bool:
        """Whether the client has the whole answer."""
        return self.read_bytes == self.size


def main(folder: Path, play: Callable[[Record, bool], Awaitable[int]]) -> int:
    """Play a case, and return the exit status: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(folder)

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115):
            return await play(record, os.environ.get("TROUBLE", "1") != "0")

    try:
        status = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.line(f"could not run: {type(error).__name__}: {error}")
        status = NOT_RUN
    record.line(f"exit {status}")
    return status
