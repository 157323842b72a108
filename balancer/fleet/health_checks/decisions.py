"""The state machine of shared health checks, which decides which node of a zone probes an ejected server.

Each ejected server has a lease in its zone. The lease holder probes the server with real requests, as its
policy decides, and announces the probes; the other nodes that have ejected the same server do not probe it.
An announcement is valid until the probe that it announces is overdue. A node that knows neither a valid
announcement nor a lease holder for the holder timeout, for example because no majority of voters grants the
lease, probes the server independently.

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
    MAX_PROBES_PER_MESSAGE,
    HealthCheckKind,
    HealthCheckMessage,
    ProbeAnnouncement,
)
from balancer.fleet.health_checks.servers import AnnouncementHistory, EjectedServer, RecoveredServer
from balancer.fleet.health_checks.settings import HealthCheckSettings
from balancer.fleet.leases.client import LeaseClient
from balancer.fleet.leases.messages import OutgoingLeaseMessage
from balancer.fleet.leases.names import PROBE_LEASE_PREFIX

Announcements = dict[HealthCheckKind, list[ProbeAnnouncement]]


class HealthChecks:
    """One process's share of the health checks in its zone."""

    def __init__(
        self,
        name: str,
        zone: str,
        settings: HealthCheckSettings,
        lease_client: LeaseClient,
        alive_members: Callable[[], Sequence[str]],
        on_probe_result: Callable[[int, bool], None],
        rng: Random,
    ) -> None:
        """Create the state machine of a process.

        Args:
            name: Name of this process.
            zone: Zone of this process.
            settings: Durations and limits of health checks.
            lease_client: Acquires the leases of servers.
            alive_members: Returns the names of the other members that are alive.
            on_probe_result: Called with the results of other nodes' probes: the server, and whether it has
                recovered.
            rng: Random numbers that spread the readmission of servers over time.
        """
        self.name = name
        self.zone = zone
        self.settings = settings
        self.lease_client = lease_client
        self.alive_members = alive_members
        self.on_probe_result = on_probe_result
        self.rng = rng
        self.ejected: dict[int, EjectedServer] = {}
        self.recovered: dict[int, RecoveredServer] = {}
        self.readmissions: dict[int, int] = {}  # Time of readmission, by server.
        self.unused_leases: list[int] = []  # Servers whose leases are released by the next tick.
        self.history = AnnouncementHistory(settings.max_remembered_servers)
        self.zones: dict[str, str] = {}  # Zones of the members that have announced probes.
        self.zone_digest = hashlib.blake2b(zone.encode(errors="surrogatepass"), digest_size=4).hexdigest()
        self.counts: Counter[str] = Counter()

    # ---- Leases of servers ------------------------------------------------------------------------------

    def lease_name(self, server: int) -> str:
        """Return the lease name of a server.

        The lease name contains a digest of the zone's name instead of the zone's name, which may be too long.
        """
        return f"{PROBE_LEASE_PREFIX}{self.zone_digest}.{server:x}"

    def token(self, now: int, server: int) -> int | None:
        """Return the token of a server's lease if this process holds it now, otherwise None."""
        return self.lease_client.held_token(now, self.lease_name(server))

    def is_acquiring(self, server: int) -> bool:
        """Return whether this process holds a server's lease or tries to acquire it."""
        return self.lease_name(server) in self.lease_client.requests

    def release(self, now: int, server: int) -> list[OutgoingLeaseMessage]:
        """Release a server's lease, or stop acquiring it."""
        return self.lease_client.release(now, self.lease_name(server))

    # ---- Calls by the policy ----------------------------------------------------------------------------

    def may_probe(self, now: int, server: int) -> bool:
        """Return whether this node may probe a server.

        The node may probe if it holds the server's lease, if the server is not ejected on this node, or if it
        has not known of a lease holder for the holder timeout.
        """
        state = self.ejected.get(server)
        if state is None or self.token(now, server) is not None:
            return True
        request = self.lease_client.requests.get(self.lease_name(server))
        held_elsewhere_until = request.held_elsewhere_until if request is not None else 0
        holder_known_until = max(state.waiting_since, state.announced_until, held_elsewhere_until)
        is_alone = now >= holder_known_until + self.settings.holder_timeout
        if is_alone:
            self.counts["alone"] += 1
        return is_alone

    def server_ejected(self, now: int, server: int, wait: int) -> None:
        """Record that the policy has ejected a server or its probe has failed.

        Args:
            now: The current time.
            server: Number of the server.
            wait: Microseconds until the next probe is due.
        """
        state = self.ejected.get(server)
        self.recovered.pop(server, None)
        self.readmissions.pop(server, None)
        if state is None:
            self.ejected[server] = EjectedServer(now, now + wait, self.history.valid_until(server))
            return
        state.probe_due_at = now + wait
        state.failure_unannounced = True

    def server_readmitted(self, now: int, server: int, recovered: bool) -> None:
        """Record that a server is not ejected any more.

        Args:
            now: The current time.
            server: Number of the server.
            recovered: Whether this node's own probe has succeeded.
        """
        if self.ejected.pop(server, None) is None:
            return
        self.readmissions.pop(server, None)
        token = self.token(now, server)
        if recovered and token is not None:
            self.recovered[server] = RecoveredServer(token, self.settings.success_announcements, now)
            self.counts["found_well"] += 1
        else:
            self.unused_leases.append(server)

    # ---- Timers -----------------------------------------------------------------------------------------

    def deadline(self, now: int) -> int | None:
        """Return when `tick` is due, or None if nothing is due."""
        deadlines = [self.ejected_deadline(now, server, state) for server, state in self.ejected.items()]
        deadlines += [state.next_announcement_at for state in self.recovered.values()]
        deadlines += self.readmissions.values()
        deadlines += [now] if self.unused_leases else []
        return min((at for at in deadlines if at is not None), default=None)

    def ejected_deadline(self, now: int, server: int, state: EjectedServer) -> int | None:
        """Return when the next action for an ejected server is due, or None if none is due."""
        token = self.token(now, server)
        if token is not None:
            is_unannounced = state.failure_unannounced or state.announced_token != token
            return now if is_unannounced else state.idle_at(self.settings.idle_timeout)
        is_acquiring = self.is_acquiring(server)
        if state.acquire_after() > now:
            return now if is_acquiring else state.acquire_after()
        return None if is_acquiring else now  # While acquiring, the lease client has its own deadline.

    def tick(self, now: int) -> list[Outgoing]:
        """Readmit servers, acquire and release leases, and announce probes, as far as they are due."""
        self.readmit_due_servers(now)
        outgoing = self.release_unused_leases(now)
        announcements: Announcements = {kind: [] for kind in HealthCheckKind}
        for server, state in self.ejected.items():
            outgoing += self.update_ejected(now, server, state, announcements)
        for server, recovered in list(self.recovered.items()):
            outgoing += self.update_recovered(now, server, recovered, announcements)
        return outgoing + self.broadcast(announcements)

    def readmit_due_servers(self, now: int) -> None:
        """Let the policy readmit the servers whose recovery other nodes have announced."""
        for server in [server for server, at in self.readmissions.items() if at <= now]:
            del self.readmissions[server]
            self.counts["taken_back"] += 1
            self.on_probe_result(server, True)

    def release_unused_leases(self, now: int) -> list[Outgoing]:
        """Release the leases of servers that are not ejected any more."""
        unused, self.unused_leases = self.unused_leases, []
        servers = [server for server in unused if server not in self.ejected]
        return [sent for server in servers for sent in self.release(now, server)]

    def update_ejected(
        self, now: int, server: int, state: EjectedServer, announcements: Announcements
    ) -> list[OutgoingLeaseMessage]:
        """Acquire an ejected server's lease if no holder is known; announce probes while holding the lease.

        The lease is released if this node has had no requests to probe the server with for too long.
        """
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
        """Acquire a server's lease, or stop acquiring it while another node's announcement is valid."""
        state.failure_unannounced = False
        if state.acquire_after() <= now:
            self.lease_client.acquire(now, self.lease_name(server), self.settings.lease)
            return []
        return self.release(now, server) if self.is_acquiring(server) else []

    def update_recovered(
        self, now: int, server: int, state: RecoveredServer, announcements: Announcements
    ) -> list[OutgoingLeaseMessage]:
        """Announce a recovered server a few times, then release its lease."""
        if now < state.next_announcement_at:
            return []
        # The lease is checked immediately before the announcement, and the receivers check the token.
        if state.announcements_left == 0 or self.token(now, server) != state.token:
            del self.recovered[server]
            return self.release(now, server)
        state.announcements_left -= 1
        state.next_announcement_at = now + self.settings.success_interval
        announcements[HealthCheckKind.WELL].append(ProbeAnnouncement(server, state.token))
        return []

    # ---- Messages ---------------------------------------------------------------------------------------

    def broadcast(self, announcements: Announcements) -> list[Outgoing]:
        """Return messages with the announcements to the members of the zone."""
        outgoing: list[Outgoing] = []
        for kind, probes in announcements.items():
            for start in range(0, len(probes), MAX_PROBES_PER_MESSAGE):
                batch = tuple(probes[start : start + MAX_PROBES_PER_MESSAGE])
                outgoing += self.zone_messages(HealthCheckMessage(kind, self.name, self.zone, batch))
        return outgoing

    def zone_messages(self, message: HealthCheckMessage) -> list[Outgoing]:
        """Address a message to the members of the zone and to those whose zone is unknown."""
        self.counts[f"said_{message.kind.name.lower()}"] += len(message.probes)
        members = [name for name in self.alive_members() if self.zones.get(name, self.zone) == self.zone]
        return [AddressedMessage(name, message) for name in members]

    def received(self, now: int, message: HealthCheckMessage) -> list[Outgoing]:
        """Handle the announcements of a lease holder, which are not answered."""
        self.zones[message.sender] = message.zone
        if message.zone == self.zone:
            for probe in message.probes:
                self.announcement_received(now, message.kind, probe)
        return []

    def announcement_received(self, now: int, kind: HealthCheckKind, probe: ProbeAnnouncement) -> None:
        """Handle one announcement, unless its token shows that it is by a former lease holder."""
        if probe.token < self.history.highest_token(probe.server):
            self.counts["old_token"] += 1
            return
        is_recovered = kind == HealthCheckKind.WELL
        valid_until = 0 if is_recovered else now + probe.wait + self.settings.announcement_slack
        self.history.record(probe, valid_until)
        state = self.ejected.get(probe.server)
        if state is None:
            return
        state.announced_until = valid_until
        if is_recovered:
            # Readmissions are spread so that a recovered server does not get requests of all nodes at once.
            at = now + int(self.settings.readmission_spread * self.rng.random())
            self.readmissions.setdefault(probe.server, at)
            state.waiting_since = now
        elif kind == HealthCheckKind.FAILED:
            self.on_probe_result(probe.server, False)

    def forget(self, member: str) -> None:
        """Drop the zone of a member that membership has forgotten."""
        self.zones.pop(member, None)

    # ---- Status for operators ---------------------------------------------------------------------------

    def view(self, now: int) -> dict[str, Any]:
        """Return the key `probe` of `GET /fleet`: numbers of ejected and probed servers, and counters."""
        return {
            "aside": len(self.ejected),
            "tries": sum(self.token(now, server) is not None for server in self.ejected),
            "told": sum(state.announced_until > now for state in self.ejected.values()),
            "counts": dict(self.counts),
        }
