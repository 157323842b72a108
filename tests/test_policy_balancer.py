"""Tests of the Balancer: requests of each effect from admission to the final answer."""

import pytest
from support import (
    BASE_SETTINGS,
    KEYED_CLASS,
    SAFE_CLASS,
    SEC,
    UNSAFE_CLASS,
    balancer,
    end_attempt,
    submit_request,
)

from balancer.policy.interface import (
    NEVER_RAN,
    ClassSettings,
    Effect,
    ListKind,
    Outcome,
    ServerEntry,
    Settings,
    State,
)

MAY_HAVE_RUN = [o for o in Outcome if o not in NEVER_RAN and o != Outcome.OK]


def test_request_at_limit_is_rejected_with_retry_after():
    node, rec = balancer(1)
    limit = int(node.controller.allowed())
    answers = [submit_request(node, rec, 0, i)[0] for i in range(limit + 1)]
    assert answers == ["send"] * limit + ["reject"]
    node.request(0, 99, 0, 0, 3 * SEC, False)
    ((_, request, retry_after),) = rec.take()
    assert request == 99 and 0 < retry_after <= 2 * SEC
    assert node.stats()["rq_blocked"] == 2


@pytest.mark.parametrize("outcome", sorted(NEVER_RAN))
@pytest.mark.parametrize("request_class", [0, 1, 2])
def test_an_attempt_that_never_ran_is_retried(outcome, request_class):
    node, rec = balancer()
    _, _, server, _ = submit_request(node, rec, 0, 1, request_class)
    ((action, *_),) = end_attempt(node, rec, 1000, 1, 0, server, outcome)
    assert action == "send"


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_non_idempotent_request_that_may_have_run_fails(outcome):
    node, rec = balancer()
    _, _, server, _ = submit_request(node, rec, 0, 1, 2)
    assert end_attempt(node, rec, 1000, 1, 0, server, outcome) == [("fail", 1)]


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_idempotent_request_is_rejected_after_max_attempts(outcome):
    node, rec = balancer(max_attempts=2)
    _, _, server, _ = submit_request(node, rec, 0, 1, 0)
    ((action, _, other, _),) = end_attempt(node, rec, 1000, 1, 0, server, outcome)
    assert action == "send"
    ((action, *_),) = end_attempt(node, rec, 2000, 1, 1, other, outcome)
    assert action == "reject"


def test_retries_are_limited_by_the_retry_budget():
    """Retries multiply through tiers, so a subset that fails all requests gets few retries."""
    node, rec = balancer(4)
    sends = 0
    for i in range(100):
        actions = [submit_request(node, rec, i * 1000, i)]
        attempt = 0
        while actions and actions[0][0] == "send":
            sends += 1
            actions = end_attempt(node, rec, i * 1000 + 500, i, attempt, actions[0][2], Outcome.ERROR)
            attempt += 1
    assert 100 < sends <= 100 + 100 * 0.1 + 4


def test_timeout_at_the_deadline_gets_the_final_answer():
    for request_class, answer in ((0, "reject"), (1, "fail"), (2, "fail")):
        node, rec = balancer(max_attempts=1)
        _, _, server, timeout = submit_request(node, rec, 0, 1, request_class)
        assert timeout == 3 * SEC
        ((action, *_),) = end_attempt(node, rec, timeout, 1, 0, server, Outcome.TIMEOUT, timeout)
        assert action == answer
        assert not node.lifecycle.requests


def test_slow_attempt_on_overloaded_member_is_not_aborted():
    """If all instances aborted half-done attempts under overload, their work would be done again."""
    for seed in range(7):
        node, rec = balancer(seed=seed, instances=7)
        node.mean_rtt[:] = [SEC // 4] * 3
        for request_class in (0, 1):
            _, _, _, timeout = submit_request(node, rec, 0, request_class, request_class)
            # A response after seven mean round-trips still arrives in time.
            assert 1_900_000 < timeout < 3 * SEC


def test_stalled_attempt_leaves_time_for_another():
    """A response that stalls on an open connection must not use up all the time of the request."""
    for request_class in (0, 1):
        node, rec = balancer()
        node.mean_rtt[:] = [SEC // 10] * 3
        _, _, first, timeout = submit_request(node, rec, 0, 1, request_class)
        assert timeout == 3 * SEC // 2
        ((_, _, second, rest),) = end_attempt(node, rec, timeout, 1, 0, first, Outcome.TIMEOUT, timeout)
        assert second != first and rest == 3 * SEC - timeout


def test_attempt_without_a_successor_gets_all_remaining_time():
    node, rec = balancer()
    # A request that is not idempotent cannot be retried after a timeout.
    assert submit_request(node, rec, 0, 1, 2)[3] == 3 * SEC
    # The retry budget is used up.
    node.lifecycle.retry_budget.tokens = 0.0
    assert submit_request(node, rec, 0, 2)[3] == 3 * SEC
    # Eight mean round-trips are more than half the remaining time.
    node.lifecycle.retry_budget.tokens = 3.0
    node.mean_rtt[0] = 350_000.0
    assert submit_request(node, rec, 0, 3)[3] == 2_800_000


def test_class_without_late_worth_times_out_by_its_objective():
    """A late response of this class is worth nothing, so waiting for it would waste capacity."""
    request_class = ClassSettings(Effect.IDEMPOTENT, latency_objective=SEC, deadline=3 * SEC, worth=1)
    node, rec = balancer(classes=(request_class,))
    assert submit_request(node, rec, 0, 1)[3] < SEC


def test_no_available_server_rejects_at_once():
    for request_class in (0, 1, 2):
        node, rec = balancer(0)
        assert submit_request(node, rec, 0, 1, request_class)[0] == "reject"


def test_draining_or_removed_server_gets_no_new_attempts():
    for state in (State.DRAINING, State.GONE):
        node, rec = balancer(4)
        node.server_list(10, ListKind.CHANGES, [ServerEntry(2, state)])
        rec.take()
        servers = set()
        for i in range(5):
            servers.add(submit_request(node, rec, 20, i, 2)[2])
        for i in range(100, 160):
            server = submit_request(node, rec, i, i, 2)[2]
            servers.add(server)
            end_attempt(node, rec, i, i, 0, server, Outcome.OK)
        assert servers == {1, 3, 4}


def test_full_list_removes_unlisted_servers():
    node, rec = balancer(4)
    node.server_list(10, ListKind.FULL, [ServerEntry(1), ServerEntry(1, zone=3), ServerEntry(4)])
    assert sorted(m.id for m in node.subset.members) == [1, 4]
    assert node.servers[1].zone == 3
    node.server_list(10, ListKind.FAILED, [])
    assert len(node.subset.members) == 2


def test_lower_tier_queues_at_the_limit_instead_of_rejecting():
    """A rejection below the first tier wastes the work that the tiers above have already done."""
    node, rec = balancer(1, tier=1, tiers=2)
    sent = []
    for i in range(7):
        node.request(0, i, 0, 0, 3 * SEC, False)
        sent += rec.take("send", "reject")
    assert [a[0] for a in sent] == ["send"] * 6
    ((action, request, *_),) = end_attempt(node, rec, 1000, 0, 0, 1, Outcome.OK)
    assert (action, request) == ("send", 6)
    node.request(2000, 9, 0, 0, 3 * SEC, False)
    ((_, delay, token),) = rec.take()
    node.timer(2000 + delay, token)
    assert rec.take()[0][:2] == ("reject", 9)


def test_client_disconnect_cancels_without_answer():
    node, rec = balancer()
    _, _, server, _ = submit_request(node, rec, 0, 1)
    node.client_disconnected(10, 1)
    assert rec.take() == [("cancel", 1, 0)]
    assert end_attempt(node, rec, 20, 1, 0, server, Outcome.CANCELLED) == []
    assert node.controller.in_flight == 0
    node, rec = balancer(cancel=False)
    submit_request(node, rec, 0, 1)
    node.client_disconnected(10, 1)
    assert rec.take() == []


def test_started_stream_is_not_retried():
    node, rec = balancer()
    _, _, server, _ = submit_request(node, rec, 0, 1)
    node.response_started(10, 1, 0, server, 10)
    assert end_attempt(node, rec, 20, 1, 0, server, Outcome.RESET) == [("fail", 1)]


def test_events_with_unknown_ids_are_ignored():
    node, rec = balancer()
    node.client_disconnected(0, 5)
    node.outcome(0, 5, 0, 77, Outcome.OK, 1, True, ())
    node.response_started(0, 5, 0, 1, 1)
    node.timer(0, 123)
    node.timer(0, 2 << 56 | 5)
    node.health_checked(0, 1, True, 5, ())
    node.peer_message(0, 1, b"x")
    _, _, server, _ = submit_request(node, rec, 0, 1)
    end_attempt(node, rec, 1, 1, 0, server, Outcome.OK)
    assert end_attempt(node, rec, 2, 1, 0, server, Outcome.OK) == []
    assert node.controller.in_flight == 0


def test_polled_list_is_retried_with_backoff():
    node, rec = balancer(list_on_request=True, max_list_poll_interval=10 * SEC)
    node.start(0)
    assert rec.take("watch") == [("watch", True)]
    delays = []
    for _ in range(6):
        node.server_list(0, ListKind.FAILED, [])
        ((_, delay, token),) = rec.take("set_timer")
        delays.append(delay)
        node.timer(delay, token)
        assert rec.take("watch") == [("watch", True)]
    assert max(delays) < 5 * SEC and delays[-1] > delays[0]


@pytest.mark.parametrize(
    ("field", "key"),
    [
        ("classes", "classes"),
        ("instances", "instances"),
        ("max_attempts", "max_attempts"),
        ("tick", "tick"),
        ("slow_start_share", "cold_share"),
        ("tier", "tier"),
    ],
)
def test_invalid_settings_name_their_key(field, key):
    values = {f: getattr(BASE_SETTINGS, f) for f in BASE_SETTINGS.__dataclass_fields__}
    values[field] = () if field == "classes" else -1
    with pytest.raises(ValueError, match=key):
        Settings(**values)
    with pytest.raises(ValueError, match="aim"):
        Settings(classes=(ClassSettings(Effect.IDEMPOTENT, latency_objective=0, deadline=1, worth=1),))


def test_support_classes_cover_each_effect():
    assert [c.effect for c in (SAFE_CLASS, KEYED_CLASS, UNSAFE_CLASS)] == list(Effect)


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.RESET])
def test_failed_attempts_add_no_sample(outcome):
    """One member in four fails quickly while the others respond well: the limit must not fall for all."""
    node, rec = balancer(4)
    node.controller.end_recalculation(0)
    node.controller.limit = node.controller.sustained_in_flight = 40.0
    now = 0
    for i in range(400):
        now += 10_000
        _, _, server, _ = submit_request(node, rec, now, i, 2)
        end_attempt(node, rec, now + 5_000, i, 0, server, outcome if i % 4 == 0 else Outcome.OK)
    assert node.controller.sample_rtt < 1 and node.controller.limit >= 12


def test_timeout_adds_a_sample_of_its_duration():
    node, rec = balancer(4)
    node.controller.end_recalculation(0)
    _, _, server, timeout = submit_request(node, rec, 0, 1, 2)
    end_attempt(node, rec, timeout, 1, 0, server, Outcome.TIMEOUT, timeout)
    assert node.controller.sample_rtt == pytest.approx(timeout / node.controller.target[2])


def test_slow_member_adds_no_samples_to_the_limit():
    node, rec = balancer(4)
    node.controller.end_recalculation(0)
    node.servers[1].deviation.value = 3.0
    counts = []
    for i, server in enumerate((1, 2)):
        while submit_request(node, rec, 1000, 100 * server + i, 2)[2] != server:
            i += 1
        end_attempt(node, rec, 1000, 100 * server + i, 0, server, Outcome.OK, 100_000)
        counts.append(len(node.controller.window.rtts))
    assert counts == [0, 1]


def test_unknown_class_is_not_retried():
    """An unknown class must not get the retries of the last class of the settings."""
    node, rec = balancer(classes=(UNSAFE_CLASS, SAFE_CLASS))
    server = submit_request(node, rec, 0, 1, request_class=9)[2]
    assert [a[0] for a in end_attempt(node, rec, 10_000, 1, 0, server, Outcome.ERROR)] == ["fail"]


def test_outcome_of_a_finished_request_is_ignored():
    node, rec = balancer()
    server = submit_request(node, rec, 0, 1)[2]
    end_attempt(node, rec, 10_000, 1, 0, server, Outcome.OK)
    node.client_disconnected(11_000, 1)
    assert (
        end_attempt(node, rec, 12_000, 1, 0, server, Outcome.ERROR) == [] and node.controller.in_flight == 0
    )
