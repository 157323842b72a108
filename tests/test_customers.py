"""Settings of other customers: what a node does follows from them alone."""

import asyncio
import copy
from typing import Any

import pytest
from loopback import MOMENT, Bench, Server, call, gated, play, settings, until

Change = dict[str, Any]


ACME = {"name": "acme"}


def classes(**changes: Any) -> Change:
    made = copy.deepcopy(settings()["classes"])
    for klass in made:
        klass |= changes
    return {"classes": made}


CUSTOMERS: dict[str, Change] = {
    "no tenants": {"tenants": []},
    "no word of tenants": {"tenants": None},
    "many tenants": {"tenants": [{"name": f"t{i}", "quota_rps": 0.5} for i in range(500)] + [ACME]},
    "no zones": {"dcs": []},
    "no kinds": {"kinds": None},
    "lists pushed": {"discovery": "push"},
    "no report": {"report": None},
    "reports with answers": {"report": {"columns": ["depth", "tps"], "how": "inline"}},
    "one attempt": {"policy_limits": {"max_attempts": 1}},
    "no cancelling, no probes, no advice": {
        "policy_limits": {"cancel": False, "probing": False, "retry_after": False, "second_copies": False}
    },
    "every limit left out but one": {"policy_limits": dict.fromkeys(
        ("cancel", "conn_idle", "connect_timeout", "max_retry_after", "peers", "probing", "retry_after"))},
    "keys that nobody knows": {"colour": "blue", "policy_limits": {"flux": 7}, **classes(moon="full")},
    "deadlines of 90 ms": classes(goal_time=40_000, hard_limit=90_000),
    "deadlines of a minute": classes(goal_time=30 * MOMENT, hard_limit=60 * MOMENT),
    "nothing is worth anything": classes(worth=0.0, late_value=0.0),
    "no late worth, no window, no group": classes(late_value=None, window=None, group=None),
    "a later tier": {"layers": ["front", "store", "cellar"], "tier": 2},
    "one of two hundred": {"group_size": 200, "self_index": 199},
}  # fmt: skip


@pytest.mark.parametrize("change", CUSTOMERS.values(), ids=list(CUSTOMERS))
def test_each_effect_is_served_whatever_else_the_settings_say(change: dict[str, Any]) -> None:
    async def scene() -> None:
        bench = await Bench(server := Server(), **copy.deepcopy(change)).start()
        for klass in ("view", "invite", "offer"):
            assert (await bench.once(call(klass, budget=20_000)))[0] == 200
        assert [r.method for r in server.requests] == ["GET", "POST", "POST"]
        assert not bench.node.requests.pending

    play(scene)


@pytest.mark.parametrize("effect", ["free", "guarded", "single_shot", "of another age"])
@pytest.mark.parametrize("name", ["view", "a-b_c.d", "%C4%93"])
def test_a_class_has_the_name_and_the_effect_that_the_settings_give_it(effect: str, name: str) -> None:
    """Failure prevented: a name or an effect that one customer uses is taken for granted at another."""

    async def scene() -> None:
        (klass,) = settings()["classes"][:1]
        bench = await Bench(server := Server(), classes=[klass | {"name": name, "effect": effect}]).start()
        lines = b"Host: a\r\nX-Call-Id: 1\r\nX-Caller: acme\r\nX-Budget-Ms: 9000\r\nIdempotency-Key: 1\r\n"
        answers = {}
        for method in (b"GET", b"POST"):
            length = b"Content-Length: 0\r\n" if method == b"POST" else b""
            data = b"%b /%b/x HTTP/1.1\r\n%b%b\r\n" % (method, name.encode(), lines, length)
            answers[method] = (await bench.once(data))[0]
        assert answers == ({b"GET": 200, b"POST": 405} if effect == "free" else {b"GET": 405, b"POST": 200})
        assert (await bench.once(call("view")))[0] == (404 if name != "view" else answers[b"GET"])
        assert len(server.requests) == 1 + (name == "view" and effect == "free")

    play(scene)


def test_one_open_request_at_a_time_where_the_settings_allow_one() -> None:
    async def scene() -> None:
        release = asyncio.Event()
        bench = await Bench(server := Server(gated(release)), policy_limits={"max_open": 1}).start()
        first = await bench.client()
        first.send(call("invite"))
        await until(lambda: len(server.requests) == 1)
        assert (await bench.once(call()))[0] == 503
        release.set()
        assert (await first.receive())[0] == 200 and (await bench.once(call()))[0] == 200

    play(scene)


def test_two_nodes_of_two_customers_in_one_process_share_nothing() -> None:
    """What one was told of classes, servers and tenants never shows at the other."""

    async def scene() -> None:
        (klass,) = settings()["classes"][:1]
        one = await Bench(Server()).start()
        other = await Bench(
            theirs := Server(), classes=[klass | {"name": "post", "effect": "single_shot"}], tenants=[]
        ).start()
        assert (await one.once(call("view")))[0] == 200
        assert (await other.once(call("view")))[0] == 404
        lines = b"Host: a\r\nX-Call-Id: 1\r\nX-Budget-Ms: 9000\r\nContent-Length: 0\r\n"
        data = b"POST /post HTTP/1.1\r\n%b\r\n" % lines
        assert (await other.once(data))[0] == 200 and (await one.once(data))[0] == 404
        assert len(theirs.requests) == 1

    play(scene)
