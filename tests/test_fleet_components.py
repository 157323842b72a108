"""The fleet runtime and its components: what one line gives a component, and what a fault in it ends."""

import asyncio
import json
import os
import subprocess
import sys
from dataclasses import dataclass
from enum import IntEnum

import msgspec
import pytest
from loopback import Bench, play, until
from test_fleet import free_udp, node_file, section

from balancer.fleet.assembly import components_for
from balancer.fleet.component import Component, Outgoing
from balancer.fleet.membership.codec import Codec
from balancer.fleet.membership.swim import Claim, Kind, Status
from balancer.fleet.operator_pages import whole_number
from balancer.fleet.registry import DuplicateKind, Registry

PERIOD = 20_000  # microseconds
ON_PURPOSE = "fault on purpose"


class ToyKind(IntEnum):
    TOY_HELLO = 200
    TOY_ANSWER = 201


@dataclass(frozen=True)
class ToyMessage:
    kind: IntEnum
    sender: str
    text: str = ""
    seq: int = 0


class ToyWire:
    kinds = frozenset(int(kind) for kind in ToyKind)

    def pack(self, message):
        return message.text

    def shorter(self, message):
        return None

    def unpack(self, kind, sender, seq, body):
        return ToyMessage(ToyKind(kind), sender, msgspec.msgpack.decode(body, type=str), seq)


class Toy(Component):
    """Says hello to the members and itself by name each period; answers to the address of the sender."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.next = 0
        self.ticks = 0
        self.heard = []
        self.calls = []

    @property
    def wires(self):
        return (ToyWire(),)

    def open(self):
        self.calls.append("open")
        self.next = self.runtime.now() + PERIOD

    def close(self):
        self.calls.append("close")

    def member_forgotten(self, name):
        self.calls.append(f"forgotten {name}")

    def leave(self, now):
        self.calls.append("leave")
        return [self.message(name, ToyKind.TOY_HELLO, "farewell") for name in self.runtime.alive()]

    def message(self, to, kind, text=""):
        return Outgoing(to, ToyMessage(kind, self.runtime.config.name, text))

    def deadline(self, now):
        return self.next

    def tick(self, now):
        if now < self.next:
            return []
        self.ticks += 1
        self.next = now + PERIOD
        names = [*self.runtime.alive(), self.runtime.config.name, "nobody"]
        return [self.message(name, ToyKind.TOY_HELLO, "hello") for name in names]

    def received(self, now, sender, message):
        self.heard.append((message.kind, message.sender, message.text, sender))
        if message.kind == ToyKind.TOY_HELLO and message.sender != self.runtime.config.name:
            return [self.message(sender, ToyKind.TOY_ANSWER)]
        return []

    def status(self, now):
        return {"toy": {"ticks": self.ticks}}


class OddKind(IntEnum):
    OWNED = 210  # by Broken
    UNKNOWN = 220  # to all components


def odd(kind):
    return ToyMessage(kind, "two")


class OddWire(ToyWire):
    def __init__(self, kind):
        self.kinds = frozenset({int(kind)})

    def unpack(self, kind, sender, seq, body):
        return ToyMessage(OddKind(kind), sender)


class Broken(Component):
    """Fails at whatever it is asked to do."""

    @property
    def wires(self):
        return (OddWire(OddKind.OWNED),)

    def fail(self, *args):
        raise RuntimeError(ON_PURPOSE)

    deadline = tick = received = member_forgotten = status = leave = close = fail


def with_components(monkeypatch, *kinds):
    """Adds components as a line in `components_for` would; gives the list that they are made into."""
    made = []

    def with_new_components(config, runtime):
        found = components_for(config, runtime)
        new = [kind(runtime) if kind is Toy else kind() for kind in kinds]
        found.ordered += new
        made.extend(new)
        return found

    monkeypatch.setattr("balancer.fleet.runtime.components_for", with_new_components)
    return made


def node(tmp_path, name, port, *seeds, **more):
    given = section(
        tmp_path, listen=f"127.0.0.1:{port}", seeds=[f"127.0.0.1:{s}" for s in seeds], period_ms=100, **more
    )
    return Bench(config={"name": name, "fleet": given, "management": "127.0.0.1:0"}, peers=False)


def introduce(fleet, sender):
    """A sender proves to a process that it is live, as by answering a challenge."""
    fleet.guard.senders.begin(sender, fleet.stamp(), fleet.now(), max_age=0)


def test_one_line_gives_a_component_messages_ticks_and_its_part_of_the_page(tmp_path, monkeypatch):
    made = with_components(monkeypatch, Toy)

    async def scene():
        ports = [free_udp(), free_udp()]
        one = await node(tmp_path, "one", ports[0], ports[1]).start()
        two = await node(tmp_path, "two", ports[1]).start()
        first, second = made
        address = ("127.0.0.1", ports[1])
        await until(lambda: (ToyKind.TOY_ANSWER, "two", "", address) in first.heard)  # sent by address
        await until(lambda: (ToyKind.TOY_HELLO, "two", "hello", address) in first.heard)  # sent by name
        own = [h for h in first.heard if h[1] == "one"]
        assert own and all(h[0] == ToyKind.TOY_HELLO for h in own)  # to itself, without a datagram
        fleet = one.node.fleet
        page = fleet.view()
        assert page["toy"]["ticks"] >= 1 and page["sent"]["toy_hello"] and page["received"]["toy_answer"]
        assert page["events"]["unknown"] >= 1  # nobody is no member
        assert page["duties"] is None and page["replace"] is None
        assert fleet.deadline() <= first.next
        two.node.fleet.leave()
        await until(lambda: any(h[2] == "farewell" for h in first.heard))
        assert second.calls == ["open", "leave", "close"]
        fleet.close()

    play(scene)


def test_a_fault_in_one_component_is_reported_and_ends_no_other(tmp_path, monkeypatch):
    """Failure prevented: one component's exception keeps those after it from their ticks for ever."""
    made = with_components(monkeypatch, Broken, Toy)

    async def scene():
        bench = node(tmp_path, "one", free_udp(), voters=["one", "b", "c"])
        reported = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: reported.append(context))
        await bench.start()
        fleet, toy = bench.node.fleet, made[1]
        await until(lambda: toy.ticks >= 3)
        assert str(reported[0]["exception"]) == ON_PURPOSE and fleet.events["fault"] >= 3
        introduce(fleet, "two")
        fleet.datagram_received(fleet.codec.encode(odd(OddKind.OWNED), fleet.stamp()), ("127.0.0.1", 9))
        assert "toy" in fleet.view()
        claim = Claim("b", ("127.0.0.1", 9), Status.DEAD, 1)
        fleet.member_changed("forgotten", claim)
        fleet.leave()
        failed = {context["message"] for context in reported}
        methods = ("deadline", "tick", "received", "member_forgotten", "status", "leave", "close")
        assert failed == {f"fleet: Broken.{method} failed" for method in methods}
        assert toy.calls == ["open", "forgotten b", "leave", "close"] and fleet.transport is None

    play(scene)


class AlwaysDue(Component):
    """Fails at each tick, and so stays due."""

    def __init__(self):
        self.ticks = 0

    def deadline(self, now):
        return 0

    def tick(self, now):
        self.ticks += 1
        raise RuntimeError(ON_PURPOSE)


def test_a_component_that_fails_and_stays_due_does_not_take_the_core(tmp_path, monkeypatch):
    """Failure prevented: a fault in the fleet's part is tried again each millisecond, beside the requests."""
    made = with_components(monkeypatch, AlwaysDue, Toy)

    async def scene():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        begun = loop.time()
        fleet = (await node(tmp_path, "one", free_udp()).start()).node.fleet
        failing, toy = made
        await until(lambda: toy.ticks >= 4)
        assert failing.ticks <= 2 + (loop.time() - begun) / 0.1
        fleet.close()

    play(scene)


@pytest.mark.parametrize(
    ("text", "number"),
    [("1", 1), ("086400", 86_400), ("", 0), ("-1", 0), ("1.5", 0), (" 1", 0), ("\u0663", 0), ("9" * 5000, 0)],
)
def test_a_number_in_a_query_is_digits_and_no_more_than_makes_sense(text, number):
    assert whole_number(text) == number


def test_a_kind_that_no_component_has_is_counted_and_dropped(tmp_path):
    """A later version's message is refused by the codec; one that only the codec knows is not handled."""

    async def scene():
        fleet = (await node(tmp_path, "one", free_udp()).start()).node.fleet
        unknown = odd(OddKind.UNKNOWN)
        other = Codec(list(fleet.config.keys), [OddWire(OddKind.UNKNOWN)])
        introduce(fleet, "two")
        fleet.datagram_received(other.encode(unknown, fleet.stamp()), ("127.0.0.1", 9))
        assert fleet.view()["refused"] == {"kind": 1} and "unknown" not in fleet.view()["received"]
        fleet.codec.payload_codecs[int(OddKind.UNKNOWN)] = OddWire(OddKind.UNKNOWN)
        fleet.datagram_received(other.encode(unknown, fleet.stamp()), ("127.0.0.1", 9))
        assert fleet.view()["received"]["unknown"] == 1 and fleet.events["unhandled"] == 1
        fleet.close()

    play(scene)


class Membershiplike(Toy):
    @property
    def wires(self):
        return (OddWire(Kind.PING),)


@pytest.mark.parametrize("kinds", [(Toy, Toy), (Membershiplike,)])
def test_no_two_components_have_one_kind(kinds):
    with pytest.raises(DuplicateKind, match="is defined twice"):
        Registry([kind(None) for kind in kinds], lambda what, error: None)


IMPORTED = """
import asyncio, json, os, sys
from balancer.net.config import load
from balancer.net.node import Node
Node(load(os.environ), asyncio.new_event_loop())
print(json.dumps([name for name in sys.modules if name.startswith("balancer.fleet.")]))
"""
VOTERS = {"voters": ["n0", "b", "c"]}


@pytest.mark.parametrize(
    ("changes", "packages"),
    [
        ({}, set()),
        ({"zones": {}}, {"zone_routing"}),
        (VOTERS, {"leases", "rolling_update"}),
    ],
)
def test_a_component_that_is_not_asked_for_is_not_imported(tmp_path, changes, packages):
    """Failure prevented: a node pays memory and start-up time for components that its site does not use."""
    env = os.environ | node_file(tmp_path, fleet=section(tmp_path, **changes))
    out = subprocess.run(
        [sys.executable, "-c", IMPORTED], env=env, capture_output=True, text=True, check=True
    )
    decisions = (
        "leases.voter",
        "health_checks.decisions",
        "min_rtt.decisions",
        "rolling_update.decisions",
        "zone_routing.decisions",
    )
    imported = {name.removeprefix("balancer.fleet.") for name in json.loads(out.stdout)}
    loaded = {name.split(".")[0] for name in decisions if name in imported}
    assert loaded == packages
