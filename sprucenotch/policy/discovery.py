"""Schedule of the calls to a discovery that answers on request: at start, after a failed call, after a move.

Source: the protocol's rules for changes of the list. A change counts as delivered CHANGE_DEADLINE after
discovery had it and was reachable, whatever calls failed before, and a process without a watch has to call
within the time set for that. Requests may still go to a draining server for the grace in the settings:

    budget = min(CHANGE_DEADLINE, ask_within) + drain_grace

One call is open at a time. If n calls fail, each after failed_i, and the next is answered after `answer`,
the list is up to date in time if

    first_pause + sum(failed_i + pause_i for i in 1..n) + answer <= budget

Upper bounds of the terms:

    first_pause  budget / 4, uniformly random: all processes start, or lose their watches, at the same moment,
                 and a service that queues calls also works on abandoned ones, so that a queue longer than its
                 timeout starves the calls that are repeated
    pause_i      if the failed call was refused at once, the rest of budget / 8 since it began; if it had
                 waited, the rest of the budget less an equally slow answer; at least MAX_GAP

So the schedule tolerates three calls refused at once plus an answer within 0.3 of the budget (2 s of 6.5 s),
or one call that failed after up to 0.3 of the budget plus an equally slow answer. Other spacing cannot
tolerate more: two calls that wait 2 s each and an equally slow answer use up the budget. A process that
starts with an old list takes no requests before its first answer (node.host.START_TIMEOUT), so the random
first pause breaks no rule there.

A call without any answer is followed by another one in parallel after `response_timeout`, half of the budget.

Load: one open call per process, or two after a silent one. Calls refused at once are repeated at 8 / budget
to 16 / budget per second: 280 to 570 a second for 230 processes, 13,500 to 27,000 for 11,000.
"""

from __future__ import annotations

import random

from sprucenotch import api
from sprucenotch.policy.state import SECOND

CHANGE_DEADLINE = 6 * SECOND  # of the protocol: a change counts as delivered this long after discovery had it
FIRST_PAUSE_SHARE = 4  # divisor: the first call of a process is spread over budget / this
MAX_INTERVAL_SHARE = 8  # divisor: budget / this between the starts of two calls, the first refused at once
FIRST_INTERVAL = SECOND // 4  # after the first refused call; doubled with each failure
MAX_GAP = SECOND // 10  # between the end of a slow call and the next one
FIXED_PAUSE_SHARE = 0.5  # of an interval or gap; the rest is random, so that processes do not call in step


def call_budget(settings: api.Settings) -> int:
    """Return the time in nanoseconds for which requests may still ignore a change of the list."""
    return min(CHANGE_DEADLINE, settings.ask_within) + settings.drain_grace


def response_timeout(settings: api.Settings) -> int:
    """Return the nanoseconds after which a call without an answer gets another one in parallel."""
    return call_budget(settings) // 2 - MAX_GAP


class CallSchedule:
    """Computes the pause before the next call. Gets the time as an argument: no clock, no I/O."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed).random
        self._called_at = 0
        self._due = 0  # when the current list may be out of date by more than the budget
        self._failures = 0

    def start(self, now: int, settings: api.Settings) -> int:
        """Start or restart without an open watch. Return the nanoseconds to wait before the first call."""
        self._due = now + call_budget(settings)
        return int(self._random() * call_budget(settings) / FIRST_PAUSE_SHARE)

    def called(self, now: int) -> None:
        """Record that a call is made."""
        self._called_at = now

    def succeeded(self) -> None:
        """Record an answer: resets the count of failures."""
        self._failures = 0

    def failed(self, now: int, settings: api.Settings) -> int:
        """Record a call that was refused or broke off. Return the nanoseconds to wait before the next."""
        self._failures += 1
        if self._failures == 1 and now >= self._due:
            return self.start(now, settings)  # a long-lived watch ended
        if now >= self._due:  # discovery may have become reachable only after that call began
            self._due = self._called_at + call_budget(settings)
        return self._pause(now - self._called_at, self._due - now, settings)

    def call_timed_out(self) -> int:
        """Return the nanoseconds to wait before the next call, after one without an answer in time."""
        return self._gap()

    def _pause(self, took: int, left: int, settings: api.Settings) -> int:
        """Return the pause after a call that failed after `took`, with `left` of the budget remaining."""
        longest = call_budget(settings) // MAX_INTERVAL_SHARE
        interval = min(longest, FIRST_INTERVAL << min(self._failures - 1, MAX_INTERVAL_SHARE))
        until_interval = int(self._jitter_factor() * interval) - took
        if took <= longest:
            return max(until_interval, self._gap())
        spare = left - took - MAX_GAP  # beyond an equally slow answer
        return max(int(self._jitter_factor() * spare), self._gap())

    def _gap(self) -> int:
        return int(self._jitter_factor() * MAX_GAP)

    def _jitter_factor(self) -> float:
        return FIXED_PAUSE_SHARE + (1 - FIXED_PAUSE_SHARE) * self._random()
