"""The fleet runtime: runs membership and the components on a node's event loop.

It owns the one timer, the order of calls, the log lines about members and the operators' page. Which
components there are is decided in `assembly.py`; the runtime's own loop knows none of them by name.
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
from balancer.fleet.member_table import format_address, member_table
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.replay_guard import Received
from balancer.fleet.membership.swim import Address, Claim, OutgoingMessage, Swim, Timing
from balancer.fleet.operator_pages import OperatorPages
from balancer.fleet.registry import MEMBERSHIP_KINDS, Registry
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy.interface import Settings

LOGGED_CHANGES = ("join", "suspect", "dead", "left", "alive", "refuted")
LATE_TICK_US = 50_000  # a tick later than that is counted, since the process itself was slow
MIN_WAIT_US = 1_000  # until the timer's next tick...
WAIT_AFTER_FAULT_US = 100_000  # ...and after a tick in which something failed, which stays due
ACK_TIMEOUT_TENTHS = 3  # of membership's period
SYNC_PERIODS = 15  # between two full state exchanges, which repair what gossip missed
LEAVE_REPEATS = 3  # a datagram may be lost
MICROSECONDS = 1e6  # in a second
STATUS_WITHOUT_VOTERS: dict[str, Any] = {"duties": None, "replace": None}


class FleetRuntime(DatagramEndpoint):
    """One process's part in the fleet. Each time from `open` to `close` is a new incarnation.

    Args:
        config: The process's place in its fleet.
        loop: The node's event loop.
        seed: Seeds the random streams, together with the process's name.
        log: The node's log.
        lifecycle: Whether the node serves, drains or ends.
        terminate: Ends this process as SIGTERM does.
        settings: The policy's settings.
    """

    def __init__(
        self,
        config: FleetConfig,
        loop: asyncio.AbstractEventLoop,
        seed: int,
        log: Log,
        lifecycle: Lifecycle,
        terminate: Callable[[], None],
        settings: Settings,
    ) -> None:
        super().__init__(Clocks(config.clock_file))
        self.config = config
        self.loop = loop
        self.seed = seed
        self.log = log
        self.lifecycle = lifecycle
        self.terminate = terminate
        self.settings = settings
        self.rng = Random(f"fleet {config.name} {seed}")
        self.timer: asyncio.TimerHandle | None = None
        self.swim: Swim | None = None
        self.late_ticks = 0
        self.termination_requested = False
        made = components_for(config, self)
        self.policy_adapter = made.policy_adapter
        self.components = Registry(made.ordered, self.report)
        self.use_codec(Codec(list(config.keys), self.components.wires), config.name)
        self.pages = OperatorPages(self, made.policy_adapter, made.leases, made.rolling_update)

    async def open(self) -> None:
        """Takes the port and joins.

        Raises:
            OSError: The address cannot be had.
        """
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        self.swim = self.make_membership()
        self.log_join(self.swim)
        for component in self.components.ordered:
            component.open()
        self.tick()

    def make_membership(self) -> Swim:
        """Returns the state machine of a new incarnation."""
        config = self.config
        return Swim(
            config.name,
            config.advertise,
            self.stamp(),
            [seed for seed in config.seeds if seed != config.advertise],
            self.rng,
            self.now(),
            Timing(
                period=config.period,
                ack_timeout=config.period * ACK_TIMEOUT_TENTHS // 10,
                sync_interval=SYNC_PERIODS * config.period,
            ),
            self.member_changed,
            unpredictable_seq(),
        )

    def log_join(self, swim: Swim) -> None:
        """Logs under which name and addresses the process joins."""
        config = self.config
        self.log.line(
            f"fleet joins name={config.name} zone={config.zone} region={config.region or '-'}"
            f" listen={format_address(config.listen)} advertise={format_address(config.advertise)}"
            f" seeds={len(config.seeds)} incarnation={swim.me.incarnation}"
        )

    def leave(self) -> None:
        """Notifies the others at SIGTERM. Nothing is received or sent after that."""
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
        """Membership of the own group, from `open` on."""
        assert self.swim is not None
        return self.swim

    def stream(self, purpose: str) -> Random:
        """Returns a random stream of a component's own, the same for the same seed."""
        return Random(f"fleet {self.config.name} {self.seed} {purpose}")

    def alive(self) -> list[str]:
        """Returns the names of the other members that are alive or suspect."""
        return self.swim.alive() if self.swim is not None else []

    def gone(self) -> list[str]:
        """Returns the names of members that have left or died and are not forgotten yet."""
        if self.swim is None:
            return []
        return sorted(name for name, member in self.swim.members.items() if member.gone)

    def address_of(self, member: str) -> Address | None:
        """Returns where a member receives datagrams; None if it is not known."""
        found = self.swim.members.get(member) if self.swim is not None else None
        return found.claim.address if found is not None else None

    def end_process(self) -> None:
        """Ends the process as SIGTERM does, after what the component returns has been sent."""
        self.termination_requested = True

    def schedule(self, min_wait: int = MIN_WAIT_US) -> None:
        """Sets the timer to the next deadline."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.swim is not None:
            wait = max(min_wait, self.deadline() - self.now())
            self.timer = self.loop.call_later(wait / MICROSECONDS, self.tick)

    # ---- time -------------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """Returns when membership or a component has something to do."""
        assert self.swim is not None
        earliest = self.components.deadline(self.now())
        return self.swim.due() if earliest is None else min(earliest, self.swim.due())

    def tick(self) -> None:
        """Does what is due, and sets the timer again.

        Failure prevented: one fault in a component ends the process's part in the fleet, or takes a core.
        """
        assert self.swim is not None
        now = self.now()
        faults = self.events["fault"]
        self.late_ticks += now - self.swim.due() > LATE_TICK_US
        try:
            self.send_membership(self.swim.tick(now))
        except Exception as error:
            self.report("membership.tick", error)
        self.components.each("tick", lambda component: self.deliver(component.tick(now)))
        self.schedule(WAIT_AFTER_FAULT_US if self.events["fault"] > faults else MIN_WAIT_US)

    def report(self, what: str, error: Exception) -> None:
        """Hands a fault to the event loop's exception handler."""
        self.events["fault"] += 1
        self.loop.call_exception_handler({"message": f"fleet: {what} failed", "exception": error})

    # ---- messages in ------------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handles a datagram; the event loop calls this."""
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
        """Handles a message, membership's or a component's."""
        if received.message.kind in MEMBERSHIP_KINDS:
            self.send_membership(swim.receive(self.now(), received.source, received.message))
        else:
            self.dispatch(received.message, received.source)

    def dispatch(self, message: WireMessage, sender: Address) -> None:
        """Hands a message to the component that owns its kind."""
        component = self.components.owner(message.kind)
        if component is None:
            self.events["unhandled"] += 1
            return
        handle = partial(component.received, self.now(), sender, message)
        self.components.guarded(component, "received", lambda: self.deliver(handle()), None)

    def member_changed(self, change: str, claim: Claim) -> None:
        """Counts and logs a change of membership's view; components drop a member that is forgotten."""
        self.events[change] += 1
        if change == "forgotten":
            self.guard.forget(claim.name)
            self.components.each("member_forgotten", lambda c: c.member_forgotten(claim.name))
        if change in LOGGED_CHANGES:
            address = format_address(claim.address)
            self.log.line(f"fleet {change} member={claim.name} at={address} incarnation={claim.incarnation}")

    # ---- messages out -----------------------------------------------------------------------------------

    def deliver(self, outgoing: Sequence[Outgoing]) -> None:
        """Sends what a component returned; what is addressed to this process itself is handled at once."""
        queue = deque(outgoing)
        while queue:
            item = queue.popleft()
            if item.to == self.config.name:
                queue.extend(self.deliver_locally(item.message))
                continue
            address = self.address_of(item.to) if isinstance(item.to, str) else item.to
            if address is None:
                self.events["unknown"] += 1
            else:
                self.transmit(item.message, address)
        if self.termination_requested:
            self.termination_requested = False
            self.terminate()

    def deliver_locally(self, message: WireMessage) -> Sequence[Outgoing]:
        """Handles a message of this process to itself, and returns what comes of it."""
        component = self.components.owner(message.kind)
        return component.received(self.now(), self.config.advertise, message) if component is not None else ()

    def send_membership(self, sends: Sequence[OutgoingMessage]) -> None:
        """Sends what membership returned."""
        for send in sends:
            self.transmit(send.message, send.to)

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """Returns the page: this process's own view, with ages in seconds, and its counters."""
        swim, config, now = self.swim, self.config, self.now()
        page = {
            "name": config.name,
            "zone": config.zone,
            "region": config.region,
            "open": self.is_open,
            "incarnation": swim.me.incarnation if swim is not None else 0,
            "members": member_table(swim, now) if swim is not None else [],
        }
        page |= self.counters() | {"late_ticks": self.late_ticks}
        return page | STATUS_WITHOUT_VOTERS | self.components.status(now)
