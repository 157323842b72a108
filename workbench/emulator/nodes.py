"""Real nodes as the world sees them: clients' calls become requests to a process, its attempts come back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from balancer.policy.interface import ListKind, Outcome, ServerEntry, Settings, State
from workbench.emulator.agent import Agent, Line
from workbench.emulator.clock import LiveClock
from workbench.emulator.http import ClientSide, Lines, Reply, answer_bytes, request_bytes
from workbench.emulator.links import Link
from workbench.emulator.places import CALLS, Places
from workbench.emulator.servers import Connection, Door, look_after
from workbench.model.call import Answer, Attempt, Call
from workbench.model.network import num
from workbench.model.server import Server
from workbench.model.site import EFFECT_WORDS, World

LOOK = 10_000  # microseconds between two looks at what has become of the servers
STRIDE = 0x9E3779B1
REFUSALS = (429, 503)

Observe = Callable[..., None]


class Control(Protocol):
    """What starts and ends a node's process."""

    def boot(self, node: LiveNode) -> None:
        """Start it, unless it runs."""

    def leave(self, node: LiveNode) -> None:
        """SIGTERM."""

    def kill(self, node: LiveNode) -> None:
        """SIGKILL."""


class NoControl:
    """Where nodes are started by hand."""

    def boot(self, node: LiveNode) -> None:
        pass

    leave = kill = boot


class LiveNode:
    """A `Port` whose node is a process of the program."""

    def __init__(self, site: Site, name: str, index: int, settings: Settings) -> None:
        self.site = site
        self.name = name
        self.index = index
        self.settings = settings
        self.tier = 0
        self.zone = settings.zone
        self.up = self.ready = False
        self.starts: dict[int, int] = {}
        self.away: dict[int, int] = {}  # servers told draining or gone, and since when
        self.probes = 0
        self.doors: dict[int, Door] = {}
        self.agent = Agent(site.loop, self.line_of, self.told)
        self.lines = Lines(site.loop, site.places.node(index), CALLS)
        self.sides: dict[int, tuple[ClientSide, int]] = {}  # of open calls, and when they were sent
        self.subscriber: Any = None

    # ---- what world's parts do to it ------------------------------------------------------------------

    def boot(self) -> None:
        self.site.control.boot(self)

    def leave(self) -> None:
        self.site.control.leave(self)

    def kill(self) -> None:
        self.site.control.kill(self)

    def arriving(self, at: int, call: Call) -> None:
        call.node = self
        self.site.clock.call_at(at, self.take, call)

    def take(self, call: Call) -> None:
        """A client's request goes out; the client's time began when it was due."""
        site = self.site
        now = site.clock.now
        call.taken = True
        site.calls[call.id] = call
        site.world.accounts.calls[0] += 1
        root = call.root
        name = site.world.day.klass[root.klass].name
        effect = EFFECT_WORDS[site.world.classes[root.klass].effect]
        left = max(0, call.until - now) // 1000
        idempotency = b"%08x%08x" % (root.index, root.key)
        data = request_bytes(name, effect, root.key, call.id, left, idempotency, call.number > 0)
        sent = site.clock.real()
        side = self.lines.ask(data, lambda reply: self.replied(call, sent, reply))
        self.sides[call.id] = side, sent

    def replied(self, call: Call, sent: int, reply: Reply) -> None:
        """The node's answer, or the end of the connection."""
        clock = self.site.clock
        clock.catch_up()
        self.sides.pop(call.id, None)
        if not call.open:
            return
        call.open = False
        wait = 0
        if reply.status == 200:
            answer = Answer.OK
            ours = reply.body.endswith(b" %016x" % call.id)
        elif reply.status in REFUSALS:
            answer = Answer.REFUSED
            wait = retry_after(reply.headers.get(b"retry-after", b""))
            if not call.sent:
                call.cause = ("refused at the limit", 0)
            self.site.world.referee.refused(clock.now, call)
            self.site.world.accounts.refusals[0] += 1
        elif reply.status:
            answer = Answer.FAILED
        else:
            answer = Answer.FAILED if reply.written else Answer.UNREACHABLE
            call.cause = ("reset", 0)
        story = answer.name.lower() if reply.status != 200 or ours else "spoilt"
        self.ended(call, sent, story, reply.status)
        call.caller.answered(call, answer, wait)

    def ended(self, call: Call, sent: int, answer: str, status: int = 0) -> None:
        """For the history: one request at this node and how it ended."""
        root = call.root
        self.site.observe(
            "request",
            id=f"{call.id:016x}",
            node=self.name,
            request=root.index,
            attempt=call.number,
            klass=self.site.world.day.klass[root.klass].name,
            due=root.due,
            sent=sent,
            until=call.until,
            answer=answer,
            status=status,
        )

    def drop(self, call: Call) -> None:
        """The client has left."""
        self.give_up(call, "left")

    def overdue(self, call: Call) -> None:
        """The request's time and the slack are over."""
        self.give_up(call, "none")

    def give_up(self, call: Call, answer: str) -> None:
        if not call.open:
            return
        call.open = False
        side, sent = self.sides.pop(call.id)
        side.drop()
        self.ended(call, sent, answer)

    # ---- what servers do to it ------------------------------------------------------------------------

    def arrived(
        self, connection: Connection, method: bytes, target: bytes, headers: dict[bytes, bytes]
    ) -> None:
        """One of this node's attempts has come to a server, whole."""
        site = self.site
        now = site.clock.now
        server = connection.door.server
        call = site.call_of(number_of(headers.get(b"x-call-id", b"")), target)
        if call is None:
            site.observe("stray", node=self.name, server=server.spec.name)
            connection.going.send(answer_bytes(400))
            return
        attempt = Attempt(call, len(call.sent), server, self, call.key + len(call.sent) * STRIDE, now)
        away = self.away.get(server.id, -1)
        world = site.world
        if away >= 0 or call.out or call.ran_on is not None:
            world.referee.sending(now, call, server, away)
        call.sent.append(attempt)
        call.out += 1
        call.root.attempts += 1
        world.accounts.attempts[0] += 1
        world.accounts.crossings += server.zone != self.zone
        attempt.link = connection
        connection.attempt = attempt
        connection.away = away
        server.arrive(attempt)

    def reply(self, attempt: Attempt, outcome: Outcome) -> None:
        """A server has answered an attempt, or its process has ended."""
        if attempt.ended:
            return
        call = attempt.call
        if outcome == Outcome.OK and attempt.job is not None:
            call.useful = attempt.job.useful
        self.close_attempt(attempt, outcome)
        connection: Connection = attempt.link
        connection.reply(outcome, f"{attempt.server.spec.name} {call.id:016x}".encode())

    def hung_up(self, attempt: Attempt) -> None:
        attempt.server.abandon(attempt)
        self.close_attempt(attempt, Outcome.CANCELLED)

    def close_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        attempt.ended = True
        call = attempt.call
        call.out -= 1
        site = self.site
        site.world.referee.ended(call, attempt.server, attempt.sent_at, outcome)
        site.observe(
            "attempt",
            id=f"{call.id:016x}",
            node=self.name,
            server=attempt.server.spec.name,
            zone=attempt.server.zone,
            klass=site.world.day.klass[call.root.klass].name,
            effect=EFFECT_WORDS[site.world.classes[call.root.klass].effect],
            began=attempt.sent_at,
            ended=site.clock.now,
            outcome=outcome.name.lower(),
            away=attempt.link.away,
        )

    # ---- what discovery does to it --------------------------------------------------------------------

    def news(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        self.agent.news(kind, entries)

    def line_of(self, entry: ServerEntry) -> Line:
        """A server as the agent names it, at the door that this node has to it."""
        server = self.site.world.by_id[entry.server]
        door = self.doors.get(server.id)
        if door is None:
            door = self.doors[server.id] = self.site.door(self, server)
        return {
            "id": server.spec.name,
            "addr": f"{door.address[0]}:{door.address[1]}",
            "zone": self.site.zone_name(server.zone),
            "kind": self.site.kind_name(server.kind),
            "cell": server.cell,
            "state": {State.READY: "ready", State.DRAINING: "draining"}.get(entry.state, "gone"),
            "weight": 1.0,
            "started_ms": entry.ready_at // 1000 + self.site.epoch_ms if entry.ready_at else 0,
        }

    def told(self, lines: list[Line]) -> None:
        """What has just been written to the node."""
        now = self.site.clock.catch_up()
        for line in lines:
            server = self.site.by_name[line["id"]]
            if line["state"] == "ready":
                self.starts[server.id] = server.ready_at
                self.away.pop(server.id, None)
            elif server.id not in self.away:
                self.away[server.id] = now
                self.site.observe("told", node=self.name, server=line["id"], state=line["state"])

    def forget(self) -> None:
        """Its process is gone: the next one has been told nothing."""
        self.starts.clear()
        self.away.clear()


class Site:
    """The world's hosts: one `LiveNode` for each front node, and the doors between them and the servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: LiveClock,
        places: Places,
        control: Control,
        observe: Observe,
        link: Callable[[str, int, str, int], Link],
        epoch_ms: int,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.places = places
        self.control = control
        self.observe = observe
        self.link = link
        self.epoch_ms = epoch_ms  # Unix time at which the world's clock would have stood at 0
        self.nodes: list[LiveNode] = []
        self.calls: dict[int, Call] = {}
        self.by_name: dict[str, Server] = {}
        self.lives: dict[int, int] = {}
        self.world: World

    def node(self, world: World, name: str, tier: int, settings: Settings) -> LiveNode:
        if tier:
            raise ValueError("a day in real time has one tier: servers of others have nodes of their own")
        self.world = world
        node = LiveNode(self, f"n{len(self.nodes)}", len(self.nodes), settings)
        node.subscriber = world.discovery.subscribe(node)
        self.nodes.append(node)
        return node

    def start(self) -> None:
        """Discovery's agents listen, each with the list as it stands."""
        for node in self.nodes:
            node.agent.start(self.places.agent(node.index))
            self.world.discovery.boot(node.subscriber)
        self.look(None)

    def look(self, _: Any) -> None:
        idle = int(num(self.world.day.network.idle_s) * 1e6)
        look_after([d for n in self.nodes for d in n.doors.values()], self.lives, self.clock.now, idle)
        self.clock.call_at(self.clock.now + LOOK, self.look, None)

    def door(self, node: LiveNode, server: Server) -> Door:
        self.by_name[server.spec.name] = server
        there = self.link(node.name, node.zone, server.spec.name, server.zone)
        back = self.link(server.spec.name, server.zone, node.name, node.zone)
        return Door(self.clock, server, node, self.places.servers, there, back)

    def call_of(self, number: int, target: bytes) -> Call | None:
        """The call that a request at a server belongs to, by its id; None where no client sent it."""
        return self.calls.get(number)

    def zone_name(self, zone: int) -> str:
        return f"z{zone}"

    def kind_name(self, kind: int) -> str:
        kinds = [k.name for t in self.world.day.tier for k in t.kind]
        return kinds[kind]

    def close(self) -> None:
        for node in self.nodes:
            node.lines.close()
            node.agent.close()
            for door in node.doors.values():
                door.close()


def number_of(text: bytes) -> int:
    try:
        return int(text, 16)
    except ValueError:
        return -1


def retry_after(text: bytes) -> int:
    """The header's microseconds; 0 where there is none that can be read."""
    try:
        return max(0, int(float(text) * 1e6))
    except ValueError:
        return 0
