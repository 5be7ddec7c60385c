"""When discovery is called where it answers on request: at the start, after a failed call, after a move.

Sources: the protocol's clock for changes of the list. A change counts as told CHANGE_DEADLINE after
discovery had it and could be reached, whatever calls failed before, and a process without a watch is held
to the time that the settings give for asking. Requests may follow for as long as the settings let a drain
go unnoticed:

    budget = min(CHANGE_DEADLINE, ask_within) + drain_grace

One call is out at a time. If n calls fail, each after failed_i, and the next is answered after `answer`,
the list is up to date in time if

    first_pause + sum(failed_i + pause_i for i in 1..n) + answer <= budget

What each term is at most:

    first_pause  budget / 4, drawn evenly: all processes start, or lose their watches, in the same moment, and
                 a service that lets calls wait works on those that were given up too, so that a queue longer
                 than its time-out starves those that come back
    pause_i      what is left of budget / 8 since the failed call began, if it was refused at once;
                 what is left of the budget less an answer as slow, if the call had waited; MAX_GAP at least

So the schedule bears three calls refused at once with an answer in 0.3 of the budget (2 s of 6.5 s), or one
call that failed after up to 0.3 of the budget with an answer as slow as that. More cannot be had by
spacing: two calls that wait for 2 s each, and an answer as slow, take up the budget. A process that starts
with an old list does not take requests before its first answer (node.host.START_TIMEOUT), so there the
spread costs no rule.

A call that says nothing at all is followed by the next, beside it, after `response_timeout`, half of the
budget.

Load: one call a process is out, or two after a silence. Calls refused at once come back at a rate of 8 /
budget a second to twice that: for 230 processes 280 to 570 a second, for 11,000 13,500 to 27,000.
"""

from __future__ import annotations

import random

from sprucenotch import api
from sprucenotch.policy.state import SECOND

CHANGE_DEADLINE = 6 * SECOND  # of the protocol: a change counts as told so long after discovery had it
FIRST_PAUSE_SHARE = 4  # the first call of a process is spread over this part of the budget
MAX_INTERVAL_SHARE = 8  # between the beginnings of two calls of which the first was refused at once
FIRST_INTERVAL = SECOND // 4  # the first such interval; doubled with each failure
MAX_GAP = SECOND // 10  # between the end of a call that took long and the next one
MIN_DRAW = 0.5  # of an interval or a gap: the rest is drawn, so that processes do not call in step


def call_budget(settings: api.Settings) -> int:
    """Nanoseconds from a change of the list to the last moment at which a request may still ignore it."""
    return min(CHANGE_DEADLINE, settings.ask_within) + settings.drain_grace


def response_timeout(settings: api.Settings) -> int:
    """Nanoseconds after which a call that was to be answered at once gets another one beside it."""
    return call_budget(settings) // 2 - MAX_GAP


class CallSchedule:
    """Tells how long to wait before the next call. Fed the time; has no clock and does no I/O."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed).random
        self._called_at = 0
        self._due = 0  # when the list in hand may be out of date by more than the budget
        self._failures = 0

    def start(self, now: int, settings: api.Settings) -> int:
        """No watch is out any more, or none was yet; how long to wait for the first call, in nanoseconds."""
        self._due = now + call_budget(settings)
        return int(self._random() * call_budget(settings) / FIRST_PAUSE_SHARE)

    def called(self, now: int) -> None:
        """A call goes out."""
        self._called_at = now

    def succeeded(self) -> None:
        """Discovery has answered, so the next failure is the first again."""
        self._failures = 0

    def failed(self, now: int, settings: api.Settings) -> int:
        """A call was refused or broke off; how long to wait for the next, in nanoseconds."""
        self._failures += 1
        if self._failures == 1 and now >= self._due:
            return self.start(now, settings)  # a watch that had gone on for long
        if now >= self._due:  # discovery may be back only since the call began
            self._due = self._called_at + call_budget(settings)
        return self._pause(now - self._called_at, self._due - now, settings)

    def silent(self) -> int:
        """A call said nothing in time; how long to wait for the next, in nanoseconds."""
        return self._gap()

    def _pause(self, took: int, left: int, settings: api.Settings) -> int:
        """After a call that failed after `took`, with so much left of the budget."""
        longest = call_budget(settings) // MAX_INTERVAL_SHARE
        interval = min(longest, FIRST_INTERVAL << min(self._failures - 1, MAX_INTERVAL_SHARE))
        until_interval = int(self._share() * interval) - took
        if took <= longest:
            return max(until_interval, self._gap())
        room = left - took - MAX_GAP  # for an answer as slow
        return max(int(self._share() * room), self._gap())

    def _gap(self) -> int:
        return int(self._share() * MAX_GAP)

    def _share(self) -> float:
        return MIN_DRAW + (1 - MIN_DRAW) * self._random()
