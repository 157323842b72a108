"""Checked reading of one table of the configuration: every fault is collected, none is raised."""

from __future__ import annotations

from contextlib import suppress
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.membership.keys import InvalidKeyError, read_key
from balancer.fleet.membership.swim import Address

MAX_PATH_CHARACTERS = 4096
MAX_SHOWN_CHARACTERS = 60  # of a wrong value, in the line about it
MAX_PORT = 65_535
NO_ADDRESS: Address = ("", 0)  # what a wrong address is read as


class ConfigSection:
    """Reads the keys of a table and collects what is wrong with them.

    Each reader returns a usable value even where the one in the table is wrong, so that one pass finds all
    faults. The caller raises an error at the end if `faults` has any.

    Args:
        table: The decoded table.
        path: The key path of the table, as it begins the line about a fault.
    """

    def __init__(self, table: dict[str, Any], path: str) -> None:
        self.table = table
        self.path = path
        self.faults: list[str] = []

    def fault(self, key: str, found: Any, allowed: str) -> None:
        """Adds a line: the key path, the value found there (None if missing) and what is allowed."""
        shown = "missing" if found is None else repr(found)[:MAX_SHOWN_CHARACTERS]
        self.faults.append(f"{self.path}.{key}: {shown}: {allowed}")

    def only(self, *known: str) -> None:
        """Adds a fault for each key of the table that is not one of those known."""
        for key in self.table:
            if key not in known:
                self.faults.append(f"{self.path}.{key}: unknown key: known are {', '.join(known)}")

    def text(self, key: str, default: str | None = None, max_characters: int = MAX_NAME_CHARACTERS) -> str:
        """A text that is not empty, unless the default is."""
        value = self.table.get(key, default)
        if isinstance(value, str) and (0 < len(value) <= max_characters or value == default):
            return value
        self.fault(key, value, f"must be text of 1 to {max_characters} characters")
        return default or ""

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """An integer from `low` to `high`."""
        value = self.table.get(key, default)
        if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
            return value
        self.fault(key, value, f"must be a whole number from {low} to {high}")
        return default

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """A number from `low` to `high`."""
        value = self.table.get(key, default)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high:
            return float(value)
        self.fault(key, value, f"must be a number from {low} to {high}")
        return default

    def flag(self, key: str) -> bool:
        """True or false; false where the key is missing."""
        value = self.table.get(key, False)
        if not isinstance(value, bool):
            self.fault(key, value, "must be true or false")
        return value is True

    def address(self, key: str, value: Any) -> Address:
        """Reads a value as an address of the form host:port.

        The host must be a number: a name would have the fleet wait for a resolver.
        """
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            with suppress(ValueError):
                if port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT:
                    return str(ip_address(host)), int(port)
        self.fault(key, value, "must be an address of the form host:port, the host in numbers")
        return NO_ADDRESS

    def items(self, key: str, max_items: int) -> list[Any]:
        """A list; empty where the key is missing. Its items are not checked."""
        value = self.table.get(key, [])
        if isinstance(value, list) and len(value) <= max_items:
            return value
        self.fault(key, value, f"must be a list of at most {max_items}")
        return []

    def file_path(self, key: str) -> str:
        """A path, which is not looked at."""
        return self.text(key, max_characters=MAX_PATH_CHARACTERS)

    def secret_key(self, key: str) -> bytes:
        """The content of the key file that a path names."""
        path = self.file_path(key)
        if not path:
            return b""
        try:
            return read_key(Path(path))
        except InvalidKeyError as error:
            self.faults.append(f"{self.path}.{key}: {error}")
            return b""
