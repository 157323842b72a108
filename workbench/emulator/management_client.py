"""A client of nodes' management addresses, one call at a time."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from time import sleep
from typing import Any

REQUEST_TIMEOUT_S = 2.0
UPDATE_POLL_INTERVAL_S = 0.5
MAX_FAILED_POLLS = 20  # in a row, since the node that is asked is itself replaced
MAX_PORT = 65535
UPDATE_KEY = "replace"  # of the page /fleet
UPDATE_FINAL_STATES = ("done", "stopped", "none")
UPDATE_INTERNAL_KEYS = ("begun_us", "leads")


class ManagementError(Exception):
    """A management call that failed; the message is one line."""


def parse_address(text: str) -> tuple[str, int]:
    """Parses a management address `host:port`.

    Raises:
        ManagementError: The text has another form.
    """
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ManagementError(f"{text}: not an address of the form host:port")
    return host, int(port)


def send_request(address: tuple[str, int], method: str, path: str) -> dict[str, Any]:
    """Returns the JSON of one response.

    Raises:
        ManagementError: There is no response, or its status is not 200.
    """
    host, port = address
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path)
        response = connection.getresponse()
        text = response.read()
    except (OSError, http.client.HTTPException) as e:
        raise ManagementError(f"{host}:{port}: {e}") from None
    finally:
        connection.close()
    if response.status != 200:
        reason = text.decode(errors="replace").strip()
        raise ManagementError(f"{host}:{port}{path}: {response.status}: {reason}")
    return dict(json.loads(text))


def get(address: tuple[str, int], path: str) -> dict[str, Any]:
    """Returns what a page shows.

    Raises:
        ManagementError: There is no response, or its status is not 200.
    """
    return send_request(address, "GET", path)


def put(address: tuple[str, int], path: str) -> dict[str, Any]:
    """Requests an action and returns the node's response to it.

    Raises:
        ManagementError: There is no response, or its status is not 200.
    """
    return send_request(address, "PUT", path)


def follow_update(address: tuple[str, int], report: Callable[[str], Any]) -> dict[str, Any]:
    """Reports each change of a rolling update until it has ended, and returns its last state.

    Raises:
        ManagementError: The node has not answered for long.
    """
    last_line = ""
    failed_polls = 0
    while True:
        try:
            table = dict(get(address, "/fleet").get(UPDATE_KEY) or {"state": "none"})
            failed_polls = 0
        except ManagementError:
            failed_polls += 1
            if failed_polls > MAX_FAILED_POLLS:
                raise
            table = {"state": "unknown"}  # the node that is asked is being replaced itself
        line = ", ".join(f"{key} {value}" for key, value in table.items() if key not in UPDATE_INTERNAL_KEYS)
        if line != last_line:
            report(line)
            last_line = line
        if table["state"] in UPDATE_FINAL_STATES:
            return table
        sleep(UPDATE_POLL_INTERVAL_S)
