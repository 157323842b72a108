"""Validation of one table of the configuration, which collects all faults instead of raising the first."""

from __future__ import annotations

from contextlib import suppress
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from balancer.fleet.membership.claims import MAX_NAME_CHARACTERS
from balancer.fleet.membership.keys import InvalidKeyError, read_key
from balancer.fleet.membership.swim import Address

MAX_PATH_CHARACTERS = 4096
MAX_REPORTED_VALUE_CHARACTERS = 60
MAX_PORT = 65_535
# The value that `ConfigSection.address` returns for an invalid address.
INVALID_ADDRESS: Address = ("", 0)


class ConfigSection:
    """A configuration table whose keys are validated as they are read.

    Each method that reads a key returns a usable value even if the value in the table is invalid, so that one
    pass finds all faults. Each fault is a line of the list `faults`; the caller raises an error at the end if
    that list is not empty.

    Args:
        table: The decoded table.
        path: The key path of the table, such as `fleet.zones`, with which each line about a fault begins.
    """

    def __init__(self, table: dict[str, Any], path: str) -> None:
        self.table = table
        self.path = path
        self.faults: list[str] = []

    def add_fault(self, key: str, value: Any, allowed: str) -> None:
        """Add a fault: a line with the key path, the invalid value and the allowed values.

        A `value` of None stands for a missing key.
        """
        shown = "missing" if value is None else repr(value)[:MAX_REPORTED_VALUE_CHARACTERS]
        self.faults.append(f"{self.path}.{key}: {shown}: {allowed}")

    def reject_unknown_keys(self, *known_keys: str) -> None:
        """Add a fault for each key of the table that is not among the known keys."""
        for key in self.table:
            if key not in known_keys:
                self.faults.append(f"{self.path}.{key}: unknown key: known keys are {', '.join(known_keys)}")

    def text(self, key: str, default: str | None = None, max_characters: int = MAX_NAME_CHARACTERS) -> str:
        """Read a text, which must not be empty unless the default is empty."""
        value = self.table.get(key, default)
        if isinstance(value, str) and (0 < len(value) <= max_characters or value == default):
            return value
        self.add_fault(key, value, f"must be text of 1 to {max_characters} characters")
        return default or ""

    def integer(self, key: str, default: int, low: int, high: int) -> int:
        """Read an integer from `low` to `high`."""
        value = self.table.get(key, default)
        if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high:
            return value
        self.add_fault(key, value, f"must be a whole number from {low} to {high}")
        return default

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Read a number from `low` to `high`."""
        value = self.table.get(key, default)
        if isinstance(value, (int, float)) and not isinstance(value, bool) and low <= value <= high:
            return float(value)
        self.add_fault(key, value, f"must be a number from {low} to {high}")
        return default

    def flag(self, key: str) -> bool:
        """Read a boolean; return False if the key is missing."""
        value = self.table.get(key, False)
        if not isinstance(value, bool):
            self.add_fault(key, value, "must be true or false")
        return value is True

    def address(self, key: str, value: Any) -> Address:
        """Parse a value as an address of the form host:port.

        The host must be numeric, since a host name would make the fleet depend on a resolver.
        """
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            with suppress(ValueError):
                if port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT:
                    return str(ip_address(host)), int(port)
        self.add_fault(key, value, "must be an address of the form host:port with a numeric host")
        return INVALID_ADDRESS

    def items(self, key: str, max_items: int) -> list[Any]:
        """Read a list, without validating its items; return an empty one if the key is missing."""
        value = self.table.get(key, [])
        if isinstance(value, list) and len(value) <= max_items:
            return value
        self.add_fault(key, value, f"must be a list of at most {max_items} items")
        return []

    def file_path(self, key: str) -> str:
        """Read the path of a file or directory, without checking that it exists."""
        return self.text(key, max_characters=MAX_PATH_CHARACTERS)

    def secret_key(self, key: str) -> bytes:
        """Read the secret key from the file that the path at `key` names."""
        path = self.file_path(key)
        if not path:
            return b""
        try:
            return read_key(Path(path))
        except InvalidKeyError as error:
            self.faults.append(f"{self.path}.{key}: {error}")
            return b""
