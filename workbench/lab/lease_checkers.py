"""Checkers of leases and of the work that requires one: rolling updates, minRTT slots and health checks."""

from __future__ import annotations

import re
from collections import defaultdict
from itertools import pairwise
from typing import NamedTuple

from balancer.fleet.health_checks.settings import health_check_settings
from balancer.fleet.min_rtt.settings import MinRttSettings
from workbench.lab.ground_truth import GroundTruth, seconds
from workbench.lab.process_history import FOREVER, FaultPeriod, ProcessIncarnation
from workbench.lab.violations import LOG_DELAY_S, Finding, Findings
from workbench.model.site import CLOCK_START_US

MAX_LEASES_WITHOUT_HOLDER = 2  # Lease lengths without a holder that are allowed at the end of a run.
MIN_RTT_RECALCULATION = re.compile(
    r"fleet pass (?:(?P<over>over)|begins (?:(?P<place>place=\d+)|without a place waited=(?P<waited>[\d.]+)))"
)
HEALTH_CHECK = re.compile(r"fleet tries server=(?P<server>\d+)")


class LeaseSpan(NamedTuple):
    """The time for which one process holds the lease under one token, in microseconds of the lab's clock."""

    begin: int
    until: int
    node: str
    process: int
    token: int


class Recalculation(NamedTuple):
    """One minRTT recalculation that a node did in a slot, as its log reports it."""

    begin: float
    end: float
    node: str


def check_single_lease_holder(truth: GroundTruth) -> Findings:
    """Check that no two processes hold the lab's lease at once and that tokens rise with each holder."""
    spans = lease_spans(truth)
    for span, following in pairwise(spans):
        at, other = seconds(following.begin), following.node
        if following.begin < span.until and (span.node, span.process) != (other, following.process):
            overlap = (span.until - following.begin) / 1e6
            description = f"holds the lease, which {span.node} still holds for {overlap:.3f} s"
            yield Finding(at, other, description)
        if following.token <= span.token:
            yield Finding(
                at,
                other,
                f"holds the lease with token {following.token}, though {span.node} had token {span.token}",
            )
    yield from check_lease_held_at_end(truth, spans)


def lease_spans(truth: GroundTruth) -> list[LeaseSpan]:
    """Return the lease spans of all holders, ordered by their start."""
    held: dict[tuple[str, int, int], list[int]] = {}
    for e in truth.events_of("duty"):
        span = held.setdefault((e["node"], e["life"], e["token"]), [e["answered"], e["until"]])
        span[1] = max(span[1], e["until"])
    return sorted(LeaseSpan(begin, until, *key) for key, (begin, until) in held.items())


def check_lease_held_at_end(truth: GroundTruth, spans: list[LeaseSpan]) -> Findings:
    """Check that some node holds the lease at the end, if the last change was long enough ago."""
    quiet_s = truth.end - max([truth.last_change(), *(p.end for p in truth.periods)])
    if not truth.plan.get("voters") or not truth.agreement_time_s <= quiet_s < FOREVER:
        return
    last = seconds(max((span.until for span in spans), default=CLOCK_START_US))
    if last < truth.end - MAX_LEASES_WITHOUT_HOLDER * truth.plan["lease_ms"] / 1000:
        description = f"no node has held the lease since {last:.1f} s, though all faults ended long ago"
        yield Finding(truth.end, "all", description)


def check_rolling_update(truth: GroundTruth) -> Findings:
    """Check that a rolling update ends each process once and has a limited number of nodes down at a time."""
    for period in truth.periods:
        if period.type == "fleet_replace":
            yield from check_each_ended_once(truth, period)
            yield from check_nodes_down(truth, period)


def processes_stopped_during(truth: GroundTruth, name: str, period: FaultPeriod) -> list[ProcessIncarnation]:
    """Return the processes of a node that were asked to stop, or shut down by themselves, during a fault."""
    processes = truth.incarnations[name]
    return [process for process in processes if period.begin < process.stop_requested_at < period.end]


def check_each_ended_once(truth: GroundTruth, period: FaultPeriod) -> Findings:
    """Check that the update ends a process of each node exactly once, unless a fault ended one."""
    for name in truth.names:
        stopped = processes_stopped_during(truth, name, period)
        by_update = [process for process in stopped if process.stopped_by_itself]
        if len(by_update) > 1:
            description = f"was ended {len(by_update)} times by one rolling update"
            yield Finding(by_update[1].stop_requested_at, name, description)
        if not stopped:
            yield Finding(period.end, name, "was never ended by the rolling update")


def check_nodes_down(truth: GroundTruth, period: FaultPeriod) -> Findings:
    """Check that the update ends no process while too many others are down."""
    ended = [
        (name, process)
        for name in truth.names
        for process in processes_stopped_during(truth, name, period)
        if process.stopped_by_itself
    ]
    for name, process in ended:
        at = process.stop_requested_at
        down = {n for n, other in ended if other.stop_requested_at <= at < truth.replaced_at(n, other)}
        if len(down) > period.most:
            others = ", ".join(sorted(down - {name}))
            yield Finding(
                at, name, f"is ended while {others} are down: at most {period.most} may be down at once"
            )


def check_min_rtt_slots(truth: GroundTruth) -> Findings:
    """Check that few nodes recalculate minRTT at once, and without a slot only after a long wait for one."""
    share = truth.plan.get("remeasure")
    if not share:
        return
    settings = MinRttSettings(share)
    for name in truth.names:
        yield from check_wait_without_slot(truth, name, settings.max_wait / 1e6)
    slots = settings.count_slots(len(truth.names))
    spans = [span for name in truth.names for span in recalculations(truth, name)]
    for begin, _, node in spans:
        # A node that was partitioned or paused may have lost its slot during its recalculation.
        inside = begin + LOG_DELAY_S + truth.max_lateness(begin, begin)
        at_once = {
            n for a, b, n in spans if a <= begin and inside < b and truth.could_reach_voters(n, a, begin)
        }
        if len(at_once | {node}) > slots:
            others = ", ".join(sorted(at_once - {node}))
            yield Finding(begin, node, f"recalculates minRTT while {others} do: at most {slots} may at once")


def recalculation_lines(truth: GroundTruth, name: str) -> list[tuple[float, re.Match[str]]]:
    """Return the matches of a node's log lines on minRTT recalculations, with their times."""
    lines = (
        (e["t"], MIN_RTT_RECALCULATION.search(e["text"])) for e in truth.events_of("log") if e["node"] == name
    )
    return [(at, match) for at, match in lines if match is not None]


def check_wait_without_slot(truth: GroundTruth, name: str, max_wait_s: float) -> Findings:
    """Check that a node that recalculates minRTT without a slot has waited for one long enough."""
    for at, match in recalculation_lines(truth, name):
        if match["waited"] and float(match["waited"]) < max_wait_s:
            yield Finding(
                at, name, f"recalculates minRTT without a slot after {match['waited']} s of waiting"
            )


def recalculations(truth: GroundTruth, name: str) -> list[Recalculation]:
    """Return the minRTT recalculations that a node did in a slot."""
    found = []
    started_at: float | None = None
    for at, match in recalculation_lines(truth, name):
        if match["over"] and started_at is not None:
            found.append(Recalculation(started_at, at, name))
        started_at = at if match["place"] else None
    return found


def check_single_prober_per_zone(truth: GroundTruth) -> Findings:
    """Check that only one node of a zone probes an ejected server while the nodes can reach the voters."""
    if not truth.plan.get("probe"):
        return
    lease_s = truth.plan["lease_ms"] / 1000
    wait_s = health_check_settings(int(lease_s * 1e6)).holder_timeout / 1e6 + LOG_DELAY_S
    for server, probes in probes_by_server(truth).items():
        for (before, other), (at, node) in pairwise(probes):
            if node == other or at - before >= lease_s / 2:
                continue
            if all(truth.could_reach_voters(n, at - wait_s, at) for n in (node, other)):
                description = f"probes server {server[1]} {at - before:.3f} s after {other} of the same zone"
                yield Finding(at, node, description)


def probes_by_server(truth: GroundTruth) -> dict[tuple[int, str], list[tuple[float, str]]]:
    """Return the time and node of each probe, by the node's zone and the server's number."""
    found: dict[tuple[int, str], list[tuple[float, str]]] = defaultdict(list)
    for e in truth.events_of("log"):
        match = HEALTH_CHECK.search(e["text"])
        if match is not None:
            found[truth.zones[e["node"]], match["server"]].append((e["t"], e["node"]))
    return found
