"""Checkers of zone routing: evacuations by evidence and by directive, and calls that leave their zone."""

from __future__ import annotations

import re
from typing import NamedTuple

from workbench.lab.ground_truth import GroundTruth, seconds
from workbench.lab.violations import LOG_DELAY_S, Finding, Findings

# Nodes of earlier revisions log "is left for", "is left by order" and "returns".
ZONE_ROUTING = re.compile(
    r"fleet zone (?P<zone>\S+) (?:(?:evacuated|is left) for (?P<hold>[\d.]+) s"
    r"|evacuated by directive|is left by order|(?P<back>recovering|returns))"
)
MAX_CROSS_ZONE_SHARE = 0.05  # of the calls, where nothing is wrong
WARM_UP_S = 2.0  # after the clients' begin, in which calls may leave their zone
DIRECTIVE_DELAY_S = 4.0  # until a directive has reached, or ended for, all nodes


class Evacuation(NamedTuple):
    """A node's evacuation of a zone, by its log; `hold` is how long the node announced, 0: by directive."""

    zone: str
    begin: float
    end: float
    hold: float


class Directive(NamedTuple):
    """An operator's directive to evacuate a zone."""

    zone: str
    begin: float
    end: float


def directives_followed(truth: GroundTruth) -> Findings:
    """A directive to evacuate a zone reaches every node and is over for all in time.

    That holds whatever the wall clocks say. Overlapping directives for one zone are not judged.
    """
    if not truth.plan.get("near"):
        return
    given = directives(truth)
    for directive in given:
        if any(overlaps(directive, other) for other in given if other is not directive):
            continue
        last = directive.end + DIRECTIVE_DELAY_S
        for name in truth.names:
            if last < truth.end and truth.undisturbed(name, directive.begin, last):
                yield from directive_followed(truth, directive, name)


def directives(truth: GroundTruth) -> list[Directive]:
    """The directives of the run's plan."""
    return [
        Directive(f"z{zone}", p.begin, p.begin + float(truth.plan["fault"][p.number]["for_s"]))
        for p in truth.periods
        if p.type == "zone_leave"
        for zone in sorted({truth.zones[name] for name in p.on})
    ]


def overlaps(directive: Directive, other: Directive) -> bool:
    """Whether another directive for the same zone is active during a directive or just after it."""
    last = directive.end + DIRECTIVE_DELAY_S
    return other.zone == directive.zone and other.begin < last and directive.begin < other.end


def directive_followed(truth: GroundTruth, directive: Directive, name: str) -> Findings:
    """Whether a node evacuated the zone of a directive for its time."""
    zone, begin, end = directive
    evacuated = [e for e in evacuations(truth, name) if e.zone == zone and e.begin < end and begin < e.end]
    earliest, latest = end - DIRECTIVE_DELAY_S, end + DIRECTIVE_DELAY_S
    if any(e.begin <= begin + DIRECTIVE_DELAY_S and earliest <= e.end <= latest for e in evacuated):
        return
    spans = ", ".join(f"from {e.begin:.1f} to {e.end:.1f} s" for e in evacuated) or "never"
    what = f"was to leave zone {zone} from {begin:.1f} to {end:.1f} s, left {spans}"
    yield Finding(begin, name, what)


def no_calls_to_evacuated_zones(truth: GroundTruth) -> Findings:
    """Nothing goes from a node to a zone that it has evacuated, until it returns."""
    if not truth.plan.get("near"):
        return
    numbers = {f"z{zone}": zone for zone in truth.zones.values()}
    for name in truth.names:
        attempts = [e for e in truth.of("attempt") if e["node"] == name]
        for zone, begin, end, _ in evacuations(truth, name):
            first = begin + LOG_DELAY_S + truth.late(begin, begin)
            times = [seconds(e["began"]) for e in attempts if e["zone"] == numbers.get(zone)]
            sent = [at for at in times if first < at < end - LOG_DELAY_S]
            if sent:
                yield Finding(sent[0], name, f"{len(sent)} calls to zone {zone}, which it has left")


def evacuations_held(truth: GroundTruth) -> Findings:
    """A zone that was evacuated by evidence stays so for as long as the node announced."""
    if not truth.plan.get("near"):
        return
    for name in truth.names:
        for zone, begin, end, hold in evacuations(truth, name):
            if hold and end < truth.end and end - begin < hold - LOG_DELAY_S:
                what = f"returns to zone {zone} after {end - begin:.1f} s, {hold:g} were due"
                yield Finding(end, name, what)


def evacuations(truth: GroundTruth, name: str) -> list[Evacuation]:
    """The evacuations of one node by its log; a process that ends ends them too."""
    found: list[Evacuation] = []
    open_since: dict[str, tuple[float, float]] = {}
    starts = [e["t"] for e in truth.of("process") if e["node"] == name and e["what"] == "start"]
    for e in truth.of("log"):
        match = ZONE_ROUTING.search(e["text"]) if e["node"] == name else None
        if match is None:
            continue
        zone = match["zone"]
        if zone in open_since:
            begin, hold = open_since.pop(zone)
            end = min([e["t"], *(at for at in starts if at > begin)])
            # A directive may come in between, or another process, which knows nothing of the evacuation.
            found.append(Evacuation(zone, begin, end, hold if match["back"] and end == e["t"] else 0.0))
        if not match["back"]:
            open_since[zone] = (e["t"], float(match["hold"] or 0))
    for zone, (begin, hold) in open_since.items():
        found.append(Evacuation(zone, begin, min([truth.end, *(at for at in starts if at > begin)]), hold))
    return found


def calls_stay_in_zone(truth: GroundTruth) -> Findings:
    """Where nothing is wrong, calls stay in their zone."""
    plan = truth.plan
    if not plan.get("near") or plan["fault"] or plan["trouble"] or truth.faulty_nodes:
        return
    sent = [e for e in truth.of("attempt") if seconds(e["began"]) > truth.go + WARM_UP_S]
    cross_zone = sum(e["zone"] != truth.zones[e["node"]] for e in sent)
    if cross_zone > MAX_CROSS_ZONE_SHARE * len(sent):
        what = f"{cross_zone} of {len(sent)} calls left their zone, though nothing was wrong"
        yield Finding(truth.end, "all", what)
