"""Populations of peers that send or read slowly, honest clients beside them, and a node's memory meanwhile.

The node runs as a process of its own; servers, peers and clients run in the test's process.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

from loopback import Client as LoopbackClient
from loopback import (
    Discovery,
    NodeProgram,
    connect_when_listening,
    free_port,
    node_config,
    settings,
    spawn_node,
)

MEBIBYTE = 1 << 20
MEMORY_SAMPLE_INTERVAL_S = 0.02
# Time after a request's budget up to which an answer merely has no value; a later one is lost.
ANSWER_GRACE_S = 0.5
CLIENT_INTERVAL_S = 0.05
CONNECT_TIMEOUT_US = 250_000
SMALL_RECEIVE_BUFFER_BYTES = 4096
# Time between the requests of clients that don't read their answers.
ARRIVAL_INTERVAL_S = 0.006
SHORT_FIELDS = b"".join(b"%x:%x\r\n" % (i, i) for i in range(120))
PART = b"x" * 2000


class EchoServer:
    """A server that answers each request with its call id, padded to the size that its path asks for.

    The query shapes the answer: `size` (bytes of the body), `delay` (seconds before it), `rate` (its bytes a
    second) and `chunked` (its framing).

    Args:
        read_rate: The bytes a second that the server reads of a request; None for no limit.
    """

    def __init__(self, read_rate: int | None = None) -> None:
        self.read_rate = read_rate
        self.hangs = False  # Whether requests are read and never answered.
        self.runs: Counter[str] = Counter()
        self.completed_at: dict[str, float] = {}
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> EchoServer:
        """Listen on a free port."""
        listener = socket.socket()
        if self.read_rate is not None:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self.serve, sock=listener, backlog=1024, limit=256 << 10)
        self.port = listener.getsockname()[1]
        return self

    def entry(self, name: str) -> dict[str, Any]:
        """Return this server's entry in a list of discovery."""
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "here",
            "kind": "std",
            "cell": 0,
            "state": "ready",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection until it ends."""
        self.connections += 1
        self.writers.add(writer)
        try:
            while True:
                await self.serve_one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read one request and answer it."""
        head = await reader.readuntil(b"\r\n\r\n")
        target = head.split(b" ", 2)[1].decode()
        headers = parse_headers(head)
        await self.read_body(headers, reader)
        call_id = headers.get("x-call-id", "")
        self.runs[call_id] += 1
        self.completed_at[call_id] = monotonic()
        while self.hangs:
            await asyncio.sleep(0.1)
        query = dict(pair.partition("=")[::2] for pair in target.partition("?")[2].split("&"))
        if "delay" in query:
            await asyncio.sleep(float(query["delay"]))
        body = call_id.encode().ljust(int(query.get("size", 0)), b".")
        await write_answer(writer, body, query)

    async def read_body(self, headers: dict[str, str], reader: asyncio.StreamReader) -> None:
        """Read a request's body at the server's rate, and discard it."""
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await read_line(reader)).partition(b";")[0], 16):
                await reader.readexactly(size + 2)
                if self.read_rate is not None:
                    await asyncio.sleep(size / self.read_rate)
            await read_line(reader)
            return
        remaining = int(headers.get("content-length", 0))
        piece = 64 << 10 if self.read_rate is None else self.read_rate // 20
        while remaining:
            read = await reader.readexactly(min(remaining, piece))
            remaining -= len(read)
            if self.read_rate is not None:
                await asyncio.sleep(len(read) / self.read_rate)


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Read a line.

    Raises:
        IncompleteReadError: The connection ended.
    """
    return await reader.readuntil(b"\r\n")


def parse_headers(head: bytes) -> dict[str, str]:
    """Return the headers of a message's head, by lower-case name."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines if line)}


async def write_answer(writer: asyncio.StreamWriter, body: bytes, query: dict[str, str]) -> None:
    """Write a response with status 200, framed and paced as the query asks."""
    is_chunked = "chunked" in query
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % len(body)
    writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n" % framing)
    rate = int(query.get("rate", 0))
    piece = rate // 20 or 64 << 10
    for start in range(0, len(body), piece):
        part = body[start : start + piece]
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if is_chunked else part)
        if rate:
            await asyncio.sleep(len(part) / rate)
        await writer.drain()
    if is_chunked:
        writer.write(b"0\r\n\r\n")


@dataclass
class MemoryPeak:
    """The greatest sizes of a process in bytes."""

    resident: int = 0
    anonymous: int = 0


def read_memory(pid: int) -> MemoryPeak:
    """Return the peak of a process's resident set and its anonymous part now; zeros once it has exited."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return MemoryPeak()
    sizes = {line.partition(":")[0]: line.split() for line in status.splitlines()}
    if "VmHWM" not in sizes:
        return MemoryPeak()
    return MemoryPeak(int(sizes["VmHWM"][1]) << 10, int(sizes["RssAnon"][1]) << 10)


class LoadedNode:
    """A node as a process, with its servers and the record of its memory.

    Args:
        memory_mb: The node's memory limit.
        sockets: The node's limit on descriptors.
        servers: The servers in its list.
        program: The node's package, or a module of the tests that runs it with changes.
    """

    def __init__(
        self, memory_mb: int, sockets: int, servers: Sequence[EchoServer], program: str = "balancer"
    ) -> None:
        self.program = program
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.servers = servers
        self.peak = MemoryPeak()
        self.log: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self, tmp_path: Path, **changes: Any) -> LoadedNode:
        """Start the servers, discovery and the node, and wait until the node listens."""
        for server in self.servers:
            await server.start()
        self.discovery = Discovery()
        await self.discovery.start()
        self.port = free_port()
        limits = {"connect_timeout": CONNECT_TIMEOUT_US} | changes.pop("policy_limits", {})
        self.table = node_config(
            self.discovery.port,
            settings(policy_limits=limits, **changes),
            f"127.0.0.1:{self.port}",
            *(server.entry(f"s{i}") for i, server in enumerate(self.servers)),
        )
        self.table["limits"] = {"memory_mb": self.memory_mb, "sockets": self.sockets}
        path = os.pathsep.join([str(Path(__file__).parent), str(Path(__file__).parents[1])])
        self.python_path = path
        return await self.restart(tmp_path)

    async def restart(self, tmp_path: Path) -> LoadedNode:
        """Start a process of the node, whose memory is recorded anew, and wait until it listens."""
        self.peak = MemoryPeak()
        program = NodeProgram(self.program)
        self.process = await spawn_node(tmp_path, self.table, program=program, PYTHONPATH=self.python_path)
        self.tasks = [asyncio.create_task(self.read_log()), asyncio.create_task(self.watch_memory())]
        await connect_when_listening(client := LoopbackClient(self.port))
        client.writer.close()
        return self

    async def read_log(self) -> None:
        """Collect the node's log lines."""
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log.append(line.decode().rstrip())

    async def watch_memory(self) -> None:
        """Record the greatest sizes of the node's process until it exits."""
        while self.process.returncode is None:
            size = read_memory(self.process.pid)
            self.peak.resident = max(self.peak.resident, size.resident)
            self.peak.anonymous = max(self.peak.anonymous, size.anonymous)
            await asyncio.sleep(MEMORY_SAMPLE_INTERVAL_S)

    async def stop(self) -> None:
        """Kill the node and wait for its end."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await asyncio.gather(*self.tasks)
        for server in self.servers:
            server.server.close()

    def stats(self) -> dict[str, float]:
        """Return the figures of the last `stats` line of the log."""
        lines = [line for line in self.log if ": stats " in line]
        pairs = lines[-1].partition(": stats ")[2].split() if lines else []
        return {name: float(value) for name, _, value in (pair.partition("=") for pair in pairs)}


@dataclass
class ClientReport:
    """What became of the requests of honest clients."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0
    missing: int = 0
    foreign: int = 0
    latencies: list[float] = field(default_factory=list)

    def total(self) -> int:
        """Return the number of all requests."""
        return self.served + self.refused + self.failed + self.missing


class HonestClient:
    """A client with one kept connection, which sends a request and waits for its answer, again and again.

    Args:
        port: The node's port.
        name: The prefix of the call ids.
        report: Records the answers.
        budget_s: The time that the client waits for each answer.
        body_bytes: The size of the requests' bodies; 0 for requests without a body.
        query: The query of the requests' path.
    """

    def __init__(
        self,
        port: int,
        name: str,
        report: ClientReport,
        budget_s: float = 1.0,
        body_bytes: int = 0,
        query: str = "",
    ) -> None:
        self.port = port
        self.name = name
        self.report = report
        self.budget_s = budget_s
        self.body_bytes = body_bytes
        self.query = query
        self.sent_count = 0
        self.connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, seconds: float, interval_s: float = CLIENT_INTERVAL_S) -> None:
        """Send requests for so many seconds."""
        until = monotonic() + seconds
        while monotonic() < until:
            await self.send_one()
            await asyncio.sleep(interval_s)
        if self.connection is not None:
            self.connection[1].close()

    def encode(self, call_id: str) -> bytes:
        """Return the bytes of a request with this id."""
        budget_ms = int(self.budget_s * 1000)
        head = f"X-Call-Id: {call_id}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n"
        if not self.body_bytes:
            return f"GET /view?{self.query} HTTP/1.1\r\nHost: app\r\n{head}\r\n".encode()
        head += f"Idempotency-Key: {call_id}\r\nContent-Length: {self.body_bytes}\r\n"
        return (
            f"POST /offer?{self.query} HTTP/1.1\r\nHost: app\r\n{head}\r\n".encode() + b"b" * self.body_bytes
        )

    async def send_one(self) -> None:
        """Send one request and record what becomes of it."""
        self.sent_count += 1
        call_id = f"{self.name}-{self.sent_count}"
        sent_at = monotonic()
        try:
            async with asyncio.timeout(self.budget_s + ANSWER_GRACE_S):
                status, body = await self.exchange(self.encode(call_id))
        except TimeoutError:
            self.drop_connection()
            self.report.late += 1
            self.report.missing += 1
            return
        except (OSError, asyncio.IncompleteReadError):
            self.drop_connection()
            self.report.missing += 1
            return
        self.report.latencies.append(monotonic() - sent_at)
        if status == 200:
            self.report.served += 1
            self.report.foreign += body.rstrip(b".") != call_id.encode()
        elif status in (429, 503):
            self.report.refused += 1
        else:
            self.report.failed += 1

    async def exchange(self, data: bytes) -> tuple[int, bytes]:
        """Send a request and return the status and body; once more if the node closed the kept connection."""
        if self.connection is not None:
            try:
                return await self.exchange_on(*self.connection, data)
            except (OSError, asyncio.IncompleteReadError) as error:
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                self.drop_connection()
        while True:
            try:
                self.connection = await asyncio.open_connection("127.0.0.1", self.port)
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.01)
        return await self.exchange_on(*self.connection, data)

    async def exchange_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes
    ) -> tuple[int, bytes]:
        """Send a request on a connection and read its response."""
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        headers = parse_headers(head)
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await read_line(reader), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await read_line(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        if headers.get("connection", "").lower() == "close":
            self.drop_connection()
        return int(head.split(b" ")[1]), body

    def drop_connection(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None


@dataclass
class PeerReport:
    """What became of peers: the statuses that they got, and the seconds from their last byte to the end."""

    statuses: Counter[int] = field(default_factory=Counter)
    end_times: list[float] = field(default_factory=list)
    kept: int = 0


class Peer:
    """A connection that is open to the node, and what it has sent."""

    def __init__(self, port: int, index: int, receive_buffer: int | None = None) -> None:
        self.index = index
        self.port = port
        self.receive_buffer = receive_buffer

    async def open(self) -> Peer:
        """Connect to the node."""
        connection = socket.socket()
        connection.setblocking(False)
        if self.receive_buffer is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        try:
            await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", self.port))
        except OSError:
            connection.close()
            raise
        self.opened_at = self.sent_at = monotonic()
        self.socket = connection
        return self

    async def send(self, data: bytes) -> None:
        """Send all of these bytes."""
        await asyncio.get_running_loop().sock_sendall(self.socket, data)
        self.sent_at = monotonic()

    async def wait_for_end(self, seconds: float, report: PeerReport) -> None:
        """Record the node's error or close, or that there was none within these seconds."""
        try:
            async with asyncio.timeout(seconds):
                data = await asyncio.get_running_loop().sock_recv(self.socket, 4096)
        except TimeoutError:
            report.kept += 1
            return
        except OSError:
            data = b""
        report.end_times.append(monotonic() - self.sent_at)
        report.statuses[int(data.split(b" ", 2)[1]) if data.startswith(b"HTTP/1.1 ") else 0] += 1


# What a peer does once it is connected.
PeerScript = Callable[[Peer], Awaitable[None]]


def request_head(method: str, path: str, index: int, extra: bytes = b"", budget_ms: int = 3000) -> bytes:
    """Return a request's head up to its last field, without the empty line."""
    fields = f"Host: app\r\nX-Call-Id: p{index}\r\nX-Caller: acme\r\nX-Budget-Ms: {budget_ms}\r\n"
    if method == "POST":
        fields += f"Idempotency-Key: p{index}\r\n"
    return f"{method} {path} HTTP/1.1\r\n{fields}".encode() + extra


async def cut_off_head(peer: Peer) -> None:
    """Send a head of very many short fields without its end."""
    await peer.send(request_head("GET", "/view?", peer.index, SHORT_FIELDS))


async def cut_off_long_head(peer: Peer) -> None:
    """Send a head of few long fields without its end."""
    await peer.send(
        request_head("GET", "/view?", peer.index, b"".join(b"F%d: %b\r\n" % (i, PART) for i in range(15)))
    )


async def complete_heads(peer: Peer) -> None:
    """Send whole requests of very many short fields, one after the other, to a server that takes its time."""
    await peer.send(8 * (request_head("GET", "/view?delay=2", peer.index, SHORT_FIELDS) + b"\r\n"))


async def stopped_short_body(peer: Peer) -> None:
    """Stop half way through a body of 64 kB."""
    await peer.send(request_head("POST", "/offer?", peer.index, b"Content-Length: 64000\r\n\r\n") + 30 * PART)


async def stopped_short_chunks(peer: Peer) -> None:
    """Stop in a body of unknown length after 60 kB."""
    head = request_head("POST", "/offer?", peer.index, b"Transfer-Encoding: chunked\r\n\r\n")
    await peer.send(head + 30 * (b"7d0\r\n%b\r\n" % PART))


async def stopped_long_body(peer: Peer) -> None:
    """Stop half way through a body of 6 MB, after 100 kB."""
    await peer.send(
        request_head("POST", "/offer?", peer.index, b"Content-Length: 6000000\r\n\r\n") + 50 * PART
    )


async def stopped_long_chunks(peer: Peer) -> None:
    """Stop in a body of unknown length after 100 kB."""
    head = request_head("POST", "/offer?", peer.index, b"Transfer-Encoding: chunked\r\n\r\n")
    await peer.send(head + 50 * (b"7d0\r\n%b\r\n" % PART))


async def slow_short_body(peer: Peer) -> None:
    """Write a body of 64 kB in small pieces, at twice the pace that the node grants."""
    await peer.send(request_head("POST", "/offer?", peer.index, b"Content-Length: 64000\r\n\r\n") + 20 * PART)
    for _ in range(11):
        await peer.send(PART)
        await asyncio.sleep(0.25)


async def slow_long_body(peer: Peer) -> None:
    """Write a body of 6 MB in small pieces, at twice the pace that the node grants."""
    await peer.send(
        request_head("POST", "/offer?", peer.index, b"Content-Length: 6000000\r\n\r\n") + 50 * PART
    )
    for _ in range(16):
        await peer.send(PART)
        await asyncio.sleep(0.25)


async def unread_short_answer(peer: Peer) -> None:
    """Ask for an answer of 64 kB and read none of it."""
    await peer.send(request_head("GET", "/view?size=64000", peer.index) + b"\r\n")
    await asyncio.sleep(3)


async def unread_long_answer(peer: Peer) -> None:
    """Ask for an answer of 1 MB and read none of it."""
    await peer.send(request_head("GET", "/view?size=1000000", peer.index) + b"\r\n")
    await asyncio.sleep(3)


async def unread_chunked_answer(peer: Peer) -> None:
    """Ask for an answer of 1 MB without a length and read none of it."""
    await peer.send(request_head("GET", "/view?size=1000000&chunked=1", peer.index) + b"\r\n")
    await asyncio.sleep(3)


async def stopped_reading(peer: Peer) -> None:
    """Ask for an answer of 1 MB, read 50 kB of it at twice the pace that is granted, and then nothing."""
    await peer.send(request_head("GET", "/view?size=1000000", peer.index) + b"\r\n")
    for _ in range(4):
        for _ in range(5):
            await asyncio.get_running_loop().sock_recv(peer.socket, 2560)
        await asyncio.sleep(0.1)
    await asyncio.sleep(3)


async def input_behind_request(peer: Peer) -> None:
    """Send 30 kB of requests behind one whose server takes its time."""
    first = request_head("GET", "/view?delay=2", peer.index) + b"\r\n"
    await peer.send(first + 20 * (request_head("GET", "/view?", peer.index, b"F: %b\r\n\r\n" % PART[:1500])))


async def silent(peer: Peer) -> None:
    """Send nothing."""


SCRIPTS: dict[str, PeerScript] = {
    script.__name__: script
    for script in (
        cut_off_head,
        cut_off_long_head,
        complete_heads,
        stopped_short_body,
        stopped_short_chunks,
        stopped_long_body,
        stopped_long_chunks,
        slow_short_body,
        slow_long_body,
        unread_short_answer,
        unread_long_answer,
        unread_chunked_answer,
        stopped_reading,
        input_behind_request,
        silent,
    )
}
READS_SLOWLY = frozenset({unread_short_answer, unread_long_answer, unread_chunked_answer, stopped_reading})


async def run_peer(port: int, index: int, script: PeerScript, seconds: float, report: PeerReport) -> None:
    """Connect, follow the script, and wait for the node's reaction until so many seconds are over."""
    peer = Peer(port, index, SMALL_RECEIVE_BUFFER_BYTES if script in READS_SLOWLY else None)
    if script in READS_SLOWLY:
        # All at once, most would be refused at the limit on requests in flight, before they get an answer.
        await asyncio.sleep(index * ARRIVAL_INTERVAL_S)
    try:
        await peer.open()
    except OSError:
        report.statuses[0] += 1
        return
    try:
        async with asyncio.timeout(seconds):
            await script(peer)
    except TimeoutError:
        pass
    except OSError:
        report.end_times.append(monotonic() - peer.sent_at)
        report.statuses[0] += 1
        peer.socket.close()
        return
    await peer.wait_for_end(max(0.05, seconds - (monotonic() - peer.opened_at)), report)
    peer.socket.close()


@dataclass
class LoadResult:
    """The result of one population of peers beside honest clients."""

    peak: MemoryPeak
    clients: ClientReport
    peers: PeerReport
    stats: dict[str, float]
    exit_status: int | None
    log: list[str]


async def run_load(
    tmp_path: Path,
    script: PeerScript,
    peer_count: int,
    memory_mb: int = 32,
    sockets: int = 1024,
    seconds: float = 4.0,
    client_count: int = 10,
    rounds: int = 1,
    program: str = "balancer",
) -> LoadResult:
    """Run peers with one script against a new node, beside honest clients, from its first second on."""
    node = LoadedNode(memory_mb, sockets, [EchoServer() for _ in range(4)], program)
    await node.start(tmp_path)
    clients, peers = ClientReport(), PeerReport()
    honest = [
        HonestClient(node.port, f"c{i}", clients, body_bytes=1000 * (i % 2), query="size=300")
        for i in range(client_count)
    ]

    async def run_peers() -> None:
        for _ in range(rounds):
            await asyncio.gather(
                *(run_peer(node.port, i, script, seconds / rounds, peers) for i in range(peer_count))
            )

    await asyncio.gather(run_peers(), *(client.run(seconds) for client in honest))
    await asyncio.sleep(0.1)
    stats, status = node.stats(), node.process.returncode
    await node.stop()
    return LoadResult(node.peak, clients, peers, stats, status, node.log)
