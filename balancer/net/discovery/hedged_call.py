"""Calls to discovery that are hedged: a late response is waited for beside further calls.

A response may be late because its connection is dead, so other calls must be made to learn of a change in
time. However, every response may be late, so no call is given up for it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from balancer.net.discovery.call import MAX_RESPONSE_BYTES, CallEnd, DiscoveryCall
from balancer.net.process.log import Log

# Time between a further call and the next one. The node must learn of a change within 6 s, by whichever of
# the calls made in that time is answered.
CALL_INTERVAL_S = 2.0
# A call beside others may take 10 s at least until it must make room, longer than the 6 s.
MAX_CALLS_IN_FLIGHT = 6
# The oldest call in flight may take this long, for a discovery service that is slower than that at each call.
MAX_OLDEST_CALL_S = 30.0
# The bytes of incomplete responses that the calls may hold together.
MAX_HELD_BYTES = 2 * MAX_RESPONSE_BYTES
# Time between the failure of a further call and the next one. It doubles with each such failure, so that a
# crowded discovery service is not kept busy by calls that fail at once.
NEXT_CALL_DELAY_S = 0.25
MAX_NEXT_CALL_DELAY_S = 1.0
# Least time between the failure of the only call and the next one.
MIN_DELAY_AFTER_FAILURE_S = 0.05

Response = TypeVar("Response")


class HedgedCall(Generic[Response]):
    """A call to discovery, made over further connections too while the response is late.

    The first complete and usable response is passed on, and the other calls are ended.

    Args:
        loop: The event loop.
        address: Returns the host and port of discovery for the next call.
        on_response: Called with this object and each decoded response. Called with None when a call has
            failed and none is in flight. The next one then begins CALL_INTERVAL_S after the one that has
            failed, unless `call_again` makes it before.
        decode: Decodes the body of a response, or returns None if it is invalid, which counts as a failure.
        log: The log for calls that are late or have failed.
        on_silence: Called at the third call for a response and at each later one, while no call in flight has
            received a byte. The calls stay in flight.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Callable[[], tuple[str, int]],
        on_response: Callable[[HedgedCall[Response], Response | None], None],
        decode: Callable[[bytes], Response | None],
        log: Log,
        on_silence: Callable[[], None],
    ) -> None:
        self.loop = loop
        self.address = address
        self.on_response = on_response
        self.on_silence = on_silence
        self.decode = decode
        self.log = log
        self.calls: list[DiscoveryCall] = []  # The calls in flight, the oldest first.
        self.call_count = 0  # The calls made for the response that is awaited.
        self.next_call_timer: asyncio.TimerHandle | None = None
        self.is_retry_due = False  # Whether the next call replaces a further call that has failed.
        self.next_call_delay = NEXT_CALL_DELAY_S

    def get(self, path: str, patience: float) -> None:
        """Request a path of the discovery service with GET.

        A further call is made if the response is incomplete after `patience` seconds, and then others at an
        interval of CALL_INTERVAL_S.
        """
        self.path = path
        self.next_call_delay = NEXT_CALL_DELAY_S
        self.call_count = len(self.calls)
        if self.calls:
            self.calls[0].get(path)
        else:
            self.add_call()
        self.schedule_next_call(patience)

    def call_again(self) -> None:
        """Make the call that follows a failure now, unless a call is in flight."""
        if not self.calls:
            self.make_next_call()

    def add_call(self) -> None:
        """Make the call over a new connection."""
        self.call_count += 1
        call = DiscoveryCall(self.loop, self.address(), self.on_call_response, self.on_call_received)
        self.calls.append(call)
        call.get(self.path)

    def schedule_next_call(self, delay: float) -> None:
        """Make the next call after this many seconds, in place of the one that is due, if any."""
        self.cancel_next_call()
        self.next_call_timer = self.loop.call_later(delay, self.make_next_call)

    def make_next_call(self) -> None:
        """Make a further call beside those in flight."""
        self.cancel_next_call()
        if self.calls:
            age = self.loop.time() - self.calls[0].started_at
            number = self.call_count + 1
            self.log.line(f"discovery: no complete response after {age:.1f} s, call {number} made")
        if len(self.calls) == MAX_CALLS_IN_FLIGHT:
            self.make_room()
        is_silent = bool(self.calls) and not any(call.received_bytes for call in self.calls)
        self.add_call()
        self.schedule_next_call(CALL_INTERVAL_S)
        if is_silent and self.call_count > 2:
            self.on_silence()

    def make_room(self) -> None:
        """End the oldest call if it has had its time, and otherwise the one after it."""
        oldest, second = self.calls[:2]
        age = self.loop.time() - oldest.started_at
        self.end_call(oldest if age >= MAX_OLDEST_CALL_S else second, CallEnd.LATE)

    def on_call_received(self, call: DiscoveryCall) -> None:
        """Bound the bytes held: the calls that have received nothing for longest make room for this one."""
        while sum(each.received_bytes for each in self.calls) > MAX_HELD_BYTES:
            others = (other for other in self.calls if other is not call)
            self.end_call(min(others, key=lambda other: other.received_at), CallEnd.TOO_LARGE)

    def on_call_response(self, call: DiscoveryCall, body: bytes | None) -> None:
        """Pass on a response and end the other calls; if this call has failed, wait for the others."""
        if body is None:
            self.log_end(call, call.failure)
            self.on_call_failed(call)
            return
        response = self.decode(body)
        if response is None:
            call.fail(CallEnd.UNUSABLE)
            return
        if len(self.calls) > 1:
            self.log_end(call, CallEnd.ANSWERED)
        for other in [other for other in self.calls if other is not call]:
            self.end_call(other, CallEnd.SUPERSEDED)
        self.cancel_next_call()
        self.on_response(self, response)

    def on_call_failed(self, call: DiscoveryCall) -> None:
        """Make another call soon if the newest one has failed; report the failure if none is in flight."""
        is_newest = call is self.calls[-1]
        self.calls.remove(call)
        if self.is_retry_due:
            return
        if not self.calls:
            # The next call is made when it would be due if this one had stalled, but not at once.
            self.schedule_next_call(max(MIN_DELAY_AFTER_FAILURE_S, self.time_until_next(call)))
            self.on_response(self, None)
        elif is_newest:
            self.retry(call)

    def time_until_next(self, newest: DiscoveryCall) -> float:
        """Return the seconds until an interval has passed since the newest call; 0 if that time is over."""
        return max(0.0, newest.started_at + CALL_INTERVAL_S - self.loop.time())

    def retry(self, newest: DiscoveryCall) -> None:
        """Make the next call after a delay that grows with each failure, unless one is due sooner."""
        self.schedule_next_call(min(self.next_call_delay, self.time_until_next(newest)))
        self.is_retry_due = True
        self.next_call_delay = min(2 * self.next_call_delay, MAX_NEXT_CALL_DELAY_S)

    def cancel_next_call(self) -> None:
        """Cancel the call that is due, if any."""
        self.is_retry_due = False
        if self.next_call_timer is not None:
            self.next_call_timer.cancel()
            self.next_call_timer = None

    def end_call(self, call: DiscoveryCall, end: CallEnd) -> None:
        """End one of the calls in flight."""
        self.calls.remove(call)
        call.end()
        self.log_end(call, end)

    def log_end(self, call: DiscoveryCall, end: CallEnd) -> None:
        """Log how a call has ended, which tells a dead connection from a response that was given up."""
        now = self.loop.time()
        received = f"{call.received_bytes} bytes"
        if call.received_bytes:
            received += f", the last {now - call.received_at:.1f} s ago"
        self.log.line(f"discovery: call ended after {now - call.started_at:.1f} s, {received}: {end.value}")

    def end(self) -> None:
        """End all calls on this object, without a report to `on_response`, and close the connections."""
        self.cancel_next_call()
        for call in self.calls:
            call.end()
        self.calls.clear()
