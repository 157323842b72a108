"""Digests that two processes of one node share by a file while one of them replaces the other."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress

from balancer.net.process.log import Log

FILE_NAME = "laurelspindle-unsafe-requests"
DIGEST_BYTES = 8
PROCESS_BYTES = 8
RECORD_BYTES = DIGEST_BYTES + PROCESS_BYTES
# A replacement takes seconds; beyond this size nothing more is shared.
MAX_FILE_BYTES = 4096 * RECORD_BYTES


class SharedDigests:
    """The digests that this process shares, and those that it has read from the other one.

    The file has a record for each digest: the digest and a random identifier of the process that wrote it. It
    is created with the first record, and removed by the process that remains.

    Args:
        directory: The directory of the file, which all processes of the node can write.
        log: Receives a line if the file cannot be written or read.
    """

    def __init__(self, directory: str, log: Log) -> None:
        self.path = os.path.join(directory, FILE_NAME)
        self.log = log
        self.process = secrets.token_bytes(PROCESS_BYTES)
        self.is_active = False
        self.has_failed = False
        self.read_bytes = 0
        self.of_others: set[bytes] = set()

    def start(self) -> None:
        """Begin to share, because another process of the node runs."""
        self.is_active = True
        self.read_bytes = 0

    def stop(self) -> None:
        """Keep what the other process has shared, and remove the file, because this process is alone."""
        self.read()
        self.is_active = False
        with suppress(OSError):
            os.unlink(self.path)

    def add(self, digest: bytes) -> None:
        """Share a digest, if another process runs."""
        if not self.is_active:
            return
        try:
            descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                if os.fstat(descriptor).st_size < MAX_FILE_BYTES:
                    os.write(descriptor, digest + self.process)
            finally:
                os.close(descriptor)
        except OSError as error:
            self.report(error)

    def contains(self, digest: bytes) -> bool:
        """Return whether another process has shared this digest."""
        if self.is_active:
            self.read()
        return digest in self.of_others

    def read(self) -> None:
        """Read the records that were added since the last call."""
        try:
            with open(self.path, "rb") as file:
                file.seek(self.read_bytes)
                data = file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return
        except OSError as error:
            self.report(error)
            return
        complete_bytes = len(data) - len(data) % RECORD_BYTES
        self.read_bytes += complete_bytes
        for start in range(0, complete_bytes, RECORD_BYTES):
            digest_end = start + DIGEST_BYTES
            if data[digest_end : start + RECORD_BYTES] != self.process:
                self.of_others.add(data[start:digest_end])

    def report(self, error: OSError) -> None:
        """Log the first error; the node serves on without what the other process has shared."""
        if not self.has_failed:
            self.has_failed = True
            self.log.line(f"handover: requests that must not run twice are not shared: {error.strerror}")
