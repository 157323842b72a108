"""Bodies that pass through: a long request on its way to a server, a long answer on its way to a client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

WHOLE = 65536  # bytes; what is no longer is taken whole and can be tried again
LARGEST = 32 << 20  # and what is longer than this is none of this service's


class Sink(Protocol):
    """A connection to a server that takes a request's body."""

    def piece(self, data: bytes) -> None:
        """Writes a piece of it."""

    def last(self) -> None:
        """That was all of it."""

    def full(self) -> bool:
        """Whether it should get no more for now; `Upload.drained` is called when it may."""


class Flow(Protocol):
    """A client that takes a long answer."""

    def piece(self, data: bytes) -> None:
        """Writes a piece of it."""

    def end(self) -> None:
        """That was all of it."""

    def cut(self) -> None:
        """It broke off: the client must be able to tell."""


class Source(Protocol):
    """A connection to a server that an answer comes from."""

    def hold(self) -> None:
        """The client takes no more for now."""

    def go_on(self) -> None:
        """It takes more."""


class Upload:
    """A request's body that comes in pieces. `more` lets the client send on."""

    def __init__(self, length: int | None, more: Callable[[], None]) -> None:
        self.length = length  # None: it comes in chunks, and ends when it ends
        self.more = more
        self.size = 0
        self.kept: list[bytes] = []  # what has come since the start, until some of it is thrown away
        self.whole = False
        self.spent = False  # some was thrown away: no other server can have it whole
        self.sink: Sink | None = None

    def feed(self, data: bytes) -> None:
        """A piece has come."""
        self.size += len(data)
        if not self.spent:
            self.kept.append(data)
        if self.sink is not None:
            self.sink.piece(data)

    def end(self) -> None:
        """The last piece has come."""
        self.whole = True
        if self.sink is not None:
            self.sink.last()

    def full(self) -> bool:
        """Whether the client must wait."""
        return self.sink is None or not self.spent or self.sink.full()

    def attach(self, sink: Sink) -> None:
        """A server takes it from now on."""
        self.sink = sink
        for data in self.kept:
            sink.piece(data)
        if self.whole:
            sink.last()
        elif not sink.full():
            self.drained()

    def drained(self) -> None:
        """The sink can take more."""
        if not self.whole:
            self.spent = True
            self.kept.clear()
            self.more()

    def detach(self) -> None:
        """The attempt has ended."""
        self.sink = None
