"""The metrics page: each value after known requests, read with the Prometheus client's parser."""

from loopback import OK, REJECTED, SERVER_ERROR, Bench, Server, call, respond_with, run_scenario, wait_until
from prometheus_client.parser import text_string_to_metric_families
from retry_support import MANAGEMENT_CONFIG
from test_management import operator_request

from balancer.net.discovery.registry import server_number
from balancer.net.process.counters import Counters


def parse_metrics(text: bytes) -> dict[str, float]:
    """Return the values by metric name, or by class and state."""
    return {
        "/".join(sample.labels.values()) or sample.name.removesuffix("_total"): sample.value
        for family in text_string_to_metric_families(text.decode())
        for sample in family.samples
    }


async def read_metrics(bench: Bench) -> dict[str, float]:
    status, headers, text = await operator_request(bench, "/control/counters")
    assert status == 200 and headers["content-type"].startswith("text/plain; version=0.0.4")
    return parse_metrics(text)


def test_all_metrics_are_present_at_start():
    async def scenario():
        bench = await Bench(Server(), Server(), config=MANAGEMENT_CONFIG).start()
        metrics = await read_metrics(bench)
        assert metrics.pop("lb_cluster_size") == 2
        states = {
            f"{c}/{s}" for c in ("view", "invite", "offer") for s in ("answered", "deferred", "errored")
        }
        assert set(metrics) == states | {"lb_sends", "lb_current", "lb_cluster_unhealthy"}
        assert set(metrics.values()) == {0}

    run_scenario(scenario)


def test_request_counts_once_and_each_sent_attempt_counts():
    """A request with a retry counts once at its end, and a rejected one counts too."""

    async def scenario():
        bench = await Bench(
            server := Server(respond_with(REJECTED, OK, SERVER_ERROR, None)), config=MANAGEMENT_CONFIG
        ).start()
        assert (await bench.request_once(call()))[0] == 200  # The second attempt succeeds.
        assert (await bench.request_once(call("invite")))[0] == 502
        assert (await bench.request_once(call("offer", budget=0)))[0] == 503
        assert (await bench.request_once(call("unknown")))[0] == 404
        (waiting := await bench.client()).send(call())
        await wait_until(lambda: len(server.requests) == 4)
        metrics = await read_metrics(bench)
        ended = {name: value for name, value in metrics.items() if "/" in name and value}
        assert ended == {"view/answered": 1, "invite/errored": 1, "offer/deferred": 1}
        assert (metrics["lb_sends"], metrics["lb_current"]) == (4, 1)
        waiting.writer.close()
        await wait_until(lambda: not bench.node.requests.by_client)
        assert (await read_metrics(bench))["lb_current"] == 0

    run_scenario(scenario)


def test_request_rejected_at_max_open_counts():
    async def scenario():
        bench = await Bench(server := Server(respond_with(None)), policy_limits={"max_open": 1}).start()
        (first := await bench.client()).send(call())
        await wait_until(lambda: len(server.requests) == 1)
        assert (await bench.request_once(call()))[0] == 503
        assert bench.node.counters.finished[0]["deferred"] == 1
        first.writer.close()

    run_scenario(scenario)


def test_attempt_that_fails_to_connect_is_not_counted():
    async def scenario():
        bench = await Bench(dead := Server(), config=MANAGEMENT_CONFIG).start()
        dead.server.close()
        assert (await bench.request_once(call("invite")))[0] == 503
        assert (await read_metrics(bench))["lb_sends"] == 0

    run_scenario(scenario)


def test_server_metrics_follow_list_changes():
    """A removed server is not counted any more, and a draining or ejected one counts as unhealthy."""

    async def scenario():
        servers = [Server() for _ in range(6)]
        bench = await Bench(*servers, config=MANAGEMENT_CONFIG).start()
        draining, gone = servers[0].entry("s0", "draining"), servers[1].entry("s1", "gone")
        bench.discovery.send_list(43, False, draining, gone)
        await wait_until(lambda: bench.node.discovery.version == 43)
        metrics = await read_metrics(bench)
        assert (metrics["lb_cluster_size"], metrics["lb_cluster_unhealthy"]) == (5, 1)
        remaining = server_number("s3")
        server = next(s for s in bench.node.balancer.subset.members if s.id != remaining)
        bench.node.balancer.ejection.eject(0, server, silent=True)
        assert (await read_metrics(bench))["lb_cluster_unhealthy"] == 2
        bench.discovery.send_list(44, True, servers[3].entry("s3"))
        await wait_until(lambda: bench.node.discovery.version == 44)
        metrics = await read_metrics(bench)
        assert (metrics["lb_cluster_size"], metrics["lb_cluster_unhealthy"]) == (1, 0)

    run_scenario(scenario)


def test_special_characters_in_class_name_are_escaped():
    counters = Counters(['a"b\\c\nd'])
    counters.count_finished(0, 200)
    assert parse_metrics(counters.render(0, 0, 0))['a"b\\c\nd/answered'] == 1
