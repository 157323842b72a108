"""Records of other zones: precedence of copies, ages and their bounds, and updates for a query."""

from __future__ import annotations

from random import Random

import pytest
from zone_membership_support import SEC, START, make_records, summary

from balancer.fleet.zone_membership.records import (
    MAX_ORIGINS_PER_ZONE,
    MAX_RECORDS,
    Freshness,
    Records,
    ZoneEventKind,
)
from balancer.fleet.zone_membership.summaries import KnownSummary, Refresh, Version


def test_age_accumulates_over_forwarding_nodes() -> None:
    sender, receiver = make_records(), make_records()
    sender.accept(START, summary(age=4 * SEC))
    later = START + 10 * SEC
    copies, _ = sender.find_updates(later, (), SEC)
    assert copies[0].age == 14 * SEC
    another_clock = 5_000 * SEC
    receiver.accept(another_clock, copies[0])
    assert receiver.zones["b"].age(another_clock + SEC) == 15 * SEC


def test_newer_version_of_one_origin_wins_regardless_of_age() -> None:
    records = make_records()
    records.accept(START, summary(counter=5, size=5))
    assert not records.accept(START + SEC, summary(counter=4, size=4))
    assert records.accept(START + SEC, summary(counter=6, size=6, age=3 * SEC))
    assert records.accept(START + SEC, summary(incarnation=2, counter=1, size=7))
    assert not records.accept(START + SEC, summary(incarnation=1, counter=9, size=8))
    assert records.zones["b"].state.size == 7


def test_greater_age_wins_for_the_same_version() -> None:
    records = make_records()
    records.accept(START, summary(age=0))
    records.accept(START, summary(age=8 * SEC))
    assert records.zones["b"].age(START) == 8 * SEC
    records.accept(START, summary(age=2 * SEC))
    assert records.zones["b"].age(START) == 8 * SEC


def test_later_created_summary_wins_between_two_origins() -> None:
    records = make_records()
    records.accept(START, summary(origin="b-0", counter=9, age=3 * SEC, size=5))
    assert not records.accept(START, summary(origin="b-1", counter=99, age=4 * SEC, size=6))
    assert records.accept(START, summary(origin="b-1", counter=1, age=2 * SEC, size=7))
    # This copy was overtaken by version 9 of the same origin.
    assert not records.accept(START, summary(origin="b-0", counter=8, age=0, size=8))
    assert records.zones["b"].state.size == 7


def test_unrenewed_summary_becomes_stale_then_lost_but_is_kept() -> None:
    events: list[tuple[str, ZoneEventKind]] = []
    records = make_records(events)
    records.accept(START, summary(age=5 * SEC))
    assert records.deadline() == START + 25 * SEC
    records.tick(START + 25 * SEC - 1)
    assert events == [("b", "found")]
    records.tick(START + 25 * SEC)
    assert records.deadline() == START + 55 * SEC
    records.tick(START + 55 * SEC)
    records.tick(START + 3600 * SEC)
    assert records.zones["b"].age(START + 3600 * SEC) == 3605 * SEC
    records.accept(START + 3600 * SEC, summary(counter=2))
    assert events == [("b", "found"), ("b", "stale"), ("b", "lost"), ("b", "fresh")]


def test_origin_with_clock_set_back_is_accepted_after_loss() -> None:
    records = make_records()
    records.accept(START, summary(incarnation=9))
    assert not records.accept(START + SEC, summary(incarnation=3))
    records.tick(START + 60 * SEC)
    assert records.accept(START + 61 * SEC, summary(incarnation=3))
    assert records.zones["b"].freshness == Freshness.FRESH


def test_refresh_renews_only_state_with_same_fingerprint() -> None:
    records = make_records()
    records.accept(START, summary(counter=1, age=20 * SEC))
    fingerprint = records.zones["b"].fingerprint
    assert not records.refresh(START, Refresh("b", fingerprint + 1, Version("b-0", 1, 2), 0))
    assert not records.refresh(START, Refresh("c", fingerprint, Version("b-0", 1, 2), 0))
    assert records.refresh(START, Refresh("b", fingerprint, Version("b-0", 1, 2), SEC))
    assert records.zones["b"].age(START) == SEC and records.zones["b"].version.counter == 2


@pytest.mark.parametrize("seed", range(3))
def test_ages_are_exact_and_versions_increase_over_relays(seed: int) -> None:
    """Two origins summarize one zone, and four nodes with different clocks query each other at random."""
    rng = Random(seed)
    nodes = [Records("a", 30 * SEC, 60 * SEC, lambda event: None) for _ in range(4)]
    offsets = [rng.randrange(10**12) for _ in nodes]
    made_at: dict[tuple[str, int], int] = {}
    newest: list[dict[str, int]] = [{} for _ in nodes]
    now = START
    for step in range(1000):
        now += rng.randrange(SEC // 1000) * 1000
        i, j = rng.sample(range(4), 2)
        if rng.random() < 0.2:
            origin = rng.choice(["b-0", "b-1"])
            made_at[origin, step] = now
            size = rng.randrange(3)
            nodes[i].accept(offsets[i] + now, summary(origin=origin, counter=step, size=size))
        known_summaries = nodes[i].known_summaries(offsets[i] + now) if rng.random() < 0.9 else ()
        summaries, refreshes = nodes[j].find_updates(offsets[j] + now, known_summaries, 0)
        for sent in summaries:
            nodes[i].accept(offsets[i] + now, sent)
        for refresh in refreshes:
            nodes[i].refresh(offsets[i] + now, refresh)
        for record in nodes[i].zones.values():
            version = record.version
            assert record.age(offsets[i] + now) == now - made_at[version.origin, version.counter]
            assert version.counter >= newest[i].get(version.origin, 0)
            newest[i][version.origin] = version.counter
    assert all(len(n) == 2 for n in newest)


def test_query_gets_missing_states_and_refreshes_of_others() -> None:
    records = make_records()
    for zone, age in (("b", 0), ("c", 0), ("d", 9 * SEC), ("e", 0)):
        records.accept(START, summary(zone, age=age))
    fingerprints = {zone: r.fingerprint for zone, r in records.zones.items()}
    known_summaries = (
        KnownSummary("b", fingerprints["b"], 5 * SEC),
        KnownSummary("c", fingerprints["c"] ^ 1, 5 * SEC),
        KnownSummary("d", fingerprints["d"], 5 * SEC),
    )
    summaries, refreshes = records.find_updates(START, known_summaries, SEC)
    assert [s.state.zone for s in summaries] == ["c", "e"]
    assert [r.zone for r in refreshes] == ["b"]


def test_records_are_bounded_and_oldest_lost_zone_is_evicted() -> None:
    records = make_records()
    for i in range(MAX_RECORDS):
        records.accept(START, summary(f"z{i}", age=i * SEC))
    assert records.accept(START, summary("new", age=0))
    assert len(records.zones) == MAX_RECORDS and "z63" not in records.zones and "z62" in records.zones
    fresh = make_records()
    for i in range(MAX_RECORDS):
        fresh.accept(START, summary(f"z{i}"))
    assert not fresh.accept(START, summary("new"))
    assert fresh.counts["zones_refused"] == 1 and len(fresh.zones) == MAX_RECORDS
    for i in range(50):
        fresh.accept(START + i * SEC, summary("z0", origin=f"o{i}"))
    assert len(fresh.zones["z0"].newest_by_origin) <= MAX_ORIGINS_PER_ZONE
