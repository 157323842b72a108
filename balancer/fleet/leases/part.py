"""The duties of one process: its vote, what it wants, and what it holds for scripts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from balancer.fleet.config import FleetConfig
from balancer.fleet.leases.asker import Asker, Stage
from balancer.fleet.leases.messages import DutyMessage, DutyWire
from balancer.fleet.leases.settings import DutySettings, Electorate
from balancer.fleet.leases.store import VoteStore
from balancer.fleet.leases.voter import Out, Voter
from balancer.net.process.log import Log

SCRIPTS_MOST = 64  # duties held for scripts at once


@dataclass
class Script:
    """One that wants a duty through this process."""

    script: str
    heard: int  # when it last came
    told: int = 0  # until when it was told that it holds the duty


class Duties:
    """Stands between `runtime.py` and the two state machines. Open from `open` to `leave`."""

    def __init__(self, config: FleetConfig, log: Log, quiet: tuple[str, ...] = ()) -> None:
        self.config = config
        self.quiet = quiet  # beginnings of duties that come and go too often for the log
        self.log = log
        self.wire = DutyWire()
        self.settings = DutySettings(lease=config.lease, longest=config.longest)
        lists = (config.voters, config.old_voters)
        self.lists = [Electorate(voters) for voters in lists if voters]
        self.voter: Voter | None = None
        self.asker: Asker | None = None
        self.scripts: dict[str, Script] = {}  # by the duty that each wants

    def open(self, life: int, now: int, wall: Callable[[], int], rng: Random) -> None:
        """A new life begins. `wall`: milliseconds of Unix time."""
        c = self.config
        floor, raised = 0, None
        if c.votes is not None:
            votes = VoteStore(c.votes / f"{c.name}.votes", c.name, self.log.line)
            floor, raised = votes.open(), votes.raised
        self.voter = Voter(c.name, life, self.lists, self.settings, now, floor, raised)
        self.asker = Asker(c.name, life, self.lists, self.settings, rng, wall, self.told)

    def told(self, what: str, duty: str, token: int) -> None:
        if not duty.startswith(self.quiet):
            self.log.line(f"duty {what} name={duty} token={token}")

    # ---- time and messages ------------------------------------------------------------------------------

    def deadline(self) -> int | None:
        """When something is due."""
        if self.voter is None or self.asker is None:
            return None
        dues = [self.voter.deadline(), self.asker.deadline()]
        dues += [self.over(own) for own in self.scripts.values()]
        return min((d for d in dues if d is not None), default=None)

    def over(self, own: Script) -> int:
        """When a script that does not come again is gone, and what it was told is over."""
        return max(own.heard + self.settings.lease, own.told)

    def tick(self, now: int) -> Out:
        """Does what is due; a script that has not come for a lease is gone."""
        if self.voter is None or self.asker is None:
            return []
        out: Out = []
        for duty, own in list(self.scripts.items()):
            if now >= own.heard + self.settings.lease:
                out += self.gone(now, duty, own)
        return out + self.voter.tick(now) + self.asker.tick(now)

    def received(self, now: int, message: DutyMessage) -> Out:
        if self.voter is None or self.asker is None:
            return []
        return self.voter.received(now, message) + self.asker.received(now, message)

    def leave(self, now: int) -> Out:
        """A planned end: what this process holds itself is given back. What a script holds is left to lapse,
        since the script goes on until the time that it was told is out."""
        if self.asker is None:
            return []
        out: Out = []
        for duty in list(self.asker.wanted):
            if duty not in self.scripts:
                out += self.asker.drop(now, duty)
        return out

    # ---- for scripts ------------------------------------------------------------------------------------

    def hold(self, now: int, duty: str, script: str) -> tuple[dict[str, Any], Out]:
        """A script wants a duty, or wants it still. `left_us` is what it may count on from when it asked."""
        assert self.asker is not None
        own = self.scripts.get(duty)
        if own is None and len(self.scripts) >= SCRIPTS_MOST:
            return {"held": False, "why": f"{SCRIPTS_MOST} duties are held for scripts already"}, []
        if own is None:
            own = self.scripts[duty] = Script(script, now)
        if own.script != script:
            return {"held": False, "why": "another script of this node has it"}, []
        own.heard = now
        self.asker.want(now, duty)
        out = self.asker.tick(now)
        token = self.asker.holding(now, duty)
        if token is None:
            return {"held": False, "why": "another holds it, or there is no majority"}, out
        own.told = self.asker.wanted[duty].until
        return {"held": True, "token": token, "left_us": own.told - now}, out

    def give(self, now: int, duty: str, script: str) -> tuple[dict[str, Any], Out]:
        """A script is done."""
        assert self.asker is not None
        own = self.scripts.get(duty)
        if own is None or own.script != script:
            return {"held": False}, []
        del self.scripts[duty]
        return {"held": False}, self.asker.drop(now, duty)

    def gone(self, now: int, duty: str, own: Script) -> Out:
        """A script has not come for a lease: it may run on for what it was told, and nobody else of this node
        gets the duty before that is over."""
        assert self.asker is not None
        if now < own.told:
            self.asker.abandon(duty)
            return []
        self.log.line(f"duty script gone name={duty}")
        del self.scripts[duty]
        return self.asker.drop(now, duty)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """What this process votes for, and what it wants and holds; times in seconds."""
        if self.voter is None or self.asker is None:
            return {}
        granted = {
            duty: {"holder": s.holder[0], "token": s.number, "left_s": round((s.until - now) / 1e6, 3)}
            for duty, s in sorted(self.voter.slots.items())
            if s.until > now
        }
        wanted = {
            duty: {"stage": w.stage.value, "token": self.asker.holding(now, duty), "seen": w.seen}
            for duty, w in sorted(self.asker.wanted.items())
        }
        held = sum(w.stage == Stage.HELD for w in self.asker.wanted.values())
        return {
            "voters": list(self.config.voters),
            "votes": bool(self.voter.lists),
            "abstains_s": round(max(0, self.voter.abstain_until - now) / 1e6, 3) if self.voter.lists else 0.0,
            "granted": granted,
            "wanted": wanted,
            "held": held,
            "counts": dict(self.voter.counts + self.asker.counts),
        }
