"""Shares of a node's calls by zone: near first, spill by room, leaving by evidence, return by steps.

Sources: weights by locality, over-provisioning and a panic threshold as Envoy's documentation has them;
reasons and figures in `docs/zone-routing.md`. Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from balancer.fleet.zone_routing.failure_evidence import Evidence, Verdict
from balancer.fleet.zone_routing.settings import ZoneSettings

LEFT = 0.05  # a zone that has been halved below this part is left
ONE_OF = 3  # so many zones at most one is left by evidence, or one where there are fewer


class Stand(Enum):
    """How a zone stands with this node."""

    IN = "in"
    LEAVING = "leaving"
    OUT = "out"
    RETURNING = "returning"


@dataclass
class Course:
    """One zone's way out and back."""

    stand: Stand = Stand.IN
    part: float = 1.0  # of its strength that counts
    at: int = 0  # when the next step may come
    hold: int = 0  # how long it was left alone last
    back_at: int = 0  # when it was last whole again


@dataclass(frozen=True)
class Listed:
    """A server in discovery's list."""

    zone: str
    cold_until: int  # 0: it has long been warm


class Zones:
    """One node's part. `place` gives where this node stands among the members, from 0 to 1; `tell` takes a
    line for the log."""

    def __init__(
        self,
        zone: str,
        settings: ZoneSettings,
        cold_time: int,
        cold_share: float,
        now: int,
        place: Callable[[], float],
        tell: Callable[[str], None],
    ) -> None:
        self.zone = zone
        self.settings = settings
        self.cold_time = max(1, cold_time)
        self.cold_share = cold_share
        self.place = place
        self.tell = tell
        self.evidence = Evidence(settings, now)
        self.servers: dict[int, Listed] = {}
        self.names: list[str] = []  # of the zones that these lie in
        self.aside: set[int] = set()
        self.courses: dict[str, Course] = {}
        self.orders: dict[str, int] = {}  # zones that an operator has left, and how long still
        self.returned: set[str] = set()  # and those that he has let return
        self.isolated = False
        self.next = now
        self.counts: Counter[str] = Counter()

    # ---- what the node sees -----------------------------------------------------------------------------

    def listed(self, servers: Mapping[int, Listed]) -> None:
        """Discovery's list as it stands: those that are ready."""
        self.servers = dict(servers)
        self.aside &= servers.keys()
        self.names = sorted({s.zone for s in servers.values()})
        for zone in self.names:
            self.courses.setdefault(zone, Course())

    def set_aside(self, server: int, on: bool) -> None:
        (self.aside.add if on else self.aside.discard)(server)

    def ended(self, now: int, server: int, ok: bool, latency: int) -> bool:
        """A call to a server has ended. Whether it is time for a look now.

        Failure prevented: a zone dies, and for half a second all calls still go there, each at the cost of a
        repeat that the budget soon has not.
        """
        known = self.servers.get(server)
        if known is None:
            return False
        self.evidence.ended(known.zone, server, ok, latency)
        if self.evidence.of(known.zone).failed == self.settings.row:
            self.next = now
            return True
        return False

    def connected(self, server: int, took: int) -> None:
        """A connection to a server came up."""
        known = self.servers.get(server)
        if known is not None:
            self.evidence.connected(known.zone, took)

    # ---- the operator's hand ----------------------------------------------------------------------------

    def ordered(self, left: Mapping[str, int], returned: Collection[str] = ()) -> None:
        """Zones that an operator has left, whatever the evidence says, and how long still. Those that he has
        let return do, by steps; so do those whose time is over, unless they were left by evidence too."""
        for zone in self.orders.keys() - left.keys():
            c = self.course(zone)
            if zone in returned or c.stand != Stand.OUT:
                self.begin_return(self.next, zone, c)
        for zone in set(returned) - self.returned:
            if self.course(zone).stand == Stand.OUT:
                self.begin_return(self.next, zone, self.course(zone))
        self.returned = set(returned)
        for zone, length in left.items():
            if zone not in self.orders:
                self.tell(f"fleet zone {zone} is left by order, {length / 1e6:.0f} s still")
        self.orders = dict(left)

    def allows(self, server: int) -> bool:
        """Whether calls may go to a server, by its zone."""
        known = self.servers.get(server)
        return known is None or self.able(known.zone) or not any(self.able(z) for z in self.present())

    def course(self, zone: str) -> Course:
        return self.courses.setdefault(zone, Course())

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """When to `tick` next."""
        return self.next

    def tick(self, now: int) -> bool:
        """Looks at all zones; whether it was time to."""
        if now < self.next:
            return False
        self.next = now + self.settings.every
        verdicts = {z: self.verdict(z) for z in self.present()}
        bad = {z for z, v in verdicts.items() if v.bad >= self.settings.spread}
        self.look_around(verdicts, bad)
        for zone, verdict in verdicts.items():
            self.evidence.measure(zone)
            if zone == self.zone or not self.isolated:
                self.step(now, zone, verdict, zone in bad and self.alone_bad(zone, verdicts))
        self.evidence.turn(now)
        return True

    def look_around(self, verdicts: dict[str, Verdict], bad: set[str]) -> None:
        """Whether all far zones that are called look bad and the own one does not: the fault is near, and
        those far ones are not left for it. A trickle goes on, to see when they are back."""
        called = {z for z, v in verdicts.items() if v.tells(self.settings.least) and self.able(z)}
        far = called - {self.zone}
        before = self.isolated
        if not before:
            self.isolated = len(far) > 1 and far <= bad and self.zone in called - bad
        elif self.zone in bad or any(2 * v.answered > v.calls for z, v in verdicts.items() if z != self.zone):
            self.isolated = False
        if self.isolated == before:
            return
        self.counts["isolated"] += self.isolated
        self.tell("fleet zones: " + ("all far ones look bad: staying" if self.isolated else "looking again"))
        for zone, c in self.courses.items():
            if zone != self.zone and c.stand == Stand.LEAVING:
                c.stand, c.part = Stand.IN, 1.0

    def present(self) -> list[str]:
        """Zones that have servers, in order."""
        return self.names

    def verdict(self, zone: str) -> Verdict:
        aside = {s for s in self.aside if s in self.servers and self.servers[s].zone == zone}
        return self.evidence.verdict(zone, aside)

    def alone_bad(self, zone: str, verdicts: dict[str, Verdict]) -> bool:
        """Whether some other zone is known to do clearly better, or none of the others is known at all.

        Failure prevented: a release that is bad everywhere, or this node's own trouble, empties one zone
        after another.
        """
        s = self.settings
        if not verdicts[zone].tells(s.least) and self.course(zone).stand == Stand.IN:
            return False
        others = [v.bad for z, v in verdicts.items() if z != zone and v.tells(s.least) and self.able(z)]
        return not others or min(others) <= s.better * verdicts[zone].bad

    def able(self, zone: str) -> bool:
        """Whether calls go there."""
        return self.course(zone).part > 0 and zone not in self.orders

    # ---- one zone's way out and back --------------------------------------------------------------------

    def step(self, now: int, zone: str, verdict: Verdict, bad: bool) -> None:
        c, s = self.course(zone), self.settings
        if c.stand in (Stand.IN, Stand.LEAVING):
            if bad and self.may_leave(zone):
                c.stand = Stand.LEAVING
                c.part /= 2
                if c.part < LEFT:
                    self.leave(now, zone, c)
            elif c.stand == Stand.LEAVING and 2 * verdict.answered > verdict.calls:
                c.part = min(1.0, 2 * c.part)
                c.stand = Stand.IN if c.part == 1.0 else Stand.LEAVING
        elif c.stand == Stand.OUT and now >= c.at:
            self.begin_return(now, zone, c)
        elif c.stand == Stand.RETURNING:
            if bad or (verdict.tells(s.least) and verdict.bad >= s.spread):
                self.leave(now, zone, c)
            elif now >= c.at and 2 * verdict.answered > verdict.calls or self.unasked(now, verdict, c):
                c.part, c.at = min(1.0, 2 * c.part), now + s.step
                if c.part == 1.0:
                    c.stand, c.back_at = Stand.IN, now
                    self.tell(f"fleet zone {zone} is whole again")

    def may_leave(self, zone: str) -> bool:
        """Whether so few zones are gone or left that one more may be.

        Failure prevented: a lost zone's load makes the others slow, the first of them is left for it, and its
        load topples the next.
        """
        out = sum(
            z not in self.names or c.stand != Stand.IN or z in self.orders
            for z, c in self.courses.items()
            if z != zone
        )
        return out < max(1, len(self.courses) // ONE_OF)

    def unasked(self, now: int, verdict: Verdict, c: Course) -> bool:
        """Whether nothing has gone to a zone for so long that no evidence is to be had.

        Failure prevented: a far zone that is not called while all is well at home stays at 2% for ever, and
        bears nothing on the day that the own zone dies.
        """
        return verdict.calls == 0 and now >= c.at + self.settings.hold

    def leave(self, now: int, zone: str, c: Course) -> None:
        """Nothing goes there for a while; for longer, if it has come back only lately."""
        s = self.settings
        again = c.stand == Stand.RETURNING or now < c.back_at + s.lapse and c.hold > 0
        c.hold = min(s.hold_most, s.longer * c.hold) if again else s.hold
        c.stand, c.part = Stand.OUT, 0.0
        c.at = now + c.hold + int(s.stagger * self.place())
        self.counts["left"] += 1
        self.tell(f"fleet zone {zone} is left for {c.hold / 1e6:g} s")

    def begin_return(self, now: int, zone: str, c: Course) -> None:
        c.stand, c.part, c.at = Stand.RETURNING, self.settings.first, now + self.settings.step
        self.evidence.forget(zone)
        self.tell(f"fleet zone {zone} returns, by steps")

    # ---- shares -----------------------------------------------------------------------------------------

    def strength(self, now: int) -> dict[str, float]:
        """Of each zone: servers in service, cold ones by their warmth, all by the zone's pace."""
        out: dict[str, float] = dict.fromkeys(self.present(), 0.0)
        for number, s in self.servers.items():
            if number not in self.aside:
                warmth = 1 - max(0.0, min(1.0, (s.cold_until - now) / self.cold_time))
                out[s.zone] += self.cold_share + (1 - self.cold_share) * warmth
        # While this node's own links may be at fault, what it saw of the others says nothing of them.
        return {
            z: v * (1.0 if self.isolated and z != self.zone else self.evidence.pace(z))
            for z, v in out.items()
        }

    def shares(self, now: int) -> dict[str, float]:
        """What part of the calls goes to each zone, in order of preference; zones that are left are not
        among them, unless all are."""
        strength = self.strength(now)
        parts = {z: self.course(z).part * (z not in self.orders) for z in strength}
        if self.isolated and self.zone in parts:
            parts |= {z: min(parts[z], self.settings.first) for z in parts if z != self.zone}
        if not any(strength[z] * parts[z] for z in strength):
            parts = dict.fromkeys(strength, 1.0)  # all bad, or all left: as if none were
        whole = sum(strength.values())
        if not whole:
            return {z: 1 / len(strength) for z in strength}
        # A zone that has no servers now asks for its part all the same.
        even = 1 / len({*strength, *self.courses, self.zone})
        bears = {z: self.settings.room * parts[z] * strength[z] / whole for z in strength}
        order = sorted((z for z in strength if parts[z] > 0), key=lambda z: (z != self.zone, self.cost(z), z))
        out = dict.fromkeys(order, 0.0)
        left = 1.0
        if self.zone in out:
            out[self.zone] = min(1.0, bears[self.zone] / even)
            left -= out[self.zone]
        for cost in sorted({self.cost(z) for z in order if z != self.zone}):
            alike = [z for z in order if z != self.zone and self.cost(z) == cost]
            left -= self.spill(out, alike, bears, left, even)
        if left > 1e-9:  # nobody has room for it: by strength, and the limits shed it
            sum_ = sum(parts[z] * strength[z] for z in order)
            for z in order:
                out[z] += left * parts[z] * strength[z] / sum_
        return out

    def spill(
        self, out: dict[str, float], zones: list[str], bears: dict[str, float], left: float, even: float
    ) -> float:
        """Gives what is left to zones of one cost, by their room beyond what is their own; how much it was.
        A node's part of that room is what its zone asks of all."""
        room = {z: max(0.0, bears[z] - even) / even for z in zones}
        sum_ = sum(room.values())
        given = min(left, sum_)
        for z in zones:
            out[z] += given * room[z] / sum_ if sum_ else 0.0
        return given

    def cost(self, zone: str) -> float:
        return 0.0 if zone == self.zone else self.settings.costs.get(zone, 1.0)

    def trips(self) -> dict[str, int]:
        """How much longer a round-trip to each zone is than at home."""
        return {z: self.evidence.trip(z, self.zone) for z in self.present() if z != self.zone}

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Each zone as this node has it; times in seconds."""
        shares = self.shares(now) if self.servers else {}
        strength = self.strength(now)
        table = {}
        for zone in self.present():
            c, ordered = self.course(zone), self.orders.get(zone, 0)
            table[zone] = {
                "stand": "left by order" if ordered else c.stand.value,
                "share": round(shares.get(zone, 0.0), 4),
                "strength": round(strength[zone], 2),
                "part": round(c.part, 3),
                "pace": round(self.evidence.pace(zone), 3),
                "ordered_s": round(ordered / 1e6, 1),
            }
        return {"home": self.zone, "isolated": self.isolated, "zones": table, "counts": dict(self.counts)}
