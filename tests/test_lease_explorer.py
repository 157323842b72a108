"""Leases on the virtual network and in the exhaustive model, and mutants that both must detect."""

import pytest
from lease_support import SEC

from balancer.fleet.leases.messages import LeaseMessage
from workbench.explore.faults import Fault, FaultType
from workbench.explore.lease_model import Bounds, Model
from workbench.explore.lease_network import LeaseNetwork
from workbench.explore.leases import MUTANTS, explore, play, shrink


def test_seeds_with_all_faults_violate_no_rule_and_repeat() -> None:
    # The range contains a seed in which the receiver rejects a late act.
    totals, failed = explore(226, 375, "none", 1)
    assert not failed, failed[0]
    assert totals["holders"] > 250 and totals["late_acts"] > 0
    assert play(7) == play(7) and play(7) != play(8)


@pytest.mark.parametrize("clients", [2, 8])
def test_simultaneous_requests_yield_one_holder_within_a_second(clients: int) -> None:
    for seed in range(20):
        net = LeaseNetwork(seed, faults=[], voters=3, clients=clients)
        net.clock.run(SEC)
        holders = net.holders()
        assert len(holders) == 1 and net.trace.holders == 1


ALL_PROCESSES = ("v0", "v1", "v2", "a0", "a1")


def test_after_memory_loss_tokens_rise_with_the_wall_clock() -> None:
    """When only the voters forget, their clients still remember the last token. When all processes forget,
    tokens rise by Unix time; after a step back of the clocks, a new holder's acts are rejected until its
    tokens exceed the earlier ones."""
    step_back = Fault(FaultType.STEP, 9 * SEC, SEC, ALL_PROCESSES, amount=-3600.0)
    for processes, steps, acts_are_rejected in (
        (ALL_PROCESSES[:3], [step_back], False),
        (ALL_PROCESSES, [], False),
        (ALL_PROCESSES, [step_back], True),
    ):
        net = LeaseNetwork(
            3, faults=[*steps, Fault(FaultType.KILL, 10 * SEC, SEC // 10, processes)], voters=3, clients=2
        )
        trace = net.play()
        assert not trace.violations and trace.holders >= 2
        assert net.may_have_forgotten() and (trace.late_acts > 50) is acts_are_rejected


def test_rolling_voter_restarts_keep_tokens_rising() -> None:
    step_back = Fault(FaultType.STEP, 5 * SEC, SEC, ("a0", "a1"), amount=-3600.0)
    rolling_restarts = [Fault(FaultType.KILL, (6 + 4 * i) * SEC, SEC // 10, (f"v{i}",)) for i in range(3)]
    for seed in range(5):
        net = LeaseNetwork(seed, faults=[step_back, *rolling_restarts], voters=3, clients=2)
        trace = net.play()
        assert not trace.violations and trace.late_acts == 0 and not net.memory_lost


def test_process_killed_while_paused_sends_nothing_on_resume(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A killed process drops its deferred messages; otherwise a dead voter would grant a lease later."""
    faults = [
        Fault(FaultType.PAUSE, 5 * SEC, 4 * SEC, ("v0",)),
        Fault(FaultType.KILL, 8 * SEC, 5 * SEC, ("v0",)),
    ]
    net = LeaseNetwork(1, faults=faults, voters=3, clients=2)
    from_dead_processes = []
    send = net.network.send

    def record_and_send(source: str, to: str, payload: LeaseMessage) -> None:
        if not net.processes[source].is_running:
            from_dead_processes.append((net.clock.now, payload))
        send(source, to, payload)

    monkeypatch.setattr(net.network, "send", record_and_send)
    assert not net.play().violations
    assert from_dead_processes == []


@pytest.mark.parametrize(
    # The seed is the first one in which the mutant violates a rule.
    ("mutant", "seed"),
    [
        ("from-answer", 190),
        ("no-abstaining", 3),
        ("majority-of-living", 3),
        ("token-not-raised", 1),
        ("no-look-at-clock", 9),
    ],
)
def test_mutant_is_detected_and_its_faults_are_shrunk(mutant: str, seed: int) -> None:
    assert set(MUTANTS) == {"none", "from-answer", "no-abstaining", "majority-of-living"} | {
        "token-not-raised",
        "no-look-at-clock",
    }
    trace = shrink(seed, mutant)
    assert trace.violations and len(trace.faults) <= 3
    assert not play(seed, "none", trace.faults).violations


@pytest.mark.parametrize(
    ("mutant", "bounds", "violation"),
    [
        ("none", (8, 0, 1, 1), ""),
        ("none", (5, 1, 0, 1), ""),
        ("from-answer", (5, 1, 3, 0), "both clients hold the lease"),
        ("no-look-at-clock", (5, 0, 3, 0), "both clients hold the lease"),
        ("no-abstaining", (5, 1, 1, 1), "both clients hold the lease"),
        ("token-not-raised", (4, 0, 0, 1), "token 1 after 1"),
    ],
)
def test_small_model_is_explored_exhaustively(
    mutant: str, bounds: tuple[int, int, int, int], violation: str
) -> None:
    """Bounds are steps, message faults, pauses and restarts. The mutant majority-of-living is omitted here,
    as it takes 20 s."""
    findings = Model(mutant, Bounds(*bounds)).explore(400_000)
    assert findings.violation == violation
    assert findings.handovers > 0 and (violation or len(findings.layers) == bounds[0])
