"""The leases of one process: its vote, its requests, and its external lease holders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from balancer.fleet.config import FleetConfig
from balancer.fleet.leases.ceiling import RaiseCeiling
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.events import LeaseEvent
from balancer.fleet.leases.external import ExternalLeaseHolders, ExternalResult
from balancer.fleet.leases.messages import LeaseMessage, LeaseWire, OutgoingLeaseMessage
from balancer.fleet.leases.request import RequestStage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.vote_store import VoteStore
from balancer.fleet.leases.voter import Voter
from balancer.net.process.log import Log

MICROSECONDS = 1e6  # in a second


@dataclass(frozen=True)
class Participants:
    """What exists from `open` on; each incarnation has others."""

    voter: Voter
    client: LeaseClient
    external: ExternalLeaseHolders


class LeaseService:
    """Joins the state machines of leases for one process; they exist from `open` on.

    Args:
        config: The process's place in the fleet.
        log: Hears of leases that are held, released or lost.
        quiet_prefixes: Of names of leases that change hands too often for the log.
    """

    def __init__(self, config: FleetConfig, log: Log, quiet_prefixes: tuple[str, ...] = ()) -> None:
        self.config = config
        self.log = log
        self.quiet_prefixes = quiet_prefixes
        self.wire = LeaseWire()
        self.settings = LeaseSettings(lease=config.lease, max_lease=config.max_lease)
        lists = (config.voters, config.old_voters)
        self.electorates = [Electorate(voters) for voters in lists if voters]
        self.participants: Participants | None = None

    @property
    def voter(self) -> Voter | None:
        """This process's vote; None before `open`."""
        return self.participants.voter if self.participants is not None else None

    @property
    def client(self) -> LeaseClient | None:
        """This process's requests; None before `open`."""
        return self.participants.client if self.participants is not None else None

    def open(self, incarnation: int, now: int, unix_clock: Callable[[], int], rng: Random) -> None:
        """Begins a new incarnation. `unix_clock`: milliseconds of Unix time, see `client.py`."""
        name = self.config.name
        floor, raise_ceiling = self.open_vote_store()
        voter = Voter(name, incarnation, self.electorates, self.settings, now, floor, raise_ceiling)
        client = LeaseClient(
            name, incarnation, self.electorates, self.settings, rng, unix_clock, self.log_event
        )
        external = ExternalLeaseHolders(client, self.settings.lease, self.log)
        if self.participants is not None:
            external.holders = self.participants.external.holders
        self.participants = Participants(voter, client, external)

    def open_vote_store(self) -> tuple[int, RaiseCeiling | None]:
        """The floor that the last incarnation left, and how to raise the ceiling, where votes are kept."""
        if self.config.votes is None:
            return 0, None
        name = self.config.name
        store = VoteStore(self.config.votes / f"{name}.votes", name, self.log.line)
        return store.open(), store.raise_ceiling

    def log_event(self, event: LeaseEvent) -> None:
        """Logs what happened to a lease, unless it changes hands too often."""
        if not event.lease.startswith(self.quiet_prefixes):
            self.log.line(f"lease {event.kind.value} name={event.lease} token={event.token}")

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self) -> int | None:
        """When `tick` is due, or None if nothing is."""
        if self.participants is None:
            return None
        p = self.participants
        deadlines = (p.voter.deadline(), p.client.deadline(), p.external.deadline())
        return min((d for d in deadlines if d is not None), default=None)

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Does what is due."""
        if self.participants is None:
            return []
        p = self.participants
        return [*p.external.tick(now), *p.voter.tick(now), *p.client.tick(now)]

    def received(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handles a message to the voter or to the client."""
        if self.participants is None:
            return []
        p = self.participants
        return p.voter.received(now, message) + p.client.received(now, message)

    def leave(self, now: int) -> list[OutgoingLeaseMessage]:
        """Releases what this process holds itself, before a planned end.

        What an external holder has is left to expire, since it runs on until the time in its last answer.
        """
        if self.participants is None:
            return []
        p = self.participants
        own = [lease for lease in p.client.requests if lease not in p.external.holders]
        return [outgoing for lease in own for outgoing in p.client.release(now, lease)]

    # ---- for external lease holders ---------------------------------------------------------------------

    def acquire_external(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """A script requests a lease, or needs it still."""
        assert self.participants is not None
        return self.participants.external.acquire(now, lease, holder_id)

    def release_external(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """A script does not need its lease any more."""
        assert self.participants is not None
        return self.participants.external.release(now, lease, holder_id)

    # ---- what operators see -----------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """What this process votes for, and what it requests and holds; times in seconds."""
        if self.participants is None:
            return {}
        voter, client = self.participants.voter, self.participants.client
        abstains = max(0, voter.abstains_until - now) if voter.electorates else 0
        return {
            "voters": list(self.config.voters),
            "votes": bool(voter.electorates),
            "abstains_s": round(abstains / MICROSECONDS, 3),
            "granted": granted_status(voter, now),
            "wanted": requested_status(client, now),
            "held": sum(request.stage == RequestStage.HELD for request in client.requests.values()),
            "counts": dict(voter.counts + client.counts),
        }


def granted_status(voter: Voter, now: int) -> dict[str, Any]:
    """The leases that a voter has granted and that last still, by name."""
    return {
        name: {
            "holder": lease.holder.name,
            "token": lease.token,
            "left_s": round((lease.expires_at - now) / MICROSECONDS, 3),
        }
        for name, lease in sorted(voter.leases.items())
        if lease.expires_at > now
    }


def requested_status(client: LeaseClient, now: int) -> dict[str, Any]:
    """The leases that a client requests or holds, by name."""
    return {
        name: {
            "stage": request.stage.value,
            "token": client.held_token(now, name),
            "seen": request.highest_token,
        }
        for name, request in sorted(client.requests.items())
    }
