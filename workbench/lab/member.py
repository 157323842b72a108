"""One node of a lab: its processes one after the other, its signals, and what its pages report."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Any, Protocol

import msgspec

from workbench.baselines.revisions import NODE_PACKAGE
from workbench.emulator.address_block import CLIENT_PORT, MANAGEMENT_PORT
from workbench.emulator.http import ConnectionPool, Response
from workbench.emulator.nodes import NodeAdapter, Site
from workbench.lab.earlier import package_in
from workbench.lab.management import READY_POLL_S, fetch
from workbench.lab.node_configuration import FleetSettings, node_configuration
from workbench.lab.plan import Plan, number
from workbench.lab.process import STATS_MARK, Process, command
from workbench.lab.process_history import ENDING_SUFFIX

KINDS_WITHOUT_CODE_CHANGE = ("wrong_key", "earlier", "other_list")  # of faulty nodes
READY_TIMEOUT_S = 1.0
VIEW_TIMEOUT_S = 2.0
LEASE_TIMEOUT_S = 1.0
OK = 200

SIGNAL_WORDS = {  # in the history
    signal.SIGKILL: "kill",
    signal.SIGTERM: "term",
    signal.SIGSTOP: "stop",
    signal.SIGCONT: "cont",
}


class MemberFleet(Protocol):
    """What a member uses of the fleet that it belongs to."""

    @property
    def plan(self) -> Plan:
        """The plan of the run."""

    @property
    def site(self) -> Site:
        """The emulated site with its nodes."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""

    @property
    def folder(self) -> Path:
        """Where the members' folders are."""

    @property
    def earlier(self) -> Path:
        """Where the node of an earlier revision lies, if a member is of one."""

    @property
    def stopping(self) -> bool:
        """Whether the run is over and all processes are being stopped."""

    def record(self, event: str, **fields: Any) -> None:
        """Writes one event of the history."""

    def on_unexpected_exit(self, member: Member) -> None:
        """Takes notice of a process that ended unasked."""


class Member:
    """One node of the lab, over all of its processes.

    Args:
        fleet: The fleet that it belongs to.
        node: Its adapter in the emulated site.
        fault_kind: How it is faulty, in the plan's word; "" if it is not.
    """

    def __init__(self, fleet: MemberFleet, node: NodeAdapter, fault_kind: str) -> None:
        self.fleet = fleet
        self.node = node
        self.name = node.name
        self.fault_kind = fault_kind
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.clock_file = self.folder / "clock"
        self.clock_offset = 0  # milliseconds that its wall clock is off
        self.clock_file.write_text("0")
        self.process: Process | None = None
        self.process_number = 0
        self.stop_requested = False
        self.ready = asyncio.Event()
        self.exited = asyncio.Event()
        self.exited.set()
        host = fleet.site.addresses.node_host(node.index)
        self.view_pool = ConnectionPool(fleet.loop, host, MANAGEMENT_PORT)
        self.command_pool = ConnectionPool(fleet.loop, host, MANAGEMENT_PORT)
        self.polling_view = self.requesting_lease = False
        self.view: dict[str, list[Any]] | None = None
        self.own_incarnation = 0  # the incarnation number that it reports of itself
        self.zone_summaries: dict[str, list[Any]] = {}
        self.fleet_page: dict[str, Any] = {}
        names, count = [n.name for n in fleet.site.nodes], int(number(fleet.plan.voters))
        self.voters = names[-count:] if fault_kind == "other_list" else names[:count]
        self.old_voters: list[str] = []

    @property
    def running(self) -> bool:
        """Whether it has a process now."""
        return self.process is not None and self.process.running

    def last_line(self) -> str:
        """Returns the last line that its process logged."""
        return self.process.last_line() if self.process else "it logged nothing"

    # ---- processes ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Starts a new process, if none runs."""
        if self.running:
            return
        self.process_number += 1
        self.stop_requested = False
        self.view = None
        self.zone_summaries = {}
        self.ready.clear()
        self.exited.clear()
        self.process = self.new_process()
        self.fleet.record(
            "process",
            node=self.name,
            what="start",
            life=self.process_number,
            pid=self.process.pid,
            clock_ms=self.clock_offset,
        )
        self.fleet.loop.create_task(self.wait_ready(self.process_number))

    def new_process(self) -> Process:
        """Starts the node's program with its configuration as it is now."""
        fleet = self.fleet
        revision_folder = fleet.earlier if self.fault_kind == "earlier" else None
        package = package_in(revision_folder) if revision_folder else NODE_PACKAGE
        kind = "" if self.fault_kind in KINDS_WITHOUT_CODE_CHANGE else self.fault_kind
        settings = FleetSettings(
            self.folder,
            self.clock_file,
            self.voters,
            self.old_voters,
            wrong_key=self.fault_kind == "wrong_key",
        )
        return Process(
            fleet.loop,
            self.name,
            command(kind, self.stepped_clock(), package),
            self.folder / "config.json",
            node_configuration(fleet.site, fleet.plan, self.node, settings),
            self.on_log_line,
            self.on_exit,
            revision_folder,
        )

    def step_clock(self, milliseconds: int) -> None:
        """Steps its wall clock: of the process that runs, and of those that come after it."""
        self.clock_offset += milliseconds
        self.clock_file.write_text(str(self.clock_offset))
        self.fleet.record("clock", node=self.name, life=self.process_number, offset_ms=self.clock_offset)

    def stepped_clock(self) -> Path | None:
        """Returns the file of the offset, for a process that is to start with a stepped clock."""
        stepped = self.clock_offset != 0 and self.fault_kind != "earlier"
        return self.clock_file if stepped else None

    def on_log_line(self, text: str) -> None:
        """Records a log line of its process."""
        if STATS_MARK not in text:
            self.fleet.record("log", node=self.name, text=text)
        if text.endswith(ENDING_SUFFIX) and not self.stop_requested:  # its readiness check fails from now on
            self.fleet.site.world.front.node_draining(self.node)

    def on_exit(self, status: int) -> None:
        """Records that its process has ended, asked or not."""
        self.fleet.record(
            "process",
            node=self.name,
            what="exit",
            life=self.process_number,
            status=status,
            asked=self.stop_requested,
        )
        self.node.up = self.node.ready = False
        self.node.on_process_ended()
        self.fleet.site.world.front.node_stopped(self.node)
        self.ready.clear()
        self.exited.set()
        if self.stop_requested:
            return
        if self.fleet.plan.supervise and status == 0 and not self.fleet.stopping:
            self.start()
        else:
            self.fleet.on_unexpected_exit(self)

    async def wait_ready(self, process_number: int) -> None:
        """Polls its readiness until it is ready; the front takes the node in then."""
        fleet, site = self.fleet, self.fleet.site
        pool = ConnectionPool(fleet.loop, site.addresses.node_host(self.node.index), CLIENT_PORT)
        while self.process_number == process_number and self.running:
            response = await fetch(fleet.loop, pool, b"/ready", READY_TIMEOUT_S)
            if response is not None and response.status == OK:
                self.node.up = self.node.ready = True
                site.clock.catch_up()
                site.world.front.node_ready(self.node)
                fleet.record("process", node=self.name, what="ready", life=process_number)
                self.ready.set()
                break
            await asyncio.sleep(READY_POLL_S)
        pool.close()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if one runs, and records it."""
        if self.process is None or not self.process.running:
            return
        self.stop_requested = self.stop_requested or number in (signal.SIGKILL, signal.SIGTERM)
        self.fleet.record("process", node=self.name, what=SIGNAL_WORDS[number], life=self.process_number)
        if number == signal.SIGTERM:
            self.fleet.site.world.front.node_draining(self.node)
        self.process.signal(number)

    # ---- what its pages report ------------------------------------------------------------------------

    async def poll_view(self) -> None:
        """Asks for the node's view of its fleet; the history gets it when it has changed."""
        if self.polling_view or not self.running or self.process is None or self.process.paused:
            return
        self.polling_view = True
        process_number = self.process_number
        response = await fetch(self.fleet.loop, self.view_pool, b"/fleet", VIEW_TIMEOUT_S)
        self.polling_view = False
        if response is None or response.status != OK or process_number != self.process_number:
            return
        self.fleet_page = msgspec.json.decode(response.body)
        self.record_view(self.fleet_page)
        self.record_zone_summaries(self.fleet_page)

    def record_view(self, page: dict[str, Any]) -> None:
        """Records the members of a page, if they or the node's own incarnation number changed."""
        view = {m["name"]: [m["state"], m["incarnation"]] for m in page["members"]}
        own = page["incarnation"]
        if (view, own) != (self.view, self.own_incarnation):
            self.view, self.own_incarnation = view, own
            self.fleet.record("view", node=self.name, life=self.process_number, own=own, members=view)

    def record_zone_summaries(self, page: dict[str, Any]) -> None:
        """Records the state and size of the other zones by a page, if they changed."""
        zones = (page.get("regions") or {}).get("zones", {})
        summaries = {zone: [z["state"], z["size"]] for zone, z in zones.items()}
        if summaries != self.zone_summaries:
            self.zone_summaries = summaries
            self.fleet.record("summaries", node=self.name, life=self.process_number, zones=summaries)

    async def request_lease(self) -> None:
        """Requests the lab's lease from its process, as a script would, and records what it may count on."""
        if self.requesting_lease or not self.running or self.process is None:
            return
        self.requesting_lease = True
        process_number, asked_at = self.process_number, self.fleet.site.clock.real_time()
        path = b"/fleet/hold?duty=lab&script=%b" % self.name.encode()
        response = await fetch(self.fleet.loop, self.command_pool, path, LEASE_TIMEOUT_S, b"PUT")
        self.requesting_lease = False
        if response is not None and response.status == OK:
            self.record_lease(response, process_number, asked_at)

    def record_lease(self, response: Response, process_number: int, asked_at: int) -> None:
        """Records a lease that a process holds and that has not expired by now."""
        lease = msgspec.json.decode(response.body)
        if not lease["held"]:
            return
        until = asked_at + lease["left_us"]
        now = self.fleet.site.clock.real_time()
        if until > now:
            fields = {"asked": asked_at, "answered": now, "until": until, "token": lease["token"]}
            self.fleet.record("duty", node=self.name, life=process_number, **fields)

    def reports_update_done(self) -> bool:
        """Whether its page last reported a rolling update as done."""
        return (self.fleet_page.get("replace") or {}).get("state") == "done"

    def present_members(self) -> set[str]:
        """Returns the members that its last view holds alive."""
        return {name for name, (state, _) in (self.view or {}).items() if state == "alive"}

    def record_usage(self) -> None:
        """Records what its process costs, and what its fleet has sent."""
        if self.process is None or not self.process.running:
            return
        cpu, memory = self.process.usage()
        page = self.fleet_page
        self.fleet.record(
            "sample",
            node=self.name,
            life=self.process_number,
            cpu_s=round(cpu, 3),
            memory_mb=round(memory, 2),
            sent=sum(page.get("sent", {}).values()),
            bytes_out=page.get("bytes_out", 0),
            refused=page.get("refused", {}),
            late_ticks=page.get("late_ticks", 0),
        )

    def close(self) -> None:
        """Closes the connections to its pages."""
        self.view_pool.close()
        self.command_pool.close()
