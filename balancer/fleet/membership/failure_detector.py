"""Failure detection by probes: direct pings, then pings through other members.

Source: as for `swim.py`. In each period one member is pinged, in shuffled rounds over all of them; if it
doesn't acknowledge, it is pinged again, and a few others are asked to ping it.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import Protocol

from balancer.fleet.membership.claims import Address
from balancer.fleet.membership.messages import Kind, Message, OutgoingMessage
from balancer.fleet.membership.timing import Timing
from balancer.fleet.membership.view import View

SEQ_BITS = 24  # of a random initial number


@dataclass
class Probe:
    """The ping of the present period."""

    target: str
    seq: int
    retry_at: int
    retries: int = 0
    acked: bool = False


@dataclass
class Relay:
    """A ping on another member's behalf.

    Attributes:
        requester: The address that the ack is passed on to.
        seq: The number of the request, which that ack repeats.
        expires_at: When the request is forgotten.
    """

    requester: Address
    seq: int
    expires_at: int


class SendMessage(Protocol):
    """Makes a message with piggybacked claims; see `Swim.send`."""

    def __call__(
        self, to: Address, kind: Kind, seq: int, target: str = "", about: str = ""
    ) -> OutgoingMessage:
        """Returns the message with its receiver."""


class FailureDetector:
    """One instance's probes of the others, and those that it performs for others.

    Args:
        view: The instance's view of the group.
        rng: The source of all random decisions.
        now: The present time.
        timing: The protocol's parameters.
        send: Makes a message with piggybacked claims.
        first_seq: Where the `seq` of pings begins; random if None.
    """

    def __init__(
        self, view: View, rng: Random, now: int, timing: Timing, send: SendMessage, first_seq: int | None
    ) -> None:
        self.view = view
        self.rng = rng
        self.timing = timing
        self.send = send
        self.round: list[str] = []  # members still to be pinged in this round, the next one last
        self.probe: Probe | None = None
        self.next_period = now + int(timing.period * rng.random())
        self.seq = rng.getrandbits(SEQ_BITS) if first_seq is None else first_seq
        self.relays: dict[int, Relay] = {}  # by the seq of this instance's ping

    def due(self) -> int:
        """Returns when the next retry or the next period is due."""
        if self.probe is not None and self.may_retry(self.probe):
            return min(self.next_period, self.probe.retry_at)
        return self.next_period

    def add_target(self, name: str) -> None:
        """Adds a new member to the present round, at a random position."""
        if self.round:
            self.round.insert(int(self.rng.random() * (len(self.round) + 1)), name)

    def end_probe(self) -> str | None:
        """Ends the present probe; returns its target if that has not acknowledged."""
        probe, self.probe = self.probe, None
        return None if probe is None or probe.acked else probe.target

    def begin_period(self, now: int) -> OutgoingMessage | None:
        """Returns the ping of a new period; None if there is no member to ping."""
        self.next_period = max(self.next_period + self.timing.period, now + self.timing.period // 2)
        self.relays = {seq: relay for seq, relay in self.relays.items() if relay.expires_at > now}
        target = self.next_target()
        if target is None:
            return None
        self.seq += 1
        self.probe = Probe(target, self.seq, now + self.timing.ack_timeout)
        to = self.view.members[target].claim.address
        return self.send(to, Kind.PING, self.seq, about=target)

    def next_target(self) -> str | None:
        """Returns the member to ping next; None if there is none.

        Members are taken in shuffled rounds, so that each is pinged within two rounds.
        """
        while True:
            if not self.round:
                self.round = self.view.living.copy()
                self.rng.shuffle(self.round)
                if not self.round:
                    return None
            name = self.round.pop()
            member = self.view.members.get(name)
            if member is not None and not member.gone:
                return name

    def may_retry(self, probe: Probe) -> bool:
        """Returns whether a probe is unacknowledged and has retries left."""
        return not probe.acked and probe.retries < self.timing.retries

    def retry_if_due(self, now: int) -> list[OutgoingMessage]:
        """Repeats the present probe's ping if its ack is overdue."""
        probe = self.probe
        if probe is not None and self.may_retry(probe) and now >= probe.retry_at:
            return self.retry(now, probe)
        return []

    def retry(self, now: int, probe: Probe) -> list[OutgoingMessage]:
        """Pings the target of an unacknowledged probe again, and the first time has others ping it too.

        Failure prevented: where three datagrams in ten are lost, one probe in five fails, and the claims and
        refutations that follow displace each other.
        """
        probe.retries += 1
        probe.retry_at = now + self.timing.ack_timeout
        member = self.view.members.get(probe.target)
        if member is None or member.gone:
            return []
        ping = self.send(member.claim.address, Kind.PING, probe.seq, about=probe.target)
        return [ping] if probe.retries > 1 else [ping, *self.ping_indirectly(probe)]

    def ping_indirectly(self, probe: Probe) -> list[OutgoingMessage]:
        """Asks some random members to ping the probe's target."""
        living = self.view.living
        drawn = self.rng.sample(living, min(self.timing.indirect_probes + 1, len(living)))
        chosen = [name for name in drawn if name != probe.target][: self.timing.indirect_probes]
        return [
            self.send(self.view.members[n].claim.address, Kind.PING_REQ, probe.seq, probe.target)
            for n in chosen
        ]

    def relay(self, now: int, source: Address, message: Message) -> list[OutgoingMessage]:
        """Pings a member on another member's behalf."""
        target = self.view.members.get(message.target)
        if target is None:
            return []
        self.seq += 1
        self.relays[self.seq] = Relay(source, message.seq, now + self.timing.period)
        return [self.send(target.claim.address, Kind.PING, self.seq, about=message.target)]

    def receive_ack(self, message: Message) -> list[OutgoingMessage]:
        """Completes this instance's probe, or passes on the ack of a relayed ping."""
        probe = self.probe
        if probe is not None and message.seq == probe.seq:
            # Failure prevented: a relayed ack bears the relay's name, and another member's ack must not count
            # as the target's: this seq is unique, and a relay only passes on what the target has acked.
            probe.acked = True
            return []
        relay = self.relays.pop(message.seq, None)
        return [self.send(relay.requester, Kind.ACK, relay.seq)] if relay is not None else []
