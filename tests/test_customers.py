"""Settings of various customers: a node's behaviour follows from its settings alone."""

import asyncio
import copy
from typing import Any

import pytest
from loopback import SECOND_US, Bench, Server, call, respond_after, run_scenario, settings, wait_until

SettingsChange = dict[str, Any]


DEFAULT_TENANT = {"name": "acme"}


def changed_classes(**changes: Any) -> SettingsChange:
    changed = copy.deepcopy(settings()["classes"])
    for request_class in changed:
        request_class |= changes
    return {"classes": changed}


SETTINGS_CHANGES: dict[str, SettingsChange] = {
    "no tenants": {"tenants": []},
    "tenants not set": {"tenants": None},
    "many tenants": {"tenants": [{"name": f"t{i}", "quota_rps": 0.5} for i in range(500)] + [DEFAULT_TENANT]},
    "no zones": {"dcs": []},
    "kinds not set": {"kinds": None},
    "pushed server lists": {"discovery": "push"},
    "no report": {"report": None},
    "inline reports": {"report": {"columns": ["depth", "tps"], "how": "inline"}},
    "one attempt": {"policy_limits": {"max_attempts": 1}},
    "no cancel, probing, retry_after": {
        "policy_limits": {"cancel": False, "probing": False, "retry_after": False, "second_copies": False}
    },
    "most limits not set": {"policy_limits": dict.fromkeys(
        ("cancel", "conn_idle", "connect_timeout", "max_retry_after", "peers", "probing", "retry_after"))},
    "unknown keys": {"colour": "blue", "policy_limits": {"flux": 7}, **changed_classes(moon="full")},
    "deadlines of 90 ms": changed_classes(goal_time=40_000, hard_limit=90_000),
    "deadlines of a minute": changed_classes(goal_time=30 * SECOND_US, hard_limit=60 * SECOND_US),
    "worth of zero": changed_classes(worth=0.0, late_value=0.0),
    "late_value, window, group not set": changed_classes(late_value=None, window=None, group=None),
    "a later tier": {"layers": ["front", "store", "cellar"], "tier": 2},
    "last of 200 nodes": {"group_size": 200, "self_index": 199},
}  # fmt: skip


@pytest.mark.parametrize("change", SETTINGS_CHANGES.values(), ids=list(SETTINGS_CHANGES))
def test_each_effect_is_served_under_any_settings(change: dict[str, Any]) -> None:
    async def scenario() -> None:
        bench = await Bench(server := Server(), **copy.deepcopy(change)).start()
        for class_name in ("view", "invite", "offer"):
            assert (await bench.request_once(call(class_name, budget=20_000)))[0] == 200
        assert [r.method for r in server.requests] == ["GET", "POST", "POST"]
        assert not bench.node.requests.pending

    run_scenario(scenario)


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot", "unknown effect"])
@pytest.mark.parametrize("name", ["view", "a-b_c.d", "%C4%93"])
def test_class_name_and_effect_come_from_settings(effect: str, name: str) -> None:
    """No class name or effect that one customer uses may be taken for granted at another."""

    async def scenario() -> None:
        (request_class,) = settings()["classes"][:1]
        bench = await Bench(
            server := Server(), classes=[request_class | {"name": name, "effect": effect}]
        ).start()
        lines = b"Host: a\r\nX-Call-Id: 1\r\nX-Caller: acme\r\nX-Budget-Ms: 9000\r\nIdempotency-Key: 1\r\n"
        statuses = {}
        for method in (b"GET", b"POST"):
            length = b"Content-Length: 0\r\n" if method == b"POST" else b""
            data = b"%b /%b/x HTTP/1.1\r\n%b%b\r\n" % (method, name.encode(), lines, length)
            statuses[method] = (await bench.request_once(data))[0]
        assert statuses == ({b"GET": 200, b"POST": 405} if effect == "free" else {b"GET": 405, b"POST": 200})
        assert (await bench.request_once(call("view")))[0] == (404 if name != "view" else statuses[b"GET"])
        assert len(server.requests) == 1 + (name == "view" and effect == "free")

    run_scenario(scenario)


def test_max_open_of_one_rejects_second_request() -> None:
    async def scenario() -> None:
        release = asyncio.Event()
        bench = await Bench(server := Server(respond_after(release)), policy_limits={"max_open": 1}).start()
        first = await bench.client()
        first.send(call("invite"))
        await wait_until(lambda: len(server.requests) == 1)
        assert (await bench.request_once(call()))[0] == 503
        release.set()
        assert (await first.receive())[0] == 200 and (await bench.request_once(call()))[0] == 200

    run_scenario(scenario)


def test_two_nodes_in_one_process_share_no_settings() -> None:
    """Classes, servers and tenants of one node must not be visible at the other."""

    async def scenario() -> None:
        (request_class,) = settings()["classes"][:1]
        one = await Bench(Server()).start()
        other = await Bench(
            other_server := Server(),
            classes=[request_class | {"name": "post", "effect": "single_shot"}],
            tenants=[],
        ).start()
        assert (await one.request_once(call("view")))[0] == 200
        assert (await other.request_once(call("view")))[0] == 404
        lines = b"Host: a\r\nX-Call-Id: 1\r\nX-Budget-Ms: 9000\r\nContent-Length: 0\r\n"
        data = b"POST /post HTTP/1.1\r\n%b\r\n" % lines
        assert (await other.request_once(data))[0] == 200 and (await one.request_once(data))[0] == 404
        assert len(other_server.requests) == 1

    run_scenario(scenario)
