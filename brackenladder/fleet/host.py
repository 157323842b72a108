"""The fleet's parts on a node's event loop: clock, datagrams, log and page.

The only file that knows both sides: the parts know no socket and no clock, `brackenladder.net` knows no part.
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from random import Random
from time import CLOCK_BOOTTIME, clock_gettime_ns, time_ns
from typing import Any, cast
from urllib.parse import parse_qs

from brackenladder.fleet.config import FleetConfig
from brackenladder.fleet.duties.messages import DutyMessage
from brackenladder.fleet.duties.part import Duties
from brackenladder.fleet.duties.voter import Out
from brackenladder.fleet.hand import Hand
from brackenladder.fleet.membership.codec import NAME_MOST, Codec, Part
from brackenladder.fleet.membership.swim import Address, Claim, Send, Swim, Timing
from brackenladder.fleet.probe.decisions import PREFIX as PROBES
from brackenladder.fleet.probe.messages import ProbeMessage, ProbeWire
from brackenladder.fleet.remeasure.decisions import PREFIX as PASSES
from brackenladder.fleet.replace.decisions import DUTY, MOST, Replacement
from brackenladder.fleet.replace.messages import ReplaceMessage, ReplaceWire, State
from brackenladder.fleet.zones.messages import ZoneMessage, ZoneWire
from brackenladder.interface import Settings
from brackenladder.net.lifecycle import Lifecycle, Stage
from brackenladder.net.log import Log

Act = Callable[[str, str, Duties], tuple[dict[str, Any], Out]]

LOUD = ("join", "suspect", "dead", "left", "alive", "refuted")  # changes that the log tells
FREQUENT = (PROBES, PASSES)  # beginnings of duties that come and go
LATE = 50_000  # microseconds: a tick so late is counted, since the process itself was slow
SYNC_PERIODS = 15  # between two whole exchanges: what gossip missed is known after some of them
LEAVES = 3  # times that a leaving process says so, since a datagram may be lost


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
        self.config = config
        self.loop = loop
        self.log = log
        self.life = life
        self.end = end  # ends this process as SIGTERM does
        self.replacement: Replacement | None = None
        self.rng = Random(f"fleet {config.name} {seed}")
        self.hand = Hand(config, settings, self.now, self.wall, self.arm, log.line)
        self.duties = Duties(config, log, FREQUENT) if config.voters else None
        parts: list[Part] = [] if self.duties is None else [self.duties.wire, ReplaceWire(), ProbeWire()]
        parts += [ZoneWire()] if config.zones is not None else []
        self.codec = Codec(list(config.keys), parts)
        self.transport: asyncio.DatagramTransport | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.swim: Swim | None = None
        self.offset = 0  # of the wall clock, microseconds; a lab's alone
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.events: Counter[str] = Counter()
        self.bytes_out = self.bytes_in = self.late = 0
        self.ended = False

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
            self.told,
        )
        self.log.line(
            f"fleet joins name={c.name} zone={c.zone} region={c.region or '-'} listen={spelled(c.listen)}"
            f" advertise={spelled(c.advertise)} seeds={len(c.seeds)} incarnation={self.swim.me.incarnation}"
        )
        self.hand.open(self.alive, self.rng)
        if self.duties is not None:
            life = self.swim.me.incarnation
            self.duties.open(life, self.now(), lambda: self.wall() // 1000, self.rng)
            self.replacement = Replacement(c.name, c.zone, life, self, self.now())
            assert self.duties.asker is not None
            self.hand.vote(self.duties.asker, self.rng)
        self.tick()

    def leave(self) -> None:
        """SIGTERM: the others are told, and nothing is heard or said after that."""
        if self.swim is not None and self.transport is not None:
            if self.duties is not None:
                self.speak(self.duties.leave(self.now()))
            last = self.swim.leave()
            for _ in range(LEAVES):
                self.send(last)
        self.close()

    def close(self) -> None:
        """Lets the port go, without a word: another process of this node goes on under its name."""
        self.hand.close()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    # ---- clocks -----------------------------------------------------------------------------------------

    def now(self) -> int:
        """Microseconds of a clock that goes on while the process or the machine is paused, read now: the
        loop's own time stands still within a turn."""
        return clock_gettime_ns(CLOCK_BOOTTIME) // 1000

    def wall(self) -> int:
        """Microseconds of Unix time, which may step."""
        if self.config.clock_file is not None:
            with suppress(OSError, ValueError):
                self.offset = int(Path(self.config.clock_file).read_text()) * 1000
        return time_ns() // 1000 + self.offset

    # ---- the parts' life --------------------------------------------------------------------------------

    def tick(self) -> None:
        """Does what is due, and comes back when something is due again."""
        assert self.swim is not None
        now = self.now()
        self.late += now - self.swim.due() > LATE
        try:
            self.send(self.swim.tick(now))
            if self.duties is not None:
                self.speak(self.duties.tick(now))
                self.follow(now)
            self.speak(self.hand.tick(now))
        finally:  # Failure prevented: one fault in a part ends the process's part in the fleet for good
            self.arm()

    def due(self) -> int:
        """When a part has something to do."""
        assert self.swim is not None
        dues: list[int | None] = [self.swim.due(), self.hand.deadline(self.now())]
        if self.duties is not None and self.replacement is not None:
            dues += [self.duties.deadline(), self.replacement.deadline(self.token())]
        return min(d for d in dues if d is not None)

    def arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None and self.swim is not None:
            wait = max(1000, self.due() - self.now())
            self.timer = self.loop.call_later(wait / 1e6, self.tick)

    def told(self, what: str, claim: Claim) -> None:
        """Membership's view has changed."""
        self.events[what] += 1
        if what == "forgotten":
            self.codec.forget(claim.name)
            self.hand.forget(claim.name)
        if what in LOUD:
            at = spelled(claim.address)
            self.log.line(f"fleet {what} member={claim.name} at={at} incarnation={claim.incarnation}")

    # ---- datagrams --------------------------------------------------------------------------------------

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
        due = self.due()
        if isinstance(message, DutyMessage):
            assert self.duties is not None
            self.speak(self.duties.received(self.now(), message))
        elif isinstance(message, (ProbeMessage, ZoneMessage)):
            self.speak(self.hand.received(self.now(), message))
        elif isinstance(message, ReplaceMessage):
            assert self.replacement is not None
            self.speak(self.replacement.received(self.now(), message))
            self.follow(self.now())
        else:
            self.send(self.swim.receive(self.now(), (addr[0], addr[1]), message))
        if self.due() < due:
            self.arm()

    # ---- the replacement --------------------------------------------------------------------------------

    def token(self) -> int | None:
        """Of the replacement's duty, if this process holds it now."""
        asker = self.duties.asker if self.duties is not None else None
        return asker.holding(self.now(), DUTY) if asker is not None else None

    def follow(self, now: int) -> None:
        """Asks for the duty while there is something to lead, leads, and ends when told to."""
        assert self.duties is not None and self.duties.asker is not None and self.replacement is not None
        r = self.replacement
        if r.wants():
            self.duties.asker.want(now, DUTY)
        elif DUTY in self.duties.asker.wanted and not r.tells:
            self.speak(self.duties.asker.drop(now, DUTY))
        before = r.plan
        self.speak(r.tick(now, self.token()))
        if r.plan != before and r.plan is not None:
            self.log.line(f"fleet replacement {r.plan.state.name.lower()} begun_us={r.plan.number}")
        if r.leaving and self.life.stage != Stage.ENDING and not self.ended:
            self.ended = True
            self.log.line(f"fleet replacement: this process is the next to end, token={r.token}")
            self.end()

    def serving(self) -> bool:
        """Whether this process takes clients, and votes if it is a voter.

        Failure prevented: voters are replaced faster than they vote again, and there is no majority left.
        """
        voter = self.duties.voter if self.duties is not None else None
        return self.life.serving and not (voter is not None and voter.lists and voter.abstains(self.now()))

    def alive(self) -> list[str]:
        return self.swim.alive() if self.swim is not None else []

    def gone(self) -> list[str]:
        return sorted(n for n, m in self.swim.members.items() if m.gone) if self.swim is not None else []

    # ---- sending ----------------------------------------------------------------------------------------

    def speak(self, out: Sequence[tuple[str, Any]]) -> None:
        """Sends to members by name; what a voter says to this process itself comes back at once."""
        assert self.swim is not None
        waiting = list(out)
        while waiting:
            name, message = waiting.pop(0)
            if name == self.config.name:
                assert self.duties is not None
                waiting += self.duties.received(self.now(), message)
            elif (member := self.swim.members.get(name)) is not None:
                self.transmit(message, member.claim.address)
            else:
                self.events["unknown"] += 1

    def send(self, sends: list[Send]) -> None:
        for send in sends:
            self.transmit(send.message, send.to)

    def transmit(self, message: Any, to: Address) -> None:
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

    def error_received(self, exc: Exception) -> None:
        """A peer's port is closed, or the network is: membership learns of it by silence."""
        self.events["unreachable"] += 1

    # ---- what operators see -----------------------------------------------------------------------------

    def view(self) -> dict[str, Any]:
        """The page: this process's own view, with ages in seconds, and its counters."""
        swim, c, now = self.swim, self.config, self.now()
        members = []
        if swim is not None:
            for name, m in sorted(swim.members.items()):
                members.append(
                    {
                        "name": name,
                        "address": spelled(m.claim.address),
                        "state": m.claim.status.name.lower(),
                        "incarnation": m.claim.incarnation,
                        "age_s": round((now - m.since) / 1e6, 3),
                    }
                )
        return {
            "name": c.name,
            "zone": c.zone,
            "region": c.region,
            "open": self.transport is not None,
            "incarnation": swim.me.incarnation if swim is not None else 0,
            "members": members,
            "sent": dict(self.sent),
            "received": dict(self.received),
            "refused": dict(self.codec.dropped),
            "events": dict(self.events),
            "bytes_out": self.bytes_out,
            "bytes_in": self.bytes_in,
            "late_ticks": self.late,
            "duties": self.duties.view(now) if self.duties is not None else None,
            "replace": self.replacement.view(self.token()) if self.replacement is not None else None,
        } | self.hand.view(now)

    def page(self) -> tuple[int, bytes]:
        """`GET /fleet`."""
        return 200, json.dumps(self.view()).encode() + b"\n"

    def hold(self, query: bytes) -> tuple[int, bytes]:
        """`PUT /fleet/hold?duty=NAME&script=ID`: a script wants a duty, and comes again while it does."""
        return self.answer(query, lambda duty, script, part: part.hold(self.now(), duty, script))

    def give(self, query: bytes) -> tuple[int, bytes]:
        """`PUT /fleet/give?duty=NAME&script=ID`: the script is done."""
        return self.answer(query, lambda duty, script, part: part.give(self.now(), duty, script))

    def replace(self, query: bytes) -> tuple[int, bytes]:
        """`PUT /fleet/replace?do=begin|pause|resume|stop&most=K`."""
        if self.replacement is None or self.transport is None:
            return 503, b"no voters are configured, or this process is leaving\n"
        values = parse_qs(query.decode("latin-1"))
        do, most = values.get("do", [""])[0], values.get("most", ["1"])[0]
        states = {"pause": State.PAUSED, "resume": State.RUNS, "stop": State.STOPPED}
        if do == "begin" and most.isascii() and most.isdigit() and 0 < int(most) <= MOST:
            self.replacement.begin(self.wall(), int(most))
        elif do in states:
            self.replacement.change(states[do])
        else:
            return 400, b"do: must be begin, pause, resume or stop; most: 1 to 1000\n"
        self.follow(self.now())
        self.arm()
        return 200, json.dumps(self.replacement.view(self.token())).encode() + b"\n"

    def zone(self, query: bytes) -> tuple[int, bytes]:
        """`PUT /fleet/zone?do=leave|return&zone=NAME&for_s=N`."""
        zones, orders = self.hand.zones, self.hand.orders
        if zones is None or orders is None:
            return 503, b"fleet.zones is not configured, or this process is leaving\n"
        values = parse_qs(query.decode("latin-1"))
        do, zone, length = (values.get(key, [""])[0] for key in ("do", "zone", "for_s"))
        known = sorted({zones.zone, *zones.courses})
        if zone not in known:
            return 400, f"zone: must be one of {', '.join(known)}\n".encode()
        if do == "leave" and not (length.isascii() and length.isdigit() and 0 < int(length) <= 86_400):
            return 400, b"for_s: must be 1 to 86400\n"
        if do not in ("leave", "return"):
            return 400, b"do: must be leave or return\n"
        if not orders.say(zone, int(length) * 1_000_000 if do == "leave" else 0):
            return 409, b"zone: words on too many zones hold already\n"
        self.log.line(f"fleet zone {zone}: told to {do}")
        self.arm()
        return 200, json.dumps(zones.view(self.now())).encode() + b"\n"

    def answer(self, query: bytes, act: Act) -> tuple[int, bytes]:
        if self.duties is None or self.transport is None:
            return 503, b"no voters are configured, or this process is leaving\n"
        values = parse_qs(query.decode("latin-1"))
        duty, script = (values.get(key, [""])[0] for key in ("duty", "script"))
        if not all(0 < len(name) <= NAME_MOST for name in (duty, script)):
            return 400, b"duty, script: must be names of 1 to 64 characters\n"
        if duty == DUTY or duty.startswith(FREQUENT):
            return 400, b"duty: replace, probe.* and remeasure.* are the fleet's own\n"
        table, out = act(duty, script, self.duties)
        self.speak(out)
        self.arm()
        return 200, json.dumps(table).encode() + b"\n"


def spelled(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
