"""The rolling replacement as a component of the fleet runtime."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from balancer.fleet.component import Component, Outgoing, Runtime, addressed
from balancer.fleet.leases.component import DutiesComponent
from balancer.fleet.leases.names import REPLACEMENT
from balancer.fleet.membership.codec import Part
from balancer.fleet.membership.swim import Address
from balancer.fleet.rolling_update.decisions import MOST, Replacement
from balancer.fleet.rolling_update.messages import ReplaceWire, State
from balancer.net.process.lifecycle import Stage

COMMANDS = {"pause": State.PAUSED, "resume": State.RUNS, "stop": State.STOPPED}


class ReplacementComponent(Component):
    """Asks for the duty while there is a plan to lead, leads while it is held, ends the process when told."""

    def __init__(self, runtime: Runtime, duties: DutiesComponent) -> None:
        self.runtime = runtime
        self.duties = duties
        self.replacement: Replacement | None = None
        self.ended = False

    @property
    def wires(self) -> Sequence[Part]:
        return (ReplaceWire(),)

    def open(self) -> None:
        runtime = self.runtime
        name, zone, life = runtime.config.name, runtime.config.zone, runtime.membership.me.incarnation
        self.replacement = Replacement(name, zone, life, self, runtime.now())

    # ---- what the decisions see -------------------------------------------------------------------------

    def alive(self) -> list[str]:
        return self.runtime.alive()

    def gone(self) -> list[str]:
        return self.runtime.gone()

    def serving(self) -> bool:
        """Whether this process takes clients, and votes if it is a voter.

        Failure prevented: voters are replaced faster than they vote again, and there is no majority left.
        """
        return self.runtime.life.serving and not self.duties.abstains(self.runtime.now())

    def token(self) -> int | None:
        """Of the replacement's duty, if this process holds it now."""
        asker = self.duties.duties.asker
        return asker.holding(self.runtime.now(), REPLACEMENT) if asker is not None else None

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        return self.replacement.deadline(self.token()) if self.replacement is not None else None

    def tick(self, now: int) -> list[Outgoing]:
        asker = self.duties.duties.asker
        if self.replacement is None or asker is None:
            return []
        out: list[Outgoing] = []
        if self.replacement.wants():
            asker.want(now, REPLACEMENT)
        elif REPLACEMENT in asker.wanted and not self.replacement.tells:
            out += addressed(asker.drop(now, REPLACEMENT))
        plan_before = self.replacement.plan
        out += addressed(self.replacement.tick(now, self.token()))
        plan = self.replacement.plan
        if plan != plan_before and plan is not None:
            self.runtime.log.line(f"fleet replacement {plan.state.name.lower()} begun_us={plan.number}")
        if self.replacement.leaving:
            self.end_once(self.replacement)
        return out

    def end_once(self, replacement: Replacement) -> None:
        if self.ended or self.runtime.life.stage == Stage.ENDING:
            return
        self.ended = True
        self.runtime.log.line(
            f"fleet replacement: this process is the next to end, token={replacement.token}"
        )
        self.runtime.end_process()

    def received(self, now: int, sender: Address, message: Any) -> list[Outgoing]:
        if self.replacement is None:
            return []
        answer = addressed(self.replacement.received(now, message))
        return answer + self.tick(self.runtime.now())

    # ---- what operators see and do ----------------------------------------------------------------------

    def command(self, verb: str, max_out: int) -> bool:
        """Begins, pauses, resumes or stops a replacement that takes `max_out` processes out at a time. False
        if it is none of these."""
        assert self.replacement is not None
        if verb == "begin" and 0 < max_out <= MOST:
            self.replacement.begin(self.runtime.wall(), max_out, self.runtime.now())
        elif verb in COMMANDS:
            self.replacement.change(COMMANDS[verb])
        else:
            return False
        return True

    def table(self) -> dict[str, object] | None:
        """The plan as operators see it; None before `open`."""
        return self.replacement.view(self.token()) if self.replacement is not None else None

    def status(self, now: int) -> dict[str, Any]:
        return {"replace": self.table()}
