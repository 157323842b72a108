"""Tests of the lab's checkers of minRTT slots, probes, rolling updates, zone routing and directives."""

import re

import pytest
from lab_histories import COMPLETE_VIEWS, END_EVENTS, RUN_EVENT, START_EVENTS, attempt_event, process_event

from workbench.lab.checkers import check


def log(t, node, text):
    return {"t": t, "event": "log", "node": node, "text": f"{node}: {text}"}


def recalculation_begins(t, node, place=0):
    return log(t, node, f"fleet pass begins place={place} token=7 waited=1.0")


def recalculation_ends(t, node):
    return log(t, node, "fleet pass over after=1.2")


def probes(t, node, server=7):
    return log(t, node, f"fleet tries server={server} token=9")


N1_PAUSED = [process_event(3.0, "n1", "stop"), process_event(12.0, "n1", "cont")]


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        (
            [
                recalculation_begins(1, "n0"),
                recalculation_ends(2.5, "n0"),
                recalculation_begins(2.6, "n1"),
                recalculation_ends(4, "n1"),
            ],
            {},
        ),
        (
            [
                recalculation_begins(1, "n0"),
                recalculation_begins(2, "n1"),
                recalculation_ends(2.5, "n0"),
                recalculation_ends(4, "n1"),
            ],
            {"passes": ["n1"]},
        ),
        # The overlap is short: the lab may have read the log line late.
        (
            [
                recalculation_begins(1, "n0"),
                recalculation_begins(2.4, "n1"),
                recalculation_ends(2.5, "n0"),
                recalculation_ends(4, "n1"),
            ],
            {},
        ),
        (
            [
                recalculation_begins(2, "n1"),
                *N1_PAUSED,
                recalculation_begins(6, "n0"),
                recalculation_ends(7, "n0"),
                recalculation_ends(12.1, "n1"),
            ],
            {},
        ),
        ([log(1, "n0", "fleet pass begins without a place waited=31.2"), recalculation_ends(3, "n0")], {}),
        ([log(1, "n0", "fleet pass begins without a place waited=0.1")], {"passes": ["n0"]}),
        ([probes(13.4, "n0"), probes(14.6, "n1")], {}),
        ([probes(13.4, "n0"), probes(13.6, "n1")], {"trials": ["n1"]}),
        # Another server; another zone.
        (
            [probes(13.4, "n0"), probes(13.6, "n1", 8), probes(13.6, "n2")],
            {},
        ),
        ([*N1_PAUSED, probes(13.4, "n0"), probes(13.6, "n1")], {}),
    ],
)
def test_min_rtt_slots_and_probes_are_checked_by_log_lines(events, violations):
    plan = RUN_EVENT["plan"] | {"remeasure": 0.3, "probe": True, "lease_ms": 1500.0, "voters": 3}
    run = RUN_EVENT | {"plan": plan, "nodes": [["n0", 0], ["n1", 0], ["n2", 2]]}
    found = check([run, *START_EVENTS, *COMPLETE_VIEWS, *sorted(events, key=lambda e: e["t"]), *END_EVENTS])
    assert {name: [v.node for v in found[name]] for name in ("passes", "trials") if found[name]} == violations


def replaced(t, node, ready, life=1):
    """Return the events of a process that shuts down by itself, and of its successor until it is ready."""
    return [
        log(t, node, "stage serving -> ending"),
        process_event(t + 0.1, node, "exit", life, status=0, asked=False),
        process_event(t + 0.1, node, "start", life + 1),
        process_event(ready, node, "ready", life + 1),
    ]


def update_fault(t, what):
    return {"t": t, "event": "fault", "what": what, "type": "fleet_replace", "on": [], "most": 1}


KILLED = [process_event(2.2, "n0", "kill", 2), process_event(2.2, "n0", "exit", 2, status=-9, asked=True)]


@pytest.mark.parametrize(
    ("replacements", "nodes"),
    [
        ([*replaced(2, "n0", 3), *replaced(4, "n1", 5), *replaced(6, "n2", 7)], []),
        ([*replaced(2, "n0", 5), *replaced(4, "n1", 5), *replaced(6, "n2", 7)], ["n1"]),
        ([*replaced(2, "n0", 3), *replaced(4, "n1", 5)], ["n2"]),
        (
            [*replaced(2, "n0", 3), *replaced(4, "n0", 5, 2), *replaced(6, "n1", 7), *replaced(8, "n2", 9)],
            ["n0"],
        ),
        # The new process is killed before it is ready, and another one replaces it.
        (
            [
                *replaced(2, "n0", 3)[:-1],
                *KILLED,
                process_event(2.5, "n0", "start", 3),
                process_event(3.0, "n0", "ready", 3),
                *replaced(4, "n1", 5),
                *replaced(6, "n2", 7),
            ],
            [],
        ),
    ],
)
def test_rolling_update_checker_limits_nodes_down_at_once(replacements, nodes):
    run = RUN_EVENT | {"plan": RUN_EVENT["plan"] | {"supervise": True}}
    found = check(
        [run, *START_EVENTS, update_fault(1, "begin"), *replacements, update_fault(12, "end"), *END_EVENTS]
    )
    assert [v.node for v in found["replacement"]] == nodes


def evacuated(t, node="n0", seconds=10):
    return log(t, node, f"fleet zone z1 evacuated for {seconds} s")


def evacuated_by_directive(t, node="n0", seconds=5):
    return log(t, node, f"fleet zone z1 evacuated by directive, {seconds} s remaining")


def recovering(t, node="n0"):
    return log(t, node, "fleet zone z1 recovering in steps")


# Patterns of current log lines of zone routing, and the lines that nodes of earlier revisions log instead.
EARLIER_ZONE_LINES = [
    ("evacuated for", "is left for"),
    (r"evacuated by directive, (\d+) s remaining", r"is left by order, \1 s still"),
    ("recovering in steps", "returns, by steps"),
]


def as_logged_earlier(event):
    """Return an event with its log line, if it has one, as a node of an earlier revision logs it."""
    text = event.get("text", "")
    for pattern, earlier in EARLIER_ZONE_LINES:
        text = re.sub(pattern, earlier, text)
    return event | {"text": text} if "text" in event else event


def to_zone(at, zone, node="n0"):
    return attempt_event(at, at + 0.1, call=f"{node} {at}") | {"node": node, "zone": zone}


NEAR = {"near": True, "fault": [], "trouble": []}
NEAR_WITH_TROUBLE = {"near": True, "fault": [], "trouble": [{}]}


@pytest.mark.parametrize(
    ("plan", "events", "violations"),
    [
        (NEAR, [*(to_zone(3 + i / 10, 0) for i in range(40)), to_zone(8, 1)], {}),
        (
            NEAR,
            [*(to_zone(3 + i / 10, 0) for i in range(40)), *(to_zone(8 + i, 1) for i in range(4))],
            {"home": 1},
        ),
        (NEAR_WITH_TROUBLE, [to_zone(3, 1), to_zone(4, 1)], {}),
        (
            NEAR_WITH_TROUBLE,
            [to_zone(3, 1), evacuated(4), to_zone(4.1, 1), to_zone(5, 0), recovering(14), to_zone(15, 1)],
            {},
        ),
        (NEAR_WITH_TROUBLE, [evacuated(4), to_zone(5, 1), recovering(14)], {"left": 1}),
        # Another node evacuated the zone.
        (
            NEAR_WITH_TROUBLE,
            [evacuated(4), to_zone(5, 1, "n1"), recovering(14)],
            {},
        ),
        (NEAR_WITH_TROUBLE, [evacuated(4), recovering(9)], {"turns": 1}),
        (NEAR_WITH_TROUBLE, [evacuated_by_directive(4), to_zone(5, 1)], {"left": 1}),
        (NEAR_WITH_TROUBLE, [evacuated(4), evacuated_by_directive(5), recovering(10)], {}),
        # A new process of the node does not know of the evacuation.
        (
            NEAR_WITH_TROUBLE,
            [evacuated(4), process_event(5.0, "n0", "start", life=2), to_zone(6, 1), recovering(14)],
            {},
        ),
    ],
)
@pytest.mark.parametrize("is_earlier", [False, True], ids=["current-log-lines", "earlier-log-lines"])
def test_cross_zone_attempts_and_evacuations_are_checked(plan, events, violations, is_earlier):
    events = [as_logged_earlier(event) if is_earlier else event for event in events]
    run = RUN_EVENT | {"plan": RUN_EVENT["plan"] | plan, "nodes": [["n0", 0], ["n1", 1], ["n2", 2]]}
    found = check([run, *START_EVENTS, *COMPLETE_VIEWS, *events, *END_EVENTS])
    assert {name: len(found[name]) for name in ("home", "left", "turns") if found[name]} == violations


def directive(t, what, number):
    return {"t": t, "event": "fault", "what": what, "number": number, "type": "zone_leave", "on": ["n1"]}


def follows_directive(t, node, until):
    return [evacuated_by_directive(t, node, seconds=3), recovering(until, node)]


@pytest.mark.parametrize(
    ("events", "nodes"),
    [
        (
            [
                *follows_directive(2.5, "n0", 5.5),
                *follows_directive(2.5, "n1", 5.5),
                *follows_directive(2.5, "n2", 6),
            ],
            [],
        ),
        # n2 never receives the directive.
        (
            [*follows_directive(2.5, "n0", 5.5), *follows_directive(2.5, "n1", 5.5)],
            ["n2"],
        ),
        # n2 follows the directive for too long.
        (
            [
                *follows_directive(2.5, "n0", 5.5),
                *follows_directive(2.5, "n1", 5.5),
                *follows_directive(2.5, "n2", 12),
            ],
            ["n2"],
        ),
        # n1 follows the directive too late.
        (
            [
                *follows_directive(2.5, "n0", 5.5),
                *follows_directive(7.0, "n1", 8.5),
                *follows_directive(2.5, "n2", 5.5),
            ],
            ["n1"],
        ),
    ],
)
@pytest.mark.parametrize("is_earlier", [False, True], ids=["current-log-lines", "earlier-log-lines"])
def test_directive_must_hold_on_every_node_for_its_duration(events, nodes, is_earlier):
    events = [as_logged_earlier(event) if is_earlier else event for event in events]
    plan = RUN_EVENT["plan"] | NEAR | {"fault": [{"for_s": 3.0}], "trouble": [{}]}
    faults = [directive(2.0, "begin", 0), directive(5.0, "end", 0)]
    found = check([RUN_EVENT | {"plan": plan}, *START_EVENTS, *COMPLETE_VIEWS, *faults, *events, *END_EVENTS])
    assert [v.node for v in found["directives"]] == nodes
