"""The fleet runtime: runs membership and the components on a node's event loop.

It owns the one timer, the order of calls, the log lines about members and the operators' page. Which
components there are is decided in `assembly.py`; the runtime itself knows none of them by name.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Any

from balancer.fleet.assembly import components_for
from balancer.fleet.clocks import Clocks
from balancer.fleet.component import Outgoing, WireMessage
from balancer.fleet.config import FleetConfig
from balancer.fleet.endpoint import DatagramEndpoint, unpredictable_seq
from balancer.fleet.member_table import member_table, spelled
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.replay_guard import Received
from balancer.fleet.membership.swim import Address, Claim, Send, Swim, Timing
from balancer.fleet.operator_pages import OperatorPages
from balancer.fleet.registry import MEMBERSHIP_KINDS, Registry
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy.interface import Settings

LOGGED_CHANGES = ("join", "suspect", "dead", "left", "alive", "refuted")
LATE_TICK = 50_000  # microseconds: a tick so late is counted, since the process itself was slow
MIN_WAIT = 1_000  # microseconds until the timer's next tick...
WAIT_AFTER_FAULT = 100_000  # ...and after one in which something failed, which stays due
SYNC_PERIODS = 15  # between two whole exchanges: what gossip missed is known after some of them
LEAVE_REPEATS = 3  # a datagram may be lost
STATUS_WITHOUT_VOTERS: dict[str, Any] = {"duties": None, "replace": None}


class FleetRuntime(DatagramEndpoint):
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
        super().__init__(Clocks(config.clock_file))
        self.config = config
        self.loop = loop
        self.seed = seed
        self.log = log
        self.life = life
        self.end = end
        self.settings = settings
        self.rng = Random(f"fleet {config.name} {seed}")
        self.timer: asyncio.TimerHandle | None = None
        self.swim: Swim | None = None
        self.late = 0  # ticks
        self.end_requested = False
        made = components_for(config, self)
        self.policy_adapter = made.adapter
        self.components = Registry(made.ordered, self.report)
        self.use_codec(Codec(list(config.keys), self.components.wires), config.name)
        pages = OperatorPages(self, made.adapter, made.duties, made.replacement)
        self.page, self.hold, self.give = pages.page, pages.hold, pages.give
        self.replace, self.zone = pages.replace, pages.zone

    async def open(self) -> None:
        """Takes the port and joins. An OSError if the address cannot be had."""
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        c = self.config
        self.swim = Swim(
            c.name,
            c.advertise,
            self.stamp(),
            [s for s in c.seeds if s != c.advertise],
            self.rng,
            self.now(),
            Timing(period=c.period, ack_within=c.period * 3 // 10, sync_every=SYNC_PERIODS * c.period),
            self.member_changed,
            unpredictable_seq(),
        )
        self.log.line(
            f"fleet joins name={c.name} zone={c.zone} region={c.region or '-'} listen={spelled(c.listen)}"
            f" advertise={spelled(c.advertise)} seeds={len(c.seeds)} incarnation={self.swim.me.incarnation}"
        )
        for component in self.components.ordered:
            component.open()
        self.tick()

    def leave(self) -> None:
        """SIGTERM: the others are told, and nothing is received or sent after that."""
        if self.swim is not None and self.transport is not None:
            self.components.each("leave", lambda component: self.deliver(component.leave(self.now())))
            farewell = self.swim.leave()
            for _ in range(LEAVE_REPEATS):
                self.send_membership(farewell)
        self.close()

    def close(self) -> None:
        """Closes the socket without a message: another process of this node goes on under its name."""
        self.components.each("close", lambda component: component.close())
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.close_socket()

    # ---- what components use ----------------------------------------------------------------------------

    @property
    def membership(self) -> Swim:
        assert self.swim is not None
        return self.swim

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

    def schedule(self, min_wait: int = MIN_WAIT) -> None:
        """Sets the timer to the next deadline."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.swim is not None:
            wait = max(min_wait, self.deadline() - self.now())
            self.timer = self.loop.call_later(wait / 1e6, self.tick)

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """When membership or a component has something to do."""
        assert self.swim is not None
        first = self.components.deadline(self.now())
        return self.swim.due() if first is None else min(first, self.swim.due())

    def tick(self) -> None:
        """Does what is due, and sets the timer again.

        Failure prevented: one fault in a component ends the process's part in the fleet, or takes a core.
        """
        assert self.swim is not None
        now = self.now()
        faults = self.events["fault"]
        self.late += now - self.swim.due() > LATE_TICK
        try:
            self.send_membership(self.swim.tick(now))
        except Exception as error:
            self.report("membership.tick", error)
        self.components.each("tick", lambda component: self.deliver(component.tick(now)))
        self.schedule(WAIT_AFTER_FAULT if self.events["fault"] > faults else MIN_WAIT)

    def report(self, what: str, error: Exception) -> None:
        """Tells the event loop's exception handler of a fault."""
        self.events["fault"] += 1
        self.loop.call_exception_handler({"message": f"fleet: {what} failed", "exception": error})

    # ---- messages in ------------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if self.swim is None:
            return
        admitted = self.admitted(data, (addr[0], addr[1]))
        if not admitted:
            return
        before = self.deadline()
        for received in admitted:
            self.handle(self.swim, received)
        if self.deadline() < before:
            self.schedule()

    def handle(self, swim: Swim, received: Received) -> None:
        """Acts upon a message, membership's or a component's."""
        if received.message.kind in MEMBERSHIP_KINDS:
            self.send_membership(swim.receive(self.now(), received.source, received.message))
        else:
            self.dispatch(received.message, received.source)

    def dispatch(self, message: WireMessage, sender: Address) -> None:
        """Hands a message to the component that has its kind."""
        component = self.components.owner(message.kind)
        if component is not None:
            handle = partial(component.received, self.now(), sender, message)
            self.components.guarded(component, "received", lambda: self.deliver(handle()), None)
        else:
            self.events["unhandled"] += 1

    def member_changed(self, change: str, claim: Claim) -> None:
        """Membership's view has changed."""
        self.events[change] += 1
        if change == "forgotten":
            self.guard.forget(claim.name)
            self.components.each("member_forgotten", lambda c: c.member_forgotten(claim.name))
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
        }
        page |= self.counters() | {"late_ticks": self.late}
        return page | STATUS_WITHOUT_VOTERS | self.components.status(now)
