"""A voter: promises each duty to one process at a time, for a while.

Source: Gray and Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency" (SOSP 1989), for promises that lapse by themselves; the diskless form, in which a voter that
comes back from nothing abstains until any promise that it may have made is over, is that of Trencseni, Gazso
and Reinhardt, "PaxosLease: Diskless Paxos for Leases" (2012). The number that rises with each holder is the
sequencer of Burrows, "The Chubby lock service for loosely-coupled distributed systems" (OSDI 2006).

Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from balancer.fleet.leases.messages import DutyKind, DutyMessage, Reason
from balancer.fleet.leases.settings import DutySettings, Electorate, promised

Out = list[tuple[str, DutyMessage]]
Holder = tuple[str, int]  # name and life


class CeilingUnavailable(Exception):
    """The ceiling cannot be raised for now: the disk fails."""


@dataclass(frozen=True)
class VoteRange:
    """Numbers that a voter may grant without a further word of its disk: above `floor`, up to `ceiling`."""

    floor: int
    ceiling: int


@dataclass
class Slot:
    """One duty as this voter knows it."""

    number: int  # the highest that it granted
    released: int = 0  # nothing is granted up to here
    holder: Holder = ("", 0)
    until: int = 0
    waiters: dict[str, int] = field(default_factory=dict)  # denied askers, and the seq of their question
    denied: int = 0  # since it was granted last
    ahead: dict[Holder, int] = field(default_factory=dict)  # given back before their questions came


class Voter:
    """`lists`: the electorates that this process votes in. `floor`: a number that all it grants are above.
    `raised` is called before a number beyond the ceiling is granted, for a deployment with a disk, and gives
    the next range, or a CeilingUnavailable."""

    def __init__(
        self,
        name: str,
        life: int,
        lists: Sequence[Electorate],
        settings: DutySettings,
        now: int,
        floor: int = 0,
        raised: Callable[[int], VoteRange] | None = None,
    ) -> None:
        self.name = name
        self.life = life
        self.lists = {e.digest: e for e in lists if name in e.voters}
        self.settings = settings
        self.floor = floor
        self.raised = raised
        self.ceiling = floor  # as it was raised last
        self.next_raise = now  # after a disk that failed
        self.abstain_until = now + promised(settings.longest)
        self.slots: dict[str, Slot] = {}
        self.recalled: dict[str, int] = {}  # what the others remember
        self.next_recall = now
        self.counts: Counter[str] = Counter()

    # ---- time -------------------------------------------------------------------------------------------

    def abstains(self, now: int) -> bool:
        """Whether a promise of its last life may still hold."""
        return now < self.abstain_until

    def others(self) -> list[str]:
        return sorted({v for e in self.lists.values() for v in e.voters} - {self.name})

    def recovered(self) -> bool:
        """Whether enough of the others have told what they remember: one of them at least was in any majority
        that this voter was in."""
        return all(len(self.recalled.keys() & set(e.voters)) >= e.recall for e in self.lists.values())

    def deadline(self) -> int | None:
        """When to `tick` next; None where nothing is due by itself."""
        asks = self.lists and not self.recovered() and self.next_recall < self.abstain_until
        return self.next_recall if asks else None

    def tick(self, now: int) -> Out:
        """While it abstains, asks the others what they remember, as long as that is not enough."""
        due = self.deadline()
        if due is None or now < due:
            return []
        self.next_recall = now + self.settings.recall_every
        message = DutyMessage(DutyKind.RECALL, self.name, self.life)
        return [(v, message) for v in self.others() if v not in self.recalled]

    # ---- messages ---------------------------------------------------------------------------------------

    def received(self, now: int, m: DutyMessage) -> Out:
        """Takes in a message to this voter."""
        if not self.lists:
            return []
        if m.kind == DutyKind.ASK:
            return self.asked(now, m)
        if m.kind == DutyKind.RELEASE:
            return self.release(now, m)
        if m.kind == DutyKind.RECALL and not self.abstains(now):
            number = max([self.floor, *(max(s.number, s.released) for s in self.slots.values())])
            return [(m.sender, DutyMessage(DutyKind.MEMORY, self.name, self.life, number=number))]
        if m.kind == DutyKind.MEMORY and m.sender in self.others():
            self.recalled[m.sender] = m.number
            self.floor = max(self.floor, m.number)
        return []

    def asked(self, now: int, m: DutyMessage) -> Out:
        holder = (m.sender, m.life)
        if m.electorate not in self.lists:
            return self.deny(m, Reason.ELECTORATE)
        if self.abstains(now):
            self.remember(m)
            return self.deny(m, Reason.ABSTAINS, wait=self.abstain_until - now)
        if m.wait > self.settings.longest:
            return self.deny(m, Reason.LENGTH)
        slot = self.slots.get(m.duty) or self.room(now, m.duty)
        if slot is None:
            return self.deny(m, Reason.FULL)
        if now < slot.until and slot.holder != holder:
            if len(slot.waiters) < self.settings.waiters_most:
                slot.waiters[m.sender] = m.seq
            # Failure prevented: a thousand askers come again at one instant, the end of the lease.
            slot.denied += 1
            turn = slot.until - now + slot.denied * self.settings.spacing
            return self.deny(m, Reason.HELD, slot.number, turn)
        if self.too_low(slot, m.number, holder):
            return self.deny(m, Reason.OLD, max(slot.number, slot.released))
        if not self.covers(now, m.number):
            return self.deny(m, Reason.ABSTAINS, wait=self.next_raise - now)
        if self.too_low(slot, m.number, holder):  # by a floor that the disk did not give before
            return self.deny(m, Reason.OLD, max(slot.number, slot.released))
        slot.number, slot.holder, slot.until = m.number, holder, now + promised(m.wait)
        slot.denied = 0
        slot.ahead = {h: n for h, n in slot.ahead.items() if n > m.number}  # the others are too low by now
        self.counts["granted"] += 1
        return [(m.sender, DutyMessage(DutyKind.GRANT, self.name, self.life, m.duty, m.seq, m.number))]

    def remember(self, m: DutyMessage) -> None:
        """Grants nothing below the number of a question that came while it abstained: whoever asks is above
        all that it has heard of, so one asker that lives on is enough where all voters forget.

        Failure prevented: all voters start anew, and an asker whose wall clock is slow comes to hold a duty
        under a token that every receiver refuses.
        """
        slot = self.slots.get(m.duty)
        if slot is None and len(self.slots) < self.settings.duties_most:
            slot = self.slots[m.duty] = Slot(self.floor)
        if slot is not None:
            slot.released = max(slot.released, m.number - 1)

    def covers(self, now: int, number: int) -> bool:
        """Whether the ceiling is at least a number, raised if it has to be and the disk lets it.

        Failure prevented: the disk fails, and a grant that is not on it is forgotten by the next life.
        """
        if self.raised is None or number <= self.ceiling:
            return True
        if now < self.next_raise:
            return False
        try:
            bounds = self.raised(number)
        except CeilingUnavailable:
            self.next_raise = now + self.settings.store_retry
            self.counts["store_failed"] += 1
            return False
        self.floor = max(self.floor, bounds.floor)
        self.ceiling = bounds.ceiling
        return True

    def too_low(self, slot: Slot, number: int, holder: Holder) -> bool:
        """A number is granted to one holder alone, and none is granted after a higher one or its own end."""
        if number == slot.number and holder == slot.holder and number > slot.released:
            return False
        return number <= max(slot.number, slot.released, slot.ahead.get(holder, 0), self.floor)

    def room(self, now: int, duty: str) -> Slot | None:
        """A place for a duty not heard of. One that nobody holds gives way, and leaves its number as the
        floor of all that come after."""
        if len(self.slots) >= self.settings.duties_most:
            idle = [(s.until, d) for d, s in self.slots.items() if s.until <= now]
            if not idle:
                return None
            gone = self.slots.pop(min(idle)[1])
            self.floor = max(self.floor, gone.number, gone.released)
            self.counts["evicted"] += 1
        slot = self.slots[duty] = Slot(self.floor)
        return slot

    def deny(self, m: DutyMessage, reason: Reason, number: int = 0, wait: int = 0) -> Out:
        self.counts[f"denied_{reason.name.lower()}"] += 1
        number = max(number, self.floor)
        parts = (m.duty, m.seq, number, m.electorate, wait, reason)
        answer = DutyMessage(DutyKind.DENY, self.name, self.life, *parts)
        return [(m.sender, answer)]

    def release(self, now: int, m: DutyMessage) -> Out:
        """Whoever held it under this number does not: a question of its that comes late finds nothing.

        Failure prevented: a release overtakes its question, the promise to who is no longer there lapses by
        itself, and nobody holds the duty for a lease.
        """
        holder = (m.sender, m.life)
        slot = self.slots.get(m.duty) or self.room(now, m.duty)
        if slot is None:
            return []
        if slot.holder != holder:
            if m.number > slot.number:
                slot.ahead[holder] = max(m.number, slot.ahead.pop(holder, 0))
                if len(slot.ahead) > self.settings.waiters_most:
                    del slot.ahead[next(iter(slot.ahead))]  # the oldest is the least likely to come
            return []
        slot.released = max(slot.released, m.number)
        if m.number < slot.number:
            return []
        slot.until = now
        waiters, slot.waiters = slot.waiters, {}
        return [
            (name, DutyMessage(DutyKind.FREE, self.name, self.life, m.duty, seq, slot.number))
            for name, seq in waiters.items()
        ]
