"""Load reports of servers."""

from __future__ import annotations

from collections.abc import Sequence


def parse_load_report(text: bytes, names: Sequence[tuple[str, str]]) -> tuple[float, ...]:
    """A load report's values in the order of `names`; nothing if one is missing or unreadable.

    Args:
        text: `name=value` pairs with commas between them.
        names: for each value the settings' name, and another that is accepted in its place.
    """
    values = dict(pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(","))
    try:
        return tuple(float(values[name] if name in values else values[plain]) for name, plain in names)
    except (KeyError, ValueError):
        return ()
