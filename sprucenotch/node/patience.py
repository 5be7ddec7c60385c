"""How long a peer is waited for whose request has not come whole. Fed the time that passes; has no clock."""

from __future__ import annotations

# A client may take 2 s for a head and send its body at 64 kB a second; a peer that sends no whole request is
# owed an error or a close within 3 s. So a head has more than the one and less than the other, and a body is
# judged only once its peer was waited for that long: by its pauses, and by its rate, which may lag a second.
HEAD_WITHIN = 2.5
JUDGED_FROM = 2.7
PAUSE_MOST = 1.1  # seconds without a byte
RATE_LEAST, RATE_LAG = 48_000, 1.0  # bytes a second, from so long after the head


class Patience:
    """The wait for one request."""

    __slots__ = ("_headed_at", "_quiet", "_spent")

    def __init__(self) -> None:
        self._spent = self._quiet = 0.0  # seconds that the request, and any byte of it, was waited for
        self._headed_at = 0.0

    def heard(self) -> None:
        """A byte has come."""
        self._quiet = 0.0

    def over(self, passed: float, headed: bool, size: int) -> bool:
        """Whether it ends here: so many seconds on, with its head come or not, and so much of its body."""
        self._spent += passed
        self._quiet += passed
        if not headed:
            self._headed_at = self._spent
            return self._spent >= HEAD_WITHIN
        if self._spent < JUDGED_FROM:
            return False
        return self._quiet > PAUSE_MOST or size < RATE_LEAST * (self._spent - self._headed_at - RATE_LAG)
