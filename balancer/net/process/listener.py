"""A listening socket that accepts connections while there is capacity for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from balancer.net.process.system_faults import RETRY_INTERVAL, is_shortage

Address = tuple[str, int]

BACKLOG = 512


def open_listener(address: Address) -> socket.socket:
    """Open a listening socket.

    Raises:
        OSError: The address cannot be bound.
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
    """Accepts connections while there is capacity for them; further ones wait in the socket's backlog.

    Args:
        loop: The event loop.
        on_connection: Called with each accepted connection.
        has_capacity: Returns whether another connection may be accepted.
        max_accepts: The maximum number of connections accepted in one iteration of the event loop.
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
        self.is_accepting = False
        self.backoff_timer: asyncio.TimerHandle | None = None  # Set while accepting pauses after failures.

    def start(self, listener: socket.socket) -> None:
        """Start accepting connections from this socket."""
        listener.setblocking(False)
        self.socket = listener
        self.update()

    def update(self) -> None:
        """Resume or pause accepting, depending on whether there is capacity."""
        can_accept = self.socket is not None and self.backoff_timer is None and self.has_capacity()
        if can_accept and not self.is_accepting:
            assert self.socket is not None
            self.is_accepting = True
            self.loop.add_reader(self.socket.fileno(), self.accept)
        elif not can_accept:
            self.pause()

    def pause(self) -> None:
        """Stop accepting; new connections wait in the backlog."""
        if self.is_accepting:
            assert self.socket is not None
            self.is_accepting = False
            self.loop.remove_reader(self.socket.fileno())

    def accept(self) -> None:
        """Accept waiting connections, and back off if none can be accepted.

        During a shortage of descriptors or buffers the listening socket stays readable; without the back-off,
        the event loop would spin in failing calls.
        """
        accepted_count = 0
        fault: OSError | None = None
        for _ in range(self.max_accepts):
            if self.socket is None or not self.has_capacity():
                break
            try:
                connection, _ = self.socket.accept()
            except BlockingIOError:  # The backlog is empty.
                break
            except OSError as e:
                fault = e
                if is_shortage(e):
                    break
                continue  # The waiting connection has failed; the next one may be accepted.
            accepted_count += 1
            self.on_connection(connection)
        if fault is not None and not accepted_count:
            self.back_off()
        self.update()

    def back_off(self) -> None:
        """Stop accepting for RETRY_INTERVAL; new connections wait in the backlog."""
        if self.backoff_timer is None:
            self.backoff_timer = self.loop.call_later(RETRY_INTERVAL, self.end_backoff)

    def end_backoff(self) -> None:
        """Resume accepting after a back-off."""
        self.backoff_timer = None
        self.update()

    def release(self) -> None:
        """Stop accepting, and leave the backlog to other processes that listen on this socket.

        The socket is closed but not shut down, which would close it for the other processes as well.
        """
        self.pause()
        if self.backoff_timer is not None:
            self.backoff_timer.cancel()
            self.backoff_timer = None
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def stop(self) -> None:
        """Accept all connections in the backlog, then close the socket.

        Closing resets connections that still wait, so the socket is closed directly after an accept has found
        the backlog empty. While there is no capacity or an accept fails, the socket stays open, and the
        caller calls this method again later.
        """
        assert self.socket is not None
        try:
            while self.has_capacity():
                self.on_connection(self.socket.accept()[0])
        except BlockingIOError:  # The backlog is empty.
            self.release()
        except OSError:  # The connection failed or resources are short: the next call continues.
            pass
