"""A disk that records its operations, so that a power cut at any point can be simulated later."""

from __future__ import annotations

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from sprucenotch.platform.disk import Disk, File


class Operation(NamedTuple):
    """An operation on a disk, as it is encoded in the record."""

    do: str
    name: str = ""
    other: str = ""
    data: bytes = b""
    size: int = 0


class RecordingDisk:
    """Wraps a disk and appends each completed operation to a record file, which outlives the process."""

    def __init__(self, disk: Disk, record: Path) -> None:
        self._disk = disk
        self._record = os.open(record, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append(self, operation: Operation) -> None:
        raw = msgspec.msgpack.encode(operation)
        remaining = memoryview(len(raw).to_bytes(4, "big") + raw)
        while remaining:  # a write may be partial
            remaining = remaining[os.write(self._record, remaining) :]

    def names(self) -> list[str]:
        return self._disk.names()

    def read(self, name: str) -> bytes:
        return self._disk.read(name)

    def open(self, name: str, truncate: bool = False) -> RecordingFile:
        file = self._disk.open(name, truncate)
        self.append(Operation("open", name, size=int(truncate)))
        return RecordingFile(self, file, name)

    def rename(self, old: str, new: str) -> None:
        self._disk.rename(old, new)
        self.append(Operation("rename", old, new))

    def remove(self, name: str) -> None:
        self._disk.remove(name)
        self.append(Operation("remove", name))

    def lock(self, name: str) -> None:
        self._disk.lock(name)

    def unlock(self) -> None:
        self._disk.unlock()

    def sync_directory(self) -> None:
        self._disk.sync_directory()
        self.append(Operation("sync names"))


class RecordingFile:
    def __init__(self, disk: RecordingDisk, file: File, name: str) -> None:
        self._disk, self._file, self._name = disk, file, name

    def write(self, data: bytes) -> None:
        self._file.write(data)
        self._disk.append(Operation("write", self._name, data=data))

    def sync(self) -> None:
        self._file.sync()
        self._disk.append(Operation("sync", self._name))

    def truncate(self, size: int) -> None:
        self._file.truncate(size)
        self._disk.append(Operation("truncate", self._name, size=size))

    def close(self) -> None:
        self._file.close()
