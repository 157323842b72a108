"""A listening socket, from which connections are accepted while there is capacity for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from balancer.net.process.system_faults import RETRY_INTERVAL, is_shortage

Address = tuple[str, int]

BACKLOG = 512


def open_listener(address: Address) -> socket.socket:
    """A new listening socket.

    Raises:
        OSError: the address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


class Listener:
    """Accepts connections while there is capacity for them; others wait in the socket's queue.

    Args:
        loop: the event loop.
        on_connection: called with each connection accepted.
        has_capacity: whether one more connection may be accepted.
        max_accepts: connections accepted in one iteration of the event loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_connection: Callable[[socket.socket], None],
        has_capacity: Callable[[], bool],
        max_accepts: int,
    ) -> None:
        self.loop = loop
        self.on_connection = on_connection
        self.has_capacity = has_capacity
        self.max_accepts = max_accepts
        self.socket: socket.socket | None = None
        self.reading = False
        self.backoff_timer: asyncio.TimerHandle | None = None  # accepts have failed: none for a moment

    def start(self, listener: socket.socket) -> None:
        """Takes connections from this socket from now on."""
        listener.setblocking(False)
        self.socket = listener
        self.update()

    def update(self) -> None:
        """Listens while there is capacity, and only then."""
        accepts = self.socket is not None and self.backoff_timer is None and self.has_capacity()
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
        for _ in range(self.max_accepts):
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
                continue  # the one that waited has gone; the next may be accepted
            taken += 1
            self.on_connection(connection)
        if fault is not None and not taken:
            self.back_off()
        self.update()

    def back_off(self) -> None:
        """Accepts nothing for a moment; what comes waits in the queue."""
        if self.backoff_timer is None:
            self.backoff_timer = self.loop.call_later(RETRY_INTERVAL, self.end_backoff)

    def end_backoff(self) -> None:
        """Accepts again."""
        self.backoff_timer = None
        self.update()

    def release(self) -> None:
        """Stops accepting and leaves the queue to whoever else listens on this socket.

        Closed and never shut down, which would end it for the others as well.
        """
        self.pause()
        if self.backoff_timer is not None:
            self.backoff_timer.cancel()
            self.backoff_timer = None
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def stop(self) -> None:
        """Takes all that waits in the queue and closes the socket. Without capacity it stays open.

        Failure prevented: whoever connects between the last accept and the close is reset, so nothing is
        done in between; or the close resets those for whom there was no capacity.
        """
        assert self.socket is not None
        try:
            while self.has_capacity():
                self.on_connection(self.socket.accept()[0])
        except BlockingIOError:  # none waits any more
            self.release()
        except OSError:  # the one that waited has gone, or there is a shortage: the rest is for the next call
            pass
