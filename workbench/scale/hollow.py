"""Hollow members: the fleet's own runtime, components and codec on a real datagram socket, without policy and
HTTP, many of them on one event loop.

A member is the fleet runtime of the program, handed an event loop of ours. Its socket and timers pass
through that, so that datagrams are counted, time is charged to components and a cut between regions can be
laid, while the code of the fleet runs unchanged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, cast

from balancer.fleet.config import read_fleet
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Address, Claim, Kind, Message, Status, Swim
from balancer.net.process.lifecycle import Lifecycle, Stage
from balancer.net.process.log import Log
from balancer.policy.interface import ClassSettings, Effect, Settings
from workbench.scale.group import Group, Place
from workbench.scale.messages import Traffic
from workbench.scale.meter import RUNTIME, SOCKET, Meter
from workbench.scale.plan import Defect
from workbench.scale.program import Changed, Runtime, drop_updates, listen_to_changes, make_runtime

HELD_S = 86_400.0  # a timer of a member that is held: never, in a run that is bounded in time
LIST_SENDER = "scale-run"  # no member
LIST_MAX_AGE = 30_000_000  # microseconds since the list was made
CLAIMS_A_DATAGRAM = 20  # of the list that members begin with: under 1,200 bytes
SETTINGS = Settings(
    classes=(ClassSettings(Effect.IDEMPOTENT, latency_objective=1_000_000, deadline=2_000_000, worth=1.0),)
)


class QuietLog(Log):
    """A log that nobody reads."""

    def __init__(self) -> None:
        super().__init__("hollow", 0)

    def line(self, text: str) -> None:
        pass


class Network:
    """What lies between the members of one process and all others: the counters, and a cut of one region.

    Both directions are cut at the hollow member, so a real node that stands on the other side needs to know
    nothing of it.
    """

    def __init__(self, group: Group, meter: Meter) -> None:
        self.meter = meter
        self.regions = {p.address: p.region for p in group.places}
        self.cut_region: int | None = None
        self.traffic = Traffic()

    def separated(self, region: int, other: Address) -> bool:
        """Whether the cut lies between a member of `region` and an address."""
        cut = self.cut_region
        return cut is not None and (region == cut) != (self.regions.get(other) == cut)


class MeteredTransport:
    """A member's transport: counts what is sent, and loses what a cut takes."""

    def __init__(self, loop: MemberLoop, transport: asyncio.DatagramTransport) -> None:
        self.loop = loop
        self.transport = transport

    def sendto(self, data: bytes, to: Address) -> None:
        """One datagram out."""
        network = self.loop.network
        if self.loop.held:
            return
        if network.separated(self.loop.place.region, to):
            network.traffic.lost += 1
            return
        network.traffic.datagrams_out += 1
        network.traffic.bytes_out += len(data)
        network.meter.run(SOCKET, self.transport.sendto, data, to)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class MeteredProtocol(asyncio.DatagramProtocol):
    """Stands before a member's protocol: counts what comes in, and loses what a cut takes."""

    def __init__(self, loop: MemberLoop, inner: asyncio.DatagramProtocol) -> None:
        self.loop = loop
        self.inner = inner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        metered = MeteredTransport(self.loop, cast(asyncio.DatagramTransport, transport))
        self.inner.connection_made(cast(asyncio.DatagramTransport, metered))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        loop, network = self.loop, self.loop.network
        if loop.held or loop.deaf:
            return
        if network.separated(loop.place.region, (addr[0], addr[1])):
            network.traffic.lost += 1
            return
        network.traffic.datagrams_in += 1
        network.traffic.bytes_in += len(data)
        network.meter.run(RUNTIME, self.inner.datagram_received, data, addr)

    def error_received(self, exc: Exception) -> None:
        self.inner.error_received(exc)


class MemberLoop:
    """The event loop as one member sees it. While it is `held`, its timers rest and no datagram passes."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, network: Network, place: Place, held: bool, deaf: bool
    ) -> None:
        self.loop = loop
        self.network = network
        self.place = place
        self.held = held
        self.deaf = deaf
        self.resting: tuple[Callable[..., Any], tuple[Any, ...]] | None = None

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], asyncio.DatagramProtocol], **options: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """The member's socket, with the counters between it and the member."""
        return await self.loop.create_datagram_endpoint(
            lambda: MeteredProtocol(self, protocol_factory()), **options
        )

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """A timer whose work is charged to the runtime."""
        if self.held:
            self.resting = (callback, args)
            delay = HELD_S
        return self.loop.call_later(delay, self.network.meter.run, RUNTIME, callback, *args)

    def release(self, delay: float) -> None:
        """Lets the member answer from now on, and its timers go on after some seconds.

        Failure prevented: those that speak first ping those that do not answer yet, and suspect them.
        """
        self.held = False
        self.loop.call_later(delay, self.begin)

    def begin(self) -> None:
        resting, self.resting = self.resting, None
        if resting is not None:
            callback, args = resting
            self.network.meter.run(RUNTIME, callback, *args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


class HollowMember:
    """One member over all its lives."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        group: Group,
        place: Place,
        key: str,
        defect: Defect | None,
    ) -> None:
        self.loop = loop
        self.network = network
        self.group = group
        self.place = place
        self.key = key
        self.defect = defect
        self.host: Runtime | None = None
        self.member_loop: MemberLoop | None = None

    async def open(self, changed: Changed, held: bool = False) -> None:
        """Begins a life from nothing. `changed` hears of each change of its view."""
        log = QuietLog()
        life = Lifecycle(log)
        life.enter(Stage.SERVING)
        self.member_loop = MemberLoop(self.loop, self.network, self.place, held, self.defect == "deaf")
        config = read_fleet(self.group.fleet_table(self.place, self.key), self.place.name)
        seed = self.group.seed * 100_003 + self.place.index
        loop = cast(asyncio.AbstractEventLoop, self.member_loop)
        self.host = make_runtime(config, loop, seed, log, life, no_end, SETTINGS)
        await self.host.open()
        swim = self.swim
        listen_to_changes(swim, changed)
        if self.defect == "quadratic":
            work_for_each_member(swim, self.host.codec)

    @property
    def swim(self) -> Swim:
        """The state machine of its membership."""
        assert self.host is not None and self.host.swim is not None
        return self.host.swim

    def learn(self, datagrams: list[bytes]) -> None:
        """Takes the group's list from datagrams, as if a member had sent it, and spreads none of it. All in
        it count as proven live, as after some time in the group."""
        self.believe_live(LIST_SENDER)
        assert self.host is not None
        for data in datagrams:
            self.host.datagram_received(data, self.place.address)
        for name in self.swim.members:
            self.believe_live(name)
        drop_updates(self.swim)

    def believe_live(self, name: str) -> None:
        """Spares a sender the proof that it is live. The members run on one machine, whose clock they share;
        the list was made shortly before. Versions before have no guard."""
        host: Any = self.host
        if hasattr(host, "guard"):
            host.guard.senders.begin(name, host.stamp(), host.now(), LIST_MAX_AGE)

    def release(self, rng: Random) -> None:
        """Lets it speak, at a moment of its own within the first period: members that begin in step would
        stay in step."""
        assert self.member_loop is not None
        self.member_loop.release(rng.random() * self.group.period_ms / 1000)

    def kill(self) -> None:
        """Ends as by SIGKILL: the port closes and nobody is told."""
        if self.host is not None:
            self.host.close()
            self.host = None

    def states(self) -> dict[str, str]:
        """Its own view, as the operators' page has it: the state of each other member."""
        assert self.host is not None
        return {m["name"]: m["state"] for m in self.host.view()["members"]}


def no_end() -> None:
    """A hollow member isn't a process that could be ended."""


def work_for_each_member(swim: Swim, codec: Codec) -> None:
    """A defect on purpose: at each tick one datagram is encoded, and thrown away, for each member known."""
    tick = swim.tick
    message = Message(Kind.PING, swim.local_claim.name)

    def slow_tick(now: int) -> Any:
        for _ in swim.alive():
            codec.encode(message, 0)
        return tick(now)

    swim.tick = slow_tick  # type: ignore[method-assign]


def list_datagrams(
    group: Group, scope: Place, incarnations: dict[str, int], codec: Codec, wall: int
) -> list[bytes]:
    """What a member like `scope` has to know, in datagrams as a member sends them.

    Failure prevented: the list comes under a member's name, and that member ignores it as its own.
    """
    known = [p for p in group.places if group.in_scope(scope, p)]
    claims = [Claim(p.name, p.address, Status.ALIVE, incarnations[p.name]) for p in known]
    parts = [claims[i : i + CLAIMS_A_DATAGRAM] for i in range(0, len(claims), CLAIMS_A_DATAGRAM)]
    messages = [Message(Kind.SYNC_ACK, LIST_SENDER, 0, "", tuple(part)) for part in parts]
    return [codec.encode(m, wall) for m in messages]
