"""Protection against replayed datagrams, without a clock that machines share.

Each sender stamps its datagrams with a clock of its own that runs at the pace of real time. A receiver keeps,
for each sender, the newest stamp and its time of arrival; it accepts a stamp that is close to the value
expected from these and that it has not seen before (`stamp_window.py`). An unknown sender, or one whose
stamps are far from the expected value or too low (a restarted process), is challenged to prove that it is
live: with a PING without claims, whose unpredictable `seq` it echoes in an ACK, as every version does. Until
then its datagrams are buffered; those that are old by their sender's own clock are never accepted.

A state machine without sockets, clocks or random numbers of its own. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message
from balancer.fleet.membership.stamp_window import (
    MAX_TRANSIT_US,
    StampWindow,
    Verdict,
)

MAX_SENDERS = 4096  # whose stamps are kept; beyond that, the sender registered first is evicted
MAX_CHALLENGES = 256  # unanswered; beyond that, the oldest is dropped
MAX_BUFFERED_PER_CHALLENGE = 4  # datagrams
MAX_BUFFERED_BYTES = 128 * 1024  # of all challenges together; decoded messages take several times as much
CHALLENGE_RETRY_US = 300_000  # until an unanswered challenge is repeated
PROOF_TIMEOUT_US = 5_000_000  # between a ping and an ACK that counts as proof
MAX_PINGS = 1024  # of membership whose ACKs count as proof too


class SenderStamps:
    """The stamp windows of all senders, bounded in number."""

    def __init__(self) -> None:
        self.windows: dict[str, StampWindow] = {}

    def judge(self, sender: str, stamp: int, now: int) -> Verdict:
        """Judges a stamp; any stamp of a sender without a window is distant."""
        window = self.windows.get(sender)
        return Verdict.DISTANT if window is None else window.judge(stamp, now)

    def may_have_accepted(self, sender: str, stamp: int) -> bool:
        """Returns whether a stamp of a sender was accepted before, as far as can be known."""
        window = self.windows.get(sender)
        return window is not None and window.may_have_accepted(stamp)

    def record(self, sender: str, stamp: int, now: int) -> None:
        """Records that a datagram of a sender with a window was accepted."""
        self.windows[sender].record(stamp, now)

    def begin(self, sender: str, stamp: int, now: int, max_age: int) -> None:
        """Begins a sender's window: it is live and this is its present stamp.

        Args:
            sender: The sender's name.
            stamp: Its present stamp.
            now: The receiver's time.
            max_age: Datagrams that are older than this now will not be accepted.
        """
        previous = self.windows.pop(sender, None)
        # Failure prevented: whoever has the key invents names until the memory is full.
        while len(self.windows) >= MAX_SENDERS:
            del self.windows[next(iter(self.windows))]
        window = self.windows[sender] = StampWindow(stamp, now, stamp - max_age)
        if previous is not None:
            window.inherit(previous, now)
        window.record(stamp, now)

    def forget(self, sender: str) -> None:
        """Removes a sender's window, so that it has to prove again that it is live."""
        self.windows.pop(sender, None)

    def clear(self) -> None:
        """Removes all windows."""
        self.windows.clear()


@dataclass(frozen=True)
class Received:
    """An authentic datagram.

    Attributes:
        source: The address it came from.
        stamp: Its sender's stamp.
        message: Its message.
        size: Its length in bytes.
    """

    source: Address
    stamp: int
    message: Any
    size: int


@dataclass
class Challenge:
    """A PING that the sender of the buffered datagrams has to answer."""

    sender: str
    source: Address
    seq: int
    sent_at: int
    retry_at: int
    buffered: list[Received] = field(default_factory=list)


@dataclass(frozen=True)
class Admission:
    """The result of a datagram: those that may be processed now, and a reply to its source."""

    accepted: tuple[Received, ...] = ()
    reply: Message | None = None


REJECTED = Admission()


class ReplayGuard:
    """Decides which of the authentic datagrams that a process receives may be processed.

    Args:
        name: This process's name, in its own messages.
        first_seq: Where the `seq` of its challenges begins. It must be unpredictable and far from the numbers
            that earlier processes of this name have used.
        dropped: Counter of the rejected datagrams, by reason.
    """

    def __init__(self, name: str, first_seq: int, dropped: Counter[str]) -> None:
        self.name = name
        self.seq = first_seq
        self.dropped = dropped
        self.senders = SenderStamps()
        self.challenges: dict[int, Challenge] = {}  # by seq, the oldest first
        self.challenges_by_source: dict[tuple[str, Address], Challenge] = {}
        self.buffered_bytes = 0
        self.pings: dict[int, int] = {}  # when each of membership's was sent, by seq

    def ping_sent(self, now: int, seq: int) -> None:
        """Registers a ping of membership: an ACK with its unpredictable `seq` counts as proof as well."""
        self.pings.pop(seq, None)
        while len(self.pings) >= MAX_PINGS:
            del self.pings[next(iter(self.pings))]
        self.pings[seq] = now

    def forget(self, sender: str) -> None:
        """Forgets a member that is gone for good; if it returns, it has to prove itself again."""
        self.senders.forget(sender)

    def admit(self, now: int, received: Received) -> Admission:
        """Decides on a datagram that arrives now."""
        message = received.message
        if message.sender == self.name:
            return self.reject("replay")
        verdict = self.senders.judge(message.sender, received.stamp, now)
        if verdict == Verdict.REPLAY and self.senders.may_have_accepted(message.sender, received.stamp):
            return self.reject("replay")
        if is_challenge(message):
            return self.echo(now, received, verdict)
        challenge = self.challenges.get(message.seq) if message.kind == Kind.ACK else None
        if challenge is not None and challenge.sender == message.sender:
            return self.prove(now, received, challenge, verdict)
        if verdict == Verdict.FRESH:
            self.senders.record(message.sender, received.stamp, now)
            return Admission((received,))
        pinged_at = self.pings.get(message.seq) if message.kind == Kind.ACK else None
        if pinged_at is not None and now - pinged_at <= PROOF_TIMEOUT_US:
            self.begin(now, received, pinged_at)
            return Admission((received,))
        return self.challenge(now, received)

    def reject(self, reason: str) -> Admission:
        """Counts a datagram as rejected."""
        self.dropped[reason] += 1
        return REJECTED

    def echo(self, now: int, received: Received, verdict: Verdict) -> Admission:
        """Echoes another process's challenge, whoever sent it: the reply reveals and changes nothing."""
        if verdict == Verdict.FRESH:
            self.senders.record(received.message.sender, received.stamp, now)
        return Admission(reply=Message(Kind.ACK, self.name, received.message.seq))

    def begin(self, now: int, received: Received, pinged_at: int) -> None:
        """Begins the window of a sender that has echoed a ping sent at `pinged_at`."""
        max_age = now - pinged_at + MAX_TRANSIT_US
        self.senders.begin(received.message.sender, received.stamp, now, max_age)

    def prove(self, now: int, received: Received, challenge: Challenge, verdict: Verdict) -> Admission:
        """Handles the answer to a challenge: accepts the buffered datagrams that were recent on arrival.

        The answer itself is not processed further: that of an earlier version contains claims about its own
        group, which need not be this process's.
        """
        self.remove(challenge)
        if verdict == Verdict.FRESH:  # it has a window, and the buffered datagrams lie outside of it
            self.senders.record(received.message.sender, received.stamp, now)
        elif now - challenge.sent_at > PROOF_TIMEOUT_US:
            self.dropped["unproven"] += 1 + len(challenge.buffered)
            return REJECTED
        else:
            self.begin(now, received, challenge.sent_at)
        return Admission(tuple(b for b in challenge.buffered if self.accept_buffered(now, b)))

    def accept_buffered(self, now: int, buffered: Received) -> bool:
        """Accepts or rejects a datagram that was buffered; returns whether it is accepted."""
        sender = buffered.message.sender
        if self.senders.judge(sender, buffered.stamp, now) != Verdict.FRESH:
            self.dropped["replay"] += 1
            return False
        self.senders.record(sender, buffered.stamp, now)
        return True

    def challenge(self, now: int, received: Received) -> Admission:
        """Buffers a datagram and challenges its sender at the address it came from."""
        sender, source = received.message.sender, received.source
        challenge = self.challenges_by_source.get((sender, source))
        if challenge is not None and now - challenge.sent_at > PROOF_TIMEOUT_US:
            self.drop(challenge)
            challenge = None
        if challenge is None:
            challenge = self.begin_challenge(now, sender, source)
        self.buffer(challenge, received)
        if now < challenge.retry_at:
            return REJECTED
        challenge.retry_at = now + CHALLENGE_RETRY_US
        return Admission(reply=Message(Kind.PING, self.name, challenge.seq))

    def begin_challenge(self, now: int, sender: str, source: Address) -> Challenge:
        """Registers a new challenge, dropping the oldest ones beyond the limit."""
        while len(self.challenges) >= MAX_CHALLENGES:
            self.drop(next(iter(self.challenges.values())))
        self.seq += 1
        challenge = Challenge(sender, source, self.seq, sent_at=now, retry_at=now)
        self.challenges[challenge.seq] = self.challenges_by_source[sender, source] = challenge
        return challenge

    def buffer(self, challenge: Challenge, received: Received) -> None:
        """Buffers a datagram until the challenge is answered, dropping the oldest beyond the limit."""
        if len(challenge.buffered) >= MAX_BUFFERED_PER_CHALLENGE:
            self.buffered_bytes -= challenge.buffered.pop(0).size
            self.dropped["unproven"] += 1
        if self.buffered_bytes + received.size > MAX_BUFFERED_BYTES:
            self.dropped["unproven"] += 1
            return
        challenge.buffered.append(received)
        self.buffered_bytes += received.size

    def drop(self, challenge: Challenge) -> None:
        """Drops an unanswered challenge and the datagrams that it buffers."""
        self.remove(challenge)
        self.dropped["unproven"] += len(challenge.buffered)

    def remove(self, challenge: Challenge) -> None:
        """Removes a challenge from all indexes."""
        self.buffered_bytes -= sum(buffered.size for buffered in challenge.buffered)
        del self.challenges[challenge.seq]
        del self.challenges_by_source[challenge.sender, challenge.source]


def is_challenge(message: Any) -> bool:
    """Returns whether a message only asks for proof of liveness: membership's own pings contain claims."""
    return message.kind == Kind.PING and not message.claims
