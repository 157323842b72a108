"""What a history says was so: which processes ran, which were paused, told to end or cut off, and when."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from workbench.lab.history import Event
from workbench.model.site import BEGIN

View = dict[str, list[Any]]
OUTSIDE = ("wrong_key",)  # mischief that keeps a node out of the group
HELD = ("alive", "suspect")  # who is suspected may still refute it
FOREVER = float("inf")
LOOK = 1.1  # seconds between two words of the lab on its own lateness


@dataclass
class Life:
    """One process of a node, in seconds of the lab."""

    number: int
    start: float
    clock: int = 0  # milliseconds that its wall clock was off as it started
    ready: float = FOREVER
    told: float = FOREVER  # when it got SIGTERM or SIGKILL
    end: float = FOREVER
    by_itself: bool = False  # nobody of the lab told it to end
    pauses: list[list[float]] = field(default_factory=list)

    def runs(self, at: float) -> bool:
        return self.start <= at < min(self.told, self.end)

    def paused(self, begin: float, end: float) -> bool:
        return any(a < end and begin < b for a, b in self.pauses)


@dataclass
class Period:
    """A fault between its begin and its end."""

    type: str
    begin: float
    on: list[str]
    way: str
    end: float = FOREVER
    most: int = 1
    number: int = 0  # of the fault in its plan


class Truth:
    """A history, read once. Times are seconds of the lab."""

    def __init__(self, events: list[Event]) -> None:
        self.events = events
        head = events[0]
        self.plan: dict[str, Any] = head["plan"]
        self.names: list[str] = [name for name, _ in head["nodes"]]
        self.zones: dict[str, int] = dict(head["nodes"])
        self.slack: float = head["slack"] / 1e6
        self.stop_sending: int = head["stop_sending"]
        self.max_attempts: int = head["max_attempts"]
        self.fleet: bool = self.plan["fleet"]
        self.supervised: bool = self.plan.get("supervise", False)
        self.by_zone: bool = self.plan.get("by_zone", False)
        self.agree: float = float(self.plan["agree_s"])
        self.by_event: dict[str, list[Event]] = defaultdict(list)
        for e in events:
            self.by_event[e["event"]].append(e)
        self.mischief = {e["node"]: e["kind"] for e in self.by_event["mischief"]}
        self.go = next((e["t"] for e in self.by_event["go"]), FOREVER)
        stopping = self.by_event["stopping"]
        self.end: float = stopping[0]["t"] if stopping else events[-1]["t"]
        self.lives: dict[str, list[Life]] = {name: [] for name in self.names}
        self.periods: list[Period] = []
        self.changes: list[tuple[float, str]] = []  # when what should be seen changed, and by what
        self.read()
        self.lateness = [(e["t"], e["late_ms"] / 1000) for e in self.by_event["lab"]]
        self.views: dict[str, tuple[list[float], list[Event]]] = {}
        for name in self.names:
            seen = [e for e in self.by_event["view"] if e["node"] == name]
            self.views[name] = ([e["t"] for e in seen], seen)

    def of(self, event: str) -> list[Event]:
        """All events of a kind."""
        return self.by_event[event]

    def read(self) -> None:
        own = [e for e in self.by_event["log"] if e["text"].endswith("-> ending")]
        for e in own:  # one that ends by itself tells so before it takes nothing more
            e["what"] = "ends"
        for e in sorted([*self.by_event["process"], *own], key=lambda e: float(e["t"])):
            lives = self.lives[e["node"]]
            what, t = e["what"], e["t"]
            if what == "start":
                lives.append(Life(e["life"], t, e.get("clock_ms", 0)))
            elif what == "ready":
                lives[-1].ready = t
            elif what in ("kill", "term", "ends"):
                lives[-1].by_itself = what == "ends" and lives[-1].told == FOREVER
                lives[-1].told = min(lives[-1].told, t)
            elif what == "exit":
                lives[-1].end = t
            elif what == "stop":
                lives[-1].pauses.append([t, FOREVER])
            elif what == "cont" and lives[-1].pauses:
                lives[-1].pauses[-1][1] = t
            if what in ("kill", "term", "ends", "stop", "cont", "ready") and self.go < t <= self.end:
                self.changes.append((t, f"{e['node']} {what}"))
        for e in self.by_event["fault"]:
            if e["what"] == "begin":
                period = Period(
                    e["type"],
                    e["t"],
                    e["on"],
                    e.get("way", "both"),
                    most=e.get("most", 1),
                    number=e.get("number", 0),
                )
                self.periods.append(period)
            else:
                for p in self.periods:
                    if p.type == e["type"] and p.on == e["on"] and p.end == FOREVER:
                        p.end = e["t"]
                        break
            if e["type"] in ("cut", "links", "clock"):
                self.changes.append((e["t"], f"{e['type']} {e['what']}s"))
        self.changes.sort()

    def late(self, begin: float, end: float) -> float:
        """Seconds that the lab itself was late by around these times: what it saw may have been so much
        earlier."""
        return max((late for t, late in self.lateness if begin - LOOK <= t <= end + LOOK), default=0.0)

    # ---- processes ------------------------------------------------------------------------------------

    def life_at(self, name: str, at: float) -> Life | None:
        """The life that was begun last."""
        return next((x for x in reversed(self.lives[name]) if x.start <= at), None)

    def members_at(self, at: float) -> set[str]:
        """Nodes that run and belong to the group; one that is paused still does."""
        return {
            name
            for name in self.names
            if self.mischief.get(name) not in OUTSIDE
            and (life := self.life_at(name, at)) is not None
            and life.runs(at)
        }

    def back_at(self, name: str, life: Life) -> float:
        """When a process that came after a life was ready; the next one may have ended before it was."""
        return next(
            (x.ready for x in self.lives[name] if x.start > life.start and x.ready < FOREVER), FOREVER
        )

    def excused(self, name: str, begin: float, end: float) -> bool:
        """Whether a node may have left a request of that time unanswered: it was killed or paused in it, or
        the request came after it was told to end."""
        for life in self.lives[name]:
            if life.paused(begin, end) or begin <= life.end <= end:
                return True
            if life.told <= begin:
                later = [x for x in self.lives[name] if x.start > life.start and x.ready <= begin]
                if not later and life is self.life_at(name, begin):
                    return True
        return False

    def steady(self, name: str, begin: float, end: float) -> bool:
        """Whether a node, and the voters, have run and been reached all this time."""
        voters = self.names[: int(self.plan.get("voters", 0))]
        for who in {name, *voters}:
            life = self.life_at(who, end)
            if life is None or not life.runs(end) or life.start > begin or life.paused(begin, end):
                return False
        return not any(p.type in ("cut", "links") and p.begin < end and begin < p.end for p in self.periods)

    def undisturbed(self, name: str, begin: float, end: float) -> bool:
        """Whether one process of a node ran all this time, with no cut or bad link anywhere. A stepped wall
        clock disturbs nothing."""
        life = self.life_at(name, begin)
        if life is None or not life.runs(end) or life.paused(begin, end):
            return False
        return not any(p.type in ("cut", "links") and p.begin < end and begin < p.end for p in self.periods)

    # ---- the network ----------------------------------------------------------------------------------

    def cut(self, a: str, b: str, begin: float, end: float) -> bool:
        """Whether a cut lay between two nodes, one way or both, at some time of these."""
        return any(
            p.type == "cut" and p.begin < end and begin < p.end and (a in p.on) != (b in p.on)
            for p in self.periods
        )

    def may_seem_dead(self, by: str, name: str, at: float) -> bool:
        """Whether a node may hold another dead now: something happened to it, or between, not long ago."""
        since = at - self.agree
        if self.mischief.get(name) in OUTSIDE or self.mischief.get(by) in OUTSIDE:
            return True
        for who in (name, by):
            for life in self.lives[who]:
                if life.paused(since, at) or any(since <= x <= at for x in (life.start, life.told, life.end)):
                    return True
        now = self.life_at(name, at)
        if now is None or not now.runs(at):
            return True
        others = [n for n in self.names if n not in (name, by)]
        hindered = any(self.cut(a, b, since, at) for a, b in [(by, name), *((name, o) for o in others)])
        harsh = any(p.type == "links" and p.begin < at and since < p.end for p in self.periods)
        return hindered or harsh

    # ---- views ----------------------------------------------------------------------------------------

    def view_at(self, name: str, at: float) -> View:
        """What a node said last that it holds, in the life that it has then."""
        times, seen = self.views[name]
        i = bisect_right(times, at) - 1
        life = self.life_at(name, at)
        if i < 0 or life is None or seen[i]["life"] != life.number:
            return {}
        members: View = seen[i]["members"]
        return members

    def incarnation_at(self, name: str, at: float) -> int:
        """What a node said last of its own incarnation, in the life that it has then; 0: nothing yet."""
        times, seen = self.views[name]
        i = bisect_right(times, at) - 1
        life = self.life_at(name, at)
        if i < 0 or life is None or seen[i]["life"] != life.number:
            return 0
        return int(seen[i]["own"])

    def group(self, name: str, members: set[str]) -> set[str]:
        """Those of the members that are of a node's own group, without itself."""
        apart = {n for n in members if self.by_zone and self.zones[n] != self.zones[name]}
        return members - apart - {name}

    def summaries_at(self, name: str, at: float) -> dict[str, list[Any]]:
        """What a node said last of the other zones, in the life that it has then: state and size by zone."""
        life = self.life_at(name, at)
        said = [e for e in self.of("summaries") if e["node"] == name and e["t"] <= at]
        if life is None or not said or said[-1]["life"] != life.number:
            return {}
        zones: dict[str, list[Any]] = said[-1]["zones"]
        return zones

    def agreed(self, at: float) -> bool:
        """Whether each member sees just those that it can reach; one that is paused is not asked."""
        members = self.members_at(at)
        for name in members:
            life = self.life_at(name, at)
            if life is not None and life.paused(at, at + 1e-9):
                continue
            held = {n for n, (state, _) in self.view_at(name, at).items() if state in HELD}
            if held != self.reached(name, members, at):
                return False
        return True

    def reached(self, name: str, members: set[str], at: float) -> set[str]:
        """Those that a node should see now: on its side of a whole cut, and not paused for long."""
        out = set()
        for other in self.group(name, members):
            life = self.life_at(other, at)
            if life is not None and life.paused(at, at + 1e-9):
                continue
            cut = any(
                p.type == "cut"
                and p.way == "both"
                and p.begin <= at < p.end
                and (name in p.on) != (other in p.on)
                for p in self.periods
                if p.type == "cut"
            )
            if not cut:
                out.add(other)
        return out

    def agreements(self) -> list[tuple[float, str, float | None]]:
        """For each change of what should be seen, one-way cuts left out: when, what, and the seconds until
        all views showed it, or None where they did not before the next change or the end."""
        marks = sorted({t for times, _ in self.views.values() for t in times})
        groups: list[tuple[float, str]] = []
        for at, what in self.changes:
            if groups and at - groups[-1][0] < 0.05:
                groups[-1] = (groups[-1][0], f"{groups[-1][1]}, {what}")
            else:
                groups.append((at, what))
        out = []
        for i, (at, what) in enumerate(groups):
            until = groups[i + 1][0] if i + 1 < len(groups) else self.end
            if any(p.type == "cut" and p.way != "both" and p.begin <= at < p.end for p in self.periods):
                continue  # who hears and is not heard: there is no one truth to agree on
            looks = [at + 0.06, *(m for m in marks if at + 0.06 < m < until)]
            when = next((m for m in looks if self.agreed(m)), None)
            out.append((at, what, None if when is None else max(0.0, when - at)))
        return out


def seconds(clock: int) -> float:
    """A field's time on the lab's clock, as `t` has it."""
    return (clock - BEGIN) / 1e6
