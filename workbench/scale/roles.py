"""What each role spends at the target size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from math import nan

from workbench.scale import mechanisms as m
from workbench.scale.mechanisms import Mechanism
from workbench.scale.rows import Role, Row
from workbench.scale.slopes import UNMEASURED, Quantity, Slopes, arithmetic
from workbench.scale.target import DEEPEST_CALL, Target

US_A_SECOND_AS_PERCENT = 1e-4  # of a core
BOTH_WAYS = 2.0  # what one member sends another receives
MEGABYTE = 1 << 20
NO_SOCKETS = "state machine and codec; sockets and loop not in it"


def roles(target: Target, slopes: Slopes) -> Iterator[Row]:
    """All rows by role."""
    yield from node(target, slopes)
    yield from gateway(target, slopes)
    yield from control(target, slopes)
    yield from operator(target, slopes)


def node(t: Target, s: Slopes) -> Iterator[Row]:
    """What each node spends."""
    yield from membership_of_node(t, s, float(t.nodes), m.FLAT_MEMBERSHIP, f"one group of {t.nodes:,}")
    for row in membership_of_node(
        t, s, t.zone_nodes, m.ZONE_MEMBERSHIP, f"a group a zone, {t.zone_nodes:.0f}"
    ):
        yield replace(row, alternative=True)
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
    for what, slope, note in (
        ("in calm", "member.cpu_us", NO_SOCKETS),
        ("while all are news", "membership.backlog.cpu_us", NO_SOCKETS),
        ("in calm, on sockets", "sockets.cpu", "a hollow process's whole processor time over its members"),
    ):
        yield Row(
            Role.NODE,
            f"membership, {text}: processor time {what}",
            "% of a core",
            mechanism,
            s.at(slope, size).times(US_A_SECOND_AS_PERCENT),
            t.cpu_percent,
            note,
        )
    for what, slope in (
        ("in calm", "membership.calm.bytes"),
        ("while all are news", "membership.backlog.bytes"),
    ):
        yield Row(
            Role.NODE,
            f"membership, {text}: bytes {what}, out and in",
            "bytes/s",
            mechanism,
            s.at(slope, size).times(BOTH_WAYS),
            t.bytes_s,
        )
    datagrams = s.at("member.datagrams", size).times(BOTH_WAYS)
    yield Row(Role.NODE, f"membership, {text}: datagrams, out and in", "1/s", mechanism, datagrams)
    memory = s.at("node.fleet.resident_mb").plus(s.at("member.table_bytes", size).times(1 / MEGABYTE))
    yield Row(Role.NODE, f"memory of the process with {text}", "MB", mechanism, memory, t.memory_mb)


def at_rate(s: Slopes, name: str, rate: float) -> Quantity:
    """A figure of the request path at a rate of calls.

    Not measured where all rounds that count were at higher rates: a call costs more the fewer there are.
    """
    slope = s.by_name.get(f"latency.{name}")
    if slope is None or min(p.size for p in slope.points) > rate:
        return UNMEASURED
    return s.at(slope.name, rate)


def calls_of_node(t: Target, s: Slopes) -> Iterator[Row]:
    """The request path at the mean rate; no part of the control budget."""
    rate = t.calls_a_node_s
    budget_us = t.added_ms * 1000
    cpu = at_rate(s, "node_cpu_us_a_call", rate).times(rate * US_A_SECOND_AS_PERCENT)
    yield Row(
        Role.NODE,
        f"calls, {rate:.0f} a second: processor time",
        "% of a core",
        m.REQUEST_PATH,
        cpu,
        note="not control: no budget was given",
    )
    for name, text in (("p50", "median"), ("p99", f"{t.added_percent:g} in 100")):
        added = at_rate(s, f"added_{name}_us", rate)
        budget = budget_us if name == "p99" else None
        yield Row(Role.NODE, f"added to a call of one hop, {text}", "us", m.REQUEST_PATH, added, budget)
    yield Row(
        Role.NODE,
        f"share of a core at which one hop keeps {t.added_ms:g} ms",
        "% of a core",
        m.REQUEST_PATH,
        core_share(at_rate(s, "node_cpu_us_a_call", rate), at_rate(s, "added_p99_us", rate), budget_us),
        note="calls alone, while they are in work; without other work on the core",
    )
    chain = at_rate(s, "chain_p99_us", rate) if t.depth == DEEPEST_CALL else UNMEASURED
    yield Row(
        Role.NODE,
        f"added to a call {t.depth} deep, {t.added_percent:g} in 100",
        "us",
        m.REQUEST_PATH,
        chain,
        budget_us,
        f"if the bound holds for the whole call; convolution of {DEEPEST_CALL} equal hops",
    )


def core_share(cpu_us: Quantity, added_us: Quantity, budget_us: float) -> Quantity:
    """Per cent of a core at which a call's added time meets a budget.

    Closed form: the processor time of a call stretches as the share shrinks, the rest of the added time does
    not. Over 100 where a whole core is too little; no value where the rest alone is over the budget.
    """
    rest = added_us.value - cpu_us.value
    share = 100 * cpu_us.value / (budget_us - rest) if rest < budget_us else nan
    doubt = "closed form: the processor time alone stretches"
    both = cpu_us.joined(added_us, share, nan, nan)
    return replace(both, doubts=both.doubts | {doubt})


def gateway(t: Target, s: Slopes) -> Iterator[Row]:
    """What a zone's gateway spends, membership in its own zone included."""
    nodes = float(t.nodes)
    cpu = s.at("federation.gateway_cpu_us", nodes).times(US_A_SECOND_AS_PERCENT)
    sent = s.at("federation.gateway_bytes_out", nodes)
    received = s.at("federation.gateway_bytes_in", nodes)
    datagrams = s.at("federation.gateway_datagrams_out", nodes)
    text = f"membership and summaries of {t.zones} zones"
    yield Row(
        Role.GATEWAY, f"{text}: processor time", "% of a core", m.GATEWAYS, cpu, t.cpu_percent, NO_SOCKETS
    )
    yield Row(
        Role.GATEWAY, f"{text}: bytes, out and in", "bytes/s", m.GATEWAYS, sent.plus(received), t.bytes_s
    )
    yield Row(Role.GATEWAY, f"{text}: datagrams out", "1/s", m.GATEWAYS, datagrams)
    memory = s.at("federation.memory_bytes", nodes).times(1 / MEGABYTE)
    yield Row(Role.GATEWAY, "memory of the summaries", "MB", m.GATEWAYS, memory, t.memory_mb)
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
    note = "only while a replacement runs; the leader is a node"
    for name, what, unit, factor, budget in (
        ("cpu_us", "processor time", "% of a core", US_A_SECOND_AS_PERCENT, t.cpu_percent),
        ("datagrams", "datagrams, out and in", "1/s", 1.0, None),
        ("bytes", "bytes, out and in", "bytes/s", 1.0, t.bytes_s),
    ):
        yield Row(
            Role.OPERATOR,
            f"leading a replacement: {what}",
            unit,
            m.REPLACEMENT,
            s.at(f"leader.{name}", t.nodes).times(factor),
            budget,
            note,
            wanted=m.REPLACEMENT_BY_ZONE,
        )
    yield Row(
        Role.OPERATOR,
        "leading a replacement: processor time with sockets",
        "% of a core",
        m.REPLACEMENT,
        leader_with_sockets(t, s).times(US_A_SECOND_AS_PERCENT),
        t.cpu_percent,
        note,
        wanted=m.REPLACEMENT_BY_ZONE,
    )
    yield Row(Role.OPERATOR, "which version is in force everywhere, and who lags", "", m.VERSIONS_IN_FORCE)


def leader_with_sockets(t: Target, s: Slopes) -> Quantity:
    """Microseconds a second of a leader: its decisions and codec, and what sockets, loop and runtime take for
    each datagram of a member in calm."""
    a_member = s.at("sockets.cpu.socket").plus(s.at("sockets.cpu.loop")).plus(s.at("sockets.cpu.runtime"))
    datagrams_a_member = s.at("sockets.datagrams_out").value + s.at("sockets.datagrams_in").value
    datagrams = s.at("leader.datagrams", t.nodes)
    sockets = datagrams.by(a_member.times(1 / datagrams_a_member))
    whole = s.at("leader.cpu_us", t.nodes).plus(sockets)
    return replace(whole, doubts=whole.doubts | {"taken as a member's datagrams in calm"})
