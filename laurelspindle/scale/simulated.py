"""The same components at the same size on the virtual network, to hold a run's figures against.

Names, addresses and incarnations are as long as those of a run, so that datagrams are as long. What the
virtual network leaves out: sockets, the runtime around the components, and every delay of the machine.
"""

from __future__ import annotations

from random import Random
from statistics import median
from time import process_time_ns

from brackenladder.fleet.membership.swim import Address, Claim, Send, Status, Swim, Timing
from laurelspindle.explore.members import Net
from laurelspindle.scale.group import SEEDS, Group, Place
from laurelspindle.scale.measurements import CPU_UNIT, SIMULATED, Figure
from laurelspindle.scale.plan import SETTLE_PERIODS, Fault, Plan, victims
from laurelspindle.scale.program import drop_updates

INCARNATION = 1_800_000_000_000_000  # as long as one by the wall clock
LOOK_S = 0.25
# Of calm. Small groups begin in step with their exchanges, each 15 periods: a short window sees one of them
# more or less than its share.
MIN_MEMBER_PERIODS = 8_000
SYNC_PERIODS = 15  # as the fleet runtime has it


class SimulatedGroup(Net):
    """The group's members on one virtual clock."""

    def __init__(self, group: Group) -> None:
        super().__init__(0, 0.0, group.seed, codec=True)
        self.group = group
        self.names: dict[Address, str] = {}
        self.membership_ns = 0
        self.seeds = [p.address for p in group.places[:SEEDS]]
        for place in group.places:
            self.join(place)

    def join(self, place: Place) -> None:
        """One member begins a life."""
        period = self.group.period_ms * 1000
        swim = Swim(
            place.name,
            place.address,
            INCARNATION + self.clock.now,
            [s for s in self.seeds if s != place.address],
            Random(self.rng.random()),
            self.clock.now,
            Timing(period=period, ack_within=period * 3 // 10, sync_every=SYNC_PERIODS * period),
        )
        self.members[place.address] = swim
        self.names[place.address] = place.name
        self.clock.call_at(swim.due(), self.wake, (place.address, swim))

    def wake(self, what: tuple[Address, Swim]) -> None:
        address, swim = what
        if self.members.get(address) is not swim:
            return
        begun = process_time_ns()
        sends = swim.tick(self.clock.now)
        due = swim.due()
        self.membership_ns += process_time_ns() - begun
        self.carry(address, sends)
        self.clock.call_at(max(self.clock.now + 1, due), self.wake, what)

    def carry(self, source: Address, sends: list[Send]) -> None:
        self.datagrams += len(sends)
        super().carry(source, sends)

    datagrams = 0

    def know_all(self) -> None:
        """Every member holds the whole group, and spreads none of it."""
        claims = [Claim(s.me.name, a, Status.ALIVE, s.me.incarnation) for a, s in self.members.items()]
        for swim in self.members.values():
            for claim in claims:
                swim.accept(self.clock.now, claim)
            drop_updates(swim)


def simulate(plan: Plan, group: Group) -> list[Figure]:
    """The figures of a run with this plan in simulation: joining, the calm, and the first kill."""
    net = SimulatedGroup(group)
    figures = []
    if plan.start == "known":
        net.know_all()
    else:
        figures += joining(net, plan)
    net.run(SETTLE_PERIODS * group.period_ms / 1000)
    least = MIN_MEMBER_PERIODS / len(net.members) * group.period_ms / 1000
    figures += calm(net, max(plan.seconds, least))
    kill = next((f for f in plan.fault if f.type == "kill"), None)
    if kill is not None:
        figures += killing(net, plan, kill)
    return figures


def joining(net: SimulatedGroup, plan: Plan) -> list[Figure]:
    joined: dict[Address, float] = {}
    passed = 0.0
    while passed < plan.join_s and len(joined) < len(net.members):
        net.run(LOOK_S)
        passed += LOOK_S
        for address, swim in net.members.items():
            if address not in joined and len(swim.alive()) == len(net.members) - 1:
                joined[address] = passed
    if len(joined) < len(net.members):
        return []
    return times("join", list(joined.values()))


def calm(net: SimulatedGroup, seconds: float) -> list[Figure]:
    net.membership_ns = net.bytes = net.datagrams = 0
    net.run(seconds)
    share = 1 / len(net.members) / seconds
    return [
        Figure(SIMULATED + "cpu.membership", CPU_UNIT, net.membership_ns / 1e3 * share),
        Figure(SIMULATED + "datagrams_out", "1/member/s", net.datagrams * share),
        Figure(SIMULATED + "bytes_out", "B/member/s", net.bytes * share),
    ]


def killing(net: SimulatedGroup, plan: Plan, kill: Fault) -> list[Figure]:
    chosen = victims(kill, list(net.group.places), Random(f"fault {net.group.seed} 0"))
    gone = {place.name for place in chosen}
    for place in chosen:
        del net.members[place.address]
    known: dict[tuple[Address, str], float] = {}
    expected = len(net.members) * len(gone)
    passed = 0.0
    while passed < plan.agree_s and len(known) < expected:
        net.run(LOOK_S)
        passed += LOOK_S
        for address, swim in net.members.items():
            for name in gone:
                if (address, name) not in known and swim.status(name) not in (Status.ALIVE, Status.SUSPECT):
                    known[address, name] = passed
    return times("death", list(known.values())) if len(known) == expected else []


def times(name: str, found: list[float]) -> list[Figure]:
    return [
        Figure(f"{SIMULATED}{name}.all", "s", max(found)),
        Figure(f"{SIMULATED}{name}.median", "s", median(found)),
    ]
