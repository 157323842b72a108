"""Protection against replayed datagrams, without synchronised clocks.

Each sender stamps its datagrams by a local clock that advances at the rate of real time. A receiver keeps,
for each sender, the newest stamp and its time of arrival; it accepts a stamp that is close to the value
expected from the newest one and the time since, and that it has not accepted before (`stamp_window.py`). An
unknown sender, or one whose stamps are far from the expected value or too low (a restarted process), is
challenged to prove that it is live: it gets a PING without claims, whose unpredictable `seq` it echoes in an
ACK, as every version does. Until then its datagrams are buffered; those that are old by their sender's clock
are never accepted.

The guard is a state machine without sockets, clocks or random numbers. Times are microseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message
from balancer.fleet.membership.stamp_window import (
    MAX_TRANSIT_US,
    StampStatus,
    StampWindow,
)

# Number of senders whose stamp windows, the records of their accepted stamps, are kept; above this number,
# the window that began first is evicted.
MAX_SENDERS = 4096
# Number of unanswered challenges, the pings by which senders prove that they are live; above this number, the
# oldest challenge is dropped.
MAX_CHALLENGES = 256
MAX_BUFFERED_DATAGRAMS_PER_CHALLENGE = 4
# Maximum encoded size of the datagrams buffered for all challenges together; decoded messages take several
# times as much memory.
MAX_BUFFERED_BYTES = 128 * 1024
CHALLENGE_RETRY_INTERVAL_US = 300_000
# Maximum time between a ping and an ACK that counts as proof of liveness.
PROOF_TIMEOUT_US = 5_000_000
# Number of remembered pings of the membership protocol, whose ACKs count as proof of liveness too; above this
# number, the oldest ping is forgotten.
MAX_PINGS = 1024


class SenderStamps:
    """The stamp windows of all senders, bounded in number."""

    def __init__(self) -> None:
        self.windows: dict[str, StampWindow] = {}

    def classify(self, sender: str, stamp: int, now: int) -> StampStatus:
        """Classify a stamp; every stamp of a sender without a window is out of range."""
        window = self.windows.get(sender)
        return StampStatus.OUT_OF_RANGE if window is None else window.classify(stamp, now)

    def may_have_accepted(self, sender: str, stamp: int) -> bool:
        """Return whether a stamp of a sender was accepted before, or may have been and is not remembered."""
        window = self.windows.get(sender)
        return window is not None and window.may_have_accepted(stamp)

    def record(self, sender: str, stamp: int, now: int) -> None:
        """Record that a datagram of a sender with a window was accepted."""
        self.windows[sender].record(stamp, now)

    def begin(self, sender: str, stamp: int, now: int, max_age: int) -> None:
        """Begin a window for a sender that is live and whose current stamp is known.

        Args:
            sender: The sender's name.
            stamp: The sender's current stamp.
            now: The receiver's time.
            max_age: Age up to which datagrams sent before now are accepted.
        """
        previous = self.windows.pop(sender, None)
        # Without a maximum number of windows, a process with the shared key could exhaust the memory by
        # inventing sender names.
        while len(self.windows) >= MAX_SENDERS:
            del self.windows[next(iter(self.windows))]
        window = self.windows[sender] = StampWindow(stamp, now, stamp - max_age)
        if previous is not None:
            window.inherit(previous, now)
        window.record(stamp, now)

    def forget(self, sender: str) -> None:
        """Remove the window of a sender, which then has to prove again that it is live."""
        self.windows.pop(sender, None)

    def clear(self) -> None:
        """Remove all windows."""
        self.windows.clear()


@dataclass(frozen=True)
class ReceivedDatagram:
    """An authentic datagram.

    Attributes:
        source: The address that it was received from.
        stamp: The sender's stamp in microseconds.
        message: The decoded message.
        size: The length of the datagram in bytes.
    """

    source: Address
    stamp: int
    message: Any
    size: int


@dataclass
class Challenge:
    """A PING that a sender has to answer before its buffered datagrams are accepted."""

    sender: str
    source: Address
    seq: int
    sent_at: int
    retry_at: int
    buffered: list[ReceivedDatagram] = field(default_factory=list)


@dataclass(frozen=True)
class Admission:
    """The result of admitting a datagram: the datagrams to process now, and a reply to its source."""

    accepted: tuple[ReceivedDatagram, ...] = ()
    reply: Message | None = None


REJECTED = Admission()


class ReplayGuard:
    """A filter that decides which of the authentic datagrams received by a process are processed.

    Args:
        name: The name of this process, which it sends in its messages.
        first_seq: Initial sequence number of challenges. It must be unpredictable and far from the numbers
            that earlier processes of this name have used.
        dropped: Counter of the rejected datagrams by reason, which the guard updates.
    """

    def __init__(self, name: str, first_seq: int, dropped: Counter[str]) -> None:
        self.name = name
        self.seq = first_seq
        self.dropped = dropped
        self.senders = SenderStamps()
        # The unanswered challenges by sequence number, the oldest first.
        self.challenges: dict[int, Challenge] = {}
        self.challenges_by_source: dict[tuple[str, Address], Challenge] = {}
        self.buffered_bytes = 0
        # The times at which the membership protocol sent its pings, by sequence number.
        self.ping_times: dict[int, int] = {}

    def record_ping(self, now: int, seq: int) -> None:
        """Register a ping of the membership protocol: an ACK with its `seq` is proof of liveness as well."""
        self.ping_times.pop(seq, None)
        while len(self.ping_times) >= MAX_PINGS:
            del self.ping_times[next(iter(self.ping_times))]
        self.ping_times[seq] = now

    def forget(self, sender: str) -> None:
        """Forget a member that has been removed; if it returns, it has to prove again that it is live."""
        self.senders.forget(sender)

    def admit(self, now: int, received: ReceivedDatagram) -> Admission:
        """Accept, reject or buffer a datagram that arrives now, or answer a challenge."""
        message = received.message
        if message.sender == self.name:
            return self.reject("replay")
        stamp_status = self.senders.classify(message.sender, received.stamp, now)
        if stamp_status == StampStatus.REPLAY and self.senders.may_have_accepted(
            message.sender, received.stamp
        ):
            return self.reject("replay")
        if is_challenge(message):
            return self.echo_challenge(now, received, stamp_status)
        challenge = self.challenges.get(message.seq) if message.kind == Kind.ACK else None
        if challenge is not None and challenge.sender == message.sender:
            return self.receive_proof(now, received, challenge, stamp_status)
        if stamp_status == StampStatus.FRESH:
            self.senders.record(message.sender, received.stamp, now)
            return Admission((received,))
        pinged_at = self.ping_times.get(message.seq) if message.kind == Kind.ACK else None
        if pinged_at is not None and now - pinged_at <= PROOF_TIMEOUT_US:
            self.begin_window(now, received, pinged_at)
            return Admission((received,))
        return self.challenge_sender(now, received)

    def reject(self, reason: str) -> Admission:
        """Count a datagram as rejected."""
        self.dropped[reason] += 1
        return REJECTED

    def echo_challenge(self, now: int, received: ReceivedDatagram, stamp_status: StampStatus) -> Admission:
        """Answer a challenge from any sender: the reply reveals nothing, and no view changes."""
        if stamp_status == StampStatus.FRESH:
            self.senders.record(received.message.sender, received.stamp, now)
        return Admission(reply=Message(Kind.ACK, self.name, received.message.seq))

    def begin_window(self, now: int, received: ReceivedDatagram, pinged_at: int) -> None:
        """Begin the window of a sender that has echoed a ping sent at `pinged_at`."""
        max_age = now - pinged_at + MAX_TRANSIT_US
        self.senders.begin(received.message.sender, received.stamp, now, max_age)

    def receive_proof(
        self, now: int, received: ReceivedDatagram, challenge: Challenge, stamp_status: StampStatus
    ) -> Admission:
        """Handle the answer to a challenge, and accept the buffered datagrams that were recent on arrival.

        The answer itself is not processed further: that of an earlier version contains claims about the
        sender's group, which may be another group than that of this process.
        """
        self.remove_challenge(challenge)
        # A fresh stamp means that the sender has a window already, so no new one is begun. Buffered
        # datagrams that are outside of that window are rejected.
        if stamp_status == StampStatus.FRESH:
            self.senders.record(received.message.sender, received.stamp, now)
        elif now - challenge.sent_at > PROOF_TIMEOUT_US:
            self.dropped["unproven"] += 1 + len(challenge.buffered)
            return REJECTED
        else:
            self.begin_window(now, received, challenge.sent_at)
        return Admission(tuple(b for b in challenge.buffered if self.accept_buffered(now, b)))

    def accept_buffered(self, now: int, buffered: ReceivedDatagram) -> bool:
        """Record a buffered datagram as accepted or as a replay; return whether it is accepted."""
        sender = buffered.message.sender
        if self.senders.classify(sender, buffered.stamp, now) != StampStatus.FRESH:
            self.dropped["replay"] += 1
            return False
        self.senders.record(sender, buffered.stamp, now)
        return True

    def challenge_sender(self, now: int, received: ReceivedDatagram) -> Admission:
        """Buffer a datagram, and challenge its sender at the address that the datagram came from."""
        sender, source = received.message.sender, received.source
        challenge = self.challenges_by_source.get((sender, source))
        if challenge is not None and now - challenge.sent_at > PROOF_TIMEOUT_US:
            self.drop_challenge(challenge)
            challenge = None
        if challenge is None:
            challenge = self.begin_challenge(now, sender, source)
        self.buffer_datagram(challenge, received)
        if now < challenge.retry_at:
            return REJECTED
        challenge.retry_at = now + CHALLENGE_RETRY_INTERVAL_US
        return Admission(reply=Message(Kind.PING, self.name, challenge.seq))

    def begin_challenge(self, now: int, sender: str, source: Address) -> Challenge:
        """Register a new challenge, and drop the oldest ones above `MAX_CHALLENGES`."""
        while len(self.challenges) >= MAX_CHALLENGES:
            self.drop_challenge(next(iter(self.challenges.values())))
        self.seq += 1
        challenge = Challenge(sender, source, self.seq, sent_at=now, retry_at=now)
        self.challenges[challenge.seq] = self.challenges_by_source[sender, source] = challenge
        return challenge

    def buffer_datagram(self, challenge: Challenge, received: ReceivedDatagram) -> None:
        """Buffer a datagram until the challenge is answered.

        If `MAX_BUFFERED_DATAGRAMS_PER_CHALLENGE` are buffered for the challenge already, the oldest of them
        is dropped. If the buffered datagrams of all challenges would exceed `MAX_BUFFERED_BYTES`, the new
        datagram is dropped.
        """
        if len(challenge.buffered) >= MAX_BUFFERED_DATAGRAMS_PER_CHALLENGE:
            self.buffered_bytes -= challenge.buffered.pop(0).size
            self.dropped["unproven"] += 1
        if self.buffered_bytes + received.size > MAX_BUFFERED_BYTES:
            self.dropped["unproven"] += 1
            return
        challenge.buffered.append(received)
        self.buffered_bytes += received.size

    def drop_challenge(self, challenge: Challenge) -> None:
        """Drop an unanswered challenge and its buffered datagrams, and count them as unproven."""
        self.remove_challenge(challenge)
        self.dropped["unproven"] += len(challenge.buffered)

    def remove_challenge(self, challenge: Challenge) -> None:
        """Remove a challenge from all indexes and its datagrams from `buffered_bytes`."""
        self.buffered_bytes -= sum(buffered.size for buffered in challenge.buffered)
        del self.challenges[challenge.seq]
        del self.challenges_by_source[challenge.sender, challenge.source]


def is_challenge(message: Any) -> bool:
    """Return whether a message is a challenge, which is a PING without claims, unlike membership pings."""
    return message.kind == Kind.PING and not message.claims
