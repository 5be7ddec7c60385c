"""A folder of files: a minimal set of operations with stated durability guarantees.

Written data is visible to all readers at once, and survives the end of the process. It survives a power cut
only after `File.sync` of the file and `Disk.sync_directory` for its name. Source: POSIX write, fsync, rename.
"""

from __future__ import annotations

import errno
import fcntl
import os
import stat
from pathlib import Path
from typing import Protocol


class File(Protocol):
    """A file open for writing. Every method raises OSError."""

    def write(self, data: bytes) -> None:
        """Append. If it raises, part of the data may have been written."""

    def sync(self) -> None:
        """Make written data durable. After an error, the state on disk is unknown."""

    def truncate(self, size: int) -> None: ...

    def close(self) -> None: ...


class Disk(Protocol):
    """One folder. Names have no slashes. Every method raises OSError."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes:
        """The content of a regular file; symbolic links are not followed."""
        ...

    def open(self, name: str, truncate: bool = False) -> File:
        """Open for appending, creating the file if needed; `truncate` empties it first."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Rename atomically, replacing `new`."""

    def remove(self, name: str) -> None: ...

    def sync_directory(self) -> None:
        """Make the folder's entries durable: creations, renames and removals."""

    def lock(self, name: str) -> None:
        """Lock a file, creating it if needed, until `unlock` or the end of the process.

        Does not wait: raises BlockingIOError if the file is locked already.
        """

    def unlock(self) -> None:
        """Release all locks."""


class RealFile:
    def __init__(self, path: Path, truncate: bool) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        self._descriptor = os.open(path, flags | (os.O_TRUNC if truncate else 0), 0o600)

    def write(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(self._descriptor, remaining) :]

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
        self._locks: list[int] = []

    def names(self) -> list[str]:
        return sorted(entry.name for entry in os.scandir(self._folder))

    def read(self, name: str) -> bytes:
        descriptor = os.open(self._folder / name, os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK)
        with open(descriptor, "rb") as file:
            if not stat.S_ISREG(os.fstat(descriptor).st_mode):  # reading a pipe, for example, could block
                raise OSError(errno.ELOOP, "not a regular file", name)
            return file.read()

    def open(self, name: str, truncate: bool = False) -> RealFile:
        return RealFile(self._folder / name, truncate)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._folder / old, self._folder / new)

    def remove(self, name: str) -> None:
        os.unlink(self._folder / name)

    def lock(self, name: str) -> None:
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        descriptor = os.open(self._folder / name, flags, 0o600)
        try:
            # The kernel releases the lock when the process ends.
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._locks.append(descriptor)

    def unlock(self) -> None:
        """Release all locks, as the end of the process does."""
        while self._locks:
            os.close(self._locks.pop())

    def sync_directory(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
