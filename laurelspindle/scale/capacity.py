"""The capacity table: what each role and each event costs at the target size, from measured slopes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from laurelspindle.scale import mechanisms as m
from laurelspindle.scale.mechanisms import Mechanism
from laurelspindle.scale.slopes import Quantity, Slopes
from laurelspindle.scale.target import Target

US_A_SECOND_AS_PERCENT = 1e-4  # of a core
BOTH_WAYS = 2.0  # what one member sends another receives
MEGABYTE = 1 << 20
LEASE_VOTERS = 5


class Role(Enum):
    """Who bears a cost."""

    NODE = "node"
    GATEWAY = "gateway"
    CONTROL = "control machine"
    OPERATOR = "operator's machine, and the member it asks"


class Event(Enum):
    """What happens on an ordinary or a bad day."""

    RESTART = "one node's restart"
    RELEASE = "a release's batch"
    RACK = "a rack lost"
    ZONE_LOST = "a zone lost"
    ZONE_BACK = "a zone back, cold"
    REGION = "a region alone for an hour, and back"
    WHOLE = "the whole fleet's start"
    CHANGE_CALM = "a configuration change in calm"
    CHANGE_RESTART = "... during a restart"
    CHANGE_RELEASE = "... during a release's batch"
    CHANGE_RACK = "... while a rack is lost"
    CHANGE_ZONE = "... during a zone's loss and return"
    CHANGE_REGION = "... while a region is alone"


@dataclass(frozen=True)
class Row:
    """One cost. `quantity` None: nothing was measured, since there is nothing that does it."""

    subject: Role | Event
    what: str
    unit: str
    mechanism: Mechanism
    quantity: Quantity | None = None
    budget: float | None = None
    note: str = ""

    @property
    def share(self) -> float | None:
        """Of the budget that is used; None without a value or a budget."""
        if self.quantity is None or self.budget is None:
            return None
        return self.quantity.value / self.budget

    @property
    def missing(self) -> bool:
        return not all(need.built for need in self.mechanism.all_needs())


@dataclass(frozen=True)
class Capacity:
    """The whole table, and what it says comes first."""

    target: Target
    roles: list[Row]
    events: list[Row]

    @property
    def rows(self) -> list[Row]:
        return self.roles + self.events

    def farthest(self) -> Row:
        """The row that is farthest beyond its budget."""
        return max((r for r in self.rows if r.share is not None), key=lambda r: r.share or 0.0)

    def resting(self) -> Counter[Mechanism]:
        """How many rows rest on each missing mechanism, directly or through another."""
        found: Counter[Mechanism] = Counter()
        for row in self.rows:
            found.update(need for need in row.mechanism.all_needs() if not need.built)
        return found


def capacity(target: Target, slopes: Slopes) -> Capacity:
    """The table at a target size. SlopesError where a slope is not in the file."""
    roles = [
        *node(target, slopes),
        *gateway(target, slopes),
        *control(target, slopes),
        *operator(target, slopes),
    ]
    return Capacity(target, roles, list(events(target, slopes)))


def arithmetic(value: float) -> Quantity:
    """A figure that follows from the target alone."""
    return Quantity(value, value, value, frozenset({"target"}))


def node(t: Target, s: Slopes) -> Iterator[Row]:
    """What each node spends."""
    for size, mechanism, text in (
        (float(t.nodes), m.FLAT_MEMBERSHIP, f"one group of {t.nodes:,}"),
        (t.zone_nodes, m.ZONE_MEMBERSHIP, f"a group a zone, {t.zone_nodes:.0f}"),
    ):
        yield from membership_of_node(t, s, size, mechanism, text)
    yield Row(
        Role.NODE,
        "leases: one that all nodes ask for",
        "datagrams/s",
        m.VOTERS,
        s.at("leases.asker_datagrams", t.nodes),
    )
    yield Row(Role.NODE, "leases of its zone while its region is alone", "", m.SCOPED_LEASES)
    yield Row(
        Role.NODE,
        "configuration: changes to take in",
        "1/s",
        m.CONFIGURATION,
        arithmetic(1 / t.change_every_s),
        note="count alone: nothing distributes them",
    )
    yield Row(Role.NODE, "configuration: state, processor time, bytes", "", m.CONFIGURATION)
    yield from calls_of_node(t, s)


def membership_of_node(t: Target, s: Slopes, size: float, mechanism: Mechanism, text: str) -> Iterator[Row]:
    """Membership's cost in a group of a size."""
    calm = s.at("member.cpu_us", size).times(US_A_SECOND_AS_PERCENT)
    busy = s.at("membership.backlog.cpu_us", size).times(US_A_SECOND_AS_PERCENT)
    memory = s.at("node.fleet.resident_mb").plus(s.at("member.table_bytes", size).times(1 / MEGABYTE))
    yield Row(
        Role.NODE,
        f"membership, {text}: processor time in calm",
        "% of a core",
        mechanism,
        calm,
        t.cpu_percent,
        "state machine and codec; sockets and loop not in it",
    )
    yield Row(
        Role.NODE,
        f"membership, {text}: processor time while all are news",
        "% of a core",
        mechanism,
        busy,
        t.cpu_percent,
        "state machine and codec; sockets and loop not in it",
    )
    for name, word in (("calm", "in calm"), ("backlog", "while all are news")):
        sent = s.at(f"membership.{name}.bytes", size).times(BOTH_WAYS)
        yield Row(
            Role.NODE, f"membership, {text}: bytes {word}, out and in", "bytes/s", mechanism, sent, t.bytes_s
        )
    datagrams = s.at("member.datagrams", size).times(BOTH_WAYS)
    yield Row(Role.NODE, f"membership, {text}: datagrams, out and in", "1/s", mechanism, datagrams)
    yield Row(Role.NODE, f"memory of the process with {text}", "MB", mechanism, memory, t.memory_mb)


def calls_of_node(t: Target, s: Slopes) -> Iterator[Row]:
    """The request path at the mean rate; no part of the control budget."""
    rate = t.calls_a_node_s
    budget_us = t.added_ms * 1000
    cpu = s.at("latency.node_cpu_us_a_call", rate).times(rate * US_A_SECOND_AS_PERCENT)
    yield Row(
        Role.NODE,
        f"calls, {rate:.0f} a second: processor time",
        "% of a core",
        m.REQUEST_PATH,
        cpu,
        note="not control: no budget was given",
    )
    for name, text in (("p50", "median"), ("p99", f"{t.added_percent:g} in 100")):
        added = s.at(f"latency.added_{name}_us", rate)
        budget = budget_us if name == "p99" else None
        yield Row(Role.NODE, f"added to a call of one hop, {text}", "us", m.REQUEST_PATH, added, budget)
    chain = s.at("latency.chain_p99_us", rate)
    yield Row(
        Role.NODE,
        f"added to a call {t.depth} deep, {t.added_percent:g} in 100",
        "us",
        m.REQUEST_PATH,
        chain,
        budget_us,
        "if the bound holds for the whole call; convolution of nine equal hops",
    )


def gateway(t: Target, s: Slopes) -> Iterator[Row]:
    """What a zone's gateway would spend beside its own node's cost."""
    count = t.zones * t.gateways_a_zone
    calm = s.at("member.cpu_us", count).times(US_A_SECOND_AS_PERCENT)
    sent = s.at("membership.calm.bytes", count).times(BOTH_WAYS)
    text = f"if all {count} gateways are one group"
    yield Row(Role.GATEWAY, f"{text}: processor time", "% of a core", m.GATEWAYS, calm, t.cpu_percent)
    yield Row(Role.GATEWAY, f"{text}: bytes, out and in", "bytes/s", m.GATEWAYS, sent, t.bytes_s)
    yield Row(Role.GATEWAY, "summaries of a zone: state, messages, processor time", "", m.GATEWAYS)
    yield Row(Role.GATEWAY, "versions in force in its zone", "", m.VERSIONS_IN_FORCE)


def control(t: Target, s: Slopes) -> Iterator[Row]:
    """What each machine that is set aside spends."""
    asked = s.at("leases.voter_datagrams", t.nodes)
    codec = s.at("membership.calm.codec_us_a_datagram")
    yield Row(
        Role.CONTROL,
        f"leases: one that all {t.nodes:,} ask for, datagrams out of a voter",
        "1/s",
        m.VOTERS,
        asked,
    )
    yield Row(
        Role.CONTROL,
        "leases: processor time of that",
        "% of a core",
        m.VOTERS,
        asked.by(codec).times(US_A_SECOND_AS_PERCENT),
        note="the codec alone, out and in",
    )
    yield Row(Role.CONTROL, "leases of zones", "", m.SCOPED_LEASES)
    told = t.nodes / t.change_every_s / t.control_machines
    yield Row(
        Role.CONTROL,
        "configuration: changes told to nodes",
        "1/s",
        m.CONFIGURATION,
        arithmetic(told),
        note="count alone: nothing distributes them",
    )
    yield Row(Role.CONTROL, "configuration: log, snapshots, processor time, memory", "", m.CONFIGURATION)


def operator(t: Target, s: Slopes) -> Iterator[Row]:
    """What an operator's command costs whom it asks."""
    cpu = s.at("leader.cpu_us", t.nodes).times(US_A_SECOND_AS_PERCENT)
    note = "only while a replacement runs; the leader is a node"
    yield Row(
        Role.OPERATOR,
        "leading a replacement: processor time",
        "% of a core",
        m.REPLACEMENT_BY_ZONE,
        cpu,
        t.cpu_percent,
        note,
    )
    yield Row(
        Role.OPERATOR,
        "leading a replacement: datagrams, out and in",
        "1/s",
        m.REPLACEMENT_BY_ZONE,
        s.at("leader.datagrams", t.nodes),
        note=note,
    )
    yield Row(
        Role.OPERATOR,
        "leading a replacement: bytes, out and in",
        "bytes/s",
        m.REPLACEMENT_BY_ZONE,
        s.at("leader.bytes", t.nodes),
        t.bytes_s,
        note,
    )
    yield Row(Role.OPERATOR, "which version is in force everywhere, and who lags", "", m.VERSIONS_IN_FORCE)


def events(t: Target, s: Slopes) -> Iterator[Row]:
    """Cost and time of the day's events."""
    flat = m.FLAT_MEMBERSHIP
    lost, back = s.at("membership.zone_lost_s", t.nodes), s.at("membership.zone_back_s", t.nodes)
    yield Row(
        Event.RESTART,
        f"until all {t.nodes:,} know the new process",
        "s",
        flat,
        s.at("membership.news_s", t.nodes),
    )
    yield Row(
        Event.RESTART,
        "until a death without a word is known to all",
        "s",
        flat,
        s.at("membership.death_s", t.nodes),
    )
    yield Row(
        Event.RESTART,
        f"the same in a group a zone, {t.zone_nodes:.0f}",
        "s",
        m.ZONE_MEMBERSHIP,
        s.at("membership.death_s", t.zone_nodes),
    )
    yield Row(
        Event.RELEASE,
        f"{t.release_batch} restarts one after the other, led by one member",
        "s",
        m.REPLACEMENT_BY_ZONE,
        s.at("replace.s_a_process").times(t.release_batch),
        note="one out at a time, twenty processes",
    )
    yield Row(
        Event.RELEASE,
        f"{t.release_batch} back at once until all know all",
        "s",
        m.ZONE_MEMBERSHIP,
        back,
        note="as a thirteenth of the fleet",
    )
    yield Row(
        Event.RACK,
        f"{t.rack_nodes} deaths known to all",
        "s",
        flat,
        lost,
        note="at most: a thirteenth's time",
    )
    yield Row(Event.ZONE_LOST, f"{t.zone_nodes:.0f} deaths known to all", "s", flat, lost)
    yield Row(Event.ZONE_LOST, "leases of the lost zone", "", m.SCOPED_LEASES)
    yield Row(
        Event.ZONE_BACK,
        f"{t.zone_nodes:.0f} cold nodes until all know all, one group",
        "s",
        m.ZONE_MEMBERSHIP,
        back,
    )
    yield Row(
        Event.ZONE_BACK,
        f"the zone alone as a group of {t.zone_nodes:.0f}, from a joint start",
        "s",
        m.ZONE_MEMBERSHIP,
        s.at("membership.join_s", t.zone_nodes),
        t.ready_s,
        "against the time in which nine in ten must be ready",
    )
    yield Row(
        Event.REGION,
        "until both sides know all again, one group",
        "s",
        m.ZONE_MEMBERSHIP,
        s.at("membership.region_back_s", t.nodes),
        note="cut for 150 s: the dead are forgotten after 60 s, so an hour is the same",
    )
    yield Row(Event.REGION, "leases inside it for the hour", "", m.SCOPED_LEASES)
    yield Row(
        Event.WHOLE,
        f"{t.nodes:,} start at once until all know all",
        "s",
        m.ZONE_MEMBERSHIP,
        s.at("membership.join_s", t.nodes),
        t.ready_s,
        "against the time in which nine in ten must be ready",
    )
    yield from changes(t, s)


def changes(t: Target, s: Slopes) -> Iterator[Row]:
    """A configuration change; there is nothing that carries one, so no row has a value."""
    for event, mechanism in (
        (Event.CHANGE_CALM, m.CONFIGURATION),
        (Event.CHANGE_RESTART, m.CONFIGURATION),
        (Event.CHANGE_RELEASE, m.CONFIGURATION),
        (Event.CHANGE_RACK, m.CONFIGURATION),
        (Event.CHANGE_ZONE, m.CONFIGURATION_FALLBACK),
        (Event.CHANGE_REGION, m.CONFIGURATION_FALLBACK),
    ):
        yield Row(
            event, "until it is in force everywhere that can be reached", "s", mechanism, budget=t.change_s
        )
