"""What the node reports: each figure against what was done, and the text against Prometheus' own parser."""

from loopback import OK, REJECTED, SERVER_ERROR, Bench, Server, always, call, play, until
from prometheus_client.parser import text_string_to_metric_families
from test_management import OPERATED, operate

from balancer.net.discovery.registry import server_number
from balancer.net.process.counters import Counters


def read(text: bytes) -> dict[str, float]:
    """The figures by name, or by class and state."""
    return {
        "/".join(sample.labels.values()) or sample.name.removesuffix("_total"): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


async def figures(bench: Bench) -> dict[str, float]:
    status, headers, text = await operate(bench, "/control/counters")
    assert status == 200 and headers["content-type"].startswith("text/plain; version=0.0.4")
    return read(text)


def test_every_figure_stands_from_the_start():
    async def scene():
        bench = await Bench(Server(), Server(), config=OPERATED).start()
        found = await figures(bench)
        assert found.pop("lb_cluster_size") == 2
        states = {
            f"{c}/{s}" for c in ("view", "invite", "offer") for s in ("answered", "deferred", "errored")
        }
        assert set(found) == states | {"lb_sends", "lb_current", "lb_cluster_unhealthy"}
        assert set(found.values()) == {0}

    play(scene)


def test_a_request_counts_once_at_its_end_and_each_attempt_that_was_written_whole():
    """Failure prevented: what was tried again counts as often as it was tried, or a refusal not at all."""

    async def scene():
        bench = await Bench(
            server := Server(always(REJECTED, OK, SERVER_ERROR, None)), config=OPERATED
        ).start()
        assert (await bench.once(call()))[0] == 200  # at the second attempt
        assert (await bench.once(call("invite")))[0] == 502
        assert (await bench.once(call("offer", budget=0)))[0] == 503
        assert (await bench.once(call("unknown")))[0] == 404
        (open_one := await bench.client()).send(call())
        await until(lambda: len(server.requests) == 4)
        found = await figures(bench)
        ended = {name: value for name, value in found.items() if "/" in name and value}
        assert ended == {"view/answered": 1, "invite/errored": 1, "offer/deferred": 1}
        assert (found["lb_sends"], found["lb_current"]) == (4, 1)
        open_one.writer.close()
        await until(lambda: not bench.node.requests.by_client)
        assert (await figures(bench))["lb_current"] == 0

    play(scene)


def test_a_refusal_for_want_of_room_counts():
    async def scene():
        bench = await Bench(server := Server(always(None)), policy_limits={"max_open": 1}).start()
        (first := await bench.client()).send(call())
        await until(lambda: len(server.requests) == 1)
        assert (await bench.once(call()))[0] == 503
        assert bench.node.counters.finished[0]["deferred"] == 1
        first.writer.close()

    play(scene)


def test_an_attempt_that_never_came_up_was_not_sent():
    async def scene():
        bench = await Bench(dead := Server(), config=OPERATED).start()
        dead.server.close()
        assert (await bench.once(call("invite")))[0] == 503
        assert (await figures(bench))["lb_sends"] == 0

    play(scene)


def test_the_list_s_figures_follow_its_changes():
    """Failure prevented: a server that left is counted for ever, or one that drains counts as well."""

    async def scene():
        servers = [Server() for _ in range(6)]
        bench = await Bench(*servers, config=OPERATED).start()
        going, gone = servers[0].entry("s0", "draining"), servers[1].entry("s1", "gone")
        bench.discovery.say(43, False, going, gone)
        await until(lambda: bench.node.discovery.version == 43)
        found = await figures(bench)
        assert (found["lb_cluster_size"], found["lb_cluster_unhealthy"]) == (5, 1)
        staying = server_number("s3")
        server = next(s for s in bench.node.balancer.subset.members if s.id != staying)
        bench.node.balancer.ejection.eject(0, server, silent=True)
        assert (await figures(bench))["lb_cluster_unhealthy"] == 2
        bench.discovery.say(44, True, servers[3].entry("s3"))
        await until(lambda: bench.node.discovery.version == 44)
        found = await figures(bench)
        assert (found["lb_cluster_size"], found["lb_cluster_unhealthy"]) == (1, 0)

    play(scene)


def test_a_class_with_an_odd_name_is_still_read():
    counters = Counters(['a"b\\c\nd'])
    counters.count_finished(0, 200)
    assert read(counters.render(0, 0, 0))['a"b\\c\nd/answered'] == 1
