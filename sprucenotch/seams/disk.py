"""A folder of files as whoever keeps something uses it: few operations, each with a stated promise.

What is written is visible at once, to every reader and after the process was killed. It survives a power cut
only after `File.sync` of the file and `Disk.sync_names` for its name. Source: POSIX write, fsync, rename.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """A file open for writing. Every method raises OSError."""

    def write(self, data: bytes) -> None:
        """Append. Where it raises, some of the data may have been written."""

    def sync(self) -> None:
        """What was written survives a power cut once this returns; after an error of it nothing is known."""

    def truncate(self, size: int) -> None: ...

    def close(self) -> None: ...


class Disk(Protocol):
    """One folder. Names have no slashes. Every method raises OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def open(self, name: str, anew: bool = False) -> File:
        """For appending; `anew` makes it empty first."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Atomic to every reader; what `new` was before is gone."""

    def remove(self, name: str) -> None: ...

    def sync_names(self) -> None:
        """Which names there are, and of which files, survives a power cut once this returns."""


class RealFile:
    def __init__(self, path: Path, anew: bool) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        self._descriptor = os.open(path, flags | (os.O_TRUNC if anew else 0), 0o600)

    def write(self, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(self._descriptor, left) :]

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def truncate(self, size: int) -> None:
        os.ftruncate(self._descriptor, size)

    def close(self) -> None:
        os.close(self._descriptor)


class RealDisk:
    """The machine's own file system."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self._folder))

    def read(self, name: str) -> bytes:
        return (self._folder / name).read_bytes()

    def open(self, name: str, anew: bool = False) -> RealFile:
        return RealFile(self._folder / name, anew)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        os.unlink(self._folder / name)

    def sync_names(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
