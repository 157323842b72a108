"""One node of a lab: its successive processes, signals to them, and the content of its status pages."""

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
from workbench.lab.earlier import unpacked_package
from workbench.lab.management import READY_POLL_S, fetch
from workbench.lab.node_configuration import FleetSettings, node_configuration
from workbench.lab.plan import Plan, drawn_value
from workbench.lab.process import STATS_MARK, Process, command
from workbench.lab.process_history import ENDING_SUFFIX

# Kinds of faulty nodes that run an unchanged program.
KINDS_WITHOUT_CODE_CHANGE = ("wrong_key", "earlier", "other_list")
READY_TIMEOUT_S = 1.0
VIEW_TIMEOUT_S = 2.0
LEASE_TIMEOUT_S = 1.0
HTTP_OK = 200

# The names of signals in a history.
SIGNAL_NAMES = {
    signal.SIGKILL: "kill",
    signal.SIGTERM: "term",
    signal.SIGSTOP: "stop",
    signal.SIGCONT: "cont",
}


class MemberFleet(Protocol):
    """The interface of the fleet that a member uses."""

    @property
    def plan(self) -> Plan:
        """The plan of the run."""

    @property
    def site(self) -> Site:
        """The emulated site with the nodes."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""

    @property
    def folder(self) -> Path:
        """The directory that contains the members' directories."""

    @property
    def earlier_folder(self) -> Path:
        """The directory of the earlier revision's package, if a member runs one."""

    @property
    def stopping(self) -> bool:
        """Whether the run is over and all processes are being stopped."""

    def record(self, event: str, **fields: Any) -> None:
        """Write one event to the history."""

    def on_unexpected_exit(self, member: Member) -> None:
        """Handle a process that exited without being asked to."""


class Member:
    """One node of the lab and its successive processes.

    Args:
        fleet: The fleet that it belongs to.
        node: Its adapter in the emulated site.
        fault_kind: Its kind of fault as the plan names it; "" for a correct node.

    Attributes:
        clock_offset: Milliseconds by which its wall clock is off.
        own_incarnation: The incarnation number that it last reported of itself.
    """

    def __init__(self, fleet: MemberFleet, node: NodeAdapter, fault_kind: str) -> None:
        self.fleet = fleet
        self.node = node
        self.name = node.name
        self.fault_kind = fault_kind
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.clock_file = self.folder / "clock"
        self.clock_offset = 0
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
        self.is_polling_view = self.is_requesting_lease = False
        self.view: dict[str, list[Any]] | None = None
        self.own_incarnation = 0
        self.zone_summaries: dict[str, list[Any]] = {}
        self.fleet_page: dict[str, Any] = {}
        names, count = [n.name for n in fleet.site.nodes], int(drawn_value(fleet.plan.voters))
        self.voters = names[-count:] if fault_kind == "other_list" else names[:count]
        self.old_voters: list[str] = []

    @property
    def running(self) -> bool:
        """Whether a process of the node is running."""
        return self.process is not None and self.process.running

    def last_line(self) -> str:
        """Return the last line that the node's process logged."""
        return self.process.last_line() if self.process else "it logged nothing"

    # ---- processes ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Start a new process unless one is running."""
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
        """Start the node's program with the current configuration."""
        fleet = self.fleet
        revision_folder = fleet.earlier_folder if self.fault_kind == "earlier" else None
        package = unpacked_package(revision_folder) if revision_folder else NODE_PACKAGE
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
            command(kind, self.stepped_clock_file(), package),
            self.folder / "config.json",
            node_configuration(fleet.site, fleet.plan, self.node, settings),
            self.on_log_line,
            self.on_exit,
            revision_folder,
        )

    def step_clock(self, milliseconds: int) -> None:
        """Step the wall clock of the running process and of all later processes of the node."""
        self.clock_offset += milliseconds
        self.clock_file.write_text(str(self.clock_offset))
        self.fleet.record("clock", node=self.name, life=self.process_number, offset_ms=self.clock_offset)

    def stepped_clock_file(self) -> Path | None:
        """Return the file that holds the clock's offset, or None if a process starts with a correct clock."""
        stepped = self.clock_offset != 0 and self.fault_kind != "earlier"
        return self.clock_file if stepped else None

    def on_log_line(self, text: str) -> None:
        """Record a log line of the process; one that announces its shutdown drains the node in the front."""
        if STATS_MARK not in text:
            self.fleet.record("log", node=self.name, text=text)
        # A node that shuts down fails its readiness checks from now on.
        if text.endswith(ENDING_SUFFIX) and not self.stop_requested:
            self.fleet.site.world.front.node_draining(self.node)

    def on_exit(self, status: int) -> None:
        """Record that the process has exited; a supervised one that exited with status 0 is started again."""
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
        """Poll the process until it is ready, and then add the node to the front."""
        fleet, site = self.fleet, self.fleet.site
        pool = ConnectionPool(fleet.loop, site.addresses.node_host(self.node.index), CLIENT_PORT)
        while self.process_number == process_number and self.running:
            response = await fetch(fleet.loop, pool, b"/ready", READY_TIMEOUT_S)
            if response is not None and response.status == HTTP_OK:
                self.node.up = self.node.ready = True
                site.clock.catch_up()
                site.world.front.node_ready(self.node)
                fleet.record("process", node=self.name, what="ready", life=process_number)
                self.ready.set()
                break
            await asyncio.sleep(READY_POLL_S)
        pool.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process and record it; do nothing if none is running."""
        if self.process is None or not self.process.running:
            return
        self.stop_requested = self.stop_requested or number in (signal.SIGKILL, signal.SIGTERM)
        self.fleet.record("process", node=self.name, what=SIGNAL_NAMES[number], life=self.process_number)
        if number == signal.SIGTERM:
            self.fleet.site.world.front.node_draining(self.node)
        self.process.signal(number)

    # ---- status pages ------------------------------------------------------------------------

    async def poll_view(self) -> None:
        """Request the node's view of its fleet and record it if it has changed."""
        if self.is_polling_view or not self.running or self.process is None or self.process.paused:
            return
        self.is_polling_view = True
        process_number = self.process_number
        response = await fetch(self.fleet.loop, self.view_pool, b"/fleet", VIEW_TIMEOUT_S)
        self.is_polling_view = False
        if response is None or response.status != HTTP_OK or process_number != self.process_number:
            return
        self.fleet_page = msgspec.json.decode(response.body)
        self.record_view(self.fleet_page)
        self.record_zone_summaries(self.fleet_page)

    def record_view(self, page: dict[str, Any]) -> None:
        """Record the members on a page if they or the node's own incarnation number have changed."""
        view = {m["name"]: [m["state"], m["incarnation"]] for m in page["members"]}
        own = page["incarnation"]
        if (view, own) != (self.view, self.own_incarnation):
            self.view, self.own_incarnation = view, own
            self.fleet.record("view", node=self.name, life=self.process_number, own=own, members=view)

    def record_zone_summaries(self, page: dict[str, Any]) -> None:
        """Record the state and size of the other zones on a page if they have changed."""
        zones = (page.get("regions") or {}).get("zones", {})
        summaries = {zone: [z["state"], z["size"]] for zone, z in zones.items()}
        if summaries != self.zone_summaries:
            self.zone_summaries = summaries
            self.fleet.record("summaries", node=self.name, life=self.process_number, zones=summaries)

    async def request_lease(self) -> None:
        """Request the lab's lease from the process, as a script would, and record a lease that it holds."""
        if self.is_requesting_lease or not self.running or self.process is None:
            return
        self.is_requesting_lease = True
        process_number, requested_at = self.process_number, self.fleet.site.clock.real_time()
        path = b"/fleet/hold?duty=lab&script=%b" % self.name.encode()
        response = await fetch(self.fleet.loop, self.command_pool, path, LEASE_TIMEOUT_S, b"PUT")
        self.is_requesting_lease = False
        if response is not None and response.status == HTTP_OK:
            self.record_lease(response, process_number, requested_at)

    def record_lease(self, response: Response, process_number: int, requested_at: int) -> None:
        """Record a lease that a process holds, unless it has expired already.

        The remaining time is counted from the request, the earliest time at which it can have been measured.
        """
        lease = msgspec.json.decode(response.body)
        if not lease["held"]:
            return
        until = requested_at + lease["left_us"]
        now = self.fleet.site.clock.real_time()
        if until > now:
            fields = {"asked": requested_at, "answered": now, "until": until, "token": lease["token"]}
            self.fleet.record("duty", node=self.name, life=process_number, **fields)

    def reports_update_done(self) -> bool:
        """Return whether the node's page last reported a rolling update as done."""
        return (self.fleet_page.get("replace") or {}).get("state") == "done"

    def present_members(self) -> set[str]:
        """Return the members that are alive in the node's last view."""
        return {name for name, (state, _) in (self.view or {}).items() if state == "alive"}

    def record_usage(self) -> None:
        """Record the resource usage of the process and the traffic of its fleet component."""
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
        """Close the connections to the node's management address."""
        self.view_pool.close()
        self.command_pool.close()
