"""Checkers of membership: views, zone summaries, incarnation numbers and members that come back."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

from workbench.lab.ground_truth import NON_MEMBER_KINDS, GroundTruth, MemberState, ZoneSummary
from workbench.lab.history import Event
from workbench.lab.process_history import ProcessIncarnation
from workbench.lab.violations import Finding, Findings

UNKNOWN_MEMBER = MemberState("unknown", 0)
UNKNOWN_ZONE = ZoneSummary("unknown", 0)


def views_converge(truth: GroundTruth) -> Findings:
    """Once the faults are over and the plan's time has passed, views hold just the members that run."""
    end = truth.end
    calm = end - truth.last_change()
    if not truth.fleet or calm < truth.agree:
        return
    members = truth.members_at(end)
    for name in sorted(members):
        present = truth.present_in_view(name, end)
        others = truth.group(name, members)
        missing, extra = others - present, present - others
        late = f"{calm:.1f} s after the last change"
        if missing:
            yield Finding(end, name, f"does not see {', '.join(sorted(missing))} {late}")
        if extra:
            yield Finding(end, name, f"still sees {', '.join(sorted(extra))} {late}")


def zone_summaries_converge(truth: GroundTruth) -> Findings:
    """With membership by zone, every node knows each zone's size once the plan's time has passed.

    It holds those zones alone lost of which no node runs.
    """
    end = truth.end
    if not truth.by_zone or end - truth.last_change() < truth.agree:
        return
    members = truth.members_at(end)
    sizes = Counter(f"z{truth.zones[name]}" for name in members)
    zones = {f"z{zone}" for zone in truth.zones.values()}
    for name in sorted(members):
        known = truth.summaries_at(name, end)
        for zone in sorted(zones - {f"z{truth.zones[name]}"}):
            state, size = known.get(zone, UNKNOWN_ZONE)
            if sizes[zone] and (state, size) != ("fresh", sizes[zone]):
                what = f"holds zone {zone} {state} with {size} nodes, {sizes[zone]} run"
                yield Finding(end, name, what)
            elif not sizes[zone] and state not in ("lost", "unknown"):
                yield Finding(end, name, f"holds zone {zone} {state}, of which no node runs")


def no_false_deaths(truth: GroundTruth) -> Findings:
    """No member is held dead that runs and can be reached; the plan's time is allowed after each change."""
    if not truth.fleet:
        return
    for e in truth.of("view"):
        for name, (state, _) in e["members"].items():
            if state in ("dead", "left") and not truth.may_seem_dead(e["node"], name, e["t"]):
                yield Finding(e["t"], e["node"], f"holds {name} {state}, which runs and is not cut off")


def incarnation_numbers_rise(truth: GroundTruth) -> Findings:
    """What a process holds of a member's incarnation never goes back, and a new process has a higher one.

    A process whose wall clock was set back before it started learns from the others how high its
    predecessor's was: it has the plan's time after its start for that. `members_rejoin` then asks that all
    hold the new one.
    """
    held: dict[tuple[str, int, str], int] = {}
    own: dict[str, tuple[int, int]] = {}
    for e in truth.of("view"):
        last_process, highest = own.get(e["node"], (0, 0))
        if e["own"] < highest and not learns_its_incarnation(truth, e, last_process):
            what = f"its own incarnation went back from {highest} to {e['own']}"
            yield Finding(e["t"], e["node"], what)
        own[e["node"]] = (e["life"], max(e["own"], highest))
        for name, (_, incarnation) in e["members"].items():
            key = (e["node"], e["life"], name)
            if incarnation < held.get(key, 0):
                what = f"{name}'s incarnation went back from {held[key]} to {incarnation}"
                yield Finding(e["t"], e["node"], what)
            held[key] = max(incarnation, held.get(key, 0))


def learns_its_incarnation(truth: GroundTruth, view: Event, last_process: int) -> bool:
    """Whether a view is of a new process that started lately and with its wall clock set back."""
    processes = {process.number: process for process in truth.incarnations[view["node"]]}
    new, old = processes.get(view["life"]), processes.get(last_process)
    if new is None or old is None or new.number <= old.number:
        return False
    return new.clock < old.clock and view["t"] < new.start + truth.agree


def members_rejoin(truth: GroundTruth) -> Findings:
    """All nodes that ran on hold a new process of a node alive within the plan's time."""
    if not truth.fleet:
        return
    for name in truth.names:
        if truth.faulty_nodes.get(name) in NON_MEMBER_KINDS:
            continue
        for last, new in pairwise(truth.incarnations[name]):
            due = new.ready + truth.agree
            if due < truth.end and truth.undisturbed(name, new.ready, due):
                yield from rejoined(truth, name, last, new)


def rejoined(truth: GroundTruth, name: str, last: ProcessIncarnation, new: ProcessIncarnation) -> Findings:
    """Whether a node's new process has a higher incarnation number and the others hold that alive."""
    due = new.ready + truth.agree
    ended = truth.membership_incarnation_at(name, last.end)
    own = truth.membership_incarnation_at(name, new.ready + truth.agree / 2)
    if own <= ended:
        what = f"life {new.number} has incarnation {own}, the last one had {ended}"
        yield Finding(due, name, what)
    for observer in sorted(truth.group(name, truth.members_at(due))):
        if not truth.undisturbed(observer, new.ready, due):
            continue
        state, held = truth.view_at(observer, due).get(name, UNKNOWN_MEMBER)
        if state != "alive" or held < own:
            late = f"{truth.agree:g} s after it was ready"
            what = f"holds {name} {state} with incarnation {held}, its own is {own}, {late}"
            yield Finding(due, observer, what)
