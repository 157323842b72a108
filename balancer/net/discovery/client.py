"""The discovery client: a watch for changes of the server list, and fetches of the full list.

A watch is a call that discovery answers when the list changes, or after the wait that the call states. Each
answered watch is renewed by another call. A fetch is a single call for the full list.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random

from balancer.net.discovery.hedged_call import HedgedCall
from balancer.net.discovery.server_list import ServerList, parse_server_list
from balancer.net.process.log import Log
from balancer.policy.interface import ListKind

MAX_WATCH_MS = 1_000  # The longest time that discovery lets a watch wait for a change.
# The wait of each watch is shortened by up to this ratio, so that nodes do not poll in step.
WATCH_JITTER_RATIO = 0.25
# A second call is made if a watch has no complete response this long after the end of the longest wait. With
# a shorter time, a crowded discovery service would be called again while it still handles the first call.
RESPONSE_TIMEOUT_S = 1.1
# Equal to the longest wait of a watch and RESPONSE_TIMEOUT_S.
FETCH_TIMEOUT_S = 2.1
# Discovery counts as restarted after this many consecutive responses older than the current list.
RESTART_THRESHOLD_RESPONSES = 2

OnServerList = Callable[[ServerList | None], None]


class DiscoveryClient:
    """A client that watches discovery for changes and fetches the full list on request.

    Args:
        loop: The event loop.
        address: The host and port of discovery.
        version: The version of the server list that the node starts with; 0 if it has none.
        on_list: Called with each full list or change of the list, before the watch is renewed. Called with
            None when a watch or a fetch has failed, and while discovery is silent.
        log: The log for responses that cannot be used or that stall.
        rng: The random number generator for the jitter of watches.
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
        self.watch_enabled = False  # Stays True between a failed watch and its reopening.
        self.outdated_responses = 0  # Consecutive responses older than the current list.
        self.watch_call: HedgedCall[ServerList] | None = None
        self.fetch_call: HedgedCall[ServerList] | None = None

    def watch(self, enabled: bool) -> None:
        """Start the watch if `enabled`, or repeat a call that has failed; otherwise stop it."""
        self.watch_enabled = enabled
        if self.watch_call is None:
            if enabled:
                self.watch_call = self.new_call(self.on_watch_response)
                self.send_watch(self.watch_call)
        elif enabled:
            self.watch_call.call_again()
        else:
            self.watch_call.end()
            self.watch_call = None

    def send_watch(self, call: HedgedCall[ServerList]) -> None:
        """Make the next call of a watch.

        The wait for a change is short, because a discovery service that does not respond is noticed only
        after it. Until then the node sends requests to servers that have been replaced.
        """
        wait = int(MAX_WATCH_MS * (1 - WATCH_JITTER_RATIO * self.rng.random()))
        patience = MAX_WATCH_MS / 1000 + RESPONSE_TIMEOUT_S
        call.get(f"/v1/endpoints?since={self.version}&timeout_ms={wait}", patience)

    def on_watch_response(self, call: HedgedCall[ServerList], server_list: ServerList | None) -> None:
        """Pass the list of a watch's response to `on_list` and renew the watch.

        After a failure `on_list` gets None. The call is then repeated by `watch`, or by itself when the next
        one is due.
        """
        if server_list is None:
            self.on_list(None)
            return
        self.on_list(self.accept_version(server_list))
        if self.watch_call is call:
            self.send_watch(call)

    def change_address(self, address: tuple[str, int]) -> None:
        """Restart the watch and the fetch in flight at another address at once.

        The discovery service at the new address reports all changes that the node has missed. If a call to
        the old address has just failed, the delay before its retry would take longer than a node may take to
        learn of a change.
        """
        self.address = address
        if self.watch_enabled:
            self.watch(False)
            self.watch(True)
        if self.fetch_call is not None:
            self.fetch_call.end()
            self.fetch_call = None
            self.fetch()

    def fetch(self) -> None:
        """Request the full list, or repeat a call for it that has failed, unless one is in flight."""
        if self.fetch_call is None:
            self.fetch_call = self.new_call(self.on_fetch_response)
            self.fetch_call.get("/v1/endpoints", FETCH_TIMEOUT_S)
        else:
            self.fetch_call.call_again()

    def on_fetch_response(self, call: HedgedCall[ServerList], server_list: ServerList | None) -> None:
        """Pass the full list, or None for a failure, to `on_list`.

        After a failure the call is repeated as long as discovery counts as restarted.
        """
        if server_list is None and self.outdated_responses >= RESTART_THRESHOLD_RESPONSES:
            self.on_list(None)
            return
        call.end()
        self.fetch_call = None
        self.on_list(None if server_list is None else self.accept_version(server_list))

    def new_call(
        self, on_response: Callable[[HedgedCall[ServerList], ServerList | None], None]
    ) -> HedgedCall[ServerList]:
        """Return an object for calls to the current address."""
        return HedgedCall(
            self.loop, lambda: self.address, on_response, self.decode, self.log, self.on_silence
        )

    def on_silence(self) -> None:
        """Report to `on_list` that discovery does not respond, while the calls to it stay in flight."""
        self.on_list(None)

    def decode(self, body: bytes) -> ServerList | None:
        """Return the list in the body of a response, or None if the body is invalid."""
        try:
            return parse_server_list(json.loads(body))
        except (ValueError, RecursionError) as e:
            self.log.line(f"discovery: answer dropped: {e}")
            return None

    def accept_version(self, server_list: ServerList) -> ServerList:
        """Return the received list, or an empty change if that list is older than the current one.

        A late response with an old version would bring drained servers back. However, if discovery has
        restarted its version numbers, ignoring old versions would ignore its lists for good. Two consecutive
        old responses indicate a restart. If the second response is a full list, it is then accepted; if it
        states only changes, a full list is fetched.
        """
        if server_list.version >= self.version:
            self.outdated_responses = 0
            self.version = server_list.version
            return server_list
        self.outdated_responses += 1
        restarted = self.outdated_responses >= RESTART_THRESHOLD_RESPONSES
        reason = "begun anew" if restarted else "older than the list in hand"
        self.log.line(f"discovery: version {server_list.version} after {self.version}: {reason}")
        if restarted and server_list.kind == ListKind.FULL:
            self.outdated_responses = 0
            self.version = server_list.version
            return server_list
        if restarted:
            self.fetch()
        return ServerList(ListKind.CHANGES, self.version, ())

    def close(self) -> None:
        """End the watch and the fetch in flight, if any."""
        for call in (self.watch_call, self.fetch_call):
            if call is not None:
                call.end()
        self.watch_call = self.fetch_call = None
