"""Tests of the lab's clock faults: which clocks they step, and what a node reads that starts with one."""

import asyncio
from time import time_ns
from types import SimpleNamespace

import pytest

from balancer.fleet.clocks import Clocks
from balancer.net.process.event_queue import EventQueue
from workbench.lab import stepped
from workbench.lab.faults import FaultInjector
from workbench.lab.member import Member
from workbench.lab.plan import parse_plan
from workbench.lab.process import command

HOUR_MS = 3_600_000
STEPS = (-HOUR_MS, -5_000, 5_000, HOUR_MS)


class RecordedMember(Member):
    """A member without a process that records the operations on it."""

    def signal(self, number):
        self.fleet.operations.append((self.name, number.name, self.clock_offset))

    def start(self):
        self.fleet.operations.append((self.name, "start", self.clock_offset))
        self.ready.set()


class RecordedFleet:
    """A fleet of recorded members."""

    def __init__(self, folder, loop, fault):
        self.folder = folder
        self.loop = loop
        self.plan = parse_plan({"fault": [{"type": "clock", "nodes": ["n0", "n1"]} | fault]})
        nodes = [SimpleNamespace(name=f"n{i}", index=i, zone=0) for i in range(3)]
        self.site = SimpleNamespace(
            nodes=nodes, addresses=SimpleNamespace(node_host=lambda index: "127.0.0.1")
        )
        self.operations = []
        self.members = [RecordedMember(self, node, "") for node in nodes]

    def record(self, event, **fields):
        if event == "clock":
            self.operations.append((fields["node"], "step", fields["offset_ms"]))

    def clock_offsets(self):
        """Return the clock offset in milliseconds that each node would read from its file."""
        clocks = [Clocks(str(member.clock_file)) for member in self.members]
        for clock in clocks:
            clock.wall()
        return [clock.wall_offset_us // 1000 for clock in clocks]


def inject(folder, **fault):
    """Inject a clock fault into n0 and n1 of three nodes."""

    async def run():
        loop = asyncio.get_running_loop()
        fleet = RecordedFleet(folder, loop, fault | {"for_s": 0.0})
        lab = SimpleNamespace(loop=loop, plan=fleet.plan, fleet=fleet)
        await FaultInjector(lab).inject_clock(fleet.plan.fault[0], ["n0", "n1"])
        return fleet

    return asyncio.run(run())


@pytest.mark.parametrize("step", STEPS)
def test_clock_step_affects_selected_nodes_and_is_undone(tmp_path, step):
    fleet = inject(tmp_path, offset_ms=step, back=False)
    assert fleet.clock_offsets() == [step, step, 0]
    (tmp_path / "again").mkdir()
    fleet = inject(tmp_path / "again", offset_ms=step)
    assert fleet.operations == [
        ("n0", "step", step),
        ("n1", "step", step),
        ("n0", "step", 0),
        ("n1", "step", 0),
    ]
    assert fleet.clock_offsets() == [0, 0, 0]


def test_clock_steps_of_one_node_add_up(tmp_path):
    """Undoing one step must not undo another step that is still active."""
    fleet = inject(tmp_path, offset_ms=5_000, back=False)
    fleet.members[0].step_clock(HOUR_MS)
    fleet.members[0].step_clock(-5_000)
    assert fleet.clock_offsets() == [HOUR_MS, 5_000, 0]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("restart", ["kill", "term"])
def test_clock_fault_with_restart_steps_between_processes(tmp_path, restart, step):
    fleet = inject(tmp_path, offset_ms=step, restart=restart, down_s=0.0, back=False)
    signal = f"SIG{restart.upper()}"
    for name in ("n0", "n1"):
        of_node = [(what, at) for node, what, at in fleet.operations if node == name]
        assert of_node == [(signal, 0), ("step", step), ("start", step)]


def test_command_of_a_stepped_node_passes_its_clock_file(tmp_path):
    fleet = inject(tmp_path, offset_ms=HOUR_MS, back=False)
    stepped_member, other = fleet.members[0], fleet.members[2]
    assert (
        stepped_member.stepped_clock_file() == stepped_member.clock_file
        and other.stepped_clock_file() is None
    )
    arguments = command("mute", stepped_member.stepped_clock_file())[1:]
    assert arguments == ["-m", "workbench.lab.stepped", str(stepped_member.clock_file), "mute"]
    assert command("")[1:] == ["-m", "balancer"]


@pytest.mark.parametrize("step", STEPS)
def test_event_queue_starts_from_the_stepped_time(tmp_path, monkeypatch, step):
    """The event queue dates the starts of servers, so it must see the step as the fleet component does."""
    file = tmp_path / "clock"
    file.write_text(str(step))
    monkeypatch.setattr(EventQueue, "__init__", EventQueue.__init__)
    before = time_ns() // 1000
    stepped.step_start_clock(file)
    start_time = EventQueue(None, None).now()
    assert before <= start_time - step * 1000 <= time_ns() // 1000 + 1
