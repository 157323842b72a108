"""Tests of load shedding by tenant and by class."""

from support import SAFE_CLASS, SEC, balancer, end_attempt, submit_request

from balancer.policy.interface import ClassSettings, Effect, Outcome, TenantSettings


def served_shares(shed_ratio: float, sent: tuple[int, ...]) -> list[float]:
    """Return the share of served requests by tenant.

    Args:
        shed_ratio: The share of clear excess that is shed.
        sent: The requests of each tenant, as a multiple of its part of the quota, 10 requests a second.
    """
    tenants = tuple(TenantSettings(quota=10 * 50) for _ in sent)
    node, rec = balancer(8, tenants=tenants, instances=50)
    served = [0] * len(sent)
    for i in range(600):
        node.load_shedder.shed_ratio = shed_ratio
        for tenant, count in enumerate(sent):
            for j in range(count):
                request = i * 1000 + tenant * 100 + j
                node.request(i * 100_000, request, 0, tenant, 3 * SEC, False)
                (action,) = rec.take("send", "reject")
                if action[0] == "send":
                    served[tenant] += 1
                    end_attempt(node, rec, i * 100_000, request, 0, action[2], Outcome.OK, 10_000)
    return [n / (600 * count) for n, count in zip(served, sent, strict=True)]


def test_tenant_over_quota_is_shed_while_fleet_is_overloaded() -> None:
    """One tenant's excess would take capacity from the others without any instance reaching its limit."""
    excessive, *others = served_shares(1.0, (3, 1, 1))
    assert excessive < 0.45 and min(others) > 0.95
    assert min(served_shares(0.0, (3, 1, 1))) > 0.95


def test_instance_with_excess_traffic_sheds_no_tenant() -> None:
    """If a node gets more than its part of the traffic, all tenants exceed the node's part of their quota."""
    assert min(served_shares(1.0, (9, 10, 9))) > 0.85


def test_class_of_lesser_worth_is_rejected_first() -> None:
    valuable = ClassSettings(Effect.NOT_IDEMPOTENT, latency_objective=SEC, deadline=3 * SEC, worth=10)
    node, rec = balancer(8, classes=(SAFE_CLASS, valuable))
    answers = [submit_request(node, rec, 0, i)[0] for i in range(46)]
    assert answers[-1] == "reject"
    assert submit_request(node, rec, 0, 99, 1)[0] == "send"
