"""Estimates when input of a client arrived that the sidecar has not read at once. There is no clock here.

The deadline of a request counts from its last byte. While the sidecar does not read, as a server takes the
body slowly or earlier requests are unanswered, that byte may wait in the kernel's buffers on both sides.

What is known are marks: by the time of a mark, the client had written at most so many bytes. All input behind
that came later. Once a read has found the kernel's buffer empty, nothing of what the client has written waits
any more (on one machine, the client's kernel passes on what it holds as soon as there is room); what is read
next has come since then, and has not waited for anything before. So a mark says nothing about a request that
was written after the last one had been read.
"""

from __future__ import annotations

from collections import deque

# Bytes that the kernels may hold of a client's input: Linux's default limit of a send buffer (4 MiB), and as
# much for the receive buffer.
MAX_KERNEL_BUFFERS = 8 * 1024 * 1024
MARK_INTERVAL = 0.01  # seconds between two marks, which bounds their number


class Arrival:
    """The input of one client connection. Times are in seconds of any one monotonic clock."""

    __slots__ = ("_all_read", "_marks", "_offset", "_read_from")

    def __init__(self) -> None:
        self._offset = 0  # bytes read so far, of those that were noted
        self._read_from = 0  # the same before the last read
        # A time, and how many bytes the client had written by then at most; empty if no input has waited.
        self._marks: deque[tuple[float, int]] = deque()
        self._all_read = False  # the last read has emptied the kernel's buffer

    @property
    def behind(self) -> bool:
        """Whether input may have waited for a read. While it has not, reads need not be noted."""
        return bool(self._marks)

    def read(self, size: int, more: bool, now: float, held: int | None = None) -> None:
        """Note a read of that many bytes; `more`: the kernel holds further input, `held` bytes if those are
        all that the client has written."""
        self._forget_what_was_read()
        self._read_from = self._offset
        self._offset += size
        self._all_read = not more
        if more:
            if not self._marks:  # the sidecar was not behind: all of this has just come
                self._marks.append((now, self._read_from))
            self._mark(now, self._offset + (MAX_KERNEL_BUFFERS if held is None else held))

    def paused(self, now: float) -> None:
        """Note that the sidecar stops reading for now."""
        self._forget_what_was_read()
        if not self._marks:
            self._read_from = self._offset
            self._marks.append((now, self._offset))

    def held(self, size: int, now: float) -> None:
        """Note that the kernel holds so many unread bytes, which are all that the client has written."""
        if self._marks and not self._all_read:
            self._mark(now, self._offset + size)

    def client_still_writing(self, now: float) -> None:
        """Note that the client had not written all of its request by now."""
        if self._marks:
            self._marks.clear()
            self._marks.append((now, self._read_from))

    def waited(self, now: float) -> float:
        """Return for how many seconds at most the input of the last read had waited for it."""
        while len(self._marks) > 1 and self._marks[1][1] <= self._read_from:
            self._marks.popleft()
        return now - self._marks[0][0] if self._marks else 0.0

    def unread_for(self, now: float) -> float:
        """Return for how many seconds at most the rest of the client's input may have waited for a read."""
        return 0.0 if self._all_read else self.waited(now)

    def _mark(self, now: float, written: int) -> None:
        while self._marks and self._marks[-1][1] >= written:
            self._marks.pop()
        if not self._marks or now - self._marks[-1][0] >= MARK_INTERVAL:
            self._marks.append((now, written))

    def _forget_what_was_read(self) -> None:
        if self._all_read:
            self._marks.clear()
            self._all_read = False
