"""Results in one SQLite file: a transaction a run, safe to stop at any moment and to write from two sides."""

from __future__ import annotations

import sqlite3
import zlib
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from time import monotonic, sleep
from typing import Any

import msgspec

from workbench.experiment.plan import Task

WAIT = 60.0  # seconds for another writer's transaction
OTHER_WRITER = frozenset({sqlite3.SQLITE_BUSY, sqlite3.SQLITE_BUSY_RECOVERY, sqlite3.SQLITE_LOCKED})
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
    """A store that cannot be used: one line."""


class Row(msgspec.Struct):
    """One run, without its whole result."""

    scenario: str
    variant: str
    seed: int
    digest: str
    goal: float | None
    broken: int
    lost: list[dict[str, Any]]
    error: str | None
    task: Task


class Store:
    """The file is made where there is none, brought up to today's schema, and looked through for damage."""

    def __init__(self, path: Path, write: bool = True) -> None:
        self.path = path
        if not write and not path.exists():
            raise StoreError(f"{path}: no such store")
        with self.errors():
            if write:
                path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, timeout=WAIT, isolation_level=None)
        try:
            with self.errors():
                self.open(write)
        except BaseException:
            self.db.close()
            raise

    @contextmanager
    def errors(self) -> Iterator[None]:
        """Says in one line what the file, its disk or its contents have done. StoreError."""
        try:
            yield
        except (sqlite3.Error, OSError, zlib.error, msgspec.MsgspecError) as e:
            raise StoreError(f"{self.path}: {e}") from None

    def open(self, write: bool) -> None:
        if self.db.execute("PRAGMA quick_check(1)").fetchone()[0] != "ok":
            raise StoreError(f"{self.path}: the file is damaged: keep it aside and run the plan again")
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        if version > len(MIGRATIONS):
            raise StoreError(f"{self.path}: written by a newer version of the product")
        if write:
            self.set_wal()
            self.db.execute("PRAGMA synchronous = FULL")  # a run counts as made once it is on the disk
            self.migrate()
            self.empty_log()
        elif version < len(MIGRATIONS):
            self.migrate()

    def set_wal(self) -> None:
        """SQLite does not wait by itself where two set the mode of a new file at once."""
        ends = monotonic() + WAIT
        while self.db.execute("PRAGMA journal_mode").fetchone()[0] != "wal":
            try:
                self.db.execute("PRAGMA journal_mode = WAL")
            except sqlite3.OperationalError as e:
                if e.sqlite_errorcode not in OTHER_WRITER or monotonic() > ends:
                    raise
                sleep(0.01)

    def empty_log(self) -> None:
        """Moves what the write-ahead log holds into the file itself, as far as no reader stands in the way.

        Failure prevented: a sync of the log has failed, its pages have never reached the disk though they
        are still read from memory, and the runs that are appended behind them are lost with them.
        """
        self.db.execute("PRAGMA wal_checkpoint(PASSIVE)").fetchone()

    def migrate(self) -> None:
        self.db.execute("BEGIN IMMEDIATE")  # another process may be about the same
        version = self.db.execute("PRAGMA user_version").fetchone()[0]
        for step in MIGRATIONS[version:]:
            self.db.execute(step)
        self.db.execute(f"PRAGMA user_version = {len(MIGRATIONS)}")
        self.db.execute("COMMIT")

    def put(self, task: Task, result: dict[str, Any] | None, error: str | None = None) -> None:
        """One run, whole, in one transaction; a run that another process has put already stays.
        StoreError."""
        goal, broken, lost, made = None, 0, "[]", ""
        if result is not None:
            goal = result["goal"]
            broken = sum(result["rules"].values())
            lost = msgspec.json.encode(result["account"]["lost"]).decode()
            made = msgspec.json.encode(result["made"]).decode()
        blob = zlib.compress(msgspec.json.encode(result), 3) if result is not None else None
        row = (*task.key, goal, broken, lost, error, msgspec.json.encode(task), blob, made)
        with self.errors():
            self.db.execute(
                "INSERT INTO runs"
                " (scenario, variant, seed, digest, goal, broken, lost, error, task, result, made)"
                " VALUES (?,?,?,?,?,?,?,?,?,?,?) ON CONFLICT DO UPDATE SET goal = excluded.goal,"
                " broken = excluded.broken, lost = excluded.lost, error = excluded.error,"
                " task = excluded.task, result = excluded.result, made = excluded.made"
                " WHERE runs.error IS NOT NULL",
                row,
            )

    def done(self) -> set[tuple[str, str, int, str]]:
        """The keys of the runs that came to an end; failed ones are tried again. StoreError."""
        columns = "scenario, variant, seed, digest"
        with self.errors():
            return set(self.db.execute(f"SELECT {columns} FROM runs WHERE error IS NULL"))

    def rows(self, tasks: Iterable[Task] | None = None) -> list[Row]:
        """All runs, or those of a plan's tasks, without their whole results. StoreError."""
        with self.errors():
            return self.read_rows(tasks)

    def read_rows(self, tasks: Iterable[Task] | None) -> list[Row]:
        wanted = None if tasks is None else {t.key for t in tasks}
        out = []
        columns = "scenario, variant, seed, digest, goal, broken, lost, error, task"
        for row in self.db.execute(f"SELECT {columns} FROM runs ORDER BY scenario, variant, seed"):
            if wanted is None or tuple(row[:4]) in wanted:
                task = msgspec.json.decode(row[8], type=Task)
                scenario, variant, seed, digest, goal, broken = row[:6]
                lost = msgspec.json.decode(row[6])
                out.append(Row(scenario, variant, seed, digest, goal, broken, lost, row[7], task))
        return out

    def result(self, task: Task) -> dict[str, Any]:
        """The whole result of one run. StoreError."""
        query = "SELECT result FROM runs WHERE scenario=? AND variant=? AND seed=? AND digest=?"
        with self.errors():
            (blob,) = self.db.execute(query, task.key).fetchone()
            decoded: dict[str, Any] = msgspec.json.decode(zlib.decompress(blob))
        return decoded

    def close(self) -> None:
        self.db.close()
