"""Calls to discovery that are hedged: a response that stalls is waited for beside a second call.

A response may stall on a connection that is dead, so another call must be made to learn of a change in time.
However, every response may be slow, so the call that has begun must not be given up for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.discovery.call import DiscoveryCall
from balancer.net.process.log import Log

# Time that a stalled response may still take on the oldest call in flight.
OLDEST_CALL_EXTENSION_S = 30.0
# The same for a newer call. It is short, because discovery may respond at once to the next call, and the node
# must learn of a change within 6 s.
NEWER_CALL_EXTENSION_S = 1.5
# Time between the failure of a newer call and the next one.
NEXT_CALL_DELAY_S = 0.25


class HedgedCall:
    """A call to discovery, made over a second connection too while the response on the first one stalls.

    The first complete and usable response is passed on, and the other call is ended. A response stalls if it
    has begun and is incomplete at the call's timeout.

    Args:
        loop: The event loop.
        address: The host and port of discovery.
        on_response: Called with this object and the body of each response. Called once with None when a call
            has failed, and no other is in flight or due; no further call can be made then.
        is_usable: Returns whether the body of a response is valid. An invalid one counts as a failure while
            another call is in flight or due.
        log: The log for responses that stall.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        on_response: Callable[[HedgedCall, bytes | None], None],
        is_usable: Callable[[bytes], bool],
        log: Log,
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_response = on_response
        self.is_usable = is_usable
        self.log = log
        self.calls: list[DiscoveryCall] = []  # The calls in flight, the oldest first; at most two.
        self.next_call_timer: asyncio.TimerHandle | None = None

    def get(self, path: str, timeout: float) -> None:
        """Request a path of the discovery service with GET.

        A call fails if its response has not begun `timeout` seconds after its request is written.
        """
        self.path = path
        self.timeout = timeout
        if self.calls:
            self.calls[0].get(path, timeout)
        else:
            self.add_call()

    def add_call(self) -> None:
        """Make the call over a new connection."""
        self.next_call_timer = None
        call = DiscoveryCall(self.loop, self.address, self.on_call_response, self.on_call_stalled)
        self.calls.append(call)
        call.get(self.path, self.timeout)

    def on_call_stalled(self, call: DiscoveryCall) -> None:
        """Give a stalled response more time, and make a second call beside the oldest one."""
        if call is self.calls[0]:
            self.log.line(f"discovery: response incomplete after {self.timeout:.1f} s, second call made")
            call.extend(OLDEST_CALL_EXTENSION_S)
            self.add_call()
        else:
            call.extend(NEWER_CALL_EXTENSION_S)

    def on_call_response(self, call: DiscoveryCall, body: bytes | None) -> None:
        """Pass on a response and end the other call; if this call has failed, wait for the other one."""
        if body is None:
            self.on_call_failed(call)
            return
        if self.has_alternative() and not self.is_usable(body):
            call.end()
            self.on_call_failed(call)
            return
        for other in self.calls:
            if other is not call:
                other.end()
        self.calls = [call]
        self.cancel_next_call()
        self.on_response(self, body)

    def has_alternative(self) -> bool:
        """Return whether a response may still come on a second call."""
        return len(self.calls) > 1 or self.next_call_timer is not None

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Make another call soon if the one that remains has stalled; report the failure if none remains."""
        self.calls.remove(call)
        if self.next_call_timer is not None:
            return
        if not self.calls:
            self.on_response(self, None)
        elif self.calls[0].has_stalled:
            self.next_call_timer = self.loop.call_later(NEXT_CALL_DELAY_S, self.add_call)

    def cancel_next_call(self) -> None:
        """Cancel the call that is due, if any."""
        if self.next_call_timer is not None:
            self.next_call_timer.cancel()
            self.next_call_timer = None

    def end(self) -> None:
        """End all calls on this object, without a report to `on_response`, and close the connections."""
        self.cancel_next_call()
        for call in self.calls:
            call.end()
        self.calls.clear()
