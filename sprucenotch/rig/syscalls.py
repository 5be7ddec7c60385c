"""System calls of a process under test that fail, by a library that is preloaded into it (syscalls.c).

The library is compiled for each run, with the C compiler that the machine has. Rules are switched on and off
while the process runs, through a file that both sides map.
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

from sprucenotch.rig.process import RigError

SOURCE = Path(__file__).with_name("syscalls.c")
SPARE_LOG = "SPRUCENOTCH_SPARE_LOG"  # in the environment: no write to standard error fails
SHORT = -1  # in place of an error: the call moves a single byte
COMPILE_TIMEOUT = 60.0  # seconds


class Call(IntEnum):
    """Kinds of system calls, in the order of the library's `enum call`."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    CONNECTED = 3  # how a connection came up, as SO_ERROR tells it
    READ = 4  # on stream sockets, as all transfers that are not named otherwise
    WRITE = 5
    SHUTDOWN = 6
    WAIT = 7  # epoll_wait, poll
    OPEN = 8
    FILE_WRITE = 9  # on regular files
    SYNC = 10
    RENAME = 11
    DATAGRAM = 12  # sends of datagrams
    LISTEN = 13
    BIND = 14
    EPOLL_CTL = 15  # once the process listens: the event loop's library ends the process where its own fail


class Rule(NamedTuple):
    """One of `every` calls of that kind fails with `error`, or is short."""

    call: Call
    error: int
    every: int
    at_once: bool = False  # the next call is the first to fail, in place of the one that makes `every`

    def __str__(self) -> str:
        name = "short" if self.error == SHORT else errno.errorcode[self.error]
        return f"{self.call.name.lower()} {name} one of {self.every}"


class NoCompiler(RigError):
    """The library cannot be built on this machine."""


def compiler() -> str | None:
    """The machine's C compiler, if it has one."""
    return shutil.which("cc") or shutil.which("gcc") or shutil.which("clang")


def build(folder: Path) -> Path:
    """Compile the library into that folder, once. Raises NoCompiler in one plain line."""
    library = folder / "syscalls.so"
    if library.exists():
        return library
    command = compiler()
    if command is None:
        raise NoCompiler("failing system calls need a C compiler, and this machine has none")
    words = (command, "-shared", "-fPIC", "-O2", "-o", str(library), str(SOURCE), "-ldl")
    done = subprocess.run(words, capture_output=True, text=True, timeout=COMPILE_TIMEOUT, check=False)
    if done.returncode:
        raise NoCompiler(f"the library of failing system calls does not compile: {done.stderr[-300:]}")
    return library


class Control:
    """The rules in force for the processes that have this file's library loaded."""

    _OFFSET = struct.Struct("<q")  # of the wall clock, nanoseconds
    _RULE = struct.Struct("<IiII")  # every, error, calls seen, calls that failed

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
        """From now on, in place of an earlier rule of the same kind of call."""
        seen = rule.every - 1 if rule.at_once else 0
        self._RULE.pack_into(self._map, self._place(rule.call), rule.every, rule.error, seen, 0)

    def heal(self, call: Call) -> None:
        """Let these calls succeed again. How many had failed stays to be read."""
        struct.pack_into("<I", self._map, self._place(call), 0)

    def failed(self, call: Call) -> int:
        """How many calls failed by the last rule of that kind."""
        return int(self._RULE.unpack_from(self._map, self._place(call))[3])

    def step_wall_clock(self, offset: int) -> None:
        """Have the wall clock be so many nanoseconds ahead of the machine's."""
        self._OFFSET.pack_into(self._map, 0, offset)

    def close(self) -> None:
        self._map.close()

    def _place(self, call: Call) -> int:
        return self._OFFSET.size + call * self._RULE.size
