"""Calls to discovery that are hedged: a late response is waited for beside a second call.

A response may be late because its connection is dead, so another call must be made to learn of a change in
time. However, every response may be late, so the first call must not be given up for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from balancer.net.discovery.call import CallEnd, DiscoveryCall
from balancer.net.process.log import Log

# Time for which the oldest call in flight is waited for after its timeout, as a multiple of the timeout. If
# nothing of its response has come by then, discovery counts as silent.
SILENCE_EXTENSION_FACTOR = 2
# Time that a response which has begun by then may still take on the oldest call.
STALL_EXTENSION_S = 30.0
# Time for which a newer call is waited for after its timeout. It is short, because discovery may respond at
# once to the next call, and the node must learn of a change within 6 s.
NEWER_CALL_EXTENSION_S = 0.7
# Time between the failure of a second call and the next one. It doubles with each such failure, so that a
# crowded discovery service is not kept busy by calls that fail at once.
NEXT_CALL_DELAY_S = 0.25
MAX_NEXT_CALL_DELAY_S = 1.0


class HedgedCall:
    """A call to discovery, made over a second connection too while the response on the first one is late.

    The first complete and usable response is passed on, and the other call is ended. A response is late if it
    is incomplete at the call's timeout.

    Args:
        loop: The event loop.
        address: The host and port of discovery.
        on_response: Called with this object and the body of each response. Called once with None when a call
            has failed, and no other is in flight or due, or when discovery is silent; no further call can be
            made then.
        is_usable: Returns whether the body of a response is valid. An invalid one counts as a failure while
            another call is in flight or due.
        log: The log for responses that are late.
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
        self.next_call_delay = NEXT_CALL_DELAY_S

    def get(self, path: str, timeout: float) -> None:
        """Request a path of the discovery service with GET.

        A second call is made if the response is incomplete `timeout` seconds after the request is written.
        """
        self.path = path
        self.timeout = timeout
        self.next_call_delay = NEXT_CALL_DELAY_S
        if self.calls:
            self.calls[0].get(path, timeout)
        else:
            self.add_call()

    def add_call(self) -> None:
        """Make the call over a new connection."""
        self.next_call_timer = None
        call = DiscoveryCall(self.loop, self.address, self.on_call_response, self.on_call_timeout)
        self.calls.append(call)
        call.get(self.path, self.timeout)

    def on_call_timeout(self, call: DiscoveryCall) -> None:
        """Give a late response more time, and make a second call beside the oldest one."""
        is_oldest = call is self.calls[0]
        if is_oldest and not call.is_late:
            self.log.line(f"discovery: no complete response after {self.timeout:.1f} s, second call made")
            call.extend(SILENCE_EXTENSION_FACTOR * self.timeout)
            self.add_call()
        elif not call.is_late:
            call.extend(NEWER_CALL_EXTENSION_S)
        elif is_oldest and not call.has_begun:
            self.fail()
        elif is_oldest and call.extensions == 1:
            call.extend(STALL_EXTENSION_S)
        else:
            call.fail(CallEnd.LATE)

    def on_call_response(self, call: DiscoveryCall, body: bytes | None) -> None:
        """Pass on a response and end the other call; if this call has failed, wait for the other one."""
        if body is None:
            self.log_end(call, call.failure)
            self.on_call_failed(call)
            return
        if self.has_alternative() and not self.is_usable(body):
            call.end()
            self.log_end(call, CallEnd.UNUSABLE)
            self.on_call_failed(call)
            return
        if self.has_alternative():
            self.log_end(call, CallEnd.ANSWERED)
        for other in self.calls:
            if other is not call:
                other.end()
                self.log_end(other, CallEnd.SUPERSEDED)
        self.calls = [call]
        self.cancel_next_call()
        self.on_response(self, body)

    def has_alternative(self) -> bool:
        """Return whether a response may still come on a second call."""
        return len(self.calls) > 1 or self.next_call_timer is not None

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Make another call soon if the one that remains is late; report the failure if none remains."""
        self.calls.remove(call)
        if self.next_call_timer is not None:
            return
        if not self.calls:
            self.on_response(self, None)
        elif self.calls[0].is_late:
            self.next_call_timer = self.loop.call_later(self.next_call_delay, self.add_call)
            self.next_call_delay = min(2 * self.next_call_delay, MAX_NEXT_CALL_DELAY_S)

    def log_end(self, call: DiscoveryCall, end: CallEnd) -> None:
        """Log how a call has ended, which tells a dead connection from a response that was given up."""
        now = self.loop.time()
        received = f"{call.received_bytes} bytes"
        if call.received_bytes:
            received += f", the last {now - call.received_at:.1f} s ago"
        self.log.line(f"discovery: call ended after {now - call.started_at:.1f} s, {received}: {end.value}")

    def fail(self) -> None:
        """End all calls on this object, and report the failure to `on_response`."""
        for call in self.calls:
            self.log_end(call, CallEnd.LATE)
        self.end()
        self.on_response(self, None)

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
