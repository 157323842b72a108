"""A listening socket, from which connections are taken while there is room for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from balancer.net.process.system_faults import RETRY_INTERVAL, is_shortage

Address = tuple[str, int]

BACKLOG = 512


def listening(address: Address) -> socket.socket:
    """A new listening socket. An OSError if the address cannot be had."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        made.bind(address)
        made.listen(BACKLOG)
    except OSError:
        made.close()
        raise
    return made


class Listener:
    """Hands each connection it takes to `take`, so many in one go at most, while `has_capacity` says so."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        take: Callable[[socket.socket], None],
        has_capacity: Callable[[], bool],
        at_once: int,
    ) -> None:
        self.loop = loop
        self.take = take
        self.has_capacity = has_capacity
        self.at_once = at_once
        self.socket: socket.socket | None = None
        self.reading = False
        self.resting: asyncio.TimerHandle | None = None  # accepts have failed: none for a moment

    def start(self, listener: socket.socket) -> None:
        """Takes connections from this socket from now on."""
        listener.setblocking(False)
        self.socket = listener
        self.look()

    def look(self) -> None:
        """Listens while there is room, and only then."""
        accepts = self.socket is not None and self.resting is None and self.has_capacity()
        if accepts and not self.reading:
            assert self.socket is not None
            self.reading = True
            self.loop.add_reader(self.socket.fileno(), self.accept)
        elif not accepts:
            self.pause()

    def pause(self) -> None:
        """Leaves what comes from now on in the queue."""
        if self.reading:
            assert self.socket is not None
            self.reading = False
            self.loop.remove_reader(self.socket.fileno())

    def accept(self) -> None:
        """Takes what waits in the queue.

        Failure prevented: a shortage of descriptors or buffers lasts, the queue stays readable, and the loop
        does nothing but fail to accept.
        """
        taken = 0
        fault: OSError | None = None
        for _ in range(self.at_once):
            if self.socket is None or not self.has_capacity():
                break
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:  # none waits
                break
            except OSError as e:
                fault = e
                if is_shortage(e):
                    break
                continue  # the one that waited has gone; the next may be well
            taken += 1
            self.take(connection)
        if fault is not None and not taken:
            self.rest()
        self.look()

    def rest(self) -> None:
        """Accepts nothing for a moment; what comes waits in the queue."""
        if self.resting is None:
            self.resting = self.loop.call_later(RETRY_INTERVAL, self.rested)

    def rested(self) -> None:
        """The moment is over."""
        self.resting = None
        self.look()

    def release(self) -> None:
        """Stops taking and leaves what waits to whoever else listens on this socket.

        Closed and never shut down, which would end it for the others as well.
        """
        self.pause()
        if self.resting is not None:
            self.resting.cancel()
            self.resting = None
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def stop(self) -> None:
        """Takes all that waits in the queue and closes the socket. Without room it stays for later.

        Failure prevented: whoever connects between the last accept and the close is reset, so nothing is
        done in between; or the close resets those for whom there was no room.
        """
        assert self.socket is not None
        try:
            while self.has_capacity():
                self.take(self.socket.accept()[0])
        except BlockingIOError:  # none waits any more
            self.release()
        except OSError:  # the one that waited has gone, or there is a shortage: the rest is for the next call
            pass
