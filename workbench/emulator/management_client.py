"""Synchronous HTTP client of the management addresses of nodes."""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from time import sleep
from typing import Any

REQUEST_TIMEOUT_S = 2.0
UPDATE_POLL_INTERVAL_S = 0.5
# The maximum number of consecutive failures; polls fail while the polled node itself is being replaced.
MAX_FAILED_POLLS = 20
MAX_PORT = 65535
# The key of the rolling update on the page `/fleet`.
UPDATE_KEY = "replace"
UPDATE_FINAL_STATES = ("done", "stopped", "none")
UPDATE_INTERNAL_KEYS = ("begun_us", "leads")


class ManagementError(Exception):
    """A management request has failed. The message is a single line."""


def parse_address(text: str) -> tuple[str, int]:
    """Parse a management address `host:port`.

    Raises:
        ManagementError: The text has a different form.
    """
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ManagementError(f"{text}: not an address of the form host:port")
    return host, int(port)


def send_request(address: tuple[str, int], method: str, path: str) -> dict[str, Any]:
    """Send a request and return the JSON object of its response.

    Raises:
        ManagementError: There is no valid response, or its status is not 200.
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
    """Return the JSON object of a management page.

    Raises:
        ManagementError: There is no valid response, or its status is not 200.
    """
    return send_request(address, "GET", path)


def put(address: tuple[str, int], path: str) -> dict[str, Any]:
    """Request an action and return the node's response.

    Raises:
        ManagementError: There is no valid response, or its status is not 200.
    """
    return send_request(address, "PUT", path)


def follow_update(address: tuple[str, int], report: Callable[[str], Any]) -> dict[str, Any]:
    """Report each change of a rolling update until it has ended, and return its last state.

    Raises:
        ManagementError: More than `MAX_FAILED_POLLS` consecutive polls failed.
    """
    last_line = ""
    failed_polls = 0
    while True:
        try:
            update = dict(get(address, "/fleet").get(UPDATE_KEY) or {"state": "none"})
            failed_polls = 0
        except ManagementError:
            failed_polls += 1
            if failed_polls > MAX_FAILED_POLLS:
                raise
            update = {"state": "unknown"}
        line = ", ".join(f"{key} {value}" for key, value in update.items() if key not in UPDATE_INTERNAL_KEYS)
        if line != last_line:
            report(line)
            last_line = line
        if update["state"] in UPDATE_FINAL_STATES:
            return update
        sleep(UPDATE_POLL_INTERVAL_S)
