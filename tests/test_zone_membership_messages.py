"""Encoding, bounds and compatibility between versions of the messages of membership by zone."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from zone_membership_support import START, make_codec, summary, zone_state

from balancer.fleet.membership.codec import Codec
from balancer.fleet.zone_membership.batches import split_into_batches
from balancer.fleet.zone_membership.messages import ZoneMembershipKind, ZoneMembershipMessage
from balancer.fleet.zone_membership.summaries import (
    Gateway,
    KnownSummary,
    Refresh,
    Summary,
    Version,
    ZoneState,
)
from balancer.fleet.zone_membership.wire import ZoneMembershipWire
from workbench.explore.virtual_network import GROUP_KEY
from workbench.explore.zone_members import zone_name

MAX_DATAGRAM_BYTES = 1200


def decoded_summaries(data: bytes) -> tuple[Summary, ...]:
    """Return the summaries in a datagram."""
    message = make_codec().decode(data, START)
    assert isinstance(message, ZoneMembershipMessage)
    return message.summaries


names = st.text(min_size=1, max_size=64)
ages = st.integers(0, 10_000_000).map(lambda ms: ms * 1000)
versions = st.builds(Version, names, st.integers(0, (1 << 62) - 1), st.integers(0, (1 << 62) - 1))
digests = st.integers(0, (1 << 64) - 1)
hosts = st.text("0123456789abcdef.:", min_size=1, max_size=45)
gateway_lists = st.lists(st.builds(Gateway, names, st.tuples(hosts, st.integers(1, 65535))), max_size=4).map(
    tuple
)
facts = st.lists(
    st.tuples(st.text("abcdef.", min_size=1, max_size=32), st.text("0123456789", max_size=30)), max_size=4
).map(tuple)
states = st.builds(
    ZoneState, names, st.text(max_size=64), st.integers(0, 999_999), digests, gateway_lists, facts
)
messages = st.builds(
    ZoneMembershipMessage,
    st.sampled_from(ZoneMembershipKind),
    names,
    names,
    st.integers(0, 1 << 61),
    st.lists(st.builds(Summary, states, versions, ages), max_size=3).map(tuple),
    st.lists(st.builds(Refresh, names, digests, versions, ages), max_size=5).map(tuple),
    st.lists(st.builds(KnownSummary, names, digests, ages), max_size=5).map(tuple),
)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(messages)
def test_message_round_trips_or_loses_only_its_last_entries(message: ZoneMembershipMessage) -> None:
    codec = make_codec()
    data = codec.encode(message, START)
    decoded = make_codec().decode(data, START)
    whole = msgspec.msgpack.encode(ZoneMembershipWire().pack(message))
    if len(whole) < MAX_DATAGRAM_BYTES - 200:
        assert decoded == message
    # A message is dropped if its names are too long in bytes for a datagram even without entries.
    elif decoded is not None:
        assert decoded.summaries == message.summaries[: len(decoded.summaries)]
        assert decoded.refreshes == message.refreshes[: len(decoded.refreshes)]
        assert decoded.known_summaries == message.known_summaries[: len(decoded.known_summaries)]


def test_longest_summary_fits_into_one_datagram() -> None:
    gateways = [Gateway("g" * 63 + str(i), ("f" * 45, 65535)) for i in range(4)]
    longest_state = ZoneState(
        "z" * 64, "r" * 64, 999_999, (1 << 64) - 1, tuple(gateways), (("k" * 32, "v" * 224),)
    )
    longest_summary = Summary(longest_state, Version("o" * 64, (1 << 62) - 1, (1 << 62) - 1), 1 << 40)
    message = ZoneMembershipMessage(
        ZoneMembershipKind.ZONE_EXCHANGE, "s" * 64, "z" * 64, 1 << 61, (longest_summary,)
    )
    data = make_codec().encode(message, START)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert make_codec().decode(data, START) is not None


def test_long_response_is_split_into_datagrams_without_loss() -> None:
    gateways = [Gateway(f"zone-1-{i}", (f"10.1.0.{i}", 7400)) for i in range(4)]
    all_zones = [
        Summary(zone_state(zone_name(i), 246, gateways), Version("x" * 12, 1 << 50, 9), 0) for i in range(13)
    ]
    batches = split_into_batches(all_zones)
    assert [s for batch in batches for s in batch] == all_zones
    for batch in batches:
        message = ZoneMembershipMessage(ZoneMembershipKind.ZONE_RESPONSE, "zone-0-1", "zone-0", 5, batch)
        data = make_codec().encode(message, START)
        assert decoded_summaries(data) == batch


MALFORMED_BODIES = [
    None,
    "zone",
    ["", [], [], []],
    ["z" * 65, [], [], []],
    ["z", [["b"]], [], []],
    ["z", [["b", "", -1, 0, [], [], ["o", 1, 1], 0]], [], []],
    ["z", [["b", "", 1, 1 << 63, [], [], ["o", 1, 1], 0]] * 65, [], []],
    ["z", [["b", "", 1, 0, [["g", "h", 0]], [], ["o", 1, 1], 0]], [], []],
    ["z", [["b", "", 1, 0, [["g", "h", 1]] * 5, [], ["o", 1, 1], 0]], [], []],
    ["z", [["b", "", 1, 0, [], [["k" * 33, ""]], ["o", 1, 1], 0]], [], []],
    ["z", [["b", "", 1, 0, [], [["k", "v" * 257]], ["o", 1, 1], 0]], [], []],
    ["z", [["b", "", 1, 0, [], [], ["", 1, 1], 0]], [], []],
    ["z", [["b", "", 1, 0, [], [], ["o", 1 << 62, 1], 0]], [], []],
    ["z", [["b", "", 1, 0, [], [], ["o", 1, 1], -5]], [], []],
    ["z", [], [["b", 0, ["o", 1, 1], 1 << 50]], []],
    ["z", [], [], [["b", -1, 0]]],
]


@pytest.mark.parametrize("body", MALFORMED_BODIES)
def test_authentic_datagram_with_malformed_body_is_dropped(body: object) -> None:
    codec = make_codec()

    class MalformedBodyWire(ZoneMembershipWire):
        def pack(self, message: ZoneMembershipMessage) -> Any:
            return body

        def shorten(self, message: ZoneMembershipMessage) -> None:
            return None

    data = Codec([GROUP_KEY], [MalformedBodyWire()]).encode(
        ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "x", "z"), START
    )
    assert codec.decode(data, START) is None
    assert codec.dropped["form"] + codec.dropped["length"] == 1


def test_fields_added_by_later_versions_are_skipped() -> None:
    class LaterVersionWire(ZoneMembershipWire):
        def pack(self, message: ZoneMembershipMessage) -> Any:
            wire = ["b", "north", 5, 7, [], [], ["b-0", 1, 1, "more"], 0, "more"]
            return ["b", [wire], [], [], {"more": 1}]

    data = Codec([GROUP_KEY], [LaterVersionWire()]).encode(
        ZoneMembershipMessage(ZoneMembershipKind.ZONE_EXCHANGE, "x", "b"), START
    )
    assert decoded_summaries(data) == (summary(),)


def test_version_without_these_kinds_counts_them_as_unknown() -> None:
    data = make_codec().encode(ZoneMembershipMessage(ZoneMembershipKind.ZONE_QUERY, "x", "z"), START)
    earlier_codec = Codec([GROUP_KEY])
    assert earlier_codec.decode(data, START) is None
    assert earlier_codec.dropped == {"kind": 1}
