"""The times of a planned stop: how long requests are answered and connections accepted before SIGKILL.

The platform counts the time until SIGKILL from when it sends SIGTERM, the process from when it learns of it.
The process may be delayed before it learns of the signal, and again when its last answers are due, each time
for `delay` = MAX_SEND_DELAY_NS. So with `d` the longest deadline, at most MAX_COUNTED_DEADLINE:

    told_at   <= signal + delay
    written   <= answer_by + delay + ANSWER_MARGIN
    SIGKILL   >= signal + d + KILL_GRACE
    answer_by  = told_at + d + KILL_GRACE - 2 * delay - ANSWER_MARGIN

Every wait that SIGKILL would cut off is bounded by `answer_by`. All times are in nanoseconds. There is no
clock here.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from sprucenotch.node.config import SECOND
from sprucenotch.node.rules import MAX_SEND_DELAY_NS

MS = 1_000_000
MAX_COUNTED_DEADLINE = 3 * SECOND  # a longer deadline counts as this for SIGKILL
KILL_GRACE = 700 * MS  # from the longest deadline after SIGTERM to the earliest SIGKILL
ANSWER_MARGIN = 100 * MS  # event loop lag, and the way to the client
# After SIGTERM new connections still arrive for 0.2 to 0.4 s.
ACCEPT_AFTER_STOP = 600 * MS


class StopTimes(NamedTuple):
    """Until when a stopping process does what, in nanoseconds of the clock of `told_at`."""

    accept_until: int  # new connections
    answer_by: int  # every request has its final answer, and none is awaited any more


def stop_times(told_at: int, longest_deadline: int) -> StopTimes:
    """Return the times of a process that learned of SIGTERM at `told_at`."""
    earliest_kill = told_at - MAX_SEND_DELAY_NS + min(longest_deadline, MAX_COUNTED_DEADLINE) + KILL_GRACE
    answer_by = earliest_kill - MAX_SEND_DELAY_NS - ANSWER_MARGIN
    return StopTimes(min(told_at + ACCEPT_AFTER_STOP, answer_by), answer_by)


class StopRequest:
    """A request to stop, made by a signal; only the first one counts."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        self._loop, self._now = loop, now
        self._requested = asyncio.Event()
        self.told_at = 0  # when the process learned of the signal; 0: not yet

    def on_signal(self, number: int, frame: object) -> None:
        """Handle the signal. It is called between two instructions of the program, so that the time is right
        even if the event loop is busy."""
        if not self.told_at:
            self.told_at = self._now()
        self._loop.call_soon_threadsafe(self._requested.set)

    @property
    def requested(self) -> bool:
        """Whether the process has been asked to stop."""
        return self._requested.is_set()

    async def wait(self) -> None:
        """Wait until the process is asked to stop."""
        await self._requested.wait()
