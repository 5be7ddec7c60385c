"""A simulated disk that fills up, slows down, fails and loses power, behind the program's disk interface.

After a power cut, of everything that was not synced any state that a file system allows may remain: any of
the 512-byte sectors of each write, a file size with or without the data (zeros then), and any of the
directory changes, in their order. `crash` draws one of these outcomes by seed. After a sync that fails, the
data that it should have written stays in doubt, as on Linux: later syncs do not write it.

Operations of a real process are recorded by `platform/recording_disk.py` in a file, and `replay` builds
from it the disk whose `crash` gives what a power cut at that moment would have left.
"""

from __future__ import annotations

import errno
import os
import random
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import msgspec

from sprucenotch.platform.recording_disk import Operation

SECTOR = 512


class Extent(NamedTuple):
    """A write that is not synced yet."""

    start: int
    data: bytes


class Inode:
    """A file: its contents as read, and as they are on the disk."""

    def __init__(self) -> None:
        self.visible = bytearray()
        self.durable = bytearray()
        self.pending: list[Extent | int] = []  # writes, and the sizes of truncations
        self.doubtful: list[Extent | int] = []  # changes of a sync that failed

    def write(self, data: bytes) -> None:
        self.pending.append(Extent(len(self.visible), data))
        self.visible += data

    def truncate(self, size: int) -> None:
        self.pending.append(size)
        del self.visible[size:]
        self.visible.extend(bytes(size - len(self.visible)))

    def sync(self) -> None:
        for change in self.pending:
            _apply(self.durable, change)
        self.pending.clear()

    def fail_sync(self) -> None:
        """The pages are marked as clean although they were not written."""
        self.doubtful += self.pending
        self.pending.clear()

    def crash(self, rng: random.Random) -> None:
        """Keep the synced contents and a random subset of the sectors of other changes."""
        for change in (*self.doubtful, *self.pending):
            for part in _sectors(change):
                if rng.random() < 0.5:
                    _apply(self.durable, part)
        self.pending.clear()
        self.doubtful.clear()
        self.visible = bytearray(self.durable)


def _apply(contents: bytearray, change: Extent | int) -> None:
    if isinstance(change, int):
        del contents[change:]
        contents.extend(bytes(max(0, change - len(contents))))
        return
    end = change.start + len(change.data)
    contents.extend(bytes(max(0, end - len(contents))))  # a gap before it reads as zeros
    contents[change.start : end] = change.data


def _sectors(change: Extent | int) -> Iterator[Extent | int]:
    """Split a change into the parts that reach the disk independently."""
    if isinstance(change, int):
        yield change
        return
    at, end = change.start, change.start + len(change.data)
    while at < end:
        stop = min(end, (at // SECTOR + 1) * SECTOR)
        yield Extent(at, change.data[at - change.start : stop - change.start])
        at = stop


class DirectoryChange(NamedTuple):
    """An atomic change of directory entries."""

    added: tuple[tuple[str, Inode], ...] = ()
    removed: tuple[str, ...] = ()


class SimulatedDisk:
    """A folder in memory. Its faults (`free_bytes`, `slow`, `failing`) may be set at any time."""

    def __init__(self, sleep: Callable[[float], None] = time.sleep) -> None:
        self._names: dict[str, Inode] = {}
        self._durable: dict[str, Inode] = {}
        self._pending: list[DirectoryChange] = []
        self._locked: set[str] = set()
        self._sleep = sleep
        self.free_bytes: int | None = None  # None for no limit
        self.slow = 0.0  # seconds that each operation takes
        self.failing: set[str] = (
            set()
        )  # operations that fail: write, sync, read, rename, remove, open, names, lock

    # ---- the disk interface

    def names(self) -> list[str]:
        self._begin("names")
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        self._begin("read")
        return bytes(self._inode(name).visible)

    def open(self, name: str, truncate: bool = False) -> OpenFile:
        self._begin("open")
        if name not in self._names:
            self._change_names(DirectoryChange(((name, Inode()),)))
        if truncate:
            self._names[name].truncate(0)
        return OpenFile(self, self._names[name])

    def rename(self, old: str, new: str) -> None:
        self._begin("rename")
        self._change_names(DirectoryChange(((new, self._inode(old)),), (old,)))

    def remove(self, name: str) -> None:
        self._begin("remove")
        self._inode(name)
        self._change_names(DirectoryChange(removed=(name,)))

    def sync_directory(self) -> None:
        self._begin("sync")
        self._durable = dict(self._names)
        self._pending.clear()

    def lock(self, name: str) -> None:
        self._begin("lock")
        if name in self._locked:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        self._locked.add(name)

    def unlock(self) -> None:
        """Release all locks, as when the process that holds them ends."""
        self._locked.clear()

    # ---- faults and power cuts

    def _inode(self, name: str) -> Inode:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return self._names[name]

    def _change_names(self, change: DirectoryChange) -> None:
        _change_names(self._names, change)
        self._pending.append(change)

    def _begin(self, operation: str) -> None:
        if self.slow:
            self._sleep(self.slow)
        if operation in self.failing:
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def crash(self, seed: int) -> None:
        """Cut the power: keep synced changes and, drawn by seed, some others. Clears faults and locks."""
        rng = random.Random(f"crash {seed}")
        inodes = {id(inode): inode for inode in (*self._durable.values(), *self._names.values())}
        for change in self._pending:
            inodes |= {id(inode): inode for _, inode in change.added}
            if rng.random() < 0.5:
                _change_names(self._durable, change)
        for inode in inodes.values():
            inode.crash(rng)
        self._names = dict(self._durable)
        self._pending.clear()
        self._locked.clear()
        self.free_bytes, self.slow = None, 0.0
        self.failing.clear()

    def write_to(self, folder: Path) -> None:
        """Write its files to an existing empty folder."""
        for name, inode in self._names.items():
            (folder / name).write_bytes(inode.visible)


def _change_names(names: dict[str, Inode], change: DirectoryChange) -> None:
    for name in change.removed:
        names.pop(name, None)
    names.update(change.added)


class OpenFile:
    def __init__(self, disk: SimulatedDisk, inode: Inode) -> None:
        self._disk, self._inode = disk, inode

    def write(self, data: bytes) -> None:
        self._disk._begin("write")
        free_bytes = self._disk.free_bytes
        if free_bytes is not None:
            self._disk.free_bytes = max(0, free_bytes - len(data))
            if len(data) > free_bytes:
                if free_bytes:
                    self._inode.write(data[:free_bytes])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if data:
            self._inode.write(data)

    def sync(self) -> None:
        try:
            self._disk._begin("sync")
        except OSError:
            self._inode.fail_sync()
            raise
        self._inode.sync()

    def truncate(self, size: int) -> None:
        self._disk._begin("write")
        self._inode.truncate(size)

    def close(self) -> None:
        """Does not sync."""


def replay(record: bytes, base: Mapping[str, bytes] = MappingProxyType({})) -> SimulatedDisk:
    """Build the disk after all operations of a record, starting from the synced files `base`. An incomplete
    operation at the end of the record is ignored."""
    disk, files, at = SimulatedDisk(), dict[str, OpenFile](), 0
    for name, data in base.items():
        file = disk.open(name)
        file.write(data)
        file.sync()
    disk.sync_directory()
    while at + 4 <= len(record):
        end = at + 4 + int.from_bytes(record[at : at + 4], "big")
        if end > len(record):
            break
        operation = msgspec.msgpack.decode(record[at + 4 : end], type=Operation)
        at = end
        match operation.do:
            case "open":
                files[operation.name] = disk.open(operation.name, bool(operation.size))
            case "write":
                files[operation.name].write(operation.data)
            case "sync":
                files[operation.name].sync()
            case "truncate":
                files[operation.name].truncate(operation.size)
            case "rename":
                disk.rename(operation.name, operation.other)
                files[operation.other] = files.pop(operation.name, disk.open(operation.other))
            case "remove":
                disk.remove(operation.name)
            case "sync names":
                disk.sync_directory()
    return disk
