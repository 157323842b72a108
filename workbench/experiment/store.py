"""Results in one SQLite file, a transaction for each run: it survives any stop and has several writers."""

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

WRITER_TIMEOUT_S = 60.0  # for another writer's transaction
JOURNAL_MODE_RETRY_S = 0.01
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
    """A store that cannot be used; the message is one line."""


class Loss(msgspec.Struct):
    """Requested value that was lost to one cause; stored as JSON."""

    cause: str
    tier: int
    share: float  # of the requested value


class Row(msgspec.Struct):
    """One run, without its full result."""

    scenario: str
    variant: str
    seed: int
    digest: str
    goal: float | None
    rule_violations: int  # column `broken`
    losses: list[Loss]  # column `lost`
    error: str | None
    task: Task


class Store:
    """A store file, created if missing, migrated to the current schema and checked for corruption.

    Args:
        path: The SQLite file.
        write: Whether the file may be created and written; if not, it must exist.

    Raises:
        StoreError: The file cannot be used.
    """

    def __init__(self, path: Path, write: bool = True) -> None:
        self.path = path
        if not write and not path.exists():
            raise StoreError(f"{path}: no such store")
        with self.translated_errors():
            if write:
                path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, timeout=WRITER_TIMEOUT_S, isolation_level=None)
        try:
            with self.translated_errors():
                self.open(write)
        except BaseException:
            self.db.close()
            raise

    @contextmanager
    def translated_errors(self) -> Iterator[None]:
        """Raises errors of the file, its disk or its contents as a StoreError."""
        try:
            yield
        except (sqlite3.Error, OSError, zlib.error, msgspec.MsgspecError) as e:
            raise StoreError(f"{self.path}: {e}") from None

    def open(self, write: bool) -> None:
        """Checks the file and brings it to the current schema."""
        if self.db.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise StoreError(f"{self.path}: the file is damaged: keep it aside and run the plan again")
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        if version > len(MIGRATIONS):
            raise StoreError(f"{self.path}: written by a newer version of the product")
        if write:
            self.enable_write_ahead_log()
            self.db.execute("PRAGMA synchronous = FULL")  # a committed run is on the disk
            self.migrate()
            self.checkpoint()
        elif version < len(MIGRATIONS):
            self.migrate()

    def enable_write_ahead_log(self) -> None:
        """Sets the journal mode; retries, as SQLite does not wait where two writers set it at once."""
        deadline = monotonic() + WRITER_TIMEOUT_S
        while self.db.execute("PRAGMA journal_mode").fetchone()[0] != "wal":
            try:
                self.db.execute("PRAGMA journal_mode = WAL")
            except sqlite3.OperationalError as e:
                if e.sqlite_errorcode not in BUSY_ERRORS or monotonic() > deadline:
                    raise
                sleep(JOURNAL_MODE_RETRY_S)

    def checkpoint(self) -> None:
        """Moves the write-ahead log into the file itself, as far as no reader blocks it.

        Failure prevented: a sync of the log has failed, its pages have never reached the disk though they
        are still read from memory, and the runs that are appended behind them are lost with them.
        """
        self.db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()

    def migrate(self) -> None:
        """Applies the missing schema migrations in one transaction."""
        self.db.execute("BEGIN IMMEDIATE")  # another process may migrate at the same time
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        for migration in MIGRATIONS[version:]:
            self.db.execute(migration)
        self.db.execute(f"PRAGMA user_version = {len(MIGRATIONS)}")
        self.db.execute("COMMIT")

    def put(self, task: Task, result: dict[str, Any] | None, error: str | None = None) -> None:
        """Stores one run in one transaction; a result that another process has stored already is kept.

        Args:
            task: The run.
            result: Its full result; None if it failed.
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
        with self.translated_errors():
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
        """Returns the keys of the runs that succeeded; failed ones are retried.

        Raises:
            StoreError: The store cannot be read.
        """
        columns = "scenario, variant, seed, digest"
        with self.translated_errors():
            return set(self.db.execute(f"SELECT {columns} FROM runs WHERE error IS NULL"))

    def rows(self, tasks: Iterable[Task] | None = None) -> list[Row]:
        """Returns all runs, or those of the given tasks, without their full results.

        Raises:
            StoreError: The store cannot be read.
        """
        with self.translated_errors():
            return self.read_rows(tasks)

    def read_rows(self, tasks: Iterable[Task] | None) -> list[Row]:
        """Reads all runs, or those of the given tasks."""
        wanted = None if tasks is None else {task.key for task in tasks}
        columns = "scenario, variant, seed, digest, goal, broken, lost, error, task"
        cursor = self.db.execute(f"SELECT {columns} FROM runs ORDER BY scenario, variant, seed")
        return [decode_row(values) for values in cursor if wanted is None or values[:4] in wanted]

    def result(self, task: Task) -> dict[str, Any]:
        """Returns the full result of one run.

        Raises:
            StoreError: The store cannot be read.
        """
        query = "SELECT result FROM runs WHERE scenario=? AND variant=? AND seed=? AND digest=?"
        with self.translated_errors():
            (blob,) = self.db.execute(query, task.key).fetchone()
            decoded: dict[str, Any] = msgspec.json.decode(zlib.decompress(blob))
        return decoded

    def close(self) -> None:
        """Closes the file."""
        self.db.close()


def decode_row(values: tuple[Any, ...]) -> Row:
    """Decodes the columns of a run."""
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
