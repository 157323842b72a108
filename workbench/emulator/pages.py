"""A node's management pages, asked one call at a time."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from time import sleep
from typing import Any

PATIENCE = 2.0  # seconds that a node has to answer
LOOK = 0.5
MISSED = 20  # looks in a row without an answer, since the node itself is replaced


class PageError(Exception):
    """A page that cannot be had: one line."""


def address_of(text: str) -> tuple[str, int]:
    """A node's management address, `host:port`. PageError."""
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise PageError(f"{text}: not an address of the form host:port")
    return host, int(port)


def call(address: tuple[str, int], method: str, path: str) -> dict[str, Any]:
    """The JSON of one page. PageError."""
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=PATIENCE)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        text = answer.read()
    except (OSError, http.client.HTTPException) as e:
        raise PageError(f"{host}:{port}: {e}") from None
    finally:
        connection.close()
    if answer.status != 200:
        raise PageError(f"{host}:{port}{path}: {answer.status}: {text.decode(errors='replace').strip()}")
    return dict(json.loads(text))


def get(address: tuple[str, int], path: str) -> dict[str, Any]:
    """What a page says. PageError."""
    return call(address, "GET", path)


def put(address: tuple[str, int], path: str) -> dict[str, Any]:
    """Asks for something to be done; what the page says of it. PageError."""
    return call(address, "PUT", path)


def follow(address: tuple[str, int], say: Callable[[str], Any]) -> dict[str, Any]:
    """Tells each change of a replacement until it is over. PageError where the node stays away for long."""
    last = ""
    missed = 0
    while True:
        try:
            table = dict(get(address, "/fleet").get("replace") or {"state": "none"})
            missed = 0
        except PageError:
            missed += 1
            if missed > MISSED:
                raise
            table = {"state": "unknown"}  # the node that is asked is being replaced itself
        line = ", ".join(f"{k} {v}" for k, v in table.items() if k not in ("begun_us", "leads"))
        if line != last:
            say(line)
            last = line
        if table["state"] in ("done", "stopped", "none"):
            return table
        sleep(LOOK)
