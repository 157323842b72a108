"""Histories of the lab made up by hand: events of processes, requests, attempts and views."""

from typing import Any

Event = dict[str, Any]

RUN: Event = {
    "event": "run",
    "t": 0.0,
    "plan": {"fleet": True, "agree_s": 5.0},
    "nodes": [["n0", 0], ["n1", 1], ["n2", 2]],
    "slack": 100_000,
    "stop_sending": 500_000,
    "max_attempts": 4,
}
SEC = 1_000_000
T0 = 10 * SEC  # the world's clock at 0 s of the lab


def process(t: float, node: str, what: str, life: int = 1, **more: Any) -> Event:
    return {"t": t, "event": "process", "node": node, "what": what, "life": life} | more


def request(t: float, node: str = "n0", answer: str = "ok", sent: float = 1.0, until: float = 2.0) -> Event:
    times = {"sent": T0 + int(sent * SEC), "until": T0 + int(until * SEC), "request": 1}
    return {"t": t, "event": "request", "id": "1", "node": node, "answer": answer} | times


def attempt(
    began: float,
    ended: float,
    outcome: str = "ok",
    effect: str = "safe",
    away: float = -1.0,
    call: str = "1",
) -> Event:
    times = {"began": T0 + int(began * SEC), "ended": T0 + int(ended * SEC)}
    times["away"] = T0 + int(away * SEC) if away >= 0 else -1
    event = {"t": ended, "event": "attempt", "id": call, "node": "n0", "server": "s"}
    return event | times | {"outcome": outcome, "effect": effect}


def view(t: float, node: str, own: int = 1, life: int = 1, **members: Any) -> Event:
    """What a node holds of the others: a state and an incarnation each."""
    held = {n: list(m) for n, m in members.items()}
    return {"t": t, "event": "view", "node": node, "life": life, "own": own, "members": held}


def late(t: float, ms: int) -> Event:
    """The lab's report of its own lateness."""
    return {"t": t, "event": "lab", "late_ms": ms}


def lease(answered: float, until: float, node: str, token: int, life: int = 1) -> Event:
    times = {"answered": T0 + int(answered * SEC), "until": T0 + int(until * SEC), "asked": 0}
    return {"t": answered, "event": "duty", "node": node, "life": life, "token": token} | times


def alive(*names: str) -> dict[str, Any]:
    """The members of a view that holds these alive."""
    return dict.fromkeys(names, ("alive", 1))


NODES = ("n0", "n1", "n2")
START: list[Event] = [process(0.0, node, "start") for node in NODES] + [{"t": 0.5, "event": "go"}]
ALL = [view(0.4, node, **alive(*(other for other in NODES if other != node))) for node in NODES]
KILL = [process(3.0, "n2", "kill"), process(3.0, "n2", "exit", status=-9, asked=True)]
END: list[Event] = [{"t": 20.0, "event": "stopping"}]
SEE = [view(5.0, "n0", n1=("alive", 1), n2=("dead", 1)), view(5.0, "n1", n0=("alive", 1), n2=("dead", 1))]
