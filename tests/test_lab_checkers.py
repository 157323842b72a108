"""The lab's checkers of views, incarnations, answers and attempts tell kept from broken."""

import pytest
from lab_histories import ALL, END, KILL, RUN, SEE, START, attempt, late, lease, process, request, view

from workbench.lab.checkers import check
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import HistoryError, read


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        (ALL, {}),
        ([*ALL, *KILL, *SEE], {}),
        ([*ALL, *KILL, SEE[0]], {"views": ["n1"]}),
        ([*ALL, SEE[0] | {"t": 6.0}], {"views": ["n0"], "deaths": ["n0"]}),
        ([*ALL, process(3.0, "n1", "stop"), process(9.0, "n1", "cont")], {}),
        ([*ALL, view(6.0, "n0", n1=("alive", 0), n2=("alive", 1))], {"incarnations": ["n0"]}),
        ([*ALL, view(6.0, "n0", own=0, n1=("alive", 1), n2=("alive", 1))], {"incarnations": ["n0"]}),
        ([*ALL, request(2.2, answer="none")], {"answers": ["n0"]}),
        ([*ALL, request(2.2, answer="spoilt")], {"answers": ["n0"]}),
        ([*ALL, *KILL, *SEE, request(4.2, "n2", "none", sent=2.5, until=4.0)], {}),
        ([*ALL, *KILL, *SEE, request(4.2, "n1", "none", sent=2.5, until=4.0)], {"answers": ["n1"]}),
        ([*ALL, attempt(1, 1.2), attempt(1.1, 1.3)], {"attempts": ["n0"]}),
        ([*ALL, attempt(1, 1.2), attempt(1.1, 1.3), late(1.5, 90)], {"attempts": ["n0"]}),
        ([*ALL, attempt(1, 1.2), attempt(1.1, 1.3), late(1.5, 110)], {}),
        ([*ALL, attempt(2.2, 2.3, away=1.6), late(2.5, 110)], {}),
        ([*ALL, request(2.2, answer="none"), late(2.5, 90)], {"answers": ["n0"]}),
        ([*ALL, request(2.2, answer="none"), late(2.5, 110)], {}),
        ([*ALL, attempt(1, 1.2, "error"), attempt(1.3, 1.4)], {}),
        ([*ALL, attempt(1, 1.2, "error"), attempt(1.3, 1.4, effect="unsafe")], {"attempts": ["n0"]}),
        ([*ALL, *(attempt(i, i + 0.1, "rejected") for i in range(1, 6))], {"attempts": ["n0"]}),
        ([*ALL, attempt(2.0, 2.1, away=1.6)], {}),
        ([*ALL, attempt(2.2, 2.3, away=1.6)], {"drains": ["n0"]}),
        ([*ALL, *KILL[:1], *SEE, process(3.1, "n2", "exit", status=1, asked=True)], {"processes": ["n2"]}),
        (
            [*ALL, {"t": 1, "event": "log", "node": "n1", "text": "n1: request: KeyError: 3"}],
            {"logs": ["n1"]},
        ),
        ([*ALL, lease(1, 2, "n0", 5), lease(2.1, 3, "n1", 6), lease(2.5, 4, "n1", 6)], {}),
        ([*ALL, lease(1, 2, "n0", 5), lease(1.9, 3, "n1", 6)], {"duties": ["n1"]}),
        ([*ALL, lease(1, 2, "n0", 5), lease(2.1, 3, "n1", 5)], {"duties": ["n1"]}),
        ([*ALL, lease(1, 2, "n0", 5), lease(17, 18, "n0", 5)], {}),
        ([*ALL, {"t": 1, "event": "log", "node": "n1", "text": "n1: list failed, version=1 stays"}], {}),
    ],
)
def test_each_checker_tells_kept_from_broken(events, broken):
    found = check([RUN, *START, *events, *END])
    assert {n: [b.who for b in bs] for n, bs in found.items() if bs} == broken


def born(t, life, clock_ms=0):
    return [process(t, "n2", "start", life, clock_ms=clock_ms), process(t + 0.2, "n2", "ready", life)]


def sees(t, node, state, incarnation):
    other = "n1" if node == "n0" else "n0"
    return view(t, node, **{other: ("alive", 1), "n2": (state, incarnation)})


BACK_IN_TIME = [*ALL, *KILL, *SEE, *born(6.0, 2, -3_600_000)]
OF_ITS_OWN = {"n0": ("alive", 1), "n1": ("alive", 1)}


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        # It starts below its last life, learns that from the others, and all hold the new life.
        (
            [view(6.3, "n2", own=0, life=2, **OF_ITS_OWN), view(6.9, "n2", own=2, life=2, **OF_ITS_OWN)]
            + [sees(7.0, n, "alive", 2) for n in ("n0", "n1")],
            {},
        ),
        (
            [view(6.3, "n2", own=0, life=2, **OF_ITS_OWN)] + [sees(7, n, "dead", 1) for n in ("n0", "n1")],
            {"rejoins": ["n2", "n0", "n1"], "views": ["n0", "n1"]},
        ),
        (
            [view(6.9, "n2", own=2, life=2, **OF_ITS_OWN), sees(7.0, "n0", "alive", 2)]
            + [sees(7.0, "n1", "alive", 1)],
            {"rejoins": ["n1"]},
        ),
        (
            [view(12.3, "n2", own=0, life=2, **OF_ITS_OWN)]
            + [sees(7.0, n, "alive", 2) for n in ("n0", "n1")],
            {"incarnations": ["n2"], "rejoins": ["n2"]},
        ),
    ],
)
def test_a_process_that_comes_back_an_hour_in_the_past_is_to_be_believed_in_time(events, broken):
    found = check([RUN, *START, *BACK_IN_TIME, *events, *END])
    assert {n: [b.who for b in bs] for n, bs in found.items() if bs} == broken


def test_a_new_life_whose_clock_was_not_set_back_never_has_a_lower_incarnation():
    events = [*ALL, *KILL, *SEE, *born(6.0, 2), view(6.3, "n2", own=0, life=2, **OF_ITS_OWN)]
    events += [view(6.9, "n2", own=2, life=2, **OF_ITS_OWN)]
    found = check([RUN, *START, *events, *(sees(7.0, n, "alive", 2) for n in ("n0", "n1")), *END])
    assert [b.who for b in found["incarnations"]] == ["n2"]


def test_a_stepped_clock_excuses_no_death():
    """Failure prevented: a clock that steps makes a running process dead to all, and no checker objects."""
    step = {"event": "fault", "number": 0, "type": "clock", "on": ["n1"], "way": "both", "most": 1}
    events = [*ALL, step | {"t": 2.0, "what": "begin"}, SEE[0] | {"t": 8.0, "members": {"n1": ["dead", 1]}}]
    found = check([RUN, *START, *events, step | {"t": 9.0, "what": "end"}, *END])
    assert [b.who for b in found["deaths"]] == ["n0"]


BY_ZONE = RUN | {"plan": RUN["plan"] | {"by_zone": True}, "nodes": [["n0", 0], ["n1", 0], ["n2", 1]]}
OWN_ZONE = [view(0.4, "n0", n1=("alive", 1)), view(0.4, "n1", n0=("alive", 1)), view(0.4, "n2")]


def summaries(t, node, life=1, **zones):
    held = {zone: list(z) for zone, z in zones.items()}
    return {"t": t, "event": "summaries", "node": node, "life": life, "zones": held}


KNOWN = [
    summaries(0.4, "n0", z1=("fresh", 1)),
    summaries(0.4, "n1", z1=("fresh", 1)),
    summaries(0.4, "n2", z0=("fresh", 2)),
]


@pytest.mark.parametrize(
    ("events", "broken"),
    [
        (KNOWN, {}),
        (KNOWN[:2], {"summaries": ["n2"]}),
        ([*KNOWN, summaries(6.0, "n1", z1=("stale", 1))], {"summaries": ["n1"]}),
        ([*KNOWN, summaries(6.0, "n2", z0=("fresh", 3))], {"summaries": ["n2"]}),
        ([*KNOWN, *KILL], {"summaries": ["n0", "n1"]}),
        ([*KNOWN, *KILL, summaries(9.0, "n0", z1=("lost", 1)), summaries(9.0, "n1", z1=("lost", 1))], {}),
        ([*KNOWN, *KILL, summaries(9.0, "n0", z1=("lost", 1)), summaries(9.0, "n1")], {}),
        ([*KNOWN, view(6.0, "n0", n1=("alive", 1), n2=("alive", 1))], {"views": ["n0"]}),
    ],
)
def test_with_membership_by_zone_each_node_sees_its_zone_and_knows_the_others(events, broken):
    found = check([BY_ZONE, *START, *OWN_ZONE, *events, *END])
    assert {n: [b.who for b in bs] for n, bs in found.items() if bs} == broken


def test_how_long_the_views_took():
    truth = GroundTruth([RUN, *START, *ALL, *KILL, *SEE, *END])
    assert [(at, what, round(took, 2)) for at, what, took in truth.agreements()] == [(3.0, "n2 kill", 2.0)]


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (b"", "its first line is not a run"),
        (b'{"t": 1, "event": "go"}\n', "its first line is not a run"),
        (b"hello\nhello\nhello\n", "line 1: not an event"),
        (b'{"t":0,"event":"run"}\n{"t":1,"ev', None),
    ],
)
def test_a_torn_history_is_read_up_to_there(tmp_path, text, fault):
    """Failure prevented: the lab is killed as it writes, and nothing of the run can be looked at."""
    file = tmp_path / "h"
    file.write_bytes(text)
    if fault is None:
        assert len(read(str(file))) == 1
    else:
        with pytest.raises(HistoryError, match=fault):
            read(str(file))
