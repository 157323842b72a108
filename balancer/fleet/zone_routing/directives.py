"""An operator's directives on zones, spread to all members: the newest on a zone holds for its span.

A directive is told to all at once, some times; each member tells one other now and then, so that who missed
it, or came later, hears of it. The newest is the one with the highest version, wherever it has been seen.

Wall clocks of members need not agree, and may be stepped. What is left of a directive's span is kept by the
monotonic clock: a message has its sender's wall clock beside each directive's end, and the receiver takes the
difference of the two. Versions are Unix time, carried on from the newest version that was seen by the
monotonic clock.

Times are microseconds of this process's monotonic clock, other than in `Word` and in messages.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from balancer.fleet.zone_routing.messages import MOST, Word, ZoneKind, ZoneMessage

EVERY = 1_000_000  # microseconds between two tellings
TELLS = 3  # times that a new directive goes to all
LONGEST = 86_400_000_000  # that a directive may hold
TOLD = 3_600_000_000  # a directive is told for so long after its end, to go before older ones...
TOLD_AGAIN = 60_000_000  # ...and for so long whenever an older one is heard

Out = list[tuple[str, Any]]


@dataclass
class Directive:
    """The newest directive on a zone, as this process knows it."""

    version: int
    returns: bool  # the zone may return
    ends_at: int  # in the past where it is over; of one that lets return, when it was given
    told_until: int
    unmeasured_end: int | None = None  # by a wall clock that is not known: it is passed on as it came

    def goes_before(self, other: Directive) -> bool:
        """Whether it takes the other's place: the newer one does, and a better measure of the same one."""
        if self.version != other.version:
            return self.version > other.version
        if self.returns or other.returns:
            return other.returns and not self.returns  # two operators at one instant: the same one everywhere
        if self.unmeasured_end is not None:
            return False
        return other.unmeasured_end is not None or self.ends_at < other.ends_at  # less time on its way here

    def over(self, now: int) -> bool:
        """Whether the zone is not left by it, now."""
        return self.returns or self.ends_at <= now


class Orders:
    """One process's part. `alive` gives the other members, `wall` microseconds of Unix time, `now` the
    monotonic clock."""

    def __init__(
        self,
        name: str,
        alive: Callable[[], Sequence[str]],
        wall: Callable[[], int],
        rng: Random,
        now: Callable[[], int],
    ) -> None:
        self.name = name
        self.alive = alive
        self.wall = wall
        self.rng = rng
        self.now = now
        self.directives: dict[str, Directive] = {}
        self.version_lead: int | None = None  # of the newest version that was seen, against `now`
        self.fresh = 0  # times that all are still to be told
        self.next = now()

    def say(self, zone: str, length: int) -> bool:
        """An operator's directive here and now: the zone is left for so long; 0: it may return. False where
        there are too many directives to go into a datagram."""
        now = self.now()
        if not self.has_room(now, zone):
            return False
        version = self.next_version(now, zone)
        ends_at = now + min(length, LONGEST)
        self.directives[zone] = Directive(version, not length, ends_at, ends_at + TOLD)
        self.version_seen(now, version)
        self.fresh = TELLS
        return True

    def next_version(self, now: int, zone: str) -> int:
        """Above that of each directive that was seen before, whatever wall clock gave it."""
        known = self.directives.get(zone)
        lowest = known.version + 1 if known is not None else 0
        carried = now + self.version_lead if self.version_lead is not None else 0
        return max(self.wall(), carried, lowest)

    def version_seen(self, now: int, version: int) -> None:
        """Notes a version, so that those given here later are above it."""
        lead = version - now
        self.version_lead = lead if self.version_lead is None else max(lead, self.version_lead)

    def has_room(self, now: int, zone: str) -> bool:
        """Whether a directive on a zone can be kept; the one that has been over for longest gives way."""
        if zone in self.directives or len(self.directives) < MOST:
            return True
        over = [(d.ends_at, z) for z, d in self.directives.items() if d.over(now)]
        if over:
            del self.directives[min(over)[1]]
        return bool(over)

    def left(self) -> dict[str, int]:
        """Zones that are left by order, and how long still, in microseconds."""
        now = self.now()
        return {z: d.ends_at - now for z, d in self.directives.items() if not d.over(now)}

    def returned(self) -> set[str]:
        """Zones that an operator has let return."""
        return {z for z, d in self.directives.items() if d.returns}

    def told(self, now: int) -> dict[str, Directive]:
        """Directives that are still told to others. The rest are kept while there is room."""
        return {z: d for z, d in self.directives.items() if now < d.told_until}

    def deadline(self) -> int | None:
        """When to `tick` next."""
        return self.next if self.told(self.next) else None

    def tick(self, now: int) -> Out:
        """Tells all, or one."""
        if now < self.next:
            return []
        self.next = now + EVERY
        told, members = self.told(now), list(self.alive())
        if not told or not members:
            return []
        receivers = members if self.fresh else [self.rng.choice(members)]
        self.fresh = max(0, self.fresh - 1)
        return [(name, message) for message in self.messages(now, told) for name in receivers]

    def messages(self, now: int, told: dict[str, Directive]) -> list[ZoneMessage]:
        """Directives that are measured, with their ends by this process's wall clock as it stands; and those
        that are not, as a process of an earlier version says them."""
        wall = max(LONGEST, self.wall())  # a clock near 1970 or before gives ends that can be sent
        measured, unmeasured = [], []
        for zone, directive in sorted(told.items()):
            if directive.returns:
                measured.append(Word(zone, directive.version, 0))
            elif directive.unmeasured_end is None:
                measured.append(Word(zone, directive.version, wall + directive.ends_at - now))
            else:
                unmeasured.append(Word(zone, directive.version, directive.unmeasured_end))
        batches = ((measured, wall), (unmeasured, 0))
        return [ZoneMessage(ZoneKind.ORDERS, self.name, tuple(words), seq) for words, seq in batches if words]

    def received(self, message: ZoneMessage) -> None:
        """Takes directives in that are newer than those known."""
        now = self.now()
        for word in message.words:
            self.version_seen(now, word.version)
            known = self.directives.get(word.zone)
            directive = directive_of(word, now, message.seq, self.wall())
            if known is None or directive.goes_before(known):
                if self.has_room(now, word.zone):
                    self.directives[word.zone] = directive
            elif directive.version < known.version:
                # Failure prevented: a member comes back from a long cut, and what was taken back holds again.
                known.told_until = max(known.told_until, now + TOLD_AGAIN)


def directive_of(word: Word, now: int, sender_wall: int, own_wall: int) -> Directive:
    """A word on this process's monotonic clock. `sender_wall`: 0 from processes of earlier versions, whose
    wall clock is taken to be this one's."""
    wall = sender_wall or own_wall
    if not word.until:  # it lets return and has no end: how old it is, as far as its version tells
        ends_at = now - min(max(0, wall - word.version), TOLD)
        return Directive(word.version, True, ends_at, ends_at + TOLD)
    ends_at = now + min(word.until - wall, LONGEST)
    return Directive(word.version, False, ends_at, ends_at + TOLD, None if sender_wall else word.until)
