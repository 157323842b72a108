"""The lab's stepped wall clocks: what a clock fault does to nodes, and what a node that starts so reads."""

import asyncio
from time import time_ns
from types import SimpleNamespace

import pytest

from balancer.fleet.clocks import Clocks
from balancer.net.process.event_queue import EventQueue
from workbench.lab import stepped
from workbench.lab.faults import Faults
from workbench.lab.member import Member
from workbench.lab.plan import plan_of
from workbench.lab.process import command

HOUR_MS = 3_600_000
STEPS = (-HOUR_MS, -5_000, 5_000, HOUR_MS)


class RecordedMember(Member):
    """A member without a process: what is done to it is written down."""

    def signal(self, number):
        self.fleet.done.append((self.name, number.name, self.clock_offset))

    def start(self):
        self.fleet.done.append((self.name, "start", self.clock_offset))
        self.ready.set()


class RecordedFleet:
    """Members and what a lab asks of their fleet."""

    def __init__(self, folder, loop, fault):
        self.folder = folder
        self.loop = loop
        self.plan = plan_of({"fault": [{"type": "clock", "nodes": ["n0", "n1"]} | fault]})
        nodes = [SimpleNamespace(name=f"n{i}", index=i, zone=0) for i in range(3)]
        self.site = SimpleNamespace(
            nodes=nodes, addresses=SimpleNamespace(node_host=lambda index: "127.0.0.1")
        )
        self.done = []
        self.members = [RecordedMember(self, node, "") for node in nodes]

    def record(self, event, **fields):
        if event == "clock":
            self.done.append((fields["node"], "step", fields["offset_ms"]))

    def offsets(self):
        """What each node's own clock would read in its file."""
        clocks = [Clocks(str(member.clock_file)) for member in self.members]
        for clock in clocks:
            clock.wall()
        return [clock.wall_offset_us // 1000 for clock in clocks]


def play(folder, **fault):
    """Plays a clock fault on n0 and n1 out of three nodes."""

    async def played():
        loop = asyncio.get_running_loop()
        fleet = RecordedFleet(folder, loop, fault | {"for_s": 0.0})
        lab = SimpleNamespace(loop=loop, plan=fleet.plan, fleet=fleet)
        await Faults(lab).play_clock(fleet.plan.fault[0], ["n0", "n1"])
        return fleet

    return asyncio.run(played())


@pytest.mark.parametrize("step", STEPS)
def test_a_step_reaches_the_clocks_of_those_chosen_and_is_taken_back(tmp_path, step):
    fleet = play(tmp_path, offset_ms=step, back=False)
    assert fleet.offsets() == [step, step, 0]
    (tmp_path / "again").mkdir()
    fleet = play(tmp_path / "again", offset_ms=step)
    assert fleet.done == [("n0", "step", step), ("n1", "step", step), ("n0", "step", 0), ("n1", "step", 0)]
    assert fleet.offsets() == [0, 0, 0]


def test_steps_of_one_node_add_up(tmp_path):
    """Failure prevented: the end of one step sets a clock right that another step still holds off."""
    fleet = play(tmp_path, offset_ms=5_000, back=False)
    fleet.members[0].step_clock(HOUR_MS)
    fleet.members[0].step_clock(-5_000)
    assert fleet.offsets() == [HOUR_MS, 5_000, 0]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("restart", ["kill", "term"])
def test_a_process_is_ended_then_stepped_then_started(tmp_path, restart, step):
    fleet = play(tmp_path, offset_ms=step, restart=restart, down_s=0.0, back=False)
    signal = f"SIG{restart.upper()}"
    for name in ("n0", "n1"):
        of_node = [(what, at) for node, what, at in fleet.done if node == name]
        assert of_node == [(signal, 0), ("step", step), ("start", step)]


def test_a_life_that_starts_with_a_stepped_clock_is_started_so(tmp_path):
    fleet = play(tmp_path, offset_ms=HOUR_MS, back=False)
    stepped_member, other = fleet.members[0], fleet.members[2]
    assert stepped_member.stepped_clock() == stepped_member.clock_file and other.stepped_clock() is None
    words = command("mute", stepped_member.stepped_clock())[1:]
    assert words == ["-m", "workbench.lab.stepped", str(stepped_member.clock_file), "mute"]
    assert command("")[1:] == ["-m", "balancer"]


@pytest.mark.parametrize("step", STEPS)
def test_the_node_s_own_clock_starts_from_the_stepped_time(tmp_path, monkeypatch, step):
    """Failure prevented: the fleet alone sees the step, and nobody tries how servers' starts are dated."""
    file = tmp_path / "clock"
    file.write_text(str(step))
    monkeypatch.setattr(EventQueue, "__init__", EventQueue.__init__)
    before = time_ns() // 1000
    stepped.step_start_clock(file)
    found = EventQueue(None, None).now()
    assert before <= found - step * 1000 <= time_ns() // 1000 + 1
