"""A block of loopback addresses for one emulation, so that two at once never share an address."""

from __future__ import annotations

import os
import socket
from random import Random

DATAGRAM_PORT = 7400  # also of the socket that reserves the block
CLIENT_PORT, MANAGEMENT_PORT = 8000, 8001  # of each node
FIRST_AGENT_PORT = 9000  # the nodes' discovery agents listen on this port and those above
MAX_NODES = 80  # that a block has addresses for
MAX_ATTEMPTS = 200
SECOND_OCTETS = (32, 224)
THIRD_OCTETS = (1, 255)
FIRST_NODE_OCTET = 10
FIRST_RELAY_OCTET = 110


class AddressBlockError(Exception):
    """No block of addresses is free; the message is one line."""


class AddressBlock:
    """A block 127.A.B.0/24, reserved by a bound socket until `close` or the end of this process.

    Args:
        rng: Draws the block; by default it is seeded with the process id.

    Raises:
        AddressBlockError: No free block was found.
    """

    def __init__(self, rng: Random | None = None) -> None:
        rng = rng or Random(os.getpid())
        for _ in range(MAX_ATTEMPTS):
            block = f"127.{rng.randrange(*SECOND_OCTETS)}.{rng.randrange(*THIRD_OCTETS)}"
            reservation = reserve(f"{block}.1")
            if reservation is not None:
                self.block = block
                self.reservation = reservation
                return
        raise AddressBlockError("no block of loopback addresses is free: are other labs still running?")

    @property
    def agent_host(self) -> str:
        """The address of all discovery agents."""
        return f"{self.block}.1"

    @property
    def server_host(self) -> str:
        """The address of all servers."""
        return f"{self.block}.2"

    def node_host(self, index: int) -> str:
        """Returns a node's own address."""
        return f"{self.block}.{FIRST_NODE_OCTET + index}"

    def relay_host(self, index: int) -> str:
        """Returns the relay's address to which other nodes send their datagrams for a node."""
        return f"{self.block}.{FIRST_RELAY_OCTET + index}"

    def agent_address(self, index: int) -> tuple[str, int]:
        """Returns host and port of a node's discovery agent."""
        return self.agent_host, FIRST_AGENT_PORT + index

    def close(self) -> None:
        """Releases the block."""
        self.reservation.close()


def reserve(host: str) -> socket.socket | None:
    """Returns a socket that listens on the datagram port of a host, or None where it is taken."""
    reservation = socket.socket()
    try:
        reservation.bind((host, DATAGRAM_PORT))
        reservation.listen(1)
    except OSError:
        reservation.close()
        return None
    return reservation
