"""The vote store on a failing disk: errors of each system call, interrupted writes, and resulting grants."""

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
ABSTENTION_END = START + granted_duration(SETTINGS.max_lease)
FIRST_TOKEN = 500  # Token that is granted while the disk works.
CEILING = FIRST_TOKEN + vote_store.CEILING_MARGIN_TOKENS
ABOVE_CEILING = CEILING + 1
AFTER_RETRY = ABSTENTION_END + SEC

# The system calls of a save, each with its position among the calls of that name.
CALLS = [
    ("open", 1),  # Open the file.
    ("write", 1),
    ("write", 2),  # Write the rest after a short write.
    ("fsync", 1),
    ("close", 1),
    ("rename", 1),
    ("open", 2),  # Open the folder.
    ("fsync", 2),
    ("close", 2),
]
ERRORS = [errno.ENOSPC, errno.EIO, errno.EDQUOT, errno.EROFS, errno.EACCES, errno.EMFILE, errno.ENOENT]


class FailingDisk:
    """Wraps the system calls of the vote store: one fails from a given position on, and writes are short."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.failures: dict[str, tuple[int, int]] = {}  # Position and error number, by call.
        self.call_counts = dict.fromkeys(("open", "write", "fsync", "close", "rename"), 0)
        self.open_count, self.close_count = 0, 0
        for call in self.call_counts:
            monkeypatch.setattr(os, call, self.wrapped(call, getattr(os, call)))

    def wrapped(self, call: str, real: Callable[..., Any]) -> Callable[..., Any]:
        def system_call(*arguments: Any, **keywords: Any) -> Any:
            self.call_counts[call] += 1
            position, error = self.failures.get(call, (0, 0))
            if call == "write":
                arguments = (arguments[0], arguments[1][:20])
            if call == "close":  # Linux releases the descriptor even if closing fails.
                real(*arguments)
                self.close_count += 1
            if position and self.call_counts[call] >= position:
                raise OSError(error, os.strerror(error))
            if call == "close":
                return None
            self.open_count += call == "open"
            return real(*arguments, **keywords)

        return system_call

    def fail(self, call: str, position: int, error: int) -> None:
        self.call_counts = dict.fromkeys(self.call_counts, 0)
        self.failures = {call: (position, error)}

    def repair(self) -> None:
        self.failures = {}


class VoterWithDisk:
    """One incarnation of a voter with a vote file in a folder, and its log."""

    def __init__(self, folder: Path, name: str = "a") -> None:
        self.path = Path(folder) / f"{name}.votes"
        self.log: list[str] = []
        self.store = vote_store.VoteStore(self.path, name, self.log.append)
        self.voter = Voter(name, 1, [VOTERS], SETTINGS, START, self.store.open(), self.store.raise_ceiling)

    def request(
        self, now: int, token: int, sender: str = "x", lease: str = "d"
    ) -> tuple[LeaseKind, DenialReason, int]:
        """Return the kind, reason and token of the answer to a request."""
        message = LeaseMessage(LeaseKind.REQUEST, sender, 1, lease, 1, token, VOTERS.digest, SETTINGS.lease)
        ((_, answer),) = self.voter.received(now, message)
        return answer.kind, answer.reason, answer.token


GRANTED, ABSTAINS = (LeaseKind.GRANT, DenialReason.NONE), (LeaseKind.DENY, DenialReason.ABSTAINS)


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
@pytest.mark.parametrize(("call", "position"), CALLS)
def test_voter_with_failing_disk_grants_up_to_ceiling(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, position: int, error: int
) -> None:
    """The voter renews leases and grants tokens up to its stored ceiling, and logs the failure only once."""
    node = VoterWithDisk(tmp_path)
    assert node.request(ABSTENTION_END, FIRST_TOKEN)[:2] == GRANTED
    disk = FailingDisk(monkeypatch)
    disk.fail(call, position, error)
    for i in range(3):
        assert (
            node.request(ABSTENTION_END + i * SETTINGS.store_retry_interval, ABOVE_CEILING + i, lease="e")[:2]
            == ABSTAINS
        )
    assert node.request(AFTER_RETRY, FIRST_TOKEN)[:2] == GRANTED  # The lease is renewed.
    assert node.request(AFTER_RETRY, CEILING, lease="f")[:2] == GRANTED
    assert len(node.log) == 1 and os.strerror(error) in node.log[0]
    assert disk.open_count == disk.close_count
    assert vote_store.load(node.path, "a") >= CEILING
    disk.repair()
    assert node.request(2 * AFTER_RETRY, ABOVE_CEILING + 3, lease="e")[:2] == GRANTED
    assert (
        node.request(2 * AFTER_RETRY, 2 * ABOVE_CEILING + vote_store.CEILING_MARGIN_TOKENS, lease="g")[:2]
        == GRANTED
    )
    assert len(node.log) == 2 and "again" in node.log[1]
    assert vote_store.load(node.path, "a") >= 2 * ABOVE_CEILING + vote_store.CEILING_MARGIN_TOKENS


class Group:
    """Three voters with disks and a client, which sees a failing disk as an abstaining voter."""

    def __init__(self, folder: Path) -> None:
        self.now = ABSTENTION_END
        self.nodes = {}
        for name in VOTERS.voters:
            (folder / name).mkdir()
            self.nodes[name] = VoterWithDisk(folder / name, name)
        self.wall_ms = FIRST_TOKEN
        self.client = LeaseClient("x", 1, [VOTERS], SETTINGS, Random(1), lambda: self.wall_ms)

    def run(self, seconds: int) -> Self:
        end = self.now + seconds * SEC
        while (due := self.client.deadline()) is not None and due <= end:
            self.now = max(self.now, due)
            self.deliver(self.client.tick(self.now))
        self.now = end
        return self

    def deliver(self, outgoing: list[OutgoingLeaseMessage]) -> None:
        while outgoing:
            to, message = outgoing.pop(0)
            for _, answer in self.nodes[to].voter.received(self.now, message):
                outgoing += self.client.received(self.now, answer)

    def token(self, lease: str) -> int | None:
        return self.client.held_token(self.now, lease)


@pytest.mark.parametrize(("failing", "held"), [("a", True), ("b", True), ("ab", False), ("abc", False)])
def test_new_lease_needs_majority_of_voters_with_working_disks(
    tmp_path: Path, failing: str, held: bool
) -> None:
    group = Group(tmp_path)
    group.client.acquire(group.now, "d")
    assert group.run(1).token("d") == FIRST_TOKEN
    for name in failing:
        (tmp_path / name).rename(tmp_path / f"{name} unmounted")
    group.wall_ms = ABOVE_CEILING
    group.client.acquire(group.now, "e")
    assert (group.run(20).token("e") is not None) is held
    assert group.token("d") == FIRST_TOKEN  # The lease has been renewed throughout.
    for name in failing:
        (tmp_path / f"{name} unmounted").rename(tmp_path / name)
    token = group.run(3).token("e")
    assert token is not None and token >= ABOVE_CEILING
    assert group.token("d") == FIRST_TOKEN
    for name, node in group.nodes.items():
        assert len(node.log) == (2 if name in failing else 0)


def test_service_keeps_votes_in_configured_folder(tmp_path: Path) -> None:
    config = SimpleNamespace(
        name="a", lease=3 * SEC, max_lease=10 * SEC, voters=VOTERS.voters, old_voters=(), votes=tmp_path
    )
    lines: list[str] = []
    service = LeaseService(cast(FleetConfig, config), cast(Log, SimpleNamespace(line=lines.append)))
    vote_store.save(tmp_path / "a.votes", "a", CEILING)
    service.open(1, START, lambda: ABOVE_CEILING, Random(1))
    request = LeaseMessage(LeaseKind.REQUEST, "x", 1, "d", 1, CEILING, VOTERS.digest, SETTINGS.lease)
    ((_, answer),) = service.received(ABSTENTION_END, request)
    assert (answer.reason, answer.token) == (DenialReason.OLD, CEILING)
    ((_, answer),) = service.received(ABSTENTION_END, replace(request, token=ABOVE_CEILING))
    assert answer.kind == LeaseKind.GRANT and lines == []
    assert vote_store.load(tmp_path / "a.votes", "a") == ABOVE_CEILING + vote_store.CEILING_MARGIN_TOKENS


def test_failing_disk_is_not_retried_at_each_request(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    node = VoterWithDisk(tmp_path)
    disk = FailingDisk(monkeypatch)
    disk.fail("open", 1, errno.EIO)
    for i in range(100):
        assert node.request(ABSTENTION_END + i, ABOVE_CEILING, lease=f"d{i}")[:2] == ABSTAINS
    assert disk.call_counts["open"] == 1


@pytest.mark.parametrize("error", ERRORS[:2], ids=errno.errorcode.get)
@pytest.mark.parametrize(("call", "position"), CALLS)
def test_incarnation_after_failed_write_denies_granted_tokens(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str, position: int, error: int
) -> None:
    """A token that was granted before a restart is not granted again, whichever system call had failed."""
    node = VoterWithDisk(tmp_path)
    node.request(ABSTENTION_END, FIRST_TOKEN)
    disk = FailingDisk(monkeypatch)
    disk.fail(call, position, error)
    node.request(ABSTENTION_END, ABOVE_CEILING, lease="e")
    node.request(ABSTENTION_END, CEILING, lease="f")
    disk.repair()
    restarted = VoterWithDisk(tmp_path)
    assert restarted.request(ABSTENTION_END, CEILING, "y")[:2] == (LeaseKind.DENY, DenialReason.OLD)
    assert restarted.request(ABSTENTION_END, CEILING, "y", lease="f")[:2] == (
        LeaseKind.DENY,
        DenialReason.OLD,
    )
    assert restarted.log == []


def file_content(folder: Path, token: int) -> bytes:
    vote_store.save(folder / "b.votes", "a", token)
    return (folder / "b.votes").read_bytes()


def test_kill_at_any_byte_of_write_keeps_previous_file(tmp_path: Path) -> None:
    node = VoterWithDisk(tmp_path)
    node.request(ABSTENTION_END, FIRST_TOKEN)
    data = file_content(tmp_path, 10 * ABOVE_CEILING)
    for length in range(len(data) + 1):
        node.path.with_suffix(".part").write_bytes(data[:length])
        restarted = VoterWithDisk(tmp_path)
        assert restarted.voter.floor == CEILING and restarted.log == []
    # The incomplete temporary file has no effect.
    assert restarted.request(ABSTENTION_END, ABOVE_CEILING)[:2] == GRANTED


def test_truncated_vote_file_is_rejected_at_any_length(tmp_path: Path) -> None:
    """A file system may lose the end of a renamed file; any shorter file has to be rejected."""
    path = tmp_path / "a.votes"
    data = file_content(tmp_path, ABOVE_CEILING)
    for length in range(len(data) - 1):  # Only the final line break may be missing.
        path.write_bytes(data[:length])
        with pytest.raises(vote_store.VoteStoreError, match="torn or changed"):
            vote_store.load(path, "a")
        node = VoterWithDisk(tmp_path)
        assert node.voter.floor == 0 and "not trusted" in node.log[0]
        assert node.voter.abstains(ABSTENTION_END - 1)


@pytest.mark.parametrize(
    "error", [errno.EIO, errno.EACCES, errno.ESTALE, errno.ENFILE], ids=errno.errorcode.get
)
def test_unreadable_file_is_read_before_it_is_replaced(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, error: int
) -> None:
    """Overwriting a file that was unreadable only at the start would lose its higher token."""
    VoterWithDisk(tmp_path).request(ABSTENTION_END, FIRST_TOKEN)
    read_bytes = Path.read_bytes

    def fail_to_read(path: Path) -> bytes:
        raise OSError(error, os.strerror(error))

    monkeypatch.setattr(Path, "read_bytes", fail_to_read)
    node = VoterWithDisk(tmp_path)
    assert node.request(ABSTENTION_END, 1)[:2] == ABSTAINS and len(node.log) == 1
    monkeypatch.setattr(Path, "read_bytes", read_bytes)
    assert node.request(AFTER_RETRY, FIRST_TOKEN) == (LeaseKind.DENY, DenialReason.OLD, CEILING)
    assert node.request(AFTER_RETRY, ABOVE_CEILING)[:2] == GRANTED
    assert len(node.log) == 2


def test_late_mounted_folder_is_read_before_it_is_written(tmp_path: Path) -> None:
    folder, unmounted = tmp_path / "votes", tmp_path / "unmounted"
    folder.mkdir()
    VoterWithDisk(folder).request(ABSTENTION_END, FIRST_TOKEN)
    folder.rename(unmounted)
    node = VoterWithDisk(folder)
    assert node.request(ABSTENTION_END, ABOVE_CEILING)[:2] == ABSTAINS and len(node.log) == 1
    unmounted.rename(folder)
    assert node.request(AFTER_RETRY, FIRST_TOKEN)[:2] == (LeaseKind.DENY, DenialReason.OLD)
    assert node.request(AFTER_RETRY, ABOVE_CEILING)[:2] == GRANTED


def test_vote_file_format_is_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "a.votes"
    path.write_bytes(b"brackenladder votes 1\na\n60500\n" + CHECKSUM + b"\n")
    assert vote_store.load(path, "a") == CEILING
    assert file_content(tmp_path, CEILING) == path.read_bytes()


CHECKSUM = b"1c45cdeda7d1c6326e53fdffe478e5fe"
