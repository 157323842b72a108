"""Hand-written histories of the lab for tests of its checkers.

Times of events (`t`) and the time arguments of the builders are seconds since the start of the lab.
"""

from typing import Any

Event = dict[str, Any]

RUN_EVENT: Event = {
    "event": "run",
    "t": 0.0,
    "plan": {"fleet": True, "agree_s": 5.0},
    "nodes": [["n0", 0], ["n1", 1], ["n2", 2]],
    "slack": 100_000,
    "stop_sending": 500_000,
    "max_attempts": 4,
}
SEC = 1_000_000
LAB_START_US = 10 * SEC  # Time on the lab's clock when an event's `t` is 0.


def process_event(t: float, node: str, what: str, life: int = 1, **more: Any) -> Event:
    """Return an event in the life of a node's process, such as its start, kill or exit."""
    return {"t": t, "event": "process", "node": node, "what": what, "life": life} | more


def request_event(
    t: float, node: str = "n0", answer: str = "ok", sent: float = 1.0, until: float = 2.0
) -> Event:
    """Return a client's request, sent at `sent` and due at `until`, with the kind of its response."""
    times = {
        "sent": LAB_START_US + int(sent * SEC),
        "until": LAB_START_US + int(until * SEC),
        "request": 1,
    }
    return {"t": t, "event": "request", "id": "1", "node": node, "answer": answer} | times


def attempt_event(
    began: float,
    ended: float,
    outcome: str = "ok",
    effect: str = "safe",
    away: float = -1.0,
    call: str = "1",
) -> Event:
    """Return an attempt at server `s`; `away` is when the server started to drain, if it did."""
    times = {"began": LAB_START_US + int(began * SEC), "ended": LAB_START_US + int(ended * SEC)}
    times["away"] = LAB_START_US + int(away * SEC) if away >= 0 else -1
    event = {"t": ended, "event": "attempt", "id": call, "node": "n0", "server": "s"}
    return event | times | {"outcome": outcome, "effect": effect}


def view_event(t: float, node: str, own: int = 1, life: int = 1, **members: Any) -> Event:
    """Return a node's view of the other members: the state and the incarnation of each."""
    table = {n: list(m) for n, m in members.items()}
    return {"t": t, "event": "view", "node": node, "life": life, "own": own, "members": table}


def lateness_event(t: float, ms: int) -> Event:
    """Return the lab's report that it ran late by this many milliseconds."""
    return {"t": t, "event": "lab", "late_ms": ms}


def lease_event(answered: float, until: float, node: str, token: int, life: int = 1) -> Event:
    """Return a grant of the duty's lease, answered at `answered` and valid until `until`."""
    times = {
        "answered": LAB_START_US + int(answered * SEC),
        "until": LAB_START_US + int(until * SEC),
        "asked": 0,
    }
    return {"t": answered, "event": "duty", "node": node, "life": life, "token": token} | times


def alive(*names: str) -> dict[str, Any]:
    """Return the members of a view in which these are alive in incarnation 1."""
    return dict.fromkeys(names, ("alive", 1))


NODES = ("n0", "n1", "n2")
START_EVENTS: list[Event] = [process_event(0.0, node, "start") for node in NODES] + [
    {"t": 0.5, "event": "go"}
]
COMPLETE_VIEWS = [
    view_event(0.4, node, **alive(*(other for other in NODES if other != node))) for node in NODES
]
KILL_OF_N2 = [process_event(3.0, "n2", "kill"), process_event(3.0, "n2", "exit", status=-9, asked=True)]
END_EVENTS: list[Event] = [{"t": 20.0, "event": "stopping"}]
VIEWS_WITH_N2_DEAD = [
    view_event(5.0, "n0", n1=("alive", 1), n2=("dead", 1)),
    view_event(5.0, "n1", n0=("alive", 1), n2=("dead", 1)),
]
