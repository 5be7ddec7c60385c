"""A disk that fills up, slows down, fails and loses power, behind the program's own seam.

A power cut leaves of everything that was not made durable whatever a file system may leave: of each write
any of its sectors of 512 bytes, a size with or without what it covers (zeros then), of the changes of
names any, in their order. `crash` draws one of these outcomes by seed. A sync that fails leaves what it
should have written in doubt for good, as Linux does: later syncs do not write it.

Operations of a real process are recorded by `seams/recorded.py`, in a file that outlives it, and `replay`
makes the volume of them that a power cut at that moment would have left.
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

from sprucenotch.seams.recorded import Operation

SECTOR = 512


class Extent(NamedTuple):
    """A write that is not durable."""

    start: int
    data: bytes


class Inode:
    def __init__(self) -> None:
        self.visible = bytearray()
        self.durable = bytearray()
        self.pending: list[Extent | int] = []  # writes, and the sizes of truncations
        self.doubtful: list[Extent | int] = []  # of a sync that failed

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
        """The pages count as written from now on, and are not."""
        self.doubtful += self.pending
        self.pending.clear()

    def crash(self, rng: random.Random) -> None:
        """Only what the disk holds is left."""
        for change in (*self.doubtful, *self.pending):
            for part in _sectors(change):
                if rng.random() < 0.5:
                    _apply(self.durable, part)
        self.pending.clear()
        self.doubtful.clear()
        self.visible = bytearray(self.durable)


def _apply(held: bytearray, change: Extent | int) -> None:
    if isinstance(change, int):
        del held[change:]
        held.extend(bytes(max(0, change - len(held))))
        return
    end = change.start + len(change.data)
    held.extend(bytes(max(0, end - len(held))))  # what lies before and was not written is zeros
    held[change.start : end] = change.data


def _sectors(change: Extent | int) -> Iterator[Extent | int]:
    """The parts that reach the disk by themselves."""
    if isinstance(change, int):
        yield change
        return
    at, end = change.start, change.start + len(change.data)
    while at < end:
        stop = min(end, (at // SECTOR + 1) * SECTOR)
        yield Extent(at, change.data[at - change.start : stop - change.start])
        at = stop


class Naming(NamedTuple):
    """A change of names as one step: some get a file, some lose theirs."""

    given: tuple[tuple[str, Inode], ...] = ()
    taken: tuple[str, ...] = ()


class Volume:
    """A folder in memory. Set its troubles at any time."""

    def __init__(self, sleep: Callable[[float], None] = time.sleep) -> None:
        self._names: dict[str, Inode] = {}
        self._durable: dict[str, Inode] = {}
        self._pending: list[Naming] = []
        self._locked: set[str] = set()
        self._sleep = sleep
        self.room: int | None = None  # bytes that still go in
        self.slow = 0.0  # seconds that each operation takes
        self.failing: set[str] = (
            set()
        )  # operations that fail: write, sync, read, rename, remove, open, names, lock

    # ---- the seam

    def names(self) -> list[str]:
        self._enter("names")
        return sorted(self._names)

    def read(self, name: str) -> bytes:
        self._enter("read")
        return bytes(self._inode(name).visible)

    def open(self, name: str, anew: bool = False) -> OpenFile:
        self._enter("open")
        if name not in self._names:
            self._rename(Naming(((name, Inode()),)))
        if anew:
            self._names[name].truncate(0)
        return OpenFile(self, self._names[name])

    def rename(self, old: str, new: str) -> None:
        self._enter("rename")
        self._rename(Naming(((new, self._inode(old)),), (old,)))

    def remove(self, name: str) -> None:
        self._enter("remove")
        self._inode(name)
        self._rename(Naming(taken=(name,)))

    def sync_names(self) -> None:
        self._enter("sync")
        self._durable = dict(self._names)
        self._pending.clear()

    def lock(self, name: str) -> None:
        self._enter("lock")
        if name in self._locked:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        self._locked.add(name)

    def unlock(self) -> None:
        """The process that held the locks has ended."""
        self._locked.clear()

    # ---- what it does behind

    def _inode(self, name: str) -> Inode:
        if name not in self._names:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), name)
        return self._names[name]

    def _rename(self, change: Naming) -> None:
        _rename(self._names, change)
        self._pending.append(change)

    def _enter(self, operation: str) -> None:
        if self.slow:
            self._sleep(self.slow)
        if operation in self.failing:
            raise OSError(errno.EIO, os.strerror(errno.EIO))

    def crash(self, seed: int) -> None:
        """Power is cut and comes back: what was durable is there, of the rest what the seed draws."""
        rng = random.Random(f"crash {seed}")
        inodes = {id(inode): inode for inode in (*self._durable.values(), *self._names.values())}
        for change in self._pending:
            inodes |= {id(inode): inode for _, inode in change.given}
            if rng.random() < 0.5:
                _rename(self._durable, change)
        for inode in inodes.values():
            inode.crash(rng)
        self._names = dict(self._durable)
        self._pending.clear()
        self._locked.clear()
        self.room, self.slow = None, 0.0
        self.failing.clear()

    def write_to(self, folder: Path) -> None:
        """Lay its files out in a real folder that is there and empty."""
        for name, inode in self._names.items():
            (folder / name).write_bytes(inode.visible)


def _rename(names: dict[str, Inode], change: Naming) -> None:
    for name in change.taken:
        names.pop(name, None)
    names.update(change.given)


class OpenFile:
    def __init__(self, volume: Volume, inode: Inode) -> None:
        self._volume, self._inode = volume, inode

    def write(self, data: bytes) -> None:
        self._volume._enter("write")
        room = self._volume.room
        if room is not None:
            self._volume.room = max(0, room - len(data))
            if len(data) > room:
                if room:
                    self._inode.write(data[:room])
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if data:
            self._inode.write(data)

    def sync(self) -> None:
        try:
            self._volume._enter("sync")
        except OSError:
            self._inode.fail_sync()
            raise
        self._inode.sync()

    def truncate(self, size: int) -> None:
        self._volume._enter("write")
        self._inode.truncate(size)

    def close(self) -> None:
        """Makes nothing durable."""


def replay(record: bytes, base: Mapping[str, bytes] = MappingProxyType({})) -> Volume:
    """The volume after all operations of a record, with these files durable before; an operation that was
    cut short at the record's end is not there."""
    volume, files, at = Volume(), dict[str, OpenFile](), 0
    for name, data in base.items():
        file = volume.open(name)
        file.write(data)
        file.sync()
    volume.sync_names()
    while at + 4 <= len(record):
        end = at + 4 + int.from_bytes(record[at : at + 4], "big")
        if end > len(record):
            break
        did = msgspec.msgpack.decode(record[at + 4 : end], type=Operation)
        at = end
        match did.do:
            case "open":
                files[did.name] = volume.open(did.name, bool(did.size))
            case "write":
                files[did.name].write(did.data)
            case "sync":
                files[did.name].sync()
            case "truncate":
                files[did.name].truncate(did.size)
            case "rename":
                volume.rename(did.name, did.other)
                files[did.other] = files.pop(did.name, volume.open(did.other))
            case "remove":
                volume.remove(did.name)
            case "sync names":
                volume.sync_names()
    return volume
