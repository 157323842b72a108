"""Rolling updates as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.component import LeaseComponent
from balancer.fleet.leases.names import ROLLING_UPDATE_LEASE
from balancer.fleet.membership.codec import PayloadCodec
from balancer.fleet.membership.swim import Address
from balancer.fleet.rolling_update.decisions import MAX_UNAVAILABLE, RollingUpdate
from balancer.fleet.rolling_update.messages import RollingUpdateMessage, RollingUpdateWire, UpdateState
from balancer.net.process.lifecycle import Stage

STATE_OF_COMMAND = {
    "pause": UpdateState.PAUSED,
    "resume": UpdateState.RUNS,
    "stop": UpdateState.STOPPED,
}


class RollingUpdateComponent(Component):
    """Acquires the lease of a running update, leads the update while holding it, and ends this process."""

    def __init__(self, runtime: Runtime, leases: LeaseComponent) -> None:
        self.runtime = runtime
        self.leases = leases
        self.rolling_update: RollingUpdate | None = None
        self.shutdown_started = False

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        """The encoder and decoder of rolling update messages."""
        return (RollingUpdateWire(),)

    def open(self) -> None:
        """Create the state machine for this process's current incarnation, without an update plan."""
        runtime = self.runtime
        name, zone, incarnation = (
            runtime.config.name,
            runtime.config.zone,
            runtime.membership.local_claim.incarnation,
        )
        self.rolling_update = RollingUpdate(name, zone, incarnation, self, runtime.now())

    # ---- Interface for the state machine ----------------------------------------------------------------

    def alive(self) -> list[str]:
        """Return the names of the other members that are alive."""
        return self.runtime.alive()

    def departed(self) -> list[str]:
        """Return the names of the members that have left or died recently."""
        return self.runtime.departed()

    def serving(self) -> bool:
        """Return whether this process accepts clients and, if it is a voter, does not abstain.

        A restarted voter abstains at first. If it counted as serving, voters could be replaced faster than
        they vote again, and no majority would be left.
        """
        return self.runtime.lifecycle.is_serving and not self.leases.abstains(self.runtime.now())

    @property
    def lease_client(self) -> LeaseClient | None:
        """The client that acquires leases; None before `open`."""
        return self.leases.client

    def token(self) -> int | None:
        """Return the token of the rolling update's lease if this process holds it now, otherwise None."""
        client = self.lease_client
        return client.held_token(self.runtime.now(), ROLLING_UPDATE_LEASE) if client is not None else None

    # ---- Timers and messages ----------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Return when `tick` is due, or None if nothing is due."""
        return self.rolling_update.deadline(self.token()) if self.rolling_update is not None else None

    def tick(self, now: int) -> list[Outgoing]:
        """Acquire or release the lease, and advance the rolling update."""
        update = self.rolling_update
        client = self.lease_client
        if update is None or client is None:
            return []
        outgoing: list[Outgoing] = []
        if update.wants_lease():
            client.acquire(now, ROLLING_UPDATE_LEASE)
        elif ROLLING_UPDATE_LEASE in client.requests and not update.broadcasts_left:
            outgoing += client.release(now, ROLLING_UPDATE_LEASE)
        plan_before = update.plan
        outgoing += update.tick(now, self.token())
        if update.plan != plan_before and update.plan is not None:
            self.runtime.log.line(
                f"fleet replacement {update.plan.state.name.lower()} begun_us={update.plan.number}"
            )
        if update.leaving:
            self.end_process_once(update)
        return outgoing

    def end_process_once(self, update: RollingUpdate) -> None:
        """Start this process's graceful shutdown, unless it has already started."""
        if self.shutdown_started or self.runtime.lifecycle.stage == Stage.ENDING:
            return
        self.shutdown_started = True
        self.runtime.log.line(
            f"fleet replacement: this process is the next to end, token={update.highest_token}"
        )
        self.runtime.end_process()

    def received(self, now: int, sender: Address, message: RollingUpdateMessage) -> list[Outgoing]:
        """Handle a message, advance the rolling update, and return the messages to send."""
        if self.rolling_update is None:
            return []
        answer = self.rolling_update.received(now, message)
        return answer + self.tick(self.runtime.now())

    # ---- Commands and status for operators --------------------------------------------------------------

    def command(self, verb: str, max_unavailable: int) -> bool:
        """Begin, pause, resume or stop a rolling update.

        Args:
            verb: `begin`, `pause`, `resume` or `stop`.
            max_unavailable: Maximum number of processes that may be unavailable at a time, for `begin`.

        Returns:
            False if the verb is unknown or `max_unavailable` is out of range, otherwise True.
        """
        assert self.rolling_update is not None
        if verb == "begin" and 0 < max_unavailable <= MAX_UNAVAILABLE:
            self.rolling_update.begin(self.runtime.wall(), max_unavailable, self.runtime.now())
        elif verb in STATE_OF_COMMAND:
            self.rolling_update.change_state(STATE_OF_COMMAND[verb])
        else:
            return False
        return True

    def plan_status(self) -> dict[str, object] | None:
        """Return the plan of the update and its progress, for operators; None before `open`."""
        return self.rolling_update.view(self.token()) if self.rolling_update is not None else None

    def status(self, now: int) -> dict[str, Any]:
        """Return the key `replace` of `GET /fleet`: the plan of the rolling update and its progress."""
        return {"replace": self.plan_status()}
