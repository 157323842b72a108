"""Cost of each role at the target size."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from math import nan

from workbench.scale import mechanisms
from workbench.scale.mechanisms import Mechanism
from workbench.scale.rows import Role, Row
from workbench.scale.slopes import UNMEASURED, Quantity, Slopes, derived_from_target
from workbench.scale.target import MAX_CALL_DEPTH, Target

# Converts microseconds of processor time a second to per cent of a core.
CORE_PERCENT_PER_US_PER_S = 1e-4
# Converts traffic sent by a member to traffic in both directions: what one member sends another receives.
BOTH_DIRECTIONS_FACTOR = 2.0
MEGABYTE_BYTES = 1 << 20
WITHOUT_SOCKETS_NOTE = "state machine and codec; sockets and loop not in it"


def role_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the rows of all roles."""
    yield from node_rows(target, slopes)
    yield from gateway_rows(target, slopes)
    yield from control_rows(target, slopes)
    yield from operator_rows(target, slopes)


def node_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the costs of each node."""
    yield from node_membership_rows(
        target, slopes, float(target.nodes), mechanisms.FLAT_MEMBERSHIP, f"one group of {target.nodes:,}"
    )
    for row in node_membership_rows(
        target,
        slopes,
        target.nodes_per_zone,
        mechanisms.ZONE_MEMBERSHIP,
        f"a group a zone, {target.nodes_per_zone:.0f}",
    ):
        yield replace(row, is_alternative=True)
    yield Row(
        Role.NODE,
        "leases: one that all nodes ask for",
        "datagrams/s",
        mechanisms.VOTERS,
        slopes.at("leases.asker_datagrams", target.nodes),
    )
    yield Row(Role.NODE, "leases of its zone while its region is alone", "", mechanisms.SCOPED_LEASES)
    yield Row(
        Role.NODE,
        "configuration: changes to take in",
        "1/s",
        mechanisms.CONFIGURATION,
        derived_from_target(1 / target.change_interval_s),
        note="count alone: nothing distributes them",
    )
    yield Row(Role.NODE, "configuration: state, processor time, bytes", "", mechanisms.CONFIGURATION)
    yield from node_call_rows(target, slopes)


def node_membership_rows(
    target: Target, slopes: Slopes, size: float, mechanism: Mechanism, text: str
) -> Iterator[Row]:
    """Yield the costs of membership in a group of a size."""
    for what, slope, note in (
        ("in calm", "member.cpu_us", WITHOUT_SOCKETS_NOTE),
        ("while all are news", "membership.backlog.cpu_us", WITHOUT_SOCKETS_NOTE),
        ("in calm, on sockets", "sockets.cpu", "a hollow process's whole processor time over its members"),
    ):
        yield Row(
            Role.NODE,
            f"membership, {text}: processor time {what}",
            "% of a core",
            mechanism,
            slopes.at(slope, size).scaled(CORE_PERCENT_PER_US_PER_S),
            target.cpu_percent,
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
            slopes.at(slope, size).scaled(BOTH_DIRECTIONS_FACTOR),
            target.bytes_s,
        )
    datagrams = slopes.at("member.datagrams", size).scaled(BOTH_DIRECTIONS_FACTOR)
    yield Row(Role.NODE, f"membership, {text}: datagrams, out and in", "1/s", mechanism, datagrams)
    memory = slopes.at("node.fleet.resident_mb").plus(
        slopes.at("member.table_bytes", size).scaled(1 / MEGABYTE_BYTES)
    )
    yield Row(Role.NODE, f"memory of the process with {text}", "MB", mechanism, memory, target.memory_mb)


def quantity_at_rate(slopes: Slopes, name: str, rate: float) -> Quantity:
    """Return a quantity of the request path at a rate of calls.

    It is unmeasured if all measurements were at higher rates, since a call costs more at a lower rate.
    """
    slope = slopes.by_name.get(f"latency.{name}")
    if slope is None or min(p.size for p in slope.points) > rate:
        return UNMEASURED
    return slopes.at(slope.name, rate)


def node_call_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the costs of the request path at the mean rate, which are not part of the control budget."""
    rate = target.calls_per_node_s
    budget_us = target.added_ms * 1000
    cpu = quantity_at_rate(slopes, "node_cpu_us_a_call", rate).scaled(rate * CORE_PERCENT_PER_US_PER_S)
    yield Row(
        Role.NODE,
        f"calls, {rate:.0f} a second: processor time",
        "% of a core",
        mechanisms.REQUEST_PATH,
        cpu,
        note="not control: no budget was given",
    )
    for name, text in (("p50", "median"), ("p99", f"{target.added_percent:g} in 100")):
        added = quantity_at_rate(slopes, f"added_{name}_us", rate)
        budget = budget_us if name == "p99" else None
        yield Row(
            Role.NODE, f"added to a call of one hop, {text}", "us", mechanisms.REQUEST_PATH, added, budget
        )
    yield Row(
        Role.NODE,
        f"share of a core at which one hop keeps {target.added_ms:g} ms",
        "% of a core",
        mechanisms.REQUEST_PATH,
        required_core_percent(
            quantity_at_rate(slopes, "node_cpu_us_a_call", rate),
            quantity_at_rate(slopes, "added_p99_us", rate),
            budget_us,
        ),
        note="calls alone, while they are in work; without other work on the core",
    )
    chain = quantity_at_rate(slopes, "chain_p99_us", rate) if target.depth == MAX_CALL_DEPTH else UNMEASURED
    yield Row(
        Role.NODE,
        f"added to a call {target.depth} deep, {target.added_percent:g} in 100",
        "us",
        mechanisms.REQUEST_PATH,
        chain,
        budget_us,
        f"if the bound holds for the whole call; convolution of {MAX_CALL_DEPTH} equal hops",
    )


def required_core_percent(cpu_us: Quantity, added_us: Quantity, budget_us: float) -> Quantity:
    """Return the per cent of a core at which a call's added time meets a budget.

    In closed form: the processor time of a call grows in inverse proportion to the share of a core, and the
    rest of the added time is constant. The result is over 100 if a whole core is too little, and NaN if the
    rest alone exceeds the budget.
    """
    rest = added_us.value - cpu_us.value
    share = 100 * cpu_us.value / (budget_us - rest) if rest < budget_us else nan
    estimate_reason = "closed form: the processor time alone stretches"
    combined = cpu_us.combined(added_us, share, nan, nan)
    return replace(combined, estimate_reasons=combined.estimate_reasons | {estimate_reason})


def gateway_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the costs of a zone's gateway, including membership in its own zone."""
    nodes = float(target.nodes)
    cpu = slopes.at("federation.gateway_cpu_us", nodes).scaled(CORE_PERCENT_PER_US_PER_S)
    sent = slopes.at("federation.gateway_bytes_out", nodes)
    received = slopes.at("federation.gateway_bytes_in", nodes)
    datagrams = slopes.at("federation.gateway_datagrams_out", nodes)
    text = f"membership and summaries of {target.zones} zones"
    yield Row(
        Role.GATEWAY,
        f"{text}: processor time",
        "% of a core",
        mechanisms.GATEWAYS,
        cpu,
        target.cpu_percent,
        WITHOUT_SOCKETS_NOTE,
    )
    yield Row(
        Role.GATEWAY,
        f"{text}: bytes, out and in",
        "bytes/s",
        mechanisms.GATEWAYS,
        sent.plus(received),
        target.bytes_s,
    )
    yield Row(Role.GATEWAY, f"{text}: datagrams out", "1/s", mechanisms.GATEWAYS, datagrams)
    memory = slopes.at("federation.memory_bytes", nodes).scaled(1 / MEGABYTE_BYTES)
    yield Row(Role.GATEWAY, "memory of the summaries", "MB", mechanisms.GATEWAYS, memory, target.memory_mb)
    yield Row(Role.GATEWAY, "versions in force in its zone", "", mechanisms.VERSIONS_IN_FORCE)


def control_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the costs of each dedicated control machine."""
    voter_datagrams = slopes.at("leases.voter_datagrams", target.nodes)
    codec = slopes.at("membership.calm.codec_us_a_datagram")
    yield Row(
        Role.CONTROL,
        f"leases: one that all {target.nodes:,} ask for, datagrams out of a voter",
        "1/s",
        mechanisms.VOTERS,
        voter_datagrams,
    )
    yield Row(
        Role.CONTROL,
        "leases: processor time of that",
        "% of a core",
        mechanisms.VOTERS,
        voter_datagrams.multiplied_by(codec).scaled(CORE_PERCENT_PER_US_PER_S),
        note="the codec alone, out and in",
    )
    yield Row(Role.CONTROL, "leases of zones", "", mechanisms.SCOPED_LEASES)
    changes_per_machine_s = target.nodes / target.change_interval_s / target.control_machines
    yield Row(
        Role.CONTROL,
        "configuration: changes told to nodes",
        "1/s",
        mechanisms.CONFIGURATION,
        derived_from_target(changes_per_machine_s),
        note="count alone: nothing distributes them",
    )
    yield Row(
        Role.CONTROL, "configuration: log, snapshots, processor time, memory", "", mechanisms.CONFIGURATION
    )


def operator_rows(target: Target, slopes: Slopes) -> Iterator[Row]:
    """Yield the costs of an operator's command to the member that executes it."""
    note = "only while a replacement runs; the leader is a node"
    for name, what, unit, factor, budget in (
        ("cpu_us", "processor time", "% of a core", CORE_PERCENT_PER_US_PER_S, target.cpu_percent),
        ("datagrams", "datagrams, out and in", "1/s", 1.0, None),
        ("bytes", "bytes, out and in", "bytes/s", 1.0, target.bytes_s),
    ):
        yield Row(
            Role.OPERATOR,
            f"leading a replacement: {what}",
            unit,
            mechanisms.REPLACEMENT,
            slopes.at(f"leader.{name}", target.nodes).scaled(factor),
            budget,
            note,
            preferred_mechanism=mechanisms.REPLACEMENT_BY_ZONE,
        )
    yield Row(
        Role.OPERATOR,
        "leading a replacement: processor time with sockets",
        "% of a core",
        mechanisms.REPLACEMENT,
        leader_cpu_with_sockets(target, slopes).scaled(CORE_PERCENT_PER_US_PER_S),
        target.cpu_percent,
        note,
        preferred_mechanism=mechanisms.REPLACEMENT_BY_ZONE,
    )
    yield Row(
        Role.OPERATOR, "which version is in force everywhere, and who lags", "", mechanisms.VERSIONS_IN_FORCE
    )


def leader_cpu_with_sockets(target: Target, slopes: Slopes) -> Quantity:
    """Return the microseconds a second of a leader, including sockets, event loop and runtime.

    Their cost for each datagram is that of a member in calm.
    """
    socket_us_per_member = (
        slopes.at("sockets.cpu.socket")
        .plus(slopes.at("sockets.cpu.loop"))
        .plus(slopes.at("sockets.cpu.runtime"))
    )
    datagrams_per_member = slopes.at("sockets.datagrams_out").value + slopes.at("sockets.datagrams_in").value
    datagrams = slopes.at("leader.datagrams", target.nodes)
    socket_us = datagrams.multiplied_by(socket_us_per_member.scaled(1 / datagrams_per_member))
    total = slopes.at("leader.cpu_us", target.nodes).plus(socket_us)
    return replace(total, estimate_reasons=total.estimate_reasons | {"taken as a member's datagrams in calm"})
