"""Time limits for an incomplete request. The caller passes in the elapsed time; there is no clock here."""

from __future__ import annotations

# A client may take 2 s for a head and send its body at 64 kB/s; a peer that sends no complete request must
# get an error or a close within 3 s. So the limit for a head lies between the two, and a body is checked only
# after BODY_CHECK_START: for pauses, and for its rate, which may lag by a second. Times are in seconds.
HEAD_TIMEOUT = 2.5
BODY_CHECK_START = 2.7
MAX_BODY_PAUSE = 1.1  # without a byte
MIN_BODY_RATE, BODY_RATE_LAG = 48_000, 1.0  # bytes a second, counted from so long after the head


class RequestTimeLimit:
    """The time limits of one request."""

    __slots__ = ("_elapsed", "_head_time", "_idle")

    def __init__(self) -> None:
        self._elapsed = self._idle = 0.0  # seconds of waiting in all, and since the last byte
        self._head_time = 0.0

    def byte_received(self) -> None:
        """Note that input has arrived."""
        self._idle = 0.0

    def advance(self, passed: float, headed: bool, size: int) -> bool:
        """Add elapsed seconds, and return whether the wait is over, for a body of `size` bytes so far."""
        self._elapsed += passed
        self._idle += passed
        if not headed:
            self._head_time = self._elapsed
            return self._elapsed >= HEAD_TIMEOUT
        if self._elapsed < BODY_CHECK_START:
            return False
        return self._idle > MAX_BODY_PAUSE or size < MIN_BODY_RATE * (
            self._elapsed - self._head_time - BODY_RATE_LAG
        )
