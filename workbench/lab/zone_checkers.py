"""Checkers of zone routing: evacuations after failures or by directive, and cross-zone requests."""

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
MAX_CROSS_ZONE_SHARE = 0.05  # Limit for the share of attempts, in runs without any fault.
WARM_UP_S = 2.0  # Time after the clients' start in which attempts may leave their zone.
DIRECTIVE_DELAY_S = 4.0  # Maximum time until a directive, or its end, has reached all nodes.


class Evacuation(NamedTuple):
    """A node's evacuation of a zone, as its log reports it.

    Attributes:
        zone: The name of the zone.
        begin: When the evacuation started, in seconds of the lab.
        end: When it ended, in seconds of the lab.
        hold: The announced minimum duration in seconds; 0 for an evacuation by directive.
    """

    zone: str
    begin: float
    end: float
    hold: float


class Directive(NamedTuple):
    """An operator's directive to evacuate a zone between two times."""

    zone: str
    begin: float
    end: float


def check_directives(truth: GroundTruth) -> Findings:
    """Check that a directive to evacuate a zone takes effect, and ends, on every node in time.

    It must do so whatever the wall clocks show. Overlapping directives for one zone are not checked.
    """
    if not truth.plan.get("near"):
        return
    given = directives(truth)
    for directive in given:
        if any(overlaps(directive, other) for other in given if other is not directive):
            continue
        last = directive.end + DIRECTIVE_DELAY_S
        for name in truth.names:
            if last < truth.end and truth.ran_undisturbed(name, directive.begin, last):
                yield from check_directive(truth, directive, name)


def directives(truth: GroundTruth) -> list[Directive]:
    """Return the directives of the run's plan."""
    return [
        Directive(f"z{zone}", p.begin, p.begin + float(truth.plan["fault"][p.number]["for_s"]))
        for p in truth.periods
        if p.type == "zone_leave"
        for zone in sorted({truth.zones[name] for name in p.on})
    ]


def overlaps(directive: Directive, other: Directive) -> bool:
    """Return whether another directive for the same zone is active during a directive or just after it."""
    last = directive.end + DIRECTIVE_DELAY_S
    return other.zone == directive.zone and other.begin < last and directive.begin < other.end


def check_directive(truth: GroundTruth, directive: Directive, name: str) -> Findings:
    """Check that a node evacuated the zone of a directive for the directive's duration."""
    zone, begin, end = directive
    evacuated = [e for e in evacuations(truth, name) if e.zone == zone and e.begin < end and begin < e.end]
    earliest, latest = end - DIRECTIVE_DELAY_S, end + DIRECTIVE_DELAY_S
    if any(e.begin <= begin + DIRECTIVE_DELAY_S and earliest <= e.end <= latest for e in evacuated):
        return
    spans = ", ".join(f"from {e.begin:.1f} to {e.end:.1f} s" for e in evacuated) or "never"
    description = f"had to evacuate zone {zone} from {begin:.1f} to {end:.1f} s, did so {spans}"
    yield Finding(begin, name, description)


def check_no_attempts_to_evacuated_zones(truth: GroundTruth) -> Findings:
    """Check that a node sends nothing to a zone that it has evacuated."""
    if not truth.plan.get("near"):
        return
    numbers = {f"z{zone}": zone for zone in truth.zones.values()}
    for name in truth.names:
        attempts = [e for e in truth.events_of("attempt") if e["node"] == name]
        for zone, begin, end, _ in evacuations(truth, name):
            first = begin + LOG_DELAY_S + truth.max_lateness(begin, begin)
            times = [seconds(e["began"]) for e in attempts if e["zone"] == numbers.get(zone)]
            sent = [at for at in times if first < at < end - LOG_DELAY_S]
            if sent:
                yield Finding(
                    sent[0], name, f"sent {len(sent)} attempts to zone {zone}, which it has evacuated"
                )


def check_evacuation_durations(truth: GroundTruth) -> Findings:
    """Check that a zone evacuated after failures stays evacuated for as long as the node announced."""
    if not truth.plan.get("near"):
        return
    for name in truth.names:
        for zone, begin, end, hold in evacuations(truth, name):
            if hold and end < truth.end and end - begin < hold - LOG_DELAY_S:
                description = f"returns to zone {zone} after {end - begin:.1f} s instead of {hold:g} s"
                yield Finding(end, name, description)


def evacuations(truth: GroundTruth, name: str) -> list[Evacuation]:
    """Return the evacuations that one node logged; the start of a new process also ends them."""
    found: list[Evacuation] = []
    open_since: dict[str, tuple[float, float]] = {}
    starts = [e["t"] for e in truth.events_of("process") if e["node"] == name and e["what"] == "start"]
    for e in truth.events_of("log"):
        match = ZONE_ROUTING.search(e["text"]) if e["node"] == name else None
        if match is None:
            continue
        zone = match["zone"]
        if zone in open_since:
            begin, hold = open_since.pop(zone)
            end = min([e["t"], *(at for at in starts if at > begin)])
            # A directive or a new process, which does not know of the evacuation, may end it before its time.
            found.append(Evacuation(zone, begin, end, hold if match["back"] and end == e["t"] else 0.0))
        if not match["back"]:
            open_since[zone] = (e["t"], float(match["hold"] or 0))
    for zone, (begin, hold) in open_since.items():
        found.append(Evacuation(zone, begin, min([truth.end, *(at for at in starts if at > begin)]), hold))
    return found


def check_attempts_stay_in_zone(truth: GroundTruth) -> Findings:
    """Check that requests stay in their zone in a run without any fault."""
    plan = truth.plan
    if not plan.get("near") or plan["fault"] or plan["trouble"] or truth.faulty_nodes:
        return
    sent = [e for e in truth.events_of("attempt") if seconds(e["began"]) > truth.clients_start + WARM_UP_S]
    cross_zone = sum(e["zone"] != truth.zones[e["node"]] for e in sent)
    if cross_zone > MAX_CROSS_ZONE_SHARE * len(sent):
        description = f"{cross_zone} of {len(sent)} attempts left their zone in a run without faults"
        yield Finding(truth.end, "all", description)
