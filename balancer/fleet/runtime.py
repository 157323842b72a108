"""The fleet runtime, which runs membership and the components on a node's event loop.

Membership tracks which processes of the group are alive; a component implements one other function of the
fleet. The runtime owns the timer, the order of calls, the log lines about members and the page `GET /fleet`.
`assembly.py` selects the components; the runtime treats them all alike.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Any

from balancer.fleet.assembly import build_components
from balancer.fleet.clocks import Clocks
from balancer.fleet.component import Outgoing, WireMessage
from balancer.fleet.config import FleetConfig
from balancer.fleet.endpoint import DatagramEndpoint, random_initial_seq
from balancer.fleet.member_table import format_address, member_table
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.replay_guard import ReceivedDatagram
from balancer.fleet.membership.swim import Address, Claim, OutgoingMessage, Swim, Timing
from balancer.fleet.operator_pages import OperatorPages
from balancer.fleet.registry import MEMBERSHIP_KINDS, Registry
from balancer.net.process.lifecycle import Lifecycle
from balancer.net.process.log import Log
from balancer.policy.interface import Settings

LOGGED_CHANGES = ("join", "suspect", "dead", "left", "alive", "refuted")
# A tick that comes later than its deadline by more than this shows that the process itself was slow. Such
# ticks are counted.
LATE_TICK_THRESHOLD_US = 50_000
MIN_TICK_DELAY_US = 1_000
# The delay of the tick that follows a fault. A failed action stays due, so with MIN_TICK_DELAY_US its retries
# would use a whole core.
FAULT_TICK_DELAY_US = 100_000
# The timeout of an acknowledgment, in tenths of the period of membership's health checks.
ACK_TIMEOUT_TENTHS = 3
# The interval at which members exchange their full state, which repairs what gossip missed; in periods of
# membership's health checks.
SYNC_INTERVAL_PERIODS = 15
# Any datagram may be lost, so the message about a planned shutdown is sent this many times.
LEAVE_MESSAGE_COPIES = 3
MICROSECONDS_PER_SECOND = 1e6
# The values that the page `GET /fleet` shows for leases and rolling updates if no voters are configured.
STATUS_DEFAULTS: dict[str, Any] = {"duties": None, "replace": None}


class FleetRuntime(DatagramEndpoint):
    """The fleet runtime of one process; an incarnation lasts from an `open` to the next `close`.

    Args:
        config: The process's fleet configuration.
        loop: The node's event loop.
        seed: Seeds the random streams, together with the process's name.
        log: The node's log.
        lifecycle: The node's state: serving, draining or ending.
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
        built = build_components(config, self)
        self.policy_adapter = built.policy_adapter
        self.components = Registry(built.ordered, self.report_fault)
        self.set_codec(Codec(list(config.keys), self.components.payload_codecs), config.name)
        self.pages = OperatorPages(self, built.policy_adapter, built.leases, built.rolling_update)

    async def open(self) -> None:
        """Open the socket and join the group as a new incarnation.

        Raises:
            OSError: The socket cannot be bound to the configured address.
        """
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.config.listen)
        self.swim = self.make_membership()
        self.log_join(self.swim)
        for component in self.components.ordered:
            component.open()
        self.tick()

    def make_membership(self) -> Swim:
        """Return the membership state machine of a new incarnation."""
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
                sync_interval=SYNC_INTERVAL_PERIODS * config.period,
            ),
            self.member_changed,
            random_initial_seq(),
        )

    def log_join(self, swim: Swim) -> None:
        """Log the name, the addresses and the incarnation with which the process joins."""
        config = self.config
        self.log.line(
            f"fleet joins name={config.name} zone={config.zone} region={config.region or '-'}"
            f" listen={format_address(config.listen)} advertise={format_address(config.advertise)}"
            f" seeds={len(config.seeds)} incarnation={swim.local_claim.incarnation}"
        )

    def leave(self) -> None:
        """Notify the other members of a planned shutdown, and close the socket."""
        if self.swim is not None and self.transport is not None:
            self.components.call_all("leave", lambda component: self.deliver(component.leave(self.now())))
            leave_messages = self.swim.leave()
            for _ in range(LEAVE_MESSAGE_COPIES):
                self.send_membership(leave_messages)
        self.close()

    def close(self) -> None:
        """Close the components and the socket, without a message to the other members.

        A planned shutdown calls it through `leave`, which notifies them. The node calls it without `leave`
        when another process of the node takes over under the same name.
        """
        self.components.call_all("close", lambda component: component.close())
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.close_socket()

    # ---- Services for components ------------------------------------------------------------------------

    @property
    def membership(self) -> Swim:
        """The state machine that tracks the members of this process's group, available from `open` on."""
        assert self.swim is not None
        return self.swim

    def random_stream(self, purpose: str) -> Random:
        """Return a separate random stream, which is the same for the same seed and purpose."""
        return Random(f"fleet {self.config.name} {self.seed} {purpose}")

    def alive(self) -> list[str]:
        """Return the names of the other members that are alive, or suspected but not known to be dead."""
        return self.swim.alive() if self.swim is not None else []

    def departed(self) -> list[str]:
        """Return the names of the members that left or died and that membership has not forgotten yet."""
        if self.swim is None:
            return []
        return sorted(name for name, member in self.swim.members.items() if member.is_dead_or_left)

    def address_of(self, member: str) -> Address | None:
        """Return the address at which a member receives datagrams; None if the member is unknown."""
        record = self.swim.members.get(member) if self.swim is not None else None
        return record.claim.address if record is not None else None

    def end_process(self) -> None:
        """End this process as SIGTERM does, once the messages that the calling component returns are sent."""
        self.termination_requested = True

    def schedule(self, min_delay: int = MIN_TICK_DELAY_US) -> None:
        """Set the timer of the next tick to its deadline, but at least `min_delay` microseconds from now."""
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.swim is not None:
            delay = max(min_delay, self.deadline() - self.now())
            self.timer = self.loop.call_later(delay / MICROSECONDS_PER_SECOND, self.tick)

    # ---- Time -------------------------------------------------------------------------------------------

    def deadline(self) -> int:
        """Return the earliest time at which a tick of membership or of a component is due."""
        assert self.swim is not None
        earliest = self.components.deadline(self.now())
        return self.swim.due() if earliest is None else min(earliest, self.swim.due())

    def tick(self) -> None:
        """Perform all actions of membership and the components that are due, and set the timer again.

        An exception in one of them does not stop the timer. The next tick is then delayed, so that retries of
        the failed action do not use a whole core.
        """
        assert self.swim is not None
        now = self.now()
        faults = self.events["fault"]
        self.late_ticks += now - self.swim.due() > LATE_TICK_THRESHOLD_US
        try:
            self.send_membership(self.swim.tick(now))
        except Exception as error:
            self.report_fault("membership.tick", error)
        self.components.call_all("tick", lambda component: self.deliver(component.tick(now)))
        self.schedule(FAULT_TICK_DELAY_US if self.events["fault"] > faults else MIN_TICK_DELAY_US)

    def report_fault(self, operation: str, error: Exception) -> None:
        """Count a fault and pass its exception to the event loop's exception handler."""
        self.events["fault"] += 1
        self.loop.call_exception_handler({"message": f"fleet: {operation} failed", "exception": error})

    # ---- Received messages ------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle the messages of a received datagram that passes the checks; called by the event loop."""
        if self.swim is None:
            return
        admitted = self.admit(data, (addr[0], addr[1]))
        if not admitted:
            return
        before = self.deadline()
        for received in admitted:
            self.handle(self.swim, received)
        if self.deadline() < before:
            self.schedule()

    def handle(self, swim: Swim, received: ReceivedDatagram) -> None:
        """Pass on a message to membership or to a component, by its kind."""
        if received.message.kind in MEMBERSHIP_KINDS:
            self.send_membership(swim.receive(self.now(), received.source, received.message))
        else:
            self.dispatch(received.message, received.source)

    def dispatch(self, message: WireMessage, sender: Address) -> None:
        """Pass on a message to the component that owns its kind; count a message without an owner."""
        component = self.components.owner(message.kind)
        if component is None:
            self.events["unhandled"] += 1
            return
        handle = partial(component.received, self.now(), sender, message)
        self.components.call_safely(component, "received", lambda: self.deliver(handle()), None)

    def member_changed(self, change: str, claim: Claim) -> None:
        """Count a change that membership has seen in a member, and log the changes in `LOGGED_CHANGES`.

        If membership has forgotten the member, all components drop their state of it.
        """
        self.events[change] += 1
        if change == "forgotten":
            self.guard.forget(claim.name)
            self.components.call_all("member_forgotten", lambda c: c.member_forgotten(claim.name))
        if change in LOGGED_CHANGES:
            address = format_address(claim.address)
            self.log.line(f"fleet {change} member={claim.name} at={address} incarnation={claim.incarnation}")

    # ---- Sent messages ----------------------------------------------------------------------------------

    def deliver(self, outgoing: Sequence[Outgoing]) -> None:
        """Send the messages that a component returned.

        Messages addressed to this process itself are handled at once, without a datagram.
        """
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
        """Handle a message that this process sent to itself, and return the resulting messages."""
        component = self.components.owner(message.kind)
        return component.received(self.now(), self.config.advertise, message) if component is not None else ()

    def send_membership(self, sends: Sequence[OutgoingMessage]) -> None:
        """Send the messages that membership returned."""
        for send in sends:
            self.transmit(send.message, send.to)

    # ---- Status -----------------------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """Return the content of the page `GET /fleet`: this process's view of the group and its counters."""
        swim, config, now = self.swim, self.config, self.now()
        page = {
            "name": config.name,
            "zone": config.zone,
            "region": config.region,
            "open": self.is_open,
            "incarnation": swim.local_claim.incarnation if swim is not None else 0,
            "members": member_table(swim, now) if swim is not None else [],
        }
        page |= self.counters() | {"late_ticks": self.late_ticks}
        return page | STATUS_DEFAULTS | self.components.status(now)
