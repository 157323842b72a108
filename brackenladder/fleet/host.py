"""The fleet runtime: runs membership and the components on a node's event loop.

It owns the datagram socket, the one timer, the clocks, the log lines about members and the operators' page.
Which components there are is decided in `assembly.py`; the runtime itself knows none of them by name.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns
from typing import Any, cast

from brackenladder.fleet.assembly import components_for
from brackenladder.fleet.component import Component, Outgoing, WireMessage
from brackenladder.fleet.config import FleetConfig
from brackenladder.fleet.membership.codec import Codec
from brackenladder.fleet.membership.swim import Address, Claim, Send, Swim, Timing
from brackenladder.fleet.operator_pages import OperatorPages
from brackenladder.fleet.registry import MEMBERSHIP_KINDS, Registry
from brackenladder.interface import Settings
from brackenladder.net.lifecycle import Lifecycle
from brackenladder.net.log import Log

LOGGED_CHANGES = ("join", "suspect", "dead", "left", "alive", "refuted")
LATE_TICK = 50_000  # microseconds: a tick so late is counted, since the process itself was slow
MIN_WAIT = 1_000  # microseconds until the timer's next tick
SYNC_PERIODS = 15  # between two whole exchanges: what gossip missed is known after some of them
LEAVE_REPEATS = 3  # a datagram may be lost
STATUS_WITHOUT_VOTERS: dict[str, Any] = {"duties": None, "replace": None}


class Host(asyncio.DatagramProtocol):
    """One process's part in the fleet. Open from `open` to `close`; each life is a new incarnation."""

    def __init__(
        self,
        config: FleetConfig,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        log: Log,
        life: Lifecycle,
        end: Callable[[], None],
        settings: Settings,
    ) -> None:
        """`end`: ends this process as SIGTERM does."""
        self.config = config
        self.loop = loop
        self.seed = seed
        self.log = log
        self.life = life
        self.end = end
        self.settings = settings
        self.rng = Random(f"fleet {config.name} {seed}")
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.swim: Swim | None = None
        self.wall_offset = 0  # microseconds; a lab's alone
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.bytes_out = self.bytes_in = self.late = 0
        self.end_requested = False
        made = components_for(config, self)
        self.hand = made.hand
        self.components = Registry(made.ordered)
        self.codec = Codec(list(config.keys), self.components.wires)
        pages = OperatorPages(self, made.hand, made.duties, made.replacement)
        self.page, self.hold, self.give = pages.page, pages.hold, pages.give
        self.replace, self.zone = pages.replace, pages.zone

    async def open(self) -> None:
        """Takes the port and joins. An OSError if the address cannot be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        c = self.config
        self.swim = Swim(
            c.name,
            c.advertise,
            self.wall(),
            [s for s in c.seeds if s != c.advertise],
            self.rng,
            self.now(),
            Timing(period=c.period, ack_within=c.period * 3 // 10, sync_every=SYNC_PERIODS * c.period),
            self.member_changed,
        )
        self.log.line(
            f"fleet joins name={c.name} zone={c.zone} region={c.region or '-'} listen={spelled(c.listen)}"
            f" advertise={spelled(c.advertise)} seeds={len(c.seeds)} incarnation={self.incarnation}"
        )
        for component in self.components.ordered:
            component.open()
        self.tick()

    def leave(self) -> None:
        """SIGTERM: the others are told, and nothing is received or sent after that."""
        if self.swim is not None and self.transport is not None:
            for component in self.components.ordered:
                self.run(component, "leave", partial(component.leave, self.now()))
            farewell = self.swim.leave()
            for _ in range(LEAVE_REPEATS):
                self.send_membership(farewell)
        self.close()

    def close(self) -> None:
        """Closes the socket without a message: another process of this node goes on under its name."""
        for component in self.components.ordered:
            component.close()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    # ---- what components use ----------------------------------------------------------------------------

    @property
    def is_open(self) -> bool:
        return self.transport is not None

    @property
    def incarnation(self) -> int:
        assert self.swim is not None
        return self.swim.me.incarnation

    def now(self) -> int:
        """Microseconds of a clock that goes on while the process or the machine is paused, read now: the
        loop's own time stands still within a turn."""
        return clock_gettime_ns(CLOCK_BOOTTIME) // 1000

    def wall(self) -> int:
        """Microseconds of Unix time, which may step."""
        if self.config.clock_file is not None:
            with suppress(OSError, ValueError):
                self.wall_offset = int(Path(self.config.clock_file).read_text()) * 1000
        return time_ns() // 1000 + self.wall_offset

    def stream(self, purpose: str) -> Random:
        return Random(f"fleet {self.config.name} {self.seed} {purpose}")

    def alive(self) -> list[str]:
        return self.swim.alive() if self.swim is not None else []

    def gone(self) -> list[str]:
        return sorted(n for n, m in self.swim.members.items() if m.gone) if self.swim is not None else []

    def address_of(self, member: str) -> Address | None:
        found = self.swim.members.get(member) if self.swim is not None else None
        return found.claim.address if found is not None else None

    def end_process(self) -> None:
        self.end_requested = True

    def schedule(self) -> None:
        """Sets the timer to the next deadline."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.swim is not None:
            wait = max(MIN_WAIT, self.deadline() - self.now())
            self.timer = self.loop.call_later(wait / 1e6, self.tick)

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """When membership or a component has something to do."""
        assert self.swim is not None
        first = self.components.deadline(self.now())
        return self.swim.due() if first is None else min(first, self.swim.due())

    def tick(self) -> None:
        """Does what is due, and sets the timer again.

        Failure prevented: one fault in a component ends the process's part in the fleet for good.
        """
        assert self.swim is not None
        now = self.now()
        self.late += now - self.swim.due() > LATE_TICK
        try:
            self.send_membership(self.swim.tick(now))
        except Exception as error:
            self.report("membership", "tick", error)
        for component in self.components.ordered:
            self.run(component, "tick", partial(component.tick, now))
        self.schedule()

    def run(self, component: Component, action: str, call: Callable[[], Sequence[Outgoing]]) -> None:
        """Calls a component and sends what it returns. Its fault is reported and ends nothing else."""
        try:
            self.deliver(call())
        except Exception as error:
            self.report(type(component).__name__, action, error)

    def report(self, what: str, action: str, error: Exception) -> None:
        self.events["fault"] += 1
        context = {"message": f"fleet: {what}.{action} failed", "exception": error}
        self.loop.call_exception_handler(context)

    # ---- messages in ------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if self.swim is None:
            return
        self.bytes_in += len(data)
        message = self.codec.decode(data, self.wall())
        if message is None:
            return
        self.received[message.kind.name.lower()] += 1
        before = self.deadline()
        sender = (addr[0], addr[1])
        if message.kind in MEMBERSHIP_KINDS:
            self.send_membership(self.swim.receive(self.now(), sender, message))
        else:
            self.dispatch(message, sender)
        if self.deadline() < before:
            self.schedule()

    def dispatch(self, message: WireMessage, sender: Address) -> None:
        """Hands a message to the component that has its kind."""
        component = self.components.owner(message.kind)
        if component is None:
            self.events["unhandled"] += 1
            return
        self.run(component, "received", partial(component.received, self.now(), sender, message))

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed, or the network is: membership learns of it by silence."""
        self.events["unreachable"] += 1

    def member_changed(self, change: str, claim: Claim) -> None:
        """Membership's view has changed."""
        self.events[change] += 1
        if change == "forgotten":
            self.codec.forget(claim.name)
            self.components.member_forgotten(claim.name)
        if change in LOGGED_CHANGES:
            at = spelled(claim.address)
            self.log.line(f"fleet {change} member={claim.name} at={at} incarnation={claim.incarnation}")

    # ---- messages out -----------------------------------------------------------------------------------

    def deliver(self, outgoing: Sequence[Outgoing]) -> None:
        """Sends what a component returned; what is addressed to this process itself is handled at once."""
        waiting = deque(outgoing)
        while waiting:
            out = waiting.popleft()
            if out.to == self.config.name:
                waiting.extend(self.loop_back(out.message))
                continue
            address = self.address_of(out.to) if isinstance(out.to, str) else out.to
            if address is None:
                self.events["unknown"] += 1
            else:
                self.transmit(out.message, address)
        if self.end_requested:
            self.end_requested = False
            self.end()

    def loop_back(self, message: WireMessage) -> Sequence[Outgoing]:
        component = self.components.owner(message.kind)
        return component.received(self.now(), self.config.advertise, message) if component is not None else ()

    def send_membership(self, sends: Sequence[Send]) -> None:
        for send in sends:
            self.transmit(send.message, send.to)

    def transmit(self, message: WireMessage, to: Address) -> None:
        """Sends one datagram, if the socket is open."""
        if self.transport is None:
            return
        data = self.codec.encode(message, self.wall())
        try:
            self.transport.sendto(data, to)
        except (OSError, ValueError):  # an address that cannot be sent to is its member's fault alone
            self.events["unsendable"] += 1
            return
        self.sent[message.kind.name.lower()] += 1
        self.bytes_out += len(data)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """The page: this process's own view, with ages in seconds, and its counters."""
        swim, config, now = self.swim, self.config, self.now()
        page = {
            "name": config.name,
            "zone": config.zone,
            "region": config.region,
            "open": self.is_open,
            "incarnation": swim.me.incarnation if swim is not None else 0,
            "members": member_table(swim, now) if swim is not None else [],
            "sent": dict(self.sent),
            "received": dict(self.received),
            "refused": dict(self.codec.dropped),
            "events": dict(self.events),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "late_ticks": self.late,
        }
        return page | STATUS_WITHOUT_VOTERS | self.components.status(now)


def member_table(swim: Swim, now: int) -> list[dict[str, Any]]:
    """All known members but this one, by name; ages in seconds."""
    return [
        {
            "name": name,
            "address": spelled(member.claim.address),
            "state": member.claim.status.name.lower(),
            "incarnation": member.claim.incarnation,
            "age_s": round((now - member.since) / 1e6, 3),
        }
        for name, member in sorted(swim.members.items())
    ]


def spelled(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
