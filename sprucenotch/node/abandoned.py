"""Remembers requests that a server may run although their client has left. There is no clock here.

If such an id comes again, from the same client on another connection, it must not run a second time.
"""

from __future__ import annotations

from hashlib import blake2b

MAX_ABANDONED = 2048  # the oldest are forgotten first
DIGEST_SIZE = 16  # bytes: an id may be as long as a head


class AbandonedRequests:
    """The ids of abandoned requests, each until a time of its own. Times are in nanoseconds."""

    def __init__(self) -> None:
        self._until: dict[bytes, int] = {}  # by digest of the id, in the order of their addition

    def __len__(self) -> int:
        return len(self._until)

    def add(self, req_id: bytes, now: int, until: int) -> None:
        """Remember an id that a server may run, until that time."""
        digest = _digest(req_id)
        until = max(until, self._until.pop(digest, 0))
        self._until[digest] = until
        self._forget_expired(now)
        if len(self._until) > MAX_ABANDONED:
            del self._until[next(iter(self._until))]

    def remove(self, req_id: bytes) -> None:
        """Forget an id: no server has run it."""
        self._until.pop(_digest(req_id), None)

    def may_run(self, req_id: bytes, now: int) -> bool:
        """Whether a server may have run that id, or may run it still."""
        return bool(self._until) and self._until.get(_digest(req_id), 0) > now

    def _forget_expired(self, now: int) -> None:
        """Forget the oldest ones whose time is over."""
        for digest in list(self._until):
            if self._until[digest] > now:
                return
            del self._until[digest]


def _digest(req_id: bytes) -> bytes:
    return blake2b(req_id, digest_size=DIGEST_SIZE).digest()
