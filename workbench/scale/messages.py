"""Messages between the parent and its workers: each request has one reply, framed by its length."""

from __future__ import annotations

from struct import Struct as Packing

import msgspec
from msgspec import Struct, field

from workbench.scale.group import Group
from workbench.scale.plan import Defect, Start

LENGTH_PREFIX = Packing("<I")


class Assign(Struct, tag=True):
    """The first request: assign members to this worker.

    `members` are their indices, `key` is the path of the group's key file, and `defects` are the injected
    defects by the name of the member.
    """

    group: Group
    members: list[int]
    key: str
    start: Start
    defects: dict[str, Defect]


class Open(Struct, tag=True):
    """Open the ports and start; members that start with the whole group stay silent until `Go`."""


class Learn(Struct, tag=True):
    """Introduce the whole group, with the incarnation of each member."""

    incarnations: dict[str, int]


class Go(Struct, tag=True):
    """Start to send datagrams."""


class Look(Struct, tag=True):
    """Report progress; with `window` also the costs since the last such request."""

    window: bool = False


class Stop(Struct, tag=True):
    """End members without a message to others, in whichever worker they run."""

    names: list[str]


class Restart(Struct, tag=True):
    """Restart members without their knowledge; `wall` is their lowest incarnation, in microseconds."""

    names: list[str]
    wall: int


class Cut(Struct, tag=True):
    """Partition a region from all others from now on; None heals the partition."""

    region: int | None


class Finish(Struct, tag=True):
    """Report every member's view and all observations, and exit."""


Request = Assign | Open | Learn | Go | Look | Stop | Restart | Cut | Finish


class Done(Struct, tag=True):
    """A reply to a request that has no result."""


class Opened(Struct, tag=True):
    """The members have opened their ports."""

    incarnations: dict[str, int]


class Traffic(Struct):
    """Datagrams of a worker's members."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    lost: int = 0  # Dropped by a partition

    def since(self, before: Traffic) -> Traffic:
        """Return the difference from an earlier count."""
        return Traffic(*(getattr(self, f) - getattr(before, f) for f in self.__struct_fields__))


class Window(Struct):
    """Costs of a worker between two requests for them."""

    seconds: float
    cpu_s: float
    nanoseconds: dict[str, int]
    calls: dict[str, int]
    traffic: Traffic
    lateness_p99_ms: float
    lateness_max_ms: float
    resident_bytes: int


class Standing(Struct, tag=True):
    """Progress of a worker's members.

    `unjoined` are the first few members that have never known all members in their scope, `incomplete_count`
    counts those that do not know all of them now, and `ignorant_count` those that hold an ended member alive.
    """

    running: int
    unjoined: list[str]
    unjoined_count: int
    incomplete_count: int
    ignorant_count: int
    window: Window | None = None


class ViewFault(Struct):
    """Differences between a member's view and the running members, with the first few names.

    `missing` members are running and not held alive; `surplus` members are held alive and not running.
    """

    member: str
    known: int
    expected: int
    missing: list[str] = field(default_factory=list)
    missing_count: int = 0
    surplus: list[str] = field(default_factory=list)
    surplus_count: int = 0


class FalseDeath(Struct):
    """A running member that another one, the holder, declared dead `at_s` seconds after the start."""

    victim: str
    holder: str
    at_s: float


class Report(Struct, tag=True):
    """Observations of a worker's members over the whole run; times in seconds.

    `joined_s` has the time from the start until a member knew all others, by name. `death_known_s` has, by
    victim, one time from its end for each member that noticed. `healed_s` has one time a member, from the end
    of a partition until it knew all others again.
    """

    joined_s: dict[str, float]
    death_known_s: dict[str, list[float]]
    false_deaths: list[FalseDeath]
    false_death_count: int
    healed_s: list[float]
    view_faults: list[ViewFault]


class Failed(Struct, tag=True):
    """The worker cannot continue; the reason is a single line."""

    reason: str


Reply = Done | Opened | Standing | Report | Failed

request_decoder = msgspec.msgpack.Decoder(Request)
reply_decoder = msgspec.msgpack.Decoder(Reply)


def frame(message: Request | Reply) -> bytes:
    """Encode a message, preceded by its length."""
    body = msgspec.msgpack.encode(message)
    return LENGTH_PREFIX.pack(len(body)) + body
