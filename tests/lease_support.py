"""Settings, voters and messages shared by the tests of leases."""

from typing import Any

from balancer.fleet.leases.messages import LeaseKind, LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings, granted_duration
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
THREE_VOTERS = Electorate(("a", "b", "c"))
START = 100 * SEC
ABSTENTION_END = START + granted_duration(SETTINGS.max_lease)  # When a voter that started at START may vote.


def request_message(
    token: int,
    sender: str = "x",
    incarnation: int = 1,
    lease: str = "d",
    seq: int = 1,
    duration: int = SETTINGS.lease,
    of: Electorate = THREE_VOTERS,
) -> LeaseMessage:
    """Return a request of a client for a lease, addressed to the electorate `of`."""
    return LeaseMessage(LeaseKind.REQUEST, sender, incarnation, lease, seq, token, of.digest, duration)


def release_message(token: int, sender: str = "x", incarnation: int = 1, lease: str = "d") -> LeaseMessage:
    """Return a client's release of a lease."""
    return LeaseMessage(LeaseKind.RELEASE, sender, incarnation, lease, 1, token)


def voter_a(settings: LeaseSettings = SETTINGS, **more: Any) -> Voter:
    """Return voter a of the electorate of three, started at START."""
    return Voter("a", 1, [THREE_VOTERS], settings, START, **more)


def only_response(out: list[OutgoingLeaseMessage]) -> tuple[str, str, int]:
    """Return kind, reason and token of the only response."""
    ((_, message),) = out
    return message.kind.name, message.reason.name, message.token
