"""Fault injection into the system calls of a process under test, by a preloaded library (syscalls.c).

The library is compiled for each run with the C compiler of the machine. Rules are switched on and off while
the process runs, through a memory-mapped file that both sides share.
"""

from __future__ import annotations

import errno
import mmap
import shutil
import struct
import subprocess
from collections.abc import Mapping
from enum import IntEnum
from pathlib import Path
from typing import NamedTuple

from sprucenotch.testbed.process import RunError

SOURCE = Path(__file__).with_name("syscalls.c")
SPARE_LOG = "SPRUCENOTCH_SPARE_LOG"  # environment variable: writes to standard error never fail
SHORT = -1  # as the error of a rule: the call transfers a single byte
COMPILE_TIMEOUT = 60.0  # seconds


class Call(IntEnum):
    """Kinds of system calls, in the order of `enum call` in syscalls.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    CONNECTED = 3  # the result of a connection attempt, from SO_ERROR
    READ = 4  # on stream sockets
    WRITE = 5  # on stream sockets
    SHUTDOWN = 6
    WAIT = 7  # epoll_wait, poll
    OPEN = 8
    FILE_WRITE = 9  # on regular files
    SYNC = 10
    RENAME = 11
    DATAGRAM = 12  # sends of datagrams
    LISTEN = 13
    BIND = 14
    EPOLL_CTL = 15  # only once the process listens: before, the event loop library aborts on failure


class Rule(NamedTuple):
    """One of `every` calls of that kind fails with `error`, or is short (`SHORT`)."""

    call: Call
    error: int
    every: int
    at_once: bool = False  # the next call fails, not only the one that completes `every`

    def __str__(self) -> str:
        name = "short" if self.error == SHORT else errno.errorcode[self.error]
        return f"{self.call.name.lower()} {name} one of {self.every}"


class NoCompiler(RunError):
    """The library cannot be compiled on this machine."""


def compiler() -> str | None:
    """Return the path of the machine's C compiler, or None."""
    return shutil.which("cc") or shutil.which("gcc") or shutil.which("clang")


def build(folder: Path) -> Path:
    """Compile the library into that folder, unless it is there already. Raises NoCompiler."""
    library = folder / "syscalls.so"
    if library.exists():
        return library
    command = compiler()
    if command is None:
        raise NoCompiler("failing system calls need a C compiler, and this machine has none")
    arguments = (command, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl")
    done = subprocess.run(arguments, capture_output=True, text=True, timeout=COMPILE_TIMEOUT, check=False)
    if done.returncode:
        raise NoCompiler(f"the library of failing system calls does not compile: {done.stderr[-300:]}")
    return library


class Control:
    """The active rules for the processes that run with this `environment`."""

    _OFFSET = struct.Struct("<q")  # of the wall clock, in nanoseconds
    _RULE = struct.Struct("<IiII")  # every, error, calls seen, calls failed

    def __init__(self, library: Path, file: Path) -> None:
        self.environment: Mapping[str, str] = {
            "LD_PRELOAD": str(library),
            "SPRUCENOTCH_SYSCALLS": str(file),
        }
        size = self._OFFSET.size + len(Call) * self._RULE.size
        with file.open("wb+") as opened:
            opened.truncate(size)
            self._map = mmap.mmap(opened.fileno(), size)

    def fail(self, rule: Rule) -> None:
        """Apply a rule from now on, replacing an earlier one for the same kind of call."""
        seen = rule.every - 1 if rule.at_once else 0
        self._RULE.pack_into(self._map, self._offset_of(rule.call), rule.every, rule.error, seen, 0)

    def heal(self, call: Call) -> None:
        """Let these calls succeed again. The number of failed calls stays readable."""
        struct.pack_into("<I", self._map, self._offset_of(call), 0)

    def failed(self, call: Call) -> int:
        """The number of calls that the last rule of that kind made fail."""
        return int(self._RULE.unpack_from(self._map, self._offset_of(call))[3])

    def step_wall_clock(self, offset: int) -> None:
        """Set the wall clock of the processes to so many nanoseconds ahead of the machine's."""
        self._OFFSET.pack_into(self._map, 0, offset)

    def close(self) -> None:
        self._map.close()

    def _offset_of(self, call: Call) -> int:
        return self._OFFSET.size + call * self._RULE.size
