"""The checkers: each reads a history alone and names what was violated, when and by whom.

They know nothing of the node's inside: they see what clients got, what came to servers, when discovery
notified whom, which signals the lab gave, and what nodes report on their pages and in their logs. Times in a
history's fields are microseconds of the lab's clock; `t` is in seconds.
"""

from __future__ import annotations

from collections.abc import Callable

from workbench.lab import lease_checkers, membership_checkers, request_checkers, zone_checkers
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import Event
from workbench.lab.violations import Findings, Violation

CHECKERS: dict[str, Callable[[GroundTruth], Findings]] = {
    "answers": request_checkers.requests_answered,
    "attempts": request_checkers.attempts_limited,
    "drains": request_checkers.drains_respected,
    "processes": request_checkers.processes_end_as_asked,
    "logs": request_checkers.logs_without_failures,
    "cold": request_checkers.cold_servers_spared,
    "views": membership_checkers.views_converge,
    "summaries": membership_checkers.zone_summaries_converge,
    "deaths": membership_checkers.no_false_deaths,
    "incarnations": membership_checkers.incarnation_numbers_rise,
    "rejoins": membership_checkers.members_rejoin,
    "duties": lease_checkers.one_lease_holder,
    "replacement": lease_checkers.rolling_update_completes,
    "passes": lease_checkers.min_rtt_slots_respected,
    "trials": lease_checkers.one_prober_per_zone,
    "home": zone_checkers.calls_stay_in_zone,
    "left": zone_checkers.no_calls_to_evacuated_zones,
    "turns": zone_checkers.evacuations_held,
    "directives": zone_checkers.directives_followed,
}


def check(events: list[Event]) -> dict[str, list[Violation]]:
    """Returns the violations that each checker found, by its name; empty lists where there are none."""
    truth = GroundTruth(events)
    return {
        name: [Violation(name, *finding) for finding in checker(truth)] for name, checker in CHECKERS.items()
    }
