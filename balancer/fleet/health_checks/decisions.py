"""The state machine of shared health checks: who probes an ejected server, and who relies on whose result.

Each ejected server has a lease in its zone. The lease holder's policy continues with its probes, which are
real requests, and announces them; the other nodes that have ejected the same server do not probe it. An
announcement is valid until the probe that it foretells is overdue. After that, and after some patience where
no majority of voters grants the lease, each node probes as it would alone.

All times are microseconds of this process's monotonic clock.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from balancer.fleet.addressed_message import AddressedMessage
from balancer.fleet.component import Outgoing
from balancer.fleet.health_checks.messages import (
    MAX_PROBES,
    HealthCheckKind,
    HealthCheckMessage,
    ProbeAnnouncement,
)
from balancer.fleet.health_checks.servers import AnnouncementHistory, EjectedServer, RecoveredServer
from balancer.fleet.health_checks.settings import HealthCheckSettings
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.fleet.leases.names import PROBE_PREFIX

Announcements = dict[HealthCheckKind, list[ProbeAnnouncement]]


class HealthChecks:
    """One process's part in the health checks of its zone."""

    def __init__(
        self,
        name: str,
        zone: str,
        settings: HealthCheckSettings,
        lease_client: LeaseClient,
        alive: Callable[[], Sequence[str]],
        on_probe_result: Callable[[int, bool], None],
        rng: Random,
    ) -> None:
        """Creates the state machine of a process.

        Args:
            name: Name of this process.
            zone: Zone of this process.
            settings: Time spans and limits.
            lease_client: Acquires the servers' leases.
            alive: Gives the names of the other members that are alive.
            on_probe_result: Receives the results of other nodes' probes: a server, and whether it recovered.
            rng: Spreads the readmission of servers.
        """
        self.name = name
        self.zone = zone
        self.settings = settings
        self.lease_client = lease_client
        self.alive = alive
        self.on_probe_result = on_probe_result
        self.rng = rng
        self.ejected: dict[int, EjectedServer] = {}
        self.recovered: dict[int, RecoveredServer] = {}
        self.readmissions: dict[int, int] = {}  # when a server that another node found recovered is due
        self.unused_leases: list[int] = []  # servers whose leases are to be released
        self.history = AnnouncementHistory(settings.max_remembered_servers)
        self.zones: dict[str, str] = {}  # of members that have announced probes
        self.zone_digest = hashlib.blake2b(zone.encode(errors="surrogatepass"), digest_size=4).hexdigest()
        self.counts: Counter[str] = Counter()

    # ---- leases -----------------------------------------------------------------------------------------

    def lease_name(self, server: int) -> str:
        """Name of a server's lease. The zone's name may be as long as a lease's: its digest stands for it."""
        return f"{PROBE_PREFIX}{self.zone_digest}.{server:x}"

    def token(self, now: int, server: int) -> int | None:
        """Token of a server's lease, if this process holds it now."""
        return self.lease_client.held_token(now, self.lease_name(server))

    def is_acquiring(self, server: int) -> bool:
        """Whether this process holds a server's lease or tries to acquire it."""
        return self.lease_name(server) in self.lease_client.requests

    def release(self, now: int, server: int) -> list[OutgoingLeaseMessage]:
        """Releases a server's lease, or stops acquiring it."""
        return self.lease_client.release(now, self.lease_name(server))

    # ---- the policy's events and questions --------------------------------------------------------------

    def may_probe(self, now: int, server: int) -> bool:
        """Whether this node probes: it holds the lease, or no lease holder was announced for too long."""
        state = self.ejected.get(server)
        if state is None or self.token(now, server) is not None:
            return True
        request = self.lease_client.requests.get(self.lease_name(server))
        held_elsewhere_until = request.held_elsewhere_until if request is not None else 0
        holder_known_until = max(state.waiting_since, state.covered_until, held_elsewhere_until)
        is_alone = now >= holder_known_until + self.settings.patience
        if is_alone:
            self.counts["alone"] += 1
        return is_alone

    def server_ejected(self, now: int, server: int, wait: int) -> None:
        """The policy has ejected a server, or its probe has failed; its next probe is due in `wait`."""
        state = self.ejected.get(server)
        self.recovered.pop(server, None)
        self.readmissions.pop(server, None)
        if state is None:
            self.ejected[server] = EjectedServer(now, now + wait, self.history.valid_until(server))
            return
        state.probe_due_at = now + wait
        state.failure_unannounced = True

    def server_readmitted(self, now: int, server: int, recovered: bool) -> None:
        """The server is not ejected any more; `recovered`: because this node's own probe succeeded."""
        if self.ejected.pop(server, None) is None:
            return
        self.readmissions.pop(server, None)
        token = self.token(now, server)
        if recovered and token is not None:
            self.recovered[server] = RecoveredServer(token, self.settings.success_announcements, now)
            self.counts["found_well"] += 1
        else:
            self.unused_leases.append(server)

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """When `tick` is due; None if nothing is."""
        deadlines = [self.ejected_deadline(now, server, state) for server, state in self.ejected.items()]
        deadlines += [state.next_announcement_at for state in self.recovered.values()]
        deadlines += self.readmissions.values()
        deadlines += [now] if self.unused_leases else []
        return min((at for at in deadlines if at is not None), default=None)

    def ejected_deadline(self, now: int, server: int, state: EjectedServer) -> int | None:
        """When something is due for an ejected server."""
        token = self.token(now, server)
        if token is not None:
            is_unannounced = state.failure_unannounced or state.announced_token != token
            return now if is_unannounced else state.idle_at(self.settings.idle_timeout)
        is_acquiring = self.is_acquiring(server)
        if state.acquire_after() > now:
            return now if is_acquiring else state.acquire_after()
        return None if is_acquiring else now  # the lease client has a deadline of its own

    def tick(self, now: int) -> list[Outgoing]:
        """Does what is due: readmits servers, acquires and releases leases, announces probes."""
        self.readmit_due_servers(now)
        outgoing = self.release_unused_leases(now)
        announcements: Announcements = {kind: [] for kind in HealthCheckKind}
        for server, state in self.ejected.items():
            outgoing += self.update_ejected(now, server, state, announcements)
        for server, recovered in list(self.recovered.items()):
            outgoing += self.update_recovered(now, server, recovered, announcements)
        return outgoing + self.broadcast(announcements)

    def readmit_due_servers(self, now: int) -> None:
        """Has the policy readmit the servers that other nodes have found recovered."""
        for server in [server for server, at in self.readmissions.items() if at <= now]:
            del self.readmissions[server]
            self.counts["taken_back"] += 1
            self.on_probe_result(server, True)

    def release_unused_leases(self, now: int) -> list[Outgoing]:
        """Releases the leases of servers that are not ejected any more."""
        unused, self.unused_leases = self.unused_leases, []
        servers = [server for server in unused if server not in self.ejected]
        return [sent for server in servers for sent in self.release(now, server)]

    def update_ejected(
        self, now: int, server: int, state: EjectedServer, announcements: Announcements
    ) -> list[OutgoingLeaseMessage]:
        """Acquires the lease while no lease holder is known, and announces probes while it is held."""
        token = self.token(now, server)
        if token is None:
            return self.update_unleased(now, server, state)
        if state.failure_unannounced or state.announced_token != token:
            kind = HealthCheckKind.FAILED if state.failure_unannounced else HealthCheckKind.TRYING
            if state.announced_token != token:
                state.announced_token, state.announced_at = token, now
            state.failure_unannounced = False
            announcements[kind].append(ProbeAnnouncement(server, token, max(0, state.probe_due_at - now)))
        elif now >= state.idle_at(self.settings.idle_timeout):
            state.idle_until = now + self.settings.idle_pause
            self.counts["idle"] += 1
            return self.release(now, server)
        return []

    def update_unleased(self, now: int, server: int, state: EjectedServer) -> list[OutgoingLeaseMessage]:
        """Acquires a server's lease, or stops that while another node's announcement is valid."""
        state.failure_unannounced = False
        if state.acquire_after() <= now:
            self.lease_client.acquire(now, self.lease_name(server), self.settings.lease)
            return []
        return self.release(now, server) if self.is_acquiring(server) else []

    def update_recovered(
        self, now: int, server: int, state: RecoveredServer, announcements: Announcements
    ) -> list[OutgoingLeaseMessage]:
        """Announces a recovered server a few times, then releases its lease."""
        if now < state.next_announcement_at:
            return []
        # The lease is checked right before the announcement; the receivers check the token.
        if state.announcements_left == 0 or self.token(now, server) != state.token:
            del self.recovered[server]
            return self.release(now, server)
        state.announcements_left -= 1
        state.next_announcement_at = now + self.settings.success_interval
        announcements[HealthCheckKind.WELL].append(ProbeAnnouncement(server, state.token))
        return []

    # ---- messages ---------------------------------------------------------------------------------------

    def broadcast(self, announcements: Announcements) -> list[Outgoing]:
        """The announcements as messages to the members of the zone."""
        outgoing: list[Outgoing] = []
        for kind, probes in announcements.items():
            for start in range(0, len(probes), MAX_PROBES):
                batch = tuple(probes[start : start + MAX_PROBES])
                outgoing += self.to_zone(HealthCheckMessage(kind, self.name, self.zone, batch))
        return outgoing

    def to_zone(self, message: HealthCheckMessage) -> list[Outgoing]:
        """A message to the members of the zone, and to those whose zone is not known."""
        self.counts[f"said_{message.kind.name.lower()}"] += len(message.probes)
        members = [name for name in self.alive() if self.zones.get(name, self.zone) == self.zone]
        return [AddressedMessage(name, message) for name in members]

    def received(self, now: int, message: HealthCheckMessage) -> list[Outgoing]:
        """Handles the announcements of a lease holder. Nothing is answered."""
        self.zones[message.sender] = message.zone
        if message.zone == self.zone:
            for probe in message.probes:
                self.announcement_received(now, message.kind, probe)
        return []

    def announcement_received(self, now: int, kind: HealthCheckKind, probe: ProbeAnnouncement) -> None:
        """Handles one announcement; one by a former lease holder has no effect."""
        if probe.token < self.history.highest_token(probe.server):
            self.counts["old_token"] += 1
            return
        is_recovered = kind == HealthCheckKind.WELL
        valid_until = 0 if is_recovered else now + probe.wait + self.settings.announcement_slack
        self.history.record(probe, valid_until)
        state = self.ejected.get(probe.server)
        if state is None:
            return
        state.covered_until = valid_until
        if is_recovered:
            # Failure prevented: a server that has just recovered gets all nodes' requests at one instant.
            at = now + int(self.settings.readmission_spread * self.rng.random())
            self.readmissions.setdefault(probe.server, at)
            state.waiting_since = now
        elif kind == HealthCheckKind.FAILED:
            self.on_probe_result(probe.server, False)

    def forget(self, member: str) -> None:
        """Membership has dropped a member."""
        self.zones.pop(member, None)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """The key `probe` of `GET /fleet`: ejected servers, how many of them are probed here, counters."""
        return {
            "aside": len(self.ejected),
            "tries": sum(self.token(now, server) is not None for server in self.ejected),
            "told": sum(state.covered_until > now for state in self.ejected.values()),
            "counts": dict(self.counts),
        }
