"""Compares what hollow members hold with what is so, change by change, while they run.

A look at a whole view costs time that grows with the group, so a view is looked at whole only at the end of a
run; until then each change of it moves a few counters.
"""

from __future__ import annotations

from collections import defaultdict
from time import monotonic

from balancer.fleet.membership.swim import Claim
from workbench.scale.group import Group, Place
from workbench.scale.messages import FalseDeath, ViewFault

HELD = ("join", "alive", "suspect")  # changes after which a member is held alive...
GONE = ("dead", "left")  # ...and after which it is not
MAX_NAMES = 5  # of a list in a report
MAX_FALSE_DEATHS = 100  # told one by one


class Truth:
    """Which members run, by the plan, and what those of one worker have seen of that."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.running = [True] * len(group.places)
        self.ended_at = [0.0] * len(group.places)
        self.life_from = [0] * len(group.places)  # lowest incarnation of the present life
        self.started_at = monotonic()
        self.cut_seen = False
        self.healed_at: float | None = None
        self.watches: dict[int, MemberWatch] = {}
        self.joined_s: dict[str, float] = {}
        self.death_known_s: dict[str, list[float]] = defaultdict(list)
        self.false_deaths: list[FalseDeath] = []
        self.false_death_count = 0
        self.healed_s: dict[str, float] = {}

    def watch(self, place: Place) -> MemberWatch:
        """A member of this worker begins a life."""
        made = self.watches[place.index] = MemberWatch(self, place)
        return made

    def stop(self, index: int) -> None:
        """A member ends, here or elsewhere."""
        self.running[index] = False
        self.ended_at[index] = monotonic()
        self.watches.pop(index, None)
        for watch in self.watches.values():
            watch.count(index, -1)

    def restart(self, index: int, wall: int) -> None:
        """A member begins another life, here or elsewhere."""
        self.running[index] = True
        self.life_from[index] = wall
        for watch in self.watches.values():
            watch.count(index, 1)

    def cut(self, region: int | None) -> None:
        """A region is cut off from now on, or none is any more."""
        self.cut_seen = True
        if region is None:
            self.healed_at = monotonic()
            for watch in self.watches.values():
                if watch.complete:
                    self.healed_s[watch.place.name] = 0.0

    def completed(self, watch: MemberWatch) -> None:
        """A member knows all that it should."""
        now, name = monotonic(), watch.place.name
        if name not in self.joined_s:
            self.joined_s[name] = now - self.started_at
        if self.healed_at is not None:
            self.healed_s[name] = now - self.healed_at

    def died(self, holder: Place, index: int, incarnation: int) -> None:
        """A member holds another one dead from now on."""
        now, victim = monotonic(), self.group.places[index].name
        if not self.running[index] or incarnation < self.life_from[index]:
            if self.ended_at[index]:
                self.death_known_s[victim].append(now - self.ended_at[index])
        elif not self.cut_seen:  # during a cut and after it, those of the other side are rightly held dead
            self.false_death_count += 1
            if len(self.false_deaths) < MAX_FALSE_DEATHS:
                self.false_deaths.append(FalseDeath(victim, holder.name, now - self.started_at))

    def unjoined(self) -> list[str]:
        """Members of this worker that have not known all they should since the start."""
        return [name for w in self.watches.values() if (name := w.place.name) not in self.joined_s]

    def incomplete(self) -> list[str]:
        """Members of this worker that do not know all they should."""
        return [w.place.name for w in self.watches.values() if not w.complete]

    def ignorant(self) -> list[str]:
        """Members of this worker that hold somebody alive who is not."""
        ended = [i for i, running in enumerate(self.running) if not running]
        return [w.place.name for w in self.watches.values() if any(w.held[i] for i in ended)]


class MemberWatch:
    """What one member holds, and how many of those it should know are missing."""

    def __init__(self, truth: Truth, place: Place) -> None:
        self.truth = truth
        self.place = place
        self.held = bytearray(len(truth.running))
        self.missing = 0
        for index in range(len(truth.running)):
            if truth.running[index]:
                self.count(index, 1)
        if self.complete:
            truth.completed(self)

    @property
    def complete(self) -> bool:
        return self.missing == 0

    def in_scope(self, index: int) -> bool:
        """Whether this member should know another one, if that runs."""
        return index != self.place.index and self.truth.group.in_scope(
            self.place, self.truth.group.places[index]
        )

    def count(self, index: int, change: int) -> None:
        """A member that isn't held is to be known from now on, or not any more."""
        if not self.held[index] and self.in_scope(index):
            self.add_missing(change)

    def add_missing(self, change: int) -> None:
        self.missing += change
        if self.missing == 0 and change:
            self.truth.completed(self)

    def changed(self, what: str, claim: Claim) -> None:
        """The member's view has changed."""
        about = self.truth.group.by_name.get(claim.name)
        if about is None:
            return
        index = about.index
        held = self.held[index]
        if what in HELD and not held:
            self.held[index] = 1
            if self.truth.running[index] and self.in_scope(index):
                self.add_missing(-1)
        elif what in GONE and held:
            self.held[index] = 0
            if self.truth.running[index] and self.in_scope(index):
                self.add_missing(1)
            self.truth.died(self.place, index, claim.incarnation)


def view_fault(group: Group, place: Place, states: dict[str, str], running: set[str]) -> ViewFault | None:
    """Where a whole view differs from who runs; None where it does not."""
    alive = {name for name, state in states.items() if state in ("alive", "suspect")}
    expected = {p.name for p in group.places if p.name in running and group.in_scope(place, p)} - {place.name}
    missing, surplus = sorted(expected - alive), sorted(alive - running)
    if not missing and not surplus:
        return None
    known = len(expected & alive)
    return ViewFault(
        place.name,
        known,
        len(expected),
        missing[:MAX_NAMES],
        len(missing),
        surplus[:MAX_NAMES],
        len(surplus),
    )
