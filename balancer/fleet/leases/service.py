"""The lease service of one process: its voter, its lease client and its external lease holders."""

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

MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True)
class Participants:
    """The voter, the lease client and the external lease holders of one incarnation of the process."""

    voter: Voter
    client: LeaseClient
    external_holders: ExternalLeaseHolders


class LeaseService:
    """The state machines for the leases of one process, which exist once `open` has been called.

    Args:
        config: Fleet configuration of the process.
        log: Log of the node, with a line for each lease that is acquired, released or lost.
        unlogged_prefixes: Name prefixes of leases that change holders too often to be logged.
    """

    def __init__(self, config: FleetConfig, log: Log, unlogged_prefixes: tuple[str, ...] = ()) -> None:
        self.config = config
        self.log = log
        self.unlogged_prefixes = unlogged_prefixes
        self.wire = LeaseWire()
        self.settings = LeaseSettings(lease=config.lease, max_lease=config.max_lease)
        lists = (config.voters, config.old_voters)
        self.electorates = [Electorate(voters) for voters in lists if voters]
        self.participants: Participants | None = None

    @property
    def voter(self) -> Voter | None:
        """The voter of this process; None before `open`."""
        return self.participants.voter if self.participants is not None else None

    @property
    def client(self) -> LeaseClient | None:
        """The lease client of this process; None before `open`."""
        return self.participants.client if self.participants is not None else None

    def open(self, incarnation: int, now: int, unix_clock: Callable[[], int], rng: Random) -> None:
        """Start the voter and the client of a new incarnation, and keep the external lease holders.

        `unix_clock` returns milliseconds of Unix time; `client.py` describes its use for tokens.
        """
        name = self.config.name
        floor, raise_ceiling = self.open_vote_store()
        voter = Voter(name, incarnation, self.electorates, self.settings, now, floor, raise_ceiling)
        client = LeaseClient(
            name, incarnation, self.electorates, self.settings, rng, unix_clock, self.log_event
        )
        external_holders = ExternalLeaseHolders(client, self.settings.lease, self.log)
        if self.participants is not None:
            external_holders.holders = self.participants.external_holders.holders
        self.participants = Participants(voter, client, external_holders)

    def open_vote_store(self) -> tuple[int, RaiseCeiling | None]:
        """Open the vote store if one is configured.

        Returns:
            The voter's floor, the token up to which it grants nothing, and the function that raises its
            ceiling, the highest token that it may grant without another disk write. Without a vote store,
            the floor is 0 and the function is None.
        """
        if self.config.votes is None:
            return 0, None
        name = self.config.name
        store = VoteStore(self.config.votes / f"{name}.votes", name, self.log.line)
        return store.open(), store.raise_ceiling

    def log_event(self, event: LeaseEvent) -> None:
        """Log an event of a lease, unless its name has an unlogged prefix."""
        if not event.lease.startswith(self.unlogged_prefixes):
            self.log.line(f"lease {event.kind.value} name={event.lease} token={event.token}")

    # ---- Timers and messages ----------------------------------------------------------------------------

    def deadline(self) -> int | None:
        """Return when `tick` is due, or None if nothing is due."""
        if self.participants is None:
            return None
        p = self.participants
        deadlines = (p.voter.deadline(), p.client.deadline(), p.external_holders.deadline())
        return min((d for d in deadlines if d is not None), default=None)

    def tick(self, now: int) -> list[OutgoingLeaseMessage]:
        """Do what is due for the external lease holders, the voter and the client."""
        if self.participants is None:
            return []
        p = self.participants
        return [*p.external_holders.tick(now), *p.voter.tick(now), *p.client.tick(now)]

    def received(self, now: int, message: LeaseMessage) -> list[OutgoingLeaseMessage]:
        """Handle a message to the voter or the client."""
        if self.participants is None:
            return []
        p = self.participants
        return p.voter.received(now, message) + p.client.received(now, message)

    def leave(self, now: int) -> list[OutgoingLeaseMessage]:
        """Release the leases of this process itself, before it shuts down.

        Leases of external holders are left to expire, since their scripts continue to rely on the expiry that
        their last answer stated.
        """
        if self.participants is None:
            return []
        p = self.participants
        process_leases = [lease for lease in p.client.requests if lease not in p.external_holders.holders]
        return [outgoing for lease in process_leases for outgoing in p.client.release(now, lease)]

    # ---- External lease holders -------------------------------------------------------------------------

    def acquire_external(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """Request or renew a lease for a script; `open` must have been called."""
        assert self.participants is not None
        return self.participants.external_holders.acquire(now, lease, holder_id)

    def release_external(self, now: int, lease: str, holder_id: str) -> ExternalResult:
        """Release a script's lease; `open` must have been called."""
        assert self.participants is not None
        return self.participants.external_holders.release(now, lease, holder_id)

    # ---- Status for operators ---------------------------------------------------------------------------

    def status(self, now: int) -> dict[str, Any]:
        """Return the state of the voter and the client for `GET /fleet`, with times in seconds."""
        if self.participants is None:
            return {}
        voter, client = self.participants.voter, self.participants.client
        abstains = max(0, voter.abstains_until - now) if voter.electorates else 0
        return {
            "voters": list(self.config.voters),
            "votes": bool(voter.electorates),
            "abstains_s": round(abstains / MICROSECONDS_PER_SECOND, 3),
            "granted": granted_status(voter, now),
            "wanted": requested_status(client, now),
            "held": sum(request.stage == RequestStage.HELD for request in client.requests.values()),
            "counts": dict(voter.counts + client.counts),
        }


def granted_status(voter: Voter, now: int) -> dict[str, Any]:
    """Return the unexpired grants of a voter, by the name of the lease."""
    return {
        name: {
            "holder": lease.holder.name,
            "token": lease.token,
            "left_s": round((lease.expires_at - now) / MICROSECONDS_PER_SECOND, 3),
        }
        for name, lease in sorted(voter.leases.items())
        if lease.expires_at > now
    }


def requested_status(client: LeaseClient, now: int) -> dict[str, Any]:
    """Return the leases that a client requests or holds, by name."""
    return {
        name: {
            "stage": request.stage.value,
            "token": client.held_token(now, name),
            "seen": request.highest_token,
        }
        for name, request in sorted(client.requests.items())
    }
