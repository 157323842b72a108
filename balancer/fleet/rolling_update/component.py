"""The rolling update as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.component import LeaseComponent
from balancer.fleet.leases.names import REPLACEMENT
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
    """Acquires the lease while a plan is to be led, leads while it is held, ends the process when asked."""

    def __init__(self, runtime: Runtime, leases: LeaseComponent) -> None:
        self.runtime = runtime
        self.leases = leases
        self.rolling_update: RollingUpdate | None = None
        self.shutdown_started = False

    @property
    def wires(self) -> Sequence[PayloadCodec]:
        """The encoder and decoder of rolling update messages."""
        return (RollingUpdateWire(),)

    def open(self) -> None:
        """Starts a new incarnation, without a plan."""
        runtime = self.runtime
        name, zone, incarnation = runtime.config.name, runtime.config.zone, runtime.membership.me.incarnation
        self.rolling_update = RollingUpdate(name, zone, incarnation, self, runtime.now())

    # ---- what the state machine sees --------------------------------------------------------------------

    def alive(self) -> list[str]:
        """Names of the other members that are alive."""
        return self.runtime.alive()

    def gone(self) -> list[str]:
        """Names of the members that have left or died recently."""
        return self.runtime.gone()

    def serving(self) -> bool:
        """Whether this process accepts clients, and votes if it is a voter.

        Failure prevented: voters are replaced faster than they vote again, and there is no majority left.
        """
        return self.runtime.lifecycle.is_serving and not self.leases.abstains(self.runtime.now())

    @property
    def lease_client(self) -> LeaseClient | None:
        """What acquires leases; None before `open`."""
        return self.leases.client

    def token(self) -> int | None:
        """Token of the rolling update's lease, if this process holds it now."""
        client = self.lease_client
        return client.held_token(self.runtime.now(), REPLACEMENT) if client is not None else None

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When `tick` is due."""
        return self.rolling_update.deadline(self.token()) if self.rolling_update is not None else None

    def tick(self, now: int) -> list[Outgoing]:
        """Acquires or releases the lease, and does what is due."""
        update = self.rolling_update
        client = self.lease_client
        if update is None or client is None:
            return []
        outgoing: list[Outgoing] = []
        if update.wants_lease():
            client.acquire(now, REPLACEMENT)
        elif REPLACEMENT in client.requests and not update.announcements_left:
            outgoing += client.release(now, REPLACEMENT)
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
        """Starts this process's graceful shutdown, unless it has started already."""
        if self.shutdown_started or self.runtime.lifecycle.stage == Stage.ENDING:
            return
        self.shutdown_started = True
        self.runtime.log.line(
            f"fleet replacement: this process is the next to end, token={update.highest_token}"
        )
        self.runtime.end_process()

    def received(self, now: int, sender: Address, message: RollingUpdateMessage) -> list[Outgoing]:
        """Handles a message, and does what is due after it."""
        if self.rolling_update is None:
            return []
        answer = self.rolling_update.received(now, message)
        return answer + self.tick(self.runtime.now())

    # ---- what operators see and do ----------------------------------------------------------------------

    def command(self, verb: str, max_unavailable: int) -> bool:
        """Begins, pauses, resumes or stops a rolling update.

        Args:
            verb: `begin`, `pause`, `resume` or `stop`.
            max_unavailable: For `begin`: how many processes may be unavailable at a time.

        Returns:
            False if the verb is not known, or `max_unavailable` out of range.
        """
        assert self.rolling_update is not None
        if verb == "begin" and 0 < max_unavailable <= MAX_UNAVAILABLE:
            self.rolling_update.begin(self.runtime.wall(), max_unavailable, self.runtime.now())
        elif verb in STATE_OF_COMMAND:
            self.rolling_update.change(STATE_OF_COMMAND[verb])
        else:
            return False
        return True

    def table(self) -> dict[str, object] | None:
        """The plan as operators see it; None before `open`."""
        return self.rolling_update.view(self.token()) if self.rolling_update is not None else None

    def status(self, now: int) -> dict[str, Any]:
        """The key `replace` of `GET /fleet`."""
        return {"replace": self.table()}
