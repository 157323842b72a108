"""The lab's checkers of leases, replacements, zones and directives tell kept from broken."""

import re

import pytest
from lab_histories import ALL, END, RUN, START, attempt, process

from workbench.lab.checkers import check


def log(t, node, text):
    return {"t": t, "event": "log", "node": node, "text": f"{node}: {text}"}


def begins(t, node, place=0):
    return log(t, node, f"fleet pass begins place={place} token=7 waited=1.0")


def over(t, node):
    return log(t, node, "fleet pass over after=1.2")


def tries(t, node, server=7):
    return log(t, node, f"fleet tries server={server} token=9")


SPLIT = [process(3.0, "n1", "stop"), process(12.0, "n1", "cont")]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([begins(1, "n0"), over(2.5, "n0"), begins(2.6, "n1"), over(4, "n1")], {}),
        ([begins(1, "n0"), begins(2, "n1"), over(2.5, "n0"), over(4, "n1")], {"passes": ["n1"]}),
        ([begins(1, "n0"), begins(2.4, "n1"), over(2.5, "n0"), over(4, "n1")], {}),  # a line read late
        ([begins(2, "n1"), *SPLIT, begins(6, "n0"), over(7, "n0"), over(12.1, "n1")], {}),
        ([log(1, "n0", "fleet pass begins without a place waited=31.2"), over(3, "n0")], {}),
        ([log(1, "n0", "fleet pass begins without a place waited=0.1")], {"passes": ["n0"]}),
        ([tries(13.4, "n0"), tries(14.6, "n1")], {}),
        ([tries(13.4, "n0"), tries(13.6, "n1")], {"trials": ["n1"]}),
        ([tries(13.4, "n0"), tries(13.6, "n1", 8), tries(13.6, "n2")], {}),  # another server, another zone
        ([*SPLIT, tries(13.4, "n0"), tries(13.6, "n1")], {}),
    ],
)
def test_the_uses_of_leases_are_judged_by_logs_and_attempts(events, broken):
    plan = RUN["plan"] | {"remeasure": 0.3, "probe": True, "lease_ms": 1500.0, "voters": 3}
    run = RUN | {"plan": plan, "nodes": [["n0", 0], ["n1", 0], ["n2", 2]]}
    found = check([run, *START, *ALL, *sorted(events, key=lambda e: e["t"]), *END])
    assert {n: [b.who for b in found[n]] for n in ("passes", "trials") if found[n]} == broken


def replaced(t, node, ready, life=1):
    """By its own hand; a new process is ready then."""
    return [
        log(t, node, "stage serving -> ending"),
        process(t + 0.1, node, "exit", life, status=0, asked=False),
        process(t + 0.1, node, "start", life + 1),
        process(ready, node, "ready", life + 1),
    ]


def plan_event(t, what):
    return {"t": t, "event": "fault", "what": what, "type": "fleet_replace", "on": [], "most": 1}


SHOT = [process(2.2, "n0", "kill", 2), process(2.2, "n0", "exit", 2, status=-9, asked=True)]


@pytest.mark.parametrize(
    ("ends", "broken"),
    [
        ([*replaced(2, "n0", 3), *replaced(4, "n1", 5), *replaced(6, "n2", 7)], []),
        ([*replaced(2, "n0", 5), *replaced(4, "n1", 5), *replaced(6, "n2", 7)], ["n1"]),
        ([*replaced(2, "n0", 3), *replaced(4, "n1", 5)], ["n2"]),
        (
            [*replaced(2, "n0", 3), *replaced(4, "n0", 5, 2), *replaced(6, "n1", 7), *replaced(8, "n2", 9)],
            ["n0"],
        ),
        # The new process is killed before it is ready, and another takes its place.
        (
            [
                *replaced(2, "n0", 3)[:-1],
                *SHOT,
                process(2.5, "n0", "start", 3),
                process(3.0, "n0", "ready", 3),
                *replaced(4, "n1", 5),
                *replaced(6, "n2", 7),
            ],
            [],
        ),
    ],
)
def test_a_replacement_is_judged_by_who_is_out(ends, broken):
    run = RUN | {"plan": RUN["plan"] | {"supervise": True}}
    found = check([run, *START, plan_event(1, "begin"), *ends, plan_event(12, "end"), *END])
    assert [b.who for b in found["replacement"]] == broken


def evacuated(t, node="n0", seconds=10):
    return log(t, node, f"fleet zone z1 evacuated for {seconds} s")


def evacuated_by_directive(t, node="n0", seconds=5):
    return log(t, node, f"fleet zone z1 evacuated by directive, {seconds} s remaining")


def recovering(t, node="n0"):
    return log(t, node, "fleet zone z1 recovering in steps")


EARLIER_ZONE_LINES = [  # a line of zone routing, and how nodes of earlier revisions log it
    ("evacuated for", "is left for"),
    (r"evacuated by directive, (\d+) s remaining", r"is left by order, \1 s still"),
    ("recovering in steps", "returns, by steps"),
]


def as_logged_earlier(event):
    """The event with its log line, if it has one, as an earlier revision writes it."""
    text = event.get("text", "")
    for pattern, earlier in EARLIER_ZONE_LINES:
        text = re.sub(pattern, earlier, text)
    return event | {"text": text} if "text" in event else event


def to_zone(at, zone, node="n0"):
    return attempt(at, at + 0.1, call=f"{node} {at}") | {"node": node, "zone": zone}


NEAR = {"near": True, "fault": [], "trouble": []}
HIT = {"near": True, "fault": [], "trouble": [{}]}


@pytest.mark.parametrize(
    ("plan", "events", "broken"),
    [
        (NEAR, [*(to_zone(3 + i / 10, 0) for i in range(40)), to_zone(8, 1)], {}),
        (
            NEAR,
            [*(to_zone(3 + i / 10, 0) for i in range(40)), *(to_zone(8 + i, 1) for i in range(4))],
            {"home": 1},
        ),
        (HIT, [to_zone(3, 1), to_zone(4, 1)], {}),
        (
            HIT,
            [to_zone(3, 1), evacuated(4), to_zone(4.1, 1), to_zone(5, 0), recovering(14), to_zone(15, 1)],
            {},
        ),
        (HIT, [evacuated(4), to_zone(5, 1), recovering(14)], {"left": 1}),
        (HIT, [evacuated(4), to_zone(5, 1, "n1"), recovering(14)], {}),  # another node's
        (HIT, [evacuated(4), recovering(9)], {"turns": 1}),
        (HIT, [evacuated_by_directive(4), to_zone(5, 1)], {"left": 1}),
        (HIT, [evacuated(4), evacuated_by_directive(5), recovering(10)], {}),
        (
            HIT,
            [evacuated(4), process(5.0, "n0", "start", life=2), to_zone(6, 1), recovering(14)],
            {},
        ),  # a new process
    ],
)
@pytest.mark.parametrize("is_earlier", [False, True], ids=["lines-of-now", "earlier-lines"])
def test_what_goes_to_which_zone_is_judged(plan, events, broken, is_earlier):
    events = [as_logged_earlier(event) if is_earlier else event for event in events]
    run = RUN | {"plan": RUN["plan"] | plan, "nodes": [["n0", 0], ["n1", 1], ["n2", 2]]}
    found = check([run, *START, *ALL, *events, *END])
    assert {n: len(found[n]) for n in ("home", "left", "turns") if found[n]} == broken


def directive(t, what, number):
    return {"t": t, "event": "fault", "what": what, "number": number, "type": "zone_leave", "on": ["n1"]}


def obeys(t, node, until):
    return [evacuated_by_directive(t, node, seconds=3), recovering(until, node)]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        ([*obeys(2.5, "n0", 5.5), *obeys(2.5, "n1", 5.5), *obeys(2.5, "n2", 6)], []),
        ([*obeys(2.5, "n0", 5.5), *obeys(2.5, "n1", 5.5)], ["n2"]),  # never heard of it
        ([*obeys(2.5, "n0", 5.5), *obeys(2.5, "n1", 5.5), *obeys(2.5, "n2", 12)], ["n2"]),  # too long
        ([*obeys(2.5, "n0", 5.5), *obeys(7.0, "n1", 8.5), *obeys(2.5, "n2", 5.5)], ["n1"]),  # too late
    ],
)
@pytest.mark.parametrize("is_earlier", [False, True], ids=["lines-of-now", "earlier-lines"])
def test_a_directive_holds_everywhere_for_its_time(events, broken, is_earlier):
    events = [as_logged_earlier(event) if is_earlier else event for event in events]
    plan = RUN["plan"] | NEAR | {"fault": [{"for_s": 3.0}], "trouble": [{}]}
    words = [directive(2.0, "begin", 0), directive(5.0, "end", 0)]
    found = check([RUN | {"plan": plan}, *START, *ALL, *words, *events, *END])
    assert [b.who for b in found["directives"]] == broken
