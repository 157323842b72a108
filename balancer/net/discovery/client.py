"""A watch on discovery, renewed at once, and fetches of the full list."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from balancer.net.discovery.call import DiscoveryCall
from balancer.net.discovery.server_list import ServerList, parse_server_list
from balancer.net.process.log import Log
from balancer.policy.interface import ListKind

MAX_WATCH_MS = 1_000  # the maximum time of a watch without an event...
WATCH_JITTER = 0.25  # ...and up to this part less, so that nodes do not poll in step
RESPONSE_TIMEOUT_S = 1.0  # after its wait, a watch without a response has failed
FETCH_TIMEOUT_S = 2.0  # as long as a watch may go without a response
MAX_OUTDATED = 2  # responses in a row older than the list in hand after which discovery counts as restarted

OnServerList = Callable[[ServerList | None], None]


class DiscoveryClient:
    """Keeps a watch on discovery, and fetches the full list on request.

    Args:
        loop: the event loop.
        address: of discovery.
        version: of the list in hand.
        on_list: called with each list or change before the watch is renewed, and with None at a failure.
        log: gets a line for each response that cannot be used.
        rng: the source of the watches' jitter.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        version: int,
        on_list: OnServerList,
        log: Log,
        rng: Random,
    ) -> None:
        self.loop = loop
        self.rng = rng
        self.address = address
        self.version = version
        self.on_list = on_list
        self.log = log
        self.watch_wanted = False  # the watch, also while one that has failed waits to be opened anew
        self.outdated = 0  # responses in a row that were older than the list in hand
        self.watch_call: DiscoveryCall | None = None
        self.fetch_call: DiscoveryCall | None = None

    def watch(self, on: bool) -> None:
        """Begins or ends the watch. One that is on already stays."""
        self.watch_wanted = on
        if on and self.watch_call is None:
            self.watch_call = DiscoveryCall(self.loop, self.address, self.on_watch_response)
            self.send_watch(self.watch_call)
        elif not on and self.watch_call is not None:
            self.watch_call.end()
            self.watch_call = None

    def send_watch(self, call: DiscoveryCall) -> None:
        """Makes the next call of a watch.

        Failure prevented: a watch that has fallen silent is noticed only when its wait is over, and until
        then the node sends to servers that have long been replaced.
        """
        wait = int(MAX_WATCH_MS * (1 - WATCH_JITTER * self.rng.random()))
        call.get(f"/v1/endpoints?since={self.version}&timeout_ms={wait}", wait / 1000 + RESPONSE_TIMEOUT_S)

    def on_watch_response(self, call: DiscoveryCall, body: bytes | None) -> None:
        """Hands on a watch event, and renews the watch."""
        server_list = self.parse(body)
        if server_list is None:
            # Ended before the failure is reported, since the policy may respond with a new watch.
            call.end()
            self.watch_call = None
            self.on_list(None)
            return
        self.on_list(server_list)
        if self.watch_call is call:
            self.send_watch(call)

    def change_address(self, address: tuple[str, int]) -> None:
        """Goes on at another address at once: the new one reports all that was missed.

        Failure prevented: a call to the old one has just failed, and the watch waits out the backoff for
        that one, longer than the node may take to be notified at the new one.
        """
        self.address = address
        if self.watch_wanted:
            self.watch(False)
            self.watch(True)
        if self.fetch_call is not None:
            self.fetch_call.end()
            self.fetch_call = None
            self.fetch()

    def fetch(self) -> None:
        """Requests the full list, unless such a call is in flight."""
        if self.fetch_call is None:
            self.fetch_call = DiscoveryCall(self.loop, self.address, self.on_fetch_response)
            self.fetch_call.get("/v1/endpoints", FETCH_TIMEOUT_S)

    def on_fetch_response(self, call: DiscoveryCall, body: bytes | None) -> None:
        """Hands on the full list."""
        call.end()
        self.fetch_call = None
        self.on_list(self.parse(body))

    def parse(self, body: bytes | None) -> ServerList | None:
        """The list of a response, or None for a failed call and for a response that cannot be used."""
        if body is None:
            return None
        try:
            server_list = parse_server_list(json.loads(body))
        except (ValueError, RecursionError) as e:
            self.log.line(f"discovery: answer dropped: {e}")
            return None
        return self.accept_version(server_list)

    def accept_version(self, server_list: ServerList) -> ServerList:
        """The list, or no change in place of one that is older than the list in hand.

        Failure prevented: an old response that was overtaken brings drained servers back; or, the other way,
        discovery has begun its versions anew, and its lists are ignored for good. Two old responses in a row
        prove the second case: then a full list is accepted, and where only changes came one is fetched.
        """
        if server_list.version >= self.version:
            self.outdated = 0
            self.version = server_list.version
            return server_list
        self.outdated += 1
        restarted = self.outdated >= MAX_OUTDATED
        what = "begun anew" if restarted else "older than the list in hand"
        self.log.line(f"discovery: version {server_list.version} after {self.version}: {what}")
        if restarted and server_list.kind == ListKind.FULL:
            self.outdated = 0
            self.version = server_list.version
            return server_list
        if restarted:
            self.fetch()
        return ServerList(ListKind.CHANGES, self.version, ())

    def close(self) -> None:
        """Ends all calls."""
        for call in (self.watch_call, self.fetch_call):
            if call is not None:
                call.end()
        self.watch_call = self.fetch_call = None
