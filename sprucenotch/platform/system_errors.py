"""Transient local failures of system calls, and the delays between retries.

A call that fails for lack of descriptors, buffers or local ports is no evidence about the peer. It is retried
within the caller's timeout. Sources: accept(2), socket(2), connect(2), bind(2), write(2).
"""

from __future__ import annotations

import errno
from asyncio import get_running_loop, sleep
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeVar

# The process or the machine is out of descriptors or memory.
RESOURCE_EXHAUSTION_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Connecting failed before any packet was sent: local ports, routes, packet filters.
LOCAL_ERRORS = RESOURCE_EXHAUSTION_ERRORS | {
    errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR, errno.ENETDOWN, errno.ENETUNREACH,
    errno.EPERM,
}  # fmt: skip
# Transient failures to open or read a file.
TRANSIENT_FILE_ERRORS = RESOURCE_EXHAUSTION_ERRORS | {
    errno.EAGAIN,
    errno.EBUSY,
    errno.EINTR,
    errno.EIO,
    errno.ESTALE,
}

T = TypeVar("T")

FAILURES_BEFORE_FREEING = 2  # consecutive; a single failure is often transient
FIRST_RETRY_DELAY = 0.005  # seconds before the first retry
MAX_RETRY_DELAY = 0.08  # seconds; pauses double up to this


def is_exhaustion(problem: BaseException) -> bool:
    """Whether the error means that descriptors or memory ran out."""
    return isinstance(problem, OSError) and problem.errno in RESOURCE_EXHAUSTION_ERRORS


def is_local(problem: BaseException) -> bool:
    """Whether opening a connection or a listener failed for a transient reason on this machine."""
    return isinstance(problem, OSError) and problem.errno in LOCAL_ERRORS


class ConsecutiveFailures:
    """Counts consecutive failures of a call.

    A single failure may be transient; if descriptors or memory run out again, resources must be freed.
    """

    __slots__ = ("_failures",)

    def __init__(self) -> None:
        self._failures = 0

    def count_failure(self, problem: OSError) -> bool:
        """Count a failure. Returns whether resources must be freed."""
        self._failures += 1
        return is_exhaustion(problem) and self._failures >= FAILURES_BEFORE_FREEING

    def reset(self) -> None:
        """Reset after the call has succeeded."""
        self._failures = 0


def ignore_failure(problem: OSError) -> None:
    """A callback that ignores a failure."""


async def retry_local_failures(
    call: Callable[[], Awaitable[T]], timeout: float, on_retry: Callable[[OSError], None] = ignore_failure
) -> T:
    """Call and return the result; retry after local failures, as long as `timeout` seconds are not over.

    No retry is scheduled to begin later than that, but a call in progress is not interrupted, so the total
    may be longer by the duration of the last call. `on_retry` is a callback for each failure that is retried.
    Raises the last failure, and at once a failure that is not local.
    """
    deadline = get_running_loop().time() + timeout
    for pause in retry_delays():
        try:
            return await call()
        except OSError as problem:
            if not is_local(problem) or get_running_loop().time() + pause > deadline:
                raise
            on_retry(problem)
        await sleep(pause)
    raise AssertionError("unreachable: the sequence of delays is endless")


def retry_delays() -> Iterator[float]:
    """An endless sequence of delays before retries, in seconds."""
    pause = FIRST_RETRY_DELAY
    while True:
        yield pause
        pause = min(2 * pause, MAX_RETRY_DELAY)
