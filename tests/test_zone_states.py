"""How long a zone is evacuated by evidence, also where an operator's directive came before or between."""

from collections import Counter

import pytest

from balancer.fleet.zone_routing.failure_evidence import FailureEvidence, Verdict
from balancer.fleet.zone_routing.settings import ZoneSettings
from balancer.fleet.zone_routing.zone_states import ZoneStates, ZoneStatus

SEC = 1_000_000
SETTINGS = ZoneSettings()
FIRST = SETTINGS.evacuation_time
BACKOFF = SETTINGS.evacuation_backoff
BAD = Verdict(calls=100, answered=0, bad_share=1.0, is_unreachable=False)
GOOD = Verdict(calls=100, answered=100, bad_share=0.0, is_unreachable=False)
UNUSED = Verdict(calls=0, answered=0, bad_share=0.0, is_unreachable=False)


class Zones:
    """Three zones, of which zone a is the one that fails; ticks as often as a node's router."""

    def __init__(self) -> None:
        self.now = 1000 * SEC
        self.log_lines: list[str] = []
        evidence = FailureEvidence(SETTINGS, self.now)
        self.states = ZoneStates(SETTINGS, evidence, lambda: 0.0, self.log_lines.append, Counter())
        self.states.set_present(["a", "b", "c"])

    @property
    def status(self) -> ZoneStatus:
        return self.states.of("a").status

    def tick(self, verdict: Verdict) -> None:
        self.now += SETTINGS.evaluation_interval
        self.states.advance(self.now, "a", verdict, is_bad=verdict is BAD)

    def tick_until(self, status: ZoneStatus, verdict: Verdict) -> None:
        for _ in range(10_000):
            if self.status == status:
                return
            self.tick(verdict)
        raise AssertionError(f"zone a is {self.status} and never {status}")

    def pass_time(self, duration: int, verdict: Verdict) -> None:
        end = self.now + duration
        while self.now < end:
            self.tick(verdict)

    def direct(self, duration: int) -> None:
        """An operator evacuates zone a for so long."""
        self.states.apply_directives(self.now, {"a": duration}, ())
        self.pass_time(duration, UNUSED)
        self.states.apply_directives(self.now, {}, ())

    def evacuation_time(self) -> int:
        """Zone a fails until it is evacuated; returns for how long it stays so."""
        self.tick_until(ZoneStatus.EVACUATED, BAD)
        evacuated_at = self.now
        self.tick_until(ZoneStatus.RECOVERING, UNUSED)
        return self.now - evacuated_at


@pytest.fixture
def zones() -> Zones:
    return Zones()


@pytest.mark.parametrize("recovers_first", [False, True])
def test_the_first_evacuation_by_evidence_after_a_directive_has_the_full_time(
    zones: Zones, recovers_first: bool
) -> None:
    """Failure prevented: the backoff multiplies 0 s, and a failing zone is called again at once for ever."""
    zones.direct(30 * SEC)
    if recovers_first:
        zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    times = [zones.evacuation_time() for _ in range(4)]
    assert times == [FIRST, BACKOFF * FIRST, SETTINGS.max_evacuation_time, SETTINGS.max_evacuation_time]
    assert not [line for line in zones.log_lines if "evacuated for 0 s" in line]


@pytest.mark.parametrize("recovers_first", [False, True])
def test_an_evacuation_long_before_a_directive_does_not_lengthen_the_next(
    zones: Zones, recovers_first: bool
) -> None:
    assert zones.evacuation_time() == FIRST
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.pass_time(SETTINGS.relapse_window, GOOD)
    zones.direct(30 * SEC)
    if recovers_first:
        zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    assert [zones.evacuation_time() for _ in range(2)] == [FIRST, BACKOFF * FIRST]


def test_a_directive_soon_after_a_recovery_does_not_hide_a_relapse(zones: Zones) -> None:
    assert zones.evacuation_time() == FIRST
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.direct(10 * SEC)
    assert zones.evacuation_time() == BACKOFF * FIRST


def test_a_zone_without_calls_does_not_recover_while_a_directive_holds(zones: Zones) -> None:
    """Failure prevented: the log says "recovered" of a zone that no call has gone to; its relapse is none."""
    assert zones.evacuation_time() == FIRST
    zones.direct(600 * SEC)
    assert zones.status == ZoneStatus.RECOVERING
    assert not [line for line in zones.log_lines if line.endswith("recovered")]
    assert zones.evacuation_time() == BACKOFF * FIRST


def test_a_zone_that_an_operator_lets_return_too_early_backs_off(zones: Zones) -> None:
    zones.tick_until(ZoneStatus.EVACUATED, BAD)
    zones.states.apply_directives(zones.now, {}, ("a",))
    assert zones.status == ZoneStatus.RECOVERING
    assert zones.evacuation_time() == BACKOFF * FIRST


def test_a_relapse_counts_as_one_within_its_window_only(zones: Zones) -> None:
    assert zones.evacuation_time() == FIRST
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.pass_time(SETTINGS.relapse_window // 2, GOOD)
    assert zones.evacuation_time() == BACKOFF * FIRST
    zones.tick_until(ZoneStatus.IN_SERVICE, GOOD)
    zones.pass_time(SETTINGS.relapse_window, GOOD)
    assert zones.evacuation_time() == FIRST
