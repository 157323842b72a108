"""Leases as a small model, explored to its end: `python -m workbench.explore.lease_model --help`.

Three voters, two clients, one restart of any of them, on a clock that goes in steps of half a lease. The
program's own client and voter take messages in waves: all that have been sent come before any answer to them,
those to one process in every order. So often as the bounds allow, a message is lost, comes a wave later or a
step later, a client sleeps over a step, a process is restarted; where and when is tried in every way. States
that were met before are not gone into again, so the exploration ends.

Sources: Lamport, "Specifying Systems" (2002), chapter 14, on explicit-state checking, here with the program's
transitions in a specification's place; Emmi, Qadeer and Rakamaric, "Delay-Bounded Scheduling" (POPL 2011),
for a deterministic order from which so many departures are tried.
"""

from __future__ import annotations

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations, permutations, product
from random import Random
from time import process_time
from typing import Any, NamedTuple

import click

from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.events import LeaseEvent, LeaseEventKind
from balancer.fleet.leases.granted_lease import NO_HOLDER, GrantedLease
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.fleet.leases.request import LeaseRequest, RequestStage
from balancer.fleet.leases.settings import Electorate, LeaseSettings
from balancer.fleet.leases.voter import Voter
from workbench.explore.leases import MUTANTS

STEP = 1_000_000
LEASE = 2 * STEP
SETTINGS = LeaseSettings(
    lease=LEASE, max_lease=LEASE, answer_timeout=STEP, jitter=0, backoff=STEP, max_backoff=STEP,
    recall_interval=STEP, retry_spacing=0,
)  # fmt: skip
LEASE_NAME = "d"
VOTERS = ("v0", "v1", "v2")
CLIENTS = ("x", "y")
LIST = Electorate(VOTERS)
START = 100 * STEP


class NoRandomness(Random):
    """Draws nothing: the model explores every order instead."""

    def random(self) -> float:
        """Returns 0."""
        return 0.0

    def getrandbits(self, k: int) -> int:
        """Returns 0."""
        return 0


NO_RANDOMNESS = NoRandomness(0)


class VoterState(NamedTuple):
    """What a voter keeps between messages."""

    incarnation: int
    lease: tuple[Any, ...] | None  # as `GrantedLease`
    floor: int
    abstains_until: int
    recalled_tokens: tuple[tuple[str, int], ...]
    next_recall_at: int


class ClientState(NamedTuple):
    """What a client keeps between messages; the request as in `Model.request_state`."""

    incarnation: int
    seq: int
    request: tuple[Any, ...]


Delivery = OutgoingLeaseMessage


class Outcome(NamedTuple):
    """A process after some messages, what it sent, and the tokens of leases that it acquired."""

    state: Any
    sent: frozenset[Delivery]
    acquired_tokens: tuple[int, ...]


class State(NamedTuple):
    """The whole model; `upsets`, `sleeps` and `restarts` say how many of each may still happen."""

    voters: tuple[VoterState, ...]
    clients: tuple[ClientState, ...]
    sent: frozenset[Delivery]  # come with the next wave...
    later: frozenset[Delivery]  # ...or with the next step's first
    unheard_by: str  # who takes nothing in this step
    upsets: int
    sleeps: int
    restarts: int
    highest: int
    forgot: bool  # a voter votes again that has not heard from enough others


@dataclass(frozen=True)
class Bounds:
    """How far the model is explored.

    Attributes:
        steps: Steps of the clock.
        upsets: Messages that are lost or arrive later.
        sleeps: Steps in which a client does nothing.
        restarts: Processes that restart without knowledge.
    """

    steps: int = 8
    upsets: int = 1
    sleeps: int = 1
    restarts: int = 1


@dataclass
class Findings:
    """What the exploration met."""

    states: int = 0
    waves: int = 0
    holders: int = 0  # times that a client came to hold the lease
    handovers: int = 0  # ...another than the one before
    layers: tuple[int, ...] = ()
    violation: str = ""


class Model:
    """The transitions.

    Args:
        mutant: Name of the client and voter among `MUTANTS`, "none" for the program's own.
        bounds: How far to explore.
    """

    def __init__(self, mutant: str, bounds: Bounds) -> None:
        self.client_class, self.voter_class = MUTANTS[mutant]
        self.bounds = bounds
        self.findings = Findings()
        self.acquired_tokens: list[int] = []  # of leases acquired in the transition at hand
        self.known_outcomes: dict[Any, list[Outcome]] = {}  # what messages do to a process, worked out once

    # ---- the program's objects and their states ---------------------------------------------------------

    def voter(self, name: str, s: VoterState) -> Voter:
        """Returns a voter in a state."""
        v = self.voter_class(name, s.incarnation, [LIST], SETTINGS, 0)
        v.floor, v.abstains_until, v.next_recall_at = s.floor, s.abstains_until, s.next_recall_at
        v.recalled_tokens = dict(s.recalled_tokens)
        if s.lease is not None:
            token, released_token, holder, expires_at, waiters = s.lease
            v.leases[LEASE_NAME] = GrantedLease(token, released_token, holder, expires_at, dict(waiters))
        return v

    def voter_state(self, now: int, v: Voter) -> VoterState:
        """Returns a voter's state without what is over, so that states that act alike are equal."""
        lease = v.leases.get(LEASE_NAME)
        state = None
        if lease is not None:
            expires_at = lease.expires_at if lease.expires_at > now else 0
            holder = lease.holder if expires_at or lease.token > lease.released_token else NO_HOLDER
            waiters = tuple(sorted(lease.waiters.items()))
            state = (lease.token, lease.released_token, holder, expires_at, waiters)
        abstains = v.abstains_until if v.abstains_until > now else 0
        due = v.next_recall_at if v.deadline() is not None else 0
        recalled = tuple(sorted(v.recalled_tokens.items()))
        return VoterState(v.incarnation, state, v.floor, abstains, recalled, due)

    def client(self, name: str, s: ClientState) -> LeaseClient:
        """Returns a client in a state."""
        client = self.client_class(
            name, s.incarnation, [LIST], SETTINGS, NO_RANDOMNESS, lambda: 1, self.on_lease_event
        )
        client.seq = s.seq
        *fields, granted_by, denied_by = s.request
        request = client.requests[LEASE_NAME] = LeaseRequest(LEASE_NAME, LEASE, *fields)
        request.granted_by, request.denied_by = set(granted_by), set(denied_by)
        return client

    def on_lease_event(self, event: LeaseEvent) -> None:
        """Records the token of a lease that a client has acquired."""
        if event.kind == LeaseEventKind.HELD:
            self.acquired_tokens.append(event.token)

    def client_state(self, client: LeaseClient) -> ClientState:
        """Returns a client's state."""
        r = client.requests[LEASE_NAME]
        return ClientState(client.incarnation, client.seq, self.request_state(r))

    def request_state(self, r: LeaseRequest) -> tuple[Any, ...]:
        """Returns a request's fields; those without effect in its stage are 0, so that equal states meet."""
        if r.stage == RequestStage.WAITING:
            return (r.stage, r.due_at, 0, 0, 0, r.highest_token, 0, r.first_voter, (), ())
        expires_at = r.expires_at if r.stage == RequestStage.HELD else 0
        denied_by = tuple(sorted(r.denied_by)) if r.stage == RequestStage.ALL_VOTERS else ()
        times = (r.stage, r.due_at, r.seq, r.requested_at, r.token, r.highest_token, expires_at)
        return (*times, r.first_voter, tuple(sorted(r.granted_by)), denied_by)

    # ---- transitions ------------------------------------------------------------------------------------

    def first(self) -> State:
        """Returns the first state: voters that have run for long, and two clients that begin to request."""
        voter = VoterState(1, None, 0, 0, tuple((v, 0) for v in VOTERS), 0)
        request = (RequestStage.WAITING, START, 0, 0, 0, 0, 0, 0, (), ())
        b = self.bounds
        clients = tuple(ClientState(1, 0, request) for _ in CLIENTS)
        none: frozenset[Delivery] = frozenset()
        return State((voter,) * 3, clients, none, none, "", b.upsets, b.sleeps, b.restarts, 0, False)

    def wave(self, now: int, s: State) -> Iterator[State]:
        """Yields the states after all that was sent has arrived, but for what is lost or late."""
        if s.unheard_by:
            waits = frozenset(x for x in s.sent if x[0] == s.unheard_by)
            s = s._replace(sent=s.sent - waits, later=s.later | waits)
        for count in range(min(s.upsets, len(s.sent)) + 1):
            for upset in combinations(sorted(s.sent, key=repr), count):
                for fates in product(("lost", "wave", "step"), repeat=count):
                    later = {x for x, fate in zip(upset, fates, strict=True) if fate == "step"}
                    stay = {x for x, fate in zip(upset, fates, strict=True) if fate == "wave"}
                    base = s._replace(later=s.later | later, upsets=s.upsets - count)
                    yield from self.delivered(now, base, s.sent - set(upset), frozenset(stay))

    def delivered(
        self, now: int, s: State, come: frozenset[Delivery], stay: frozenset[Delivery]
    ) -> Iterator[State]:
        """Yields the states after these messages, in every combination of the processes' outcomes."""
        names = [n for n in (*VOTERS, *CLIENTS) if any(to == n for to, _ in come)]
        ways = [self.outcomes(now, s, n, frozenset(x for x in come if x[0] == n)) for n in names]
        for way in product(*ways):
            voters, clients, sent = list(s.voters), list(s.clients), set(stay)
            highest = s.highest
            for name, (state, out, held) in zip(names, way, strict=True):
                if name in VOTERS:
                    voters[VOTERS.index(name)] = state
                else:
                    clients[CLIENTS.index(name)] = state
                sent |= out
                for token in held:
                    highest = self.on_acquired(token, highest, s.forgot)
            yield s._replace(
                voters=tuple(voters), clients=tuple(clients), sent=frozenset(sent), highest=highest
            )

    def outcomes(self, now: int, s: State, name: str, come: frozenset[Delivery]) -> list[Outcome]:
        """Returns what a process may become by these messages, in every order."""
        state: Any = s.voters[VOTERS.index(name)] if name in VOTERS else s.clients[CLIENTS.index(name)]
        key = (now, name, state, come)
        if key not in self.known_outcomes:
            orders = permutations(sorted(come, key=repr))
            self.known_outcomes[key] = list({self.outcome(now, name, state, order) for order in orders})
        return self.known_outcomes[key]

    def outcome(self, now: int, name: str, state: Any, order: tuple[Delivery, ...]) -> Outcome:
        """Returns what a process becomes by messages in this order."""
        sent: set[Delivery] = set()
        self.acquired_tokens.clear()
        part: Any = self.voter(name, state) if name in VOTERS else self.client(name, state)
        for _, message in order:
            sent |= self.useful(part.received(now, message))
        after = self.voter_state(now, part) if name in VOTERS else self.client_state(part)
        return Outcome(after, frozenset(sent), tuple(self.acquired_tokens))

    def on_acquired(self, token: int, highest: int, forgot: bool) -> int:
        """Checks the token of a new holder; returns the highest token so far."""
        self.findings.holders += 1
        self.findings.handovers += highest > 0
        if token <= highest and not forgot:
            self.findings.violation = self.findings.violation or f"token {token} after {highest}"
        return max(token, highest)

    def useful(self, out: list[OutgoingLeaseMessage]) -> set[Delivery]:
        """Returns the messages to processes of the model."""
        return {sent for sent in out if sent.to in VOTERS or sent.to in CLIENTS}

    def sample(self, now: int, s: State) -> None:
        """Checks that at most one client holds the lease at this instant."""
        holding = [
            self.client(n, a).held_token(now, LEASE_NAME) is not None
            for n, a in zip(CLIENTS, s.clients, strict=True)
        ]
        if all(holding):
            self.findings.violation = self.findings.violation or "both clients hold the lease"

    def advance(self, now: int, s: State) -> Iterator[State]:
        """Yields the states after a step of the clock, in which a client may sleep or a process restart."""
        base = s._replace(sent=s.later, later=frozenset(), unheard_by="")
        yield self.run_timers(now, base, None)
        if s.sleeps:
            for sleeper, name in enumerate(CLIENTS):
                for unheard_by in ("", name):  # what has come is taken before what is due, or not yet
                    yield self.run_timers(
                        now, base._replace(sleeps=s.sleeps - 1, unheard_by=unheard_by), sleeper
                    )
        if s.restarts:
            for name in (*VOTERS, *CLIENTS):
                yield self.run_timers(now, self.restarted(now, base, name), None)

    def restarted(self, now: int, s: State, name: str) -> State:
        """Returns the state after a process restarted without knowledge; messages to it stay on their way."""
        s = s._replace(restarts=s.restarts - 1)
        if name in VOTERS:
            i = VOTERS.index(name)
            fresh = self.voter_state(now, self.voter_class(name, 2, [LIST], SETTINGS, now))
            return s._replace(voters=(*s.voters[:i], fresh, *s.voters[i + 1 :]))
        i = CLIENTS.index(name)
        request = (RequestStage.WAITING, now, 0, 0, 0, 0, 0, 0, (), ())
        return s._replace(clients=(*s.clients[:i], ClientState(2, 0, request), *s.clients[i + 1 :]))

    def run_timers(self, now: int, s: State, sleeper: int | None) -> State:
        """Returns the state after all timers that are due, but for those of a sleeping client."""
        sent = set(s.sent)
        voters, clients = [], []
        forgot = s.forgot
        for name, state in zip(VOTERS, s.voters, strict=True):
            v = self.voter(name, state)
            sent |= self.useful(v.tick(now))
            forgot = forgot or not (v.abstains(now) or v.has_recovered())
            voters.append(self.voter_state(now, v))
        for i, (name, client_state) in enumerate(zip(CLIENTS, s.clients, strict=True)):
            if i == sleeper:
                clients.append(client_state)
                continue
            a = self.client(name, client_state)
            sent |= self.useful(a.tick(now))
            clients.append(self.client_state(a))
        return s._replace(voters=tuple(voters), clients=tuple(clients), sent=frozenset(sent), forgot=forgot)

    # ---- the exploration --------------------------------------------------------------------------------

    def explore(self, max_states: int) -> Findings:
        """Explores all states up to the last step, or up to the first violation.

        Args:
            max_states: The number of states at which to give up; `violation` then says so.
        """
        findings = self.findings
        now = START
        layer = {self.run_timers(now, self.first(), None)}
        sizes = []
        for _ in range(self.bounds.steps):
            ended = self.step(now, layer, max_states)
            sizes.append(len(ended))
            if findings.violation:
                break
            now += STEP
            self.known_outcomes.clear()
            layer = {n for s in ended for n in self.advance(now, s)}
        findings.layers = tuple(sizes)
        return findings

    def step(self, now: int, layer: set[State], max_states: int) -> set[State]:
        """Returns the states of a step in which no message is on its way any more."""
        met, todo, ended = set(layer), list(layer), set()
        while todo and not self.findings.violation:
            s = todo.pop()
            self.sample(now, s)
            if not s.sent:
                ended.add(s)
                continue
            self.findings.waves += 1
            for after in self.wave(now, s):
                if after not in met:
                    met.add(after)
                    todo.append(after)
            if self.findings.states + len(met) > max_states:
                self.findings.violation = self.findings.violation or f"given up at {max_states} states"
        self.findings.states += len(met)
        return ended


@click.command()
@click.option("--steps", type=click.IntRange(1), default=8, help="Of half a lease each.")
@click.option("--upsets", type=click.IntRange(0), default=1, help="Messages that are lost or come later.")
@click.option("--sleeps", type=click.IntRange(0), default=1, help="Steps that a client sleeps over.")
@click.option("--restarts", type=click.IntRange(0), default=1, help="Processes that come back from nothing.")
@click.option("--mutant", type=click.Choice(list(MUTANTS)), default="none")
@click.option(
    "--max-states",
    "--most",
    "max_states",
    type=int,
    default=20_000_000,
    help="States at which it is given up.",
)
def main(steps: int, upsets: int, sleeps: int, restarts: int, mutant: str, max_states: int) -> None:
    """Explore the model to its end. Exits 1 where there is a violation, or where it was given up."""
    begun = process_time()
    findings = Model(mutant, Bounds(steps, upsets, sleeps, restarts)).explore(max_states)
    click.echo(
        f"{findings.states} states, {findings.waves} waves, {findings.holders} times held, "
        f"{findings.handovers} of them after another, {process_time() - begun:.0f} s, "
        f"by steps {findings.layers}: " + (findings.violation or "kept")
    )
    sys.exit(1 if findings.violation else 0)


if __name__ == "__main__":
    main()
