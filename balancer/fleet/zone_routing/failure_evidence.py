"""How each zone does, by this node's own calls over the last window.

Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from balancer.fleet.zone_routing.settings import ZoneSettings

TRIPS = 16  # last times to connect that are kept of a zone


@dataclass
class Tally:
    """One server's calls in a window."""

    calls: int = 0
    fails: int = 0
    latency: int = 0  # of those that were answered, summed

    @property
    def answered(self) -> int:
        return self.calls - self.fails

    def add(self, other: Tally) -> None:
        self.calls += other.calls
        self.fails += other.fails
        self.latency += other.latency


def whole(tallies: dict[int, Tally]) -> Tally:
    """All servers' calls together."""
    out = Tally()
    for t in tallies.values():
        out.add(t)
    return out


@dataclass
class Zone:
    """What is known of one zone."""

    now: dict[int, Tally] = field(default_factory=dict)  # by server, the window at hand
    last: dict[int, Tally] = field(default_factory=dict)  # and the one before
    usual: float = 0.0  # latency while it did well, smoothed
    failed: int = 0  # of its calls, one after the other
    pace: float = 1.0  # what part of its usual work it does
    trips: deque[int] = field(default_factory=lambda: deque(maxlen=TRIPS))

    def joined(self) -> dict[int, Tally]:
        """Both windows, so that a look right after a turn is not blind."""
        out = {s: Tally(t.calls, t.fails, t.latency) for s, t in self.last.items()}
        for server, t in self.now.items():
            out.setdefault(server, Tally()).add(t)
        return out


@dataclass(frozen=True)
class Verdict:
    """`calls` of two windows at most, and those `answered`; `bad`: the part of its servers that are; `dead`:
    its last calls failed one after the other, however few they were."""

    calls: int
    answered: int
    bad: float
    dead: bool

    def tells(self, least: int) -> bool:
        """Whether it is enough to go by."""
        return self.dead or self.calls >= least


class Evidence:
    """Of all zones, by name."""

    def __init__(self, settings: ZoneSettings, now: int) -> None:
        self.settings = settings
        self.zones: dict[str, Zone] = {}
        self.turned = now

    def of(self, zone: str) -> Zone:
        return self.zones.setdefault(zone, Zone())

    def ended(self, zone: str, server: int, ok: bool, latency: int) -> None:
        """A call has ended."""
        z = self.of(zone)
        t = z.now.setdefault(server, Tally())
        t.calls += 1
        z.failed = 0 if ok else z.failed + 1
        if ok:
            t.latency += latency
        else:
            t.fails += 1

    def connected(self, zone: str, took: int) -> None:
        """A connection to a server of the zone came up in this time."""
        self.of(zone).trips.append(took)

    def forget(self, zone: str) -> None:
        """What was seen of a zone before it was left says nothing of how it is now; its usual latency and the
        way to it do."""
        z = self.of(zone)
        z.now, z.last, z.failed, z.pace = {}, {}, 0, 1.0

    def trip(self, zone: str, home: str) -> int:
        """How much longer the way to a zone is than at home."""
        there, here = self.of(zone).trips, self.of(home).trips
        return max(0, min(there) - min(here)) if there and here else 0

    def turn(self, now: int) -> None:
        """A window is over once it has lasted; a zone's usual latency follows while it does well."""
        span = now - self.turned
        if span < self.settings.window:
            return
        self.turned = now
        for z in self.zones.values():
            all_ = whole(z.now)
            well = all_.answered > all_.calls * (1 - self.settings.failing)
            if all_.answered >= self.settings.least and well:
                mean = all_.latency / all_.answered
                if z.usual == 0:
                    z.usual = mean
                elif mean < self.settings.slower / 2 * z.usual:
                    # Failure prevented: a zone that turns slow little by little is usual in the end.
                    z.usual += min(1.0, span / self.settings.usual) * (mean - z.usual)
            z.last, z.now = z.now, {}

    def pace(self, zone: str) -> float:
        """What part of its usual work a zone does, as it was last known."""
        return self.of(zone).pace

    def measure(self, zone: str) -> None:
        """Works the pace out anew: answers that come, and how fast they do; small delays, which any load
        brings, do not count. Without calls it is forgotten little by little."""
        s, z = self.settings, self.of(zone)
        if z.failed >= s.row:
            z.pace = s.first
            return
        all_ = whole(z.now)
        if all_.calls < s.least:
            all_ = whole(z.joined())
        if all_.calls < s.least:
            z.pace += s.forget * (1 - z.pace)
            return
        mean = all_.latency / max(1, all_.answered)
        speed = min(1.0, s.slack * z.usual / mean) if z.usual and mean else 1.0
        z.pace = max(s.first, speed * all_.answered / all_.calls)

    def verdict(self, zone: str, aside: set[int]) -> Verdict:
        """Of a zone, with the servers that are set aside now."""
        s, z = self.settings, self.of(zone)
        tallies = z.joined()
        judged, bad = set(aside), set(aside)
        for server, t in tallies.items():
            if t.calls < 2:
                continue
            judged.add(server)
            slow = bool(z.usual and t.answered and t.latency > s.slower * z.usual * t.answered)
            if t.fails >= s.failing * t.calls or slow:
                bad.add(server)
        all_, dead = whole(tallies), z.failed >= s.row
        part = len(bad) / len(judged) if judged else 0.0
        return Verdict(all_.calls, all_.answered, 1.0 if dead else part, dead)
