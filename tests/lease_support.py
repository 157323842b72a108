"""Settings, messages and answers that tests of leases share."""

from typing import Any

from balancer.fleet.leases.messages import LeaseKind, LeaseMessage, OutgoingLeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings, granted_duration
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
THREE_VOTERS = Electorate(("a", "b", "c"))
START = 100 * SEC
ABSTENTION_END = START + granted_duration(SETTINGS.max_lease)  # when a voter that started at START votes


def request_message(
    token: int,
    sender: str = "x",
    incarnation: int = 1,
    lease: str = "d",
    seq: int = 1,
    duration: int = SETTINGS.lease,
    of: Electorate = THREE_VOTERS,
) -> LeaseMessage:
    return LeaseMessage(LeaseKind.REQUEST, sender, incarnation, lease, seq, token, of.digest, duration)


def release_message(token: int, sender: str = "x", incarnation: int = 1, lease: str = "d") -> LeaseMessage:
    return LeaseMessage(LeaseKind.RELEASE, sender, incarnation, lease, 1, token)


def voter_a(settings: LeaseSettings = SETTINGS, **more: Any) -> Voter:
    return Voter("a", 1, [THREE_VOTERS], settings, START, **more)


def only_answer(out: list[OutgoingLeaseMessage]) -> tuple[str, str, int]:
    """Kind, reason and token of the one answer."""
    ((_, message),) = out
    return message.kind.name, message.reason.name, message.token
