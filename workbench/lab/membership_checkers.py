"""Checkers of membership: views, zone summaries, incarnation numbers and members that rejoin."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

from workbench.lab.ground_truth import NON_MEMBER_KINDS, GroundTruth, MemberState, ZoneSummary
from workbench.lab.history import Event
from workbench.lab.process_history import ProcessIncarnation
from workbench.lab.violations import Finding, Findings

UNKNOWN_MEMBER = MemberState("unknown", 0)
UNKNOWN_ZONE = ZoneSummary("unknown", 0)


def check_views(truth: GroundTruth) -> Findings:
    """Check that views hold exactly the running members once the agreement time is over."""
    end = truth.end
    quiet_s = end - truth.last_change()
    if not truth.has_fleet or quiet_s < truth.agreement_time_s:
        return
    members = truth.members_at(end)
    for name in sorted(members):
        present = truth.present_in_view(name, end)
        others = truth.group(name, members)
        missing, extra = others - present, present - others
        late = f"{quiet_s:.1f} s after the last change"
        if missing:
            yield Finding(end, name, f"does not see {', '.join(sorted(missing))} {late}")
        if extra:
            yield Finding(end, name, f"still sees {', '.join(sorted(extra))} {late}")


def check_zone_summaries(truth: GroundTruth) -> Findings:
    """Check that every node knows the size of each other zone once the agreement time is over.

    Only a zone of which no node runs may be held lost or be unknown. This applies to membership by zone.
    """
    end = truth.end
    if not truth.by_zone or end - truth.last_change() < truth.agreement_time_s:
        return
    members = truth.members_at(end)
    sizes = Counter(f"z{truth.zones[name]}" for name in members)
    zones = {f"z{zone}" for zone in truth.zones.values()}
    for name in sorted(members):
        known = truth.summaries_at(name, end)
        for zone in sorted(zones - {f"z{truth.zones[name]}"}):
            state, size = known.get(zone, UNKNOWN_ZONE)
            if sizes[zone] and (state, size) != ("fresh", sizes[zone]):
                description = f"holds zone {zone} {state} with {size} nodes, but {sizes[zone]} run"
                yield Finding(end, name, description)
            elif not sizes[zone] and state not in ("lost", "unknown"):
                yield Finding(end, name, f"holds zone {zone} {state}, but none of its nodes runs")


def check_no_false_deaths(truth: GroundTruth) -> Findings:
    """Check that no node holds a member dead that runs and is reachable, outside the agreement time."""
    if not truth.has_fleet:
        return
    for e in truth.events_of("view"):
        for name, (state, _) in e["members"].items():
            if state in ("dead", "left") and not truth.may_seem_dead(e["node"], name, e["t"]):
                yield Finding(e["t"], e["node"], f"holds {name} {state}, which runs and is reachable")


def check_incarnation_numbers(truth: GroundTruth) -> Findings:
    """Check that incarnation numbers never decrease, in any view and over the processes of one node.

    A process that starts with its wall clock set back learns its predecessor's incarnation number from the
    other nodes. It has the agreement time after its start for that. `check_members_rejoin` then checks that
    all nodes hold its new number.
    """
    held: dict[tuple[str, int, str], int] = {}
    last_reported: dict[str, tuple[int, int]] = {}
    for e in truth.events_of("view"):
        last_process, highest = last_reported.get(e["node"], (0, 0))
        if e["own"] < highest and not is_learning_its_incarnation(truth, e, last_process):
            description = f"its own incarnation number decreased from {highest} to {e['own']}"
            yield Finding(e["t"], e["node"], description)
        last_reported[e["node"]] = (e["life"], max(e["own"], highest))
        for name, (_, incarnation) in e["members"].items():
            key = (e["node"], e["life"], name)
            if incarnation < held.get(key, 0):
                description = f"{name}'s incarnation number decreased from {held[key]} to {incarnation}"
                yield Finding(e["t"], e["node"], description)
            held[key] = max(incarnation, held.get(key, 0))


def is_learning_its_incarnation(truth: GroundTruth, view: Event, last_process: int) -> bool:
    """Return whether a view is of a process that started recently with its wall clock set back."""
    processes = {process.number: process for process in truth.incarnations[view["node"]]}
    new, old = processes.get(view["life"]), processes.get(last_process)
    if new is None or old is None or new.number <= old.number:
        return False
    return new.clock < old.clock and view["t"] < new.start + truth.agreement_time_s


def check_members_rejoin(truth: GroundTruth) -> Findings:
    """Check that all undisturbed nodes hold a node's new process alive within the agreement time."""
    if not truth.has_fleet:
        return
    for name in truth.names:
        if truth.faulty_nodes.get(name) in NON_MEMBER_KINDS:
            continue
        for last, new in pairwise(truth.incarnations[name]):
            due = new.ready + truth.agreement_time_s
            if due < truth.end and truth.ran_undisturbed(name, new.ready, due):
                yield from check_rejoined(truth, name, last, new)


def check_rejoined(
    truth: GroundTruth, name: str, last: ProcessIncarnation, new: ProcessIncarnation
) -> Findings:
    """Check that a new process has a higher incarnation number and is held alive with it by the others."""
    due = new.ready + truth.agreement_time_s
    previous = truth.membership_incarnation_at(name, last.end)
    own = truth.membership_incarnation_at(name, new.ready + truth.agreement_time_s / 2)
    if own <= previous:
        description = f"process {new.number} has incarnation {own}, the previous one had {previous}"
        yield Finding(due, name, description)
    for observer in sorted(truth.group(name, truth.members_at(due))):
        if not truth.ran_undisturbed(observer, new.ready, due):
            continue
        state, held = truth.view_at(observer, due).get(name, UNKNOWN_MEMBER)
        if state != "alive" or held < own:
            late = f"{truth.agreement_time_s:g} s after that process was ready"
            description = f"holds {name} {state} with incarnation {held} instead of {own}, {late}"
            yield Finding(due, observer, description)
