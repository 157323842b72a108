"""Leases on the virtual network and in the small model, and mutants that both must catch."""

import pytest
from lease_support import SEC

from balancer.fleet.leases.messages import LeaseMessage
from workbench.explore.faults import Fault, FaultType
from workbench.explore.lease_model import Bounds, Model
from workbench.explore.lease_network import LeaseNetwork
from workbench.explore.leases import MUTANTS, explore, play, shrink


def test_seeds_with_all_faults_violate_nothing_and_repeat() -> None:
    sums, broken = explore(226, 375, "none", 1)  # among them one in which an act comes too late
    assert not broken, broken[0]
    assert sums["holders"] > 250 and sums["late_acts"] > 0
    assert play(7) == play(7) and play(7) != play(8)


@pytest.mark.parametrize("clients", [2, 8])
def test_clients_that_request_at_one_instant_soon_have_a_holder(clients: int) -> None:
    for seed in range(20):
        net = LeaseNetwork(seed, faults=[], voters=3, clients=clients)
        net.clock.run(SEC)
        holders = net.holders()
        assert len(holders) == 1 and net.trace.holders == 1


ALL = ("v0", "v1", "v2", "a0", "a1")


def test_when_all_forget_at_once_the_token_rises_as_far_as_wall_clocks_do() -> None:
    """Voters alone: whoever asked before remembers. All processes: Unix time carries the rise, if it does not
    step back; then the next holder's acts are refused until its tokens are up again."""
    back = Fault(FaultType.STEP, 9 * SEC, SEC, ALL, amount=-3600.0)
    for who, steps, refused in ((ALL[:3], [back], False), (ALL, [], False), (ALL, [back], True)):
        net = LeaseNetwork(
            3, faults=[*steps, Fault(FaultType.KILL, 10 * SEC, SEC // 10, who)], voters=3, clients=2
        )
        trace = net.play()
        assert not trace.violations and trace.holders >= 2
        assert net.forgot() and (trace.late_acts > 50) is refused


def test_when_voters_come_back_one_after_another_the_token_rises_whatever_wall_clocks_do() -> None:
    back = Fault(FaultType.STEP, 5 * SEC, SEC, ("a0", "a1"), amount=-3600.0)
    one_by_one = [Fault(FaultType.KILL, (6 + 4 * i) * SEC, SEC // 10, (f"v{i}",)) for i in range(3)]
    for seed in range(5):
        net = LeaseNetwork(seed, faults=[back, *one_by_one], voters=3, clients=2)
        trace = net.play()
        assert not trace.violations and trace.late_acts == 0 and not net.memory_lost


def test_a_process_killed_while_it_is_paused_sends_nothing_when_the_pause_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure prevented: a dead voter grants a lease with what it was sent before its death."""
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
    ("mutant", "seed"),  # the first seed that shows it
    [
        ("from-answer", 190),
        ("no-abstaining", 3),
        ("majority-of-living", 3),
        ("token-not-raised", 1),
        ("no-look-at-clock", 9),
    ],
)
def test_a_program_broken_on_purpose_is_caught_and_shrunk(mutant: str, seed: int) -> None:
    assert set(MUTANTS) == {"none", "from-answer", "no-abstaining", "majority-of-living"} | {
        "token-not-raised",
        "no-look-at-clock",
    }
    trace = shrink(seed, mutant)
    assert trace.violations and len(trace.faults) <= 3
    assert not play(seed, "none", trace.faults).violations


@pytest.mark.parametrize(
    ("mutant", "bounds", "broken"),
    [
        ("none", (8, 0, 1, 1), ""),
        ("none", (5, 1, 0, 1), ""),
        ("from-answer", (5, 1, 3, 0), "both clients hold the lease"),
        ("no-look-at-clock", (5, 0, 3, 0), "both clients hold the lease"),
        ("no-abstaining", (5, 1, 1, 1), "both clients hold the lease"),
        ("token-not-raised", (4, 0, 0, 1), "token 1 after 1"),
    ],
)
def test_a_small_model_is_explored_to_its_end(
    mutant: str, bounds: tuple[int, int, int, int], broken: str
) -> None:
    """Steps, upsets, sleeps, restarts; the last mutant, a majority of the living, takes 20 s by hand."""
    findings = Model(mutant, Bounds(*bounds)).explore(400_000)
    assert findings.violation == broken
    assert findings.handovers > 0 and (broken or len(findings.layers) == bounds[0])
