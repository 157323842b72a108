"""The history of a run: what was observed from outside the nodes, as JSON lines in order of observation.

Each line is one event. Its `t` is in seconds since the lab's monotonic clock started. The first event
describes the run and the last one its result. An incomplete last line is ignored when a history is read.
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
    """A file that is not a history, or cannot be read or written. The message is one line."""


class History:
    """Writes the events of a run to a file.

    Args:
        path: The file to write.

    Attributes:
        event_count: Number of events written.
        write_error: The first error of the disk, after which no events are written; "" if none occurred.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = path.open("wb")
        self.event_count = 0
        self.write_error = ""
        self.logger = structlog.wrap_logger(
            structlog.BytesLogger(self.file),
            processors=[structlog.processors.JSONRenderer(serializer=encode)],
            cache_logger_on_first_use=True,
        )

    def write(self, t: float, event: str, **fields: Any) -> None:
        """Write one event; do nothing after the history was closed or its disk failed."""
        if self.file.closed or self.write_error:
            return
        with self.storing_disk_errors():
            self.logger.info(event, t=round(t, 6), **fields)
            self.event_count += 1

    def close(self) -> None:
        """Flush the history to the disk and close it; an error of the disk goes to `write_error`."""
        with self.storing_disk_errors():
            self.file.flush()
            if self.path.is_file():
                os.fsync(self.file.fileno())
        with self.storing_disk_errors():
            self.file.close()

    @contextmanager
    def storing_disk_errors(self) -> Iterator[None]:
        """Store the first error of the disk in `write_error`."""
        try:
            yield
        except OSError as e:
            self.write_error = self.write_error or f"{self.path}: cannot be written: {e.strerror}"


def encode(event: Any, **_: Any) -> bytes:
    """Encode one event as JSON; structlog's BytesLogger adds the newline."""
    return msgspec.json.encode(event)


Event = dict[str, Any]


def read(path: str) -> list[Event]:
    """Read all events of a history.

    Raises:
        HistoryError: The file cannot be read or is not a history.
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
            if number >= len(lines) - 1 and events:  # The lab was killed while it wrote this line.
                break
            raise HistoryError(f"{path}: line {number}: not an event") from None
    if not events or events[0]["event"] != "run":
        raise HistoryError(f"{path}: not a history: its first line is not a run")
    return events


def decode(line: bytes) -> Event:
    """Decode one line of a history.

    Raises:
        ValueError: The line is JSON but not an event.
        msgspec.DecodeError: The line is not JSON.
    """
    event = msgspec.json.decode(line)
    if not isinstance(event, dict) or "t" not in event or "event" not in event:
        raise ValueError("an event must have the keys t and event")
    return cast(Event, event)
