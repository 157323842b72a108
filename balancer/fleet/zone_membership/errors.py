"""Errors of membership by zone."""

from __future__ import annotations


class ZoneMessageError(ValueError):
    """A received message has a field outside its bounds.

    Args:
        field: What is out of bounds.
    """

    def __init__(self, field: str) -> None:
        super().__init__(field)
        self.field = field


class ZoneFactsError(ValueError):
    """The facts of a zone are more than a summary may contain."""

    def __init__(self) -> None:
        super().__init__("facts")
