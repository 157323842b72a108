"""The same components at the same size on the virtual network, to hold a run's figures against.

Names, addresses and incarnations are as long as those of a run, so that datagrams are as long. The virtual
network has periods of 1 s, and the figures are those of a run with its own period: rates and times in
proportion. What it leaves out: sockets, the runtime around the components, and every delay of the machine.
"""

from __future__ import annotations

from random import Random
from statistics import median

from balancer.fleet.membership.swim import Address, Claim, Status, Swim
from workbench.explore.members import Net
from workbench.scale.group import SEEDS, Group
from workbench.scale.measurements import CPU_UNIT, SIMULATED, Figure
from workbench.scale.meter import Meter
from workbench.scale.plan import SETTLE_PERIODS, Fault, Plan, victims
from workbench.scale.program import drop_updates

HOST = "127.100.100.100"
FIRST_PORT = 10_000  # a member's name has its port: as long as the names of hollow members
INCARNATION = 1_800_000_000_000_000  # as long as one by the wall clock
LOOK_S = 0.25
# Of calm. Small groups begin in step with their exchanges, each 15 periods: a short window sees one of them
# more or less than its share.
MIN_MEMBER_PERIODS = 8_000


class SimulatedGroup(Net):
    """So many members on one virtual clock. `run_period_s`: of the run that they are held against."""

    def __init__(self, group: Group) -> None:
        super().__init__(0, 0.0, group.seed, codec=True)
        self.run_period_s = group.period_ms / 1000
        self.meter = Meter()
        addresses = [address_of(place.index) for place in group.places]
        for address in addresses:
            self.charge(self.add(address, addresses[:SEEDS], INCARNATION))

    def charge(self, swim: Swim) -> None:
        """Charges the state machine's time to `membership`."""
        for name in ("tick", "receive", "due"):
            setattr(swim, name, self.meter.measured("membership", getattr(swim, name)))

    def know_all(self) -> None:
        """Every member holds the whole group, and spreads none of it."""
        claims = [
            Claim(s.local_claim.name, a, Status.ALIVE, s.local_claim.incarnation)
            for a, s in self.members.items()
        ]
        for swim in self.members.values():
            for claim in claims:
                swim.accept(self.clock.now, claim)
            drop_updates(swim)

    def datagram_count(self) -> int:
        """Datagrams of all members that run."""
        return sum(swim.counts.sent for swim in self.members.values())


def address_of(index: int) -> Address:
    return HOST, FIRST_PORT + index


def simulate(plan: Plan, group: Group) -> list[Figure]:
    """The figures of a run with this plan in simulation: joining, the calm, and the first kill."""
    net = SimulatedGroup(group)
    figures = []
    if plan.start == "known":
        net.know_all()
    else:
        figures += joining(net, plan)
    net.run(SETTLE_PERIODS)
    figures += calm(net, max(plan.seconds / net.run_period_s, MIN_MEMBER_PERIODS / len(net.members)))
    kill = next((f for f in plan.fault if f.type == "kill"), None)
    if kill is not None:
        figures += killing(net, plan, kill, group)
    return figures


def joining(net: SimulatedGroup, plan: Plan) -> list[Figure]:
    joined: dict[Address, float] = {}
    passed = 0.0
    while passed < plan.join_s / net.run_period_s and len(joined) < len(net.members):
        net.run(LOOK_S)
        passed += LOOK_S
        for address, swim in net.members.items():
            if address not in joined and len(swim.alive()) == len(net.members) - 1:
                joined[address] = passed * net.run_period_s
    if len(joined) < len(net.members):
        return []
    return times("join", list(joined.values()))


def calm(net: SimulatedGroup, periods: float) -> list[Figure]:
    sent, size, nanoseconds = net.datagram_count(), net.bytes, spent(net)
    net.run(periods)
    share = 1 / len(net.members) / periods / net.run_period_s
    return [
        Figure(SIMULATED + "cpu.membership", CPU_UNIT, (spent(net) - nanoseconds) / 1e3 * share),
        Figure(SIMULATED + "datagrams_out", "1/member/s", (net.datagram_count() - sent) * share),
        Figure(SIMULATED + "bytes_out", "B/member/s", (net.bytes - size) * share),
    ]


def spent(net: SimulatedGroup) -> int:
    """Nanoseconds of the state machines so far."""
    return net.meter.read()[0].get("membership", 0)


def killing(net: SimulatedGroup, plan: Plan, kill: Fault, group: Group) -> list[Figure]:
    chosen = victims(kill, list(group.places), Random(f"fault {group.seed} 0"))
    gone = [net.kill(address_of(place.index)) for place in chosen]
    known: dict[tuple[Address, str], float] = {}
    expected = len(net.members) * len(gone)
    passed = 0.0
    while passed < plan.agree_s / net.run_period_s and len(known) < expected:
        net.run(LOOK_S)
        passed += LOOK_S
        for address, swim in net.members.items():
            for name in gone:
                if (address, name) not in known and not held_alive(swim, name):
                    known[address, name] = passed * net.run_period_s
    return times("death", list(known.values())) if len(known) == expected else []


def held_alive(swim: Swim, name: str) -> bool:
    return swim.status(name) in (Status.ALIVE, Status.SUSPECT)


def times(name: str, found: list[float]) -> list[Figure]:
    return [
        Figure(f"{SIMULATED}{name}.all", "s", max(found)),
        Figure(f"{SIMULATED}{name}.median", "s", median(found)),
    ]
