"""Settings, messages and answers that tests of leases share."""

from balancer.fleet.leases.messages import LeaseKind, LeaseMessage
from balancer.fleet.leases.settings import Electorate, LeaseSettings, granted_duration
from balancer.fleet.leases.voter import Voter

SEC = 1_000_000
SETTINGS = LeaseSettings(lease=3 * SEC, max_lease=10 * SEC)
THREE = Electorate(("a", "b", "c"))
START = 100 * SEC
ABLE = START + granted_duration(SETTINGS.max_lease)  # when a voter that started at START votes


def request_message(token, sender="x", incarnation=1, lease="d", seq=1, duration=SETTINGS.lease, of=THREE):
    return LeaseMessage(LeaseKind.REQUEST, sender, incarnation, lease, seq, token, of.digest, duration)


def release_message(token, sender="x", incarnation=1, lease="d"):
    return LeaseMessage(LeaseKind.RELEASE, sender, incarnation, lease, 1, token)


def voter_a(settings=SETTINGS, **more):
    return Voter("a", 1, [THREE], settings, START, **more)


def only_answer(out):
    """Kind, reason and token of the one answer."""
    ((_, message),) = out
    return message.kind.name, message.reason.name, message.token
