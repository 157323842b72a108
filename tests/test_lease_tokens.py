"""Tokens of leases while wall clocks step, on running and restarting processes, and where voters forget."""

from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import cast

import pytest

from balancer.fleet.component import Runtime
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.component import LeaseComponent
from balancer.fleet.leases.messages import DenialReason, LeaseKind, LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings, granted_duration
from balancer.fleet.leases.vote_store import CEILING_MARGIN, VoteStore
from balancer.fleet.leases.voter import Voter
from workbench.explore.faults import Fault, FaultType
from workbench.explore.lease_network import LeaseNetwork

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
VOTERS = Electorate(("a", "b", "c"))
ABLE = granted_duration(SETTINGS.max_lease)  # when a voter that started at 0 votes
STEPS = [-3600, -5, 5, 3600]  # seconds
UNIX = 1_700_000_000_000  # milliseconds


def question(number: int, sender: str = "x", lease: str = "d", seq: int = 1) -> LeaseMessage:
    return LeaseMessage(LeaseKind.REQUEST, sender, 1, lease, seq, number, VOTERS.digest, SETTINGS.lease)


def answer_of(voter: Voter, now: int, message: LeaseMessage) -> tuple[LeaseKind, DenialReason, int]:
    ((_, answer),) = voter.received(now, message)
    return answer.kind, answer.reason, answer.token


# ---- a wall clock that steps under a running process ------------------------------------------------------


class SteppedRuntime(SimpleNamespace):
    """What the component uses of the runtime, with clocks fed by hand."""

    def __init__(self) -> None:
        super().__init__(
            config=SimpleNamespace(
                name="x", lease=3 * SEC, max_lease=10 * SEC, voters=VOTERS.voters, old_voters=(), votes=None
            ),
            log=SimpleNamespace(line=lambda text: None),
            membership=SimpleNamespace(me=SimpleNamespace(incarnation=1)),
            rng=Random(1),
        )
        self.time = 50 * SEC
        self.step = 0

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return UNIX * 1000 + self.time + self.step


def requested_token(component: LeaseComponent, now: int) -> int:
    """The token of the one request that a script leads to."""
    _, (sent,) = component.external_request(now, "d", "script", release=False)
    assert isinstance(sent.message, LeaseMessage)
    return sent.message.token


@pytest.mark.parametrize("step", STEPS)
def test_a_step_under_a_running_process_does_not_move_its_numbers(step: int) -> None:
    runtime = SteppedRuntime()
    component = LeaseComponent(cast(Runtime, runtime))
    component.open()
    runtime.step = step * SEC
    runtime.time += 7 * SEC
    assert requested_token(component, runtime.time) == UNIX + 57_000


@pytest.mark.parametrize("step", STEPS)
def test_a_life_begins_with_the_wall_clock_as_it_stands_then(step: int) -> None:
    runtime = SteppedRuntime()
    component = LeaseComponent(cast(Runtime, runtime))
    component.open()
    runtime.step = step * SEC
    component.open()
    assert requested_token(component, runtime.time) == UNIX + 50_000 + step * 1000


def test_a_wall_clock_before_1970_gives_numbers_that_can_be_sent() -> None:
    runtime = SteppedRuntime()
    runtime.step = -2 * UNIX * 1000
    component = LeaseComponent(cast(Runtime, runtime))
    component.open()
    assert requested_token(component, runtime.time) == 1


# ---- voters that remember ---------------------------------------------------------------------------------


class Group:
    """Voters that live on, and clients that come one after the other, each with a wall clock of its own."""

    def __init__(self, folder: Path | None = None) -> None:
        """`folder`: where voters keep their numbers, if anywhere."""
        self.now = 0
        self.folder = folder
        self.log: list[str] = []
        self.restart()

    def restart(self) -> None:
        """All voters start from what their disks have, and abstain for as long as they have to."""
        self.voters = {name: self.voter(name) for name in VOTERS.voters}
        self.now += ABLE

    def voter(self, name: str) -> Voter:
        if self.folder is None:
            return Voter(name, 1, [VOTERS], SETTINGS, self.now)
        votes = VoteStore(self.folder / f"{name}.votes", name, self.log.append)
        return Voter(name, 1, [VOTERS], SETTINGS, self.now, votes.open(), votes.raise_ceiling)

    def holder(self, name: str, wall: int) -> int:
        """The token under which a new process comes to hold the lease, within two seconds."""
        client = LeaseClient(name, 1, [VOTERS], SETTINGS, Random(name), lambda: wall)
        client.acquire(self.now, "d")
        end = self.now + 2 * SEC
        while client.held_token(self.now, "d") is None:
            due = client.deadline()
            assert due is not None and due <= end
            self.now = max(self.now, due)
            self.carry(client, client.tick(self.now))
        token = client.held_token(self.now, "d")
        assert token is not None
        self.carry(client, client.release(self.now, "d"))
        return token

    def carry(self, client: LeaseClient, out: list[OutgoingLeaseMessage]) -> None:
        while out:
            to, message = out.pop(0)
            for name, answer in self.voters[to].received(self.now, message):
                if name == client.name:
                    out += client.received(self.now, answer)


@pytest.mark.parametrize("step", STEPS)
def test_whoever_comes_next_soon_has_a_higher_token_whatever_its_wall_clock(step: int) -> None:
    """Right, stepped, right again: a step forward is beaten by the next, a step back is soon not refused."""
    group = Group()
    tokens = [group.holder(f"x{i}", UNIX + i + 1000 * s) for i, s in enumerate((0, step, 0, step, 0))]
    assert tokens == sorted(set(tokens))
    assert tokens[-1] <= UNIX + max(0, 1000 * step) + 5


@pytest.mark.parametrize("step", STEPS)
def test_with_disks_tokens_rise_though_all_processes_start_anew_and_all_clocks_are_stepped(
    tmp_path: Path, step: int
) -> None:
    group = Group(tmp_path)
    tokens = []
    for i, wall in enumerate((UNIX, UNIX + 1000 * step, UNIX, UNIX + 1000 * step)):
        tokens.append(group.holder(f"x{i}", wall))
        group.restart()
    assert tokens == sorted(set(tokens)) and group.log == []
    assert tokens[-1] <= UNIX + 1000 * max(0, step) + 4 * CEILING_MARGIN


def test_without_disks_it_stays_impossible_where_all_start_anew_with_clocks_set_back() -> None:
    """What docs/leases.md states: nothing is left that knows the last token. Time mends it."""
    group = Group()
    last = group.holder("x", UNIX)
    group.restart()
    assert group.holder("y", UNIX - 3_600_000) < last
    assert group.holder("z", UNIX + 60_000) > last


# ---- voters that all forget -------------------------------------------------------------------------------


def test_a_voter_that_abstains_remembers_the_numbers_of_those_that_ask() -> None:
    voter = Voter("a", 1, [VOTERS], SETTINGS, 0)
    assert answer_of(voter, 1, question(5000))[1] == DenialReason.ABSTAINS
    assert answer_of(voter, ABLE, question(1000, "y")) == (LeaseKind.DENY, DenialReason.OLD, 4999)
    assert answer_of(voter, ABLE, question(5000))[0] == LeaseKind.GRANT  # what was held is renewed
    assert answer_of(voter, ABLE, question(1000, "y", lease="e"))[0] == LeaseKind.GRANT


def test_a_voter_that_abstains_tells_what_it_remembers_once_it_votes() -> None:
    voter = Voter("a", 1, [VOTERS], SETTINGS, 0)
    voter.received(1, question(5000))
    ((_, memory),) = voter.received(ABLE, LeaseMessage(LeaseKind.RECALL, "b", 2))
    assert memory.token == 4999


def test_names_made_up_while_a_voter_abstains_fill_no_memory_and_raise_no_floor() -> None:
    few = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC, max_leases=3)
    voter = Voter("a", 1, [VOTERS], few, 0)
    for i in range(10):
        voter.received(1, question(5000 + i, lease=f"made-up-{i}"))
    assert len(voter.leases) == 3 and voter.floor == 0


@pytest.mark.parametrize("restarts", [(), ("a0",), ("a1",)], ids=["voters", "and-a0", "and-a1"])
@pytest.mark.parametrize("stepped", [("a0",), ("a1",), ("v0", "v1", "v2")], ids=["a0", "a1", "all-voters"])
@pytest.mark.parametrize("step", STEPS)
def test_when_all_voters_forget_one_client_that_remembers_is_enough(
    step: int, stepped: tuple[str, ...], restarts: tuple[str, ...]
) -> None:
    """No act is refused, at any wall clock of the one that comes back or of the one that stayed."""
    voters = ("v0", "v1", "v2")
    faults = [
        Fault(FaultType.STEP, 9 * SEC, SEC, stepped, amount=step),
        Fault(FaultType.KILL, 10 * SEC, SEC // 10, (*voters, *restarts)),
    ]
    for seed in range(6):
        trace = LeaseNetwork(seed, faults=faults, voters=3, clients=2).play()
        assert not trace.violations and trace.holders >= 2
        assert trace.late_acts == 0, f"seed {seed}"
