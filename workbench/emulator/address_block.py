"""Reservation of a block of loopback addresses, so that concurrent emulations never share an address."""

from __future__ import annotations

import os
import socket
from random import Random

# The datagram port of nodes and relays. A TCP socket on this port of the block's first address reserves the
# block.
DATAGRAM_PORT = 7400
CLIENT_PORT, MANAGEMENT_PORT = 8000, 8001
# The discovery agent of node `i` listens on this port plus `i`.
FIRST_AGENT_PORT = 9000
# The number of nodes for which a block has addresses.
MAX_NODES = 80
MAX_RESERVATION_ATTEMPTS = 200
SECOND_OCTET_RANGE = (32, 224)
THIRD_OCTET_RANGE = (1, 255)
FIRST_NODE_OCTET = 10
FIRST_RELAY_OCTET = 110


class AddressBlockError(Exception):
    """No block of loopback addresses is free. The message is a single line."""


class AddressBlock:
    """A block 127.A.B.0/24, reserved by a bound socket until `close` or the end of this process.

    Args:
        rng: Selects the candidate blocks; seeded with the process id by default.

    Raises:
        AddressBlockError: No free block was found.
    """

    def __init__(self, rng: Random | None = None) -> None:
        rng = rng or Random(os.getpid())
        for _ in range(MAX_RESERVATION_ATTEMPTS):
            prefix = f"127.{rng.randrange(*SECOND_OCTET_RANGE)}.{rng.randrange(*THIRD_OCTET_RANGE)}"
            reservation = reserve_host(f"{prefix}.1")
            if reservation is not None:
                self.prefix = prefix
                self.reservation = reservation
                return
        raise AddressBlockError("no block of loopback addresses is free: are other labs still running?")

    @property
    def agent_host(self) -> str:
        """The address that all discovery agents listen on."""
        return f"{self.prefix}.1"

    @property
    def server_host(self) -> str:
        """The address that all servers listen on."""
        return f"{self.prefix}.2"

    def node_host(self, index: int) -> str:
        """Return the address that a node itself listens on."""
        return f"{self.prefix}.{FIRST_NODE_OCTET + index}"

    def relay_host(self, index: int) -> str:
        """Return the address of the relay that other nodes send their datagrams for a node to."""
        return f"{self.prefix}.{FIRST_RELAY_OCTET + index}"

    def agent_address(self, index: int) -> tuple[str, int]:
        """Return the host and port of a node's discovery agent."""
        return self.agent_host, FIRST_AGENT_PORT + index

    def close(self) -> None:
        """Release the block for other emulations."""
        self.reservation.close()


def reserve_host(host: str) -> socket.socket | None:
    """Return a TCP socket that listens on the datagram port of a host, or None if the port is in use."""
    reservation = socket.socket()
    try:
        reservation.bind((host, DATAGRAM_PORT))
        reservation.listen(1)
    except OSError:
        reservation.close()
        return None
    return reservation
