"""Checkers: each reads a history alone and names what was broken, when and by whom.

They know nothing of the node's inside: what clients got, what came to servers, when discovery told what, what
signals the lab gave, and what nodes say on their pages. Times in a history's fields are microseconds of the
lab's clock; `t` is in seconds.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from balancer.fleet.health_checks.settings import settings_for
from balancer.fleet.min_rtt.settings import MinRttSettings
from workbench.lab.history import Event
from workbench.lab.truth import FOREVER, HELD, OUTSIDE, Truth, seconds
from workbench.model.site import BEGIN

MAY_HAVE_RAN = ("error", "reset", "timeout", "cancelled")
FAILURE = re.compile(r"Traceback|\b[A-Z]\w*(Error|Exception)\b|floods its log")
PASS = re.compile(
    r"fleet pass (?:(?P<over>over)|begins (?:(?P<place>place=\d+)|without a place waited=(?P<waited>[\d.]+)))"
)
TRIAL = re.compile(r"fleet tries server=(?P<server>\d+)")
# Nodes of earlier revisions log "is left for", "is left by order" and "returns".
ZONE_ROUTING = re.compile(
    r"fleet zone (?P<zone>\S+) (?:(?:evacuated|is left) for (?P<hold>[\d.]+) s"
    r"|evacuated by directive|is left by order|(?P<back>recovering|returns))"
)
FAR_MOST = 0.05  # of the calls, where nothing is wrong
DIRECTIVE_WITHIN = 4.0  # seconds in which a directive for a zone is known to all, and over for all
LINES = 0.2  # seconds within which a log line may be read
REPEATED = 8  # stories of one checker that are told one by one


@dataclass(frozen=True)
class Broken:
    """One thing that was broken."""

    checker: str
    at: float
    who: str
    what: str

    def __str__(self) -> str:
        return f"{self.at:8.3f} s  {self.who:6}  {self.checker}: {self.what}"


Found = Iterator[tuple[float, str, str]]


def answers(truth: Truth) -> Found:
    """Every request at a node that lives, runs and is not told to end gets one answer by its time and slack,
    with what a server made for it."""
    for e in truth.of("request"):
        until = seconds(e["until"])
        node = e["node"]
        if e["answer"] == "spoilt":
            yield e["t"], node, f"request {e['id']}: a 200 that no server made for it"
        sent, due = seconds(e["sent"]), until + truth.slack
        excused = truth.excused(node, sent, due + truth.late(sent, due))
        if e["answer"] == "none" and not excused and not truth.late(sent, due) > truth.slack:
            yield e["t"], node, f"request {e['id']}: no answer by its time, {until:.3f} s, and the slack"


def attempts(truth: Truth) -> Found:
    """At most so many attempts a request, one at a time, and none of a request that may not be repeated after
    one that may have run."""
    by_call: dict[str, list[Event]] = defaultdict(list)
    for e in truth.of("attempt"):
        by_call[e["id"]].append(e)
    for call, sent in by_call.items():
        sent.sort(key=lambda e: (e["began"], e["ended"]))
        node = sent[0]["node"]
        if len(sent) > truth.max_attempts:
            yield sent[-1]["t"], node, f"request {call}: {len(sent)} attempts, {truth.max_attempts} allowed"
        for before, after in zip(sent, sent[1:], strict=False):
            at = seconds(after["began"])
            over = seconds(before["ended"]) - at
            if over > truth.late(at, at + over):
                yield at, node, f"request {call}: at {after['server']} while it was out at {before['server']}"
            elif after["effect"] == "unsafe" and before["outcome"] in MAY_HAVE_RAN:
                yield at, node, f"request {call}: sent again though it may have run at {before['server']}"


def drains(truth: Truth) -> Found:
    """Nothing goes to a server so long after its node was told that it drains or is gone."""
    for e in truth.of("attempt"):
        late = e["began"] - e["away"]
        at = seconds(e["began"])
        if e["away"] >= 0 and late > truth.stop_sending + 1e6 * truth.late(at, at):
            yield at, e["node"], f"sent to {e['server']} {late / 1000:.0f} ms after it was told away"


def processes(truth: Truth) -> Found:
    """No process ends unasked or fails to get ready; one that was asked to ends well."""
    for e in truth.of("process"):
        if e["what"] == "exit" and not e["asked"] and truth.supervised and e["status"] == 0:
            continue
        if e["what"] == "exit" and not e["asked"]:
            yield e["t"], e["node"], f"life {e['life']} ended unasked, status {e['status']}"
        elif e["what"] == "exit" and e["status"] not in (0, -9):
            yield e["t"], e["node"], f"life {e['life']} ended with status {e['status']}"
        elif e["what"] in ("not ready", "no replacement"):
            yield e["t"], e["node"], f"life {e['life']}: {e['what']}"


def logs(truth: Truth) -> Found:
    """No line of a log tells of an exception, and none is a flood."""
    for e in truth.of("log"):
        if FAILURE.search(e["text"]):
            yield e["t"], e["node"], f"logged: {e['text']}"


def views(truth: Truth) -> Found:
    """Once the faults are over and the plan's time has passed, each view holds alive just those that run."""
    if not truth.fleet:
        return
    end = truth.end
    since = max([truth.go, *(at for at, _ in truth.changes)])
    if end - since < truth.agree:
        return
    living = truth.members_at(end)
    for name in sorted(living):
        seen = truth.view_at(name, end)
        held = {n for n, (state, _) in seen.items() if state in HELD}
        others = truth.group(name, living)
        missing, extra = others - held, held - others
        late = f"{end - since:.1f} s after the last change"
        if missing:
            yield (
                end,
                name,
                f"does not see {', '.join(sorted(missing))} {late}",
            )
        if extra:
            yield (
                end,
                name,
                f"still sees {', '.join(sorted(extra))} {late}",
            )


def summaries(truth: Truth) -> Found:
    """With membership by zone, once the plan's time has passed: every node knows each zone, with the number
    of its nodes that run, and calls those alone lost that have none."""
    end = truth.end
    if not truth.by_zone or end - max([truth.go, *(at for at, _ in truth.changes)]) < truth.agree:
        return
    living = truth.members_at(end)
    sizes = Counter(f"z{truth.zones[n]}" for n in living)
    for name in sorted(living):
        seen = truth.summaries_at(name, end)
        for zone in sorted({f"z{z}" for z in truth.zones.values()} - {f"z{truth.zones[name]}"}):
            state, size = seen.get(zone, ["unknown", 0])
            if sizes[zone] and (state, size) != ("fresh", sizes[zone]):
                yield end, name, f"holds zone {zone} {state} with {size} nodes, {sizes[zone]} run"
            elif not sizes[zone] and state not in ("lost", "unknown"):
                yield end, name, f"holds zone {zone} {state}, of which no node runs"


def deaths(truth: Truth) -> Found:
    """Nobody is held dead who runs, hears and is heard; the plan's time is allowed after each change."""
    if not truth.fleet:
        return
    for e in truth.of("view"):
        for name, (state, _) in e["members"].items():
            if state in ("dead", "left") and not truth.may_seem_dead(e["node"], name, e["t"]):
                yield e["t"], e["node"], f"holds {name} {state}, which runs and is not cut off"


def incarnations(truth: Truth) -> Found:
    """What a process holds of a member's incarnation never goes back, and a new life has a higher one.

    A process whose wall clock was set back before it started learns from the others how high its last life
    was: it has until the plan's time after its start. `rejoins` then asks that all hold the new life's.
    """
    held: dict[tuple[str, int, str], int] = {}
    own: dict[str, tuple[int, int]] = {}
    for e in truth.of("view"):
        before = own.get(e["node"], (0, 0))
        if e["own"] < before[1] and not learns_its_incarnation(truth, e, before[0]):
            yield e["t"], e["node"], f"its own incarnation went back from {before[1]} to {e['own']}"
        own[e["node"]] = (e["life"], max(e["own"], before[1]))
        for name, (_, incarnation) in e["members"].items():
            key = (e["node"], e["life"], name)
            if incarnation < held.get(key, 0):
                yield e["t"], e["node"], f"{name}'s incarnation went back from {held[key]} to {incarnation}"
            held[key] = max(incarnation, held.get(key, 0))


def learns_its_incarnation(truth: Truth, view: Event, last_life: int) -> bool:
    """Whether a view is of a new life that started with its wall clock set back, and started lately."""
    lives = {life.number: life for life in truth.lives[view["node"]]}
    new, old = lives.get(view["life"]), lives.get(last_life)
    if new is None or old is None or new.number <= old.number:
        return False
    return new.clock < old.clock and view["t"] < new.start + truth.agree


def rejoins(truth: Truth) -> Found:
    """A process that comes back is held alive, in its new life, by all who ran on, within the plan's time."""
    if not truth.fleet:
        return
    for name in truth.names:
        if truth.mischief.get(name) in OUTSIDE:
            continue
        for last, life in pairwise(truth.lives[name]):
            due = life.ready + truth.agree
            if due >= truth.end or not truth.undisturbed(name, life.ready, due):
                continue
            ended = truth.incarnation_at(name, last.end)
            own = truth.incarnation_at(name, life.ready + truth.agree / 2)
            if own <= ended:
                yield due, name, f"life {life.number} has incarnation {own}, the last one had {ended}"
            for by in sorted(truth.group(name, truth.members_at(due))):
                if not truth.undisturbed(by, life.ready, due):
                    continue
                state, held = truth.view_at(by, due).get(name, ["unknown", 0])
                if state != "alive" or held < own:
                    at = f"{truth.agree:g} s after it was ready"
                    yield due, by, f"holds {name} {state} with incarnation {held}, its own is {own}, {at}"


def directives(truth: Truth) -> Found:
    """A directive to leave a zone reaches every node, the last one wins, and it is over for all when its time
    is, whatever the wall clocks say. Directives for one zone that overlap are not judged."""
    if not truth.plan.get("near"):
        return
    spans = [
        (f"z{zone}", p.begin, p.begin + float(truth.plan["fault"][p.number]["for_s"]))
        for p in truth.periods
        if p.type == "zone_leave"
        for zone in sorted({truth.zones[n] for n in p.on})
    ]
    for span in spans:
        zone, begin, end = span
        last = end + DIRECTIVE_WITHIN
        if any(o is not span and o[0] == zone and o[1] < last and begin < o[2] for o in spans):
            continue
        for name in truth.names:
            if last >= truth.end or not truth.undisturbed(name, begin, last):
                continue
            out = [c for c in evacuations(truth, name) if c[0] == zone and c[1] < end and begin < c[2]]
            if not any(
                a <= begin + DIRECTIVE_WITHIN and end - DIRECTIVE_WITHIN <= b <= last for _, a, b, _ in out
            ):
                told = ", ".join(f"from {a:.1f} to {b:.1f} s" for _, a, b, _ in out) or "never"
                yield begin, name, f"was to leave zone {zone} from {begin:.1f} to {end:.1f} s, left {told}"


def duties(truth: Truth) -> Found:
    """No two nodes may count on the lab's lease at one instant of the lab's time, and each that takes over
    has a higher token."""
    held: dict[tuple[str, int, int], list[int]] = {}
    for e in truth.of("duty"):
        span = held.setdefault((e["node"], e["life"], e["token"]), [e["answered"], e["until"]])
        span[1] = max(span[1], e["until"])
    spans = sorted((begin, until, *key) for key, (begin, until) in held.items())
    for (_, until, node, life, token), after in zip(spans, spans[1:], strict=False):
        begin, _, other, other_life, next_token = after
        if begin < until and (node, life) != (other, other_life):
            over = (until - begin) / 1e6
            yield seconds(begin), other, f"holds the lease while {node} may count on it for {over:.3f} s more"
        if next_token <= token:
            yield seconds(begin), other, f"holds it with token {next_token}, {node} had {token}"
    calm = truth.end - max([truth.go, *(at for at, _ in truth.changes), *(p.end for p in truth.periods)])
    if truth.plan.get("voters") and truth.agree <= calm < FOREVER:
        last = seconds(max((until for _, until, *_ in spans), default=BEGIN))
        if last < truth.end - truth.plan["lease_ms"] / 500:
            yield truth.end, "all", f"nobody has held the lease since {last:.1f} s, all faults are long over"


def replacement(truth: Truth) -> Found:
    """A fleet that replaces itself ends each process once, at most so many at a time, and gets to the end."""
    for p in truth.periods:
        if p.type != "fleet_replace":
            continue
        inside = [(n, x) for n in truth.names for x in truth.lives[n] if p.begin < x.told < p.end]
        gone = [(n, x) for n, x in inside if x.by_itself]
        for name in truth.names:
            ends = [x for n, x in gone if n == name]
            others = [x for n, x in inside if n == name and not x.by_itself]
            if len(ends) > 1:
                yield ends[1].told, name, f"was ended {len(ends)} times by one plan"
            if not ends and not others:
                yield p.end, name, "was never ended by the plan"
        for name, life in gone:
            out = {n for n, x in gone if x.told <= life.told < truth.back_at(n, x)}
            if len(out) > p.most:
                yield (
                    life.told,
                    name,
                    f"ends while {', '.join(sorted(out - {name}))} are out, {p.most} allowed",
                )


def passes(truth: Truth) -> Found:
    """At most so many nodes hold a place to pass at once; whoever passes without one has waited for long."""
    share = truth.plan.get("remeasure")
    if not share:
        return
    settings = MinRttSettings(share)
    slots = settings.slots(len(truth.names))
    spans: list[tuple[float, float, str]] = []
    for node in truth.names:
        begun = None
        for e in truth.of("log"):
            found = PASS.search(e["text"]) if e["node"] == node else None
            if found is None:
                continue
            if found["over"] and begun is not None:
                spans.append((begun, e["t"], node))
            begun = e["t"] if found["place"] else None
            if found["waited"] and float(found["waited"]) < settings.max_wait / 1e6:
                yield e["t"], node, f"passes without a place, after {found['waited']} s of waiting"
    for begin, _, node in spans:
        # Whoever was cut off or paused may have lost its place half-way; a line may be read late.
        inside = begin + LINES + truth.late(begin, begin)
        on = {n for a, b, n in spans if a <= begin and inside < b and truth.steady(n, a, begin)}
        if len(on | {node}) > slots:
            yield begin, node, f"passes while {', '.join(sorted(on - {node}))} do, {slots} allowed at once"


def trials(truth: Truth) -> Found:
    """Of a zone's nodes one tries a server that is set aside, by its log, while there is a majority to say
    which."""
    if not truth.plan.get("probe"):
        return
    lease = truth.plan["lease_ms"] / 1000
    apart, patience = lease / 2, settings_for(int(lease * 1e6)).patience / 1e6 + LINES
    tried: dict[tuple[int, str], list[tuple[float, str]]] = defaultdict(list)
    for e in truth.of("log"):
        found = TRIAL.search(e["text"])
        if found is not None:
            tried[truth.zones[e["node"]], found["server"]].append((e["t"], e["node"]))
    for (_, server), all_ in tried.items():
        for (before, other), (at, node) in zip(all_, all_[1:], strict=False):
            steady = all(truth.steady(n, at - patience, at) for n in (node, other))
            if node != other and at - before < apart and steady:
                yield at, node, f"tries server {server} {at - before:.3f} s after {other} of its zone did"


def left(truth: Truth) -> Found:
    """Nothing goes to a zone from a node that has left it, by evidence or by order, until it returns."""
    if not truth.plan.get("near"):
        return
    numbers = {f"z{z}": z for z in truth.zones.values()}
    for name in truth.names:
        attempts = [e for e in truth.of("attempt") if e["node"] == name]
        for zone, begin, end, _ in evacuations(truth, name):
            begin += LINES + truth.late(begin, begin)
            times = [seconds(e["began"]) for e in attempts if e["zone"] == numbers.get(zone)]
            sent = [at for at in times if begin < at < end - LINES]
            if sent:
                yield sent[0], name, f"{len(sent)} calls to zone {zone}, which it has left"


def turns(truth: Truth) -> Found:
    """A zone that was left by evidence is left alone for as long as the node said."""
    if not truth.plan.get("near"):
        return
    for name in truth.names:
        for zone, begin, end, hold in evacuations(truth, name):
            if hold and end < truth.end and end - begin < hold - LINES:
                yield end, name, f"returns to zone {zone} after {end - begin:.1f} s, {hold:g} were due"


def evacuations(truth: Truth, name: str) -> list[tuple[str, float, float, float]]:
    """By a node's log: zones that it evacuated, when, until when, how long it said (0: by directive)."""
    out: list[tuple[str, float, float, float]] = []
    open_: dict[str, tuple[float, float]] = {}
    lives = [e["t"] for e in truth.of("process") if e["node"] == name and e["what"] == "start"]
    for e in truth.of("log"):
        found = ZONE_ROUTING.search(e["text"]) if e["node"] == name else None
        if found is None:
            continue
        zone = found["zone"]
        if zone in open_:
            begin, hold = open_.pop(zone)
            end = min([e["t"], *(t for t in lives if t > begin)])
            # A directive may come in between, or another process, which knows nothing of it.
            out.append((zone, begin, end, hold if found["back"] and end == e["t"] else 0.0))
        if not found["back"]:
            open_[zone] = (e["t"], float(found["hold"] or 0))
    for zone, (begin, hold) in open_.items():
        out.append((zone, begin, min([truth.end, *(t for t in lives if t > begin)]), hold))
    return out


def home(truth: Truth) -> Found:
    """Where nothing is wrong, calls stay in their zone."""
    if not truth.plan.get("near") or truth.plan["fault"] or truth.plan["trouble"] or truth.mischief:
        return
    sent = [e for e in truth.of("attempt") if seconds(e["began"]) > truth.go + 2.0]
    far = sum(e["zone"] != truth.zones[e["node"]] for e in sent)
    if far > FAR_MOST * len(sent):
        yield truth.end, "all", f"{far} of {len(sent)} calls left their zone, though nothing was wrong"


def cold(truth: Truth) -> Found:
    """No cold server is pushed over by what nodes send that knew of its start."""
    for e in truth.of("end"):
        for story in e["broken"]:
            if "cold_server" in story:
                yield e["t"], "all", story


CHECKERS: dict[str, Callable[[Truth], Found]] = {
    f.__name__: f
    for f in (
        *(answers, attempts, drains, processes, logs, cold),
        *(views, summaries, deaths, incarnations, rejoins, duties, replacement, passes, trials),
        *(home, left, turns, directives),
    )
}


def check(events: list[Event]) -> dict[str, list[Broken]]:
    """What each checker found, by its name; empty lists where all was kept."""
    truth = Truth(events)
    return {
        name: [Broken(name, at, who, what) for at, who, what in checker(truth)]
        for name, checker in CHECKERS.items()
    }
