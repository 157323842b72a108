"""Duration of a zone's evacuations by evidence, also before and after operators' directives."""

from collections import Counter

import pytest

from balancer.fleet.zone_routing.failure_evidence import FailureEvidence, ZoneAssessment
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.zone_states import ZoneStates, ZoneStatus

SEC = 1_000_000
SETTINGS = ZoneSettings()
FIRST_TIME = SETTINGS.evacuation_time
BACKOFF = SETTINGS.evacuation_backoff
BAD = ZoneAssessment(calls=100, answered=0, bad_share=1.0, is_unreachable=False)
GOOD = ZoneAssessment(calls=100, answered=100, bad_share=0.0, is_unreachable=False)
UNUSED = ZoneAssessment(calls=0, answered=0, bad_share=0.0, is_unreachable=False)


class Zones:
    """The states of three zones, of which zone a fails, with ticks at the router's evaluation interval."""

    def __init__(self) -> None:
        self.now = 1000 * SEC
        self.log_lines: list[str] = []
        evidence = FailureEvidence(SETTINGS, self.now)
        self.states = ZoneStates(SETTINGS, evidence, lambda: 0.0, self.log_lines.append, Counter())
        self.states.set_listed_zones(["a", "b", "c"])

    @property
    def status(self) -> ZoneStatus:
        return self.states.get_or_create("a").status

    def tick(self, assessment: ZoneAssessment) -> None:
        self.now += SETTINGS.evaluation_interval
        self.states.advance(self.now, "a", assessment, is_bad=assessment is BAD)

    def tick_until(self, status: ZoneStatus, assessment: ZoneAssessment) -> None:
        for _ in range(10_000):
            if self.status == status:
                return
            self.tick(assessment)
        raise AssertionError(f"zone a is {self.status} and never {status}")

    def pass_time(self, duration: int, assessment: ZoneAssessment) -> None:
        end = self.now + duration
        while self.now < end:
            self.tick(assessment)

    def evacuate_by_directive(self, duration: int) -> None:
        """Evacuate zone a by an operator's directive of a duration."""
        self.states.apply_directives(self.now, {"a": duration}, ())
        self.pass_time(duration, UNUSED)
        self.states.apply_directives(self.now, {}, ())

    def measure_evacuation_time(self) -> int:
        """Let zone a fail until it is evacuated, and return the duration of the evacuation."""
        self.tick_until(ZoneStatus.EVACUATED, BAD)
        evacuated_at = self.now
        self.tick_until(ZoneStatus.RECOVERING, UNUSED)
        return self.now - evacuated_at


@pytest.fixture
def zones() -> Zones:
    return Zones()


@pytest.mark.parametrize("recovers_first", [False, True])
def test_first_evacuation_after_directive_has_full_duration(zones: Zones, recovers_first: bool) -> None:
    """The backoff must not multiply a duration of 0 s, with which a failing zone would get calls at once."""
    zones.evacuate_by_directive(30 * SEC)
    if recovers_first:
        zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    times = [zones.measure_evacuation_time() for _ in range(4)]
    assert times == [
        FIRST_TIME,
        BACKOFF * FIRST_TIME,
        SETTINGS.max_evacuation_time,
        SETTINGS.max_evacuation_time,
    ]
    assert not [line for line in zones.log_lines if "evacuated for 0 s" in line]


@pytest.mark.parametrize("recovers_first", [False, True])
def test_old_evacuation_before_directive_does_not_cause_backoff(zones: Zones, recovers_first: bool) -> None:
    assert zones.measure_evacuation_time() == FIRST_TIME
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.pass_time(SETTINGS.relapse_window, GOOD)
    zones.evacuate_by_directive(30 * SEC)
    if recovers_first:
        zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    assert [zones.measure_evacuation_time() for _ in range(2)] == [FIRST_TIME, BACKOFF * FIRST_TIME]


def test_directive_soon_after_recovery_does_not_hide_relapse(zones: Zones) -> None:
    assert zones.measure_evacuation_time() == FIRST_TIME
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.evacuate_by_directive(10 * SEC)
    assert zones.measure_evacuation_time() == BACKOFF * FIRST_TIME


def test_zone_does_not_complete_recovery_during_directive(zones: Zones) -> None:
    """A zone must not recover without a call; otherwise a failure after that would not count as a relapse."""
    assert zones.measure_evacuation_time() == FIRST_TIME
    zones.evacuate_by_directive(600 * SEC)
    assert zones.status == ZoneStatus.RECOVERING
    assert not [line for line in zones.log_lines if line.endswith("recovered")]
    assert zones.measure_evacuation_time() == BACKOFF * FIRST_TIME


def test_zone_returned_too_early_by_operator_backs_off(zones: Zones) -> None:
    zones.tick_until(ZoneStatus.EVACUATED, BAD)
    zones.states.apply_directives(zones.now, {}, ("a",))
    assert zones.status == ZoneStatus.RECOVERING
    assert zones.measure_evacuation_time() == BACKOFF * FIRST_TIME


def test_relapse_counts_only_within_relapse_window(zones: Zones) -> None:
    assert zones.measure_evacuation_time() == FIRST_TIME
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.pass_time(SETTINGS.relapse_window // 2, GOOD)
    assert zones.measure_evacuation_time() == BACKOFF * FIRST_TIME
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.pass_time(SETTINGS.relapse_window, GOOD)
    assert zones.measure_evacuation_time() == FIRST_TIME
