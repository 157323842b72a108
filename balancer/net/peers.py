"""Messages between peers, the nodes of one tier; each message is one UDP datagram."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

from balancer.net.process.log import Log

MAX_DATAGRAM_BYTES = 256

Address = tuple[str, int]


class Peers(asyncio.DatagramProtocol):
    """Sends messages to the tier's nodes by index, and delivers those received from them.

    Args:
        peers: The UDP addresses of the tier's nodes; a node's index is its position.
        broadcast_address: The UDP address that reaches all nodes of the tier, or None if there is none.
        on_message: Called with a node's index and its message.
        log: Receives a line for each message that is dropped.
    """

    def __init__(
        self,
        peers: Sequence[Address],
        broadcast_address: Address | None,
        on_message: Callable[[int, bytes], None],
        log: Log,
    ) -> None:
        self.peers = peers
        self.index_by_address = {address: index for index, address in enumerate(peers)}
        self.broadcast_address = broadcast_address
        self.on_message = on_message
        self.log = log
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, through which messages are sent, when the UDP port is open."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Release the UDP port, if it is open."""
        if self.transport is not None:
            self.transport.abort()
            self.transport = None

    def send(self, peer: int, data: bytes) -> None:
        """Send a message to one peer, or to all peers.

        The message is dropped, with a line in the log, if it exceeds MAX_DATAGRAM_BYTES, if its receiver
        has no address, or if this node's UDP port is closed.

        Args:
            peer: The index of the peer, or -1 for all peers.
            data: The message.
        """
        address = self.broadcast_address if peer < 0 else self.peers[peer] if peer < len(self.peers) else None
        if self.transport is None or address is None or len(data) > MAX_DATAGRAM_BYTES:
            self.log.line(f"dropped a message of {len(data)} bytes to peer {peer}")
            return
        self.transport.sendto(data, address)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Deliver a peer's message to `on_message`.

        A datagram from an address that is no peer's, or one above MAX_DATAGRAM_BYTES, is dropped and logged.
        """
        index = self.index_by_address.get((addr[0], addr[1]))
        if index is None or len(data) > MAX_DATAGRAM_BYTES:
            self.log.line("dropped a stray or oversized datagram")
            return
        self.on_message(index, data)

    def error_received(self, exc: Exception) -> None:
        """Log an error that the operating system reports for the socket."""
        self.log.line(f"peers: {exc}")
