"""What a module asked for while it handled a batch."""

from __future__ import annotations

from typing import Any


class Recorder:
    """A module's actions by name, kept until its batch is done: its host has a method for each."""

    __slots__ = ("out",)

    def __init__(self) -> None:
        self.out: list[tuple[str, tuple[Any, ...]]] = []

    def send(self, request: int, server: int, timeout: int) -> None:
        self.out.append(("send", (request, server, timeout)))

    def cancel(self, request: int, attempt: int) -> None:
        self.out.append(("cancel", (request, attempt)))

    def reject(self, request: int, retry_after: int) -> None:
        self.out.append(("reject", (request, retry_after)))

    def fail(self, request: int) -> None:
        self.out.append(("fail", (request,)))

    def check_health(self, server: int) -> None:
        self.out.append(("check_health", (server,)))

    def set_timer(self, delay: int, token: int) -> None:
        self.out.append(("set_timer", (delay, token)))

    def send_to_peer(self, peer: int, data: bytes) -> None:
        self.out.append(("send_to_peer", (peer, data)))

    def watch(self, on: bool) -> None:
        self.out.append(("watch", (on,)))

    def fetch(self) -> None:
        self.out.append(("fetch", ()))

    def close(self, server: int) -> None:
        self.out.append(("close", (server,)))

    def log(self, text: str) -> None:
        self.out.append(("log", (text,)))
