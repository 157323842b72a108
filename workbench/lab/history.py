"""The history of a run: what was observed from outside, one event a JSON line, in the order of observation.

`t` is the lab's monotonic time in seconds; 0 is when the clients begin. The first line says what was run, the
last how it ended. A history whose last line is incomplete is read up to there.
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
    """A file that is not a history, or cannot be read or written; the message is one line."""


class History:
    """Writes the events of a run.

    Args:
        path: The file to write.

    Attributes:
        lines: Events that were written.
        fault: Why it takes no more events, if its disk has failed; "" otherwise.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("wb")
        self.lines = 0
        self.fault = ""
        self.logger = structlog.wrap_logger(
            structlog.BytesLogger(self.file),
            processors=[structlog.processors.JSONRenderer(serializer=encode)],
            cache_logger_on_first_use=True,
        )

    def write(self, t: float, event: str, **fields: Any) -> None:
        """Writes one event. A closed history takes no more, nor one whose disk has failed."""
        if self.file.closed or self.fault:
            return
        with self.noting_disk_faults():
            self.logger.info(event, t=round(t, 6), **fields)
            self.lines += 1

    def close(self) -> None:
        """Flushes the history to the disk and closes it, or notes why it could not."""
        with self.noting_disk_faults():
            self.file.flush()
            if self.path.is_file():
                os.fsync(self.file.fileno())
        with self.noting_disk_faults():
            self.file.close()

    @contextmanager
    def noting_disk_faults(self) -> Iterator[None]:
        """Notes the first error of the disk in `fault`."""
        try:
            yield
        except OSError as e:
            self.fault = self.fault or f"{self.path}: cannot be written: {e.strerror}"


def encode(event: Any, **_: Any) -> bytes:
    """Encodes one event as JSON; structlog's logger of bytes adds the end of line."""
    return msgspec.json.encode(event)


Event = dict[str, Any]


def read(path: str) -> list[Event]:
    """Reads all events of a history.

    Raises:
        HistoryError: The file cannot be read, or is not a history.
    """
    try:
        lines = Path(path).read_bytes().split(b"\n")
    except OSError as e:
        raise HistoryError(f"{path}: cannot be read: {e.strerror}") from None
    events: list[Event] = []
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            events.append(decode(line))
        except (msgspec.DecodeError, ValueError):
            if number >= len(lines) - 1 and events:  # the lab was killed as it wrote
                break
            raise HistoryError(f"{path}: line {number}: not an event") from None
    if not events or events[0]["event"] != "run":
        raise HistoryError(f"{path}: not a history: its first line is not a run")
    return events


def decode(line: bytes) -> Event:
    """Decodes one event.

    Raises:
        ValueError: The line is JSON, but not an event.
        msgspec.DecodeError: The line is not JSON.
    """
    event = msgspec.json.decode(line)
    if not isinstance(event, dict) or "t" not in event or "event" not in event:
        raise ValueError("an event has a time and a kind")
    return cast(Event, event)
