"""Estimates when input of a client arrived that the sidecar has not read at once. There is no clock here.

The deadline of a request counts from its last byte. While the sidecar does not read, as a server takes the
body slowly or earlier requests are unanswered, that byte may wait in the kernel's buffers on both sides.
"""

from __future__ import annotations

from collections import deque

# Seconds without input after which a client whose input has all been read counts as the slower side: what its
# kernel still held would have arrived by then.
MAX_REFILL_DELAY = 0.05
# Bytes that the kernels may hold of a client's input: Linux's default limit of a send buffer (4 MiB), and as
# much for the receive buffer.
MAX_KERNEL_BUFFERS = 8 * 1024 * 1024
MARK_DISTANCE = MAX_KERNEL_BUFFERS // 8  # bytes between two marks


class Arrival:
    """The input of one client connection. Times are in seconds of any one monotonic clock."""

    __slots__ = ("_all_read_at", "_marks", "_offset")

    def __init__(self) -> None:
        self._offset = 0  # bytes read so far
        # Times at which that many bytes had been read while the sidecar has been behind; empty if it is not.
        self._marks: deque[tuple[float, int]] = deque()
        self._all_read_at: float | None = None  # since when each read has found all of the kernel's buffer

    @property
    def behind(self) -> bool:
        """Whether input may have waited for a read. While it has not, reads need not be noted."""
        return bool(self._marks)

    def read(self, size: int, more: bool, now: float) -> None:
        """Note a read of that many bytes; `more`: the kernel holds further input."""
        self._forget_if_caught_up(now)
        self._offset += size
        if self._marks and self._offset >= self._marks[-1][1] + MARK_DISTANCE:
            self._marks.append((now, self._offset))
        if more:
            self.paused(now)
        elif self._all_read_at is None:
            self._all_read_at = now

    def paused(self, now: float) -> None:
        """Note that the sidecar stops reading for now."""
        self._forget_if_caught_up(now)
        self._all_read_at = None
        if not self._marks:
            self._marks.append((now, self._offset))

    def client_still_writing(self, now: float) -> None:
        """Note that the client had not written all of its request by now."""
        if self._marks:
            self._marks.clear()
            self._marks.append((now, self._offset))

    def unread_for(self, now: float) -> float:
        """Return for how many seconds at most the rest of the client's input may have waited for a read."""
        self._forget_if_caught_up(now)
        # The client can be no more than the kernels' buffers ahead of what has been read.
        while len(self._marks) > 1 and self._marks[1][1] <= self._offset - MAX_KERNEL_BUFFERS:
            self._marks.popleft()
        return now - self._marks[0][0] if self._marks else 0.0

    def _forget_if_caught_up(self, now: float) -> None:
        if self._all_read_at is not None and now - self._all_read_at > MAX_REFILL_DELAY:
            self._marks.clear()
            self._all_read_at = None
