"""Stores runs in an SQLite file: plan, seed, revision, result, history and logs of each."""

from __future__ import annotations

import hashlib
import sqlite3
import time
import zlib
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from sprucenotch.testbed.checker.history import Event
from sprucenotch.testbed.process import RunError
from sprucenotch.testbed.runner import Result, SecondStats

LOCK_TIMEOUT = 60.0  # seconds to wait while another process writes to the file
TABLES = """
CREATE TABLE IF NOT EXISTS runs (
    id INTEGER PRIMARY KEY, plan TEXT NOT NULL, plan_key TEXT NOT NULL, seed INTEGER NOT NULL,
    revision TEXT NOT NULL, at TEXT NOT NULL, counts INTEGER NOT NULL, worth REAL, findings INTEGER NOT NULL,
    result BLOB NOT NULL, seconds BLOB NOT NULL, history BLOB NOT NULL
);
CREATE INDEX IF NOT EXISTS by_key ON runs (plan_key, revision, seed);
CREATE TABLE IF NOT EXISTS logs (
    run INTEGER NOT NULL REFERENCES runs (id), process TEXT NOT NULL, text BLOB NOT NULL
);
"""


class StoreError(RunError):
    """The store cannot be read or written; its content is intact."""


class Row(NamedTuple):
    """A stored run."""

    id: int
    plan: str  # its text
    at: str  # UTC
    counts: bool  # the run completed and the testbed kept up
    result: Result


def plan_key(source: str) -> str:
    """A hash of the plan's text, by which runs of the same plan are found."""
    return hashlib.blake2b(source.encode(), digest_size=12).hexdigest()


class Store:
    """A store of runs, used as a context manager. Several processes may use the same file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._database = sqlite3.connect(path, timeout=LOCK_TIMEOUT)
            self._database.execute("PRAGMA journal_mode = WAL")
            self._database.executescript(TABLES)
        except sqlite3.Error as problem:
            raise StoreError(f"the store {path} cannot be used: {problem}") from None

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._database.close()

    def add(
        self,
        source: str,
        result: Result,
        seconds: Sequence[SecondStats] = (),
        history: Sequence[Event] = (),
        logs: Mapping[str, str] | None = None,
    ) -> int:
        """Store a run in one transaction; return its number. Raises StoreError."""
        pack = msgspec.msgpack.encode
        row = (
            source, plan_key(source), result.seed, result.revision,
            time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), not (result.late or result.interrupted),
            result.summary.worth, len(result.findings), pack(result), pack(list(map(_pack, seconds))),
            zlib.compress(pack(list(history))),
        )  # fmt: skip
        try:
            with self._database:
                placeholders = ", ".join("?" * len(row))
                cursor = self._database.execute(
                    "INSERT INTO runs (plan, plan_key, seed, revision, at, counts, worth, findings, result, "
                    f"seconds, history) VALUES ({placeholders})",
                    row,
                )
                number = int(cursor.lastrowid or 0)
                self._database.executemany(
                    "INSERT INTO logs VALUES (?, ?, ?)",
                    [(number, name, zlib.compress(text.encode())) for name, text in (logs or {}).items()],
                )
        except sqlite3.Error as problem:
            raise StoreError(f"the run was not stored in {self.path}: {problem}") from None
        return number

    def rows(self, source: str | None = None, revision: str | None = None) -> Iterator[Row]:
        """Runs in order, optionally of one plan or one revision only."""
        where, parameters = ["1"], list[str]()
        for column, value in (("plan_key", plan_key(source) if source else None), ("revision", revision)):
            if value is not None:
                where.append(f"{column} = ?")
                parameters.append(value)
        query = f"SELECT id, plan, at, counts, result FROM runs WHERE {' AND '.join(where)} ORDER BY id"
        for id, plan, at, counts, raw in self._read(query, *parameters):
            yield Row(id, plan, at, bool(counts), msgspec.msgpack.decode(raw, type=Result))

    def done(self, source: str, revision: str) -> dict[int, Row]:
        """The last valid run of each seed, which a sweep need not repeat."""
        return {row.result.seed: row for row in self.rows(source, revision) if row.counts}

    def seconds(self, run: int) -> list[SecondStats]:
        """The measurements of a run, by second."""
        [(raw,)] = self._read("SELECT seconds FROM runs WHERE id = ?", run)
        return [_second(one) for one in msgspec.msgpack.decode(raw, type=list[_Packed])]

    def history(self, run: int) -> list[Event]:
        """The history of a run."""
        [(raw,)] = self._read("SELECT history FROM runs WHERE id = ?", run)
        return msgspec.msgpack.decode(zlib.decompress(raw), type=list[Event])

    def logs(self, run: int) -> dict[str, str]:
        """The logs of a run, by process."""
        rows = self._read("SELECT process, text FROM logs WHERE run = ?", run)
        return {name: zlib.decompress(raw).decode() for name, raw in rows}

    def _read(self, query: str, *parameters: object) -> list[Any]:
        try:
            return self._database.execute(query, parameters).fetchall()
        except sqlite3.Error as problem:
            raise StoreError(f"{self.path} cannot be read: {problem}") from None


class _Packed(Struct, frozen=True):
    """SecondStats as they are encoded: MessagePack maps cannot have tuples as keys."""

    at: float
    ended: list[tuple[str, str, int]]
    served: Mapping[str, int]
    held: Mapping[str, int]
    cpu: Mapping[str, float]
    gauges: Mapping[str, Mapping[str, float]]


def _pack(one: SecondStats) -> _Packed:
    ended = [(cls, how, count) for (cls, how), count in one.ended.items()]
    return _Packed(one.at, ended, one.served, one.held, one.cpu, one.gauges)


def _second(one: _Packed) -> SecondStats:
    ended = Counter({(cls, how): count for cls, how, count in one.ended})
    return SecondStats(one.at, ended, one.served, one.held, one.cpu, one.gauges)
