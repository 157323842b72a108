"""An operator's words on zones, spread to all members: the newest word on a zone holds until its time is out.

A word is told to all at once, some times; each member tells one other now and then, so that who missed it, or
came later, hears of it. Wall clocks carry versions and ends: a word ends for all at about one time.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from brackenladder.fleet.zones.messages import MOST, Word, ZoneKind, ZoneMessage

EVERY = 1_000_000  # microseconds between two tellings
TELLS = 3  # times that a new word goes to all
LONGEST = 86_400_000_000  # that a word may hold
KEPT = 3_600_000_000  # a word that is over is kept so long, lest an older one that is not comes round

Out = list[tuple[str, Any]]


class Orders:
    """One process's part. `alive` gives the other members, `wall` microseconds of Unix time."""

    def __init__(
        self, name: str, alive: Callable[[], Sequence[str]], wall: Callable[[], int], rng: Random, now: int
    ) -> None:
        self.name = name
        self.alive = alive
        self.wall = wall
        self.rng = rng
        self.words: dict[str, Word] = {}
        self.fresh = 0  # times that all are still to be told
        self.next = now

    def say(self, zone: str, length: int) -> bool:
        """An operator's word here and now: the zone is left for so long; 0: it may return. False where there
        are too many words to go into a datagram."""
        if zone not in self.words and len(self.words) >= MOST:
            return False
        wall, old = self.wall(), self.words.get(zone)
        version = max(wall, old.version + 1 if old is not None else 0)
        self.words[zone] = Word(zone, version, wall + min(length, LONGEST) if length else 0)
        self.fresh = TELLS
        return True

    def left(self) -> dict[str, int]:
        """Zones that are left by order, and how long still, in microseconds."""
        wall = self.wall()
        return {z: min(w.until - wall, LONGEST) for z, w in self.words.items() if w.until > wall}

    def returned(self) -> set[str]:
        """Zones that an operator has let return."""
        return {z for z, w in self.words.items() if not w.until}

    def deadline(self) -> int | None:
        return self.next if self.words else None

    def tick(self, now: int) -> Out:
        """Tells all, or one."""
        if not self.words or now < self.next:
            return []
        self.next = now + EVERY
        wall = self.wall()
        self.words = {z: w for z, w in self.words.items() if max(w.until, w.version) + KEPT > wall}
        members = list(self.alive())
        if not members:
            return []
        message = ZoneMessage(ZoneKind.ORDERS, self.name, tuple(w for _, w in sorted(self.words.items())))
        if self.fresh:
            self.fresh -= 1
            return [(name, message) for name in members]
        return [(self.rng.choice(members), message)]

    def received(self, message: ZoneMessage) -> None:
        """Takes words in that are newer than those known."""
        for word in message.words:
            known = self.words.get(word.zone)
            if word.newer(known) and (known is not None or len(self.words) < MOST):
                self.words[word.zone] = word
