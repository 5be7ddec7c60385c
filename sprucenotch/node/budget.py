"""The memory for requests and answers: a limit for the process, and what each request holds of it."""

from __future__ import annotations

USUAL_HEAD_SIZE = 1024  # bytes; only what exceeds it is reserved in the budget


def unusual_size(size: int) -> int:
    """The bytes of a head of that size that are reserved in the budget."""
    return max(0, size - USUAL_HEAD_SIZE)


class Budget:
    """The memory for all that peers make the process keep. It is reserved before anything is kept, so that
    no request waits for memory while it holds some: without memory a request is refused."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.used = max_bytes, 0


class Reservation:
    """The bytes of a budget that one request holds.

    It has one owner at a time, who releases it; it can be handed over whole. Released, it is empty and may
    grow again.
    """

    __slots__ = ("_budget", "size")

    def __init__(self, budget: Budget) -> None:
        self._budget = budget
        self.size = 0  # bytes

    def grow(self, size: int) -> bool:
        """Reserve so many more bytes; False, and nothing is reserved, if they would exceed the limit."""
        if self._budget.used + size > self._budget.max_bytes:
            return False
        self._budget.used += size
        self.size += size
        return True

    def resize(self, size: int) -> None:
        """Hold so many bytes from now on, without a check of the limit."""
        self._budget.used += size - self.size
        self.size = size

    def release(self) -> None:
        """Hold nothing any more."""
        self._budget.used -= self.size
        self.size = 0
