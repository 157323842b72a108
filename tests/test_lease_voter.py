"""A voter: what it grants and denies, its memory, its vote store over two incarnations."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from lease_support import (
    ABLE,
    SEC,
    SETTINGS,
    START,
    THREE,
    only_answer,
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
    "steps",  # microseconds after it may vote, what comes, what it says
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
def test_what_a_voter_grants_and_denies(steps: Any) -> None:
    v = voter_a()
    for at, message, answer in steps:
        out = v.received(ABLE + at, message)
        assert (only_answer(out) if answer else out) == (answer or [])


def test_a_bounded_number_of_releases_that_overtook_their_requests_is_remembered() -> None:
    """The oldest give way: a request that is that late is granted, as to one that holds nothing any more."""
    v = voter_a()
    for i in range(SETTINGS.max_waiters + 1):
        assert v.received(ABLE, release_message(5, f"y{i}")) == []
    assert only_answer(v.received(ABLE, request_message(5, "y1"))) == (DENY, "OLD", 0)
    assert only_answer(v.received(ABLE, request_message(5, "y0"))) == (GRANT, "NONE", 5)
    assert len(v.leases["d"].early_releases) == 0


def test_a_grant_outlasts_the_held_lease_though_both_clocks_drift() -> None:
    slow, fast = 1 - 1 / CLOCK_DRIFT_DIVISOR, 1 + 1 / CLOCK_DRIFT_DIVISOR
    for lease in (200_000, 3 * SEC, 600 * SEC):
        believed = held_duration(lease)
        assert believed / slow < granted_duration(lease) / fast
        assert believed / slow < granted_duration(lease) / slow and believed > 0.97 * lease


def test_denied_clients_are_notified_when_the_lease_becomes_available() -> None:
    v = voter_a()
    v.received(ABLE, request_message(5))
    for i in range(SETTINGS.max_waiters + 3):
        v.received(ABLE + 1, request_message(6, f"y{i}", seq=40 + i))
    free = v.received(ABLE + 2, release_message(5))
    assert [(to, m.kind.name, m.seq) for to, m in free] == [
        (f"y{i}", "AVAILABLE", 40 + i) for i in range(SETTINGS.max_waiters)
    ]


def test_a_voter_keeps_a_bounded_number_of_leases_and_an_evicted_one_leaves_its_token() -> None:
    """Failure prevented: made-up names of leases fill the memory, or a forgotten lease's token falls back."""
    v = voter_a(LeaseSettings(lease=3 * SEC, max_lease=10 * SEC, max_leases=3))
    for i in range(3):
        v.received(ABLE, request_message(50 + i, lease=f"d{i}"))
    assert only_answer(v.received(ABLE + 1, request_message(99, lease="e")))[:2] == (DENY, "FULL")
    late = ABLE + granted_duration(SETTINGS.lease)
    assert only_answer(v.received(late, request_message(50, "y", lease="e"))) == (DENY, "OLD", 50)
    assert only_answer(v.received(late, request_message(51, "y", lease="e"))) == (GRANT, "NONE", 51)
    assert len(v.leases) == 3


def test_a_restarted_voter_recalls_the_tokens_that_the_others_know() -> None:
    v, b, c = voter_a(), Voter("b", 1, [THREE], SETTINGS, 0), Voter("c", 1, [THREE], SETTINGS, 0)
    b.received(START, request_message(70))
    asked = v.tick(START)
    assert [(to, m.kind.name) for to, m in asked] == [("b", "RECALL"), ("c", "RECALL")]
    assert v.tick(START + 1) == [] and not v.has_recovered()
    for other in (b, c):
        for _, m in other.received(START + 1, asked[0][1]):
            v.received(START + 2, m)
    assert v.has_recovered() and v.deadline() is None
    assert only_answer(v.received(ABLE, request_message(70, "y"))) == (DENY, "OLD", 70)
    assert only_answer(v.received(ABLE, request_message(71, "y"))) == (GRANT, "NONE", 71)


def test_a_voter_with_a_disk_grants_nothing_below_its_last_life(tmp_path: Path) -> None:
    path = tmp_path / "a.votes"
    saved = []

    def raise_ceiling(number: int) -> TokenRange:
        saved.append(number)
        return vote_store.VoteStore(path, "a", print).raise_ceiling(number)

    v = voter_a(floor=vote_store.load(path, "a"), raise_ceiling=raise_ceiling)
    for i in range(100):
        v.received(ABLE + i, request_message(500 + i))
    assert saved == [500]  # ahead, so that not every grant waits for the disk
    again = voter_a(floor=vote_store.load(path, "a"), raise_ceiling=raise_ceiling)
    assert only_answer(again.received(ABLE, request_message(600, "y"))) == (
        DENY,
        "OLD",
        500 + vote_store.CEILING_MARGIN,
    )
    assert (
        only_answer(again.received(ABLE, request_message(501 + vote_store.CEILING_MARGIN, "y")))[0] == GRANT
    )


@pytest.mark.parametrize(
    ("change", "part"),
    [
        (lambda d: d[:-9], "torn or changed"),
        (lambda d: d.replace(b"500", b"900"), "torn or changed"),
        (lambda d: b"", "torn or changed"),
        (lambda d: b"\x00" * 80, "torn or changed"),
        (lambda d: b"a poem\n" + vote_store.checksum(b"a poem"), "not a file of votes"),
    ],
)
def test_torn_and_foreign_files_are_named_and_not_trusted(
    tmp_path: Path, change: Callable[[bytes], bytes], part: str
) -> None:
    path = tmp_path / "a.votes"
    vote_store.save(path, "a", 500)
    assert vote_store.load(path, "a") == 500
    with pytest.raises(vote_store.VoteStoreError, match="the votes of a, not of b"):
        vote_store.load(path, "b")
    path.write_bytes(change(path.read_bytes()))
    with pytest.raises(vote_store.VoteStoreError, match=part):
        vote_store.load(path, "a")
