"""Aggregation of the members' reports about the servers that they have ejected."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class EjectionReport:
    """One member's report that it has ejected a server, with its time of arrival in microseconds."""

    reporter: str
    received_at: int


@dataclass
class EjectionAdvice:
    """Servers that several members have ejected, limited to a share of the listed servers.

    The quorum of reporters keeps one faulty member from making all others avoid a server. The limit keeps
    most servers in use when all members eject all servers at once because everything is slow.

    Attributes:
        quorum: Number of living reporters that are required before a server counts as ejected.
        max_share: Maximum share of the listed servers that count as ejected.
        validity_us: Time in microseconds after which a report expires.
        reports: The latest report of each member that has ejected a server, by server and reporter.
    """

    quorum: int = 2
    max_share: float = 0.34
    validity_us: int = 10_000_000
    reports: dict[int, dict[str, EjectionReport]] = field(default_factory=dict)

    def report(self, now: int, reporter: str, server: int, ejected: bool) -> None:
        """Record whether a member has ejected a server, replacing its earlier report on that server."""
        reports = self.reports.setdefault(server, {})
        if ejected:
            reports[reporter] = EjectionReport(reporter, now)
        else:
            reports.pop(reporter, None)

    def remove_reporter(self, reporter: str) -> None:
        """Remove all reports of a member that is dead or has left."""
        for reports in self.reports.values():
            reports.pop(reporter, None)

    def ejected(self, now: int, listed: Iterable[int], alive: Iterable[str]) -> list[int]:
        """Return the listed servers for which a quorum of living members has unexpired reports.

        Servers with the most reporters come first. The result is limited to `max_share` of the listed
        servers.
        """
        servers = sorted(set(listed))
        living_reporters = set(alive)
        ranked_servers = []
        for server in servers:
            reports = self.reports.get(server, {})
            count = sum(
                r.reporter in living_reporters and now < r.received_at + self.validity_us
                for r in reports.values()
            )
            if count >= self.quorum:
                ranked_servers.append((-count, server))
        return [server for _, server in sorted(ranked_servers)][: int(self.max_share * len(servers))]
