"""The store: verified when it is opened, append-only, compacted in steps, with one writer at a time.

A compaction of generation g begins journal g+1, to which records are appended from then on, and writes the
state at that moment to a temporary file for snapshot g+1, a few records per step. Once that file is complete
and durable it is renamed to its final name, and then the files of generation g and before are removed. After
a crash at any step, a start finds either the old snapshot with both journals, or the new snapshot with its
own journal.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable, Iterator
from typing import Generic, Literal, NamedTuple, TypeAlias, TypeVar

import msgspec

from sprucenotch.platform.disk import Disk, File
from sprucenotch.store.frame import Header, SnapshotEnd, encode, file_start
from sprucenotch.store.reader import FILE_NAME, MAX_CLOCK_AHEAD, Found, Owner, Schema, read

R = TypeVar("R")
Mode: TypeAlias = Literal["none", "interval", "always"]
LOCK_NAME = "lock"
BROKEN_SUFFIX = ".broken-"
RECORDS_PER_STEP = 64  # of a snapshot


class Bounds(NamedTuple):
    """The limits from which on a compaction is due."""

    journal_bytes: int = 4 << 20
    journal_records: int = 50_000
    files: int = 8  # each start begins a new journal


class Opened(NamedTuple, Generic[R]):
    """The result of `open_store`."""

    store: Store[R]
    found: Found[R]
    set_aside: tuple[str, ...]  # the new names of broken files
    problem: str  # why nothing can be written; empty if it can


class StoreLocked(Exception):
    """Another process holds the lock of the store."""


class Store(Generic[R]):
    """Created by `open_store`. While the disk cannot be written, appended records are dropped and counted."""

    def __init__(self, disk: Disk, owner: Owner, schema: Schema[R], mode: Mode, bounds: Bounds) -> None:
        self._disk, self._owner, self._schema = disk, owner, schema
        self.mode, self.bounds = mode, bounds
        self.sequence = self.generation = 0
        self.dropped_records = 0  # records since the disk failed
        self.problem = ""
        self._journal: File | None = None
        self._bytes = self._records = self._unsynced = 0
        self._files = 0  # number of files that a start would have to read

    # ---- writing

    def append(self, record: R) -> int:
        """Append a record, durable according to the mode, and return its sequence.

        A disk failure is reported in `problem`.
        """
        self.sequence += 1
        raw = encode(self.sequence, msgspec.msgpack.encode(record))
        if self._journal is None or self.problem:
            self.dropped_records += 1
            return self.sequence
        try:
            self._journal.write(raw)
            self._unsynced += 1
            if self.mode == "always":
                self._sync()
        except OSError as problem:
            self._fail(problem)
            return self.sequence
        self._bytes += len(raw)
        self._records += 1
        return self.sequence

    def sync(self) -> None:
        """Make all appended records durable, unless the mode is `none`."""
        if self.mode != "none" and self._journal is not None and self._unsynced:
            try:
                self._sync()
            except OSError as problem:
                self._fail(problem)

    def _sync(self) -> None:
        assert self._journal is not None
        self._journal.sync()
        self._unsynced = 0

    def _fail(self, problem: OSError) -> None:
        """Stop writing to the journal: after a failed write or sync its contents are unknown."""
        self.problem = problem.strerror or str(problem)
        self.dropped_records += 1
        if self._journal is not None:
            with contextlib.suppress(OSError):
                self._journal.close()
            self._journal = None

    # ---- compaction

    @property
    def compaction_due(self) -> bool:
        """Whether the journal or the number of files has reached its bounds."""
        grown = self._bytes >= self.bounds.journal_bytes or self._records >= self.bounds.journal_records
        return (grown or self._files > self.bounds.files) and self._journal is not None

    def compact(self, state: Iterable[R], now: int) -> Iterator[None]:
        """Replace everything stored by these records, the state after the last appended record.

        Begins at once and does one bounded step per `next`; appends meanwhile work as usual. `now` is Unix
        time in nanoseconds.
        """
        records, sequence = tuple(state), self.sequence
        try:
            old_names = [
                name for name in self._disk.names() if FILE_NAME.match(name) and BROKEN_SUFFIX not in name
            ]
            self._begin_journal(now)
        except OSError as problem:
            self._fail(problem)
            return iter(())
        return self._guarded(self._snapshot(records, sequence, now, old_names))

    def start_new_generation(self, state: Iterable[R], now: int) -> None:
        """Continue after a failure with a new generation that contains these records.

        The contents of the file that failed are unknown; what was durable before remains. `problem` tells
        whether this failed again.
        """
        self.problem = ""
        for _ in self.compact(state, now):
            pass

    def _guarded(self, steps: Iterator[None]) -> Iterator[None]:
        try:
            yield from steps
        except OSError as problem:
            self._fail(problem)

    def _snapshot(
        self, state: tuple[R, ...], sequence: int, now: int, old_names: Iterable[str]
    ) -> Iterator[None]:
        """Write the snapshot of this generation, the state at `sequence`, and remove the old files."""
        name = f"snapshot.{self.generation}"
        file = self._disk.open(f"{name}.new", truncate=True)
        file.write(file_start(self._header("snapshot", now), sequence))
        for start in range(0, len(state), RECORDS_PER_STEP):
            part = enumerate(state[start : start + RECORDS_PER_STEP], sequence + 1 + start)
            file.write(b"".join(encode(number, msgspec.msgpack.encode(record)) for number, record in part))
            yield
        end = msgspec.msgpack.encode(SnapshotEnd(len(state)))
        file.write(encode(sequence + 1 + len(state), end))
        file.sync()
        file.close()
        yield
        self._disk.rename(f"{name}.new", name)
        self._disk.sync_directory()
        yield
        for old_name in old_names:
            self._disk.remove(old_name)
        self._files = 2

    def _begin_journal(self, now: int) -> None:
        """Begin the journal of the next generation, after making the current one durable."""
        if self._journal is not None:
            if self.mode != "none":
                self._sync()
            self._journal.close()
            self._journal = None
        self.generation += 1
        journal = self._disk.open(f"journal.{self.generation}", truncate=True)
        journal.write(file_start(self._header("journal", now), self.sequence))
        journal.sync()
        self._disk.sync_directory()
        self._journal = journal
        self._bytes = self._records = self._unsynced = 0

    def _header(self, kind: Literal["snapshot", "journal"], now: int) -> Header:
        return Header(
            kind, self.generation, self._schema.version, self._owner.deployment, self._owner.name, now
        )  # fmt: skip

    # ---- opening and closing

    def resume(self, found: Found[R], now: int) -> tuple[str, ...]:
        """Continue from the contents found at a start. Raises OSError.

        If anything is broken, the intact records are first written to a new generation, and only then the
        broken files are set aside; their new names are returned.
        """
        broken = list(dict.fromkeys(refusal.name for refusal in found.refused))
        if not broken:
            # Records not synced by the previous process are only in memory. If a power cut lost them now, all
            # later records would follow a gap and be lost too, even durable ones.
            for name in found.files if self.mode != "none" else ():
                file = self._disk.open(name)
                file.sync()
                file.close()
            self._begin_journal(now)
            self._files = len(found.files) + 1
            return ()
        self._begin_journal(now)
        whole = [name for name in found.files if name not in broken]
        for _ in self._snapshot(found.records, found.sequence, now, whole):
            pass
        aside = tuple(self._set_aside(name) for name in broken)
        self._disk.sync_directory()
        return aside

    def _set_aside(self, name: str) -> str:
        taken, number = set(self._disk.names()), 1
        while f"{name}{BROKEN_SUFFIX}{number}" in taken:
            number += 1
        self._disk.rename(name, f"{name}{BROKEN_SUFFIX}{number}")
        return f"{name}{BROKEN_SUFFIX}{number}"

    def close(self) -> None:
        """Make everything durable according to the mode, and close the journal."""
        self.sync()
        if self._journal is not None:
            self._journal.close()
            self._journal = None


def open_store(
    disk: Disk,
    owner: Owner,
    schema: Schema[R],
    now: int,
    mode: Mode = "interval",
    bounds: Bounds = Bounds(),  # noqa: B008 - immutable
    oldest: int | None = None,
    future: int | None = MAX_CLOCK_AHEAD,
) -> Opened[R]:
    """Open the store and read its records. Raises StoreLocked.

    Disk failures do not raise: if the folder cannot be read there are no records, if it cannot be written
    nothing is stored, and `problem` says why. In that case the lock is released, so that the store can be
    opened again.
    """
    opened = _open(disk, owner, schema, now, mode, bounds, oldest, future)
    if opened.problem:
        disk.unlock()
    return opened


def _open(
    disk: Disk,
    owner: Owner,
    schema: Schema[R],
    now: int,
    mode: Mode,
    bounds: Bounds,
    oldest: int | None,
    future: int | None,
) -> Opened[R]:
    store = Store(disk, owner, schema, mode, bounds)
    try:
        disk.lock(LOCK_NAME)
    except BlockingIOError:
        raise StoreLocked from None
    except OSError as problem:
        store.problem = problem.strerror or str(problem)
    try:
        found = read(disk, owner, schema, now, oldest, future)
    except OSError as problem:
        store.problem = problem.strerror or str(problem)
        return Opened(store, Found((), 0, 0, (), ()), (), store.problem)
    store.sequence, store.generation = found.sequence, found.generation
    aside: tuple[str, ...] = ()
    if not store.problem:
        try:
            aside = store.resume(found, now)
        except OSError as problem:
            store.problem = problem.strerror or str(problem)
    return Opened(store, found, aside, store.problem)
