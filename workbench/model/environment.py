"""Protocols by which the components of the model use each other.

`site.World` implements `Environment`. The components depend on this protocol alone, so that none of them
imports the complete model. Times are in microseconds, work is in core-microseconds of the reference core.
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
    """The state of a server that discovery and the referee read."""

    @property
    def id(self) -> int:
        """The server's number, unique over all tiers."""

    @property
    def tier(self) -> int:
        """The index of the server's tier."""

    @property
    def zone(self) -> int:
        """The number of the server's zone."""

    @property
    def cell(self) -> int:
        """The number of the server's cell."""

    @property
    def kind(self) -> int:
        """The index of the server's kind of machine in its tier."""

    @property
    def clock(self) -> Clock:
        """The model's clock."""

    @property
    def incarnation(self) -> int:
        """The number of starts and stops of the server's process."""

    @property
    def ready_at(self) -> int:
        """The start time of the server's process; 0 if it was running before the scenario began."""

    @property
    def up(self) -> bool:
        """Whether the server's process runs."""

    @property
    def silent(self) -> bool:
        """Whether the server's machine neither sends nor receives."""


class ServerDiscovery(Protocol):
    """The interface of discovery for servers and faults."""

    def server_started(self, server: ServerView) -> None:
        """Handle the start of a server's process."""

    def server_draining(self, server: ServerView) -> None:
        """Handle the start of a server's drain."""

    def server_stopped(self, server: ServerView) -> None:
        """Handle the end of a server's process."""

    def server_unreachable(self, server: ServerView) -> None:
        """Handle the loss of a server's machine, which neither sends nor receives any more."""

    def set_silent(self, is_silent: bool) -> None:
        """Stop or resume all responses of discovery."""


class ServerReferee(Protocol):
    """The interface of the referee for servers."""

    def cold_server_failed(self, server: ServerView, notified_share: float) -> None:
        """Handle the failure of a server that was overloaded during its warm-up.

        Args:
            server: The server that failed.
            notified_share: The share of the load from nodes that had been notified of the server's start.
        """


class Environment(Protocol):
    """The parts of the model that every component may use."""

    @property
    def scenario(self) -> Scenario:
        """The scenario that is simulated or emulated."""

    @property
    def clock(self) -> Clock:
        """The model's clock."""

    @property
    def streams(self) -> Streams:
        """The random streams, by name."""

    @property
    def begin_at(self) -> int:
        """The time at which the scenario begins."""

    @property
    def length(self) -> int:
        """The duration of the clients' arrivals."""

    @property
    def zones(self) -> int:
        """The number of zones."""

    @property
    def answer_slack(self) -> int:
        """The time after its deadline within which a final response may still be sent."""

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
    def shared_slowdown(self) -> float:
        """The factor by which faults slow down all servers."""

    @property
    def fall_time(self) -> int:
        """The window over which the load of a server is summed during its warm-up."""

    @property
    def fall_multiple(self) -> float:
        """The multiple of its current capacity that a warming server can receive within `fall_time`."""

    @property
    def network(self) -> Network:
        """The network between zones."""

    @property
    def front(self) -> Front:
        """The front, which distributes clients' requests over nodes."""

    @property
    def accounts(self) -> Accounts:
        """The accounts of requests and their value."""

    @property
    def trace_log(self) -> TraceLog | None:
        """The traces of requests that lost value; None if the run is not traced."""

    @property
    def discovery(self) -> ServerDiscovery:
        """The discovery service."""

    @property
    def referee(self) -> ServerReferee:
        """The referee, which counts rule violations."""

    def call_count(self, tier: int, key: int) -> int:
        """Return the number of calls that a server makes to the next tier for one call, drawn by its key."""

    def call(self, root: Request, key: int, tier: int, until: int, caller: Caller) -> Call:
        """Return a new call."""

    def is_notified_of_start(self, attempt: Attempt, server: ServerView) -> bool:
        """Return whether the node that sent an attempt had been notified of the server's last start."""

    def trace(self, request: Request, actor: str, step: str) -> None:
        """Report a step of a request if it is the followed request."""
