"""Tokens of leases when wall clocks are stepped, processes restart, and voters lose their state."""

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
from balancer.fleet.leases.vote_store import CEILING_MARGIN_TOKENS, VoteStore
from balancer.fleet.leases.voter import Voter
from workbench.explore.faults import Fault, FaultType
from workbench.explore.lease_network import LeaseNetwork

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
VOTERS = Electorate(("a", "b", "c"))
# Time from which a voter that started at 0 votes.
ABSTENTION_END = granted_duration(SETTINGS.max_lease)
STEPS_S = [-3600, -5, 5, 3600]
UNIX_MS = 1_700_000_000_000


def request_message(token: int, sender: str = "x", lease: str = "d", seq: int = 1) -> LeaseMessage:
    return LeaseMessage(LeaseKind.REQUEST, sender, 1, lease, seq, token, VOTERS.digest, SETTINGS.lease)


def answer_of(voter: Voter, now: int, message: LeaseMessage) -> tuple[LeaseKind, DenialReason, int]:
    ((_, answer),) = voter.received(now, message)
    return answer.kind, answer.reason, answer.token


# ---- Steps of the wall clock of a running process ---------------------------------------------------------


class SteppedRuntime(SimpleNamespace):
    """The parts of the runtime that the component uses, with clocks that the test sets."""

    def __init__(self) -> None:
        super().__init__(
            config=SimpleNamespace(
                name="x", lease=3 * SEC, max_lease=10 * SEC, voters=VOTERS.voters, old_voters=(), votes=None
            ),
            log=SimpleNamespace(line=lambda text: None),
            membership=SimpleNamespace(local_claim=SimpleNamespace(incarnation=1)),
            rng=Random(1),
        )
        self.time = 50 * SEC
        self.step = 0

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return UNIX_MS * 1000 + self.time + self.step


def requested_token(component: LeaseComponent, now: int) -> int:
    """Return the token of the only request that is sent for a script."""
    _, (sent,) = component.handle_external_request(now, "d", "script", release=False)
    assert isinstance(sent.message, LeaseMessage)
    return sent.message.token


@pytest.mark.parametrize("step", STEPS_S)
def test_wall_clock_step_does_not_change_running_process_tokens(step: int) -> None:
    runtime = SteppedRuntime()
    component = LeaseComponent(cast(Runtime, runtime))
    component.open()
    runtime.step = step * SEC
    runtime.time += 7 * SEC
    assert requested_token(component, runtime.time) == UNIX_MS + 57_000


@pytest.mark.parametrize("step", STEPS_S)
def test_new_incarnation_takes_tokens_from_current_wall_clock(step: int) -> None:
    runtime = SteppedRuntime()
    component = LeaseComponent(cast(Runtime, runtime))
    component.open()
    runtime.step = step * SEC
    component.open()
    assert requested_token(component, runtime.time) == UNIX_MS + 50_000 + step * 1000


def test_wall_clock_before_1970_gives_encodable_token() -> None:
    runtime = SteppedRuntime()
    runtime.step = -2 * UNIX_MS * 1000
    component = LeaseComponent(cast(Runtime, runtime))
    component.open()
    assert requested_token(component, runtime.time) == 1


# ---- Voters that keep their state -------------------------------------------------------------------------


class Group:
    """Voters, and successive clients that each have their own wall clock."""

    def __init__(self, folder: Path | None = None) -> None:
        """Start the voters; `folder` contains their vote files, None if votes are not stored."""
        self.now = 0
        self.folder = folder
        self.log: list[str] = []
        self.restart()

    def restart(self) -> None:
        """Restart all voters from their vote files, and advance the time until they vote."""
        self.voters = {name: self.voter(name) for name in VOTERS.voters}
        self.now += ABSTENTION_END

    def voter(self, name: str) -> Voter:
        if self.folder is None:
            return Voter(name, 1, [VOTERS], SETTINGS, self.now)
        store = VoteStore(self.folder / f"{name}.votes", name, self.log.append)
        return Voter(name, 1, [VOTERS], SETTINGS, self.now, store.open(), store.raise_ceiling)

    def token_of_new_holder(self, name: str, wall_ms: int) -> int:
        """Return the token under which a new process acquires the lease, within two seconds."""
        client = LeaseClient(name, 1, [VOTERS], SETTINGS, Random(name), lambda: wall_ms)
        client.acquire(self.now, "d")
        end = self.now + 2 * SEC
        while client.held_token(self.now, "d") is None:
            due = client.deadline()
            assert due is not None and due <= end
            self.now = max(self.now, due)
            self.deliver(client, client.tick(self.now))
        token = client.held_token(self.now, "d")
        assert token is not None
        self.deliver(client, client.release(self.now, "d"))
        return token

    def deliver(self, client: LeaseClient, outgoing: list[OutgoingLeaseMessage]) -> None:
        while outgoing:
            to, message = outgoing.pop(0)
            for name, answer in self.voters[to].received(self.now, message):
                if name == client.name:
                    outgoing += client.received(self.now, answer)


@pytest.mark.parametrize("step", STEPS_S)
def test_successive_holders_get_rising_tokens_under_clock_steps(step: int) -> None:
    """Clients with correct and stepped clocks alternate, and each soon gets a token above the last one."""
    group = Group()
    tokens = [
        group.token_of_new_holder(f"x{i}", UNIX_MS + i + 1000 * s)
        for i, s in enumerate((0, step, 0, step, 0))
    ]
    assert tokens == sorted(set(tokens))
    assert tokens[-1] <= UNIX_MS + max(0, 1000 * step) + 5


@pytest.mark.parametrize("step", STEPS_S)
def test_stored_tokens_rise_over_full_restarts_with_clock_steps(tmp_path: Path, step: int) -> None:
    group = Group(tmp_path)
    tokens = []
    for i, wall_ms in enumerate((UNIX_MS, UNIX_MS + 1000 * step, UNIX_MS, UNIX_MS + 1000 * step)):
        tokens.append(group.token_of_new_holder(f"x{i}", wall_ms))
        group.restart()
    assert tokens == sorted(set(tokens)) and group.log == []
    assert tokens[-1] <= UNIX_MS + 1000 * max(0, step) + 4 * CEILING_MARGIN_TOKENS


def test_diskless_full_restart_with_clock_set_back_lowers_token() -> None:
    """Without disks, nothing remembers the last token after a full restart (a limit in docs/leases.md).

    Tokens exceed it again once Unix time has passed the last token.
    """
    group = Group()
    last = group.token_of_new_holder("x", UNIX_MS)
    group.restart()
    assert group.token_of_new_holder("y", UNIX_MS - 3_600_000) < last
    assert group.token_of_new_holder("z", UNIX_MS + 60_000) > last


# ---- Voters that all lose their state ---------------------------------------------------------------------


def test_abstaining_voter_remembers_requested_tokens() -> None:
    voter = Voter("a", 1, [VOTERS], SETTINGS, 0)
    assert answer_of(voter, 1, request_message(5000))[1] == DenialReason.ABSTAINS
    assert answer_of(voter, ABSTENTION_END, request_message(1000, "y")) == (
        LeaseKind.DENY,
        DenialReason.OLD,
        4999,
    )
    # The holder renews its lease.
    assert answer_of(voter, ABSTENTION_END, request_message(5000))[0] == LeaseKind.GRANT
    assert answer_of(voter, ABSTENTION_END, request_message(1000, "y", lease="e"))[0] == LeaseKind.GRANT


def test_voter_reports_remembered_token_after_abstaining() -> None:
    voter = Voter("a", 1, [VOTERS], SETTINGS, 0)
    voter.received(1, request_message(5000))
    ((_, answer),) = voter.received(ABSTENTION_END, LeaseMessage(LeaseKind.RECALL, "b", 2))
    assert answer.token == 4999


def test_leases_requested_during_abstention_are_bounded() -> None:
    """Requests with arbitrary lease names neither exhaust the voter's memory nor raise its floor."""
    settings = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC, max_leases=3)
    voter = Voter("a", 1, [VOTERS], settings, 0)
    for i in range(10):
        voter.received(1, request_message(5000 + i, lease=f"unknown-{i}"))
    assert len(voter.leases) == 3 and voter.floor == 0


@pytest.mark.parametrize(
    "restarts",
    [(), ("a0",), ("a1",)],
    ids=["voters-restart", "voters-and-a0-restart", "voters-and-a1-restart"],
)
@pytest.mark.parametrize(
    "stepped", [("a0",), ("a1",), ("v0", "v1", "v2")], ids=["a0-stepped", "a1-stepped", "voters-stepped"]
)
@pytest.mark.parametrize("step", STEPS_S)
def test_one_client_keeps_tokens_rising_after_all_voters_restart(
    step: int, stepped: tuple[str, ...], restarts: tuple[str, ...]
) -> None:
    """All voters restart while some clocks are stepped, and no action is rejected for its old token.

    A client that keeps running requests a token above its last one, which the abstaining voters remember.
    """
    voters = ("v0", "v1", "v2")
    faults = [
        Fault(FaultType.STEP, 9 * SEC, SEC, stepped, amount=step),
        Fault(FaultType.KILL, 10 * SEC, SEC // 10, (*voters, *restarts)),
    ]
    for seed in range(6):
        trace = LeaseNetwork(seed, faults=faults, voters=3, clients=2).play()
        assert not trace.violations and trace.holders >= 2
        assert trace.late_acts == 0, f"seed {seed}"
