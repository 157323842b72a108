"""A voter: grants and denials, bounds of its state, and its vote store over two incarnations."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from lease_support import (
    ABSTENTION_END,
    SEC,
    SETTINGS,
    START,
    THREE_VOTERS,
    only_response,
    release_message,
    request_message,
    voter_a,
)

from balancer.fleet.leases import vote_store
from balancer.fleet.leases.ceiling import TokenRange
from balancer.fleet.leases.settings import (
    CLOCK_DRIFT_DIVISOR,
    Electorate,
    LeaseSettings,
    granted_duration,
    held_duration,
)
from balancer.fleet.leases.voter import Voter

GRANT, DENY = "GRANT", "DENY"


@pytest.mark.parametrize(
    "steps",  # Microseconds after the voter's abstention, received message, expected answer.
    [
        [(-1, request_message(5), (DENY, "ABSTAINS", 0)), (0, request_message(5), (GRANT, "NONE", 5))],
        [(0, request_message(5), (GRANT, "NONE", 5)), (1, request_message(9, "y"), (DENY, "HELD", 5))],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (granted_duration(SETTINGS.lease) - 1, request_message(9, "y"), (DENY, "HELD", 5)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (granted_duration(SETTINGS.lease), request_message(9, "y"), (GRANT, "NONE", 9)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (granted_duration(SETTINGS.lease), request_message(5, "y"), (DENY, "OLD", 5)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (SEC, request_message(5), (GRANT, "NONE", 5)),
            (2 * SEC, request_message(4), (DENY, "OLD", 5)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, request_message(6, incarnation=2), (DENY, "HELD", 5)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, release_message(5, "y"), None),
            (2, request_message(6, "y"), (DENY, "HELD", 5)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, release_message(5), None),
            (2, request_message(6, "y"), (GRANT, "NONE", 6)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, release_message(5), None),
            (2, request_message(5), (DENY, "OLD", 5)),
        ],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, release_message(4), None),
            (2, request_message(6, "y"), (DENY, "HELD", 5)),
        ],
        [
            (0, release_message(5), None),
            (1, request_message(5), (DENY, "OLD", 0)),
            (2, request_message(5, "y"), (GRANT, "NONE", 5)),
        ],
        [
            (0, release_message(5), None),
            (1, request_message(6), (GRANT, "NONE", 6)),
            (2, request_message(6), (GRANT, "NONE", 6)),
        ],
        [(0, release_message(5), None), (1, request_message(5, incarnation=2), (GRANT, "NONE", 5))],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, release_message(7, "y"), None),
            (2, request_message(5), (GRANT, "NONE", 5)),
        ]
        + [(granted_duration(SETTINGS.lease) + 2, request_message(7, "y"), (DENY, "OLD", 5))],
        [(0, request_message(5, of=Electorate(("a", "b", "x"))), (DENY, "ELECTORATE", 0))],
        [(0, request_message(5, duration=SETTINGS.max_lease + 1), (DENY, "LENGTH", 0))],
        [
            (0, request_message(5), (GRANT, "NONE", 5)),
            (1, request_message(3, "y", lease="e"), (GRANT, "NONE", 3)),
        ],
    ],
)
def test_voter_answers_by_holder_token_and_time(steps: Any) -> None:
    v = voter_a()
    for at, message, answer in steps:
        out = v.received(ABSTENTION_END + at, message)
        assert (only_response(out) if answer else out) == (answer or [])


def test_remembered_early_releases_are_bounded() -> None:
    """The oldest release is dropped; if its request arrives even later, it is granted."""
    v = voter_a()
    for i in range(SETTINGS.max_waiters + 1):
        assert v.received(ABSTENTION_END, release_message(5, f"y{i}")) == []
    assert only_response(v.received(ABSTENTION_END, request_message(5, "y1"))) == (DENY, "OLD", 0)
    assert only_response(v.received(ABSTENTION_END, request_message(5, "y0"))) == (GRANT, "NONE", 5)
    assert len(v.leases["d"].early_releases) == 0


def test_grant_outlasts_held_lease_under_clock_drift() -> None:
    slow, fast = 1 - 1 / CLOCK_DRIFT_DIVISOR, 1 + 1 / CLOCK_DRIFT_DIVISOR
    for lease in (200_000, 3 * SEC, 600 * SEC):
        held = held_duration(lease)
        assert held / slow < granted_duration(lease) / fast
        assert held / slow < granted_duration(lease) / slow and held > 0.97 * lease


def test_release_notifies_bounded_number_of_denied_clients() -> None:
    v = voter_a()
    v.received(ABSTENTION_END, request_message(5))
    for i in range(SETTINGS.max_waiters + 3):
        v.received(ABSTENTION_END + 1, request_message(6, f"y{i}", seq=40 + i))
    notifications = v.received(ABSTENTION_END + 2, release_message(5))
    assert [(to, m.kind.name, m.seq) for to, m in notifications] == [
        (f"y{i}", "AVAILABLE", 40 + i) for i in range(SETTINGS.max_waiters)
    ]


def test_evicted_lease_leaves_its_token_as_floor() -> None:
    """The number of leases is bounded, so that arbitrary names do not exhaust memory.

    An evicted lease raises the floor, so that its token cannot be granted again.
    """
    v = voter_a(LeaseSettings(lease=3 * SEC, max_lease=10 * SEC, max_leases=3))
    for i in range(3):
        v.received(ABSTENTION_END, request_message(50 + i, lease=f"d{i}"))
    assert only_response(v.received(ABSTENTION_END + 1, request_message(99, lease="e")))[:2] == (DENY, "FULL")
    late = ABSTENTION_END + granted_duration(SETTINGS.lease)
    assert only_response(v.received(late, request_message(50, "y", lease="e"))) == (DENY, "OLD", 50)
    assert only_response(v.received(late, request_message(51, "y", lease="e"))) == (GRANT, "NONE", 51)
    assert len(v.leases) == 3


def test_restarted_voter_recalls_tokens_from_other_voters() -> None:
    v, b, c = (
        voter_a(),
        Voter("b", 1, [THREE_VOTERS], SETTINGS, 0),
        Voter("c", 1, [THREE_VOTERS], SETTINGS, 0),
    )
    b.received(START, request_message(70))
    recalls = v.tick(START)
    assert [(to, m.kind.name) for to, m in recalls] == [("b", "RECALL"), ("c", "RECALL")]
    assert v.tick(START + 1) == [] and not v.has_recovered()
    for other in (b, c):
        for _, m in other.received(START + 1, recalls[0][1]):
            v.received(START + 2, m)
    assert v.has_recovered() and v.deadline() is None
    assert only_response(v.received(ABSTENTION_END, request_message(70, "y"))) == (DENY, "OLD", 70)
    assert only_response(v.received(ABSTENTION_END, request_message(71, "y"))) == (GRANT, "NONE", 71)


def test_stored_ceiling_is_floor_of_next_incarnation(tmp_path: Path) -> None:
    path = tmp_path / "a.votes"
    stored_tokens = []

    def raise_ceiling(token: int) -> TokenRange:
        stored_tokens.append(token)
        return vote_store.VoteStore(path, "a", print).raise_ceiling(token)

    v = voter_a(floor=vote_store.load(path, "a"), raise_ceiling=raise_ceiling)
    for i in range(100):
        v.received(ABSTENTION_END + i, request_message(500 + i))
    # The ceiling is above the token, so that not every grant waits for the disk.
    assert stored_tokens == [500]
    restarted = voter_a(floor=vote_store.load(path, "a"), raise_ceiling=raise_ceiling)
    assert only_response(restarted.received(ABSTENTION_END, request_message(600, "y"))) == (
        DENY,
        "OLD",
        500 + vote_store.CEILING_MARGIN_TOKENS,
    )
    assert (
        only_response(
            restarted.received(ABSTENTION_END, request_message(501 + vote_store.CEILING_MARGIN_TOKENS, "y"))
        )[0]
        == GRANT
    )


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (lambda d: d[:-9], "torn or changed"),
        (lambda d: d.replace(b"500", b"900"), "torn or changed"),
        (lambda d: b"", "torn or changed"),
        (lambda d: b"\x00" * 80, "torn or changed"),
        (lambda d: b"a poem\n" + vote_store.checksum(b"a poem"), "not a vote file"),
    ],
)
def test_damaged_and_foreign_vote_files_are_rejected(
    tmp_path: Path, change: Callable[[bytes], bytes], message: str
) -> None:
    path = tmp_path / "a.votes"
    vote_store.save(path, "a", 500)
    assert vote_store.load(path, "a") == 500
    with pytest.raises(vote_store.VoteStoreError, match="has the votes of a, not of b"):
        vote_store.load(path, "b")
    path.write_bytes(change(path.read_bytes()))
    with pytest.raises(vote_store.VoteStoreError, match=message):
        vote_store.load(path, "a")
