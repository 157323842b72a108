"""Membership by zone in the configuration, and on the status page of nodes on loopback sockets."""

import subprocess
import sys

from fleet_section import fleet_section, free_udp_port
from loopback import Bench, run_scenario, wait_until

from balancer.fleet.config_section import ConfigSection
from balancer.fleet.zone_membership.settings import (
    ZoneMembershipSettings,
    ZoneMembershipTiming,
    read_membership,
)

SEC = 1_000_000


def read(table, zone="a"):
    section = ConfigSection({"zone": zone, "membership": table}, "fleet")
    return read_membership(section, table), section.faults


def test_valid_membership_table_is_read():
    membership, faults = read({"scope": "zone", "zone_seeds": {"b": ["10.0.1.5:7400"]}})
    assert faults == [] and membership.zone_seeds == {"b": (("10.0.1.5", 7400),)}
    assert read({"scope": "zone"}) == (ZoneMembershipSettings({}), [])
    assert read({"scope": "fleet"}) == (None, [])


def test_all_faults_of_membership_table_are_reported_at_once():
    _, faults = read(
        {"scope": "city", "zone_seeds": {"a": ["10.0.0.1:1"], "b": [], "c": ["there:7"]}, "more": 1}
    )
    assert len(faults) == 5
    assert [f.split(": ")[0] for f in faults] == [
        "fleet.membership.more",
        "fleet.membership.scope",
        "fleet.membership.zone_seeds.a",
        "fleet.membership.zone_seeds.b",
        "fleet.membership.zone_seeds.c[0]",
    ]
    assert read([]) == (None, ["fleet.membership: []: must be a table"])
    assert len(read({"scope": "zone", "zone_seeds": []})[1]) == 1
    assert len(read({"scope": "fleet", "zone_seeds": {}})[1]) == 1


def test_all_intervals_scale_with_swim_period():
    scaled = ZoneMembershipTiming().scaled(SEC // 10)
    for name, value in vars(ZoneMembershipTiming()).items():
        is_unscaled = name in ("gateways", "max_unanswered_queries", "responses_per_second")
        assert getattr(scaled, name) == (value if is_unscaled else value // 10), name


def test_package_is_not_imported_without_membership_table():
    code = (
        "import sys; import balancer.fleet.runtime; "
        "sys.exit(any(m.startswith('balancer.fleet.zone_membership') for m in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


# ---- Nodes on loopback sockets ---------------------------------------------------------------------------


def start_node(tmp_path, zone, port, seeds, membership):
    fleet = fleet_section(
        tmp_path,
        zone=zone,
        region="north",
        listen=f"127.0.0.1:{port}",
        seeds=[f"127.0.0.1:{s}" for s in seeds],
        period_ms=100,
    )
    fleet |= {"membership": membership} if membership is not None else {}
    config = {"name": f"n{port}", "fleet": fleet, "management": "127.0.0.1:0"}
    return Bench(config=config, peers=False).start()


def test_nodes_list_own_zone_members_and_other_zone_summaries(tmp_path):
    async def scenario():
        a, b, c = free_udp_port(), free_udp_port(), free_udp_port()
        to_b = {"scope": "zone", "zone_seeds": {"b": [f"127.0.0.1:{c}"]}}
        nodes = [
            await start_node(tmp_path, "a", a, [], to_b),
            await start_node(tmp_path, "a", b, [a], {"scope": "zone"}),
            await start_node(tmp_path, "b", c, [], {"scope": "zone"}),
        ]
        fleets = [n.node.fleet for n in nodes]

        def zones(i):
            return fleets[i].view()["regions"]["zones"]

        await wait_until(lambda: zones(0) and zones(1) and zones(2) and zones(2)["a"]["size"] == 2)
        page = fleets[1].view()
        assert [m["name"] for m in page["members"]] == [f"n{a}"]
        assert page["regions"]["zone"] == "a" and page["regions"]["size"] == 2
        summary = page["regions"]["zones"]["b"]
        assert (summary["region"], summary["size"], summary["gateways"]) == ("north", 1, [f"n{c}"])
        assert summary["state"] == "fresh" and not summary["stale"] and 0 <= summary["age_s"] < 3
        assert fleets[0].sent["zone_exchange"] and fleets[2].sent["zone_exchange_ack"]
        assert fleets[1].sent["zone_query"] and fleets[0].sent["zone_response"]
        for fleet in fleets:
            fleet.close()
        assert fleets[0].view()["regions"] is None

    run_scenario(scenario)


def test_status_page_without_membership_table_has_no_regions(tmp_path):
    async def scenario():
        bench = await start_node(tmp_path, "a", free_udp_port(), [], None)
        assert "regions" not in bench.node.fleet.view()
        bench.node.fleet.close()

    run_scenario(scenario)
