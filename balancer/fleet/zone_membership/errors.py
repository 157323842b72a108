"""Errors of membership by zone."""

from __future__ import annotations


class ZoneMessageError(ValueError):
    """The error raised for a field of a received message that is outside its bounds.

    Args:
        field: Name of the field.
    """

    def __init__(self, field: str) -> None:
        super().__init__(f"{field} out of bounds")
        self.field = field


class ZoneFactsError(ValueError):
    """The error raised for facts, keys and values of a zone, that are too many or too long for a summary."""

    def __init__(self) -> None:
        super().__init__("too many facts, or facts too long")
