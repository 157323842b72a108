"""Who tries a server that was set aside, and what the others make of the holder's word.

Each server that is set aside is a lease of its zone. Its holder's module goes on with the trials that it
makes anyway, on real calls; who has set the same server aside and hears of the holder tries nothing. A word
holds until the trial that it foretells is overdue; after that, and after a patience without a majority, each
node does what it would do alone.

Times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from balancer.fleet.health_checks.messages import MOST, ProbeKind, ProbeMessage, Trial
from balancer.fleet.health_checks.settings import ProbeSettings
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.names import PROBE_PREFIX

Out = list[tuple[str, Any]]  # leases' messages and this part's


@dataclass
class Aside:
    """A server that this node has set aside."""

    since: int
    due: int  # its next trial here
    told: int = 0  # until when another node's word on it holds
    rest: int = 0  # this node had no calls to try it with, and does not ask before
    tried: bool = False  # in vain, and the others have not been told yet
    said: int = 0  # the token under which they were told that this node tries...
    said_at: int = 0  # ...and since when


@dataclass
class Good:
    """A server that this node found well, while it holds the lease to say so."""

    token: int
    left: int
    next: int


class Probe:
    """One process's part. `alive` gives the members that may be told; `verdict` tells the module."""

    def __init__(
        self,
        name: str,
        zone: str,
        settings: ProbeSettings,
        lease_client: LeaseClient,
        alive: Callable[[], Sequence[str]],
        verdict: Callable[[int, bool], None],
        rng: Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.settings = settings
        self.lease_client = lease_client
        self.alive = alive
        self.verdict = verdict
        self.rng = rng
        self.asides: dict[int, Aside] = {}
        self.good: dict[int, Good] = {}
        self.pending: dict[int, int] = {}  # servers to be taken back, and when
        self.given_up: list[int] = []  # leases to be let go of
        self.heard: dict[int, int] = {}  # until when a holder's word on a server holds, set aside here or not
        self.seen: dict[int, int] = {}  # the highest token of each server's holder
        self.zones: dict[str, str] = {}  # of members that have spoken
        self.mark = hashlib.blake2b(zone.encode(errors="surrogatepass"), digest_size=4).hexdigest()
        self.counts: Counter[str] = Counter()

    def lease_name(self, server: int) -> str:
        """The zone's name may be as long as a lease's: its mark stands for it."""
        return f"{PROBE_PREFIX}{self.mark}.{server:x}"

    def token(self, now: int, server: int) -> int | None:
        """Of the server's trial, if this node holds it now."""
        return self.lease_client.held_token(now, self.lease_name(server))

    # ---- what the module says and asks ------------------------------------------------------------------

    def may_try(self, now: int, server: int) -> bool:
        """Whether this node tries: it holds the lease, or nobody has said that he does for too long."""
        a = self.asides.get(server)
        if a is None or self.token(now, server) is not None:
            return True
        request = self.lease_client.requests.get(self.lease_name(server))
        elsewhere = request.held_elsewhere_until if request is not None else 0
        alone = now >= max(a.since, a.told, elsewhere) + self.settings.patience
        if alone:
            self.counts["alone"] += 1
        return alone

    def set_aside(self, now: int, server: int, wait: int) -> None:
        """The module has set a server aside, or tried it in vain."""
        a = self.asides.get(server)
        self.good.pop(server, None)
        self.pending.pop(server, None)
        if a is None:
            self.asides[server] = Aside(now, now + wait, self.heard.get(server, 0))
            return
        a.due = now + wait
        a.tried = True

    def back(self, now: int, server: int, well: bool) -> None:
        """The module does not set it aside any more; `well`: by this node's own trial."""
        if self.asides.pop(server, None) is None:
            return
        self.pending.pop(server, None)
        token = self.token(now, server)
        if well and token is not None:
            self.good[server] = Good(token, self.settings.tells, now)
            self.counts["found_well"] += 1
        else:
            self.given_up.append(server)

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When to `tick` next."""
        dues = [self.due(now, server, a) for server, a in self.asides.items()]
        dues += [g.next for g in self.good.values()]
        dues += self.pending.values()
        dues += [now] if self.given_up else []
        return min((d for d in dues if d is not None), default=None)

    def due(self, now: int, server: int, a: Aside) -> int | None:
        token = self.token(now, server)
        if token is not None:
            return now if a.tried or a.said != token else self.idle_at(a)
        requested = self.lease_name(server) in self.lease_client.requests
        until = max(a.told, a.rest)
        if until > now:
            return now if requested else until
        return None if requested else now  # who asks is called when it has an answer

    def tick(self, now: int) -> Out:
        """Does what is due."""
        out: Out = []
        for server in [s for s, at in self.pending.items() if at <= now]:
            del self.pending[server]
            self.counts["taken_back"] += 1
            self.verdict(server, True)
        given_up, self.given_up = self.given_up, []
        for server in given_up:
            if server not in self.asides:
                out += self.lease_client.release(now, self.lease_name(server))
        words: dict[ProbeKind, list[Trial]] = {kind: [] for kind in ProbeKind}
        for server, a in self.asides.items():
            out += self.look(now, server, a, words)
        for server, g in list(self.good.items()):
            out += self.tell_well(now, server, g, words)
        for kind, trials in words.items():
            for i in range(0, len(trials), MOST):
                out += self.to_zone(ProbeMessage(kind, self.name, self.zone, tuple(trials[i : i + MOST])))
        return out

    def look(self, now: int, server: int, a: Aside, words: dict[ProbeKind, list[Trial]]) -> Out:
        """Asks for the lease while nobody is heard of, and says what comes of it while it is held."""
        lease = self.lease_name(server)
        token = self.token(now, server)
        if token is None:
            a.tried = False
            if max(a.told, a.rest) > now:
                return [*self.lease_client.release(now, lease)] if lease in self.lease_client.requests else []
            self.lease_client.acquire(now, lease, self.settings.lease)
            return []
        if a.tried or a.said != token:
            kind = ProbeKind.FAILED if a.tried else ProbeKind.TRYING
            if a.said != token:
                a.said, a.said_at = token, now
            a.tried = False
            words[kind].append(Trial(server, token, max(0, a.due - now)))
        elif now >= self.idle_at(a):
            a.rest = now + self.settings.rest
            self.counts["idle"] += 1
            return [*self.lease_client.release(now, lease)]
        return []

    def idle_at(self, a: Aside) -> int:
        """When it is plain that this node has no calls to try with: a trial is long overdue, though it has
        held the lease all that time."""
        return max(a.due, a.said_at) + self.settings.idle

    def tell_well(self, now: int, server: int, g: Good, words: dict[ProbeKind, list[Trial]]) -> Out:
        if now < g.next:
            return []
        # The look at the clock right before the act; whoever gets it looks at the token.
        if g.left == 0 or self.token(now, server) != g.token:
            del self.good[server]
            return [*self.lease_client.release(now, self.lease_name(server))]
        g.left -= 1
        g.next = now + self.settings.tell_every
        words[ProbeKind.WELL].append(Trial(server, g.token))
        return []

    def to_zone(self, message: ProbeMessage) -> Out:
        """To those of the zone, and to those whose zone is not known."""
        self.counts[f"said_{message.kind.name.lower()}"] += len(message.trials)
        return [(n, message) for n in self.alive() if self.zones.get(n, self.zone) == self.zone]

    # ---- messages ---------------------------------------------------------------------------------------

    def received(self, now: int, m: ProbeMessage) -> Out:
        """Takes a holder's word in."""
        self.zones[m.sender] = m.zone
        if m.zone != self.zone:
            return []
        for trial in m.trials:
            if trial.token < self.seen.get(trial.server, 0):
                self.counts["old_token"] += 1
                continue
            self.remember(trial, 0 if m.kind == ProbeKind.WELL else now + trial.wait + self.settings.slack)
            a = self.asides.get(trial.server)
            if a is None:
                continue
            a.told = self.heard[trial.server]
            if m.kind == ProbeKind.WELL:
                # Failure prevented: a server that has just come back gets all nodes' calls at one instant.
                at = now + int(self.settings.spread * self.rng.random())
                self.pending.setdefault(trial.server, at)
                a.since = now
            elif m.kind == ProbeKind.FAILED:
                self.verdict(trial.server, False)
        return []

    def remember(self, trial: Trial, until: int) -> None:
        """The newest words are kept, so many at most."""
        for table, value in ((self.heard, until), (self.seen, trial.token)):
            table.pop(trial.server, None)
            table[trial.server] = value
            while len(table) > self.settings.heard_most:
                del table[next(iter(table))]

    def forget(self, member: str) -> None:
        """A member is gone for good."""
        self.zones.pop(member, None)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Servers set aside here, and of each whether this node tries it; counters."""
        return {
            "aside": len(self.asides),
            "tries": sum(self.token(now, server) is not None for server in self.asides),
            "told": sum(a.told > now for a in self.asides.values()),
            "counts": dict(self.counts),
        }
