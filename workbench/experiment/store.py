"""Store of run results in one SQLite file.

Each run is written in its own transaction, so the file survives a kill at any time and several processes can
write to it.
"""

from __future__ import annotations

import sqlite3
import zlib
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import msgspec

from workbench.experiment.task import Task

# How long to wait for another writer's transaction.
WRITE_LOCK_TIMEOUT_S = 60.0
JOURNAL_MODE_RETRY_DELAY_S = 0.01
COMPRESSION_LEVEL = 3
BUSY_ERRORS = frozenset({sqlite3.SQLITE_BUSY, sqlite3.SQLITE_BUSY_RECOVERY, sqlite3.SQLITE_LOCKED})
MIGRATIONS = [
    """
    CREATE TABLE runs (
        scenario TEXT NOT NULL, variant TEXT NOT NULL, seed INTEGER NOT NULL, digest TEXT NOT NULL,
        goal REAL, broken INTEGER, lost TEXT, error TEXT, task BLOB NOT NULL, result BLOB,
        PRIMARY KEY (scenario, variant, seed, digest)
    ) WITHOUT ROWID
    """,
    "ALTER TABLE runs ADD COLUMN made TEXT",
]


class StoreError(Exception):
    """The store cannot be used; the message is one line."""


class Loss(msgspec.Struct):
    """Value lost to one cause in one tier, as a share of the requested value; stored as JSON."""

    cause: str
    tier: int
    share: float


class Row(msgspec.Struct):
    """One run, without its full result.

    The column `broken` holds `rule_violations`, and the column `lost` holds `losses`.
    """

    scenario: str
    variant: str
    seed: int
    digest: str
    goal: float | None
    rule_violations: int
    losses: list[Loss]
    error: str | None
    task: Task


class Store:
    """A store file, created if missing, migrated to the current schema and checked for corruption.

    Args:
        path: The SQLite file.
        write: Whether the file may be created and written; if false, the file must exist.

    Raises:
        StoreError: The file cannot be used.
    """

    def __init__(self, path: Path, write: bool = True) -> None:
        self.path = path
        if not write and not path.exists():
            raise StoreError(f"{path}: store does not exist")
        with self.errors_as_store_errors():
            if write:
                path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, timeout=WRITE_LOCK_TIMEOUT_S, isolation_level=None)
        try:
            with self.errors_as_store_errors():
                self.prepare(write)
        except BaseException:
            self.db.close()
            raise

    @contextmanager
    def errors_as_store_errors(self) -> Iterator[None]:
        """Convert errors of the file, its disk or its contents to a StoreError."""
        try:
            yield
        except (sqlite3.Error, OSError, zlib.error, msgspec.MsgspecError) as e:
            raise StoreError(f"{self.path}: {e}") from None

    def prepare(self, write: bool) -> None:
        """Check the file for corruption and migrate it to the current schema."""
        if self.db.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise StoreError(f"{self.path}: the file is damaged: move it away and run the plan again")
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        if version > len(MIGRATIONS):
            raise StoreError(f"{self.path}: written by a newer version of the workbench")
        if write:
            self.enable_write_ahead_log()
            # A committed run is on the disk before the commit returns.
            self.db.execute("PRAGMA synchronous = FULL")
            self.migrate()
            self.checkpoint()
        elif version < len(MIGRATIONS):
            self.migrate()

    def enable_write_ahead_log(self) -> None:
        """Set the journal mode, with retries: SQLite does not wait when two writers set it concurrently."""
        deadline = monotonic() + WRITE_LOCK_TIMEOUT_S
        while self.db.execute("PRAGMA journal_mode").fetchone()[0] != "wal":
            try:
                self.db.execute("PRAGMA journal_mode = WAL")
            except sqlite3.OperationalError as e:
                if e.sqlite_errorcode not in BUSY_ERRORS or monotonic() > deadline:
                    raise
                sleep(JOURNAL_MODE_RETRY_DELAY_S)

    def checkpoint(self) -> None:
        """Move the contents of the write-ahead log into the main file, as far as no reader blocks it.

        After a failed sync, pages of the log may exist only in memory although they can still be read. Runs
        appended after such pages would be lost with them.
        """
        self.db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()

    def migrate(self) -> None:
        """Apply the missing schema migrations in one transaction."""
        # The write lock keeps other processes from migrating at the same time.
        self.db.execute("BEGIN IMMEDIATE")
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        for migration in MIGRATIONS[version:]:
            self.db.execute(migration)
        self.db.execute(f"PRAGMA user_version = {len(MIGRATIONS)}")
        self.db.execute("COMMIT")

    def put(self, task: Task, result: dict[str, Any] | None, error: str | None = None) -> None:
        """Store one run in one transaction; a successful result that is already stored is kept.

        Args:
            task: The run.
            result: The full result; None if the run failed.
            error: The traceback of a failed run.

        Raises:
            StoreError: The run cannot be stored.
        """
        goal, rule_violations, losses, provenance, blob = None, 0, "[]", "", None
        if result is not None:
            goal = result["goal"]
            rule_violations = sum(result["rules"].values())
            losses = msgspec.json.encode(result["account"]["lost"]).decode()
            provenance = msgspec.json.encode(result["made"]).decode()
            blob = zlib.compress(msgspec.json.encode(result), COMPRESSION_LEVEL)
        encoded_task = msgspec.json.encode(task)
        row = (*task.key, goal, rule_violations, losses, error, encoded_task, blob, provenance)
        with self.errors_as_store_errors():
            self.db.execute(
                "INSERT INTO runs"
                " (scenario, variant, seed, digest, goal, broken, lost, error, task, result, made)"
                " VALUES (?,?,?,?,?,?,?,?,?,?,?) ON CONFLICT DO UPDATE SET goal = excluded.goal,"
                " broken = excluded.broken, lost = excluded.lost, error = excluded.error,"
                " task = excluded.task, result = excluded.result, made = excluded.made"
                " WHERE runs.error IS NOT NULL",
                row,
            )

    def completed_keys(self) -> set[tuple[str, str, int, str]]:
        """Return the keys of successful runs.

        Raises:
            StoreError: The store cannot be read.
        """
        columns = "scenario, variant, seed, digest"
        with self.errors_as_store_errors():
            return set(self.db.execute(f"SELECT {columns} FROM runs WHERE error IS NULL"))

    def rows(self, tasks: Iterable[Task] | None = None) -> list[Row]:
        """Return all runs, or those of the given tasks, without their full results.

        Raises:
            StoreError: The store cannot be read.
        """
        with self.errors_as_store_errors():
            return self.read_rows(tasks)

    def read_rows(self, tasks: Iterable[Task] | None) -> list[Row]:
        """Read all runs, or those of the given tasks, with storage errors unconverted."""
        requested_keys = None if tasks is None else {task.key for task in tasks}
        columns = "scenario, variant, seed, digest, goal, broken, lost, error, task"
        cursor = self.db.execute(f"SELECT {columns} FROM runs ORDER BY scenario, variant, seed")
        return [
            decode_row(values) for values in cursor if requested_keys is None or values[:4] in requested_keys
        ]

    def result(self, task: Task) -> dict[str, Any]:
        """Return the full result of one run.

        Raises:
            StoreError: The store cannot be read.
        """
        query = "SELECT result FROM runs WHERE scenario=? AND variant=? AND seed=? AND digest=?"
        with self.errors_as_store_errors():
            (blob,) = self.db.execute(query, task.key).fetchone()
            decoded: dict[str, Any] = msgspec.json.decode(zlib.decompress(blob))
        return decoded

    def close(self) -> None:
        """Close the file."""
        self.db.close()


def decode_row(values: tuple[Any, ...]) -> Row:
    """Decode the columns of a stored run."""
    scenario, variant, seed, digest, goal, rule_violations, losses, error, task = values
    return Row(
        scenario=scenario,
        variant=variant,
        seed=seed,
        digest=digest,
        goal=goal,
        rule_violations=rule_violations,
        losses=msgspec.json.decode(losses, type=list[Loss]),
        error=error,
        task=msgspec.json.decode(task, type=Task),
    )
