"""Tests of the lab's checkers of views, incarnation numbers, answers, attempts and leases."""

import pytest
from lab_histories import (
    COMPLETE_VIEWS,
    END_EVENTS,
    KILL_OF_N2,
    RUN_EVENT,
    START_EVENTS,
    VIEWS_WITH_N2_DEAD,
    attempt_event,
    lateness_event,
    lease_event,
    process_event,
    request_event,
    view_event,
)

from workbench.lab.checkers import check
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import HistoryError, read


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        (COMPLETE_VIEWS, {}),
        ([*COMPLETE_VIEWS, *KILL_OF_N2, *VIEWS_WITH_N2_DEAD], {}),
        ([*COMPLETE_VIEWS, *KILL_OF_N2, VIEWS_WITH_N2_DEAD[0]], {"views": ["n1"]}),
        ([*COMPLETE_VIEWS, VIEWS_WITH_N2_DEAD[0] | {"t": 6.0}], {"views": ["n0"], "deaths": ["n0"]}),
        ([*COMPLETE_VIEWS, process_event(3.0, "n1", "stop"), process_event(9.0, "n1", "cont")], {}),
        (
            [*COMPLETE_VIEWS, view_event(6.0, "n0", n1=("alive", 0), n2=("alive", 1))],
            {"incarnations": ["n0"]},
        ),
        (
            [*COMPLETE_VIEWS, view_event(6.0, "n0", own=0, n1=("alive", 1), n2=("alive", 1))],
            {"incarnations": ["n0"]},
        ),
        ([*COMPLETE_VIEWS, request_event(2.2, answer="none")], {"answers": ["n0"]}),
        ([*COMPLETE_VIEWS, request_event(2.2, answer="spoilt")], {"answers": ["n0"]}),
        (
            [
                *COMPLETE_VIEWS,
                *KILL_OF_N2,
                *VIEWS_WITH_N2_DEAD,
                request_event(4.2, "n2", "none", sent=2.5, until=4.0),
            ],
            {},
        ),
        (
            [
                *COMPLETE_VIEWS,
                *KILL_OF_N2,
                *VIEWS_WITH_N2_DEAD,
                request_event(4.2, "n1", "none", sent=2.5, until=4.0),
            ],
            {"answers": ["n1"]},
        ),
        ([*COMPLETE_VIEWS, attempt_event(1, 1.2), attempt_event(1.1, 1.3)], {"attempts": ["n0"]}),
        (
            [*COMPLETE_VIEWS, attempt_event(1, 1.2), attempt_event(1.1, 1.3), lateness_event(1.5, 90)],
            {"attempts": ["n0"]},
        ),
        ([*COMPLETE_VIEWS, attempt_event(1, 1.2), attempt_event(1.1, 1.3), lateness_event(1.5, 110)], {}),
        ([*COMPLETE_VIEWS, attempt_event(2.2, 2.3, away=1.6), lateness_event(2.5, 110)], {}),
        ([*COMPLETE_VIEWS, request_event(2.2, answer="none"), lateness_event(2.5, 90)], {"answers": ["n0"]}),
        ([*COMPLETE_VIEWS, request_event(2.2, answer="none"), lateness_event(2.5, 110)], {}),
        ([*COMPLETE_VIEWS, attempt_event(1, 1.2, "error"), attempt_event(1.3, 1.4)], {}),
        (
            [*COMPLETE_VIEWS, attempt_event(1, 1.2, "error"), attempt_event(1.3, 1.4, effect="unsafe")],
            {"attempts": ["n0"]},
        ),
        (
            [*COMPLETE_VIEWS, *(attempt_event(i, i + 0.1, "rejected") for i in range(1, 6))],
            {"attempts": ["n0"]},
        ),
        ([*COMPLETE_VIEWS, attempt_event(2.0, 2.1, away=1.6)], {}),
        ([*COMPLETE_VIEWS, attempt_event(2.2, 2.3, away=1.6)], {"drains": ["n0"]}),
        (
            [
                *COMPLETE_VIEWS,
                *KILL_OF_N2[:1],
                *VIEWS_WITH_N2_DEAD,
                process_event(3.1, "n2", "exit", status=1, asked=True),
            ],
            {"processes": ["n2"]},
        ),
        (
            [*COMPLETE_VIEWS, {"t": 1, "event": "log", "node": "n1", "text": "n1: request: KeyError: 3"}],
            {"logs": ["n1"]},
        ),
        (
            [
                *COMPLETE_VIEWS,
                lease_event(1, 2, "n0", 5),
                lease_event(2.1, 3, "n1", 6),
                lease_event(2.5, 4, "n1", 6),
            ],
            {},
        ),
        ([*COMPLETE_VIEWS, lease_event(1, 2, "n0", 5), lease_event(1.9, 3, "n1", 6)], {"duties": ["n1"]}),
        ([*COMPLETE_VIEWS, lease_event(1, 2, "n0", 5), lease_event(2.1, 3, "n1", 5)], {"duties": ["n1"]}),
        ([*COMPLETE_VIEWS, lease_event(1, 2, "n0", 5), lease_event(17, 18, "n0", 5)], {}),
        (
            [
                *COMPLETE_VIEWS,
                {"t": 1, "event": "log", "node": "n1", "text": "n1: list failed, version=1 stays"},
            ],
            {},
        ),
    ],
)
def test_checkers_report_exactly_the_violated_rules(events, violations):
    found = check([RUN_EVENT, *START_EVENTS, *events, *END_EVENTS])
    assert {name: [v.node for v in reported] for name, reported in found.items() if reported} == violations


def started(t, life, clock_ms=0):
    return [
        process_event(t, "n2", "start", life, clock_ms=clock_ms),
        process_event(t + 0.2, "n2", "ready", life),
    ]


def view_of_n2(t, node, state, incarnation):
    other = "n1" if node == "n0" else "n0"
    return view_event(t, node, **{other: ("alive", 1), "n2": (state, incarnation)})


CLOCK_SET_BACK = [*COMPLETE_VIEWS, *KILL_OF_N2, *VIEWS_WITH_N2_DEAD, *started(6.0, 2, -3_600_000)]
OTHERS_ALIVE = {"n0": ("alive", 1), "n1": ("alive", 1)}


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        # The new process starts below its predecessor's incarnation, learns it, and all nodes accept it.
        (
            [
                view_event(6.3, "n2", own=0, life=2, **OTHERS_ALIVE),
                view_event(6.9, "n2", own=2, life=2, **OTHERS_ALIVE),
            ]
            + [view_of_n2(7.0, n, "alive", 2) for n in ("n0", "n1")],
            {},
        ),
        (
            [view_event(6.3, "n2", own=0, life=2, **OTHERS_ALIVE)]
            + [view_of_n2(7, n, "dead", 1) for n in ("n0", "n1")],
            {"rejoins": ["n2", "n0", "n1"], "views": ["n0", "n1"]},
        ),
        (
            [view_event(6.9, "n2", own=2, life=2, **OTHERS_ALIVE), view_of_n2(7.0, "n0", "alive", 2)]
            + [view_of_n2(7.0, "n1", "alive", 1)],
            {"rejoins": ["n1"]},
        ),
        (
            [view_event(12.3, "n2", own=0, life=2, **OTHERS_ALIVE)]
            + [view_of_n2(7.0, n, "alive", 2) for n in ("n0", "n1")],
            {"incarnations": ["n2"], "rejoins": ["n2"]},
        ),
    ],
)
def test_process_with_clock_set_back_must_rejoin_in_time(events, violations):
    found = check([RUN_EVENT, *START_EVENTS, *CLOCK_SET_BACK, *events, *END_EVENTS])
    assert {name: [v.node for v in reported] for name, reported in found.items() if reported} == violations


def test_lower_incarnation_without_clock_step_is_a_violation():
    events = [
        *COMPLETE_VIEWS,
        *KILL_OF_N2,
        *VIEWS_WITH_N2_DEAD,
        *started(6.0, 2),
        view_event(6.3, "n2", own=0, life=2, **OTHERS_ALIVE),
    ]
    events += [view_event(6.9, "n2", own=2, life=2, **OTHERS_ALIVE)]
    found = check(
        [
            RUN_EVENT,
            *START_EVENTS,
            *events,
            *(view_of_n2(7.0, n, "alive", 2) for n in ("n0", "n1")),
            *END_EVENTS,
        ]
    )
    assert [v.node for v in found["incarnations"]] == ["n2"]


def test_stepped_clock_does_not_excuse_a_false_death():
    """A step of a running node's clock must not excuse other nodes that declare it dead."""
    step = {"event": "fault", "number": 0, "type": "clock", "on": ["n1"], "way": "both", "most": 1}
    events = [
        *COMPLETE_VIEWS,
        step | {"t": 2.0, "what": "begin"},
        VIEWS_WITH_N2_DEAD[0] | {"t": 8.0, "members": {"n1": ["dead", 1]}},
    ]
    found = check([RUN_EVENT, *START_EVENTS, *events, step | {"t": 9.0, "what": "end"}, *END_EVENTS])
    assert [v.node for v in found["deaths"]] == ["n0"]


BY_ZONE = RUN_EVENT | {
    "plan": RUN_EVENT["plan"] | {"by_zone": True},
    "nodes": [["n0", 0], ["n1", 0], ["n2", 1]],
}
OWN_ZONE = [
    view_event(0.4, "n0", n1=("alive", 1)),
    view_event(0.4, "n1", n0=("alive", 1)),
    view_event(0.4, "n2"),
]


def summaries(t, node, life=1, **zones):
    held = {zone: list(z) for zone, z in zones.items()}
    return {"t": t, "event": "summaries", "node": node, "life": life, "zones": held}


SUMMARIES = [
    summaries(0.4, "n0", z1=("fresh", 1)),
    summaries(0.4, "n1", z1=("fresh", 1)),
    summaries(0.4, "n2", z0=("fresh", 2)),
]


@pytest.mark.parametrize(
    ("events", "violations"),
    [
        (SUMMARIES, {}),
        (SUMMARIES[:2], {"summaries": ["n2"]}),
        ([*SUMMARIES, summaries(6.0, "n1", z1=("stale", 1))], {"summaries": ["n1"]}),
        ([*SUMMARIES, summaries(6.0, "n2", z0=("fresh", 3))], {"summaries": ["n2"]}),
        ([*SUMMARIES, *KILL_OF_N2], {"summaries": ["n0", "n1"]}),
        (
            [
                *SUMMARIES,
                *KILL_OF_N2,
                summaries(9.0, "n0", z1=("lost", 1)),
                summaries(9.0, "n1", z1=("lost", 1)),
            ],
            {},
        ),
        ([*SUMMARIES, *KILL_OF_N2, summaries(9.0, "n0", z1=("lost", 1)), summaries(9.0, "n1")], {}),
        ([*SUMMARIES, view_event(6.0, "n0", n1=("alive", 1), n2=("alive", 1))], {"views": ["n0"]}),
    ],
)
def test_views_and_summaries_with_membership_by_zone(events, violations):
    found = check([BY_ZONE, *START_EVENTS, *OWN_ZONE, *events, *END_EVENTS])
    assert {name: [v.node for v in reported] for name, reported in found.items() if reported} == violations


def test_agreement_time_ends_when_all_views_show_the_change():
    truth = GroundTruth(
        [RUN_EVENT, *START_EVENTS, *COMPLETE_VIEWS, *KILL_OF_N2, *VIEWS_WITH_N2_DEAD, *END_EVENTS]
    )
    assert [(at, change, round(took, 2)) for at, change, took in truth.agreements()] == [
        (3.0, "n2 kill", 2.0)
    ]


@pytest.mark.parametrize(
    ("text", "error"),
    [
        (b"", "its first line is not a run"),
        (b'{"t": 1, "event": "go"}\n', "its first line is not a run"),
        (b"hello\nhello\nhello\n", "line 1: not an event"),
        (b'{"t":0,"event":"run"}\n{"t":1,"ev', None),
    ],
)
def test_read_ignores_torn_last_line_and_rejects_other_files(tmp_path, text, error):
    """A lab that is killed while it writes leaves an incomplete line; the others must stay readable."""
    file = tmp_path / "h"
    file.write_bytes(text)
    if error is None:
        assert len(read(str(file))) == 1
    else:
        with pytest.raises(HistoryError, match=error):
            read(str(file))
