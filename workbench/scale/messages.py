"""What the parent and its workers say to each other: each request has one reply, framed by its length."""

from __future__ import annotations

from struct import Struct as Packing

import msgspec
from msgspec import Struct, field

from workbench.scale.group import Group
from workbench.scale.plan import Defect, Start

LENGTH = Packing("<I")


class Assign(Struct, tag=True):
    """The first request: which members this worker runs."""

    group: Group
    members: list[int]  # indices
    key: str  # the file with the group's key
    start: Start
    defects: dict[str, Defect]  # members that misbehave on purpose, by name


class Open(Struct, tag=True):
    """Take the ports and begin; where the group is known from the start, without a word until `Go`."""


class Learn(Struct, tag=True):
    """The whole group, with the incarnation of each."""

    incarnations: dict[str, int]


class Go(Struct, tag=True):
    """Begin to speak."""


class Look(Struct, tag=True):
    """Say where you stand. `window`: the figures since the last such look are wanted as well."""

    window: bool = False


class Stop(Struct, tag=True):
    """These members end without a word, in whichever worker they run."""

    names: list[str]


class Restart(Struct, tag=True):
    """These members come back from nothing. `wall`: no incarnation of theirs is lower, microseconds."""

    names: list[str]
    wall: int


class Cut(Struct, tag=True):
    """Datagrams between this region and all others are lost from now on; None: no region is cut off."""

    region: int | None


class Finish(Struct, tag=True):
    """Say what every member holds and what was seen, and end."""


Request = Assign | Open | Learn | Go | Look | Stop | Restart | Cut | Finish


class Done(Struct, tag=True):
    """It is done."""


class Opened(Struct, tag=True):
    """The members have their ports."""

    incarnations: dict[str, int]


class Traffic(Struct):
    """Datagrams of a worker's members."""

    datagrams_out: int = 0
    datagrams_in: int = 0
    bytes_out: int = 0
    bytes_in: int = 0
    lost: int = 0  # dropped by a cut

    def since(self, before: Traffic) -> Traffic:
        """What has been added to an earlier count."""
        return Traffic(*(getattr(self, f) - getattr(before, f) for f in self.__struct_fields__))


class Window(Struct):
    """What a worker spent between two looks."""

    seconds: float
    cpu_s: float
    nanoseconds: dict[str, int]
    calls: dict[str, int]
    traffic: Traffic
    lateness_p99_ms: float
    lateness_max_ms: float
    resident_bytes: int


class Standing(Struct, tag=True):
    """How far a worker's members are."""

    running: int
    unjoined: list[str]  # members that have not yet known all they should, the first few
    unjoined_count: int
    incomplete_count: int  # members that do not know all they should now
    ignorant_count: int  # members that hold one alive who has ended
    window: Window | None = None


class ViewFault(Struct):
    """Where a member's view differs from who is there, with the first few names."""

    member: str
    known: int
    expected: int
    missing: list[str] = field(default_factory=list)  # running and not held alive
    missing_count: int = 0
    surplus: list[str] = field(default_factory=list)  # held alive and not running
    surplus_count: int = 0


class FalseDeath(Struct):
    """A running member that another one held dead."""

    victim: str
    holder: str
    at_s: float  # since the start


class Report(Struct, tag=True):
    """What a worker's members saw over the whole run; times in seconds."""

    joined_s: dict[str, float]  # members that have known all, since the start
    death_known_s: dict[str, list[float]]  # by victim: since its end, one for each member that noticed
    false_deaths: list[FalseDeath]
    false_death_count: int
    healed_s: list[float]  # by member: from the end of a cut until it knew all again
    view_faults: list[ViewFault]


class Failed(Struct, tag=True):
    """The worker cannot go on: one line."""

    reason: str


Reply = Done | Opened | Standing | Report | Failed

request_decoder = msgspec.msgpack.Decoder(Request)
reply_decoder = msgspec.msgpack.Decoder(Reply)


def frame(message: Request | Reply) -> bytes:
    """The message's bytes after their length."""
    body = msgspec.msgpack.encode(message)
    return LENGTH.pack(len(body)) + body
