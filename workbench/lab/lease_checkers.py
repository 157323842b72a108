"""Checkers of leases and of what is done under them: rolling updates, minRTT slots and health checks."""

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

MAX_LEASES_WITHOUT_HOLDER = 2  # lease durations that may pass at the end without a holder
MIN_RTT_RECALCULATION = re.compile(
    r"fleet pass (?:(?P<over>over)|begins (?:(?P<place>place=\d+)|without a place waited=(?P<waited>[\d.]+)))"
)
HEALTH_CHECK = re.compile(r"fleet tries server=(?P<server>\d+)")


class LeaseSpan(NamedTuple):
    """How long one process may count on the lease under one token, in microseconds of the lab's clock."""

    begin: int
    until: int
    node: str
    process: int
    token: int


class Recalculation(NamedTuple):
    """One minRTT recalculation that a node did in a slot, by its log."""

    begin: float
    end: float
    node: str


def one_lease_holder(truth: GroundTruth) -> Findings:
    """No two nodes may count on the lab's lease at one instant, and each next holder has a higher token."""
    spans = lease_spans(truth)
    for span, following in pairwise(spans):
        at, other = seconds(following.begin), following.node
        if following.begin < span.until and (span.node, span.process) != (other, following.process):
            overlap = (span.until - following.begin) / 1e6
            what = f"holds the lease while {span.node} may count on it for {overlap:.3f} s more"
            yield Finding(at, other, what)
        if following.token <= span.token:
            yield Finding(at, other, f"holds it with token {following.token}, {span.node} had {span.token}")
    yield from lease_held_at_end(truth, spans)


def lease_spans(truth: GroundTruth) -> list[LeaseSpan]:
    """The spans of all holders in the order of their begins."""
    held: dict[tuple[str, int, int], list[int]] = {}
    for e in truth.of("duty"):
        span = held.setdefault((e["node"], e["life"], e["token"]), [e["answered"], e["until"]])
        span[1] = max(span[1], e["until"])
    return sorted(LeaseSpan(begin, until, *key) for key, (begin, until) in held.items())


def lease_held_at_end(truth: GroundTruth, spans: list[LeaseSpan]) -> Findings:
    """Some node holds the lease at the end, if all faults are long over."""
    calm = truth.end - max([truth.last_change(), *(p.end for p in truth.periods)])
    if not truth.plan.get("voters") or not truth.agree <= calm < FOREVER:
        return
    last = seconds(max((span.until for span in spans), default=CLOCK_START_US))
    if last < truth.end - MAX_LEASES_WITHOUT_HOLDER * truth.plan["lease_ms"] / 1000:
        what = f"nobody has held the lease since {last:.1f} s, all faults are long over"
        yield Finding(truth.end, "all", what)


def rolling_update_completes(truth: GroundTruth) -> Findings:
    """A rolling update ends each process once, with a limited number down at a time, and completes."""
    for period in truth.periods:
        if period.type == "fleet_replace":
            yield from each_ended_once(truth, period)
            yield from few_down(truth, period)


def stopped_in(truth: GroundTruth, name: str, period: FaultPeriod) -> list[ProcessIncarnation]:
    """The processes of a node that were asked to stop, or stopped by themselves, during a period."""
    processes = truth.incarnations[name]
    return [process for process in processes if period.begin < process.stop_requested_at < period.end]


def each_ended_once(truth: GroundTruth, period: FaultPeriod) -> Findings:
    """Each node's process ends once by the update, if no fault ended it before."""
    for name in truth.names:
        stopped = stopped_in(truth, name, period)
        by_update = [process for process in stopped if process.stopped_by_itself]
        if len(by_update) > 1:
            what = f"was ended {len(by_update)} times by one plan"
            yield Finding(by_update[1].stop_requested_at, name, what)
        if not stopped:
            yield Finding(period.end, name, "was never ended by the plan")


def few_down(truth: GroundTruth, period: FaultPeriod) -> Findings:
    """No process is ended by the update while too many others are down."""
    ended = [
        (name, process)
        for name in truth.names
        for process in stopped_in(truth, name, period)
        if process.stopped_by_itself
    ]
    for name, process in ended:
        at = process.stop_requested_at
        down = {n for n, x in ended if x.stop_requested_at <= at < truth.replaced_at(n, x)}
        if len(down) > period.most:
            others = ", ".join(sorted(down - {name}))
            yield Finding(at, name, f"ends while {others} are out, {period.most} allowed")


def min_rtt_slots_respected(truth: GroundTruth) -> Findings:
    """A limited number of nodes recalculates minRTT at once; without a slot, only after a long wait."""
    share = truth.plan.get("remeasure")
    if not share:
        return
    settings = MinRttSettings(share)
    for name in truth.names:
        yield from waited_without_slot(truth, name, settings.max_wait / 1e6)
    slots = settings.count_slots(len(truth.names))
    spans = [span for name in truth.names for span in recalculations(truth, name)]
    for begin, _, node in spans:
        # A node that was partitioned or paused may have lost its slot half-way.
        inside = begin + LOG_DELAY_S + truth.late(begin, begin)
        at_once = {n for a, b, n in spans if a <= begin and inside < b and truth.steady(n, a, begin)}
        if len(at_once | {node}) > slots:
            others = ", ".join(sorted(at_once - {node}))
            yield Finding(begin, node, f"passes while {others} do, {slots} allowed at once")


def recalculation_lines(truth: GroundTruth, name: str) -> list[tuple[float, re.Match[str]]]:
    """A node's log lines on minRTT recalculations, with their times."""
    lines = ((e["t"], MIN_RTT_RECALCULATION.search(e["text"])) for e in truth.of("log") if e["node"] == name)
    return [(at, match) for at, match in lines if match is not None]


def waited_without_slot(truth: GroundTruth, name: str, max_wait_s: float) -> Findings:
    """A node that recalculates minRTT without a slot has waited for one as long as it must."""
    for at, match in recalculation_lines(truth, name):
        if match["waited"] and float(match["waited"]) < max_wait_s:
            yield Finding(at, name, f"passes without a place, after {match['waited']} s of waiting")


def recalculations(truth: GroundTruth, name: str) -> list[Recalculation]:
    """The minRTT recalculations that a node did in a slot."""
    found = []
    begun: float | None = None
    for at, match in recalculation_lines(truth, name):
        if match["over"] and begun is not None:
            found.append(Recalculation(begun, at, name))
        begun = at if match["place"] else None
    return found


def one_prober_per_zone(truth: GroundTruth) -> Findings:
    """Of a zone's nodes one probes an ejected server, by its log, while there is a majority to choose it."""
    if not truth.plan.get("probe"):
        return
    lease_s = truth.plan["lease_ms"] / 1000
    wait_s = health_check_settings(int(lease_s * 1e6)).holder_timeout / 1e6 + LOG_DELAY_S
    for server, probes in probes_by_server(truth).items():
        for (before, other), (at, node) in pairwise(probes):
            if node == other or at - before >= lease_s / 2:
                continue
            if all(truth.steady(n, at - wait_s, at) for n in (node, other)):
                what = f"tries server {server[1]} {at - before:.3f} s after {other} of its zone did"
                yield Finding(at, node, what)


def probes_by_server(truth: GroundTruth) -> dict[tuple[int, str], list[tuple[float, str]]]:
    """Times and nodes of the probes, by the node's zone and the server's number."""
    found: dict[tuple[int, str], list[tuple[float, str]]] = defaultdict(list)
    for e in truth.of("log"):
        match = HEALTH_CHECK.search(e["text"])
        if match is not None:
            found[truth.zones[e["node"]], match["server"]].append((e["t"], e["node"]))
    return found
