"""What all baselines share: the list, a request's life, and the rights to a repeat. Choice and limit are
theirs.

A baseline repeats a failed call at once while attempts and time last, on a server not tried yet where there
is one. It has no budget for repeats: what that costs under overload is a thing to measure the module against.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from random import Random

from balancer.policy.interface import (
    NEVER_RAN,
    Actions,
    ClassSettings,
    Effect,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
)
from workbench.model.referee import in_group, repeats_anywhere

LIST_AGAIN = 1  # the token of the timer that asks for the list anew
LIST_WAIT = 500_000


class Open:
    """An open request. `ran` is the first server that may have run it, and since when."""

    __slots__ = ("klass", "until", "tried", "attempt", "out", "ran", "ran_at", "sent_at")

    def __init__(self, klass: int, until: int) -> None:
        self.klass = klass
        self.until = until
        self.tried: list[int] = []
        self.attempt = 0
        self.out = -1
        self.ran: ServerEntry | None = None
        self.ran_at = 0
        self.sent_at = 0


class Baseline:
    """The `Events` of a policy without memory of servers. Times in microseconds."""

    def __init__(self, settings: Settings, seed: int, actions: Actions) -> None:
        self.settings = settings
        self.actions = actions
        self.rng = Random(seed)
        self.servers: dict[int, ServerEntry] = {}
        self.ids: list[int] = []
        self.in_flight: dict[int, int] = {}
        self.open: dict[int, Open] = {}

    # ---- what a policy decides -----------------------------------------------------------------------------

    def choose(self, now: int, ids: Sequence[int]) -> int:
        """One of the servers, of which there is at least one."""
        raise NotImplementedError

    def admits(self, now: int, klass: int, left: int) -> bool:
        """Whether a request may start; refused at once if not."""
        return True

    def began(self, now: int, server: int) -> None:
        """An attempt goes out."""
        self.in_flight[server] = self.in_flight.get(server, 0) + 1

    def ended(self, now: int, server: int, outcome: Outcome, latency: int) -> None:
        """Its outcome."""
        self.in_flight[server] = max(0, self.in_flight.get(server, 0) - 1)

    # ---- events --------------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        if self.settings.list_on_request:
            self.actions.watch(True)

    def server_list(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        if kind == ListKind.FAILED:
            self.actions.set_timer(LIST_WAIT, LIST_AGAIN)
            return
        if kind != ListKind.CHANGES:
            self.servers.clear()
        for entry in entries:
            if entry.state == State.READY:
                self.servers[entry.server] = entry
            else:
                self.servers.pop(entry.server, None)
        self.ids = sorted(self.servers)

    def request(
        self, now: int, request: int, request_class: int, tenant: int, remaining: int, repeat: bool
    ) -> None:
        if not self.ids or not self.admits(now, request_class, remaining):
            self.actions.reject(request, 0)
            return
        self.open[request] = Open(request_class, now + remaining)
        self.attempt(now, request, self.ids)

    def outcome(
        self,
        now: int,
        request: int,
        attempt: int,
        server: int,
        outcome: Outcome,
        latency: int,
        final: bool,
        report: Sequence[float],
    ) -> None:
        self.ended(now, server, outcome, latency)
        r = self.open.get(request)
        if r is None or attempt != r.attempt - 1:
            return
        r.out = -1
        if final or outcome == Outcome.OK:
            del self.open[request]
            return
        if outcome not in NEVER_RAN and r.ran is None:
            r.ran = self.servers.get(server) or ServerEntry(server, cell=-1, zone=-1)
            r.ran_at = r.sent_at
        ids = self.allowed(now, r)
        if ids and r.attempt < self.settings.max_attempts and r.until - now > self.settings.tick:
            self.attempt(now, request, ids)
        else:
            self.finish(request, r)

    def response_started(self, now: int, request: int, attempt: int, server: int, latency: int) -> None:
        """Answers are whole here."""

    def upload(self, now: int, request: int, attempt: int, on: bool) -> None:
        """Bodies are short here."""

    def client_disconnected(self, now: int, request: int) -> None:
        r = self.open.pop(request, None)
        if r is not None and r.out >= 0 and self.settings.cancel:
            self.actions.cancel(request, r.attempt - 1)

    def zone_shares(self, now: int, shares: Mapping[int, float], additional_rtt: Mapping[int, int]) -> None:
        """Not used, for the same reason."""

    def trial_result(self, now: int, server: int, healthy: bool) -> None:
        """Not used: a baseline has no fleet."""

    def health_checked(self, now: int, server: int, ok: bool, latency: int, report: Sequence[float]) -> None:
        """No baseline probes."""

    def timer(self, now: int, token: int) -> None:
        if token == LIST_AGAIN:
            self.actions.watch(True)

    def peer_message(self, now: int, peer: int, data: bytes) -> None:
        """No baseline has peers."""

    # ---- a request's life -----------------------------------------------------------------------------

    def attempt(self, now: int, request: int, ids: Sequence[int]) -> None:
        r = self.open[request]
        server = self.choose(now, [i for i in ids if i not in r.tried] or ids)
        r.tried.append(server)
        r.attempt += 1
        r.out = server
        r.sent_at = now
        self.began(now, server)
        self.actions.send(request, server, r.until - now)

    def allowed(self, now: int, r: Open) -> Sequence[int]:
        """Where the request may go again: anywhere, in its group, or nowhere."""
        klass = self.settings.classes[r.klass]
        if r.ran is None or klass.effect == Effect.IDEMPOTENT:
            return self.ids
        if klass.effect == Effect.NOT_IDEMPOTENT or now > r.ran_at + klass.window:
            return ()
        return [i for i in self.ids if same_group(klass, r.ran, self.servers[i])]

    def finish(self, request: int, r: Open) -> None:
        del self.open[request]
        if r.ran is None or repeats_anywhere(self.settings.classes[r.klass]):
            self.actions.reject(request, 0)
        else:
            self.actions.fail(request)


def same_group(klass: ClassSettings, first: ServerEntry, other: ServerEntry) -> bool:
    """Whether `other` discards the repeat of what `first` may have run."""
    return first.server == other.server or in_group(klass.group, first, other)
