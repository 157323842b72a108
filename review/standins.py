"""Stand-ins for the clients, servers and platform around a node, shared by the cases of the review."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
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

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


def free_port() -> int:
    """Return a free TCP port on the loopback address."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Record:
    """The record of a run: one line for each event, with the time since the start in seconds."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line to the record and to standard output."""
        self.line(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class Message:
    """A request or response as it was read: the start line, the headers and the body."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length, or without a body.

    Raises:
        IncompleteReadError: The connection ended before the end of the message.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


class Agent:
    """The discovery agent of one node: it answers at once with the list that it has."""

    def __init__(self, servers: list[dict[str, Any]]) -> None:
        self.version = 41
        self.servers = servers

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        try:
            while True:
                call = await read_message(reader)
                target = call.start.split(" ")[1]
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                if int(query.get("since", "-1")) >= self.version:
                    await asyncio.sleep(int(query.get("timeout_ms", "0")) / 1000)
                    listed: dict[str, Any] = {"version": self.version, "full": False, "servers": []}
                else:
                    listed = self.full_list()
                body = json.dumps(listed).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    def full_list(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": self.servers}


Handler = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server of the node's tier, whose handler answers each request on its connection.

    It closes a connection that has stood idle, as the settings say, only after the end of the case.
    """

    def __init__(self, name: str, cell: int, record: Record, handler: Handler) -> None:
        self.name = name
        self.cell = cell
        self.record = record
        self.handler = handler

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after the other."""
        try:
            while True:
                await self.handler(self, await read_message(reader), writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in the list of discovery."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "riga-office",
            "kind": "front-mid",
            "cell": self.cell,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the site riga-tiles."""
    tile = {"name": "tile-get", "effect": "free", "group": "all", "window": 5_000_000, "worth": 1.0}
    alert = {"name": "alert-set", "effect": "guarded", "group": "cell", "window": 10_000_000, "worth": 8.0}
    times = {"goal_time": 2_500_000, "hard_limit": 6_000_000, "late_value": 0.0, "stream": False}
    return {
        "classes": [tile | times, alert | times],
        "dcs": ["riga-office"],
        "discovery": "push",
        "group_size": 1,
        "self_index": 0,
        "kinds": ["front-fast", "front-mid", "front-slow"],
        "layers": ["tile-front"],
        "tier": 0,
        "zone": 0,
        "tick": 5000,
        "tenants": [],
        "weights": "off",
        "policy_limits": {
            "cancel": True,
            "conn_idle": 30_000_000,
            "connect_timeout": 150_000,
            "max_attempts": 4,
            "max_open": 20000,
            "max_retry_after": 2_000_000,
            "peers": False,
            "probing": True,
            "retry_after": False,
            "second_copies": True,
            "streams_per_conn": 1,
        },
        "report": {"columns": [], "how": "off"},
        "rules": {
            "answer_slack": 20_000,
            "ask_within": 10_000_000,
            "cold": 24_000_000,
            "fall_multiple": 2.5,
            "start_capacity": 0.12,
            "stop_sending_within": 500_000,
            "tip_after": 2_000_000,
        },
    }


class Node:
    """One real node, started with the `run` command of the deploy file."""

    def __init__(self, agent: Agent, limits: dict[str, Any], record: Record) -> None:
        self.agent = agent
        self.limits = limits
        self.record = record
        self.port = free_port()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self) -> None:
        """Start the process, and wait until it is ready.

        Raises:
            CaseError: The node does not become ready.
        """
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.agent.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.agent.full_list(),
            "settings": settings(),
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        scratch = self.folder / "tmp"
        scratch.mkdir()
        environment = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        environment |= {"LB_CONFIG": str(path), "TMPDIR": str(scratch)}
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        log = (self.folder / "log").open("wb")
        with log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.poll() is not None or time.monotonic() > deadline:
                self.record.say("the node did not become ready: " + self.log())
                raise CaseError
            await asyncio.sleep(0.1)
        self.record.line(f"node ready, pid {self.process.pid}")

    async def is_ready(self) -> bool:
        """Return whether the node answers `GET /ready` with 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def memory_kib(self, field: str = "RssAnon") -> int:
        """Return a figure of the process's memory in KiB; 0 if the process has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        except OSError:
            return 0
        lines = [line for line in status.splitlines() if line.startswith(field + ":")]
        return int(lines[0].split()[1]) if lines else 0

    def log(self) -> str:
        """Return what the node has written to its log."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")

    def stop(self) -> None:
        """End the process, and remove its folder."""
        if hasattr(self, "process") and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def request(path: str, number: str, budget_ms: int, key: str = "", body: bytes = b"") -> bytes:
    """Return the bytes of a client's request."""
    method = "POST" if key else "GET"
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: app.svc",
        f"X-Call-Id: {number}",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if key:
        lines += [f"Idempotency-Key: {key}", f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def run_case(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case, write its record and exit with its status.

    Args:
        folder: The folder of the case.
        case: Plays the case with its disruption or without it, and returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = NOT_RUN
    try:
        record.say(f"trouble: {'on' if trouble else 'off'}")
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
        status = HELD if held else BROKEN
        record.say("the rule held" if held else "the rule was broken")
    except Exception as error:  # Nothing that fails in the stand-ins may be taken for a broken rule.
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        record.close()
    sys.exit(status)
