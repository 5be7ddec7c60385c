"""How late the testbed's own event loop is: time in which it could notice nothing counts against nobody."""

from __future__ import annotations

import asyncio
import time

CHECK_INTERVAL = 0.02  # seconds


class Lateness:
    """Adds up the time by which the running event loop is late, while `watch` runs."""

    def __init__(self) -> None:
        self.seconds = 0.0
        self._delays: list[tuple[float, float]] = []  # when it was late, and by how many seconds

    def between(self, begin: float, end: float) -> float:
        """Seconds by which it was late between these times on the monotonic clock."""
        return sum(delay for at, delay in self._delays if begin <= at <= end + CHECK_INTERVAL)

    async def watch(self) -> None:
        """Watch until cancelled."""
        while True:
            due = time.monotonic() + CHECK_INTERVAL
            await asyncio.sleep(CHECK_INTERVAL)
            delay = max(0.0, time.monotonic() - due)
            self.seconds += delay
            self._delays.append((time.monotonic(), delay))
