"""Parsing of load reports, in which servers state measures of their load.

They come in a header of a response, or as the response to a health check.
"""

from __future__ import annotations

from collections.abc import Sequence


def parse_load_report(text: bytes, names: Sequence[tuple[str, str]]) -> tuple[float, ...]:
    """Return the values of a load report in the order of `names`.

    The result is empty if a value is missing or is not a number.

    Args:
        text: Comma-separated `name=value` pairs.
        names: For each value, its name in the settings and an alternative name that is also accepted.
    """
    values = dict(pair.strip().partition("=")[::2] for pair in text.decode("latin-1").split(","))
    try:
        return tuple(float(values[name] if name in values else values[plain]) for name, plain in names)
    except (KeyError, ValueError):
        return ()
