"""The nodes of a lab: their processes, their configurations, and what their pages say."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from workbench.baselines.revisions import NODE_PACKAGE
from workbench.emulator.address_block import CLIENT_PORT, DATAGRAM_PORT, MANAGEMENT_PORT
from workbench.emulator.config import node_table
from workbench.emulator.http import ConnectionPool, Response
from workbench.emulator.nodes import NodeAdapter, Site
from workbench.lab.earlier import package_in
from workbench.lab.plan import Plan, number
from workbench.lab.process import Process, command

READY_LOOK = 0.02  # seconds
KEY = "the key of this lab's fleet only\n"
WRONG_KEY = "another key, of another fleet...\n"
SEEDS = 3  # nodes that all others ask first

UNCHANGED = ("wrong_key", "earlier", "other_list")  # mischief that today's start line shows nothing of

WORDS = {
    signal.SIGKILL: "kill",
    signal.SIGTERM: "term",
    signal.SIGSTOP: "stop",
    signal.SIGCONT: "cont",
}

Story = Callable[..., None]


class Member:
    """One node of the lab, over all lives of its process."""

    def __init__(self, fleet: Fleet, node: NodeAdapter, mischief: str) -> None:
        self.fleet = fleet
        self.node = node
        self.name = node.name
        self.mischief = mischief
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.clock_file = self.folder / "clock"
        self.clock_offset = 0  # milliseconds that its wall clock is off
        self.clock_file.write_text("0")
        self.process: Process | None = None
        self.life = 0
        self.asked_to_end = False
        self.ready = asyncio.Event()
        self.gone = asyncio.Event()
        self.gone.set()
        self.pages = ConnectionPool(fleet.loop, fleet.site.addresses.node_host(node.index), MANAGEMENT_PORT)
        self.scripts = ConnectionPool(fleet.loop, fleet.site.addresses.node_host(node.index), MANAGEMENT_PORT)
        self.asking = self.wanting = False
        self.view: dict[str, list[Any]] | None = None
        self.own = 0  # the incarnation that it says of itself
        self.summaries: dict[str, list[Any]] = {}  # of the other zones: their state and size
        self.page: dict[str, Any] = {}
        names, count = [n.name for n in fleet.site.nodes], int(number(fleet.plan.voters))
        self.voters = names[-count:] if mischief == "other_list" else names[:count]
        self.old_voters: list[str] = []

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.running

    def last_line(self) -> str:
        """The last that its process logged."""
        return self.process.last[-1] if self.process and self.process.last else "it logged nothing"

    def start(self) -> None:
        """A new process, from nothing."""
        if self.running:
            return
        fleet = self.fleet
        self.life += 1
        self.asked_to_end = False
        self.view = None
        self.summaries = {}
        self.ready.clear()
        self.gone.clear()
        revision_folder = fleet.earlier if self.mischief == "earlier" else None
        package = package_in(revision_folder) if revision_folder else NODE_PACKAGE
        self.process = Process(
            fleet.loop,
            self.name,
            command("" if self.mischief in UNCHANGED else self.mischief, self.stepped_clock(), package),
            self.folder / "config.json",
            self.table(),
            self.logged,
            self.exited,
            revision_folder,
        )
        fleet.tell(
            "process",
            node=self.name,
            what="start",
            life=self.life,
            pid=self.process.pid,
            clock_ms=self.clock_offset,
        )
        fleet.loop.create_task(self.wait_ready(self.life))

    def step_clock(self, milliseconds: int) -> None:
        """Steps its wall clock: of the process that runs, and of those that come after it."""
        self.clock_offset += milliseconds
        self.clock_file.write_text(str(self.clock_offset))
        self.fleet.tell("clock", node=self.name, life=self.life, offset_ms=self.clock_offset)

    def stepped_clock(self) -> Path | None:
        """The file of the offset, for a process that is to start with a stepped clock."""
        stepped = self.clock_offset != 0 and self.mischief != "earlier"
        return self.clock_file if stepped else None

    def table(self) -> dict[str, Any]:
        """Its configuration now: the list as its agent has it, and its fleet."""
        fleet, places = self.fleet, self.fleet.site.addresses
        index = self.node.index
        table = node_table(fleet.site, self.node, fleet.plan.seed * 1000 + index)
        if not fleet.plan.fleet:
            return table
        key = self.folder / "key"
        key.write_text(WRONG_KEY if self.mischief == "wrong_key" else KEY)
        key.chmod(0o600)
        zone = self.node.zone
        seeds = self.seeds(zone) if fleet.plan.by_zone else self.seeds()
        return table | {
            "fleet": {
                "zone": fleet.site.zone_name(zone),
                "region": f"r{zone % int(number(fleet.plan.regions))}",
                "listen": f"{places.node_host(index)}:{DATAGRAM_PORT}",
                "advertise": f"{places.relay_host(index)}:{DATAGRAM_PORT}",
                "seeds": seeds,
                "key": str(key),
                "period_ms": int(number(fleet.plan.period_ms)),
                "voters": self.voters,
                "old_voters": self.old_voters,
                "lease_ms": int(number(fleet.plan.lease_ms)),
                "longest_lease_ms": int(number(fleet.plan.lease_ms)),
                "lab": {"clock_file": str(self.clock_file)},
            }
            | self.uses()
        }

    def seeds(self, zone: int | None = None) -> list[str]:
        """Addresses of the first nodes of a zone, or of all."""
        site = self.fleet.site
        nodes = [n for n in site.nodes if zone in (None, n.zone)]
        return [f"{site.addresses.relay_host(n.index)}:{DATAGRAM_PORT}" for n in nodes[:SEEDS]]

    def membership(self) -> dict[str, Any]:
        """The scope of its group, with the seeds of the other zones."""
        site = self.fleet.site
        others = sorted({n.zone for n in site.nodes} - {self.node.zone})
        return {"scope": "zone", "zone_seeds": {site.zone_name(z): self.seeds(z) for z in others}}

    def uses(self) -> dict[str, Any]:
        """Keys that nodes of earlier revisions may not know are left out where they are off."""
        plan = self.fleet.plan
        uses: dict[str, Any] = {"probe": plan.probe, "remeasure": number(plan.remeasure)}
        found = {key: value for key, value in uses.items() if value}
        found |= {"zones": {}} if plan.near else {}
        return found | ({"membership": self.membership()} if plan.by_zone else {})

    def logged(self, text: str) -> None:
        if " stats " not in text:
            self.fleet.tell("log", node=self.name, text=text)
        if text.endswith("-> ending") and not self.asked_to_end:  # whoever asks for readiness sees it
            self.fleet.site.world.front.leaving(self.node)

    def exited(self, status: int) -> None:
        """The process has ended, asked or not."""
        self.fleet.tell(
            "process", node=self.name, what="exit", life=self.life, status=status, asked=self.asked_to_end
        )
        self.node.up = self.node.ready = False
        self.node.on_process_ended()
        self.fleet.site.world.front.died(self.node)
        self.ready.clear()
        self.gone.set()
        if self.asked_to_end:
            return
        if self.fleet.plan.supervise and status == 0 and not self.fleet.stopping:
            self.start()
        else:
            self.fleet.fell(self)

    async def wait_ready(self, life: int) -> None:
        """Asks for readiness until it is there; the front takes the node in then."""
        lines = ConnectionPool(
            self.fleet.loop, self.fleet.site.addresses.node_host(self.node.index), CLIENT_PORT
        )
        while self.life == life and self.running:
            reply = await ask(self.fleet.loop, lines, b"/ready", 1.0)
            if reply is not None and reply.status == 200:
                self.node.up = self.node.ready = True
                self.fleet.site.clock.catch_up()
                self.fleet.site.world.front.ready(self.node)
                self.fleet.tell("process", node=self.name, what="ready", life=life)
                self.ready.set()
                break
            await asyncio.sleep(READY_LOOK)
        lines.close()

    def signal(self, number: signal.Signals) -> None:
        """A signal that the lab gives, and the history tells."""
        if self.process is None or not self.process.running:
            return
        self.asked_to_end = self.asked_to_end or number in (signal.SIGKILL, signal.SIGTERM)
        self.fleet.tell("process", node=self.name, what=WORDS[number], life=self.life)
        if number == signal.SIGTERM:
            self.fleet.site.world.front.leaving(self.node)
        self.process.signal(number)

    async def look(self) -> None:
        """Asks for the node's view of its fleet; the history gets it when it has changed."""
        if self.asking or not self.running or self.process is None or self.process.paused:
            return
        self.asking = True
        life = self.life
        reply = await ask(self.fleet.loop, self.pages, b"/fleet", 2.0)
        self.asking = False
        if reply is None or reply.status != 200 or life != self.life:
            return
        page = msgspec.json.decode(reply.body)
        self.page = page
        view = {m["name"]: [m["state"], m["incarnation"]] for m in page["members"]}
        if (view, page["incarnation"]) != (self.view, self.own):
            self.view, self.own = view, page["incarnation"]
            self.fleet.tell("view", node=self.name, life=life, own=page["incarnation"], members=view)
        zones = (page.get("regions") or {}).get("zones", {})
        summaries = {zone: [z["state"], z["size"]] for zone, z in zones.items()}
        if summaries != self.summaries:
            self.summaries = summaries
            self.fleet.tell("summaries", node=self.name, life=life, zones=summaries)

    async def hold(self) -> None:
        """Requests the lab's lease from its process, as a script would, and records what it may count on."""
        if self.wanting or not self.running or self.process is None:
            return
        self.wanting = True
        clock, life = self.fleet.site.clock, self.life
        asked = clock.real()
        path = b"/fleet/hold?duty=lab&script=%b" % self.name.encode()
        reply = await ask(self.fleet.loop, self.scripts, path, 1.0, b"PUT")
        self.wanting = False
        if reply is None or reply.status != 200:
            return
        told = msgspec.json.decode(reply.body)
        if told["held"]:
            until = asked + told["left_us"]
            now = clock.real()
            if until > now:
                fields = {"asked": asked, "answered": now, "until": until, "token": told["token"]}
                self.fleet.tell("duty", node=self.name, life=life, **fields)

    def sees(self) -> set[str]:
        """Those that it last held alive."""
        return {name for name, (state, _) in (self.view or {}).items() if state == "alive"}

    def sample(self) -> None:
        """What it costs, and what its fleet has sent."""
        if self.process is not None and self.process.running:
            cpu, memory = self.process.usage()
            page = self.page
            self.fleet.tell(
                "sample",
                node=self.name,
                life=self.life,
                cpu_s=round(cpu, 3),
                memory_mb=round(memory, 2),
                sent=sum(page.get("sent", {}).values()),
                bytes_out=page.get("bytes_out", 0),
                refused=page.get("refused", {}),
                late_ticks=page.get("late_ticks", 0),
            )


class Fleet:
    """All nodes of a lab; a `Control` for the world's own faults."""

    def __init__(self, plan: Plan, site: Site, folder: Path, tell: Story) -> None:
        self.plan = plan
        self.site = site
        self.loop = site.loop
        self.folder = folder
        self.tell = tell
        self.members: list[Member] = []
        self.fallen: list[str] = []  # those that ended unasked, and why
        self.trouble = asyncio.Event()
        self.stopping = False
        self.earlier = folder / "earlier"  # where an earlier revision lies, if nodes are of one

    def add(self, mischief: dict[str, str]) -> None:
        self.members = [Member(self, n, mischief.get(n.name, "")) for n in self.site.nodes]

    def boot(self, node: NodeAdapter) -> None:
        if self.members:
            self.members[node.index].start()

    def leave(self, node: NodeAdapter) -> None:
        self.members[node.index].signal(signal.SIGTERM)

    def kill(self, node: NodeAdapter) -> None:
        self.members[node.index].signal(signal.SIGKILL)

    def fell(self, member: Member) -> None:
        """A process has ended by itself."""
        self.fallen.append(f"{member.name}: life {member.life} ended unasked: {member.last_line()}")
        self.trouble.set()

    async def all_ready(self) -> str:
        """Waits until every node is ready; what is wrong otherwise, with the node's name."""
        waits = {self.loop.create_task(m.ready.wait()): m for m in self.members}
        trouble = self.loop.create_task(self.trouble.wait())
        try:
            patience = number(self.plan.ready_s)
            end = self.loop.time() + patience
            while waits:
                done, _ = await asyncio.wait(
                    {*waits, trouble},
                    timeout=max(0, end - self.loop.time()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if trouble in done:
                    return self.fallen[0]
                if not done:
                    late = sorted((m for m in waits.values()), key=lambda m: m.node.index)[0]
                    last = (
                        late.process.last[-1] if late.process and late.process.last else "it logged nothing"
                    )
                    return f"{late.name}: not ready after {patience:g} s: {last}"
                for task in done:
                    del waits[task]
            return ""
        finally:
            for task in (*waits, trouble):
                task.cancel()

    async def stop(self, patience: float) -> None:
        """Ends all processes: SIGTERM, and SIGKILL to what is still there after its patience."""
        self.stopping = True
        for member in self.members:
            if member.process is not None and member.process.paused:
                member.signal(signal.SIGCONT)
            member.signal(signal.SIGTERM)
        gone = [self.loop.create_task(m.gone.wait()) for m in self.members]
        if gone:
            await asyncio.wait(gone, timeout=patience)
        for member in self.members:
            if member.running:
                member.signal(signal.SIGKILL)
        if gone:
            await asyncio.wait(gone, timeout=5.0)
        for task in gone:
            task.cancel()
        for member in self.members:
            member.pages.close()
            member.scripts.close()


async def ask(
    loop: asyncio.AbstractEventLoop,
    lines: ConnectionPool,
    path: bytes,
    patience: float,
    method: bytes = b"GET",
) -> Response | None:
    """One call; None where no whole answer came in time."""
    answer: asyncio.Future[Response] = loop.create_future()

    def done(reply: Response) -> None:
        if not answer.done():
            answer.set_result(reply)

    side = lines.send(b"%b %b HTTP/1.1\r\nHost: node\r\n\r\n" % (method, path), done)
    try:
        reply = await asyncio.wait_for(answer, patience)
    except TimeoutError:
        side.cancel()
        return None
    return reply if reply.status else None
