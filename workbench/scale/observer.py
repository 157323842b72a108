"""Incremental comparison of the hollow members' views with the members that actually run.

The cost of comparing a whole view grows with the group, so whole views are compared only at the end of a run;
until then each change of a view updates a few counters.
"""

from __future__ import annotations

from collections import defaultdict
from time import monotonic

from balancer.fleet.membership.swim import Claim
from workbench.scale.group import Group, MemberSpec
from workbench.scale.messages import FalseDeath, ViewFault

# Changes after which a member is held alive.
HELD_ALIVE_CHANGES = ("join", "alive", "suspect")
# Changes after which a member is not held alive.
ENDED_CHANGES = ("dead", "left")
# Most names in one list of a report.
MAX_NAMES = 5
# Most false deaths that are reported one by one; all are counted.
MAX_FALSE_DEATHS = 100


class GroundTruth:
    """Which members run according to the plan, and what the members of one worker have observed of that."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.running = [True] * len(group.member_specs)
        self.ended_at = [0.0] * len(group.member_specs)
        self.min_incarnations = [0] * len(group.member_specs)  # Lowest incarnation since the last restart
        self.started_at = monotonic()
        self.had_partition = False
        self.healed_at: float | None = None
        self.watches: dict[int, MemberWatch] = {}
        self.joined_s: dict[str, float] = {}
        self.death_known_s: dict[str, list[float]] = defaultdict(list)
        self.false_deaths: list[FalseDeath] = []
        self.false_death_count = 0
        self.healed_s: dict[str, float] = {}

    def add_watch(self, spec: MemberSpec) -> MemberWatch:
        """Start to observe a member of this worker, which has no knowledge yet."""
        new_watch = self.watches[spec.index] = MemberWatch(self, spec)
        return new_watch

    def stop(self, index: int) -> None:
        """Record that a member ends, in this worker or another one."""
        self.running[index] = False
        self.ended_at[index] = monotonic()
        self.watches.pop(index, None)
        for watch in self.watches.values():
            watch.count_member(index, -1)

    def restart(self, index: int, wall: int) -> None:
        """Record that a member restarts, in this worker or another one."""
        self.running[index] = True
        self.min_incarnations[index] = wall
        for watch in self.watches.values():
            watch.count_member(index, 1)

    def cut(self, region: int | None) -> None:
        """Record that a region is partitioned from now on, or with None that the partition heals."""
        self.had_partition = True
        if region is None:
            self.healed_at = monotonic()
            for watch in self.watches.values():
                if watch.is_complete:
                    self.healed_s[watch.spec.name] = 0.0

    def record_completion(self, watch: MemberWatch) -> None:
        """Record that a member now knows all members in its scope."""
        now, name = monotonic(), watch.spec.name
        if name not in self.joined_s:
            self.joined_s[name] = now - self.started_at
        if self.healed_at is not None:
            self.healed_s[name] = now - self.healed_at

    def record_death(self, holder: MemberSpec, index: int, incarnation: int) -> None:
        """Record that a member declares another one dead."""
        now, victim = monotonic(), self.group.member_specs[index].name
        if not self.running[index] or incarnation < self.min_incarnations[index]:
            if self.ended_at[index]:
                self.death_known_s[victim].append(now - self.ended_at[index])
        # During a partition and after it, members of the other side are rightly declared dead.
        elif not self.had_partition:
            self.false_death_count += 1
            if len(self.false_deaths) < MAX_FALSE_DEATHS:
                self.false_deaths.append(FalseDeath(victim, holder.name, now - self.started_at))

    def unjoined_members(self) -> list[str]:
        """Return members of this worker that have never known all members in their scope."""
        return [name for w in self.watches.values() if (name := w.spec.name) not in self.joined_s]

    def incomplete_members(self) -> list[str]:
        """Return members of this worker that do not know all members in their scope now."""
        return [w.spec.name for w in self.watches.values() if not w.is_complete]

    def members_with_stale_views(self) -> list[str]:
        """Return members of this worker that hold an ended member alive."""
        ended = [i for i, running in enumerate(self.running) if not running]
        return [w.spec.name for w in self.watches.values() if any(w.holds_alive[i] for i in ended)]


class MemberWatch:
    """Whom one member holds alive, and how many running members in its scope it misses."""

    def __init__(self, ground_truth: GroundTruth, spec: MemberSpec) -> None:
        self.ground_truth = ground_truth
        self.spec = spec
        self.holds_alive = bytearray(len(ground_truth.running))
        self.missing = 0
        for index in range(len(ground_truth.running)):
            if ground_truth.running[index]:
                self.count_member(index, 1)
        if self.is_complete:
            ground_truth.record_completion(self)

    @property
    def is_complete(self) -> bool:
        """Whether the member knows all running members in its scope."""
        return self.missing == 0

    def in_scope(self, index: int) -> bool:
        """Return whether this member must know another one while that runs."""
        return index != self.spec.index and self.ground_truth.group.in_scope(
            self.spec, self.ground_truth.group.member_specs[index]
        )

    def count_member(self, index: int, change: int) -> None:
        """Count a member that started (1) or ended (-1) as missing or not, unless it is held alive."""
        if not self.holds_alive[index] and self.in_scope(index):
            self.add_missing(change)

    def add_missing(self, change: int) -> None:
        """Change the number of missing members, and record the completion if none is missing any more."""
        self.missing += change
        if self.missing == 0 and change:
            self.ground_truth.record_completion(self)

    def on_change(self, change: str, claim: Claim) -> None:
        """Process a change of the member's view."""
        subject = self.ground_truth.group.by_name.get(claim.name)
        if subject is None:
            return
        index = subject.index
        holds_alive = self.holds_alive[index]
        if change in HELD_ALIVE_CHANGES and not holds_alive:
            self.holds_alive[index] = 1
            if self.ground_truth.running[index] and self.in_scope(index):
                self.add_missing(-1)
        elif change in ENDED_CHANGES and holds_alive:
            self.holds_alive[index] = 0
            if self.ground_truth.running[index] and self.in_scope(index):
                self.add_missing(1)
            self.ground_truth.record_death(self.spec, index, claim.incarnation)


def view_fault(group: Group, spec: MemberSpec, states: dict[str, str], running: set[str]) -> ViewFault | None:
    """Compare a whole view with the running members; return None if they agree."""
    alive = {name for name, state in states.items() if state in ("alive", "suspect")}
    expected = {p.name for p in group.member_specs if p.name in running and group.in_scope(spec, p)} - {
        spec.name
    }
    missing, surplus = sorted(expected - alive), sorted(alive - running)
    if not missing and not surplus:
        return None
    known = len(expected & alive)
    return ViewFault(
        spec.name,
        known,
        len(expected),
        missing[:MAX_NAMES],
        len(missing),
        surplus[:MAX_NAMES],
        len(surplus),
    )
