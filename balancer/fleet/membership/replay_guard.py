"""Protection against replayed datagrams, without a clock that machines share.

Each sender stamps its datagrams with a clock of its own that runs at the pace of real time. A receiver keeps,
for each sender, the newest stamp and when it came; a stamp is taken if it lies near what that leads one to
expect and has not been seen. A sender that was never heard of, or whose stamps lie elsewhere (a new life), is
asked for proof that it is live: a PING without claims, whose unpredictable `seq` it echoes in an ACK as every
version does. Until then its datagrams are held, and those that are old by its own clock are never taken.

A state machine without sockets, clocks or random numbers of its own. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message

WINDOW = 64  # datagrams of one sender that may overtake one another
MAX_SKEW = 30_000_000  # between a stamp and what its sender's earlier stamps lead one to expect
MAX_TRANSIT = 1_000_000  # that a datagram may have been on its way when its sender is first proven live
MAX_SENDERS = 4096  # whose stamps are kept: over that, those of the one heard of first go
MAX_CHALLENGES = 256  # that are unanswered; over that, the oldest goes
MAX_HELD = 4  # datagrams kept for each of them...
MAX_HELD_BYTES = 128 * 1024  # ...and of all together; decoded they take some times that
CHALLENGE_AGAIN = 300_000  # until a challenge that was not answered is repeated
PROOF_WITHIN = 5_000_000  # of the ping that an ACK answers
MAX_PINGS = 1024  # of membership whose ACKs serve as proof too


class Verdict(Enum):
    """How a stamp stands to its sender's earlier ones."""

    FRESH = auto()
    REPLAY = auto()  # seen before, or older than what can still be told from a replay
    DISTANT = auto()  # far from what is expected: of another life, or recorded long ago


class StampWindow:
    """One sender's stamps: the newest, when it came, and the last ones taken."""

    __slots__ = ("floor", "newest", "newest_at", "seen")

    def __init__(self, newest: int, now: int, floor: int = 0) -> None:
        self.newest = newest
        self.newest_at = now
        self.floor = floor  # nothing below it is taken
        self.seen: list[int] = []

    def judge(self, stamp: int, now: int) -> Verdict:
        """Whether a datagram with this stamp may be taken; changes nothing."""
        expected = self.newest + now - self.newest_at
        if abs(stamp - expected) > MAX_SKEW:
            return Verdict.DISTANT
        below_window = len(self.seen) >= WINDOW and stamp < self.seen[0]
        if stamp < self.floor or below_window or stamp in self.seen:
            return Verdict.REPLAY
        return Verdict.FRESH

    def record(self, stamp: int, now: int) -> None:
        """A datagram was taken."""
        if stamp >= self.newest:
            self.newest, self.newest_at = stamp, now
        self.seen.append(stamp)
        self.seen.sort()
        del self.seen[:-WINDOW]


class SenderStamps:
    """The windows of all senders, bounded in number."""

    def __init__(self) -> None:
        self.windows: dict[str, StampWindow] = {}

    def judge(self, sender: str, stamp: int, now: int) -> Verdict:
        """Of a sender without a window each stamp is distant."""
        window = self.windows.get(sender)
        return Verdict.DISTANT if window is None else window.judge(stamp, now)

    def record(self, sender: str, stamp: int, now: int) -> None:
        """A datagram of a sender that has a window was taken."""
        self.windows[sender].record(stamp, now)

    def begin(self, sender: str, stamp: int, now: int, max_age: int) -> None:
        """A sender is live, and this is its present stamp: from here on its stamps are judged by that.
        `max_age`: no datagram that is older now will be taken."""
        before = self.windows.pop(sender, None)
        # Failure prevented: whoever has the key makes names up until the memory is full.
        while len(self.windows) >= MAX_SENDERS:
            del self.windows[next(iter(self.windows))]
        window = self.windows[sender] = StampWindow(stamp, now, stamp - max_age)
        if before is not None:
            window.seen = [s for s in before.seen if window.floor <= s <= stamp]
        window.record(stamp, now)

    def forget(self, sender: str) -> None:
        """The sender has to prove itself again."""
        self.windows.pop(sender, None)

    def clear(self) -> None:
        """Forgets all senders."""
        self.windows.clear()


@dataclass(frozen=True)
class Received:
    """An authentic datagram: where it came from, its stamp, its message and its length in bytes."""

    source: Address
    stamp: int
    message: Any
    size: int


@dataclass
class Challenge:
    """A PING that is to be answered by the sender of held datagrams."""

    sender: str
    source: Address
    seq: int
    asked_at: int
    repeat_at: int
    held: list[Received] = field(default_factory=list)


@dataclass(frozen=True)
class Admission:
    """What follows from a datagram: those that may be acted upon, and a message to its source."""

    accepted: tuple[Received, ...] = ()
    answer: Message | None = None


REFUSED = Admission()


class ReplayGuard:
    """Decides which of the authentic datagrams that a process receives may be acted upon.

    `first_seq`: where the `seq` of its challenges begins. No earlier life may have used numbers near it and
    nobody may foresee it. `dropped` counts what is refused.
    """

    def __init__(self, name: str, first_seq: int, dropped: Counter[str]) -> None:
        self.name = name
        self.seq = first_seq
        self.dropped = dropped
        self.senders = SenderStamps()
        self.challenges: dict[int, Challenge] = {}  # by seq, the oldest first
        self.by_source: dict[tuple[str, Address], Challenge] = {}
        self.held_bytes = 0
        self.pings: dict[int, int] = {}  # when each of membership's was sent, by seq

    def ping_sent(self, now: int, seq: int) -> None:
        """Membership pings somebody: an ACK with this unpredictable `seq` is proof as well."""
        self.pings.pop(seq, None)
        while len(self.pings) >= MAX_PINGS:
            del self.pings[next(iter(self.pings))]
        self.pings[seq] = now

    def forget(self, sender: str) -> None:
        """A member is gone for good: if it comes back, it proves itself again."""
        self.senders.forget(sender)

    def admit(self, now: int, received: Received) -> Admission:
        """Judges a datagram."""
        message = received.message
        if message.sender == self.name:
            return self.refuse("replay")
        verdict = self.senders.judge(message.sender, received.stamp, now)
        if verdict == Verdict.REPLAY:
            return self.refuse("replay")
        if is_challenge(message):
            return self.answer(now, received, verdict)
        challenge = self.challenges.get(message.seq) if message.kind == Kind.ACK else None
        if challenge is not None and challenge.sender == message.sender:
            return self.prove(now, received, challenge, verdict)
        if verdict == Verdict.FRESH:
            self.senders.record(message.sender, received.stamp, now)
            return Admission((received,))
        asked_at = self.pings.get(message.seq) if message.kind == Kind.ACK else None
        if asked_at is not None and now - asked_at <= PROOF_WITHIN:
            self.begin(now, received, asked_at)
            return Admission((received,))
        return self.challenge(now, received)

    def refuse(self, reason: str) -> Admission:
        self.dropped[reason] += 1
        return REFUSED

    def answer(self, now: int, received: Received, verdict: Verdict) -> Admission:
        """Echoes another's challenge, whoever sent it: that says nothing and changes nothing."""
        if verdict == Verdict.FRESH:
            self.senders.record(received.message.sender, received.stamp, now)
        return Admission(answer=Message(Kind.ACK, self.name, received.message.seq))

    def begin(self, now: int, received: Received, asked_at: int) -> None:
        """The sender has echoed what it was sent at `asked_at`."""
        max_age = now - asked_at + MAX_TRANSIT
        self.senders.begin(received.message.sender, received.stamp, now, max_age)

    def prove(self, now: int, received: Received, challenge: Challenge, verdict: Verdict) -> Admission:
        """A challenge is answered: of the datagrams held, those are taken that were young when they came.

        The answer itself goes no further: an earlier version's carries claims about its own group, which
        need not be this process's.
        """
        self.remove(challenge)
        if verdict == Verdict.FRESH:  # it had a window, which what was held lies outside of
            self.senders.record(received.message.sender, received.stamp, now)
        elif now - challenge.asked_at > PROOF_WITHIN:
            self.dropped["unproven"] += 1 + len(challenge.held)
            return REFUSED
        else:
            self.begin(now, received, challenge.asked_at)
        return Admission(tuple(held for held in challenge.held if self.still_fresh(now, held)))

    def still_fresh(self, now: int, held: Received) -> bool:
        """Takes a datagram that was held, or refuses it."""
        sender = held.message.sender
        if self.senders.judge(sender, held.stamp, now) != Verdict.FRESH:
            self.dropped["replay"] += 1
            return False
        self.senders.record(sender, held.stamp, now)
        return True

    def challenge(self, now: int, received: Received) -> Admission:
        """Holds a datagram and asks its sender for proof, where it came from."""
        place = (received.message.sender, received.source)
        challenge = self.by_source.get(place)
        if challenge is not None and now - challenge.asked_at > PROOF_WITHIN:
            self.drop(challenge)
            challenge = None
        if challenge is None:
            challenge = self.begin_challenge(now, *place)
        self.hold(challenge, received)
        if now < challenge.repeat_at:
            return REFUSED
        challenge.repeat_at = now + CHALLENGE_AGAIN
        return Admission(answer=Message(Kind.PING, self.name, challenge.seq))

    def begin_challenge(self, now: int, sender: str, source: Address) -> Challenge:
        while len(self.challenges) >= MAX_CHALLENGES:
            self.drop(next(iter(self.challenges.values())))
        self.seq += 1
        challenge = Challenge(sender, source, self.seq, asked_at=now, repeat_at=now)
        self.challenges[challenge.seq] = self.by_source[sender, source] = challenge
        return challenge

    def hold(self, challenge: Challenge, received: Received) -> None:
        """Keeps a datagram until the answer comes; of more than a few the newest."""
        if len(challenge.held) >= MAX_HELD:
            self.held_bytes -= challenge.held.pop(0).size
            self.dropped["unproven"] += 1
        if self.held_bytes + received.size > MAX_HELD_BYTES:
            self.dropped["unproven"] += 1
            return
        challenge.held.append(received)
        self.held_bytes += received.size

    def drop(self, challenge: Challenge) -> None:
        """Nobody has answered: what was held is refused."""
        self.remove(challenge)
        self.dropped["unproven"] += len(challenge.held)

    def remove(self, challenge: Challenge) -> None:
        self.held_bytes -= sum(held.size for held in challenge.held)
        del self.challenges[challenge.seq]
        del self.by_source[challenge.sender, challenge.source]


def is_challenge(message: Any) -> bool:
    """Whether a message asks for proof of liveness alone: membership's own pings carry a claim at least."""
    return message.kind == Kind.PING and not message.claims
