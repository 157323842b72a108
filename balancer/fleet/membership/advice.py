"""Advice on servers: which of them members have ejected, and whose word counts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass
class Fact:
    """What one member says of a server: advice, with its age."""

    reporter: str
    at: int


@dataclass
class Advice:
    """Servers that members have ejected. Believed only from enough reporters, and never of too many
    servers.

    Failure prevented: one lying or mistaken peer takes a server away from everybody, or all peers together
    take away all servers while everything is slow at once.
    """

    quorum: int = 2
    max_share: float = 0.34
    fresh: int = 10_000_000
    facts: dict[int, dict[str, Fact]] = field(default_factory=dict)

    def report(self, now: int, reporter: str, server: int, ejected: bool) -> None:
        """Records a member's report on a server; its latest holds."""
        reports = self.facts.setdefault(server, {})
        if ejected:
            reports[reporter] = Fact(reporter, now)
        else:
            reports.pop(reporter, None)

    def drop(self, reporter: str) -> None:
        """Discards the reports of a member that is gone."""
        for reports in self.facts.values():
            reports.pop(reporter, None)

    def ejected(self, now: int, listed: Iterable[int], alive: Iterable[str]) -> list[int]:
        """Of the servers that the own list names, those that enough living members have ejected lately;
        those with most reporters first, up to the share."""
        servers = sorted(set(listed))
        living = set(alive)
        found = []
        for server in servers:
            reports = self.facts.get(server, {})
            count = sum(f.reporter in living and now < f.at + self.fresh for f in reports.values())
            if count >= self.quorum:
                found.append((-count, server))
        return [server for _, server in sorted(found)][: int(self.max_share * len(servers))]
