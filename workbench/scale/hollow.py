"""Hollow members: the fleet runtime, its components and codec on real datagram sockets, without policy and
HTTP.

Many members share one event loop. Each runs the program's own fleet runtime unchanged on a wrapped event
loop. Its socket and timers pass through the wrapper, which counts datagrams, charges time to components and
drops what a partition between regions separates.
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
from workbench.scale.group import Group, MemberSpec
from workbench.scale.messages import Traffic
from workbench.scale.meter import RUNTIME, SOCKET, Meter
from workbench.scale.plan import Defect
from workbench.scale.program import Runtime, ViewChangeCallback, drop_updates, listen_to_changes, make_runtime

# Delay of a held member's timer: longer than any run, so that it never fires.
HELD_TIMER_S = 86_400.0
# Sender of the group list; no member has this name.
LIST_SENDER = "scale-run"
# Longest time since the group list was made.
LIST_MAX_AGE_US = 30_000_000
# Claims in each datagram of the group list; with 20 it stays under 1,200 bytes.
CLAIMS_PER_DATAGRAM = 20
SETTINGS = Settings(
    classes=(ClassSettings(Effect.IDEMPOTENT, latency_objective=1_000_000, deadline=2_000_000, worth=1.0),)
)


class QuietLog(Log):
    """A log that discards its lines."""

    def __init__(self) -> None:
        super().__init__("hollow", 0)

    def line(self, text: str) -> None:
        """Discard a line."""
        pass


class Network:
    """Traffic counters of the members of one process, and the partition of one region.

    Both directions are dropped at the hollow member, so a real node on the other side needs no change.
    """

    def __init__(self, group: Group, meter: Meter) -> None:
        self.meter = meter
        self.regions = {p.address: p.region for p in group.member_specs}
        self.cut_region: int | None = None
        self.traffic = Traffic()

    def is_separated(self, region: int, other: Address) -> bool:
        """Return whether the partition separates a member of `region` from an address."""
        cut = self.cut_region
        return cut is not None and (region == cut) != (self.regions.get(other) == cut)


class MeteredTransport:
    """A member's transport: counts sent datagrams, and drops those that a partition blocks."""

    def __init__(self, loop: MemberLoop, transport: asyncio.DatagramTransport) -> None:
        self.loop = loop
        self.transport = transport

    def sendto(self, data: bytes, to: Address) -> None:
        """Send one datagram, unless the member is held or the partition blocks it."""
        network = self.loop.network
        if self.loop.is_held:
            return
        if network.is_separated(self.loop.spec.region, to):
            network.traffic.lost += 1
            return
        network.traffic.datagrams_out += 1
        network.traffic.bytes_out += len(data)
        network.meter.run(SOCKET, self.transport.sendto, data, to)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class MeteredProtocol(asyncio.DatagramProtocol):
    """A member's protocol: counts received datagrams, and drops those that a partition blocks."""

    def __init__(self, loop: MemberLoop, inner: asyncio.DatagramProtocol) -> None:
        self.loop = loop
        self.inner = inner

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Hand the member a metered transport."""
        metered = MeteredTransport(self.loop, cast(asyncio.DatagramTransport, transport))
        self.inner.connection_made(cast(asyncio.DatagramTransport, metered))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Deliver one datagram, unless the member is held or deaf or the partition blocks it."""
        loop, network = self.loop, self.loop.network
        if loop.is_held or loop.is_deaf:
            return
        if network.is_separated(loop.spec.region, (addr[0], addr[1])):
            network.traffic.lost += 1
            return
        network.traffic.datagrams_in += 1
        network.traffic.bytes_in += len(data)
        network.meter.run(RUNTIME, self.inner.datagram_received, data, addr)

    def error_received(self, exc: Exception) -> None:
        """Pass a socket error on to the member."""
        self.inner.error_received(exc)


class MemberLoop:
    """The event loop of one member; while the member is held, no timer fires and no datagram passes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        spec: MemberSpec,
        is_held: bool,
        is_deaf: bool,
    ) -> None:
        self.loop = loop
        self.network = network
        self.spec = spec
        self.is_held = is_held
        self.is_deaf = is_deaf
        self.pending_timer: tuple[Callable[..., Any], tuple[Any, ...]] | None = None

    async def create_datagram_endpoint(
        self, protocol_factory: Callable[[], asyncio.DatagramProtocol], **options: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Open the member's socket, with the traffic counters in between."""
        return await self.loop.create_datagram_endpoint(
            lambda: MeteredProtocol(self, protocol_factory()), **options
        )

    def call_later(self, delay: float, callback: Callable[..., Any], *args: Any) -> asyncio.TimerHandle:
        """Set a timer whose callback is charged to the runtime."""
        if self.is_held:
            self.pending_timer = (callback, args)
            delay = HELD_TIMER_S
        return self.loop.call_later(delay, self.network.meter.run, RUNTIME, callback, *args)

    def release(self, delay: float) -> None:
        """Let the member answer from now on, and resume its timers after some seconds.

        All members answer before the first one sends: a member that pinged others which do not answer yet
        would suspect them.
        """
        self.is_held = False
        self.loop.call_later(delay, self.resume_timer)

    def resume_timer(self) -> None:
        """Run the timer callback that was set while the member was held."""
        pending_timer, self.pending_timer = self.pending_timer, None
        if pending_timer is not None:
            callback, args = pending_timer
            self.network.meter.run(RUNTIME, callback, *args)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.loop, name)


class HollowMember:
    """One member, over its restarts."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        group: Group,
        spec: MemberSpec,
        key: str,
        defect: Defect | None,
    ) -> None:
        self.loop = loop
        self.network = network
        self.group = group
        self.spec = spec
        self.key = key
        self.defect = defect
        self.runtime: Runtime | None = None
        self.member_loop: MemberLoop | None = None

    async def open(self, on_change: ViewChangeCallback, is_held: bool = False) -> None:
        """Start the member without knowledge of the group; call `on_change` with each change of its view."""
        log = QuietLog()
        lifecycle = Lifecycle(log)
        lifecycle.enter(Stage.SERVING)
        self.member_loop = MemberLoop(self.loop, self.network, self.spec, is_held, self.defect == "deaf")
        config = read_fleet(self.group.fleet_table(self.spec, self.key), self.spec.name)
        seed = self.group.seed * 100_003 + self.spec.index
        loop = cast(asyncio.AbstractEventLoop, self.member_loop)
        self.runtime = make_runtime(config, loop, seed, log, lifecycle, ignore_end, SETTINGS)
        await self.runtime.open()
        swim = self.swim
        listen_to_changes(swim, on_change)
        if self.defect == "quadratic":
            add_quadratic_work(swim, self.runtime.codec)

    @property
    def swim(self) -> Swim:
        """The member's membership state machine."""
        assert self.runtime is not None and self.runtime.swim is not None
        return self.runtime.swim

    def learn(self, datagrams: list[bytes]) -> None:
        """Receive the group list from datagrams, as if a member had sent it, and disseminate none of it.

        All members in it count as proven live, as after some time in the group.
        """
        self.mark_proven_live(LIST_SENDER)
        assert self.runtime is not None
        for data in datagrams:
            self.runtime.datagram_received(data, self.spec.address)
        for name in self.swim.members:
            self.mark_proven_live(name)
        drop_updates(self.swim)

    def mark_proven_live(self, name: str) -> None:
        """Mark a sender as proven live in the replay guard, if the measured revision has one.

        This is safe, since all members share the clock of one machine and the list was made shortly before.
        """
        runtime: Any = self.runtime
        if hasattr(runtime, "guard"):
            runtime.guard.senders.begin(name, runtime.stamp(), runtime.now(), LIST_MAX_AGE_US)

    def release(self, rng: Random) -> None:
        """Let the member send, from a random moment within the first period.

        Members that start at the same moment would probe in lockstep for the whole run.
        """
        assert self.member_loop is not None
        self.member_loop.release(rng.random() * self.group.period_ms / 1000)

    def kill(self) -> None:
        """End the member as SIGKILL would: close the port without a message to others."""
        if self.runtime is not None:
            self.runtime.close()
            self.runtime = None

    def states(self) -> dict[str, str]:
        """Return the state of each other member in this member's view, as its status page shows it."""
        assert self.runtime is not None
        return {m["name"]: m["state"] for m in self.runtime.view()["members"]}


def ignore_end() -> None:
    """Ignore a request to end the process, which other members share."""


def add_quadratic_work(swim: Swim, codec: Codec) -> None:
    """Inject a defect: at each tick, encode and discard one datagram for each known member."""
    tick = swim.tick
    message = Message(Kind.PING, swim.local_claim.name)

    def slow_tick(now: int) -> Any:
        for _ in swim.alive():
            codec.encode(message, 0)
        return tick(now)

    swim.tick = slow_tick  # type: ignore[method-assign]


def list_datagrams(
    group: Group, scope: MemberSpec, incarnations: dict[str, int], codec: Codec, wall_time_us: int
) -> list[bytes]:
    """Encode the members that `scope` must know, in datagrams as a member sends them.

    The sender is not a member: a member would ignore a list under its own name.
    """
    known_specs = [p for p in group.member_specs if group.in_scope(scope, p)]
    claims = [Claim(p.name, p.address, Status.ALIVE, incarnations[p.name]) for p in known_specs]
    parts = [claims[i : i + CLAIMS_PER_DATAGRAM] for i in range(0, len(claims), CLAIMS_PER_DATAGRAM)]
    messages = [Message(Kind.SYNC_ACK, LIST_SENDER, 0, "", tuple(part)) for part in parts]
    return [codec.encode(m, wall_time_us) for m in messages]
