"""Fault scenarios of membership by zone, each as one run with its figures.

Scenarios by name, or all, at a number of zones and nodes a zone:

    python -m workbench.explore.zone_cases 13 20 death zone seed=2 loss=0.1
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from balancer.fleet.zone_membership.records import Freshness
from workbench.explore.zone_members import HOUR, SECOND, ZONE_SIZE, ZONES, Fleet, SharedGroup

JOIN_LIMIT = 300.0  # seconds
KNOW_LIMIT = 200.0


@dataclass
class CaseFigures:
    """The outcome of a scenario.

    Attributes:
        name: Name of the scenario.
        holds: Whether everything came out as it must.
        seconds: Times by what was waited for.
        notes: Further figures.
    """

    name: str
    holds: bool
    seconds: dict[str, float]
    notes: str = ""

    def line(self) -> str:
        """Returns the outcome as a line."""
        times = "  ".join(f"{what} {value:.1f} s" for what, value in self.seconds.items())
        return f"{self.name:22} {'holds' if self.holds else 'FAILS'}  {times}  {self.notes}"


def run_until_joined(fleet: Fleet) -> None:
    """Runs until the groups are complete and every node knows every zone and its size, or up to a limit."""
    fleet.network.until(
        lambda: fleet.groups_complete() and fleet.all_know() and fleet.sizes_right(), JOIN_LIMIT
    )


def discovery(fleet: Fleet) -> CaseFigures:
    """All nodes start at once without knowledge, until every node knows every zone."""
    known = fleet.network.until(fleet.all_know, JOIN_LIMIT)
    sizes = known + fleet.network.until(fleet.sizes_right, JOIN_LIMIT)
    oldest = 0.0
    for _ in range(60):
        fleet.network.run(1)
        oldest = max(oldest, fleet.oldest_age())
    seconds = {"every zone known": known, "sizes right": sizes, "oldest in the next minute": oldest}
    return CaseFigures("discovery", sizes < inf and oldest < fleet.timing.stale_after / SECOND, seconds)


def death(fleet: Fleet) -> CaseFigures:
    """One node dies: its group drops it, and every other zone learns the zone's new size."""
    run_until_joined(fleet)
    gone = fleet.of_zone(0)[-1]
    fleet.kill(gone)
    in_zone = fleet.network.until(fleet.groups_complete, KNOW_LIMIT)
    everywhere = in_zone + fleet.network.until(fleet.sizes_right, KNOW_LIMIT)
    seconds = {"known in its zone": in_zone, "size right everywhere": everywhere}
    return CaseFigures("death", everywhere < inf, seconds)


def gateways_die(fleet: Fleet) -> CaseFigures:
    """All gateways of a zone die at one instant: others replace them, and nobody reports the zone lost.

    Shared groups go on listing them as alive, so that only their missing responses show it.
    """
    run_until_joined(fleet)
    now = fleet.network.clock.now
    names = fleet.of_zone(0)[0].zone_membership.gateways(now)  # type: ignore[union-attr]
    for node in [n for n in fleet.of_zone(0) if n.name in names]:
        fleet.kill(node, noticed=False)
    oldest, lost = 0.0, False
    others = [n for n in fleet.participants() if n.zone != 0]
    for _ in range(120):
        fleet.network.run(1)
        oldest = max([oldest, *(age for n in others if (age := n.age_of(0)) is not None)])
        lost = lost or any(n.freshness(0) == Freshness.LOST for n in others)
    fleet.notice_dead()
    right = fleet.network.until(fleet.sizes_right, KNOW_LIMIT)
    return CaseFigures("all gateways die", not lost and right < inf, {"oldest age of the zone": oldest})


def zone_lost(fleet: Fleet) -> CaseFigures:
    """All nodes of a zone die at one instant; later they start again without knowledge."""
    run_until_joined(fleet)
    size = len(fleet.of_zone(0))
    for node in fleet.of_zone(0):
        fleet.kill(node)
    others = list(fleet.nodes.values())

    def lost_at() -> list[bool]:
        return [n.freshness(0) == Freshness.LOST for n in others]

    first = fleet.network.until(lambda: any(lost_at()), KNOW_LIMIT)
    rest = fleet.network.until(lambda: all(lost_at()), KNOW_LIMIT)
    fleet.network.run(120)
    falsely = sum(
        n.freshness(z) != Freshness.FRESH for n in others for z in range(1, fleet.zones) if z != n.zone
    )
    for number in range(size):
        fleet.start(0, number, incarnation=2)
    back = fleet.network.until(fleet.all_know, JOIN_LIMIT)
    sizes = back + fleet.network.until(fleet.sizes_right, JOIN_LIMIT)
    bound = fleet.timing.lost_after / SECOND
    seconds = {"first reports": first, "all report": first + rest, "back, known": back, "sizes right": sizes}
    holds = first + rest <= bound + 0.25 and falsely == 0 and sizes < inf
    return CaseFigures("zone lost and back", holds, seconds, f"other zones not fresh: {falsely}")


def region_alone(fleet: Fleet, seconds: float = HOUR) -> CaseFigures:
    """A region is partitioned from all others for an hour: its nodes keep their summaries and their ages."""
    run_until_joined(fleet)
    alone = fleet.regions - 1
    inside = [n for n in fleet.participants() if n.zone % fleet.regions == alone]
    away = [z for z in range(fleet.zones) if z % fleet.regions != alone]
    home = [z for z in range(fleet.zones) if z % fleet.regions == alone]
    fleet.network.isolate({alone})
    fleet.network.run(seconds)
    ages = [n.age_of(z) for n in inside for z in away]
    kept = all(age is not None and seconds - 30 <= age <= seconds + 60 for age in ages)
    near = fleet.all_know(home, inside)
    fleet.network.heal()
    caught_up = fleet.network.until(lambda: fleet.all_know() and fleet.sizes_right(), KNOW_LIMIT)
    figures = {"youngest age kept": min(a or 0.0 for a in ages), "all fresh after": caught_up}
    notes = f"kept {kept}, own region fresh {near}"
    return CaseFigures("region alone", kept and near and caught_up < inf, figures, notes)


def many_joins(fleet: Fleet, joins: int = 250) -> CaseFigures:
    """Many nodes join one zone at one instant."""
    run_until_joined(fleet)
    before = len(fleet.of_zone(0))
    standing = fleet.of_zone(0)
    counts = [n.endpoint.traffic.sent for n in standing]
    joined = [fleet.start(0, before + i, incarnation=2) for i in range(joins)]
    peak = 0
    waited = 0.0
    while waited < JOIN_LIMIT and not (fleet.all_know() and fleet.sizes_right() and fleet.groups_complete()):
        fleet.network.run(1)
        waited += 1
        now = [n.endpoint.traffic.sent for n in standing]
        peak = max([peak, *(b - a for a, b in zip(counts, now, strict=True))])
        counts = now
    known = all(n.freshness(z) == Freshness.FRESH for n in joined for z in range(1, fleet.zones))
    refused = sum(
        n.zone_membership.counts["answers_refused"] for n in fleet.participants() if n.zone_membership
    )
    notes = f"{joins} joins, at most {peak} datagrams sent by one node in a second, answers refused {refused}"
    return CaseFigures("storm of joins", known and waited < JOIN_LIMIT, {"all known": waited}, notes)


def mostly_old(number: int) -> bool:
    """Returns whether a node is of the old version at the start of a release: three of four are."""
    return number % 4 != 2


def never_old(number: int) -> bool:
    """Returns False: no node is of an old version."""
    return False


def release(fleet: Fleet) -> CaseFigures:
    """Old nodes drop the unknown kinds; the new ones learn all zones beside them."""
    known = fleet.network.until(fleet.all_know, JOIN_LIMIT)
    dropped = fleet.network.old_codec.dropped["kind"]
    speaking = len(fleet.participants())
    notes = f"{speaking} of {len(fleet.nodes)} nodes are new, {dropped} datagrams dropped as unknown"
    return CaseFigures("old and new versions", known < inf, {"every new node knows every zone": known}, notes)


def different_views(fleet: Fleet) -> CaseFigures:
    """Each node sees other members of its zone than the next: how many select themselves as gateways.

    For shared groups.
    """
    run_until_joined(fleet)
    names = [n.name for n in fleet.of_zone(0)]
    fewest, greatest = len(names), 0
    for _ in range(100):
        for node in fleet.of_zone(0):
            assert isinstance(node.group, SharedGroup)
            node.group.hidden = {n for n in names if fleet.rng.random() < 0.3}
        count = sum(n.selects_itself() for n in fleet.of_zone(0))
        fewest, greatest = min(fewest, count), max(greatest, count)
    notes = f"{fewest} to {greatest} count themselves among the {fleet.timing.gateways} gateways"
    return CaseFigures("different views", fewest >= min(fleet.timing.gateways, len(names)), {}, notes)


CASES: dict[str, tuple[bool, Callable[[Fleet], CaseFigures]]] = {
    "discovery": (False, discovery),
    "death": (False, death),
    "gateways": (False, gateways_die),
    "zone": (False, zone_lost),
    "region": (True, region_alone),
    "storm": (False, many_joins),
    "views": (True, different_views),
    "release": (False, release),
}  # whether the groups are shared, to be quick, and the case


def main() -> None:
    """Runs the scenarios that are named on the command line, and prints a line for each."""
    zones, size = (int(sys.argv[1]), int(sys.argv[2])) if len(sys.argv) > 2 else (ZONES, ZONE_SIZE)
    options = dict(word.split("=") for word in sys.argv[3:] if "=" in word)
    seed, loss = int(options.get("seed", 1)), float(options.get("loss", 0))
    for name in [word for word in sys.argv[3:] if "=" not in word] or CASES:
        shared, case = CASES[name]
        old = mostly_old if name == "release" else never_old
        fleet = Fleet(zones, size, seed, loss=loss, shared=shared, old=old)
        print(case(fleet).line(), flush=True)


if __name__ == "__main__":
    main()
