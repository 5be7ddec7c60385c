"""Failures of system calls that come from this machine and pass, and how such calls are spaced.

A call that fails for want of descriptors, buffers or local ports says nothing of the peer. It is tried again
within the time of whatever needs it. Sources: accept(2), socket(2), connect(2), bind(2), write(2).
"""

from __future__ import annotations

import errno
from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

# This process, or the machine, has no more descriptors, or no memory.
EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Making a connection failed before any packet left: local ports, routes, packet filters.
LOCAL = EXHAUSTED | {
    errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, errno.ENETDOWN, errno.ENETUNREACH,
    errno.EPERM,
}  # fmt: skip
# A file cannot be opened or read for the moment.
FILE_PASSING = EXHAUSTED | {errno.EAGAIN, errno.EBUSY, errno.EINTR, errno.EIO, errno.ESTALE}

T = TypeVar("T")

FAILURES_BEFORE_ROOM = 2  # in a row: one alone may pass by itself
FIRST_PAUSE = 0.005  # seconds before the first repetition of a failed call
MAX_PAUSE = 0.08  # seconds; each pause is twice the one before, up to this


def is_exhaustion(problem: BaseException) -> bool:
    """Whether descriptors or memory ran out."""
    return isinstance(problem, OSError) and problem.errno in EXHAUSTED


def is_local(problem: BaseException) -> bool:
    """Whether making a connection or a listener failed on this machine, for what may pass."""
    return isinstance(problem, OSError) and problem.errno in LOCAL


class Shortage:
    """Failures of one call in a row. The first may pass by itself; from the next on, where descriptors or
    memory are what it lacks, something has to make room."""

    __slots__ = ("_failures",)

    def __init__(self) -> None:
        self._failures = 0

    def lasts(self, problem: OSError) -> bool:
        """Count a failure. Whether room is to be made."""
        self._failures += 1
        return is_exhaustion(problem) and self._failures >= FAILURES_BEFORE_ROOM

    def ends(self) -> None:
        """The call has succeeded."""
        self._failures = 0


def ignore(problem: OSError) -> None:
    """For failures that nobody needs to hear of."""


async def retried(
    call: Callable[[], Awaitable[T]], timeout: float, failed: Callable[[OSError], None] = ignore
) -> T:
    """What `call` brings, which is made again after each local failure for at most so many seconds; `failed`
    hears of each that is tried again. Raises what the last one raised."""
    give_up_at = get_running_loop().time() + timeout
    for pause in pauses():
        try:
            return await call()
        except OSError as problem:
            if not is_local(problem) or get_running_loop().time() + pause > give_up_at:
                raise
            failed(problem)
        await sleep(pause)
    raise AssertionError("pauses have no end")


def pauses() -> Iterator[float]:
    """Seconds to wait before each repetition, without end."""
    pause = FIRST_PAUSE
    while True:
        yield pause
        pause = min(2 * pause, MAX_PAUSE)
