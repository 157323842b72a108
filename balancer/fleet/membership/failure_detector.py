"""Failure detection by probes: direct pings, then pings through other members.

The algorithm is that of SWIM; `swim.py` gives the source. In each period one member is pinged, in shuffled
rounds over all members. If it doesn't acknowledge the ping, it is pinged again, and a few other members are
asked to ping it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Protocol

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message, OutgoingMessage
from balancer.fleet.membership.timing import Timing
from balancer.fleet.membership.view import View

INITIAL_SEQ_BITS = 24


@dataclass
class Probe:
    """The probe of the current period: the name of its target, and the state of its pings."""

    target: str
    seq: int
    retry_at: int
    retries: int = 0
    acked: bool = False


@dataclass
class RelayedPing:
    """A ping sent on behalf of another member.

    Attributes:
        requester: The address to which the ack is forwarded.
        seq: Sequence number of the request, which the forwarded ack repeats.
        expires_at: Time at which the request is discarded.
    """

    requester: Address
    seq: int
    expires_at: int


class ComposeMessage(Protocol):
    """A function that returns a message with piggybacked claims; see `Swim.compose`."""

    def __call__(
        self, to: Address, kind: Kind, seq: int, target: str = "", about: str = ""
    ) -> OutgoingMessage:
        """Return the message with its receiver's address."""


class FailureDetector:
    """One instance's probes of the other members, and the pings that it relays for them.

    Methods return the messages to send. Times are integer microseconds.

    Args:
        view: The instance's view of the group.
        rng: Random number generator for all random decisions.
        now: The current time.
        timing: The protocol's parameters.
        compose: Function that returns a message with piggybacked claims.
        first_seq: Initial sequence number of pings; random if None.
    """

    def __init__(
        self,
        view: View,
        rng: Random,
        now: int,
        timing: Timing,
        compose: ComposeMessage,
        first_seq: int | None,
    ) -> None:
        self.view = view
        self.rng = rng
        self.timing = timing
        self.compose = compose
        # The members still to be pinged in the current round; the last in the list is pinged next.
        self.remaining_targets: list[str] = []
        self.probe: Probe | None = None
        self.next_period_at = now + int(timing.period * rng.random())
        self.seq = rng.getrandbits(INITIAL_SEQ_BITS) if first_seq is None else first_seq
        # The relayed pings, by the sequence number that this instance has given its own ping of the target.
        self.relays: dict[int, RelayedPing] = {}

    def due(self) -> int:
        """Return when the next ping is due: that of a retry or, if none is pending, of the next period."""
        if self.probe is not None and self.may_retry(self.probe):
            return min(self.next_period_at, self.probe.retry_at)
        return self.next_period_at

    def add_target(self, name: str) -> None:
        """Insert a new member into the current round at a random position."""
        if self.remaining_targets:
            self.remaining_targets.insert(int(self.rng.random() * (len(self.remaining_targets) + 1)), name)

    def end_probe(self) -> str | None:
        """End the current probe and return its target; None if there is no probe or it was acknowledged."""
        probe, self.probe = self.probe, None
        return None if probe is None or probe.acked else probe.target

    def begin_period(self, now: int) -> OutgoingMessage | None:
        """Begin a new period and return its ping; None if there is no member to ping."""
        self.next_period_at = max(self.next_period_at + self.timing.period, now + self.timing.period // 2)
        self.relays = {seq: relay for seq, relay in self.relays.items() if relay.expires_at > now}
        target = self.next_target()
        if target is None:
            return None
        self.seq += 1
        self.probe = Probe(target, self.seq, now + self.timing.ack_timeout)
        to = self.view.members[target].claim.address
        return self.compose(to, Kind.PING, self.seq, about=target)

    def next_target(self) -> str | None:
        """Remove and return the next member of the round; None if there is no living member.

        A finished round is followed by a newly shuffled one, so that each member is pinged within two rounds.
        """
        while True:
            if not self.remaining_targets:
                self.remaining_targets = self.view.living_names.copy()
                self.rng.shuffle(self.remaining_targets)
                if not self.remaining_targets:
                    return None
            name = self.remaining_targets.pop()
            member = self.view.members.get(name)
            if member is not None and not member.is_dead_or_left:
                return name

    def may_retry(self, probe: Probe) -> bool:
        """Return whether a probe is unacknowledged and has retries left."""
        return not probe.acked and probe.retries < self.timing.retries

    def retry_if_due(self, now: int) -> list[OutgoingMessage]:
        """Repeat the ping of the current probe if its ack is overdue."""
        probe = self.probe
        if probe is not None and self.may_retry(probe) and now >= probe.retry_at:
            return self.retry(now, probe)
        return []

    def retry(self, now: int, probe: Probe) -> list[OutgoingMessage]:
        """Ping the target of an unacknowledged probe again; the first time, ask other members to ping it too.

        Without repeated pings one probe in five fails where 30% of the datagrams are lost, and the resulting
        suspicions and refutations displace each other among the piggybacked updates.
        """
        probe.retries += 1
        probe.retry_at = now + self.timing.ack_timeout
        member = self.view.members.get(probe.target)
        if member is None or member.is_dead_or_left:
            return []
        ping = self.compose(member.claim.address, Kind.PING, probe.seq, about=probe.target)
        return [ping] if probe.retries > 1 else [ping, *self.ping_indirectly(probe)]

    def ping_indirectly(self, probe: Probe) -> list[OutgoingMessage]:
        """Ask a few random members to ping the target of a probe."""
        living_names = self.view.living_names
        candidates = self.rng.sample(living_names, min(self.timing.indirect_probes + 1, len(living_names)))
        relays = [name for name in candidates if name != probe.target][: self.timing.indirect_probes]
        return [
            self.compose(self.view.members[n].claim.address, Kind.PING_REQ, probe.seq, probe.target)
            for n in relays
        ]

    def relay(self, now: int, source: Address, message: Message) -> list[OutgoingMessage]:
        """Ping the target of a PING_REQ on behalf of its sender."""
        target = self.view.members.get(message.target)
        if target is None:
            return []
        self.seq += 1
        self.relays[self.seq] = RelayedPing(source, message.seq, now + self.timing.period)
        return [self.compose(target.claim.address, Kind.PING, self.seq, about=message.target)]

    def receive_ack(self, message: Message) -> list[OutgoingMessage]:
        """Complete this instance's probe, or forward the ack of a relayed ping."""
        probe = self.probe
        if probe is not None and message.seq == probe.seq:
            # The sender's name can't be checked, since a relayed ack has the relay's name. The sequence
            # number is sufficient: it is unique, and a relay forwards only acks that it got from the target.
            probe.acked = True
            return []
        relay = self.relays.pop(message.seq, None)
        return [self.compose(relay.requester, Kind.ACK, relay.seq)] if relay is not None else []
