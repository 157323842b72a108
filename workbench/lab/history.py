"""The history of a run: what was seen from outside, a JSON line each, in the order it was seen.

`t` is the lab's monotonic time in seconds; 0 is when the clients begin. The first line says what was run, the
last how it ended. A history whose last line is torn is read up to there.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast

import msgspec
import structlog


class HistoryError(Exception):
    """A file that is no history: one line."""


class History:
    """Writes events."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("wb")
        self.lines = 0
        self.fault = ""  # why it takes no more lines, if its disk has failed
        self.logger = structlog.wrap_logger(
            structlog.BytesLogger(self.file),
            processors=[structlog.processors.JSONRenderer(serializer=encode)],
            cache_logger_on_first_use=True,
        )

    def write(self, t: float, event: str, **fields: Any) -> None:
        """One line. A closed history takes no more, nor one whose disk has failed."""
        if self.file.closed or self.fault:
            return
        with self.noting_faults():
            self.logger.info(event, t=round(t, 6), **fields)
            self.lines += 1

    def close(self) -> None:
        """Returns once the history is on the disk, or has noted why it is not."""
        with self.noting_faults():
            self.file.flush()
            if self.path.is_file():
                os.fsync(self.file.fileno())
        with self.noting_faults():
            self.file.close()

    @contextmanager
    def noting_faults(self) -> Iterator[None]:
        try:
            yield
        except OSError as e:
            self.fault = self.fault or f"{self.path}: cannot be written: {e.strerror}"


def encode(event: Any, **_: Any) -> bytes:
    """One event as JSON; structlog's logger of bytes adds the end of line."""
    return msgspec.json.encode(event)


Event = dict[str, Any]


def read(path: str) -> list[Event]:
    """All events of a history. HistoryError."""
    try:
        lines = Path(path).read_bytes().split(b"\n")
    except OSError as e:
        raise HistoryError(f"{path}: cannot be read: {e.strerror}") from None
    out: list[Event] = []
    decoder = msgspec.json.Decoder()
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            event = decoder.decode(line)
            if not isinstance(event, dict) or "t" not in event or "event" not in event:
                raise ValueError
        except (msgspec.DecodeError, ValueError):
            if number >= len(lines) - 1 and out:  # the lab was killed as it wrote
                break
            raise HistoryError(f"{path}: line {number}: not an event") from None
        out.append(cast(Event, event))
    if not out or out[0]["event"] != "run":
        raise HistoryError(f"{path}: not a history: its first line is not a run")
    return out
