"""The fleet runtime's services for components, and its handling of faults in them."""

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from importlib.util import find_spec
from pathlib import Path
from typing import Any

import msgspec
import pytest
from fleet_section import fleet_runtime, fleet_section, free_udp_port, write_node_config
from loopback import Bench, run_scenario, wait_until

from balancer.fleet.assembly import FleetComponents, build_components
from balancer.fleet.component import Component, Outgoing, Runtime
from balancer.fleet.config import FleetConfig
from balancer.fleet.membership.codec import Codec, PayloadCodec
from balancer.fleet.membership.swim import Address, Claim, Kind, Status
from balancer.fleet.operator_pages import parse_integer
from balancer.fleet.registry import DuplicateKindError, Registry
from balancer.fleet.runtime import FleetRuntime

PERIOD_US = 20_000
DELIBERATE_FAULT = "deliberate fault"


class ToyKind(IntEnum):
    TOY_HELLO = 200
    TOY_RESPONSE = 201


@dataclass(frozen=True)
class ToyMessage:
    kind: IntEnum
    sender: str
    text: str = ""
    seq: int = 0


class ToyWire:
    kinds = frozenset(int(kind) for kind in ToyKind)

    def pack(self, message: ToyMessage) -> str:
        return message.text

    def shorten(self, message: ToyMessage) -> None:
        return None

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ToyMessage:
        return ToyMessage(ToyKind(kind), sender, msgspec.msgpack.decode(body, type=str), seq)


class ToyComponent(Component):
    """A component that sends a hello to each member and to itself by name in each period.

    It responds to a hello of another process, at the address from which it came.
    """

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self.next_tick = 0
        self.ticks = 0
        self.received_messages: list[tuple[IntEnum, str, str, Address]] = []
        self.calls: list[str] = []

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        return (ToyWire(),)

    def open(self) -> None:
        self.calls.append("open")
        self.next_tick = self.runtime.now() + PERIOD_US

    def close(self) -> None:
        self.calls.append("close")

    def member_forgotten(self, name: str) -> None:
        self.calls.append(f"forgotten {name}")

    def leave(self, now: int) -> list[Outgoing]:
        self.calls.append("leave")
        return [self.message(name, ToyKind.TOY_HELLO, "farewell") for name in self.runtime.alive()]

    def message(self, to: str | Address, kind: ToyKind, text: str = "") -> Outgoing:
        return Outgoing(to, ToyMessage(kind, self.runtime.config.name, text))

    def deadline(self, now: int) -> int | None:
        return self.next_tick

    def tick(self, now: int) -> list[Outgoing]:
        if now < self.next_tick:
            return []
        self.ticks += 1
        self.next_tick = now + PERIOD_US
        names = [*self.runtime.alive(), self.runtime.config.name, "nobody"]
        return [self.message(name, ToyKind.TOY_HELLO, "hello") for name in names]

    def received(self, now: int, sender: Address, message: ToyMessage) -> list[Outgoing]:
        self.received_messages.append((message.kind, message.sender, message.text, sender))
        if message.kind == ToyKind.TOY_HELLO and message.sender != self.runtime.config.name:
            return [self.message(sender, ToyKind.TOY_RESPONSE)]
        return []

    def status(self, now: int) -> dict[str, Any]:
        return {"toy": {"ticks": self.ticks}}


class OtherKind(IntEnum):
    """Message kinds of which `FailingComponent` owns the first, and no component the second."""

    OWNED = 210
    UNKNOWN = 220


def other_message(kind: OtherKind) -> ToyMessage:
    return ToyMessage(kind, "two")


class OtherWire(ToyWire):
    def __init__(self, kind: IntEnum) -> None:
        self.kinds = frozenset({int(kind)})

    def unpack(self, kind: int, sender: str, seq: int, body: msgspec.Raw) -> ToyMessage:
        return ToyMessage(OtherKind(kind), sender)


class FailingComponent(Component):
    """A component that raises an exception in each method that the runtime calls after `open`."""

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        return (OtherWire(OtherKind.OWNED),)

    def fail(self, *args: Any) -> Any:
        raise RuntimeError(DELIBERATE_FAULT)

    deadline: Any = fail
    tick: Any = fail
    received: Any = fail
    member_forgotten: Any = fail
    status: Any = fail
    leave: Any = fail
    close: Any = fail


def with_components(monkeypatch: pytest.MonkeyPatch, *kinds: Any) -> list[Any]:
    """Add components to those of each runtime; return a list that will hold them, in order of creation."""
    added: list[Any] = []

    def build_with_added(config: FleetConfig, runtime: Runtime) -> FleetComponents:
        built = build_components(config, runtime)
        new = [kind(runtime) if kind is ToyComponent else kind() for kind in kinds]
        built.ordered += new
        added.extend(new)
        return built

    monkeypatch.setattr("balancer.fleet.runtime.build_components", build_with_added)
    return added


def node(tmp_path: Path, name: str, port: int, *seeds: int, **more: Any) -> Bench:
    section = fleet_section(
        tmp_path, listen=f"127.0.0.1:{port}", seeds=[f"127.0.0.1:{s}" for s in seeds], period_ms=100, **more
    )
    return Bench(config={"name": name, "fleet": section, "management": "127.0.0.1:0"}, peers=False)


def admit_sender(fleet: FleetRuntime, sender: str) -> None:
    """Record that a sender has proven to be live, as it does by answering a challenge."""
    fleet.guard.senders.begin(sender, fleet.stamp(), fleet.now(), max_age=0)


def test_component_gets_messages_ticks_and_status_keys(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    components = with_components(monkeypatch, ToyComponent)

    async def scenario() -> None:
        ports = [free_udp_port(), free_udp_port()]
        one = await node(tmp_path, "one", ports[0], ports[1]).start()
        two = await node(tmp_path, "two", ports[1]).start()
        first, second = components
        address = ("127.0.0.1", ports[1])
        sent_by_address = (ToyKind.TOY_RESPONSE, "two", "", address)
        sent_by_name = (ToyKind.TOY_HELLO, "two", "hello", address)
        await wait_until(lambda: sent_by_address in first.received_messages)
        await wait_until(lambda: sent_by_name in first.received_messages)
        # A message to the process itself is delivered without a datagram.
        sent_to_itself = [entry for entry in first.received_messages if entry[1] == "one"]
        assert sent_to_itself and all(entry[0] == ToyKind.TOY_HELLO for entry in sent_to_itself)
        fleet = fleet_runtime(one)
        page = fleet.view()
        assert page["toy"]["ticks"] >= 1 and page["sent"]["toy_hello"] and page["received"]["toy_response"]
        # The component also sends to the name "nobody", which is not a member.
        assert page["events"]["unknown"] >= 1
        assert page["duties"] is None and page["replace"] is None
        assert fleet.deadline() <= first.next_tick
        fleet_runtime(two).leave()
        await wait_until(lambda: any(entry[2] == "farewell" for entry in first.received_messages))
        assert second.calls == ["open", "leave", "close"]
        fleet.close()

    run_scenario(scenario)


def test_component_exception_is_reported_and_stops_no_other(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An exception in a component does not keep the runtime from calling the components after it."""
    components = with_components(monkeypatch, FailingComponent, ToyComponent)

    async def scenario() -> None:
        bench = node(tmp_path, "one", free_udp_port(), voters=["one", "b", "c"])
        reported: list[dict[str, Any]] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: reported.append(context))
        await bench.start()
        fleet, toy = fleet_runtime(bench), components[1]
        await wait_until(lambda: toy.ticks >= 3)
        assert str(reported[0]["exception"]) == DELIBERATE_FAULT and fleet.events["fault"] >= 3
        admit_sender(fleet, "two")
        fleet.datagram_received(
            fleet.codec.encode(other_message(OtherKind.OWNED), fleet.stamp()), ("127.0.0.1", 9)
        )
        assert "toy" in fleet.view()
        claim = Claim("b", ("127.0.0.1", 9), Status.DEAD, 1)
        fleet.member_changed("forgotten", claim)
        fleet.leave()
        failed = {context["message"] for context in reported}
        methods = ("deadline", "tick", "received", "member_forgotten", "status", "leave", "close")
        assert failed == {f"fleet: FailingComponent.{method} failed" for method in methods}
        assert toy.calls == ["open", "forgotten b", "leave", "close"] and fleet.transport is None

    run_scenario(scenario)


class AlwaysDueComponent(Component):
    """A component whose tick always fails, so that it stays due."""

    def __init__(self) -> None:
        self.ticks = 0

    def deadline(self, now: int) -> int | None:
        return 0

    def tick(self, now: int) -> list[Outgoing]:
        self.ticks += 1
        raise RuntimeError(DELIBERATE_FAULT)


def test_failing_component_that_stays_due_is_retried_slowly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failing tick is retried after 100 ms; retries each millisecond would take CPU time from requests."""
    components = with_components(monkeypatch, AlwaysDueComponent, ToyComponent)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        started_at = loop.time()
        fleet = fleet_runtime(await node(tmp_path, "one", free_udp_port()).start())
        failing, toy = components
        await wait_until(lambda: toy.ticks >= 4)
        assert failing.ticks <= 2 + (loop.time() - started_at) / 0.1
        fleet.close()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("text", "number"),
    [("1", 1), ("086400", 86_400), ("", 0), ("-1", 0), ("1.5", 0), (" 1", 0), ("\u0663", 0), ("9" * 5000, 0)],
)
def test_query_integer_needs_digits_of_bounded_length(text: str, number: int) -> None:
    assert parse_integer(text) == number


def test_message_kind_without_owner_is_counted_and_dropped(tmp_path: Path) -> None:
    """The codec rejects an unknown kind of a later version; a kind known only to the codec is not handled."""

    async def scenario() -> None:
        fleet = fleet_runtime(await node(tmp_path, "one", free_udp_port()).start())
        unknown_message = other_message(OtherKind.UNKNOWN)
        other_codec = Codec(list(fleet.config.keys), [OtherWire(OtherKind.UNKNOWN)])
        admit_sender(fleet, "two")
        fleet.datagram_received(other_codec.encode(unknown_message, fleet.stamp()), ("127.0.0.1", 9))
        assert fleet.view()["refused"] == {"kind": 1} and "unknown" not in fleet.view()["received"]
        fleet.codec.payload_codecs[int(OtherKind.UNKNOWN)] = OtherWire(OtherKind.UNKNOWN)
        fleet.datagram_received(other_codec.encode(unknown_message, fleet.stamp()), ("127.0.0.1", 9))
        assert fleet.view()["received"]["unknown"] == 1 and fleet.events["unhandled"] == 1
        fleet.close()

    run_scenario(scenario)


class ComponentWithMembershipKind(ToyComponent):
    """A component that claims a message kind of membership."""

    @property
    def payload_codecs(self) -> Sequence[PayloadCodec]:
        return (OtherWire(Kind.PING),)


@pytest.mark.parametrize("kinds", [(ToyComponent, ToyComponent), (ComponentWithMembershipKind,)])
def test_duplicate_message_kind_is_rejected(kinds: Any) -> None:
    with pytest.raises(DuplicateKindError, match="is defined twice"):
        Registry([kind(None) for kind in kinds], lambda operation, error: None)


PRINT_IMPORTED_MODULES = """
import asyncio, json, os, sys
from balancer.net.config import load
from balancer.net.node import Node
Node(load(os.environ), asyncio.new_event_loop())
print(json.dumps([name for name in sys.modules if name.startswith("balancer.fleet.")]))
"""
VOTERS = {"voters": ["n0", "b", "c"]}
DECISION_MODULES = frozenset(
    {
        "balancer.fleet.health_checks.decisions",
        "balancer.fleet.leases.voter",
        "balancer.fleet.min_rtt.decisions",
        "balancer.fleet.rolling_update.decisions",
        "balancer.fleet.zone_routing.router",
    }
)


@pytest.mark.parametrize(
    ("changes", "packages"),
    [
        ({}, set()),
        ({"zones": {}}, {"zone_routing"}),
        (VOTERS, {"leases", "rolling_update"}),
    ],
)
def test_unconfigured_component_is_not_imported(
    tmp_path: Path, changes: dict[str, Any], packages: set[str]
) -> None:
    """A node must not spend memory and start-up time on components that its site does not use."""
    # The names must exist, since a renamed module would never show up as imported.
    assert all(find_spec(name) for name in DECISION_MODULES)
    env = os.environ | write_node_config(tmp_path, fleet=fleet_section(tmp_path, **changes))
    out = subprocess.run(
        [sys.executable, "-c", PRINT_IMPORTED_MODULES], env=env, capture_output=True, text=True, check=True
    )
    imported = DECISION_MODULES & set(json.loads(out.stdout))
    assert {name.split(".")[2] for name in imported} == packages
