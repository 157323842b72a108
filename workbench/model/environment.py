"""Protocols of the model as a whole, and of servers, for its parts.

`site.World` implements `Environment`. The parts depend on this protocol alone, so that none imports the
whole. Times are in microseconds, work is in core-microseconds of the reference core.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

from balancer.policy.interface import ClassSettings
from workbench.model.accounts import Accounts
from workbench.model.call import Attempt, Call, Caller, Request
from workbench.model.clock import Clock
from workbench.model.front import Front
from workbench.model.network import Network
from workbench.model.streams import Streams
from workbench.model.trace import TraceLog
from workbench.scenario.model import Scenario


class ServerView(Protocol):
    """What discovery and the referee see of a server."""

    @property
    def id(self) -> int:
        """Its number, unique over all tiers."""

    @property
    def tier(self) -> int:
        """Its tier."""

    @property
    def zone(self) -> int:
        """Its zone."""

    @property
    def cell(self) -> int:
        """Its cell."""

    @property
    def kind(self) -> int:
        """Its kind of machine."""

    @property
    def clock(self) -> Clock:
        """The model's clock."""

    @property
    def incarnation(self) -> int:
        """How often its process has been started or stopped."""

    @property
    def ready_at(self) -> int:
        """When its process started; 0 for long ago."""

    @property
    def up(self) -> bool:
        """Whether its process runs."""

    @property
    def silent(self) -> bool:
        """Whether its machine neither sends nor receives."""


class ServerDiscovery(Protocol):
    """What servers and faults report to discovery."""

    def server_started(self, server: ServerView) -> None:
        """A server has started."""

    def server_draining(self, server: ServerView) -> None:
        """A server drains."""

    def server_stopped(self, server: ServerView) -> None:
        """A server's process has ended."""

    def server_unreachable(self, server: ServerView) -> None:
        """A server's machine neither sends nor receives any more."""

    def set_silent(self, on: bool) -> None:
        """Discovery itself stops answering, or answers again."""


class ServerReferee(Protocol):
    """What servers report to the referee."""

    def cold_server_failed(self, server: ServerView, notified_share: float) -> None:
        """A server that was warming up was overloaded."""


class Environment(Protocol):
    """What every part of the model may use of the others."""

    @property
    def day(self) -> Scenario:
        """The scenario that is played."""

    @property
    def clock(self) -> Clock:
        """The model's clock."""

    @property
    def streams(self) -> Streams:
        """The random streams, by name."""

    @property
    def begin(self) -> int:
        """When the scenario begins, by the clock."""

    @property
    def length(self) -> int:
        """How long clients send."""

    @property
    def zones(self) -> int:
        """The number of zones."""

    @property
    def slack(self) -> int:
        """How long after its deadline a final response may be sent."""

    @property
    def classes(self) -> Sequence[ClassSettings]:
        """The request classes."""

    @property
    def work_table(self) -> Sequence[Any]:
        """The mean work of a call, by tier and class."""

    @property
    def mean_work(self) -> Sequence[float]:
        """The mean work of a call, by tier."""

    @property
    def shared_slow(self) -> float:
        """How many times as long all servers take, by a fault that they share."""

    @property
    def fall_time(self) -> int:
        """The window in which the load of a server that warms up is measured."""

    @property
    def fall_multiple(self) -> float:
        """How many times its capacity a server that warms up can receive in that window."""

    @property
    def network(self) -> Network:
        """The network between zones."""

    @property
    def front(self) -> Front:
        """The front, which distributes clients' requests over nodes."""

    @property
    def accounts(self) -> Accounts:
        """The accounts of value."""

    @property
    def trace_log(self) -> TraceLog | None:
        """The traces of lost requests, if the run is traced."""

    @property
    def discovery(self) -> ServerDiscovery:
        """Discovery, as servers and faults see it."""

    @property
    def referee(self) -> ServerReferee:
        """The referee, as servers see it."""

    def calls(self, tier: int, key: int) -> int:
        """Returns how many calls a server makes to the next tier for a call."""

    def call(self, root: Request, key: int, tier: int, until: int, caller: Caller) -> Call:
        """Returns a new call."""

    def knows_start(self, attempt: Attempt, server: ServerView) -> bool:
        """Returns whether the node that sent an attempt was notified of the server's last start."""

    def trace(self, request: Request, who: str, what: str) -> None:
        """Reports a step of a request that is being traced."""
