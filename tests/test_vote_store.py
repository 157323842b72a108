"""Votes on a disk that fails: each system call and error, kills at every byte, grants meanwhile and after."""

import errno
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import Any, Self, cast

import pytest

from balancer.fleet.config import FleetConfig
from balancer.fleet.leases import vote_store
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import DenialReason, LeaseKind, LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.service import LeaseService
from balancer.fleet.leases.settings import Electorate, LeaseSettings, granted_duration
from balancer.fleet.leases.voter import Voter
from balancer.net.process.log import Log

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
VOTERS = Electorate(("a", "b", "c"))
START = 100 * SEC
ABLE = START + granted_duration(SETTINGS.max_lease)
FIRST = 500  # a number that is granted while the disk works
CEILING = FIRST + vote_store.CEILING_MARGIN
BEYOND = CEILING + 1
LATER = ABLE + SEC

# Each system call of a save, by its turn among the calls of that name: (call, turn).
CALLS = [
    ("open", 1),  # the file
    ("write", 1),
    ("write", 2),  # after a short one
    ("fsync", 1),
    ("close", 1),
    ("rename", 1),
    ("open", 2),  # the folder
    ("fsync", 2),
    ("close", 2),
]
ERRORS = [errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.EACCES, errno.EMFILE, errno.ENOENT]


class FailingDisk:
    """Stands before the system calls of the store: one call fails from its turn on, writes are short."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.fails: dict[str, tuple[int, int]] = {}  # by call: its turn, and the error
        self.turns = dict.fromkeys(("open", "write", "fsync", "close", "rename"), 0)
        self.opened, self.closed = 0, 0
        for call in self.turns:
            monkeypatch.setattr(os, call, self.wrapped(call, getattr(os, call)))

    def wrapped(self, call: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def system_call(*arguments: Any, **named: Any) -> Any:
            self.turns[call] += 1
            turn, error = self.fails.get(call, (0, 0))
            if call == "write":
                arguments = (arguments[0], arguments[1][:20])
            if call == "close":  # Linux releases the descriptor whatever it says
                real(*arguments)
                self.closed += 1
            if turn and self.turns[call] >= turn:
                raise OSError(error, os.strerror(error))
            if call == "close":
                return None
            self.opened += call == "open"
            return real(*arguments, **named)

        return system_call

    def fail(self, call: str, turn: int, error: int) -> None:
        self.turns = dict.fromkeys(self.turns, 0)
        self.fails = {call: (turn, error)}

    def heal(self) -> None:
        self.fails = {}


class VoterWithDisk:
    """One life of a voter over a folder, and its log."""

    def __init__(self, folder: Path, name: str = "a") -> None:
        self.path = Path(folder) / f"{name}.votes"
        self.log: list[str] = []
        self.votes = vote_store.VoteStore(self.path, name, self.log.append)
        self.voter = Voter(name, 1, [VOTERS], SETTINGS, START, self.votes.open(), self.votes.raise_ceiling)

    def ask(
        self, now: int, number: int, sender: str = "x", lease: str = "d"
    ) -> tuple[LeaseKind, DenialReason, int]:
        """The kind, reason and number of the answer."""
        question = LeaseMessage(LeaseKind.REQUEST, sender, 1, lease, 1, number, VOTERS.digest, SETTINGS.lease)
        ((_, answer),) = self.voter.received(now, question)
        return answer.kind, answer.reason, answer.token


GRANTED, ABSTAINS = (LeaseKind.GRANT, DenialReason.NONE), (LeaseKind.DENY, DenialReason.ABSTAINS)


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
@pytest.mark.parametrize(("call", "turn"), CALLS)
def test_a_voter_whose_disk_fails_grants_up_to_its_ceiling_and_says_so_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, turn: int, error: int
) -> None:
    node = VoterWithDisk(tmp_path)
    assert node.ask(ABLE, FIRST)[:2] == GRANTED
    disk = FailingDisk(monkeypatch)
    disk.fail(call, turn, error)
    for i in range(3):
        assert node.ask(ABLE + i * SETTINGS.store_retry_interval, BEYOND + i, lease="e")[:2] == ABSTAINS
    assert node.ask(LATER, FIRST)[:2] == GRANTED  # renewed
    assert node.ask(LATER, CEILING, lease="f")[:2] == GRANTED
    assert len(node.log) == 1 and os.strerror(error) in node.log[0]
    assert disk.opened == disk.closed
    assert vote_store.load(node.path, "a") >= CEILING
    disk.heal()
    assert node.ask(2 * LATER, BEYOND + 3, lease="e")[:2] == GRANTED
    assert node.ask(2 * LATER, 2 * BEYOND + vote_store.CEILING_MARGIN, lease="g")[:2] == GRANTED
    assert len(node.log) == 2 and "again" in node.log[1]
    assert vote_store.load(node.path, "a") >= 2 * BEYOND + vote_store.CEILING_MARGIN


class Group:
    """Three voters with disks and a client of the version before, which knows no word for this."""

    def __init__(self, folder: Path) -> None:
        self.now = ABLE
        self.nodes = {}
        for name in VOTERS.voters:
            (folder / name).mkdir()
            self.nodes[name] = VoterWithDisk(folder / name, name)
        self.wall = FIRST
        self.client = LeaseClient("x", 1, [VOTERS], SETTINGS, Random(1), lambda: self.wall)

    def run(self, seconds: int) -> Self:
        end = self.now + seconds * SEC
        while (due := self.client.deadline()) is not None and due <= end:
            self.now = max(self.now, due)
            self.carry(self.client.tick(self.now))
        self.now = end
        return self

    def carry(self, out: list[OutgoingLeaseMessage]) -> None:
        while out:
            to, message = out.pop(0)
            for _, answer in self.nodes[to].voter.received(self.now, message):
                out += self.client.received(self.now, answer)

    def token(self, lease: str) -> int | None:
        return self.client.held_token(self.now, lease)


@pytest.mark.parametrize(("failing", "held"), [("a", True), ("b", True), ("ab", False), ("abc", False)])
def test_clients_go_on_with_the_others_and_wait_where_a_majority_s_disks_fail(
    tmp_path: Path, failing: str, held: bool
) -> None:
    group = Group(tmp_path)
    group.client.acquire(group.now, "d")
    assert group.run(1).token("d") == FIRST
    for name in failing:
        (tmp_path / name).rename(tmp_path / f"{name} away")
    group.wall = BEYOND
    group.client.acquire(group.now, "e")
    assert (group.run(20).token("e") is not None) is held
    assert group.token("d") == FIRST  # renewed all the while
    for name in failing:
        (tmp_path / f"{name} away").rename(tmp_path / name)
    token = group.run(3).token("e")
    assert token is not None and token >= BEYOND
    assert group.token("d") == FIRST
    for name, node in group.nodes.items():
        assert len(node.log) == (2 if name in failing else 0)


def test_the_part_reads_and_keeps_its_votes_in_the_configured_folder(tmp_path: Path) -> None:
    config = SimpleNamespace(
        name="a", lease=3 * SEC, max_lease=10 * SEC, voters=VOTERS.voters, old_voters=(), votes=tmp_path
    )
    lines: list[str] = []
    service = LeaseService(cast(FleetConfig, config), cast(Log, SimpleNamespace(line=lines.append)))
    vote_store.save(tmp_path / "a.votes", "a", CEILING)
    service.open(1, START, lambda: BEYOND, Random(1))
    question = LeaseMessage(LeaseKind.REQUEST, "x", 1, "d", 1, CEILING, VOTERS.digest, SETTINGS.lease)
    ((_, answer),) = service.received(ABLE, question)
    assert (answer.reason, answer.token) == (DenialReason.OLD, CEILING)
    ((_, answer),) = service.received(ABLE, replace(question, token=BEYOND))
    assert answer.kind == LeaseKind.GRANT and lines == []
    assert vote_store.load(tmp_path / "a.votes", "a") == BEYOND + vote_store.CEILING_MARGIN


def test_a_failing_disk_is_not_tried_at_each_question(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    node = VoterWithDisk(tmp_path)
    disk = FailingDisk(monkeypatch)
    disk.fail("open", 1, errno.EIO)
    for i in range(100):
        assert node.ask(ABLE + i, BEYOND, lease=f"d{i}")[:2] == ABSTAINS
    assert disk.turns["open"] == 1


@pytest.mark.parametrize("error", ERRORS[:2], ids=errno.errorcode.get)
@pytest.mark.parametrize(("call", "turn"), CALLS)
def test_a_life_after_a_failed_write_grants_nothing_that_was_granted_before(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, turn: int, error: int
) -> None:
    node = VoterWithDisk(tmp_path)
    node.ask(ABLE, FIRST)
    disk = FailingDisk(monkeypatch)
    disk.fail(call, turn, error)
    node.ask(ABLE, BEYOND, lease="e")
    node.ask(ABLE, CEILING, lease="f")
    disk.heal()
    again = VoterWithDisk(tmp_path)
    assert again.ask(ABLE, CEILING, "y")[:2] == (LeaseKind.DENY, DenialReason.OLD)
    assert again.ask(ABLE, CEILING, "y", lease="f")[:2] == (LeaseKind.DENY, DenialReason.OLD)
    assert again.log == []


def contents(folder: Path, number: int) -> bytes:
    vote_store.save(folder / "b.votes", "a", number)
    return (folder / "b.votes").read_bytes()


def test_a_kill_at_every_byte_of_a_write_leaves_the_file_before(tmp_path: Path) -> None:
    node = VoterWithDisk(tmp_path)
    node.ask(ABLE, FIRST)
    data = contents(tmp_path, 10 * BEYOND)
    for length in range(len(data) + 1):
        node.path.with_suffix(".part").write_bytes(data[:length])
        again = VoterWithDisk(tmp_path)
        assert again.voter.floor == CEILING and again.log == []
    assert again.ask(ABLE, BEYOND)[:2] == GRANTED  # what was left half done is no hindrance


def test_no_beginning_of_a_file_is_read_as_whole(tmp_path: Path) -> None:
    """A file system that loses the end of a file that was renamed."""
    path = tmp_path / "a.votes"
    data = contents(tmp_path, BEYOND)
    for length in range(len(data) - 1):  # without its last line break it is whole
        path.write_bytes(data[:length])
        with pytest.raises(vote_store.VoteStoreError, match="torn or changed"):
            vote_store.load(path, "a")
        node = VoterWithDisk(tmp_path)
        assert node.voter.floor == 0 and "not trusted" in node.log[0]
        assert node.voter.abstains(ABLE - 1)


@pytest.mark.parametrize(
    "error", [errno.EIO, errno.EACCES, errno.ESTALE, errno.ENFILE], ids=errno.errorcode.get
)
def test_a_file_that_cannot_be_read_at_the_start_is_read_before_it_is_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    VoterWithDisk(tmp_path).ask(ABLE, FIRST)
    real = Path.read_bytes

    def failing(path: Path) -> bytes:
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(Path, "read_bytes", failing)
    node = VoterWithDisk(tmp_path)
    assert node.ask(ABLE, 1)[:2] == ABSTAINS and len(node.log) == 1
    monkeypatch.setattr(Path, "read_bytes", real)
    assert node.ask(LATER, FIRST) == (LeaseKind.DENY, DenialReason.OLD, CEILING)
    assert node.ask(LATER, BEYOND)[:2] == GRANTED
    assert len(node.log) == 2


def test_a_folder_that_is_mounted_late_is_read_before_it_is_written(tmp_path: Path) -> None:
    folder, away = tmp_path / "votes", tmp_path / "away"
    folder.mkdir()
    VoterWithDisk(folder).ask(ABLE, FIRST)
    folder.rename(away)
    node = VoterWithDisk(folder)
    assert node.ask(ABLE, BEYOND)[:2] == ABSTAINS and len(node.log) == 1
    away.rename(folder)
    assert node.ask(LATER, FIRST)[:2] == (LeaseKind.DENY, DenialReason.OLD)
    assert node.ask(LATER, BEYOND)[:2] == GRANTED


def test_a_file_written_before_is_read_byte_for_byte(tmp_path: Path) -> None:
    path = tmp_path / "a.votes"
    path.write_bytes(b"brackenladder votes 1\na\n60500\n" + OLD_CHECKSUM + b"\n")
    assert vote_store.load(path, "a") == CEILING
    assert contents(tmp_path, CEILING) == path.read_bytes()


OLD_CHECKSUM = b"1c45cdeda7d1c6326e53fdffe478e5fe"
