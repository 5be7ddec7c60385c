"""Results of runs, in one SQLite file: each run with its plan, seed, revision, what came of it, its
history."""

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

from sprucenotch.rig.play import Result, Second
from sprucenotch.rig.process import RigError
from sprucenotch.rig.truth.history import Event

WAIT = 60.0  # seconds for other processes that write to the same file
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


class StoreError(RigError):
    """The store cannot be read or written; nothing that was in it is lost."""


class Row(NamedTuple):
    id: int
    plan: str  # its text
    at: str  # UTC
    counts: bool  # it went to its end, and the rig kept up
    result: Result


def plan_key(source: str) -> str:
    return hashlib.blake2b(source.encode(), digest_size=12).hexdigest()


class Store:
    """Use it as a context manager. Several processes may hold the same file."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._base = sqlite3.connect(path, timeout=WAIT)
            self._base.execute("PRAGMA journal_mode = WAL")
            self._base.executescript(TABLES)
        except sqlite3.Error as problem:
            raise StoreError(f"the store {path} cannot be used: {problem}") from None

    def __enter__(self) -> Store:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._base.close()

    def add(
        self,
        source: str,
        result: Result,
        seconds: Sequence[Second] = (),
        history: Sequence[Event] = (),
        logs: Mapping[str, str] | None = None,
    ) -> int:
        """Keep a run, whole or not at all; its number. Raises StoreError."""
        pack = msgspec.msgpack.encode
        row = (
            source, plan_key(source), result.seed, result.revision,
            time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), not (result.late or result.interrupted),
            result.summary.worth, len(result.findings), pack(result), pack(list(map(_pack, seconds))),
            zlib.compress(pack(list(history))),
        )  # fmt: skip
        try:
            with self._base:
                marks = ", ".join("?" * len(row))
                done = self._base.execute(
                    "INSERT INTO runs (plan, plan_key, seed, revision, at, counts, worth, findings, result, "
                    f"seconds, history) VALUES ({marks})",
                    row,
                )
                number = int(done.lastrowid or 0)
                self._base.executemany(
                    "INSERT INTO logs VALUES (?, ?, ?)",
                    [(number, name, zlib.compress(text.encode())) for name, text in (logs or {}).items()],
                )
        except sqlite3.Error as problem:
            raise StoreError(f"the run was not kept in {self.path}: {problem}") from None
        return number

    def rows(self, source: str | None = None, revision: str | None = None) -> Iterator[Row]:
        """Runs in their order, of a plan and of a revision if these are told."""
        where, told = ["1"], list[str]()
        for column, value in (("plan_key", plan_key(source) if source else None), ("revision", revision)):
            if value is not None:
                where.append(f"{column} = ?")
                told.append(value)
        query = f"SELECT id, plan, at, counts, result FROM runs WHERE {' AND '.join(where)} ORDER BY id"
        for id, plan, at, counts, raw in self._read(query, *told):
            yield Row(id, plan, at, bool(counts), msgspec.msgpack.decode(raw, type=Result))

    def done(self, source: str, revision: str) -> dict[int, Row]:
        """The last run that counts, by seed: what a sweep need not do again."""
        return {row.result.seed: row for row in self.rows(source, revision) if row.counts}

    def seconds(self, run: int) -> list[Second]:
        [(raw,)] = self._read("SELECT seconds FROM runs WHERE id = ?", run)
        return [_second(one) for one in msgspec.msgpack.decode(raw, type=list[_Packed])]

    def history(self, run: int) -> list[Event]:
        [(raw,)] = self._read("SELECT history FROM runs WHERE id = ?", run)
        return msgspec.msgpack.decode(zlib.decompress(raw), type=list[Event])

    def logs(self, run: int) -> dict[str, str]:
        rows = self._read("SELECT process, text FROM logs WHERE run = ?", run)
        return {name: zlib.decompress(raw).decode() for name, raw in rows}

    def _read(self, query: str, *told: object) -> list[Any]:
        try:
            return self._base.execute(query, told).fetchall()
        except sqlite3.Error as problem:
            raise StoreError(f"{self.path} cannot be read: {problem}") from None


class _Packed(Struct, frozen=True):
    """A second as it is kept: pairs cannot be keys there."""

    at: float
    ended: list[tuple[str, str, int]]
    served: Mapping[str, int]
    held: Mapping[str, int]
    cpu: Mapping[str, float]
    gauges: Mapping[str, Mapping[str, float]]


def _pack(one: Second) -> _Packed:
    ended = [(cls, how, count) for (cls, how), count in one.ended.items()]
    return _Packed(one.at, ended, one.served, one.held, one.cpu, one.gauges)


def _second(one: _Packed) -> Second:
    ended = Counter({(cls, how): count for cls, how, count in one.ended})
    return Second(one.at, ended, one.served, one.held, one.cpu, one.gauges)
