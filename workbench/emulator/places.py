"""Loopback addresses of one lab's own: two labs at once never meet."""

from __future__ import annotations

import os
import socket
from random import Random

PORT = 7400  # of datagrams, and of the socket that holds the block
CALLS, PAGES = 8000, 8001  # a node's ports for clients and for operators
AGENTS = 9000  # and up: the nodes' discovery agents
MOST = 80  # nodes of a block
TRIES = 200


class NoPlace(Exception):
    """No block of addresses can be had: one line."""


class Places:
    """A block 127.A.B.0/24, held by a bound socket for as long as this process lives."""

    def __init__(self, rng: Random | None = None) -> None:
        rng = rng or Random(os.getpid())
        for _ in range(TRIES):
            block = f"127.{rng.randrange(32, 224)}.{rng.randrange(1, 255)}"
            held = socket.socket()
            try:
                held.bind((f"{block}.1", PORT))
                held.listen(1)
            except OSError:
                held.close()
                continue
            self.block, self.held = block, held
            return
        raise NoPlace("no block of loopback addresses is free: are other labs still running?")

    @property
    def lab(self) -> str:
        """Where discovery's agents listen."""
        return f"{self.block}.1"

    @property
    def servers(self) -> str:
        return f"{self.block}.2"

    def node(self, index: int) -> str:
        """A node's own address."""
        return f"{self.block}.{10 + index}"

    def seen(self, index: int) -> str:
        """Where other nodes send their datagrams to it: the relay."""
        return f"{self.block}.{110 + index}"

    def agent(self, index: int) -> tuple[str, int]:
        return self.lab, AGENTS + index

    def close(self) -> None:
        self.held.close()
