"""Simulation of the same group on the virtual network, for comparison with a run.

Names, addresses and incarnations are as long as those of a run, so that datagrams have the same length. The
virtual network has periods of 1 s; rates and times are scaled to the period of the run. Not simulated are
sockets, the runtime around the components, and all delays of the machine.
"""

from __future__ import annotations

from random import Random
from statistics import median

from balancer.fleet.membership.swim import Address, Claim, Status, Swim
from workbench.explore.members import MemberNetwork
from workbench.scale.group import SEED_COUNT, Group
from workbench.scale.measurements import CPU_UNIT, SIMULATED_PREFIX, Figure
from workbench.scale.meter import Meter
from workbench.scale.plan import SETTLE_PERIODS, Fault, Plan, choose_victims
from workbench.scale.program import drop_updates

HOST = "127.100.100.100"
# A member is named after its port; five digits make the name as long as that of a hollow member.
FIRST_PORT = 10_000
# An incarnation as long as one by the wall clock.
INCARNATION = 1_800_000_000_000_000
POLL_INTERVAL_S = 0.25
# Shortest calm phase, in periods times members. Members of a small group exchange their views in step every
# 15 periods, so a short window sees one exchange more or less than its share.
MIN_MEMBER_PERIODS = 8_000


class SimulatedGroup(MemberNetwork):
    """A simulated group on one virtual clock; `run_period_s` is the period of the run to compare with."""

    def __init__(self, group: Group) -> None:
        super().__init__(0, 0.0, group.seed, codec=True)
        self.run_period_s = group.period_ms / 1000
        self.meter = Meter()
        addresses = [member_address(spec.index) for spec in group.member_specs]
        for address in addresses:
            self.meter_calls(self.add(address, addresses[:SEED_COUNT], INCARNATION))

    def meter_calls(self, swim: Swim) -> None:
        """Charge the state machine's time to `membership`."""
        for name in ("tick", "receive", "due"):
            setattr(swim, name, self.meter.metered("membership", getattr(swim, name)))

    def introduce_all(self) -> None:
        """Introduce the whole group to every member, without updates to disseminate."""
        claims = [
            Claim(s.local_claim.name, a, Status.ALIVE, s.local_claim.incarnation)
            for a, s in self.members.items()
        ]
        for swim in self.members.values():
            for claim in claims:
                swim.accept(self.clock.now, claim)
            drop_updates(swim)

    def datagram_count(self) -> int:
        """Return the number of datagrams that the running members have sent."""
        return sum(swim.counts.sent for swim in self.members.values())


def member_address(index: int) -> Address:
    """Return the address of a simulated member."""
    return HOST, FIRST_PORT + index


def simulate(plan: Plan, group: Group) -> list[Figure]:
    """Simulate a plan's joining, calm phase and first kill, and return the figures."""
    net = SimulatedGroup(group)
    figures = []
    if plan.start == "known":
        net.introduce_all()
    else:
        figures += joining_figures(net, plan)
    net.run(SETTLE_PERIODS)
    figures += calm_figures(net, max(plan.seconds / net.run_period_s, MIN_MEMBER_PERIODS / len(net.members)))
    kill = next((f for f in plan.fault if f.type == "kill"), None)
    if kill is not None:
        figures += kill_figures(net, plan, kill, group)
    return figures


def joining_figures(net: SimulatedGroup, plan: Plan) -> list[Figure]:
    """Return the times until members know the whole group; none if some did not in time."""
    joined: dict[Address, float] = {}
    elapsed_periods = 0.0
    while elapsed_periods < plan.join_s / net.run_period_s and len(joined) < len(net.members):
        net.run(POLL_INTERVAL_S)
        elapsed_periods += POLL_INTERVAL_S
        for address, swim in net.members.items():
            if address not in joined and len(swim.alive()) == len(net.members) - 1:
                joined[address] = elapsed_periods * net.run_period_s
    if len(joined) < len(net.members):
        return []
    return time_range_figures("join", list(joined.values()))


def calm_figures(net: SimulatedGroup, periods: float) -> list[Figure]:
    """Return processor time and traffic of a member over some periods."""
    sent, bytes_before, nanoseconds = net.datagram_count(), net.bytes, membership_ns(net)
    net.run(periods)
    share = 1 / len(net.members) / periods / net.run_period_s
    return [
        Figure(
            SIMULATED_PREFIX + "cpu.membership", CPU_UNIT, (membership_ns(net) - nanoseconds) / 1e3 * share
        ),
        Figure(SIMULATED_PREFIX + "datagrams_out", "1/member/s", (net.datagram_count() - sent) * share),
        Figure(SIMULATED_PREFIX + "bytes_out", "B/member/s", (net.bytes - bytes_before) * share),
    ]


def membership_ns(net: SimulatedGroup) -> int:
    """Return the nanoseconds of the state machines so far."""
    return net.meter.read()[0].get("membership", 0)


def kill_figures(net: SimulatedGroup, plan: Plan, kill: Fault, group: Group) -> list[Figure]:
    """Return the times until survivors noticed each death; none if some did not in time."""
    chosen = choose_victims(kill, list(group.member_specs), Random(f"fault {group.seed} 0"))
    victim_names = [net.kill(member_address(spec.index)) for spec in chosen]
    known: dict[tuple[Address, str], float] = {}
    expected = len(net.members) * len(victim_names)
    elapsed_periods = 0.0
    while elapsed_periods < plan.agree_s / net.run_period_s and len(known) < expected:
        net.run(POLL_INTERVAL_S)
        elapsed_periods += POLL_INTERVAL_S
        for address, swim in net.members.items():
            for name in victim_names:
                if (address, name) not in known and not holds_alive(swim, name):
                    known[address, name] = elapsed_periods * net.run_period_s
    return time_range_figures("death", list(known.values())) if len(known) == expected else []


def holds_alive(swim: Swim, name: str) -> bool:
    """Return whether a member has another one as alive or suspect."""
    return swim.status(name) in (Status.ALIVE, Status.SUSPECT)


def time_range_figures(name: str, found: list[float]) -> list[Figure]:
    """Return the greatest and the median of some times."""
    return [
        Figure(f"{SIMULATED_PREFIX}{name}.all", "s", max(found)),
        Figure(f"{SIMULATED_PREFIX}{name}.median", "s", median(found)),
    ]
