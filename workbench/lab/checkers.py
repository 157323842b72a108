"""The checkers of a run: each reads the history and reports which rule was violated, when and by which node.

Checkers have no access to a node's internal state. They see what clients received, which requests arrived at
servers, when discovery notified which node, which signals the lab sent, and what nodes report on their status
pages and in their logs. Times in a history's fields are microseconds of the lab's clock; `t` is in seconds.
"""

from __future__ import annotations

from collections.abc import Callable

from workbench.lab import lease_checkers, membership_checkers, request_checkers, zone_checkers
from workbench.lab.ground_truth import GroundTruth
from workbench.lab.history import Event
from workbench.lab.violations import Findings, Violation

CHECKERS: dict[str, Callable[[GroundTruth], Findings]] = {
    "answers": request_checkers.check_requests_answered,
    "attempts": request_checkers.check_attempts,
    "drains": request_checkers.check_drains,
    "processes": request_checkers.check_process_exits,
    "logs": request_checkers.check_logs,
    "cold": request_checkers.check_cold_servers,
    "views": membership_checkers.check_views,
    "summaries": membership_checkers.check_zone_summaries,
    "deaths": membership_checkers.check_no_false_deaths,
    "incarnations": membership_checkers.check_incarnation_numbers,
    "rejoins": membership_checkers.check_members_rejoin,
    "duties": lease_checkers.check_single_lease_holder,
    "replacement": lease_checkers.check_rolling_update,
    "passes": lease_checkers.check_min_rtt_slots,
    "trials": lease_checkers.check_single_prober_per_zone,
    "home": zone_checkers.check_attempts_stay_in_zone,
    "left": zone_checkers.check_no_attempts_to_evacuated_zones,
    "turns": zone_checkers.check_evacuation_durations,
    "directives": zone_checkers.check_directives,
}


def check(events: list[Event]) -> dict[str, list[Violation]]:
    """Return the violations that each checker found, by the checker's name; an empty list means none."""
    truth = GroundTruth(events)
    return {
        name: [Violation(name, *finding) for finding in checker(truth)] for name, checker in CHECKERS.items()
    }
