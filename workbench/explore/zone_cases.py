"""Fault scenarios of membership by zone, each as one run with its figures.

The arguments are the numbers of zones and of nodes per zone, then names of scenarios (default: all) and
options:

    python -m workbench.explore.zone_cases 13 20 death zone seed=2 loss=0.1
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from balancer.fleet.zone_membership.records import Freshness
from workbench.explore.zone_members import HOUR_S, SECOND_US, ZONE_COUNT, ZONE_SIZE, Fleet, SharedGroup

JOIN_LIMIT_S = 300.0
PROPAGATION_LIMIT_S = 200.0


@dataclass
class ScenarioResult:
    """Result of a scenario.

    Attributes:
        name: Name of the scenario.
        holds: Whether the scenario met all expectations.
        seconds: Times by the condition that was awaited.
        notes: Further figures.
    """

    name: str
    holds: bool
    seconds: dict[str, float]
    notes: str = ""

    def line(self) -> str:
        """Return the result as a line of the report."""
        times = "  ".join(f"{what} {value:.1f} s" for what, value in self.seconds.items())
        return f"{self.name:22} {'holds' if self.holds else 'FAILS'}  {times}  {self.notes}"


def run_until_joined(fleet: Fleet) -> None:
    """Run until all groups are complete and every node knows each zone and its size, or up to a limit."""
    fleet.network.run_until(
        lambda: fleet.groups_are_complete() and fleet.all_summaries_fresh() and fleet.sizes_are_correct(),
        JOIN_LIMIT_S,
    )


def discovery(fleet: Fleet) -> ScenarioResult:
    """Start all nodes simultaneously without knowledge, and run until every node knows every zone."""
    known_after_s = fleet.network.run_until(fleet.all_summaries_fresh, JOIN_LIMIT_S)
    sizes_after_s = known_after_s + fleet.network.run_until(fleet.sizes_are_correct, JOIN_LIMIT_S)
    oldest_age_s = 0.0
    for _ in range(60):
        fleet.network.run(1)
        oldest_age_s = max(oldest_age_s, fleet.oldest_age())
    seconds = {
        "every zone known": known_after_s,
        "sizes right": sizes_after_s,
        "oldest in the next minute": oldest_age_s,
    }
    return ScenarioResult(
        "discovery", sizes_after_s < inf and oldest_age_s < fleet.timing.stale_after / SECOND_US, seconds
    )


def death(fleet: Fleet) -> ScenarioResult:
    """Kill one node, and run until its group drops it and every other zone learns the zone's new size."""
    run_until_joined(fleet)
    killed = fleet.nodes_in_zone(0)[-1]
    fleet.kill(killed)
    in_zone_after_s = fleet.network.run_until(fleet.groups_are_complete, PROPAGATION_LIMIT_S)
    everywhere_after_s = in_zone_after_s + fleet.network.run_until(
        fleet.sizes_are_correct, PROPAGATION_LIMIT_S
    )
    seconds = {"known in its zone": in_zone_after_s, "size right everywhere": everywhere_after_s}
    return ScenarioResult("death", everywhere_after_s < inf, seconds)


def gateways_die(fleet: Fleet) -> ScenarioResult:
    """Kill all gateways of a zone simultaneously: others replace them, and no node reports the zone as lost.

    Shared groups continue to list them as alive, so that only missing responses reveal their death.
    """
    run_until_joined(fleet)
    now = fleet.network.clock.now
    names = fleet.nodes_in_zone(0)[0].zone_membership.gateways(now)  # type: ignore[union-attr]
    for node in [member for member in fleet.nodes_in_zone(0) if member.name in names]:
        fleet.kill(node, remove_from_view=False)
    oldest_age_s, lost = 0.0, False
    remote_nodes = [member for member in fleet.participants() if member.zone != 0]
    for _ in range(120):
        fleet.network.run(1)
        oldest_age_s = max(
            [oldest_age_s, *(age for member in remote_nodes if (age := member.age_of(0)) is not None)]
        )
        lost = lost or any(member.freshness(0) == Freshness.LOST for member in remote_nodes)
    fleet.remove_dead_from_views()
    corrected_after_s = fleet.network.run_until(fleet.sizes_are_correct, PROPAGATION_LIMIT_S)
    return ScenarioResult(
        "all gateways die", not lost and corrected_after_s < inf, {"oldest age of the zone": oldest_age_s}
    )


def zone_lost(fleet: Fleet) -> ScenarioResult:
    """Kill all nodes of a zone simultaneously, and later restart them without knowledge."""
    run_until_joined(fleet)
    size = len(fleet.nodes_in_zone(0))
    for node in fleet.nodes_in_zone(0):
        fleet.kill(node)
    other_nodes = list(fleet.nodes.values())

    def reports_of_loss() -> list[bool]:
        return [member.freshness(0) == Freshness.LOST for member in other_nodes]

    first_report_s = fleet.network.run_until(lambda: any(reports_of_loss()), PROPAGATION_LIMIT_S)
    remaining_reports_s = fleet.network.run_until(lambda: all(reports_of_loss()), PROPAGATION_LIMIT_S)
    fleet.network.run(120)
    not_fresh_count = sum(
        member.freshness(zone) != Freshness.FRESH
        for member in other_nodes
        for zone in range(1, fleet.zones)
        if zone != member.zone
    )
    for number in range(size):
        fleet.start(0, number, incarnation=2)
    known_after_s = fleet.network.run_until(fleet.all_summaries_fresh, JOIN_LIMIT_S)
    sizes_after_s = known_after_s + fleet.network.run_until(fleet.sizes_are_correct, JOIN_LIMIT_S)
    limit_s = fleet.timing.lost_after / SECOND_US
    seconds = {
        "first reports": first_report_s,
        "all report": first_report_s + remaining_reports_s,
        "back, known": known_after_s,
        "sizes right": sizes_after_s,
    }
    holds = (
        first_report_s + remaining_reports_s <= limit_s + 0.25
        and not_fresh_count == 0
        and sizes_after_s < inf
    )
    return ScenarioResult("zone lost and back", holds, seconds, f"other zones not fresh: {not_fresh_count}")


def region_alone(fleet: Fleet, seconds: float = HOUR_S) -> ScenarioResult:
    """Partition a region from all others for an hour: its nodes keep their summaries with their ages."""
    run_until_joined(fleet)
    isolated_region = fleet.regions - 1
    isolated_nodes = [node for node in fleet.participants() if node.zone % fleet.regions == isolated_region]
    outside_zones = [zone for zone in range(fleet.zones) if zone % fleet.regions != isolated_region]
    inside_zones = [zone for zone in range(fleet.zones) if zone % fleet.regions == isolated_region]
    fleet.network.isolate({isolated_region})
    fleet.network.run(seconds)
    ages = [node.age_of(zone) for node in isolated_nodes for zone in outside_zones]
    ages_kept = all(age is not None and seconds - 30 <= age <= seconds + 60 for age in ages)
    inside_zones_fresh = fleet.all_summaries_fresh(inside_zones, isolated_nodes)
    fleet.network.heal()
    recovered_after_s = fleet.network.run_until(
        lambda: fleet.all_summaries_fresh() and fleet.sizes_are_correct(), PROPAGATION_LIMIT_S
    )
    figures = {
        "youngest age kept": min(summary_age or 0.0 for summary_age in ages),
        "all fresh after": recovered_after_s,
    }
    notes = f"kept {ages_kept}, own region fresh {inside_zones_fresh}"
    return ScenarioResult(
        "region alone", ages_kept and inside_zones_fresh and recovered_after_s < inf, figures, notes
    )


def many_joins(fleet: Fleet, join_count: int = 250) -> ScenarioResult:
    """Start many nodes in one zone simultaneously."""
    run_until_joined(fleet)
    existing_count = len(fleet.nodes_in_zone(0))
    existing_nodes = fleet.nodes_in_zone(0)
    counts = [node.endpoint.traffic.sent for node in existing_nodes]
    joined = [fleet.start(0, existing_count + i, incarnation=2) for i in range(join_count)]
    max_datagrams = 0
    waited_s = 0.0
    while waited_s < JOIN_LIMIT_S and not (
        fleet.all_summaries_fresh() and fleet.sizes_are_correct() and fleet.groups_are_complete()
    ):
        fleet.network.run(1)
        waited_s += 1
        new_counts = [node.endpoint.traffic.sent for node in existing_nodes]
        max_datagrams = max(
            [max_datagrams, *(later - earlier for earlier, later in zip(counts, new_counts, strict=True))]
        )
        counts = new_counts
    all_fresh = all(
        node.freshness(zone) == Freshness.FRESH for node in joined for zone in range(1, fleet.zones)
    )
    refused_answers = sum(
        node.zone_membership.counts["answers_refused"]
        for node in fleet.participants()
        if node.zone_membership
    )
    notes = (
        f"{join_count} joins, at most {max_datagrams} datagrams sent by one node in a second,"
        f" answers refused {refused_answers}"
    )
    return ScenarioResult(
        "storm of joins", all_fresh and waited_s < JOIN_LIMIT_S, {"all known": waited_s}, notes
    )


def mostly_old(number: int) -> bool:
    """Return whether a node runs the old version at the start of a release: three of four do."""
    return number % 4 != 2


def never_old(number: int) -> bool:
    """Return False: no node runs an old version."""
    return False


def release(fleet: Fleet) -> ScenarioResult:
    """Start nodes of both versions: the old ones drop unknown messages, the new ones learn all zones."""
    known = fleet.network.run_until(fleet.all_summaries_fresh, JOIN_LIMIT_S)
    dropped = fleet.network.old_codec.dropped["kind"]
    participant_count = len(fleet.participants())
    notes = f"{participant_count} of {len(fleet.nodes)} nodes are new, {dropped} datagrams dropped as unknown"
    return ScenarioResult(
        "old and new versions", known < inf, {"every new node knows every zone": known}, notes
    )


def different_views(fleet: Fleet) -> ScenarioResult:
    """Give the nodes of a zone different views, and count those that select themselves as gateways.

    Only for fleets with shared groups.
    """
    run_until_joined(fleet)
    names = [member.name for member in fleet.nodes_in_zone(0)]
    fewest, greatest = len(names), 0
    for _ in range(100):
        for node in fleet.nodes_in_zone(0):
            assert isinstance(node.group, SharedGroup)
            node.group.hidden = {name for name in names if fleet.rng.random() < 0.3}
        count = sum(member.selects_itself() for member in fleet.nodes_in_zone(0))
        fewest, greatest = min(fewest, count), max(greatest, count)
    notes = f"{fewest} to {greatest} count themselves among the {fleet.timing.gateways} gateways"
    return ScenarioResult("different views", fewest >= min(fleet.timing.gateways, len(names)), {}, notes)


# Scenarios by name, with whether they use shared groups, which run faster than SWIM.
SCENARIOS: dict[str, tuple[bool, Callable[[Fleet], ScenarioResult]]] = {
    "discovery": (False, discovery),
    "death": (False, death),
    "gateways": (False, gateways_die),
    "zone": (False, zone_lost),
    "region": (True, region_alone),
    "storm": (False, many_joins),
    "views": (True, different_views),
    "release": (False, release),
}


def main() -> None:
    """Run the scenarios that are named on the command line, and print a line for each."""
    zones, size = (int(sys.argv[1]), int(sys.argv[2])) if len(sys.argv) > 2 else (ZONE_COUNT, ZONE_SIZE)
    options = dict(argument.split("=") for argument in sys.argv[3:] if "=" in argument)
    seed, loss = int(options.get("seed", 1)), float(options.get("loss", 0))
    for name in [argument for argument in sys.argv[3:] if "=" not in argument] or SCENARIOS:
        shared, scenario = SCENARIOS[name]
        is_old = mostly_old if name == "release" else never_old
        fleet = Fleet(zones, size, seed, loss=loss, shared=shared, old=is_old)
        print(scenario(fleet).line(), flush=True)


if __name__ == "__main__":
    main()
