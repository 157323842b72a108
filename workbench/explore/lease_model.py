"""Exhaustive exploration of a small lease model: `python -m workbench.explore.lease_model --help`.

The model has three voters and two clients, on a clock that advances in steps of half a lease. It runs the
production client and voter. Messages are delivered in waves: all messages sent arrive before any answer to
them, and the messages to one process in every order. As often as the bounds allow, a message is lost or
arrives a wave or a step later, a client pauses for a step, or a process restarts; all places and times for
these faults are explored. States visited before are not explored again, so the exploration terminates.

Sources: Lamport, "Specifying Systems" (2002), chapter 14, on explicit-state model checking, here with the
production code in place of a specification; Emmi, Qadeer and Rakamaric, "Delay-Bounded Scheduling" (POPL
2011), on exploring a bounded number of deviations from a deterministic schedule.
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

STEP_US = 1_000_000
LEASE_US = 2 * STEP_US
SETTINGS = LeaseSettings(
    lease=LEASE_US,
    max_lease=LEASE_US,
    answer_timeout=STEP_US,
    jitter=0,
    backoff=STEP_US,
    max_backoff=STEP_US,
    recall_interval=STEP_US,
    retry_spacing=0,
)
LEASE_NAME = "d"
VOTERS = ("v0", "v1", "v2")
CLIENTS = ("x", "y")
ELECTORATE = Electorate(VOTERS)
START_US = 100 * STEP_US


class NoRandomness(Random):
    """A random generator that always returns 0: the model explores every order instead."""

    def random(self) -> float:
        """Return 0."""
        return 0.0

    def getrandbits(self, k: int) -> int:
        """Return 0."""
        return 0


NO_RANDOMNESS = NoRandomness(0)


class VoterState(NamedTuple):
    """State of a voter between messages.

    Attributes:
        incarnation: The voter's incarnation.
        lease: Arguments of the `GrantedLease`, None before the first grant.
        floor: The voter grants only tokens above this one.
        abstains_until: Time at which the voter begins to vote.
        recalled_tokens: The highest token known to each other voter that has answered since its start.
        next_recall_at: Time of the next request to the other voters for their tokens.
    """

    incarnation: int
    lease: tuple[Any, ...] | None
    floor: int
    abstains_until: int
    recalled_tokens: tuple[tuple[str, int], ...]
    next_recall_at: int


class ClientState(NamedTuple):
    """State of a client between messages; `request` is a result of `Model.request_state`."""

    incarnation: int
    seq: int
    request: tuple[Any, ...]


Delivery = OutgoingLeaseMessage


class Outcome(NamedTuple):
    """State of a process after some messages, what it sent, and the tokens of leases that it acquired."""

    state: Any
    sent: frozenset[Delivery]
    acquired_tokens: tuple[int, ...]


class State(NamedTuple):
    """State of the whole model.

    Attributes:
        voters: States of the voters.
        clients: States of the clients.
        sent: Messages that arrive with the next wave.
        delayed: Messages that arrive with the first wave of the next step.
        deferred_client: Name of a client that receives nothing in this step, "" for none.
        message_faults: How many messages may still be lost or delayed.
        pauses: How many pauses of a client may still happen.
        restarts: How many restarts may still happen.
        highest_token: The highest token of a holder so far.
        voter_forgot: Whether a voter votes again without having heard from enough others since its restart.
    """

    voters: tuple[VoterState, ...]
    clients: tuple[ClientState, ...]
    sent: frozenset[Delivery]
    delayed: frozenset[Delivery]
    deferred_client: str
    message_faults: int
    pauses: int
    restarts: int
    highest_token: int
    voter_forgot: bool


@dataclass(frozen=True)
class Bounds:
    """Limits of the exploration.

    Attributes:
        steps: Number of steps of the clock.
        message_faults: Number of messages that are lost or delayed.
        pauses: Number of steps in which a client does nothing.
        restarts: Number of processes that restart without their state.
    """

    steps: int = 8
    message_faults: int = 1
    pauses: int = 1
    restarts: int = 1


@dataclass
class Findings:
    """Counts and the first violation of an exploration.

    Attributes:
        states: Visited states.
        waves: Delivered waves.
        holders: How often a client acquired the lease.
        handovers: How often it did so after an earlier holder.
        layers: Number of states at the end of each step.
        violation: The first violation, "" if there is none.
    """

    states: int = 0
    waves: int = 0
    holders: int = 0
    handovers: int = 0
    layers: tuple[int, ...] = ()
    violation: str = ""


class Model:
    """The states of the model and the transitions between them.

    Args:
        mutant: Name of the client and voter among `MUTANTS`, "none" for those of the balancer.
        bounds: Limits of the exploration.

    Attributes:
        acquired_tokens: Tokens of the leases acquired in the present transition.
        outcome_cache: Outcomes by time, process, its state and the messages that arrive.
    """

    def __init__(self, mutant: str, bounds: Bounds) -> None:
        self.client_class, self.voter_class = MUTANTS[mutant]
        self.bounds = bounds
        self.findings = Findings()
        self.acquired_tokens: list[int] = []
        self.outcome_cache: dict[Any, list[Outcome]] = {}

    # ---- conversion between objects and states ----------------------------------------------------------

    def make_voter(self, name: str, state: VoterState) -> Voter:
        """Return a voter object that has the given state."""
        voter = self.voter_class(name, state.incarnation, [ELECTORATE], SETTINGS, 0)
        voter.floor, voter.abstains_until, voter.next_recall_at = (
            state.floor,
            state.abstains_until,
            state.next_recall_at,
        )
        voter.recalled_tokens = dict(state.recalled_tokens)
        if state.lease is not None:
            token, released_token, holder, expires_at, waiters = state.lease
            voter.leases[LEASE_NAME] = GrantedLease(token, released_token, holder, expires_at, dict(waiters))
        return voter

    def voter_state(self, now: int, voter: Voter) -> VoterState:
        """Return a voter's state without expired parts, so that states that behave alike are equal."""
        lease = voter.leases.get(LEASE_NAME)
        lease_state = None
        if lease is not None:
            expires_at = lease.expires_at if lease.expires_at > now else 0
            holder = lease.holder if expires_at or lease.token > lease.released_token else NO_HOLDER
            waiters = tuple(sorted(lease.waiters.items()))
            lease_state = (lease.token, lease.released_token, holder, expires_at, waiters)
        abstains_until = voter.abstains_until if voter.abstains_until > now else 0
        next_recall_at = voter.next_recall_at if voter.deadline() is not None else 0
        recalled_tokens = tuple(sorted(voter.recalled_tokens.items()))
        return VoterState(
            voter.incarnation, lease_state, voter.floor, abstains_until, recalled_tokens, next_recall_at
        )

    def make_client(self, name: str, state: ClientState) -> LeaseClient:
        """Return a client object that has the given state."""
        client = self.client_class(
            name, state.incarnation, [ELECTORATE], SETTINGS, NO_RANDOMNESS, lambda: 1, self.on_lease_event
        )
        client.seq = state.seq
        *fields, granted_by, denied_by = state.request
        request = client.requests[LEASE_NAME] = LeaseRequest(LEASE_NAME, LEASE_US, *fields)
        request.granted_by, request.denied_by = set(granted_by), set(denied_by)
        return client

    def on_lease_event(self, event: LeaseEvent) -> None:
        """Record the token of a lease that a client has acquired."""
        if event.kind == LeaseEventKind.HELD:
            self.acquired_tokens.append(event.token)

    def client_state(self, client: LeaseClient) -> ClientState:
        """Return a client's state."""
        request = client.requests[LEASE_NAME]
        return ClientState(client.incarnation, client.seq, self.request_state(request))

    def request_state(self, request: LeaseRequest) -> tuple[Any, ...]:
        """Return a request's fields, with 0 for those unused in its stage: equivalent states are equal."""
        if request.stage == RequestStage.WAITING:
            return (
                request.stage,
                request.due_at,
                0,
                0,
                0,
                request.highest_token,
                0,
                request.first_voter,
                (),
                (),
            )
        expires_at = request.expires_at if request.stage == RequestStage.HELD else 0
        denied_by = tuple(sorted(request.denied_by)) if request.stage == RequestStage.ALL_VOTERS else ()
        times = (
            request.stage,
            request.due_at,
            request.seq,
            request.requested_at,
            request.token,
            request.highest_token,
            expires_at,
        )
        return (*times, request.first_voter, tuple(sorted(request.granted_by)), denied_by)

    # ---- transitions ------------------------------------------------------------------------------------

    def initial_state(self) -> State:
        """Return the first state: voters past their abstention, and clients that begin to request."""
        voter = VoterState(1, None, 0, 0, tuple((name, 0) for name in VOTERS), 0)
        request = (RequestStage.WAITING, START_US, 0, 0, 0, 0, 0, 0, (), ())
        bounds = self.bounds
        clients = tuple(ClientState(1, 0, request) for _ in CLIENTS)
        no_messages: frozenset[Delivery] = frozenset()
        return State(
            (voter,) * 3,
            clients,
            no_messages,
            no_messages,
            "",
            bounds.message_faults,
            bounds.pauses,
            bounds.restarts,
            0,
            False,
        )

    def deliver_wave(self, now: int, state: State) -> Iterator[State]:
        """Yield the states after the delivery of all sent messages except those that are lost or delayed."""
        if state.deferred_client:
            deferred = frozenset(delivery for delivery in state.sent if delivery[0] == state.deferred_client)
            state = state._replace(sent=state.sent - deferred, delayed=state.delayed | deferred)
        for count in range(min(state.message_faults, len(state.sent)) + 1):
            for faulty in combinations(sorted(state.sent, key=repr), count):
                for fates in product(("lost", "wave", "step"), repeat=count):
                    delayed = {
                        delivery for delivery, fate in zip(faulty, fates, strict=True) if fate == "step"
                    }
                    remaining = {
                        delivery for delivery, fate in zip(faulty, fates, strict=True) if fate == "wave"
                    }
                    base = state._replace(
                        delayed=state.delayed | delayed, message_faults=state.message_faults - count
                    )
                    yield from self.deliver(now, base, state.sent - set(faulty), frozenset(remaining))

    def deliver(
        self, now: int, state: State, arriving: frozenset[Delivery], remaining: frozenset[Delivery]
    ) -> Iterator[State]:
        """Yield the states after some messages arrive, for every combination of the processes' outcomes."""
        names = [recipient for recipient in (*VOTERS, *CLIENTS) if any(to == recipient for to, _ in arriving)]
        outcome_sets = [
            self.outcomes(
                now,
                state,
                recipient,
                frozenset(delivery for delivery in arriving if delivery[0] == recipient),
            )
            for recipient in names
        ]
        for combination in product(*outcome_sets):
            voters, clients, sent = list(state.voters), list(state.clients), set(remaining)
            highest_token = state.highest_token
            for name, (process_state, outgoing, acquired_tokens) in zip(names, combination, strict=True):
                if name in VOTERS:
                    voters[VOTERS.index(name)] = process_state
                else:
                    clients[CLIENTS.index(name)] = process_state
                sent |= outgoing
                for token in acquired_tokens:
                    highest_token = self.on_acquired(token, highest_token, state.voter_forgot)
            yield state._replace(
                voters=tuple(voters),
                clients=tuple(clients),
                sent=frozenset(sent),
                highest_token=highest_token,
            )

    def outcomes(self, now: int, state: State, name: str, arriving: frozenset[Delivery]) -> list[Outcome]:
        """Return the distinct outcomes of a process for every order of the messages that arrive."""
        process_state: Any = (
            state.voters[VOTERS.index(name)] if name in VOTERS else state.clients[CLIENTS.index(name)]
        )
        key = (now, name, process_state, arriving)
        if key not in self.outcome_cache:
            orders = permutations(sorted(arriving, key=repr))
            self.outcome_cache[key] = list(
                {self.outcome(now, name, process_state, order) for order in orders}
            )
        return self.outcome_cache[key]

    def outcome(self, now: int, name: str, process_state: Any, order: tuple[Delivery, ...]) -> Outcome:
        """Return the outcome of a process for messages in one order."""
        sent: set[Delivery] = set()
        self.acquired_tokens.clear()
        process: Any = (
            self.make_voter(name, process_state) if name in VOTERS else self.make_client(name, process_state)
        )
        for _, message in order:
            sent |= self.messages_within_model(process.received(now, message))
        after = self.voter_state(now, process) if name in VOTERS else self.client_state(process)
        return Outcome(after, frozenset(sent), tuple(self.acquired_tokens))

    def on_acquired(self, token: int, highest_token: int, voter_forgot: bool) -> int:
        """Check the token of a new holder, and return the highest token so far."""
        self.findings.holders += 1
        self.findings.handovers += highest_token > 0
        if token <= highest_token and not voter_forgot:
            self.findings.violation = self.findings.violation or f"token {token} after {highest_token}"
        return max(token, highest_token)

    def messages_within_model(self, outgoing: list[OutgoingLeaseMessage]) -> set[Delivery]:
        """Return the messages that are addressed to processes of the model."""
        return {sent for sent in outgoing if sent.to in VOTERS or sent.to in CLIENTS}

    def check_single_holder(self, now: int, state: State) -> None:
        """Check that at most one client holds the lease at this instant."""
        is_holder = [
            self.make_client(name, client_state).held_token(now, LEASE_NAME) is not None
            for name, client_state in zip(CLIENTS, state.clients, strict=True)
        ]
        if all(is_holder):
            self.findings.violation = self.findings.violation or "both clients hold the lease"

    def advance(self, now: int, state: State) -> Iterator[State]:
        """Yield the states after a step of the clock, in which a client may pause or a process restart."""
        base = state._replace(sent=state.delayed, delayed=frozenset(), deferred_client="")
        yield self.run_timers(now, base, None)
        if state.pauses:
            for paused_client, name in enumerate(CLIENTS):
                # Messages to the paused client arrive before its overdue timers run, or a step later.
                for deferred_client in ("", name):
                    yield self.run_timers(
                        now,
                        base._replace(pauses=state.pauses - 1, deferred_client=deferred_client),
                        paused_client,
                    )
        if state.restarts:
            for name in (*VOTERS, *CLIENTS):
                yield self.run_timers(now, self.restart(now, base, name), None)

    def restart(self, now: int, state: State, name: str) -> State:
        """Return the state after a process restarted empty; messages to it are still delivered."""
        state = state._replace(restarts=state.restarts - 1)
        if name in VOTERS:
            i = VOTERS.index(name)
            voter_state = self.voter_state(now, self.voter_class(name, 2, [ELECTORATE], SETTINGS, now))
            return state._replace(voters=(*state.voters[:i], voter_state, *state.voters[i + 1 :]))
        i = CLIENTS.index(name)
        request = (RequestStage.WAITING, now, 0, 0, 0, 0, 0, 0, (), ())
        return state._replace(
            clients=(*state.clients[:i], ClientState(2, 0, request), *state.clients[i + 1 :])
        )

    def run_timers(self, now: int, state: State, paused_client: int | None) -> State:
        """Return the state after all due timers have run, except those of a paused client."""
        sent = set(state.sent)
        voters, clients = [], []
        voter_forgot = state.voter_forgot
        for name, process_state in zip(VOTERS, state.voters, strict=True):
            voter = self.make_voter(name, process_state)
            sent |= self.messages_within_model(voter.tick(now))
            voter_forgot = voter_forgot or not (voter.abstains(now) or voter.has_recovered())
            voters.append(self.voter_state(now, voter))
        for i, (name, client_state) in enumerate(zip(CLIENTS, state.clients, strict=True)):
            if i == paused_client:
                clients.append(client_state)
                continue
            client = self.make_client(name, client_state)
            sent |= self.messages_within_model(client.tick(now))
            clients.append(self.client_state(client))
        return state._replace(
            voters=tuple(voters), clients=tuple(clients), sent=frozenset(sent), voter_forgot=voter_forgot
        )

    # ---- the exploration --------------------------------------------------------------------------------

    def explore(self, max_states: int) -> Findings:
        """Explore all states up to the last step, or up to the first violation.

        Args:
            max_states: Number of states at which to stop; `violation` then tells so.
        """
        findings = self.findings
        now = START_US
        layer = {self.run_timers(now, self.initial_state(), None)}
        layer_sizes = []
        for _ in range(self.bounds.steps):
            finished = self.step(now, layer, max_states)
            layer_sizes.append(len(finished))
            if findings.violation:
                break
            now += STEP_US
            self.outcome_cache.clear()
            layer = {next_state for state in finished for next_state in self.advance(now, state)}
        findings.layers = tuple(layer_sizes)
        return findings

    def step(self, now: int, layer: set[State], max_states: int) -> set[State]:
        """Return the states of a step in which all messages have been delivered."""
        visited, pending, finished = set(layer), list(layer), set()
        while pending and not self.findings.violation:
            state = pending.pop()
            self.check_single_holder(now, state)
            if not state.sent:
                finished.add(state)
                continue
            self.findings.waves += 1
            for after in self.deliver_wave(now, state):
                if after not in visited:
                    visited.add(after)
                    pending.append(after)
            if self.findings.states + len(visited) > max_states:
                self.findings.violation = (
                    self.findings.violation or f"stopped at the limit of {max_states} states"
                )
        self.findings.states += len(visited)
        return finished


@click.command()
@click.option("--steps", type=click.IntRange(1), default=8, help="Steps of half a lease each.")
@click.option("--upsets", type=click.IntRange(0), default=1, help="Messages that are lost or delayed.")
@click.option("--sleeps", type=click.IntRange(0), default=1, help="Steps in which a client does nothing.")
@click.option(
    "--restarts", type=click.IntRange(0), default=1, help="Processes that restart without their state."
)
@click.option("--mutant", type=click.Choice(list(MUTANTS)), default="none")
@click.option(
    "--max-states",
    "--most",
    "max_states",
    type=int,
    default=20_000_000,
    help="Number of states at which to stop.",
)
def main(steps: int, upsets: int, sleeps: int, restarts: int, mutant: str, max_states: int) -> None:
    """Explore the model exhaustively; exit with 1 on a violation, or at the limit of states."""
    started = process_time()
    findings = Model(mutant, Bounds(steps, upsets, sleeps, restarts)).explore(max_states)
    click.echo(
        f"{findings.states} states, {findings.waves} waves, {findings.holders} times held, "
        f"{findings.handovers} of them after another, {process_time() - started:.0f} s, "
        f"by steps {findings.layers}: " + (findings.violation or "kept")
    )
    sys.exit(1 if findings.violation else 0)


if __name__ == "__main__":
    main()
