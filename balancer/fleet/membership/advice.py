"""Advice on servers: which of them enough members have ejected."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class EjectionReport:
    """One member's report that it has ejected a server, with the time of its arrival."""

    reporter: str
    received_at: int


@dataclass
class Advice:
    """Servers that members have ejected, heeded only from enough reporters and for a share of all servers.

    Failure prevented: one faulty peer makes everybody avoid a server, or all peers together make everybody
    avoid all servers while everything is slow at once.

    Attributes:
        quorum: Number of living reporters that a server's ejection requires.
        max_share: Share of the listed servers that may be ejected.
        validity: Microseconds for which a report counts.
        reports: The latest reports, by server and reporter.
    """

    quorum: int = 2
    max_share: float = 0.34
    validity: int = 10_000_000
    reports: dict[int, dict[str, EjectionReport]] = field(default_factory=dict)

    def report(self, now: int, reporter: str, server: int, ejected: bool) -> None:
        """Records a member's report on a server, in place of its earlier one."""
        reports = self.reports.setdefault(server, {})
        if ejected:
            reports[reporter] = EjectionReport(reporter, now)
        else:
            reports.pop(reporter, None)

    def drop(self, reporter: str) -> None:
        """Discards the reports of a member that is gone."""
        for reports in self.reports.values():
            reports.pop(reporter, None)

    def ejected(self, now: int, listed: Iterable[int], alive: Iterable[str]) -> list[int]:
        """Returns the listed servers that enough living members have ejected recently.

        Those with the largest number of reporters come first; the result is limited to `max_share`.
        """
        servers = sorted(set(listed))
        living = set(alive)
        found = []
        for server in servers:
            reports = self.reports.get(server, {})
            count = sum(
                r.reporter in living and now < r.received_at + self.validity for r in reports.values()
            )
            if count >= self.quorum:
                found.append((-count, server))
        return [server for _, server in sorted(found)][: int(self.max_share * len(servers))]
